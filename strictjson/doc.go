// Package strictjson reads JSON documents strictly: it validates them against a JSON schema, limits their size, and
// reports a numbered diagnostic with the line and JSON path of each error.
package strictjson

// Package strictjson reads JSON strictly: against a JSON schema, with bounds, and with a numbered diagnostic at the
// line and JSON path of every fault.
package strictjson

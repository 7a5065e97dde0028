// Package platformhttp is the platform plug-in "http": a client of a platform service with a protocol of JSON over HTTP. Each
// call is a POST to one of the paths that wire.go lists; the package standin has a server of the same protocol.
package platformhttp

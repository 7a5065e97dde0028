// Package worker sends requests to workers over HTTP/1.1 and tells truthfully what became of each: whether any byte
// was written on a connection, and whether the answer is whole and belongs to the request.
package worker

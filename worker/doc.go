// Package worker is the HTTP/1.1 client with which the entry instances call workers. For each request it reports whether any byte
// was written to a connection, and whether the answer is complete and belongs to the request.
//
// The package uses these terms:
//
//   - An answer is the HTTP response of a worker.
//   - A connection is silent if it carried no byte for Client.ProgressTimeout while a request was sent or its answer
//     arrived.
//   - A worker is leaving if it finishes its requests before it stops and takes no new ones.
package worker

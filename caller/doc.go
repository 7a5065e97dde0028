// Package caller is the HTTP interface to callers. A request is parsed and checked, waits in the admission queue of its
// pool, is claimed if it has a request key, and is dispatched to a worker. The caller receives the complete answer of the
// worker, or a refusal with a numbered code that says whether the request ran.
package caller

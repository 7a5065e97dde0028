// Package caller is the HTTP interface to callers: it parses and bounds a request, has it admitted and claimed,
// dispatches it to a worker and gives the caller the whole answer or a numbered refusal that tells whether it ran.
package caller

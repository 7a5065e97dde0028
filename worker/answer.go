package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"magnoliaferry/result"
)

// Answer is a worker's answer; its body is read through it and its end is known to be the true one.
type Answer struct {
	target   *Target
	conn     *conn
	exchange *exchange
	response *http.Response
	ctx      context.Context
	leaving  bool
	done     bool
	failure  *Failure // what Read returned last
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header, which the receiver may change.
func (a *Answer) Header() http.Header { return a.response.Header }

// Trailer returns the trailer, which is complete once Read has returned io.EOF.
func (a *Answer) Trailer() http.Header { return a.response.Trailer }

// Length returns the length of the body in bytes, or -1 where it is not announced.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Leaving reports whether the worker says that it is leaving.
func (a *Answer) Leaving() bool { return a.leaving }

// Read reads the body. It returns io.EOF only at the true end of the answer, and otherwise a *Failure.
func (a *Answer) Read(p []byte) (int, error) {
	if a.failure != nil {
		return 0, a.failure
	}
	if a.done {
		return 0, io.EOF
	}
	n, err := a.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		a.finish()
		return n, io.EOF
	}
	code := CodeTruncated
	switch {
	case a.conn.silent.Load(), errors.Is(context.Cause(a.ctx), context.DeadlineExceeded):
		code = CodeCutAnswer
	case a.ctx.Err() != nil:
		code = CodeCallerGone
	}
	a.abort()
	a.failure = &Failure{code: code, leaving: a.leaving, err: err}
	return n, a.failure
}

// Close ends the exchange; a connection whose answer was not read to its end is closed.
func (a *Answer) Close() {
	if a.done {
		return
	}
	if a.response.Body == http.NoBody {
		a.finish()
		return
	}
	a.abort()
}

func (a *Answer) finish() {
	a.done = true
	a.conn.used.Store(int64(a.target.client.Clock.Now()))
	a.conn.exchange.Store(nil)
	a.target.put(a.conn)
}

func (a *Answer) abort() {
	a.done = true
	a.target.discard(a.conn)
}

// Failure says why there is no whole answer and whether the request may have run; it is an error.
type Failure struct {
	code    *result.Code
	leaving bool
	err     error
}

// Code returns the result code, whose outcome is not-run only where that is certain.
func (f *Failure) Code() *result.Code { return f.code }

// Leaving reports whether the worker said that it is leaving.
func (f *Failure) Leaving() bool { return f.leaving }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Error describes the failure.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.code.Name(), f.err) }

// CountsAgainstWorker reports whether the failure counts against the worker, and not against the caller or this instance. A worker
// may close a connection that was idle, so that not-sent does not count.
func (f *Failure) CountsAgainstWorker() bool {
	switch f.code {
	case CodeConnections, CodeNotSent, CodeCallerGone, CodeNotSentGone, CodeTooLate, CodeBody:
		return false
	case CodeRefused:
		return !f.leaving
	}
	return true
}

package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"magnoliaferry/result"
)

// Answer is the response of a worker. Its body is read with Read, which detects truncation.
type Answer struct {
	target   *Target
	conn     *conn
	exchange *exchange
	response *http.Response
	ctx      context.Context
	leaving  bool
	done     bool
	failure  *Failure // the error that Read has returned, or nil
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header; the caller of Header may modify it.
func (a *Answer) Header() http.Header { return a.response.Header }

// Trailer returns the trailer, which is complete once Read has returned io.EOF.
func (a *Answer) Trailer() http.Header { return a.response.Trailer }

// Length returns the length of the body in bytes, or -1 if the answer has no Content-Length.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Leaving reports whether HeaderState of the answer is "leaving": the worker is leaving.
func (a *Answer) Leaving() bool { return a.leaving }

// Read reads the body. It returns io.EOF only after the complete body; every other error is a *Failure.
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
		code = CodeAnswerCut
	case a.ctx.Err() != nil:
		code = CodeCallerGone
	}
	a.abort()
	a.failure = &Failure{code: code, leaving: a.leaving, err: err}
	return n, a.failure
}

// Close ends the exchange. The connection is closed if the answer was not read to its end, and kept for reuse otherwise.
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

// finish returns the connection to its Target for reuse.
func (a *Answer) finish() {
	a.done = true
	a.conn.lastUsed.Store(int64(a.target.client.Clock.Now()))
	a.conn.exchange.Store(nil)
	a.target.putIdle(a.conn)
}

// abort closes the connection.
func (a *Answer) abort() {
	a.done = true
	a.target.discard(a.conn)
}

// Failure is the error of a request without a complete answer. Its code says whether the request may have run.
type Failure struct {
	code    *result.Code
	leaving bool
	err     error
}

// Code returns the result code. Its outcome is not-run only if the request certainly did not run.
func (f *Failure) Code() *result.Code { return f.code }

// Leaving reports whether HeaderState of the answer said that the worker is leaving.
func (f *Failure) Leaving() bool { return f.leaving }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Error returns the name of the result code and the cause.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.code.Name(), f.err) }

// CountsAgainstWorker reports whether the failure counts against the health of the worker; those caused by the caller or by
// this instance do not. CodeNotSent does not count either, because a worker may close an idle connection.
func (f *Failure) CountsAgainstWorker() bool {
	switch f.code {
	case CodeConnectionsInUse, CodeNotSent, CodeCallerGone, CodeCallerGoneBefore, CodeDeadlineBeforeWorker, CodeRequestBodyFailed:
		return false
	case CodeRefused:
		return !f.leaving
	}
	return true
}

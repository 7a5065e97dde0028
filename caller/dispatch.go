package caller

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/result"
	"magnoliaferry/routing"
	"magnoliaferry/trace"
	"magnoliaferry/worker"
)

// dispatch sends the request to a worker and answers the caller. After a failure it tries another worker if the request
// did not run or is idempotent.
func (r *request) dispatch(ctx context.Context, permit *Permit, idempotent bool) {
	h := r.handler
	r.permit = permit
	defer r.releasePermit()
	r.setStage(&stageDispatch)
	r.route.budget.CountRequest()
	header := r.in.Header
	removeHopByHopHeaders(header)
	delete(header, "Expect") // net/http has answered it
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // keeps the transport from adding its own
	}
	var decisive *worker.Failure // of the failures so far, the one with the most certain run
	newConnection := false       // an attempt was abandoned because the worker did not begin its answer
	for attempt := 1; ; attempt++ {
		if r.claim != nil {
			if err := r.claim.Use(); err != nil {
				r.claim.Abandon()
				r.refuse(claimRefusal(err))
				return
			}
		}
		// At most one attempt is abandoned because its answer does not begin: if all workers are slow, further attempts
		// would be no faster.
		var fallback *fallbackGrant
		if idempotent && r.body.complete && attempt < maxAttempts && !newConnection {
			fallback = &fallbackGrant{request: r, first: permit.Worker()}
		}
		failure := r.attempt(ctx, permit.grant, header, fallback, newConnection)
		next := fallback.end()
		if failure == nil {
			release(next)
			return
		}
		code := failure.Code()
		// A failure that says not-run must not replace an earlier one after which the request ran or may have run.
		if decisive == nil || runCertainty(code) >= runCertainty(decisive.Code()) {
			decisive = failure
		}
		if r.claim != nil && code.Outcome() == result.NotRun {
			r.claim.Undo()
		}
		failed := permit.Worker()
		if next == nil && attempt < maxAttempts && ctx.Err() == nil && (idempotent || code.Outcome() == result.NotRun) &&
			r.body.replayable() && r.route.budget.TakeRetry() {
			next, _ = h.Router.Acquire(r.route.pool.Name(), r.deadlineTime, failed)
		}
		if next == nil || ctx.Err() != nil {
			release(next)
			r.fail(ctx, decisive)
			return
		}
		permit.grant = next
		header = header.Clone() // the transport may still read the old one
		newConnection = newConnection || code == worker.CodeAnswerNotBegun
		h.counters.retries.Add(1)
		EventRetry.Log(ctx, h.Logger, slog.String("request", r.id), slog.String("failed", failed.ID()),
			slog.String("next", next.Worker().ID()), slog.String("reason", code.Name()))
	}
}

// releasePermit releases the slot and the quotas and wakes the queues; further calls have no effect.
func (r *request) releasePermit() {
	if p := r.permit; p != nil {
		r.permit = nil
		p.Release()
		r.wake(p)
	}
}

func release(g *routing.Grant) {
	if g != nil {
		g.Release(routing.Neutral, 0)
	}
}

// fallbackGrant acquires a slot on another worker if the first worker does not begin its answer, so that the first attempt
// is abandoned only if the request can be sent again.
type fallbackGrant struct {
	request *request
	first   *routing.Worker

	mu    sync.Mutex
	ended bool           // the attempt has ended
	grant *routing.Grant // nil until acquire succeeds
}

// acquire takes a slot on another worker and a retry from the budget, and reports whether it has them. It is called by the
// timer of the connection.
func (s *fallbackGrant) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.request
	if s.ended || s.grant != nil {
		return s.grant != nil && !s.ended
	}
	next, ok := r.handler.Router.Acquire(r.route.pool.Name(), r.deadlineTime, s.first)
	if !ok {
		return false
	}
	if next.Worker() == s.first || !r.route.budget.TakeRetry() {
		release(next)
		return false
	}
	s.grant = next
	return true
}

// end marks the attempt as ended and returns the acquired grant, or nil. It accepts a nil receiver.
func (s *fallbackGrant) end() *routing.Grant {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.grant
}

// runCertainty orders codes by how certain it is that the request ran.
func runCertainty(code *result.Code) int {
	switch code.Outcome() {
	case result.Ran:
		return 2
	case result.Unknown:
		return 1
	}
	return 0
}

// fail ends the claim of a request that got no complete answer, and refuses the request.
func (r *request) fail(ctx context.Context, failure *worker.Failure) {
	code := failure.Code()
	if context.Cause(ctx) == errCut {
		switch code.Outcome() {
		case result.NotRun:
			code = CodeStopping
		case result.Unknown:
			code = CodeCut
		}
	}
	if r.claim != nil {
		switch code.Outcome() {
		case result.NotRun:
			r.claim.Abandon()
		case result.Ran:
			r.claim.Finish(Recorded{status: code.Status(), state: NotKept})
		default:
			r.claim.Finish(Recorded{})
		}
	}
	after := clock.Millis(0)
	if code.Outcome() == result.NotRun {
		after = clock.Second
	}
	r.refuse(result.Refuse(code, failure.Error(), after))
}

// claimRefusal returns the *result.Refusal in err, or else a refusal with CodeClaimFailed.
func claimRefusal(err error) *result.Refusal {
	var refusal *result.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Refuse(CodeClaimFailed, err.Error(), clock.Second)
}

// attempt sends the request to one worker. If it returns nil, the caller has been answered.
func (r *request) attempt(ctx context.Context, grant *routing.Grant, header http.Header, fallback *fallbackGrant,
	newConnection bool) *worker.Failure {
	h := r.handler
	w := grant.Worker()
	ctx, span := h.Tracer.Start(ctx, trace.StageDispatch)
	defer span.End()
	span.SetText("worker", w.ID())
	h.Tracer.InjectHeaders(ctx, header)
	started := h.Clock.Now()
	header[worker.HeaderDeadline] = []string{strconv.FormatInt(int64(max(r.deadlineTime-started, 1)), 10)}

	out := r.in.WithContext(ctx)
	out.URL = &url.URL{Scheme: "http", Host: w.Address(), Path: r.in.URL.Path, RawPath: r.in.URL.RawPath, RawQuery: r.in.URL.RawQuery}
	out.Header = header
	out.Body = r.body.reader()
	out.ContentLength = r.body.length
	out.TransferEncoding, out.Trailer, out.Close, out.RequestURI = nil, nil, false, ""
	options := worker.Options{ID: r.id, BodyBuffered: r.body.complete, Fresh: newConnection}
	if fallback != nil {
		options.GiveUp = fallback.acquire
	}
	answer, failure := h.Client.Target(w).Do(out, options)
	if failure == nil {
		failure = r.deliver(ctx, answer, grant, started)
	}
	if failure != nil {
		span.Fail(failure.Code().Name())
		if failure.Leaving() {
			h.Router.MarkLeaving(w)
		}
		outcome := routing.Neutral
		if failure.CountsAgainstWorker() {
			outcome = routing.Failed
		}
		grant.Release(outcome, 0)
	}
	return failure
}

// deliver sends the answer to the caller. An answer that fits into memory is read completely first, a larger one is
// streamed. A failure is returned only if nothing was written to the caller.
func (r *request) deliver(ctx context.Context, answer *worker.Answer, grant *routing.Grant, started clock.Millis) *worker.Failure {
	h := r.handler
	if answer.Leaving() {
		h.Router.MarkLeaving(grant.Worker())
	}
	r.setStage(&stageAnswer)
	buffered := buffer{budget: &h.memory}
	defer buffered.free()
	length := answer.Length()
	if r.in.Method == http.MethodHead {
		length = 0 // Content-Length states the length of a body that is not sent
	}
	complete, err := buffered.fill(answer, length)
	if err != nil {
		var failure *worker.Failure
		errors.As(err, &failure)
		return failure
	}
	outcome := routing.Answered
	if status := answer.Status(); status >= 500 && status != http.StatusNotImplemented {
		outcome = routing.Failed
	}
	header := r.writer.Header()
	copyAnswerHeader(header, answer.Header())
	if complete {
		answer.Close()
		grant.Release(outcome, h.Clock.Now()-started)
		r.releasePermit() // a caller that reads slowly must not occupy the slot and the quotas
	}
	r.record(answer, header, buffered.data, complete)
	r.setResultHeaders(header, CodeAnswered)
	trailers := len(answer.Trailer()) > 0
	if complete && !trailers && answer.Length() < 0 && r.in.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(buffered.data))}
	}
	for name := range answer.Trailer() {
		header.Add("Trailer", name) // makes net/http use chunked encoding
	}
	if !complete || len(buffered.data) > netHTTPBufferBytes {
		end := r.abortWritesAfter(ctx)
		defer end()
	}
	r.writer.WriteHeader(answer.Status())
	if len(buffered.data) > 0 {
		_, err = r.writer.Write(buffered.data)
	}
	if complete && err != nil {
		h.counters.aborted.Add(1)
		EventAborted.Log(r.in.Context(), h.Logger, slog.String("request", r.id), slog.String("error", err.Error()))
		r.span.Fail("aborted")
		panic(http.ErrAbortHandler)
	}
	if !complete {
		r.stream(answer, grant, started, outcome, err)
	}
	if trailers {
		for name, values := range answer.Trailer() {
			header[name] = values
		}
	}
	h.counters.answers.Add(1)
	r.span.SetNumber("result", CodeAnswered.Number())
	r.span.SetNumber("status", answer.Status())
	if h.Logger != nil && h.Logger.Enabled(r.in.Context(), EventRequest.Level()) {
		EventRequest.Log(r.in.Context(), h.Logger, slog.String("request", r.id), slog.String("service", r.route.service.Name()),
			slog.String("worker", grant.Worker().ID()), slog.Int("status", answer.Status()),
			slog.Int64("millis", int64(h.Clock.Now()-r.started)))
	}
	return nil
}

// netHTTPBufferBytes is the size of the buffer of net/http for an answer; a smaller body is written to the connection after
// the handler has returned.
const netHTTPBufferBytes = 2 << 10

// abortWritesAfter makes writes to the caller fail once ctx has ended, so that a caller that does not read occupies no
// memory and no slot after its deadline. The handler must call end before it returns, because the connection may then
// serve the next request. If the deadline has passed, end aborts the connection by a panic with http.ErrAbortHandler.
func (r *request) abortWritesAfter(ctx context.Context) (end func()) {
	controller := http.NewResponseController(r.writer)
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		if context.Cause(ctx) != errCut { // Stop sets a write deadline of its own
			_ = controller.SetWriteDeadline(time.Unix(1, 0))
		}
	})
	return func() {
		if !stop() {
			<-done
			if context.Cause(ctx) == context.DeadlineExceeded {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// record records the answer with the claim, if there is one.
func (r *request) record(answer *worker.Answer, header http.Header, data []byte, complete bool) {
	if r.claim == nil {
		return
	}
	recorded := Recorded{status: answer.Status(), state: NotKept}
	if complete && len(data) <= maxRecordedBytes {
		recorded.state = Kept
		recorded.header = header.Clone()
		recorded.body = append([]byte(nil), data...)
	}
	r.claim.Finish(recorded)
}

// stream sends the rest of a large answer to the caller. If the answer ends early, stream aborts the caller's connection,
// so that the answer cannot look complete.
func (r *request) stream(answer *worker.Answer, grant *routing.Grant, started clock.Millis, outcome routing.Outcome, err error) {
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	defer answer.Close()
	for err == nil {
		n, readErr := answer.Read(*pooled)
		if n > 0 {
			_, err = r.writer.Write((*pooled)[:n])
		}
		if readErr == io.EOF && err == nil {
			grant.Release(outcome, r.handler.Clock.Now()-started)
			return
		}
		if readErr != nil && err == nil {
			err = readErr
		}
	}
	var failure *worker.Failure
	if errors.As(err, &failure) && failure.CountsAgainstWorker() {
		grant.Release(routing.Failed, 0)
	}
	r.handler.counters.aborted.Add(1)
	EventAborted.Log(r.in.Context(), r.handler.Logger, slog.String("request", r.id), slog.String("error", err.Error()))
	r.span.Fail("aborted")
	panic(http.ErrAbortHandler)
}

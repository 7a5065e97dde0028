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

// dispatch sends the request to a worker, and to another one where that cannot run it twice, and answers the caller.
func (r *request) dispatch(ctx context.Context, permit *Permit, idempotent bool) {
	h := r.handler
	r.permit = permit
	defer r.releasePermit()
	r.setStage(&stageDispatch)
	r.route.budget.Request()
	header := r.in.Header
	removeHop(header)
	delete(header, "Expect") // the server has answered it
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // keeps the transport from adding its own
	}
	var known *worker.Failure // of the attempts so far, the one that says most about a run
	fresh := false            // the request was given up at a worker that did not begin its answer
	for attempt := 1; ; attempt++ {
		if r.claim != nil {
			if err := r.claim.Use(); err != nil {
				r.claim.Abandon()
				r.refuse(refusalOf(err))
				return
			}
		}
		// Only one answer that does not begin is given up: where every worker is slow, further ones would be no faster.
		var second *secondGrant
		if idempotent && r.body.whole && attempt < maxAttempts && !fresh {
			second = &secondGrant{request: r, first: permit.Worker()}
		}
		failure := r.attempt(ctx, permit.grant, header, second, fresh)
		next := second.end()
		if failure == nil {
			release(next)
			return
		}
		code := failure.Code()
		// An attempt that was not run takes nothing back from an earlier one that ran or may have.
		if known == nil || certainty(code) >= certainty(known.Code()) {
			known = failure
		}
		if r.claim != nil && code.Outcome() == result.NotRun {
			r.claim.Undo()
		}
		failed := permit.Worker()
		if next == nil && attempt < maxAttempts && ctx.Err() == nil && (idempotent || code.Outcome() == result.NotRun) &&
			r.body.repeatable() && r.route.budget.Retry() {
			next, _ = h.Router.Acquire(r.route.pool.Name(), r.due, failed)
		}
		if next == nil || ctx.Err() != nil {
			release(next)
			r.fail(ctx, known)
			return
		}
		permit.grant = next
		header = header.Clone() // the transport may still read the old one
		fresh = fresh || code == worker.CodeAnswerNotBegun
		h.counters.retries.Add(1)
		EventRetry.Log(ctx, h.Logger, slog.String("request", r.id), slog.String("failed", failed.ID()),
			slog.String("next", next.Worker().ID()), slog.String("reason", code.Name()))
	}
}

// releasePermit gives the slot and the quotas back; further calls have no effect.
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

// secondGrant takes a slot on another worker when the first one does not begin its answer, so that the first attempt is
// given up only where the request can be sent again.
type secondGrant struct {
	request *request
	first   *routing.Worker

	mu    sync.Mutex
	ended bool
	grant *routing.Grant
}

// take reports whether there is a slot on another worker; it is called from the timer of the connection.
func (s *secondGrant) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.request
	if s.ended || s.grant != nil {
		return s.grant != nil && !s.ended
	}
	next, ok := r.handler.Router.Acquire(r.route.pool.Name(), r.due, s.first)
	if !ok {
		return false
	}
	if next.Worker() == s.first || !r.route.budget.Retry() {
		release(next)
		return false
	}
	s.grant = next
	return true
}

// end ends the attempt and returns the slot that was taken, or nil.
func (s *secondGrant) end() *routing.Grant {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.grant
}

// certainty orders codes by how certain it is that the request ran.
func certainty(code *result.Code) int {
	switch code.Outcome() {
	case result.Ran:
		return 2
	case result.Unknown:
		return 1
	}
	return 0
}

// fail records and reports a request that got no whole answer.
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

// refusalOf returns the refusal that err is, or one that says that the claim failed.
func refusalOf(err error) *result.Refusal {
	var refusal *result.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Refuse(CodeClaimFailed, err.Error(), clock.Second)
}

// attempt sends the request to one worker. Without a failure the caller has been answered.
func (r *request) attempt(ctx context.Context, grant *routing.Grant, header http.Header, second *secondGrant,
	fresh bool) *worker.Failure {
	h := r.handler
	w := grant.Worker()
	ctx, span := h.Tracer.Start(ctx, trace.StageDispatch)
	defer span.End()
	span.SetText("worker", w.ID())
	h.Tracer.InjectHeaders(ctx, header)
	started := h.Clock.Now()
	header[worker.HeaderDeadline] = []string{strconv.FormatInt(int64(max(r.due-started, 1)), 10)}

	out := r.in.WithContext(ctx)
	out.URL = &url.URL{Scheme: "http", Host: w.Address(), Path: r.in.URL.Path, RawPath: r.in.URL.RawPath, RawQuery: r.in.URL.RawQuery}
	out.Header = header
	out.Body = r.body.reader()
	out.ContentLength = r.body.length
	out.TransferEncoding, out.Trailer, out.Close, out.RequestURI = nil, nil, false, ""
	options := worker.Options{ID: r.id, BodyBuffered: r.body.whole, Fresh: fresh}
	if second != nil {
		options.GiveUp = second.take
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

// deliver gives the answer to the caller: from memory when it fits in there, and otherwise as it arrives. A failure is
// returned only while nothing was written to the caller.
func (r *request) deliver(ctx context.Context, answer *worker.Answer, grant *routing.Grant, started clock.Millis) *worker.Failure {
	h := r.handler
	if answer.Leaving() {
		h.Router.MarkLeaving(grant.Worker())
	}
	r.setStage(&stageAnswer)
	held := buffer{budget: &h.memory}
	defer held.free()
	length := answer.Length()
	if r.in.Method == http.MethodHead {
		length = 0 // announces the length of a body that is not there
	}
	whole, err := held.fill(answer, length)
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
	copyAnswer(header, answer.Header())
	if whole {
		answer.Close()
		grant.Release(outcome, h.Clock.Now()-started)
		r.releasePermit() // a slow caller keeps no slot and no quota
	}
	r.record(answer, header, held.data, whole)
	r.mark(header, CodeAnswered)
	trailers := len(answer.Trailer()) > 0
	if whole && !trailers && answer.Length() < 0 && r.in.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(held.data))}
	}
	for name := range answer.Trailer() {
		header.Add("Trailer", name) // announced trailers make the server send chunks
	}
	if !whole || len(held.data) > serverBuffer {
		end := r.endWritesWith(ctx)
		defer end()
	}
	r.writer.WriteHeader(answer.Status())
	if len(held.data) > 0 {
		_, err = r.writer.Write(held.data)
	}
	if whole && err != nil {
		h.counters.aborted.Add(1)
		EventAborted.Log(r.in.Context(), h.Logger, slog.String("request", r.id), slog.String("error", err.Error()))
		r.span.Fail("aborted")
		panic(http.ErrAbortHandler)
	}
	if !whole {
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

// serverBuffer is the buffer of net/http for an answer; smaller bodies are written after the handler has returned.
const serverBuffer = 2 << 10

// endWritesWith makes writes to the caller fail once ctx has ended, so that a caller that does not read holds no memory
// and no slot past its deadline. end stops that; it must be called before the handler returns, because the connection
// may then serve the next request, and it aborts the connection when the time has passed.
func (r *request) endWritesWith(ctx context.Context) (end func()) {
	controller := http.NewResponseController(r.writer)
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		if context.Cause(ctx) != errCut { // a stop sets its own time
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

// record keeps the answer with the claim.
func (r *request) record(answer *worker.Answer, header http.Header, data []byte, whole bool) {
	if r.claim == nil {
		return
	}
	recorded := Recorded{status: answer.Status(), state: NotKept}
	if whole && len(data) <= maxRecorded {
		recorded.state = Kept
		recorded.header = header.Clone()
		recorded.body = append([]byte(nil), data...)
	}
	r.claim.Finish(recorded)
}

// stream passes on the rest of a large answer. When that ends early, the caller's connection is aborted, so that the
// answer cannot look complete.
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

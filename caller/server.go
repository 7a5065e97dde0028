package caller

import (
	"context"
	"errors"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/event"
	"magnoliaferry/result"
)

// counters holds the cumulative counters of a handler.
type counters struct {
	requests expvar.Int
	answers  expvar.Int
	recorded expvar.Int
	refusals expvar.Map // by name of the result code
	retries  expvar.Int
	aborted  expvar.Int
	cut      expvar.Int // requests in flight that were ended at the stop of the instance, see Cut
}

func (c *counters) refuse(code *result.Code) { c.refusals.Add(code.Name(), 1) }

// Vars returns the counters and gauges for expvar.Publish.
func (h *Handler) Vars() *expvar.Map {
	m := new(expvar.Map)
	m.Set("requests", &h.counters.requests)
	m.Set("answers", &h.counters.answers)
	m.Set("answers-from-record", &h.counters.recorded)
	m.Set("refusals", &h.counters.refusals)
	m.Set("retries", &h.counters.retries)
	m.Set("answers-aborted", &h.counters.aborted)
	m.Set("requests-cut", &h.counters.cut)
	m.Set("in-flight", expvar.Func(func() any { return h.inFlight.count.Load() }))
	m.Set("awaiting-answers", expvar.Func(func() any { return h.Client.Awaiting() }))
	m.Set("buffered-bytes", expvar.Func(func() any { return h.memory.used.Load() }))
	m.Set("silent-connections", expvar.Func(func() any { return h.Client.SilentConnections() }))
	return m
}

// The states of the handler, which determine the answer to health checks.
const (
	stateHealthy int32 = iota
	stateLeaving       // requests are still served, because the load balancer notices the failed health check late
	stateStopping
)

// shards is the number of parts, each with its own lock, into which the requests in flight are divided to reduce lock
// contention.
const shards = 16

// inFlight holds the requests in flight.
type inFlight struct {
	state  atomic.Int32
	count  atomic.Int64
	shards [shards]struct {
		mu       sync.Mutex
		requests map[*request]struct{}
	}
	once  sync.Once
	ended chan struct{} // closed when the last request ends while stopping
}

// add adds a request, or refuses it if the instance is stopping or if limit requests are in flight.
func (g *inFlight) add(r *request, limit int) *result.Refusal {
	// The count is incremented before the state is read, so that Stop sees this request in the count, or else the request
	// sees stateStopping.
	n := g.count.Add(1)
	if g.state.Load() == stateStopping {
		g.done()
		return result.Refuse(CodeStopping, "send the request to another entry instance", clock.Second)
	}
	if n > int64(limit) {
		g.done()
		return result.Refuse(CodeTooManyRequests, "at most "+strconv.Itoa(limit)+" requests are in flight at once", clock.Second)
	}
	s := &g.shards[r.number%shards]
	s.mu.Lock()
	if s.requests == nil {
		s.requests = make(map[*request]struct{})
	}
	s.requests[r] = struct{}{}
	s.mu.Unlock()
	return nil
}

// remove removes a request that has ended.
func (g *inFlight) remove(r *request) {
	s := &g.shards[r.number%shards]
	s.mu.Lock()
	delete(s.requests, r)
	s.mu.Unlock()
	g.done()
}

// done decrements the count and closes ended if it was the last request while stopping.
func (g *inFlight) done() {
	if g.count.Add(-1) == 0 && g.state.Load() == stateStopping {
		g.finish()
	}
}

func (g *inFlight) finish() {
	g.once.Do(func() { close(g.ended) })
}

// forEach calls f for each request in flight, with the lock of its shard held.
func (g *inFlight) forEach(f func(*request)) {
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for r := range s.requests {
			f(r)
		}
		s.mu.Unlock()
	}
}

// serveHealth answers 200 while the load balancer may send requests, and otherwise 503 with the reason.
func (h *Handler) serveHealth(w http.ResponseWriter) {
	status, text := http.StatusOK, "healthy\n"
	switch {
	case h.inFlight.state.Load() != stateHealthy:
		status, text = http.StatusServiceUnavailable, "leaving\n"
	case h.Configuration() == nil:
		status, text = http.StatusServiceUnavailable, "no-configuration\n"
	case h.Ready != nil && !h.Ready():
		status, text = http.StatusServiceUnavailable, "no-slots\n"
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// Leave makes health checks fail with "leaving", so that the load balancer sends no more requests to this instance.
// Requests that still arrive are served.
func (h *Handler) Leave() {
	if h.inFlight.state.CompareAndSwap(stateHealthy, stateLeaving) {
		EventLeaving.Log(context.Background(), h.Logger)
	}
}

// Cut describes a request that was cut: that is, cancelled at the stop of the entry instance because it had not ended
// within the grace time.
type Cut struct {
	request string
	service string
	stage   string
	age     clock.Millis
}

// Request returns the id of the request.
func (c Cut) Request() string { return c.request }

// Service returns the name of the service.
func (c Cut) Service() string { return c.service }

// Stage returns the stage of the request when it was cut: "reading", "queue", "claim", "dispatch" or "answer".
func (c Cut) Stage() string { return c.stage }

// Age returns for how long the request had been in flight, in milliseconds.
func (c Cut) Age() clock.Millis { return c.age }

// Stop refuses new requests with CodeStopping and waits for those in flight. If ctx ends first, it cuts the rest: each is
// cancelled and answered with a result code that says whether it ran or may have run. Stop then waits for their ends, for
// at most twice cutWriteTimeout, and returns the requests that were cut.
func (h *Handler) Stop(ctx context.Context) []Cut {
	h.once.Do(h.start)
	h.Leave()
	h.inFlight.state.Store(stateStopping)
	if h.inFlight.count.Load() == 0 {
		h.inFlight.finish()
	}
	select {
	case <-h.inFlight.ended:
		return nil
	case <-ctx.Done():
	}
	var cuts []Cut
	now := h.Clock.Now()
	h.inFlight.forEach(func(r *request) {
		c := Cut{request: r.id, service: r.route.service.Name(), stage: *r.stage.Load(), age: now - r.started}
		cuts = append(cuts, c)
		r.cancel(errCut)
		// Otherwise a caller that does not read its answer would delay the stop.
		_ = http.NewResponseController(r.writer).SetWriteDeadline(time.Now().Add(cutWriteTimeout))
	})
	for _, c := range cuts {
		h.counters.cut.Add(1)
		EventCut.Log(context.Background(), h.Logger, slog.String("request", c.request), slog.String("service", c.service),
			slog.String("stage", c.stage), slog.Int64("age-ms", int64(c.age)))
	}
	select {
	case <-h.inFlight.ended:
	case <-h.Clock.After(2 * clock.FromDuration(cutWriteTimeout)):
		// A queue or claim store that ignores the end of its context must not delay the end of the process.
	}
	return cuts
}

// cutWriteTimeout is the time limit for writing the refusal of a request that was cut.
const cutWriteTimeout = time.Second

// Server accepts the connections of callers. It is a module of the kernel.
type Server struct {
	// Handler answers the requests.
	Handler *Handler
	// Listener accepts the connections; Run closes it.
	Listener net.Listener
	// LeaveFor is how long requests are still accepted after Handler.Leave, until the load balancer has noticed the failed
	// health check.
	LeaveFor clock.Millis
	// Grace is how long requests in flight may take after that before they are cut; 0 means the longest deadline, 30 s,
	// not that there is no grace.
	Grace clock.Millis
	// Abort, when closed, stops the server without LeaveFor and Grace: the requests in flight are cut at once. It may be
	// nil.
	Abort <-chan struct{}

	mu   sync.Mutex
	cuts []Cut
}

const (
	// headerTimeout is the time limit for reading a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// writeTimeout is the time limit for writing an answer to a caller that does not read. It is twice the longest
	// deadline.
	writeTimeout   = time.Minute
	maxHeaderBytes = 64 << 10
)

// Name returns the name of the module.
func (s *Server) Name() string { return "caller" }

// Cuts returns the requests that were cut at the stop; nil before the stop has completed.
func (s *Server) Cuts() []Cut {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// withAbort returns a context that also ends when s.Abort is closed.
func (s *Server) withAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-s.Abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Run serves until ctx ends or Abort is closed. It then makes health checks fail, serves for LeaveFor until the load balancer
// sends no more requests, waits for those in flight, and cuts the ones that exceed the grace time. It returns nil after
// such a stop, and otherwise the error of the listener.
func (s *Server) Run(ctx context.Context) error {
	h := s.Handler
	messages := slog.NewLogLogger(event.Handler(h.Logger, EventHTTPServerError), EventHTTPServerError.Level())
	server := &http.Server{Handler: h, ErrorLog: messages, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.Listener) }()
	EventListening.Log(ctx, h.Logger, slog.String("address", s.Listener.Addr().String()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	case <-s.Abort:
	}
	detached := context.WithoutCancel(ctx)
	stopCtx, cancelStop := s.withAbort(detached)
	defer cancelStop()
	h.Leave()
	_ = h.Clock.Sleep(stopCtx, s.LeaveFor) // ends early only when Abort is closed
	grace := s.Grace
	if grace == 0 {
		grace = maxDeadline
	}
	graceCtx, cancel := h.Clock.WithTimeout(stopCtx, grace)
	defer cancel()
	cuts := h.Stop(graceCtx)
	s.mu.Lock()
	s.cuts = cuts
	s.mu.Unlock()
	EventStopped.Log(detached, h.Logger, slog.Int("cut", len(cuts)))
	// All requests have ended; what remains are idle connections and answers that are still being written.
	closing, cancelClosing := context.WithTimeout(detached, cutWriteTimeout)
	defer cancelClosing()
	if err := server.Shutdown(closing); err != nil {
		server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

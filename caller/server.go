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

// counters are cumulative; readers compute rates.
type counters struct {
	requests expvar.Int
	answers  expvar.Int
	recorded expvar.Int
	refusals expvar.Map // by name of the code
	retries  expvar.Int
	aborted  expvar.Int
	cut      expvar.Int
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
	m.Set("in-flight", expvar.Func(func() any { return h.running.count.Load() }))
	m.Set("awaiting-answers", expvar.Func(func() any { return h.Client.Awaiting() }))
	m.Set("buffered-bytes", expvar.Func(func() any { return h.memory.used.Load() }))
	m.Set("silent-connections", expvar.Func(func() any { return h.Client.SilentConnections() }))
	return m
}

// The states for the balancer.
const (
	stateHealthy int32 = iota
	stateLeaving       // still serves, because the balancer learns of it with a delay
	stateStopping
)

// shards keeps the requests in flight apart, so that they seldom wait for each other's lock.
const shards = 16

// running holds the requests in flight.
type running struct {
	state  atomic.Int32
	count  atomic.Int64
	shards [shards]struct {
		mu       sync.Mutex
		requests map[*request]struct{}
	}
	once  sync.Once
	ended chan struct{} // closed when the last request ends while stopping
}

func (g *running) enter(r *request, limit int) *result.Refusal {
	// The count comes before the state, so that stop either sees the request or the request sees the stop.
	n := g.count.Add(1)
	if g.state.Load() == stateStopping {
		g.done()
		return result.Refuse(CodeStopping, "send the request to another entry instance", clock.Second)
	}
	if n > int64(limit) {
		g.done()
		return result.Refuse(CodeTooManyRequests, "at most "+strconv.Itoa(limit)+" requests are in flight at once", clock.Second)
	}
	s := &g.shards[r.shard%shards]
	s.mu.Lock()
	if s.requests == nil {
		s.requests = make(map[*request]struct{})
	}
	s.requests[r] = struct{}{}
	s.mu.Unlock()
	return nil
}

func (g *running) leave(r *request) {
	s := &g.shards[r.shard%shards]
	s.mu.Lock()
	delete(s.requests, r)
	s.mu.Unlock()
	g.done()
}

func (g *running) done() {
	if g.count.Add(-1) == 0 && g.state.Load() == stateStopping {
		g.finish()
	}
}

func (g *running) finish() {
	g.once.Do(func() { close(g.ended) })
}

// each calls f for every request in flight.
func (g *running) each(f func(*request)) {
	for i := range g.shards {
		s := &g.shards[i]
		s.mu.Lock()
		for r := range s.requests {
			f(r)
		}
		s.mu.Unlock()
	}
}

// serveHealth answers 200 while the balancer may send requests.
func (h *Handler) serveHealth(w http.ResponseWriter) {
	status, text := http.StatusOK, "healthy\n"
	switch {
	case h.running.state.Load() != stateHealthy:
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

// Leave tells the balancer that this instance is leaving; requests that still arrive are served.
func (h *Handler) Leave() {
	if h.running.state.CompareAndSwap(stateHealthy, stateLeaving) {
		EventLeaving.Log(context.Background(), h.Logger)
	}
}

// Cut is a request that was still running when the time to stop had passed.
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

// Stage returns where the request was: "reading", "queue", "claim", "dispatch" or "answer".
func (c Cut) Stage() string { return c.stage }

// Age returns for how long the request had been in flight, in milliseconds.
func (c Cut) Age() clock.Millis { return c.age }

// Stop refuses new requests as not run and waits for those in flight. When the context ends first, it cuts them, which
// gives each a truthful result code, waits for their ends and returns what was cut.
func (h *Handler) Stop(ctx context.Context) []Cut {
	h.once.Do(h.start)
	h.Leave()
	h.running.state.Store(stateStopping)
	if h.running.count.Load() == 0 {
		h.running.finish()
	}
	select {
	case <-h.running.ended:
		return nil
	case <-ctx.Done():
	}
	var cuts []Cut
	now := h.Clock.Now()
	h.running.each(func(r *request) {
		c := Cut{request: r.id, service: r.route.service.Name(), stage: *r.stage.Load(), age: now - r.started}
		cuts = append(cuts, c)
		r.cancel(errCut)
		// A caller that does not read its answer would otherwise hold up the stop.
		_ = http.NewResponseController(r.writer).SetWriteDeadline(time.Now().Add(cutWrite))
	})
	for _, c := range cuts {
		h.counters.cut.Add(1)
		EventCut.Log(context.Background(), h.Logger, slog.String("request", c.request), slog.String("service", c.service),
			slog.String("stage", c.stage), slog.Int64("age-ms", int64(c.age)))
	}
	select {
	case <-h.running.ended:
	case <-h.Clock.After(2 * clock.FromDuration(cutWrite)):
		// A port that does not honour its context must not hold up the process.
	}
	return cuts
}

// cutWrite is the time in which a caller whose request was cut must take its refusal.
const cutWrite = time.Second

// Server accepts callers' connections and is a module of the kernel.
type Server struct {
	// Handler answers the requests.
	Handler *Handler
	// Listener accepts the connections; Run closes it.
	Listener net.Listener
	// LeaveFor is how long requests are still accepted after the balancer is told that the instance is leaving.
	LeaveFor clock.Millis
	// Grace is how long requests in flight may take after that; 0 means the longest deadline.
	Grace clock.Millis
	// Cut ends the stop at once when it is closed: the requests in flight are cut and reported. Nil never does.
	Cut <-chan struct{}

	mu   sync.Mutex
	cuts []Cut
}

const (
	// headerTimeout bounds how long a connection may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections that callers leave open.
	idleTimeout = 2 * time.Minute
	// writeTimeout ends an answer to a caller that does not read; the longest deadline is half of it.
	writeTimeout   = time.Minute
	maxHeaderBytes = 64 << 10
)

// Name returns the name of the module.
func (s *Server) Name() string { return "caller" }

// Cuts returns the requests that were cut at the stop so far.
func (s *Server) Cuts() []Cut {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// cutWith derives a context that also ends when Cut is closed.
func (s *Server) cutWith(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-s.Cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Run serves until the context ends, tells the balancer, finishes what runs and logs what was cut.
func (s *Server) Run(ctx context.Context) error {
	h := s.Handler
	messages := slog.NewLogLogger(event.Handler(h.Logger, EventServer), EventServer.Level())
	server := &http.Server{Handler: h, ErrorLog: messages, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.Listener) }()
	EventListening.Log(ctx, h.Logger, slog.String("address", s.Listener.Addr().String()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	case <-s.Cut:
	}
	rest := context.WithoutCancel(ctx)
	patient, impatient := s.cutWith(rest)
	defer impatient()
	h.Leave()
	_ = h.Clock.Sleep(patient, s.LeaveFor) // ends early only when the stop is cut
	grace := s.Grace
	if grace == 0 {
		grace = maxDeadline
	}
	bounded, cancel := h.Clock.WithTimeout(patient, grace)
	defer cancel()
	cuts := h.Stop(bounded)
	s.mu.Lock()
	s.cuts = cuts
	s.mu.Unlock()
	EventStopped.Log(rest, h.Logger, slog.Int("cut", len(cuts)))
	// Every handler has ended; what is left are idle connections and the last bytes of answers.
	closing, cancelClosing := context.WithTimeout(rest, cutWrite)
	defer cancelClosing()
	if err := server.Shutdown(closing); err != nil {
		server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"magnoliaferry/clock"
)

// Headers of the interface to workers.
const (
	HeaderCaller      = "Magnoliaferry-Caller"
	HeaderRequestKey  = "Magnoliaferry-Request-Key"
	HeaderWorkerState = "Magnoliaferry-Worker-State" // "leaving" while the worker shuts down
	HeaderNotRun      = "Magnoliaferry-Not-Run"      // "true" if the request was refused without effect
	HeaderWorker      = "Magnoliaferry-Worker"       // id of the answering worker
)

// Mode is how a worker stand-in behaves.
type Mode string

// The modes of a worker stand-in.
const (
	Healthy  Mode = ""
	FailAll  Mode = "fail-all" // runs each request and answers 500
	Slow     Mode = "slow"     // takes ten times the service time
	Truncate Mode = "truncate" // closes the connection in the middle of the answer
)

// Worker simulates a backend server with a number of slots; the exported fields are set before Handler or Run.
//
// It runs requests for all paths outside /stand-in/. The query parameter "answer-bytes" pads the answer to that many bytes. POSTs
// to /stand-in/mode and /stand-in/silence change its behaviour; GETs of /stand-in/state and /stand-in/runs return its state and
// the number of runs by caller and request key.
type Worker struct {
	// ID is the id of the instance.
	ID string
	// Address is the IP address and port to listen on; port 0 selects a free one.
	Address string
	Clock   *clock.Clock // nil uses the system clock
	// Slots is the number of requests that run at once; further ones get 503 with Magnoliaferry-Not-Run.
	Slots int
	// ServiceTime is how long a request runs, in milliseconds.
	ServiceTime clock.Millis
	// MaxBody limits a request body in bytes; 0 means 64 MiB.
	MaxBody int64
	// Platform is the IP address and port of the platform stand-in whose drains wait for this worker; may be empty.
	Platform string
	Tracer   trace.Tracer // nil records no spans
	Logger   *slog.Logger

	once    sync.Once
	handler http.Handler
	server  server

	inFlight atomic.Int64
	peak     atomic.Int64
	refused  atomic.Int64

	mu                 sync.Mutex
	mode               Mode
	leaving            bool
	currentServiceTime clock.Millis   // current service time
	runs               map[string]int // by caller and request key
	total              int
	conns              map[*silentConn]struct{} // open connections
}

type workerState struct {
	ID       string       `json:"id"`
	Mode     Mode         `json:"mode"`
	Leaving  bool         `json:"leaving"`
	InFlight int          `json:"in-flight"`
	Peak     int          `json:"peak"`
	Refused  int          `json:"refused"`
	Runs     int          `json:"runs"`
	Time     clock.Millis `json:"service-time-ms"`
}

// WorkerAnswer is the body of a worker's answer.
type WorkerAnswer struct {
	Worker string `json:"worker"`
	Key    string `json:"request-key"`
	Digest string `json:"digest"` // SHA-256 of the request body, in hexadecimal
	Bytes  int64  `json:"bytes"`
	Run    int    `json:"run"` // number of runs of the key on this worker, including this one
}

// Name implements kernel.Module.
func (w *Worker) Name() string { return "stand-in worker " + w.ID }

// Run serves until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	w.once.Do(w.build)
	return w.server.run(ctx, w.Clock, w.Logger, w.ID, w.Address, w.handler, func(l net.Listener) net.Listener {
		return silentListener{l, w}
	}, w.registerAtPlatform)
}

// registerAtPlatform sends the worker's address to the platform stand-in, which queries it for the requests in flight. It tries
// once before the worker serves and then once a second until it succeeds, so that either process may start first.
func (w *Worker) registerAtPlatform(ctx context.Context, address string) {
	if w.Platform == "" {
		return
	}
	body, err := json.Marshal(map[string]string{"instance": w.ID, "address": address})
	if err != nil {
		panic(fmt.Sprintf("standin: encode an address: %v", err)) // plain strings always encode
	}
	try := func() bool {
		ctx, cancel := w.Clock.WithTimeout(ctx, clock.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Platform+"/control/workers",
			bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}
	if try() {
		return
	}
	go func() {
		for w.Clock.Sleep(ctx, clock.Second) == nil && !try() {
		}
	}()
}

// Bound waits until Run listens and returns the IP address and port, or the error of the context.
func (w *Worker) Bound(ctx context.Context) (string, error) { return w.server.bound(ctx) }

// Handler returns the handler, for use in another server than that of Run. Silence has an effect only with Run.
func (w *Worker) Handler() http.Handler { w.once.Do(w.build); return w.handler }

// InFlight returns the number of open requests; its signature fits Platform.AttachWorker.
func (w *Worker) InFlight(context.Context) int { return int(w.inFlight.Load()) }

// Peak returns the largest number of requests that were open at once, refused ones included.
func (w *Worker) Peak() int { return int(w.peak.Load()) }

// Refused returns the number of requests that were refused because all slots were in use.
func (w *Worker) Refused() int { return int(w.refused.Load()) }

// Runs returns the number of runs of the request with this caller and request key.
func (w *Worker) Runs(caller, key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[runKey(caller, key)]
}

// Total returns the number of requests that ran.
func (w *Worker) Total() int { w.mu.Lock(); defer w.mu.Unlock(); return w.total }

// SetMode changes the mode for requests that arrive from now on.
func (w *Worker) SetMode(m Mode) { w.mu.Lock(); defer w.mu.Unlock(); w.mode = m }

// SetLeaving sets whether answers carry Magnoliaferry-Worker-State: leaving.
func (w *Worker) SetLeaving(leaving bool) { w.mu.Lock(); defer w.mu.Unlock(); w.leaving = leaving }

// Silence makes all open connections silent for good: from now on all data in both directions is dropped, and the connections
// stay open. New connections work.
func (w *Worker) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.silent.Store(true)
	}
}

// runKey returns the key of Worker.runs. The caller is quoted so that different pairs never give the same key.
func runKey(caller, key string) string { return strconv.Quote(caller) + "/" + key }

// build sets the defaults of the fields and builds the handler.
func (w *Worker) build() {
	if w.Clock == nil {
		w.Clock = clock.System()
	}
	if w.MaxBody == 0 {
		w.MaxBody = 64 << 20
	}
	w.currentServiceTime, w.runs, w.conns = w.ServiceTime, map[string]int{}, map[*silentConn]struct{}{}
	mux := http.NewServeMux()
	mux.HandleFunc("/", w.serve)
	mux.HandleFunc("GET /stand-in/state", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		state := workerState{ID: w.ID, Mode: w.mode, Leaving: w.leaving, InFlight: int(w.inFlight.Load()),
			Peak: w.Peak(), Refused: w.Refused(), Runs: w.total, Time: w.currentServiceTime}
		w.mu.Unlock()
		reply(rw, http.StatusOK, state)
	})
	mux.HandleFunc("GET /stand-in/runs", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		runs := make(map[string]int, len(w.runs))
		for key, n := range w.runs {
			runs[key] = n
		}
		w.mu.Unlock()
		reply(rw, http.StatusOK, runs)
	})
	mux.HandleFunc("POST /stand-in/mode", func(rw http.ResponseWriter, r *http.Request) {
		var body struct {
			Mode    *Mode         `json:"mode"`
			Leaving *bool         `json:"leaving"`
			Time    *clock.Millis `json:"service-time-ms"`
		}
		if !decode(rw, r, maxControlBytes, &body) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if body.Mode != nil {
			w.mode = *body.Mode
		}
		if body.Leaving != nil {
			w.leaving = *body.Leaving
		}
		if body.Time != nil {
			w.currentServiceTime = *body.Time
		}
	})
	mux.HandleFunc("POST /stand-in/silence", func(http.ResponseWriter, *http.Request) { w.Silence() })
	w.handler = mux
}

// serve runs one request.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	if w.Tracer != nil {
		var span trace.Span
		ctx, span = w.Tracer.Start(ctx, "run "+r.URL.Path, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
	}
	rw.Header().Set(HeaderWorker, w.ID)
	if r.Method == http.MethodOptions {
		w.answerProbe(rw)
		return
	}
	open := w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	for peak := w.peak.Load(); open > peak && !w.peak.CompareAndSwap(peak, open); peak = w.peak.Load() {
	}
	w.mu.Lock()
	mode, leaving, serviceTime := w.mode, w.leaving, w.currentServiceTime
	w.mu.Unlock()
	if leaving {
		rw.Header().Set(HeaderWorkerState, "leaving")
	}
	if open > int64(w.Slots) {
		w.refused.Add(1)
		rw.Header().Set(HeaderNotRun, "true")
		http.Error(rw, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	digest := sha256.New()
	n, err := io.Copy(digest, http.MaxBytesReader(rw, r.Body, w.MaxBody))
	if err != nil {
		rw.Header().Set(HeaderNotRun, "true")
		http.Error(rw, "the body could not be read", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(HeaderRequestKey)
	w.mu.Lock()
	w.total++
	run := w.total
	if key != "" {
		id := runKey(r.Header.Get(HeaderCaller), key)
		w.runs[id]++
		run = w.runs[id]
	}
	w.mu.Unlock()
	if mode == Slow {
		serviceTime *= 10
	}
	if serviceTime > 0 && w.Clock.Sleep(ctx, serviceTime) != nil {
		return // the client has disconnected; the request counts as run
	}
	if mode == FailAll {
		http.Error(rw, "the request failed", http.StatusInternalServerError)
		return
	}
	w.answer(rw, r, mode, WorkerAnswer{Worker: w.ID, Key: key, Digest: hex.EncodeToString(digest.Sum(nil)), Bytes: n,
		Run: run})
}

// answerProbe answers a health probe (an OPTIONS request); it takes no slot and runs nothing.
func (w *Worker) answerProbe(rw http.ResponseWriter) {
	w.mu.Lock()
	mode, leaving := w.mode, w.leaving
	w.mu.Unlock()
	if leaving {
		rw.Header().Set(HeaderWorkerState, "leaving")
	}
	if mode == FailAll {
		http.Error(rw, "the request failed", http.StatusInternalServerError)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, mode Mode, a WorkerAnswer) {
	body, err := json.Marshal(a)
	if err != nil {
		panic(fmt.Sprintf("standin: encode an answer: %v", err)) // plain strings and numbers always encode
	}
	const maxPadded = 64 << 20 // bytes
	if size, err := strconv.Atoi(r.URL.Query().Get("answer-bytes")); err == nil && size > len(body) {
		body = append(body, bytes.Repeat([]byte(" "), min(size, maxPadded)-len(body))...)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if mode == Truncate {
		_, _ = rw.Write(body[:len(body)/2]) // the connection is closed below in any case
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(body) // fails only if the client has disconnected
}

// silentListener wraps accepted connections so that the worker can silence them.
type silentListener struct {
	net.Listener
	worker *Worker
}

// Accept returns a connection that the worker can silence.
func (l silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, worker: l.worker}
	l.worker.mu.Lock()
	l.worker.conns[c] = struct{}{}
	l.worker.mu.Unlock()
	return c, nil
}

// silentConn drops all data in both directions once it is silent, as a middlebox that has lost its connection state does.
type silentConn struct {
	net.Conn
	worker *Worker
	silent atomic.Bool
}

// Read implements net.Conn; on a silent connection it blocks until the connection is closed.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn; on a silent connection it reports success and drops the data.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the worker's set.
func (c *silentConn) Close() error {
	c.worker.mu.Lock()
	delete(c.worker.conns, c)
	c.worker.mu.Unlock()
	return c.Conn.Close()
}

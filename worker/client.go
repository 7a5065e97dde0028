package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/event"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// The HTTP headers between entry instances and workers.
const (
	HeaderState     = "Magnoliaferry-Worker-State" // "leaving" in the answers of a worker that is leaving
	HeaderNotRun    = "Magnoliaferry-Not-Run"      // "true" with status 503: the worker did not run the request
	HeaderRequestID = "Magnoliaferry-Request-Id"   // a worker may echo it, so that an answer to another request is detected
	HeaderDeadline  = "Magnoliaferry-Deadline-Ms"  // time until the deadline in milliseconds
)

// ConnectionsPerSlot is the number of connections to a worker that are allowed for each of its slots that this instance
// holds.
const ConnectionsPerSlot = 8

const (
	defaultProgressTimeout = 5 * clock.Second
	defaultProbeInterval   = 5 * clock.Second
	defaultProbeTimeout    = 1 * clock.Second
	// TCP keep-alive closes a connection whose state was lost between the two ends after the idle time and three probes,
	// 4 s. A worker that computes still answers the probes.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// maxIdleTime is the time without a request after which a connection is closed instead of probed.
	maxIdleTime = 60 * clock.Second
	// maxDrain is how many bytes of the answer to a probe or of a refusal are read so that the connection can be reused.
	maxDrain       = 4 << 10
	maxHeaderBytes = 64 << 10 // of an answer
)

// Client manages the connections to all workers.
type Client struct {
	// Clock measures time-outs and deadlines.
	Clock *clock.Clock
	// Logger receives the events of the package; nil discards them.
	Logger *slog.Logger
	// ProgressTimeout is how long a connection may carry no byte while a request is sent and while its answer arrives. It is
	// also the interval at which Options.GiveUp is called while the first byte of the answer is awaited. 0 means 5 s.
	ProgressTimeout clock.Millis
	// ProbeInterval is the idle time after which a connection is probed; 0 means 5 s.
	ProbeInterval clock.Millis
	// ProbeTimeout bounds the wait for the answer to a probe, and opening a connection; 0 means 1 s.
	ProbeTimeout clock.Millis
	// Dial opens network connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once        sync.Once
	transport   *http.Transport
	targets     sync.Map // *routing.Worker to *Target
	silentCount atomic.Int64
}

func (c *Client) progressTimeout() clock.Millis {
	return orDefault(c.ProgressTimeout, defaultProgressTimeout)
}
func (c *Client) probeInterval() clock.Millis {
	return orDefault(c.ProbeInterval, defaultProbeInterval)
}
func (c *Client) probeTimeout() clock.Millis { return orDefault(c.ProbeTimeout, defaultProbeTimeout) }

func orDefault(value, fallback clock.Millis) clock.Millis {
	if value == 0 {
		return fallback
	}
	return value
}

// SilentConnections returns the number of connections that were closed because they were silent.
func (c *Client) SilentConnections() int64 { return c.silentCount.Load() }

// connKey is the context key of the conn for which a network connection is dialed.
type connKey struct{}

// start sets the default of Dial and builds the transport.
func (c *Client) start() {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle,
			Interval: keepAliveInterval, Count: keepAliveCount}}).DialContext
	}
	c.transport = &http.Transport{
		DisableCompression:     true, // bodies are passed on unchanged
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			wrapped := ctx.Value(connKey{}).(*conn)
			raw, err := c.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			wrapped.Conn = raw
			return wrapped, nil
		},
	}
}

// Target returns the Target of a worker, the same one on each call.
func (c *Client) Target(w *routing.Worker) *Target {
	if t, ok := c.targets.Load(w); ok {
		return t.(*Target)
	}
	c.once.Do(c.start)
	t, _ := c.targets.LoadOrStore(w, &Target{client: c, worker: w})
	return t.(*Target)
}

// Probe sends a request on a new connection and reports whether the worker is leaving; the error is a *Failure if it does
// not answer. It has the signature of routing.Router.Probe.
func (c *Client) Probe(ctx context.Context, w *routing.Worker) (leaving bool, err error) {
	ctx, cancel := c.Clock.WithTimeout(ctx, c.probeTimeout())
	defer cancel()
	t := c.Target(w)
	connection, failure := t.connect(ctx, true)
	if failure != nil {
		return false, failure
	}
	defer t.discard(connection)
	// The path "/" reaches the handler of the worker, which sets HeaderState. Go servers answer "*" without the handler.
	answer, failure := t.exchange(connection, probeRequest(ctx, w.Address(), "/"), Options{BodyBuffered: true})
	if failure != nil {
		return failure.leaving, failure
	}
	return answer.Leaving(), nil
}

func probeRequest(ctx context.Context, address, path string) *http.Request {
	r := &http.Request{Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Host: address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	return r.WithContext(ctx)
}

// Connections returns the number of open connections, busy or idle, to the worker with this instance id.
func (c *Client) Connections(id string) int {
	total := 0
	c.targets.Range(func(w, t any) bool {
		if w.(*routing.Worker).ID() == id {
			open, _ := t.(*Target).Connections()
			total += open
		}
		return true
	})
	return total
}

// Awaiting returns the number of requests that have been sent to workers and wait for the first byte of their answers.
func (c *Client) Awaiting() int {
	total := 0
	c.targets.Range(func(_, value any) bool {
		t := value.(*Target)
		t.mu.Lock()
		defer t.mu.Unlock()
		for o := range t.open {
			if o.awaiting() {
				total++
			}
		}
		return true
	})
	return total
}

// Close closes all idle connections. Those that carry a request stay open and may become idle again.
func (c *Client) Close() {
	c.targets.Range(func(_, t any) bool {
		t.(*Target).closeIdle()
		return true
	})
}

// Target manages the connections to one worker.
type Target struct {
	client *Client
	worker *routing.Worker

	mu   sync.Mutex
	idle []*conn            // the most recently used one is last
	open map[*conn]struct{} // busy, idle or being opened
}

// Connections returns the number of open connections and how many of these are idle.
func (t *Target) Connections() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), len(t.idle)
}

// get returns the most recently used idle connection, or opens one.
func (t *Target) get(ctx context.Context) (*conn, *Failure) {
	for {
		t.mu.Lock()
		n := len(t.idle)
		if n == 0 {
			t.mu.Unlock()
			return t.connect(ctx, false)
		}
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		if c.usable() {
			return c, nil
		}
		t.discard(c)
	}
}

// getNew opens a connection. At the limit it closes the least recently used idle one first.
func (t *Target) getNew(ctx context.Context) (*conn, *Failure) {
	limit := t.limit()
	t.mu.Lock()
	var replaced *conn
	if len(t.open) >= limit && len(t.idle) > 0 {
		replaced, t.idle = t.idle[0], t.idle[1:]
	}
	t.mu.Unlock()
	if replaced != nil {
		t.discard(replaced)
	}
	return t.connect(ctx, false)
}

// connect opens a connection. One for a probe may exceed the limit by one.
func (t *Target) connect(ctx context.Context, probe bool) (*conn, *Failure) {
	limit := t.limit()
	t.mu.Lock()
	if len(t.open) >= limit && !probe {
		t.mu.Unlock()
		return nil, &Failure{code: CodeConnectionsInUse, err: fmt.Errorf("worker %s: %d connections are open", t.worker.ID(), limit)}
	}
	c := &conn{target: t}
	if t.open == nil {
		t.open = map[*conn]struct{}{}
	}
	t.open[c] = struct{}{}
	t.mu.Unlock()
	dialContext, cancel := t.client.Clock.WithTimeout(context.WithValue(ctx, connKey{}, c), t.client.probeTimeout())
	defer cancel()
	before := time.Now() // milliseconds are too coarse for a round trip inside a region
	client, err := t.client.transport.NewClientConn(dialContext, "http", t.worker.Address())
	if err != nil {
		if c.Conn == nil {
			t.remove(c)
		} else {
			c.Close()
		}
		return nil, &Failure{code: notSentCode(ctx, CodeNoConnection), err: err}
	}
	t.worker.ObserveRTT(time.Since(before))
	c.http = client
	c.lastUsed.Store(int64(t.client.Clock.Now()))
	return c, nil
}

// limit returns the maximum number of connections, from the slots that this instance holds on the worker.
func (t *Target) limit() int { return ConnectionsPerSlot * max(t.worker.Held(), 1) }

// putIdle keeps a connection for the next request, or closes it if it is not usable, the worker is leaving, or more
// connections are open than the limit now allows.
func (t *Target) putIdle(c *conn) {
	if !c.usable() || t.worker.Leaving() || c.http.Available() == 0 {
		t.discard(c)
		return
	}
	limit := t.limit()
	t.mu.Lock()
	fits := len(t.open) <= limit
	if fits {
		t.idle = append(t.idle, c)
	}
	t.mu.Unlock()
	if !fits {
		t.discard(c)
	}
}

// discard closes a connection.
func (t *Target) discard(c *conn) {
	if c.http != nil {
		c.http.Close()
	}
	c.Close()
}

// remove deletes a closed connection from the Target, and the Target from the Client after the last connection to a worker
// that is leaving.
func (t *Target) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	for i, o := range t.idle {
		if o == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			break
		}
	}
	if len(t.open) == 0 && t.worker.Leaving() {
		t.client.targets.Delete(t.worker)
	}
}

// takeIdle removes a connection from the idle ones and reports whether it was idle.
func (t *Target) takeIdle(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range t.idle {
		if o == c {
			t.idle = append(t.idle[:i], t.idle[i+1:]...)
			return true
		}
	}
	return false
}

func (t *Target) closeIdle() {
	t.mu.Lock()
	idle := t.idle
	t.idle = nil
	t.mu.Unlock()
	for _, c := range idle {
		t.discard(c)
	}
}

// handleSilent counts and logs a silent connection and closes the idle connections to the same worker: a network device
// that lost the state of one connection has probably lost that of the others, and opening new ones is cheap.
func (t *Target) handleSilent(c *conn) {
	t.client.silentCount.Add(1)
	t.log(EventSilent)
	t.closeIdle()
}

// probeIdle sends OPTIONS * on an idle connection, which RFC 9110 section 9.3.7 describes as a "ping" without effect. If
// the answer does not arrive in time it closes all idle connections to the worker.
func (t *Target) probeIdle(c *conn) {
	if !t.takeIdle(c) {
		if !c.closed.Load() {
			// A request took the connection after checkProgress had fired for the last time and before it reset armed,
			// so begin did not start the timer.
			c.arm()
		}
		return
	}
	client := t.client
	open, _ := t.Connections()
	if client.Clock.Now()-clock.Millis(c.lastUsed.Load()) >= maxIdleTime || t.worker.Leaving() || open > t.limit() {
		t.discard(c)
		return
	}
	ctx, cancel := client.Clock.WithTimeout(context.Background(), client.probeTimeout())
	defer cancel()
	lastUsed := c.lastUsed.Load()
	answer, failure := t.exchange(c, probeRequest(ctx, t.worker.Address(), "*"), Options{BodyBuffered: true})
	if failure == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(answer, maxDrain))
		answer.Close()
		if err == nil {
			c.lastUsed.Store(lastUsed) // a probe is no use: maxIdleTime counts from the last request
			return
		}
	}
	if failure != nil && failure.code == CodeNotSent {
		return // the worker closed the idle connection, which is no fault
	}
	t.log(EventProbeUnanswered)
	t.closeIdle()
}

func (t *Target) log(e *event.Event) {
	e.Log(context.Background(), t.client.Logger, slog.String("worker", t.worker.ID()), slog.String("address", t.worker.Address()))
}

// Options control how a request is sent.
type Options struct {
	// ID is sent in HeaderRequestID; "" sends none.
	ID string
	// BodyBuffered says that the request body is in memory. If it is not, the time-out for the first byte of the answer
	// starts only when the body has been read to its end.
	BodyBuffered bool
	// NewConnection makes Do open a new connection instead of using an idle one.
	NewConnection bool
	// GiveUp is called each time that no byte of the answer has arrived for Client.ProgressTimeout. If it returns true,
	// the request fails with CodeAnswerNotBegun, for example because it can be sent to another worker. It may be called
	// while Do returns. If it is nil, the request waits for its answer until the context ends.
	GiveUp func() bool
}

// Do sends a request and returns the answer once its header has arrived. The context of the request also bounds reading
// the answer.
func (t *Target) Do(r *http.Request, o Options) (*Answer, *Failure) {
	get := t.get
	if o.NewConnection {
		get = t.getNew
	}
	c, failure := get(r.Context())
	if failure != nil {
		return nil, failure
	}
	return t.exchange(c, r, o)
}

// exchange sends a request on a connection and checks the header of the answer.
func (t *Target) exchange(c *conn, r *http.Request, o Options) (*Answer, *Failure) {
	e := &exchange{giveUp: o.GiveUp}
	e.requestSent.Store(o.BodyBuffered)
	id := o.ID
	var body *trackedBody
	if !o.BodyBuffered {
		body = &trackedBody{ReadCloser: r.Body, exchange: e}
		r.Body = body
	}
	if id != "" {
		r.Header[HeaderRequestID] = []string{id}
	}
	c.begin(e)
	response, err := c.http.RoundTrip(r)
	if err != nil {
		f := t.classify(r.Context(), c, e, body, err)
		t.discard(c)
		return nil, f
	}
	a := &Answer{target: t, conn: c, exchange: e, response: response, ctx: r.Context()}
	a.leaving = response.Header.Get(HeaderState) == "leaving"
	if echoed := response.Header.Get(HeaderRequestID); c.unsolicited.Load() || (echoed != "" && id != "" && echoed != id) {
		t.log(EventMismatched)
		a.abort()
		return nil, &Failure{code: CodeMismatched, leaving: a.leaving, err: fmt.Errorf("answer carries id %q instead of %q", echoed, id)}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true" {
		if _, err := io.Copy(io.Discard, io.LimitReader(a, maxDrain)); err != nil {
			a.abort()
		}
		a.Close()
		return nil, &Failure{code: CodeRefused, leaving: a.leaving, err: errors.New("worker answered " + HeaderNotRun)}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && r.Method != http.MethodHead {
		a.abort()
		return nil, &Failure{code: CodeUnframed, leaving: a.leaving, err: errors.New("answer ends with the connection")}
	}
	return a, nil
}

// classify returns the failure of a request that got no answer: not sent if no byte was written, or the reason for which
// the outcome is unknown.
func (t *Target) classify(ctx context.Context, c *conn, e *exchange, body *trackedBody, err error) *Failure {
	if e.cancelUnsent() {
		if c.unsolicited.Load() {
			t.log(EventUnsolicited)
		}
		return &Failure{code: notSentCode(ctx, CodeNotSent), err: err}
	}
	code := CodeBroken
	switch {
	case e.answer.Load() == answerAbandoned:
		code = CodeAnswerNotBegun
	case c.silent.Load():
		code = CodeSilent
	case body != nil && body.failed.Load():
		code = CodeRequestBodyFailed
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		code = CodeDeadline
	case ctx.Err() != nil:
		code = CodeCallerGone
	}
	return &Failure{code: code, err: err}
}

// notSentCode returns the code for a request of which no byte was written: that for the end of its context if it has ended,
// and otherwise the given one.
func notSentCode(ctx context.Context, fallback *result.Code) *result.Code {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return CodeDeadlineBeforeWorker
	case ctx.Err() != nil:
		return CodeCallerGoneBefore
	}
	return fallback
}

// trackedBody is a streamed request body that records when it was read to its end or failed.
type trackedBody struct {
	io.ReadCloser
	exchange *exchange
	failed   atomic.Bool
}

// Read reads from the body of the caller.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.exchange.requestSent.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

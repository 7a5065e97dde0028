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

// The headers between entry instances and workers.
const (
	HeaderState     = "Magnoliaferry-Worker-State" // "leaving" in answers of a worker that is leaving
	HeaderNotRun    = "Magnoliaferry-Not-Run"      // "true" with status 503: the worker did not run the request
	HeaderRequestID = "Magnoliaferry-Request-Id"   // a worker that echoes it lets a wrong answer be recognised
	HeaderDeadline  = "Magnoliaferry-Deadline-Ms"  // time left in milliseconds
)

// ConnectionsPerSlot is how many connections a held slot brings.
const ConnectionsPerSlot = 8

const (
	defaultProgress    = 5 * clock.Second
	defaultProbeEvery  = 5 * clock.Second
	defaultProbeWithin = 1 * clock.Second
	// A connection whose state was lost between the two ends fails after the idle time and three probes, 4 s, while a
	// worker that computes still answers the probes.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// idleLife ends the probing of connections that no request uses.
	idleLife = 60 * clock.Second
	// maxDrain is how much of the answer to a probe or of a refusal is read to keep the connection.
	maxDrain       = 4 << 10
	maxHeaderBytes = 64 << 10
)

// Client holds the connections to all workers.
type Client struct {
	// Clock measures progress, probes and deadlines.
	Clock *clock.Clock
	// Logger receives the events; nil drops them.
	Logger *slog.Logger
	// Progress is how long a connection may carry no byte while a request is sent and while its answer arrives, and how
	// long a request that may be sent elsewhere waits for the first byte of its answer; 0 means 5 s.
	Progress clock.Millis
	// ProbeEvery is how long a connection may be idle before it is probed; 0 means 5 s.
	ProbeEvery clock.Millis
	// ProbeWithin is the time for the answer to a probe and for opening a connection; 0 means 1 s.
	ProbeWithin clock.Millis
	// Dial opens network connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	targets   sync.Map // *routing.Worker to *Target
	silences  atomic.Int64
}

func (c *Client) progress() clock.Millis    { return orDefault(c.Progress, defaultProgress) }
func (c *Client) probeEvery() clock.Millis  { return orDefault(c.ProbeEvery, defaultProbeEvery) }
func (c *Client) probeWithin() clock.Millis { return orDefault(c.ProbeWithin, defaultProbeWithin) }

func orDefault(value, otherwise clock.Millis) clock.Millis {
	if value == 0 {
		return otherwise
	}
	return value
}

// SilentConnections returns how many connections went silent so far.
func (c *Client) SilentConnections() int64 { return c.silences.Load() }

type dialing struct{}

func (c *Client) start() {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Control: boundUnacknowledged, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle,
			Interval: keepAliveInterval, Count: keepAliveCount}}).DialContext
	}
	c.transport = &http.Transport{
		DisableCompression:     true, // bodies pass unchanged
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			wrapped := ctx.Value(dialing{}).(*conn)
			raw, err := c.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			wrapped.Conn = raw
			return wrapped, nil
		},
	}
}

// Target returns the connections to one worker.
func (c *Client) Target(w *routing.Worker) *Target {
	if t, ok := c.targets.Load(w); ok {
		return t.(*Target)
	}
	c.once.Do(c.start)
	t, _ := c.targets.LoadOrStore(w, &Target{client: c, worker: w})
	return t.(*Target)
}

// Probe asks a worker on a new connection whether it answers and whether it is leaving; it fits routing.Router.Probe.
func (c *Client) Probe(ctx context.Context, w *routing.Worker) (leaving bool, err error) {
	ctx, cancel := c.Clock.WithTimeout(ctx, c.probeWithin())
	defer cancel()
	t := c.Target(w)
	connection, failure := t.connect(ctx, true)
	if failure != nil {
		return false, failure
	}
	defer t.discard(connection)
	// The path "/" reaches the handler of the worker, which sets the state header; "*" would not on Go servers.
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

// Connections returns how many connections to the worker with this instance id are open, busy or idle.
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

// Awaiting returns how many requests have been sent to workers and wait for the first byte of their answers.
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

// Close closes every idle connection, at the end of the process.
func (c *Client) Close() {
	c.targets.Range(func(_, t any) bool {
		t.(*Target).closeIdle()
		return true
	})
}

// Target is one worker with its connections.
type Target struct {
	client *Client
	worker *routing.Worker

	mu   sync.Mutex
	idle []*conn            // the one used last is at the end
	open map[*conn]struct{} // busy, idle or being opened
}

// Connections returns how many connections are open and how many of them are idle.
func (t *Target) Connections() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), len(t.idle)
}

// get returns an idle connection or opens one.
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

// fresh opens a connection, in the place of an idle one where the limit is reached.
func (t *Target) fresh(ctx context.Context) (*conn, *Failure) {
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

// connect opens a connection; only a probe may exceed the limit, by one.
func (t *Target) connect(ctx context.Context, probe bool) (*conn, *Failure) {
	limit := t.limit()
	t.mu.Lock()
	if len(t.open) >= limit && !probe {
		t.mu.Unlock()
		return nil, &Failure{code: CodeConnections, err: fmt.Errorf("worker %s: %d connections are open", t.worker.ID(), limit)}
	}
	c := &conn{target: t}
	if t.open == nil {
		t.open = map[*conn]struct{}{}
	}
	t.open[c] = struct{}{}
	t.mu.Unlock()
	dialContext, cancel := t.client.Clock.WithTimeout(context.WithValue(ctx, dialing{}, c), t.client.probeWithin())
	defer cancel()
	before := time.Now() // milliseconds are too coarse for a round trip inside a region
	client, err := t.client.transport.NewClientConn(dialContext, "http", t.worker.Address())
	if err != nil {
		if c.Conn == nil {
			t.forget(c)
		} else {
			c.Close()
		}
		return nil, &Failure{code: notSent(ctx, CodeNoConnection), err: err}
	}
	t.worker.ObserveRTT(time.Since(before))
	c.http = client
	c.used.Store(int64(t.client.Clock.Now()))
	return c, nil
}

// limit returns how many connections the slots held on the worker allow.
func (t *Target) limit() int { return ConnectionsPerSlot * max(t.worker.Held(), 1) }

// put keeps a connection for the next request, unless there are more than the slots held allow now.
func (t *Target) put(c *conn) {
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

func (t *Target) discard(c *conn) {
	if c.http != nil {
		c.http.Close()
	}
	c.Close()
}

// forget removes a closed connection.
func (t *Target) forget(c *conn) {
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

// take removes a connection from the idle ones and reports whether it was there.
func (t *Target) take(c *conn) bool {
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

// silence closes the idle connections of a worker on which one went silent: what lost the state of one connection has
// probably lost that of the others, and opening new ones is cheap.
func (t *Target) silence(c *conn) {
	t.client.silences.Add(1)
	t.log(EventSilent)
	t.closeIdle()
}

// probeIdle sends OPTIONS * on an idle connection, which RFC 9110 section 9.3.7 gives as a test that has no effect.
func (t *Target) probeIdle(c *conn) {
	if !t.take(c) {
		if !c.closed.Load() {
			c.arm() // a request has the connection and found the timer still set
		}
		return
	}
	client := t.client
	open, _ := t.Connections()
	if client.Clock.Now()-clock.Millis(c.used.Load()) >= idleLife || t.worker.Leaving() || open > t.limit() {
		t.discard(c)
		return
	}
	ctx, cancel := client.Clock.WithTimeout(context.Background(), client.probeWithin())
	defer cancel()
	used := c.used.Load()
	answer, failure := t.exchange(c, probeRequest(ctx, t.worker.Address(), "*"), Options{BodyBuffered: true})
	if failure == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(answer, maxDrain))
		answer.Close()
		if err == nil {
			c.used.Store(used)
			return
		}
	}
	if failure != nil && failure.code == CodeNotSent {
		return // closed by the worker, which is usual
	}
	t.log(EventProbe)
	t.closeIdle()
}

func (t *Target) log(e *event.Event) {
	e.Log(context.Background(), t.client.Logger, slog.String("worker", t.worker.ID()), slog.String("address", t.worker.Address()))
}

// Options say how a request is sent.
type Options struct {
	// ID is sent as the request id; "" for none.
	ID string
	// BodyBuffered says that the body is in memory; otherwise the answer counts as due once the body has been read to its end.
	BodyBuffered bool
	// Fresh sends the request on a new connection.
	Fresh bool
	// GiveUp is asked each time the answer has not begun after the progress deadline, and reports whether the request
	// is to fail with CodeNoAnswerYet, for example because it can be sent to another worker. It may be called while Do
	// returns. Nil keeps waiting.
	GiveUp func() bool
}

// Do sends a request and returns the answer once its header is there. The context bounds the whole exchange.
func (t *Target) Do(r *http.Request, o Options) (*Answer, *Failure) {
	get := t.get
	if o.Fresh {
		get = t.fresh
	}
	c, failure := get(r.Context())
	if failure != nil {
		return nil, failure
	}
	return t.exchange(c, r, o)
}

func (t *Target) exchange(c *conn, r *http.Request, o Options) (*Answer, *Failure) {
	e := &exchange{giveUp: o.GiveUp}
	e.sent.Store(o.BodyBuffered)
	id := o.ID
	var body *sentBody
	if !o.BodyBuffered {
		body = &sentBody{ReadCloser: r.Body, exchange: e}
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
	if echoed := response.Header.Get(HeaderRequestID); c.unasked.Load() || (echoed != "" && id != "" && echoed != id) {
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

// classify says what became of a request that got no answer.
func (t *Target) classify(ctx context.Context, c *conn, e *exchange, body *sentBody, err error) *Failure {
	if e.seal() {
		if c.unasked.Load() {
			t.log(EventUnasked)
		}
		return &Failure{code: notSent(ctx, CodeNotSent), err: err}
	}
	code := CodeBroken
	switch {
	case e.answer.Load() == abandoned:
		code = CodeAnswerNotBegun
	case c.silent.Load():
		code = CodeSilent
	case body != nil && body.failed.Load():
		code = CodeBody
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		code = CodeDeadline
	case ctx.Err() != nil:
		code = CodeCallerGone
	}
	return &Failure{code: code, err: err}
}

// notSent returns the code for a request of which no byte was written: the end of its context, or otherwise.
func notSent(ctx context.Context, otherwise *result.Code) *result.Code {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return CodeTooLate
	case ctx.Err() != nil:
		return CodeNotSentGone
	}
	return otherwise
}

// sentBody notes when a streamed request body has been passed on to its end or has failed.
type sentBody struct {
	io.ReadCloser
	exchange *exchange
	failed   atomic.Bool
}

// Read passes on the caller's bytes.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.exchange.sent.Store(true)
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

package worker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// slots is a routing.Account with a fixed number of slots.
type slots struct{ free atomic.Int64 }

func (s *slots) TryAcquire(clock.Millis) bool { return true }
func (s *slots) Release()                     {}
func (s *slots) Free() int                    { return int(s.free.Load()) }

// serverConn is one connection accepted by a scripted worker.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	number int // index of the connection, from 0
}

// readRequest reads a request with its body, and returns nil at the end of the connection.
func (p *serverConn) readRequest() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

func (p *serverConn) send(text string) { _, _ = io.WriteString(p.Conn, text) }

// fixture is a client with one scripted worker.
type fixture struct {
	t      *testing.T
	clock  *clock.Clock
	client *Client
	target *Target
	worker *routing.Worker
	router *routing.Router
	last   atomic.Pointer[conn] // the most recently opened connection
	slots  slots                // held on the worker
}

// newFixture runs script for each connection to the worker, and closes the connection when script returns.
func newFixture(t *testing.T, script func(p *serverConn)) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(&serverConn{c, bufio.NewReader(c), n})
			}()
		}
	}()
	f := &fixture{t: t, clock: clock.NewFake(0)}
	f.slots.free.Store(1)
	f.client = &Client{Clock: f.clock}
	f.client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		f.last.Store(ctx.Value(connKey{}).(*conn))
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	f.router = &routing.Router{Clock: f.clock, Seed: 1}
	f.router.Update([]routing.PoolState{routing.NewPoolState("p", "", 1,
		routing.NewWorkerState("w", listener.Addr().String(), "a", &f.slots, false))})
	g, _ := f.router.Acquire("p", 0, nil)
	f.worker = g.Worker()
	g.Release(routing.Neutral, 0)
	f.target = f.client.Target(f.worker)
	t.Cleanup(f.client.Close)
	return f
}

func (f *fixture) request(ctx context.Context, method string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.worker.Address()+"/svc/x", body)
	if err != nil {
		f.t.Fatal(err)
	}
	r.GetBody = nil
	return r
}

// exchange sends a POST and reads the answer to its end.
func (f *fixture) exchange(ctx context.Context, id string) (string, *Failure) {
	a, failure := f.target.Do(f.request(ctx, "POST", strings.NewReader("question")), Options{ID: id, BodyBuffered: true})
	if failure != nil {
		return "", failure
	}
	body, err := io.ReadAll(a)
	if err != nil {
		if _, again := a.Read(make([]byte, 1)); again != err {
			f.t.Errorf("a second Read after the error %v got %v, want the same error", err, again)
		}
		errors.As(err, &failure)
	}
	return string(body), failure
}

// answered sends a request and fails the test unless it gets this answer.
func (f *fixture) answered(want string) {
	f.t.Helper()
	if got, failure := f.exchange(f.t.Context(), ""); failure != nil || got != want {
		f.t.Fatalf("got %q, %v, want %q", got, failure, want)
	}
}

// open sends a request and returns its answer with the body unread.
func (f *fixture) open() *Answer {
	f.t.Helper()
	a, failure := f.target.Do(f.request(f.t.Context(), "GET", nil), Options{BodyBuffered: true})
	if failure != nil {
		f.t.Fatal(failure)
	}
	return a
}

func (f *fixture) requireFailure(failure *Failure, code *result.Code) {
	f.t.Helper()
	if failure == nil || failure.Code() != code {
		f.t.Fatalf("got failure %v, want code %s", failure, code.Name())
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"

// Guards against truncated, unframed, mismatched or invalid answers that are taken for complete ones.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer, body string
		code               *result.Code
	}{
		{"length", wholeAnswer, "answer", nil},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", "answer", nil},
		{"interim", "HTTP/1.1 103 Early Hints\r\n\r\n" + wholeAnswer, "answer", nil},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", nil},
		{"short length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nanswer", "answer", CodeTruncated},
		{"short chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nanswer", "answer", CodeTruncated},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n", "answer", CodeTruncated},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nanswer\r\n", "", CodeTruncated},
		{"unframed", "HTTP/1.0 200 OK\r\n\r\nanswer", "", CodeUnframed},
		{"own id", "HTTP/1.1 200 OK\r\nMagnoliaferry-Request-Id: id-1\r\nContent-Length: 2\r\n\r\nok", "ok", nil},
		{"other id", "HTTP/1.1 200 OK\r\nMagnoliaferry-Request-Id: id-0\r\nContent-Length: 2\r\n\r\nok", "", CodeMismatched},
		{"not run", "HTTP/1.1 503 No\r\nMagnoliaferry-Not-Run: true\r\nContent-Length: 2\r\n\r\nno", "", CodeRefused},
		{"only 503", "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", "no", nil},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-Le", "", CodeBroken},
		{"no answer", "", "", CodeBroken},
		{"garbage", "hello\r\n\r\n", "", CodeBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, func(p *serverConn) {
				p.readRequest()
				p.send(c.answer)
			})
			body, failure := f.exchange(t.Context(), "id-1")
			if c.code != nil {
				f.requireFailure(failure, c.code)
			} else if failure != nil {
				t.Fatal(failure)
			}
			if body != c.body {
				t.Errorf("got body %q, want %q", body, c.body)
			}
		})
	}
}

// Guards against a Magnoliaferry-Worker-State header that is ignored in answers or in refusals, and against refusals of a
// worker that is leaving that count against it.
func TestLeavingHeader(t *testing.T) {
	f := newFixture(t, func(p *serverConn) {
		p.readRequest()
		p.send("HTTP/1.1 200 OK\r\nMagnoliaferry-Worker-State: leaving\r\nContent-Length: 0\r\n\r\n")
		p.readRequest()
		p.send("HTTP/1.1 503 No\r\nMagnoliaferry-Worker-State: leaving\r\nMagnoliaferry-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
		p.readRequest()
	})
	a := f.open()
	if !a.Leaving() {
		t.Error("Leaving of the answer got false, want true")
	}
	a.Close()
	_, failure := f.exchange(t.Context(), "")
	f.requireFailure(failure, CodeRefused)
	if !failure.Leaving() || failure.CountsAgainstWorker() {
		t.Error("want a refusal of a leaving worker that does not count against it")
	}
}

// Guards against connections that are not reused, and against requests that fail because the worker closed an idle
// connection.
func TestReuse(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, func(p *serverConn) {
		for range 3 {
			p.readRequest()
			p.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", p.number))
		}
		p.Close()
		closed <- struct{}{}
	})
	for i := range 6 {
		f.answered(fmt.Sprint(i / 3))
		if i%3 == 2 {
			<-closed
			f.waitUntil(func() bool { open, _ := f.target.Connections(); return open == 0 })
		}
	}
}

// waitUntilReadBlocks waits until the Write of a request that has reached the worker has returned and a Read blocks, so that the test
// may advance the clock.
func (f *fixture) waitUntilReadBlocks() {
	c := f.last.Load()
	f.waitUntil(func() bool { return !c.writing.Load() && c.readSince.Load() != 0 })
}

func (f *fixture) waitUntil(done func() bool) {
	for !done() {
		runtime.Gosched()
	}
}

// Guards against bytes that arrive late or twice on an idle connection and are taken for the answer to the next request.
func TestLateAndDuplicatedAnswers(t *testing.T) {
	for _, together := range []bool{true, false} {
		late, sent := make(chan struct{}), make(chan struct{})
		f := newFixture(t, func(p *serverConn) {
			id := p.readRequest().Header.Get(HeaderRequestID)
			answer := "HTTP/1.1 200 OK\r\nMagnoliaferry-Request-Id: " + id + "\r\nContent-Length: 4\r\n\r\n" + id
			if together {
				p.send(answer + answer)
			} else {
				p.send(answer)
				if p.number == 0 {
					<-late
					p.send(answer)
					sent <- struct{}{}
				}
			}
			p.readRequest()
		})
		if got, failure := f.exchange(t.Context(), "id-1"); failure != nil || got != "id-1" {
			t.Fatalf("first request got %q, %v, want the answer id-1", got, failure)
		}
		if !together {
			late <- struct{}{}
			<-sent
			f.waitUntil(func() bool { open, _ := f.target.Connections(); return open == 0 })
		}
		got, failure := f.exchange(t.Context(), "id-2")
		switch {
		case failure == nil && got != "id-2":
			t.Errorf("got %q, which is the answer to another request", got)
		case failure != nil && together && failure.Code() != CodeMismatched && failure.Code() != CodeNotSent && failure.Code() != CodeBroken:
			t.Errorf("got %v, want CodeMismatched, CodeNotSent, CodeBroken or the right answer", failure)
		case failure != nil && !together:
			t.Error(failure)
		}
	}
}

// Guards against a wrong outcome of requests that fail before any byte is written, because of a refused connection, the
// end of the context or a closed connection: it must be not-run.
func TestNotSent(t *testing.T) {
	f := newFixture(t, func(*serverConn) {})
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	f.client.once.Do(f.client.start)
	f.client.Dial = refused
	_, failure := f.exchange(t.Context(), "")
	f.requireFailure(failure, CodeNoConnection)

	dialing := make(chan struct{})
	f.client.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-dialing; cancel() }()
	_, failure = f.exchange(ctx, "")
	f.requireFailure(failure, CodeCallerGoneBefore)

	dialing = make(chan struct{})
	bounded, stop := f.clock.WithTimeout(t.Context(), 300)
	defer stop()
	go func() { <-dialing; f.clock.Advance(300) }()
	_, failure = f.exchange(bounded, "")
	f.requireFailure(failure, CodeDeadlineBeforeWorker)

	dialing = make(chan struct{})
	go func() { <-dialing; f.clock.Advance(1000) }()
	_, failure = f.exchange(t.Context(), "")
	f.requireFailure(failure, CodeNoConnection)

	f.client.Dial = func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		theirs.Close()
		return ours, nil
	}
	_, failure = f.exchange(t.Context(), "")
	if failure == nil || failure.Code().Outcome() != result.NotRun {
		t.Errorf("connection closed before the first byte: got %v, want outcome not-run", failure)
	}
	if open, _ := f.target.Connections(); open != 0 {
		t.Errorf("%d connections are counted as open, want 0", open)
	}
}

// Guards against a write that happens after a request was reported as not sent: it must fail without writing a byte.
func TestWriteAfterCancel(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &conn{Conn: ours, target: &Target{client: &Client{Clock: clock.NewFake(0)}}}
	e := &exchange{}
	c.exchange.Store(e)
	if !e.cancelUnsent() {
		t.Fatal("cancelUnsent got false before any write, want true")
	}
	if n, err := c.Write([]byte("late")); n != 0 || !errors.Is(err, errCancelled) {
		t.Errorf("got %d, %v, want no byte and errCancelled", n, err)
	}
	e = &exchange{}
	c.exchange.Store(e)
	go func() { _, _ = c.Write([]byte("x")) }()
	_, _ = theirs.Read(make([]byte, 1))
	if e.cancelUnsent() {
		t.Error("cancelUnsent got true after a byte was written, want false")
	}
}

// Guards against a connection without progress while a request is sent or its answer arrives: after 5 s the request must
// fail with an unknown outcome, and this connection and the idle ones to the worker must be closed.
func TestSilentConnection(t *testing.T) {
	for _, sending := range []bool{true, false} {
		reached, begin := make(chan struct{}), make(chan struct{})
		f := newFixture(t, func(p *serverConn) {
			for p.readRequest() != nil {
				reached <- struct{}{}
				<-begin
				if p.number == 1 && !sending {
					p.send("HTTP/1.1 200 OK\r\nContent-Le") // the rest is never sent
					p.readRequest()
					return
				}
				p.send(wholeAnswer)
			}
		})
		f.client.ProbeInterval = clock.Minute // so that the idle connection is not probed
		// Two requests at once leave connection 0 idle while connection 1 goes silent.
		failed, answered := make(chan *Failure, 2), make(chan struct{})
		go func() { f.answered("answer"); close(answered) }()
		<-reached
		first := f.last.Load()
		if sending {
			dial := f.client.Dial
			f.client.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				f.last.Store(ctx.Value(connKey{}).(*conn))
				f.client.Dial = dial
				ours, theirs := net.Pipe()
				t.Cleanup(func() { theirs.Close() })
				go func() { _, _ = theirs.Read(make([]byte, 4)) }()
				return ours, nil
			}
		}
		go func() { _, failure := f.exchange(t.Context(), ""); failed <- failure }()
		if !sending {
			<-reached
			begin <- struct{}{}
			begin <- struct{}{}
			c := f.last.Load()
			f.waitUntil(func() bool { return c.exchange.Load().answer.Load() == answerBegun && c.readSince.Load() != 0 })
		} else {
			f.waitUntil(func() bool { c := f.last.Load(); return c != first && c.writing.Load() && c.readSince.Load() != 0 })
			begin <- struct{}{}
		}
		<-answered
		f.clock.Advance(4999)
		select {
		case failure := <-failed:
			t.Fatalf("ended before 5 s: %v", failure)
		default:
		}
		f.clock.Advance(1)
		f.requireFailure(<-failed, CodeSilent)
		f.waitUntil(func() bool { open, _ := f.target.Connections(); return open == 0 })
		go func() { <-reached; begin <- struct{}{} }()
		f.answered("answer") // on a new connection
		if f.client.SilentConnections() != 1 {
			t.Errorf("got %d silent connections, want 1", f.client.SilentConnections())
		}
	}
}

// Guards against a request that is aborted while the worker computes its answer. If GiveUp allows it, the request must be
// given up exactly when a progress time-out ends, with an unknown outcome.
func TestAnswerNotBegun(t *testing.T) {
	for _, giveUp := range []bool{false, true} {
		release := make(chan struct{})
		f := newFixture(t, func(p *serverConn) {
			p.readRequest()
			<-release
			p.send(wholeAnswer)
			p.readRequest()
		})
		asked := 0
		options := Options{BodyBuffered: true, GiveUp: func() bool { asked++; return asked == 2 }}
		if !giveUp {
			options.GiveUp = nil
		}
		ended := make(chan *Failure, 1)
		go func() {
			a, failure := f.target.Do(f.request(t.Context(), "GET", nil), options)
			if failure == nil {
				if body, _ := io.ReadAll(a); string(body) != "answer" {
					t.Errorf("got %q, want the whole answer", body)
				}
			}
			ended <- failure
		}()
		f.waitUntil(func() bool { return f.client.Awaiting() == 1 })
		f.waitUntilReadBlocks()
		f.clock.Advance(4999)
		if asked != 0 {
			t.Error("GiveUp was called before 5 s")
		}
		f.clock.Advance(1)
		f.clock.Advance(4999)
		select {
		case failure := <-ended:
			t.Fatalf("the request ended before the worker answered or GiveUp returned true: %v", failure)
		default:
		}
		f.clock.Advance(1)
		if giveUp {
			f.requireFailure(<-ended, CodeAnswerNotBegun)
			if open, _ := f.target.Connections(); open != 0 || asked != 2 {
				t.Errorf("got %d connections and %d calls of GiveUp, want 0 and 2", open, asked)
			}
			close(release)
			continue
		}
		f.clock.Advance(10000)
		close(release)
		if failure := <-ended; failure != nil {
			t.Errorf("the request to a worker that computed for 20 s got %v, want an answer", failure)
		}
	}
}

// Guards against Options with Fresh that reuse an idle connection, or that fail because idle connections use up the limit.
func TestNewConnection(t *testing.T) {
	f := newFixture(t, func(p *serverConn) {
		for p.readRequest() != nil {
			p.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", p.number))
		}
	})
	var open []*Answer
	for range ConnectionsPerSlot {
		open = append(open, f.open())
	}
	for _, a := range open {
		_, _ = io.Copy(io.Discard, a)
	}
	a, failure := f.target.Do(f.request(t.Context(), "GET", nil), Options{BodyBuffered: true, NewConnection: true})
	if failure != nil {
		t.Fatal(failure)
	}
	if body, err := io.ReadAll(a); string(body) != fmt.Sprint(ConnectionsPerSlot) || err != nil {
		t.Errorf("the answer came on connection %q, %v, want a new connection", body, err)
	}
	if n, _ := f.target.Connections(); n != ConnectionsPerSlot {
		t.Errorf("got %d open, want %d", n, ConnectionsPerSlot)
	}
}

// Guards against an answer that blocks forever when its connection goes silent, and against one that is aborted because its
// receiver pauses.
func TestSilenceInsideAnswer(t *testing.T) {
	f := newFixture(t, func(p *serverConn) {
		p.readRequest()
		p.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans")
		p.readRequest()
	})
	a := f.open()
	buf := make([]byte, 3)
	if _, err := io.ReadFull(a, buf); err != nil {
		t.Fatal(err)
	}
	f.waitUntil(func() bool { return a.conn.readSince.Load() == 0 })
	f.clock.Advance(60000) // the receiver does not read
	ended := make(chan error)
	go func() { _, err := a.Read(buf); ended <- err }()
	f.waitUntilReadBlocks()
	f.clock.Advance(5000)
	var failure *Failure
	errors.As(<-ended, &failure)
	f.requireFailure(failure, CodeAnswerCut)
}

// Guards against requests that continue after the end of their context, or are then reported as not run.
func TestContextEndsAtWorker(t *testing.T) {
	reached := make(chan struct{})
	f := newFixture(t, func(p *serverConn) {
		p.readRequest()
		reached <- struct{}{}
		p.readRequest()
	})
	ctx, cancel := f.clock.WithTimeout(t.Context(), 1000)
	defer cancel()
	go func() { <-reached; f.clock.Advance(1000) }()
	_, failure := f.exchange(ctx, "")
	f.requireFailure(failure, CodeDeadline)
	gone, leave := context.WithCancel(t.Context())
	go func() { <-reached; leave() }()
	_, failure = f.exchange(gone, "")
	f.requireFailure(failure, CodeCallerGone)
	if failure.CountsAgainstWorker() {
		t.Error("a caller that goes away must not count against the worker")
	}
}

// Guards against a request body that ends early and is reported as a fault of the worker, and against a slow body that makes
// its connection count as silent.
func TestStreamedBody(t *testing.T) {
	reached := make(chan struct{})
	f := newFixture(t, func(p *serverConn) {
		r, err := http.ReadRequest(p.reader)
		if err != nil {
			return
		}
		_, _ = r.Body.Read(make([]byte, 5))
		reached <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	body := &slowBody{asked: make(chan struct{}), release: make(chan struct{})}
	failed := make(chan *Failure)
	go func() {
		_, failure := f.target.Do(f.request(t.Context(), "POST", body), Options{})
		failed <- failure
	}()
	<-reached
	<-body.asked // the first part has been written
	f.clock.Advance(60000)
	close(body.release)
	f.requireFailure(<-failed, CodeRequestBodyFailed)
}

// slowBody returns five bytes, then waits for release and fails.
type slowBody struct {
	started        bool
	asked, release chan struct{}
}

func (b *slowBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		return copy(p, "begin"), nil
	}
	close(b.asked)
	<-b.release
	return 0, errors.New("caller gone")
}

// Guards against more than 8 connections for each slot held, also when the number of slots shrinks.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, func(p *serverConn) {
		for p.readRequest() != nil {
			p.send(wholeAnswer)
		}
	})
	var open []*Answer
	for range ConnectionsPerSlot {
		open = append(open, f.open())
	}
	_, failure := f.exchange(t.Context(), "")
	f.requireFailure(failure, CodeConnectionsInUse)
	if _, err := io.Copy(io.Discard, open[0]); err != nil {
		t.Fatal(err)
	}
	if n, idle := f.target.Connections(); n != ConnectionsPerSlot || idle != 1 {
		t.Errorf("got %d open and %d idle, want %d and 1", n, idle, ConnectionsPerSlot)
	}
	for _, a := range open[1:] {
		a.Close()
	}
	if n := f.client.Connections("w"); n != 1 {
		t.Errorf("got %d open, want 1 after answers that were not read", n)
	}
	f.slots.free.Store(2)
	open = nil
	for range 2 * ConnectionsPerSlot {
		open = append(open, f.open())
	}
	f.slots.free.Store(1) // the number of slots shrinks while the requests run
	for _, a := range open {
		_, _ = io.Copy(io.Discard, a)
	}
	if n, idle := f.target.Connections(); n != ConnectionsPerSlot || idle != n {
		t.Errorf("got %d open and %d idle, want %d of each after the number of slots shrank", n, idle, ConnectionsPerSlot)
	}
}

// Guards against idle connections that are not probed every 5 s, and against ones that stay open without an answer to a
// probe within 1 s.
func TestIdleProbes(t *testing.T) {
	probes := make(chan string)
	f := newFixture(t, func(p *serverConn) {
		p.readRequest()
		p.send(wholeAnswer)
		for n := 0; ; n++ {
			r := p.readRequest()
			if r == nil {
				close(probes)
				return
			}
			probes <- fmt.Sprint(r.Method, " ", r.RequestURI, " on ", p.number)
			if n < 2 {
				p.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	f.answered("answer")
	for range 2 {
		f.clock.Advance(5000)
		if got, want := <-probes, "OPTIONS * on 0"; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		f.waitUntil(func() bool { _, idle := f.target.Connections(); return idle == 1 })
		f.waitUntil(func() bool { return f.clock.PendingTimers() == 1 }) // the timer of the probe has ended
	}
	f.clock.Advance(5000)
	<-probes
	f.clock.Advance(1000)
	<-probes // the script closes the channel at the end of the connection
	if n, _ := f.target.Connections(); n != 0 {
		t.Errorf("got %d connections, want 0", n)
	}
}

// Guards against a probe that does not report that the worker is leaving, or that succeeds without an answer.
func TestProbe(t *testing.T) {
	f := newFixture(t, func(p *serverConn) {
		if r := p.readRequest(); r != nil && r.RequestURI == "/" && p.number == 0 {
			p.send("HTTP/1.1 404 No\r\nMagnoliaferry-Worker-State: leaving\r\nContent-Length: 0\r\n\r\n")
		}
	})
	if leaving, err := f.client.Probe(t.Context(), f.worker); !leaving || err != nil {
		t.Errorf("got %v, %v, want leaving", leaving, err)
	}
	if _, err := f.client.Probe(t.Context(), f.worker); err == nil {
		t.Error("a probe on a connection that is closed without an answer got nil, want an error")
	}
}

// Guards against more retries than 10% of the requests of the last 10 s plus 3 per second.
func TestBudget(t *testing.T) {
	c := clock.NewFake(0)
	b := &RetryBudget{Clock: c}
	count := func() (n int) {
		for b.TakeRetry() {
			n++
		}
		return n
	}
	for range 200 {
		b.CountRequest()
	}
	if got := count(); got != 50 {
		t.Errorf("after 200 requests: got %d retries, want 50 (20 for the requests and 30 for 10 s)", got)
	}
	c.Advance(9000)
	if got := count(); got != 0 {
		t.Errorf("in the same 10 s: got %d retries, want 0", got)
	}
	c.Advance(1000)
	if got := count(); got != 30 {
		t.Errorf("after 10 s without requests: got %d retries, want 30", got)
	}
	c.Advance(100000)
	b.CountRequest()
	if got := count(); got != 30 {
		t.Errorf("after a long pause: got %d retries, want 30", got)
	}
}

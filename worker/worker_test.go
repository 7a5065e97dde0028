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

type slots struct{ free atomic.Int64 }

func (s *slots) TryAcquire(clock.Millis) bool { return true }
func (s *slots) Release()                     {}
func (s *slots) Free() int                    { return int(s.free.Load()) }

// peer is one connection at a scripted worker.
type peer struct {
	net.Conn
	reader *bufio.Reader
	number int // of the connection, from 0
}

// next reads a whole request and returns it.
func (p *peer) next() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

func (p *peer) say(text string) { _, _ = io.WriteString(p.Conn, text) }

// fixture is a client with one scripted worker.
type fixture struct {
	t      *testing.T
	clock  *clock.Clock
	client *Client
	target *Target
	worker *routing.Worker
	router *routing.Router
	last   atomic.Pointer[conn] // opened last
	slots  slots                // held on the worker
}

// newFixture runs script for each connection to the worker; the connection is closed when it returns.
func newFixture(t *testing.T, script func(p *peer)) *fixture {
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
				script(&peer{c, bufio.NewReader(c), n})
			}()
		}
	}()
	f := &fixture{t: t, clock: clock.NewFake(0)}
	f.slots.free.Store(1)
	f.client = &Client{Clock: f.clock}
	f.client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		f.last.Store(ctx.Value(dialing{}).(*conn))
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
			f.t.Errorf("a second read after %v returns %v", err, again)
		}
		errors.As(err, &failure)
	}
	return string(body), failure
}

// answered sends a request and wants this answer.
func (f *fixture) answered(want string) {
	f.t.Helper()
	if got, failure := f.exchange(f.t.Context(), ""); failure != nil || got != want {
		f.t.Fatalf("got %q, %v, want %q", got, failure, want)
	}
}

// open sends a request and leaves its answer unread.
func (f *fixture) open() *Answer {
	f.t.Helper()
	a, failure := f.target.Do(f.request(f.t.Context(), "GET", nil), Options{BodyBuffered: true})
	if failure != nil {
		f.t.Fatal(failure)
	}
	return a
}

func (f *fixture) want(failure *Failure, code *result.Code) {
	f.t.Helper()
	if failure == nil || failure.Code() != code {
		f.t.Fatalf("got failure %v, want %s", failure, code.Name())
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"

// Each way in which an answer can be broken must be told apart from a whole one.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer, body string
		code               *result.Code
	}{
		{"length", whole, "answer", nil},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", "answer", nil},
		{"interim", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "answer", nil},
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
			f := newFixture(t, func(p *peer) {
				p.next()
				p.say(c.answer)
			})
			body, failure := f.exchange(t.Context(), "id-1")
			if c.code != nil {
				f.want(failure, c.code)
			} else if failure != nil {
				t.Fatal(failure)
			}
			if body != c.body {
				t.Errorf("got body %q, want %q", body, c.body)
			}
		})
	}
}

// The state header must be seen with answers and with refusals, and a leaving worker's refusal is not its fault.
func TestLeavingHeader(t *testing.T) {
	f := newFixture(t, func(p *peer) {
		p.next()
		p.say("HTTP/1.1 200 OK\r\nMagnoliaferry-Worker-State: leaving\r\nContent-Length: 0\r\n\r\n")
		p.next()
		p.say("HTTP/1.1 503 No\r\nMagnoliaferry-Worker-State: leaving\r\nMagnoliaferry-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
		p.next()
	})
	a := f.open()
	if !a.Leaving() {
		t.Error("want an answer of a leaving worker")
	}
	a.Close()
	_, failure := f.exchange(t.Context(), "")
	f.want(failure, CodeRefused)
	if !failure.Leaving() || failure.CountsAgainstWorker() {
		t.Error("want leaving and no blame")
	}
}

// A connection must serve many requests, and one that the worker closed while idle must not cost a request.
func TestReuse(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, func(p *peer) {
		for range 3 {
			p.next()
			p.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", p.number))
		}
		p.Close()
		closed <- struct{}{}
	})
	for i := range 6 {
		f.answered(fmt.Sprint(i / 3))
		if i%3 == 2 {
			<-closed
			f.until(func() bool { open, _ := f.target.Connections(); return open == 0 })
		}
	}
}

// settle waits until the write of a request that has reached the worker has returned and a read waits, so that time
// may pass.
func (f *fixture) settle() {
	c := f.last.Load()
	f.until(func() bool { return !c.writing.Load() && c.reading.Load() != 0 })
}

func (f *fixture) until(done func() bool) {
	for !done() {
		runtime.Gosched()
	}
}

// Bytes that arrive late or twice on an idle connection must never become the answer to the next request.
func TestLateAndDuplicatedAnswers(t *testing.T) {
	for _, together := range []bool{true, false} {
		late, sent := make(chan struct{}), make(chan struct{})
		f := newFixture(t, func(p *peer) {
			id := p.next().Header.Get(HeaderRequestID)
			answer := "HTTP/1.1 200 OK\r\nMagnoliaferry-Request-Id: " + id + "\r\nContent-Length: 4\r\n\r\n" + id
			if together {
				p.say(answer + answer)
			} else {
				p.say(answer)
				if p.number == 0 {
					<-late
					p.say(answer)
					sent <- struct{}{}
				}
			}
			p.next()
		})
		if got, failure := f.exchange(t.Context(), "id-1"); failure != nil || got != "id-1" {
			t.Fatalf("got %q, %v", got, failure)
		}
		if !together {
			late <- struct{}{}
			<-sent
			f.until(func() bool { open, _ := f.target.Connections(); return open == 0 })
		}
		got, failure := f.exchange(t.Context(), "id-2")
		switch {
		case failure == nil && got != "id-2":
			t.Errorf("got %q, which is the answer to another request", got)
		case failure != nil && together && failure.Code() != CodeMismatched && failure.Code() != CodeNotSent && failure.Code() != CodeBroken:
			t.Errorf("got %v, want a mismatch, a closed connection or the right answer", failure)
		case failure != nil && !together:
			t.Error(failure)
		}
	}
}

// A request may be called not-run only when no byte of it was written, whatever ends it.
func TestNotSent(t *testing.T) {
	f := newFixture(t, func(*peer) {})
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	f.client.once.Do(f.client.start)
	f.client.Dial = refused
	_, failure := f.exchange(t.Context(), "")
	f.want(failure, CodeNoConnection)

	dialing := make(chan struct{})
	f.client.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-dialing; cancel() }()
	_, failure = f.exchange(ctx, "")
	f.want(failure, CodeNotSentGone)

	dialing = make(chan struct{})
	bounded, stop := f.clock.WithTimeout(t.Context(), 300)
	defer stop()
	go func() { <-dialing; f.clock.Advance(300) }()
	_, failure = f.exchange(bounded, "")
	f.want(failure, CodeTooLate)

	dialing = make(chan struct{})
	go func() { <-dialing; f.clock.Advance(1000) }()
	_, failure = f.exchange(t.Context(), "")
	f.want(failure, CodeNoConnection)

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

// Once a request is given up as not sent, a write that comes later must fail without a byte.
func TestSealedWrite(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &conn{Conn: ours, target: &Target{client: &Client{Clock: clock.NewFake(0)}}}
	e := &exchange{}
	c.exchange.Store(e)
	if !e.seal() {
		t.Fatal("nothing was written")
	}
	if n, err := c.Write([]byte("late")); n != 0 || !errors.Is(err, errSealed) {
		t.Errorf("got %d, %v, want no byte and errSealed", n, err)
	}
	e = &exchange{}
	c.exchange.Store(e)
	go func() { _, _ = c.Write([]byte("x")) }()
	_, _ = theirs.Read(make([]byte, 1))
	if e.seal() {
		t.Error("sealed after a byte was written")
	}
}

// A connection that goes silent while a request is sent or its answer arrives must end the request with the truth after
// 5 s and be replaced, with the idle ones beside it.
func TestSilentConnection(t *testing.T) {
	for _, sending := range []bool{true, false} {
		reached, begin := make(chan struct{}), make(chan struct{})
		f := newFixture(t, func(p *peer) {
			for p.next() != nil {
				reached <- struct{}{}
				<-begin
				if p.number == 1 && !sending {
					p.say("HTTP/1.1 200 OK\r\nContent-Le") // and no more
					p.next()
					return
				}
				p.say(whole)
			}
		})
		f.client.ProbeEvery = clock.Minute // so that no probe takes the idle connection
		// Two requests at once leave connection 0 idle while connection 1 goes silent.
		failed, answered := make(chan *Failure, 2), make(chan struct{})
		go func() { f.answered("answer"); close(answered) }()
		<-reached
		first := f.last.Load()
		if sending {
			dial := f.client.Dial
			f.client.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				f.last.Store(ctx.Value(dialing{}).(*conn))
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
			f.until(func() bool { return c.exchange.Load().answer.Load() == begun && c.reading.Load() != 0 })
		} else {
			f.until(func() bool { c := f.last.Load(); return c != first && c.writing.Load() && c.reading.Load() != 0 })
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
		f.want(<-failed, CodeSilent)
		f.until(func() bool { open, _ := f.target.Connections(); return open == 0 })
		go func() { <-reached; begin <- struct{}{} }()
		f.answered("answer") // on a new connection
		if f.client.SilentConnections() != 1 {
			t.Errorf("got %d silences, want 1", f.client.SilentConnections())
		}
	}
}

// A worker that computes must not be cut before its first byte; where the request can be sent elsewhere it must be given
// up exactly at a progress deadline, as one that may have run.
func TestAnswerNotBegun(t *testing.T) {
	for _, giveUp := range []bool{false, true} {
		release := make(chan struct{})
		f := newFixture(t, func(p *peer) {
			p.next()
			<-release
			p.say(whole)
			p.next()
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
		f.until(func() bool { return f.client.Awaiting() == 1 })
		f.settle()
		f.clock.Advance(4999)
		if asked != 0 {
			t.Error("asked before 5 s")
		}
		f.clock.Advance(1)
		f.clock.Advance(4999)
		select {
		case failure := <-ended:
			t.Fatalf("ended too early: %v", failure)
		default:
		}
		f.clock.Advance(1)
		if giveUp {
			f.want(<-ended, CodeAnswerNotBegun)
			if open, _ := f.target.Connections(); open != 0 || asked != 2 {
				t.Errorf("got %d connections and %d questions, want 0 and 2", open, asked)
			}
			close(release)
			continue
		}
		f.clock.Advance(10000)
		close(release)
		if failure := <-ended; failure != nil {
			t.Errorf("a worker that computed for 20 s: got %v", failure)
		}
	}
}

// A request that was given up must go out on a new connection, also when the limit is reached by idle ones.
func TestFreshConnection(t *testing.T) {
	f := newFixture(t, func(p *peer) {
		for p.next() != nil {
			p.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", p.number))
		}
	})
	var open []*Answer
	for range ConnectionsPerSlot {
		open = append(open, f.open())
	}
	for _, a := range open {
		_, _ = io.Copy(io.Discard, a)
	}
	a, failure := f.target.Do(f.request(t.Context(), "GET", nil), Options{BodyBuffered: true, Fresh: true})
	if failure != nil {
		t.Fatal(failure)
	}
	if body, err := io.ReadAll(a); string(body) != fmt.Sprint(ConnectionsPerSlot) || err != nil {
		t.Errorf("got connection %q, %v, want a new one", body, err)
	}
	if n, _ := f.target.Connections(); n != ConnectionsPerSlot {
		t.Errorf("got %d open, want %d", n, ConnectionsPerSlot)
	}
}

// A connection that goes silent inside an answer must cut it; a receiver that pauses must not.
func TestSilenceInsideAnswer(t *testing.T) {
	f := newFixture(t, func(p *peer) {
		p.next()
		p.say("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans")
		p.next()
	})
	a := f.open()
	buf := make([]byte, 3)
	if _, err := io.ReadFull(a, buf); err != nil {
		t.Fatal(err)
	}
	f.until(func() bool { return a.conn.reading.Load() == 0 })
	f.clock.Advance(60000) // nobody reads
	ended := make(chan error)
	go func() { _, err := a.Read(buf); ended <- err }()
	f.settle()
	f.clock.Advance(5000)
	var failure *Failure
	errors.As(<-ended, &failure)
	f.want(failure, CodeCutAnswer)
}

// The end of the context must end a request at the worker in bounded time and say that it may have run.
func TestEndedAtWorker(t *testing.T) {
	reached := make(chan struct{})
	f := newFixture(t, func(p *peer) {
		p.next()
		reached <- struct{}{}
		p.next()
	})
	ctx, cancel := f.clock.WithTimeout(t.Context(), 1000)
	defer cancel()
	go func() { <-reached; f.clock.Advance(1000) }()
	_, failure := f.exchange(ctx, "")
	f.want(failure, CodeDeadline)
	gone, leave := context.WithCancel(t.Context())
	go func() { <-reached; leave() }()
	_, failure = f.exchange(gone, "")
	f.want(failure, CodeCallerGone)
	if failure.CountsAgainstWorker() {
		t.Error("a caller that goes away must not count against the worker")
	}
}

// A caller's body that ends early must be told from a fault of the worker, and a slow one must not look like silence.
func TestStreamedBody(t *testing.T) {
	reached := make(chan struct{})
	f := newFixture(t, func(p *peer) {
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
	f.want(<-failed, CodeBody)
}

// slowBody gives five bytes, then waits for release and fails.
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

// Connections must stay within 8 for each slot held.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, func(p *peer) {
		for p.next() != nil {
			p.say(whole)
		}
	})
	var open []*Answer
	for range ConnectionsPerSlot {
		open = append(open, f.open())
	}
	_, failure := f.exchange(t.Context(), "")
	f.want(failure, CodeConnections)
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
	f.slots.free.Store(1) // the share shrinks while the requests run
	for _, a := range open {
		_, _ = io.Copy(io.Discard, a)
	}
	if n, idle := f.target.Connections(); n != ConnectionsPerSlot || idle != n {
		t.Errorf("got %d open and %d idle, want %d of each after the share shrank", n, idle, ConnectionsPerSlot)
	}
}

// An idle connection must be probed every 5 s on itself, and closed when it does not answer within 1 s or is unused.
func TestIdleProbes(t *testing.T) {
	probes := make(chan string)
	f := newFixture(t, func(p *peer) {
		p.next()
		p.say(whole)
		for n := 0; ; n++ {
			r := p.next()
			if r == nil {
				close(probes)
				return
			}
			probes <- fmt.Sprint(r.Method, " ", r.RequestURI, " on ", p.number)
			if n < 2 {
				p.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	f.answered("answer")
	for range 2 {
		f.clock.Advance(5000)
		if got, want := <-probes, "OPTIONS * on 0"; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		f.until(func() bool { _, idle := f.target.Connections(); return idle == 1 })
		f.until(func() bool { return f.clock.Waiters() == 1 }) // the timer of the probe has ended
	}
	f.clock.Advance(5000)
	<-probes
	f.clock.Advance(1000)
	<-probes // closed by the script when the connection has ended
	if n, _ := f.target.Connections(); n != 0 {
		t.Errorf("got %d connections, want 0", n)
	}
}

// A probe on a new connection must tell whether the worker is leaving.
func TestProbe(t *testing.T) {
	f := newFixture(t, func(p *peer) {
		if r := p.next(); r != nil && r.RequestURI == "/" && p.number == 0 {
			p.say("HTTP/1.1 404 No\r\nMagnoliaferry-Worker-State: leaving\r\nContent-Length: 0\r\n\r\n")
		}
	})
	if leaving, err := f.client.Probe(t.Context(), f.worker); !leaving || err != nil {
		t.Errorf("got %v, %v, want leaving", leaving, err)
	}
	if _, err := f.client.Probe(t.Context(), f.worker); err == nil {
		t.Error("want an error from a connection that is closed without an answer")
	}
}

// Retries must stay within 10% of the requests of the last 10 s plus 3 per second.
func TestBudget(t *testing.T) {
	c := clock.NewFake(0)
	b := &Budget{Clock: c}
	count := func() (n int) {
		for b.Retry() {
			n++
		}
		return n
	}
	for range 200 {
		b.Request()
	}
	if got := count(); got != 50 {
		t.Errorf("after 200 requests: got %d retries, want 20 and 30", got)
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
	b.Request()
	if got := count(); got != 30 {
		t.Errorf("after a long pause: got %d retries, want 30", got)
	}
}

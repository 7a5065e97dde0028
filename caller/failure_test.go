package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
	"magnoliaferry/worker"
)

// requireRefusal ends the test unless the reply is a refusal with this code, its outcome and a contact.
func (r reply) requireRefusal(t *testing.T, code *result.Code) {
	t.Helper()
	if r.err != nil || r.refusal.Code != code.Number() || r.status != code.Status() || r.refusal.Outcome != string(code.Outcome()) {
		t.Fatalf("got status %d, body %q, error %v, want %d %s", r.status, r.body, r.err, code.Number(), code.Name())
	}
	if r.refusal.Contact == "" || r.header.Get(HeaderContact) != r.refusal.Contact || r.header.Get(HeaderOutcome) != r.refusal.Outcome {
		t.Errorf("got header %v, want contact and outcome as in the body", r.header)
	}
}

// hijack writes raw bytes to the connection and closes it.
func hijack(w http.ResponseWriter, raw string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = io.WriteString(c, raw)
		c.Close()
	}
}

// waitUntil blocks until done returns true.
func waitUntil(done func() bool) {
	for !done() {
		runtime.Gosched()
	}
}

const keyHeader = HeaderRequestKey

// Each request that cannot be served must be refused with its code, as not run.
func TestRefusals(t *testing.T) {
	var runs atomic.Int64
	e := newTestEntry(t, newWorker(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	e.handler.MaxBody = 4
	for _, c := range []struct {
		path, body string
		headers    []string
		code       *result.Code
	}{
		{"/other/x", "", nil, CodeNoService},
		{"/", "", nil, CodeNoService},
		{"/svc", "", []string{HeaderCaller, "a/b"}, CodeBadHeader},
		{"/svc", "", []string{HeaderCaller, strings.Repeat("a", 65)}, CodeBadHeader},
		{"/svc", "", []string{keyHeader, "k"}, CodeBadHeader},
		{"/svc", "", []string{HeaderCaller, "a", keyHeader, "a b"}, CodeBadHeader},
		{"/svc", "", []string{HeaderUrgency, "soon"}, CodeBadHeader},
		{"/svc", "", []string{HeaderDeadline, "-1"}, CodeBadHeader},
		{"/svc", "", []string{HeaderDeadline, "0"}, CodeBadHeader},
		{"/svc", "", []string{HeaderDeadline, "99999999999999999999"}, CodeBadHeader},
		{"/svc", "12345", nil, CodeBodyTooLarge},
	} {
		e.do("POST", c.path, c.body, c.headers...).requireRefusal(t, c.code)
	}
	request, _ := http.NewRequest("POST", e.server.URL+"/svc", io.MultiReader(strings.NewReader("12345"))) // chunked
	e.send(request).requireRefusal(t, CodeBodyTooLarge)
	request, _ = http.NewRequest("GET", e.server.URL+"/svc", nil)
	request.Header[HeaderUrgency] = []string{"urgent", "batch"}
	e.send(request).requireRefusal(t, CodeBadHeader)
	e.queue.refuse = result.Refuse(CodeTooManyRequests, "full", 1500)
	full := e.do("GET", "/svc", "")
	full.requireRefusal(t, CodeTooManyRequests)
	if got := full.header.Get("Retry-After"); got != "2" {
		t.Errorf("got Retry-After %q, want 1500 ms rounded up to 2", got)
	}
	e.handler.Ready = func() bool { return false }
	if got := e.do("GET", HealthPath, ""); got.status != 503 || got.body != "no-slots\n" {
		t.Errorf("got health %d %q, want 503 without slots", got.status, got.body)
	}
	e.handler.Ready = nil
	e.handler.Claims = nil
	e.do("POST", "/svc", "", HeaderCaller, "a", keyHeader, "k").requireRefusal(t, CodeClaimFailed)
	e.handler.Configuration = func() *config.Configuration { return nil }
	e.do("GET", "/svc", "").requireRefusal(t, CodeNoConfiguration)
	if got := e.do("GET", HealthPath, ""); got.status != 503 || got.body != "no-configuration\n" {
		t.Errorf("got health %d %q, want 503 without a configuration", got.status, got.body)
	}
	if runs.Load() != 0 {
		t.Errorf("%d refused requests ran, want 0", runs.Load())
	}
}

// After a broken answer the request must be retried only if it may run again, and the answer must never look complete.
func TestBrokenAnswers(t *testing.T) {
	short := "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
	for _, c := range []struct {
		name, method, raw string
		runs              int64
		code              *result.Code // nil if the second worker's answer is expected
	}{
		{"truncated, idempotent", "GET", short, 1, nil},
		{"truncated, not idempotent", "POST", short, 1, worker.CodeTruncated},
		{"killed while it ran, idempotent", "PUT", "", 1, nil},
		{"killed while it ran, not idempotent", "POST", "", 1, worker.CodeBroken},
		{"not run, not idempotent", "POST", "HTTP/1.1 503 No\r\nMagnoliaferry-Not-Run: true\r\nContent-Length: 0\r\n\r\n", 1, nil},
		{"mismatched", "POST", "HTTP/1.1 200 OK\r\nMagnoliaferry-Request-Id: x\r\nContent-Length: 0\r\n\r\n", 1, worker.CodeMismatched},
	} {
		t.Run(c.name, func(t *testing.T) {
			var bad, good atomic.Int64
			e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				bad.Add(1)
				hijack(w, c.raw)
			}), newWorker(t, func(w http.ResponseWriter, r *http.Request) {
				good.Add(1)
				_, _ = io.Copy(w, r.Body)
			}))
			got := e.do(c.method, "/svc", "question")
			if c.code != nil {
				got.requireRefusal(t, c.code)
			} else if got.err != nil || got.status != 200 {
				t.Fatalf("got %+v, want the second worker's answer", got)
			}
			if want := map[bool]int64{true: 1, false: 0}[c.code == nil]; bad.Load() != c.runs || good.Load() != want {
				t.Errorf("got %d and %d runs at the first and second worker, want %d and %d", bad.Load(), good.Load(), c.runs, want)
			}
		})
	}
}

// If a worker is down before the dispatch, the request must be sent to another worker, even if it is not idempotent.
func TestWorkerDownBefore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down := listener.Addr().String()
	listener.Close()
	e := newTestEntry(t, down, newWorker(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	if got := e.do("POST", "/svc", "x", HeaderCaller, "alice", keyHeader, "k1"); got.body != "ok" {
		t.Errorf("got %+v, want the answer of the other worker", got)
	}
	alone := newTestEntry(t, down)
	alone.do("POST", "/svc", "x", HeaderCaller, "alice", keyHeader, "k2").requireRefusal(t, worker.CodeNoConnection)
	if c := alone.claims.known["alice/k2"]; c.used != 0 || c.abandoned != 1 || c.answer != nil {
		t.Errorf("got claim %+v of a request that was not run, want one Abandon and no Use without Undo", c)
	}
}

// A caller that does not read its answer must occupy no slot and no quota once the answer is in memory, and no slot and no
// memory after its deadline.
func TestSlowCaller(t *testing.T) {
	for _, size := range []int{1 << 20, 64 << 20} { // buffered and streamed; the first may fit into the socket buffers
		e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
		c, err := net.Dial("tcp", address(e.server))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(c, "GET /svc HTTP/1.1\r\nHost: x\r\n\r\n")
		waitUntil(func() bool {
			found := e.handler.counters.answers.Value() == 1
			e.handler.inFlight.forEach(func(r *request) { found = found || r.stage.Load() == &stageAnswer })
			return found
		})
		if size == 1<<20 {
			waitUntil(func() bool { return e.slots[0].Free() == 8 })
		}
		e.clock.Advance(10000)
		waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
		if e.slots[0].Free() != 8 || e.handler.memory.used.Load() != 0 {
			t.Errorf("got %d free slots and %d buffered bytes after the deadline, want 8 and 0", e.slots[0].Free(), e.handler.memory.used.Load())
		}
	}
}

// A fault at the claim, at the dispatch or in the answer must end the request with the correct code and leak no slot and no
// memory, in normal operation and while the entry instance stops.
func TestFaultsAtEachStep(t *testing.T) {
	for _, c := range []struct {
		name, raw     string // the bytes that the worker sends before it closes the connection
		hangs         bool   // until the deadline or until the request is cut
		claim         bool   // the claim hangs, not the worker
		whileServing  *result.Code
		whileStopping *result.Code
		runs          int64
	}{
		{name: "store slow", hangs: true, claim: true, whileServing: CodeDeadlineWhileWaiting, whileStopping: CodeStopping},
		{name: "silent connection", hangs: true, whileServing: worker.CodeDeadline, whileStopping: CodeCut, runs: 1},
		{name: "worker lost", whileServing: worker.CodeBroken, whileStopping: worker.CodeBroken, runs: 1},
		{name: "worker lost in the answer", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
			whileServing: worker.CodeTruncated, whileStopping: worker.CodeTruncated, runs: 1},
		{name: "worker fails", raw: "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", runs: 1},
	} {
		for _, stopping := range []bool{false, true} {
			var runs atomic.Int64
			finish := make(chan struct{})
			e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				select {
				case <-finish:
					hijack(w, c.raw)
				case <-r.Context().Done():
				}
			}))
			e.claims.block = c.claim
			ended := make(chan reply, 1)
			go func() { ended <- e.do("POST", "/svc", "", HeaderCaller, "alice", keyHeader, "k") }()
			waitUntil(func() bool {
				claiming := false
				e.handler.inFlight.forEach(func(r *request) { claiming = claiming || r.stage.Load() == &stageClaim })
				return (e.handler.Client.Awaiting() == 1 && runs.Load() == c.runs) || (c.claim && claiming)
			})
			want, wait := c.whileServing, 10*clock.Second
			if stopping {
				want, wait = c.whileStopping, 3*clock.Second
				ctx, cancel := e.clock.WithTimeout(t.Context(), wait)
				defer cancel()
				go e.handler.Stop(ctx)
				waitUntil(func() bool { return e.handler.inFlight.state.Load() == stateStopping })
			}
			if c.hangs {
				e.clock.Advance(wait)
			} else {
				close(finish)
			}
			got := <-ended
			if want != nil {
				got.requireRefusal(t, want)
			} else if got.status != 500 || got.header.Get(HeaderOutcome) != "ran" {
				t.Errorf("%s: got %+v, want the worker's 500", c.name, got)
			}
			waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
			if e.slots[0].Free() != 8 || e.handler.memory.used.Load() != 0 || runs.Load() != c.runs {
				t.Errorf("%s: got %d free slots, %d buffered bytes and %d runs, want 8, 0 and %d", c.name, e.slots[0].Free(),
					e.handler.memory.used.Load(), runs.Load(), c.runs)
			}
		}
	}
}

// If many requests wait when the entry instance stops and half of the callers disconnect, each request must end with a
// correct outcome and none may leak a slot or memory.
func TestFloodWhileStopping(t *testing.T) {
	for _, urgency := range []string{"batch", "urgent"} {
		var runs sync.Map
		e := newTestEntry(t, newWorker(t, func(_ http.ResponseWriter, r *http.Request) {
			runs.Store(r.URL.Path, true)
			<-r.Context().Done()
		}))
		const count = 28 // 8 slots and 20 that wait
		leaving, leave := context.WithCancel(t.Context())
		defer leave()
		var outcomes [count]string
		var callers sync.WaitGroup
		for i := range count {
			callers.Go(func() {
				ctx, path := t.Context(), fmt.Sprint("/svc/", i)
				if i%2 == 0 {
					ctx = leaving
				}
				request, _ := http.NewRequestWithContext(ctx, "POST", e.server.URL+path, nil)
				request.Header.Set(HeaderUrgency, urgency)
				got := e.send(request)
				outcomes[i] = got.refusal.Outcome
				if i%2 != 0 && got.err != nil {
					t.Errorf("%s: got %v, want a refusal", path, got.err)
				}
			})
		}
		waitUntil(func() bool { return e.handler.Client.Awaiting() == 8 && e.handler.inFlight.count.Load() == count })
		ctx, cancel := e.clock.WithTimeout(t.Context(), 3000)
		defer cancel()
		stopped := make(chan struct{})
		go func() { e.handler.Stop(ctx); close(stopped) }()
		waitUntil(func() bool { return e.handler.inFlight.state.Load() == stateStopping })
		leave()
		e.clock.Advance(3000)
		callers.Wait()
		<-stopped
		for i := 1; i < count; i += 2 {
			_, ran := runs.Load(fmt.Sprint("/svc/", i))
			if got := outcomes[i]; (got != "unknown" && got != "not-run") || (got == "not-run" && ran) {
				t.Errorf("request %d: got outcome %q, ran %v; want unknown, or not-run if it did not run", i, got, ran)
			}
		}
		if e.handler.inFlight.count.Load() != 0 || e.slots[0].Free() != 8 || e.handler.memory.used.Load() != 0 {
			t.Errorf("got %d requests in flight and %d free slots, want 0 and 8, and no buffered bytes", e.handler.inFlight.count.Load(), e.slots[0].Free())
		}
	}
}

// If a worker does not answer for 20 s, the entry instance must keep waiting, or abandon the attempt for another worker if
// the request may run again. A request on a connection that never answers must end with the correct code. All slots must
// be free afterwards.
func TestSlowAndSilent(t *testing.T) {
	for _, c := range []struct {
		name, method string
		workers      int
		budgetSpent  bool // the retry budget is used up
		silent       bool // the first worker never answers
		code         *result.Code
		runs         int64
	}{
		{"computes, not idempotent", "POST", 2, false, false, nil, 1},
		{"computes, idempotent", "PUT", 2, false, false, nil, 2},
		{"computes, no other worker", "PUT", 1, false, false, nil, 1},
		{"computes, no budget", "PUT", 2, true, false, nil, 1},
		{"silent, not idempotent", "POST", 2, false, true, worker.CodeDeadline, 1},
		{"silent, idempotent", "PUT", 2, false, true, nil, 2},
		{"silent, no other worker", "PUT", 1, false, true, worker.CodeDeadline, 1},
		{"silent, no budget", "PUT", 2, true, true, worker.CodeDeadline, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			release := make(chan struct{})
			serve := func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if n := runs.Add(1); n == 1 && c.silent {
					<-r.Context().Done()
					return
				}
				select {
				case <-release:
					_, _ = w.Write(body)
				case <-r.Context().Done():
				}
			}
			var addresses []string
			for range c.workers {
				addresses = append(addresses, newWorker(t, serve))
			}
			e := newTestEntry(t, addresses...)
			e.clock.Advance(500)
			advance := func(d clock.Millis) { // uses up the budget of the second in which the d ms end
				e.clock.Advance(d - 250)
				for c.budgetSpent && e.handler.currentRoutes().services["svc"].budget.TakeRetry() {
				}
				e.clock.Advance(250)
			}
			ended := make(chan reply, 1)
			go func() { ended <- e.do(c.method, "/svc", "question", HeaderDeadline, "30000") }()
			waitForRuns := func(n int64) { waitUntil(func() bool { return runs.Load() == n && e.handler.Client.Awaiting() == 1 }) }
			waitForRuns(1)
			advance(5000)
			waitForRuns(c.runs)
			for range 4 {
				advance(5000)
			}
			if c.code != nil {
				advance(5000)
				(<-ended).requireRefusal(t, c.code)
			} else {
				close(release)
				if got := <-ended; got.err != nil || got.body != "question" {
					t.Errorf("got %+v, want the complete answer", got)
				}
			}
			waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
			for i, s := range e.slots {
				if s.Free() != 8 {
					t.Errorf("worker %d: got %d free slots, want 8", i, s.Free())
				}
			}
			if got := runs.Load(); got != c.runs {
				t.Errorf("got %d runs, want %d", got, c.runs)
			}
		})
	}
}

// Large answers and request bodies must arrive complete within the memory budget, and an answer that ends early must abort
// the caller's connection.
func TestLargeBodies(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 3<<16) // 3 MiB
	var cut atomic.Bool
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Length", fmt.Sprint(len(body)))
		if r.URL.Path == "/svc/length" {
			w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		}
		if cut.Load() {
			_, _ = w.Write(large[:2<<20])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(large)
	}))
	for _, budget := range []int64{0, 8 << 10} { // with and without room to buffer
		for _, path := range []string{"/svc/chunks", "/svc/length"} {
			cut.Store(false)
			e.handler.memory.limit = max(budget, 1)
			if budget == 0 {
				e.handler.memory.limit = defaultBufferBytes
			}
			got := e.do("POST", path, string(large))
			if got.err != nil || got.body != string(large) || got.header.Get("X-Length") != fmt.Sprint(len(large)) {
				t.Errorf("%s: got %d bytes, error %v, want the complete answer", path, len(got.body), got.err)
			}
			cut.Store(true)
			if got := e.do("GET", path, ""); got.err == nil {
				t.Errorf("%s: got %d bytes of an answer that ended early, want an error", path, len(got.body))
			}
		}
	}
	waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
	if used := e.handler.memory.used.Load(); used != 0 {
		t.Errorf("%d bytes of the memory budget were not released", used)
	}
	if got := e.handler.counters.aborted.Value(); got != 4 {
		t.Errorf("got %d aborted answers, want 4", got)
	}
}

// A worker whose answer says that it is leaving must get no further request.
func TestLeavingWorker(t *testing.T) {
	var runs atomic.Int64
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(worker.HeaderState, "leaving")
	}), newWorker(t, func(http.ResponseWriter, *http.Request) {}))
	for range 10 {
		got := e.do("GET", "/svc", "")
		if got.status != 200 || got.header.Get(worker.HeaderState) != "" {
			t.Fatalf("got status %d and header %v, want 200 without the worker's state header", got.status, got.header)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("the leaving worker ran %d requests, want 1", runs.Load())
	}
}

// A worker that fails all requests must be ejected; if all workers fail, callers must still get their answers.
func TestFailingWorkers(t *testing.T) {
	var all atomic.Bool
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	other := func(w http.ResponseWriter, r *http.Request) {
		if all.Load() {
			fail(w, r)
		}
	}
	e := newTestEntry(t, newWorker(t, fail), newWorker(t, other), newWorker(t, other))
	var states []routing.WorkerState
	for i, a := range e.addresses {
		states = append(states, routing.NewWorkerState(fmt.Sprint("w", i), a, "a", newSlots(8), false))
	}
	e.handler.Router.Update([]routing.PoolState{routing.NewPoolState("pool", "round-robin", 2, states...)})
	errorsSeen := 0
	for range 60 {
		if e.do("GET", "/svc", "").status == 500 {
			errorsSeen++
		}
	}
	if serving, _ := e.handler.Router.Serving("pool"); errorsSeen != 5 || serving != 2 {
		t.Errorf("got %d answers with status 500 and %d serving workers, want 5 and 2", errorsSeen, serving)
	}
	all.Store(true)
	for range 20 {
		if got := e.do("GET", "/svc", ""); got.status != 500 || got.header.Get(HeaderOutcome) != "ran" {
			t.Fatalf("got status %d, want the worker's 500 with outcome ran", got.status)
		}
	}
	if serving, failing := e.handler.Router.Serving("pool"); serving != 3 || !failing {
		t.Errorf("got %d serving workers and failing %v, want all 3 and a failing pool", serving, failing)
	}
}

// A request with a key must run once: repeats get the recorded answer, or a refusal if there is none.
func TestClaims(t *testing.T) {
	var runs atomic.Int64
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		switch r.URL.Path {
		case "/svc/cut":
			hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		case "/svc/kill":
			hijack(w, "")
		case "/svc/large":
			_, _ = w.Write(make([]byte, maxRecordedBytes+1))
		default:
			w.Header().Set("X-Run", fmt.Sprint(runs.Load()))
			_, _ = io.WriteString(w, "done")
		}
	}))
	sendTwice := func(path, k string) reply {
		before := runs.Load()
		e.do("POST", path, "x", HeaderCaller, "alice", keyHeader, k)
		got := e.do("POST", path, "x", HeaderCaller, "alice", keyHeader, k)
		if n := runs.Load() - before; n != 1 {
			t.Errorf("%s: two requests with one key led to %d runs, want 1", path, n)
		}
		return got
	}
	got := sendTwice("/svc/x", "k1")
	if got.body != "done" || got.header.Get("X-Run") != "1" || got.header.Get(HeaderResult) != "2001" {
		t.Errorf("got %+v, want the recorded answer", got)
	}
	e.do("POST", "/svc/x", "y", HeaderCaller, "alice", keyHeader, "k1").requireRefusal(t, codeKnown) // the same key with another body
	for i, c := range []struct {
		path string
		want State
	}{{"/svc/cut", NotKept}, {"/svc/kill", Unknown}, {"/svc/large", NotKept}} {
		k := fmt.Sprint("k", i+2)
		sendTwice(c.path, k).requireRefusal(t, codeKnown)
		if got := e.claims.known["alice/"+k]; got.answer == nil || got.answer.State() != c.want || got.used != 1 || got.abandoned != 0 {
			t.Errorf("%s: got claim %+v, want state %d", c.path, got, c.want)
		}
	}
	e.claims.err = errors.New("table down")
	e.do("POST", "/svc", "", HeaderCaller, "alice", keyHeader, "k6").requireRefusal(t, CodeClaimFailed)
	if got := e.do("POST", "/svc/x", "x"); got.body != "done" {
		t.Errorf("without a key: got %+v, want no claim", got)
	}
	if got := e.do("PUT", "/svc/x", "x", HeaderCaller, "alice", keyHeader, "k7"); got.body != "done" {
		t.Errorf("idempotent: got %+v, want no claim", got)
	}
}

// A deadline must end a request in each stage with the correct outcome, and it must be sent to the worker in a header.
func TestDeadlines(t *testing.T) {
	reached := make(chan string, 1)
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/svc/large" {
			_, _ = w.Write(make([]byte, 2<<20))
			_ = http.NewResponseController(w).Flush()
		}
		reached <- r.Header.Get(HeaderDeadline)
		<-r.Context().Done()
	}))
	waitForStage := func(stage *string) {
		waitUntil(func() bool {
			found := false
			e.handler.inFlight.forEach(func(r *request) { found = found || r.stage.Load() == stage })
			return found
		})
	}
	start := func(method, path, body string, headers ...string) <-chan reply {
		ended := make(chan reply, 1)
		go func() { ended <- e.do(method, path, body, append(headers, HeaderDeadline, "700")...) }()
		return ended
	}

	unfinished, bodyWriter := io.Pipe()
	request, _ := http.NewRequest("POST", e.server.URL+"/svc", unfinished)
	request.Header.Set(HeaderDeadline, "700")
	reading := make(chan reply, 1)
	go func() { reading <- e.send(request) }()
	_, _ = io.WriteString(bodyWriter, "x")
	waitForStage(&stageReading)
	e.clock.Advance(700)
	(<-reading).requireRefusal(t, CodeBodyIncomplete)
	bodyWriter.Close()

	e.claims.block = true
	claiming := start("POST", "/svc", "", HeaderCaller, "alice", keyHeader, "k")
	waitForStage(&stageClaim)
	e.clock.Advance(700)
	(<-claiming).requireRefusal(t, CodeDeadlineWhileWaiting)
	e.claims.block = false

	dispatched := start("GET", "/svc", "")
	if got := <-reached; got != "700" {
		t.Errorf("worker received the deadline %q ms, want 700", got)
	}
	e.clock.Advance(700)
	(<-dispatched).requireRefusal(t, worker.CodeDeadline)

	request, _ = http.NewRequest("GET", e.server.URL+"/svc/large", nil)
	request.Header.Set(HeaderDeadline, "700")
	response, err := e.server.Client().Do(request) // returns once the answer's header has arrived
	if err != nil {
		t.Fatal(err)
	}
	<-reached
	e.clock.Advance(700)
	if n, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Errorf("got %d bytes of an answer that the deadline ended early, want an error", n)
	}
	response.Body.Close()

	waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
	e.slots[0].free.Store(0)
	waiting := start("GET", "/svc", "")
	waitForStage(&stageQueue)
	e.clock.Advance(700)
	(<-waiting).requireRefusal(t, CodeDeadlineWhileWaiting)
}

// If a caller disconnects, its request must be cancelled at the worker, unless it has a key, with which the caller can ask
// for the answer again.
func TestCallerGone(t *testing.T) {
	reached, release, gone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reached <- struct{}{}
		if r.Header.Get(keyHeader) == "" {
			<-r.Context().Done()
			close(gone)
			return
		}
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	call := func(headers ...string) {
		ctx, cancel := context.WithCancel(t.Context())
		request, _ := http.NewRequestWithContext(ctx, "POST", e.server.URL+"/svc", strings.NewReader("x"))
		for i := 0; i < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		ended := make(chan reply, 1)
		go func() { ended <- e.send(request) }()
		<-reached
		cancel()
		<-ended
	}
	call()
	<-gone
	call(HeaderCaller, "alice", keyHeader, "k")
	close(release)
	waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
	if got := e.do("POST", "/svc", "x", HeaderCaller, "alice", keyHeader, "k"); got.body != "done" || got.header.Get(HeaderResult) != "2001" {
		t.Errorf("got %+v, want the recorded answer", got)
	}
}

// A stop must wait for running requests, refuse new ones and report those that it cut, each with the correct code.
func TestStop(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	for _, cut := range []bool{false, true} {
		e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, _ *http.Request) {
			reached <- struct{}{}
			<-release
			_, _ = io.WriteString(w, "done")
		}))
		inFlight := make(chan reply, 1)
		go func() { inFlight <- e.do("POST", "/svc", "") }()
		<-reached
		if got := e.do("GET", HealthPath, ""); got.status != 200 {
			t.Errorf("got health %d, want 200", got.status)
		}
		e.handler.Leave()
		if got := e.do("GET", HealthPath, ""); got.status != 503 || got.body != "leaving\n" {
			t.Errorf("got health %d %q, want 503 leaving", got.status, got.body)
		}
		ctx, cancel := e.clock.WithTimeout(t.Context(), 3000)
		defer cancel()
		cuts := make(chan []Cut, 1)
		go func() { cuts <- e.handler.Stop(ctx) }()
		waitUntil(func() bool { return e.handler.inFlight.state.Load() == stateStopping })
		e.do("GET", "/svc", "").requireRefusal(t, CodeStopping)
		if !cut {
			release <- struct{}{}
			if got := <-inFlight; got.body != "done" || len(<-cuts) != 0 {
				t.Errorf("got %+v, want the worker's answer and no request cut", got)
			}
			continue
		}
		e.clock.Advance(3000)
		(<-inFlight).requireRefusal(t, CodeCut)
		if got := <-cuts; len(got) != 1 || got[0].Stage() != stageDispatch || got[0].Age() != 3000 || got[0].Service() != "svc" {
			t.Errorf("got %+v, want one request cut in dispatch after 3000 ms", got)
		}
		release <- struct{}{}
	}
}

// The server must accept requests, still serve them while leaving, and stop without an error.
func TestServer(t *testing.T) {
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- (&Server{Handler: e.handler, Listener: listener, LeaveFor: 3000}).Run(ctx) }()
	get := func() string {
		response, err := http.Get("http://" + listener.Addr().String() + "/svc")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}
	if got := get(); got != "ok" {
		t.Fatalf("got %q, want the worker's answer", got)
	}
	waiters := e.clock.PendingTimers()
	cancel()
	waitUntil(func() bool {
		return e.handler.inFlight.state.Load() == stateLeaving && e.clock.PendingTimers() > waiters
	})
	if got := get(); got != "ok" {
		t.Errorf("while leaving: got %q, want an answer", got)
	}
	e.clock.Advance(3000)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// If Server.Abort is closed, running requests must be cut at once with the correct code, both during LeaveFor and during
// Grace.
func TestServerAbort(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		reached := make(chan struct{}, 1)
		e := newTestEntry(t, newWorker(t, func(_ http.ResponseWriter, r *http.Request) {
			reached <- struct{}{}
			<-r.Context().Done()
		}))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		abort, ended := make(chan struct{}), make(chan error, 1)
		s := &Server{Handler: e.handler, Listener: listener, LeaveFor: 3000, Abort: abort}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { ended <- s.Run(ctx) }()
		inFlight := make(chan reply, 1)
		go func() {
			request, _ := http.NewRequest("POST", "http://"+listener.Addr().String()+"/svc", nil)
			inFlight <- e.send(request)
		}()
		<-reached
		waitUntil(func() bool { return e.handler.Client.Awaiting() == 1 })
		waiters := e.clock.PendingTimers()
		cancel()
		waitUntil(func() bool {
			return e.handler.inFlight.state.Load() == stateLeaving && e.clock.PendingTimers() > waiters
		})
		if !leaving {
			e.clock.Advance(3000)
			waitUntil(func() bool { return e.handler.inFlight.state.Load() == stateStopping })
		}
		close(abort)
		(<-inFlight).requireRefusal(t, CodeCut)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if got := s.Cuts(); len(got) != 1 || got[0].Stage() != stageDispatch {
			t.Errorf("got %+v, want one request cut in dispatch", got)
		}
	}
}

// The quota of a team and the limit of a pool must bound the number of permits, and must be released even if no worker is
// free.
func TestQuotas(t *testing.T) {
	e := newTestEntry(t, newWorker(t, func(http.ResponseWriter, *http.Request) {}))
	c := config.New(config.Fields{Pools: []config.PoolFields{{Name: "pool", MaxInFlight: 2}},
		Teams: []config.TeamFields{{Name: "team", MaxInFlight: 1, Callers: []string{"alice"}}}})
	e.handler.Configuration = func() *config.Configuration { return c }
	accounts := map[string]*slotAccount{"pool/pool": newSlots(2), "team/team": newSlots(1)}
	e.handler.Quota = func(resource string) routing.Account { return accounts[resource] }
	acquire := func(team string) *Permit { p, _ := e.handler.Acquire("pool", team, clock.Minute); return p }
	first := acquire("team")
	if first == nil || acquire("team") != nil || acquire("") == nil || acquire("") != nil {
		t.Fatal("Acquire: want one permit for the team, then one without a team, and none beyond the limits of the team and of the pool")
	}
	first.Release()
	first.Release()
	if accounts["team/team"].Free() != 1 || accounts["pool/pool"].Free() != 1 {
		t.Errorf("got %d free for the team and %d for the pool after Release, want 1 and 1", accounts["team/team"].Free(), accounts["pool/pool"].Free())
	}
	e.slots[0].free.Store(0)
	if acquire("team") != nil || accounts["team/team"].Free() != 1 || accounts["pool/pool"].Free() != 1 {
		t.Error("Acquire without a free worker: want no permit and both quotas released")
	}
}

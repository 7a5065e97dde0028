package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
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

// slotAccount is an account with a fixed number of slots.
type slotAccount struct{ free atomic.Int64 }

func newSlots(n int64) *slotAccount { a := &slotAccount{}; a.free.Store(n); return a }

func (a *slotAccount) TryAcquire(clock.Millis) bool {
	if a.free.Add(-1) < 0 {
		a.free.Add(1)
		return false
	}
	return true
}
func (a *slotAccount) Release()  { a.free.Add(1) }
func (a *slotAccount) Free() int { return int(a.free.Load()) }

// directQueue is a Queue without order: a ticket waits until a permit is free, and tries again after each Wake.
type directQueue struct {
	h      *Handler
	refuse *result.Refusal
	woken  chan struct{}
}

type directTicket struct {
	q       *directQueue
	request QueueRequest
}

func (q *directQueue) Enter(request QueueRequest) (Ticket, *result.Refusal) {
	return directTicket{q, request}, q.refuse
}

func (q *directQueue) Wake() {
	select {
	case q.woken <- struct{}{}:
	default:
	}
}

func (t directTicket) Leave() {}

func (t directTicket) Wait(ctx context.Context) (*Permit, *result.Refusal) {
	for {
		if p, ok := t.q.h.Acquire("pool", t.request.Team(), t.request.Deadline()); ok {
			return p, nil
		}
		select {
		case <-t.q.woken:
		case <-ctx.Done():
			return nil, result.Refuse(CodeDeadlineWhileWaiting, "waited until the deadline", clock.Second)
		}
	}
}

// memoryClaims is an in-memory implementation of Claims.
type memoryClaims struct {
	mu    sync.Mutex
	known map[string]*memoryClaim
	err   error
	block bool // Claim blocks until its context ends
}

var codeKnown = result.New(2099, "test-known", 409, result.Unknown, "a claim that is known without an answer")

type memoryClaim struct {
	fingerprint     string
	used, abandoned int
	answer          *Recorded
}

func (c *memoryClaim) Use() error        { c.used++; return nil }
func (c *memoryClaim) Undo()             { c.used-- }
func (c *memoryClaim) Abandon()          { c.abandoned++ }
func (c *memoryClaim) Finish(a Recorded) { c.answer = &a }

func (s *memoryClaims) Claim(ctx context.Context, caller, key, fingerprint string, _ clock.Millis) (Decision, error) {
	if s.block {
		<-ctx.Done()
		return Decision{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.known[caller+"/"+key]
	switch {
	case s.err != nil:
		return Decision{}, s.err
	case c == nil || c.abandoned > 0:
		c = &memoryClaim{fingerprint: fingerprint}
		s.known[caller+"/"+key] = c
		return Granted(c), nil
	case c.fingerprint == fingerprint && c.answer != nil && c.answer.State() == Kept:
		return Replay(c.answer.Status(), c.answer.Header(), c.answer.Body()), nil
	}
	return Decision{}, result.Refuse(codeKnown, "known", 0)
}

// testEntry is one entry instance with workers, all on loopback, and a fake clock.
type testEntry struct {
	t       testing.TB
	clock   *clock.Clock
	handler *Handler
	claims  *memoryClaims
	queue   *directQueue
	server  *httptest.Server

	addresses []string
	slots     []*slotAccount
}

func testConfiguration(capacity int) *config.Configuration {
	return config.New(config.Fields{
		Pools:    []config.PoolFields{{Name: "pool", Contact: "ops@example.org", Capacity: capacity, Slots: 8}},
		Services: []config.ServiceFields{{Name: "svc", Pool: "pool", Deadline: 10000, MaxDeadline: 30000}},
		Teams:    []config.TeamFields{{Name: "team", Callers: []string{"alice"}}},
	})
}

// newTestEntry starts an entry instance for workers with the given addresses. No worker is ejected, because the capacity
// of the pool equals the number of workers.
func newTestEntry(t testing.TB, addresses ...string) *testEntry {
	e := &testEntry{t: t, clock: clock.NewFake(1000),
		claims: &memoryClaims{known: map[string]*memoryClaim{}}}
	configuration := testConfiguration(len(addresses))
	router := &routing.Router{Clock: e.clock, Seed: 1}
	client := &worker.Client{Clock: e.clock}
	router.Probe = client.Probe
	e.handler = &Handler{Clock: e.clock, Instance: "entry-1", Contact: "ops@example.org", Configuration: func() *config.Configuration { return configuration },
		Claims: e.claims, Router: router, Client: client}
	e.queue = &directQueue{h: e.handler, woken: make(chan struct{}, 1)}
	e.handler.Queue = func(string) Queue { return e.queue }
	e.addresses = addresses
	var states []routing.WorkerState
	for i, address := range addresses {
		e.slots = append(e.slots, newSlots(8))
		states = append(states, routing.NewWorkerState("w"+string(rune('0'+i)), address, "a", e.slots[i], false))
	}
	router.Update([]routing.PoolState{routing.NewPoolState("pool", "round-robin", len(addresses), states...)})
	e.server = httptest.NewServer(e.handler)
	t.Cleanup(e.server.Close)
	t.Cleanup(client.Close)
	return e
}

// address returns the host and port of a test server.
func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func newWorker(t testing.TB, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return address(s)
}

// reply is what a caller received.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error // of sending the request or of reading the answer
	refusal struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Outcome string `json:"outcome"`
		Contact string `json:"contact"`
	}
}

func (e *testEntry) do(method, path, body string, headers ...string) reply {
	e.t.Helper()
	request, err := http.NewRequest(method, e.server.URL+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return e.send(request)
}

func (e *testEntry) send(request *http.Request) reply {
	response, err := e.server.Client().Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
	if response.Header.Get(HeaderResult) != "2000" {
		_ = json.Unmarshal(data, &r.refusal)
	}
	return r
}

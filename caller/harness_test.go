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

// directQueue admits at once when a permit is free; otherwise a ticket waits for Wake.
type directQueue struct {
	h      *Handler
	refuse *result.Refusal
	woken  chan struct{}
}

type directTicket struct {
	q *directQueue
	d QueueRequest
}

func (q *directQueue) Enter(d QueueRequest) (Ticket, *result.Refusal) {
	return directTicket{q, d}, q.refuse
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
		if p, ok := t.q.h.Acquire("pool", t.d.Team(), t.d.Deadline()); ok {
			return p, nil
		}
		select {
		case <-t.q.woken:
		case <-ctx.Done():
			return nil, result.Refuse(CodeTooLate, "waited until the deadline", clock.Second)
		}
	}
}

// memoryClaims is a claim store in memory.
type memoryClaims struct {
	mu    sync.Mutex
	known map[string]*memoryClaim
	err   error
	block bool // Claim waits for the end of its context
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

// bench is one entry instance with workers and callers on loopback.
type bench struct {
	t       testing.TB
	clock   *clock.Clock
	handler *Handler
	claims  *memoryClaims
	queue   *directQueue
	entry   *httptest.Server

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

// newBench starts an entry instance in front of workers with the given addresses, of which none is ejected.
func newBench(t testing.TB, addresses ...string) *bench {
	b := &bench{t: t, clock: clock.NewFake(1000),
		claims: &memoryClaims{known: map[string]*memoryClaim{}}}
	configuration := testConfiguration(len(addresses))
	router := &routing.Router{Clock: b.clock, Seed: 1}
	client := &worker.Client{Clock: b.clock}
	router.Probe = client.Probe
	b.handler = &Handler{Clock: b.clock, Instance: "entry-1", Contact: "ops@example.org", Configuration: func() *config.Configuration { return configuration },
		Claims: b.claims, Router: router, Client: client}
	b.queue = &directQueue{h: b.handler, woken: make(chan struct{}, 1)}
	b.handler.Queue = func(string) Queue { return b.queue }
	b.addresses = addresses
	var states []routing.WorkerState
	for i, address := range addresses {
		b.slots = append(b.slots, newSlots(8))
		states = append(states, routing.NewWorkerState("w"+string(rune('0'+i)), address, "a", b.slots[i], false))
	}
	router.Update([]routing.PoolState{routing.NewPoolState("pool", "round-robin", len(addresses), states...)})
	b.entry = httptest.NewServer(b.handler)
	t.Cleanup(b.entry.Close)
	t.Cleanup(client.Close)
	return b
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
	err     error // of the whole exchange
	refusal struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Outcome string `json:"outcome"`
		Contact string `json:"contact"`
	}
}

func (b *bench) do(method, path, body string, headers ...string) reply {
	b.t.Helper()
	request, err := http.NewRequest(method, b.entry.URL+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return b.send(request)
}

func (b *bench) send(request *http.Request) reply {
	response, err := b.entry.Client().Do(request)
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

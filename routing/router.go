package routing

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

// Log events of the package.
var (
	EventEjected       = event.New(2300, "worker-ejected", slog.LevelWarn, "a worker failed several requests in a row and is ejected; it gets trial requests only")
	EventReturned      = event.New(2301, "worker-returned", slog.LevelInfo, "an ejected worker answered a trial request and is used again")
	EventPoolFailing   = event.New(2302, "pool-failing", slog.LevelError, "most workers of a pool fail; none of them is ejected")
	EventPoolRecovered = event.New(2303, "pool-works", slog.LevelInfo, "a failing pool has recovered; at most half of its workers fail")
	EventLeaving       = event.New(2304, "worker-leaving", slog.LevelInfo, "a worker is leaving and receives no new work")
)

const (
	failuresToEject = 5                 // in a row
	minProbeDelay   = 1 * clock.Second  // from the ejection to the first probe or trial; doubles with each failure
	maxProbeDelay   = 30 * clock.Second // also the interval at which a leaving worker is probed
)

// defaultPolicy is used for pools without a policy or with an unknown one.
const defaultPolicy = "weighted"

// PoolState is the input of Update for one pool.
type PoolState struct {
	name     string
	policy   string
	capacity int
	workers  []WorkerState
}

// NewPoolState describes a pool. An empty or unknown policy means "weighted". The capacity is the number of workers that
// ejections must leave in use.
func NewPoolState(name, policy string, capacity int, workers ...WorkerState) PoolState {
	return PoolState{name: name, policy: policy, capacity: capacity, workers: workers}
}

// WorkerState is the input of Update for one worker.
type WorkerState struct {
	id      string
	address string
	zone    string
	account Account
	leaving bool
}

// NewWorkerState describes a worker. leaving is set for each worker that must receive no new work, whatever the reason.
// As long as the id and address of a worker stay the same, so must its account.
func NewWorkerState(id, address, zone string, account Account, leaving bool) WorkerState {
	return WorkerState{id: id, address: address, zone: zone, account: account, leaving: leaving}
}

// Router chooses workers from a snapshot of the pools, and ejects workers that fail.
type Router struct {
	// Clock times probes and trial requests.
	Clock *clock.Clock
	// Seed makes the random choices repeatable. 0 uses the random source of the process, which has a state per thread.
	Seed uint64
	// Logger receives the events; nil discards them.
	Logger *slog.Logger
	// Probe checks on a new connection whether a worker answers and whether it is leaving. It must not block for long.
	// Without it, an ejected worker gets a trial request as soon as its backoff has passed, and a worker marked by
	// MarkLeaving is not rechecked.
	Probe func(ctx context.Context, w *Worker) (leaving bool, err error)

	snapshot      atomic.Pointer[snapshot]
	sequence      atomic.Uint64 // counter of the seeded random source
	trialsAllowed atomic.Int64  // number of ejected workers that may get a trial request now

	mu      sync.Mutex // serialises writers; Acquire, and Release for workers that do not fail, never take it
	workers map[string]*Worker
}

type snapshot struct {
	pools        map[string]*Pool
	poolByWorker map[*Worker]*Pool
}

// Pool is the view of one pool that a policy chooses from.
type Pool struct {
	name       string
	policy     Policy
	policyName string // as given to NewPoolState
	capacity   int
	workers    []*Worker // without those that Update listed as leaving
	router     *Router
	failing    atomic.Bool // most workers fail
}

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.name }

// Workers returns the workers of the pool without those that Update listed as leaving. The slice must not be changed.
func (p *Pool) Workers() []*Worker { return p.workers }

// Random returns a number from 0 to n-1.
func (p *Pool) Random(n int) int {
	if p.router.Seed == 0 {
		return rand.IntN(n)
	}
	return int(mix(p.router.Seed+p.router.sequence.Add(1)*0x9e3779b97f4a7c15) % uint64(n))
}

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood, 2014), whose only state is a counter.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Update replaces the snapshot. Workers with the same id and address keep their counters.
func (r *Router) Update(pools []PoolState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.snapshot.Load()
	next := &snapshot{pools: make(map[string]*Pool, len(pools)), poolByWorker: map[*Worker]*Pool{}}
	workers := make(map[string]*Worker)
	for _, s := range pools {
		p := &Pool{name: s.name, policyName: s.policy, capacity: s.capacity, router: r}
		if old != nil {
			if before, ok := old.pools[s.name]; ok {
				p.failing.Store(before.failing.Load())
				if before.policyName == s.policy {
					p.policy = before.policy // keeps the cursor of the policy
				}
			}
		}
		if p.policy == nil {
			p.policy = newPolicy(s.policy)
		}
		for _, ws := range s.workers {
			w := r.reconcileWorker(ws)
			workers[ws.id] = w
			next.poolByWorker[w] = p
			if !ws.leaving {
				p.workers = append(p.workers, w)
			}
		}
		next.pools[s.name] = p
	}
	for id, w := range r.workers {
		if workers[id] != w {
			w.leaving.Store(true) // readers of the old snapshot stop choosing it
			r.endEjection(w)
		}
	}
	r.workers = workers
	for _, p := range next.pools {
		r.restoreCapacity(p)
	}
	r.snapshot.Store(next)
}

// restoreCapacity ends ejections while fewer workers than the declared capacity are in use.
func (r *Router) restoreCapacity(p *Pool) {
	usable := 0
	for _, w := range p.workers {
		if w.usable() {
			usable++
		}
	}
	for _, w := range p.workers {
		if usable < p.capacity && w.ejected.Load() && !w.leaving.Load() {
			r.endEjection(w)
			usable++
		}
	}
}

// reconcileWorker finds or creates the worker and applies its listed state. A worker that itself announced that it is
// leaving counts as leaving until an Update has listed it as leaving and a later one lists it as serving. A worker that
// an Update omitted is created anew.
func (r *Router) reconcileWorker(s WorkerState) *Worker {
	w, known := r.workers[s.id]
	if !known || w.address != s.address {
		w = &Worker{id: s.id, address: s.address, zone: s.zone, account: s.account}
	}
	if s.leaving {
		w.leaving.Store(true)
	} else if w.listedLeaving {
		w.leaving.Store(false)
	}
	w.listedLeaving = s.leaving
	return w
}

// Serving returns the number of workers of a pool that may be chosen, and whether most of its workers fail.
func (r *Router) Serving(pool string) (serving int, failing bool) {
	s := r.snapshot.Load()
	if s == nil || s.pools[pool] == nil {
		return 0, false
	}
	p := s.pools[pool]
	for _, w := range p.workers {
		if w.usable() {
			serving++
		}
	}
	return serving, p.failing.Load()
}

// Free returns the number of slots of the pool that this entry instance could use now.
func (r *Router) Free(pool string) int {
	s := r.snapshot.Load()
	if s == nil || s.pools[pool] == nil {
		return 0
	}
	free := 0
	for _, w := range s.pools[pool].workers {
		if w.usable() || w.trialAllowed.Load() {
			free += max(w.account.Free(), 0)
		}
	}
	return free
}

// Acquire takes a slot on a worker of the pool until the deadline, a time of the router's clock, or reports that none is
// free. It takes a slot on the worker avoid (nil for none) only when no other worker has a free slot. It takes no lock.
func (r *Router) Acquire(pool string, deadline clock.Millis, avoid *Worker) (*Grant, bool) {
	s := r.snapshot.Load()
	if s == nil {
		return nil, false
	}
	p := s.pools[pool]
	if p == nil || len(p.workers) == 0 {
		return nil, false
	}
	if avoid == nil && r.trialsAllowed.Load() > 0 {
		for _, w := range p.workers {
			if g, ok := r.acquireTrial(w, deadline); ok {
				return g, true
			}
		}
	}
	// The policy is called at most twice. After that any free slot is better than a refusal.
	for range 2 {
		w := p.policy.Pick(p)
		if w == nil {
			break
		}
		if w != avoid && w.usable() {
			if g, ok := r.acquireOn(w, deadline, false); ok {
				return g, true
			}
		}
	}
	n := len(p.workers)
	start := p.Random(n)
	for i := range n {
		w := p.workers[(start+i)%n]
		if w != avoid && w.available() {
			if g, ok := r.acquireOn(w, deadline, false); ok {
				return g, true
			}
		}
	}
	if avoid != nil && avoid.usable() && s.poolByWorker[avoid] == p {
		return r.acquireOn(avoid, deadline, false)
	}
	// The request lacks one slot, so TryAcquire is called on one account only, which counts the shortage.
	// Calls on all accounts would borrow a slot on each worker for a single request.
	for i := range n {
		if w := p.workers[(start+i)%n]; w != avoid && w.usable() {
			return r.acquireOn(w, deadline, false)
		}
	}
	return nil, false
}

// acquireTrial takes a slot for the trial request of an ejected worker, if that is allowed now.
func (r *Router) acquireTrial(w *Worker, deadline clock.Millis) (*Grant, bool) {
	if w.leaving.Load() || !w.ejected.Load() || !r.setTrialAllowed(w, false) {
		return nil, false
	}
	g, ok := r.acquireOn(w, deadline, true)
	if !ok {
		r.setTrialAllowed(w, true)
	}
	return g, ok
}

// setTrialAllowed allows or forbids the trial request of a worker and reports whether that changed anything.
func (r *Router) setTrialAllowed(w *Worker, allowed bool) bool {
	if !w.trialAllowed.CompareAndSwap(!allowed, allowed) {
		return false
	}
	if allowed {
		r.trialsAllowed.Add(1)
	} else {
		r.trialsAllowed.Add(-1)
	}
	return true
}

func (r *Router) acquireOn(w *Worker, deadline clock.Millis, trial bool) (*Grant, bool) {
	if !w.account.TryAcquire(deadline) {
		return nil, false
	}
	w.inFlight.Add(1)
	return &Grant{router: r, worker: w, trial: trial}, true
}

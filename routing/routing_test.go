package routing

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"magnoliaferry/clock"
)

// fixedSlots is an Account with a fixed number of slots.
type fixedSlots struct{ free atomic.Int64 }

func (s *fixedSlots) TryAcquire(clock.Millis) bool {
	for {
		n := s.free.Load()
		if n <= 0 {
			return false
		}
		if s.free.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
func (s *fixedSlots) Release()  { s.free.Add(1) }
func (s *fixedSlots) Free() int { return int(s.free.Load()) }

func newFixedSlots(n int) *fixedSlots {
	s := &fixedSlots{}
	s.free.Store(int64(n))
	return s
}

func workerStates(n, held int) []WorkerState {
	var all []WorkerState
	for i := range n {
		all = append(all, NewWorkerState(fmt.Sprint("w", i), fmt.Sprint("10.0.0.", i, ":80"), "a", newFixedSlots(held), false))
	}
	return all
}

func newRouter(policy string, capacity int, workers []WorkerState) (*Router, *clock.Clock) {
	c := clock.NewFake(0)
	r := &Router{Clock: c, Seed: 7}
	r.Update([]PoolState{NewPoolState("p", policy, capacity, workers...)})
	return r, c
}

func acquire(t *testing.T, r *Router) *Grant {
	t.Helper()
	g, ok := r.Acquire("p", 1000, nil)
	if !ok {
		t.Fatal("Acquire got no slot, want one")
	}
	return g
}

// failOn makes n requests in a row fail on the worker, regardless of the policy.
func failOn(r *Router, w *Worker, n int) {
	for range n {
		if g, ok := r.acquireOn(w, 0, false); ok {
			g.Release(Failed, 0)
		}
	}
}

// Each policy must use all free slots before a request is refused, and no more than the slots of a worker.
func TestPoliciesUseAllSlots(t *testing.T) {
	for _, policy := range Policies.Names() {
		r, _ := newRouter(policy, 3, workerStates(3, 4))
		var grants []*Grant
		for {
			g, ok := r.Acquire("p", 1000, nil)
			if !ok {
				break
			}
			grants = append(grants, g)
		}
		if len(grants) != 12 {
			t.Errorf("%s: got %d grants, want 12", policy, len(grants))
		}
		for _, g := range grants {
			g.Release(Answered, 5)
			g.Release(Answered, 5) // a second Release must not return the slot twice
		}
		for _, w := range r.snapshot.Load().pools["p"].workers {
			if w.InFlight() != 0 || w.account.Free() != 4 {
				t.Errorf("%s: %s has %d in flight and %d free, want 0 and 4", policy, w.ID(), w.InFlight(), w.account.Free())
			}
		}
	}
}

// Guards against unintended changes of the order in which deterministic policies choose workers.
func TestPolicyOrder(t *testing.T) {
	for _, c := range []struct {
		policy string
		rtts   []time.Duration
		want   string
	}{
		{"round-robin", nil, "w0 w1 w2 w0 w1 w2"},
		{"least-used", nil, "w0 w1 w2 w0 w1 w2"},
		{"least-used-distance", []time.Duration{4 * time.Millisecond, 900 * time.Microsecond, 200 * time.Microsecond}, "w1 w2 w0 w1 w2 w0"},
		{"least-used-distance", []time.Duration{4 * time.Millisecond, 3 * time.Millisecond, 200 * time.Microsecond}, "w2 w0 w1 w2 w0 w1"},
	} {
		r, _ := newRouter(c.policy, 3, workerStates(3, 8))
		for i, rtt := range c.rtts {
			r.workers[fmt.Sprint("w", i)].ObserveRTT(rtt)
		}
		got := ""
		for range 6 {
			got += " " + acquire(t, r).Worker().ID()
		}
		if got[1:] != c.want {
			t.Errorf("%s: chosen workers got %q, want %q", c.policy, got[1:], c.want)
		}
	}
}

// A distance must be half the round-trip time, rounded to the nearest step.
func TestDistance(t *testing.T) {
	for rtt, want := range map[time.Duration]time.Duration{
		0: 0, 900 * time.Microsecond: 0, 1 * time.Millisecond: time.Millisecond, 2900 * time.Microsecond: time.Millisecond,
		3 * time.Millisecond: 2 * time.Millisecond, 6 * time.Millisecond: 3 * time.Millisecond} {
		if got := distance(rtt); got != want {
			t.Errorf("distance(%v): got %v, want %v", rtt, got, want)
		}
	}
}

// The policy "weighted" must prefer the worker with the lower load per slot, latency or number of failures.
func TestWeightedScore(t *testing.T) {
	for _, c := range []struct {
		name          string
		better, worse func(w *Worker)
	}{
		{"load per share", func(w *Worker) { w.inFlight.Store(1); w.account = newFixedSlots(3) }, func(w *Worker) { w.account = newFixedSlots(1) }},
		{"latency", func(w *Worker) { w.observeLatency(10) }, func(w *Worker) { w.observeLatency(40) }},
		{"failures", func(*Worker) {}, func(w *Worker) { w.failures.Store(1) }},
	} {
		a, b := &Worker{account: newFixedSlots(4)}, &Worker{account: newFixedSlots(4)}
		c.better(a)
		c.worse(b)
		if x, y := (Weighted{}).score(a), (Weighted{}).score(b); x >= y {
			t.Errorf("%s: got scores %v and %v, want the first lower", c.name, x, y)
		}
	}
}

// Two routers with the same seed must make the same random choices; otherwise a simulation could not be repeated.
func TestSeed(t *testing.T) {
	run := func() (ids string) {
		r, _ := newRouter("weighted", 5, workerStates(5, 8))
		for range 20 {
			ids += acquire(t, r).Worker().ID()
		}
		return ids
	}
	if a, b := run(), run(); a != b {
		t.Errorf("workers chosen by two routers with the same seed got %q and %q, want equal", a, b)
	}
}

// Update must keep the counters of workers, and a worker listed as leaving must get no more requests.
func TestUpdateKeepsWorkers(t *testing.T) {
	all := workerStates(2, 8)
	r, _ := newRouter("round-robin", 1, all)
	g := acquire(t, r)
	all[0].leaving = true
	r.Update([]PoolState{NewPoolState("p", "round-robin", 1, all...)})
	if w := r.workers["w0"]; w != g.Worker() || w.InFlight() != 1 || !w.Leaving() {
		t.Fatalf("w0 after Update listed it as leaving got in flight %d and leaving %v, want 1 and true, and the same Worker", w.InFlight(), w.Leaving())
	}
	for range 8 {
		if id := acquire(t, r).Worker().ID(); id != "w1" {
			t.Fatalf("Acquire while w0 is leaving got %s, want w1", id)
		}
	}
	if _, ok := r.Acquire("p", 1000, nil); ok {
		t.Error("got a slot on a leaving worker, want none")
	}
	g.Release(Answered, 1)
	r.MarkLeaving(r.workers["w1"])
	all[0].leaving = false
	r.Update([]PoolState{NewPoolState("p", "round-robin", 1, all...)})
	if r.workers["w0"].Leaving() || !r.workers["w1"].Leaving() {
		t.Error("want w0 serving, because Update listed it as serving, and w1 leaving, because MarkLeaving marked it")
	}
}

// A worker that announces that it is leaving and restarts before Update lists it as leaving must be used again after a
// successful probe.
func TestLeavingRecheck(t *testing.T) {
	r, c := newRouter("round-robin", 1, workerStates(1, 8))
	answers := make(chan bool, 2)
	answers <- true
	answers <- false
	asked := make(chan struct{})
	r.Probe = func(context.Context, *Worker) (bool, error) {
		defer func() { asked <- struct{}{} }()
		return <-answers, nil
	}
	w := r.workers["w0"]
	r.MarkLeaving(w)
	c.Advance(maxProbeDelay)
	<-asked
	awaitTimers(c, 1)
	if !w.Leaving() {
		t.Fatal("got a worker that is not leaving, want leaving while the probe reports it")
	}
	c.Advance(maxProbeDelay)
	<-asked
	for w.Leaving() {
		runtime.Gosched() // until the probe's goroutine has stored the result
	}
}

// awaitTimers waits until n timers are set on the clock.
func awaitTimers(c *clock.Clock, n int) {
	for c.PendingTimers() != n {
		runtime.Gosched()
	}
}

// A worker must be ejected after 5 failures in a row and get a trial request after 1 s. The delay doubles up to 30 s.
func TestEjectionAndTrials(t *testing.T) {
	r, c := newRouter("round-robin", 3, workerStates(4, 8))
	w := r.workers["w1"]
	failOn(r, w, 4)
	if g, _ := r.acquireOn(w, 0, false); g != nil {
		g.Release(Answered, 1)
	}
	failOn(r, w, 4)
	if w.Ejected() {
		t.Fatal("w1 is ejected after 4 failures, an answer and 4 failures, want it in use")
	}
	failOn(r, w, 1)
	if !w.Ejected() {
		t.Fatal("w1 is not ejected after 5 failures in a row, want it ejected")
	}
	for _, wait := range []clock.Millis{1000, 2000, 4000, 8000, 16000, 30000, 30000} {
		c.Advance(wait - 1)
		for range 8 {
			g := acquire(t, r)
			if g.Worker() == w {
				t.Fatalf("w1 got a trial request %d ms before the end of the delay", 1)
			}
			g.Release(Answered, 1)
		}
		c.Advance(1)
		g := acquire(t, r)
		if g.Worker() != w {
			t.Fatalf("after %d ms: got %s, want the trial on w1", wait, g.Worker().ID())
		}
		if other := acquire(t, r); other.Worker() == w {
			t.Fatal("w1 got two trial requests at once")
		}
		g.Release(Failed, 0)
	}
	c.Advance(30000)
	acquire(t, r).Release(Answered, 1)
	if w.Ejected() || w.Failures() != 0 {
		t.Error("got w1 ejected or with failures after an answered trial request, want neither")
	}
}

// An ejected worker that does not answer the probe must not get a trial request.
func TestProbeBeforeTrial(t *testing.T) {
	r, c := newRouter("round-robin", 1, workerStates(2, 8))
	answers := make(chan error)
	r.Probe = func(context.Context, *Worker) (bool, error) { return false, <-answers }
	w := r.workers["w0"]
	failOn(r, w, 5)
	c.Advance(minProbeDelay)
	answers <- errors.New("down")
	awaitTimers(c, 1)
	if r.trialsAllowed.Load() != 0 {
		t.Fatal("got a trial allowed after a failed probe, want none")
	}
	c.Advance(2 * minProbeDelay)
	answers <- nil
	for r.trialsAllowed.Load() == 0 {
		runtime.Gosched()
	}
	if got := acquire(t, r).Worker(); got != w {
		t.Errorf("got %s, want the trial on w0", got.ID())
	}
}

// Ejections must leave the declared capacity in use, and end when most workers of the pool fail.
func TestEjectionLimits(t *testing.T) {
	r, _ := newRouter("round-robin", 3, workerStates(4, 8))
	failOn(r, r.workers["w0"], 5)
	failOn(r, r.workers["w1"], 5)
	if !r.workers["w0"].Ejected() || r.workers["w1"].Ejected() {
		t.Error("capacity 3 of 4: want exactly the first one ejected")
	}
	failOn(r, r.workers["w2"], 5)
	if serving, failing := r.Serving("p"); serving != 4 || !failing {
		t.Errorf("3 of 4 fail: got %d serving, failing %v, want 4 and true", serving, failing)
	}
	for range 8 {
		acquire(t, r).Release(Answered, 1)
	}
	if _, failing := r.Serving("p"); failing {
		t.Error("got a failing pool after answers from all workers, want it to have recovered")
	}
	failOn(r, r.workers["w0"], 5)
	if got, want := r.Vars().String(), `{"p":{"serving":3,"ejected":1,"leaving":0}}`; got != want {
		t.Errorf("gauges of Vars got %s, want %s", got, want)
	}
	r.MarkLeaving(r.workers["w3"])
	if r.workers["w0"].Ejected() {
		t.Error("got w0 ejected, want it in use when w3 leaves and fewer workers than the capacity would remain")
	}
}

// A retry must avoid the worker that failed unless it is the only one with a free slot.
func TestAvoid(t *testing.T) {
	r, _ := newRouter("least-used", 2, workerStates(2, 1))
	g, _ := r.Acquire("p", 1000, r.workers["w0"])
	if g.Worker().ID() != "w1" {
		t.Errorf("Acquire that avoids w0 got %s, want w1", g.Worker().ID())
	}
	if g, ok := r.Acquire("p", 1000, r.workers["w0"]); !ok || g.Worker().ID() != "w0" {
		t.Error("want a slot on w0, the only worker with a free one")
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, seed := range []uint64{0, 1} {
		for _, policy := range Policies.Names() {
			for _, threads := range []int{1, 2, 4, 8, 10} {
				b.Run(fmt.Sprintf("%s/seed=%d/threads=%d", policy, seed, threads), func(b *testing.B) {
					r, _ := newRouter(policy, 10, workerStates(10, 64))
					r.Seed = seed
					b.ReportAllocs()
					b.ResetTimer()
					done := make(chan struct{})
					for i := range threads {
						go func() {
							for range b.N/threads + min(1, max(0, b.N%threads-i)) {
								if g, ok := r.Acquire("p", 1000, nil); ok {
									g.Release(Answered, 1)
								}
							}
							done <- struct{}{}
						}()
					}
					for range threads {
						<-done
					}
				})
			}
		}
	}
}

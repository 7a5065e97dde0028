package pool

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// customersOf returns a configuration with the test queue and customers by weight.
func customersOf(version int64, weights map[string]float64) *batch.Configuration {
	queue := testQueue
	queue.Pool = testPool
	c := &batch.Configuration{Version: version, Queues: []batch.Queue{queue}, Pools: []batch.Pool{{Name: testPool}}}
	var customers []batch.Customer
	for _, name := range sortedKeys(weights) {
		customers = append(customers, batch.Customer{Name: name, Weight: weights[name]})
	}
	c.SetCustomers(customers)
	return c
}

// newSharedPool returns a pool whose customers have the given weights.
func newSharedPool(t *testing.T, workers int, weights map[string]float64) *poolSim {
	w := newPoolSim(t, workers, testQueue)
	w.configure(customersOf(2, weights))
	w.run(200)
	return w
}

// Guards against criteria that override one which should go first.
func TestCriteriaOfTheOrder(t *testing.T) {
	first := rank{class: classOverdue, priority: 1, beyond: true, over: true, work: 9}
	for _, better := range []func(r *rank){
		func(r *rank) { r.work = 5 },
		func(r *rank) { r.behind, r.work = true, 99 },
		func(r *rank) { r.over, r.behind = false, false },
		func(r *rank) { r.beyond, r.over = false, true },
		func(r *rank) { r.begun, r.beyond = true, true },
		func(r *rank) { r.priority, r.begun = 0, false },
		func(r *rank) { r.class, r.priority = classLate, 2 },
	} {
		next := first
		better(&next)
		if !next.before(first) || first.before(next) {
			t.Errorf("order of %+v and %+v got the latter first, want the former", next, first)
		}
		first = next
	}
}

// Guards against a deployment without customers whose jobs are placed in another order than before there were customers.
func TestWithoutCustomersTheOrderIsAsBefore(t *testing.T) {
	before := func(a, b rank) bool {
		switch {
		case a.class != b.class:
			return a.class < b.class
		case a.priority != b.priority:
			return a.priority < b.priority
		case a.begun != b.begun:
			return a.begun
		case a.behind != b.behind:
			return a.behind
		}
		return a.work < b.work
	}
	play := func(order func(a, b rank) bool) (met []bool) {
		w := newPoolSim(t, 10, testQueue)
		w.s.jobOrder = order
		w.run(300)
		for _, j := range (surge{turn: 4000, period: 16000, meanLoad: 0.6, length: 12 * clock.Second}).play(w, 3) {
			met = append(met, j.met)
		}
		if got := len(w.s.customerShares.customers); got != 0 {
			t.Errorf("known customers got %d, want none", got)
		}
		return met
	}
	if got, want := play(rank.before), play(before); !slices.Equal(got, want) {
		t.Errorf("jobs in time got %v, want %v", got, want)
	}
}

// Guards against a customer whose crowd of jobs delays a job of another one that came later.
func TestJobsBeyondTheEntitlementWait(t *testing.T) {
	w := newSharedPool(t, 1, map[string]float64{"hot": 1, "usual": 1})
	for i := range 10 {
		w.submitFor("hot", fmt.Sprintf("hot%d", i), batch.Step{Count: 1, Need: cpu(4000), Estimate: 200})
	}
	w.run(100)
	w.submitFor("usual", "usual", batch.Step{Count: 1, Need: cpu(4000), Estimate: 300})
	beyond := 0
	for _, j := range w.s.jobs {
		if j.beyond {
			beyond++
		}
	}
	if got, want := beyond, 10-minBurst; got != want {
		t.Errorf("jobs beyond the entitlement got %d, want %d", got, want)
	}
	w.run(20)
	var order []string
	for _, r := range w.s.sortedWaiting() {
		order = append(order, r.job.def.ID)
	}
	if got, want := slices.Index(order, "usual"), minBurst; got < 0 || got >= want {
		t.Errorf("place of the other customer's job got %d in %v, want before those beyond the entitlement", got, order)
	}
}

// sortedWaiting returns the jobs that wait in the order in which they are placed.
func (s *Scheduler) sortedWaiting() []rank {
	var ranks []rank
	for _, j := range s.active {
		if j.waiting > 0 {
			ranks = append(ranks, s.rank(j))
		}
	}
	slices.SortStableFunc(ranks, func(a, b rank) int {
		if s.jobOrder(a, b) {
			return -1
		}
		return 1
	})
	return ranks
}

// Guards against work that is thrown away: a job beyond the entitlement that has begun goes on before others begin.
func TestBegunJobsBeyondTheEntitlementAreFinished(t *testing.T) {
	w := newSharedPool(t, 1, map[string]float64{"hot": 1, "usual": 1})
	for i := range minBurst {
		w.submitFor("hot", fmt.Sprintf("used%d", i), batch.Step{Count: 1, Need: cpu(100), Estimate: 100})
	}
	w.submitFor("hot", "begun", batch.Step{Count: 4, Need: cpu(3000), Estimate: 1000})
	w.run(100)
	w.submitFor("usual", "usual", batch.Step{Count: 1, Need: cpu(3000), Estimate: 500})
	w.run(1300)
	if got := w.starts["begun.0.0.1"]; got != 1 || !w.s.jobs["begun"].beyond {
		t.Errorf("starts of the second task got %d, beyond the entitlement %v, want 1 and true", got, w.s.jobs["begun"].beyond)
	}
}

// Guards against a pool that leaves room unused because the jobs that wait are beyond an entitlement.
func TestUnusedSharesMayBeUsed(t *testing.T) {
	w := newSharedPool(t, 5, map[string]float64{"hot": 1, "idle": 100})
	for i := range 20 {
		w.submitFor("hot", fmt.Sprintf("hot%d", i), batch.Step{Count: 1, Need: cpu(1000), Estimate: 1000})
	}
	w.run(100)
	if got, want := w.s.customerUse["hot"].CPU, 20000; got != want {
		t.Errorf("used processor got %d, want all %d", got, want)
	}
}

// Guards against a new owner that charges jobs in the order in which it reads them, so that those of the entitlement change.
func TestNewOwnerChargesInOrderOfAcceptance(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	for range 20 {
		s := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
		s.Configure(customersOf(1, map[string]float64{"c": 1}))
		s.Tick(50000, 50000)
		for _, i := range random.Perm(8) {
			s.AddJob(&batch.Job{ID: fmt.Sprint(i), Queue: "q", Pool: testPool, Accepted: 40000 + clock.Millis(10*i), Customer: "c",
				Steps: []batch.Step{{Count: 1, Need: cpu(1000), Estimate: 1000}}}, nil, false)
		}
		s.Plan()
		for i := range 8 {
			if got, want := s.jobs[fmt.Sprint(i)].beyond, i >= minBurst; got != want {
				t.Errorf("job %d beyond the entitlement got %v, want %v", i, got, want)
			}
		}
	}
}

// Guards against entitlements that refill too slowly or without limit, and against clocks of instances that differ.
func TestEntitlementRefills(t *testing.T) {
	c := &customerShare{weight: 5, filledAt: 1000}
	c.tokens = c.burst()
	accept := func(at clock.Millis, jobs int) (within int) {
		for range jobs {
			if !c.charge(at) {
				within++
			}
		}
		return within
	}
	for _, test := range []struct {
		at   clock.Millis
		want int
	}{{1000, 10}, {1200, 1}, {1100, 0}, {2200, 5}, {60000, 10}} {
		if got := accept(test.at, 30); got != test.want {
			t.Errorf("jobs of 30 within the entitlement at %d ms got %d, want %d", test.at, got, test.want)
		}
	}
}

// Guards against an average of use that takes customers as over their shares for a single job, that does not compare by weight, or that
// changes with every job that ends.
func TestUseIsComparedByWeight(t *testing.T) {
	capacity := batch.Resources{CPU: 100000, MemoryMB: 100000}
	for _, test := range []struct {
		text   string
		before bool // over its share
		weight float64
		use    batch.Resources
		want   bool
	}{
		{"a small customer with one job", false, 1, batch.Resources{CPU: 4000}, false},
		{"half of the pool for a third of the weight", false, 50, batch.Resources{CPU: 49000}, true},
		{"by memory", false, 50, batch.Resources{CPU: 1000, MemoryMB: 49000}, true},
		{"half of the pool for half of the weight", false, 100, batch.Resources{CPU: 50000}, false},
		{"a little above the share, not yet over it", false, 100, batch.Resources{CPU: 62000}, false},
		{"a little above the share, over it before", true, 100, batch.Resources{CPU: 62000}, true},
	} {
		c := &customerShare{weight: test.weight, running: test.use, over: test.before}
		all := customerShares{customers: map[string]*customerShare{"c": c, "other": {weight: 100, waiting: 1, running: batch.Resources{CPU: 50000}}}}
		all.average(clock.Minute, capacity)
		if c.over != test.want {
			t.Errorf("%s: over its share got %v, want %v", test.text, c.over, test.want)
		}
	}
}

// Guards against a customer whose long-running tasks count as its share, so that its other jobs wait for those of everyone else.
func TestLongRunningTasksAreNoPartOfAShare(t *testing.T) {
	w := newSharedPool(t, 4, map[string]float64{"c": 1, "other": 1})
	w.length = func(string) clock.Millis { return 0 }
	w.submitFor("c", "lasts", batch.Step{Count: 3, Need: cpu(4000), LongRunning: true})
	w.run(3 * clock.Second)
	w.submitFor("c", "job", batch.Step{Count: 2, Need: cpu(4000), Estimate: 1000})
	w.submitFor("other", "job2", batch.Step{Count: 2, Need: cpu(4000), Estimate: 1000})
	w.run(200)
	if c := w.s.customerShares.customers["c"]; c.over || c.running.CPU > 4000 {
		t.Errorf("customer over its share got %v with %d in use, want false with what its other job uses", c.over, c.running.CPU)
	}
}

// Guards against state that grows with the number of customers that have ever handed in a job.
func TestIdleCustomersAreForgotten(t *testing.T) {
	const customers = 3000
	weights := map[string]float64{}
	for i := range customers {
		weights[fmt.Sprintf("c%d", i)] = 1
	}
	w := newSharedPool(t, 10, weights)
	w.length = func(string) clock.Millis { return 20 }
	for i := range customers {
		w.submitFor(fmt.Sprintf("c%d", i), fmt.Sprint(i), batch.Step{Count: 1, Need: cpu(200), Estimate: 20})
		if i%20 == 0 {
			w.run(10)
		}
	}
	w.run(20 * clock.Second)
	if got := len(w.s.customerShares.customers); got != 0 {
		t.Errorf("known customers got %d, want none after all have been idle", got)
	}
}

// Guards against a customer that was removed, or whose weight changes, while its jobs run.
func TestWeightsFollowTheConfiguration(t *testing.T) {
	w := newSharedPool(t, 1, map[string]float64{"c": 7})
	w.submitFor("c", "j", batch.Step{Count: 1, Need: cpu(1000), Estimate: 1000})
	w.run(200)
	c := w.s.customerShares.customers["c"]
	for _, test := range []struct {
		weights map[string]float64
		want    float64
	}{{map[string]float64{"c": 3}, 3}, {map[string]float64{"c": 0}, 1}, {nil, 1}} {
		w.configure(customersOf(int64(w.now), test.weights))
		w.run(200)
		if c.weight != test.want {
			t.Errorf("weight under %v got %g, want %g", test.weights, c.weight, test.want)
		}
	}
}

// Guards against a log line that grows with the number of customers, and against one while no job waits for those of other customers.
func TestLoggedCustomersAreBounded(t *testing.T) {
	var log bytes.Buffer
	lines := func() int { return strings.Count(log.String(), `"name":"customer-shares"`) }
	w := newSharedPool(t, 1, map[string]float64{"c00": 1})
	w.s.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	w.submitFor("c00", "first", batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000})
	w.run(500)
	if got := lines(); got != 0 {
		t.Errorf("lines got %d, want 0 before any job waits for another customer's", got)
	}
	for i := range 30 {
		for k := range minBurst + 2 {
			w.submitFor(fmt.Sprintf("c%02d", i), fmt.Sprintf("%d-%d", i, k), batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000})
		}
	}
	w.run(2500)
	if got := lines(); got < 2 || got > 3 {
		t.Errorf("lines in 2.5 s got %d, want one a second", got)
	}
	line := log.String()[strings.Index(log.String(), `"name":"customer-shares"`):]
	line = line[:strings.Index(line, "\n")]
	if got, want := strings.Count(line, `"use-percent"`), loggedCustomers+1; got != want {
		t.Errorf("customers in %s got %d, want %d and the rest", line, got, want)
	}
}

package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
)

// fixedCap lets each customer use the same amount.
type fixedCap struct{ amount batch.Resources }

func (c *fixedCap) Allows(_ string, use, need batch.Resources, count int) bool {
	for range count {
		use = use.Add(need)
	}
	return use.Fits(c.amount)
}

func (c *fixedCap) Covers(customer string, use, need batch.Resources, count int) bool {
	return c.Allows(customer, use, need, count)
}

// capSim returns a simulation whose customers may each use the given processor.
func capSim(t *testing.T, workers, amount int) (*poolSim, *fixedCap) {
	w := newPoolSim(t, workers, testQueue)
	limit := &fixedCap{batch.Resources{CPU: amount, MemoryMB: 1 << 20}}
	w.s.Caps = limit
	return w, limit
}

func (w *poolSim) submitFor(customer, id string, steps ...batch.Step) {
	w.add(&batch.Job{ID: id, Queue: "q", Pool: testPool, Spec: "spec", Steps: steps, Accepted: w.now, Customer: customer})
}

// runsOf returns the processor that the customer's runs use on the workers.
func (w *poolSim) runsOf(customer string) int {
	sum := 0
	for _, f := range w.workers {
		for _, r := range f.runs {
			id, key, _ := batch.ParseTask(r.start.Task)
			if job := w.defs[id]; job.Customer == customer {
				sum += job.Steps[key.Step].Need.CPU
			}
		}
	}
	return sum
}

// runWithin advances the simulation and returns the most that the customer's runs used at once.
func (w *poolSim) runWithin(customer string, d clock.Millis) int {
	most := 0
	for end := w.now + d; w.now < end; {
		w.run(10)
		most = max(most, w.runsOf(customer))
	}
	return most
}

// Guards against a customer that passes its cap while starts get no answer and are carried out late, or while runs are being stopped; and
// against a cap that binds other customers.
func TestCapBoundsWhatRuns(t *testing.T) {
	w, _ := capSim(t, 4, 2000)
	n := 0
	w.lose = func(order any) (bool, clock.Millis) {
		if _, ok := order.(Start); ok {
			n++
			return n%3 == 0, 150
		}
		return false, 0
	}
	w.submitFor("a", "j1", batch.Step{Count: 12, Need: cpu(700)})
	w.submitFor("a", "j2", batch.Step{Count: 6, Need: cpu(500)})
	w.submitFor("a", "j3", batch.Step{Count: 4, Need: batch.Resources{CPU: 600, MemoryMB: 10}, BestEffort: true})
	w.submit("public", batch.Step{Count: 4, Need: cpu(1500)})
	if got, want := w.runWithin("a", 500), 2000; got > want || got < 1400 {
		t.Errorf("runs of the customer use %d, want at most %d and nearly that", got, want)
	}
	if got := w.starts["public.0.0.3"]; got != 1 {
		t.Errorf("starts of a job without a customer got %d, want 1", got)
	}
	w.s.Cancel("j1")
	if got, want := w.runWithin("a", 12*clock.Second), 2000; got > want {
		t.Errorf("runs of the customer use %d, want at most %d", got, want)
	}
	if got := w.state("j2"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against listed runs that this owner did not order and that count for no customer.
func TestStraysCountForTheirCustomer(t *testing.T) {
	w, _ := capSim(t, 2, 2000)
	w.length = func(string) clock.Millis { return 2500 }
	w.submitFor("a", "j", batch.Step{Count: 2, Need: cpu(1500)})
	w.run(300)
	stray := Start{Task: "j.0.0.1", Run: 9}
	for _, f := range w.workers {
		if len(f.runs) == 0 {
			f.runs[stray.Task] = &fakeRun{start: stray, began: w.now, length: 10 * clock.Second}
			f.stopTime, f.lease = 3*clock.Second, w.now+20*clock.Second
		}
	}
	w.run(2800) // the stray is listed and being stopped; then the first task ends
	if got := w.starts["j.0.0.1"]; got != 0 || w.runner("j.0.0.0") != "" || w.runner("j.0.0.1") == "" {
		t.Errorf("starts got %d, want 0 while the stray runs", got)
	}
	w.run(4 * clock.Second)
	if got := w.starts["j.0.0.1"]; got != 1 {
		t.Errorf("starts got %d, want 1 after the stray", got)
	}
}

// Guards against a gang that starts in part.
func TestGangStaysWithinTheCap(t *testing.T) {
	w, limit := capSim(t, 3, 2500)
	w.submitFor("a", "j", batch.Step{Count: 3, Need: cpu(1000), Gang: true})
	if got := w.runWithin("a", 500); got != 0 {
		t.Errorf("runs use %d, want 0: the gang does not fit", got)
	}
	limit.amount.CPU = 3000
	if got := w.runWithin("a", 500); got != 3000 {
		t.Errorf("runs use %d, want 3000", got)
	}
}

// Guards against a start that was placed under a cap that has been lowered before the placement was stored.
func TestStartIsCheckedOnceItsPlacementIsStored(t *testing.T) {
	w, limit := capSim(t, 2, 2000)
	w.run(100)
	w.storeBlocked = true
	w.submitFor("a", "j", batch.Step{Count: 2, Need: cpu(1000)})
	w.run(100)
	limit.amount.CPU = 1000
	w.storeBlocked = false
	if got := w.runWithin("a", 3*clock.Second); got != 1000 {
		t.Errorf("runs use %d, want 1000", got)
	}
}

// Guards against runs of the owner before that count for no customer.
func TestRestoredRunsCountForTheirCustomer(t *testing.T) {
	s := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
	s.Tick(1000, 1000)
	s.AddJob(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Customer: "a", Steps: []batch.Step{{Count: 2, Need: cpu(700)}}},
		&batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 1, Worker: "w", Incarnation: 1}}}, false)
	if got, want := s.CustomerDemands()["a"].Use, cpu(700); got != want {
		t.Errorf("use got %+v, want %+v", got, want)
	}
}

// Guards against a pool that asks for a cap that it cannot use now, and against one that does not ask for what it could use.
func TestDemandIsWhatCouldStartNow(t *testing.T) {
	w, limit := capSim(t, 2, 1000) // the workers have 8000
	w.submitFor("a", "j1", batch.Step{Count: 20, Need: cpu(1000)})
	w.submitFor("b", "j2", batch.Step{Count: 1, Need: batch.Resources{CPU: 500}, Label: "no worker has it"})
	limit.amount.CPU = 1000
	w.run(300)
	w.s.CollectDemands()
	w.run(10)
	d := w.s.CustomerDemands()["a"]
	tasks := 0
	for _, unit := range d.Waiting {
		tasks += unit.Tasks
	}
	if d.Use != cpu(1000) || tasks != 7 {
		t.Errorf("demand got %+v, want 7 tasks beside the one that runs", d)
	}
	limit.amount.CPU = 0
	w.submitFor("b", "j3", batch.Step{Count: 3, Need: cpu(100), Gang: true})
	w.submitFor("c", "j4", batch.Step{Count: 1, Need: cpu(5000)})
	w.s.CollectDemands()
	w.run(10)
	demands := w.s.CustomerDemands()
	if got := demands["b"].Waiting; len(got) != 1 || got[0] != (grant.Unit{Need: cpu(100), Tasks: 3, Gang: true}) {
		t.Errorf("demand got %+v, want the gang: no worker has the label of the other job", got)
	}
	if got := demands["c"].Waiting; len(got) != 0 {
		t.Errorf("demand got %+v, want none: no worker has room", got)
	}
}

// Guards against a gang that starts in part because its customer's cap was lowered before the placement was stored.
func TestGangIsCheckedAsAWholeOnceItsPlacementIsStored(t *testing.T) {
	w, limit := capSim(t, 3, 3000)
	w.run(100)
	w.storeBlocked = true
	w.submitFor("a", "j", batch.Step{Count: 3, Need: cpu(1000), Gang: true})
	w.run(100)
	limit.amount.CPU = 2000
	w.storeBlocked = false
	if got := w.runWithin("a", 3*clock.Second); got != 0 {
		t.Errorf("runs use %d, want 0: the gang no longer fits", got)
	}
	limit.amount.CPU = 3000
	if got := w.runWithin("a", 500); got != 3000 {
		t.Errorf("runs use %d, want 3000 once the cap is raised", got)
	}
}

// shrinkingCap lets each customer use less once tasks have been placed.
type shrinkingCap struct{ fixedCap }

func (c *shrinkingCap) Covers(_ string, use, need batch.Resources, count int) bool {
	return c.Allows("", use.Add(need), need, count)
}

// Guards against a gang of which only a part starts, because the amount of its customer has shrunk since it was placed: the members would
// wait for the others in vain.
func TestGangStartsWholeAsItsCapShrinks(t *testing.T) {
	w, limit := capSim(t, 2, 4000)
	w.s.Caps = &shrinkingCap{*limit}
	w.submitFor("a", "j", batch.Step{Count: 4, Need: cpu(1000), Gang: true})
	w.run(500)
	for i := range 4 {
		if got := w.starts[batch.TaskKey{Index: i}.Name("j")]; got != 0 {
			t.Errorf("starts of member %d got %d, want 0: the gang as a whole is beyond the amount", i, got)
		}
	}
}

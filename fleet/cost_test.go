package fleet

import (
	"context"
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/jobs"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// cost returns the rows read and the transactions that f causes.
func (w *world) cost(f func()) (reads, transactions int64) {
	r, t := w.store.Counts()
	f()
	r2, t2 := w.store.Counts()
	return r2 - r, t2 - t
}

// Guards against an operation that needs more of the table than it has to: several hundred writes a second are all that
// there is for everything.
func TestTableCosts(t *testing.T) {
	w := newWorld(4, 1)
	l := w.loops[0]
	w.run(clock.Minute, w.serving(12))
	pass := func() {
		w.clock.Advance(6 * clock.Second)
		_ = l.Pass(w.ctx)
	}
	idleReads, idleWrites := w.cost(pass)
	// Three zones, a lease and a wave for each of three pools, three leases read again, one row of jobs for each pool.
	if idleReads != 15 || idleWrites != 1 {
		t.Errorf("idle pass got %d reads and %d transactions, want 15 and 1", idleReads, idleWrites)
	}
	if refusal := l.Drain(w.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	total, phases := int64(0), map[planner.Phase]bool{}
	for range 12 {
		_, writes := w.cost(pass)
		total += writes - idleWrites
		phases[w.records()["w00"].Phase] = true
	}
	if total != 3 || len(phases) != 4 || w.records()["w00"].Phase != planner.Serving {
		t.Errorf("maintenance got %d transactions after the drain and phases %v, want 3 and a return to serving", total, phases)
	}
	w.checkBudgets(t)
}

// Guards against a wave of cancellations that costs a write for each job, and against jobs that start after it.
func TestCancelWaveIsCheap(t *testing.T) {
	const count = 2000
	w := newWorld(4, 1)
	var ids []string
	w.fields.Teams = []config.TeamFields{{Name: "t", Cores: 1}} // no job fits the quota, so that all wait
	for i := range count {
		ids = append(ids, fmt.Sprintf("j%04d", i))
		w.fields.Jobs = append(w.fields.Jobs, config.JobFields{Name: ids[i], Team: "t", Pool: "p0", Urgency: config.Batch,
			Cores: 2, MemoryMB: 100})
	}
	frozen := config.New(w.fields)
	w.loops[0].Configuration = func() *config.Configuration { return frozen }
	w.run(30*clock.Second, func() bool { return len(w.loops[0].jobs) > 0 && len(w.loops[0].jobs["p0"].jobs) == count })
	var refused int
	reads, transactions := w.cost(func() { refused = len(w.newLoop("desk", "b").CancelJobs(w.ctx, "op", ids...)) })
	if refused != 0 || transactions != count/jobBatch || reads != 2*count+count/jobBatch {
		t.Errorf("cancellation got %d refused, %d reads and %d transactions, want 0, %d and %d", refused, reads, transactions,
			2*count+count/jobBatch, count/jobBatch)
	}
	w.fields.Teams = nil
	frozen = config.New(w.fields)
	w.run(20*clock.Second, func() bool { return false })
	for _, id := range ids {
		if starts := w.store.Starts(id + "/1"); starts != 0 {
			t.Errorf("cancelled job %s started %d times, want 0", id, starts)
		}
	}
}

// Guards against an urgent job that starts later than 9.3 s after its submission while less urgent work fills the pool.
func TestUrgentJobStartsInTime(t *testing.T) {
	for _, memory := range []int{100, 4000} { // with room in memory by throttling, else by checkpointing
		w := newWorld(4, 2)
		for i := range 32 {
			w.fields.Jobs = append(w.fields.Jobs, config.JobFields{Name: fmt.Sprint("b", i), Team: "t", Pool: "p0",
				Urgency: config.Batch, Cores: 2, MemoryMB: memory})
		}
		running := func(name string) func() bool {
			return func() bool { return read[jobs.RecordFields](w, jobPrefix)[name].State == jobs.Running }
		}
		w.run(5*clock.Minute, running("b31"))
		w.fields.Jobs = append(w.fields.Jobs, config.JobFields{Name: "u", Team: "urgent", Pool: "p0", Urgency: config.Urgent,
			Cores: 8, MemoryMB: 4000})
		if took := w.run(clock.Minute, running("u")); took > 9300 {
			t.Errorf("urgent job with tasks of %d MB started after %d ms, want at most 9300", memory, took)
		}
	}
}

// Guards against two operators, or a loop and an operator, that both spend the last unit of a budget, and against a lost
// answer that makes an operator's drain happen twice or not at all.
func TestLastUnitIsSpentOnce(t *testing.T) {
	w := newWorld(4, 1) // capacity 1, at most two out
	w.fields.Pools[0].MaxUnavailable = 2
	w.run(clock.Minute, w.serving(12))
	var mine []string
	for id, r := range w.records() {
		if r.Pool == "p0" {
			mine = append(mine, id)
		}
	}
	if refusal := w.loops[0].Drain(w.ctx, mine[0], false); refusal != nil {
		t.Fatalf("first drain got %v, want nil", refusal)
	}
	// The second operator is paused between its decision and its write, while the first spends the last unit.
	slow := newGate(w, "b")
	second := w.newLoop("second", "b")
	second.Platform = slow
	slow.pauseAt = "commit"
	refusals := make(chan error, 1)
	go func() {
		if refusal := second.Drain(w.ctx, mine[1], false); refusal != nil {
			refusals <- refusal
			return
		}
		refusals <- nil
	}()
	<-slow.paused
	w.faults.Next("table.commit", "lose-answer", 1)
	if refusal := w.loops[0].Drain(w.ctx, mine[2], false); refusal != nil {
		t.Errorf("drain with a lost answer got %v, want nil", refusal)
	}
	close(slow.resume)
	want := "MF4000 budget-exhausted: pool p0: 2 of at most 2 out, 2 serving, capacity 1"
	if got := <-refusals; got == nil || got.Error() != want {
		t.Errorf("second operator got %v, want %q", got, want)
	}
	w.checkBudgets(t)
}

// Guards against Assignments that lose instances when more changes happened than a row keeps.
func TestAssignmentsAfterMissedChanges(t *testing.T) {
	w := newWorld(6, 1)
	a := &Assignments{Clock: w.clock, Platform: w.store.View("a"), Zone: "a"}
	if err := a.Poll(w.ctx); err != nil {
		t.Fatalf("Poll got %v, want nil", err)
	}
	w.run(clock.Minute, w.serving(18))
	for range 3 { // every instance fails and returns, which makes more changes than the 64 that a zone keeps
		for _, state := range []provider.InstanceState{provider.Leaving, provider.Live} {
			for i := range 18 {
				w.list(i)
				if state == provider.Leaving {
					w.store.RemoveInstance(fmt.Sprintf("w%02d", i))
				}
			}
			w.run(30*clock.Second, func() bool { return false })
		}
	}
	w.clock.Advance(listAllPeriod)
	if err := a.Poll(w.ctx); err != nil {
		t.Fatalf("Poll got %v, want nil", err)
	}
	records := w.records()
	for _, got := range a.Current() {
		if r := records[got.Instance()]; got.Pool() != r.Pool || got.Phase() != r.Phase {
			t.Errorf("instance %s got %s %s, want %s %s", got.Instance(), got.Pool(), got.Phase(), r.Pool, r.Phase)
		}
	}
	if got, want := len(a.Current()), 18; got != want {
		t.Errorf("instances got %d, want %d", got, want)
	}
}

// Guards against pools whose workers all stand in the zone of the entry instance that plans them: each sees new instances of
// its own zone earlier than those of the others.
func TestJoinsSpreadOverZones(t *testing.T) {
	w := newWorld(6, 3)
	list, _ := w.store.View("").Instances().List(w.ctx, "")
	for _, i := range list {
		w.store.RemoveInstance(i.ID())
	}
	w.run(4*clock.Second, func() bool { return false }) // every loop has read a list of all zones without workers
	for n := range list {
		w.list(n)
	}
	w.run(clock.Minute, w.serving(18))
	zones := map[string]map[string]int{}
	for _, r := range w.records() {
		if zones[r.Pool] == nil {
			zones[r.Pool] = map[string]int{}
		}
		zones[r.Pool][r.Zone]++
	}
	for pool, counts := range zones {
		for _, zone := range zoneNames {
			if counts[zone] == 0 {
				t.Errorf("workers of pool %s by zone got %v, want some in each of three zones", pool, counts)
			}
		}
	}
}

// Guards against planned work on the ground of a configuration that was replaced.
func TestDrainUnderAnOlderConfiguration(t *testing.T) {
	w := newWorld(4, 1)
	l := w.loops[0]
	w.run(clock.Minute, w.serving(12))
	here := int64(1)
	l.ConfigurationVersion = func() int64 { return here }
	next := config.New(w.fields)
	stored := config.NewStored(config.StoredFields{Version: 2, Digest: config.Digest(next), Operation: "o",
		Delta: config.NewDelta(nil, next)})
	if err := w.store.View("").Table().Commit(w.ctx, provider.NewTransaction("o",
		provider.Put(configurationKey, stored.Encode(), 0))); err != nil {
		t.Fatal(err)
	}
	if refusal := l.Drain(w.ctx, "w00", false); refusal == nil || refusal.Code() != LostRace {
		t.Errorf("drain under version 1 of 2 got %v, want %s", refusal, LostRace.Name())
	}
	here = 2
	if refusal := l.Drain(w.ctx, "w00", false); refusal != nil {
		t.Errorf("drain under version 2 of 2 got %v, want nil", refusal)
	}
}

// Guards against a reboot while an entry instance does not know of the drain and still sends requests.
func TestDrainWaitsForEveryEntryInstance(t *testing.T) {
	w := newWorld(4, 1)
	l := w.loops[0]
	w.run(clock.Minute, w.serving(12))
	all := false
	began := w.clock.Now()
	l.Acknowledged = func(_ context.Context, since clock.Millis) (bool, string) {
		if since < began {
			t.Errorf("asked for changes since %d, want since the drain at %d or later", since, began)
		}
		return all, "entry-9"
	}
	if refusal := l.Drain(w.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	w.run(clock.Minute, func() bool { return false })
	if got, want := w.records()["w00"].Phase, planner.Draining; got != want {
		t.Errorf("phase while an entry instance does not know of the drain got %q, want %q", got, want)
	}
	all = true
	w.run(2*clock.Minute, w.serving(12))
	if r := w.records()["w00"]; r.Phase != planner.Serving || r.Maintained < began {
		t.Errorf("record after every entry instance knew got %+v, want maintained and serving", r)
	}
}

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

// tableUse returns the number of rows read and of transactions that f causes.
func (tf *testFleet) tableUse(f func()) (reads, transactions int64) {
	r, t := tf.store.Counts()
	f()
	r2, t2 := tf.store.Counts()
	return r2 - r, t2 - t
}

// Guards against passes and maintenance that read or write more rows than necessary: the table takes several hundred
// writes a second, which the whole fleet shares.
func TestTableCosts(t *testing.T) {
	tf := newTestFleet(4, 1)
	l := tf.loops[0]
	tf.runPasses(clock.Minute, tf.allServing(12))
	pass := func() {
		tf.clock.Advance(6 * clock.Second)
		_ = l.Pass(tf.ctx)
	}
	idleReads, idleWrites := tf.tableUse(pass)
	// Three zones, a lease and a wave for each of three pools, three leases read again, one row of jobs for each pool.
	if idleReads != 15 || idleWrites != 1 {
		t.Errorf("idle pass got %d reads and %d transactions, want 15 and 1", idleReads, idleWrites)
	}
	if refusal := l.Drain(tf.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	total, phases := int64(0), map[planner.Phase]bool{}
	for range 12 {
		_, writes := tf.tableUse(pass)
		total += writes - idleWrites
		phases[tf.records()["w00"].Phase] = true
	}
	if total != 3 || len(phases) != 4 || tf.records()["w00"].Phase != planner.Serving {
		t.Errorf("maintenance got %d transactions after the drain and phases %v, want 3 and a return to serving", total, phases)
	}
	tf.checkBudgets(t)
}

// Guards against cancellations that need a transaction for each job, and against cancelled jobs that start.
func TestCancelJobsInBatches(t *testing.T) {
	const count = 2000
	tf := newTestFleet(4, 1)
	var ids []string
	tf.fields.Teams = []config.TeamFields{{Name: "t", Cores: 1}} // no job fits the quota, so that all wait
	for i := range count {
		ids = append(ids, fmt.Sprintf("j%04d", i))
		tf.fields.Jobs = append(tf.fields.Jobs, config.JobFields{Name: ids[i], Team: "t", Pool: "p0", Urgency: config.Batch,
			Cores: 2, MemoryMB: 100})
	}
	frozen := config.New(tf.fields)
	tf.loops[0].Configuration = func() *config.Configuration { return frozen }
	tf.runPasses(30*clock.Second, func() bool { return len(tf.loops[0].jobs) > 0 && len(tf.loops[0].jobs["p0"].jobs) == count })
	var refused int
	reads, transactions := tf.tableUse(func() { refused = len(tf.newLoop("desk", "b").CancelJobs(tf.ctx, "op", ids...)) })
	if refused != 0 || transactions != count/jobBatch || reads != 2*count+count/jobBatch {
		t.Errorf("cancellation got %d refused, %d reads and %d transactions, want 0, %d and %d", refused, reads, transactions,
			2*count+count/jobBatch, count/jobBatch)
	}
	tf.fields.Teams = nil
	frozen = config.New(tf.fields)
	tf.runPasses(20*clock.Second, func() bool { return false })
	for _, id := range ids {
		if starts := tf.store.Starts(id + "/1"); starts != 0 {
			t.Errorf("cancelled job %s started %d times, want 0", id, starts)
		}
	}
}

// Guards against an urgent job that starts later than 9.3 s after its submission while less urgent work fills the pool.
func TestUrgentJobStartsInTime(t *testing.T) {
	for _, memory := range []int{100, 4000} { // MB per task: 100 leaves room by throttling, 4000 only by checkpointing
		tf := newTestFleet(4, 2)
		for i := range 32 {
			tf.fields.Jobs = append(tf.fields.Jobs, config.JobFields{Name: fmt.Sprint("b", i), Team: "t", Pool: "p0",
				Urgency: config.Batch, Cores: 2, MemoryMB: memory})
		}
		running := func(name string) func() bool {
			return func() bool { return readRows[jobs.RecordFields](tf, jobPrefix)[name].State == jobs.Running }
		}
		tf.runPasses(5*clock.Minute, running("b31"))
		tf.fields.Jobs = append(tf.fields.Jobs, config.JobFields{Name: "u", Team: "urgent", Pool: "p0", Urgency: config.Urgent,
			Cores: 8, MemoryMB: 4000})
		if took := tf.runPasses(clock.Minute, running("u")); took > 9300 {
			t.Errorf("urgent job with tasks of %d MB started after %d ms, want at most 9300", memory, took)
		}
	}
}

// Guards against two operators, or a loop and an operator, that both use the last unit of a budget, and against a
// lost answer that makes an operator's drain happen twice or not at all.
func TestConcurrentDrainsStayWithinBudget(t *testing.T) {
	tf := newTestFleet(4, 1) // capacity 1, at most two out
	tf.fields.Pools[0].MaxUnavailable = 2
	tf.runPasses(clock.Minute, tf.allServing(12))
	var members []string
	for id, r := range tf.records() {
		if r.Pool == "p0" {
			members = append(members, id)
		}
	}
	if refusal := tf.loops[0].Drain(tf.ctx, members[0], false); refusal != nil {
		t.Fatalf("first drain got %v, want nil", refusal)
	}
	// The second operator is paused between its decision and its write, while the first uses the last unit.
	delayed := newPausablePlatform(tf, "b")
	second := tf.newLoop("second", "b")
	second.Platform = delayed
	delayed.pauseAt = "commit"
	refusals := make(chan error, 1)
	go func() {
		if refusal := second.Drain(tf.ctx, members[1], false); refusal != nil {
			refusals <- refusal
			return
		}
		refusals <- nil
	}()
	<-delayed.paused
	tf.faults.Next("table.commit", "lose-answer", 1)
	if refusal := tf.loops[0].Drain(tf.ctx, members[2], false); refusal != nil {
		t.Errorf("drain with a lost answer got %v, want nil", refusal)
	}
	close(delayed.resume)
	want := "MF4000 budget-exhausted: pool p0: 2 of at most 2 out, 2 serving, capacity 1"
	if got := <-refusals; got == nil || got.Error() != want {
		t.Errorf("second operator got %v, want %q", got, want)
	}
	tf.checkBudgets(t)
}

// Guards against Assignments that lose instances when more changes happened than a changes row keeps.
func TestAssignmentsAfterMissedChanges(t *testing.T) {
	tf := newTestFleet(6, 1)
	a := &Assignments{Clock: tf.clock, Platform: tf.store.View("a"), Zone: "a"}
	if err := a.Poll(tf.ctx); err != nil {
		t.Fatalf("Poll got %v, want nil", err)
	}
	tf.runPasses(clock.Minute, tf.allServing(18))
	for range 3 { // every instance fails and returns, which makes more changes than the 64 that a zone keeps
		for _, state := range []provider.InstanceState{provider.Leaving, provider.Live} {
			for i := range 18 {
				tf.list(i)
				if state == provider.Leaving {
					tf.store.RemoveInstance(fmt.Sprintf("w%02d", i))
				}
			}
			tf.runPasses(30*clock.Second, func() bool { return false })
		}
	}
	tf.clock.Advance(listAllPeriod)
	if err := a.Poll(tf.ctx); err != nil {
		t.Fatalf("Poll got %v, want nil", err)
	}
	records := tf.records()
	for _, got := range a.Current() {
		if r := records[got.Instance()]; got.Pool() != r.Pool || got.Phase() != r.Phase {
			t.Errorf("instance %s got %s %s, want %s %s", got.Instance(), got.Pool(), got.Phase(), r.Pool, r.Phase)
		}
	}
	if got, want := len(a.Current()), 18; got != want {
		t.Errorf("instances got %d, want %d", got, want)
	}
}

// Guards against pools whose workers are all in the zone of the entry instance that plans them, because it sees new
// instances of its own zone earlier than those of the others.
func TestJoinsSpreadOverZones(t *testing.T) {
	tf := newTestFleet(6, 3)
	list, _ := tf.store.View("").Instances().List(tf.ctx, "")
	for _, i := range list {
		tf.store.RemoveInstance(i.ID())
	}
	tf.runPasses(4*clock.Second, func() bool { return false }) // every loop has read a list of all zones without workers
	for n := range list {
		tf.list(n)
	}
	tf.runPasses(clock.Minute, tf.allServing(18))
	zones := map[string]map[string]int{}
	for _, r := range tf.records() {
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

// Guards against planned work that is based on a configuration that was replaced.
func TestDrainUnderAnOlderConfiguration(t *testing.T) {
	tf := newTestFleet(4, 1)
	l := tf.loops[0]
	tf.runPasses(clock.Minute, tf.allServing(12))
	inForce := int64(1)
	l.ConfigurationVersion = func() int64 { return inForce }
	next := config.New(tf.fields)
	stored := config.NewStored(config.StoredFields{Version: 2, Digest: config.Digest(next), Operation: "o",
		Delta: config.NewDelta(nil, next)})
	if err := tf.store.View("").Table().Commit(tf.ctx, provider.NewTransaction("o",
		provider.Put(configurationKey, stored.Encode(), 0))); err != nil {
		t.Fatal(err)
	}
	if refusal := l.Drain(tf.ctx, "w00", false); refusal == nil || refusal.Code() != LostRace {
		t.Errorf("drain under version 1 of 2 got %v, want %s", refusal, LostRace.Name())
	}
	inForce = 2
	if refusal := l.Drain(tf.ctx, "w00", false); refusal != nil {
		t.Errorf("drain under version 2 of 2 got %v, want nil", refusal)
	}
}

// Guards against a reboot while an entry instance has not read the drain and still sends requests.
func TestDrainWaitsForEveryEntryInstance(t *testing.T) {
	tf := newTestFleet(4, 1)
	l := tf.loops[0]
	tf.runPasses(clock.Minute, tf.allServing(12))
	all := false
	began := tf.clock.Now()
	l.Acknowledged = func(_ context.Context, since clock.Millis) (bool, string) {
		if since < began {
			t.Errorf("Acknowledged was called with time %d, want %d, the time of the drain, or later", since, began)
		}
		return all, "entry-9"
	}
	if refusal := l.Drain(tf.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	tf.runPasses(clock.Minute, func() bool { return false })
	if got, want := tf.records()["w00"].Phase, planner.Draining; got != want {
		t.Errorf("phase while an entry instance has not read the drain got %q, want %q", got, want)
	}
	all = true
	tf.runPasses(2*clock.Minute, tf.allServing(12))
	if r := tf.records()["w00"]; r.Phase != planner.Serving || r.Maintained < began {
		t.Errorf("record after every entry instance read the drain got %+v, want maintained and serving", r)
	}
}

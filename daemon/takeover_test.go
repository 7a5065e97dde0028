package daemon

import (
	"context"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/pool"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against a task that runs twice because the owner before the last one, which could reach the workers but not the store,
// renewed leases until ownershipTimeout. Guards also against waiting for leases that no owner can have renewed.
func TestLeasesAfterAShortOwnership(t *testing.T) {
	const (
		lease    = pool.MaxLease
		takeover = takeoverMin + 100
		longest  = lease + lease/leaseDriftDivisor + leaseSlack
		onWorker = lease + lease*2/100 // the worker's clock is 2% slow
	)
	for _, test := range []struct {
		name    string
		held    clock.Millis
		release bool
		end     clock.Millis // since the first owner's last renewal
		keeps   bool
	}{
		{"the second owner is killed", 300, false, ownershipTimeout + onWorker, true},
		{"the second owner gives the pool up", 300, true, ownershipTimeout + onWorker, true},
		{"the second owner gives the pool up at once", 0, true, ownershipTimeout + onWorker, true},
		{"the second owner gives the pool up after a usual tenure", ownershipTimeout, true, takeover + ownershipTimeout + longest + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := clock.NewFake(10000)
			table := standin.NewTable()
			d := &Daemon{clock: c, stateCache: store.NewStateCache(c, nil), table: &store.Monitor{Table: table, Clock: c}}
			ownership := func(node string) *store.Ownership {
				return &store.Ownership{Store: table, Clock: c, Part: "p", Node: node, Incarnation: node, SinceBoot: c.Now}
			}
			seen := func() store.OwnerEntry {
				d.stateCache.Apply(table.Rows(store.StateTable))
				seen, _ := d.stateCache.Owner("p")
				return seen
			}
			ctx := context.Background()
			if err := ownership("a").Claim(ctx, 0); err != nil {
				t.Fatal(err)
			}
			first, renewed := seen(), c.Now()
			c.Advance(takeover)
			second := ownership("b")
			if err := second.Claim(ctx, first.Version); err != nil {
				t.Fatal(err)
			}
			seen()
			c.Advance(test.held)
			if test.release {
				(&partClaimer{daemon: d, part: "p"}).release(second)
			}
			o := &poolOwner{daemon: d, pool: "p", scheduler: pool.NewScheduler("p", lease, clock.Minute, nil)}
			o.scheduler.SetToken(100)
			o.scheduler.Tick(c.Now(), c.Now())
			o.restoreLeases(seen(), pool.Load{}, lease)
			o.scheduler.AddJob(&batch.Job{ID: "j", Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}},
				&batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 1, Worker: "w", Incarnation: 1}}}, false)
			o.scheduler.Tick(renewed+test.end, renewed+test.end)
			o.scheduler.Plan()
			if got := o.scheduler.Transaction() == nil; got != test.keeps {
				t.Errorf("run kept at the end of the lease: got %t, want %t", got, test.keeps)
			}
		})
	}
}

// Guards against an ended job that is scheduled again: the deletion of its row failed until its state had expired, and then the
// owner reloaded the whole table. Once the row is deleted, the scheduler drops the job.
func TestEndedJobWhoseRowOutlivesItsState(t *testing.T) {
	const id = "0000000000000001"
	job := &batch.Job{ID: id, Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}}
	value, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	const retention = 1 * clock.Second
	d := &Daemon{clock: clock.NewFake(10000), stateCache: store.NewStateCache(clock.NewFake(10000), nil)}
	o := &poolOwner{daemon: d, pool: "p", scheduler: pool.NewScheduler("p", pool.MaxLease, retention, nil),
		states: map[string]batch.State{}, stored: map[string]bool{}, cancels: map[string]bool{}, damaged: map[string]bool{},
		cleaner: newCleaner(d, "p")}
	o.scheduler.Tick(10000, 10000)
	o.scheduler.AddEnded(id)
	part := store.Layout{}.IntakePart(id)
	row := store.Row{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindJob, id), Value: value, Version: 1}
	o.addJobs([]store.Row{row}, nil)
	commit := func(tx *pool.Transaction) (deletes []store.Row) {
		if tx == nil {
			t.Fatal("transaction got none, want one")
		}
		_, deletes, _, err := o.encode(tx)
		if err != nil {
			t.Fatal(err)
		}
		o.scheduler.Committed(2)
		return deletes
	}
	o.scheduler.Tick(10000+2*retention, 10000+2*retention)
	commit(o.scheduler.Transaction())
	o.applyJobRows([]store.Row{row})
	if o.scheduler.Active(id) {
		t.Error("ended job is scheduled again, want it ignored: its row is still to be deleted")
	}
	if tx := o.scheduler.Transaction(); tx != nil {
		t.Errorf("transaction got %+v, want none: the job expires once", tx)
	}
	o.cleaner.handleOutcome(context.Background(), part, o.cleaner.queued[part], nil)
	if got := len(commit(o.scheduler.Renewal())); got != 1 {
		t.Errorf("deletions got %d, want 1, of the final state", got)
	}
	if o.scheduler.HasJob(id) {
		t.Error("scheduler still has the ended job, want it dropped: its rows are deleted")
	}
}

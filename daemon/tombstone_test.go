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

// Guards against tombstones that stay in the store for good, and against one that is removed while a late write of its job can still
// arrive. The owner learns of a tombstone while it owns the pool, or from an earlier owner's tables, also one of an earlier version.
func TestTombstonesAreRemovedLikeEndedJobs(t *testing.T) {
	const id = "0000000000000001"
	for _, takeover := range []bool{false, true} {
		tombstoneIsRemoved(t, id, takeover)
		tombstoneIsRemoved(t, store.TombstoneID(id, "a customer"), takeover)
	}
}

func tombstoneIsRemoved(t *testing.T, id string, takeover bool) {
	const retention = 120 * clock.Second
	c := clock.NewFake(10000)
	table := standin.NewTable()
	d := &Daemon{clock: c, stateCache: store.NewStateCache(c, nil), table: &store.Monitor{Table: table, Clock: c}}
	o := &poolOwner{daemon: d, pool: "p", scheduler: pool.NewScheduler("p", pool.MaxLease, retention, nil),
		states: map[string]batch.State{}, stored: map[string]bool{}, cancels: map[string]bool{}, damaged: map[string]bool{},
		cleaner: newCleaner(d, "p")}
	o.scheduler.Tick(c.Now(), c.Now())
	cancel := store.EncodeCancel(store.Layout{}.IntakePart(id), "p", id, true)
	if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{store.EncodeTombstone(store.Layout{}.IntakePart(id), id, "p"), cancel}}); err != nil {
		t.Fatal(err)
	}
	d.stateCache.Load(table.Rows(store.StateTable))
	if takeover {
		for _, ended := range d.stateCache.Ended("p") {
			o.scheduler.AddEnded(ended)
		}
		o.addJobs(table.Rows(store.JobsTable("p")), nil)
	} else {
		o.applyJobRows(table.Rows(store.JobsTable("p")))
	}
	clean := func() {
		outcomes := make(chan func(), 1)
		o.cleaner.step(context.Background(), func(handle func()) { outcomes <- handle })
		(<-outcomes)()
	}
	clean()
	if got := len(table.Rows(store.JobsTable("p"))); got != 0 {
		t.Errorf("%s, takeover %v: requests to cancel got %d, want 0", id, takeover, got)
	}
	c.Advance(retention)
	o.scheduler.Tick(c.Now(), c.Now())
	if tx := o.scheduler.Transaction(); tx != nil || len(table.Rows(store.StateTable)) != 1 {
		t.Errorf("%s, takeover %v: transaction after the retention got %+v, want none and the tombstone kept", id, takeover, tx)
	}
	c.Advance(clock.Second)
	o.scheduler.Tick(c.Now(), c.Now())
	tx := o.scheduler.Transaction()
	if tx == nil {
		t.Fatalf("%s, takeover %v: transaction got none, want the tombstone to expire", id, takeover)
	}
	if _, _, _, err := o.encode(tx); err != nil {
		t.Fatal(err)
	}
	o.scheduler.Committed(2)
	clean()
	if got := len(table.Rows(store.StateTable)); got != 0 {
		t.Errorf("%s, takeover %v: rows after the removal got %d, want 0", id, takeover, got)
	}
	if _, _, _, err := o.encode(o.scheduler.Renewal()); err != nil {
		t.Fatal(err)
	}
	if o.scheduler.HasJob(id) {
		t.Errorf("%s, takeover %v: the scheduler keeps the id, want it usable again", id, takeover)
	}
}

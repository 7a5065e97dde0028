package daemon

import (
	"context"
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/pool"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against a pool that stands still because the store refuses the progress of one job for its content: the transaction was repeated
// unchanged without end, also by the next owner.
func TestRefusedJobDoesNotHoldUpItsPool(t *testing.T) {
	const good, bad = "0000000000000001", "0000000000000002"
	c := clock.NewFake(10000)
	table := standin.NewTable()
	calls := 0
	table.Fault = func(tx store.Transaction) standin.TableFault {
		calls++
		for _, row := range tx.Puts {
			if row.Table == store.RunsTable && row.Key == bad {
				return standin.TableRefuses
			}
		}
		return standin.TableWorks
	}
	d := &Daemon{clock: c, stateCache: store.NewStateCache(c, nil), table: &store.Monitor{Table: table, Clock: c}}
	ownership := &store.Ownership{Store: table, Clock: c, Part: "p", Node: "n", Incarnation: "i", SinceBoot: c.Now}
	if err := ownership.Claim(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	o := &poolOwner{daemon: d, pool: "p", ownership: ownership, events: newWorkQueue[func()](),
		scheduler: pool.NewScheduler("p", pool.MaxLease, clock.Minute, nil),
		states:    map[string]batch.State{}, stored: map[string]bool{}, cleaner: newCleaner(d, "p")}
	s := o.scheduler
	s.SetToken(ownership.Token())
	started := map[string]bool{}
	step := func() {
		c.Advance(planPeriod)
		s.Tick(c.Now(), c.Now())
		s.Plan()
		for _, order := range s.Orders() {
			switch order := order.(type) {
			case pool.Hold:
				s.HoldAnswered(order, pool.Listing{Reply: pool.Reply{Outcome: pool.Accepted, Clock: c.Now(), Incarnation: 1}}, c.Now())
			case pool.Start:
				started[order.Task] = true
				s.StartAnswered(order, pool.Reply{Outcome: pool.Accepted, Clock: c.Now(), Incarnation: 1})
			}
		}
		o.commit(context.Background(), false)
		for o.committing {
			<-o.events.signal
			for _, handle := range o.events.takeAll() {
				handle()
			}
		}
	}
	s.Tick(c.Now(), c.Now())
	s.SetWorker(batch.Worker{ID: "w", Pool: "p", Address: "w", Incarnation: 1, Capacity: batch.Resources{CPU: 4000, MemoryMB: 4000}})
	for _, id := range []string{good, bad} {
		s.AddJob(&batch.Job{ID: id, Queue: "q", Pool: "p", Accepted: c.Now(), Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}}, nil, false)
	}
	for range 20 {
		step()
	}
	if o.failure != nil || fmt.Sprint(started) != fmt.Sprint(map[string]bool{good + ".0.0.0": true}) {
		t.Errorf("failure got %v, started tasks %v, want only that of the other job", o.failure, started)
	}
	states := map[string]batch.State{}
	for _, row := range table.Rows(store.StateTable) {
		if kind, id := store.SplitKey(row.Key); kind == store.KindJob {
			states[id], _ = batch.StateOf(row.Value)
		}
	}
	if states[good] != batch.Running || states[bad] != batch.Failed {
		t.Errorf("stored states got %v, want the refused job failed and the other one running", states)
	}
	if limit := 20; calls > limit {
		t.Errorf("transactions got %d, want at most %d", calls, limit)
	}
}

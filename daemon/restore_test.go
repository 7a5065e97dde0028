package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// shortPages is a table whose feeds return truncated pages without the mark that there are more rows.
type shortPages struct{ *standin.Table }

func (t shortPages) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (store.Page, error) {
	page, err := t.Table.Feed(ctx, table, after, wait)
	page.More = false
	return page, err
}

// Guards against an owner that runs ended jobs again because its copy of StateTable was incomplete: a page of the feed was
// truncated, as pages are limited in bytes too, and the owner did not notice.
func TestRestoreWaitsForTheWholeStateTable(t *testing.T) {
	synctest.Test(t, restoreWaitsForTheWholeStateTable)
}

func restoreWaitsForTheWholeStateTable(t *testing.T) {
	const jobs = 5
	ctx, cancel := context.WithCancel(context.Background())
	c := clock.NewFake(10000)
	table := standin.NewTable()
	table.FeedRows = 1
	d := &Daemon{clock: c, table: &store.Monitor{Table: shortPages{table}, Clock: c}, stateCache: store.NewStateCache(c, nil)}
	d.Settings.LeaseLimit, d.Settings.StateRetention = 6000, 120
	d.configuration.Store(&batch.Configuration{})
	d.workers = newWorkerList(c, nil, d.workerChanged)
	d.stateFeed = d.follower(store.StateTable, statePeriod, 0, d.stateCache.Load, d.stateCache.Apply)
	followed := make(chan error, 1)
	go func() { followed <- d.stateFeed.Run(ctx) }()
	synctest.Wait() // until the feed has loaded the empty table
	var rows []store.Row
	for i := range jobs {
		job := &batch.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}}
		value, err := job.Encode()
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, store.Row{Table: store.JobsTable("p"), Part: store.Layout{}.IntakePart(job.ID), Key: store.Key(store.KindJob, job.ID), Value: value})
		state := store.EncodeState("p", job.ID, "q", "p", batch.Completed)
		if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{state}}); err != nil {
			t.Fatal(err)
		}
	}
	ownership := &store.Ownership{Store: d.table, Clock: c, Part: "p", Node: "a", Incarnation: "a", SinceBoot: c.Now}
	if err := ownership.Claim(ctx, 0); err != nil {
		t.Fatal(err)
	}
	c.Advance(1) // calls of the feed from before the claim do not count
	o := &poolOwner{daemon: d, pool: "p", ownership: ownership, events: newWorkQueue[func()](), cordoned: map[string]string{},
		states: map[string]batch.State{}, stored: map[string]bool{}, cancels: map[string]bool{}, damaged: map[string]bool{},
		cleaner: newCleaner(d, "p")}
	loaded := make(chan []store.Row, 1)
	loaded <- rows
	begun := make(chan error, 1)
	go func() { begun <- o.restore(ctx, loaded, store.OwnerEntry{}, false) }()
	for done := false; !done; {
		synctest.Wait()
		select {
		case err := <-begun:
			if err != nil {
				t.Fatal(err)
			}
			done = true
		default:
			c.Advance(10)
		}
	}
	for _, row := range rows {
		if _, id := store.SplitKey(row.Key); o.scheduler.Active(id) {
			t.Errorf("job %s is scheduled, want it ignored: it has ended", id)
		}
	}
	cancel()
	<-followed
}

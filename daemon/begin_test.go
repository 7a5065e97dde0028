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

// shortPages is a table whose feeds return pages of a few rows that look complete.
type shortPages struct{ *standin.Table }

func (t shortPages) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (store.Page, error) {
	page, err := t.Table.Feed(ctx, table, after, wait)
	page.More = false
	return page, err
}

// Guards against an owner that runs ended jobs again: the feed of the board returned less than it had, as a page is limited in bytes too,
// and the owner took its copy for complete.
func TestTenureBeginsWithTheWholeBoard(t *testing.T) { synctest.Test(t, tenureBeginsWithTheWholeBoard) }

func tenureBeginsWithTheWholeBoard(t *testing.T) {
	const jobs = 5
	ctx, cancel := context.WithCancel(context.Background())
	c := clock.NewFake(10000)
	table := standin.NewTable()
	table.FeedRows = 1
	d := &Daemon{clock: c, table: &store.Monitor{Table: shortPages{table}, Clock: c}, board: store.NewStateCache(c, nil)}
	d.Settings.LeaseLimit, d.Settings.StateRetention = 6000, 120
	d.configuration.Store(&batch.Configuration{})
	d.workers = newWorkerList(c, nil, d.workerChanged)
	d.boardFeed = d.follower(store.StateTable, boardPeriod, 0, d.board.Load, d.board.Apply)
	followed := make(chan error, 1)
	go func() { followed <- d.boardFeed.Run(ctx) }()
	synctest.Wait() // until it has loaded the empty table
	var rows []store.Row
	for i := range jobs {
		job := &batch.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}}
		value, err := job.Encode()
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, store.Row{Table: store.JobsTable("p"), Part: store.IntakePart(job.ID), Key: store.Key(store.KindJob, job.ID), Value: value})
		state := store.EncodeState("p", job.ID, "q", "p", batch.Completed)
		if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{state}}); err != nil {
			t.Fatal(err)
		}
	}
	chain := &store.Ownership{Store: d.table, Clock: c, Part: "p", Node: "a", Incarnation: "a", SinceBoot: c.Now}
	if err := chain.Claim(ctx, 0); err != nil {
		t.Fatal(err)
	}
	c.Advance(1) // calls of the feed from before the claim do not count
	o := &poolOwner{daemon: d, pool: "p", chain: chain, events: newMailbox[func()](), told: map[string]string{},
		states: map[string]batch.State{}, stored: map[string]bool{}, cancels: map[string]bool{}, damaged: map[string]bool{},
		sweeper: newSweeper(d, "p")}
	loaded := make(chan []store.Row, 1)
	loaded <- rows
	begun := make(chan error, 1)
	go func() { begun <- o.begin(ctx, loaded, store.OwnerEntry{}, false) }()
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
			t.Errorf("job %s got taken in, want it left: it has ended", id)
		}
	}
	cancel()
	<-followed
}

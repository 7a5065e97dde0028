package daemon

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against a job that runs a second time under the next owner of its pool, because its row is still there.
func TestEndedJobIsNotTakenInAgain(t *testing.T) {
	table := newSite(t)
	var stuck atomic.Bool
	stuck.Store(true)
	table.Fault = func(tx store.Transaction) standin.TableFault {
		if stuck.Load() && len(tx.Deletes) > 0 && strings.HasPrefix(tx.Deletes[0].Table, "jobs.") {
			return standin.TableRejects
		}
		return standin.TableWorks
	}
	workers := newInstantWorkers()
	first, stopFirst := start(t, "a", table, workers)
	defer stopFirst()
	const ended, next = "0000000000000001", "0000000000000002"
	const job = `{"spec":"x","steps":[{"count":1,"cpu":500}]}`
	call(t, http.MethodPost, first, "/q/"+ended, job, "200 {}")
	call(t, http.MethodGet, first, "/q/"+ended, "", `200 {"state":"completed"}`)
	second, stopSecond := start(t, "b", table, workers)
	defer stopSecond()
	call(t, http.MethodGet, second, "/q/"+ended, "", `200 {"state":"completed"}`)
	stopFirst()
	call(t, http.MethodPost, second, "/q/"+next, job, "200 {}")
	call(t, http.MethodGet, second, "/q/"+next, "", `200 {"state":"completed"}`)
	workers.mu.Lock()
	if got := workers.starts[ended+".0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
	workers.mu.Unlock()
	stuck.Store(false)
	for len(table.Rows(store.JobsTable("p"))) > 0 {
		<-clock.System().After(5)
	}
	call(t, http.MethodGet, second, "/q/"+ended, "", `200 {"state":"completed"}`)
}

// Guards against a request to cancel a job that is deleted before the state of the job is stored: an owner that is lost right
// after it took the pool would leave the job to the next one as if nobody had cancelled it.
func TestCancelOutlivesAnOwnerThatStoresNothing(t *testing.T) {
	table := newSite(t)
	const id = "0000000000000001"
	job := &batch.Job{ID: id, Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}}
	value, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	part := store.IntakePart(id)
	rows := []store.Row{store.EncodeState(part, id, "q", "p", batch.Pending),
		{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindJob, id), Value: value},
		{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindCancel, id), Value: []byte("{}")}}
	if _, err := table.Commit(context.Background(), store.Transaction{Puts: rows}); err != nil {
		t.Fatal(err)
	}
	var swept, attempts atomic.Int32
	var back atomic.Bool
	table.Fault = func(tx store.Transaction) standin.TableFault {
		for _, row := range tx.Puts {
			if !back.Load() && row.Part == "p" && row.Key == store.Key(store.KindJob, id) {
				attempts.Add(1)
				return standin.TableRejects // the final state
			}
		}
		if !back.Load() && len(tx.Deletes) > 0 && strings.HasPrefix(tx.Deletes[0].Table, "jobs.") {
			swept.Add(1)
		}
		return standin.TableWorks
	}
	_, stop := start(t, "a", table, newInstantWorkers())
	for attempts.Load() < 3 || clock.System().Now() < 2*sweepPeriod { // the first sweep comes after sweepPeriod
		<-clock.System().After(5)
	}
	stop()
	if got := swept.Load(); got != 0 {
		t.Fatalf("deleted requests got %d, want none before the state is stored", got)
	}
	back.Store(true)
	next, stopNext := start(t, "b", table, newInstantWorkers())
	defer stopNext()
	call(t, http.MethodGet, next, "/q/"+id, "", `200 {"state":"cancelled"}`)
}

// Guards against a job that is shown as pending once its final state is no longer kept, and against a row that stays for good
// because a transaction failed once.
func TestSweepForgetsTheFirstStateBeforeTheLast(t *testing.T) {
	table := standin.NewTable()
	const id = "0000000000000001"
	row := store.EncodeState(store.IntakePart(id), id, "q", "p", batch.Pending)
	if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{row}}); err != nil {
		t.Fatal(err)
	}
	failures := 1
	table.Fault = func(store.Transaction) standin.TableFault {
		if failures > 0 {
			failures--
			return standin.TableRejects
		}
		return standin.TableWorks
	}
	c := clock.NewFake(10000)
	w := newSweeper(&Daemon{table: &store.Monitor{Table: table, Clock: c}, clock: c}, "p")
	w.state(id)
	step := func() {
		outcomes := make(chan func(), 1)
		w.step(context.Background(), func(handle func()) { outcomes <- handle })
		(<-outcomes)()
	}
	step()
	if got := w.take(10); len(got) != 0 {
		t.Errorf("forgotten jobs got %v, want none: the transaction failed", got)
	}
	c.Advance(sweepPeriod)
	step()
	if got := w.take(10); len(got) != 1 || got[0] != id {
		t.Errorf("forgotten jobs got %v, want %s", got, id)
	}
	if got := len(table.Rows(store.StateTable)); got != 0 {
		t.Errorf("rows got %d, want none", got)
	}
}

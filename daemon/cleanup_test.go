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

// Guards against a job that runs a second time under the next owner of its pool because its row has not been deleted yet.
func TestEndedJobIsNotTakenInAgain(t *testing.T) {
	table := newTestTable(t)
	var rejectDeletes atomic.Bool
	rejectDeletes.Store(true)
	table.Fault = func(tx store.Transaction) standin.TableFault {
		if rejectDeletes.Load() && len(tx.Deletes) > 0 && strings.HasPrefix(tx.Deletes[0].Table, "jobs.") {
			return standin.TableRejects
		}
		return standin.TableWorks
	}
	workers := newInstantWorkers()
	first, stopFirst := startInstance(t, "a", table, workers)
	defer stopFirst()
	const ended, next = "0000000000000001", "0000000000000002"
	const job = `{"spec":"x","steps":[{"count":1,"cpu":500}]}`
	awaitAnswer(t, http.MethodPost, first, "/q/"+ended, job, "200 {}")
	awaitAnswer(t, http.MethodGet, first, "/q/"+ended, "", `200 {"state":"completed"}`)
	second, stopSecond := startInstance(t, "b", table, workers)
	defer stopSecond()
	awaitAnswer(t, http.MethodGet, second, "/q/"+ended, "", `200 {"state":"completed"}`)
	stopFirst()
	awaitAnswer(t, http.MethodPost, second, "/q/"+next, job, "200 {}")
	awaitAnswer(t, http.MethodGet, second, "/q/"+next, "", `200 {"state":"completed"}`)
	workers.mu.Lock()
	if got := workers.starts[ended+".0.0.0"]; got != 1 {
		t.Errorf("starts of the ended job's task got %d, want 1", got)
	}
	workers.mu.Unlock()
	rejectDeletes.Store(false)
	for len(table.Rows(store.JobsTable("p"))) > 0 {
		<-clock.System().After(5)
	}
	awaitAnswer(t, http.MethodGet, second, "/q/"+ended, "", `200 {"state":"completed"}`)
}

// Guards against a request to cancel a job that is deleted before the state of the job is stored: if the owner fails right after
// its claim, the next owner would run the job as if it had not been cancelled.
func TestCancelRequestIsKeptUntilTheStateIsStored(t *testing.T) {
	table := newTestTable(t)
	const id = "0000000000000001"
	job := &batch.Job{ID: id, Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 500}}}}
	value, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	part := store.Layout{}.IntakePart(id)
	rows := []store.Row{store.EncodeState(part, id, "q", "p", batch.Pending),
		{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindJob, id), Value: value},
		{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindCancel, id), Value: []byte("{}")}}
	if _, err := table.Commit(context.Background(), store.Transaction{Puts: rows}); err != nil {
		t.Fatal(err)
	}
	var cancelDeletes, attempts atomic.Int32
	var accept atomic.Bool
	table.Fault = func(tx store.Transaction) standin.TableFault {
		for _, row := range tx.Puts {
			if !accept.Load() && row.Part == "p" && row.Key == store.Key(store.KindJob, id) {
				attempts.Add(1)
				return standin.TableRejects // this transaction stores the final state
			}
		}
		if !accept.Load() && len(tx.Deletes) > 0 && strings.HasPrefix(tx.Deletes[0].Table, "jobs.") {
			cancelDeletes.Add(1)
		}
		return standin.TableWorks
	}
	_, stop := startInstance(t, "a", table, newInstantWorkers())
	for attempts.Load() < 3 || clock.System().Now() < 2*cleanupPeriod { // the first cleanup is due after cleanupPeriod
		<-clock.System().After(5)
	}
	stop()
	if got := cancelDeletes.Load(); got != 0 {
		t.Fatalf("deletions of the request to cancel got %d, want none before the state is stored", got)
	}
	accept.Store(true)
	next, stopNext := startInstance(t, "b", table, newInstantWorkers())
	defer stopNext()
	awaitAnswer(t, http.MethodGet, next, "/q/"+id, "", `200 {"state":"cancelled"}`)
}

// Guards against a job that is shown as pending after its final state has been deleted, and against a row that is never deleted
// because a transaction failed once.
func TestFirstStateIsDeletedBeforeTheFinalState(t *testing.T) {
	table := standin.NewTable()
	const id = "0000000000000001"
	row := store.EncodeState(store.Layout{}.IntakePart(id), id, "q", "p", batch.Pending)
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
	cleaner := newCleaner(&Daemon{table: &store.Monitor{Table: table, Clock: c}, clock: c, stateCache: store.NewStateCache(c, nil)}, "p")
	cleaner.state(id)
	step := func() {
		outcomes := make(chan func(), 1)
		cleaner.step(context.Background(), func(handle func()) { outcomes <- handle })
		(<-outcomes)()
	}
	step()
	if got := cleaner.takeCleaned(10); len(got) != 0 {
		t.Errorf("jobs with deleted rows got %v, want none: the transaction failed", got)
	}
	c.Advance(cleanupPeriod)
	step()
	if got := cleaner.takeCleaned(10); len(got) != 1 || got[0] != id {
		t.Errorf("jobs with deleted rows got %v, want %s", got, id)
	}
	if got := len(table.Rows(store.StateTable)); got != 0 {
		t.Errorf("rows left in StateTable got %d, want none", got)
	}
}

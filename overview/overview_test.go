package overview_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/overview"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// newFilledReader returns a reader of a store that holds a configuration, a wave, workers, owners, jobs and a withdrawal.
func newFilledReader(t *testing.T) (*overview.Reader, *standin.Table) {
	t.Helper()
	table := standin.NewTable()
	put := func(row store.Row, content any) {
		t.Helper()
		if content != nil {
			var err error
			if row.Value, err = json.Marshal(content); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	put(store.Row{Table: "op", Key: "config"}, map[string]any{"version": 7, "services": []map[string]any{{"name": "p"}, {"name": "spare", "standby": true}}})
	put(store.Row{Table: "op", Key: "wave/3"}, map[string]any{"wave": 3, "machines": []string{"m1", "m2"}, "durationS": 20, "cap": 1})
	for id, state := range map[string]string{"i-1": "ready", "i-2": "draining"} {
		put(store.Row{Table: "servers", Key: id}, map[string]any{"service": "p", "address": "127.0.0.1:80", "state": state, "born": 5, "machine": "m",
			"capacity": map[string]int{"cpu": 4000, "memMb": 4000}})
	}
	put(store.Row{Table: "servers", Key: "i-3", Value: []byte("?")}, nil)
	put(store.Row{Table: store.StateTable, Part: "p", Key: store.OwnerKey}, store.Owner{Node: "entry-1", WriteID: "entry-1/x/1"})
	put(store.Row{Table: store.StateTable, Part: store.FleetPart, Key: store.OwnerKey}, store.Owner{Node: "entry-2", WriteID: "entry-2/x/1"})
	put(store.EncodeState(store.Layout{}.IntakePart("a"), "a", "q", "p", batch.Pending), nil)
	put(store.EncodeState("p", "a", "q", "p", batch.Running), nil)
	put(store.EncodeAddress(store.Layout{}.IntakePart("a"), "a", batch.Address{Host: "h", Prefix: "/q/"}, "c1"), nil)
	put(store.EncodeTombstone(store.Layout{}.IntakePart("a"), store.TombstoneID("a", "c2"), "p"), nil) // no job
	put(store.EncodeState(store.Layout{}.IntakePart("b"), "b", "q", "p", batch.Pending), nil)
	job, err := (&batch.Job{ID: "a", Queue: "q", Pool: "p", Steps: []batch.Step{{Count: 2, Need: batch.Resources{CPU: 500}}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(store.Row{Table: store.JobsTable("p"), Part: store.Layout{}.IntakePart("a"), Key: store.Key(store.KindJob, "a"), Value: job}, nil)
	progress, err := (&batch.Progress{State: batch.Running, Runs: []batch.Run{{Index: 1, Number: 2, Worker: "i-1", Failures: 1}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(store.Row{Table: store.RunsTable, Part: "p", Key: "a", Value: progress}, nil)
	put(store.Row{Table: store.FleetTable, Key: store.Key(store.KindWithdrawal, "m1")}, machines.Withdrawal{ID: "w1", Machine: "m1", Op: machines.Upkeep, Wave: 3})
	put(store.Row{Table: store.FleetTable, Key: store.Key(store.KindWave, "3")}, machines.WaveState{FirstSeen: 1, Begun: []string{"m2"}})
	put(store.Row{Table: store.FleetTable, Part: "p", Key: store.Key(store.KindCordon, "m1")}, machines.Cordon{Withdrawal: "w1"})
	return &overview.Reader{Table: table, Clock: clock.NewFake(1000)}, table
}

// Guards against an overview that leaves out, or counts twice, what the instances have stored.
func TestFleet(t *testing.T) {
	r, _ := newFilledReader(t)
	fleet, err := r.Fleet(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if fleet.Configuration != 7 || fleet.MachinesOwner != "entry-2" || len(fleet.Pools) != 2 {
		t.Fatalf("Fleet got %+v, want configuration 7, entry-2 as owner of the machines and two pools", fleet)
	}
	p := fleet.Pools[0]
	if p.Owner != "entry-1" || p.Workers != 1 || p.Draining != 1 || p.CPU != 4000 || p.Jobs["running"] != 1 || p.Jobs["pending"] != 1 {
		t.Errorf("pool got %+v, want one ready worker, one draining, one running job and one pending", p)
	}
	if len(fleet.Withdrawals) != 1 || !fleet.Withdrawals[0].Empty || fleet.Withdrawals[0].Ordered {
		t.Errorf("withdrawals got %+v, want one that is empty and not ordered", fleet.Withdrawals)
	}
	if want := (overview.Wave{Number: 3, Machines: 2, MaxDown: 1, Begun: 1}); len(fleet.Waves) != 1 || fleet.Waves[0] != want {
		t.Errorf("waves got %+v, want %+v", fleet.Waves, want)
	}
	if len(fleet.Unreadable) != 1 || !strings.Contains(fleet.Unreadable[0], "i-3") {
		t.Errorf("unreadable got %v, want the row of i-3", fleet.Unreadable)
	}
	text := fleet.Text()
	for _, want := range []string{"configuration version 7", "entry-1", "standby", "upkeep, wave 3", "unreadable: servers//i-3"} {
		if !strings.Contains(text, want) {
			t.Errorf("text got %q, want %q in it", text, want)
		}
	}
}

// Guards against a worker that is shown as empty because of a cordon that cannot be decoded.
func TestUnreadableCordon(t *testing.T) {
	r, table := newFilledReader(t)
	if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{{Table: store.FleetTable, Part: "p",
		Key: store.Key(store.KindCordon, "m1"), Value: []byte(`{"want":"w1","want":[]}`)}}}); err != nil {
		t.Fatal(err)
	}
	fleet, err := r.Fleet(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(fleet.Withdrawals) != 1 || fleet.Withdrawals[0].Empty {
		t.Errorf("withdrawals got %+v, want one whose worker is not shown as empty", fleet.Withdrawals)
	}
	if got, want := len(fleet.Unreadable), 2; got != want {
		t.Errorf("unreadable rows got %d, want %d", got, want)
	}
}

// Guards against an answer with the content of another job, and against a missing job that is not reported as an error.
func TestJob(t *testing.T) {
	r, table := newFilledReader(t)
	job, err := r.Job(context.Background(), "a")
	if err != nil {
		t.Fatal(err)
	}
	if job.State != "running" || job.Job == nil || len(job.Job.Steps) != 1 || len(job.Runs) != 1 || job.Runs[0].Task != "a.0.0.1" {
		t.Errorf("Job(a) got %+v, want a running job with one step and one run", job)
	}
	if text := job.Text(); !strings.Contains(text, "a.0.0.1") || !strings.Contains(text, "queue q") || !strings.Contains(text, "customer c1") {
		t.Errorf("text got %q, want the task, the queue and the customer", text)
	}
	// A range read from the key of a missing row returns the next row, which must not be taken for the job's.
	other, err := r.Job(context.Background(), "b")
	if err != nil || other.Job != nil || len(other.Runs) != 0 {
		t.Errorf("Job(b) got %+v, %v, want a job of which only the state is known", other, err)
	}
	if _, err := r.Job(context.Background(), "c"); !errorx.IsOfType(err, overview.ErrNoJob) {
		t.Errorf("error got %v, want no-job", err)
	}
	table.Down = func() bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // ends the retries of a rejected read
	if _, err := r.Fleet(ctx); err == nil {
		t.Error("Fleet got no error while the store is down, want one")
	}
}

// Guards against an id that was cancelled before a job with it was stored, and that operators see as a cancelled job.
func TestTombstoneIsNoJob(t *testing.T) {
	r, table := newFilledReader(t)
	if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{store.EncodeTombstone(store.Layout{}.IntakePart("d"), "d", "p")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Job(context.Background(), "d"); !errorx.IsOfType(err, overview.ErrNoJob) {
		t.Errorf("error got %v, want no-job", err)
	}
	fleet, err := r.Fleet(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if got := fleet.Pools[0].Jobs["cancelled"]; got != 0 {
		t.Errorf("cancelled jobs got %d, want 0", got)
	}
}

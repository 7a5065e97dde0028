package daemon

import (
	"encoding/json"
	"slices"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
	"magnoliaferry/machines"
	"magnoliaferry/pool"
	"magnoliaferry/store"
)

// Guards against two owners that place tasks on one worker: its machine moved to another pool, the new incarnation of the worker
// has the same id, and the owner of the former pool still lists it.
func TestWorkerLeavesItsPoolUnderTheSameID(t *testing.T) {
	c := clock.NewFake(10000)
	d := &Daemon{clock: c, owners: map[*poolOwner]bool{}}
	d.workers = newWorkerList(c, nil, d.workerChanged)
	d.workers.healthy = func() clock.Millis { return clock.Hour }
	owners := map[string]*poolOwner{}
	for _, name := range []string{"p", "q"} {
		o := &poolOwner{daemon: d, pool: name, events: newWorkQueue[func()](), scheduler: pool.NewScheduler(name, pool.MaxLease, clock.Minute, nil)}
		owners[name] = o
		d.owners[o] = true
	}
	for _, move := range []struct {
		to   string
		want map[string][]string // workers by pool
	}{
		{"p", map[string][]string{"p": {"w"}}},
		{"q", map[string][]string{"q": {"w"}}},
		{"p", map[string][]string{"p": {"w"}}},
	} {
		value, err := json.Marshal(map[string]any{"service": move.to, "address": "127.0.0.1:80", "state": "ready", "machine": "m",
			"capacity": map[string]int{"cpu": 1}})
		if err != nil {
			t.Fatal(err)
		}
		d.workers.apply([]store.Row{{Key: "w", Value: value}})
		for name, o := range owners {
			for _, handle := range o.events.takeAll() {
				handle()
			}
			if got, want := o.scheduler.Workers(), move.want[name]; !slices.Equal(got, want) {
				t.Errorf("worker in pool %s: workers of %s got %v, want %v", move.to, name, got, want)
			}
		}
	}
}

// Guards against a worker that stays in the scheduler until the ownership ends: it left while the scheduler was being built, before
// changes were passed on to it.
func TestWorkerThatLeftDuringRestore(t *testing.T) {
	c := clock.NewFake(10000)
	d := &Daemon{clock: c}
	d.workers = newWorkerList(c, nil, func(batch.Worker, bool) {})
	d.workers.healthy = func() clock.Millis { return clock.Hour }
	o := &poolOwner{daemon: d, pool: "p", scheduler: pool.NewScheduler("p", pool.MaxLease, clock.Minute, nil), ledger: grant.NewLedger("p", 1, 0)}
	o.scheduler.SetWorker(batch.Worker{ID: "left", Pool: "p", Address: "x"})
	d.workers.workers["new"] = batch.Worker{ID: "new", Pool: "p", Address: "y"}
	d.configuration.Store(&batch.Configuration{})
	o.refresh()
	if got, want := o.scheduler.Workers(), []string{"new"}; !slices.Equal(got, want) {
		t.Errorf("workers got %v, want %v", got, want)
	}
}

// Guards against a machine that is kept empty until the ownership ends: its withdrawal was deleted while the scheduler was being built,
// before changes were passed on to it.
func TestWithdrawalThatEndedDuringRestore(t *testing.T) {
	c := clock.NewFake(10000)
	d := &Daemon{clock: c}
	d.workers = newWorkerList(c, nil, func(batch.Worker, bool) {})
	d.workers.healthy = func() clock.Millis { return clock.Hour }
	d.configuration.Store(&batch.Configuration{})
	o := &poolOwner{daemon: d, pool: "p", scheduler: pool.NewScheduler("p", pool.MaxLease, clock.Minute, nil), withdrawals: map[string]machines.Withdrawal{},
		ledger: grant.NewLedger("p", 1, 0)}
	withdrawal := func(machine string) store.Row {
		value, err := json.Marshal(machines.Withdrawal{ID: "1-" + machine, Machine: machine, Worker: "w-" + machine, Op: machines.Upkeep})
		if err != nil {
			t.Fatal(err)
		}
		return store.Row{Table: store.FleetTable, Part: store.FleetPart, Key: store.Key(store.KindWithdrawal, machine), Value: value, Version: 1}
	}
	o.applyWithdrawal(withdrawal("ended"))
	o.applyWithdrawal(withdrawal("open"))
	d.fleet.Load([]store.Row{withdrawal("open")})
	o.refresh()
	if _, ok := o.withdrawals["open"]; !ok || len(o.withdrawals) != 1 {
		t.Errorf("withdrawals got %v, want the open one only", o.withdrawals)
	}
}

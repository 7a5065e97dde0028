package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
	"magnoliaferry/platform"
	"magnoliaferry/pool"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

const capped = "customer/1"

// newGrantOwner returns the owner of a pool in which a run of the customer uses the given processor.
func newGrantOwner(t *testing.T, d *Daemon, name string, use int) *poolOwner {
	t.Helper()
	ownership := &store.Ownership{Store: d.table, Clock: d.clock, Part: name, Node: name, Incarnation: fmt.Sprint(d.clock.Now()), SinceBoot: d.clock.Now}
	seen, _ := d.stateCache.Owner(name)
	if err := ownership.Claim(context.Background(), seen.Version); err != nil {
		t.Fatal(err)
	}
	o := &poolOwner{daemon: d, pool: name, ownership: ownership, events: newWorkQueue[func()](), scheduler: pool.NewScheduler(name, pool.MaxLease, clock.Minute, nil)}
	o.scheduler.Tick(d.clock.Now(), d.clock.Now())
	o.restoreGrants()
	o.scheduler.AddJob(&batch.Job{ID: "j", Pool: name, Customer: capped, Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: use}}}},
		&batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 1, Worker: "w", Incarnation: 1}}}, false)
	return o
}

// commitGrant carries out the transaction that is due, if there is one.
func commitGrant(o *poolOwner, c *clock.Clock) {
	c.Advance(grantRetryDelay)
	if o.grantsDue() {
		o.commitGrants(context.Background())
	}
	for o.granting {
		<-o.events.signal
		for _, handle := range o.events.takeAll() {
			handle()
		}
	}
}

func grantRow(t *testing.T, table *standin.Table) grant.Row {
	t.Helper()
	rows := table.Rows(store.GrantsTable)
	if len(rows) != 1 {
		t.Fatalf("rows got %d, want 1", len(rows))
	}
	row, err := grant.DecodeRow(rows[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// Guards against grants of two pools that overwrite each other, and against a grant that is lost with an answer or a call.
func TestGrantsOfTwoPools(t *testing.T) {
	c := clock.NewFake(10000)
	table := standin.NewTable()
	faults := []standin.TableFault{}
	table.Fault = func(tx store.Transaction) standin.TableFault {
		if len(faults) == 0 || len(tx.Puts) == 0 || tx.Puts[0].Table != store.GrantsTable {
			return standin.TableWorks
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
	d := &Daemon{clock: c, table: &store.Monitor{Table: table, Clock: c}, stateCache: store.NewStateCache(c, nil)}
	d.operatorFeed = &store.Follower{Clock: c}
	configuration := &batch.Configuration{Version: 3}
	configuration.SetCustomers([]batch.Customer{{Name: capped, Cap: batch.Resources{CPU: 1000}}})
	d.Settings.CapOverage = 0.1
	d.configuration.Store(configuration)
	d.capped.Store(hasCaps(configuration))
	p, q := newGrantOwner(t, d, "p", 700), newGrantOwner(t, d, "q", 300)
	faults = append(faults, standin.TableLosesReply, standin.TableRejects, standin.TableDelays)
	for range 6 { // neither reads the table: failed transactions return its rows
		commitGrant(p, c)
		commitGrant(q, c)
	}
	table.ApplyDelayed()
	row := grantRow(t, table)
	for name, want := range map[string]int{"p": 700, "q": 300} {
		if got := row.Pools[name].Amount.CPU; got < want {
			t.Errorf("amount of %s got %d, want at least %d", name, got, want)
		}
	}
	if got, want := row.Limit.CPU, 1100; got != want || row.Configuration != 3 {
		t.Errorf("limit got %d of configuration %d, want %d of 3", got, row.Configuration, want)
	}

	d.stateCache.Apply(table.Rows(store.StateTable))
	d.grants.Load(table.Rows(store.GrantsTable))
	successor := newGrantOwner(t, d, "p", 700)
	commitGrant(successor, c)
	if got, want := grantRow(t, table).Pools["p"].Token, successor.ownership.Token(); got != want {
		t.Errorf("token got %d, want %d, that of the successor", got, want)
	}
	p.applyGrants(table.Rows(store.GrantsTable))
	if !p.ledger.Superseded() {
		t.Error("the former owner does not count as superseded")
	}
}

// Guards against a deployment whose customers have caps and whose jobs do not start, or start again under the next owner; and against one
// without caps that pays for grants.
func TestCappedJobsRun(t *testing.T) {
	for _, limit := range []int{1000, 0} {
		t.Run(fmt.Sprintf("cap of %d", limit), func(t *testing.T) {
			t.Parallel()
			cappedJobsRun(t, limit)
		})
	}
}

func cappedJobsRun(t *testing.T, limit int) {
	table := newTestTable(t)
	config, err := json.Marshal(map[string]any{"version": 2, "services": []map[string]any{{"name": "p"}}, "routes": []map[string]any{
		{"name": "q", "host": "h.example", "prefix": "/q/", "service": "p", "maxAttempts": 3, "stretch": 1.6, "targetCompletionMs": 600, "publicAccess": true}},
		"tenants": []map[string]any{{"name": capped, "weight": 1, "cap": map[string]int{"cpu": limit}}}})
	if err != nil {
		t.Fatal(err)
	}
	table.Put("op", "config", config)
	workers := newInstantWorkers()
	first, stopFirst := startInstance(t, "a", table, workers)
	defer stopFirst()
	submit := func(id string) {
		job := &batch.Job{ID: id, Queue: "q", Pool: "p", Customer: capped, Steps: []batch.Step{{Count: 4, Need: batch.Resources{CPU: 400, MemoryMB: 10}}}}
		value, err := job.Encode()
		if err != nil {
			t.Fatal(err)
		}
		part := store.Layout{}.IntakePart(id)
		if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{store.EncodeState(part, id, "q", "p", batch.Pending),
			{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindJob, id), Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	submit("0000000000000001")
	awaitAnswer(t, http.MethodGet, first, "/q/0000000000000001", "", `200 {"state":"completed"}`)
	second, stopSecond := startInstance(t, "b", table, workers)
	defer stopSecond()
	stopFirst()
	submit("0000000000000002")
	awaitAnswer(t, http.MethodGet, second, "/q/0000000000000002", "", `200 {"state":"completed"}`)
	stopSecond()
	for task, got := range workers.starts {
		if got != 1 {
			t.Errorf("starts of %s got %d, want 1", task, got)
		}
	}
	if got, want := len(table.Rows(store.GrantsTable)), min(limit, 1); got != want {
		t.Errorf("cap %d: rows of grants got %d, want %d", limit, got, want)
	}
}

// Guards against jobs of a customer that never start because the configuration has removed the last customer with a cap.
func TestJobsOfARemovedCustomerRun(t *testing.T) {
	c := clock.NewFake(10000)
	table := standin.NewTable()
	d := &Daemon{clock: c, owners: map[*poolOwner]bool{}, claimers: map[string]bool{}, waves: map[int64]batch.Wave{}, table: &store.Monitor{Table: table, Clock: c}, stateCache: store.NewStateCache(c, nil)}
	d.operatorFeed = &store.Follower{Clock: c}
	ended, end := context.WithCancel(context.Background())
	end() // the instance claims no parts
	var claimersDone sync.WaitGroup
	put := func(version int64, tenants string) {
		value := fmt.Sprintf(`{"version":%d,"services":[{"name":"p"}],"routes":[],"tenants":[%s]}`, version, tenants)
		d.operatorRows(ended, &claimersDone, []store.Row{{Table: platform.TableOperator, Key: platform.KeyConfiguration, Value: []byte(value), Version: version}})
	}
	put(3, fmt.Sprintf(`{"name":%q,"cap":{"cpu":1000}}`, capped))
	commitGrant(newGrantOwner(t, d, "p", 700), c)
	d.grants.Load(table.Rows(store.GrantsTable))
	d.stateCache.Apply(table.Rows(store.StateTable))
	put(4, "")
	successor := newGrantOwner(t, d, "p", 700)
	commitGrant(successor, c)
	if got, want := grantRow(t, table).Pools["p"].Token, successor.ownership.Token(); got != want {
		t.Errorf("token got %d, want %d: the successor does not use the amount", got, want)
	}
}

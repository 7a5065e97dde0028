package overview_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
	"magnoliaferry/overview"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against an overview that shows an operator too little of why a customer gets less than its cap, or a line for each of thousands.
func TestCustomers(t *testing.T) {
	table := standin.NewTable()
	put := func(row store.Row, value []byte, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		row.Value = value
		if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	tenants := []string{`{"name":"free","apiKeys":["secret"],"cap":{}}`}
	for i := range 25 {
		tenants = append(tenants, fmt.Sprintf(`{"name":"c%02d","apiKeys":["secret"],"cap":{"cpu":4000,"memMb":0}}`, i))
	}
	config := `{"version":7,"services":[{"name":"p"},{"name":"q"}],"routes":[],"tenants":[` + strings.Join(tenants, ",") + `]}`
	put(store.Row{Table: "op", Key: "config"}, []byte(config), nil)
	row := grant.Row{Configuration: 7, Limit: batch.Resources{CPU: 4400}, Pools: map[string]grant.Entry{
		"p": {Amount: batch.Resources{CPU: 1500}, Token: 3}, "q": {Missing: batch.Resources{CPU: 550}, Wanted: batch.Resources{CPU: 500}, Asked: 9, Token: 4}}}
	value, err := row.Encode()
	put(store.Row{Table: store.GrantsTable, Part: store.GrantPart("c07"), Key: store.Key(store.KindGrant, "c07")}, value, err)
	put(store.Row{Table: store.GrantsTable, Part: store.GrantPart("c08"), Key: store.Key(store.KindGrant, "c08")}, []byte("?"), nil)
	job := &batch.Job{ID: "a", Queue: "q", Pool: "p", Customer: "c07", Steps: []batch.Step{{Count: 3, Need: batch.Resources{CPU: 500, MemoryMB: 10}}}}
	value, err = job.Encode()
	put(store.Row{Table: store.JobsTable("p"), Part: store.Layout{}.IntakePart("a"), Key: store.Key(store.KindJob, "a")}, value, err)
	value, err = (&batch.Progress{State: batch.Running, Runs: []batch.Run{{Index: 0, Number: 1, Done: true}, {Index: 1, Number: 2, Worker: "i-1"},
		{Index: 2, Number: 1, Worker: "i-2"}}}).Encode()
	put(store.Row{Table: store.RunsTable, Part: "p", Key: "a"}, value, err)

	fleet, err := (&overview.Reader{Table: table, Clock: clock.NewFake(1000)}).Fleet(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(fleet.Customers) != 25 || len(fleet.Unreadable) != 1 {
		t.Fatalf("customers got %d, unreadable rows %v, want 25 and one", len(fleet.Customers), fleet.Unreadable)
	}
	c := fleet.Customers[0]
	if c.Name != "c07" || c.Running != (batch.Resources{CPU: 1000, MemoryMB: 20}) || c.Limit != row.Limit || c.Pools["p"].Granted.CPU != 1500 || c.Pools["q"].Lacking.CPU != 550 {
		t.Errorf("customer got %+v, want c07 with two runs", c)
	}
	text := fleet.Text()
	for _, want := range []string{"p 1.0/1.5, q 0.0/0.0 lacks 0.6", "unlimited", "5 others"} {
		if !strings.Contains(text, want) {
			t.Errorf("text lacks %q:\n%s", want, text)
		}
	}
	if strings.Contains(text, "secret") {
		t.Error("text shows a key")
	}
}

package front

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// playSlowStore lets callers submit 100 jobs a second for five seconds, four attempts each, and returns the part of the jobs that they were told
// to be accepted.
func playSlowStore(t *testing.T, layout store.Layout) float64 {
	const instances, perSecond, seconds, attempts = 10, 100, 5, 4
	c := clock.NewFake(1000)
	table := &standin.SlowTable{Table: standin.NewTable(), Clock: c, Transaction: 400}
	f := &fleetOfServices{table: table.Table, clock: c, instances: make([]*Service, instances)}
	row, err := store.EncodeLayout(layout)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Table.Commit(context.Background(), store.Transaction{Puts: []store.Row{row}}); err != nil {
		t.Fatal(err)
	}
	for i := range f.instances {
		f.restart(i)
		f.instances[i].Table = table
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	accepted := 0
	submit := func(n int) {
		for attempt := range attempts {
			instance := f.instances[(n+attempt)%instances]
			if instance.Submit(ctx, testAccess, testJob(fmt.Sprintf("%016x", n)), 2900) == nil {
				mu.Lock()
				accepted++
				mu.Unlock()
				return
			}
			if c.Sleep(ctx, 300) != nil {
				return
			}
		}
	}
	for n := range perSecond * seconds {
		go submit(n)
		synctest.Wait()
		c.Advance(clock.Second / perSecond)
	}
	for range 1000 {
		synctest.Wait()
		c.Advance(10)
	}
	cancel()
	synctest.Wait()
	return float64(accepted) / (perSecond * seconds)
}

// Guards against callers that are turned away because the intake parts of a slow store carry out too few transactions: the load of a surge
// while the store takes fifty times as long.
func TestSlowStoreTakesASurgeOfJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := playSlowStore(t, store.NewLayout(true))
		got := playSlowStore(t, store.NewLayout(false))
		t.Logf("accepted %.2f of the jobs, with the layout of earlier versions %.2f", got, before)
		if want := 0.5; got < want {
			t.Errorf("part of the jobs that is accepted got %.2f, want at least %.2f", got, want)
		}
	})
}

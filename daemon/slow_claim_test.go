package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against a part that has no owner for long because the claims of many instances hold each other up: the load of an owner that is lost
// while the store takes a hundred times as long.
func TestClaimsAtASlowStore(t *testing.T) { synctest.Test(t, claimsAtASlowStore) }

func claimsAtASlowStore(t *testing.T) {
	const instances = 12
	c := clock.NewFake(10000)
	table := &standin.SlowTable{Table: standin.NewTable(), Clock: c, Read: 475, Transaction: 950}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var owned atomic.Int64 // when the part had an owner, on the clock
	for i := range instances {
		d := &Daemon{clock: c, incarnation: fmt.Sprint(i), table: &store.Monitor{Table: table, Clock: c}, bootClock: c.Now}
		d.Settings.Node = fmt.Sprintf("n%d", i)
		d.followStates(feedWait)
		go func() { _ = d.stateFeed.Run(ctx) }()
		claimer := &partClaimer{daemon: d, part: "p", owned: &d.owned}
		claimer.runOwner = func(ctx context.Context, ownership *store.Ownership, _ store.OwnerEntry, _ bool) error {
			owned.CompareAndSwap(0, int64(c.Now()))
			<-ctx.Done()
			return ctx.Err()
		}
		go claimer.run(ctx)
	}
	started := c.Now()
	for owned.Load() == 0 && c.Now()-started < clock.Minute {
		synctest.Wait()
		c.Advance(10)
	}
	cancel()
	for range 400 {
		synctest.Wait()
		c.Advance(10)
	}
	// A load of the table, two reads, a transaction, and another one that may come first.
	if got, most := clock.Millis(owned.Load())-started, 5*clock.Second; owned.Load() == 0 || got > most {
		t.Errorf("time until the part has an owner got %d ms, want at most %d ms", got, most)
	}
	t.Logf("the part has an owner after %d ms", clock.Millis(owned.Load())-started)
}

package daemon

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against one instance that claims several parts at once because each of its claimers counts only the parts that are owned
// already: at a start, or after many instances were killed, it owned two busy pools while other strong instances owned none.
func TestClaimsOfOneInstanceAreCountedWhileTheyAreMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewFake(10000)
		table := standin.NewTable()
		d := &Daemon{clock: c, incarnation: "a", stateCache: store.NewStateCache(c, nil), table: &store.Monitor{Table: table, Clock: c}}
		d.Settings.Node, d.Settings.CPUShare, d.Settings.CPUSpeed = "a", 0.8, 1
		d.stateFeed = d.follower(store.StateTable, statePeriod, 0, d.stateCache.Load, d.stateCache.Apply)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = d.stateFeed.Run(ctx) })
		synctest.Wait()
		claimed := 0
		owner := func(ctx context.Context, _ *store.Ownership, _ store.OwnerEntry, _ bool) error {
			claimed++
			<-ctx.Done()
			return ctx.Err()
		}
		for _, part := range []string{"p", "q", "r", "s"} {
			claimer := &partClaimer{daemon: d, part: part, runOwner: owner, owned: &d.owned}
			running.Go(func() { claimer.run(ctx) })
		}
		synctest.Wait()
		// By then the delays of all claimers have ended if each of them counts only its own part.
		for range maxClaimJitter + claimDelay(1, 0.8, defaultCores) {
			c.Advance(1)
			synctest.Wait()
		}
		if claimed != 1 {
			t.Errorf("parts claimed after the delay of the first part got %d, want 1", claimed)
		}
	})
}

package daemon

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

// Guards against parts that stay without an owner for tens of seconds because the only instance that is left delays each claim further the
// more parts it owns, and still leaves them to the strongest instance that owned one once (related to review case 10, LOST).
func TestLastInstanceClaimsAllParts(t *testing.T) {
	const (
		parts = 6
		most  = takeoverMax + maxClaimDelay + clock.Second // from the loss of all others
	)
	for _, cores := range []float64{0.8, 0.4, 0.192} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := clock.NewFake(0)
				table := standin.NewTable()
				for i := range parts {
					lost := &store.Ownership{Store: table, Clock: c, Part: fmt.Sprint("p", i), Node: "lost", Cores: 0.8, Incarnation: "1", SinceBoot: c.Now}
					if err := lost.Claim(context.Background(), 0); err != nil {
						t.Fatal(err)
					}
				}
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				defer running.Wait()
				defer cancel()
				d := newObserver(c, table)
				d.Settings.CPUShare = cores
				running.Go(func() { _ = d.stateFeed.Run(ctx) })
				var mu sync.Mutex
				claimed := 0
				for i := range parts {
					claimer := &partClaimer{daemon: d, part: fmt.Sprint("p", i), owned: &d.owned,
						runOwner: func(ctx context.Context, _ *store.Ownership, _ store.OwnerEntry, _ bool) error {
							mu.Lock()
							claimed++
							mu.Unlock()
							<-ctx.Done()
							return ctx.Err()
						}}
					running.Go(func() { claimer.run(ctx) })
				}
				for c.Now() < most {
					synctest.Wait()
					c.Advance(10)
				}
				synctest.Wait()
				mu.Lock()
				defer mu.Unlock()
				if claimed != parts {
					t.Errorf("parts claimed %d ms after the loss got %d, want %d", most, claimed, parts)
				}
			})
		})
	}
}

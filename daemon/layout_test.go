package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against instances that spread jobs in different ways, so that one id is accepted twice: instances that start together, while
// transactions are lost, delayed and applied late, agree on one layout, and one that finds rows of an earlier version keeps its layout.
func TestInstancesAgreeOnTheLayout(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := clock.NewFake(1000)
			table := standin.NewTable()
			earlier := seed%2 == 1
			if earlier {
				row := store.EncodeState(store.Layout{}.IntakePart("a"), "a", "q", "p", batch.Completed)
				if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{row}}); err != nil {
					t.Fatal(err)
				}
			}
			var mu sync.Mutex // instances write at the same time
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			faults := []standin.TableFault{standin.TableWorks, standin.TableRejects, standin.TableLosesCall, standin.TableLosesReply, standin.TableDelays}
			table.Fault = func(store.Transaction) standin.TableFault { return faults[draw(len(faults))] }
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var instances []*Daemon
			for range 5 {
				d := &Daemon{clock: c, table: &store.Monitor{Table: table, Clock: c}}
				d.followStates(feedWait)
				instances = append(instances, d)
				go func() { _ = d.stateFeed.Run(ctx) }()
				go d.settleLayout(ctx)
			}
			for range 400 {
				synctest.Wait()
				c.Advance(10)
				if draw(20) == 0 {
					table.ApplyDelayed()
				}
			}
			want := store.NewLayout(earlier)
			for i, d := range instances {
				if got, ok := d.stateCache.Layout(); !ok || got != want {
					t.Errorf("seed %d: layout of instance %d got %+v, known %v, want %+v", seed, i, got, ok, want)
				}
			}
			cancel()
			synctest.Wait()
		})
	}
}

package store_test

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// Guards against a job that is shown as pending after it has ended, because the row of the instance that accepted it is read
// after the row of the owner.
func TestOwnersStateGoesBeforeTheFirstState(t *testing.T) {
	const id = "0000000000000001"
	first := store.EncodeState(store.IntakePart(id), id, "q", "p", batch.Pending)
	last := store.EncodeState("p", id, "q", "p", batch.Completed)
	first.Version, last.Version = 3, 8
	for _, rows := range [][]store.Row{{first, last}, {last, first}} {
		board := store.NewStateCache(clock.NewFake(0), nil)
		board.Load(rows)
		known, ok := board.Find(id)
		if !ok || known.State != batch.Completed || known.Queue != "q" || known.Pool != "p" {
			t.Errorf("job got %+v, %v, want completed, of queue q and pool p", known, ok)
		}
		if got := board.Ended("p"); len(got) != 1 {
			t.Errorf("ended jobs got %v, want one", got)
		}
	}
}

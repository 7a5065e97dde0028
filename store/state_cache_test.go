package store_test

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// Guards against a job that is shown as pending after it has ended, because the row of the instance that accepted it is read
// after the row of the owner.
func TestOwnerStateOverridesInitialState(t *testing.T) {
	const id = "0000000000000001"
	first := store.EncodeState(store.Layout{}.IntakePart(id), id, "q", "p", batch.Pending)
	last := store.EncodeState("p", id, "q", "p", batch.Completed)
	first.Version, last.Version = 3, 8
	for _, rows := range [][]store.Row{{first, last}, {last, first}} {
		states := store.NewStateCache(clock.NewFake(0), nil)
		states.Load(rows)
		known, ok := states.Find(id)
		if !ok || known.State != batch.Completed || known.Queue != "q" || known.Pool != "p" {
			t.Errorf("entry of the job got %+v, %v, want completed, of queue q and pool p", known, ok)
		}
		if got := states.Ended("p"); len(got) != 1 {
			t.Errorf("ended jobs got %v, want one", got)
		}
	}
}

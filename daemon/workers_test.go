package daemon

import (
	"encoding/json"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// Guards against pools that lose their workers right after an outage of the store, during which the entries of workers expire, and
// against workers that stay in the list after they have gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	c := clock.NewFake(10000)
	known := map[string]bool{}
	l := newWorkerList(c, nil, func(w batch.Worker, gone bool) { known[w.ID] = !gone })
	healthy := clock.Hour
	l.healthy = func() clock.Millis { return healthy }
	row := func(id string) store.Row {
		value, err := json.Marshal(map[string]any{"service": "p", "address": "127.0.0.1:80", "state": "ready", "capacity": map[string]int{"cpu": 1}})
		if err != nil {
			t.Fatal(err)
		}
		return store.Row{Key: id, Value: value}
	}
	l.apply([]store.Row{row("a"), row("b"), row("c")})
	l.apply([]store.Row{{Key: "c", Deleted: true}})
	if known["c"] {
		t.Error("worker c got kept, want it removed at once: there was no outage of the store")
	}
	healthy = 0
	l.apply([]store.Row{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}})
	c.Advance(missingEntryGrace / 2)
	if !known["a"] || !known["b"] {
		t.Errorf("workers got %v, want a and b right after an outage", known)
	}
	l.apply([]store.Row{row("a")})
	c.Advance(missingEntryGrace)
	if !known["a"] || known["b"] {
		t.Errorf("workers got %v, want a, which has an entry again, and not b", known)
	}
}

package daemon

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against a weak instance that keeps a pool which it cannot serve although stronger ones are alive, and against owners that release their
// pools without need. Load: a surge in a pool whose owner has a fifth of a core since the strong instances were cut off for a while.
func TestWeakOwnerHandsOver(t *testing.T) {
	const strong, weak = 0.8, 0.192
	for _, test := range []struct {
		name    string
		cores   float64
		other   float64      // of the owner of another part
		silent  clock.Millis // since the other's newest renewal
		percent clock.Millis // work of this owner
		owned   clock.Millis
		want    bool
	}{
		{"weak and overloaded", weak, strong, 500, 90, 4000, true},
		{"weak and idle", weak, strong, 500, 20, 4000, false},
		{"strong", strong, strong, 500, 90, 4000, false},
		{"no strong instance", weak, weak, 500, 90, 4000, false},
		{"the strong one is silent", weak, strong, 2000, 90, 4000, false},
		{"owner for a short time", weak, strong, 500, 90, 2500, false},
	} {
		c := clock.NewFake(10000)
		d := &Daemon{clock: c, stateCache: store.NewStateCache(c, nil)}
		d.Settings.CPUShare, d.Settings.CPUSpeed = test.cores, 1
		d.stateCache.Apply([]store.Row{ownerRow(t, "other", "n2", test.other, 1), ownerRow(t, "p", "n1", test.cores, 2)})
		c.Advance(test.silent)
		var m workMeter
		for now := clock.Millis(100); now <= test.owned; now += 100 {
			m.add(now, test.percent)
		}
		if got := d.handsOver(&m, test.owned); got != test.want {
			t.Errorf("%s: hands over got %v, want %v", test.name, got, test.want)
		}
	}
}

// ownerRow returns the owner row of a part.
func ownerRow(t *testing.T, part, node string, cores float64, version int64) store.Row {
	value, err := json.Marshal(store.Owner{Node: node, WriteID: node + "/1/1", Cores: cores})
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Table: store.StateTable, Part: part, Key: store.OwnerKey, Value: value, Version: version}
}

// Guards against a part that stays with an owner which hands it over, or that has to wait for the owner to be taken for lost.
func TestHandedOverPartIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.NewFake(10000)
		table := standin.NewTable()
		d := &Daemon{clock: c, incarnation: "a", stateCache: store.NewStateCache(c, nil), table: &store.Monitor{Table: table, Clock: c}}
		d.Settings.Node = "a"
		d.followStates(feedWait)
		claimer := &partClaimer{daemon: d, part: "p", owned: &d.owned}
		claimer.runOwner = func(context.Context, *store.Ownership, store.OwnerEntry, bool) error { return errHandedOver }
		claimer.claim(context.Background(), store.OwnerEntry{}, false)
		d.stateCache.Load(table.Rows(store.StateTable))
		if owner, ok := d.stateCache.Owner("p"); !ok || !owner.Owner.Released {
			t.Errorf("owner row got %+v, known %v, want it released", owner.Owner, ok)
		}
	})
}

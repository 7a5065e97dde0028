package entry

import (
	"context"
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/settings"
)

// Guards against claims that are deleted before their retention ends, against a clean-up that reads more than cleanUpRows
// in a step, and against one that starts again at the first claim when another entry instance continues it.
func TestCleanUp(t *testing.T) {
	ctx, c := context.Background(), clock.NewFake(0)
	store := memory.New(c, nil)
	table := store.View("").Table()
	const old, fresh = 250, 250 // claims
	now := 3 * clock.Day
	for n := range old + fresh {
		written := now - claimRetention - 1
		if n%2 == 1 {
			written = now - claimRetention
		}
		value := fmt.Sprintf(`{"state":"done","written-ms":%d}`, written)
		if err := table.Commit(ctx, provider.NewTransaction(fmt.Sprint(n),
			provider.Put(fmt.Sprintf("claim/c/%04d", n), []byte(value), 0))); err != nil {
			t.Fatal(err)
		}
	}
	cleaners := make([]*cleanUp, 2)
	for n := range cleaners {
		cleaners[n] = &cleanUp{instance: &Instance{Settings: settings.Settings{Name: fmt.Sprint("entry-", n)}, Clock: c,
			Platform: store.View(""), WallClock: func() clock.Millis { return now }}}
	}
	steps := 0
	for done := false; !done; steps++ {
		var err error
		if done, err = cleaners[steps%2].step(ctx); err != nil {
			t.Fatalf("step got %v, want nil", err)
		}
	}
	rows, err := table.Scan(ctx, "claim/", "", old+fresh)
	if err != nil || len(rows) != fresh || steps != 3 {
		t.Errorf("got %d claims after %d steps (%v), want %d after 3", len(rows), steps, err, fresh)
	}
	before, _ := store.Counts()
	if done, err := cleaners[0].step(ctx); !done || err != nil {
		t.Errorf("a step after the pass got %t, %v, want true, nil", done, err)
	}
	if reads, _ := store.Counts(); reads != before+1 {
		t.Errorf("a step after the pass read %d rows, want 1", reads-before)
	}
	now += cleanUpPause
	for done := false; !done; {
		if done, err = cleaners[1].step(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if rows, _ := table.Scan(ctx, "claim/", "", 1); len(rows) != 0 {
		t.Errorf("claims after their retention got %d, want 0", len(rows))
	}
}

package store

import (
	"context"
	"testing"

	"magnoliaferry/clock"
)

// slowTable lets the clock run while it carries a transaction out.
type slowTable struct {
	Table
	clock *clock.Clock
	takes clock.Millis
}

func (t *slowTable) Commit(ctx context.Context, _ Transaction) (Result, error) {
	const step = 10 * clock.Millis(1)
	for left := t.takes; left > 0; left -= step {
		t.clock.Advance(step)
		if ctx.Err() != nil {
			return Result{}, ErrUnknown.New("nobody waits for the answer")
		}
	}
	return Result{Applied: true, Version: 1}, nil
}

// Guards against an owner that loses its part while the store is slow, because it never waits long enough for an answer, and
// against one that waits long for a lost answer of a fast store.
func TestAttemptsWaitForASlowStore(t *testing.T) {
	table := &slowTable{clock: clock.NewFake(1000)}
	chain := &Ownership{Store: table, Clock: table.clock, Part: "p", SinceBoot: table.clock.Now}
	for _, test := range []struct {
		name  string
		takes clock.Millis
		want  clock.Millis // until the attempt ends
		ok    bool
	}{
		{"first attempt at a slow store", 2000, AttemptTimeout, false},
		{"second attempt", 2000, 2 * AttemptTimeout, false},
		{"third attempt", 2000, 2000, true},
		{"next transaction", 2000, 2000, true},
		{"the store is fast again", 20, 20, true},
		{"a lost answer", 60000, AttemptTimeout, false},
	} {
		table.takes = test.takes
		started := table.clock.Now()
		_, err := chain.attempt(context.Background(), Transaction{})
		if got := table.clock.Now() - started; got != test.want || (err == nil) != test.ok {
			t.Errorf("%s: got %v after %d ms, want success %v after %d ms", test.name, err, got, test.ok, test.want)
		}
	}
}

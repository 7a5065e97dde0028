package store

import (
	"context"
	"testing"

	"magnoliaferry/clock"
)

// slowTable advances the fake clock by commitTime during each transaction.
type slowTable struct {
	Table
	clock      *clock.Clock
	commitTime clock.Millis
}

func (t *slowTable) Commit(ctx context.Context, _ Transaction) (Result, error) {
	const step = 10 * clock.Millis(1)
	for left := t.commitTime; left > 0; left -= step {
		t.clock.Advance(step)
		if ctx.Err() != nil {
			return Result{}, ErrUnknown.New("the attempt was cancelled")
		}
	}
	return Result{Applied: true, Version: 1}, nil
}

// Guards against an owner that loses its part while the store is slow, because none of its attempts waits long enough for an
// answer, and against an owner that waits too long for the lost answer of a fast store.
func TestAttemptsWaitForASlowStore(t *testing.T) {
	table := &slowTable{clock: clock.NewFake(1000)}
	ownership := &Ownership{Store: table, Clock: table.clock, Part: "p", SinceBoot: table.clock.Now}
	for _, test := range []struct {
		name       string
		commitTime clock.Millis
		want       clock.Millis // duration of the attempt
		ok         bool
	}{
		{"first attempt at a slow store", 2000, AttemptTimeout, false},
		{"second attempt", 2000, 2 * AttemptTimeout, false},
		{"third attempt", 2000, 2000, true},
		{"next transaction", 2000, 2000, true},
		{"the store is fast again", 20, 20, true},
		{"a lost answer", 60000, AttemptTimeout, false},
	} {
		table.commitTime = test.commitTime
		started := table.clock.Now()
		_, err := ownership.attempt(context.Background(), Transaction{})
		if got := table.clock.Now() - started; got != test.want || (err == nil) != test.ok {
			t.Errorf("%s: got %v after %d ms, want success %v after %d ms", test.name, err, got, test.ok, test.want)
		}
	}
}

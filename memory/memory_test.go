package memory

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/provider"
)

// Guards against a table that applies part of a transaction, or the whole of one whose condition fails.
func TestCommitIsAllOrNothing(t *testing.T) {
	ctx := context.Background()
	table := New(clock.NewFake(0), nil).View("a").Table()
	if err := table.Commit(ctx, provider.NewTransaction("1", provider.Put("x", []byte("1"), 0))); err != nil {
		t.Fatalf("first Commit got %v, want nil", err)
	}
	err := table.Commit(ctx, provider.NewTransaction("2", provider.Put("y", nil, 0), provider.Put("x", nil, 0)))
	if !errorx.IsOfType(err, provider.ErrConflict) {
		t.Errorf("second Commit got %v, want a conflict", err)
	}
	rows, err := table.Read(ctx, "x", "y")
	if err != nil {
		t.Fatalf("Read got %v, want nil", err)
	}
	if got, want := rows[0].Operation(), "1"; got != want {
		t.Errorf("operation of x got %q, want %q", got, want)
	}
	if got, want := rows[1].Version(), int64(0); got != want {
		t.Errorf("version of y got %d, want %d", got, want)
	}
}

// Guards against a fault that is not what its name says: a lost answer must leave the write in place.
func TestFaults(t *testing.T) {
	tests := []struct {
		kind    fault.Kind
		want    *errorx.Type
		applied bool
	}{
		{fault.Down, provider.ErrUnavailable, false},
		{fault.LoseRequest, provider.ErrUnknownOutcome, false},
		{fault.LoseAnswer, provider.ErrUnknownOutcome, true},
	}
	for _, test := range tests {
		ctx := context.Background()
		faults := &fault.Injector{}
		table := New(clock.NewFake(0), faults).View("a").Table()
		faults.Next(StepCommit, test.kind, 1)
		err := table.Commit(ctx, provider.NewTransaction("1", provider.Put("x", nil, 0)))
		if !errorx.IsOfType(err, test.want) {
			t.Errorf("%s: Commit got %v, want %v", test.kind, err, test.want)
		}
		rows, _ := table.Read(ctx, "x")
		if got := rows[0].Version() > 0; got != test.applied {
			t.Errorf("%s: applied got %v, want %v", test.kind, got, test.applied)
		}
	}
}

// Guards against a partition that also cuts off other zones.
func TestPartitionCutsOneZone(t *testing.T) {
	ctx := context.Background()
	faults := &fault.Injector{}
	store := New(clock.NewFake(0), faults)
	faults.Partition("a")
	if _, err := store.View("a").Table().Read(ctx, "x"); !errorx.IsOfType(err, provider.ErrUnavailable) {
		t.Errorf("zone a got %v, want unavailable", err)
	}
	if _, err := store.View("b").Table().Read(ctx, "x"); err != nil {
		t.Errorf("zone b got %v, want nil", err)
	}
}

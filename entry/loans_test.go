package entry

import (
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/peer"
	"magnoliaferry/slots"
)

// newMemberLedger returns the ledger of entry instance id in a roster of two members, for a worker with 8 slots.
func newMemberLedger(t *testing.T, c *clock.Clock, id string) ledger {
	t.Helper()
	roster, _ := slots.Roster{}.Join("a", 1)
	roster, _ = roster.Join("b", 1)
	decoded, err := slots.DecodeRoster(roster.Encode(), 1)
	if err != nil {
		t.Fatal(err)
	}
	l := &slots.Ledger{Clock: c, ID: id, Incarnation: 1, Zone: "z"}
	l.SetRoster("z", decoded)
	l.SetCapacity("worker/w", "z", 8)
	l.Confirm(c.Now(), true, 0)
	return ledger{l, &queues{}}
}

// Guards against unused loans that are not returned to the lender, and against messages about returned loans that are
// repeated, late or about another loan and that change the current loan.
func TestLoansGivenBack(t *testing.T) {
	c := clock.NewFake(0)
	lender, borrower := newMemberLedger(t, c, "a"), newMemberLedger(t, c, "b")
	free := lender.Account("worker/w").Free
	before := free()
	lend := func() peer.Loan {
		loan := lender.Lend("b", "worker/w", 2)
		borrower.Borrow("a", "worker/w", loan)
		return loan
	}
	first := lend()
	if got, want := free(), before-2; got != want {
		t.Fatalf("free slots while lent got %d, want %d", got, want)
	}
	borrower.GiveBack()
	given := borrower.GiveBack() // unused at two consecutive calls
	if len(given) != 1 || given[0].Loan().Units() != 0 {
		t.Fatalf("GiveBack got %v, want one loan of which nothing is kept", given)
	}
	lender.TakeBack("b", given[0])
	if got := free(); got != before {
		t.Fatalf("free slots after the return got %d, want %d", got, before)
	}
	second := lend()
	incarnation, number := second.Numbers()
	stale := []struct {
		name, borrower string
		message        peer.Unused
	}{
		{"repeated", "b", given[0]},
		{"of another borrower", "c", peer.NewUnused("a", "worker/w", peer.NewLoan(incarnation, number, 0, 0))},
		{"about another incarnation", "b", peer.NewUnused("a", "worker/w", peer.NewLoan(incarnation+1, number, 0, 0))},
		{"that keeps more than was lent", "b", peer.NewUnused("a", "worker/w", peer.NewLoan(incarnation, number, 8, 0))},
		{"about another worker", "b", peer.NewUnused("a", "worker/x", peer.NewLoan(incarnation, number, 0, 0))},
	}
	for _, m := range stale {
		lender.TakeBack(m.borrower, m.message)
		if got, want := free(), before-2; got != want {
			t.Errorf("free slots after a message %s got %d, want %d", m.name, got, want)
		}
	}
	if first == second {
		t.Errorf("two loans have the same numbers: %v", first)
	}
}

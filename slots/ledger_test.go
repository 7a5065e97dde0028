package slots

import (
	"sync"
	"testing"

	"magnoliaferry/clock"
)

// Guards against shares that do not add up to the units, and against a remainder that always goes to the same member.
func TestSharesAddUp(t *testing.T) {
	r := Roster{}
	for i, id := range []string{"a", "b", "c"} {
		r, _ = r.Join(id, int64(i))
	}
	largest := map[string]int{}
	for _, resource := range []string{"worker/1", "worker/2", "worker/3", "worker/4", "worker/5", "worker/6"} {
		sum := 0
		for i, id := range []string{"a", "b", "c"} {
			s := r.current.share(identity{id, int64(i)}, resource, 8)
			sum += s
			largest[id] = max(largest[id], s)
		}
		if sum != 8 {
			t.Errorf("shares of %s got a sum of %d, want 8", resource, sum)
		}
	}
	for id, got := range largest {
		if got != 3 {
			t.Errorf("largest share of member %s got %d, want 3", id, got)
		}
	}
}

// member returns the ledger of a process that can join the roster, with the capacity of one worker, w, with 8 slots.
func member(c *clock.Clock, id string) *Ledger {
	l := &Ledger{Clock: c, ID: id, Incarnation: 1, Zone: "z"}
	l.SetCapacity("worker/w", "z", 8)
	return l
}

// syncRosters does the work of the peer module: every ledger in turn reads the row and writes what it proposes. Two
// rounds let every ledger see the writes of the others.
func syncRosters(r Roster, ledgers ...*Ledger) Roster {
	for range 2 {
		for _, l := range ledgers {
			l.SetRoster("z", r)
			l.Confirm(l.Clock.Now(), true, 0)
			if next, changed := l.Propose(); changed {
				next.version = r.version + 1
				r = next
			}
		}
	}
	for _, l := range ledgers {
		l.SetRoster("z", r)
	}
	return r
}

// join returns the roster with incarnation 1 of a new member, as the next version of the row.
func join(r Roster, id string) Roster {
	next, _ := r.Join(id, 1)
	next.version++
	return next
}

// Guards against a joining member that uses slots before the other members have confirmed their smaller shares.
func TestJoinWaitsForTheOthers(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	r := syncRosters(join(Roster{}, "a"), a)
	for range 8 {
		if !a.Account("worker/w").TryAcquire(c.Now() + 1) {
			t.Fatalf("the only member could not acquire 8 slots")
		}
	}
	r = syncRosters(join(r, "b"), a, b)
	if got := b.Account("worker/w").Free(); got != 0 {
		t.Errorf("new member while all slots are in use got %d free, want 0", got)
	}
	for range 4 {
		a.Account("worker/w").Release()
	}
	if a.Account("worker/w").TryAcquire(c.Now() + 1) {
		t.Errorf("member with a reduced share and all of it in use got a slot, want none")
	}
	syncRosters(r, a, b)
	if got := b.Account("worker/w").Free(); got != 4 {
		t.Errorf("new member after the confirmation got %d free, want 4", got)
	}
}

// Guards against use of the slots of a removed member during its quarantine, and against slots that stay unused after
// the quarantine.
func TestQuarantine(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	r := syncRosters(join(join(Roster{}, "a"), "b"), a, b)
	removed, _ := r.Remove("b", 1)
	removed.version++
	r = syncRosters(removed, a)
	for range Quarantine/clock.Second - 1 {
		c.Advance(clock.Second)
		r = syncRosters(r, a)
	}
	c.Advance(clock.Second - 1)
	r = syncRosters(r, a)
	if got := a.Account("worker/w").Free(); got != 4 {
		t.Errorf("remaining member within the quarantine of the removed one got %d free, want 4", got)
	}
	c.Advance(1)
	r = syncRosters(r, a)
	if got := a.Account("worker/w").Free(); got != 8 {
		t.Errorf("remaining member after the quarantine of the removed one got %d free, want 8", got)
	}
	if got := len(r.Members()); got != 1 {
		t.Errorf("members after the quarantine got %d, want 1", got)
	}
	// A removed process that reads its removal stops, and releases its old incarnation itself once no slot is in use.
	b.Confirm(c.Now(), true, 0)
	b.Account("worker/w").TryAcquire(c.Now() + 1)
	removed, _ = join(r, "b").Remove("b", 1)
	removed.version = r.version + 2
	r = syncRosters(removed, a, b)
	if b.Account("worker/w").TryAcquire(c.Now()+1) || b.Member() || len(r.Members()) != 2 {
		t.Errorf("removed member b got a slot, is active, or is gone from the roster while it uses a slot, want none of these")
	}
	b.Account("worker/w").Release()
	b.Rejoin(2)
	next, _ := r.Join("b", 2)
	next.version = r.version + 1
	r = syncRosters(next, b, a, b)
	if got := b.Account("worker/w").Free(); got != 4 || len(r.Members()) != 2 {
		t.Errorf("after the member rejoined got %d free and %d members, want 4 and 2", got, len(r.Members()))
	}
}

// Guards against a dispatch after a pause before the table, or a peer that was not paused itself, has confirmed the
// membership.
func TestPauseSuspends(t *testing.T) {
	c := clock.NewFake(0)
	a := member(c, "a")
	syncRosters(join(Roster{}, "a"), a)
	pause := LeasePeriod + 2
	c.Advance(pause)
	for _, test := range []struct {
		name              string
		started, unbroken clock.Millis
		table, want       bool
	}{
		{"no attempt", 0, 0, true, false},
		{"attempt from before the pause", 1, 0, true, false},
		{"nobody answers", pause, 0, false, false},
		{"a peer that was paused as well answers", pause, pause - 2, false, false},
		{"a peer answers", pause, pause, false, true},
		{"the table answers", pause, 0, true, true},
	} {
		l := member(c, "a")
		l.SetRoster("z", a.Roster("z"))
		l.Confirm(0, true, 0)
		l.Confirm(test.started, test.table, test.unbroken)
		if got := l.Account("worker/w").TryAcquire(c.Now() + 1); got != test.want || (l.Unbroken() > 0) {
			t.Errorf("%s: TryAcquire got %v, want %v; Unbroken got %d, want 0", test.name, got, test.want, l.Unbroken())
		}
	}
}

// Guards against a quarantine that ends by elapsed time during an outage of the table. The removed member cannot read
// its removal then and goes on dispatching. Found by TestSlotsInUseNeverExceedTheWorker.
func TestQuarantineNeedsTheTable(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	r := syncRosters(join(join(Roster{}, "a"), "b"), a, b)
	removed, _ := r.Remove("b", 1)
	removed.version++
	a.SetRoster("z", removed)
	poll := func(d clock.Millis, table bool) {
		for range d / clock.Second {
			c.Advance(clock.Second)
			a.Confirm(c.Now(), table, 0)
		}
	}
	poll(2*Quarantine, false)
	if next, _ := a.Propose(); len(next.Members()) != 2 {
		t.Errorf("after an outage Propose got members %v, want the removed one kept", next.Members())
	}
	poll(Quarantine, true)
	if got := a.Account("worker/w").Free(); got != 4 {
		t.Errorf("remaining member before the end of the quarantine got %d free, want 4", got)
	}
	poll(clock.Second, true)
	syncRosters(removed, a)
	if got := a.Account("worker/w").Free(); got != 8 {
		t.Errorf("remaining member after the quarantine of the removed one got %d free, want 8", got)
	}
}

// Guards against the use of slots that a crashed earlier incarnation may still use.
func TestPredecessorIsQuarantined(t *testing.T) {
	c := clock.NewFake(0)
	a := member(c, "a")
	r := syncRosters(join(Roster{}, "a"), a)
	next, _ := r.Join("a", 2)
	next.version++
	successor := &Ledger{Clock: c, ID: "a", Incarnation: 2, Zone: "z"}
	successor.SetCapacity("worker/w", "z", 8)
	syncRosters(next, successor)
	if got := successor.Account("worker/w").Free(); got != 0 {
		t.Errorf("greater incarnation during the quarantine of the earlier one got %d free, want 0", got)
	}
}

// Guards against a Release that frees a slot of the own share when the request that ended used a borrowed one. The long
// requests that are still running would then exceed the own share after the end of the loan.
func TestReleaseGoesToTheLoan(t *testing.T) {
	c := clock.NewFake(0)
	a := member(c, "a")
	syncRosters(join(Roster{}, "a"), a)
	account := a.Account("worker/w")
	for range 8 {
		account.TryAcquire(LongestDeadline)
	}
	a.Borrow("x", "worker/w", 1, LoanPeriod/3)
	if !account.TryAcquire(LoanPeriod / 3) {
		t.Fatalf("short request got no slot, want the borrowed one")
	}
	account.Release()
	if account.TryAcquire(LongestDeadline) {
		t.Errorf("ninth long request got a slot, want none")
	}
}

// Guards against a loan that the borrower uses after its end, and against slots used by borrower and lender at once.
func TestLoan(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	syncRosters(join(Roster{}, "a"), a)
	b.Confirm(0, true, 0)
	granted, period := a.Lend("b", "worker/w", 5)
	if granted != 4 || period != LoanPeriod || a.Account("worker/w").Free() != 4 {
		t.Fatalf("Lend of 8 free slots got %d for %d ms, want half of them for %d", granted, period, LoanPeriod)
	}
	account := b.Account("worker/w")
	// A request that no loan could serve must not appear in Wants.
	account.TryAcquire(LoanPeriod + 1)
	if got := b.Wants(); len(got) != 0 {
		t.Errorf("Wants after a request longer than a loan got %v, want none", got)
	}
	account.TryAcquire(LoanPeriod / 2)
	if got := b.Wants(); len(got) != 1 || got[0].Resource() != "worker/w" || got[0].Units() != 1 {
		t.Errorf("Wants got %v, want one unit of worker/w", got)
	}
	b.Borrow("a", "worker/w", granted, period)
	if account.TryAcquire(LoanPeriod + 1) {
		t.Errorf("a request that ends after the loan got a slot, want none")
	}
	if !account.TryAcquire(LoanPeriod) || account.Free() != 3 || account.Connections() != 32 {
		t.Errorf("borrower got %d free and %d connections, want 3 and 32", account.Free(), account.Connections())
	}
	c.Advance(LoanPeriod)
	b.Confirm(c.Now(), true, 0)
	a.Confirm(c.Now(), true, 0)
	if account.Free() != 0 || account.Used() != 1 || a.Account("worker/w").Free() != 4 {
		t.Errorf("at the end of the loan got %d free at the borrower and %d at the lender, want 0 and 4", account.Free(),
			a.Account("worker/w").Free())
	}
	account.Release()
	c.Advance(loanMargin)
	a.Confirm(c.Now(), true, 0)
	if got := a.Account("worker/w").Free(); got != 8 {
		t.Errorf("lender after the margin got %d free, want 8", got)
	}
}

// Guards against the confirmation of a smaller share while more slots than that share are lent.
func TestLentSlotsDelayTheConfirmation(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	r := syncRosters(join(Roster{}, "a"), a)
	a.Lend("x", "worker/w", 5)
	a.Lend("y", "worker/w", 5) // lends 4 and then 2 slots, because a lender keeps half of its free slots
	r = syncRosters(join(r, "b"), a, b)
	if got := b.Account("worker/w").Free(); got != 0 {
		t.Errorf("new member while 6 slots are lent got %d free, want 0", got)
	}
	c.Advance(LoanPeriod + loanMargin)
	syncRosters(r, a, b)
	if got := b.Account("worker/w").Free(); got != 4 {
		t.Errorf("new member after the loan got %d free, want 4", got)
	}
}

// Guards against a roster that changes when it is encoded and decoded, and against a repeated join.
func TestRosterJSON(t *testing.T) {
	r := join(join(Roster{}, "a"), "b")
	r, _ = r.Leave("a", 1)
	got := string(r.Encode())
	want := `{"generation":3,"members":[` +
		`{"id":"a","incarnation":1,"state":"leaving","confirmed-generation":1},` +
		`{"id":"b","incarnation":1,"state":"active","confirmed-generation":2}],"past":[` +
		`{"generation":1,"members":[{"id":"a","incarnation":1}]},` +
		`{"generation":2,"members":[{"id":"a","incarnation":1},{"id":"b","incarnation":1}]}]}`
	if got != want {
		t.Errorf("Encode got %s, want %s", got, want)
	}
	decoded, err := DecodeRoster([]byte(got), 7)
	if err != nil || string(decoded.Encode()) != want || decoded.Version() != 7 {
		t.Errorf("DecodeRoster got %s and %v, want the same roster", decoded.Encode(), err)
	}
	if _, ok := decoded.Join("b", 1); ok {
		t.Errorf("a second Join with one incarnation got true, want false")
	}
}

// Guards against fleet-wide quotas whose shares do not add up over zones and members, and against a capacity change
// without effect.
func TestQuotaOverZones(t *testing.T) {
	c := clock.NewFake(0)
	rosters, ledgers := map[string]Roster{}, []*Ledger{}
	for _, zone := range []string{"y", "z"} {
		r := Roster{version: 1}
		for _, id := range []string{"a", "b"} {
			r, _ = r.Join(zone+id, 1)
			ledgers = append(ledgers, &Ledger{Clock: c, ID: zone + id, Incarnation: 1, Zone: zone})
		}
		r, _ = r.Confirm(zone+"a", 1, 2)
		rosters[zone] = r
	}
	for _, units := range []int{10, 3, 17} {
		total := 0
		for _, l := range ledgers {
			for zone, r := range rosters {
				l.SetRoster(zone, r)
			}
			l.Confirm(0, true, 0)
			l.SetCapacity("team/t", "", units)
			total += l.Account("team/t").Free()
		}
		if total != units {
			t.Errorf("shares of %d units got a sum of %d", units, total)
		}
	}
}

// Guards against lost counts when TryAcquire, Release and the start and end of loans run concurrently.
func TestConcurrentCounts(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	syncRosters(join(Roster{}, "a"), a)
	b.Confirm(0, true, 0)
	var all sync.WaitGroup
	for i := range 8 {
		l := []*Ledger{a, b}[i%2]
		all.Go(func() {
			for range 3000 {
				if l.Account("worker/w").TryAcquire(c.Now()) {
					l.Account("worker/w").Release()
				}
			}
		})
	}
	all.Go(func() {
		for range 300 {
			granted, period := a.Lend("b", "worker/w", 3)
			b.Borrow("a", "worker/w", granted, period)
			c.Advance(clock.Second)
			a.Confirm(c.Now(), true, 0)
			b.Confirm(c.Now(), true, 0)
		}
	})
	all.Wait()
	used := a.Account("worker/w").Used() + b.Account("worker/w").Used()
	if used != 0 {
		t.Errorf("slots in use at the end got %d, want 0", used)
	}
}

// Guards against a GiveBack that returns slots still in use, and against a repeated message that changes a later loan.
func TestGiveBack(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	syncRosters(join(Roster{}, "a"), a)
	b.Confirm(0, true, 0)
	b.Accept("a", "worker/w", a.Grant("b", "worker/w", 4))
	account := b.Account("worker/w")
	account.TryAcquire(LoanPeriod)
	if got := b.GiveBack(); len(got) != 0 {
		t.Errorf("first GiveBack after the loan got %v, want none before the slots were unused at two calls", got)
	}
	given := b.GiveBack()
	if len(given) != 1 || given[0].Lender() != "a" || given[0].Loan().Units() != 1 || account.Free() != 0 {
		t.Fatalf("GiveBack got %v and %d free, want one message that keeps 1 and none free", given, account.Free())
	}
	a.TakeBack("b", given[0])
	if got := a.Account("worker/w").Free(); got != 7 {
		t.Errorf("lender got %d free, want 7 of 8 while one is in use", got)
	}
	account.Release()
	b.GiveBack()
	for _, u := range b.GiveBack() {
		a.TakeBack("b", u)
	}
	a.Grant("b", "worker/w", 4)
	a.TakeBack("b", given[0])
	if got := a.Account("worker/w").Free(); got != 4 {
		t.Errorf("after a repeated message about an earlier loan got %d free, want 4", got)
	}
}

// Guards against a load balancer that sends requests to an instance without slots, and against a zone without workers in
// which no instance is ready.
func TestReady(t *testing.T) {
	c := clock.NewFake(0)
	a, b := member(c, "a"), member(c, "b")
	if a.Ready() {
		t.Errorf("Ready before the membership is confirmed got true, want false")
	}
	r := syncRosters(join(Roster{}, "a"), a)
	if !a.Ready() {
		t.Errorf("Ready of the only member got false, want true")
	}
	for range 8 {
		a.Account("worker/w").TryAcquire(c.Now() + 1)
	}
	syncRosters(join(r, "b"), a, b)
	if !a.Ready() || b.Ready() {
		t.Errorf("Ready with all slots in use got %v and %v, want true for the old member only", a.Ready(), b.Ready())
	}
	other := &Ledger{Clock: c, ID: "c", Incarnation: 1, Zone: "y"}
	other.SetCapacity("worker/w", "z", 8)
	other.Confirm(c.Now(), true, 0)
	if !other.Ready() {
		t.Errorf("Ready in a zone without workers got false, want true")
	}
}

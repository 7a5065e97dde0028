package peer

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/peer/peerpb"
	"magnoliaferry/provider"
)

const seconds = clock.Second

// convergedCluster returns a cluster of n nodes in three zones that have each other in their member lists and version 1
// in force.
func convergedCluster(t testing.TB, seed uint64, n int) *cluster {
	t.Helper()
	w := newCluster(t, seed, 3).addAll(n)
	w.until(20*seconds, "every node lists all others", w.all(seesAlive(n-1)))
	w.until(5*seconds, "all in the roster", w.all(usable))
	w.until(5*seconds, "version 1 in force", w.all(inForce(w.submit(w.order[0]))))
	return w
}

// Guards against nodes that do not find all others, and against a version that is not in force on all of them within
// 5 s.
func TestSpreadsToAll(t *testing.T) {
	for _, n := range []int{1, 3, 9, 27} {
		w := convergedCluster(t, 1, n)
		for range 40 {
			w.submit(w.order[n-1])
			w.run(20)
		}
		w.until(5*seconds, "version 41 in force", w.all(inForce(41)))
		for _, s := range w.order {
			if got, want := len(s.versions.deltas), keptDeltas; got > want {
				t.Errorf("deltas kept got %d, want at most %d", got, want)
			}
		}
	}
}

// Guards against nodes that receive a version only by a push: the accepting entry instance may stop right after the
// write.
func TestPollWithoutPush(t *testing.T) {
	w := convergedCluster(t, 2, 9)
	for zone := range 3 {
		w.isolate(w.zone(zone), true)
	}
	w.until(5*seconds, "version in force", w.all(inForce(w.submit(nil))))
}

// Guards against nodes that receive a version only by the poll: a zone without the platform must receive it from the
// other zones.
func TestZoneWithoutPlatform(t *testing.T) {
	w := convergedCluster(t, 3, 9)
	w.faults.Partition("z01")
	w.run(3 * seconds)
	w.until(5*seconds, "push in force", w.all(inForce(w.submit(w.order[0]))))
	w.until(5*seconds, "version in force without a push", w.all(inForce(w.submit(nil))))
	if !w.all(usable)() {
		t.Errorf("a node in a zone without the platform suspended its slots")
	}
}

// Guards against a zone that keeps an old version after its partition from the platform and the other zones has ended,
// for each zone.
func TestZoneCutOff(t *testing.T) {
	for zone := range 3 {
		w := convergedCluster(t, uint64(zone), 9)
		z := w.zone(zone)
		w.isolate(z, true)
		w.faults.Partition(z)
		w.run(20 * seconds)
		other := w.order[(zone+1)%3]
		v := w.submit(other)
		w.run(10 * seconds)
		for _, s := range w.order {
			if want := v - 1; s.Zone == z && s.InForce().Number() != want {
				t.Errorf("%s: in force during the partition got %d, want %d", s.ID, s.InForce().Number(), want)
			}
			if s.Zone == z && !usable(s) {
				t.Errorf("%s suspended its slots although no member can have removed it", s.ID)
			}
		}
		w.isolate(z, false) // the platform stays unreachable: the version has to come from peers
		w.until(5*seconds, "version in force after the partition", w.all(inForce(v)))
		w.faults.Heal(z)
		w.until(60*seconds, "every node lists all others", w.all(seesAlive(8)))
	}
}

// Guards against the use of slots after a pause before the membership is confirmed, and against a pause within the
// lease period that causes a removal or a suspension.
func TestPause(t *testing.T) {
	tests := []struct {
		name      string
		pause     clock.Millis
		tableDown bool
		removed   bool
	}{
		{"within the lease", 3 * seconds, false, false},
		{"beyond the lease", 30 * seconds, false, true},
		{"beyond the lease, table away since", 30 * seconds, true, true},
	}
	for _, test := range tests {
		w := convergedCluster(t, 5, 9)
		s := w.order[4]
		before := s.roster.incarnation
		s.pause()
		w.run(test.pause)
		w.tableDown(test.tableDown)
		if got, want := s.Usable(), test.pause <= LeasePeriod; got != want {
			t.Errorf("%s: usable at the end of the pause got %v, want %v", test.name, got, want)
		}
		s.resume()
		if !test.removed {
			w.run(2 * seconds)
			if !usable(s) || s.roster.incarnation != before {
				t.Errorf("%s: the member was removed from the roster or its slots are suspended", test.name)
			}
			continue
		}
		if s.Usable() {
			t.Errorf("%s: slots are usable before the membership was confirmed", test.name)
		}
		w.run(3 * seconds)
		if test.tableDown {
			if s.Usable() {
				t.Errorf("%s: usable although peers answer that it was removed", test.name)
			}
			w.tableDown(false)
		}
		w.until(10*seconds, "member again", w.all(usable))
		if s.roster.incarnation <= before {
			t.Errorf("%s: incarnation after the removal got %d, want more than %d", test.name, s.roster.incarnation, before)
		}
	}
}

// Guards against a member that never uses its slots again after a pause, or uses them without an attempt to confirm its
// membership, although nobody removed it: the table became unreachable before another member could remove it.
func TestPauseWithoutTable(t *testing.T) {
	w := convergedCluster(t, 6, 9)
	s := w.order[4]
	s.pause()
	w.run(2 * seconds)
	w.tableDown(true)
	w.run(20 * seconds)
	visits := w.faults.Hits(memory.StepRead)
	s.resume()
	if s.Usable() {
		t.Errorf("slots are usable after the pause, before the membership was confirmed")
	}
	w.until(5*seconds, "usable again", func() bool { return usable(s) })
	if w.faults.Hits(memory.StepRead) == visits {
		t.Errorf("the table was not read after the pause")
	}
	w.isolate(s.Zone, true)
	for _, o := range w.order {
		if o.Zone == s.Zone && o != s {
			o.pause()
		}
	}
	s.pause()
	w.run(20 * seconds)
	s.resume()
	w.until(5*seconds, "usable when nobody answers", func() bool { return usable(s) })
}

// Guards against a restarted process that is mistaken for the previous one, for incarnations that are equal, one
// greater and much greater.
func TestRestart(t *testing.T) {
	for _, incarnation := range []int64{1, 2, 50} {
		w := convergedCluster(t, 7, 9)
		s := w.add(4, incarnation)
		w.until(10*seconds, "version in force", w.all(inForce(1)))
		w.until(30*seconds, "every node lists all others", w.all(seesAlive(8)))
		w.until(10*seconds, "member again", w.all(usable))
		if got, want := w.roster(s.Zone)[s.ID].Incarnation, s.roster.incarnation; got != want {
			t.Errorf("incarnation in the roster got %d, want %d", got, want)
		}
	}
}

// Guards against a restart that needs the platform, and against one that puts a version in force without a source.
func TestRestartWithoutPlatform(t *testing.T) {
	w := convergedCluster(t, 8, 9)
	w.tableDown(true)
	s := w.add(4, 2)
	w.until(5*seconds, "version in force", w.all(inForce(1)))
	if s.Usable() {
		t.Errorf("usable without an entry in the roster")
	}
	for _, o := range w.order {
		o.kill()
	}
	alone := w.add(4, 3)
	w.run(20 * seconds)
	if got := alone.InForce().Number(); got != 0 {
		t.Errorf("in force without any source got %d, want 0", got)
	}
	w.tableDown(false)
	w.until(5*seconds, "version in force from the object store", func() bool { return inForce(1)(alone) })
}

// Guards against a replacement of half of the members after which the others get no versions or replaced members stay
// in the member lists or the roster.
func TestHalfReplaced(t *testing.T) {
	w := convergedCluster(t, 9, 12)
	for i := 1; i < 12; i += 2 {
		w.nodes[address(i)].kill()
		w.add(100+i, 1)
	}
	w.until(5*seconds, "version in force", w.all(inForce(w.submit(w.order[0]))))
	w.until(60*seconds, "every node lists all others", w.all(seesAlive(11)))
	w.until(20*seconds, "member", w.all(usable))
	for zone := range 3 {
		for id := range w.roster(w.zone(zone)) {
			for _, s := range w.order {
				if s.ID == id && s.killed {
					t.Errorf("%s was killed and is still in the roster", id)
				}
			}
		}
	}
}

// Guards against joins and removals that overwrite each other, for each fault of the write and for concurrent writes.
func TestRosterWrites(t *testing.T) {
	for _, kind := range []fault.Kind{fault.None, fault.Down, fault.LoseRequest, fault.LoseAnswer} {
		w := newCluster(t, 10, 1)
		w.faults.Next(memory.StepCommit, kind, 4)
		if kind == fault.None {
			w.faults.Clear(memory.StepCommit)
		}
		w.addAll(6)
		w.until(20*seconds, "all in the roster", w.all(usable))
		if got, want := len(w.roster("z00")), 6; got != want {
			t.Errorf("%q: members got %d, want %d", kind, got, want)
		}
		w.until(20*seconds, "every node lists all others", w.all(seesAlive(5)))
		w.order[1].kill()
		w.order[2].kill()
		w.faults.Next(memory.StepCommit, kind, 3)
		if kind == fault.None {
			w.faults.Clear(memory.StepCommit)
		}
		w.add(20, 1)
		w.until(40*seconds, "dead members removed", func() bool { return len(w.roster("z00")) == 5 })
		w.run(10 * seconds)
		if got, want := len(w.roster("z00")), 5; got != want || !w.all(usable)() {
			t.Errorf("%q: members got %d, want %d", kind, got, want)
		}
		for _, s := range w.order {
			if !s.killed && s.roster.incarnation != 1 {
				t.Errorf("%q: %s was removed although it ran", kind, s.ID)
			}
		}
	}
}

// Guards against a write with an unknown outcome that is repeated with another operation id.
func TestUnknownOutcome(t *testing.T) {
	w := newCluster(t, 30, 1)
	w.faults.Next(memory.StepCommit, fault.LoseRequest, 2)
	s := w.add(0, 1)
	w.until(10*seconds, "member", w.all(usable))
	if c := s.commits; len(c) != 3 || c[0] != c[1] || c[1] != c[2] {
		t.Errorf("operation ids of the commits got %v, want the same one three times", c)
	}
}

// Guards against a member that stays in the roster after it left, or uses its slots meanwhile.
func TestLeave(t *testing.T) {
	w := convergedCluster(t, 11, 9)
	s := w.order[4]
	left := false
	s.leave(func() { left = true })
	w.until(2*seconds, "the member has left", func() bool { return left })
	if _, in := w.roster(s.Zone)[s.ID]; in || s.Usable() || s.state != "suspended" {
		t.Errorf("after it left, the member is in the roster: %v, usable: %v, ledger %s; want false, false, suspended", in, s.Usable(), s.state)
	}
	s.kill()
	w.until(5*seconds, "the others have removed it from their lists", w.all(seesAlive(7)))
}

// Guards against a version in force that decreases, for each way in which an old one can arrive: from a push, an
// answer, an acceptance, a stale read and a table that lost the row.
func TestOldVersions(t *testing.T) {
	w := convergedCluster(t, 12, 9)
	old := w.order[8]
	old.pause()
	var oldBody []byte
	for range 40 {
		oldBody = w.codec.body(w.written)
		w.submit(w.order[0])
		w.run(100)
	}
	now := w.written
	w.until(5*seconds, "version in force", w.all(inForce(now)))
	s := w.order[1]
	ctx := context.Background()
	push := &peerpb.PushRequest{From: old.members.self.wire(), Root: old.ID, Delta: &peerpb.Delta{Version: 2,
		Digest: w.codec.Digest(w.codec.body(2)), Delta: w.codec.delta(2)}}
	if _, err := s.Push(ctx, push); err != nil {
		t.Errorf("Push got %v, want nil", err)
	}
	s.locked(func() {
		s.applyAnswer(&peerpb.FetchAnswer{Version: 2, Digest: w.codec.Digest(w.codec.body(2)), Body: w.codec.body(2)})
		s.applyAnswer(&peerpb.FetchAnswer{Version: now - 1, Deltas: []*peerpb.Delta{push.Delta}})
	})
	s.Accepted(now-1, w.codec.Digest(oldBody), w.codec.delta(now-1), oldBody)
	w.stale = true // stale reads
	w.run(10 * seconds)
	w.stale = false
	// The table loses the row, and it is written again with version 1.
	for _, write := range []provider.Write{provider.Delete("config/current", provider.AnyVersion),
		provider.Put("config/current", []byte(`{"version":1,"digest":"x"}`), 0)} {
		check(t, w.store.View("").Table().Commit(ctx, provider.NewTransaction("loss", write)))
		w.run(10 * seconds)
	}
	old.resume()
	w.until(5*seconds, "the version is in force on the resumed node", w.all(inForce(now)))
	if got, want := s.InForce().Number(), now; got != want {
		t.Errorf("version in force after older ones arrived got %d, want %d", got, want)
	}

}

// Guards against bodies and deltas that are put in force although they do not match their digest.
func TestWrongContent(t *testing.T) {
	w := convergedCluster(t, 13, 3)
	s := w.order[1]
	digest := w.codec.Digest(w.codec.body(2))
	if s.versions.replace(1, s.versions.current.digest, s.versions.current.body) == nil {
		t.Errorf("replace accepted the version that is already in force")
	}
	for name, a := range map[string]*peerpb.FetchAnswer{
		"other body":   {Version: 2, Digest: digest, Body: []byte("2 x")},
		"empty body":   {Version: 2, Digest: w.codec.Digest(nil)},
		"huge body":    {Version: 2, Digest: digest, Body: make([]byte, maxBody+1)},
		"wrong digest": {Version: 2, Deltas: []*peerpb.Delta{{Version: 2, Digest: "x", Delta: w.codec.delta(2)}}},
		"gap":          {Version: 3, Deltas: []*peerpb.Delta{{Version: 3, Digest: digest, Delta: w.codec.delta(2)}}},
		"not a delta":  {Version: 2, Deltas: []*peerpb.Delta{{Version: 2, Digest: digest, Delta: []byte("x")}}},
	} {
		s.locked(func() { s.applyAnswer(a) })
		if got, want := s.InForce().Number(), int64(1); got != want {
			t.Errorf("%s: in force got %d, want %d", name, got, want)
		}
	}
}

// Guards against a node that needs the object store to catch up, waits for silent connections, or cannot catch up when
// it missed more deltas than are kept.
func TestCatchUp(t *testing.T) {
	for _, missed := range []int{2, keptDeltas, keptDeltas + 5} {
		w := convergedCluster(t, 14, 9)
		w.faults.Always(memory.StepObjectGet, fault.Down, 0)
		s := w.order[4]
		s.pause()
		for range missed {
			w.submit(w.order[0])
			w.run(100)
		}
		w.net.Silence()
		s.resume()
		w.until(5*seconds, "caught up from peers", w.all(inForce(w.written)))
		if got := s.link.Received() < 30*len(w.codec.body(1)) || missed > keptDeltas; !got {
			t.Errorf("after %d missed versions the node received %d bytes, want less than 30 bodies", missed, s.link.Received())
		}
	}
}

// Guards against the suspicion of a member because of a silent connection: a new connection must be tried first.
func TestSilentConnections(t *testing.T) {
	w := convergedCluster(t, 15, 9)
	for range 5 {
		w.net.Silence()
		w.run(4 * seconds)
		for _, s := range w.order {
			if got, want := s.members.self.incarnation, int64(1); got != want {
				t.Fatalf("%s was suspected: incarnation got %d, want %d", s.ID, got, want)
			}
		}
	}
	w.until(5*seconds, "version in force", w.all(inForce(w.submit(w.order[0]))))
}

// Guards against a version that is not in force everywhere within 5 s while requests and answers are lost and one zone
// has no platform.
func TestMessageLoss(t *testing.T) {
	for _, loss := range []float64{0.05, 0.25} {
		w := convergedCluster(t, 16, 27)
		w.net.Loss = loss
		w.faults.Partition("z02")
		for range 20 {
			w.until(5*seconds, "version in force", w.all(inForce(w.submit(w.order[0]))))
			w.run(seconds)
		}
	}
}

// Guards against a slow table that stops the distribution of versions or makes members lose their place in the roster.
func TestSlowTable(t *testing.T) {
	w := convergedCluster(t, 17, 9)
	w.latency = 900
	w.until(5*seconds, "version in force", w.all(inForce(w.submit(w.order[0]))))
	w.run(30 * seconds)
	if !w.all(usable)() {
		t.Errorf("a node is not usable while the table is slow")
	}
}

// Guards against a lag that Peers does not show.
func TestLag(t *testing.T) {
	w := convergedCluster(t, 18, 9)
	w.run(20 * seconds)
	w.isolate("z01", true)
	w.faults.Partition("z01")
	w.run(2 * seconds)
	w.submit(w.order[0])
	w.submit(w.order[0])
	w.run(20 * seconds)
	lags := map[string]int64{}
	for _, p := range w.order[0].Peers() {
		lags[p.ID()] = p.Lag(w.order[0].InForce().Number())
	}
	if lags["e001"] != 2 || lags["e002"] != 0 {
		t.Errorf("lags got %v, want 2 for e001 and 0 for e002", lags)
	}
}

// Guards against a start that takes long to find the only seed that answers.
func TestSilentSeeds(t *testing.T) {
	w := convergedCluster(t, 24, 1)
	s := w.add(1, 1)
	s.kill()
	seeds := []string{address(0)}
	for i := range seedsPerFirstJoin - 1 {
		seeds = append(seeds, address(100+i))
	}
	late := &Node{ID: "late", Address: address(50), Zone: "z00", Incarnation: 1, Seeds: seeds, Clock: w.clock, Codec: w.codec,
		Table: s.Table, Objects: s.Objects}
	late.Transport = w.net.Attach(late.Address, late.Zone, late, func(f func()) func() { return f })
	late.Background = func(work, done func()) {}
	late.start()
	w.run(callTimeout)
	if got := late.InForce().Number(); got != 1 {
		t.Errorf("version after one round of seeds got %d, want 1", got)
	}
}

// fakeLoans lends its free units and records the units that it borrows.
type fakeLoans struct {
	wants    []Want
	free     int
	got      map[string]int
	until    clock.Millis
	loan     Loan     // the last one
	idle     []Unused // result of the next GiveBack
	returned []Unused // arguments of the calls of TakeBack
}

func (f *fakeLoans) Wants() []Want { return f.wants }

func (f *fakeLoans) Lend(_, _ string, want int) Loan {
	granted := min(want, f.free)
	f.free -= granted
	f.loan = NewLoan(7, int64(8-f.free), granted, 10*seconds)
	return f.loan
}

func (f *fakeLoans) Borrow(lender, _ string, l Loan) {
	f.got[lender] += l.Units()
	f.until, f.loan = l.Period(), l
	f.wants = nil
}

func (f *fakeLoans) GiveBack() []Unused {
	idle := f.idle
	f.idle = nil
	return idle
}

func (f *fakeLoans) TakeBack(_ string, u Unused) { f.returned = append(f.returned, u) }

// Guards against loans that are granted and not received, are taken from another zone than requested, or last longer
// for the borrower than for the lender.
func TestLoans(t *testing.T) {
	w := convergedCluster(t, 19, 9)
	borrower := &fakeLoans{got: map[string]int{}}
	lenders := map[string]*fakeLoans{}
	for _, s := range w.order[1:] {
		lenders[s.ID] = &fakeLoans{free: 8}
		s.Loans = lenders[s.ID]
	}
	w.order[0].Loans = borrower
	for range 5 {
		borrower.wants = []Want{NewWant("worker/w", "z01", 1)}
		w.until(3*seconds, "borrowed", func() bool { return len(borrower.wants) == 0 })
	}
	lent := 0
	for id, n := range borrower.got {
		s := w.nodes[address(int(id[3]-'0'))]
		if lent += n; s.Zone != "z01" || lenders[id].free != 8-n {
			t.Errorf("lender %s in zone %s lent %d and has %d left of 8 units, want only lenders in z01 and 8 in all", id, s.Zone, n, lenders[id].free)
		}
	}
	if lent != 5 || borrower.until >= 10*seconds {
		t.Errorf("lent %d for %d ms, want 5 for less than the lender's period", lent, borrower.until)
	}
}

// Guards against loans that are returned to another lender, under other numbers or with other units than the borrower
// sent.
func TestLoansReturned(t *testing.T) {
	w := convergedCluster(t, 19, 2)
	borrower, lender := &fakeLoans{got: map[string]int{}, wants: []Want{NewWant("worker/w", "", 3)}}, &fakeLoans{free: 8}
	w.order[0].Loans, w.order[1].Loans = borrower, lender
	w.until(3*seconds, "borrowed", func() bool { return len(borrower.wants) == 0 })
	incarnation, number := borrower.loan.Numbers()
	borrower.idle = []Unused{NewUnused(w.order[1].ID, "worker/w", NewLoan(incarnation, number, 1, 0)),
		NewUnused("gone", "worker/w", NewLoan(1, 1, 0, 0))}
	w.until(seconds, "given back", func() bool { return len(lender.returned) > 0 })
	if want := NewUnused(w.order[1].ID, "worker/w", NewLoan(7, 3, 1, 0)); len(lender.returned) != 1 || lender.returned[0] != want {
		t.Errorf("the lender's TakeBack got %v, want %v", lender.returned, want)
	}
}

// direct is a Transport that calls a node synchronously.
type direct struct {
	Transport
	peer peerpb.Peer
}

func (d direct) Call(_ string, _ bool, _ clock.Millis, call func(context.Context, peerpb.Peer) error, done func(error)) {
	done(call(context.Background(), d.peer))
}

// Guards against the answer that a claim's request still runs when it comes from a process that replaced the holder or
// when there was no answer, and against an unlimited number of waiting queries.
func TestClaimRuns(t *testing.T) {
	w := convergedCluster(t, 23, 2)
	holder, runs := w.order[1], func(caller, key string) bool { return caller == "c" && key == "k" }
	holder.ClaimRuns = runs
	tests := []struct {
		name, id    string
		incarnation int64
		key         string
		want        bool
	}{
		{"runs", holder.ID, holder.Incarnation, "k", true},
		{"other key", holder.ID, holder.Incarnation, "other", false},
		{"earlier process", holder.ID, holder.Incarnation - 1, "k", false},
		{"later process", holder.ID, holder.Incarnation + 1, "k", false},
		{"unknown id", "gone", holder.Incarnation, "k", false},
	}
	ask := func(id string, incarnation int64, key string) bool {
		return w.order[0].HolderRuns(context.Background(), id, incarnation, "c", key)
	}
	w.order[0].Transport = direct{nil, holder}
	for _, test := range tests {
		if got := ask(test.id, test.incarnation, test.key); got != test.want {
			t.Errorf("%s: HolderRuns got %t, want %t", test.name, got, test.want)
		}
	}
	w.order[0].claimQueries.Store(maxClaimQueries)
	if ask(holder.ID, holder.Incarnation, "k") {
		t.Errorf("a query beyond the limit got true, want false")
	}
}

// Guards against a suspicion between two members that cannot reach each other although the others reach both.
func TestRelays(t *testing.T) {
	w := convergedCluster(t, 26, 9)
	a, b := w.order[3].Address, w.order[4].Address
	w.net.Cut(a, b, true)
	w.run(60 * seconds)
	for _, s := range w.order {
		if got, want := s.members.self.incarnation, int64(1); got != want {
			t.Errorf("%s was suspected: incarnation got %d, want %d", s.ID, got, want)
		}
	}
}

// Guards against a member list that stays incomplete after a node missed an update.
func TestMissedUpdate(t *testing.T) {
	w := convergedCluster(t, 32, 27)
	w.until(60*seconds, "all updates are sent", w.all(func(s *simNode) bool { return len(s.members.queuedUpdates) == 0 }))
	w.run(minSyncInterval)
	s := w.order[3]
	s.locked(func() {
		for i := 10; i < 27; i += 3 { // of another zone: members of the own zone would be found again through the roster
			delete(s.members.all, fmt.Sprintf("e%03d", i))
		}
	})
	w.until(3*seconds, "complete member list", func() bool { return seesAlive(26)(s) })
}

// Guards against updates that add a removed incarnation again, or remove a member that had no time to refute.
func TestMerge(t *testing.T) {
	const alive, suspect, failed, left = peerpb.State_ALIVE, peerpb.State_SUSPECT, peerpb.State_FAILED, peerpb.State_LEFT
	type u struct {
		incarnation int64
		state       peerpb.State
	}
	for _, test := range []struct {
		updates []u
		want    u
	}{
		{[]u{{2, alive}, {1, left}}, u{2, alive}},
		{[]u{{2, alive}, {2, failed}}, u{2, suspect}},
		{[]u{{2, alive}, {2, failed}, {2, failed}}, u{2, suspect}},
		{[]u{{2, suspect}, {2, alive}}, u{2, suspect}},
		{[]u{{2, suspect}, {3, alive}}, u{3, alive}},
		{[]u{{2, alive}, {2, left}, {2, alive}}, u{2, left}},
		{[]u{{2, alive}, {2, left}, {3, alive}}, u{3, alive}},
		{[]u{{2, left}, {2, alive}}, u{}},
		{[]u{{5, left}, {4, alive}, {6, alive}}, u{6, alive}},
	} {
		s := newCluster(t, 27, 1).add(0, 1)
		for _, x := range test.updates {
			s.members.merge(&peerpb.Member{Id: "m", Address: "10.0.0.9:1", Incarnation: x.incarnation, State: x.state}, 0, false)
		}
		var got u
		if m := s.members.all["m"]; m != nil {
			got = u{m.incarnation, m.state}
		}
		if got != test.want {
			t.Errorf("member after the updates %v got %v, want %v", test.updates, got, test.want)
		}
	}
}

// Guards against stale answers of the table or of peers that are mistaken for a removal, and against a removed member
// that joins again with its old incarnation, whose slots others may already use.
func TestStaleRosterReads(t *testing.T) {
	w := convergedCluster(t, 28, 9)
	s, key := w.order[4], "roster/z01"
	ctx := context.Background()
	rows, _ := w.store.View("").Table().Read(ctx, key)
	value, _ := fakeRosters{}.Remove(rows[0].Value(), s.ID, 1)
	w.previous[key] = provider.NewRow(key, value, rows[0].Version()-1, "before")
	w.stale = true
	w.run(4 * seconds)
	w.stale = false
	w.run(2 * seconds)
	for _, o := range w.order { // as if they had not read the row since this member joined
		if o != s {
			o.roster.row, o.roster.members = w.previous[key], nil
		}
	}
	w.tableDown(true)
	w.run(10 * seconds)
	if got, want := s.roster.incarnation, int64(1); got != want || !usable(s) {
		t.Errorf("after stale answers incarnation got %d, want %d and usable slots", got, want)
	}
	w.tableDown(false)
	w.run(3 * seconds)
	s.locked(func() {
		s.members.setState(s.members.all["e001"], peerpb.State_SUSPECT, w.clock.Now())
		s.members.all["e001"].lastReceived = 0
		s.roster.contacts["e001"] = &memberContact{incarnation: 1, lastContact: w.clock.Now() - LeasePeriod + 1, failedProbes: 9}
		s.watchRoster(w.clock.Now())
		if s.roster.write != nil {
			t.Errorf("a member is being removed before the lease period is over")
		}
	})
	check(t, w.store.View("").Table().Commit(ctx, provider.NewTransaction("removal",
		provider.Put(key, value, provider.AnyVersion))))
	w.until(2*seconds, "removal noticed", func() bool { return s.state == "suspended" })
	w.until(5*seconds, "member again", func() bool { return usable(s) })
	if got := w.roster("z01")[s.ID].Incarnation; got <= 1 {
		t.Errorf("incarnation after the removal got %d, want more than 1", got)
	}
}

// Guards against a read that began before a pause and confirms the membership after it.
func TestReadBegunBeforePause(t *testing.T) {
	w := convergedCluster(t, 29, 9)
	s := w.order[4]
	for !s.polling {
		w.clock.Advance(1)
	}
	w.clock.Advance(w.latency + 1) // the table has answered
	s.pause()
	w.run(30 * seconds)
	w.tableDown(true)
	slices.Reverse(s.delayed) // the tick detects the pause before the answer is handled
	s.resume()
	if s.Usable() {
		t.Errorf("usable because of a read that began before the pause")
	}
}

// Guards, for random sequences of faults, against versions that decrease, removed incarnations that are added again
// (the cluster checks both at each step), and reachable processes that do not have the latest version in force within
// 5 s.
func TestProperties(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil { // the same sequences in each run
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "nodes")
		w := newCluster(t, rapid.Uint64().Draw(rt, "seed"), 3).addAll(n)
		w.run(5 * seconds)
		w.submit(w.order[0])
		incarnations := int64(1)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			i := rapid.IntRange(0, n-1).Draw(rt, "node")
			s := w.nodes[address(i)]
			switch rapid.IntRange(0, 9).Draw(rt, "fault") {
			case 0:
				s.pause()
			case 1:
				s.resume()
			case 2:
				incarnations += rapid.Int64Range(0, 1).Draw(rt, "grows")
				w.add(i, incarnations)
			case 3:
				w.isolate(s.Zone, rapid.Bool().Draw(rt, "cut"))
			case 4:
				w.net.Silence()
			case 5:
				w.tableDown(rapid.Bool().Draw(rt, "away"))
			case 6:
				w.net.Loss = rapid.Float64Range(0, 0.3).Draw(rt, "loss")
			case 7:
				w.stale = rapid.Bool().Draw(rt, "stale")
			case 8:
				w.submit(s)
			case 9:
				w.faults.Partition(s.Zone)
			}
			w.run(clock.Millis(rapid.IntRange(0, 150).Draw(rt, "ticks")) * 100)
		}
		for _, s := range w.order {
			s.resume()
		}
		for zone := range 3 {
			w.isolate(w.zone(zone), false)
			w.faults.Heal(w.zone(zone))
		}
		w.tableDown(false)
		w.net.Loss, w.stale = 0, false
		w.until(5*seconds, "latest version in force on all nodes", w.all(inForce(w.written)))
		w.until(30*seconds, "all nodes in the roster", w.all(usable))
	})
}

package grant

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// fakeTable is the row of the test's customer in the store.
type fakeTable struct {
	row     Row
	version int64
}

// commit applies a write if its condition holds.
func (f *fakeTable) commit(w Write) bool {
	if w.Version != f.version {
		return false
	}
	f.version += 10
	f.row = w.Row
	return true
}

// settle lets the ledger read the row and carries out what it writes until it has nothing left to change.
func (f *fakeTable) settle(t *testing.T, l *Ledger, now clock.Millis, d Demand) {
	t.Helper()
	l.Learn(testCustomer, f.version, f.row)
	f.settleUnread(t, l, now, d)
}

// step lets the ledger read the row and carries out one write.
func (f *fakeTable) step(l *Ledger, now clock.Millis, d Demand) {
	l.Learn(testCustomer, f.version, f.row)
	if writes := l.Next(now, map[string]Demand{testCustomer: d}); len(writes) > 0 {
		f.commit(writes[0])
		l.Answered(writes, Applied, f.version)
	}
}

// settleUnread is settle for an owner that has not read the row before.
func (f *fakeTable) settleUnread(t *testing.T, l *Ledger, now clock.Millis, d Demand) {
	t.Helper()
	for range 5 {
		writes := l.Next(now, map[string]Demand{testCustomer: d})
		if len(writes) == 0 {
			return
		}
		if f.commit(writes[0]) {
			l.Answered(writes, Applied, f.version)
		} else {
			l.Learn(testCustomer, f.version, f.row)
			l.Answered(writes, Rejected, 0)
		}
	}
	t.Fatalf("the ledger of %s writes on and on, want it to settle; row %+v", l.pool, f.row)
}

func next(t *testing.T, l *Ledger, now clock.Millis, d Demand) []Write {
	t.Helper()
	writes := l.Next(now, map[string]Demand{testCustomer: d})
	if len(writes) != 1 {
		t.Fatalf("writes got %v, want 1", writes)
	}
	return writes
}

func cpu(amount int) batch.Resources { return batch.Resources{CPU: amount} }

func waiting(need, tasks int) []Unit { return []Unit{{Need: cpu(need), Tasks: tasks}} }

func newTestLedger(pool string, token int64, limit batch.Resources) *Ledger {
	l := NewLedger(pool, token, 0)
	l.Configure(configuration(1, limit))
	return l
}

func checkAllows(t *testing.T, l *Ledger, what string, use, need int, want bool) {
	t.Helper()
	if got := l.Allows(testCustomer, cpu(use), cpu(need), 1); got != want {
		t.Errorf("%s: a task of %d beside %d allowed got %t, want %t", what, need, use, got, want)
	}
}

// Guards against a raise that counts although its outcome is unknown, and against one that is lost for good.
func TestRaiseWithoutAnAnswer(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(1000))
	demand := Demand{Waiting: waiting(1000, 1)}
	lost := next(t, l, 0, demand)
	checkAllows(t, l, "in flight", 0, 1000, false)
	l.Answered(lost, Unknown, 0)
	checkAllows(t, l, "unknown", 0, 1000, false)
	f.commit(lost[0]) // it was applied all the same
	f.settle(t, l, 100, demand)
	checkAllows(t, l, "settled", 0, 1000, true)
}

// Guards against an amount that is used after a lowering that may have been applied, and handed on to another pool.
func TestLoweringWithoutAnAnswer(t *testing.T) {
	f, a, b := &fakeTable{}, newTestLedger("a", 7, cpu(1000)), newTestLedger("b", 8, cpu(1000))
	f.settle(t, a, 0, Demand{Waiting: waiting(1000, 1)})
	b.Learn(testCustomer, f.version, f.row)
	f.settle(t, b, 0, Demand{Waiting: waiting(1000, 1)})
	a.Learn(testCustomer, f.version, f.row) // b asks
	lost := next(t, a, 100, Demand{})
	a.Answered(lost, Unknown, 0)
	f.commit(lost[0])
	f.settle(t, b, 200, Demand{Waiting: waiting(1000, 1)})
	checkAllows(t, b, "the amount was handed on", 0, 1000, true)
	checkAllows(t, a, "the lowering is unknown", 0, 1000, false)
	f.settle(t, a, 300, Demand{Waiting: waiting(1000, 1)})
	checkAllows(t, a, "the row was read", 0, 1000, false)
}

// Guards against a raise that is decided on while a lowering may still be applied: the next write on the same row settles both.
func TestRaiseAfterALoweringWithoutAnAnswer(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(1000))
	f.settle(t, l, 0, Demand{Waiting: waiting(1000, 1)})
	l.Learn(testCustomer, f.version+1, Row{Configuration: 1, Limit: cpu(1000), Pools: map[string]Entry{
		"a": {Amount: cpu(1000), Token: 7}, "b": {Wanted: cpu(300), Missing: cpu(300), Asked: 1, Token: 8}}})
	f.version++
	f.row = l.accounts[testCustomer].row
	late := next(t, l, 100, Demand{})
	l.Answered(late, Unknown, 0)
	f.settle(t, l, 200, Demand{Use: cpu(600)})
	if f.commit(late[0]) {
		t.Fatal("the late write was applied, want it to fail by its condition")
	}
	checkAllows(t, l, "settled", 0, 600, true)
}

// Guards against a new owner that uses a grant while a write of the owner before it can still hand it on.
func TestTakeoverBeforeALateLowering(t *testing.T) {
	f, old, b := &fakeTable{}, newTestLedger("a", 7, cpu(1000)), newTestLedger("b", 8, cpu(1000))
	f.settle(t, old, 0, Demand{Waiting: waiting(1000, 1)})
	b.Learn(testCustomer, f.version, f.row)
	f.settle(t, b, 0, Demand{Waiting: waiting(300, 1)})
	old.Learn(testCustomer, f.version, f.row)
	late := next(t, old, 100, Demand{}) // the old owner is lost with it on the way
	successor := newTestLedger("a", 20, cpu(1000))
	successor.Learn(testCustomer, f.version, f.row)
	checkAllows(t, successor, "before the hand-over", 0, 1000, false)
	f.settle(t, successor, 200, Demand{Use: cpu(400), Waiting: waiting(100, 1)})
	if f.commit(late[0]) {
		t.Fatal("the write of the former owner was applied after the hand-over, want it to fail by its condition")
	}
	checkAllows(t, successor, "after the hand-over", 400, 100, true)
	old.Answered(late, Unknown, 0)
	old.Learn(testCustomer, f.version, f.row)
	if !old.Superseded() {
		t.Error("the former owner has read a higher token and does not count as superseded")
	}
	checkAllows(t, old, "superseded", 0, 1, false)
	if writes := old.Next(300, map[string]Demand{testCustomer: {Waiting: waiting(10, 1)}}); len(writes) > 0 {
		t.Errorf("the former owner writes %+v, want nothing", writes)
	}
}

// Guards against a successor that lowers the grant of its pool below what the runs of its predecessor use.
func TestTakeoverKeepsTheRuns(t *testing.T) {
	f := &fakeTable{row: Row{Configuration: 1, Limit: cpu(1000), Pools: map[string]Entry{"a": {Amount: cpu(300), Token: 7}}}, version: 50}
	successor := newTestLedger("a", 20, cpu(1000))
	successor.Learn(testCustomer, f.version, f.row)
	f.settle(t, successor, 100, Demand{Use: cpu(800)}) // also of runs that the former owner had not granted
	if got, want := f.row.Pools["a"].Amount, cpu(800); !want.Fits(got) {
		t.Errorf("amount got %+v, want at least %+v", got, want)
	}
}

// Guards against starts beyond a lowered cap, also in a pool that is within its own amount, and against a cap that never recovers.
func TestLoweredCapDrains(t *testing.T) {
	f, a, b := &fakeTable{}, newTestLedger("a", 7, cpu(1000)), newTestLedger("b", 8, cpu(1000))
	f.settle(t, a, 0, Demand{Use: cpu(500)})
	f.settle(t, b, 0, Demand{Waiting: waiting(400, 1)})
	f.settle(t, a, 0, Demand{Use: cpu(500)})
	f.settle(t, b, 0, Demand{Waiting: waiting(400, 1)})
	checkAllows(t, b, "before", 0, 400, true)
	a.Configure(configuration(2, cpu(600)))
	b.Configure(configuration(2, cpu(600)))
	checkAllows(t, b, "lowered", 0, 400, false)
	f.settle(t, b, 100, Demand{Waiting: waiting(400, 1)})
	f.settle(t, a, 100, Demand{Use: cpu(500)})
	f.settle(t, b, 100, Demand{Waiting: waiting(400, 1)})
	checkAllows(t, b, "drains", 0, 400, false)
	checkAllows(t, a, "drains", 500, 50, false)
	f.settle(t, a, 200, Demand{Use: cpu(200)})
	f.settle(t, b, 200, Demand{Waiting: waiting(400, 1)})
	checkAllows(t, b, "drained", 0, 400, true)
}

// Guards against a raised cap that does not take effect, or takes more than one transaction.
func TestRaisedCapCountsAtOnce(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(100))
	f.settle(t, l, 0, Demand{Use: cpu(100), Waiting: waiting(100, 5)})
	checkAllows(t, l, "before", 100, 100, false)
	l.Configure(configuration(2, cpu(1000)))
	writes := next(t, l, 40, Demand{Use: cpu(100), Waiting: waiting(100, 5)})
	f.commit(writes[0])
	l.Answered(writes, Applied, f.version)
	checkAllows(t, l, "after one transaction", 500, 100, true)
}

// Guards against an owner with an older configuration that takes what a lowered cap has ended. The owners see each other late.
func TestStoredLimitBindsOwnersWithAnOlderConfiguration(t *testing.T) {
	f, older, newer := &fakeTable{}, newTestLedger("a", 7, cpu(1000)), newTestLedger("b", 8, cpu(1000))
	f.settle(t, older, 0, Demand{Use: cpu(100)})
	newer.Configure(configuration(2, cpu(300)))
	newer.Learn(testCustomer, f.version, f.row)
	f.settle(t, newer, 100, Demand{Use: cpu(50), Waiting: waiting(10, 1)})
	f.settleUnread(t, older, 200, Demand{Use: cpu(100), Waiting: waiting(400, 1)})
	if granted, want := f.row.Granted(), cpu(300); !granted.Fits(want) {
		t.Errorf("granted got %+v, want at most %+v", granted, want)
	}
	checkAllows(t, older, "older configuration", 100, 400, false)
	older.Configure(configuration(2, cpu(300)))
	checkAllows(t, older, "newer configuration", 100, 400, false)
}

// Guards against a start under a lowered cap that is not stored yet: an owner with an older configuration could take more meanwhile.
func TestLowerLimitIsStoredBeforeAStart(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(1000))
	f.settle(t, l, 0, Demand{Waiting: waiting(100, 1)})
	l.Configure(configuration(2, cpu(500)))
	checkAllows(t, l, "not stored", 0, 100, false)
	f.settle(t, l, 100, Demand{Waiting: waiting(100, 1)})
	checkAllows(t, l, "stored", 0, 100, true)
	if f.row.Limit != cpu(500) || f.row.Configuration != 2 {
		t.Errorf("stored limit got %+v of configuration %d, want 500 of 2", f.row.Limit, f.row.Configuration)
	}
}

// Guards against starts with a configuration that is out of date, as of an instance that was suspended.
func TestOldConfigurationAllowsNothing(t *testing.T) {
	f, l := &fakeTable{}, NewLedger("a", 7, 0)
	c := &batch.Configuration{Version: 1}
	c.SetCustomers([]batch.Customer{{Name: testCustomer, Cap: cpu(1000)}, {Name: "without a cap"}})
	l.Configure(c)
	age := clock.Millis(0)
	l.Age = func() clock.Millis { return age }
	f.settle(t, l, 0, Demand{Waiting: waiting(100, 1)})
	age = MaxAge
	checkAllows(t, l, "recent", 0, 100, true)
	age = MaxAge + 1
	checkAllows(t, l, "old", 0, 100, false)
	if !l.Allows("without a cap", cpu(0), cpu(100), 1) {
		t.Error("a customer without a cap is held back")
	}
}

// Guards against a task that is larger than the limit and never runs, or runs beside others; and against a gang that holds back others
// although it can never run.
func TestTaskLargerThanTheLimitRunsAlone(t *testing.T) {
	f, a, b := &fakeTable{}, newTestLedger("a", 7, cpu(100)), newTestLedger("b", 8, cpu(100))
	f.settle(t, b, 0, Demand{Use: cpu(10)})
	f.settle(t, a, 0, Demand{Waiting: waiting(150, 1)})
	checkAllows(t, a, "beside a task of another pool", 0, 150, false)
	b.Learn(testCustomer, f.version, f.row)
	f.settle(t, b, 100, Demand{})
	f.settle(t, a, 100, Demand{Waiting: waiting(150, 1)})
	checkAllows(t, a, "alone", 0, 150, true)
	checkAllows(t, a, "second", 150, 1, false)
	f.settle(t, b, 200, Demand{Waiting: waiting(10, 1)})
	checkAllows(t, b, "beside it", 0, 10, false)
	f.settle(t, b, 300, Demand{Use: cpu(10)}) // a run that its owner did not order
	a.Learn(testCustomer, f.version, f.row)
	checkAllows(t, a, "beside a run that was not granted", 0, 150, false)

	c := newTestLedger("c", 9, cpu(100))
	g := &fakeTable{}
	g.settle(t, c, 0, Demand{Waiting: []Unit{{Need: cpu(60), Tasks: 3, Gang: true}, {Need: cpu(10), Tasks: 1}}})
	if e := g.row.Pools["c"]; e.Asked != 0 || !cpu(10).Fits(e.Amount) {
		t.Errorf("entry got %+v, want 10 granted and nothing asked for", e)
	}
}

// Guards against a gang that starts in part.
func TestGangIsGrantedAsAWhole(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(100))
	gang := []Unit{{Need: cpu(30), Tasks: 3, Gang: true}}
	f.settle(t, l, 0, Demand{Use: cpu(20), Waiting: gang})
	if got := f.row.Pools["a"].Amount; got != cpu(20) {
		t.Errorf("amount got %+v, want 20: the gang does not fit", got)
	}
	f.settle(t, l, 100, Demand{Use: cpu(10), Waiting: gang})
	if l.Allows(testCustomer, cpu(20), cpu(30), 3) || !l.Allows(testCustomer, cpu(10), cpu(30), 3) {
		t.Error("the gang may start beside 20, or may not beside 10")
	}
}

// Guards against two pools that each hold half of what a task needs, for ever.
func TestAmountsAreOfWholeTasks(t *testing.T) {
	f, a, b := &fakeTable{}, newTestLedger("a", 7, cpu(100)), newTestLedger("b", 8, cpu(100))
	demand := Demand{Waiting: waiting(80, 1)}
	f.settle(t, a, 0, Demand{Use: cpu(50)})
	f.settle(t, b, 0, Demand{Use: cpu(50)})
	f.settle(t, a, 0, demand)
	f.settle(t, b, 0, demand)
	a.Learn(testCustomer, f.version, f.row)
	writes := next(t, a, 100, demand)
	f.commit(writes[0])
	a.Answered(writes, Applied, f.version)
	checkAllows(t, a, "the first to ask", 0, 80, true)
	f.settle(t, b, 100, demand)
	f.settle(t, a, 200, Demand{Use: cpu(80)})
	f.settle(t, b, 200, demand)
	checkAllows(t, b, "beside it", 0, 80, false)
	f.settle(t, a, 300, Demand{})
	f.settle(t, b, 300, demand)
	checkAllows(t, b, "after it", 0, 80, true)
}

// Guards against a pool with much to run that takes all that it frees again, so that another one starves.
func TestPoolsWithWorkShareTheCap(t *testing.T) {
	f, a, b := &fakeTable{}, newTestLedger("a", 7, cpu(100)), newTestLedger("b", 8, cpu(100))
	f.settle(t, a, 0, Demand{Use: cpu(100), Waiting: waiting(10, 50)})
	useA, useB := 100, 0
	for now := clock.Millis(40); now < 1000; now += 40 {
		if now%80 == 0 { // a task of the first pool ends, and the pool starts what it may
			useA -= 10
		}
		for ; a.Allows(testCustomer, cpu(useA), cpu(10), 1); useA += 10 {
		}
		for ; b.Allows(testCustomer, cpu(useB), cpu(10), 1); useB += 10 {
		}
		f.step(a, now, Demand{Use: cpu(useA), Waiting: waiting(10, 50)})
		f.step(b, now, Demand{Use: cpu(useB), Waiting: waiting(10, 50)})
	}
	if useB < 40 {
		t.Errorf("the second pool uses %d, want about half of the limit; the first uses %d", useB, useA)
	}
}

// Guards against parts of a cap without a limit that count as a limit of 0.
func TestPartsWithoutALimit(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(100))
	need := batch.Resources{CPU: 50, MemoryMB: 1 << 20, GPUs: 8}
	f.settle(t, l, 0, Demand{Waiting: []Unit{{Need: need, Tasks: 1}}})
	if !l.Allows(testCustomer, batch.Resources{MemoryMB: 1 << 30}, need, 1) {
		t.Error("a task is held back by memory, which has no limit")
	}
	if got, want := Limit(batch.Resources{CPU: 1500, MemoryMB: 10}, 0.1), (batch.Resources{CPU: 1650, MemoryMB: 11}); got != want {
		t.Errorf("limit got %+v, want %+v", got, want)
	}
}

// Guards against starts of a customer whose row cannot be read.
func TestUnreadableRowAllowsNothing(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(100))
	l.LearnUnreadable(testCustomer, 4)
	f.settle(t, l, 0, Demand{Waiting: waiting(50, 1)})
	checkAllows(t, l, "unreadable", 0, 50, false)
	l.Learn(testCustomer, 5, Row{Configuration: 1, Limit: cpu(100)})
	f.row, f.version = l.accounts[testCustomer].row, 5
	f.settle(t, l, 100, Demand{Waiting: waiting(50, 1)})
	checkAllows(t, l, "readable", 0, 50, true)
}

// Guards against a stored form that loses a field.
func TestRowIsStoredWhole(t *testing.T) {
	want := Row{Configuration: 4782, Limit: cpu(7), Pools: map[string]Entry{"p": {Amount: cpu(1), Wanted: cpu(2), Asked: 3, Token: 4}}}
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeRow(value)
	if err != nil || got.Configuration != want.Configuration || got.Limit != want.Limit || got.Pools["p"] != want.Pools["p"] {
		t.Errorf("row got %+v, %v, want %+v", got, err, want)
	}
	if _, err := DecodeRow([]byte("{")); err == nil {
		t.Error("a damaged row is decoded without an error")
	}
}

// Guards against raised caps of many customers that take longer than 3 s to take effect while tasks of all of them wait in one pool, and
// against idle customers whose rows go first.
func TestRaisedCapsOfManyCustomers(t *testing.T) {
	const customers, period = 2000, 40 * clock.Millis(1)
	rows := map[string]fakeTable{}
	demands := map[string]Demand{}
	many := func(version int64, limit int) *batch.Configuration {
		c := &batch.Configuration{Version: version}
		var list []batch.Customer
		for i := range customers {
			list = append(list, batch.Customer{Name: fmt.Sprint(i), Cap: cpu(limit)}, batch.Customer{Name: fmt.Sprint("idle ", i), Cap: cpu(limit)})
		}
		c.SetCustomers(list)
		return c
	}
	l := NewLedger("a", 7, 0)
	l.Configure(many(1, 100))
	for i := range customers {
		demands[fmt.Sprint(i)] = Demand{Use: cpu(100)}
		demands[fmt.Sprint("idle ", i)] = Demand{Use: cpu(100)}
	}
	now := clock.Millis(0)
	work := func(d clock.Millis) {
		for end := now + d; now < end; now += period {
			writes := l.Next(now, demands)
			for _, w := range writes {
				f := rows[w.Customer]
				if !f.commit(w) {
					t.Fatalf("condition of %s fails", w.Customer)
				}
				f.version = int64(now) + 1
				rows[w.Customer] = f
			}
			l.Answered(writes, Applied, int64(now)+1)
		}
	}
	work(10 * clock.Second)
	l.Configure(many(2, 300))
	for i := range customers {
		demands[fmt.Sprint(i)] = Demand{Use: cpu(100), Waiting: waiting(200, 1)}
	}
	work(3 * clock.Second)
	held := 0
	for i := range customers {
		if !l.Allows(fmt.Sprint(i), cpu(100), cpu(200), 1) {
			held++
		}
	}
	if held > 0 {
		t.Errorf("customers still held back got %d of %d, want none", held, customers)
	}
}

// Guards against a customer that stays held back after its row was repaired or deleted, since changes of the row arrive late, and against a
// deleted row whose former content counts.
func TestRepairedRowCounts(t *testing.T) {
	f, l := &fakeTable{}, newTestLedger("a", 7, cpu(100))
	l.Learn(testCustomer, 6, Row{Configuration: 1, Limit: cpu(100)}) // returned by a failed transaction
	l.LearnUnreadable(testCustomer, 5)                               // then the feed brings what was before
	f.row, f.version = l.accounts[testCustomer].row, 6
	f.settle(t, l, 0, Demand{Waiting: waiting(50, 1)})
	checkAllows(t, l, "repaired", 0, 50, true)

	l.LearnUnreadable(testCustomer, 91)
	l.LearnDeleted(testCustomer, 92)
	l.Learn(testCustomer, 6, Row{Configuration: 1, Limit: cpu(100), Pools: map[string]Entry{"a": {Amount: cpu(100), Token: 7}}}) // late
	checkAllows(t, l, "deleted", 0, 50, false)
	writes := next(t, l, 100, Demand{Waiting: waiting(50, 1)})
	if got := writes[0].Version; got != 0 {
		t.Errorf("version of the row that is replaced got %d, want 0: there is none", got)
	}
	l.Answered(writes, Applied, 93)
	checkAllows(t, l, "stored anew", 0, 50, true)
}

// Guards against a customer that a configuration adds with a cap, and whose tasks start without one in pools whose owners are late.
func TestOldConfigurationAllowsNoUnknownCustomer(t *testing.T) {
	l := newTestLedger("a", 7, cpu(1000))
	age := MaxAge
	l.Age = func() clock.Millis { return age }
	if !l.Allows("new", cpu(0), cpu(100), 1) {
		t.Error("a customer that the configuration does not have is held back, want it allowed while the configuration is recent")
	}
	age = MaxAge + 1
	if l.Allows("new", cpu(0), cpu(100), 1) {
		t.Error("a customer that a newer configuration may have with a cap is allowed")
	}
}

// Guards against a cap that is passed because it was added while the owner of a pool is paused or lost: what runs in that pool is not in the
// customer's row yet.
func TestNewCapCountsWhatRunsInAPoolWithoutAnOwner(t *testing.T) {
	f, a, b := &fakeTable{}, newTestLedger("a", 7, cpu(0)), newTestLedger("b", 8, cpu(0))
	running := cpu(900)
	for _, l := range []*Ledger{a, b} {
		for _, w := range l.Next(0, map[string]Demand{testCustomer: {Use: running}}) {
			t.Errorf("write got %+v, want none without a cap", w)
		}
	}
	b.Configure(configuration(2, cpu(1000))) // the owner of a does not run
	f.settle(t, b, 100, Demand{Waiting: waiting(500, 2)})
	checkAllows(t, b, "beside 900 that run in a", 0, 500, true) // within the cap and one task
	checkAllows(t, b, "beside 900 and 500", 500, 500, false)
}

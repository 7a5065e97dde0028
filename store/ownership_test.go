package store_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// A fixed seed makes the test reproducible; run it with another -rapid.seed to search for new failures.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "100")

func newOwnership(table store.Table, node string, c *clock.Clock) *store.Ownership {
	return &store.Ownership{Store: table, Clock: c, Part: "p", Node: node, Incarnation: "b-" + node, SinceBoot: c.Now}
}

// runAdvancing calls f and advances the fake clock whenever all goroutines are blocked, until f returns. It must run in a synctest
// bubble, which detects that state.
func runAdvancing(c *clock.Clock, f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	for {
		synctest.Wait()
		select {
		case err := <-done:
			return err
		default:
			c.Advance(10)
		}
	}
}

// Guards against an owner that mistakes its own write, whose answer was lost, for the write of another owner, and
// treats the part as lost.
func TestCommitAfterALostAnswer(t *testing.T) { synctest.Test(t, commitAfterALostAnswer) }

func commitAfterALostAnswer(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	ownership := newOwnership(table, "a", c)
	ctx := context.Background()
	if err := ownership.Claim(ctx, 0); err != nil {
		t.Fatal(err)
	}
	lose := true
	table.Fault = func(store.Transaction) standin.TableFault {
		if lose {
			lose = false
			return standin.TableLosesReply
		}
		return standin.TableWorks
	}
	before := ownership.Token()
	if err := runAdvancing(c, func() error { return ownership.Commit(ctx, nil, nil) }); err != nil {
		t.Errorf("commit got %v, want success: the first attempt was applied", err)
	}
	if got := ownership.Token(); got <= before {
		t.Errorf("token got %d, want more than %d", got, before)
	}
}

// Guards against a write of a former owner that the store executes late, after another instance has claimed the part.
func TestLateWriteOfAFormerOwner(t *testing.T) { synctest.Test(t, lateWriteOfAFormerOwner) }

func lateWriteOfAFormerOwner(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	first, second := newOwnership(table, "a", c), newOwnership(table, "b", c)
	ctx := context.Background()
	if err := first.Claim(ctx, 0); err != nil {
		t.Fatal(err)
	}
	delay := true
	table.Fault = func(store.Transaction) standin.TableFault {
		if delay {
			return standin.TableDelays
		}
		return standin.TableWorks
	}
	row := store.Row{Table: store.RunsTable, Part: "p", Key: "j", Value: []byte("old")}
	attempt, cancel := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() { failed <- first.Commit(attempt, []store.Row{row}, nil) }()
	synctest.Wait() // the first attempt has failed without an answer, and the pause before the next one has begun
	cancel()
	if err := <-failed; err == nil {
		t.Error("commit without an answer got success, want an error")
	}
	delay = false
	if err := second.Claim(ctx, 1); err != nil {
		t.Fatal(err)
	}
	table.ApplyDelayed()
	for _, row := range table.Rows(store.RunsTable) {
		t.Errorf("late write of the former owner left row %q, want none: the part had another owner", row.Value)
	}
	if err := first.Commit(ctx, nil, nil); !errorx.IsOfType(err, store.ErrLost) {
		t.Errorf("commit of the former owner got %v, want %v", err, store.ErrLost)
	}
}

// Guards against a part that has no owner until the ownership expires, because the owner failed to release it: at SIGTERM, the
// last transaction of the owner was cancelled although the store had applied it.
func TestReleaseAfterACancelledCommit(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	ownership := newOwnership(table, "a", c)
	ctx := context.Background()
	if err := ownership.Claim(ctx, 0); err != nil {
		t.Fatal(err)
	}
	attempt, cancel := context.WithCancel(ctx)
	table.Fault = func(store.Transaction) standin.TableFault {
		cancel()
		return standin.TableLosesReply
	}
	if err := ownership.Commit(attempt, nil, nil); err == nil {
		t.Error("cancelled commit got success, want an error")
	}
	table.Fault = nil
	if err := ownership.Release(ctx); err != nil {
		t.Errorf("release got %v, want success", err)
	}
	for _, row := range table.Rows(store.StateTable) {
		if owner, err := store.DecodeOwner(row.Value); err != nil || !owner.Released {
			t.Errorf("owner got %+v, %v, want it released", owner, err)
		}
	}
}

// Guards against an owner that releases a part without recording how long it owned it: the owner before it may still act. The time
// is counted from the first attempt at the claim.
func TestReleaseRecordsOwnershipTime(t *testing.T) { synctest.Test(t, releaseRecordsOwnershipTime) }

func releaseRecordsOwnershipTime(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	ownership := newOwnership(table, "a", c)
	ctx := context.Background()
	lose := true
	table.Fault = func(store.Transaction) standin.TableFault {
		if lose {
			lose = false
			return standin.TableLosesCall
		}
		return standin.TableWorks
	}
	if err := runAdvancing(c, func() error { return ownership.Claim(ctx, 0) }); err != nil {
		t.Fatal(err)
	}
	c.Advance(300)
	want := c.Now() - 1000
	if err := ownership.Release(ctx); err != nil {
		t.Fatal(err)
	}
	for _, row := range table.Rows(store.StateTable) {
		if owner, err := store.DecodeOwner(row.Value); err != nil || owner.Held != want {
			t.Errorf("owner got %+v, %v, want it held for %d ms", owner, err, want)
		}
	}
}

// Guards against two instances that own a part at the same time: under random faults, no two of them may obtain the same
// fencing token.
func TestOneOwnerAtATime(t *testing.T) {
	type step struct {
		instance int
		settle   bool // the store first executes the delayed transactions
	}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.IntRange(0, 1).Draw(t, "instance"), rapid.Bool().Draw(t, "settle")}
	}), 20, 20)
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, int(standin.TableDelays)), 60, 60).Draw(rt, "faults")
		drawn := steps.Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) {
			table := standin.NewTable()
			c := clock.NewFake(1000)
			call := 0
			table.Fault = func(store.Transaction) standin.TableFault {
				call++
				if call > len(faults) || call%3 == 0 { // every third call succeeds, so that each step ends
					return standin.TableWorks
				}
				return standin.TableFault(faults[call-1])
			}
			ownerships := []*store.Ownership{newOwnership(table, "a", c), newOwnership(table, "b", c)}
			owns := []bool{false, false}
			tokens := map[int64]string{}
			for _, st := range drawn {
				i := st.instance
				if st.settle {
					table.ApplyDelayed()
				}
				var err error
				if owns[i] {
					err = runAdvancing(c, func() error { return ownerships[i].Commit(context.Background(), nil, nil) })
				} else {
					var seen int64
					for _, row := range table.Rows(store.StateTable) {
						seen = row.Version
					}
					err = runAdvancing(c, func() error { return ownerships[i].Claim(context.Background(), seen) })
				}
				owns[i] = err == nil
				if err != nil {
					continue
				}
				if other, used := tokens[ownerships[i].Token()]; used && other != ownerships[i].Node {
					failure = fmt.Sprintf("token %d was obtained by %s and by %s", ownerships[i].Token(), other, ownerships[i].Node)
					return
				}
				tokens[ownerships[i].Token()] = ownerships[i].Node
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against a copy that misses changes when the store discards its history, and against rows that remain in the copy
// although they were deleted in the gap.
func TestFollowerReloadsAfterAGap(t *testing.T) {
	table := standin.NewTable()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	put := func(key string) {
		if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{{Table: "t", Part: "p", Key: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	var down atomic.Bool
	table.Down = down.Load
	put("a")
	put("b")
	loads := make(chan []store.Row, 10)
	changes := make(chan []store.Row, 10)
	f := &store.Follower{Store: table, Clock: clock.System(), Table: "t", Wait: 20, Period: func() clock.Millis { return 0 },
		OnLoad: func(rows []store.Row) { loads <- rows }, OnRows: func(rows []store.Row) { changes <- rows }}
	go func() { _ = f.Run(ctx) }() // it ends only with its context
	if got := len(<-loads); got != 2 {
		t.Errorf("rows of the first load got %d, want 2", got)
	}
	put("c")
	if got := (<-changes)[0].Key; got != "c" {
		t.Errorf("first change of the feed got %q, want c", got)
	}
	down.Store(true) // the follower must not read the change before the history is discarded
	if _, err := table.Commit(ctx, store.Transaction{Deletes: []store.Row{{Table: "t", Part: "p", Key: "a"}}}); err != nil {
		t.Fatal(err)
	}
	table.DropHistory()
	down.Store(false)
	for rows := range loads {
		if len(rows) == 2 && rows[0].Key == "b" {
			return
		}
	}
}

// Guards against a copy that reports an age of 0 while the feed has further changes, so that an instance reports a job as unknown that
// another instance has accepted.
func TestCopyAgeWhileFeedIsBehind(t *testing.T) { synctest.Test(t, copyAgeWhileFeedIsBehind) }

func copyAgeWhileFeedIsBehind(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := standin.NewTable()
	table.FeedRows = 10
	c := clock.NewFake(1000)
	seen := make(chan int)
	f := &store.Follower{Store: table, Clock: c, Table: "t", Period: func() clock.Millis { return 100 },
		OnLoad: func([]store.Row) {}, OnRows: func(rows []store.Row) { seen <- len(rows) }}
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	synctest.Wait() // the follower has loaded the empty table
	for i := range 25 {
		row := store.Row{Table: "t", Part: "p", Key: string(rune('a' + i))}
		if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	c.Advance(100)
	if got, want := <-seen, 10; got != want {
		t.Errorf("rows of the first page got %d, want %d", got, want)
	}
	c.Advance(3000) // the next answers are in transit for that long
	<-seen
	if got, least := f.Age(), clock.Millis(3000); got < least {
		t.Errorf("age got %d ms, want at least %d while the feed has further changes", got, least)
	}
	if got, want := <-seen, 5; got != want {
		t.Errorf("rows of the last page got %d, want %d, without a pause before it", got, want)
	}
	synctest.Wait() // the follower pauses after the last page
	if got := f.Age(); got != 0 {
		t.Errorf("age got %d ms, want 0 once the feed has no further changes", got)
	}
	cancel()
	<-done
}

// racingTable calls afterParts after the parts have been listed, so that a row can be written into a part that was empty.
type racingTable struct {
	store.Table
	afterParts func()
}

func (t *racingTable) Parts(ctx context.Context, table, after string) ([]string, bool, error) {
	names, more, err := t.Table.Parts(ctx, table, after)
	t.afterParts()
	return names, more, err
}

// Guards against a job that is never read by an owner because it was stored in a part that was empty when the parts were listed.
func TestFollowerSeesARowInAPartThatWasEmpty(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := standin.NewTable()
	put := func(part string) {
		if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{{Table: "t", Part: part, Key: "k"}}}); err != nil {
			t.Fatal(err)
		}
	}
	put("a")
	seen := make(chan store.Row, 10)
	take := func(rows []store.Row) {
		for _, row := range rows {
			seen <- row
		}
	}
	f := &store.Follower{Store: &racingTable{table, sync.OnceFunc(func() { put("b") })}, Clock: clock.System(), Table: "t",
		Period: func() clock.Millis { return 0 }, OnLoad: take, OnRows: take}
	go func() { _ = f.Run(ctx) }() // it ends only with its context
	for _, want := range []string{"a", "b", "c"} {
		if got := (<-seen).Part; got != want {
			t.Fatalf("part of the next row in the copy got %q, want %q", got, want)
		}
		if want == "a" {
			put("c")
		}
	}
}

// busyTable answers reads after 100 ms and rejects the first two reads of each part and of the list of parts.
type busyTable struct {
	store.Table
	clock  *clock.Clock
	mu     sync.Mutex
	reads  int
	byName map[string]int
}

func (t *busyTable) reject(ctx context.Context, name string) error {
	t.mu.Lock()
	t.reads++
	t.byName[name]++
	n := t.byName[name]
	t.mu.Unlock()
	if err := t.clock.Sleep(ctx, 100); err != nil || n <= 2 {
		return store.ErrRejected.New("too many calls")
	}
	return nil
}

func (t *busyTable) Range(ctx context.Context, table, part, from string) (store.Page, error) {
	if err := t.reject(ctx, "part "+part); err != nil {
		return store.Page{}, err
	}
	return t.Table.Range(ctx, table, part, from)
}

func (t *busyTable) Parts(ctx context.Context, table, after string) ([]string, bool, error) {
	if err := t.reject(ctx, "parts"); err != nil {
		return nil, false, err
	}
	return t.Table.Parts(ctx, table, after)
}

// Guards against a load that starts over after each rejected read and never ends while many other instances start. Also guards
// against a load that reads the parts one after another, so that a pool is without an owner for long while the store is slow.
func TestLoadFromABusyStore(t *testing.T) { synctest.Test(t, loadFromABusyStore) }

func loadFromABusyStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := standin.NewTable()
	for i := range 13 {
		row := store.Row{Table: "t", Part: string(rune('a' + i)), Key: "k"}
		if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	c := clock.NewFake(1000)
	loaded, loadedAt := 0, clock.Millis(0)
	busy := &busyTable{Table: table, clock: c, byName: map[string]int{}}
	f := &store.Follower{Store: busy, Clock: c, Table: "t", Period: func() clock.Millis { return 100 },
		OnLoad: func(rows []store.Row) { loaded, loadedAt = len(rows), c.Now() }, OnRows: func([]store.Row) {}}
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	for range 1000 {
		synctest.Wait()
		c.Advance(10)
	}
	if got, want := loaded, 13; got != want {
		t.Errorf("rows loaded got %d, want %d after 10 s", got, want)
	}
	if limit := clock.Millis(1000 + 3000); loadedAt > limit {
		t.Errorf("loaded at clock time %d ms, want at most %d: the load starts at 1000, and 45 reads one after the other take 4500 ms", loadedAt, limit)
	}
	if got, want := busy.reads, 3*15; got != want {
		t.Errorf("reads got %d, want %d: three for each part and for their list", got, want)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a transaction that is repeated without end although the store refuses it for its content.
func TestRefusedContentIsNotRepeated(t *testing.T) { synctest.Test(t, refusedContentIsNotRepeated) }

func refusedContentIsNotRepeated(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	ownership := newOwnership(table, "a", c)
	ctx, cancel := context.WithCancel(context.Background())
	if err := ownership.Claim(ctx, 0); err != nil {
		t.Fatal(err)
	}
	calls := 0
	table.Fault = func(store.Transaction) standin.TableFault {
		if calls++; calls > 1 {
			cancel()
		}
		return standin.TableRefuses
	}
	if err := runAdvancing(c, func() error { return ownership.Commit(ctx, nil, nil) }); !errorx.IsOfType(err, store.ErrInvalid) || calls != 1 {
		t.Errorf("refused commit got %v after %d attempts, want %v after 1", err, calls, store.ErrInvalid)
	}
	table.Fault = nil
	if err := ownership.Commit(context.Background(), nil, nil); err != nil {
		t.Errorf("next commit got %v, want success: the part still has this owner", err)
	}
}

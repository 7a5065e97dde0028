package store_test

import (
	"context"
	"flag"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// A fixed seed gives the same verdict every time; -rapid.seed on the command line looks for new failures.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "100")

func newChain(table store.Table, node string, c *clock.Clock) *store.Chain {
	return &store.Chain{Store: table, Clock: c, Table: store.WorkTable, Part: "p", Node: node, Incarnation: "b-" + node, SinceBoot: c.Now}
}

// advancing calls f while the fake clock runs.
func advancing(c *clock.Clock, f func() error) error {
	done := make(chan error)
	go func() { done <- f() }()
	for {
		select {
		case err := <-done:
			return err
		default:
			if c.Waiters() > 0 {
				c.Advance(10)
			}
		}
	}
}

// Guards against an owner that takes the lost answer to its own write for the write of another one, and gives up.
func TestLostAnswerIsSettled(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	chain := newChain(table, "a", c)
	ctx := context.Background()
	if err := chain.Claim(ctx, 0); err != nil {
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
	before := chain.Token()
	if err := advancing(c, func() error { return chain.Commit(ctx, nil, nil, nil) }); err != nil {
		t.Errorf("commit got %v, want success: the first attempt was applied", err)
	}
	if got := chain.Token(); got <= before {
		t.Errorf("token got %d, want more than %d", got, before)
	}
}

// Guards against a write of a former owner that is carried out late, after another instance has taken the part.
func TestLateWriteOfAFormerOwner(t *testing.T) {
	table := standin.NewTable()
	c := clock.NewFake(1000)
	first, second := newChain(table, "a", c), newChain(table, "b", c)
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
	row := store.Row{Table: store.WorkTable, Part: "p", Key: store.Key(store.KindRun, "j"), Value: []byte("old")}
	attempt, cancel := context.WithCancel(ctx)
	failed := make(chan error)
	go func() { failed <- first.Commit(attempt, []store.Row{row}, nil, nil) }()
	for c.Waiters() == 0 { // the first attempt is out, and the pause before the next one runs
	}
	cancel()
	if err := <-failed; err == nil {
		t.Error("commit without an answer got success, want an error")
	}
	delay = false
	if err := second.Claim(ctx, 1); err != nil {
		t.Fatal(err)
	}
	table.Settle()
	for _, row := range table.Rows(store.WorkTable) {
		if row.Key == store.Key(store.KindRun, "j") {
			t.Errorf("row got %q, want none: the part had another owner", row.Value)
		}
	}
	if err := first.Commit(ctx, nil, nil, nil); !errorx.IsOfType(err, store.ErrLost) {
		t.Errorf("commit of the former owner got %v, want %v", err, store.ErrLost)
	}
}

// Guards against two owners that both believe that their writes count: over random faults, each applied row was written
// by the owner that the row before it names, and tokens grow.
func TestOneOwnerAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := standin.NewTable()
		c := clock.NewFake(1000)
		faults := rapid.SliceOfN(rapid.IntRange(0, int(standin.TableDelays)), 60, 60).Draw(t, "faults")
		call := 0
		table.Fault = func(store.Transaction) standin.TableFault {
			call++
			if call > len(faults) || call%3 == 0 { // some answers get through, so that each step ends
				return standin.TableWorks
			}
			return standin.TableFault(faults[call-1])
		}
		chains := []*store.Chain{newChain(table, "a", c), newChain(table, "b", c)}
		owns := []bool{false, false}
		tokens := map[int64]string{}
		for range 20 {
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "settle") {
				table.Settle()
			}
			var err error
			if owns[i] {
				err = advancing(c, func() error { return chains[i].Commit(context.Background(), nil, nil, nil) })
			} else {
				var seen int64
				for _, row := range table.Rows(store.WorkTable) {
					seen = row.Version
				}
				err = advancing(c, func() error { return chains[i].Claim(context.Background(), seen) })
			}
			owns[i] = err == nil
			if err != nil {
				continue
			}
			if other, used := tokens[chains[i].Token()]; used && other != chains[i].Node {
				t.Fatalf("token %d belongs to %s and to %s", chains[i].Token(), other, chains[i].Node)
			}
			tokens[chains[i].Token()] = chains[i].Node
		}
	})
}

// Guards against a copy that misses changes when the store drops its history, and against rows that were deleted in the
// gap and stay.
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
	f := &store.Follower{Store: table, Clock: clock.System(), Table: "t", Wait: 20,
		OnLoad: func(rows []store.Row) { loads <- rows }, OnRows: func(rows []store.Row) { changes <- rows }}
	go func() { _ = f.Run(ctx) }() // it ends only with its context
	if got := len(<-loads); got != 2 {
		t.Errorf("rows got %d, want 2", got)
	}
	put("c")
	if got := (<-changes)[0].Key; got != "c" {
		t.Errorf("change got %q, want c", got)
	}
	down.Store(true) // the copy must not see the change before the history is gone
	if _, err := table.Commit(ctx, store.Transaction{Deletes: []store.Row{{Table: "t", Part: "p", Key: "a"}}}); err != nil {
		t.Fatal(err)
	}
	table.Forget()
	down.Store(false)
	for rows := range loads {
		if len(rows) == 2 && rows[0].Key == "b" {
			return
		}
	}
}

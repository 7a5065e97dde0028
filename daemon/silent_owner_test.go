package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// ownedTable is the store as an observer of a part reaches it, and the writes of the owner of that part.
type ownedTable struct {
	*standin.Table
	clock    *clock.Clock
	part     string
	version  int64        // of the owner row
	renewals int          // of the owner so far
	renewed  clock.Millis // time of the last one

	mu       sync.Mutex
	readTime clock.Millis  // duration of each read
	hanging  chan struct{} // not nil: feeds are answered once it is closed, as if the observer had been suspended
}

// renew renews the ownership of instance "owner".
func (t *ownedTable) renew(released bool) error {
	t.renewals++
	value, err := json.Marshal(store.Owner{Node: "owner", WriteID: fmt.Sprintf("owner/1/%d", t.renewals), Released: released})
	if err != nil {
		return err
	}
	result, err := t.Commit(context.Background(), store.Transaction{
		Conditions: []store.Condition{{Table: store.StateTable, Part: t.part, Key: store.OwnerKey, Version: t.version}},
		Puts:       []store.Row{{Table: store.StateTable, Part: t.part, Key: store.OwnerKey, Value: value}}})
	if err == nil && result.Applied {
		t.version, t.renewed = result.Version, t.clock.Now()
	}
	return err
}

func (t *ownedTable) delayRead(ctx context.Context) error {
	t.mu.Lock()
	readTime, hanging := t.readTime, t.hanging
	t.mu.Unlock()
	if hanging != nil {
		<-hanging
	}
	if readTime > 0 {
		return t.clock.Sleep(ctx, readTime)
	}
	return nil
}

func (t *ownedTable) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (store.Page, error) {
	if err := t.delayRead(ctx); err != nil {
		return store.Page{}, store.ErrRejected.Wrap(err, "feed")
	}
	return t.Table.Feed(ctx, table, after, wait)
}

func (t *ownedTable) Range(ctx context.Context, table, part, from string) (store.Page, error) {
	if err := t.delayRead(ctx); err != nil {
		return store.Page{}, store.ErrRejected.Wrap(err, "range")
	}
	return t.Table.Range(ctx, table, part, from)
}

// newObserver returns an instance that follows the state table once its feed runs.
func newObserver(c *clock.Clock, table store.Table) *Daemon {
	d := &Daemon{clock: c, incarnation: "b", table: &store.Monitor{Table: table, Clock: c}}
	d.Settings.Node, d.Settings.CPUShare, d.Settings.CPUSpeed = "observer", 1, 1
	d.followStates(0)
	return d
}

// startObserver starts an instance that watches the part, and returns a function that reports when it claimed the part, 0 if not yet.
func startObserver(ctx context.Context, running *sync.WaitGroup, c *clock.Clock, table store.Table, part string) func() clock.Millis {
	d := newObserver(c, table)
	var mu sync.Mutex
	claimed := clock.Millis(0)
	claimer := &partClaimer{daemon: d, part: part, owned: &d.owned,
		runOwner: func(ctx context.Context, _ *store.Ownership, _ store.OwnerEntry, _ bool) error {
			mu.Lock()
			claimed = c.Now()
			mu.Unlock()
			<-ctx.Done()
			return ctx.Err()
		}}
	running.Go(func() { _ = d.stateFeed.Run(ctx) })
	running.Go(func() { claimer.run(ctx) })
	return func() clock.Millis {
		mu.Lock()
		defer mu.Unlock()
		return claimed
	}
}

// Guards against a part that stays without an owner for seconds because the observers took a pause that the store, or they themselves, had
// forced for the usual interval of the renewals (review case 10, LOST), or because one read of theirs was slow; and against a live owner that
// loses its part while the store is slow.
func TestSilentOwners(t *testing.T) {
	const (
		begin    = 3 * clock.Second // of the trouble
		outage   = 4500 * clock.Millis(1)
		end      = begin + outage
		lost     = end + 700
		usual    = 2 * clock.Second            // a takeover without trouble takes 1.4 s at most
		slow     = 1500 * clock.Millis(1)      // between renewals while the store is slow
		slowRead = 300 * clock.Millis(1)       // duration of a read while the store is slow
		length   = lost + 15*clock.Second      // of a case without a takeover
		never    = clock.Millis(1) * 1_000_000 // a live owner
	)
	between := func(now, from, to clock.Millis) bool { return now >= from && now < to }
	for _, test := range []struct {
		name     string
		pace     clock.Millis // between renewals
		lost     clock.Millis // when the owner renews for the last time
		released bool         // whether it releases the part then
		joins    clock.Millis // when the observer starts
		// step, if set, changes the store at a time; it reports whether the owner cannot renew now.
		step func(t *ownedTable, now clock.Millis) (ownerCutOff bool)
		most clock.Millis // from the last renewal to the claim; 0: none is allowed
	}{
		{"no trouble", 500, lost, false, 0, nil, usual},
		{"the store was down", 500, lost, false, 0, func(t *ownedTable, now clock.Millis) bool {
			down := between(now, begin, end)
			t.Down = func() bool { return down }
			return down
		}, usual},
		{"the owner is lost while the store is down", 500, begin, false, 0, func(t *ownedTable, now clock.Millis) bool {
			down := between(now, begin, end)
			t.Down = func() bool { return down }
			return down
		}, outage + 500 + usual},
		{"the observer was cut off", 500, lost, false, 0, func(t *ownedTable, now clock.Millis) bool {
			cut := between(now, begin, end)
			t.Down = func() bool { return cut }
			return false
		}, usual},
		{"the observer was suspended", 500, lost, false, 0, func(t *ownedTable, now clock.Millis) bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			switch {
			case now == begin:
				t.hanging = make(chan struct{})
			case now == end:
				close(t.hanging)
				t.hanging = nil
			}
			return false
		}, usual},
		{"the store turned the owner away for longer than it may act", 500, never, false, 0,
			func(_ *ownedTable, now clock.Millis) bool { return between(now, begin, begin+2*ownershipTimeout) }, usual},
		{"reads become slow once the owner is lost", 500, lost, false, 0, func(t *ownedTable, now clock.Millis) bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			if now >= lost {
				t.readTime = 2 * slowRead
			}
			return false
		}, takeoverMax + 2*clock.Second},
		{"a part is released while reads are slow", slow, lost, true, 0, func(t *ownedTable, _ clock.Millis) bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.readTime = slowRead
			return false
		}, usual},
		{"the owner is lost while the store is slow", slow, lost, false, 0, func(t *ownedTable, _ clock.Millis) bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.readTime = slowRead
			return false
		}, takeoverMax + clock.Second},
		{"renewals are slow", slow, never, false, 0, nil, 0},
		{"renewals are as late as an owner may act", ownershipTimeout - 100, never, false, 0, nil, 0},
		{"renewals are slow and the history is lost", slow, never, false, 0, func(t *ownedTable, now clock.Millis) bool {
			if now%(2*clock.Second) == 0 {
				t.DropHistory()
			}
			return false
		}, 0},
		{"renewals are slow and the observer was cut off", slow, never, false, 0, func(t *ownedTable, now clock.Millis) bool {
			cut := between(now, begin, begin+5*slow)
			t.Down = func() bool { return cut }
			return false
		}, 0},
		{"renewals are slow and the observer starts late", slow, never, false, begin + 100, nil, 0},
		{"renewals are slow after an outage", slow, never, false, 0, func(t *ownedTable, now clock.Millis) bool {
			down := between(now, begin, end)
			t.Down = func() bool { return down }
			return down
		}, 0},
	} {
		for _, part := range []string{"p", store.FleetPart} {
			t.Run(fmt.Sprintf("%s, part %q", test.name, part), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := clock.NewFake(0)
					table := &ownedTable{Table: standin.NewTable(), clock: c, part: part}
					ctx, cancel := context.WithCancel(context.Background())
					var running sync.WaitGroup
					defer running.Wait()
					defer cancel()
					var claimed func() clock.Millis
					next := clock.Millis(0)
					for now := clock.Millis(0); now < length; now = c.Now() {
						cutOff := test.step != nil && test.step(table, now)
						if now >= next && now <= test.lost && !cutOff && (claimed == nil || claimed() == 0) {
							next = now + test.pace
							released := test.released && next > test.lost
							if err := table.renew(released); err != nil {
								t.Fatal(err)
							}
						}
						if claimed == nil && now >= test.joins {
							claimed = startObserver(ctx, &running, c, table, part)
						}
						synctest.Wait()
						c.Advance(10)
						synctest.Wait()
					}
					most := test.most
					if part == store.FleetPart && most != 0 {
						most += takeoverMinMachines - takeoverMin
					}
					switch at := claimed(); {
					case most == 0 && at != 0:
						t.Errorf("claim got %d ms after the last renewal, want none: the owner is live", at-table.renewed)
					case most != 0 && (at == 0 || at-table.renewed > most):
						t.Errorf("claim got at %d ms, last renewal at %d ms, want a claim at most %d ms after it", at, table.renewed, most)
					}
				})
			})
		}
	}
}

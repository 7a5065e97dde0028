package daemon

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// Times of the ownership of parts.
const (
	// actLimit ends the authority of an owner that could not renew it. Others take over sooner, after takeoverFactor times
	// the pause in which it lately renewed, and takeoverLeast at least: busy owners renew every few milliseconds, and a
	// slow store makes the pauses longer. An order that goes out between the two is harmless: it carries a lower fencing
	// token than the next owner's.
	actLimit       = 3 * clock.Second
	takeoverLeast  = 1 * clock.Second
	takeoverFactor = 2.5
	// takeoverMachines is the least time for the machines: their next owner has to wait before its first order, so that
	// a takeover in vain costs more than it saves.
	takeoverMachines = 2 * clock.Second

	watchPeriod = 60 * clock.Millis(1)
	copyFresh   = 1 * clock.Second       // the copy must be this new to judge an owner by it
	copyHealthy = 1200 * clock.Millis(1) // for which the store must have answered: after an outage, owners renew first
	// A claim waits until the owner has been silent for slowFactor times what a read of the store takes: while the store is
	// slow, owners are late with their renewals, and claims of all instances would keep them from getting through at all.
	slowFactor   = 12
	claimSpread  = 120 * clock.Millis(1) // between instances, so that they do not all claim at once
	claimTimeout = 3 * clock.Second
	// An instance waits claimPerCore for each part that it would own, divided by its processor in cores, less what the strongest
	// instance would wait for its first part: strong instances and those that own nothing go first. Copies of the board are up
	// to boardPeriod apart, so that less would let a weak instance win that sees the vacancy first.
	claimPerCore = 100 * clock.Millis(1)
	usualCores   = 1.0 // of the strongest instance, as long as none is known
	// An instance with less than weakShare of the processor of the strongest one waits weakWait besides: it cannot serve a pool
	// in a surge, and all strong instances that can reach the store have claimed by then.
	weakShare   = 0.5
	weakWait    = 1 * clock.Second
	releaseWait = 1500 * clock.Millis(1) // for the last transactions at the end of a process
)

// tenure is the work of an owner of a part; it returns when the ownership is lost or the context ends.
type tenure func(ctx context.Context, chain *store.Ownership, before store.OwnerEntry, existed bool) error

// elector owns a part whenever no other instance does.
type elector struct {
	daemon *Daemon
	part   string
	lead   tenure
	owned  *atomic.Int32 // parts that this instance owns

	slowUntil clock.Millis // no claim before: the store was slow
}

func (e *elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		if seen, existed, vacant := e.vacant(); vacant {
			delay := e.spread() + e.reluctance()
			if e.daemon.clock.Sleep(ctx, delay) != nil {
				return
			}
			again, _, still := e.vacant()
			if still && again.Version == seen.Version && e.confirmed(ctx, seen) {
				e.claim(ctx, seen, existed)
			}
		}
		if e.daemon.clock.Sleep(ctx, watchPeriod) != nil {
			return
		}
	}
}

// vacant reports whether the part has no owner that is alive, as far as a fresh copy of the table tells.
func (e *elector) vacant() (seen store.OwnerEntry, existed, vacant bool) {
	d := e.daemon
	if d.boardFeed.Age() > copyFresh {
		return seen, false, false
	}
	seen, existed = d.board.Owner(e.part)
	takeoverAfter := max(e.takeoverLeast(), clock.Millis(takeoverFactor*float64(seen.MaxRenewalInterval())))
	switch {
	case !existed, seen.Owner.Released:
		return seen, existed, true
	case seen.Owner.Node == d.Settings.Node:
		// An earlier life of this process, which cannot act any more.
		return seen, existed, seen.Owner.Incarnation() != d.incarnation || d.clock.Now()-seen.FirstSeen > takeoverAfter
	}
	return seen, existed, d.clock.Now()-seen.FirstSeen > takeoverAfter && d.boardFeed.Healthy() > copyHealthy
}

func (e *elector) takeoverLeast() clock.Millis {
	if e.part == store.FleetPart {
		return takeoverMachines
	}
	return takeoverLeast
}

// confirmed reports whether the store still has the row of the owner that was seen, and is not just slow.
func (e *elector) confirmed(ctx context.Context, seen store.OwnerEntry) bool {
	d := e.daemon
	started := d.clock.Now()
	if started < e.slowUntil {
		return false
	}
	page, err := d.table.Range(ctx, store.StateTable, e.part, store.OwnerKey)
	if err != nil {
		return false // the feed tells when the store is back
	}
	version := int64(0)
	if len(page.Rows) > 0 && page.Rows[0].Key == store.OwnerKey {
		version = page.Rows[0].Version
	}
	took := d.clock.Now() - started
	if silent := d.clock.Now() - seen.FirstSeen; version == seen.Version && silent < slowFactor*took && !seen.Owner.Released {
		e.slowUntil = seen.FirstSeen + slowFactor*took
		eventSlowStore.Log(ctx, d.Logger, slog.String("part", e.part), slog.Int64("read-ms", int64(took)),
			slog.Int64("unchanged-ms", int64(silent)))
		return false
	}
	return version == seen.Version
}

// spread gives each instance its own place in the queue for each part.
func (e *elector) spread() clock.Millis {
	h := fnv.New32a()
	h.Write([]byte(e.daemon.Settings.Node + "/" + e.part)) // a hash never fails to write
	return clock.Millis(h.Sum32()) % claimSpread
}

// reluctance is how long this instance lets others go first.
func (e *elector) reluctance() clock.Millis {
	strongest := e.daemon.board.MostCores()
	if strongest == 0 {
		strongest = usualCores
	}
	return reluctance(int(e.owned.Load())+1, e.daemon.Settings.Cores(), strongest)
}

func reluctance(parts int, cores, strongest float64) clock.Millis {
	wait := max(clock.Millis(float64(claimPerCore)*(float64(parts)/cores-1/strongest)), 0)
	if cores < weakShare*strongest {
		wait += weakWait
	}
	return wait
}

func (e *elector) claim(ctx context.Context, seen store.OwnerEntry, existed bool) {
	d := e.daemon
	eventVacant.Log(ctx, d.Logger, slog.String("part", e.part), slog.String("owner", seen.Owner.Node),
		slog.Bool("released", seen.Owner.Released), slog.Int64("unchanged-ms", int64(d.clock.Now()-seen.FirstSeen)),
		slog.Int64("version", seen.Version))
	chain := &store.Ownership{Store: d.table, Clock: d.clock, Logger: d.Logger, Part: e.part,
		Node: d.Settings.Node, Cores: d.Settings.Cores(), Incarnation: d.incarnation, SinceBoot: d.sinceBoot}
	claimContext, cancel := d.clock.WithTimeout(ctx, claimTimeout)
	err := chain.Claim(claimContext, seen.Version)
	cancel()
	if err != nil {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", e.part), slog.String("error", err.Error()))
		return
	}
	e.owned.Add(1)
	defer e.owned.Add(-1)
	leadContext, cancel := context.WithCancel(ctx)
	err = e.lead(leadContext, chain, seen, existed)
	cancel()
	if err != nil && !errors.Is(err, context.Canceled) {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", e.part), slog.String("error", err.Error()))
	}
	if ctx.Err() != nil && !errorx.IsOfType(err, store.ErrLost) {
		e.release(chain)
	}
}

// release lets another instance take over at once when this one stops.
func (e *elector) release(chain *store.Ownership) {
	d := e.daemon
	ctx, cancel := d.clock.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	if err := chain.Release(ctx); err != nil {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", e.part), slog.String("error", err.Error()))
	}
}

// catchUp waits until the copies have everything that earlier owners stored, and what workers say of themselves now.
func (d *Daemon) catchUp(ctx context.Context) error {
	feeds := append([]*store.Follower{d.boardFeed}, d.ownerFeeds...)
	failures := make(chan error, len(feeds))
	for _, f := range feeds {
		go func() { failures <- f.CatchUp(ctx) }()
	}
	var first error
	for range feeds {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// settle waits for the transaction in flight at the end of a tenure, so that the next one of the chain can give the part
// up.
func (d *Daemon) settle(events *mailbox[func()], committing *bool) {
	end := d.clock.Now() + releaseWait
	for *committing && d.clock.Now() < end {
		for _, handle := range events.take() {
			handle()
		}
		_ = d.clock.Sleep(context.Background(), planPeriod) // this context has no end
	}
}

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
	// actLimit ends the authority of an owner that could not renew it; takeoverAfter is how long others wait. An order
	// that goes out between the two is harmless: it carries a lower fencing token than the next owner's.
	actLimit      = 3 * clock.Second
	takeoverAfter = 2 * clock.Second

	watchPeriod   = 60 * clock.Millis(1)
	copyFresh     = 1 * clock.Second       // the copy must be this new to judge an owner by it
	copyHealthy   = 1200 * clock.Millis(1) // for which the store must have answered: after an outage, owners renew first
	claimSpread   = 120 * clock.Millis(1)  // between instances, so that they do not all claim at once
	claimPerOwned = 150 * clock.Millis(1)  // an instance that owns other parts lets others go first
	claimTimeout  = 3 * clock.Second
	releaseWait   = 1500 * clock.Millis(1) // for the last transactions at the end of a process
)

// tenure is the work of an owner of a part; it returns when the ownership is lost or the context ends.
type tenure func(ctx context.Context, chain *store.Chain, before store.Seen, existed bool) error

// elector owns a part whenever no other instance does.
type elector struct {
	daemon *Daemon
	part   string
	lead   tenure
	owned  *atomic.Int32 // parts that this instance owns
}

func (e *elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		if seen, existed, vacant := e.vacant(); vacant {
			delay := e.spread() + clock.Millis(e.owned.Load())*claimPerOwned
			if e.daemon.clock.Sleep(ctx, delay) != nil {
				return
			}
			again, _, still := e.vacant()
			if still && again.Version == seen.Version {
				e.claim(ctx, seen, existed)
			}
		}
		if e.daemon.clock.Sleep(ctx, watchPeriod) != nil {
			return
		}
	}
}

// vacant reports whether the part has no owner that is alive, as far as a fresh copy of the table tells.
func (e *elector) vacant() (seen store.Seen, existed, vacant bool) {
	d := e.daemon
	if d.work.Age() > copyFresh {
		return seen, false, false
	}
	seen, existed = d.jobs.Owner(e.part)
	switch {
	case !existed, seen.Owner.Released:
		return seen, existed, true
	case seen.Owner.Node == d.Settings.Node:
		// An earlier life of this process, which cannot act any more.
		return seen, existed, seen.Owner.Incarnation() != d.incarnation || d.clock.Now()-seen.At > takeoverAfter
	}
	return seen, existed, d.clock.Now()-seen.At > takeoverAfter && d.work.Healthy() > copyHealthy
}

// spread gives each instance its own place in the queue for each part.
func (e *elector) spread() clock.Millis {
	h := fnv.New32a()
	h.Write([]byte(e.daemon.Settings.Node + "/" + e.part)) // a hash never fails to write
	return clock.Millis(h.Sum32()) % claimSpread
}

func (e *elector) claim(ctx context.Context, seen store.Seen, existed bool) {
	d := e.daemon
	eventVacant.Log(ctx, d.Logger, slog.String("part", e.part), slog.String("owner", seen.Owner.Node),
		slog.Bool("released", seen.Owner.Released), slog.Int64("unchanged-ms", int64(d.clock.Now()-seen.At)),
		slog.Int64("version", seen.Version))
	chain := &store.Chain{Store: d.Table, Clock: d.clock, Logger: d.Logger, Table: store.WorkTable, Part: e.part,
		Node: d.Settings.Node, Incarnation: d.incarnation, SinceBoot: d.sinceBoot}
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
func (e *elector) release(chain *store.Chain) {
	d := e.daemon
	ctx, cancel := d.clock.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	if err := chain.Release(ctx); err != nil {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", e.part), slog.String("error", err.Error()))
	}
}

// catchUp waits until the copy of the table has everything that earlier owners stored.
func (d *Daemon) catchUp(ctx context.Context, chain *store.Chain) error {
	ctx, cancel := d.clock.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	return d.work.WaitFor(ctx, chain.Token())
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

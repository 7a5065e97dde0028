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
	// An owner that has not renewed its ownership for ownershipTimeout sends no more orders. Other instances may take over
	// sooner: once the owner's row is unchanged for takeoverFactor times the longest of its last intervals between renewals, and
	// for at least takeoverMin. The intervals count because busy owners renew every few milliseconds, and a slow store makes the
	// intervals longer. An order that the old owner sends after a takeover is harmless: its fencing token is lower than that of
	// the new owner.
	ownershipTimeout = 3 * clock.Second
	takeoverMin      = 1 * clock.Second
	takeoverFactor   = 2.5
	// takeoverMax bounds the wait for a renewal, and applies while no interval is known. An owner that may still send orders has renewed
	// within ownershipTimeout, and a copy from which parts are claimed shows that maxCopyAge later.
	takeoverMax = ownershipTimeout + maxCopyAge
	// MinLeaseLimit is the shortest Settings.LeaseLimit with which the leases of workers outlast the loss of the owner that renews them.
	MinLeaseLimit = takeoverMax
	// takeoverMinMachines replaces takeoverMin for the part of the machines: a new owner there has to wait before its first
	// order, so an unnecessary takeover costs more time than an early one saves.
	takeoverMinMachines = 2 * clock.Second

	watchPeriod    = 60 * clock.Millis(1)   // between two checks of the owner
	maxCopyAge     = 1 * clock.Second       // of the copy of StateTable; an older one does not show whether an owner is alive
	minFeedHealthy = 1200 * clock.Millis(1) // the store must have answered for this long: owners renew first after an outage
	// A claim is deferred until the owner's row is unchanged for slowReadFactor times the duration of a read, at most for takeoverMax:
	// while the store is slow, owners renew late, and claims of all instances would add load that keeps the renewals from getting through.
	slowReadFactor = 12
	maxClaimJitter = 120 * clock.Millis(1) // spreads the claims of the instances
	claimTimeout   = 3 * clock.Second
	// claimReads is the timeout of the first attempt at a claim, as a multiple of the duration of a read. A transaction takes about twice as
	// long as a read and may wait for others in its part; repeating it before its answer adds to that wait.
	claimReads = 6
	// An instance delays its claim by claimDelayPerPart * (parts/cores - 1/strongest), where parts is the number of parts that it
	// would own, cores its processor and strongest that of the strongest instance, both in cores. Strong instances and those
	// that own nothing claim first. The copies of StateTable on two instances can be statePeriod apart; with a shorter delay, a
	// weak instance that sees first that the part has no owner would claim it before a strong one.
	claimDelayPerPart = 200 * clock.Millis(1)
	defaultCores      = 1.0 // assumed processor of the strongest instance while none is known
	// An instance with less than weakShare of the processor of the strongest one waits weakClaimDelay in addition: it is too slow
	// for a pool under peak load, and all strong instances that can reach the store have claimed by then.
	weakShare      = 0.5
	weakClaimDelay = 700 * clock.Millis(1)
	// maxClaimDelay bounds the delay, counted from when this instance found that the part has no owner: a stronger or less loaded
	// instance, if there is one, has claimed the part by then.
	maxClaimDelay  = 3 * clock.Second
	releaseTimeout = 1500 * clock.Millis(1) // of the last transaction of an owner, and of the one that releases the part
)

// ownerFunc does the work of the owner of a part. It returns when the ownership is lost or the context ends. The arguments previous
// and existed describe the owner's row before the claim.
type ownerFunc func(ctx context.Context, ownership *store.Ownership, previous store.OwnerEntry, existed bool) error

// partClaimer watches a part, claims it when it has no live owner, and then runs runOwner until the ownership ends.
type partClaimer struct {
	daemon   *Daemon
	part     string
	runOwner ownerFunc
	owned    *atomic.Int32 // number of parts that this instance owns or is claiming

	// No claim that replaces this version of the owner's row is made before deferredUntil, as the store was slow.
	deferredVersion int64
	deferredUntil   clock.Millis
	lastRead        clock.Millis // duration of the newest read of the owner's row
	vacantSince     clock.Millis // when this instance found that the part has no owner; 0 while it has one
}

func (c *partClaimer) run(ctx context.Context) {
	for ctx.Err() == nil {
		seen, existed, vacant := c.vacant()
		if !vacant {
			c.vacantSince = 0
		} else {
			if c.vacantSince == 0 {
				c.vacantSince = max(c.daemon.clock.Now(), 1)
			}
			owned := c.owned.Load()
			left := max(c.vacantSince+maxClaimDelay-c.daemon.clock.Now(), 0)
			delay := c.claimJitter() + min(c.claimDelay(), left)
			if c.daemon.clock.Sleep(ctx, delay) != nil {
				return
			}
			again, _, still := c.vacant()
			// If this instance has claimed another part meanwhile, an instance that owns nothing comes first.
			if still && again.Version == seen.Version && c.confirmed(ctx, seen) && c.owned.CompareAndSwap(owned, owned+1) {
				c.claim(ctx, seen, existed)
				c.owned.Add(-1)
				c.vacantSince = 0
			}
		}
		if c.daemon.clock.Sleep(ctx, watchPeriod) != nil {
			return
		}
	}
}

// vacant reports whether the part has no live owner: there was none, it released the part, or it has not renewed for too long. It
// reports false while the copy of the table is too old to decide.
func (c *partClaimer) vacant() (seen store.OwnerEntry, existed, vacant bool) {
	d := c.daemon
	if d.stateFeed.Age() > maxCopyAge {
		return seen, false, false
	}
	seen, existed = d.stateCache.Owner(c.part)
	unchanged := d.clock.Now() - seen.FirstSeen
	switch {
	case !existed, seen.Owner.Released:
		return seen, existed, true
	case seen.Owner.Node == d.Settings.Node:
		// An earlier incarnation of this process, which has ended and can send no orders.
		return seen, existed, seen.Owner.Incarnation() != d.incarnation || unchanged > c.takeoverAfter(seen)
	}
	// While the store was away, or this instance was cut off or suspended, the owner could not renew, or its renewals were not seen.
	healthy := d.stateFeed.HealthyFor()
	return seen, existed, min(unchanged, healthy) > c.takeoverAfter(seen) && healthy > minFeedHealthy
}

// takeoverAfter returns for how long this instance must have seen the owner's row unchanged before it takes the part over.
func (c *partClaimer) takeoverAfter(seen store.OwnerEntry) clock.Millis {
	interval, known := seen.RenewalInterval()
	if !known {
		return takeoverMax
	}
	least := takeoverMin
	if c.part == store.FleetPart {
		least = takeoverMinMachines
	}
	return min(max(least, clock.Millis(takeoverFactor*float64(interval))), takeoverMax)
}

// confirmed reads the owner's row from the store and reports whether it is unchanged. It reports false while reads are so slow that
// the owner may only be late with its renewal.
func (c *partClaimer) confirmed(ctx context.Context, seen store.OwnerEntry) bool {
	d := c.daemon
	started := d.clock.Now()
	if c.deferredVersion == seen.Version && started < c.deferredUntil {
		return false
	}
	page, err := d.table.Range(ctx, store.StateTable, c.part, store.OwnerKey)
	if err != nil {
		return false // the feed shows when the store answers again
	}
	version := int64(0)
	if len(page.Rows) > 0 && page.Rows[0].Key == store.OwnerKey {
		version = page.Rows[0].Version
	}
	took := d.clock.Now() - started
	c.lastRead = took
	wait := min(slowReadFactor*took, takeoverMax)
	if silent := d.clock.Now() - seen.FirstSeen; version == seen.Version && silent < wait && !seen.Owner.Released {
		c.deferredVersion, c.deferredUntil = seen.Version, seen.FirstSeen+wait
		eventClaimDeferred.Log(ctx, d.Logger, slog.String("part", c.part), slog.Int64("read-ms", int64(took)),
			slog.Int64("unchanged-ms", int64(silent)))
		return false
	}
	return version == seen.Version
}

// claimJitter returns a delay below maxClaimJitter that depends on the instance and the part only.
func (c *partClaimer) claimJitter() clock.Millis {
	h := fnv.New32a()
	h.Write([]byte(c.daemon.Settings.Node + "/" + c.part)) // writing to a hash never fails
	return clock.Millis(h.Sum32()) % maxClaimJitter
}

// claimDelay returns for how long this instance leaves the claim to stronger or less loaded ones.
func (c *partClaimer) claimDelay() clock.Millis {
	strongest := c.daemon.stateCache.MostCores()
	if strongest == 0 {
		strongest = defaultCores
	}
	return claimDelay(int(c.owned.Load())+1, c.daemon.Settings.Cores(), strongest)
}

// claimDelay returns the delay of an instance that would own the given number of parts. It has the given processor in cores;
// strongest is that of the strongest instance.
func claimDelay(parts int, cores, strongest float64) clock.Millis {
	wait := max(clock.Millis(float64(claimDelayPerPart)*(float64(parts)/cores-1/strongest)), 0)
	if cores < weakShare*strongest {
		wait += weakClaimDelay
	}
	return wait
}

// claim claims the part and, if that succeeds, runs its owner until the ownership ends. The caller has counted the part as owned.
func (c *partClaimer) claim(ctx context.Context, seen store.OwnerEntry, existed bool) {
	d := c.daemon
	interval, _ := seen.RenewalInterval()
	eventVacant.Log(ctx, d.Logger, slog.String("part", c.part), slog.String("owner", seen.Owner.Node),
		slog.Bool("released", seen.Owner.Released), slog.Int64("unchanged-ms", int64(d.clock.Now()-seen.FirstSeen)),
		slog.Int64("interval-ms", int64(interval)), slog.Int64("healthy-ms", int64(d.stateFeed.HealthyFor())),
		slog.Int64("version", seen.Version))
	ownership := &store.Ownership{Store: d.table, Clock: d.clock, Logger: d.Logger, Part: c.part,
		Node: d.Settings.Node, Cores: d.Settings.Cores(), Incarnation: d.incarnation, SinceBoot: d.sinceBoot,
		FirstTimeout: claimReads * c.lastRead}
	claimContext, cancel := d.clock.WithTimeout(ctx, claimTimeout)
	err := ownership.Claim(claimContext, seen.Version)
	cancel()
	if err != nil {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", c.part), slog.String("error", err.Error()))
		return
	}
	ownerContext, cancel := context.WithCancel(ctx)
	err = c.runOwner(ownerContext, ownership, seen, existed)
	cancel()
	if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, errHandedOver) {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", c.part), slog.String("error", err.Error()))
	}
	if (ctx.Err() != nil || errors.Is(err, errHandedOver)) && !errorx.IsOfType(err, store.ErrLost) {
		c.release(ownership)
	}
}

// release stores that the part has no owner, so that another instance can claim it without waiting.
func (c *partClaimer) release(ownership *store.Ownership) {
	d := c.daemon
	ctx, cancel := d.clock.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := ownership.Release(ctx); err != nil {
		eventClaimFailed.Log(ctx, d.Logger, slog.String("part", c.part), slog.String("error", err.Error()))
	}
}

// catchUp waits until the copies include all changes that were stored before the call: those of earlier owners, and the current
// entries of workers.
func (d *Daemon) catchUp(ctx context.Context) error {
	feeds := append([]*store.Follower{d.stateFeed}, d.ownerFeeds...)
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

// awaitCommit waits up to releaseTimeout for the transaction in flight when the ownership ends, so that the next transaction of the
// chain can release the part.
func (d *Daemon) awaitCommit(events *workQueue[func()], committing *bool) {
	end := d.clock.Now() + releaseTimeout
	for *committing && d.clock.Now() < end {
		for _, handle := range events.takeAll() {
			handle()
		}
		_ = d.clock.Sleep(context.Background(), planPeriod) // fails only if the context ends
	}
}

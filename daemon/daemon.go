package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/door"
	"magnoliaferry/front"
	"magnoliaferry/machines"
	"magnoliaferry/metrics"
	"magnoliaferry/platform"
	"magnoliaferry/pool"
	"magnoliaferry/store"
)

// Times of an instance.
const (
	// Periods are the pauses between two polls of a table.
	statePeriod    = 200 * clock.Millis(1) // StateTable; the states in answers to callers may be up to 3 s old, counts of jobs up to 2 s
	jobsPeriod     = 50 * clock.Millis(1)  // jobs of a pool, polled by its owner
	fleetPeriod    = 50 * clock.Millis(1)  // FleetTable, polled by owners, and ReportsTable, polled by the owner of the machines
	workersPeriod  = 100 * clock.Millis(1) // short, as an owner waits for machines that have moved to its pool
	feedWait       = 500 * clock.Millis(1) // for which the store holds a poll open when there are no changes
	operatorPeriod = 100 * clock.Millis(1)
	operatorWait   = 1 * clock.Second // as feedWait, for the tables of operators and workers
	// An instance reports that it is not ready while its copy of StateTable is older than readyAge or the store has not
	// answered for readySilence: other instances serve callers better then. The balancer polls once a second and takes the
	// instance out after two failed polls.
	readyAge     = 2500 * clock.Millis(1)
	readySilence = 1 * clock.Second
	drainTime    = 3 * clock.Second // from SIGTERM to the end of listening; the balancer stops sending requests meanwhile
)

var (
	commitTime = metrics.NewHistogram("commit-ms") // of an owner's transaction
	grantTime  = metrics.NewHistogram("grant-ms")  // of a transaction on the grants of a pool
	startTime  = metrics.NewHistogram("start-ms")  // from sending a start to the worker's answer
)

// Daemon is one instance. Exported fields are set before Run.
type Daemon struct {
	Settings Settings
	Logger   *slog.Logger
	Table    store.Table
	Workers  pool.Workers
	Advisor  pool.Advisor
	// Machines is nil if this instance must not send orders for machines.
	Machines machines.Platform

	clock         *clock.Clock
	bootClock     func() clock.Millis // of tests, in place of clock.SinceBoot
	incarnation   string
	table         *store.Monitor // wraps Table; all calls go through it
	stateCache    *store.StateCache
	stateFeed     *store.Follower
	workers       *workerList
	fleet         store.TableCache // of FleetTable
	reports       store.TableCache // of ReportsTable
	grants        store.TableCache // of GrantsTable
	capped        atomic.Bool      // a customer of this configuration, or of one before, has a cap
	operatorFeed  *store.Follower
	confirming    atomic.Bool       // the operators' table is being read to confirm the configuration
	ownerFeeds    []*store.Follower // idle while this instance owns no part
	reportsFeed   *store.Follower   // idle while this instance does not own the machines
	configuration atomic.Pointer[batch.Configuration]
	confirmation  confirmation // of configuration; used only with a limit for withdrawn keys
	owned         atomic.Int32 // number of parts that this instance owns or is claiming
	ownsMachines  atomic.Bool
	machineOwner  atomic.Pointer[machineOwner] // nil while another instance owns the machines
	stopping      atomic.Bool

	mu       sync.Mutex
	owners   map[*poolOwner]bool  // of the pools that this instance owns
	claimers map[string]bool      // parts for which a partClaimer runs
	waves    map[int64]batch.Wave // by number
}

func (d *Daemon) wall() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

func (d *Daemon) sinceBoot() clock.Millis {
	if d.bootClock != nil {
		return d.bootClock()
	}
	return clock.SinceBoot()
}

func fixedPeriod(period clock.Millis) func() clock.Millis {
	return func() clock.Millis { return period }
}

// follower returns a follower of a table.
func (d *Daemon) follower(table string, period, wait clock.Millis, load, apply func(rows []store.Row)) *store.Follower {
	return &store.Follower{Store: d.table, Clock: d.clock, Logger: d.Logger, Table: table, Period: fixedPeriod(period), Wait: wait,
		OnLoad: load, OnRows: apply}
}

// followStates creates the copy of StateTable and its follower, which waits at the store for the given time.
func (d *Daemon) followStates(wait clock.Millis) {
	d.stateCache = store.NewStateCache(d.clock, d.Logger)
	d.stateFeed = d.follower(store.StateTable, statePeriod, wait, d.stateCache.Load, d.stateCache.Apply)
	d.stateCache.ObservedFor = d.stateFeed.HealthyFor
}

// followOperators returns the follower of the operators' table, which passes rows to apply.
func (d *Daemon) followOperators(apply func(rows []store.Row)) *store.Follower {
	feed := d.follower(platform.TableOperator, operatorPeriod, d.operatorFeedWait(), nil, apply)
	feed.OnLoad = func(rows []store.Row) { apply(rows); d.confirmation.loaded(rows) }
	feed.NewestOnly = true // each configuration is complete; only older versions of the same row are skipped, so that no wave is lost
	if d.Settings.RevocationLimit > 0 {
		feed.SinceBoot, feed.OnCurrent = d.sinceBoot, d.confirmation.confirm
		// Calls that were sent during the outage can hang until their timeouts, while callers with keys are refused.
		d.table.OnRecovery = func() { feed.Hurry(); d.stateFeed.Hurry() }
	}
	return feed
}

// service returns the service for callers.
func (d *Daemon) service() *front.Service {
	s := &front.Service{Table: d.table, States: d.stateCache, Clock: d.clock, Logger: d.Logger,
		Configuration: d.configurationForCallers, Reachable: d.table.Reachable, CopyAge: d.stateFeed.Age, WallClock: d.wall}
	s.TombstoneRate = cmp.Or(d.Settings.Doors.CancelsPerS, defaultCancelsPerS)
	if d.Settings.RevocationLimit > 0 {
		s.KeysConfirmed = d.keysConfirmed
	}
	return s
}

// Run serves until the context ends, and then shuts down gracefully: after drainTime, requests in progress may end within the rest of
// StopGrace less one second, and within at least one second. It returns an error if the server for callers or for readiness cannot
// listen, or if any server fails.
func (d *Daemon) Run(ctx context.Context) error {
	d.clock = clock.System()
	d.incarnation = uuid.NewString()
	d.table = &store.Monitor{Table: d.Table, Clock: d.clock, Logger: d.Logger}
	d.owners, d.claimers = map[*poolOwner]bool{}, map[string]bool{}
	d.waves = map[int64]batch.Wave{}
	d.followStates(feedWait)
	d.workers = newWorkerList(d.clock, d.Logger, d.workerChanged)
	d.fleet.OnRows = d.fleetChanged
	d.reports.OnRows = func([]store.Row) { d.wakeMachineOwner() }
	workersFeed := d.follower(platform.TableWorkers, workersPeriod, operatorWait, d.workers.load, d.workers.apply)
	d.workers.healthy = workersFeed.HealthyFor
	d.ownerFeeds = []*store.Follower{
		workersFeed,
		d.follower(store.FleetTable, fleetPeriod, feedWait, d.fleet.Load, d.fleet.Apply),
	}
	for _, f := range d.ownerFeeds {
		f.Idle = func() bool { return d.owned.Load() == 0 }
	}
	d.reportsFeed = d.follower(store.ReportsTable, fleetPeriod, feedWait, d.reports.Load, d.reports.Apply)
	d.reportsFeed.Idle = func() bool { return !d.ownsMachines.Load() }
	grantsFeed := d.followGrants()
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	claimContext, stopClaimers := context.WithCancel(follow)
	defer stopClaimers()
	var claimersDone sync.WaitGroup
	d.operatorFeed = d.followOperators(func(rows []store.Row) { d.operatorRows(claimContext, &claimersDone, rows) })
	for _, f := range append([]*store.Follower{d.stateFeed, d.reportsFeed, grantsFeed, d.operatorFeed}, d.ownerFeeds...) {
		go func() { _ = f.Run(follow) }() // returns only when its context ends
	}
	go func() { _ = d.table.Run(follow) }() // returns only when its context ends
	go d.settleLayout(follow)
	callersDoor, callers := d.callersServer(&platform.Front{Service: d.service()})
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, d.ready)
	readyDoor, ready := d.newDoor("ready", readyPlaces, door.WithoutBodies(mux))
	failed := make(chan error, 3)
	d.serveMetrics(follow, failed)
	if err := serve(follow, callersDoor, callers, d.Settings.Listen.Callers, failed); err != nil {
		return err
	}
	if err := serve(follow, readyDoor, ready, d.Settings.Listen.Ready, failed); err != nil {
		return err
	}
	eventStarted.Log(ctx, d.Logger, slog.String("node", d.Settings.Node), slog.String("zone", d.Settings.Zone),
		slog.String("incarnation", d.incarnation))
	select {
	case <-ctx.Done():
	case err := <-failed:
		eventListenFailed.Log(ctx, d.Logger, slog.String("error", err.Error()))
		return err
	}
	d.shutDown(callers, stopClaimers, &claimersDone)
	_ = ready.Close() // the balancer no longer uses this instance
	eventStopped.Log(ctx, d.Logger, slog.String("node", d.Settings.Node))
	return nil
}

// shutDown releases the owned parts, waits for the balancer to take this instance out, and closes the callers' server once the
// requests in progress have been answered or the grace period is over.
func (d *Daemon) shutDown(callers *http.Server, stopClaimers func(), claimersDone *sync.WaitGroup) {
	eventStopping.Log(context.Background(), d.Logger, slog.String("node", d.Settings.Node), slog.Int("owned", int(d.owned.Load())))
	d.stopping.Store(true)
	stopClaimers()
	started := d.clock.Now()
	claimersDone.Wait()
	if rest := drainTime - (d.clock.Now() - started); rest > 0 {
		_ = d.clock.Sleep(context.Background(), rest) // fails only if the context ends
	}
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := d.clock.WithTimeout(context.Background(), max(d.Settings.StopGrace.Millis()-drainTime-clock.Second, clock.Second))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		eventListenFailed.Log(ctx, d.Logger, slog.String("error", err.Error()))
	}
}

// serveMetrics serves expvar if the settings have an address for it. If it cannot listen, it logs this and the instance runs on.
func (d *Daemon) serveMetrics(ctx context.Context, failed chan<- error) {
	if d.Settings.Metrics == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	guard, server := d.newDoor("metrics", metricsPlaces, door.WithoutBodies(mux))
	if err := serve(ctx, guard, server, d.Settings.Metrics, failed); err != nil {
		eventListenFailed.Log(ctx, d.Logger, slog.String("error", err.Error()))
		return
	}
	d.publish()
	d.publishCustomers()
}

// publish adds the gauges of the instance to expvar.
func (d *Daemon) publish() {
	expvar.Publish("instance", expvar.Func(func() any {
		version := int64(0)
		if c := d.configuration.Load(); c != nil {
			version = c.Version
		}
		var confirmationAge *clock.Millis
		if age, ok := d.confirmation.age(d.sinceBoot()); ok {
			confirmationAge = &age
		}
		return struct {
			CopyAge       clock.Millis `json:"copy-age-ms"`
			Configuration int64        `json:"configuration"`
			Owned         int32        `json:"owned-parts"`
			Jobs          int          `json:"jobs-known"`
			// ConfirmationAge is absent without a confirmation of the keys, and without a limit for withdrawn keys.
			ConfirmationAge *clock.Millis `json:"keys-confirmed-age-ms,omitempty"`
		}{d.stateFeed.Age(), version, d.owned.Load(), d.stateCache.Len(), confirmationAge}
	}))
}

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.configurationForCallers() == nil || d.stateFeed.Age() > readyAge || d.table.SinceLastAnswer() > readySilence {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if d.Settings.RevocationLimit > 0 && !d.keysConfirmed() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorRows applies rows of the operators' table. It records waves, puts a newer configuration in force, and starts a claimer
// for each part that the configuration adds.
func (d *Daemon) operatorRows(ctx context.Context, claimersDone *sync.WaitGroup, rows []store.Row) {
	for _, row := range rows {
		if row.Part != "" {
			continue // operators write into the empty part
		}
		if row.Deleted {
			if isConfiguration(row) {
				d.confirmation.ignored(row)
			}
			continue
		}
		wave, isWave, err := platform.DecodeWave(row)
		if err != nil {
			eventUnreadableConfig.Log(ctx, d.Logger, slog.Int64("row", row.Version), slog.String("error", err.Error()))
		}
		if isWave {
			d.mu.Lock()
			d.waves[wave.Number] = wave
			d.mu.Unlock()
		}
		if row.Key != platform.KeyConfiguration {
			continue
		}
		c, err := platform.DecodeConfiguration(row.Value)
		if err != nil {
			eventUnreadableConfig.Log(ctx, d.Logger, slog.Int64("row", row.Version), slog.String("error", err.Error()))
			d.confirmation.ignored(row)
			continue
		}
		if before := d.configuration.Load(); before != nil && before.Version >= c.Version {
			d.confirmation.ignored(row)
			continue
		}
		d.configuration.Store(c)
		if hasCaps(c) {
			d.capped.Store(true) // for good: jobs of a customer that is removed still obey its row of grants
		}
		d.confirmation.putInForce(row)
		eventConfigInForce.Log(ctx, d.Logger, slog.Int64("version", c.Version), slog.Int("queues", len(c.Queues)))
		d.eachOwner(func(o *poolOwner) { o.events.put(func() { o.configure(c) }) })
		if d.Machines != nil {
			d.startClaimer(ctx, claimersDone, store.FleetPart, d.runMachineOwner)
		}
		for i := range c.Pools {
			d.startClaimer(ctx, claimersDone, c.Pools[i].Name, d.poolOwnerFunc(c.Pools[i].Name))
		}
	}
}

// startClaimer starts a goroutine that claims the part whenever it has no owner. It does nothing if there is one already.
func (d *Daemon) startClaimer(ctx context.Context, claimersDone *sync.WaitGroup, part string, runOwner ownerFunc) {
	d.mu.Lock()
	known := d.claimers[part]
	d.claimers[part] = true
	d.mu.Unlock()
	if known || ctx.Err() != nil {
		return
	}
	claimer := &partClaimer{daemon: d, part: part, runOwner: runOwner, owned: &d.owned}
	claimersDone.Go(func() {
		if d.awaitLayout(ctx) {
			claimer.run(ctx)
		}
	})
}

// workerChanged passes a change of a worker to the owner of its pool, if that is this instance.
func (d *Daemon) workerChanged(w batch.Worker, gone bool) {
	d.eachOwner(func(o *poolOwner) {
		if o.pool == w.Pool {
			o.events.put(func() {
				if gone {
					o.scheduler.RemoveWorker(w.ID)
				} else {
					o.scheduler.SetWorker(w)
				}
			})
		}
	})
}

// fleetChanged passes withdrawals of machines to the owners of pools, and wakes the owner of the machines, which reads the cordons
// that the owners of pools have stored.
func (d *Daemon) fleetChanged(rows []store.Row) {
	waves := false
	for _, row := range rows {
		kind, _ := store.SplitKey(row.Key)
		waves = waves || kind == store.KindWave
	}
	d.eachOwner(func(o *poolOwner) {
		o.events.put(func() {
			for _, row := range rows {
				if kind, _ := store.SplitKey(row.Key); kind == store.KindWithdrawal && row.Part == store.FleetPart {
					o.applyWithdrawal(row)
				}
			}
			if waves {
				o.scheduler.SetMaintenanceDue(d.dueMachines())
			}
		})
	})
	d.wakeMachineOwner()
}

// dueMachines returns the machines of waves in progress. The value is true for a machine whose maintenance has not begun yet,
// according to what the owner of the machines has stored.
func (d *Daemon) dueMachines() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := map[string]bool{}
	for number, wave := range d.waves {
		row, ok := d.fleet.Row(store.FleetPart, store.Key(store.KindWave, fmt.Sprint(number)))
		if !ok {
			continue // the wave has not begun
		}
		var state machines.WaveState
		if err := json.Unmarshal(row.Value, &state); err != nil {
			eventUnreadableWave.Log(context.Background(), d.Logger, slog.Int64("wave", number), slog.String("error", err.Error()))
			continue
		}
		if state.Completed {
			continue
		}
		for _, machine := range wave.Machines {
			due[machine] = due[machine] || !slices.Contains(state.Begun, machine)
		}
	}
	return due
}

// configurationAge returns the time for which the configuration in force may have missed changes.
func (d *Daemon) configurationAge() clock.Millis { return d.operatorFeed.Age() }

func (d *Daemon) wakeMachineOwner() {
	if o := d.machineOwner.Load(); o != nil {
		o.events.wake()
	}
}

func (d *Daemon) eachOwner(f func(o *poolOwner)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for o := range d.owners {
		f(o)
	}
}

func (d *Daemon) addOwner(o *poolOwner) {
	d.mu.Lock()
	d.owners[o] = true
	d.mu.Unlock()
	// The scheduler was built from an earlier state of the copies: apply the changes since then.
	o.events.put(func() { o.refresh() })
}

func (d *Daemon) removeOwner(o *poolOwner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owners, o)
}

package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/front"
	"magnoliaferry/machines"
	"magnoliaferry/metrics"
	"magnoliaferry/platform"
	"magnoliaferry/pool"
	"magnoliaferry/store"
)

// Times of an instance.
const (
	boardPeriod    = 200 * clock.Millis(1) // between polls of the board; counts may be 2 s old, answers to callers 3 s
	jobsPeriod     = 50 * clock.Millis(1)  // of the jobs of a pool by its owner
	fleetPeriod    = 50 * clock.Millis(1)  // of decisions about machines by owners, and of reports by the owner of the machines
	workersPeriod  = 100 * clock.Millis(1) // an owner waits for machines that have moved to its pool
	feedWait       = 500 * clock.Millis(1) // of a poll without changes
	operatorPeriod = 100 * clock.Millis(1)
	operatorWait   = 1 * clock.Second
	// Callers are better served elsewhere while the copy is older than readyAge or the store has not answered for
	// readySilence. The balancer asks once a second and believes the second bad answer.
	readyAge      = 2500 * clock.Millis(1)
	readySilence  = 1 * clock.Second
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second
	leaveTime     = 3 * clock.Second // after SIGTERM, in which the balancer notices, before listening ends
)

var (
	commitTime = metrics.NewHistogram("commit-ms") // of an owner's transaction
	startTime  = metrics.NewHistogram("start-ms")  // from the order to the worker's answer
)

// Daemon is one instance. Exported fields are set before Run.
type Daemon struct {
	Settings Settings
	Logger   *slog.Logger
	Table    store.Table
	Workers  pool.Workers
	Advisor  pool.Advisor
	// Machines is nil where machines are not to be ordered.
	Machines machines.Platform

	clock         *clock.Clock
	incarnation   string
	table         *store.Monitor // the only way to Table
	board         *store.StateCache
	boardFeed     *store.Follower
	workers       *workerList
	fleet         store.TableCache  // of FleetTable
	reports       store.TableCache  // of ReportsTable
	ownerFeeds    []*store.Follower // idle while this instance owns nothing
	reportsFeed   *store.Follower   // idle while this instance does not own the machines
	configuration atomic.Pointer[batch.Configuration]
	owned         atomic.Int32
	ownsMachines  atomic.Bool
	machineOwner  atomic.Pointer[machineOwner] // nil while another instance owns the machines
	stopping      atomic.Bool

	mu       sync.Mutex
	owners   map[*poolOwner]bool
	electors map[string]bool
	waves    map[int64]batch.Wave
}

func (d *Daemon) wall() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

func (d *Daemon) sinceBoot() clock.Millis { return clock.SinceBoot() }

func always(period clock.Millis) func() clock.Millis { return func() clock.Millis { return period } }

// follower returns a follower of a table.
func (d *Daemon) follower(table string, period, wait clock.Millis, load, apply func(rows []store.Row)) *store.Follower {
	return &store.Follower{Store: d.table, Clock: d.clock, Logger: d.Logger, Table: table, Period: always(period), Wait: wait,
		OnLoad: load, OnRows: apply}
}

// Run serves until the context ends, and then leaves without cutting a request.
func (d *Daemon) Run(ctx context.Context) error {
	d.clock = clock.System()
	d.incarnation = uuid.NewString()
	d.table = &store.Monitor{Table: d.Table, Clock: d.clock, Logger: d.Logger}
	d.owners, d.electors = map[*poolOwner]bool{}, map[string]bool{}
	d.waves = map[int64]batch.Wave{}
	d.board = store.NewStateCache(d.clock, d.Logger)
	d.workers = newWorkerList(d.clock, d.Logger, d.workerChanged)
	d.fleet.OnRows = d.fleetChanged
	d.reports.OnRows = func([]store.Row) { d.wakeMachineOwner() }
	d.boardFeed = d.follower(store.StateTable, boardPeriod, feedWait, d.board.Load, d.board.Apply)
	workersFeed := d.follower(platform.TableWorkers, workersPeriod, operatorWait, d.workers.load, d.workers.apply)
	d.workers.healthy = workersFeed.Healthy
	d.ownerFeeds = []*store.Follower{
		workersFeed,
		d.follower(store.FleetTable, fleetPeriod, feedWait, d.fleet.Load, d.fleet.Apply),
	}
	for _, f := range d.ownerFeeds {
		f.Idle = func() bool { return d.owned.Load() == 0 }
	}
	d.reportsFeed = d.follower(store.ReportsTable, fleetPeriod, feedWait, d.reports.Load, d.reports.Apply)
	d.reportsFeed.Idle = func() bool { return !d.ownsMachines.Load() }
	operatorFeed := d.follower(platform.TableOperator, operatorPeriod, operatorWait, nil, nil)
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	own, stopOwning := context.WithCancel(follow)
	defer stopOwning()
	var owning sync.WaitGroup
	operatorFeed.OnLoad = func(rows []store.Row) { d.operatorRows(own, &owning, rows) }
	operatorFeed.OnRows = operatorFeed.OnLoad
	operatorFeed.NewestOnly = true // each configuration is complete
	for _, f := range append([]*store.Follower{d.boardFeed, d.reportsFeed, operatorFeed}, d.ownerFeeds...) {
		go func() { _ = f.Run(follow) }() // it ends only with its context
	}
	go func() { _ = d.table.Run(follow) }() // as above
	service := &front.Service{Table: d.table, States: d.board, Clock: d.clock, Logger: d.Logger,
		Configuration: d.configuration.Load, Reachable: d.table.Reachable, CopyAge: d.boardFeed.Age, Wall: d.wall}
	callers := &http.Server{Handler: &platform.Front{Service: service}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, d.ready)
	ready := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	d.serveMetrics(failed)
	for _, server := range []struct {
		server  *http.Server
		address string
	}{{callers, d.Settings.Listen.Callers}, {ready, d.Settings.Listen.Ready}} {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return err
		}
		go func() { failed <- server.server.Serve(listener) }()
	}
	eventStarted.Log(ctx, d.Logger, slog.String("node", d.Settings.Node), slog.String("zone", d.Settings.Zone),
		slog.String("incarnation", d.incarnation))
	select {
	case <-ctx.Done():
	case err := <-failed:
		eventListen.Log(ctx, d.Logger, slog.String("error", err.Error()))
		return err
	}
	d.leave(callers, stopOwning, &owning)
	_ = ready.Close() // nothing reads its answers any more
	eventStopped.Log(ctx, d.Logger, slog.String("node", d.Settings.Node))
	return nil
}

// leave gives the owned parts up, lets the balancer notice, and ends what callers still wait for.
func (d *Daemon) leave(callers *http.Server, stopOwning func(), owning *sync.WaitGroup) {
	eventStops.Log(context.Background(), d.Logger, slog.String("node", d.Settings.Node), slog.Int("owned", int(d.owned.Load())))
	d.stopping.Store(true)
	stopOwning()
	started := d.clock.Now()
	owning.Wait()
	if rest := leaveTime - (d.clock.Now() - started); rest > 0 {
		_ = d.clock.Sleep(context.Background(), rest) // this context has no end
	}
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := d.clock.WithTimeout(context.Background(), max(d.Settings.StopGrace.Millis()-leaveTime-clock.Second, clock.Second))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		eventListen.Log(ctx, d.Logger, slog.String("error", err.Error()))
	}
}

// serveMetrics serves expvar where the settings ask for it. An instance works without it.
func (d *Daemon) serveMetrics(failed chan<- error) {
	if d.Settings.Metrics == "" {
		return
	}
	listener, err := net.Listen("tcp", d.Settings.Metrics)
	if err != nil {
		eventListen.Log(context.Background(), d.Logger, slog.String("error", err.Error()))
		return
	}
	d.publish()
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { failed <- server.Serve(listener) }()
}

// publish adds the gauges of the instance to expvar.
func (d *Daemon) publish() {
	expvar.Publish("instance", expvar.Func(func() any {
		version := int64(0)
		if c := d.configuration.Load(); c != nil {
			version = c.Version
		}
		return struct {
			CopyAge       clock.Millis `json:"copy-age-ms"`
			Configuration int64        `json:"configuration"`
			Owned         int32        `json:"owned-parts"`
			Jobs          int          `json:"jobs-known"`
		}{d.boardFeed.Age(), version, d.owned.Load(), d.board.Len()}
	}))
}

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.configuration.Load() == nil || d.boardFeed.Age() > readyAge || d.table.SinceLastAnswer() > readySilence {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorRows puts a new configuration in force.
func (d *Daemon) operatorRows(ctx context.Context, owning *sync.WaitGroup, rows []store.Row) {
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		wave, isWave, err := platform.DecodeWave(row)
		if err != nil {
			eventBadConf.Log(ctx, d.Logger, slog.Int64("row", row.Version), slog.String("error", err.Error()))
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
			eventBadConf.Log(ctx, d.Logger, slog.Int64("row", row.Version), slog.String("error", err.Error()))
			continue
		}
		if before := d.configuration.Load(); before != nil && before.Version >= c.Version {
			continue
		}
		d.configuration.Store(c)
		eventConfig.Log(ctx, d.Logger, slog.Int64("version", c.Version), slog.Int("queues", len(c.Queues)))
		d.eachOwner(func(o *poolOwner) { o.events.put(func() { o.scheduler.Configure(c) }) })
		if d.Machines != nil {
			d.elect(ctx, owning, store.FleetPart, d.leadMachines)
		}
		for i := range c.Pools {
			d.elect(ctx, owning, c.Pools[i].Name, d.leadPool(c.Pools[i].Name))
		}
	}
}

// elect takes part in the ownership of a part from now on.
func (d *Daemon) elect(ctx context.Context, owning *sync.WaitGroup, part string, lead tenure) {
	d.mu.Lock()
	known := d.electors[part]
	d.electors[part] = true
	d.mu.Unlock()
	if known || ctx.Err() != nil {
		return
	}
	e := &elector{daemon: d, part: part, lead: lead, owned: &d.owned}
	owning.Go(func() { e.run(ctx) })
}

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

// fleetChanged hands decisions about machines to the owners of pools, and their answers to the owner of the machines.
func (d *Daemon) fleetChanged(rows []store.Row) {
	waves := false
	for _, row := range rows {
		kind, _ := store.SplitKey(row.Key)
		waves = waves || kind == store.KindWave
	}
	d.eachOwner(func(o *poolOwner) {
		o.events.put(func() {
			for _, row := range rows {
				if kind, _ := store.SplitKey(row.Key); kind == store.KindWant && row.Part == store.FleetPart {
					o.want(row)
				}
			}
			if waves {
				o.scheduler.SetMaintenanceDue(d.dueMachines())
			}
		})
	})
	d.wakeMachineOwner()
}

// dueMachines returns the machines of waves that have not begun their upkeep, as the owner of the machines has stored it.
func (d *Daemon) dueMachines() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := map[string]bool{}
	for number, wave := range d.waves {
		row, ok := d.fleet.Row(store.FleetPart, store.Key(store.KindWave, fmt.Sprint(number)))
		if !ok {
			continue // nobody has begun with it
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
	// What changed between the copy that the scheduler was built from and now is taken in again.
	o.events.put(func() { o.refresh() })
}

func (d *Daemon) removeOwner(o *poolOwner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owners, o)
}

package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

const (
	defaultPeriod = 2 * clock.Second
	leasePeriod   = 5 * clock.Second
	// maxResumeDelay is the time over which loops resume after an outage of the platform, so that all entry instances do
	// not plan, read and write at the same moment.
	maxResumeDelay = 10 * clock.Second
	// maxRowAge is how old a row may be when an order goes to the platform on its ground. A holder that was paused
	// reads the row again.
	maxRowAge = clock.Second
	// instanceBatch is how many rows of instances or jobs one transaction changes.
	instanceBatch = 40
)

// Loop does the control work of the pools whose lease it holds. Any number of loops may run; the leases only avoid
// duplicate work, and every write is conditional on the rows that it was decided on.
type Loop struct {
	Holder        string // unique name of this process among the entry instances
	Clock         *clock.Clock
	Platform      provider.Platform
	Assignments   *Assignments
	Configuration func() *config.Configuration // nil until there is one
	// ConfigurationVersion returns the number of the version that is in force here. When it is set, planned work is
	// refused while the table holds a newer configuration.
	ConfigurationVersion func() int64
	Demand               func() map[string]int      // requests in flight and waiting, by pool, over the whole fleet
	Healthy              func(instance string) bool // nil: every listed instance is healthy
	// Acknowledged reports whether every entry instance that may dispatch has read the changes of the instances since the
	// given time, and names one that has not. An entry instance that is cut off from the table may still send requests
	// to an instance that drains, and a reboot would cut them. Nil asks nobody.
	Acknowledged func(ctx context.Context, since clock.Millis) (ok bool, missing string)
	Wall         func() clock.Millis // wall-clock time
	Seed         int64               // of the jitter after an outage
	Period       clock.Millis        // between passes; 0 for 2 s
	Logger       *slog.Logger

	mu                  sync.Mutex // guards what operators' actions read
	trends              map[string]planner.Trend
	leases              map[string]*lease
	waves               map[string]wave
	steps               map[string][]planner.Step // of the last pass, by pool, for the status
	resumeRandom        *rand.Rand
	platformUnavailable bool
	resumeAt            clock.Millis
	leasesReadAt        clock.Millis
	jobs                map[string]*poolJobs // by pool
}

type lease struct {
	version       int64
	versionSeenAt clock.Millis // when this process first saw the version
	held          bool
}

type wave struct {
	fields  planner.WaveFields
	version int64
}

// Name implements kernel.Module.
func (l *Loop) Name() string { return "fleet" }

// Run does one pass after another until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	period := l.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		_ = l.Pass(ctx) // an error means that the platform is away, which Pass records
		if err := l.Clock.Sleep(ctx, period); err != nil {
			return err
		}
	}
}

// Pass reads the state, plans the pools whose lease it holds and carries the steps out. An error says that the platform
// did not answer; nothing more was decided then.
func (l *Loop) Pass(ctx context.Context) error {
	configuration := l.Configuration()
	if configuration == nil {
		return nil
	}
	if err := l.Assignments.Poll(ctx); err != nil {
		return l.recordOutage(ctx, err)
	}
	if !l.mayDecide(ctx) {
		return nil
	}
	held, err := l.acquireLeases(ctx, configuration)
	if err != nil {
		return l.recordOutage(ctx, err)
	}
	if err := l.planAndApply(ctx, configuration, held); err != nil {
		return l.recordOutage(ctx, err)
	}
	keys := make([]string, len(held))
	for i, pool := range held {
		keys[i] = jobChangesPrefix + pool
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return l.recordOutage(ctx, err)
	}
	for i, pool := range held {
		if err := l.reconcileJobs(ctx, configuration, pool, rows[i]); err != nil {
			return l.recordOutage(ctx, err)
		}
	}
	return nil
}

func (l *Loop) recordOutage(ctx context.Context, err error) error {
	if !l.platformUnavailable {
		eventPlatformUnavailable.Log(ctx, l.Logger, slog.String("error", err.Error()))
	}
	l.platformUnavailable = true
	return err
}

// mayDecide tells whether decisions may be taken; after an outage they begin after a random part of spreadPeriod.
func (l *Loop) mayDecide(ctx context.Context) bool {
	now := l.Clock.Now()
	if l.platformUnavailable {
		if l.resumeRandom == nil {
			l.resumeRandom = rand.New(rand.NewSource(l.Seed))
		}
		l.platformUnavailable = false
		delay := clock.Millis(l.resumeRandom.Int63n(int64(maxResumeDelay)))
		l.resumeAt = now + delay
		eventPlatformAvailable.Log(ctx, l.Logger, slog.Int64("delay-ms", int64(delay)))
	}
	return now >= l.resumeAt
}

// acquireLeases renews the leases that this process holds and takes some of those that lapsed. A lease has lapsed when its
// version has not changed for the lease period, as seen by this process.
func (l *Loop) acquireLeases(ctx context.Context, configuration *config.Configuration) (held []string, err error) {
	pools := configuration.Pools()
	if l.leases == nil {
		l.leases = map[string]*lease{}
		l.mu.Lock()
		l.waves = map[string]wave{}
		l.mu.Unlock()
	}
	// Leases of other processes are looked at once in a lease period, which is enough to see that one has lapsed, and
	// waves only where this process plans.
	all := l.Clock.Now()-l.leasesReadAt >= leasePeriod || len(l.leases) == 0
	var readPools []string
	var keys []string
	for _, p := range pools {
		if known := l.leases[p.Name()]; all || known != nil && known.held {
			readPools = append(readPools, p.Name())
			keys = append(keys, leasePrefix+p.Name())
		}
	}
	if all {
		l.leasesReadAt = l.Clock.Now()
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	if rows, err = l.renewHeld(ctx, readPools, rows); err != nil {
		return nil, err
	}
	// A process takes a part of the free leases in a pass, so that the pools spread over the entry instances.
	quota := (len(pools) + 3) / 4
	keys = nil
	for i, pool := range readPools {
		took, err := l.acquireLease(ctx, pool, rows[i], quota > 0)
		if err != nil {
			return nil, err
		}
		if took {
			quota--
		}
		if l.leases[pool].held {
			held = append(held, pool)
			keys = append(keys, wavePrefix+pool)
		}
	}
	if rows, err = l.Platform.Table().Read(ctx, keys...); err != nil {
		return nil, err
	}
	for i, pool := range held {
		w := wave{version: rows[i].Version()}
		if err := decode(rows[i], &w.fields); err != nil {
			return nil, err
		}
		l.mu.Lock()
		l.waves[pool] = w
		l.mu.Unlock()
	}
	return held, nil
}

// renewHeld renews the leases that this process holds in one transaction and returns the rows as they are then. When
// another process has taken one of them, none is renewed, and take finds out which ones are left.
func (l *Loop) renewHeld(ctx context.Context, pools []string, rows []provider.Row) ([]provider.Row, error) {
	var writes []provider.Write
	var first provider.Row
	keys := make([]string, len(pools))
	for i, pool := range pools {
		keys[i] = leasePrefix + pool
		if known := l.leases[pool]; known != nil && known.held && known.version == rows[i].Version() {
			if len(writes) == 0 {
				first = rows[i]
			}
			writes = append(writes, provider.Put(keys[i], encode(leaseRow{l.Holder}), rows[i].Version()))
		}
	}
	if len(writes) == 0 {
		return rows, nil
	}
	operation, now := uuid.NewString(), l.Clock.Now()
	err := l.commit(ctx, provider.NewTransaction(operation, writes...), first)
	if err != nil && !errorx.IsOfType(err, provider.ErrConflict) {
		return nil, err
	}
	after, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for i, pool := range pools {
		if after[i].Operation() == operation {
			l.leases[pool] = &lease{version: after[i].Version(), versionSeenAt: now, held: true}
		}
	}
	return after, nil
}

// acquireLease takes the lease of a pool that no process holds, renews one that could not be renewed with the others, and
// notices when another process holds it.
func (l *Loop) acquireLease(ctx context.Context, pool string, row provider.Row, mayTake bool) (took bool, err error) {
	now := l.Clock.Now()
	known := l.leases[pool]
	if known == nil || known.version != row.Version() {
		known = &lease{version: row.Version(), versionSeenAt: now}
		l.leases[pool] = known
	}
	lapsed := row.Version() == 0 || now-known.versionSeenAt >= leasePeriod
	if !lapsed || !known.held && !mayTake {
		return false, nil
	}
	operation := uuid.NewString()
	err = l.commit(ctx, provider.NewTransaction(operation,
		provider.Put(leasePrefix+pool, encode(leaseRow{l.Holder}), row.Version())), row)
	switch {
	case err == nil:
		rows, err := l.Platform.Table().Read(ctx, leasePrefix+pool)
		if err != nil {
			return false, err
		}
		took = !known.held
		l.leases[pool] = &lease{version: rows[0].Version(), versionSeenAt: now, held: rows[0].Operation() == operation}
		return took, nil
	case errorx.IsOfType(err, provider.ErrConflict):
		known.held = false
		return false, nil
	}
	return false, err
}

// commit applies a transaction and settles a lost answer by the operation id of the first row that it writes, which the
// writer saw as before. It returns ErrConflict when the state has to be read again, and ErrUnknownOutcome when the
// answer stays unknown.
func (l *Loop) commit(ctx context.Context, tx provider.Transaction, before provider.Row) error {
	outcomeUnknown := false
	for range 3 {
		err := l.Platform.Table().Commit(ctx, tx)
		if err == nil {
			return nil
		}
		if !outcomeUnknown && !errorx.IsOfType(err, provider.ErrUnknownOutcome) {
			return err
		}
		outcomeUnknown = true
		rows, readErr := l.Platform.Table().Read(ctx, before.Key())
		if readErr != nil {
			return provider.ErrUnknownOutcome.Wrap(readErr, "transaction %s is not settled", tx.Operation())
		}
		if rows[0].Operation() == tx.Operation() {
			return nil
		}
		if rows[0].Version() != before.Version() || errorx.IsOfType(err, provider.ErrConflict) {
			return provider.ErrConflict.New("row %q was changed by another writer", before.Key())
		}
	}
	return provider.ErrUnknownOutcome.New("transaction %s is not settled", tx.Operation())
}

// planAndApply plans each held pool on one state and carries out its steps.
func (l *Loop) planAndApply(ctx context.Context, configuration *config.Configuration, held []string) error {
	instances := l.Assignments.instances(l.Healthy)
	isHeld := make(map[string]bool, len(held))
	for _, pool := range held {
		isHeld[pool] = true
	}
	if err := l.advanceMaintenance(ctx, instances, isHeld); err != nil {
		return err
	}
	state := l.state(configuration, instances)
	trends := planner.Trends(state)
	l.mu.Lock()
	l.trends = trends
	l.mu.Unlock()
	records := make(map[string]planner.RecordFields)
	for i := range instances {
		if isHeld[instances[i].Pool] || instances[i].Pool == "" {
			records[instances[i].ID] = instances[i].RecordFields
		}
	}
	for _, pool := range held {
		steps := planner.PlanPool(state, pool)
		l.mu.Lock()
		if l.steps == nil {
			l.steps = map[string][]planner.Step{}
		}
		l.steps[pool] = steps
		l.mu.Unlock()
		if err := l.apply(ctx, configuration, steps, records); err != nil {
			return err
		}
	}
	return nil
}

func (l *Loop) state(configuration *config.Configuration, instances []planner.InstanceFields) *planner.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	waves := make(map[string]planner.WaveFields, len(l.waves))
	for pool, w := range l.waves {
		if w.version > 0 {
			waves[pool] = w.fields
		}
	}
	var demand map[string]int
	if l.Demand != nil {
		demand = l.Demand()
	}
	return planner.New(planner.Fields{Now: l.Clock.Now(), Wall: l.Wall(), Configuration: configuration,
		Instances: instances, Waves: waves, Demand: demand, Trends: l.trends})
}

// advanceMaintenance gives the platform its maintenance orders and reads their progress, for the instances that are out in the
// pools of this process. Orders are repeated at every pass until the platform shows their effect; each follows a read of
// the instance's row that shows the phase that it belongs to.
func (l *Loop) advanceMaintenance(ctx context.Context, instances []planner.InstanceFields, isHeld map[string]bool) error {
	var inMaintenance []*planner.InstanceFields
	var keys []string
	for i := range instances {
		m := &instances[i]
		ordered := m.Phase == planner.Draining || m.Phase == planner.Rebooting || m.Phase == planner.Moving
		if ordered && isHeld[m.Pool] && m.Listed {
			inMaintenance = append(inMaintenance, m)
			keys = append(keys, instancePrefix+m.ID)
		}
	}
	var rows []provider.Row
	readAt := clock.Millis(0)
	for i, m := range inMaintenance {
		if now := l.Clock.Now(); rows == nil || now-readAt >= maxRowAge {
			var err error
			if rows, err = l.Platform.Table().Read(ctx, keys[i:]...); err != nil {
				return err
			}
			rows, readAt = append(make([]provider.Row, i), rows...), now
		}
		var r planner.RecordFields
		if err := decode(rows[i], &r); err != nil {
			return err
		}
		if r != m.RecordFields {
			continue // changed since the poll; the next pass sees it
		}
		if err := l.orderMaintenance(ctx, m); err != nil {
			eventMaintenanceOrderFailed.Log(ctx, l.Logger, slog.String("instance", m.ID), slog.String("error", err.Error()))
		}
	}
	return nil
}

// orderMaintenance sends the orderMaintenance that belongs to the phase of an instance and notes what the platform reports.
func (l *Loop) orderMaintenance(ctx context.Context, m *planner.InstanceFields) error {
	maintenance := l.Platform.Maintenance()
	if m.Phase == planner.Draining {
		// The order is repeated before each look at the status: an instance that was given back earlier may still be
		// reported as drained from that time.
		if err := maintenance.Drain(ctx, m.ID); err != nil {
			return err
		}
	}
	status, err := maintenance.Status(ctx, m.ID)
	if err != nil {
		return err
	}
	switch {
	case m.Phase == planner.Draining:
		m.Accepted = status == provider.StatusDrained || status == provider.StatusDraining
		m.Drained = status == provider.StatusDrained && l.drainAcknowledged(ctx, m)
	case status == provider.StatusServing:
		m.Rebooted = true
	case status == provider.StatusFailed:
		m.RebootFailed = true
	case status == provider.StatusDrained || status == provider.StatusDraining && m.Force:
		return maintenance.Reboot(ctx, m.ID)
	}
	return nil
}

// drainAcknowledged reports whether every entry instance knows that the instance drains.
func (l *Loop) drainAcknowledged(ctx context.Context, m *planner.InstanceFields) bool {
	if l.Acknowledged == nil {
		return true
	}
	ok, missing := l.Acknowledged(ctx, l.Clock.Now()-m.Age)
	if !ok {
		eventWait.Log(ctx, l.Logger, slog.String("pool", m.Pool), slog.String("instance", m.ID),
			slog.String("reason", "the drain waits until every entry instance knows of it: "+missing))
	}
	return ok
}

func newWaveID(pool string, wall clock.Millis) string { return fmt.Sprintf("%s-%d", pool, wall) }

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
	// leasePeriod is the time without a renewal after which a lease has lapsed.
	leasePeriod = 5 * clock.Second
	// maxResumeDelay bounds the random delay after which a loop resumes when the platform answers again, so that the
	// entry instances do not all plan, read and write at the same moment.
	maxResumeDelay = 10 * clock.Second
	// maxRowAge is the age from which a row that was read is too old to base a maintenance order on. A lease holder
	// that was paused reads the row again.
	maxRowAge = clock.Second
	// instanceBatch is the maximum number of instances that one transaction changes.
	instanceBatch = 40
)

// Loop does the control work of the pools whose lease it holds. Any number of loops may run; the leases only avoid
// duplicate work, and every write is conditional on the rows that it was decided on.
type Loop struct {
	Holder        string // unique name of this process among the entry instances
	Clock         *clock.Clock
	Platform      provider.Platform
	Assignments   *Assignments
	Configuration func() *config.Configuration // returns nil until there is one
	// ConfigurationVersion returns the version that is in force here. When it is set, planned work is refused while
	// the table holds a newer configuration.
	ConfigurationVersion func() int64
	Demand               func() map[string]int      // requests in flight and waiting, by pool, over the whole fleet; may be nil
	Healthy              func(instance string) bool // by instance id; nil: every listed instance is healthy
	// Acknowledged reports whether every entry instance that may dispatch has read the changes of the instances since
	// the given time of Clock, and names one that has not. An entry instance that is cut off from the table may still send
	// requests to a draining instance, and a reboot would abort them. When it is nil, drains do not wait for entry
	// instances.
	Acknowledged func(ctx context.Context, since clock.Millis) (ok bool, missing string)
	Wall         func() clock.Millis // wall-clock time; required
	Seed         int64               // of the random delay after an outage; should differ between processes
	Period       clock.Millis        // between passes; 0 means 2 s
	Logger       *slog.Logger

	mu                  sync.Mutex // guards trends, waves, steps and jobs, which operators' actions read
	trends              map[string]planner.Trend
	leases              map[string]*lease
	waves               map[string]wave
	steps               map[string][]planner.Step // of the last pass, by pool, for Status
	resumeRandom        *rand.Rand
	platformUnavailable bool
	resumeAt            clock.Millis
	leasesReadAt        clock.Millis
	jobs                map[string]*poolJobs // by pool
}

// lease is what this process knows of the lease of one pool.
type lease struct {
	version       int64
	versionSeenAt clock.Millis // when this process first saw the version
	held          bool
}

// wave is the row of a maintenance wave; version 0 means that there is none.
type wave struct {
	fields  planner.WaveFields
	version int64
}

// Name implements kernel.Module.
func (l *Loop) Name() string { return "fleet" }

// Run makes passes, one every Period, until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	period := l.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		_ = l.Pass(ctx) // an error means that the platform does not answer, which Pass records
		if err := l.Clock.Sleep(ctx, period); err != nil {
			return err
		}
	}
}

// Pass reads the state, plans the pools whose lease it holds and carries out the steps. An error means that the
// platform did not answer or that a row could not be decoded; the rest of the pass was skipped.
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

// recordOutage logs the first error of an outage and returns the error.
func (l *Loop) recordOutage(ctx context.Context, err error) error {
	if !l.platformUnavailable {
		eventPlatformUnavailable.Log(ctx, l.Logger, slog.String("error", err.Error()))
	}
	l.platformUnavailable = true
	return err
}

// mayDecide reports whether the pass may plan. The first call after an outage ends the outage, logs it and draws a
// random delay below maxResumeDelay, after which planning resumes.
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

// acquireLeases renews the leases that this process holds, acquires some of those that have lapsed, and returns the
// pools whose lease it holds. A lease has lapsed when this process has seen no new version of it for leasePeriod.
func (l *Loop) acquireLeases(ctx context.Context, configuration *config.Configuration) (held []string, err error) {
	pools := configuration.Pools()
	if l.leases == nil {
		l.leases = map[string]*lease{}
		l.mu.Lock()
		l.waves = map[string]wave{}
		l.mu.Unlock()
	}
	// Leases of other processes are read once per lease period, which is enough to detect that one has lapsed. Waves
	// are read only for pools that this process plans.
	readAll := l.Clock.Now()-l.leasesReadAt >= leasePeriod || len(l.leases) == 0
	var readPools []string
	var keys []string
	for _, p := range pools {
		if known := l.leases[p.Name()]; readAll || known != nil && known.held {
			readPools = append(readPools, p.Name())
			keys = append(keys, leasePrefix+p.Name())
		}
	}
	if readAll {
		l.leasesReadAt = l.Clock.Now()
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	if rows, err = l.renewHeld(ctx, readPools, rows); err != nil {
		return nil, err
	}
	// A process acquires at most a quarter of the leases, rounded up, in a pass, so that the pools spread over the entry
	// instances.
	quota := (len(pools) + 3) / 4
	keys = nil
	for i, pool := range readPools {
		acquired, err := l.acquireLease(ctx, pool, rows[i], quota > 0)
		if err != nil {
			return nil, err
		}
		if acquired {
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

// renewHeld renews the leases that this process holds in one transaction and returns the rows as read afterwards.
// When another process has taken one of them, none is renewed, and acquireLease finds out which ones are still held.
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

// acquireLease acquires the lease of a pool if it has lapsed or has no row, also to renew one that renewHeld could not
// renew. It acquires a lease that this process does not hold only if mayAcquire is set; acquired is true only then, not
// after a renewal. If another process has written the row, it records the new version and that this process does not
// hold the lease.
func (l *Loop) acquireLease(ctx context.Context, pool string, row provider.Row, mayAcquire bool) (acquired bool, err error) {
	now := l.Clock.Now()
	known := l.leases[pool]
	if known == nil || known.version != row.Version() {
		known = &lease{version: row.Version(), versionSeenAt: now}
		l.leases[pool] = known
	}
	lapsed := row.Version() == 0 || now-known.versionSeenAt >= leasePeriod
	if !lapsed || !known.held && !mayAcquire {
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
		acquired = !known.held
		l.leases[pool] = &lease{version: rows[0].Version(), versionSeenAt: now, held: rows[0].Operation() == operation}
		return acquired, nil
	case errorx.IsOfType(err, provider.ErrConflict):
		known.held = false
		return false, nil
	}
	return false, err
}

// commit applies a transaction. When an answer is lost, it finds out from the operation id of the first row that the
// transaction writes whether it was applied; the parameter before holds that row as the writer read it. It returns
// ErrConflict when the state has to be read again, and ErrUnknownOutcome when the outcome stays unknown.
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

// planAndApply plans each held pool on the same state and carries out its steps.
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

// advanceMaintenance sends maintenance orders to the platform and reads their progress, for the draining, rebooting
// and moving instances in the pools of this process. Orders are repeated at every pass until the platform shows their
// effect. Each is sent after a read of the instance's row that shows the phase that the order belongs to.
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
			continue // changed since the poll; the next pass handles it
		}
		if err := l.orderMaintenance(ctx, m); err != nil {
			eventMaintenanceOrderFailed.Log(ctx, l.Logger, slog.String("instance", m.ID), slog.String("error", err.Error()))
		}
	}
	return nil
}

// orderMaintenance sends the order that belongs to the phase of an instance, and sets the fields of m that hold the
// progress reported by the platform.
func (l *Loop) orderMaintenance(ctx context.Context, m *planner.InstanceFields) error {
	maintenance := l.Platform.Maintenance()
	if m.Phase == planner.Draining {
		// The order is repeated before each status call: the platform may still report an instance as drained by an
		// earlier drain that was cancelled.
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
		m.Rebooted = true // the platform reports serving when no drain or reboot is in progress
	case status == provider.StatusFailed:
		m.RebootFailed = true
	case status == provider.StatusDrained || status == provider.StatusDraining && m.Force:
		return maintenance.Reboot(ctx, m.ID)
	}
	return nil
}

// drainAcknowledged reports whether every entry instance has read that the instance is draining.
func (l *Loop) drainAcknowledged(ctx context.Context, m *planner.InstanceFields) bool {
	if l.Acknowledged == nil {
		return true
	}
	ok, missing := l.Acknowledged(ctx, l.Clock.Now()-m.Age)
	if !ok {
		eventWait.Log(ctx, l.Logger, slog.String("pool", m.Pool), slog.String("instance", m.ID),
			slog.String("reason", "drain waits until every entry instance has read that the instance is draining; still missing: "+missing))
	}
	return ok
}

func newWaveID(pool string, wall clock.Millis) string { return fmt.Sprintf("%s-%d", pool, wall) }

package fleet

import (
	"context"
	"fmt"
	"slices"
	"sort"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/jobs"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// WaveAction is an action of an operator on the maintenance wave of a pool.
type WaveAction string

// The actions of operators on waves.
const (
	WaveStart  WaveAction = "start"
	WavePause  WaveAction = "pause"
	WaveResume WaveAction = "resume"
	WaveStop   WaveAction = "stop"
)

// Drain takes an instance out of service for maintenance within the budget of its pool. With force, the instance is
// rebooted even while requests still run on it; force may also be added to a maintenance drain that is in progress.
// It returns nil when the order is stored.
func (l *Loop) Drain(ctx context.Context, instance string, force bool) *result.Refusal {
	configuration := l.Configuration()
	if configuration == nil {
		return result.Refuse(NoConfiguration, "no configuration is in force here", clock.Second)
	}
	rows, err := l.Platform.Table().Read(ctx, instancePrefix+instance)
	if err != nil {
		return refusalOf(err)
	}
	var seen planner.RecordFields
	if err := decode(rows[0], &seen); err != nil {
		return refusalOf(err)
	}
	if rows[0].Version() == 0 {
		return result.Refuse(NoSuchInstance, fmt.Sprintf("no pool holds an instance %q", instance), 0)
	}
	contact := contactOf(configuration, seen.Pool)
	checks, err := l.configurationCheck(ctx)
	if err != nil {
		return refusalOf(err).WithContact(contact)
	}
	t := transition{zone: seen.Zone, pools: []string{seen.Pool}, instances: []string{instance}, checks: checks}
	t.decide = func(r planner.RecordFields, budgets map[string]*budgetRow) (planner.RecordFields, *result.Refusal) {
		switch {
		case r.Pool != seen.Pool:
			return r, result.Refuse(LostRace, fmt.Sprintf("instance %s moved from pool %s to %s", instance, seen.Pool, r.Pool),
				clock.Second)
		case r.Phase == planner.Draining && force && !r.Force && r.Target == "":
			r.Force = true
			return r, nil
		case r.Phase != planner.Serving:
			return r, result.Refuse(WrongPhase, fmt.Sprintf("instance %s is %s since %d (%s); only a serving instance can be "+
				"drained, and only a drain for maintenance can be forced", instance, r.Phase, r.Since, r.Reason), 0)
		}
		if refusal := checkBudget(configuration, r.Pool, budgets[r.Pool]); refusal != nil {
			return r, refusal
		}
		r.Phase, r.Since, r.Force, r.Wave, r.Reason = planner.Draining, max(l.Wall(), r.Since), force, "", "an operator's order"
		return r, nil
	}
	_, refused, err := l.transition(ctx, t)
	if err != nil {
		return refusalOf(err).WithContact(contact)
	}
	if refusal := refused[instance]; refusal != nil {
		return refusal.WithContact(contact)
	}
	return nil
}

// Wave starts, pauses, resumes or stops the maintenance wave of a pool on the order of the operator named by. If
// another writer changes the wave at the same time, the refusal gives the state that the wave has by then.
func (l *Loop) Wave(ctx context.Context, pool string, action WaveAction, by string) *result.Refusal {
	configuration := l.Configuration()
	if configuration == nil {
		return result.Refuse(NoConfiguration, "no configuration is in force here", clock.Second)
	}
	if _, declared := configuration.Pool(pool); !declared {
		return result.Refuse(NoSuchPool, fmt.Sprintf("the configuration declares no pool %q", pool), 0)
	}
	contact := contactOf(configuration, pool)
	w, err := l.readWave(ctx, pool)
	if err != nil {
		return refusalOf(err).WithContact(contact)
	}
	allowedStates := map[WaveAction][]planner.WaveState{
		WaveStart:  {"", planner.WaveDone, planner.WaveStopped},
		WavePause:  {planner.WaveRunning},
		WaveResume: {planner.WavePaused, planner.WaveStopped},
		WaveStop:   {planner.WaveRunning, planner.WavePaused},
	}[action]
	if !slices.Contains(allowedStates, w.fields.State) {
		return result.Refuse(WaveState, fmt.Sprintf("%q is not possible: the wave of pool %s is %q (%s)", action, pool,
			w.fields.State, w.fields.Reason), 0).WithContact(contact)
	}
	wall := l.Wall()
	switch action {
	case WaveStart:
		w.fields = planner.WaveFields{ID: newWaveID(pool, wall), Pool: pool, Started: wall, Resumed: wall,
			State: planner.WaveRunning}
	case WavePause:
		w.fields.State = planner.WavePaused
	case WaveResume:
		w.fields.State, w.fields.Resumed = planner.WaveRunning, wall
	case WaveStop:
		w.fields.State = planner.WaveStopped
	}
	w.fields.By, w.fields.Reason = by, fmt.Sprintf("%s by %s", action, by)
	err = l.writeWave(ctx, w)
	if errorx.IsOfType(err, provider.ErrConflict) {
		current, readErr := l.readWave(ctx, pool)
		if readErr != nil {
			return refusalOf(readErr).WithContact(contact)
		}
		return result.Refuse(LostRace, fmt.Sprintf("the wave of pool %s is now %q (%s)", pool, current.fields.State,
			current.fields.Reason), 0).WithContact(contact)
	}
	if err != nil {
		return refusalOf(err).WithContact(contact)
	}
	return nil
}

func (l *Loop) readWave(ctx context.Context, pool string) (w wave, err error) {
	rows, err := l.Platform.Table().Read(ctx, wavePrefix+pool)
	if err != nil {
		return w, err
	}
	w.version = rows[0].Version()
	return w, decode(rows[0], &w.fields)
}

// Jobs returns the jobs in order of name, at most limit whose names sort after the given one.
func (l *Loop) Jobs(ctx context.Context, after string, limit int) ([]jobs.RecordFields, *result.Refusal) {
	rows, err := l.Platform.Table().Scan(ctx, jobPrefix, jobPrefix+after, limit)
	if err != nil {
		return nil, refusalOf(err)
	}
	all := make([]jobs.RecordFields, len(rows))
	for i, row := range rows {
		if err := decode(row, &all[i]); err != nil {
			return nil, refusalOf(err)
		}
	}
	return all, nil
}

// Job returns one job, or a refusal with NoSuchJob.
func (l *Loop) Job(ctx context.Context, id string) (r jobs.RecordFields, refusal *result.Refusal) {
	rows, err := l.Platform.Table().Read(ctx, jobPrefix+id)
	if err != nil {
		return r, refusalOf(err)
	}
	if rows[0].Version() == 0 {
		return r, result.Refuse(NoSuchJob, fmt.Sprintf("no job %q is known", id), 0)
	}
	if err := decode(rows[0], &r); err != nil {
		return r, refusalOf(err)
	}
	return r, nil
}

// CancelJobs cancels jobs in batches on the order of the operator named by. A job that is not bound to a worker never
// starts afterwards; one that runs is stopped by the control loop. It returns, by id, a refusal for each job that could
// not be cancelled; a job that was cancelled before and has not ended yet is not refused.
func (l *Loop) CancelJobs(ctx context.Context, by string, ids ...string) map[string]*result.Refusal {
	refused := map[string]*result.Refusal{}
	pools := map[string][]string{}
	for chunk := range slices.Chunk(ids, jobBatch) {
		keys := make([]string, len(chunk))
		for i, id := range chunk {
			keys[i] = jobPrefix + id
		}
		rows, err := l.Platform.Table().Read(ctx, keys...)
		for i, id := range chunk {
			var r jobs.RecordFields
			switch {
			case err != nil:
				refused[id] = refusalOf(err)
			case rows[i].Version() == 0:
				refused[id] = result.Refuse(NoSuchJob, fmt.Sprintf("no job %q is known", id), 0)
			default:
				if decodeErr := decode(rows[i], &r); decodeErr != nil {
					refused[id] = refusalOf(decodeErr)
					continue
				}
				pools[r.Pool] = append(pools[r.Pool], id)
			}
		}
	}
	for _, pool := range sorted(pools) {
		for chunk := range slices.Chunk(pools[pool], jobBatch) {
			l.cancelBatch(ctx, pool, by, chunk, refused)
		}
	}
	return refused
}

func (l *Loop) cancelBatch(ctx context.Context, pool, by string, ids []string, refused map[string]*result.Refusal) {
	ended := map[string]*result.Refusal{}
	_, err := l.transitionJobs(ctx, pool, ids, nil, func(r jobs.RecordFields, _ int64, _ map[string]*teamRow) (
		jobs.RecordFields, bool) {
		switch {
		case r.State.Ended():
			ended[r.ID] = result.Refuse(JobEnded, fmt.Sprintf("job %s is %s already: %s", r.ID, r.State, r.Reason), 0)
			return r, false
		case r.Cancel:
			return r, false // cancelled already; the task is being stopped
		case r.State.Bound():
			r.Cancel = true
		default:
			r.State, r.Since = jobs.Cancelled, max(l.Wall(), r.Since)
		}
		r.Reason = "cancelled by " + by
		return r, true
	})
	for _, id := range ids {
		if err != nil {
			refused[id] = refusalOf(err)
		} else if ended[id] != nil {
			refused[id] = ended[id]
		}
	}
}

// StatusFields is the state of the fleet as reported to operators.
type StatusFields struct {
	Pools      []PoolStatusFields `json:"pools"`
	Unassigned []string           `json:"unassigned"` // listed workers that belong to no pool
}

// PoolStatusFields is the state of one pool as reported to operators.
type PoolStatusFields struct {
	Pool           string                 `json:"pool"`
	Contact        string                 `json:"contact"`
	Members        int                    `json:"members"`
	Serving        int                    `json:"serving"`
	Capacity       int                    `json:"capacity"`
	Out            int                    `json:"out"` // budget units in use
	MaxUnavailable int                    `json:"max-unavailable"`
	Demand         int                    `json:"demand"` // requests in flight and waiting
	Wanted         int                    `json:"wanted"` // workers that the pool needs, see planner.State.Wanted
	Buffer         int                    `json:"buffer"` // workers needed to cover the declared failures
	BufferText     string                 `json:"buffer-text"`
	NotServing     []planner.RecordFields `json:"away"` // every instance that does not serve, with the reason
	Wave           *planner.WaveFields    `json:"wave,omitempty"`
	ToMaintain     int                    `json:"to-maintain"` // instances that the wave has not maintained yet
	Moves          []planner.RecordFields `json:"moves"`       // instances that drain for a move, and borrowed instances
	Waits          []string               `json:"waits"`       // why work and jobs wait; only on the process that plans the pool
	Jobs           map[jobs.State]int     `json:"jobs"`        // jobs by state; only on the process that plans the pool
}

// Status returns the state of every pool, read from the table and the platform's list.
func (l *Loop) Status(ctx context.Context) (StatusFields, *result.Refusal) {
	configuration := l.Configuration()
	if configuration == nil {
		return StatusFields{}, result.Refuse(NoConfiguration, "no configuration is in force here", clock.Second)
	}
	if err := l.Assignments.Poll(ctx); err != nil {
		return StatusFields{}, refusalOf(err)
	}
	pools := configuration.Pools()
	keys := make([]string, len(pools))
	for i, p := range pools {
		keys[i] = wavePrefix + p.Name()
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return StatusFields{}, refusalOf(err)
	}
	instances := l.Assignments.instances(l.Healthy)
	state := l.state(configuration, instances)
	var status StatusFields
	for i, p := range pools {
		s := PoolStatusFields{Pool: p.Name(), Contact: p.Contact(), Capacity: p.Capacity(),
			MaxUnavailable: p.MaxUnavailable(), Buffer: state.BufferOf(p.Name()).Workers(),
			BufferText: state.BufferOf(p.Name()).Text(), Wanted: state.Wanted(p.Name())}
		if rows[i].Version() > 0 {
			s.Wave = &planner.WaveFields{}
			if err := decode(rows[i], s.Wave); err != nil {
				return StatusFields{}, refusalOf(err)
			}
		}
		if l.Demand != nil {
			s.Demand = l.Demand()[p.Name()]
		}
		status.Pools = append(status.Pools, s)
	}
	for _, m := range instances {
		i := slices.IndexFunc(status.Pools, func(s PoolStatusFields) bool { return s.Pool == m.Pool })
		if i < 0 {
			status.Unassigned = append(status.Unassigned, m.ID)
			continue
		}
		status.Pools[i].addInstance(m.RecordFields)
	}
	for i := range status.Pools {
		l.addWaitReasons(&status.Pools[i])
	}
	sort.Strings(status.Unassigned)
	return status, nil
}

func (s *PoolStatusFields) addInstance(r planner.RecordFields) {
	s.Members++
	if r.Phase == planner.Serving {
		s.Serving++
	} else {
		s.NotServing = append(s.NotServing, r)
	}
	if kind := unavailableKind(r); kind == unavailablePlanned || kind == unavailableFailed {
		s.Out++
	}
	if r.Home != "" || r.Target != "" {
		s.Moves = append(s.Moves, r)
	}
	if s.Wave != nil && s.Wave.State != planner.WaveDone && r.Phase != planner.Failed && r.Maintained < s.Wave.Started {
		s.ToMaintain++
	}
}

// addWaitReasons adds the wait reasons and job counts of the last pass in which this process planned the pool, if
// any.
func (l *Loop) addWaitReasons(s *PoolStatusFields) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, step := range l.steps[s.Pool] {
		if step.Kind() == planner.KindWait {
			s.Waits = append(s.Waits, step.Reason())
		}
	}
	p := l.jobs[s.Pool]
	if p == nil {
		return
	}
	s.Jobs = p.counts
	for _, step := range p.steps[:min(len(p.steps), 100)] {
		if step.Kind() == jobs.KindWait {
			s.Waits = append(s.Waits, step.Reason())
		}
	}
}

func contactOf(configuration *config.Configuration, pool string) string {
	p, _ := configuration.Pool(pool)
	return p.Contact()
}

// refusalOf converts an error of the table into a refusal.
func refusalOf(err error) *result.Refusal {
	switch {
	case errorx.IsOfType(err, provider.ErrConflict):
		return result.Refuse(LostRace, err.Error(), clock.Second)
	case errorx.IsOfType(err, provider.ErrUnknownOutcome):
		return result.Refuse(OutcomeUnknown, err.Error(), 0)
	}
	return result.Refuse(TableUnavailable, err.Error(), 10*clock.Second)
}

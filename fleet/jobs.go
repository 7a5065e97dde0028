package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sort"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/jobs"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

const (
	jobPrefix  = "job/"
	teamPrefix = "team/"
	// jobChangesPrefix is followed by the name of a pool. The changes rows of zones have the keys changes/<zone>; zone
	// names contain no slash, so the two kinds of keys cannot collide.
	jobChangesPrefix = "changes/jobs/"
	maxJobChanges    = 256
	// jobBatch is the maximum number of jobs that one transaction changes. It is larger than instanceBatch because
	// a transaction on jobs writes no availability budget of a pool.
	jobBatch = 100
	// maxUsageReads is the maximum number of workers whose task usage a pass reads.
	maxUsageReads = 64
)

// teamRow is the resource use of the jobs of a team in each pool. A start is conditional on it, so that loops of two
// pools cannot both use the last part of a quota.
type teamRow struct {
	Use map[string]jobs.Use `json:"use"` // by pool
}

func (t *teamRow) total() (total jobs.Use) {
	for _, u := range t.Use {
		total.Cores += u.Cores
		total.MemoryMB += u.MemoryMB
	}
	return total
}

// update replaces the resources that a job of the pool held before a change by those that it holds after it.
func (t *teamRow) update(pool string, before, after jobs.RecordFields) {
	u := t.Use[pool]
	if before.State.Bound() {
		u.Cores, u.MemoryMB = u.Cores-before.HeldCores, u.MemoryMB-before.HeldMemoryMB
	}
	if after.State.Bound() {
		u.Cores, u.MemoryMB = u.Cores+after.HeldCores, u.MemoryMB+after.HeldMemoryMB
	}
	if t.Use == nil {
		t.Use = map[string]jobs.Use{}
	}
	t.Use[pool] = u
}

// jobChangesRow names the most recently written jobs of a pool, so that a loop reads only those again.
type jobChangesRow struct {
	Sequence int64    `json:"sequence"` // number of writes of jobs so far; Jobs names the jobs of the last of them
	Jobs     []string `json:"jobs"`
}

func (c *jobChangesRow) add(job string) {
	c.Sequence++
	c.Jobs = append(c.Jobs, job)
	c.Jobs = c.Jobs[max(len(c.Jobs)-maxJobChanges, 0):]
}

// poolJobs is what this process knows of the jobs of a pool whose lease it holds.
type poolJobs struct {
	loaded      bool
	sequence    int64
	jobs        map[string]*jobEntry
	lostSince   map[string]clock.Millis // by lost worker: when this process first saw it as lost
	usageCursor int                     // where the next reads begin in the list of workers without starting tasks, modulo its length
	steps       []jobs.Step             // of the last pass
	counts      map[jobs.State]int      // of the last pass
}

type jobEntry struct {
	record          jobs.RecordFields
	version         int64
	stateSeenAt     clock.Millis // when this process first saw the state
	unreportedSince clock.Millis // since when the task has been missing from the worker's reports; 0 if it was in the last one
}

// reconcileJobs reads the jobs of one pool that have changed since the last pass, plans the jobs and carries out the
// steps. row is the row changes/jobs/<pool> as read in this pass.
func (l *Loop) reconcileJobs(ctx context.Context, configuration *config.Configuration, pool string, row provider.Row) error {
	l.mu.Lock()
	if l.jobs == nil {
		l.jobs = map[string]*poolJobs{}
	}
	p := l.jobs[pool]
	if p == nil {
		p = &poolJobs{jobs: map[string]*jobEntry{}, lostSince: map[string]clock.Millis{}}
		l.jobs[pool] = p
	}
	l.mu.Unlock()
	if err := l.refreshJobs(ctx, pool, p, row); err != nil {
		return err
	}
	if err := l.submitDeclaredJobs(ctx, configuration, pool, p); err != nil {
		return err
	}
	state, err := l.jobState(ctx, configuration, pool, p)
	if err != nil {
		return err
	}
	counts := map[jobs.State]int{}
	for _, e := range p.jobs {
		counts[e.record.State]++
	}
	var steps []jobs.Step
	if len(state.Jobs) > 0 {
		steps = jobs.Plan(state)
	}
	l.mu.Lock()
	p.steps, p.counts = steps, counts
	l.mu.Unlock()
	return l.applyJobs(ctx, configuration, pool, p, state, steps)
}

// refreshJobs reads the jobs that were written since the last pass, or all of them at the first pass and after missed
// changes.
func (l *Loop) refreshJobs(ctx context.Context, pool string, p *poolJobs, row provider.Row) error {
	var changes jobChangesRow
	if err := decode(row, &changes); err != nil {
		return err
	}
	missing := changes.Sequence - p.sequence
	switch {
	case p.loaded && missing == 0:
		return nil
	case p.loaded && missing > 0 && missing <= int64(len(changes.Jobs)):
		keys := map[string]bool{}
		for _, id := range changes.Jobs[int64(len(changes.Jobs))-missing:] {
			keys[jobPrefix+id] = true
		}
		rows, err := l.Platform.Table().Read(ctx, sorted(keys)...)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := p.setRow(row, pool, l.Clock.Now()); err != nil {
				return err
			}
		}
	default:
		for after := ""; ; {
			page, err := l.Platform.Table().Scan(ctx, jobPrefix, after, scanLimit)
			if err != nil {
				return err
			}
			for _, row := range page {
				if err := p.setRow(row, pool, l.Clock.Now()); err != nil {
					return err
				}
				after = row.Key()
			}
			if len(page) < scanLimit {
				break
			}
		}
	}
	p.loaded, p.sequence = true, changes.Sequence
	return nil
}

func sorted[V any](set map[string]V) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (p *poolJobs) setRow(row provider.Row, pool string, now clock.Millis) error {
	var r jobs.RecordFields
	if err := decode(row, &r); err != nil {
		return err
	}
	if row.Version() == 0 || r.Pool != pool {
		return nil
	}
	e := &jobEntry{record: r, version: row.Version(), stateSeenAt: now}
	if before := p.jobs[r.ID]; before != nil && before.record.State == r.State && before.record.Token == r.Token {
		e.stateSeenAt, e.unreportedSince = before.stateSeenAt, before.unreportedSince
	}
	p.jobs[r.ID] = e
	return nil
}

// submitDeclaredJobs writes a row for each declared job of the pool that has none.
func (l *Loop) submitDeclaredJobs(ctx context.Context, configuration *config.Configuration, pool string, p *poolJobs) error {
	var missing []string
	for _, j := range configuration.Jobs() {
		if j.Fields().Pool == pool && p.jobs[j.Name()] == nil {
			missing = append(missing, j.Name())
		}
	}
	for chunk := range slices.Chunk(missing, jobBatch) {
		_, err := l.transitionJobs(ctx, pool, chunk, nil, func(r jobs.RecordFields, _ int64, _ map[string]*teamRow) (
			jobs.RecordFields, bool) {
			j, declared := configuration.Job(r.ID)
			if r.State != "" || !declared {
				return r, false // written by another loop, or in another pool under the same name
			}
			return jobs.New(j.Fields(), l.Wall()), true
		})
		if err != nil && !errorx.IsOfType(err, provider.ErrConflict) {
			return err
		}
	}
	return nil
}

// jobState returns the input of jobs.Plan for one pool, with the usage that the platform reports and the quota use
// from the table.
func (l *Loop) jobState(ctx context.Context, configuration *config.Configuration, pool string, p *poolJobs) (
	jobs.PoolFields, error) {
	now, wall := l.Clock.Now(), l.Wall()
	state := jobs.PoolFields{Name: pool, Wall: wall, Teams: map[string]config.TeamFields{}, Use: map[string]jobs.Use{}}
	bound := map[string][]*jobEntry{}
	for _, id := range sorted(p.jobs) {
		e := p.jobs[id]
		if e.record.State.Bound() {
			bound[e.record.Worker] = append(bound[e.record.Worker], e)
		}
	}
	usage := l.usage(ctx, p, bound, now)
	active := false
	for _, id := range sorted(p.jobs) {
		e := p.jobs[id]
		if e.record.State.Ended() && wall-e.record.Since > clock.Hour {
			continue // too old to count as evidence of a worker's health
		}
		active = active || !e.record.State.Ended()
		f := &jobs.Fields{RecordFields: e.record, Age: now - e.stateSeenAt}
		f.Task, f.Reported = usage[e.record.TaskID()]
		if e.unreportedSince > 0 {
			f.UnreportedFor = now - e.unreportedSince
		}
		if _, declared := configuration.Job(id); !declared && !e.record.State.Bound() {
			f.Cancel = true // removed from the configuration before it started
		}
		state.Jobs = append(state.Jobs, f)
		if t, declared := configuration.Team(e.record.Team); declared {
			state.Teams[e.record.Team] = t.Fields()
		}
	}
	if !active {
		state.Jobs = nil
		return state, nil
	}
	state.Workers = l.workers(pool, p, bound, now)
	teams := sorted(state.Teams)
	keys := make([]string, len(teams))
	for i, team := range teams {
		keys[i] = teamPrefix + team
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return state, err
	}
	for i, row := range rows {
		var t teamRow
		if err := decode(row, &t); err != nil {
			return state, err
		}
		state.Use[teams[i]] = t.total()
	}
	return state, nil
}

// usage reads the usage of tasks, by task id, from the workers with bound jobs: those with starting tasks first and the
// others in rotation, at most maxUsageReads in a pass. Tasks of a worker whose read failed are missing from the result.
func (l *Loop) usage(ctx context.Context, p *poolJobs, bound map[string][]*jobEntry, now clock.Millis) map[string]provider.UsageFields {
	usage := map[string]provider.UsageFields{}
	var readOrder, others []string
	for _, worker := range sorted(bound) {
		if slices.ContainsFunc(bound[worker], func(e *jobEntry) bool { return e.record.State == jobs.Starting }) {
			readOrder = append(readOrder, worker)
		} else {
			others = append(others, worker)
		}
	}
	for i := range others {
		readOrder = append(readOrder, others[(i+p.usageCursor)%len(others)])
	}
	readOrder = readOrder[:min(len(readOrder), maxUsageReads)]
	p.usageCursor += maxUsageReads
	for _, worker := range readOrder {
		reports, err := l.Platform.Tasks().Usage(ctx, worker)
		if err != nil {
			continue // the state of its tasks is unknown in this pass
		}
		for _, u := range reports {
			usage[u.ID()] = u.Fields()
		}
		for _, e := range bound[worker] {
			if _, known := usage[e.record.TaskID()]; known {
				e.unreportedSince = 0
			} else if e.unreportedSince == 0 {
				e.unreportedSince = max(now, 1)
			}
		}
	}
	return usage
}

// workers returns the workers of the pool and those that left it or are lost but still have jobs bound to them.
func (l *Loop) workers(pool string, p *poolJobs, bound map[string][]*jobEntry, now clock.Millis) []jobs.WorkerFields {
	a := l.Assignments
	a.mu.Lock()
	defer a.mu.Unlock()
	var workers []jobs.WorkerFields
	present := map[string]bool{}
	for id, e := range a.entries {
		if e.record.Pool != pool && bound[id] == nil {
			continue
		}
		i, listed := a.listed[id]
		w := jobs.WorkerFields{ID: id, Zone: e.record.Zone, Rack: e.record.Rack,
			Open: listed && e.record.Phase == planner.Serving && e.record.Pool == pool && i.State() == provider.Live,
			Lost: !listed || e.record.Phase == planner.Failed}
		if listed {
			w.Cores, w.MemoryMB, w.Accelerators = i.Cores(), i.MemoryMB(), i.Accelerators()
		}
		present[id] = true
		if !w.Lost {
			delete(p.lostSince, id)
		} else if _, known := p.lostSince[id]; !known {
			p.lostSince[id] = now
		}
		if w.Lost {
			w.LostFor = now - p.lostSince[id]
		}
		workers = append(workers, w)
	}
	for id := range bound {
		if !present[id] {
			if _, known := p.lostSince[id]; !known {
				p.lostSince[id] = now
			}
			workers = append(workers, jobs.WorkerFields{ID: id, Lost: true, LostFor: now - p.lostSince[id]})
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	return workers
}

// applyJobs first orders the platform to stop, checkpoint and throttle tasks or to lift throttles, then writes the new
// states, then repeats earlier starts, and then starts tasks. Stops come first because they free resources.
func (l *Loop) applyJobs(ctx context.Context, configuration *config.Configuration, pool string, p *poolJobs,
	state jobs.PoolFields, steps []jobs.Step) error {
	fields := make(map[string]*jobs.Fields, len(state.Jobs))
	for _, j := range state.Jobs {
		fields[j.ID] = j
	}
	changes, starts := map[string]jobs.Step{}, map[string]jobs.Step{}
	repeats := map[string]jobs.Step{}
	for _, s := range steps {
		var err error
		switch s.Kind() {
		case jobs.KindWait:
			continue
		case jobs.KindStart:
			starts[s.Job()] = s
			continue
		case jobs.KindRepeat:
			repeats[s.Job()] = s
			continue
		case jobs.KindCheckpoint:
			var ended bool
			if ended, err = l.checkpointTask(ctx, fields[s.Job()]); ended {
				continue // the next pass records its result
			}
		case jobs.KindThrottle, jobs.KindLiftThrottle:
			err = l.Platform.Tasks().Throttle(ctx, fields[s.Job()].TaskID(), s.Percent())
		case jobs.KindStop:
			err = l.Platform.Tasks().Stop(ctx, fields[s.Job()].TaskID())
		case jobs.KindRequeue, jobs.KindCancelled:
			if fields[s.Job()].State.Bound() && !fields[s.Job()].Reported {
				// A task that the platform does not report may still run on a worker that returns.
				_ = l.Platform.Tasks().Stop(ctx, fields[s.Job()].TaskID())
			}
		}
		if err != nil {
			eventTaskOrderFailed.Log(ctx, l.Logger, slog.String("job", s.Job()), slog.String("error", err.Error()))
			continue // the next pass repeats it
		}
		if s.Kind() != jobs.KindStop { // the end of the task is written once the platform reports it
			changes[s.Job()] = s
		}
	}
	if err := l.writeJobs(ctx, pool, p, changes, func(r jobs.RecordFields, _ map[string]*teamRow) (jobs.RecordFields, bool) {
		return jobAfterStep(changes[r.ID], r, fields[r.ID], l.Wall()), true
	}, nil); err != nil {
		return err
	}
	acceptedTokens := map[string]int{}
	start := func(r jobs.RecordFields) error {
		ok, err := l.startTask(ctx, pool, r)
		if ok {
			acceptedTokens[r.ID] = r.Token
		}
		return err
	}
	// Every order to start a task follows a write, so that the row shows whether another process may have sent one.
	if err := l.writeJobs(ctx, pool, p, repeats, func(r jobs.RecordFields, _ map[string]*teamRow) (jobs.RecordFields, bool) {
		r.Tries++
		return r, r.State == jobs.Starting && !r.Cancel
	}, start); err != nil {
		return err
	}
	if err := l.writeJobs(ctx, pool, p, starts, func(r jobs.RecordFields, teams map[string]*teamRow) (jobs.RecordFields, bool) {
		return bindJob(configuration, starts[r.ID], r, teams[r.Team], l.Wall())
	}, start); err != nil {
		return err
	}
	return l.recordStarts(ctx, pool, acceptedTokens)
}

// checkpointTask saves the state of a task and stops it. ended reports that the task had ended by itself in the
// meantime; it must not run again.
func (l *Loop) checkpointTask(ctx context.Context, j *jobs.Fields) (ended bool, err error) {
	if err := l.Platform.Tasks().Checkpoint(ctx, j.TaskID()); err != nil {
		return false, err
	}
	reports, err := l.Platform.Tasks().Usage(ctx, j.Worker)
	for _, u := range reports {
		if u.ID() == j.TaskID() && (u.State() == provider.TaskSucceeded || u.State() == provider.TaskFailed) {
			ended = true
		}
	}
	return ended, err
}

// recordStarts writes that the jobs whose start the platform accepted in this pass are running; a job that has
// changed since is left as it is.
func (l *Loop) recordStarts(ctx context.Context, pool string, tokens map[string]int) error {
	for chunk := range slices.Chunk(sorted(tokens), jobBatch) {
		_, err := l.transitionJobs(ctx, pool, chunk, nil, func(r jobs.RecordFields, _ int64, _ map[string]*teamRow) (
			jobs.RecordFields, bool) {
			if r.State != jobs.Starting || r.Token != tokens[r.ID] {
				return r, false
			}
			r.State, r.Since = jobs.Running, max(l.Wall(), r.Since)
			return r, true
		})
		if err != nil && !errorx.IsOfType(err, provider.ErrConflict) {
			return err
		}
	}
	return nil
}

// writeJobs changes the rows of jobs in batches, on condition that they are as planned, and calls written, if it is
// not nil, for each changed record.
func (l *Loop) writeJobs(ctx context.Context, pool string, p *poolJobs, steps map[string]jobs.Step,
	change func(jobs.RecordFields, map[string]*teamRow) (jobs.RecordFields, bool),
	written func(jobs.RecordFields) error) error {
	for chunk := range slices.Chunk(sorted(steps), jobBatch) {
		teams := map[string]bool{}
		for _, id := range chunk {
			teams[p.jobs[id].record.Team] = true
		}
		done, err := l.transitionJobs(ctx, pool, chunk, sorted(teams), func(r jobs.RecordFields, version int64,
			teams map[string]*teamRow) (jobs.RecordFields, bool) {
			if p.jobs[r.ID].version != version {
				return r, false // for example cancelled by an operator
			}
			return change(r, teams)
		})
		if err != nil && !errorx.IsOfType(err, provider.ErrConflict) {
			return err
		}
		for _, r := range done {
			s := steps[r.ID]
			eventJobStep.Log(ctx, l.Logger, slog.String("step", string(s.Kind())), slog.String("job", r.ID),
				slog.String("worker", s.Worker()), slog.Int("token", r.Token), slog.String("reason", s.Reason()))
			if written != nil {
				if err := written(r); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// jobAfterStep returns the record of a job after a step other than a start.
func jobAfterStep(s jobs.Step, r jobs.RecordFields, f *jobs.Fields, wall clock.Millis) jobs.RecordFields {
	r.Reason = s.Reason()
	if f.Reported && f.Task.RunTime > 0 && r.Percent == 0 {
		r.UsedCores, r.UsedMemoryMB = jobs.Observed(f.Task)
		r.UsedTime = f.Task.RunTime
	}
	if failure := s.Failure(); failure != nil {
		r.Failures = append(slices.Clone(r.Failures), *failure)
	}
	before := r.State
	switch s.Kind() {
	case jobs.KindRunning:
		r.State = jobs.Running
	case jobs.KindThrottle:
		r.Percent = s.Percent()
	case jobs.KindLiftThrottle:
		r.Percent = 0 // no throttle; the platform's percentage for it is 100
	case jobs.KindCheckpoint:
		r.State = jobs.Checkpointed
	case jobs.KindFinish:
		r.State = jobs.Succeeded
	case jobs.KindPark:
		r.State = jobs.Parked
	case jobs.KindCancelled:
		r.State = jobs.Cancelled
	case jobs.KindRequeue:
		r.State = jobs.Queued
		if f.Reported && f.Task.State == provider.TaskCheckpointed {
			r.State = jobs.Checkpointed
		}
		r.NotBefore = wall + s.Delay()
	}
	if r.State != before {
		r.Since = max(wall, r.Since)
	}
	if !r.State.Bound() {
		r.Percent, r.HeldCores, r.HeldMemoryMB = 0, 0, 0
	}
	return r
}

// bindJob returns the record of a job that is about to start, or false if its state or the quota in the table no
// longer allows the start.
func bindJob(configuration *config.Configuration, s jobs.Step, r jobs.RecordFields, team *teamRow, wall clock.Millis) (
	jobs.RecordFields, bool) {
	if r.State != jobs.Queued && r.State != jobs.Checkpointed || r.Cancel || r.RunOnce && r.Token > 0 {
		return r, false
	}
	cores, memory := s.Size()
	if t, declared := configuration.Team(r.Team); declared {
		used := team.total()
		if t.Cores() > 0 && used.Cores+cores > t.Cores() || t.MemoryMB() > 0 && used.MemoryMB+memory > t.MemoryMB() {
			return r, false
		}
	}
	r.State, r.Since, r.Worker, r.Token, r.Reason = jobs.Starting, max(wall, r.Since), s.Worker(), r.Token+1, s.Reason()
	r.HeldCores, r.HeldMemoryMB, r.Tries = cores, memory, 1
	return r, true
}

// startTask starts the task of a job whose binding was just written, and reports whether the platform accepted the
// start. An error means that the table failed; a start that the platform refused is logged and returns false. If the
// worker does not exist and the row shows that no other start was ordered, the task was not started, and even a
// run-once job goes back to the queue.
func (l *Loop) startTask(ctx context.Context, pool string, r jobs.RecordFields) (accepted bool, err error) {
	err = l.Platform.Tasks().Start(ctx, taskRequest(r))
	if err == nil {
		return true, nil
	}
	eventTaskOrderFailed.Log(ctx, l.Logger, slog.String("job", r.ID), slog.String("error", err.Error()))
	if !errorx.IsOfType(err, provider.ErrNotFound) || r.Tries > 1 {
		return false, nil // it may have started; the next pass repeats the start on the same worker
	}
	_, err = l.transitionJobs(ctx, pool, []string{r.ID}, []string{r.Team}, func(found jobs.RecordFields, _ int64,
		_ map[string]*teamRow) (jobs.RecordFields, bool) {
		if found.State != jobs.Starting || found.Token != r.Token || found.Tries != r.Tries {
			return found, false
		}
		found.State, found.Reason, found.HeldCores, found.HeldMemoryMB = jobs.Queued, "the worker does not exist", 0, 0
		if found.RunOnce {
			found.Token = 0 // no task was started; bindJob refuses a run-once job with a token
		}
		return found, true
	})
	if errorx.IsOfType(err, provider.ErrConflict) {
		return false, nil
	}
	return false, err
}

func taskRequest(r jobs.RecordFields) provider.TaskRequest {
	return provider.NewTaskRequest(provider.TaskFields{ID: r.TaskID(), Job: r.ID, Instance: r.Worker, Cores: r.HeldCores,
		MemoryMB: r.HeldMemoryMB, Accelerators: r.Accelerators, Lease: jobs.Lease, Command: r.Command})
}

// transitionJobs changes the rows of jobs of one pool, the use of their teams and the changes row of the pool in one
// transaction. A conflict is retried on the new rows.
func (l *Loop) transitionJobs(ctx context.Context, pool string, ids, teams []string,
	decide func(r jobs.RecordFields, version int64, teams map[string]*teamRow) (jobs.RecordFields, bool)) (
	done []jobs.RecordFields, err error) {
	for range 3 {
		done, err = l.tryTransitionJobs(ctx, pool, ids, teams, decide)
		if !errorx.IsOfType(err, provider.ErrConflict) {
			break
		}
	}
	return done, err
}

func (l *Loop) tryTransitionJobs(ctx context.Context, pool string, ids, teams []string,
	decide func(r jobs.RecordFields, version int64, teams map[string]*teamRow) (jobs.RecordFields, bool)) (
	done []jobs.RecordFields, err error) {
	keys := []string{jobChangesPrefix + pool}
	for _, team := range teams {
		keys = append(keys, teamPrefix+team)
	}
	for _, id := range ids {
		keys = append(keys, jobPrefix+id)
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var changes jobChangesRow
	if err := decode(rows[0], &changes); err != nil {
		return nil, err
	}
	uses, before := map[string]*teamRow{}, map[string][]byte{}
	for i, team := range teams {
		uses[team] = &teamRow{}
		if err := decode(rows[1+i], uses[team]); err != nil {
			return nil, err
		}
		before[team] = encode(uses[team])
	}
	var writes []provider.Write
	for i, id := range ids {
		row := rows[1+len(teams)+i]
		r := jobs.RecordFields{ID: id}
		if err := decode(row, &r); err != nil {
			return nil, err
		}
		after, update := decide(r, row.Version(), uses)
		if !update {
			continue
		}
		if t := uses[r.Team]; t != nil {
			t.update(pool, r, after)
		}
		changes.add(id)
		writes = append(writes, provider.Put(row.Key(), encode(after), row.Version()))
		done = append(done, after)
	}
	if len(writes) == 0 {
		return nil, nil
	}
	all := []provider.Write{provider.Put(rows[0].Key(), encode(changes), rows[0].Version())}
	for i, team := range teams {
		if after := encode(uses[team]); string(after) != string(before[team]) {
			all = append(all, provider.Put(rows[1+i].Key(), after, rows[1+i].Version()))
		}
	}
	if err := l.commit(ctx, provider.NewTransaction(uuid.NewString(), append(all, writes...)...), rows[0]); err != nil {
		return nil, err
	}
	return done, nil
}

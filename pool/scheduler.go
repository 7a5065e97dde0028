package pool

import (
	"context"
	"log/slog"
	"sort"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/event"
)

// Times and limits of the scheduler.
const (
	// MaxLease bounds the lease of a worker. It is shorter than the platform allows, because the tasks of a lost worker
	// cannot run elsewhere until its lease has expired.
	MaxLease = 6 * clock.Second

	clockDriftPercent = 3                     // workers' clocks may be 2% slow
	leaseMargin       = 100 * clock.Millis(1) // for rounding and late timers

	busyHoldWait       = 600 * clock.Millis(1)  // how long a hold waits on a worker with runs
	idleHoldWait       = 1500 * clock.Millis(1) // how long a hold waits on an idle worker; the platform allows 2000
	holdInterval       = 60 * clock.Millis(1)   // between two holds of a worker, so that one answer can list several ends
	holdRetryDelay     = 250 * clock.Millis(1)  // delay before the next hold after one without an answer
	unresponsiveAfter  = 2500 * clock.Millis(1) // a worker that has not answered for this long gets no new tasks
	maxReportAge       = 1200 * clock.Millis(1) // length of two holds; older reports of a worker may be out of date
	usualAnswerTime    = 150 * clock.Millis(1)  // workers usually answer an order within some milliseconds
	stopRepeatInterval = 700 * clock.Millis(1)  // a stop is repeated at this interval until the end of the run is listed
	startRefusedDelay  = 300 * clock.Millis(1)  // for which a worker that refused a start gets no other
	maxFailuresInRow   = 3                      // failed runs in a row after which a worker is avoided
	workerAvoidTime    = 4 * clock.Second
	// taskAvoidTime is how long a task is kept away from a worker on which it failed. A worker on which every run fails
	// always has free resources, and would otherwise use up all attempts of the task.
	taskAvoidTime = 2 * clock.Second
	// endedJobRetention is how long an ended job is kept in memory. A worker may carry out a start up to 12 s late; the run
	// then takes resources until it is stopped.
	endedJobRetention = 20 * clock.Second
	restartDelay      = 300 * clock.Millis(1) // before a long-running task starts again; doubled up to maxRestartDelay
	maxRestartDelay   = 2 * clock.Second
)

// rowEntries is the number of table rows written for one JobRow: the state and the progress of the job.
const rowEntries = 2

// MaxJobRows is the number of rows of jobs after which no further job is added to a transaction. The platform accepts 100
// entries per transaction, which include the owner's row, its report, deletions of expired states, and answers to evacuation
// requests.
const MaxJobRows = 70

// maxProgressBytes is the size of the progress of jobs after which no further job is added to a transaction. The platform accepts 1 MB per
// transaction, in which values are encoded as base64.
const maxProgressBytes = 512 << 10

// Scheduler schedules the jobs of one pool. It is not safe for concurrent use. Exported fields must be set before the first
// call. An incarnation of a worker is the time from one start of its process to the next, identified by its start time in
// Unix milliseconds. A hold is a long poll of the worker protocol (path /hold): it renews the worker's lease and returns the
// lists of its runs and of their ends. An end is the record of a run that has ended, which a worker numbers and keeps until
// it is acknowledged. A worker is evicted when its runs are given up as lost.
type Scheduler struct {
	Pool   string
	Logger *slog.Logger
	Lease  clock.Millis // granted with a start and with each renewal; at most MaxLease
	// RemoteFactor is the factor for the run time of a task away from the rack of its data, and of a tightly coupled gang on several racks;
	// with at most 1 no task waits for a rack.
	RemoteFactor float64
	// Retention is how long the rows of a job in a final state are kept.
	Retention clock.Millis
	// Caps bounds what the runs of customers use; nil: nothing does.
	Caps Caps
	// ListsMachines is set if ListMachines is answered. Otherwise a worker that does not answer counts as replaced by a later one on its machine
	// without the word of the platform.
	ListsMachines bool

	now               clock.Millis
	wall              clock.Millis
	configuration     *batch.Configuration
	jobs              map[string]*job
	active            []*job          // jobs without a final state, in order of arrival
	final             []finalJob      // jobs in a final state whose state row is kept
	ended             map[string]bool // IDs of the jobs in a final state without runs; only their state is stored
	recentlyEnded     []finalJob      // ended jobs that are still in jobs
	workers           map[string]*worker
	sorted            []*worker // by ID; out of date if its length differs from that of workers
	arrivals          arrivals
	corrections       map[string]*correction // by queue
	shares            map[string]*sizeShares // by queue
	customerShares    customerShares
	jobOrder          func(a, b rank) bool // which of two jobs is placed first
	histories         map[string]*history  // by queue
	nextCopySearch    clock.Millis
	listingMachines   bool                       // ListMachines has no answer yet
	nextMachineList   clock.Millis               // earliest time of the next one
	customerUse       map[string]batch.Resources // of the runs in this pool, by customer
	capped            cappedWork
	evacuations       map[string]Evacuation // by machine
	maintenanceDue    map[string]bool       // machines that are due for maintenance
	token             int64
	fenced            bool
	lastHoldID        int64        // ID of the newest hold
	lastPlan          clock.Millis // when Plan last ran
	evictionResumesAt clock.Millis // until then answers may have arrived that this instance has not read, and no worker is evicted

	dirty              []*job
	transaction        *Transaction
	refused            map[string]bool // jobs whose newest progress the store has refused
	orders             []any
	inheritedLeaseEnd  clock.Millis            // see SetInheritedLeases
	inheritedLeaseEnds map[string]clock.Millis // by worker
	inheritedTerms     map[string]batch.Terms  // by queue; see SetInheritedTerms
}

type finalJob struct {
	id    string
	since clock.Millis
}

// NewScheduler returns a scheduler for a pool without jobs and workers.
func NewScheduler(pool string, lease, retention clock.Millis, logger *slog.Logger) *Scheduler {
	return &Scheduler{
		Pool: pool, Logger: logger, Lease: lease, Retention: retention,
		configuration: &batch.Configuration{}, jobs: map[string]*job{}, ended: map[string]bool{}, workers: map[string]*worker{}, evacuations: map[string]Evacuation{},
		corrections: map[string]*correction{}, shares: map[string]*sizeShares{}, histories: map[string]*history{},
		customerUse: map[string]batch.Resources{}, refused: map[string]bool{}, jobOrder: rank.before,
	}
}

func (s *Scheduler) log(e *event.Event, attributes ...slog.Attr) {
	e.Log(context.Background(), s.Logger, append(attributes, slog.String("pool", s.Pool))...)
}

// Tick sets the current monotonic time and Unix time, both in milliseconds.
func (s *Scheduler) Tick(now, wall clock.Millis) { s.now, s.wall = now, wall }

// Fenced reports whether a worker has refused an order because it has seen a higher token, and no transaction has been committed since. The
// token is that of a newer owner of the pool, or of an owner of another pool that a false entry led to the worker.
func (s *Scheduler) Fenced() bool { return s.fenced }

// SetToken sets the fencing token of the first orders.
func (s *Scheduler) SetToken(token int64) { s.token = token }

// AddJob adds a job. progress is what a previous owner stored of it, or nil.
func (s *Scheduler) AddJob(def *batch.Job, progress *batch.Progress, cancelled bool) {
	if s.jobs[def.ID] != nil || s.ended[def.ID] {
		return // the job was read before it ended, and arrives afterwards
	}
	j := &job{def: def, state: batch.Pending, occurrences: map[int]*occurrence{}}
	age := min(max(s.wall-def.Accepted, 0), clock.Minute) // clocks of instances differ
	j.acceptedAt = s.now - age
	s.setTerms(j)
	s.jobs[def.ID] = j
	if j.hasObjective() {
		if s.shares[def.Queue] == nil {
			s.shares[def.Queue] = &sizeShares{}
		}
		j.size = s.shares[def.Queue].add(s.estimatedWork(def))
	}
	s.addToCustomer(j)
	if def.Occurrences == 0 && age < arrivalWindow {
		s.arrivals.add(s.now, s.estimatedWork(def))
	}
	if progress != nil {
		j.state = progress.State
		s.restore(j, progress)
		if j.state.Final() {
			s.final = append(s.final, finalJob{def.ID, s.now})
			s.stopRestoredRuns(j)
			return
		}
	}
	s.active = append(s.active, j)
	s.log(eventJobAdded, slog.String("job", def.ID), slog.String("queue", def.Queue), slog.Int64("age-ms", int64(age)),
		slog.String("state", j.state.String()), slog.Int("work-core-ms", s.estimatedWork(def)/1000))
	if cancelled {
		s.Cancel(def.ID)
	}
	s.advance(j)
}

// HasJob reports whether the job was added before, whether or not it has ended.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil || s.ended[id] }

// Active reports whether the job can be cancelled.
func (s *Scheduler) Active(id string) bool { return s.jobs[id] != nil && !s.jobs[id].state.Final() }

// AddEnded adds a job of which only the final state is stored.
func (s *Scheduler) AddEnded(id string) {
	if !s.ended[id] {
		s.ended[id] = true
		s.final = append(s.final, finalJob{id, s.now})
	}
}

// stopRestoredRuns marks the runs of a job that a previous owner ended, so that they are stopped once their workers answer.
func (s *Scheduler) stopRestoredRuns(j *job) {
	s.markDirty(j)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs() {
					if r != nil {
						r.stopping = true
					}
				}
			}
		}
	}
}

// running reports whether a task of the job has a run.
func (j *job) running() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					return true
				}
			}
		}
	}
	return false
}

// restore rebuilds the tasks of a job from stored progress. Runs that may still be on a worker are uncertain until the
// worker lists them, its answer shows that they are gone, or its lease has expired.
func (s *Scheduler) restore(j *job, progress *batch.Progress) {
	for i := range progress.Runs {
		stored := &progress.Runs[i]
		if !j.def.HasTask(stored.Key()) {
			continue // jobs are immutable, so the row is damaged; the task starts from the beginning
		}
		st := s.occurrence(j, stored.Occurrence).steps[stored.Step]
		t := st.tasks[stored.Index]
		t.number, t.failures, t.checkpoint, t.moves = max(t.number, stored.Number), stored.Failures, stored.Checkpoint, stored.Moves
		st.gang.failedRun = max(st.gang.failedRun, stored.FailedRun)
		if stored.Checkpoint != "" && st.gang.checkpoint == "" { // earlier versions stored different ones
			st.gang.checkpoint = stored.Checkpoint
		}
		if stored.Done && !t.done {
			t.done = true
			st.done++
		}
		if stored.Worker == "" || t.copy != nil {
			continue
		}
		w := s.workers[stored.Worker]
		if w == nil {
			w = &worker{entry: batch.Worker{ID: stored.Worker, Pool: s.Pool, Machine: stored.Machine, Incarnation: stored.Incarnation}, runs: map[string]*run{},
				strays: map[string]batch.Resources{}, incarnation: stored.Incarnation, token: s.token, addressKnownAt: s.now}
			s.workers[stored.Worker] = w
		}
		until, known := s.inheritedLeaseEnds[stored.Worker]
		if !known {
			until = s.inheritedLeaseEnd
		}
		w.leaseReported = known
		w.leaseUntil = max(w.leaseUntil, until)
		if w.runs[t.name] != nil {
			continue // the row is damaged
		}
		r := &run{task: t, worker: w, number: stored.Number, state: uncertain, incarnation: stored.Incarnation, throttle: 100, throttleUnknown: true,
			copied: t.run != nil, stopping: t.done}
		s.attach(r)
	}
}

func (s *Scheduler) occurrence(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{number: number}
	for i := range j.def.Steps {
		st := &step{job: j, def: &j.def.Steps[i]}
		for index := range st.def.Count {
			key := batch.TaskKey{Occurrence: number, Step: i, Index: index}
			st.tasks = append(st.tasks, &task{step: st, key: key, name: key.Name(j.def.ID)})
		}
		o.steps = append(o.steps, st)
	}
	j.occurrences[number] = o
	return o
}

// Cancel ends a job at the request of a caller. It has no effect on a job that is unknown or has ended.
func (s *Scheduler) Cancel(id string) {
	j := s.jobs[id]
	if j == nil || j.state.Final() || j.cancelled {
		return
	}
	j.cancelled = true
	s.conclude(j, batch.Cancelled)
}

// conclude puts a job into a final state and stops its runs.
func (s *Scheduler) conclude(j *job, state batch.State) {
	j.state = state
	s.markDirty(j)
	s.final = append(s.final, finalJob{j.def.ID, s.now})
	jobTime.Observe(s.now - j.acceptedAt)
	objective := clock.Millis(0)
	if j.hasObjective() && j.occurrences[0] != nil {
		objective = objectiveOf(j.terms, s.forecast(j).criticalPath)
		if state == batch.Completed {
			s.recordOutcome(j, s.now-j.acceptedAt <= objective)
		}
	}
	s.log(eventJobEnded, slog.String("job", j.def.ID), slog.String("queue", j.def.Queue), slog.String("state", state.String()),
		slog.Int64("after-ms", int64(s.now-j.acceptedAt)), slog.Int64("objective-ms", int64(objective)))
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs() {
					switch {
					case r == nil:
					case r.state == planned && !r.inTransaction:
						s.finish(r, EndLost, "")
					default:
						s.stop(r, "job "+state.String())
					}
				}
			}
		}
	}
}

func (s *Scheduler) markDirty(j *job) {
	j.ranked.job = nil
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// advance starts occurrences that are due, and completes the job once all occurrences are done.
func (s *Scheduler) advance(j *job) {
	if j.state.Final() {
		return
	}
	for k := range j.def.Runs() {
		if j.occurrences[k] == nil && (j.def.Occurrences == 0 || s.wall >= j.def.Due(k)) {
			s.occurrence(j, k)
		}
	}
	j.waiting, j.finished, j.exhausted = 0, 0, false
	for _, o := range j.occurrences {
		if s.advanceOccurrence(j, o) {
			j.finished++
		}
	}
	switch {
	case j.exhausted:
		s.conclude(j, batch.Failed)
	case j.finished == j.def.Runs():
		s.conclude(j, batch.Completed)
	}
}

func (s *Scheduler) advanceOccurrence(j *job, o *occurrence) (finished bool) {
	if o.done {
		return true
	}
	o.done = true
	for _, st := range o.steps {
		if st.complete() {
			continue
		}
		o.done = false
		if !o.mayRun(st) {
			continue
		}
		for _, t := range st.tasks {
			if !t.done && t.run == nil {
				j.waiting++
				j.exhausted = j.exhausted || t.failures >= j.maxAttempts() && !st.def.LongRunning
			}
		}
	}
	return o.done
}

func (o *occurrence) mayRun(st *step) bool {
	for _, earlier := range st.def.After {
		if !o.steps[earlier].complete() {
			return false
		}
	}
	return true
}

func sortedRuns(w *worker) []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task.name < all[j].task.name })
	return all
}

// finish records the end of a run and releases its resources.
func (s *Scheduler) finish(r *run, how EndReason, checkpoint string) {
	t, j := r.task, r.task.step.job
	w := r.worker
	s.detach(r)
	if r.sent != 0 {
		runTime.Observe(s.now - r.sent)
	}
	if how != EndDone || t.done { // the others are logged by step, see stepCompleted
		s.log(eventEnded, slog.String("task", t.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
			slog.String("how", string(how)), slog.Int64("after-ms", int64(s.now-r.sent)),
			slog.Int64("declared-ms", int64(t.step.def.Estimate)))
	}
	r.saveCheckpoint(checkpoint, how == EndStopped)
	if how == EndDone {
		w.failures = 0
	}
	if how == EndDone && !t.done {
		s.recordRunTime(r)
	}
	s.markDirty(j)
	s.recordCopy(r, how)
	if j.state.Final() {
		return
	}
	switch {
	case t.done: // by an earlier run
	case t.step.def.LongRunning:
		s.scheduleRestart(r, how)
	case how == EndDone && t.step.def.Gang:
		s.finishGang(t.step)
	case how == EndDone:
		t.done = true
		t.step.done++
		s.stopRuns(t, "task done by another run")
		if t.step.complete() {
			s.stepCompleted(t.step)
		}
	case how == EndFailed:
		s.recordFailure(r)
	}
	s.advance(j)
}

// stepCompleted learns from the run times of a step whose tasks are all done.
func (s *Scheduler) stepCompleted(st *step) {
	s.updateCorrection(st)
	average, _ := st.expected()
	s.log(eventStepCompleted, slog.String("step", st.name()), slog.Int("tasks", len(st.tasks)), slog.Int64("run-ms", int64(average)),
		slog.Int64("declared-ms", int64(st.def.Estimate)), slog.Int64("age-ms", int64(s.now-st.job.acceptedAt)))
}

func (s *Scheduler) scheduleRestart(r *run, how EndReason) {
	t := r.task
	if how == EndFailed && r.percent < 100 {
		t.restarts++
		t.avoidWorker(r.worker, s.now)
		t.retryAt = s.now + min(restartDelay<<min(t.restarts-1, 8), maxRestartDelay)
		s.countFailure(r.worker)
		return
	}
	t.restarts = 0
}

// finishGang marks all tasks of a gang as done when one of them is.
func (s *Scheduler) finishGang(st *step) {
	for _, t := range st.tasks {
		if t.run != nil {
			s.detach(t.run)
		}
		t.done = true
	}
	st.done = len(st.tasks)
}

func (s *Scheduler) recordFailure(r *run) {
	t := r.task
	t.avoidWorker(r.worker, s.now)
	s.countFailure(r.worker)
	counted := t
	if t.step.def.Gang {
		if !t.step.gang.countFailure(r.number) {
			return
		}
		counted = t.step.tasks[0]
	}
	counted.failures++
	if counted.failures >= t.step.job.maxAttempts() {
		s.conclude(t.step.job, batch.Failed)
	}
}

// countFailure counts consecutive failed runs of a worker, which is avoided after too many: it may be the cause.
func (s *Scheduler) countFailure(w *worker) {
	w.failures++
	if w.failures >= maxFailuresInRow {
		w.avoidUntil = s.now + workerAvoidTime
	}
}

// Committed confirms that the transaction in flight was committed under the given token, and queues the orders that waited
// for it.
func (s *Scheduler) Committed(token int64) {
	tx := s.transaction
	s.transaction = nil
	s.token = token
	for _, w := range s.workers {
		w.leaseReported = w.leaseInReport
	}
	// The commit shows that this instance still owns the pool, whatever a worker has seen.
	s.fenced = false
	for _, w := range s.workers {
		if w.outranked {
			w.outranked, w.token, w.nextHold = false, token, s.now
		}
		if w.needToken && w.holdID == 0 {
			w.needToken = false
			w.token = token
			w.nextHold = s.now
		}
	}
	if tx == nil {
		return
	}
	for w, end := range tx.acks {
		if w.incarnation == tx.incarnations[w] && end > w.ack {
			w.ack = end
			if len(w.runs) == 0 {
				w.nextHold = min(w.nextHold, s.now+holdInterval)
			}
		}
	}
	partial := s.partialGangs(tx.starts)
	for _, r := range tx.starts {
		if !r.attached() { // the worker has restarted, or the task was done meanwhile
			continue
		}
		if partial[r.task.step] || !s.canSend(r) {
			s.log(eventNotSent, slog.String("task", r.task.name), slog.Int("run", r.number), slog.String("worker", r.worker.entry.ID))
			s.finish(r, EndLost, "")
			continue
		}
		s.sendStart(r)
	}
	for _, id := range tx.ended {
		s.ended[id] = true
		s.recentlyEnded = append(s.recentlyEnded, finalJob{id, s.now})
	}
}

// canSend reports whether the start of a placed run may still be sent.
func (s *Scheduler) canSend(r *run) bool {
	w := r.worker
	return !r.task.step.job.state.Final() && w.confirmed && w.clockAt != 0 && !w.leaseFixed() && s.mayStillStart(r)
}

// partialGangs returns the gangs of which a part of the starts can no longer be sent. The other members would wait for it in vain.
func (s *Scheduler) partialGangs(starts []*run) map[*step]bool {
	var partial map[*step]bool
	for _, r := range starts {
		if st := r.task.step; st.def.Gang && !partial[st] && (!r.attached() || !s.canSend(r)) {
			if partial == nil {
				partial = map[*step]bool{}
			}
			partial[st] = true
		}
	}
	return partial
}

// Orders returns the orders queued since the last call: values of type Start, Stop, Throttle,
// Hold, Advise and ListMachines.
func (s *Scheduler) Orders() []any {
	orders := s.orders
	s.orders = nil
	return orders
}

package pool

import (
	"context"
	"log/slog"
	"sort"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/event"
)

// Times of the scheduler.
const (
	// MaxLease bounds the lease of a worker below what the platform allows: a worker that is lost keeps its tasks
	// from running elsewhere for that long.
	MaxLease = 6 * clock.Second

	clockDriftPercent = 3                     // workers' clocks may be 2% slow
	leaseMargin       = 100 * clock.Millis(1) // for rounding and late timers

	busyWait      = 600 * clock.Millis(1)  // a hold on a worker that runs something
	idleWait      = 1500 * clock.Millis(1) // a hold on an idle one; the platform allows 2000
	holdPause     = 60 * clock.Millis(1)   // between two holds of a worker, so that one brings several ends
	holdRetry     = 250 * clock.Millis(1)  // after a hold without an answer
	silentAfter   = 2500 * clock.Millis(1) // without an answer a worker gets no new tasks
	reportAge     = 1200 * clock.Millis(1) // two holds; what a worker said before may no longer hold
	answerTime    = 150 * clock.Millis(1)  // of an order; workers answer in some milliseconds
	stopRepeat    = 700 * clock.Millis(1)  // until the end is listed
	startRepeat   = 300 * clock.Millis(1)  // pause after a start that a worker refused
	failuresLimit = 3                      // failed runs in a row after which a worker is avoided
	avoidTime     = 4 * clock.Second
	// taskAvoidTime is for how long a task does not go back to a worker where it failed; a worker that fails everything
	// would otherwise use up its attempts, as it always has room.
	taskAvoidTime = 2 * clock.Second
	// recentTime is for how long a job is remembered after it ended: a start that a worker carries out late, after 12 s
	// at most, takes room until it is stopped.
	recentTime   = 20 * clock.Second
	restartPause = 300 * clock.Millis(1) // before a long-running task starts again, doubled up to restartLimit
	restartLimit = 2 * clock.Second
)

// rowEntries is how many rows are written for one JobRow: its state, and its progress.
const rowEntries = 2

// MaxEntries is how many rows of jobs a transaction has, but for the rest of one job. The platform takes 100 entries, among
// them the owner's row, its report, states that are no longer kept, and answers to wants.
const MaxEntries = 70

// Scheduler runs the jobs of one pool. It is not safe for concurrent use. Exported fields are set before the first call.
type Scheduler struct {
	Pool   string
	Logger *slog.Logger
	Lease  clock.Millis
	// Retention is how long the rows of a job in a final state are kept.
	Retention clock.Millis

	now           clock.Millis
	wall          clock.Millis
	configuration *batch.Configuration
	jobs          map[string]*job
	active        []*job          // not final, in the order in which they came
	final         []finalJob      // whose states are kept
	over          map[string]bool // ids of those of which only the state is stored
	recent        []finalJob      // those that are still in jobs
	workers       map[string]*worker
	sorted        []*worker // by id; has another length than workers when it is out of date
	arrivals      arrivals
	corrections   map[string]*correction // by queue
	wants         map[string]string      // ids of wants by worker
	upkeep        map[string]bool        // machines that are due for upkeep
	token         int64
	fenced        bool
	orderID       int64        // of the newest hold
	plannedAt     clock.Millis // the newest plan
	evictFrom     clock.Millis // until then the owner may have answers that it has not read

	dirty       []*job
	draft       *Transaction
	orders      []any
	inherited   clock.Millis            // see Inherit
	inheritedBy map[string]clock.Millis // by worker
}

type finalJob struct {
	id    string
	since clock.Millis
}

// NewScheduler returns a scheduler for a pool without jobs and workers.
func NewScheduler(pool string, lease, retention clock.Millis, logger *slog.Logger) *Scheduler {
	return &Scheduler{
		Pool: pool, Logger: logger, Lease: lease, Retention: retention,
		configuration: &batch.Configuration{}, jobs: map[string]*job{}, over: map[string]bool{}, workers: map[string]*worker{}, wants: map[string]string{},
		corrections: map[string]*correction{},
	}
}

func (s *Scheduler) log(e *event.Event, attributes ...slog.Attr) {
	e.Log(context.Background(), s.Logger, append(attributes, slog.String("pool", s.Pool))...)
}

// Configure puts a configuration in force.
func (s *Scheduler) Configure(c *batch.Configuration) { s.configuration = c }

// Tick tells the steady time and the Unix time.
func (s *Scheduler) Tick(now, wall clock.Millis) { s.now, s.wall = now, wall }

// Fenced reports whether a worker has refused an order because of a higher token, which only another owner can have.
func (s *Scheduler) Fenced() bool { return s.fenced }

// SetToken tells the fencing token under which the first orders go out.
func (s *Scheduler) SetToken(token int64) { s.token = token }

// AddJob takes a job in; progress is what a previous owner stored of it, or nil.
func (s *Scheduler) AddJob(def *batch.Job, progress *batch.Progress, cancelled bool) {
	if s.jobs[def.ID] != nil || s.over[def.ID] {
		return // a copy that was read before the job ended may come after it
	}
	j := &job{def: def, state: batch.Pending, occurrences: map[int]*occurrence{}}
	age := min(max(s.wall-def.Accepted, 0), clock.Minute) // clocks of instances differ
	j.seen = s.now - age
	s.jobs[def.ID] = j
	if def.Occurrences == 0 && age < arrivalWindow {
		s.arrivals.note(s.now, s.work(def))
	}
	if progress != nil {
		j.state = progress.State
		s.restore(j, progress)
		if j.state.Final() {
			s.final = append(s.final, finalJob{def.ID, s.now})
			s.stopRestored(j)
			return
		}
	}
	s.active = append(s.active, j)
	s.log(eventJobTaken, slog.String("job", def.ID), slog.String("queue", def.Queue), slog.Int64("age-ms", int64(age)),
		slog.String("state", j.state.String()), slog.Int("work-core-ms", s.work(def)/1000))
	if cancelled {
		s.Cancel(def.ID)
	}
	s.advance(j)
}

// HasJob reports whether the job was taken in before, ended or not.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil || s.over[id] }

// Active reports whether the job can be cancelled.
func (s *Scheduler) Active(id string) bool { return s.jobs[id] != nil && !s.jobs[id].state.Final() }

// AddEnded takes in a job of which only the state is kept.
func (s *Scheduler) AddEnded(id string) {
	if !s.over[id] {
		s.over[id] = true
		s.final = append(s.final, finalJob{id, s.now})
	}
}

// stopRestored stops the runs of a job that a previous owner ended, once their workers answer.
func (s *Scheduler) stopRestored(j *job) {
	s.mark(j)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					t.run.stopping = true
				}
			}
		}
	}
}

// running reports whether a run of the job is out.
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

// restore rebuilds the tasks of a job from what was stored. Runs that a worker may hold are uncertain until that worker
// lists them, shows that it does not have them, or its lease is over.
func (s *Scheduler) restore(j *job, progress *batch.Progress) {
	for i := range progress.Runs {
		stored := &progress.Runs[i]
		o := s.occurrence(j, stored.Occurrence)
		if stored.Step >= len(o.steps) || stored.Index >= len(o.steps[stored.Step].tasks) {
			continue // a job never changes, so that only a damaged row can say this; the task starts from the beginning
		}
		st := o.steps[stored.Step]
		t := st.tasks[stored.Index]
		t.number, t.failures, t.checkpoint = stored.Number, stored.Failures, stored.Checkpoint
		if stored.Done {
			t.done = true
			st.done++
			continue
		}
		if stored.Worker == "" || s.succeeded(stored) {
			continue
		}
		w := s.workers[stored.Worker]
		if w == nil {
			w = &worker{entry: batch.Worker{ID: stored.Worker, Pool: s.Pool, Machine: stored.Machine, Incarnation: stored.Incarnation}, runs: map[string]*run{},
				strays: map[string]batch.Resources{}, born: stored.Incarnation, token: s.token, reachable: s.now}
			s.workers[stored.Worker] = w
		}
		until, known := s.inheritedBy[stored.Worker]
		if !known {
			until = s.inherited
		}
		w.leaseKept = known
		w.leaseUntil = max(w.leaseUntil, until)
		r := &run{task: t, worker: w, number: stored.Number, state: uncertain, born: stored.Incarnation, pace: 100}
		t.run = r
		w.runs[t.name] = r
		w.used = w.used.Add(st.def.Reserve())
	}
}

// succeeded reports whether the machine of a stored run has a new life, so that the run is gone.
func (s *Scheduler) succeeded(stored *batch.Run) bool {
	for _, w := range s.workers {
		if w.listed && stored.Machine != "" && w.entry.Machine == stored.Machine && w.entry.ID != stored.Worker && w.entry.Incarnation > stored.Incarnation {
			return true
		}
	}
	return false
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

// Cancel ends a job at a caller's request.
func (s *Scheduler) Cancel(id string) {
	j := s.jobs[id]
	if j == nil || j.state.Final() || j.cancelled {
		return
	}
	j.cancelled = true
	s.conclude(j, batch.Cancelled)
}

// conclude gives a job its final state and stops what still runs.
func (s *Scheduler) conclude(j *job, state batch.State) {
	j.state = state
	s.mark(j)
	s.final = append(s.final, finalJob{j.def.ID, s.now})
	jobTime.Observe(s.now - j.seen)
	objective := clock.Millis(0)
	if queue, ok := s.configuration.Queue(j.def.Queue); ok && j.timed() && j.occurrences[0] != nil {
		objective = objectiveOf(queue, s.outlook(j).chain)
	}
	s.log(eventJobEnded, slog.String("job", j.def.ID), slog.String("queue", j.def.Queue), slog.String("state", state.String()),
		slog.Int64("after-ms", int64(s.now-j.seen)), slog.Int64("objective-ms", int64(objective)))
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				switch {
				case t.run == nil:
				case t.run.state == planned && !t.run.drafted:
					s.finish(t.run, EndLost, "")
				default:
					s.stop(t.run, "job "+state.String())
				}
			}
		}
	}
}

func (s *Scheduler) mark(j *job) {
	j.ranked.job = nil
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// advance starts occurrences that are due and gives the job its final state once all have ended.
func (s *Scheduler) advance(j *job) {
	if j.state.Final() {
		return
	}
	for k := range j.def.Runs() {
		if j.occurrences[k] == nil && (j.def.Occurrences == 0 || s.wall >= j.def.Due(k)) {
			s.occurrence(j, k)
		}
	}
	j.waiting, j.finished = 0, 0
	for _, o := range j.occurrences {
		if s.advanceOccurrence(j, o) {
			j.finished++
		}
	}
	if j.finished == j.def.Runs() {
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

// SetWorker takes in what a worker says of itself in the platform's store.
func (s *Scheduler) SetWorker(entry batch.Worker) {
	w := s.workers[entry.ID]
	if w == nil {
		w = &worker{runs: map[string]*run{}, strays: map[string]batch.Resources{}, token: s.token, born: entry.Incarnation}
		w.wanted = s.wants[entry.ID] != ""
		_, w.leaseKept = s.inheritedBy[entry.ID]
		s.workers[entry.ID] = w
		s.succeed(entry)
	}
	if w.entry.Address == "" {
		w.reachable = s.now
	}
	if !w.listed || w.entry.Draining != entry.Draining {
		s.log(eventWorker, slog.String("worker", entry.ID), slog.String("machine", entry.Machine),
			slog.Bool("draining", entry.Draining), slog.Int64("born", entry.Incarnation))
	}
	w.entry, w.listed = entry, true
	if entry.Incarnation > w.born {
		s.reborn(w, entry.Incarnation)
	}
}

// succeed ends the runs of earlier lives of the machine: the new life has taken its place.
func (s *Scheduler) succeed(entry batch.Worker) {
	if entry.Machine == "" {
		return
	}
	for _, old := range s.workers {
		if old.entry.Machine != entry.Machine || old.entry.ID == entry.ID || old.entry.Incarnation >= entry.Incarnation {
			continue
		}
		s.log(eventReborn, slog.String("worker", old.entry.ID), slog.String("successor", entry.ID),
			slog.Int("runs", len(old.runs)))
		s.loseRuns(old)
	}
}

// RemoveWorker tells that a worker is no longer in the platform's store. Its runs count on until its lease is over.
func (s *Scheduler) RemoveWorker(id string) {
	if w := s.workers[id]; w != nil && w.listed {
		w.listed = false
		s.log(eventWorker, slog.String("worker", id), slog.Bool("left", true), slog.Int("runs", len(w.runs)))
	}
}

// Workers returns the ids of the workers that the platform's store lists.
func (s *Scheduler) Workers() []string {
	var ids []string
	for id, w := range s.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (s *Scheduler) reborn(w *worker, born int64) {
	if len(w.runs) > 0 || w.born != 0 {
		s.log(eventReborn, slog.String("worker", w.entry.ID), slog.Int64("born", born), slog.Int64("before", w.born),
			slog.Int("runs", len(w.runs)))
	}
	for _, r := range sortedRuns(w) {
		if r.life != 0 && r.life < born || r.state == planned && !r.drafted {
			s.finish(r, EndLost, "")
			continue
		}
		// Its start may still be on its way, or the new life may have taken it: it has the same id. The run stays until
		// that life has answered under a higher token.
		if r.state != planned && r.life != born {
			r.state, r.answered = uncertain, s.now
		}
	}
	w.born, w.seenEnd, w.ack, w.acked, w.clockAt, w.confirmed, w.since, w.listedAt = born, 0, 0, 0, 0, false, 0, 0
	w.strays = map[string]batch.Resources{}
	// The new life has seen no token: a late order for the old one is refused only under a token above its own.
	w.needToken = true
	w.nextHold = s.now
}

func (s *Scheduler) loseRuns(w *worker) {
	for _, r := range sortedRuns(w) {
		s.finish(r, EndLost, "")
	}
}

func sortedRuns(w *worker) []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task.name < all[j].task.name })
	return all
}

// finish takes in the end of a run and frees its resources.
func (s *Scheduler) finish(r *run, how EndReason, checkpoint string) {
	t, j := r.task, r.task.step.job
	w := r.worker
	delete(w.runs, t.name)
	w.used = w.used.Sub(t.step.def.Reserve())
	t.run = nil
	if r.sent != 0 {
		runTime.Observe(s.now - r.sent)
	}
	s.log(eventEnded, slog.String("task", t.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
		slog.String("how", string(how)), slog.Int64("after-ms", int64(s.now-r.sent)),
		slog.Int64("declared-ms", int64(t.step.def.Estimate)))
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if how == EndDone {
		w.failures = 0
		s.noteSpeed(r)
	}
	s.mark(j)
	if j.state.Final() {
		return
	}
	switch {
	case t.done: // by an earlier run
	case t.step.def.LongRunning:
		s.restartLater(r, how)
	case how == EndDone && t.step.def.Gang:
		s.gangDone(t.step)
	case how == EndDone:
		t.done = true
		t.step.done++
		if t.step.complete() {
			s.learn(t.step)
		}
	case how == EndFailed:
		s.failed(r)
	}
	s.advance(j)
}

func (s *Scheduler) restartLater(r *run, how EndReason) {
	t := r.task
	if how == EndFailed && r.percent < 100 {
		t.retries++
		t.leave(r.worker, s.now)
		t.retryAt = s.now + min(restartPause<<min(t.retries-1, 8), restartLimit)
		s.suspect(r.worker)
		return
	}
	t.retries = 0
}

// gangDone ends all tasks of a gang: one end stands for all of them.
func (s *Scheduler) gangDone(st *step) {
	for _, t := range st.tasks {
		if t.run != nil {
			other := t.run
			delete(other.worker.runs, t.name)
			other.worker.used = other.worker.used.Sub(st.def.Reserve())
			t.run = nil
		}
		t.done = true
	}
	st.done = len(st.tasks)
}

func (s *Scheduler) failed(r *run) {
	t := r.task
	counted := t
	if t.step.def.Gang {
		counted = t.step.tasks[0]
	}
	counted.failures++
	t.leave(r.worker, s.now)
	s.suspect(r.worker)
	attempts := 1
	if queue, ok := s.configuration.Queue(t.step.job.def.Queue); ok {
		attempts = max(queue.MaxAttempts, 1)
	} else {
		attempts = counted.failures + 1 // the queue is gone, and with it the limit; the job is still owed
	}
	if counted.failures >= attempts {
		s.conclude(t.step.job, batch.Failed)
	}
}

// suspect counts failed runs of a worker in a row; too many may be the worker's fault.
func (s *Scheduler) suspect(w *worker) {
	w.failures++
	if w.failures >= failuresLimit {
		w.avoidUntil = s.now + avoidTime
	}
}

// Committed tells that the draft is stored, under which token, and releases what waited for it.
func (s *Scheduler) Committed(token int64) {
	d := s.draft
	s.draft = nil
	s.token = token
	for _, w := range s.workers {
		w.leaseKept = w.leaseTold
	}
	for _, w := range s.workers {
		if w.needToken && w.holding == 0 {
			w.needToken = false
			w.token = token
			w.nextHold = s.now
		}
	}
	if d == nil {
		return
	}
	for w, end := range d.acks {
		if w.born == d.lives[w] && end > w.ack {
			w.ack = end
			if len(w.runs) == 0 {
				w.nextHold = min(w.nextHold, s.now+holdPause)
			}
		}
	}
	for _, r := range d.starts {
		if r.task.run != r { // the worker restarted meanwhile
			continue
		}
		if r.task.step.job.state.Final() || !r.worker.confirmed || r.worker.clockAt == 0 || r.worker.keepsLease() {
			s.log(eventNotSent, slog.String("task", r.task.name), slog.Int("run", r.number), slog.String("worker", r.worker.entry.ID))
			s.finish(r, EndLost, "")
			continue
		}
		s.send(r)
	}
	for _, id := range d.over {
		s.over[id] = true
		s.recent = append(s.recent, finalJob{id, s.now})
	}
}

// Orders returns the orders that are due since the last call: values of Start, Stop, Pace, Hold and Advise.
func (s *Scheduler) Orders() []any {
	orders := s.orders
	s.orders = nil
	return orders
}

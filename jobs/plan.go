package jobs

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
)

const (
	defaultAttempts = 5
	// Lease is the lease of a task on its worker; a task on a lost worker has ended when it has lapsed.
	Lease = 30 * clock.Second
	// missingTimeout is how long a worker's reports, which lag, may lack a task that the platform accepted.
	missingTimeout = 2 * clock.Minute
	// startTimeout is how long a start without a report is repeated on the same worker.
	startTimeout = 10 * Lease
	// firstRetryDelay doubles with every failed attempt up to longestDelay.
	firstRetryDelay = 10 * clock.Second
	maxRetryDelay   = 10 * clock.Minute
	// failureWindow is how long a failure speaks against a worker, after which the worker is tried again.
	failureWindow = clock.Hour
	// faultThreshold different jobs that fail on a worker on which nothing succeeds make it a bad worker.
	faultThreshold = 3
	// minObservation is how long a task runs before its usage counts, because reports lag.
	minObservation = 30 * clock.Second
	// throttlePercent is the percentage to which a less urgent task is limited.
	throttlePercent = 25
	// startsPerPass bounds the writes of a pass; the platform takes several hundred a second for the whole fleet.
	startsPerPass = 400
	// preemptionsPerPass bounds the search for room in a flood of urgent jobs.
	preemptionsPerPass = 64
	// triesPerTeam is how many jobs of a team and class are tried in a pass before the team has to wait.
	triesPerTeam = 8
)

// Plan returns the steps for the jobs of one pool.
func Plan(f PoolFields) []Step {
	p := &pass{f: f, workersByID: make(map[string]*worker, len(f.Workers))}
	p.prepare()
	p.processJobs()
	p.startQueued()
	p.liftThrottles()
	return p.steps
}

type worker struct {
	WorkerFields
	faulty                bool
	freeCores, freeMemory int // by observed size
	freeAccelerators      int
	running               []*Fields // tasks that may be throttled or checkpointed
}

type pass struct {
	f           PoolFields
	workers     []worker
	workersByID map[string]*worker // workers by id
	faultyJobs  map[string]bool    // jobs that fail wherever they run
	buckets     [][]*worker        // open workers by free cores
	largest     WorkerFields
	queue       []*Fields
	use         map[string]Use // of the teams, with the starts of this pass
	teamCores   map[string]int // cores of this pool that each team's tasks hold
	fairShare   int            // cores of the pool for each team that has jobs here
	steps       []Step
}

func (p *pass) add(s Step, format string, arguments ...any) {
	s.reason = fmt.Sprintf(format, arguments...)
	p.steps = append(p.steps, s)
}

// size returns what a job needs: what was observed once it has run for a while, else what is declared.
func size(j *Fields) (cores, memoryMB int) {
	cores, memoryMB = j.Cores, j.MemoryMB
	if j.UsedCores > 0 {
		cores, memoryMB = j.UsedCores, j.UsedMemoryMB
	}
	if j.Known && j.Task.State == provider.TaskRunning && j.Task.RunTime >= minObservation && j.Percent == 0 {
		cores, memoryMB = Observed(j.Task)
	}
	return cores, memoryMB
}

// Observed returns the size of a task by its usage, with a tenth of the memory on top because usage lags.
func Observed(u provider.UsageFields) (cores, memoryMB int) {
	return max((u.CoresPct+99)/100, 1), u.MemoryMB + u.MemoryMB/10
}

// prepare counts what is free on each worker and which workers and jobs are at fault.
func (p *pass) prepare() {
	p.workers = make([]worker, len(p.f.Workers))
	total := 0
	for i, w := range p.f.Workers {
		p.workers[i] = worker{WorkerFields: w, freeCores: w.Cores, freeMemory: w.MemoryMB, freeAccelerators: w.Accelerators}
		p.workersByID[w.ID] = &p.workers[i]
		if w.Lost {
			continue
		}
		total += w.Cores
		p.largest.Cores = max(p.largest.Cores, w.Cores)
		p.largest.MemoryMB = max(p.largest.MemoryMB, w.MemoryMB)
		p.largest.Accelerators = max(p.largest.Accelerators, w.Accelerators)
	}
	p.findFaults()
	p.use, p.teamCores = make(map[string]Use, len(p.f.Use)), map[string]int{}
	for team, u := range p.f.Use {
		p.use[team] = u
	}
	teams := map[string]bool{}
	for _, j := range p.f.Jobs {
		if !j.State.Ended() {
			teams[j.Team] = true
		}
		if w := p.workersByID[j.Worker]; w != nil && j.State.Bound() {
			p.occupy(w, j)
		}
	}
	p.fairShare = total / max(len(teams), 1)
}

func (p *pass) occupy(w *worker, j *Fields) {
	cores, memory := size(j)
	if j.Percent > 0 {
		cores = (cores*j.Percent + 99) / 100
	}
	w.freeCores -= cores
	w.freeMemory -= memory
	w.freeAccelerators -= j.Accelerators
	w.running = append(w.running, j)
	p.teamCores[j.Team] += cores
}

// findFaults finds the workers that fail everything and the jobs that fail everywhere. A job that failed in two racks speaks
// against itself, and its failures do not count against a worker; three other jobs that fail on one worker, on which
// nothing has succeeded in the same time, speak against the worker.
func (p *pass) findFaults() {
	type attempt struct{ worker, job string }
	oldest := p.f.Wall - failureWindow
	failedJobs, succeeded := map[string]map[string]bool{}, map[string]bool{}
	var recentFailures []attempt
	p.faultyJobs = map[string]bool{}
	for _, j := range p.f.Jobs {
		if j.State == Succeeded && j.Since > oldest || j.State == Running && j.Known && j.Task.RunTime > clock.Minute {
			succeeded[j.Worker] = true
		}
		for _, f := range j.Failures {
			if f.At > oldest {
				recentFailures = append(recentFailures, attempt{f.Worker, j.ID})
			}
			if f.Rack != j.Failures[0].Rack {
				p.faultyJobs[j.ID] = true
			}
		}
	}
	for _, s := range recentFailures {
		if p.faultyJobs[s.job] || succeeded[s.worker] {
			continue
		}
		if failedJobs[s.worker] == nil {
			failedJobs[s.worker] = map[string]bool{}
		}
		failedJobs[s.worker][s.job] = true
	}
	for id, jobs := range failedJobs {
		if w := p.workersByID[id]; w != nil && len(jobs) >= faultThreshold {
			w.faulty = true
		}
	}
	for i := range p.workers {
		if w := &p.workers[i]; w.faulty {
			p.add(Step{kind: KindWait, worker: w.ID},
				"worker %s takes no jobs: %d different jobs failed on it within an hour and none succeeded", w.ID,
				len(failedJobs[w.ID]))
		}
	}
}

// processJobs takes over what became of the tasks, and collects the jobs that wait for a start.
func (p *pass) processJobs() {
	for _, j := range p.f.Jobs {
		switch {
		case j.State.Ended():
		case j.State.Bound():
			p.processBound(j)
		case j.Cancel:
			p.add(Step{kind: KindCancelled, job: j.ID}, "cancelled before its next start")
		case j.Cores > p.largest.Cores || j.MemoryMB > p.largest.MemoryMB || j.Accelerators > p.largest.Accelerators:
			p.tooLarge(j)
		case j.NotBefore > p.f.Wall:
		default:
			p.queue = append(p.queue, j)
		}
	}
}

func (p *pass) tooLarge(j *Fields) {
	if p.largest.Cores == 0 {
		return // no worker at all is an outage of the pool, not a fault of the job
	}
	p.add(Step{kind: KindPark, job: j.ID}, "needs %d cores, %d MB and %d accelerators; the largest workers of pool %s have "+
		"%d, %d and %d", j.Cores, j.MemoryMB, j.Accelerators, p.f.Name, p.largest.Cores, p.largest.MemoryMB,
		p.largest.Accelerators)
}

func (p *pass) processBound(j *Fields) {
	w := p.workersByID[j.Worker]
	step := Step{job: j.ID, worker: j.Worker}
	switch {
	case j.Known && j.Task.State == provider.TaskSucceeded:
		step.kind = KindFinish
		p.add(step, "ran %d s", j.Task.RunTime/clock.Second)
	case j.Known && j.Task.State == provider.TaskFailed:
		p.attemptFailed(j, w)
	case j.Known && j.Task.State != provider.TaskRunning && j.Cancel:
		step.kind = KindCancelled
		p.add(step, "stopped on an operator's order")
	case j.Known && j.Task.State != provider.TaskRunning && j.RunOnce:
		step.kind = KindPark
		p.add(step, "its only run was %s and run-once jobs are not started again", j.Task.State)
	case j.Known && j.Task.State != provider.TaskRunning:
		step.kind = KindRequeue
		p.add(step, "the task was %s", j.Task.State)
	case w == nil || w.Lost:
		p.workerLost(j, w)
	case j.Cancel && !j.Known && j.State == Starting && j.Age >= Lease:
		step.kind = KindCancelled
		p.add(step, "the platform has reported no task for %d s", j.Age/clock.Second)
	case j.Cancel:
		step.kind = KindStop
		p.add(step, "an operator cancelled the job")
	case j.State == Starting && j.Known:
		step.kind = KindRunning
		p.add(step, "the platform runs the task")
	case j.State == Running && !j.Known && j.Missing >= missingTimeout:
		p.taskMissing(j)
	case j.State == Starting && !j.RunOnce && j.Age >= startTimeout:
		step.kind, step.retryDelay = KindRequeue, firstRetryDelay
		step.failure = &Failure{Worker: w.ID, Rack: w.Rack, Reason: "no report of the task", At: p.f.Wall}
		p.add(step, "the platform has not reported the task for %d s", j.Age/clock.Second)
	case j.State == Starting:
		step.kind = KindRepeat
		p.add(step, "the platform has not reported the task yet")
	case !w.Open && !j.RunOnce:
		step.kind = KindCheckpoint
		p.add(step, "worker %s is being drained", w.ID)
	}
}

// workerLost handles a job on a worker that is gone. Only the platform's report can tell whether a run-once job ran.
func (p *pass) workerLost(j *Fields, w *worker) {
	step := Step{job: j.ID, worker: j.Worker}
	switch {
	case j.RunOnce:
		step.kind = KindPark
		p.add(step, "outcome unknown: worker %s was lost while the job may have run", j.Worker)
	case w == nil || w.LostFor >= Lease:
		step.kind = KindRequeue
		if j.Cancel {
			step.kind = KindCancelled
		}
		p.add(step, "worker %s was lost and the lease of the task has lapsed", j.Worker)
	}
}

// taskMissing handles a task that its worker no longer reports, for example after a restart of the worker.
func (p *pass) taskMissing(j *Fields) {
	step := Step{kind: KindRequeue, job: j.ID, worker: j.Worker}
	if j.RunOnce {
		step.kind = KindPark
		p.add(step, "outcome unknown: worker %s has not reported the task for %d s", j.Worker, j.Missing/clock.Second)
		return
	}
	p.add(step, "worker %s has not reported the task for %d s", j.Worker, j.Missing/clock.Second)
}

// attemptFailed decides between another attempt and parking. Failures on bad workers do not count as attempts, within a bound.
func (p *pass) attemptFailed(j *Fields, w *worker) {
	f := &Failure{Worker: j.Worker, Reason: j.Task.Reason, At: p.f.Wall}
	if w != nil {
		f.Rack = w.Rack
	}
	all := append(slices.Clone(j.Failures), *f)
	counted, history := 0, ""
	for _, failure := range all {
		if at := p.workersByID[failure.Worker]; at == nil || !at.faulty {
			counted++
		}
		history += fmt.Sprintf(" %s (rack %s: %s)", failure.Worker, failure.Rack, failure.Reason)
	}
	step := Step{kind: KindPark, job: j.ID, worker: j.Worker, failure: f}
	switch {
	case j.Cancel:
		step.kind = KindCancelled
		p.add(step, "failed while it was being cancelled: %s", f.Reason)
	case j.RunOnce:
		p.add(step, "its only run failed: %s; run-once jobs are not started again", f.Reason)
	case counted >= j.Attempts || len(all) >= 3*j.Attempts:
		p.add(step, "%d of at most %d attempts failed, on%s", counted, j.Attempts, history)
	default:
		step.kind, step.retryDelay = KindRequeue, retryDelay(counted)
		p.add(step, "attempt %d of %d failed on worker %s: %s; the next one waits %d s", counted, j.Attempts, j.Worker,
			f.Reason, step.retryDelay/clock.Second)
	}
}

func retryDelay(failures int) clock.Millis {
	if failures <= 0 {
		return 0 // the worker was at fault
	}
	return min(firstRetryDelay<<min(failures-1, 10), maxRetryDelay)
}

var classes = []config.Urgency{config.Urgent, config.Normal, config.Batch}

// rank orders classes from the most urgent one.
func rank(u config.Urgency) int { return max(slices.Index(classes, u), 0) }

func compareAge(a, b *Fields) int {
	return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
}

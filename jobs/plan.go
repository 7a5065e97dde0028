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
	// defaultAttempts is how often a job that declares no number of attempts is tried.
	defaultAttempts = 5
	// Lease is the lease of a task on its worker. A task on a lost worker has ended when its lease has lapsed.
	Lease = 30 * clock.Second
	// unreportedTimeout is how long the reports of a worker, which lag, may lack a task that the platform accepted.
	unreportedTimeout = 2 * clock.Minute
	// startTimeout is how long a start is repeated on the same worker while the platform does not report the task.
	startTimeout = 10 * Lease
	// firstRetryDelay is the delay after the first failed attempt. It doubles with every further one up to
	// maxRetryDelay.
	firstRetryDelay = 10 * clock.Second
	maxRetryDelay   = 10 * clock.Minute
	// failureWindow is how long a failure counts against a worker; a faulty worker gets jobs again when it is over.
	failureWindow = clock.Hour
	// faultThreshold is the number of different jobs whose failures on a worker make it a faulty worker, unless a job
	// has succeeded on it in the same time.
	faultThreshold = 3
	// minObservation is how long a task must run before its reported usage counts, because reports lag.
	minObservation = 30 * clock.Second
	// throttlePercent is the percentage of its cores to which a less urgent task is limited.
	throttlePercent = 25
	// startsPerPass limits the writes of a pass; the platform takes several hundred a second for the whole fleet.
	startsPerPass = 400
	// preemptionsPerPass limits the search for preemptible tasks in a flood of urgent jobs.
	preemptionsPerPass = 64
	// maxNotStarted is the number of jobs of a team and class that could not start in a pass after which the rest of
	// their queue is skipped.
	maxNotStarted = 8
)

// Plan returns the steps for the jobs and workers of one pool.
func Plan(f PoolFields) []Step {
	p := &pass{f: f, workersByID: make(map[string]*worker, len(f.Workers))}
	p.prepare()
	p.processJobs()
	p.startQueued()
	p.liftThrottles()
	return p.steps
}

// worker is a worker of the pool with its free resources.
type worker struct {
	WorkerFields
	faulty                bool // gets no jobs, see findFaults
	freeCores, freeMemory int  // cores and MB, by the observed size of the tasks
	freeAccelerators      int
	running               []*Fields // tasks bound to the worker
}

// pass computes the steps of one pool; its counts include the steps that were added so far.
type pass struct {
	f           PoolFields
	workers     []worker
	workersByID map[string]*worker
	faultyJobs  map[string]bool // jobs that failed in more than one rack
	buckets     [][]*worker     // open workers by free cores
	largest     WorkerFields    // largest number of cores, of MB and of accelerators, each over all workers
	queue       []*Fields       // jobs that may start now
	use         map[string]Use  // by team over all pools, with the starts of this pass
	teamCores   map[string]int  // cores of this pool that the tasks of each team occupy
	fairShare   int             // cores of this pool divided by the number of teams that have jobs in it
	steps       []Step
}

func (p *pass) add(s Step, format string, arguments ...any) {
	s.reason = fmt.Sprintf(format, arguments...)
	p.steps = append(p.steps, s)
}

// size returns the resources that a job needs: those observed in the current attempt once it has run unthrottled for
// minObservation, else those observed in an earlier attempt, else the declared ones.
func size(j *Fields) (cores, memoryMB int) {
	cores, memoryMB = j.Cores, j.MemoryMB
	if j.UsedCores > 0 {
		cores, memoryMB = j.UsedCores, j.UsedMemoryMB
	}
	if j.Reported && j.Task.State == provider.TaskRunning && j.Task.RunTime >= minObservation && j.Percent == 0 {
		cores, memoryMB = Observed(j.Task)
	}
	return cores, memoryMB
}

// Observed returns the size of a task by its usage: at least one core, and a tenth more memory than reported because
// usage lags.
func Observed(u provider.UsageFields) (cores, memoryMB int) {
	return max((u.CoresPct+99)/100, 1), u.MemoryMB + u.MemoryMB/10
}

// prepare computes the free resources of each worker, the cores of each team, and the faulty workers and jobs.
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

// occupy takes the size of a bound job off the free resources of its worker.
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

// findFaults finds faulty workers and faulty jobs. A job that failed in two racks is faulty itself, and its failures do
// not count against workers. A worker is faulty when, within failureWindow, three other jobs failed on it and none
// succeeded; a task that has run on it for more than a minute counts as a success.
func (p *pass) findFaults() {
	type attempt struct{ worker, job string }
	oldest := p.f.Wall - failureWindow
	failedJobs, succeeded := map[string]map[string]bool{}, map[string]bool{}
	var recentFailures []attempt
	p.faultyJobs = map[string]bool{}
	for _, j := range p.f.Jobs {
		if j.State == Succeeded && j.Since > oldest || j.State == Running && j.Reported && j.Task.RunTime > clock.Minute {
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

// processJobs adds the steps of bound, cancelled and too large jobs, and collects the jobs that may start.
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

// tooLarge parks a job that no worker of the pool can run.
func (p *pass) tooLarge(j *Fields) {
	if p.largest.Cores == 0 {
		return // a pool without workers has an outage; the job is not at fault
	}
	p.add(Step{kind: KindPark, job: j.ID}, "needs %d cores, %d MB and %d accelerators; the largest workers of pool %s have "+
		"%d, %d and %d", j.Cores, j.MemoryMB, j.Accelerators, p.f.Name, p.largest.Cores, p.largest.MemoryMB,
		p.largest.Accelerators)
}

// processBound adds the step that follows from the state of the task of a bound job.
func (p *pass) processBound(j *Fields) {
	w := p.workersByID[j.Worker]
	step := Step{job: j.ID, worker: j.Worker}
	switch {
	case j.Reported && j.Task.State == provider.TaskSucceeded:
		step.kind = KindFinish
		p.add(step, "ran %d s", j.Task.RunTime/clock.Second)
	case j.Reported && j.Task.State == provider.TaskFailed:
		p.attemptFailed(j, w)
	case j.Reported && j.Task.State != provider.TaskRunning && j.Cancel:
		step.kind = KindCancelled
		p.add(step, "stopped on an operator's order")
	case j.Reported && j.Task.State != provider.TaskRunning && j.RunOnce:
		step.kind = KindPark
		p.add(step, "its only run was %s and run-once jobs are not started again", j.Task.State)
	case j.Reported && j.Task.State != provider.TaskRunning:
		step.kind = KindRequeue
		p.add(step, "the task was %s", j.Task.State)
	case w == nil || w.Lost:
		p.workerLost(j, w)
	case j.Cancel && !j.Reported && j.State == Starting && j.Age >= Lease:
		step.kind = KindCancelled
		p.add(step, "the platform has reported no task for %d s", j.Age/clock.Second)
	case j.Cancel:
		step.kind = KindStop
		p.add(step, "an operator cancelled the job")
	case j.State == Starting && j.Reported:
		step.kind = KindRunning
		p.add(step, "the platform runs the task")
	case j.State == Running && !j.Reported && j.UnreportedFor >= unreportedTimeout:
		p.taskUnreported(j)
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

// workerLost handles a bound job whose worker is lost. A run-once job is parked, because without a report of the
// platform it is unknown whether it ran.
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

// taskUnreported handles a task that its worker no longer reports, for example after a restart of the worker.
func (p *pass) taskUnreported(j *Fields) {
	step := Step{kind: KindRequeue, job: j.ID, worker: j.Worker}
	if j.RunOnce {
		step.kind = KindPark
		p.add(step, "outcome unknown: worker %s has not reported the task for %d s", j.Worker, j.UnreportedFor/clock.Second)
		return
	}
	p.add(step, "worker %s has not reported the task for %d s", j.Worker, j.UnreportedFor/clock.Second)
}

// attemptFailed requeues a job whose attempt failed, or parks it. Failures on faulty workers do not count as attempts,
// but after three times the allowed attempts the job is parked in any case.
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

// retryDelay returns the delay after the given number of failed attempts.
func retryDelay(failures int) clock.Millis {
	if failures <= 0 {
		return 0 // the only failures were on faulty workers
	}
	return min(firstRetryDelay<<min(failures-1, 10), maxRetryDelay)
}

// classes lists the urgencies from the most urgent one.
var classes = []config.Urgency{config.Urgent, config.Normal, config.Batch}

// rank returns the index of the urgency in classes, and 0 for an unknown one.
func rank(u config.Urgency) int { return max(slices.Index(classes, u), 0) }

// compareSubmitted orders jobs by the time of submission, then by id.
func compareSubmitted(a, b *Fields) int {
	return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
}

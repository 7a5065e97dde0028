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
	// missingLimit is how long a worker's reports, which lag, may lack a task that the platform accepted.
	missingLimit = 2 * clock.Minute
	// startLimit is how long a start without a report is repeated on the same worker.
	startLimit = 10 * Lease
	// firstDelay doubles with every failed attempt up to longestDelay.
	firstDelay   = 10 * clock.Second
	longestDelay = 10 * clock.Minute
	// evidencePeriod is how long a failure speaks against a worker, after which the worker is tried again.
	evidencePeriod = clock.Hour
	// badJobs different jobs that fail on a worker on which nothing succeeds make it a bad worker.
	badJobs = 3
	// steady is how long a task runs before its usage counts, because reports lag.
	steady = 30 * clock.Second
	// throttled is the percentage to which a less urgent task is limited.
	throttled = 25
	// startsPerPass bounds the writes of a pass; the platform takes several hundred a second for the whole fleet.
	startsPerPass = 400
	// preemptionsPerPass bounds the search for room in a flood of urgent jobs.
	preemptionsPerPass = 64
	// triesPerTeam is how many jobs of a team and class are tried in a pass before the team has to wait.
	triesPerTeam = 8
)

// Plan returns the steps for the jobs of one pool.
func Plan(f PoolFields) []Step {
	p := &planning{f: f, racks: make(map[string]*worker, len(f.Workers))}
	p.prepare()
	p.settleTasks()
	p.place()
	p.lift()
	return p.steps
}

type worker struct {
	WorkerFields
	bad                   bool
	freeCores, freeMemory int // by observed size
	freeAccelerators      int
	running               []*Fields // tasks that may be throttled or checkpointed
}

type planning struct {
	f       PoolFields
	workers []worker
	racks   map[string]*worker // workers by id
	broken  map[string]bool    // jobs that fail wherever they run
	buckets [][]*worker        // open workers by free cores
	largest WorkerFields
	queue   []*Fields
	use     map[string]Use // of the teams, with the starts of this pass
	share   map[string]int // cores of this pool that each team's tasks hold
	fair    int            // cores of the pool for each team that has jobs here
	steps   []Step
}

func (p *planning) add(s Step, format string, arguments ...any) {
	s.reason = fmt.Sprintf(format, arguments...)
	p.steps = append(p.steps, s)
}

// size returns what a job needs: what was observed once it has run for a while, else what is declared.
func size(j *Fields) (cores, memoryMB int) {
	cores, memoryMB = j.Cores, j.MemoryMB
	if j.UsedCores > 0 {
		cores, memoryMB = j.UsedCores, j.UsedMemoryMB
	}
	if j.Reported && j.Task.State == provider.TaskRunning && j.Task.RunTime >= steady && j.Percent == 0 {
		cores, memoryMB = Observed(j.Task)
	}
	return cores, memoryMB
}

// Observed returns the size of a task by its usage, with a tenth of the memory on top because usage lags.
func Observed(u provider.UsageFields) (cores, memoryMB int) {
	return max((u.CoresPct+99)/100, 1), u.MemoryMB + u.MemoryMB/10
}

// prepare counts what is free on each worker and which workers and jobs are at fault.
func (p *planning) prepare() {
	p.workers = make([]worker, len(p.f.Workers))
	total := 0
	for i, w := range p.f.Workers {
		p.workers[i] = worker{WorkerFields: w, freeCores: w.Cores, freeMemory: w.MemoryMB, freeAccelerators: w.Accelerators}
		p.racks[w.ID] = &p.workers[i]
		if w.Lost {
			continue
		}
		total += w.Cores
		p.largest.Cores = max(p.largest.Cores, w.Cores)
		p.largest.MemoryMB = max(p.largest.MemoryMB, w.MemoryMB)
		p.largest.Accelerators = max(p.largest.Accelerators, w.Accelerators)
	}
	p.judge()
	p.use, p.share = make(map[string]Use, len(p.f.Use)), map[string]int{}
	for team, u := range p.f.Use {
		p.use[team] = u
	}
	teams := map[string]bool{}
	for _, j := range p.f.Jobs {
		if !j.State.Ended() {
			teams[j.Team] = true
		}
		if w := p.racks[j.Worker]; w != nil && j.State.Bound() {
			p.occupy(w, j)
		}
	}
	p.fair = total / max(len(teams), 1)
}

func (p *planning) occupy(w *worker, j *Fields) {
	cores, memory := size(j)
	if j.Percent > 0 {
		cores = (cores*j.Percent + 99) / 100
	}
	w.freeCores -= cores
	w.freeMemory -= memory
	w.freeAccelerators -= j.Accelerators
	w.running = append(w.running, j)
	p.share[j.Team] += cores
}

// judge finds the workers that fail everything and the jobs that fail everywhere. A job that failed in two racks speaks
// against itself, and its failures do not count against a worker; three other jobs that fail on one worker, on which
// nothing has succeeded in the same time, speak against the worker.
func (p *planning) judge() {
	type place struct{ worker, job string }
	recent := p.f.Wall - evidencePeriod
	against, success := map[string]map[string]bool{}, map[string]bool{}
	var seen []place
	p.broken = map[string]bool{}
	for _, j := range p.f.Jobs {
		if j.State == Succeeded && j.Since > recent || j.State == Running && j.Reported && j.Task.RunTime > clock.Minute {
			success[j.Worker] = true
		}
		for _, f := range j.Failures {
			if f.At > recent {
				seen = append(seen, place{f.Worker, j.ID})
			}
			if f.Rack != j.Failures[0].Rack {
				p.broken[j.ID] = true
			}
		}
	}
	for _, s := range seen {
		if p.broken[s.job] || success[s.worker] {
			continue
		}
		if against[s.worker] == nil {
			against[s.worker] = map[string]bool{}
		}
		against[s.worker][s.job] = true
	}
	for id, jobs := range against {
		if w := p.racks[id]; w != nil && len(jobs) >= badJobs {
			w.bad = true
		}
	}
	for i := range p.workers {
		if w := &p.workers[i]; w.bad {
			p.add(Step{kind: KindWait, worker: w.ID},
				"worker %s takes no jobs: %d different jobs failed on it within an hour and none succeeded", w.ID,
				len(against[w.ID]))
		}
	}
}

// settleTasks takes over what became of the tasks, and collects the jobs that wait for a start.
func (p *planning) settleTasks() {
	for _, j := range p.f.Jobs {
		switch {
		case j.State.Ended():
		case j.State.Bound():
			p.settle(j)
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

func (p *planning) tooLarge(j *Fields) {
	if p.largest.Cores == 0 {
		return // no worker at all is an outage of the pool, not a fault of the job
	}
	p.add(Step{kind: KindPark, job: j.ID}, "needs %d cores, %d MB and %d accelerators; the largest workers of pool %s have "+
		"%d, %d and %d", j.Cores, j.MemoryMB, j.Accelerators, p.f.Name, p.largest.Cores, p.largest.MemoryMB,
		p.largest.Accelerators)
}

func (p *planning) settle(j *Fields) {
	w := p.racks[j.Worker]
	step := Step{job: j.ID, worker: j.Worker}
	switch {
	case j.Reported && j.Task.State == provider.TaskSucceeded:
		step.kind = KindFinish
		p.add(step, "ran %d s", j.Task.RunTime/clock.Second)
	case j.Reported && j.Task.State == provider.TaskFailed:
		p.failed(j, w)
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
		p.lost(j, w)
	case j.Cancel && !j.Reported && j.State == Starting && j.Age >= Lease:
		step.kind = KindCancelled
		p.add(step, "the platform has reported no task for %d s", j.Age/clock.Second)
	case j.Cancel:
		step.kind = KindStop
		p.add(step, "an operator cancelled the job")
	case j.State == Starting && j.Reported:
		step.kind = KindRunning
		p.add(step, "the platform runs the task")
	case j.State == Running && !j.Reported && j.UnreportedFor >= missingLimit:
		p.missing(j)
	case j.State == Starting && !j.RunOnce && j.Age >= startLimit:
		step.kind, step.delay = KindRequeue, firstDelay
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

// lost handles a job on a worker that is gone. Only the platform's report can tell whether a run-once job ran.
func (p *planning) lost(j *Fields, w *worker) {
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

// missing handles a task that its worker no longer reports, for example after a restart of the worker.
func (p *planning) missing(j *Fields) {
	step := Step{kind: KindRequeue, job: j.ID, worker: j.Worker}
	if j.RunOnce {
		step.kind = KindPark
		p.add(step, "outcome unknown: worker %s has not reported the task for %d s", j.Worker, j.UnreportedFor/clock.Second)
		return
	}
	p.add(step, "worker %s has not reported the task for %d s", j.Worker, j.UnreportedFor/clock.Second)
}

// failed decides between another attempt and parking. Failures on bad workers do not count as attempts, within a bound.
func (p *planning) failed(j *Fields, w *worker) {
	f := &Failure{Worker: j.Worker, Reason: j.Task.Reason, At: p.f.Wall}
	if w != nil {
		f.Rack = w.Rack
	}
	all := append(slices.Clone(j.Failures), *f)
	counted, where := 0, ""
	for _, failure := range all {
		if at := p.racks[failure.Worker]; at == nil || !at.bad {
			counted++
		}
		where += fmt.Sprintf(" %s (rack %s: %s)", failure.Worker, failure.Rack, failure.Reason)
	}
	step := Step{kind: KindPark, job: j.ID, worker: j.Worker, failure: f}
	switch {
	case j.Cancel:
		step.kind = KindCancelled
		p.add(step, "failed while it was being cancelled: %s", f.Reason)
	case j.RunOnce:
		p.add(step, "its only run failed: %s; run-once jobs are not started again", f.Reason)
	case counted >= j.Attempts || len(all) >= 3*j.Attempts:
		p.add(step, "%d of at most %d attempts failed, on%s", counted, j.Attempts, where)
	default:
		step.kind, step.delay = KindRequeue, delay(counted)
		p.add(step, "attempt %d of %d failed on worker %s: %s; the next one waits %d s", counted, j.Attempts, j.Worker,
			f.Reason, step.delay/clock.Second)
	}
}

func delay(failures int) clock.Millis {
	if failures <= 0 {
		return 0 // the worker was at fault
	}
	return min(firstDelay<<min(failures-1, 10), longestDelay)
}

var classes = []config.Urgency{config.Urgent, config.Normal, config.Batch}

// rank orders classes from the most urgent one.
func rank(u config.Urgency) int { return max(slices.Index(classes, u), 0) }

func older(a, b *Fields) int {
	return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
}

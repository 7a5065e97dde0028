package jobs

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaferry/config"
)

// classCost is what a start costs its class, in the order of classes: the classes share the starts 8 to 4 to 1 as in
// the admission queue, so that a flood in one class does not starve the others.
var classCost = []int{1, 2, 8}

// teamQueue holds the queued jobs of one team in one class.
type teamQueue struct {
	team       *team
	jobs       []*Fields
	notStarted int // jobs that could not start in this pass; from maxNotStarted on, the rest of the queue is skipped
}

// team is a team with the used part of its quota, which is cached because each start compares all teams of a class.
type team struct {
	name     string
	quota    int // cores
	quotaUse int // used part of the quota, in 1/10000
}

func (t *team) updateQuotaUse(used Use) { t.quotaUse = used.Cores * 10000 / t.quota }

// startQueued starts queued jobs. It takes the class with the lowest cost of starts so far, within a class the team
// that uses the smallest part of its quota, and within a team the oldest job.
func (p *pass) startQueued() {
	if len(p.queue) == 0 {
		return
	}
	p.fillBuckets()
	queues := p.queues()
	spent := make([]int, len(classes))
	preemptions := 0
	for starts := 0; starts < startsPerPass; {
		class := -1
		for c := range queues {
			if len(queues[c]) > 0 && (class < 0 || spent[c] < spent[class]) {
				class = c
			}
		}
		if class < 0 {
			return
		}
		at := p.leastQuotaUse(queues[class])
		q := queues[class][at]
		j := q.jobs[0]
		q.jobs = q.jobs[1:]
		cores, memory := size(j)
		ok := true
		if rule := p.checkQuota(j, cores, memory); rule != "" {
			p.add(Step{kind: KindWait, job: j.ID}, "%s", rule)
			ok, q.notStarted = false, maxNotStarted
		} else if w := p.findWorker(j, cores, memory); w != nil {
			p.startJob(w, j, cores, memory)
			q.team.updateQuotaUse(p.use[j.Team])
		} else if j.Urgency == config.Urgent && preemptions < preemptionsPerPass {
			preemptions++
			ok = p.preempt(j, cores, memory)
			q.team.updateQuotaUse(p.use[j.Team])
		} else {
			ok = false
		}
		if ok {
			starts++
			spent[class] += classCost[class]
		} else {
			q.notStarted++
		}
		if len(q.jobs) == 0 || q.notStarted >= maxNotStarted {
			queues[class] = slices.Delete(queues[class], at, at+1)
		}
	}
}

// queues groups the queued jobs by class and team, the oldest job first.
func (p *pass) queues() [][]*teamQueue {
	queues := make([][]*teamQueue, len(classes))
	type key struct {
		class int
		team  string
	}
	byTeam, teams := map[key]*teamQueue{}, map[string]*team{}
	for _, j := range p.queue {
		k := key{rank(j.Urgency), j.Team}
		q := byTeam[k]
		if q == nil {
			t := teams[j.Team]
			if t == nil { // without a quota, the fair share of the pool takes its place
				if t = (&team{name: j.Team, quota: p.f.Teams[j.Team].Cores}); t.quota == 0 {
					t.quota = max(p.fairShare, 1)
				}
				t.updateQuotaUse(p.use[j.Team])
				teams[j.Team] = t
			}
			q = &teamQueue{team: t}
			byTeam[k] = q
			queues[k.class] = append(queues[k.class], q)
		}
		q.jobs = append(q.jobs, j)
	}
	for _, class := range queues {
		for _, q := range class {
			if !slices.IsSortedFunc(q.jobs, compareSubmitted) {
				slices.SortFunc(q.jobs, compareSubmitted)
			}
		}
		slices.SortFunc(class, func(a, b *teamQueue) int { return cmp.Compare(a.team.name, b.team.name) })
	}
	return queues
}

// leastQuotaUse returns the index of the queue whose team uses the smallest part of its quota.
func (p *pass) leastQuotaUse(queues []*teamQueue) int {
	best := 0
	for i, q := range queues {
		if q.team.quotaUse < queues[best].team.quotaUse {
			best = i
		}
	}
	return best
}

// checkQuota returns the rule that forbids the start of the job, or "".
func (p *pass) checkQuota(j *Fields, cores, memory int) string {
	t, used := p.f.Teams[j.Team], p.use[j.Team]
	if t.Cores > 0 && used.Cores+cores > t.Cores {
		return quotaText(j.Team, "cores", used.Cores, cores, t.Cores)
	}
	if t.MemoryMB > 0 && used.MemoryMB+memory > t.MemoryMB {
		return quotaText(j.Team, "MB", used.MemoryMB, memory, t.MemoryMB)
	}
	return ""
}

// fillBuckets groups the open workers by free cores, so that findWorker finds the tightest fit without a search of all
// workers.
func (p *pass) fillBuckets() {
	p.buckets = make([][]*worker, p.largest.Cores+1)
	for i := range p.workers {
		if w := &p.workers[i]; w.Open && !w.Lost && !w.faulty && w.freeCores > 0 {
			p.buckets[w.freeCores] = append(p.buckets[w.freeCores], w)
		}
	}
}

// findWorker returns the worker with the fewest free cores that can run the job, or nil. Racks on which the job failed
// before come last, and workers on which it failed after those, so that its attempts are made in different places.
func (p *pass) findWorker(j *Fields, cores, memory int) *worker {
	var fallback *worker
	for free := cores; free < len(p.buckets); free++ {
		for i := 0; i < len(p.buckets[free]); i++ {
			w := p.buckets[free][i]
			if w.freeCores != free { // its free cores have changed since it was put here
				p.buckets[free][i] = p.buckets[free][len(p.buckets[free])-1]
				p.buckets[free] = p.buckets[free][:len(p.buckets[free])-1]
				i--
				continue
			}
			if w.freeMemory < memory || w.freeAccelerators < j.Accelerators {
				continue
			}
			if !slices.ContainsFunc(j.Failures, func(f Failure) bool { return f.Worker == w.ID || f.Rack == w.Rack }) {
				return w
			}
			if fallback == nil || fallback.ID != w.ID && failedOn(j, fallback) && !failedOn(j, w) {
				fallback = w
			}
		}
	}
	return fallback
}

// failedOn reports whether an attempt of the job failed on the worker.
func failedOn(j *Fields, w *worker) bool {
	return slices.ContainsFunc(j.Failures, func(f Failure) bool { return f.Worker == w.ID })
}

// startJob adds the start of the job on the worker and takes its size off the free resources.
func (p *pass) startJob(w *worker, j *Fields, cores, memory int) {
	p.add(Step{kind: KindStart, job: j.ID, worker: w.ID, cores: cores, memoryMB: memory},
		"worker %s has %d cores and %d MB free", w.ID, w.freeCores, w.freeMemory)
	w.freeCores -= cores
	w.freeMemory -= memory
	w.freeAccelerators -= j.Accelerators
	if w.freeCores > 0 && w.freeCores < len(p.buckets) {
		p.buckets[w.freeCores] = append(p.buckets[w.freeCores], w)
	}
	u := p.use[j.Team]
	p.use[j.Team] = Use{u.Cores + cores, u.MemoryMB + memory}
	p.teamCores[j.Team] += cores
}

// preempt frees resources of a worker for an urgent job, and reports whether it did. Where only cores are short it
// throttles less urgent tasks and starts the job in the same pass; otherwise it checkpoints them, and the job starts in
// a later pass. A team keeps half of its fair share of the pool, so that a flood of urgent jobs does not starve the
// others.
func (p *pass) preempt(j *Fields, cores, memory int) bool {
	var best *worker
	var victims []*Fields
	throttle := false
	for i := range p.workers {
		w := &p.workers[i]
		if !w.Open || w.Lost || w.faulty || failedOn(j, w) || len(w.running) == 0 {
			continue
		}
		if memory <= w.freeMemory && j.Accelerators <= w.freeAccelerators {
			if chosen := p.chooseVictims(w, j, cores, memory, true); chosen != nil && (best == nil || !throttle ||
				len(chosen) < len(victims)) {
				best, victims, throttle = w, chosen, true
			}
		}
		if throttle {
			continue
		}
		if chosen := p.chooseVictims(w, j, cores, memory, false); chosen != nil && (best == nil || len(chosen) < len(victims)) {
			best, victims = w, chosen
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		step := Step{kind: KindCheckpoint, job: v.ID, worker: best.ID}
		if throttle {
			step.kind, step.percent = KindThrottle, throttlePercent
		}
		p.add(step, "makes room for the urgent job %s of team %s", j.ID, j.Team)
		freed, _ := p.reclaimable(v, throttle)
		p.teamCores[v.Team] -= freed
		if throttle {
			best.freeCores += freed
		}
		best.running = slices.DeleteFunc(best.running, func(o *Fields) bool { return o == v })
	}
	if throttle {
		p.startJob(best, j, cores, memory)
		return true
	}
	p.add(Step{kind: KindWait, job: j.ID, worker: best.ID}, "starts when %d less urgent tasks are checkpointed", len(victims))
	// The rest of the worker is reserved for this job until the next pass.
	best.freeCores, best.freeMemory = 0, 0
	return true
}

// reclaimable returns what throttling or checkpointing a task frees.
func (p *pass) reclaimable(v *Fields, throttle bool) (cores, memory int) {
	cores, memory = size(v)
	if throttle {
		return cores - (cores*throttlePercent+99)/100, 0
	}
	if v.Percent > 0 {
		cores = (cores*v.Percent + 99) / 100
	}
	return cores, memory
}

// chooseVictims returns less urgent tasks of the worker whose throttling or checkpointing frees enough for the job, or
// nil. It takes the least urgent tasks first, and of those the ones that free the most cores.
func (p *pass) chooseVictims(w *worker, j *Fields, cores, memory int, throttle bool) []*Fields {
	candidates := make([]*Fields, 0, len(w.running))
	for _, v := range w.running {
		allowed := rank(v.Urgency) > rank(j.Urgency) && v.State == Running && v.Reported && !v.Cancel
		if throttle && v.Percent > 0 || !throttle && v.RunOnce {
			allowed = false
		}
		if allowed {
			candidates = append(candidates, v)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Fields) int {
		ca, _ := p.reclaimable(a, throttle)
		cb, _ := p.reclaimable(b, throttle)
		return cmp.Or(rank(b.Urgency)-rank(a.Urgency), cb-ca)
	})
	free, freeMemory, freeAccelerators := w.freeCores, w.freeMemory, w.freeAccelerators
	freedByTeam := map[string]int{}
	var chosen []*Fields
	for _, v := range candidates {
		if free >= cores && freeMemory >= memory && freeAccelerators >= j.Accelerators {
			break
		}
		c, m := p.reclaimable(v, throttle)
		if c == 0 && m == 0 || v.Team != j.Team && p.teamCores[v.Team]-freedByTeam[v.Team]-c < p.fairShare/2 {
			continue
		}
		freedByTeam[v.Team] += c
		free, freeMemory = free+c, freeMemory+m
		if !throttle {
			freeAccelerators += v.Accelerators
		}
		chosen = append(chosen, v)
	}
	if free < cores || freeMemory < memory || freeAccelerators < j.Accelerators || len(chosen) == 0 {
		return nil
	}
	return chosen
}

// liftThrottles ends throttles on workers with enough free cores for the full task. It runs after startQueued, so that
// queued jobs take free cores first.
func (p *pass) liftThrottles() {
	for i := range p.workers {
		w := &p.workers[i]
		if w.Lost {
			continue
		}
		for _, v := range w.running {
			cores, _ := size(v)
			if restored := cores - (cores*v.Percent+99)/100; v.Percent > 0 && v.Reported && restored <= w.freeCores {
				w.freeCores -= restored
				p.add(Step{kind: KindLiftThrottle, job: v.ID, worker: w.ID, percent: 100}, "worker %s has room again", w.ID)
			}
		}
	}
}

func quotaText(team, unit string, used, wanted, quota int) string {
	return fmt.Sprintf("quota of team %s: %d %s in use, %d more wanted, %d allowed", team, used, unit, wanted, quota)
}

package jobs

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaferry/config"
)

// classCost is what a start costs its class: classes share starts 8 to 4 to 1 as in the admission queue, so that a flood
// of one class does not starve the others.
var classCost = []int{1, 2, 8}

// waiting is the queue of one team in one class.
type waiting struct {
	team  *team
	jobs  []*Fields
	tries int
}

// team keeps the part of its quota that a team uses, because a pass compares the teams of a class at every start.
type team struct {
	name  string
	quota int // cores
	part  int // of the quota in use, in 1/10000
}

func (t *team) update(used Use) { t.part = used.Cores * 10000 / t.quota }

// place starts waiting jobs. Among the classes the one that has started least for its weight comes first, within a class
// the team that uses the smallest part of its quota, and within a team the oldest job.
func (p *planning) place() {
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
		at := p.neediest(queues[class])
		q := queues[class][at]
		j := q.jobs[0]
		q.jobs = q.jobs[1:]
		cores, memory := size(j)
		ok := true
		if rule := p.quota(j, cores, memory); rule != "" {
			p.add(Step{kind: KindWait, job: j.ID}, "%s", rule)
			ok, q.tries = false, triesPerTeam
		} else if w := p.find(j, cores, memory); w != nil {
			p.start(w, j, cores, memory)
			q.team.update(p.use[j.Team])
		} else if j.Urgency == config.Urgent && preemptions < preemptionsPerPass {
			preemptions++
			ok = p.preempt(j, cores, memory)
			q.team.update(p.use[j.Team])
		} else {
			ok = false
		}
		if ok {
			starts++
			spent[class] += classCost[class]
		} else {
			q.tries++
		}
		if len(q.jobs) == 0 || q.tries >= triesPerTeam {
			queues[class] = slices.Delete(queues[class], at, at+1)
		}
	}
}

// queues groups the waiting jobs by class and team, the oldest first.
func (p *planning) queues() [][]*waiting {
	queues := make([][]*waiting, len(classes))
	type key struct {
		class int
		team  string
	}
	byTeam, teams := map[key]*waiting{}, map[string]*team{}
	for _, j := range p.queue {
		k := key{rank(j.Urgency), j.Team}
		q := byTeam[k]
		if q == nil {
			t := teams[j.Team]
			if t == nil { // a team without a quota is judged by the fair share of the pool
				if t = (&team{name: j.Team, quota: p.f.Teams[j.Team].Cores}); t.quota == 0 {
					t.quota = max(p.fair, 1)
				}
				t.update(p.use[j.Team])
				teams[j.Team] = t
			}
			q = &waiting{team: t}
			byTeam[k] = q
			queues[k.class] = append(queues[k.class], q)
		}
		q.jobs = append(q.jobs, j)
	}
	for _, class := range queues {
		for _, q := range class {
			if !slices.IsSortedFunc(q.jobs, older) {
				slices.SortFunc(q.jobs, older)
			}
		}
		slices.SortFunc(class, func(a, b *waiting) int { return cmp.Compare(a.team.name, b.team.name) })
	}
	return queues
}

// neediest returns the index of the team that uses the smallest part of its quota.
func (p *planning) neediest(queues []*waiting) int {
	best := 0
	for i, q := range queues {
		if q.team.part < queues[best].team.part {
			best = i
		}
	}
	return best
}

// quota returns the rule that forbids a start, or "".
func (p *planning) quota(j *Fields, cores, memory int) string {
	t, used := p.f.Teams[j.Team], p.use[j.Team]
	if t.Cores > 0 && used.Cores+cores > t.Cores {
		return quotaText(j.Team, "cores", used.Cores, cores, t.Cores)
	}
	if t.MemoryMB > 0 && used.MemoryMB+memory > t.MemoryMB {
		return quotaText(j.Team, "MB", used.MemoryMB, memory, t.MemoryMB)
	}
	return ""
}

// fillBuckets sorts the open workers by free cores, so that the tightest fit is found without a look at every worker.
func (p *planning) fillBuckets() {
	p.buckets = make([][]*worker, p.largest.Cores+1)
	for i := range p.workers {
		if w := &p.workers[i]; w.Open && !w.Lost && !w.bad && w.freeCores > 0 {
			p.buckets[w.freeCores] = append(p.buckets[w.freeCores], w)
		}
	}
}

// find returns the worker with the fewest free cores that has room. Workers, and then racks, on which the job failed
// before come last, so that its attempts are made in different places.
func (p *planning) find(j *Fields, cores, memory int) *worker {
	var fallback *worker
	for free := cores; free < len(p.buckets); free++ {
		for i := 0; i < len(p.buckets[free]); i++ {
			w := p.buckets[free][i]
			if w.freeCores != free { // it has moved to another bucket since
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

func failedOn(j *Fields, w *worker) bool {
	return slices.ContainsFunc(j.Failures, func(f Failure) bool { return f.Worker == w.ID })
}

func (p *planning) start(w *worker, j *Fields, cores, memory int) {
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
	p.share[j.Team] += cores
}

// preempt makes room for an urgent job. It throttles less urgent tasks where only cores are short, and starts the job in
// the same pass; otherwise it checkpoints them, and the job starts in the next pass. A team keeps half of its fair share
// of the pool, so that a flood of urgent jobs does not starve the others.
func (p *planning) preempt(j *Fields, cores, memory int) bool {
	var best *worker
	var victims []*Fields
	throttle := false
	for i := range p.workers {
		w := &p.workers[i]
		if !w.Open || w.Lost || w.bad || failedOn(j, w) || len(w.running) == 0 {
			continue
		}
		if memory <= w.freeMemory && j.Accelerators <= w.freeAccelerators {
			if chosen := p.choose(w, j, cores, memory, true); chosen != nil && (best == nil || !throttle ||
				len(chosen) < len(victims)) {
				best, victims, throttle = w, chosen, true
			}
		}
		if throttle {
			continue
		}
		if chosen := p.choose(w, j, cores, memory, false); chosen != nil && (best == nil || len(chosen) < len(victims)) {
			best, victims = w, chosen
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		step := Step{kind: KindCheckpoint, job: v.ID, worker: best.ID}
		if throttle {
			step.kind, step.percent = KindThrottle, throttled
		}
		p.add(step, "makes room for the urgent job %s of team %s", j.ID, j.Team)
		freed, _ := p.reclaim(v, throttle)
		p.share[v.Team] -= freed
		if throttle {
			best.freeCores += freed
		}
		best.running = slices.DeleteFunc(best.running, func(o *Fields) bool { return o == v })
	}
	if throttle {
		p.start(best, j, cores, memory)
		return true
	}
	p.add(Step{kind: KindWait, job: j.ID, worker: best.ID}, "starts when %d less urgent tasks are checkpointed", len(victims))
	// The room that is left on the worker belongs to this job until the next pass.
	best.freeCores, best.freeMemory = 0, 0
	return true
}

// reclaim returns what a victim gives up.
func (p *planning) reclaim(v *Fields, throttle bool) (cores, memory int) {
	cores, memory = size(v)
	if throttle {
		return cores - (cores*throttled+99)/100, 0
	}
	if v.Percent > 0 {
		cores = (cores*v.Percent + 99) / 100
	}
	return cores, memory
}

// choose returns the fewest less urgent tasks of a worker that make room for the job, or nil.
func (p *planning) choose(w *worker, j *Fields, cores, memory int, throttle bool) []*Fields {
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
		ca, _ := p.reclaim(a, throttle)
		cb, _ := p.reclaim(b, throttle)
		return cmp.Or(rank(b.Urgency)-rank(a.Urgency), cb-ca)
	})
	free, freeMemory, freeAccelerators := w.freeCores, w.freeMemory, w.freeAccelerators
	taken := map[string]int{}
	var chosen []*Fields
	for _, v := range candidates {
		if free >= cores && freeMemory >= memory && freeAccelerators >= j.Accelerators {
			break
		}
		c, m := p.reclaim(v, throttle)
		if c == 0 && m == 0 || v.Team != j.Team && p.share[v.Team]-taken[v.Team]-c < p.fair/2 {
			continue
		}
		taken[v.Team] += c
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

// lift ends throttles where the worker has room for the full task again; what is free was left by place.
func (p *planning) lift() {
	for i := range p.workers {
		w := &p.workers[i]
		if w.Lost {
			continue
		}
		for _, v := range w.running {
			cores, _ := size(v)
			if back := cores - (cores*v.Percent+99)/100; v.Percent > 0 && v.Reported && back <= w.freeCores {
				w.freeCores -= back
				p.add(Step{kind: KindLiftThrottle, job: v.ID, worker: w.ID, percent: 100}, "worker %s has room again", w.ID)
			}
		}
	}
}

func quotaText(team, unit string, used, wanted, quota int) string {
	return fmt.Sprintf("quota of team %s: %d %s in use, %d more wanted, %d allowed", team, used, unit, wanted, quota)
}

package pool

import (
	"log/slog"
	"sort"
	"strconv"

	"magnoliaferry/batch"
)

// Costs that choose adds to that of the unused part of a worker's processor, which is 1000 for an idle worker and 0 for a full
// one.
const (
	costOtherRack        = 1500 // the task's data is in another rack
	costLatencySensitive = 600  // per latency-sensitive task beside a background task, and the reverse
	costPerBackground    = 300  // per background task beside another
	costPerPeer          = 200  // per task of the same step
	costMaintenance      = 1200 // a long-running task on a machine that is due for maintenance would soon have to move
)

// Plan treats calls that have timed out as unanswered, evicts workers, places tasks, and queues stops and holds.
// Orders and Transaction return the results.
func (s *Scheduler) Plan() {
	s.detectStall()
	s.expireCalls()
	s.settleContradictions()
	s.loseReplaced()
	s.expireRuns()
	s.updateJobs()
	s.repeatStops()
	s.evacuate()
	s.copySlowTasks(s.place())
	s.holds()
}

// updateJobs starts occurrences that are due, and removes jobs that ended some time ago.
func (s *Scheduler) updateJobs() {
	kept := s.active[:0]
	for _, j := range s.active {
		if j.def.Occurrences > 0 && len(j.occurrences) < j.def.Runs() {
			s.advance(j)
		}
		if !j.state.Final() {
			kept = append(kept, j)
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
	for len(s.recentlyEnded) > 0 && s.now-s.recentlyEnded[0].since > endedJobRetention {
		delete(s.jobs, s.recentlyEnded[0].id)
		s.recentlyEnded = s.recentlyEnded[1:]
	}
}

func (s *Scheduler) repeatStops() {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.stopping && s.now-r.stopSent > stopRepeatInterval && w.confirmed {
				s.stop(r, "repeated")
			}
		}
	}
}

// place places waiting tasks. It returns nil if there are none.
func (s *Scheduler) place() *placement {
	s.updateShares()
	s.beginCapPass()
	var ranks []rank
	for _, j := range s.active {
		if j.waiting > 0 {
			ranks = append(ranks, s.rank(j))
		}
	}
	if len(ranks) == 0 {
		return nil
	}
	sort.SliceStable(ranks, func(a, b int) bool {
		return s.jobOrder(ranks[a], ranks[b])
	})
	pass := &placement{workers: s.usable()}
	if len(pass.workers) == 0 {
		return pass
	}
	for _, r := range ranks {
		pass.inTime = r.class == classOnTime
		s.placeJob(r.job, pass)
	}
	return pass
}

// placement is one pass over the waiting jobs. In a surge most of them do not fit on any worker. Free resources only shrink during a
// pass, so needs that did not fit once are not searched for again.
type placement struct {
	workers []*worker
	tooBig  []batch.Resources
	inTime  bool              // the job that is being placed can meet its objective
	lacking []batch.Resources // those of tooBig of jobs that can
	gangs   bool              // a gang of such a job waits that an idle pool has room for
	capped  []*step           // those of such jobs that wait for nothing but the amount of their customer

	byRack        [][]*worker              // see racks
	forecasts     map[string]*rackForecast // by rack, see rackForecast
	gangForecasts []*rackForecast          // for gangs, in the order of byRack
	gangRooms     map[gangNeed]roomTime    // see gangRoom
}

// fits reports whether it is still possible that a worker has the resources free.
func (p *placement) fits(need batch.Resources) bool {
	for _, least := range p.tooBig {
		if least.Fits(need) {
			return false
		}
	}
	return true
}

// recordTooBig records a need that no worker has free. It does nothing if some worker has: then another condition failed.
func (p *placement) recordTooBig(need batch.Resources) {
	for _, w := range p.workers {
		if need.Fits(w.free()) {
			return
		}
	}
	p.tooBig = append(p.tooBig, need)
	if p.inTime {
		p.lacking = append(p.lacking, need)
	}
}

func (s *Scheduler) placeJob(j *job, pass *placement) {
	for k := range j.def.Runs() {
		if o := j.occurrences[k]; o != nil && !o.done {
			for _, st := range o.steps {
				if !st.complete() && o.mayRun(st) {
					s.placeStep(st, pass)
				}
			}
		}
	}
}

// usable returns the workers that may get new tasks. Workers with several failed runs in a row are left out, unless they are
// the majority: then the jobs are the more likely cause.
func (s *Scheduler) usable() []*worker {
	var good, avoided []*worker
	for _, w := range s.sortedWorkers() {
		switch {
		case !w.listed || w.entry.Draining || w.evacuating || w.entry.Pool != s.Pool:
		case w.incarnationKnown && !w.isDescribed():
		case !w.confirmed || w.unresponsive || w.leaseFixed() || w.needToken || w.clockAt == 0 || s.now-w.lastAnswer > unresponsiveAfter:
		case s.overdue(w):
		case w.avoidUntil > s.now:
			avoided = append(avoided, w)
		default:
			good = append(good, w)
		}
	}
	if len(avoided) > len(good) {
		return append(good, avoided...)
	}
	return good
}

// overdue reports whether a worker has not answered an order for much longer than usual. A task placed on it now might have
// to wait until the worker's lease has expired.
func (s *Scheduler) overdue(w *worker) bool {
	if w.holdID != 0 && s.now > w.holdDue+usualAnswerTime {
		return true
	}
	for _, r := range w.runs {
		switch {
		case r.state == starting && s.now > r.sent+usualAnswerTime:
			return true
		case r.state == uncertain && w.lastAnswer <= r.answered:
			return true
		}
	}
	return false
}

// sortedWorkers returns all workers by ID. The caller must not change the result.
func (s *Scheduler) sortedWorkers() []*worker {
	if len(s.sorted) == len(s.workers) {
		return s.sorted
	}
	s.sorted = make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		s.sorted = append(s.sorted, w)
	}
	sort.Slice(s.sorted, func(a, b int) bool { return s.sorted[a].entry.ID < s.sorted[b].entry.ID })
	return s.sorted
}

func (s *Scheduler) placeStep(st *step, pass *placement) {
	if !pass.fits(st.def.Reserve()) {
		return
	}
	if st.def.Gang {
		if s.withinCap(st, pass) {
			s.placeGang(st, pass)
		}
		pass.gangs = pass.gangs || pass.inTime && st.tasks[0].run == nil && s.couldFitGang(st)
		return
	}
	var placed []*run
	var remote *worker // the choice for the last task, which waits for its rack instead
	for _, t := range st.tasks {
		if t.done || t.run != nil || t.retryAt > s.now {
			continue
		}
		if !s.withinCap(st, pass) {
			break
		}
		avoids := t.avoid != nil && s.now < t.avoidUntil
		w := remote
		if w == nil || avoids {
			w = s.choose(t, pass.workers, nil)
		}
		if w == nil {
			s.requestMissingAdvice(st, pass.workers)
			pass.recordTooBig(st.def.Reserve())
			if avoids {
				continue // the others may run on the worker that this one avoids
			}
			break // tasks of a step are equal: if one does not fit, the next does not either
		}
		if s.waitsForRack(t, w, pass) {
			if !avoids {
				remote = w
			}
			continue
		}
		remote = nil
		t.wait.end(s.now, s.RemoteFactor > 1 && st.def.Rack != "" && !w.entry.HasLabel(st.def.Rack))
		placed = append(placed, s.assign(t, w, t.number+1))
	}
	s.logPlaced(st, placed)
}

// logPlaced logs the placement of tasks of one step, each as INDEX/RUN@WORKER.
func (s *Scheduler) logPlaced(st *step, placed []*run) {
	if len(placed) == 0 {
		return
	}
	var list []byte
	for _, r := range placed {
		if len(list) > 0 {
			list = append(list, ' ')
		}
		list = strconv.AppendInt(list, int64(r.task.key.Index), 10)
		list = append(list, '/')
		list = strconv.AppendInt(list, int64(r.number), 10)
		list = append(list, '@')
		list = append(list, r.worker.entry.ID...)
	}
	j := st.job
	s.log(eventPlaced, slog.String("step", st.name()), slog.String("runs", string(list)), slog.Int("left", j.waiting),
		slog.Int64("age-ms", int64(s.now-j.acceptedAt)), slog.Int64("configuration", s.configuration.Version))
}

// placeGang places all tasks of a gang or none.
func (s *Scheduler) placeGang(st *step, pass *placement) {
	workers, number := pass.workers, 0
	for _, t := range st.tasks {
		if t.run != nil || t.retryAt > s.now {
			return
		}
		number = max(number, t.number)
	}
	if st.def.TightlyCoupled {
		for _, rack := range pass.racks() {
			if fitsNow(st, rack) && s.placeGangOn(st, rack, number+1) {
				st.wait.end(s.now, false)
				return
			}
		}
		if s.gangWaits(st, pass) {
			st.job.recordTriedGang()
			return
		}
	}
	if !s.placeGangOn(st, workers, number+1) {
		st.job.recordTriedGang()
		s.requestMissingAdvice(st, workers)
		return
	}
	st.wait.end(s.now, s.RemoteFactor > 1 && st.def.TightlyCoupled)
}

// recordTriedGang records that a gang of the job waits for room.
func (j *job) recordTriedGang() {
	if !j.gangTried {
		j.gangTried, j.ranked.job = true, nil // the rank changes
	}
}

func (s *Scheduler) placeGangOn(st *step, workers []*worker, number int) bool {
	var runs []*run
	var before []int // numbers of the newest runs
	for _, t := range st.tasks {
		w := s.choose(t, workers, nil)
		if w == nil {
			for i, r := range runs {
				s.detach(r)
				r.task.number = before[i]
			}
			return false
		}
		before = append(before, t.number)
		runs = append(runs, s.reserve(t, w, number))
	}
	for _, r := range runs {
		s.recordPlaced(r)
	}
	s.logPlaced(st, runs)
	return true
}

// withdraw cancels the placement of a task that is neither stored nor ordered yet.
func (s *Scheduler) withdraw(r *run) {
	s.detach(r)
	if r.task.run == nil {
		r.task.step.job.waiting++
	}
}

// racks returns the workers of the pass by their last label, which names the rack.
func (p *placement) racks() [][]*worker {
	if p.byRack != nil {
		return p.byRack
	}
	byRack := map[string][]*worker{}
	var names []string
	for _, w := range p.workers {
		name := w.rack()
		if byRack[name] == nil {
			names = append(names, name)
		}
		byRack[name] = append(byRack[name], w)
	}
	sort.Strings(names)
	for _, name := range names {
		p.byRack = append(p.byRack, byRack[name])
	}
	return p.byRack
}

// hasRoomElsewhere reports whether the task fits on one of the workers other than the one on which it runs. It asks the advisor about
// workers that may not be known to be allowed.
func (s *Scheduler) hasRoomElsewhere(t *task, workers []*worker, current *worker) bool {
	if s.choose(t, workers, current) != nil {
		return true
	}
	s.requestMissingAdvice(t.step, workers)
	return false
}

// choose returns the cheapest worker on which the task fits, or nil. The worker exclude, if set, is not considered; the task is then not
// placed yet, and needs no valid ticket.
func (s *Scheduler) choose(t *task, workers []*worker, exclude *worker) *worker {
	def := t.step.def
	advised := t.step.advised()
	need := def.Reserve()
	// Only some steps depend on what else runs on a worker.
	dependsOnOthers := def.MaxPerWorker > 0 || def.BestEffort || def.TargetLatency > 0 || def.LongRunning
	var best *worker
	bestCost := 0
	for _, w := range workers {
		if w == exclude || (w == t.avoid && s.now < t.avoidUntil) || !need.Fits(w.free()) || (def.Label != "" && !w.entry.HasLabel(def.Label)) {
			continue
		}
		if advised && !t.step.hasTicket(w, s.now) && (exclude == nil || !t.step.isAllowed(w)) {
			continue
		}
		peers, latencySensitive, background := 0, 0, 0
		if dependsOnOthers {
			peers, latencySensitive, background = w.neighbours(t.step)
		}
		if def.MaxPerWorker > 0 && peers >= def.MaxPerWorker {
			continue
		}
		// Prefer full workers, to keep the others free for large tasks, maintenance and moves.
		cost := 1000 - w.used.CPU*1000/max(w.entry.Capacity.CPU, 1)
		if def.Rack != "" && !w.entry.HasLabel(def.Rack) {
			cost += costOtherRack
		}
		if def.BestEffort {
			cost += latencySensitive*costLatencySensitive + background*costPerBackground
		} else if def.TargetLatency > 0 {
			cost += background * costLatencySensitive
		}
		if def.LongRunning {
			cost += peers * costPerPeer
			if s.maintenanceDue[w.entry.Machine] {
				cost += costMaintenance
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// neighbours returns how many runs of the worker are of the step, of latency-sensitive tasks and of background tasks.
func (w *worker) neighbours(st *step) (peers, latencySensitive, background int) {
	for _, r := range w.runs {
		other := r.task.step
		if other == st {
			peers++
		}
		if other.def.BestEffort {
			background++
		} else if other.def.TargetLatency > 0 {
			latencySensitive++
		}
	}
	return peers, latencySensitive, background
}

// assign reserves resources for a task on a worker. The start goes out once the placement is stored.
func (s *Scheduler) assign(t *task, w *worker, number int) *run {
	r := s.reserve(t, w, number)
	s.recordPlaced(r)
	return r
}

// recordPlaced records that a task which has waited has a run, to be stored.
func (s *Scheduler) recordPlaced(r *run) {
	j := r.task.step.job
	j.waiting--
	placeTime.Observe(s.now - j.acceptedAt)
	s.storeStart(r)
}

// storeStart has the start of a run stored with the next transaction.
func (s *Scheduler) storeStart(r *run) {
	j := r.task.step.job
	j.hasNewStarts = true
	s.markDirty(j)
}

// reserve reserves resources for a run that is not to be stored yet.
func (s *Scheduler) reserve(t *task, w *worker, number int) *run {
	t.number = number
	r := &run{task: t, worker: w, number: number, state: planned, incarnation: w.incarnation, throttle: 100,
		checkpoint: t.resumePoint()}
	s.attach(r)
	return r
}

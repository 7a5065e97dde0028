package pool

import (
	"fmt"
	"log/slog"
	"sort"
)

// Weights of the choice of a worker; a worker's use counts from 0 to 1000.
const (
	costOtherRack  = 1500 // the data is elsewhere
	costServing    = 600  // a task that fills beside one that serves
	costPerFilling = 300  // each task that fills beside another
	costPerPeer    = 200  // each task of the same step
	costUpkeep     = 1200 // a task that lasts on a machine that is due for upkeep, which it would have to leave soon
)

// adviseLimit is how many workers one call to the advisor names.
const adviseLimit = 30

// Plan decides what to do now: lapses, stops, places, holds. Orders and Draft return the outcome.
func (s *Scheduler) Plan() {
	s.noteStall()
	s.expireCalls()
	s.lapse()
	s.due()
	s.repeatStops()
	s.evacuate()
	s.place()
	s.holds()
}

// due starts occurrences whose time has come, and forgets jobs that have ended.
func (s *Scheduler) due() {
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
	for len(s.recent) > 0 && s.now-s.recent[0].since > recentTime {
		delete(s.jobs, s.recent[0].id)
		s.recent = s.recent[1:]
	}
}

func (s *Scheduler) repeatStops() {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.stopping && s.now-r.stopSent > stopRepeat && w.confirmed {
				s.stop(r, "repeated")
			}
		}
	}
}

func (s *Scheduler) place() {
	var ranks []rank
	for _, j := range s.active {
		if j.waiting > 0 {
			ranks = append(ranks, s.rank(j))
		}
	}
	if len(ranks) == 0 {
		return
	}
	sort.SliceStable(ranks, func(a, b int) bool {
		return ranks[a].before(ranks[b])
	})
	workers := s.usable()
	if len(workers) == 0 {
		return
	}
	for _, r := range ranks {
		s.placeJob(r.job, workers)
	}
}

func (s *Scheduler) placeJob(j *job, workers []*worker) {
	for k := range j.def.Runs() {
		if o := j.occurrences[k]; o != nil && !o.done {
			for _, st := range o.steps {
				if !st.complete() && o.mayRun(st) {
					s.placeStep(st, workers)
				}
			}
		}
	}
}

// usable returns the workers that may get new tasks. Workers that failed several runs in a row are left out, unless
// they are the larger part of the pool: then the fault is more likely in the jobs.
func (s *Scheduler) usable() []*worker {
	var good, avoided []*worker
	for _, w := range s.sortedWorkers() {
		switch {
		case !w.listed || w.entry.Draining || w.wanted || w.entry.Pool != s.Pool:
		case !w.confirmed || w.silent || w.keepsLease() || w.needToken || w.clockAt == 0 || s.now-w.heard > silentAfter:
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

// overdue reports whether a worker has not answered an order for much longer than it takes. What is placed on it now might
// have to wait for the end of its lease.
func (s *Scheduler) overdue(w *worker) bool {
	if w.holding != 0 && s.now > w.holdDue+answerTime {
		return true
	}
	for _, r := range w.runs {
		switch {
		case r.state == starting && s.now > r.sent+answerTime:
			return true
		case r.state == uncertain && w.heard <= r.answered:
			return true
		}
	}
	return false
}

// sortedWorkers returns all workers by id; the result is not to be changed.
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

func (s *Scheduler) placeStep(st *step, workers []*worker) {
	if !s.adviceReady(st, workers) {
		return
	}
	if st.def.Gang {
		s.placeGang(st, workers)
		return
	}
	for _, t := range st.tasks {
		if t.done || t.run != nil || t.retryAt > s.now {
			continue
		}
		w := s.choose(t, workers, nil)
		if w == nil {
			return // tasks of a step are equal: where one does not fit, the next one does not either
		}
		s.assign(t, w, t.number+1)
	}
}

// placeGang places all tasks of a gang or none.
func (s *Scheduler) placeGang(st *step, workers []*worker) {
	number := 0
	for _, t := range st.tasks {
		if t.run != nil || t.retryAt > s.now {
			return
		}
		number = max(number, t.number)
	}
	if st.def.TightlyCoupled {
		for _, rack := range racks(workers) {
			if s.placeGangOn(st, rack, number+1) {
				return
			}
		}
	}
	s.placeGangOn(st, workers, number+1)
}

func (s *Scheduler) placeGangOn(st *step, workers []*worker, number int) bool {
	for i, t := range st.tasks {
		w := s.choose(t, workers, nil)
		if w == nil {
			for _, placed := range st.tasks[:i] {
				s.withdraw(placed.run)
			}
			return false
		}
		s.assign(t, w, number)
	}
	return true
}

// withdraw takes back a place of which nothing is stored or ordered yet.
func (s *Scheduler) withdraw(r *run) {
	delete(r.worker.runs, r.task.name)
	r.worker.used = r.worker.used.Sub(r.task.step.def.Reserve())
	r.task.run = nil
	r.task.step.job.waiting++
}

// racks groups workers by their last label, the rack.
func racks(workers []*worker) [][]*worker {
	byRack := map[string][]*worker{}
	var names []string
	for _, w := range workers {
		name := ""
		if n := len(w.entry.Labels); n > 0 {
			name = w.entry.Labels[n-1]
		}
		if byRack[name] == nil {
			names = append(names, name)
		}
		byRack[name] = append(byRack[name], w)
	}
	sort.Strings(names)
	var groups [][]*worker
	for _, name := range names {
		groups = append(groups, byRack[name])
	}
	return groups
}

// choose returns the best worker with room for the task, or nil; without, if set, is left out.
func (s *Scheduler) choose(t *task, workers []*worker, without *worker) *worker {
	def := t.step.def
	need := def.Reserve()
	var best *worker
	bestCost := 0
	for _, w := range workers {
		if w == without || (w == t.avoid && s.now < t.avoidUntil) || !need.Fits(w.room()) || (def.Label != "" && !w.entry.HasLabel(def.Label)) {
			continue
		}
		if t.step.advice != nil && t.step.advice.Tickets[w.entry.ID] == "" {
			continue
		}
		peers, serving, filling := 0, 0, 0
		for _, r := range w.runs {
			other := r.task.step
			if other == t.step {
				peers++
			}
			if other.def.BestEffort {
				filling++
			} else if other.def.TargetLatency > 0 {
				serving++
			}
		}
		if def.MaxPerWorker > 0 && peers >= def.MaxPerWorker {
			continue
		}
		// Full workers first: the others stay free for large tasks, upkeep and moves.
		cost := 1000 - w.used.CPU*1000/max(w.entry.Capacity.CPU, 1)
		if def.Rack != "" && !w.entry.HasLabel(def.Rack) {
			cost += costOtherRack
		}
		if def.BestEffort {
			cost += serving*costServing + filling*costPerFilling
		} else if def.TargetLatency > 0 {
			cost += filling * costServing
		}
		if def.LongRunning {
			cost += peers * costPerPeer
			if s.upkeep[w.entry.Machine] {
				cost += costUpkeep
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// assign reserves the place of a task; the order goes out once the place is stored.
func (s *Scheduler) assign(t *task, w *worker, number int) {
	t.number = number
	r := &run{task: t, worker: w, number: number, state: planned, born: w.born, pace: 100}
	t.run = r
	w.runs[t.name] = r
	w.used = w.used.Add(t.step.def.Reserve())
	j := t.step.job
	j.waiting--
	j.starts = true
	s.mark(j)
	placeTime.Observe(s.now - j.seen)
	s.log(eventPlaced, slog.String("task", t.name), slog.Int("run", number), slog.String("worker", w.entry.ID),
		slog.Int("used-cpu", w.used.CPU), slog.Int64("age-ms", int64(s.now-j.seen)),
		slog.Int64("configuration", s.configuration.Version))
}

// adviceReady reports whether the tickets of a step are known, and asks for them otherwise.
func (s *Scheduler) adviceReady(st *step, workers []*worker) bool {
	queue, ok := s.configuration.Queue(st.job.def.Queue)
	if !ok || !queue.Advised {
		st.advice = nil
		return true
	}
	if st.advice != nil && s.now-st.advised < st.advice.Validity/2 {
		return true
	}
	if st.advising {
		return false
	}
	st.advising = true
	order := Advise{Step: st.name()}
	for _, w := range workers {
		if len(order.Workers) < adviseLimit {
			order.Workers = append(order.Workers, w.entry.ID)
		}
	}
	s.orders = append(s.orders, order)
	return false
}

// AdviseAnswered takes in the answer of the advisor; ok is false when there was none.
func (s *Scheduler) AdviseAnswered(order Advise, advice Advice, ok bool) {
	for _, j := range s.active {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.advising && st.name() == order.Step {
					st.advising = false
					if ok {
						st.advice, st.advised = &advice, s.now
					}
				}
			}
		}
	}
}

// name returns the name of a step, which the names of its tasks begin with; a step has at least one task.
func (st *step) name() string {
	key := st.tasks[0].key
	return fmt.Sprintf("%s.%d.%d", st.job.def.ID, key.Occurrence, key.Step)
}

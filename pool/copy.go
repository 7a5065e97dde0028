package pool

import (
	"cmp"
	"log/slog"
	"slices"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Limits of copies.
const (
	copyPeriod    = 100 * clock.Millis(1) // between two searches for slow tasks
	copyStartTime = 100 * clock.Millis(1) // from the decision until a copy works
	// copyShare divides the processor time that first runs leave free: copies may take the quotient.
	copyShare = 2
	maxCopies = 2 // of one task; each that is stopped to make room has worked in vain
	// minLengths is the number of ended runs of a queue from which a run is compared with them if too few tasks of its step are done.
	minLengths = 20
)

// slowRun is a run whose task deserves a copy.
type slowRun struct {
	run      *run
	left     clock.Millis // estimated
	expected clock.Millis // of a new run
	gain     float64      // expected time by which the task is done earlier, in milliseconds
}

// copySlowTasks starts copies of tasks that are slow, for a step that ends with its last task. It answers a heavy tail of run times while
// workers are idle: copies come after all first runs, and take a part only of what these leave free. In pass are the results of the
// placement of waiting tasks; nil if there were none.
func (s *Scheduler) copySlowTasks(pass *placement) {
	if s.now < s.nextCopySearch {
		return
	}
	s.nextCopySearch = s.now + copyPeriod
	var slow []slowRun
	var pairs []*task // tasks with two runs
	used := 0         // processor of copies
	for _, st := range s.stepsWithCopies() {
		slow = append(slow, s.slowRuns(st)...)
		for _, t := range st.tasks {
			if t.copy != nil {
				pairs = append(pairs, t)
				used += st.def.Reserve().CPU
			}
		}
	}
	for _, c := range slow {
		c.run.copyDenied = true // until it has one
	}
	if pass != nil && len(pairs) > 0 {
		s.yieldCapped(pairs, pass.capped)
	}
	if pass != nil && (pass.gangs || s.couldFit(pass.lacking)) {
		s.yieldCopies(pairs, pass.lacking)
		return
	}
	if len(slow) == 0 {
		return
	}
	workers := s.usable()
	free := used
	for _, w := range workers {
		free += max(w.free().CPU, 0)
	}
	slices.SortStableFunc(slow, func(a, b slowRun) int { return cmp.Compare(b.gain, a.gain) })
	for _, c := range slow {
		need := c.run.task.step.def.Reserve().CPU
		if (used+need)*copyShare <= free && s.startCopy(c, workers) {
			used += need
			c.run.copyDenied = false
		}
	}
}

// stepsWithCopies returns the steps whose tasks run and may run twice.
func (s *Scheduler) stepsWithCopies() []*step {
	var steps []*step
	for _, j := range s.active {
		if j.state.Final() || !j.allowsCopies() {
			continue
		}
		for k := range j.def.Runs() {
			o := j.occurrences[k]
			if o == nil || o.done {
				continue
			}
			for _, st := range o.steps {
				if st.mayCopy() && !st.complete() && o.mayRun(st) {
					steps = append(steps, st)
				}
			}
		}
	}
	return steps
}

// allowsCopies reports whether a step of the job allows its tasks to run twice at once.
func (j *job) allowsCopies() bool {
	for i := range j.def.Steps {
		if j.def.Steps[i].AllowDuplicates {
			return true
		}
	}
	return false
}

// mayCopy reports whether the tasks of the step may run twice at once.
func (st *step) mayCopy() bool {
	return st.def.AllowDuplicates && !st.def.Gang && !st.def.LongRunning
}

// mayCopy reports whether the task may have a copy. One that fails counts against the attempts, and must leave the first run one.
func (t *task) mayCopy() bool {
	return t.step.mayCopy() && t.copies < maxCopies && t.failures+2 <= t.step.job.maxAttempts()
}

// couldFit reports whether one of the needs would fit on an idle worker.
func (s *Scheduler) couldFit(needs []batch.Resources) bool {
	for _, need := range needs {
		for _, w := range s.workers {
			if w.exists() && need.Fits(w.entry.Capacity) {
				return true
			}
		}
	}
	return false
}

// couldFitGang reports whether all tasks of a gang would fit on idle workers.
func (s *Scheduler) couldFitGang(st *step) bool {
	tasks := 0
	for _, w := range s.workers {
		if w.exists() {
			tasks += st.countIn(w.entry.Capacity)
		}
	}
	return tasks >= len(st.tasks)
}

// slowRuns returns the runs of a step whose tasks deserve a copy. A step with waiting tasks does not end sooner with one.
func (s *Scheduler) slowRuns(st *step) []slowRun {
	for _, t := range st.tasks {
		if !t.done && t.run == nil {
			return nil
		}
	}
	if j := st.job; j.hasObjective() && s.now-j.acceptedAt > overdueFactor*objectiveOf(j.terms, s.forecast(j).criticalPath) {
		return nil // it has no value left
	}
	var slow []slowRun
	for _, t := range st.tasks {
		if t.done || t.copy != nil || t.retryAt > s.now || !t.mayCopy() {
			continue
		}
		if c, ok := s.slowRun(t.run); ok {
			slow = append(slow, c)
		}
	}
	return slow
}

// slowRun reports whether a copy of the run is expected to save more time than it costs on balance. An owner that did not start the run does
// not know since when it runs.
func (s *Scheduler) slowRun(r *run) (slowRun, bool) {
	if r.state != running || r.stopping || r.sent == 0 {
		return slowRun{}, false
	}
	st := r.task.step
	h := s.history(st.job.def.Queue)
	past := &h.amongPeers
	expected, known := st.expected()
	if !known {
		past, expected = &h.declared, s.corrections[st.job.def.Queue].expected(st.def.Estimate)
		if past.total < minLengths {
			return slowRun{}, false
		}
	}
	left := s.left(r, past, expected) - copyStartTime
	if left <= 0 {
		return slowRun{}, false
	}
	c := slowRun{run: r, left: left, expected: expected}
	saved, worked := past.against(expected, left)
	share := h.copies.share(s.now)
	c.gain = share * saved
	// The run that loses stops, so that each millisecond gained is also one of work saved.
	cost := share*worked + (1-share)*float64(left) - c.gain
	return c, c.gain > cost
}

// left returns the expected remaining time of a run: at its speed so far, or that of the past runs that have lasted as long.
func (s *Scheduler) left(r *run, past *lengths, expected clock.Millis) clock.Millis {
	if r.percent >= minPercent && r.reportedAt > r.sent {
		return (r.reportedAt-r.sent)*clock.Millis(100-r.percent)/clock.Millis(r.percent) - (s.now - r.reportedAt)
	}
	return past.remaining(expected, s.now-r.sent)
}

// startCopy places a copy of the task on another worker, on another rack if possible, and reports whether there is one with room.
func (s *Scheduler) startCopy(c slowRun, workers []*worker) bool {
	t, current := c.run.task, c.run.worker
	if !s.mayCopyWithinCap(t.step) {
		return false
	}
	var others, otherRacks []*worker
	for _, w := range workers {
		if w == current {
			continue
		}
		others = append(others, w)
		if w.rack() != current.rack() {
			otherRacks = append(otherRacks, w)
		}
	}
	var w *worker
	if t.step.def.Rack == "" { // otherwise the task is faster on its own
		w = s.choose(t, otherRacks, nil)
	}
	if w == nil {
		w = s.choose(t, others, nil)
	}
	if w == nil {
		s.requestMissingAdvice(t.step, others)
		return false
	}
	r := s.reserve(t, w, t.number+1)
	r.copied = true
	s.storeStart(r)
	t.copies++
	copiesStarted.Add(1)
	s.log(eventCopyStarted, slog.String("task", t.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
		slog.String("slow-worker", current.entry.ID), slog.Int("percent", c.run.percent), slog.Int64("left-ms", int64(c.left)),
		slog.Int64("new-ms", int64(c.expected)))
	return true
}

// yieldCopies stops one of two runs where that makes room for the first run of a task that waits for it: of each task the one that is
// expected to end later.
func (s *Scheduler) yieldCopies(pairs []*task, lacking []batch.Resources) {
	for _, need := range lacking {
		s.stopLatest(pairs, "room for a first run", func(r *run) bool {
			return need.Fits(r.worker.free().Add(r.task.step.def.Reserve()))
		})
	}
}

// yieldCapped does the same for first runs that wait for their customer's amount.
func (s *Scheduler) yieldCapped(pairs []*task, capped []*step) {
	for _, st := range capped {
		customer, count := st.job.def.Customer, 1
		if st.def.Gang {
			count = len(st.tasks)
		}
		var own []*task
		for _, t := range pairs {
			if t.step.job.def.Customer == customer {
				own = append(own, t)
			}
		}
		s.stopLatest(own, "customer's amount for a first run", func(r *run) bool {
			return s.Caps.Allows(customer, s.usedBy(customer).Sub(r.task.step.def.Need), st.def.Need, count)
		})
	}
}

// stopLatest stops the later run of the pair that ends last among those whose stop helps. It does nothing while another stop is under way.
func (s *Scheduler) stopLatest(pairs []*task, reason string, helps func(*run) bool) {
	var last *run
	var lastLeft clock.Millis
	for _, t := range pairs {
		if t.run.stopping || t.copy.stopping {
			return
		}
		later, left := s.laterRun(t)
		if later.state == planned || left <= stopTime || !helps(later) {
			continue
		}
		if last == nil || left > lastLeft {
			last, lastLeft = later, left
		}
	}
	if last != nil {
		s.stop(last, reason)
	}
}

// laterRun returns the run of the two that is expected to end later, and its remaining time. A run that an earlier owner started is taken
// for nearly done.
func (s *Scheduler) laterRun(t *task) (*run, clock.Millis) {
	expected := s.runTime(t.step)
	past := &s.history(t.step.job.def.Queue).amongPeers
	first, second := clock.Millis(0), s.left(t.copy, past, expected)
	if t.run.sent != 0 {
		first = s.left(t.run, past, expected)
	}
	if first > second {
		return t.run, first
	}
	return t.copy, second
}

// recordCopy learns from the end of a run whether copies of the queue help.
func (s *Scheduler) recordCopy(r *run, how EndReason) {
	t := r.task
	if t.copies == 0 {
		return
	}
	first := how == EndDone && !t.done
	if first {
		if other := t.run; other != nil && !other.stopping { // the two were compared to the end
			s.history(t.step.job.def.Queue).copies.add(s.now, r.copied)
		}
		s.log(eventCopyEnded, slog.String("task", t.name), slog.Int("run", r.number), slog.Bool("won", r.copied))
	}
	switch {
	case r.copied && first:
		copiesWon.Add(1)
	case r.copied:
		copiesStopped.Add(1)
	}
	if how == EndStopped && t.done && !r.resumed && r.sent != 0 && r.percent >= minPercent {
		// The tail of the run times would be missing if only the runs counted that were not overtaken.
		s.recordLength(r, (r.reportedAt-r.sent)*100/clock.Millis(r.percent))
	}
}

// recordLength adds the time of a run to those of its queue.
func (s *Scheduler) recordLength(r *run, took clock.Millis) {
	st := r.task.step
	h := s.history(st.job.def.Queue)
	if expected, known := st.expected(); known {
		h.amongPeers.add(took, expected)
	}
	h.declared.add(took, s.corrections[st.job.def.Queue].expected(st.def.Estimate))
}

// rack returns the last label of the worker, which names its rack; empty if it has none.
func (w *worker) rack() string {
	if n := len(w.entry.Labels); n > 0 {
		return w.entry.Labels[n-1]
	}
	return ""
}

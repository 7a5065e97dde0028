package pool

import (
	"log/slog"

	"magnoliaferry/clock"
)

// Limits for the progress of a run.
const (
	stallTime    = 1500 * clock.Millis(1) // without any progress; a listing comes at least every 700 ms
	stallPercent = 20                     // percent of the expected run time without any progress
	// A run is moved if its remaining time, at its speed so far, exceeds minSlowTime plus this multiple of the time of a new
	// run elsewhere.
	slowFactor  = 2
	minSlowTime = 1 * clock.Second
	// slowWorkerPercent is the average run time, in percent of the expected one, from which a worker is avoided.
	slowWorkerPercent = 250
	slownessWeight    = 4 // weight of the average against a new run
	// minPeers is the number of tasks of a step that must be done before the others are compared with them.
	minPeers = 2
	// maxMoves is how often a task is moved because its run is slow. Each move of a run without any progress doubles the time after which
	// the next one counts as stalled, up to maxPatience times.
	maxMoves    = 2
	maxPatience = 64
	// stopTime is how long a stop takes until the task can start elsewhere.
	stopTime = 500 * clock.Millis(1)
)

// movePays reports whether a slow run would end later than a new run elsewhere. A run is slow because of its worker, or by chance, and then
// a new run takes the expected time; or the task itself is long, and then a new run loses the time for which this one has run. share is the
// probability of the former.
func movePays(share float64, elapsed, left, expected clock.Millis) bool {
	anew := float64(stopTime) + share*float64(expected) + (1-share)*float64(elapsed+left)
	return float64(left) > anew
}

// moveStalledRuns moves runs with little or no progress, as a task can hang on a worker that otherwise works.
func (s *Scheduler) moveStalledRuns(w *worker) {
	for _, r := range sortedRuns(w) {
		if r.state != running || r.stopping || r.task.step.job.state.Final() || r.task.step.def.Gang {
			continue
		}
		if !s.stalled(r) {
			continue
		}
		if !s.hasRoomElsewhere(r.task, s.usable(), w) {
			continue
		}
		s.log(eventStalled, slog.String("task", r.task.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
			slog.Int("percent", r.percent), slog.Int64("unchanged-ms", int64(s.now-r.progressedAt)),
			slog.Int64("running-ms", int64(s.now-r.sent)), slog.Int64("declared-ms", int64(r.task.step.def.Estimate)))
		r.task.recordSlow(r)
		r.task.avoidWorker(w, s.now)
		s.countFailure(w)
		s.stop(r, "no progress")
	}
}

// expected returns the average run time of the tasks of the step that are done, and whether there are enough of them. The
// declared run time is not used: it can be wrong by several times.
func (st *step) expected() (clock.Millis, bool) {
	return st.totalRunTime / clock.Millis(max(st.timedTasks, 1)), st.timedTasks >= minPeers
}

// stalled reports whether a run makes no progress, or so little that it is moved. An owner that did not start the run does not know since
// when it runs, so that its speed is unknown.
func (s *Scheduler) stalled(r *run) bool {
	if r.task.step.def.LongRunning {
		return r.percent < 100 && s.now-r.progressedAt > 2*stallTime
	}
	t := r.task
	expected, known := t.step.expected()
	patience := max(stallTime, expected*stallPercent/100) * clock.Millis(min(1<<min(t.moves, 30), maxPatience))
	if s.now-r.progressedAt > patience {
		return true
	}
	elapsed := s.now - r.sent
	if !known || r.sent == 0 || r.percent <= 0 || r.resumed || elapsed < minSlowTime || t.moves >= maxMoves || t.copy != nil {
		return false
	}
	if t.mayCopy() && !r.copyDenied {
		return false
	}
	left := elapsed * clock.Millis(100-r.percent) / clock.Millis(r.percent)
	// If an earlier run was slow too, the task is likely to be as long as the shorter of them.
	expected = max(expected, t.slowLength)
	return left > minSlowTime+slowFactor*max(expected, minSlowTime) && movePays(s.history(t.step.job.def.Queue).moves.share(s.now), elapsed, left, expected)
}

// recordSlow records that a run of the task is stopped for little or no progress, and how long it would take as a whole at its speed so far.
func (t *task) recordSlow(r *run) {
	t.moves++
	t.slowRun = r.number
	if r.percent <= 0 || r.resumed || r.sent == 0 {
		return
	}
	if length := (r.reportedAt - r.sent) * 100 / clock.Millis(r.percent); t.slowLength == 0 || length < t.slowLength {
		t.slowLength = length
	}
}

// recordMove records whether the last move of a task has helped, once its next run is done.
func (s *Scheduler) recordMove(r *run, took clock.Millis) {
	t := r.task
	if t.slowLength == 0 || r.number <= t.slowRun {
		return
	}
	s.history(t.step.job.def.Queue).moves.add(s.now, 2*took < t.slowLength)
}

// recordRunTime updates the run times of a step, and the slowness of the worker, from a run that ended as done.
func (s *Scheduler) recordRunTime(r *run) {
	if r.resumed || r.sent == 0 {
		return
	}
	st, w, took := r.task.step, r.worker, s.now-r.sent
	s.recordMove(r, took)
	expected, known := st.expected()
	s.recordLength(r, took)
	st.totalRunTime += took
	st.timedTasks++
	if !known {
		return
	}
	if w.slowness == 0 {
		w.slowness = 100
	}
	w.slowness = (w.slowness*(slownessWeight-1) + min(took*100/max(expected, 1), 1000)) / slownessWeight
	if w.slowness >= slowWorkerPercent && w.avoidUntil < s.now {
		s.log(eventSlowWorker, slog.String("worker", w.entry.ID), slog.Int64("percent", int64(w.slowness)))
		w.avoidUntil = s.now + workerAvoidTime
		w.slowness = 100
	}
}

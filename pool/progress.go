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
)

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

func (s *Scheduler) stalled(r *run) bool {
	if r.task.step.def.LongRunning {
		return r.percent < 100 && s.now-r.progressedAt > 2*stallTime
	}
	expected, known := r.task.step.expected()
	if s.now-r.progressedAt > max(stallTime, expected*stallPercent/100) {
		return true
	}
	elapsed := s.now - r.sent
	if !known || r.percent <= 0 || r.resumed || elapsed < minSlowTime {
		return false
	}
	left := elapsed * clock.Millis(100-r.percent) / clock.Millis(r.percent)
	return left > minSlowTime+slowFactor*max(expected, minSlowTime)
}

// recordRunTime updates the run times of a step, and the slowness of the worker, from a run that ended as done.
func (s *Scheduler) recordRunTime(r *run) {
	if r.resumed || r.sent == 0 {
		return
	}
	st, w, took := r.task.step, r.worker, s.now-r.sent
	expected, known := st.expected()
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

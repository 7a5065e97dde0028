package pool

import (
	"log/slog"

	"magnoliaferry/clock"
)

// Bounds of the progress of a run.
const (
	stallTime = 1500 * clock.Millis(1) // without any progress; a listing comes at least every 700 ms
	stallPart = 20                     // percent of the expected run time without any progress
	// A run is moved when what is left of it, at the speed so far, takes this much longer than a new run elsewhere.
	slowFactor = 2
	slowLeast  = 1 * clock.Second
	// slowWorker is the average run time, in percent of the expected one, from which a worker is avoided.
	slowWorker = 250
	slowWeight = 4 // of the average against a new run
	// enoughPeers is how many tasks of a step must be done to judge the others by them.
	enoughPeers = 2
)

// watch moves runs that make little or no progress, as tasks can stand still on a worker that otherwise looks well.
func (s *Scheduler) watch(w *worker) {
	for _, r := range sortedRuns(w) {
		if r.state != running || r.stopping || r.task.step.job.state.Final() || r.task.step.def.Gang {
			continue
		}
		if !s.stalled(r) {
			continue
		}
		if s.choose(r.task, s.usable(), w) == nil {
			continue
		}
		s.log(eventStalled, slog.String("task", r.task.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
			slog.Int("percent", r.percent), slog.Int64("unchanged-ms", int64(s.now-r.moved)),
			slog.Int64("running-ms", int64(s.now-r.sent)), slog.Int64("declared-ms", int64(r.task.step.def.Estimate)))
		r.task.leave(w, s.now)
		s.suspect(w)
		s.stop(r, "no progress")
	}
}

// expected returns the run time of a task of the step as those tell that are done, and whether enough of them are. The
// declared run time is no measure: it is off by up to several times.
func (st *step) expected() (clock.Millis, bool) {
	return st.ran / clock.Millis(max(st.timed, 1)), st.timed >= enoughPeers
}

func (s *Scheduler) stalled(r *run) bool {
	if r.task.step.def.LongRunning {
		return r.percent < 100 && s.now-r.moved > 2*stallTime
	}
	expected, known := r.task.step.expected()
	if s.now-r.moved > max(stallTime, expected*stallPart/100) {
		return true
	}
	elapsed := s.now - r.sent
	if !known || r.percent <= 0 || r.checkpointed || elapsed < slowLeast {
		return false
	}
	left := elapsed * clock.Millis(100-r.percent) / clock.Millis(r.percent)
	return left > slowLeast+slowFactor*max(expected, slowLeast)
}

// noteSpeed learns from a run that ended as done how long tasks of its step take, and whether its worker is slow.
func (s *Scheduler) noteSpeed(r *run) {
	if r.checkpointed || r.sent == 0 {
		return
	}
	st, w, took := r.task.step, r.worker, s.now-r.sent
	expected, known := st.expected()
	st.ran += took
	st.timed++
	if !known {
		return
	}
	if w.slowness == 0 {
		w.slowness = 100
	}
	w.slowness = (w.slowness*(slowWeight-1) + min(took*100/max(expected, 1), 1000)) / slowWeight
	if w.slowness >= slowWorker && w.avoidUntil < s.now {
		s.log(eventSlowWorker, slog.String("worker", w.entry.ID), slog.Int64("percent", int64(w.slowness)))
		w.avoidUntil = s.now + avoidTime
		w.slowness = 100
	}
}

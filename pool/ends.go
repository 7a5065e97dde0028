package pool

import (
	"log/slog"

	"magnoliaferry/batch"
)

func (s *Scheduler) processEnds(w *worker, ends []Ended) {
	for _, end := range ends {
		if end.Number <= w.lastEnd {
			continue
		}
		if s.mayBeOthers(w, end.Task) {
			return // an acknowledgement would hide the end from the owner of that pool
		}
		w.lastEnd = end.Number
		r := w.runs[end.Task]
		if r == nil || r.number != end.Run || r.state == planned {
			// The run was given up as lost, or was stopped before it began.
			counts := s.acceptLateEnd(end)
			s.log(eventUnmatchedEnd, slog.String("task", end.Task), slog.Int("run", end.Run), slog.String("worker", w.entry.ID),
				slog.String("how", string(end.Reason)), slog.Int64("end", end.Number), slog.Bool("counts", counts))
			continue
		}
		s.finish(r, end.Reason, end.Checkpoint)
	}
}

// stopRuns stops the runs of a task that is done. A run whose start has not been sent is withdrawn.
func (s *Scheduler) stopRuns(t *task, reason string) {
	for _, r := range t.runs() {
		switch {
		case r == nil:
		case r.state == planned:
			s.detach(r)
		default:
			s.stop(r, reason)
		}
	}
}

// acceptLateEnd marks a task as done if a run of it that was given up before has ended as done, unless another run has
// completed it, and reports whether it did. A run whose start has not been sent is withdrawn; any other run of the task is
// stopped.
func (s *Scheduler) acceptLateEnd(end Ended) bool {
	id, key, ok := batch.ParseTask(end.Task)
	j := s.jobs[id]
	if !ok || end.Reason != EndDone || j == nil || j.state.Final() {
		return false
	}
	o := j.occurrences[key.Occurrence]
	if o == nil || !j.def.HasTask(key) {
		return false
	}
	st := o.steps[key.Step]
	t := st.tasks[key.Index]
	if t.done || st.def.LongRunning || st.def.Gang || end.Run > t.number {
		return false
	}
	t.done = true
	st.done++
	s.stopRuns(t, "task done by an earlier run")
	if st.complete() {
		s.stepCompleted(st)
	}
	s.markDirty(j)
	s.advance(j)
	return true
}

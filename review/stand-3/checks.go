package main

import (
	"strings"
	"time"
)

// stepOf returns the step of a task; a step without fields for a task that no requester sent. The site's lock is held.
func (s *site) stepOf(t taskName) *step {
	j := s.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) {
		return &step{}
	}
	return &j.Steps[t.step]
}

// savedBy returns what a checkpoint of the task begins with.
func (s *site) savedBy(t taskName) string {
	if s.stepOf(t).Gang {
		return t.stepName
	}
	return t.name
}

// checkStart checks the rules for a start that a worker carries out. The site's lock is held.
func (s *site) checkStart(w *worker, r *run, o *order) {
	t, now := r.task, s.record.now()
	j := s.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) || t.index >= j.Steps[t.step].Count || t.occurrence >= j.runs() || o.Spec != j.Spec {
		s.record.breach("UNASKED", "%s run %d is started on %s, and no requester sent it", t.name, r.number, w.id)
		return
	}
	st := &j.Steps[t.step]
	j.begun = true
	if j.cancelledAt != 0 && now-j.cancelledAt > cancelMillis {
		s.record.breach("UNASKED", "%s run %d is started %d ms after the cancelling was acknowledged", t.name, r.number, now-j.cancelledAt)
	}
	if o.Checkpoint != "" && !strings.HasPrefix(o.Checkpoint, s.savedBy(t)+"/") {
		s.record.breach("UNASKED", "%s run %d carries the checkpoint %q", t.name, r.number, o.Checkpoint)
	}
	if st.Label != "" && st.Label != w.kind && st.Label != w.rack {
		s.record.breach("ROUTE", "%s run %d needs the label %q and is started on %s, whose labels are %q and %q", t.name, r.number, st.Label, w.id, w.kind, w.rack)
	}
	s.checkNeighbours(w, r, st)
	if at, ok := s.doneAt[t.name]; ok && !st.AllowDuplicates && now > at {
		s.record.breach("TWICE", "%s run %d is started after a run has ended done", t.name, r.number)
	}
	s.lastStart[t.name] = now
	if !st.LongRunning && s.noted[s.savedBy(t)] >= j.queue.MaxAttempts {
		s.record.breach("BUDGET", "%s run %d is started after %d runs have failed", t.name, r.number, s.noted[s.savedBy(t)])
	}
	for _, earlier := range st.After {
		for index := range j.Steps[earlier].Count {
			if !j.done[nameOf(j.ID, t.occurrence, earlier, index)] {
				s.record.breach("ORDER", "%s run %d is started before step %d is done", t.name, r.number, earlier)
			}
		}
	}
	if j.MaxRuns > 0 {
		if due := j.StartAt + int64(t.occurrence)*j.Interval; time.Now().UnixMilli() < due-earlyMillis {
			s.record.breach("ORDER", "%s run %d is started %d ms too early", t.name, r.number, due-time.Now().UnixMilli())
		}
	}
}

// checkNeighbours checks a start against what runs. The site's lock is held.
func (s *site) checkNeighbours(w *worker, r *run, st *step) {
	for _, other := range s.workers {
		other.tickRuns(w)
		for _, key := range sortedKeys(other.runs) {
			if running := other.runs[key]; other.up && running.task.name == r.task.name && !st.AllowDuplicates {
				s.record.breach("TWICE", "%s run %d is started on %s while run %d runs on %s", r.task.name, r.number, w.id, running.number, other.id)
			}
		}
	}
	cpu, peers := st.CPU, 1
	for _, name := range sortedKeys(w.runs) {
		t := w.runs[name].task
		cpu += s.stepOf(t).CPU
		if t.stepName == r.task.stepName {
			peers++
		}
	}
	if cpu > w.cpu {
		s.record.breach("LIMIT", "%s run %d brings %s to %d of %d thousandths of a core", r.task.name, r.number, w.id, cpu, w.cpu)
	}
	if st.MaxPerServer > 0 && peers > st.MaxPerServer {
		s.record.breach("ROUTE", "%s run %d is number %d of its step on %s, at most %d may be", r.task.name, r.number, peers, w.id, st.MaxPerServer)
	}
}

// tickRuns ends what is due on another worker.
func (w *worker) tickRuns(asking *worker) {
	if w != asking {
		w.tick()
	}
}

// assemble lets a gang work once all members of one run are present. The site's lock is held.
func (s *site) assemble(t taskName, number int) {
	members := s.gang(t, number)
	if len(members) < s.stepOf(t).Count {
		return
	}
	now := s.record.now()
	for _, m := range members {
		m.run.working = now
		if m.run.saved != members[0].run.saved {
			s.record.breach("UNASKED", "members of %s run %d carry different checkpoints", t.stepName, number)
		}
	}
	s.record.line("gang %s run %d works", t.stepName, number)
}

type member struct {
	worker *worker
	run    *run
}

// gang returns the members of a run of a gang that are present.
func (s *site) gang(t taskName, number int) []member {
	var members []member
	for _, w := range s.workers {
		for _, name := range sortedKeys(w.runs) {
			if r := w.runs[name]; w.up && r.task.stepName == t.stepName && r.number == number {
				members = append(members, member{w, r})
			}
		}
	}
	return members
}

// memberEnded breaks the rest of a gang. The site's lock is held.
func (s *site) memberEnded(r *run) {
	if !s.stepOf(r.task).Gang {
		return
	}
	for _, m := range s.gang(r.task, r.number) {
		if m.run != r {
			m.worker.finish(m.run, "broken")
		}
	}
}

// finishDone ends a run that is done, and with it the rest of a gang.
func (s *site) finishDone(w *worker, r *run) {
	members := []member{{w, r}}
	if s.stepOf(r.task).Gang {
		members = s.gang(r.task, r.number)
	}
	for _, m := range members {
		m.worker.finish(m.run, "done")
	}
}

// fails reports whether a run fails by its own fault. The site's lock is held.
func (s *site) fails(r *run) bool {
	key := r.task.name
	if s.stepOf(r.task).Gang {
		key = r.task.stepName // one member fails for all
	}
	if s.failures[key] >= r.work.Fail {
		return false
	}
	s.failures[key]++
	return true
}

// noteEnd records an end as the workers see it. The site's lock is held.
func (s *site) noteEnd(r *run, how string) {
	if j := s.jobs[r.task.job]; j != nil && how == "done" {
		j.done[r.task.name] = true
	}
}

// taken records that an end was taken note of. The site's lock is held.
func (s *site) taken(w *worker, e end) {
	if e.lapsed {
		return
	}
	st := s.stepOf(e.task)
	switch e.how {
	case "done":
		if _, known := s.doneAt[e.task.name]; !known {
			s.doneAt[e.task.name] = e.at
		}
		if !st.AllowDuplicates && s.lastStart[e.task.name] > e.at {
			s.record.breach("TWICE", "%s was started after run %d had ended done, which is taken note of now", e.task.name, e.run)
		}
	case "failed":
		s.noted[s.savedBy(e.task)]++
	}
	s.record.line("end %d of worker %s is taken note of: %s run %d %s", e.number, w.id, e.task.name, e.run, e.how)
}

package pool

import (
	"log/slog"

	"magnoliaferry/batch"
)

// JobRow is the progress of one job, to be stored.
type JobRow struct {
	ID       string
	Progress *batch.Progress
}

// Draft is what has to be stored in one transaction before the orders that depend on it go out.
type Draft struct {
	Rows    []JobRow
	Deletes []string // ids of jobs whose rows are no longer kept

	starts  []*run
	acks    map[*worker]int64
	lives   map[*worker]int64
	deleted map[string]bool
}

// Draft returns what has to be stored now, or nil when nothing has to be. One draft is out at a time; Committed ends it.
func (s *Scheduler) Draft() *Draft {
	if s.draft != nil {
		return nil
	}
	d := &Draft{acks: map[*worker]int64{}, lives: map[*worker]int64{}, deleted: map[string]bool{}}
	for len(s.dirty) > 0 && len(d.Rows) < MaxRows {
		j := s.dirty[0]
		s.dirty = s.dirty[1:]
		j.dirty = false
		d.Rows = append(d.Rows, JobRow{j.def.ID, s.progress(j, d)})
	}
	s.expire(d)
	if len(s.dirty) == 0 {
		for _, w := range s.workers {
			if w.seenEnd > w.ack {
				d.acks[w], d.lives[w] = w.seenEnd, w.born
			}
		}
	}
	if len(d.Rows) == 0 && len(d.Deletes) == 0 && len(d.acks) == 0 {
		return nil
	}
	s.draft = d
	return d
}

// Renewal returns an empty draft, which renews the ownership; nil while another draft is out.
func (s *Scheduler) Renewal() *Draft {
	if s.draft != nil {
		return nil
	}
	s.draft = &Draft{}
	return s.draft
}

func (s *Scheduler) progress(j *job, d *Draft) *batch.Progress {
	p := &batch.Progress{State: j.state}
	if j.state.Final() {
		return p
	}
	for k := range j.def.Runs() {
		o := j.occurrences[k]
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.number == 0 {
					continue
				}
				stored := batch.Run{Occurrence: t.key.Occurrence, Step: t.key.Step, Index: t.key.Index, Number: t.number,
					Done: t.done, Failures: t.failures}
				if !t.done {
					stored.Checkpoint = t.checkpoint
				}
				if r := t.run; r != nil {
					stored.Worker, stored.Born = r.worker.entry.ID, r.born
					if r.state == planned && !r.drafted {
						r.drafted = true
						d.starts = append(d.starts, r)
					}
				}
				p.Runs = append(p.Runs, stored)
			}
		}
	}
	if len(p.Runs) > 0 && p.State == batch.Pending {
		p.State = batch.Running
		j.state = batch.Running
	}
	return p
}

// expire deletes rows of jobs that ended long ago, a few at a time.
func (s *Scheduler) expire(d *Draft) {
	for len(s.final) > 0 && len(d.Deletes) < 5 && s.now-s.final[0].since > s.Retention {
		id := s.final[0].id
		s.final = s.final[1:]
		d.Deletes = append(d.Deletes, id)
		d.deleted[id] = true
	}
}

// send orders a worker to start a run.
func (s *Scheduler) send(r *run) {
	w, t := r.worker, r.task
	r.state, r.sent, r.token = starting, s.now, w.token
	r.checkpointed = t.checkpoint != ""
	deadline := w.clockNow(s.now) + s.Lease
	w.leaseUntil = max(w.leaseUntil, w.leaseEnd(deadline))
	ticket := ""
	if t.step.advice != nil {
		ticket = t.step.advice.Tickets[w.entry.ID]
	}
	s.orders = append(s.orders, Start{Target: w.target(), Task: t.name, Run: r.number, Spec: t.step.job.def.Spec,
		Deadline: deadline, Token: w.token, Checkpoint: t.checkpoint, Ticket: ticket})
}

// stop orders a worker to end a run; it is repeated until the end is listed.
func (s *Scheduler) stop(r *run, reason string) {
	if r.state == planned { // the order to start never went out
		return
	}
	if !r.stopping {
		s.log(eventStopping, slog.String("task", r.task.name), slog.Int("run", r.number),
			slog.String("worker", r.worker.entry.ID), slog.String("reason", reason))
	}
	r.stopping, r.stopSent = true, s.now
	if r.worker.clockAt == 0 {
		return // its address or life is not known yet; the first listing brings the stop
	}
	s.orders = append(s.orders, Stop{Target: r.worker.target(), Task: r.task.name, Run: r.number, Token: r.worker.token})
}

package pool

import (
	"log/slog"
	"slices"

	"magnoliaferry/batch"
)

// JobRow is the progress of one job, to be stored.
type JobRow struct {
	ID       string
	Queue    string
	Progress *batch.Progress
	// Finished tells that the state is final and no run is out any more: only the state is kept.
	Finished bool
}

// Transaction is what has to be stored in one transaction before the orders that depend on it go out.
type Transaction struct {
	Rows    []JobRow
	Expired []string // ids of jobs whose states are no longer kept

	starts []*run
	acks   map[*worker]int64
	lives  map[*worker]int64
	over   []string // jobs of which only the state is kept from now on
}

// Transaction returns what has to be stored now, or nil when nothing has to be. One draft is out at a time; Committed ends it.
func (s *Scheduler) Transaction() *Transaction {
	if s.draft != nil {
		return nil
	}
	d := &Transaction{acks: map[*worker]int64{}, lives: map[*worker]int64{}}
	// Starts wait for the transaction, and callers for final states. Other ends delay nobody; after an outage there are many.
	slices.SortStableFunc(s.dirty, func(a, b *job) int {
		switch {
		case a.urgent() == b.urgent():
			return 0
		case a.urgent():
			return -1
		}
		return 1
	})
	for entries := 0; len(s.dirty) > 0 && entries < MaxEntries; {
		j := s.dirty[0]
		s.dirty = s.dirty[1:]
		j.dirty, j.starts = false, false
		row := JobRow{ID: j.def.ID, Queue: j.def.Queue, Progress: s.progress(j, d), Finished: j.state.Final() && !j.running()}
		entries += rowEntries
		d.Rows = append(d.Rows, row)
		if row.Finished {
			d.over = append(d.over, j.def.ID)
		}
	}
	s.expire(d)
	if len(s.dirty) == 0 {
		for _, w := range s.workers {
			if w.seenEnd > w.ack {
				d.acks[w], d.lives[w] = w.seenEnd, w.born
			}
		}
	}
	if len(d.Rows) == 0 && len(d.Expired) == 0 && len(d.acks) == 0 {
		return nil
	}
	s.draft = d
	return d
}

// urgent reports whether somebody waits for the progress of the job to be stored.
func (j *job) urgent() bool { return j.starts || j.state.Final() }

// Renewal returns an empty draft, which renews the ownership; nil while another draft is out.
func (s *Scheduler) Renewal() *Transaction {
	if s.draft != nil {
		return nil
	}
	s.draft = &Transaction{}
	return s.draft
}

func (s *Scheduler) progress(j *job, d *Transaction) *batch.Progress {
	p := &batch.Progress{State: j.state}
	for k := range j.def.Runs() {
		o := j.occurrences[k]
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.number == 0 || j.state.Final() && t.run == nil {
					continue
				}
				stored := batch.Run{Occurrence: t.key.Occurrence, Step: t.key.Step, Index: t.key.Index, Number: t.number,
					Done: t.done, Failures: t.failures}
				if !t.done {
					stored.Checkpoint = t.checkpoint
				}
				if r := t.run; r != nil {
					stored.Worker, stored.Incarnation, stored.Machine = r.worker.entry.ID, r.born, r.worker.entry.Machine
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

// expire names jobs that ended long ago, a few at a time. They stay known until Forget: their rows can outlast the retention.
func (s *Scheduler) expire(d *Transaction) {
	for len(s.final) > 0 && len(d.Expired) < 5 && s.now-s.final[0].since > s.Retention && s.over[s.final[0].id] {
		d.Expired = append(d.Expired, s.final[0].id)
		s.final = s.final[1:]
	}
}

// RemoveEnded tells that an expired job has no row any more from which it could be taken in again.
func (s *Scheduler) RemoveEnded(id string) { delete(s.over, id) }

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

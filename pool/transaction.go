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
	// Finished is set if the state is final and no task has a run: only the state is kept.
	Finished bool
}

// Transaction is what must be stored before the orders that depend on it are sent.
type Transaction struct {
	Rows    []JobRow
	Expired []string // IDs of jobs whose states are no longer kept

	starts       []*run
	acks         map[*worker]int64
	incarnations map[*worker]int64
	ended        []string // IDs of jobs of which only the state is kept from now on
}

// Transaction returns what must be stored now, or nil if there is nothing to store or another transaction is in
// flight. Committed completes the transaction.
func (s *Scheduler) Transaction() *Transaction {
	if s.transaction != nil {
		return nil
	}
	tx := &Transaction{acks: map[*worker]int64{}, incarnations: map[*worker]int64{}}
	// Starts wait for the transaction, and callers wait for final states. Other ends delay nothing, and there are many of
	// them after an outage.
	slices.SortStableFunc(s.dirty, func(a, b *job) int {
		switch {
		case a.urgent() == b.urgent():
			return 0
		case a.urgent():
			return -1
		}
		return 1
	})
	size := 0
	for entries := 0; len(s.dirty) > 0 && entries < MaxJobRows && size < maxProgressBytes; {
		j := s.dirty[0]
		s.dirty = s.dirty[1:]
		j.dirty, j.hasNewStarts = false, false
		row := JobRow{ID: j.def.ID, Queue: j.def.Queue, Progress: s.storableProgress(j, tx), Finished: j.state.Final() && !j.running()}
		entries += rowEntries
		size += row.Progress.Size()
		tx.Rows = append(tx.Rows, row)
		if row.Finished {
			delete(s.refused, j.def.ID)
			tx.ended = append(tx.ended, j.def.ID)
		}
	}
	s.expireStates(tx)
	if len(s.dirty) == 0 && len(s.refused) == 0 {
		for _, w := range s.workers {
			if w.lastEnd > w.ack {
				tx.acks[w], tx.incarnations[w] = w.lastEnd, w.incarnation
			}
		}
	}
	if len(tx.Rows) == 0 && len(tx.Expired) == 0 && len(tx.acks) == 0 {
		return nil
	}
	s.transaction = tx
	return tx
}

// Refuse excludes jobs from the transaction in flight, because the store does not accept their rows and would not accept them later. Such a
// job fails: its progress cannot be kept, and repeated writes would hold up the pool. No ends of runs are acknowledged until the job has no
// runs and its final state is stored.
func (s *Scheduler) Refuse(ids []string) {
	tx := s.transaction
	if tx == nil {
		return
	}
	tx.acks = nil
	for _, id := range ids {
		j := s.jobs[id]
		if j == nil || slices.Contains(tx.ended, id) { // its final state alone is refused; no smaller row exists
			continue
		}
		s.refused[id] = true
		tx.starts = slices.DeleteFunc(tx.starts, func(r *run) bool {
			if r.task.step.job != j {
				return false
			}
			if r.attached() {
				s.finish(r, EndLost, "")
			}
			return true
		})
		if !j.state.Final() {
			s.conclude(j, batch.Failed)
		}
	}
}

// urgent reports whether a start or a caller waits until the progress of the job is stored.
func (j *job) urgent() bool { return j.hasNewStarts || j.state.Final() }

// Renewal returns an empty transaction, which renews the ownership of the pool, or nil while another transaction is
// in flight.
func (s *Scheduler) Renewal() *Transaction {
	if s.transaction != nil {
		return nil
	}
	s.transaction = &Transaction{}
	return s.transaction
}

func (s *Scheduler) progress(j *job, tx *Transaction) *batch.Progress {
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
					stored.Moves = t.moves
				}
				if !t.done {
					stored.Checkpoint = t.resumePoint()
				}
				if t.key.Index == 0 {
					stored.FailedRun = st.gang.failedRun
				}
				p.Runs = appendRuns(p.Runs, t, stored, tx)
			}
		}
	}
	if len(p.Runs) > 0 && p.State == batch.Pending {
		p.State = batch.Running
		j.state = batch.Running
	}
	return p
}

// appendRuns appends an entry for each run of a task, or one without a worker if it has none, and adds new starts to the transaction. The last
// entry has the number of the newest run. Only the first one says that the task is done, as earlier versions count the entries that do.
func appendRuns(entries []batch.Run, t *task, stored batch.Run, tx *Transaction) []batch.Run {
	first := stored
	for _, r := range t.runs() {
		if r == nil {
			continue
		}
		entry := first
		entry.Number, entry.Worker, entry.Incarnation, entry.Machine = r.number, r.worker.entry.ID, r.incarnation, r.worker.entry.Machine
		if r.state == planned && !r.inTransaction {
			r.inTransaction = true
			tx.starts = append(tx.starts, r)
		}
		entries = append(entries, entry)
		first.Done = false
	}
	if t.run == nil || entries[len(entries)-1].Number < t.number && !t.done {
		entries = append(entries, first)
	}
	return entries
}

// expireStates adds at most five jobs whose retention has passed to the transaction. They stay registered until RemoveEnded is
// called, as their rows can outlast the retention.
func (s *Scheduler) expireStates(tx *Transaction) {
	for len(s.final) > 0 && len(tx.Expired) < 5 && s.now-s.final[0].since > s.Retention && s.ended[s.final[0].id] {
		tx.Expired = append(tx.Expired, s.final[0].id)
		s.final = s.final[1:]
	}
}

// RemoveEnded removes an expired job. It must be called only when the table has no row left from which the job could be
// added again.
func (s *Scheduler) RemoveEnded(id string) { delete(s.ended, id) }

// sendStart queues the order to start a run.
func (s *Scheduler) sendStart(r *run) {
	w, t := r.worker, r.task
	r.state, r.sent, r.token = starting, s.now, w.token
	r.resumed = r.checkpoint != ""
	deadline := w.clockNow(s.now) + s.Lease
	w.leaseUntil = max(w.leaseUntil, w.leaseEnd(deadline))
	s.orders = append(s.orders, Start{Target: w.target(), Task: t.name, Run: r.number, Spec: t.step.job.def.Spec,
		Deadline: deadline, Token: w.token, Checkpoint: r.checkpoint, Ticket: t.step.ticketFor(w)})
}

// stop queues the order to end a run. The order is repeated until the end is listed.
func (s *Scheduler) stop(r *run, reason string) {
	if r.state == planned { // the start was never sent
		return
	}
	if !r.stopping {
		s.log(eventStopping, slog.String("task", r.task.name), slog.Int("run", r.number),
			slog.String("worker", r.worker.entry.ID), slog.String("reason", reason))
	}
	r.stopping, r.stopSent = true, s.now
	if r.worker.clockAt == 0 {
		return // its address or incarnation is unknown; repeatStops sends the stop after the first listing
	}
	s.orders = append(s.orders, Stop{Target: r.worker.target(), Task: r.task.name, Run: r.number, Token: r.worker.token})
}

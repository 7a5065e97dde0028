package pool

import (
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// startPostponement is the delay before a task is placed again whose run did not fit into the progress of its job.
const startPostponement = 500 * clock.Millis(1)

// copyReserve is the room for the entries of copies that have ended before the first run of their task.
const copyReserve = 24 << 10

// maxWorkerFields bounds what the stored form of a run with a worker is longer than that of one without, apart from the two ids.
const maxWorkerFields = 50

// storableProgress returns the progress of a job so that it fits into one row, and adds its new starts to the transaction. It answers a job
// with very many running tasks: their checkpoints, which the workers keep as well, are left out first; then starts wait until others have
// ended. What remains only shrinks as runs end.
func (s *Scheduler) storableProgress(j *job, tx *Transaction) *batch.Progress {
	others := len(tx.starts)
	p := s.progress(j, tx)
	limit := batch.MaxProgressBytes
	if j.allowsCopies() {
		limit -= copyReserve
	}
	if p.Size() <= limit {
		return p
	}
	dropCheckpoints(p)
	postponed := 0
	for excess := p.Size() - limit; excess > 0 && len(tx.starts) > others; {
		for excess > 0 && len(tx.starts) > others {
			last := tx.starts[len(tx.starts)-1]
			n := s.postpone(last, tx)
			postponed += n
			excess -= n * (len(last.worker.entry.ID) + len(last.worker.entry.Machine) + maxWorkerFields)
		}
		p = s.progress(j, tx)
		dropCheckpoints(p)
		excess = p.Size() - limit
	}
	if postponed > 0 {
		s.log(eventStartsPostponed, slog.String("job", j.def.ID), slog.Int("starts", postponed), slog.Int("size-bytes", p.Size()))
	}
	return p
}

func dropCheckpoints(p *batch.Progress) {
	for i := range p.Runs {
		p.Runs[i].Checkpoint = ""
	}
}

// postpone withdraws a run from the transaction, and with it the other members of a gang. It returns the number of withdrawn runs.
func (s *Scheduler) postpone(r *run, tx *Transaction) int {
	kept := tx.starts[:0]
	for _, other := range tx.starts {
		if other != r && !(r.task.step.def.Gang && other.task.step == r.task.step) {
			kept = append(kept, other)
			continue
		}
		s.withdraw(other)
		other.task.number = other.number - 1 // so that a task which has never run needs no place in the progress
		other.task.retryAt = s.now + startPostponement
	}
	n := len(tx.starts) - len(kept)
	tx.starts = kept
	return n
}

package pool

import (
	"log/slog"

	"magnoliaferry/clock"
)

// Times after which a worker, or this owner, counts as slow.
const (
	// A start without an answer for startSoftTimeout is settled by a hold, and a hold without one for holdSoftTimeout is repeated. Their
	// answers count also when they come later, up to AnswerLimit.
	startSoftTimeout = 200 * clock.Millis(1)
	holdSoftTimeout  = 600 * clock.Millis(1)
	// AnswerTimeout is how long the answer to a start or a hold is awaited: an owner that is short of processor time reads
	// answers seconds after they were given, and an end that a worker has told must not be lost.
	AnswerTimeout = 3 * clock.Second
	// An owner that was stalled for more than stallLimit, or to which lateWorkers workers answered late within stallPause, gives no
	// worker up for stallPause: it, or its link, is slower than its workers. The pause is longer than a hold that waits,
	// holdSoftTimeout and holdRetry together, after which the next answer can be late.
	stallLimit  = 150 * clock.Millis(1)
	stallPause  = 2500 * clock.Millis(1)
	lateWorkers = 3
)

// expireCalls takes orders whose soft timeout has passed for unanswered ones. Their answers still count.
func (s *Scheduler) expireCalls() {
	for _, w := range s.sortedWorkers() {
		for _, r := range w.runs {
			if r.state == starting && s.now >= r.sent+startSoftTimeout {
				s.markUncertain(r)
			}
		}
		if w.asking != 0 && s.now >= w.askDue+holdSoftTimeout {
			w.asking, w.nextAsk = 0, s.now+holdPause
			s.markSilent(w)
		}
		if w.holding != 0 && s.now >= w.holdDue+holdSoftTimeout {
			w.holding, w.nextHold = 0, s.now+holdRetry
			s.markSilent(w)
		}
	}
}

// markUncertain lets a hold find out what became of a start.
func (s *Scheduler) markUncertain(r *run) {
	r.state, r.answered = uncertain, s.now
	r.worker.nextHold = min(r.worker.nextHold, s.now)
}

// markSilent takes in that a worker left a hold unanswered.
func (s *Scheduler) markSilent(w *worker) {
	w.silent = true
	if w.confirmed && s.now-w.heard > silentAfter {
		s.log(eventSilent, slog.String("worker", w.entry.ID), slog.Int64("silent-ms", int64(s.now-w.heard)))
		w.confirmed = false // its lists come first when it answers again
	}
}

// lapse gives up the runs of workers whose lease is over and that do not answer. One that answers lists what has ended:
// runs can have ended as done before this instance, short of processor time, was late with a renewal.
func (s *Scheduler) lapse() {
	for _, w := range s.sortedWorkers() {
		if w.unheard() && s.now > w.leaseUntil && (w.leaseUntil > 0 || !w.listed) && s.silenceConfirmed(w) {
			certain := false
			for _, r := range w.runs {
				certain = certain || r.state != planned
			}
			if !certain {
				continue
			}
			s.log(eventLapsed, slog.String("worker", w.entry.ID), slog.Int("runs", len(w.runs)),
				slog.Int64("silent-ms", int64(s.now-w.heard)), slog.Int64("lease-over-ms", int64(s.now-w.leaseUntil)))
			for _, r := range sortedRuns(w) {
				if r.state != planned {
					s.finish(r, EndLost, "")
				}
			}
			w.confirmed = false
		}
		if len(w.runs) == 0 && !w.listed && w.holding == 0 && s.now-w.heard > clock.Minute {
			delete(s.workers, w.entry.ID)
			s.sorted = nil
		}
	}
}

// silenceConfirmed reports whether this owner has asked the worker for long enough, or waited for its entry, and whether the silence is
// the worker's own: the owner is not slow, or a hold from long after the lease got no answer either.
func (s *Scheduler) silenceConfirmed(w *worker) bool {
	if s.now-max(w.heard, w.reachable) < silentAfter {
		return false
	}
	return s.now >= s.evictFrom || w.unanswered > w.leaseUntil+AnswerTimeout || w.entry.Address == ""
}

// answeredLate takes in that an answer came after its soft timeout. One worker may be slow; several, or half of the pool, show that this
// instance is.
func (s *Scheduler) answeredLate(w *worker) {
	w.lateAt = s.now
	late, listed := 0, 0
	for _, other := range s.workers {
		if other.lateAt != 0 && s.now-other.lateAt <= stallPause {
			late++
		}
		if other.listed {
			listed++
		}
	}
	if late >= min(lateWorkers, (listed+1)/2) {
		s.suspendEviction(slog.Int("late-workers", late))
	}
}

// suspendEviction keeps workers from being given up for missing answers for a while.
func (s *Scheduler) suspendEviction(reason slog.Attr) {
	if s.now >= s.evictFrom {
		s.log(eventSlowOwner, reason)
	}
	s.evictFrom = s.now + stallPause
}

// noteStall notices that this instance did not run for a while, so that answers may wait to be read.
func (s *Scheduler) noteStall() {
	stalled := s.now - s.plannedAt
	if s.plannedAt != 0 && stalled > stallLimit {
		s.suspendEviction(slog.Int64("stalled-ms", int64(stalled)))
	}
	s.plannedAt = s.now
}

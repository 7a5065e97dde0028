package pool

import (
	"log/slog"

	"magnoliaferry/clock"
)

// Timeouts after which a worker, or this instance, is considered slow.
const (
	// A start without an answer within startSoftTimeout is settled by a hold, and a hold without an answer within
	// holdSoftTimeout is repeated. Answers that arrive later still count, up to AnswerTimeout.
	startSoftTimeout = 200 * clock.Millis(1)
	holdSoftTimeout  = 600 * clock.Millis(1)
	// AnswerTimeout is how long to wait for the answer to a start or a hold. An instance that is short of processor time
	// reads answers seconds after they were sent, and an end that a worker has reported must not be lost.
	AnswerTimeout = 3 * clock.Second
	// After a stall of this instance of more than stallLimit, or late answers from lateWorkersLimit workers within
	// evictionPause, no worker is evicted for evictionPause: the instance, or its network link, is slower than its workers.
	// The pause is longer than the wait of a hold, holdSoftTimeout and holdRetryDelay together, after which the next answer
	// may be late.
	stallLimit       = 150 * clock.Millis(1)
	evictionPause    = 2500 * clock.Millis(1)
	lateWorkersLimit = 3
)

// expireCalls treats orders whose soft timeout has passed as unanswered. Later answers to them still count.
func (s *Scheduler) expireCalls() {
	for _, w := range s.sortedWorkers() {
		for _, r := range w.runs {
			if r.state == starting && s.now >= r.sent+startSoftTimeout {
				s.markUncertain(r)
			}
		}
		if w.urgentHoldID != 0 && s.now >= w.urgentHoldDue+holdSoftTimeout {
			w.urgentHoldID, w.nextUrgentHold = 0, s.now+holdInterval
			if w.urgentHoldAddress == w.entry.Address {
				s.markUnresponsive(w)
			}
		}
		if w.holdID != 0 && s.now >= w.holdDue+holdSoftTimeout {
			w.holdID, w.nextHold = 0, s.now+holdRetryDelay
			s.markUnresponsive(w)
		}
	}
}

// markUncertain marks a start without an answer; the next hold shows whether it was carried out.
func (s *Scheduler) markUncertain(r *run) {
	r.state, r.answered = uncertain, s.now
	r.worker.nextHold = min(r.worker.nextHold, s.now)
}

// markUnresponsive records that a worker did not answer a hold.
func (s *Scheduler) markUnresponsive(w *worker) {
	w.unresponsive = true
	if w.confirmed && s.now-w.lastAnswer > unresponsiveAfter {
		s.log(eventWorkerUnresponsive, slog.String("worker", w.entry.ID), slog.Int64("silent-ms", int64(s.now-w.lastAnswer)))
		w.confirmed = false // when the worker answers again, its lists are needed first
	}
}

// expireRuns evicts unresponsive workers whose lease has expired: their runs end as lost. A worker that answers reports its
// ends instead: its runs may have ended as done before this instance, short of processor time, was late with a renewal.
func (s *Scheduler) expireRuns() {
	for _, w := range s.sortedWorkers() {
		if w.unreachable() && s.now > w.leaseUntil && (w.leaseUntil > 0 || !w.listed) && s.mayEvict(w) {
			ordered := false
			for _, r := range w.runs {
				ordered = ordered || r.state != planned
			}
			if !ordered {
				continue
			}
			s.log(eventWorkerEvicted, slog.String("worker", w.entry.ID), slog.Int("runs", len(w.runs)),
				slog.Int64("silent-ms", int64(s.now-w.lastAnswer)), slog.Int64("lease-over-ms", int64(s.now-w.leaseUntil)))
			for _, r := range sortedRuns(w) {
				if r.state != planned {
					s.finish(r, EndLost, "")
				}
			}
			w.confirmed = false
		}
		if len(w.runs) == 0 && !w.listed && w.holdID == 0 && s.now-w.lastAnswer > clock.Minute {
			delete(s.workers, w.entry.ID)
			s.sorted = nil
		}
	}
}

// mayEvict reports whether this owner has tried to reach the worker, or waited for its entry, for long enough, and the
// worker is at fault: either this owner is not slow, or a hold sent more than AnswerTimeout after the lease expired was not
// answered either.
func (s *Scheduler) mayEvict(w *worker) bool {
	if s.now-max(w.lastAnswer, w.addressKnownAt) < unresponsiveAfter {
		return false
	}
	return s.now >= s.evictionResumesAt || w.lastUnanswered > w.leaseUntil+AnswerTimeout || w.entry.Address == ""
}

// recordLateAnswer records that an answer arrived after its soft timeout. A single worker may be slow. Late answers from
// several, or from half of the pool, show that this instance is slow.
func (s *Scheduler) recordLateAnswer(w *worker) {
	w.lastLateAnswer = s.now
	late, listed := 0, 0
	for _, other := range s.workers {
		if other.lastLateAnswer != 0 && s.now-other.lastLateAnswer <= evictionPause {
			late++
		}
		if other.listed {
			listed++
		}
	}
	if late >= min(lateWorkersLimit, (listed+1)/2) {
		s.suspendEviction(slog.Int("late-workers", late))
	}
}

// Slow reports whether this owner, or its network link, has lately been slower than its workers.
func (s *Scheduler) Slow() bool { return s.now < s.evictionResumesAt }

// suspendEviction prevents the eviction of workers for missing answers for the duration of evictionPause.
func (s *Scheduler) suspendEviction(reason slog.Attr) {
	if s.now >= s.evictionResumesAt {
		s.log(eventSlowOwner, reason)
	}
	s.evictionResumesAt = s.now + evictionPause
}

// detectStall suspends eviction if this instance did not run for some time, as answers may be waiting to be read.
func (s *Scheduler) detectStall() {
	stalled := s.now - s.lastPlan
	if s.lastPlan != 0 && stalled > stallLimit {
		s.suspendEviction(slog.Int64("stalled-ms", int64(stalled)))
	}
	s.lastPlan = s.now
}

package pool

import (
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// maxReordering is how much older than the newest lists of a worker the lists in a delayed answer can be: the longest wait of
// a hold plus the time limit for its answer. If the clock of lists without an incarnation is further back, the worker has
// restarted.
const maxReordering = AnswerTimeout + idleHoldWait

// holds queues the holds that are due: they renew leases, return the ends of runs, and raise fencing tokens.
func (s *Scheduler) holds() {
	for _, w := range s.sortedWorkers() {
		if w.needToken || w.entry.Address == "" {
			continue
		}
		switch unsettled := s.hasUncertain(w); {
		case w.holdID == 0 && s.now >= w.nextHold:
			if w.listed && !w.isImpostor() || len(w.runs) > 0 || w.lastEnd != w.ack {
				s.hold(w, unsettled)
			}
		case (unsettled && w.holdID != 0 || w.claim != nil || w.suspected) && w.urgentHoldID == 0 && s.now >= w.nextUrgentHold:
			// The regular hold in flight waits for an end, and its token may be no higher than that of the start. It shows neither that the
			// worker still runs nor that it has restarted.
			s.urgentHold(w)
		}
	}
}

// urgentHold queues a hold that is answered at once. If a claim says that the worker has restarted, it goes to the address of the claim.
func (s *Scheduler) urgentHold(w *worker) {
	s.raiseToken(w)
	s.lastHoldID++
	order := Hold{Target: w.target(), Token: w.token, Ack: w.ackToSend(), Urgent: true, ID: s.lastHoldID}
	if w.claim != nil {
		order.Target.Address, order.Ack = w.claim.Address, 0
	}
	w.suspected = false
	w.urgentHoldID, w.urgentHoldDue, w.urgentHoldAddress = s.lastHoldID, s.now, order.Target.Address
	s.orders = append(s.orders, order)
}

// ackToSend returns the number of the newest end that a hold acknowledges. It is 0 if nothing new is to be acknowledged, or
// if the hold may reach a new incarnation: that one numbers its ends from the start again, and would drop ends that were
// never processed.
func (w *worker) ackToSend() int64 {
	if w.unresponsive || w.ack == w.acked || w.claim != nil {
		return 0
	}
	return w.ack
}

func (s *Scheduler) hold(w *worker, unsettled bool) {
	s.raiseToken(w)
	s.lastHoldID++
	order := Hold{Target: w.target(), Token: w.token, Ack: w.ackToSend(), Wait: idleHoldWait, ID: s.lastHoldID}
	if !w.confirmed || w.claim != nil {
		order.Wait = 0
	}
	if len(w.runs) > 0 {
		order.Wait = min(order.Wait, busyHoldWait)
		// A hold without an answer may have renewed the lease. The lease is only renewed again after the worker has
		// answered; otherwise the time at which it expires would never be certain.
		if w.clockAt != 0 && w.answersSinceRenewal && !w.leaseFixed() {
			w.answersSinceRenewal = false
			order.Deadline = w.clockNow(s.now) + s.Lease
			w.leaseUntil = max(w.leaseUntil, w.leaseEnd(order.Deadline))
		}
		if unsettled {
			order.Wait = 0
		}
	}
	w.holdID, w.holdDue = order.ID, s.now+order.Wait
	s.orders = append(s.orders, order)
}

// raiseToken makes sure that the next order to a worker invalidates its uncertain starts: a start without an answer may be
// carried out later, unless the worker has seen a higher token by then.
func (s *Scheduler) raiseToken(w *worker) {
	for _, r := range w.runs {
		if r.state == uncertain && r.token >= w.token && s.token > r.token {
			w.token = s.token
		}
	}
}

func (s *Scheduler) hasUncertain(w *worker) bool {
	for _, r := range w.runs {
		if r.state == uncertain {
			return true
		}
	}
	return false
}

// HoldAnswered handles the answer to a hold that was sent at the given time.
func (s *Scheduler) HoldAnswered(order Hold, listing Listing, sent clock.Millis) {
	w := s.workers[order.Target.ID]
	if w == nil {
		return
	}
	awaited := true
	switch order.ID {
	case w.urgentHoldID:
		w.urgentHoldID, w.nextUrgentHold = 0, s.now+holdInterval
	case w.holdID:
		w.holdID, w.nextHold = 0, s.now+holdRetryDelay
	default:
		awaited = false
	}
	elsewhere := order.Target.Address != w.entry.Address // the address of a claim
	switch {
	case listing.Outcome == Accepted:
	case elsewhere:
		w.nextUrgentHold = s.now + holdRetryDelay // it shows nothing about the worker at its own address
		return
	case listing.Outcome == Fenced:
		s.refusedByToken(w, order.Token)
		return
	default:
		w.lastUnanswered = max(w.lastUnanswered, sent)
		if awaited {
			s.markUnresponsive(w)
		}
		return
	}
	before := w.incarnation
	if same := s.answeredAs(w, listing.Incarnation); w.isImpostor() || !same {
		if !w.isImpostor() && w.incarnation != before {
			s.processEnds(w, listing.Ended) // a start may have reached the new incarnation, and the link can break before its next answer
		}
		return
	}
	if w.claim != nil && sent >= w.claimedAt {
		s.refuteClaim(w)
	}
	if !awaited {
		s.recordLateAnswer(w)
	}
	w.acked = max(w.acked, order.Ack)
	if !w.confirmed && order.Token >= w.token {
		s.log(eventWorkerResponsive, slog.String("worker", w.entry.ID), slog.Int64("token", order.Token),
			slog.Int("running", len(listing.Running)), slog.Int("ended", len(listing.Ended)))
	}
	if w.holdID == 0 {
		w.nextHold = s.now + holdInterval
		if w.unresponsive {
			w.nextHold = s.now // the next hold renews the lease
		}
	}
	w.unresponsive, w.answersSinceRenewal = false, true
	if awaited {
		w.lastAnswer = s.now
	} else {
		w.lastAnswer = max(w.lastAnswer, sent) // the worker answered at that time or later
	}
	w.confirmed = w.confirmed || order.Token >= w.token
	if w.firstAnswer == 0 {
		w.firstAnswer = s.now
	}
	s.processEnds(w, listing.Ended)
	if listing.Clock < w.listClock && (listing.Incarnation != 0 || w.listClock-listing.Clock < maxReordering) {
		return // older lists: the answer of a regular hold that waited for an end can arrive after that of an urgent one
	}
	w.clock, w.clockAt, w.listClock = listing.Clock, s.now, listing.Clock
	if order.Deadline > 0 {
		w.leaseUntil = max(w.leaseUntil, w.leaseEnd(order.Deadline))
	}
	s.processRunning(w, listing, order, sent)
	s.moveStalledRuns(w)
	s.throttle(w)
}

func (s *Scheduler) refusedByToken(w *worker, token int64) {
	if token < s.token {
		w.token = s.token // the token was raised after the order was sent
		w.nextHold = s.now
		return
	}
	w.outranked = true
	if !s.fenced {
		s.log(eventFenced, slog.String("worker", w.entry.ID), slog.Int64("token", token))
	}
	s.fenced = true
}

func (s *Scheduler) processRunning(w *worker, listing Listing, order Hold, sent clock.Millis) {
	listed := make(map[string]int, len(listing.Running))
	strays := map[string]batch.Resources{}
	for i := range listing.Running {
		entry := &listing.Running[i]
		r := w.runs[entry.Task]
		if r == nil || r.number != entry.Run || r.state == planned {
			s.stopStray(w, entry, strays)
			continue
		}
		listed[entry.Task] = entry.Run
		if r.state != running {
			r.state, r.progressedAt = running, s.now
		}
		r.runningIncarnation, r.listedClock = w.incarnation, listing.Clock
		if entry.Percent != r.percent {
			r.percent, r.progressedAt = entry.Percent, s.now
		}
		r.reportedAt = s.now
		if r.percent >= 100 {
			r.task.restarts = 0
		}
		r.measurement = entry.Measurement
		r.saveCheckpoint(entry.Checkpoint, false)
	}
	w.setStrays(strays)
	if len(listing.Ended) >= MaxEndsPerListing {
		return // the list of ends is incomplete; runs that are not listed may have ended
	}
	for _, r := range sortedRuns(w) {
		if _, ok := listed[r.task.name]; ok {
			continue
		}
		switch {
		case r.state == running && r.answered < sent && r.listedClock < listing.Clock:
			s.log(eventMissing, slog.String("task", r.task.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
				slog.Int64("life", r.runningIncarnation), slog.Int64("token", order.Token), slog.Int64("lists-of", int64(listing.Clock)),
				slog.Int64("asked-ms", int64(s.now-sent)), slog.Int64("answered-ms", int64(s.now-r.answered)), slog.Int64("told-ms", int64(s.now-r.reportedAt)))
			s.finish(r, EndLost, "")
		case r.state == uncertain && order.Token > r.token && r.answered <= sent:
			s.log(eventStartNotCarriedOut, slog.String("task", r.task.name), slog.Int("run", r.number),
				slog.String("worker", w.entry.ID), slog.Int64("token", order.Token))
			s.finish(r, EndLost, "")
		}
	}
}

// stopStray stops a listed run that this owner did not order, such as a run whose job ended under a previous owner. Its
// resources stay reserved until it is gone. If its job is unknown, the whole capacity of the worker is reserved.
func (s *Scheduler) stopStray(w *worker, entry *Running, strays map[string]batch.Resources) {
	need := w.entry.Capacity
	if id, key, ok := batch.ParseTask(entry.Task); ok {
		if j := s.jobs[id]; j != nil && key.Step < len(j.def.Steps) {
			need = j.def.Steps[key.Step].Reserve()
		}
	}
	if _, known := w.strays[entry.Task]; !known {
		s.log(eventStray, slog.String("task", entry.Task), slog.Int("run", entry.Run), slog.String("worker", w.entry.ID))
	}
	strays[entry.Task] = need
	if s.mayBeOthers(w, entry.Task) {
		return
	}
	s.orders = append(s.orders, Stop{Target: w.target(), Task: entry.Task, Run: entry.Run, Token: w.token})
}

// StartAnswered handles the answer to a start.
func (s *Scheduler) StartAnswered(order Start, reply Reply) {
	w := s.workers[order.Target.ID]
	if w == nil {
		return
	}
	r := w.runs[order.Task]
	if r == nil || r.number != order.Run || r.token != order.Token {
		return // the run has ended or was lost meanwhile
	}
	late := r.state == uncertain
	switch {
	case reply.Incarnation > w.incarnation:
		s.answeredAs(w, reply.Incarnation)
	case r.state != starting && !late, late && reply.Outcome == Unanswered, reply.Incarnation != 0 && reply.Incarnation < w.incarnation:
		return // the run was listed, a hold has settled it, or the answer is from an earlier incarnation
	}
	if late && reply.Outcome != NotSent {
		s.recordLateAnswer(w)
	}
	if w.runs[order.Task] != r {
		return
	}
	r.answered = s.now
	switch reply.Outcome {
	case Accepted:
		r.state, r.progressedAt, r.runningIncarnation, r.listedClock = running, s.now, reply.Incarnation, reply.Clock
		return
	case Unanswered:
		s.markUncertain(r)
		return
	case Fenced:
		if order.Token >= w.token {
			s.refusedByToken(w, order.Token)
		}
		if s.fenced {
			return
		}
		if !w.leaseFixed() && !r.stopping && !r.task.done && !r.task.step.job.state.Final() && w.clockAt != 0 {
			s.sendStart(r)
			return
		}
	}
	s.log(eventRefused, slog.String("task", order.Task), slog.Int("run", order.Run), slog.String("worker", w.entry.ID),
		slog.Int("outcome", int(reply.Outcome)))
	t := r.task
	s.finish(r, EndLost, "")
	switch reply.Outcome {
	case NoTicket:
		s.ticketRefused(t, w, order.Ticket)
	case Outdated, TooLate:
	default:
		w.avoidUntil = max(w.avoidUntil, s.now+startRefusedDelay)
	}
	t.retryAt = max(t.retryAt, s.now+holdInterval)
}

// StopAnswered handles the answer to a stop. The end of the run is reported by a later listing.
func (s *Scheduler) StopAnswered(order Stop, reply Reply) {
	if w := s.workers[order.Target.ID]; w != nil && reply.Outcome == Fenced {
		s.refusedByToken(w, order.Token)
	}
}

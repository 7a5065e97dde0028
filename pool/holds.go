package pool

import (
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// overtakenTime bounds how much older lists are that another answer overtook: the longest wait of a hold and its time on the way.
// Beyond that the worker has restarted, if it does not tell its life.
const overtakenTime = AnswerTimeout + idleWait

// holds orders the holds that are due: they renew leases, bring the ends, and raise tokens.
func (s *Scheduler) holds() {
	for _, w := range s.sortedWorkers() {
		if w.needToken || w.entry.Address == "" {
			continue
		}
		switch uncertain := s.hasUncertain(w); {
		case w.holding == 0 && s.now >= w.nextHold:
			if w.listed || len(w.runs) > 0 || w.seenEnd != w.ack {
				s.hold(w, uncertain)
			}
		case uncertain && w.holding != 0 && w.asking == 0 && s.now >= w.nextAsk:
			// The hold that is out waits for an end, and its token may not be above that of the start.
			s.raiseToken(w)
			s.orderID++
			w.asking, w.askDue = s.orderID, s.now
			s.orders = append(s.orders, Hold{Target: w.target(), Token: w.token, Ack: w.cursor(), Urgent: true, ID: s.orderID})
		}
	}
}

// cursor returns the newest end that a hold acknowledges, or 0 when that is needless or may reach another life of the worker: ends are
// numbered anew there, and it would forget some that nobody has taken in.
func (w *worker) cursor() int64 {
	if w.silent || w.ack == w.acked {
		return 0
	}
	return w.ack
}

func (s *Scheduler) hold(w *worker, uncertain bool) {
	s.raiseToken(w)
	s.orderID++
	order := Hold{Target: w.target(), Token: w.token, Ack: w.cursor(), Wait: idleWait, ID: s.orderID}
	if !w.confirmed {
		order.Wait = 0
	}
	if len(w.runs) > 0 {
		order.Wait = min(order.Wait, busyWait)
		// A hold without an answer may have renewed the lease. Only a worker that has answered since gets another renewal;
		// otherwise the end of the lease would never be certain.
		if w.clockAt != 0 && w.answersSinceRenewal && !w.keepsLease() {
			w.answersSinceRenewal = false
			order.Deadline = w.clockNow(s.now) + s.Lease
			w.leaseUntil = max(w.leaseUntil, w.leaseEnd(order.Deadline))
		}
		if uncertain {
			order.Wait = 0
		}
	}
	w.holding, w.holdDue = order.ID, s.now+order.Wait
	s.orders = append(s.orders, order)
}

// raiseToken makes sure that the next order of a worker ends its uncertain starts: a start without an answer can be carried out
// later, unless the worker has seen a higher token by then.
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

// HoldAnswered takes in the answer to a hold that was sent at the given time.
func (s *Scheduler) HoldAnswered(order Hold, listing Listing, sent clock.Millis) {
	w := s.workers[order.Target.ID]
	if w == nil {
		return
	}
	awaited := true
	switch order.ID {
	case w.asking:
		w.asking, w.nextAsk = 0, s.now+holdPause
	case w.holding:
		w.holding, w.nextHold = 0, s.now+holdRetry
	default:
		awaited = false
	}
	switch listing.Outcome {
	case Accepted:
	case Fenced:
		s.refusedByToken(w, order.Token)
		return
	default:
		w.unanswered = max(w.unanswered, sent)
		if awaited {
			s.markSilent(w)
		}
		return
	}
	if listing.Incarnation != 0 && listing.Incarnation != w.born {
		if listing.Incarnation < w.born {
			return // an answer of an earlier life that was overtaken
		}
		s.reborn(w, listing.Incarnation)
		return
	}
	if !awaited {
		s.answeredLate(w)
	}
	w.acked = max(w.acked, order.Ack)
	if !w.confirmed && order.Token >= w.token {
		s.log(eventAnswers, slog.String("worker", w.entry.ID), slog.Int64("token", order.Token),
			slog.Int("running", len(listing.Running)), slog.Int("ended", len(listing.Ended)))
	}
	if w.holding == 0 {
		w.nextHold = s.now + holdPause
		if w.silent {
			w.nextHold = s.now // the next one renews the lease
		}
	}
	w.silent, w.answersSinceRenewal = false, true
	if awaited {
		w.heard = s.now
	} else {
		w.heard = max(w.heard, sent) // it answered then or later
	}
	w.confirmed = w.confirmed || order.Token >= w.token
	if w.since == 0 {
		w.since = s.now
	}
	s.takeEnds(w, listing.Ended)
	if listing.Clock < w.listedAt && (listing.Incarnation != 0 || w.listedAt-listing.Clock < overtakenTime) {
		return // another hold has brought newer lists: the answer to an urgent one overtakes the one that waits for an end
	}
	w.clock, w.clockAt, w.listedAt = listing.Clock, s.now, listing.Clock
	if order.Deadline > 0 {
		w.leaseUntil = max(w.leaseUntil, w.leaseEnd(order.Deadline))
	}
	s.takeRunning(w, listing, order, sent)
	s.watch(w)
	s.pace(w)
}

func (s *Scheduler) refusedByToken(w *worker, token int64) {
	if token < s.token {
		w.token = s.token // raised meanwhile
		w.nextHold = s.now
		return
	}
	if !s.fenced {
		s.log(eventFenced, slog.String("worker", w.entry.ID), slog.Int64("token", token))
	}
	s.fenced = true
}

func (s *Scheduler) takeRunning(w *worker, listing Listing, order Hold, sent clock.Millis) {
	listed := make(map[string]int, len(listing.Running))
	strays := map[string]batch.Resources{}
	for i := range listing.Running {
		entry := &listing.Running[i]
		r := w.runs[entry.Task]
		if r == nil || r.number != entry.Run || r.state == planned {
			s.stray(w, entry, strays)
			continue
		}
		listed[entry.Task] = entry.Run
		if r.state != running {
			r.state, r.moved = running, s.now
		}
		r.life, r.shown = w.born, listing.Clock
		if entry.Percent != r.percent {
			r.percent, r.moved = entry.Percent, s.now
		}
		r.told = s.now
		if r.percent >= 100 {
			r.task.retries = 0
		}
		r.figure = entry.Measurement
		if entry.Checkpoint != "" {
			r.task.checkpoint = entry.Checkpoint
		}
	}
	w.strays = strays
	if len(listing.Ended) >= EndsPerListing {
		return // more ends are to come; what is not listed may be among them
	}
	for _, r := range sortedRuns(w) {
		if _, ok := listed[r.task.name]; ok {
			continue
		}
		switch {
		case r.state == running && r.answered < sent && r.shown < listing.Clock:
			s.log(eventMissing, slog.String("task", r.task.name), slog.Int("run", r.number), slog.String("worker", w.entry.ID),
				slog.Int64("life", r.life), slog.Int64("token", order.Token), slog.Int64("lists-of", int64(listing.Clock)),
				slog.Int64("asked-ms", int64(s.now-sent)), slog.Int64("answered-ms", int64(s.now-r.answered)), slog.Int64("told-ms", int64(s.now-r.told)))
			s.finish(r, EndLost, "")
		case r.state == uncertain && order.Token > r.token && r.answered <= sent:
			s.log(eventNeverBegan, slog.String("task", r.task.name), slog.Int("run", r.number),
				slog.String("worker", w.entry.ID), slog.Int64("token", order.Token))
			s.finish(r, EndLost, "")
		}
	}
}

// stray stops a listed run that is not ours, such as one whose job ended under an earlier owner. Its resources count
// until it is gone; those of a job that is not known here may be all that the worker has.
func (s *Scheduler) stray(w *worker, entry *Running, strays map[string]batch.Resources) {
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
	s.orders = append(s.orders, Stop{Target: w.target(), Task: entry.Task, Run: entry.Run, Token: w.token})
}

// StartAnswered takes in the answer to a start.
func (s *Scheduler) StartAnswered(order Start, reply Reply) {
	w := s.workers[order.Target.ID]
	if w == nil {
		return
	}
	r := w.runs[order.Task]
	if r == nil || r.number != order.Run || r.token != order.Token {
		return // ended or lost meanwhile
	}
	late := r.state == uncertain
	switch {
	case reply.Incarnation > w.born:
		s.reborn(w, reply.Incarnation)
	case r.state != starting && !late, late && reply.Outcome == Unanswered, reply.Incarnation != 0 && reply.Incarnation < w.born:
		return // listed, settled by a hold, or the answer of an earlier life
	}
	if late && reply.Outcome != NotSent {
		s.answeredLate(w)
	}
	if w.runs[order.Task] != r {
		return
	}
	r.answered = s.now
	switch reply.Outcome {
	case Accepted:
		r.state, r.moved, r.life, r.shown = running, s.now, reply.Incarnation, reply.Clock
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
		if !w.keepsLease() && !r.stopping && !r.task.done && !r.task.step.job.state.Final() && w.clockAt != 0 {
			s.send(r)
			return
		}
	}
	s.log(eventRefused, slog.String("task", order.Task), slog.Int("run", order.Run), slog.String("worker", w.entry.ID),
		slog.Int("outcome", int(reply.Outcome)))
	t := r.task
	s.finish(r, EndLost, "")
	switch reply.Outcome {
	case NoTicket:
		t.step.advice = nil
	case Outdated, TooLate:
	default:
		w.avoidUntil = max(w.avoidUntil, s.now+startRepeat)
	}
	t.retryAt = max(t.retryAt, s.now+holdPause)
}

// StopAnswered takes in the answer to a stop; the end itself comes with a listing.
func (s *Scheduler) StopAnswered(order Stop, reply Reply) {
	if w := s.workers[order.Target.ID]; w != nil && reply.Outcome == Fenced {
		s.refusedByToken(w, order.Token)
	}
}

package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// simWorker is a worker that follows the rules of the platform.
type simWorker struct {
	sim          *sim
	entry        batch.Worker
	up           bool
	started      clock.Millis
	clockRate    clock.Millis // speed of its clock, in thousandths of the simulation's
	token        int64
	lease        clock.Millis // end on its clock
	runs         map[string]*simRun
	highestEnded map[string]int // highest number of a run that was stopped or has ended, by task
	ended        []Ended
	ends         int64
	waiting      []*waitingHold
	stopTime     clock.Millis // how long a run takes to stop
}

type simRun struct {
	number   int
	began    clock.Millis
	length   clock.Millis
	fails    bool
	stopping clock.Millis // when the stop was ordered; 0: not ordered
}

type waitingHold struct {
	order   Hold
	until   clock.Millis
	respond func(Listing)
	broken  func()
}

// startIncarnation begins an incarnation of a worker.
func (s *sim) startIncarnation(id, machine string, started clock.Millis) {
	if s.workers[id] == nil {
		s.workerIDs = append(s.workerIDs, id)
	}
	s.workers[id] = &simWorker{sim: s, up: true, started: started, clockRate: 1000 - s.randomMillis(0, 20), runs: map[string]*simRun{}, highestEnded: map[string]int{},
		stopTime: s.randomMillis(20, 400), entry: batch.Worker{ID: id, Machine: machine, Pool: testPool, Address: id, Incarnation: int64(started),
			Capacity: batch.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"}}}
	if s.options.labels && (machine[len(machine)-1]-'0')%2 == 1 {
		s.workers[id].entry.Labels = []string{"b", "r1"}
	}
	s.tracef("worker %s begins incarnation %d", id, started)
}

// crash ends the incarnation of a worker.
func (h *simWorker) crash() {
	h.sim.tracef("worker %s crashes, running %v", h.entry.ID, sortedKeys(h.runs))
	h.up, h.runs = false, map[string]*simRun{}
	for _, w := range h.waiting {
		w.broken()
	}
	h.waiting = nil
}

func (h *simWorker) clock() clock.Millis { return 1 + (h.sim.now-h.started)*h.clockRate/1000 }

func (h *simWorker) incarnation() incarnation { return incarnation{h.entry.ID, h.entry.Incarnation} }

// reply returns an answer without lists.
func (h *simWorker) reply(outcome Outcome) Listing {
	return Listing{Reply: Reply{Outcome: outcome, Clock: h.clock(), Incarnation: h.entry.Incarnation}}
}

// advance ends runs that are due, and answers holds that have waited long enough.
func (h *simWorker) advance() {
	if !h.up {
		return
	}
	now := h.sim.now
	over := h.clock() > h.lease
	if over {
		h.sim.endHistory.expire(h.incarnation())
	}
	if len(h.runs) > 0 {
		for _, task := range sortedKeys(h.runs) {
			r := h.runs[task]
			switch {
			case over:
				h.end(task, r, EndLapsed)
			case r.stopping > 0 && now-r.stopping >= h.stopTime:
				h.end(task, r, EndStopped)
			case now-r.began < r.length:
			case r.fails:
				h.end(task, r, EndFailed)
			default:
				h.end(task, r, EndDone)
				h.sim.endHistory.done(task, r.number, h.incarnation(), h.ends, now)
			}
		}
	}
	h.answerHolds()
}

func (h *simWorker) answerHolds() {
	kept := h.waiting[:0]
	for _, w := range h.waiting {
		if h.sim.now >= w.until || h.ends > w.order.Ack && len(h.ended) > 0 {
			w.respond(h.listing())
			continue
		}
		kept = append(kept, w)
	}
	h.waiting = kept
}

func (h *simWorker) end(task string, r *simRun, how EndReason) {
	h.ends++
	h.ended = append(h.ended, Ended{Number: h.ends, Task: task, Run: r.number, Reason: how})
	h.highestEnded[task] = max(h.highestEnded[task], r.number)
	delete(h.runs, task)
	h.sim.tracef("worker %s ends %s run %d as %s, number %d", h.entry.ID, task, r.number, how, h.ends)
}

func (h *simWorker) listing() Listing {
	listing := h.reply(Accepted)
	listing.Ended = append(listing.Ended, h.ended[:min(len(h.ended), MaxEndsPerListing)]...)
	for _, task := range sortedKeys(h.runs) {
		r := h.runs[task]
		listing.Running = append(listing.Running, Running{Task: task, Run: r.number, Percent: int(min((h.sim.now-r.began)*100/r.length, 99))})
	}
	return listing
}

// take processes an order.
func (h *simWorker) take(o *owner, order any, respond func(Listing), broken func()) {
	switch order := order.(type) {
	case Start:
		answer := h.takeStart(o, order)
		if !h.sim.options.incarnationInReplies {
			answer.Incarnation = 0
		}
		h.sim.tracef("worker %s answers outcome %d to %s: %s", h.entry.ID, answer.Outcome, o.name, describe(order))
		respond(answer)
	case Stop:
		if order.Token < h.token {
			respond(h.reply(Fenced))
			return
		}
		h.token = order.Token
		if r := h.runs[order.Task]; r != nil && r.number <= order.Run {
			if r.stopping == 0 && r.number == order.Run {
				r.stopping = h.sim.now
			}
		}
		h.highestEnded[order.Task] = max(h.highestEnded[order.Task], order.Run)
		h.sim.tracef("worker %s accepts from %s: %s", h.entry.ID, o.name, describe(order))
		respond(h.reply(Accepted))
	case Throttle:
		respond(h.reply(Accepted))
	case Hold:
		h.takeHold(o, order, respond, broken)
	}
}

// allowsDuplicates reports whether the task may run twice at once.
func (s *sim) allowsDuplicates(task string) bool {
	job, key, _ := batch.ParseTask(task)
	return s.defs[job].Steps[key.Step].AllowDuplicates
}

// extendLease extends the lease; it never shortens it.
func (h *simWorker) extendLease(deadline clock.Millis) {
	h.lease = max(h.lease, min(deadline, h.clock()+longestLease))
}

func (h *simWorker) takeStart(o *owner, order Start) Listing {
	s := h.sim
	switch {
	case order.Token < h.token:
		return h.reply(Fenced)
	case h.clock() > order.Deadline:
		return h.reply(TooLate)
	}
	h.token = order.Token
	if r := h.runs[order.Task]; r != nil && r.number == order.Run {
		h.extendLease(order.Deadline)
		return h.reply(Accepted)
	}
	h.extendLease(order.Deadline)
	if order.Run <= h.highestEnded[order.Task] {
		return h.reply(Outdated)
	}
	words := []string{order.Task, "owner ", "worker " + h.entry.ID + " "}
	s.tracef("worker %s begins %s run %d for %s", h.entry.ID, order.Task, order.Run, o.name)
	for _, id := range s.workerIDs {
		if other := s.workers[id]; other.up && other.runs[order.Task] != nil && !s.allowsDuplicates(order.Task) {
			s.failf(append(words, "worker "+id+" ", " on "+id+" "), "task %s begins run %d on %s while run %d is on %s (incarnation %d)", order.Task, order.Run, h.entry.ID,
				other.runs[order.Task].number, id, other.entry.Incarnation)
		}
	}
	if end := s.endHistory.start(order.Task, order.Run, h.incarnation(), s.now); end != nil && !s.allowsDuplicates(order.Task) {
		s.failf(append(words, "worker "+end.incarnation.worker+" ", " on "+end.incarnation.worker+" "), "%v", end)
	}
	id, _, _ := batch.ParseTask(order.Task)
	if violation := s.routes.violation(s.defs[id], order.Task, h.entry, sortedKeys(h.runs)); violation != "" {
		s.failf(words, "%s", violation)
	}
	h.runs[order.Task] = &simRun{number: order.Run, began: s.now, length: s.length(order.Task), fails: s.oneIn(25)}
	used := 0
	for task := range h.runs {
		job, key, _ := batch.ParseTask(task)
		used += s.defs[job].Steps[key.Step].Reserve().CPU
	}
	if used > h.entry.Capacity.CPU {
		s.failf([]string{"owner ", "worker " + h.entry.ID + " ", " on " + h.entry.ID}, "worker %s runs %d thousandths of a core, want at most %d",
			h.entry.ID, used, h.entry.Capacity.CPU)
	}
	s.checkCap(h, order.Task)
	return h.reply(Accepted)
}

func (h *simWorker) takeHold(o *owner, order Hold, respond func(Listing), broken func()) {
	if order.Token < h.token {
		respond(h.reply(Fenced))
		return
	}
	h.token = order.Token
	h.extendLease(order.Deadline)
	h.sim.tracef("worker %s accepts from %s: %s", h.entry.ID, o.name, describe(order))
	if end := h.sim.endHistory.acknowledge(h.incarnation(), order.Ack); end != nil && !h.sim.allowsDuplicates(end.task) {
		h.sim.failf([]string{end.task, "owner ", "worker " + h.entry.ID + " ", " on " + h.entry.ID + " "}, "%v", end)
	}
	kept := h.ended[:0]
	for _, e := range h.ended {
		if e.Number > order.Ack {
			kept = append(kept, e)
		}
	}
	h.ended = kept
	h.waiting = append(h.waiting, &waitingHold{order, h.sim.now + min(order.Wait, modelHoldLimit), respond, broken})
	if order.Wait == 0 {
		h.answerHolds()
	}
}

package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// host is a worker that keeps the rules of the platform.
type host struct {
	site    *site
	entry   batch.Worker
	up      bool
	started clock.Millis
	rate    clock.Millis // of its clock, in thousandths of ours
	token   int64
	lease   clock.Millis // end, on its clock
	runs    map[string]*hostRun
	barred  map[string]int // highest run that was stopped or ended, by task
	ended   []Ended
	ends    int64
	waiting []*waitingHold
	stop    clock.Millis // time that a stop takes
}

type hostRun struct {
	number   int
	began    clock.Millis
	length   clock.Millis
	fails    bool
	stopping clock.Millis // when the stop was asked for; 0: not
}

type waitingHold struct {
	order   Hold
	until   clock.Millis
	respond func(Listing)
	broken  func()
}

// startLife begins a life of a worker.
func (s *site) startLife(id, machine string, started clock.Millis) {
	if s.hosts[id] == nil {
		s.names = append(s.names, id)
	}
	s.hosts[id] = &host{site: s, up: true, started: started, rate: 1000 - s.span(0, 20), runs: map[string]*hostRun{}, barred: map[string]int{},
		stop: s.span(20, 400), entry: batch.Worker{ID: id, Machine: machine, Pool: testPool, Address: id, Incarnation: int64(started),
			Capacity: batch.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"}}}
	if s.plan.labels && (machine[len(machine)-1]-'0')%2 == 1 {
		s.hosts[id].entry.Labels = []string{"b", "r1"}
	}
	s.note("host %s begins life %d", id, started)
}

// crash ends the life of a worker.
func (h *host) crash() {
	h.site.note("host %s crashes, running %v", h.entry.ID, sortedKeys(h.runs))
	h.up, h.runs = false, map[string]*hostRun{}
	for _, w := range h.waiting {
		w.broken()
	}
	h.waiting = nil
}

func (h *host) clock() clock.Millis { return 1 + (h.site.now-h.started)*h.rate/1000 }

func (h *host) life() life { return life{h.entry.ID, h.entry.Incarnation} }

// reply returns an answer without lists.
func (h *host) reply(outcome Outcome) Listing {
	return Listing{Reply: Reply{Outcome: outcome, Clock: h.clock(), Incarnation: h.entry.Incarnation}}
}

// advance ends what is over and answers holds that have waited long enough.
func (h *host) advance() {
	if !h.up {
		return
	}
	now := h.site.now
	over := h.clock() > h.lease
	if over {
		h.site.ledger.lapse(h.life())
	}
	if len(h.runs) > 0 {
		for _, task := range sortedKeys(h.runs) {
			r := h.runs[task]
			switch {
			case over:
				h.end(task, r, EndLapsed)
			case r.stopping > 0 && now-r.stopping >= h.stop:
				h.end(task, r, EndStopped)
			case now-r.began < r.length:
			case r.fails:
				h.end(task, r, EndFailed)
			default:
				h.end(task, r, EndDone)
				h.site.ledger.done(task, r.number, h.life(), h.ends, now)
			}
		}
	}
	h.answerHolds()
}

func (h *host) answerHolds() {
	kept := h.waiting[:0]
	for _, w := range h.waiting {
		if h.site.now >= w.until || h.ends > w.order.Ack && len(h.ended) > 0 {
			w.respond(h.listing())
			continue
		}
		kept = append(kept, w)
	}
	h.waiting = kept
}

func (h *host) end(task string, r *hostRun, how EndReason) {
	h.ends++
	h.ended = append(h.ended, Ended{Number: h.ends, Task: task, Run: r.number, Reason: how})
	h.barred[task] = max(h.barred[task], r.number)
	delete(h.runs, task)
	h.site.note("host %s ends %s run %d as %s, number %d", h.entry.ID, task, r.number, how, h.ends)
}

func (h *host) listing() Listing {
	listing := h.reply(Accepted)
	listing.Ended = append(listing.Ended, h.ended[:min(len(h.ended), EndsPerListing)]...)
	for _, task := range sortedKeys(h.runs) {
		r := h.runs[task]
		listing.Running = append(listing.Running, Running{Task: task, Run: r.number, Percent: int(min((h.site.now-r.began)*100/r.length, 99))})
	}
	return listing
}

// take carries out an order.
func (h *host) take(o *owner, order any, respond func(Listing), broken func()) {
	switch order := order.(type) {
	case Start:
		answer := h.takeStart(o, order)
		if !h.site.plan.bornInReplies {
			answer.Incarnation = 0
		}
		h.site.note("host %s answers outcome %d to %s: %s", h.entry.ID, answer.Outcome, o.name, describe(order))
		respond(answer)
	case Stop:
		if order.Token < h.token {
			respond(h.reply(Fenced))
			return
		}
		h.token = order.Token
		if r := h.runs[order.Task]; r != nil && r.number <= order.Run {
			if r.stopping == 0 && r.number == order.Run {
				r.stopping = h.site.now
			}
		}
		h.barred[order.Task] = max(h.barred[order.Task], order.Run)
		h.site.note("host %s takes from %s: %s", h.entry.ID, o.name, describe(order))
		respond(h.reply(Accepted))
	case Throttle:
		respond(h.reply(Accepted))
	case Hold:
		h.takeHold(o, order, respond, broken)
	}
}

// grant prolongs the lease; it never shortens.
func (h *host) grant(deadline clock.Millis) {
	h.lease = max(h.lease, min(deadline, h.clock()+longestLease))
}

func (h *host) takeStart(o *owner, order Start) Listing {
	s := h.site
	switch {
	case order.Token < h.token:
		return h.reply(Fenced)
	case h.clock() > order.Deadline:
		return h.reply(TooLate)
	}
	h.token = order.Token
	if r := h.runs[order.Task]; r != nil && r.number == order.Run {
		h.grant(order.Deadline)
		return h.reply(Accepted)
	}
	h.grant(order.Deadline)
	if order.Run <= h.barred[order.Task] {
		return h.reply(Outdated)
	}
	words := []string{order.Task, "owner ", "host " + h.entry.ID + " "}
	s.note("host %s begins %s run %d for %s", h.entry.ID, order.Task, order.Run, o.name)
	for _, id := range s.names {
		if other := s.hosts[id]; other.up && other.runs[order.Task] != nil {
			s.fail(append(words, "host "+id+" ", " on "+id+" "), "task %s begins run %d on %s, and run %d is on %s (life %d)", order.Task, order.Run, h.entry.ID,
				other.runs[order.Task].number, id, other.entry.Incarnation)
		}
	}
	if end := s.ledger.start(order.Task, order.Run, h.life(), s.now); end != nil {
		s.fail(append(words, "host "+end.life.worker+" ", " on "+end.life.worker+" "), "%v", end)
	}
	id, _, _ := batch.ParseTask(order.Task)
	if fault := s.routes.fault(s.defs[id], order.Task, h.entry, sortedKeys(h.runs)); fault != "" {
		s.fail(words, "%s", fault)
	}
	h.runs[order.Task] = &hostRun{number: order.Run, began: s.now, length: s.length(order.Task), fails: s.chance(25)}
	used := 0
	for task := range h.runs {
		job, key, _ := batch.ParseTask(task)
		used += s.defs[job].Steps[key.Step].Reserve().CPU
	}
	if used > h.entry.Capacity.CPU {
		s.fail([]string{"owner ", "host " + h.entry.ID + " ", " on " + h.entry.ID}, "worker %s runs %d thousandths of a core, want at most %d",
			h.entry.ID, used, h.entry.Capacity.CPU)
	}
	return h.reply(Accepted)
}

func (h *host) takeHold(o *owner, order Hold, respond func(Listing), broken func()) {
	if order.Token < h.token {
		respond(h.reply(Fenced))
		return
	}
	h.token = order.Token
	h.grant(order.Deadline)
	h.site.note("host %s takes from %s: %s", h.entry.ID, o.name, describe(order))
	if end := h.site.ledger.acknowledge(h.life(), order.Ack); end != nil {
		h.site.fail([]string{end.task, "owner ", "host " + h.entry.ID + " ", " on " + h.entry.ID + " "}, "%v", end)
	}
	kept := h.ended[:0]
	for _, e := range h.ended {
		if e.Number > order.Ack {
			kept = append(kept, e)
		}
	}
	h.ended = kept
	h.waiting = append(h.waiting, &waitingHold{order, h.site.now + min(order.Wait, modelHoldLimit), respond, broken})
	if order.Wait == 0 {
		h.answerHolds()
	}
}

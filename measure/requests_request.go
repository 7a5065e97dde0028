package measure

import (
	"math"
	"strconv"
	"time"

	"magnoliaferry/claim"
	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// request is a request that a caller sends once. A repeat with the same key is another request.
type request struct {
	number, pool        int
	caller              string
	key                 string
	urgency             config.Urgency
	idempotent          bool
	flood               bool
	hasShortDeadline    bool
	repeat              int
	sentAt, firstSentAt clock.Millis // when the caller sent this request, and the first one with this key
	enteredAt           clock.Millis
	deadline            clock.Millis
	entry               *entry
	permit              *claim.Permit // nil without a claim
	tries               int
	ended               bool
}

// attempt is one try of an entry instance to run a request on a worker.
type attempt struct {
	request     *request
	worker      *fakeWorker
	connections *connections
	started     clock.Millis // when the entry instance sent the request
	grant       *routing.Grant
	stop        func() bool // cancels the scheduled end of the attempt
	running     bool        // the request has arrived at the worker and has not ended there
}

// startLoad sends the requests of a load to a pool until the end of the arrivals, as a Poisson process with a
// variable rate.
func (s *sim) startLoad(pool int, l load) {
	capacity := float64(len(s.workers[pool]) * meanRate)
	at := 0.0
	var next func()
	next = func() {
		now := s.clock.Now()
		if now >= s.end {
			return
		}
		rate := l.rate(now) * capacity / 1000
		if rate <= 0 {
			at = float64(now) + 10
		} else {
			// A longer interval than 50 ms is drawn again after 50 ms, so that a change of the rate takes effect.
			step := s.random.ExpFloat64() / rate
			if step <= 50 {
				at += step
				s.clock.AfterFunc(max(0, clock.Millis(math.Ceil(at))-now), func() { s.request(pool, l); next() })
				return
			}
			at = float64(now) + 50
		}
		s.clock.AfterFunc(max(1, clock.Millis(at)-now), next)
	}
	next()
}

// request creates a request of a load to a pool and sends it.
func (s *sim) request(pool int, l load) {
	s.lastNumber++
	r := &request{number: s.lastNumber, pool: pool, caller: l.name + strconv.Itoa(s.random.IntN(l.callers)), urgency: l.urgency,
		idempotent: s.random.Float64() < l.idempotent, flood: l.flood, firstSentAt: s.clock.Now()}
	if r.urgency == "" {
		// Half of the requests are normal, a quarter urgent and a quarter batch.
		r.urgency = []config.Urgency{config.Urgent, config.Normal, config.Normal, config.Batch}[s.random.IntN(4)]
	}
	r.hasShortDeadline = s.random.IntN(2) == 0
	r.key = strconv.Itoa(r.number)
	s.send(r)
}

// send sends the request to an entry instance that the balancer chooses, at random by weight, from those that pass its
// health check.
func (s *sim) send(r *request) {
	r.sentAt = s.clock.Now()
	total := 0
	for _, e := range s.entries {
		if e.passesHealthCheck {
			total += e.weight
		}
	}
	// If no instance passes the health check, the balancer fails open: it chooses from all.
	failOpen := total == 0
	if failOpen {
		for _, e := range s.entries {
			total += e.weight
		}
	}
	draw := s.random.IntN(total)
	for _, e := range s.entries {
		if !e.passesHealthCheck && !failOpen {
			continue
		}
		if draw -= e.weight; draw < 0 {
			r.entry = e
			break
		}
	}
	s.clock.AfterFunc(callerDistance, r.receive)
}

// receive simulates the arrival at the entry instance: the request enters the queue and, unless it is idempotent, is claimed.
func (r *request) receive() {
	e := r.entry
	s := e.sim
	if !e.alive {
		r.finish(notRun) // the caller cannot connect
		return
	}
	r.enteredAt = s.clock.Now()
	r.deadline = r.enteredAt + longDeadline
	if r.hasShortDeadline {
		r.deadline = r.enteredAt + shortDeadline
	}
	e.liveRequests[r.number] = r
	ticket, refusal := e.queues[r.pool].enter(r)
	if refusal != nil {
		r.finish(notRun)
		return
	}
	if r.idempotent || s.variant.noClaims {
		r.wait(ticket)
		return
	}
	var pending *claim.Pending
	ended := false
	end := func() {
		if ended || r.ended {
			return
		}
		ended = true
		decision, refusal := pending.End(s.context)
		r.claimEnded(ticket, decision, refusal)
	}
	pending, decided, refusal := e.claims.Begin(r.caller, r.key, r.deadline, func() { s.clock.AfterFunc(0, end) })
	if refusal != nil {
		r.claimEnded(ticket, claim.Decision{}, refusal)
		return
	}
	e.stepClaims(tableLatency)
	if decided {
		end()
		return
	}
	s.clock.AfterFunc(r.deadline-r.enteredAt, end)
}

// claimEnded continues after the claim: the request waits in the queue if it may run, and otherwise finishes with the outcome of the
// claim.
func (r *request) claimEnded(ticket ticket, d claim.Decision, refusal *result.Refusal) {
	if refusal != nil {
		ticket.Leave()
		r.entry.queues[r.pool].Wake()
		if refusal.Code().Outcome() == result.NotRun {
			r.finish(notRun)
		} else {
			r.finish(outcomeUnknown)
		}
		return
	}
	if _, recorded := d.Answer(); recorded {
		ticket.Leave()
		r.entry.queues[r.pool].Wake()
		r.finish(answeredWhole)
		return
	}
	permit, _ := d.Permit()
	r.permit = permit
	r.wait(ticket)
}

// stepClaims schedules the batch writer of the claims to run after a delay, unless it is scheduled already. The writer
// schedules itself again while claims are waiting to be written.
func (e *entry) stepClaims(after clock.Millis) {
	s := e.sim
	if e.stepScheduled {
		return
	}
	e.stepScheduled = true
	s.clock.AfterFunc(after+s.tableDelay, func() {
		if !e.alive {
			return
		}
		e.stepScheduled = false
		next, waiting := e.claims.Step(s.context)
		if waiting {
			e.stepClaims(max(next-s.clock.Now(), tableLatency))
		}
	})
}

// wait waits in the queue for a slot or the expiry of the ticket.
func (r *request) wait(ticket ticket) {
	e := r.entry
	s := e.sim
	ended := false
	var expiry func() bool
	end := func() {
		if ended || r.ended {
			return
		}
		ended = true
		if expiry != nil {
			expiry()
		}
		grant, refusal := ticket.End(s.context)
		r.granted(grant, refusal)
	}
	grant, refusal, done := ticket.Start(s.context, func() { s.clock.AfterFunc(0, end) })
	if done {
		r.granted(grant, refusal)
		return
	}
	expiry = s.clock.AfterFunc(ticket.Expiry()-s.clock.Now(), end)
}

// granted continues after the wait: it sends the request to the worker of the grant, or finishes a refused request.
func (r *request) granted(grant *routing.Grant, refusal *result.Refusal) {
	e := r.entry
	s := e.sim
	if refusal != nil {
		r.abandon()
		r.finish(notRun)
		return
	}
	if r.permit != nil && r.permit.Use() != nil {
		grant.Release(routing.Neutral, 0)
		e.queues[r.pool].Wake()
		r.finish(notRun)
		return
	}
	s.queueTimes = append(s.queueTimes, float64(s.clock.Now()-r.enteredAt))
	e.budgets[r.pool].CountRequest()
	r.attempt(grant)
}

// abandon releases the claim of a request that was certainly not run, so that a repeat with the same key can run.
func (r *request) abandon() {
	if r.permit != nil {
		r.entry.claims.Abandon(r.caller, r.key)
		r.entry.stepClaims(tableLatency)
	}
}

// outcome is the result that the caller receives.
type outcome int

const (
	answeredWhole outcome = iota
	notRun
	outcomeUnknown
	workerError
)

// finish ends the request with an outcome, and counts it unless the caller repeats a non-idempotent request with the
// same key. Requests of a flood are not counted.
func (r *request) finish(o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	s := r.entry.sim
	delete(r.entry.liveRequests, r.number)
	if (o == notRun || o == outcomeUnknown) && !r.idempotent && r.repeat < maxRepeats {
		again := &request{number: r.number, pool: r.pool, caller: r.caller, key: r.key, urgency: r.urgency,
			repeat: r.repeat + 1, flood: r.flood, hasShortDeadline: r.hasShortDeadline, firstSentAt: r.firstSentAt}
		s.clock.AfterFunc(callerDistance+repeatDelay, func() { s.send(again) })
		return
	}
	if !r.flood {
		s.sent++
	}
	switch o {
	case answeredWhole:
		if r.flood {
			break
		}
		s.answered++
		s.latencies = append(s.latencies, float64(s.clock.Now()+callerDistance-r.sentAt))
	case notRun:
		if !r.flood {
			s.refused++
			s.refusals = append(s.refusals, float64(s.clock.Now()+callerDistance-r.sentAt))
		}
	case outcomeUnknown:
		if !r.flood {
			s.unknown++
		}
	case workerError:
		if !r.flood {
			s.errors++
		}
	}
}

func (e *entry) connections(w *fakeWorker) *connections {
	c := e.connectionsByWorker[w.id]
	if c == nil {
		c = &connections{}
		e.connectionsByWorker[w.id] = c
	}
	return c
}

func (s *sim) unreachable(e *entry, w *fakeWorker) bool {
	return w.state == lost || s.separated(e.zone, w.zone)
}

// attempt sends the request to the worker of the grant.
func (r *request) attempt(grant *routing.Grant) {
	e := r.entry
	s := e.sim
	now := s.clock.Now()
	w := s.byID[grant.Worker().ID()]
	a := &attempt{request: r, worker: w, connections: e.connections(w), started: now, grant: grant}
	r.tries++
	rtt := s.roundTrip(e.zone, w.zone)
	s.distance += float64(rtt) / 2
	if a.connections.idle > 0 {
		a.connections.idle--
		if a.connections.silent > 0 {
			a.connections.silent--
			a.hang()
			return
		}
	} else if s.unreachable(e, w) {
		a.after(connectTimeout, func() { a.fail(notRun) })
		return
	} else {
		// The real client measures the time to open a connection in less than milliseconds; inside a zone it is 0.2 ms.
		grant.Worker().ObserveRTT(max(rtt.Duration(), 200*time.Microsecond))
	}
	w.attempts[a] = true
	s.clock.AfterFunc(rtt/2, a.run)
}

// after calls f after d, or ends the attempt at the deadline of the request.
func (a *attempt) after(d clock.Millis, f func()) {
	s := a.request.entry.sim
	left := a.request.deadline - s.clock.Now()
	if left <= d {
		d, f = max(left, 0), func() { a.fail(outcomeUnknown) }
	}
	a.stop = s.clock.AfterFunc(d, f)
}

// hang ends the attempt with an unknown outcome after the progress deadline, or at the deadline of the request if that is
// earlier, because no answer arrives.
func (a *attempt) hang() {
	a.after(progressDeadline, func() {
		a.connections.idle, a.connections.silent = 0, 0 // closes the idle connections as well
		a.fail(outcomeUnknown)
	})
}

// run simulates the arrival of the request at the worker and schedules the answer.
func (a *attempt) run() {
	r, w := a.request, a.worker
	s := r.entry.sim
	if !w.attempts[a] {
		return // the connection became silent before the request arrived
	}
	w.running++
	a.running = true
	if w.running > slotsPerWorker {
		s.overcommitted++
	}
	if !r.idempotent {
		s.runsByKey[r.key]++
		if s.runsByKey[r.key] > 1 {
			s.runTwice++
		}
	}
	inbound := s.roundTrip(r.entry.zone, w.zone) - s.oneWay(r.entry.zone, w.zone)
	if w.state == fails {
		a.after(failTime+inbound, func() { a.answer(false) })
		return
	}
	took := w.serviceTime(s.random) + inbound
	if took >= progressDeadline {
		a.hang()
		return
	}
	a.after(took, func() { a.answer(true) })
}

func (a *attempt) leaveWorker() {
	delete(a.worker.attempts, a)
	if a.running {
		a.worker.running--
		a.running = false
	}
}

// answer simulates the arrival of the worker's answer at the entry instance.
func (a *attempt) answer(good bool) {
	r := a.request
	e := r.entry
	a.leaveWorker()
	if !e.alive {
		return
	}
	a.connections.idle++
	o, seen := answeredWhole, routing.Answered
	if !good {
		o, seen = workerError, routing.Failed
	}
	a.grant.Release(seen, e.sim.clock.Now()-a.started)
	if r.permit != nil {
		e.claims.Finish(r.caller, r.key, claim.NewAnswer(200, nil, nil))
		e.stepClaims(tableLatency)
	}
	r.finish(o)
	e.queues[r.pool].Wake()
}

// fail ends an attempt without an answer. The request is retried on another worker if its deadline, the number of
// attempts and the retry budget allow it and the retry cannot run a non-idempotent request twice; otherwise it finishes
// with the outcome.
func (a *attempt) fail(o outcome) {
	r := a.request
	e := r.entry
	s := e.sim
	a.leaveWorker()
	if !e.alive {
		return
	}
	failed := a.grant.Worker()
	a.grant.Release(routing.Failed, 0)
	defer e.queues[r.pool].Wake()
	if s.variant.retries && r.tries < maxAttempts && s.clock.Now() < r.deadline && (r.idempotent || o == notRun) &&
		(!s.variant.retryBudget || e.budgets[r.pool].TakeRetry()) {
		if next, ok := e.router.Acquire(s.deployment.poolNames[r.pool], r.deadline, failed); ok {
			s.retries++
			r.attempt(next)
			return
		}
	}
	switch {
	case r.permit == nil:
	case o == notRun:
		r.permit.Undo()
		r.abandon()
	default:
		e.claims.Finish(r.caller, r.key, claim.UnknownAnswer())
		e.stepClaims(tableLatency)
	}
	r.finish(o)
}

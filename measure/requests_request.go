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

// request is one attempt of a caller.
type request struct {
	number, pool int
	caller       string
	key          string
	urgency      config.Urgency
	idempotent   bool
	flood        bool
	hurried      bool // has the short deadline
	repeat       int
	born, first  clock.Millis // of this attempt and of the first one
	entered      clock.Millis
	due          clock.Millis
	entry        *entry
	permit       *claim.Permit // nil without a claim
	tries        int
	ended        bool
}

// attempt is one request on one worker.
type attempt struct {
	request *request
	worker  *fakeWorker
	line    *line
	started clock.Millis // at the entry instance
	grant   *routing.Grant
	stop    func() bool
	running bool
}

// arrive sends the requests of a load to a pool until the end of the run.
func (s *sim) arrive(pool int, l load) {
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
			// An interval is cut at 50 ms so that a change of the rate takes effect.
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

func (s *sim) request(pool int, l load) {
	s.numbers++
	r := &request{number: s.numbers, pool: pool, caller: l.name + strconv.Itoa(s.random.IntN(l.callers)), urgency: l.urgency,
		idempotent: s.random.Float64() < l.idempotent, flood: l.flood, first: s.clock.Now()}
	if r.urgency == "" {
		// Half of the work is normal; the rest is split evenly.
		r.urgency = []config.Urgency{config.Urgent, config.Normal, config.Normal, config.Batch}[s.random.IntN(4)]
	}
	r.hurried = s.random.IntN(2) == 0
	r.key = strconv.Itoa(r.number)
	s.send(r)
}

// send is one attempt of the caller through the balancer.
func (s *sim) send(r *request) {
	r.born = s.clock.Now()
	total := 0
	for _, e := range s.entries {
		if e.balanced {
			total += e.weight
		}
	}
	// With no instance to choose from, the balancer takes any.
	open := total == 0
	if open {
		for _, e := range s.entries {
			total += e.weight
		}
	}
	draw := s.random.IntN(total)
	for _, e := range s.entries {
		if !e.balanced && !open {
			continue
		}
		if draw -= e.weight; draw < 0 {
			r.entry = e
			break
		}
	}
	s.clock.AfterFunc(callerDistance, r.receive)
}

func (r *request) receive() {
	e := r.entry
	s := e.sim
	if !e.alive {
		r.finish(notRun) // the caller could not connect
		return
	}
	r.entered = s.clock.Now()
	r.due = r.entered + longDeadline
	if r.hurried {
		r.due = r.entered + shortDeadline
	}
	e.live[r.number] = r
	place, refusal := e.queues[r.pool].enter(r)
	if refusal != nil {
		r.finish(notRun)
		return
	}
	if r.idempotent || s.variant.noClaims {
		r.wait(place)
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
		r.claimEnded(place, decision, refusal)
	}
	pending, decided, refusal := e.claims.Begin(r.caller, r.key, r.due, func() { s.clock.AfterFunc(0, end) })
	if refusal != nil {
		r.claimEnded(place, claim.Decision{}, refusal)
		return
	}
	e.step(tableTime)
	if decided {
		end()
		return
	}
	s.clock.AfterFunc(r.due-r.entered, end)
}

func (r *request) claimEnded(place place, d claim.Decision, refusal *result.Refusal) {
	if refusal != nil {
		place.Leave()
		r.entry.queues[r.pool].Wake()
		if refusal.Code().Outcome() == result.NotRun {
			r.finish(notRun)
		} else {
			r.finish(outcomeUnknown)
		}
		return
	}
	if _, recorded := d.Answer(); recorded {
		place.Leave()
		r.entry.queues[r.pool].Wake()
		r.finish(whole)
		return
	}
	permit, _ := d.Permit()
	r.permit = permit
	r.wait(place)
}

// step runs the batch writer of the claims when it is due.
func (e *entry) step(after clock.Millis) {
	s := e.sim
	if e.stepping {
		return
	}
	e.stepping = true
	s.clock.AfterFunc(after+s.slow, func() {
		if !e.alive {
			return
		}
		e.stepping = false
		next, waiting := e.claims.Step(s.context)
		if waiting {
			e.step(max(next-s.clock.Now(), tableTime))
		}
	})
}

func (r *request) wait(place place) {
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
		grant, refusal := place.End(s.context)
		r.granted(grant, refusal)
	}
	grant, refusal, done := place.Start(s.context, func() { s.clock.AfterFunc(0, end) })
	if done {
		r.granted(grant, refusal)
		return
	}
	expiry = s.clock.AfterFunc(place.Expiry()-s.clock.Now(), end)
}

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
	s.queued = append(s.queued, float64(s.clock.Now()-r.entered))
	e.budgets[r.pool].Request()
	r.attempt(grant)
}

// abandon makes the key of a request that was certainly not run free again.
func (r *request) abandon() {
	if r.permit != nil {
		r.entry.claims.Abandon(r.caller, r.key)
		r.entry.step(tableTime)
	}
}

// outcome is what the caller is told.
type outcome int

const (
	whole outcome = iota
	notRun
	outcomeUnknown
	workerError
)

// finish counts what the caller is told, or lets it repeat a non-idempotent request with the same key.
func (r *request) finish(o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	s := r.entry.sim
	delete(r.entry.live, r.number)
	if (o == notRun || o == outcomeUnknown) && !r.idempotent && r.repeat < repeats {
		again := &request{number: r.number, pool: r.pool, caller: r.caller, key: r.key, urgency: r.urgency,
			repeat: r.repeat + 1, flood: r.flood, hurried: r.hurried, first: r.first}
		s.clock.AfterFunc(callerDistance+repeatAfter, func() { s.send(again) })
		return
	}
	if !r.flood {
		s.sent++
	}
	switch o {
	case whole:
		if r.flood {
			break
		}
		s.answered++
		s.latencies = append(s.latencies, float64(s.clock.Now()+callerDistance-r.born))
	case notRun:
		if !r.flood {
			s.refused++
			s.refusals = append(s.refusals, float64(s.clock.Now()+callerDistance-r.born))
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

func (e *entry) line(w *fakeWorker) *line {
	l := e.lines[w.id]
	if l == nil {
		l = &line{}
		e.lines[w.id] = l
	}
	return l
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
	a := &attempt{request: r, worker: w, line: e.line(w), started: now, grant: grant}
	r.tries++
	rtt := s.roundTrip(e.zone, w.zone)
	s.distance += float64(rtt) / 2
	if a.line.idle > 0 {
		a.line.idle--
		if a.line.silent > 0 {
			a.line.silent--
			a.hang()
			return
		}
	} else if s.unreachable(e, w) {
		a.after(connectTimeout, func() { a.fail(notRun) })
		return
	} else {
		// The time that a connection takes to open is measured finer than a millisecond; inside a zone it is 0.2 ms.
		grant.Worker().ObserveRTT(max(rtt.Duration(), 200*time.Microsecond))
	}
	w.attempts[a] = true
	s.clock.AfterFunc(rtt/2, a.run)
}

// after calls f after d, or ends the attempt at the deadline of the request.
func (a *attempt) after(d clock.Millis, f func()) {
	s := a.request.entry.sim
	left := a.request.due - s.clock.Now()
	if left <= d {
		d, f = max(left, 0), func() { a.fail(outcomeUnknown) }
	}
	a.stop = s.clock.AfterFunc(d, f)
}

// hang waits for an answer that never comes.
func (a *attempt) hang() {
	a.after(progressDeadline, func() {
		a.line.idle, a.line.silent = 0, 0 // closes the idle connections as well
		a.fail(outcomeUnknown)
	})
}

// run begins the work on the worker.
func (a *attempt) run() {
	r, w := a.request, a.worker
	s := r.entry.sim
	if !w.attempts[a] {
		return // the connection was lost on the way
	}
	w.running++
	a.running = true
	if w.running > slotsPerWorker {
		s.over++
	}
	if !r.idempotent {
		s.keys[r.key]++
		if s.keys[r.key] > 1 {
			s.twice++
		}
	}
	back := s.roundTrip(r.entry.zone, w.zone) - s.oneWay(r.entry.zone, w.zone)
	if w.state == fails {
		a.after(failTime+back, func() { a.answer(false) })
		return
	}
	took := w.serviceTime(s.random) + back
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

// answer is the worker's answer at the entry instance.
func (a *attempt) answer(good bool) {
	r := a.request
	e := r.entry
	a.leaveWorker()
	if !e.alive {
		return
	}
	a.line.idle++
	o, seen := whole, routing.Answered
	if !good {
		o, seen = workerError, routing.Failed
	}
	a.grant.Release(seen, e.sim.clock.Now()-a.started)
	if r.permit != nil {
		e.claims.Finish(r.caller, r.key, claim.NewAnswer(200, nil, nil))
		e.step(tableTime)
	}
	r.finish(o)
	e.queues[r.pool].Wake()
}

// fail ends an attempt that brought no answer; the request goes to another worker where that is allowed.
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
	if s.variant.retries && r.tries < maxAttempts && s.clock.Now() < r.due && (r.idempotent || o == notRun) &&
		(!s.variant.budget || e.budgets[r.pool].Retry()) {
		if next, ok := e.router.Acquire(s.user.poolUsed[r.pool], r.due, failed); ok {
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
		e.step(tableTime)
	}
	r.finish(o)
}

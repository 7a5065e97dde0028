package measure

import (
	"context"

	"magnoliaferry/admission"
	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// admitter is the admission queue of a pool: admission.Queue or the baseline fifo.
type admitter interface {
	enter(r *request) (ticket, *result.Refusal)
	Wake()
}

// ticket is the position of a request in a queue: the methods of admission.Ticket that do not block, because a run has
// one goroutine.
type ticket interface {
	Start(ctx context.Context, notify func()) (*routing.Grant, *result.Refusal, bool)
	End(ctx context.Context) (*routing.Grant, *result.Refusal)
	Expiry() clock.Millis
	Leave()
}

func (e *entry) newQueue(pool string) admitter {
	v := e.sim.variant
	acquire := func(deadline clock.Millis) (*routing.Grant, bool) { return e.router.Acquire(pool, deadline, nil) }
	if v.fifo {
		return &fifo{clock: e.sim.clock, acquire: acquire}
	}
	return &queue{variant: v, Queue: admission.Queue[*routing.Grant]{
		Clock: e.sim.clock, MaxLength: queueLength, MaxWait: queueWait, NoPrediction: !v.earlyRefusal,
		Acquire: func(r admission.Request) (*routing.Grant, bool) { return acquire(r.Deadline()) },
		Release: func(g *routing.Grant) { g.Release(routing.Neutral, 0) },
		Free:    func() int { return e.router.Free(pool) },
	}}
}

// queue is admission.Queue. A variant may replace the urgency or the caller of all requests by the same value, which
// switches class weights or fairness off.
type queue struct {
	admission.Queue[*routing.Grant]
	variant variant
}

func (q *queue) enter(r *request) (ticket, *result.Refusal) {
	urgency, caller := r.urgency, r.caller
	if !q.variant.classWeights {
		urgency = config.Normal
	}
	if !q.variant.fairness {
		caller = "all"
	}
	t, refusal := q.Enter(admission.NewRequest(caller, "", urgency, r.deadline))
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// fifo is the baseline queue: requests are served in the order of arrival, with the same limits of length and waiting
// time and without early refusal.
type fifo struct {
	clock   *clock.Clock
	acquire func(deadline clock.Millis) (*routing.Grant, bool)
	waiting []*fifoTicket
}

type fifoTicket struct {
	queue    *fifo
	deadline clock.Millis
	expiry   clock.Millis
	grant    *routing.Grant
	notify   func()
	left     bool
}

func (q *fifo) enter(r *request) (ticket, *result.Refusal) {
	now := q.clock.Now()
	if len(q.waiting) >= queueLength {
		return nil, result.Refuse(admission.CodeQueueFull, "", 0)
	}
	return &fifoTicket{queue: q, deadline: r.deadline, expiry: min(r.deadline, now+queueWait)}, nil
}

// Wake assigns free slots to waiting requests in the order of arrival.
func (q *fifo) Wake() {
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		if !t.left {
			grant, ok := q.acquire(t.deadline)
			if !ok {
				return
			}
			t.grant = grant
			t.notify()
		}
		q.waiting = q.waiting[1:]
	}
}

// Start implements ticket.
func (t *fifoTicket) Start(_ context.Context, notify func()) (*routing.Grant, *result.Refusal, bool) {
	t.notify = notify
	if len(t.queue.waiting) == 0 {
		if grant, ok := t.queue.acquire(t.deadline); ok {
			return grant, nil, true
		}
	}
	t.queue.waiting = append(t.queue.waiting, t)
	return nil, nil, false
}

// End implements ticket.
func (t *fifoTicket) End(context.Context) (*routing.Grant, *result.Refusal) {
	if t.grant != nil {
		return t.grant, nil
	}
	t.Leave()
	return nil, result.Refuse(admission.CodeWaitExpired, "", 0)
}

// Expiry implements ticket.
func (t *fifoTicket) Expiry() clock.Millis { return t.expiry }

// Leave implements ticket.
func (t *fifoTicket) Leave() {
	t.left = true
	for i, o := range t.queue.waiting {
		if o == t {
			t.queue.waiting = append(t.queue.waiting[:i], t.queue.waiting[i+1:]...)
			return
		}
	}
}

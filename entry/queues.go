package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"magnoliaferry/admission"
	"magnoliaferry/caller"
	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
)

// The limits of a queue whose pool configures none.
const (
	defaultQueueLength = 200
	defaultQueueWait   = 2 * clock.Second
)

// minLoanRequestInterval is the minimum time between two requests to the peer module to ask peers for loans.
const minLoanRequestInterval = 200 * clock.Millis(1)

// queues holds the admission queue of each pool.
type queues struct {
	instance        *Instance
	byPool          sync.Map     // pool name to *queue
	lastLoanRequest atomic.Int64 // time of the last call to the peer module
}

// requestLoans makes the peer module ask peers for loans after no slot was free. It is called with a queue locked, so it must
// not block.
func (q *queues) requestLoans() {
	now, last := int64(q.instance.Clock.Now()), q.lastLoanRequest.Load()
	if now-last >= int64(minLoanRequestInterval) && q.lastLoanRequest.CompareAndSwap(last, now) {
		go q.instance.node.RequestLoans()
	}
}

// forPool returns the queue of a pool. It is created once and kept for all later configurations, so that waiting requests
// are not lost.
func (q *queues) forPool(pool string) caller.Queue {
	if found, ok := q.byPool.Load(pool); ok {
		return found.(*queue)
	}
	fresh := &queue{admission.Queue[*caller.Permit]{
		Clock:     q.instance.Clock,
		MaxLength: defaultQueueLength,
		MaxWait:   defaultQueueWait,
		Acquire: func(r admission.Request) (*caller.Permit, bool) {
			permit, ok := q.instance.handler.Acquire(pool, r.Team(), r.Deadline())
			if !ok {
				q.requestLoans()
			}
			return permit, ok
		},
		Release: (*caller.Permit).Release,
		Free:    func() int { return q.instance.router.Free(pool) },
	}}
	if c := q.instance.configuration.Current(); c != nil {
		fresh.configure(c, pool)
	}
	found, _ := q.byPool.LoadOrStore(pool, fresh)
	return found.(*queue)
}

// configure sets the limits of every queue from a configuration.
func (q *queues) configure(c *config.Configuration) {
	q.byPool.Range(func(pool, found any) bool {
		found.(*queue).configure(c, pool.(string))
		return true
	})
}

func orDefault[T int | clock.Millis](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// wakeAll makes every queue try to acquire slots that may have become free.
func (q *queues) wakeAll() {
	q.byPool.Range(func(_, found any) bool { found.(*queue).Wake(); return true })
}

// lengths returns the number of requests queued at this instance, by pool.
func (q *queues) lengths() map[string]int {
	lengths := map[string]int{}
	q.byPool.Range(func(pool, found any) bool {
		lengths[pool.(string)] = found.(*queue).Length()
		return true
	})
	return lengths
}

// queue adapts an admission queue to caller.Queue.
type queue struct {
	admission.Queue[*caller.Permit]
}

// configure sets the limits of the queue from those of its pool, with the defaults for those that are zero.
func (q *queue) configure(c *config.Configuration, pool string) {
	if p, ok := c.Pool(pool); ok {
		q.SetLimits(orDefault(p.QueueLength(), defaultQueueLength), orDefault(p.QueueWait(), defaultQueueWait))
	}
}

// Enter implements caller.Queue.
func (q *queue) Enter(r caller.QueueRequest) (caller.Ticket, *result.Refusal) {
	t, refusal := q.Queue.Enter(admission.NewRequest(r.Caller(), r.Team(), r.Urgency(), r.Deadline()))
	if refusal != nil {
		return nil, refusal
	}
	return ticket{t}, nil
}

// ticket adapts an admission ticket to caller.Ticket.
type ticket struct {
	*admission.Ticket[*caller.Permit]
}

// Wait implements caller.Ticket.
func (t ticket) Wait(ctx context.Context) (*caller.Permit, *result.Refusal) {
	return t.Ticket.Wait(ctx)
}

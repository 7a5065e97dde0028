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

const (
	defaultQueueLength = 200
	defaultQueueWait   = 2 * clock.Second
)

// shortPause is the least time between two reports of a missing slot to the peer module, which asks for loans.
const shortPause = 200 * clock.Millis(1)

// queues holds the admission queue of each pool.
type queues struct {
	instance  *Instance
	byPool    sync.Map // pool name to *queue
	lastShort atomic.Int64
}

// short tells the peer module that a slot was missing; it is called with a queue locked and must not block.
func (q *queues) short() {
	now, last := int64(q.instance.Clock.Now()), q.lastShort.Load()
	if now-last >= int64(shortPause) && q.lastShort.CompareAndSwap(last, now) {
		go q.instance.node.RequestLoans()
	}
}

// of returns the queue of a pool, always the same one, so that a new configuration does not lose waiting requests.
func (q *queues) of(pool string) caller.Queue {
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
				q.short()
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

// configure gives every queue the limits of a configuration.
func (q *queues) configure(c *config.Configuration) {
	q.byPool.Range(func(pool, found any) bool {
		found.(*queue).configure(c, pool.(string))
		return true
	})
}

func orDefault[T int | clock.Millis](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// wakeAll tells every queue that slots may have become free.
func (q *queues) wakeAll() {
	q.byPool.Range(func(_, found any) bool { found.(*queue).Wake(); return true })
}

// lengths returns the requests that wait at this instance, by pool.
func (q *queues) lengths() map[string]int {
	lengths := map[string]int{}
	q.byPool.Range(func(pool, found any) bool {
		lengths[pool.(string)] = found.(*queue).Length()
		return true
	})
	return lengths
}

// queue joins an admission queue to the callers' interface.
type queue struct {
	admission.Queue[*caller.Permit]
}

func (q *queue) configure(c *config.Configuration, pool string) {
	if p, ok := c.Pool(pool); ok {
		q.SetLimits(orDefault(p.QueueLength(), defaultQueueLength), orDefault(p.QueueWait(), defaultQueueWait))
	}
}

// Enter implements caller.Queue.
func (q *queue) Enter(d caller.QueueRequest) (caller.Ticket, *result.Refusal) {
	t, refusal := q.Queue.Enter(admission.NewRequest(d.Caller(), d.Team(), d.Urgency(), d.Deadline()))
	if refusal != nil {
		return nil, refusal
	}
	return ticket{t}, nil
}

type ticket struct {
	*admission.Ticket[*caller.Permit]
}

// Wait implements caller.Ticket.
func (t ticket) Wait(ctx context.Context) (*caller.Permit, *result.Refusal) {
	return t.Ticket.Wait(ctx)
}

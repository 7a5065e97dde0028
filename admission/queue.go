package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
)

// Weights of the urgency classes: slots per round. A class without waiting requests leaves its share to the others.
const (
	weightUrgent = 8
	weightNormal = 4
	weightBatch  = 1
	weightTotal  = weightUrgent + weightNormal + weightBatch
)

var weights = [...]int{weightUrgent, weightNormal, weightBatch}

// minRetryAfter keeps refused callers from retrying at once; maxRetryAfter is the longest request deadline.
const (
	minRetryAfter = 100 * clock.Millis(1)
	maxRetryAfter = 30 * clock.Second
)

// Request holds the properties of a request that the queue uses.
type Request struct {
	caller   string
	team     string
	class    int // index in weights and Queue.classes
	deadline clock.Millis
}

// NewRequest returns a request. The deadline is a point in time of the queue's clock; an unknown urgency is treated as
// normal.
func NewRequest(caller, team string, urgency config.Urgency, deadline clock.Millis) Request {
	class := 1
	switch urgency {
	case config.Urgent:
		class = 0
	case config.Batch:
		class = 2
	}
	return Request{caller: caller, team: team, class: class, deadline: deadline}
}

// Caller returns the caller's name.
func (r Request) Caller() string { return r.caller }

// Team returns the team of the caller, or "" if it belongs to none.
func (r Request) Team() string { return r.team }

// Deadline returns the point in time after which the request must not be dispatched.
func (r Request) Deadline() clock.Millis { return r.deadline }

// Urgency returns the urgency class.
func (r Request) Urgency() config.Urgency {
	return [...]config.Urgency{config.Urgent, config.Normal, config.Batch}[r.class]
}

// quotaGroup identifies the requests that share a quota: those of a team, or of a caller that belongs to no team.
type quotaGroup struct{ team, caller string }

func (r Request) quotaGroup() quotaGroup {
	if r.team != "" {
		return quotaGroup{team: r.team}
	}
	return quotaGroup{caller: r.caller}
}

// Queue is the admission queue of one pool. G is the type of a granted slot. The exported fields are set before the first
// Enter and not changed afterwards.
type Queue[G any] struct {
	Clock     *clock.Clock
	MaxLength int          // maximum number of requests between Enter and their slot
	MaxWait   clock.Millis // maximum time from Enter to the slot
	// Acquire takes a slot without waiting. False means that this request can't have a slot now; the queue then tries
	// requests of other teams, so that a team that has reached its quota does not block the requests behind it. It may
	// be called with the queue locked.
	Acquire func(Request) (G, bool)
	// Release returns a slot whose request no longer needs it. The queue itself then dispatches the next request.
	Release func(G)
	// Free returns an upper bound of the slots that any request could take. It is optional. At 0 the dispatch stops, so
	// that Acquire is not called in vain for each further team.
	Free func() int

	// NoPrediction also queues requests whose predicted wait exceeds their deadline or MaxWait. Benchmarks set it to
	// measure the effect of early refusal.
	NoPrediction bool

	limits atomic.Pointer[limits] // set by SetLimits; nil means MaxLength and MaxWait

	pending atomic.Int32 // tickets between Enter and Wait that are in no callerQueue
	queued  atomic.Int32 // tickets in the caller queues; written under mu
	waiters atomic.Int32 // queued tickets whose owner is in Wait; written under mu

	mu                sync.Mutex
	classes           [len(weights)]urgencyClass[G]
	intervalEstimator intervalEstimator
}

// limits are the bounds of a queue.
type limits struct {
	length int
	wait   clock.Millis
}

// SetLimits replaces MaxLength and MaxWait while the queue is in use. Requests that already wait keep their place and
// their expiry.
func (q *Queue[G]) SetLimits(length int, wait clock.Millis) { q.limits.Store(&limits{length, wait}) }

func (q *Queue[G]) maxLength() int {
	if l := q.limits.Load(); l != nil {
		return l.length
	}
	return q.MaxLength
}

func (q *Queue[G]) maxWait() clock.Millis {
	if l := q.limits.Load(); l != nil {
		return l.wait
	}
	return q.MaxWait
}

// urgencyClass holds the queued requests of one urgency.
type urgencyClass[G any] struct {
	length   int
	credit   int // dispatches left in this round of the weighted round robin
	next     int // index in rotation of the caller whose turn it is
	rotation []*callerQueue[G]
	callers  map[string]*callerQueue[G]
}

// callerQueue is the list of queued requests of one caller in one class, oldest first. The quantum of the deficit round
// robin is one request, because each request costs one slot: a round dispatches one request of each callerQueue.
type callerQueue[G any] struct {
	caller  string
	tickets []*Ticket[G]
}

type ticketState int

const (
	statePending ticketState = iota // in no callerQueue
	stateQueued
	stateGranted
	stateRefused
	stateClosed // left the queue, or the owner has received the slot
)

// Ticket is the place of one request in the queue. Its owner, the code that called Enter, calls Wait or Start once, or
// Leave.
type Ticket[G any] struct {
	queue   *Queue[G]
	request Request
	entered clock.Millis
	expiry  clock.Millis  // earlier of the deadline and the end of the longest wait
	state   ticketState   // guarded by queue.mu, except in statePending, where only the owner uses the ticket
	waiting bool          // the owner is in Wait, or between Start and End; guarded by queue.mu
	decided chan struct{} // closed when the ticket is granted or refused; nil until it is queued
	notify  func()        // called after decided is closed; may be nil
	grant   G
	refusal *result.Refusal
}

// Enter gives the request a place in the queue or refuses it; it never waits for a slot. The place counts from Enter, but
// a slot is taken only in Wait, so that no slot is idle while the claim of the request is stored.
func (q *Queue[G]) Enter(r Request) (*Ticket[G], *result.Refusal) {
	now := q.Clock.Now()
	if now >= r.deadline {
		return nil, deadlineRefusal(r, now)
	}
	t := &Ticket[G]{queue: q, request: r, entered: now, expiry: min(r.deadline, now+q.maxWait())}
	// Pending tickets may make up a quarter of the length. Beyond that each ticket is queued at once, so that the rules
	// for a full queue also apply to requests whose claim is being stored. pending is incremented before queued is read,
	// and enqueue does the reverse, so that at least one of two concurrent calls sees the other and the bound holds.
	if int(q.pending.Add(1)) <= q.pendingLimit() && q.queued.Load() == 0 {
		return t, nil
	}
	q.pending.Add(-1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.enqueue(t, now); refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// Wait blocks until the request gets a slot or is refused. The end of ctx means that the caller left.
func (t *Ticket[G]) Wait(ctx context.Context) (G, *result.Refusal) {
	q := t.queue
	grant, refusal, ended := t.startWait(ctx)
	if ended {
		return grant, refusal
	}
	expired := make(chan struct{})
	stop := q.Clock.AfterFunc(t.expiry-q.Clock.Now(), func() { close(expired) })
	defer stop()
	select {
	case <-t.decided:
	case <-ctx.Done():
	case <-expired:
	}
	return t.End(ctx)
}

// Start is the first half of Wait, for an owner that must not block. Unless ended is true, the owner calls End once:
// after the call of notify, at Expiry, or when the context ends, whichever is first. notify is called at most once and
// with the queue locked.
func (t *Ticket[G]) Start(ctx context.Context, notify func()) (grant G, refusal *result.Refusal, ended bool) {
	if grant, refusal, ended = t.startWait(ctx); ended {
		return grant, refusal, true
	}
	t.queue.mu.Lock()
	queued := t.state == stateQueued
	if queued {
		t.notify = notify
	}
	t.queue.mu.Unlock()
	if queued {
		return grant, nil, false
	}
	grant, refusal = t.End(ctx)
	return grant, refusal, true
}

// Expiry returns the point in time at which the wait ends without a slot.
func (t *Ticket[G]) Expiry() clock.Millis { return t.expiry }

// startWait takes a slot when no other request waits, and otherwise lets the ticket take part in the dispatch.
func (t *Ticket[G]) startWait(ctx context.Context) (grant G, refusal *result.Refusal, ended bool) {
	now := t.queue.Clock.Now()
	if t.state == statePending && t.decided == nil {
		if grant, ok := t.acquireFast(ctx, now); ok {
			return grant, nil, true
		}
	}
	refusal = t.joinDispatch(ctx, now)
	return grant, refusal, refusal != nil
}

// Leave removes the request from the queue; it has no effect after Wait has returned.
func (t *Ticket[G]) Leave() {
	q := t.queue
	if t.decided == nil {
		if t.state == statePending {
			t.state = stateClosed
			q.pending.Add(-1)
		}
		return
	}
	q.mu.Lock()
	released := t.detach()
	q.mu.Unlock()
	q.releaseIf(t, released)
}

// Wake dispatches waiting requests; call it when a slot may have become free. It takes no lock when no request waits.
func (q *Queue[G]) Wake() {
	if q.waiters.Load() == 0 {
		return
	}
	q.mu.Lock()
	q.dispatch()
	q.mu.Unlock()
}

// Length returns the number of requests between Enter and their slot.
func (q *Queue[G]) Length() int {
	return int(q.queued.Load() + q.pending.Load())
}

func (q *Queue[G]) pendingLimit() int { return (q.maxLength() + 3) / 4 }

// acquireFast takes a slot without the lock when no other request waits.
func (t *Ticket[G]) acquireFast(ctx context.Context, now clock.Millis) (grant G, ok bool) {
	q := t.queue
	if q.waiters.Load() != 0 || now >= t.expiry || ctx.Err() != nil {
		return grant, false
	}
	if grant, ok = q.Acquire(t.request); ok {
		t.state = stateClosed
		q.pending.Add(-1)
	}
	return grant, ok
}

// joinDispatch queues the ticket unless it is queued already, and lets it take part in the dispatch.
func (t *Ticket[G]) joinDispatch(ctx context.Context, now clock.Millis) *result.Refusal {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state == statePending {
		q.pending.Add(-1)
		if ctx.Err() != nil {
			t.state = stateClosed
			return callerLeftRefusal(t.request)
		}
		if now >= t.expiry {
			t.state = stateClosed
			return t.expiredRefusal(now)
		}
		if refusal := q.enqueue(t, now); refusal != nil {
			t.state = stateClosed
			return refusal
		}
	}
	if t.state == stateQueued {
		t.waiting = true
		if q.waiters.Add(1) == 1 {
			q.intervalEstimator.reset(now)
		}
		// A slot may have become free after the last failed Acquire, when no waiter was counted yet; hence another try.
		q.dispatch()
	}
	return nil
}

// End is the second half of Wait: it returns the slot or the refusal. A ticket without either leaves the queue and is
// refused.
func (t *Ticket[G]) End(ctx context.Context) (grant G, refusal *result.Refusal) {
	q := t.queue
	now := q.Clock.Now()
	q.mu.Lock()
	state := t.state
	if state == stateGranted && ctx.Err() == nil && now < t.request.deadline {
		t.state = stateClosed
		q.mu.Unlock()
		return t.grant, nil
	}
	released := t.detach()
	q.mu.Unlock()
	q.releaseIf(t, released)
	switch {
	case state == stateRefused:
		return grant, t.refusal
	case state == stateClosed || ctx.Err() != nil:
		return grant, callerLeftRefusal(t.request)
	default:
		return grant, t.expiredRefusal(now)
	}
}

// detach closes the ticket and reports whether its slot has to be released.
func (t *Ticket[G]) detach() (release bool) {
	if t.state == stateQueued {
		t.queue.remove(t)
	}
	release = t.state == stateGranted
	t.state = stateClosed
	return release
}

func (q *Queue[G]) releaseIf(t *Ticket[G], release bool) {
	if release {
		q.Release(t.grant)
		q.Wake()
	}
}

// enqueue adds a ticket to the queue of its caller. In a full queue it displaces another ticket or refuses the request.
func (q *Queue[G]) enqueue(t *Ticket[G], now clock.Millis) *result.Refusal {
	if wait, known := q.predictWait(t.request, now); known && now+wait >= t.expiry {
		countTooLong.Add(1)
		detail := fmt.Sprintf("%d requests wait, and the predicted wait is %d ms", q.Length(), wait)
		return result.Refuse(CodeWaitTooLong, detail, clampRetryAfter(wait-(t.expiry-now)))
	}
	q.queued.Add(1)
	if q.Length() > q.maxLength() {
		q.dropExpired(now)
	}
	if q.Length() > q.maxLength() {
		victim := q.victim(t.request)
		if victim == nil {
			countFull.Add(1)
			q.queued.Add(-1)
			detail := fmt.Sprintf("%d requests wait", q.maxLength())
			return result.Refuse(CodeQueueFull, detail, q.retryAfterBacklog(now))
		}
		countDisplaced.Add(1)
		q.refuse(victim, result.Refuse(CodeDisplaced, fmt.Sprintf("caller %q has the most requests waiting",
			victim.request.caller), q.retryAfterBacklog(now)))
	}
	c := &q.classes[t.request.class]
	if c.callers == nil {
		c.callers = make(map[string]*callerQueue[G])
	}
	l := c.callers[t.request.caller]
	if l == nil {
		l = &callerQueue[G]{caller: t.request.caller}
		c.callers[l.caller] = l
		// The new callerQueue comes last in the current round.
		c.rotation = append(c.rotation, nil)
		copy(c.rotation[c.next+1:], c.rotation[c.next:])
		c.rotation[c.next] = l
		c.next = (c.next + 1) % len(c.rotation)
	}
	l.tickets = append(l.tickets, t)
	countQueued.Add(1)
	c.length++
	t.state = stateQueued
	t.decided = make(chan struct{})
	return nil
}

// remove removes a ticket from its callerQueue.
func (q *Queue[G]) remove(t *Ticket[G]) {
	c := &q.classes[t.request.class]
	l := c.callers[t.request.caller]
	for i, o := range l.tickets {
		if o == t {
			copy(l.tickets[i:], l.tickets[i+1:])
			l.tickets[len(l.tickets)-1] = nil
			l.tickets = l.tickets[:len(l.tickets)-1]
			break
		}
	}
	c.length--
	q.queued.Add(-1)
	if t.waiting {
		q.waiters.Add(-1)
	}
	if len(l.tickets) > 0 {
		return
	}
	delete(c.callers, l.caller)
	for i, o := range c.rotation {
		if o == l {
			c.rotation = append(c.rotation[:i], c.rotation[i+1:]...)
			if i < c.next {
				c.next--
			}
			break
		}
	}
	if c.next >= len(c.rotation) {
		c.next = 0
	}
}

// refuse removes a queued ticket and notifies its owner of the refusal.
func (q *Queue[G]) refuse(t *Ticket[G], refusal *result.Refusal) {
	q.remove(t)
	t.state = stateRefused
	t.refusal = refusal
	t.decide()
}

// decide notifies the owner that the ticket was granted or refused.
func (t *Ticket[G]) decide() {
	close(t.decided)
	if t.notify != nil {
		t.notify()
	}
}

// dropExpired refuses the queued requests that have expired.
func (q *Queue[G]) dropExpired(now clock.Millis) {
	var expired []*Ticket[G]
	for i := range q.classes {
		for _, l := range q.classes[i].rotation {
			for _, t := range l.tickets {
				if now >= t.expiry {
					expired = append(expired, t)
				}
			}
		}
	}
	for _, t := range expired {
		q.refuse(t, t.expiredRefusal(now))
	}
}

// victim returns the ticket that r displaces in a full queue, or nil. A class below its guaranteed length takes a place
// from the class that exceeds its own guaranteed length the most. Otherwise r takes a place from the caller with the most
// requests in the same class, if that caller has at least two more. The newest request of a caller is displaced first,
// because it has waited the shortest time.
func (q *Queue[G]) victim(r Request) *Ticket[G] {
	above, furthest := 0, -1
	for i := range q.classes {
		if over := q.classes[i].length - q.guaranteedLength(i); over > above {
			above, furthest = over, i
		}
	}
	if furthest >= 0 && q.classes[r.class].length < q.guaranteedLength(r.class) {
		return q.classes[furthest].longest().newest()
	}
	c := &q.classes[r.class]
	own := 0
	if l := c.callers[r.caller]; l != nil {
		own = len(l.tickets)
	}
	if l := c.longest(); l != nil && len(l.tickets) >= own+2 {
		return l.newest()
	}
	return nil
}

// guaranteedLength returns how many queued requests a class can have even when the other classes fill the queue.
func (q *Queue[G]) guaranteedLength(class int) int {
	return max(1, (q.maxLength()-int(q.pending.Load()))*weights[class]/weightTotal)
}

func (c *urgencyClass[G]) longest() *callerQueue[G] {
	var found *callerQueue[G]
	for _, l := range c.rotation {
		if found == nil || len(l.tickets) > len(found.tickets) {
			found = l
		}
	}
	return found
}

func (l *callerQueue[G]) newest() *Ticket[G] { return l.tickets[len(l.tickets)-1] }

// dispatch grants slots until none is left or no request waits.
func (q *Queue[G]) dispatch() {
	now := q.Clock.Now()
	var blocked map[quotaGroup]bool // quota groups for which Acquire failed in this call
	for q.waiters.Load() > 0 {
		t := q.pick(now, blocked)
		if t == nil {
			return
		}
		grant, ok := q.Acquire(t.request)
		if !ok {
			// Free is called only after a failed Acquire, because the failure also counts as a shortage of slots, which
			// causes other instances to lend some.
			if q.Free != nil && q.Free() <= 0 {
				return
			}
			if blocked == nil {
				blocked = make(map[quotaGroup]bool)
			}
			blocked[t.request.quotaGroup()] = true
			continue
		}
		q.chargeDispatch(t)
		q.remove(t)
		q.intervalEstimator.observe(now)
		countDispatched.Add(1)
		t.state = stateGranted
		t.grant = grant
		t.decide()
	}
}

// pick returns the next request in turn whose owner is in Wait and whose quota group is not blocked. It refuses expired
// requests that it finds. Classes with credit come first; when none of them has such a request, the round is over.
func (q *Queue[G]) pick(now clock.Millis, blocked map[quotaGroup]bool) *Ticket[G] {
	var next *Ticket[G]
	for i := range q.classes {
		if next != nil && q.classes[i].credit <= 0 {
			continue
		}
		t := q.pickInClass(i, now, blocked)
		if t != nil && q.classes[i].credit > 0 {
			return t
		}
		if next == nil {
			next = t
		}
	}
	return next
}

// pickInClass is pick for the class with the given index.
func (q *Queue[G]) pickInClass(index int, now clock.Millis, blocked map[quotaGroup]bool) *Ticket[G] {
	c := &q.classes[index]
	for i := 0; i < len(c.rotation); {
		l := c.rotation[(c.next+i)%len(c.rotation)]
		before := len(c.rotation)
		for j := 0; j < len(l.tickets); {
			t := l.tickets[j]
			if now >= t.expiry {
				q.refuse(t, t.expiredRefusal(now))
				continue
			}
			if t.waiting && !blocked[t.request.quotaGroup()] {
				return t
			}
			j++
		}
		i++
		if len(c.rotation) != before {
			i = 0 // a callerQueue became empty and was removed, which moves the others
		}
	}
	return nil
}

// chargeDispatch moves the turn past the caller of t and deducts the dispatch from the credit of its class.
func (q *Queue[G]) chargeDispatch(t *Ticket[G]) {
	c := &q.classes[t.request.class]
	if c.credit <= 0 {
		// A new round. A class without requests gets credit too, so that a rare urgent request need not wait for the end
		// of the round. Credit is valid for one round only, so that an idle class does not accumulate it.
		for i := range q.classes {
			q.classes[i].credit = weights[i]
		}
	}
	c.credit--
	for i, l := range c.rotation {
		if l.caller == t.request.caller {
			c.next = (i + 1) % len(c.rotation)
			return
		}
	}
}

// predictWait returns how long r would wait at the current interval between dispatches, if that is known.
func (q *Queue[G]) predictWait(r Request, now clock.Millis) (wait clock.Millis, known bool) {
	interval, known := q.intervalEstimator.interval(now)
	if !known || q.waiters.Load() == 0 || q.NoPrediction {
		return 0, false
	}
	c := &q.classes[r.class]
	own := 0
	if l := c.callers[r.caller]; l != nil {
		own = len(l.tickets)
	}
	inClass := 1 + own
	for _, l := range c.rotation {
		if l.caller != r.caller {
			inClass += min(len(l.tickets), own+1)
		}
	}
	ahead := inClass
	for i := range q.classes {
		if i != r.class {
			ahead += min(q.classes[i].length, (inClass*weights[i]+weights[r.class]-1)/weights[r.class])
		}
	}
	return clock.Millis(float64(ahead) * interval), true
}

// retryAfterBacklog estimates how long it takes to dispatch the requests in the queue.
func (q *Queue[G]) retryAfterBacklog(now clock.Millis) clock.Millis {
	if interval, known := q.intervalEstimator.interval(now); known {
		return clampRetryAfter(clock.Millis(float64(q.Length()) * interval))
	}
	return clampRetryAfter(q.maxWait())
}

func clampRetryAfter(d clock.Millis) clock.Millis { return min(max(d, minRetryAfter), maxRetryAfter) }

// expiredRefusal counts the expiry of a request and returns the refusal for it.
func (t *Ticket[G]) expiredRefusal(now clock.Millis) *result.Refusal {
	countExpired.Add(1)
	if now >= t.request.deadline {
		return deadlineRefusal(t.request, now)
	}
	detail := fmt.Sprintf("the request waited %d ms", now-t.entered)
	return result.Refuse(CodeWaitExpired, detail, clampRetryAfter(t.queue.maxWait()))
}

func deadlineRefusal(r Request, now clock.Millis) *result.Refusal {
	return result.Refuse(CodeDeadlinePassed, fmt.Sprintf("the deadline passed %d ms ago", now-r.deadline), 0)
}

func callerLeftRefusal(r Request) *result.Refusal {
	return result.Refuse(CodeCallerLeft, fmt.Sprintf("caller %q left the queue", r.caller), 0)
}

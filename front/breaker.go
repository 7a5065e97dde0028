package front

import (
	"sync"

	"magnoliaferry/clock"
)

// Times of the gate.
const (
	// breakerDelay is how long writes must have failed: callers wait out shorter outages, as coming back takes them longer.
	breakerDelay = 700 * clock.Millis(1)
	// probePeriod is the time between two writes that are let through while the store does not answer.
	probePeriod = 250 * clock.Millis(1)
)

// breaker keeps callers from waiting for a store that does not answer: after a failed write, one write at a time is let
// through until one succeeds. What is turned away was never sent, so that it can be refused truthfully.
type breaker struct {
	mu           sync.Mutex
	failing      bool
	failingSince clock.Millis // start of the first write that failed
	nextProbe    clock.Millis
}

func (b *breaker) allow(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing || now-b.failingSince < breakerDelay {
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now + probePeriod
	return true
}

// record takes in the outcome of a write that was sent at the given time.
func (b *breaker) record(ok bool, sent clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok && !b.failing {
		b.failingSince = sent
	}
	b.failing = !ok
}

// maxUnresolvedWrites bounds the remembered writes; with more, the oldest are forgotten.
const maxUnresolvedWrites = 10000

// unresolvedWrites are the jobs whose write got no answer. A later request with the same id must not be told that the job will
// not run, as the store may still carry the first write out.
type unresolvedWrites struct {
	mu    sync.Mutex
	ids   map[string]bool
	order []string
}

func (w *unresolvedWrites) add(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ids == nil {
		w.ids = map[string]bool{}
	}
	if w.ids[id] {
		return
	}
	w.ids[id] = true
	w.order = append(w.order, id)
	if len(w.order) > maxUnresolvedWrites {
		delete(w.ids, w.order[0])
		w.order = w.order[1:]
	}
}

func (w *unresolvedWrites) contains(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ids[id]
}

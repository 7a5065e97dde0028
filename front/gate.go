package front

import (
	"sync"

	"magnoliaferry/clock"
)

// Times of the gate.
const (
	// gatePatience is how long writes must have failed: callers wait out shorter outages, as coming back takes them longer.
	gatePatience = 700 * clock.Millis(1)
	// probePeriod is the time between two writes that are let through while the store does not answer.
	probePeriod = 250 * clock.Millis(1)
)

// gate keeps callers from waiting for a store that does not answer: after a failed write, one write at a time is let
// through until one succeeds. What is turned away was never sent, so that it can be refused truthfully.
type gate struct {
	mu      sync.Mutex
	failing bool
	since   clock.Millis // start of the first write that failed
	probeAt clock.Millis
}

func (g *gate) enter(now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing || now-g.since < gatePatience {
		return true
	}
	if now < g.probeAt {
		return false
	}
	g.probeAt = now + probePeriod
	return true
}

// leave takes in the outcome of a write that was sent at the given time.
func (g *gate) leave(ok bool, sent clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok && !g.failing {
		g.since = sent
	}
	g.failing = !ok
}

// openLimit bounds the remembered writes; with more, the oldest are forgotten.
const openLimit = 10000

// openWrites are the jobs whose write got no answer. A later request with the same id must not be told that the job will
// not run, as the store may still carry the first write out.
type openWrites struct {
	mu    sync.Mutex
	ids   map[string]bool
	order []string
}

func (o *openWrites) add(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids == nil {
		o.ids = map[string]bool{}
	}
	if o.ids[id] {
		return
	}
	o.ids[id] = true
	o.order = append(o.order, id)
	if len(o.order) > openLimit {
		delete(o.ids, o.order[0])
		o.order = o.order[1:]
	}
}

func (o *openWrites) has(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ids[id]
}

package front

import (
	"sync"

	"magnoliaferry/clock"
)

// probePeriod is the time between two writes that are let through while the store does not answer.
const probePeriod = 250 * clock.Millis(1)

// gate keeps callers from waiting for a store that does not answer: after a failed write, one write at a time is let
// through until one succeeds. What is turned away was never sent, so that it can be refused truthfully.
type gate struct {
	mu      sync.Mutex
	failing bool
	probeAt clock.Millis
}

func (g *gate) enter(now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing {
		return true
	}
	if now < g.probeAt {
		return false
	}
	g.probeAt = now + probePeriod
	return true
}

func (g *gate) leave(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing = !ok
}

package claim

import (
	"sync/atomic"

	"magnoliaferry/result"
)

// Decision is the result of a claim: a permit to dispatch, or the recorded answer of an earlier attempt.
type Decision struct {
	permit *Permit
	answer *Answer
}

// Permit returns the permit to dispatch the request; without one the request must not be dispatched.
func (d Decision) Permit() (*Permit, bool) { return d.permit, d.permit != nil }

// Answer returns the recorded answer, and false if there is none.
func (d Decision) Answer() (Answer, bool) {
	if d.answer == nil {
		return Answer{}, false
	}
	return *d.answer, true
}

// The states of a permit.
const (
	permitFree int32 = iota
	permitUsed
	permitVoid     // abandoned or expired
	permitFinished // Finish was called
)

// Permit is the right to dispatch one request once. It is issued only after the claim of the request's key was stored.
type Permit struct {
	store *Store
	entry *entry
	state atomic.Int32
}

// Use returns nil at most once, and only before the deadline. Call it directly before the dispatch. After the deadline
// it abandons the claim, so that a process that was paused never dispatches late. The error is a *result.Refusal.
func (p *Permit) Use() error {
	if p.store.Clock.Now() >= p.entry.deadline {
		p.Abandon()
		if p.state.Load() == permitVoid {
			return result.Refuse(CodeDeadlinePassed, "the claim was stored, but the deadline has passed", 0)
		}
		return result.Refuse(CodePermitUsed, "the request was dispatched before", 0)
	}
	if p.state.CompareAndSwap(permitFree, permitUsed) {
		return nil
	}
	if p.state.Load() == permitVoid {
		return result.Refuse(CodeDeadlinePassed, "the claim was given up", 0)
	}
	return result.Refuse(CodePermitUsed, "the request was dispatched before", 0)
}

// Abandon is Store.Abandon for the claim of this permit only, even if a later attempt has claimed the key.
func (p *Permit) Abandon() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.abandonHeld(p.entry)
}

// Finish is Store.Finish for the claim of this permit only.
func (p *Permit) Finish(answer Answer) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.finishHeld(p.entry, answer)
}

// Undo reverts a Use. Call it only if no byte of the request was written to a connection. The permit can then be used
// again, or the claim abandoned.
func (p *Permit) Undo() { p.state.CompareAndSwap(permitUsed, permitFree) }

// invalidate makes an unused permit unusable and reports whether it was unused.
func (p *Permit) invalidate() bool { return p.state.CompareAndSwap(permitFree, permitVoid) }

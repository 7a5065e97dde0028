package claim

import (
	"sync/atomic"

	"magnoliaferry/result"
)

// Decision is what a claim led to: a permit to dispatch, or the recorded answer of an earlier attempt.
type Decision struct {
	permit *Permit
	answer *Answer
}

// Permit returns the permit to dispatch the request; without one the request must not be dispatched.
func (d Decision) Permit() (*Permit, bool) { return d.permit, d.permit != nil }

// Answer returns the recorded answer.
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
	permitFinished // the outcome of the run was handed to Finish
)

// Permit allows one dispatch of one request, whose claim is certainly stored.
type Permit struct {
	store *Store
	entry *entry
	state atomic.Int32
}

// Use returns nil once, and only before the deadline; the dispatch follows directly. After the deadline it abandons the
// claim, so that a holder that was paused never dispatches late. The error is a *result.Refusal.
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

// Abandon is Store.Abandon for exactly the claim of this permit, also when a later attempt holds the key.
func (p *Permit) Abandon() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.abandonHeld(p.entry)
}

// Finish is Store.Finish for exactly the claim of this permit.
func (p *Permit) Finish(answer Answer) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.finishHeld(p.entry, answer)
}

// Undo takes a Use back. Call it only when certainly no byte of the request was written on a connection; the permit can
// then be used again or the claim abandoned.
func (p *Permit) Undo() { p.state.CompareAndSwap(permitUsed, permitFree) }

func (p *Permit) invalidate() bool { return p.state.CompareAndSwap(permitFree, permitVoid) }

package claim

import (
	"sync/atomic"

	"magnoliaferry/clock"
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
	store       *Store
	caller, key string
	deadline    clock.Millis
	state       atomic.Int32
}

// Use returns nil once, and only before the deadline; the dispatch follows directly. After the deadline it abandons the
// claim, so that a holder that was paused never dispatches late. The error is a *result.Refusal.
func (p *Permit) Use() error {
	if now := p.store.Clock.Now(); now >= p.deadline {
		p.store.Abandon(p.caller, p.key)
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

// Undo takes a Use back. Call it only when certainly no byte of the request was written on a connection; the permit can
// then be used again or the claim abandoned.
func (p *Permit) Undo() { p.state.CompareAndSwap(permitUsed, permitFree) }

func (p *Permit) void() bool { return p.state.CompareAndSwap(permitFree, permitVoid) }

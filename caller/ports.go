package caller

import (
	"context"
	"net/http"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// Demand is what admission learns of a request.
type Demand struct {
	caller   string
	team     string
	urgency  config.Urgency
	deadline clock.Millis
}

// Caller returns the caller, who is treated fairly against others.
func (d Demand) Caller() string { return d.caller }

// Team returns the team of the caller, or "".
func (d Demand) Team() string { return d.team }

// Urgency returns the urgency class.
func (d Demand) Urgency() config.Urgency { return d.urgency }

// Deadline returns the time by which the answer is due.
func (d Demand) Deadline() clock.Millis { return d.deadline }

// Queue admits the requests of one pool; what a request receives in its turn is a Permit from Handler.Acquire.
type Queue interface {
	// Enter refuses early and never blocks.
	Enter(d Demand) (Ticket, *result.Refusal)
	// Wake says that a slot may have become free.
	Wake()
}

// Ticket is a place in a queue.
type Ticket interface {
	Wait(ctx context.Context) (*Permit, *result.Refusal)
	// Leave gives the place up, and the permit when there is one already.
	Leave()
}

// Claims keeps a request with a key from running twice.
type Claims interface {
	// Claim returns once the claim is certainly stored, or with what is known of an earlier run.
	Claim(ctx context.Context, caller, key string, deadline clock.Millis) (Decision, error)
	// Finish records the answer.
	Finish(caller, key string, answer Recorded)
	// Abandon records that the request was certainly not run.
	Abandon(caller, key string)
}

// State is what a claim found.
type State int

// The states of a claim.
const (
	Granted State = iota // stored now; the request may be dispatched once
	Done                 // ran before, with a recorded answer
	Claimed              // started before with an unknown outcome
	Running              // started before and its holder says that it still runs
)

// Decision is the answer of Claims.Claim.
type Decision struct {
	state  State
	answer Recorded
}

// NewDecision returns a decision; the answer has a meaning for Done only.
func NewDecision(state State, answer Recorded) Decision { return Decision{state, answer} }

// State returns what the claim found.
func (d Decision) State() State { return d.state }

// Answer returns the recorded answer.
func (d Decision) Answer() Recorded { return d.answer }

// maxRecorded is the largest body that is kept with a claim.
const maxRecorded = 64 << 10

// Recorded is an answer as it is kept with a claim.
type Recorded struct {
	status int
	header http.Header
	body   []byte
	kept   bool
}

// NewRecorded returns an answer; kept is false for one that was too large, and then the body is empty.
func NewRecorded(status int, header http.Header, body []byte, kept bool) Recorded {
	return Recorded{status, header, body, kept}
}

// Status returns the HTTP status.
func (a Recorded) Status() int { return a.status }

// Header returns the header, which must not be changed.
func (a Recorded) Header() http.Header { return a.header }

// Body returns the body, which must not be changed.
func (a Recorded) Body() []byte { return a.body }

// Kept reports whether the body was kept.
func (a Recorded) Kept() bool { return a.kept }

// Permit lets one request run: a slot on a worker, within the quota of the team and the limit of the pool.
type Permit struct {
	grant *routing.Grant
	pool  routing.Account // nil without a limit
	team  routing.Account // nil without a quota
}

// Acquire takes a permit without waiting; it is what the admission queue of the pool calls.
func (h *Handler) Acquire(pool, team string, deadline clock.Millis) (*Permit, bool) {
	p := &Permit{}
	if h.Quota != nil {
		c := h.Configuration()
		if c == nil {
			return nil, false
		}
		if s, ok := c.Pool(pool); ok && s.MaxInFlight() > 0 {
			account := h.Quota("pool/" + pool)
			if !account.TryAcquire(deadline) {
				return nil, false
			}
			p.pool = account
		}
		if s, ok := c.Team(team); ok && s.MaxInFlight() > 0 {
			account := h.Quota("team/" + team)
			if !account.TryAcquire(deadline) {
				p.Release()
				return nil, false
			}
			p.team = account
		}
	}
	grant, ok := h.Router.Acquire(pool, deadline, nil)
	if !ok {
		p.Release()
		return nil, false
	}
	p.grant = grant
	return p, true
}

// Worker returns the worker that runs the request.
func (p *Permit) Worker() *routing.Worker { return p.grant.Worker() }

// Release gives everything back, as for a request that was not dispatched.
func (p *Permit) Release() {
	if p.grant != nil {
		p.grant.Release(routing.Neutral, 0)
	}
	if p.team != nil {
		p.team.Release()
		p.team = nil
	}
	if p.pool != nil {
		p.pool.Release()
		p.pool = nil
	}
}

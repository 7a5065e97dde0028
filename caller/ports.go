package caller

import (
	"context"
	"net/http"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// QueueRequest is what admission learns of a request.
type QueueRequest struct {
	caller   string
	team     string
	urgency  config.Urgency
	deadline clock.Millis
}

// Caller returns the caller, who is treated fairly against others.
func (d QueueRequest) Caller() string { return d.caller }

// Team returns the team of the caller, or "".
func (d QueueRequest) Team() string { return d.team }

// Urgency returns the urgency class.
func (d QueueRequest) Urgency() config.Urgency { return d.urgency }

// Deadline returns the time by which the answer is due.
func (d QueueRequest) Deadline() clock.Millis { return d.deadline }

// Queue admits the requests of one pool; what a request receives in its turn is a Permit from Handler.Acquire.
type Queue interface {
	// Enter refuses early and never blocks.
	Enter(d QueueRequest) (Ticket, *result.Refusal)
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
	// Claim returns once the claim is certainly stored, or with the recorded answer of an earlier run. Every other
	// end is an error, and a *result.Refusal among them is given to the caller. The fingerprint tells different
	// requests with one key apart; it is empty for a body too large to be held in memory.
	Claim(ctx context.Context, caller, key, fingerprint string, deadline clock.Millis) (Decision, error)
}

// Claim is a stored claim; a request ends it by exactly one call of Abandon or Finish.
type Claim interface {
	// Use allows one dispatch, which follows directly; a *result.Refusal forbids it.
	Use() error
	// Undo takes Use back when the request was certainly not run.
	Undo()
	// Abandon records that the request was not run.
	Abandon()
	// Finish records the answer, or that there is none.
	Finish(answer Recorded)
}

// Decision is what a claim led to: the claim itself, or the recorded answer of an earlier run.
type Decision struct {
	claim  Claim
	answer Recorded
}

// Granted is the decision that the request may be dispatched once.
func Granted(claim Claim) Decision { return Decision{claim: claim} }

// Replay is the decision that the request ran before with this answer.
func Replay(status int, header http.Header, body []byte) Decision {
	return Decision{answer: Recorded{status: status, header: header, body: body, state: Kept}}
}

// maxRecorded is the largest body that is kept with a claim.
const maxRecorded = 64 << 10

// State is what is kept of an answer.
type State int

// The states of an answer.
const (
	Unknown State = iota // the request may have run and there is no answer
	NotKept              // the request ran; its answer was too large or did not arrive whole
	Kept
)

// Recorded is an answer as it is kept with a claim.
type Recorded struct {
	status int
	header http.Header
	body   []byte
	state  State
}

// State returns what is kept.
func (a Recorded) State() State { return a.state }

// Status returns the HTTP status, 0 for Unknown.
func (a Recorded) Status() int { return a.status }

// Header returns the header, which must not be changed; nil unless Kept.
func (a Recorded) Header() http.Header { return a.header }

// Body returns the body, which must not be changed; nil unless Kept.
func (a Recorded) Body() []byte { return a.body }

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

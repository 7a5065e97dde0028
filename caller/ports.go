package caller

import (
	"context"
	"net/http"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
)

// QueueRequest holds the properties of a request that its admission queue uses.
type QueueRequest struct {
	caller   string
	team     string // "" for none
	urgency  config.Urgency
	deadline clock.Millis // time on the clock, not a duration
}

// Caller returns the name of the caller. The queue shares the slots fairly between callers.
func (r QueueRequest) Caller() string { return r.caller }

// Team returns the team of the caller, or "" if it belongs to none.
func (r QueueRequest) Team() string { return r.team }

// Urgency returns the urgency class.
func (r QueueRequest) Urgency() config.Urgency { return r.urgency }

// Deadline returns the time on the clock by which the caller must have the answer.
func (r QueueRequest) Deadline() clock.Millis { return r.deadline }

// Queue is the admission queue of one pool. It hands each admitted request a Permit from Handler.Acquire.
type Queue interface {
	// Enter adds a request to the queue, or refuses it at once. It never blocks.
	Enter(r QueueRequest) (Ticket, *result.Refusal)
	// Wake makes the queue check again for a permit, because a slot or a quota may have become free.
	Wake()
}

// Ticket represents a request in a queue; it ends with one call of Wait or Leave.
type Ticket interface {
	// Wait blocks until the request has a permit, is refused or ctx ends.
	Wait(ctx context.Context) (*Permit, *result.Refusal)
	// Leave removes the request from the queue, and releases its permit if it has one already.
	Leave()
}

// Claims stores claims, which keep a request with a key from running twice.
type Claims interface {
	// Claim returns once the claim is certainly stored, or with the recorded answer of an earlier run. Otherwise it
	// returns an error; a *result.Refusal is sent to the caller as it is. The fingerprint distinguishes different
	// requests with the same key; it is empty if the body is too large to be held in memory. The deadline is the time on
	// the clock by which the caller must have the answer, not a duration.
	Claim(ctx context.Context, caller, key, fingerprint string, deadline clock.Millis) (Decision, error)
}

// Claim is a stored claim. Its request calls Abandon or Finish exactly once.
type Claim interface {
	// Use must be called directly before each dispatch. An error, such as a *result.Refusal, forbids the dispatch.
	Use() error
	// Undo reverses Use after a dispatch that certainly did not run the request.
	Undo()
	// Abandon records that the request was not run.
	Abandon()
	// Finish records the answer, or that the outcome is unknown.
	Finish(answer Recorded)
}

// Decision is the result of Claims.Claim: the stored claim, or the recorded answer of an earlier run.
type Decision struct {
	claim  Claim    // nil if the request ran before
	answer Recorded // if claim is nil
}

// Granted returns the decision that the request may be dispatched once.
func Granted(claim Claim) Decision { return Decision{claim: claim} }

// Replay returns the decision that the request ran before and got this answer.
func Replay(status int, header http.Header, body []byte) Decision {
	return Decision{answer: Recorded{status: status, header: header, body: body, state: Kept}}
}

// maxRecordedBytes is the size of the largest answer body that is recorded with a claim.
const maxRecordedBytes = 64 << 10

// State says how much of an answer is recorded.
type State int

// The states of a recorded answer.
const (
	Unknown State = iota // the request may have run and there is no answer
	NotKept              // the request ran; its answer was too large or arrived incomplete
	Kept                 // the request ran; status, header and body are recorded
)

// Recorded is an answer as it is recorded with a claim. The zero value records that the outcome is unknown.
type Recorded struct {
	status int
	header http.Header
	body   []byte
	state  State
}

// State returns how much of the answer is recorded.
func (a Recorded) State() State { return a.state }

// Status returns the HTTP status, or 0 if the state is Unknown.
func (a Recorded) Status() int { return a.status }

// Header returns the header, which must not be changed, or nil if the state is not Kept.
func (a Recorded) Header() http.Header { return a.header }

// Body returns the body, which must not be changed, or nil if the state is not Kept.
func (a Recorded) Body() []byte { return a.body }

// Permit is the right to run one request: a slot on a worker, and a unit of the team's quota and of the pool's limit if
// these are configured.
type Permit struct {
	grant *routing.Grant
	pool  routing.Account // nil if the pool has no limit, and after Release
	team  routing.Account // nil if the team has no quota, and after Release
}

// Acquire takes a permit without waiting and reports whether it got one. The admission queue of the pool calls it. team is
// "" for a caller without a team; deadline is the time on the clock by which the request ends.
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

// Worker returns the worker on which the permit has a slot.
func (p *Permit) Worker() *routing.Worker { return p.grant.Worker() }

// Release returns the slot and the quotas. Unless the slot was released before, its release says nothing about the health
// of the worker.
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

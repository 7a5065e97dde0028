package entry

import (
	"context"

	"magnoliaferry/caller"
	"magnoliaferry/claim"
	"magnoliaferry/clock"
)

// claims adapts the claim store to caller.Claims.
type claims struct{ store *claim.Store }

// Claim implements caller.Claims.
func (c claims) Claim(ctx context.Context, name, key, fingerprint string, deadline clock.Millis) (caller.Decision, error) {
	decision, err := c.store.ClaimWithFingerprint(ctx, name, key, fingerprint, deadline)
	if err != nil {
		return caller.Decision{}, err
	}
	if answer, recorded := decision.Answer(); recorded {
		return caller.Replay(answer.Status(), answer.Header(), answer.Body()), nil
	}
	permit, _ := decision.Permit()
	return caller.Granted(claimPermit{permit}), nil
}

// claimPermit adapts a permit of the claim store to caller.Claim.
type claimPermit struct{ *claim.Permit }

// Finish implements caller.Claim.
func (h claimPermit) Finish(answer caller.Recorded) {
	switch answer.State() {
	case caller.Kept:
		h.Permit.Finish(claim.NewAnswer(answer.Status(), answer.Header(), answer.Body()))
	case caller.NotKept:
		h.Permit.Finish(claim.TooLargeAnswer(answer.Status()))
	default:
		h.Permit.Finish(claim.UnknownAnswer())
	}
}

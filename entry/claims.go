package entry

import (
	"context"
	"errors"

	"magnoliaferry/caller"
	"magnoliaferry/claim"
	"magnoliaferry/clock"
	"magnoliaferry/result"
)

// claims joins the claim store to the callers' interface.
type claims struct{ store *claim.Store }

// Claim implements caller.Claims.
func (c claims) Claim(ctx context.Context, name, key string, deadline clock.Millis) (caller.Decision, error) {
	decision, err := c.store.Claim(ctx, name, key, deadline)
	var refusal *result.Refusal
	if errors.As(err, &refusal) && refusal.Code() == claim.CodeStillRunning {
		return caller.NewDecision(caller.Running, caller.Recorded{}), nil
	}
	if err != nil {
		return caller.Decision{}, err
	}
	if answer, recorded := decision.Answer(); recorded {
		kept := caller.NewRecorded(answer.Status(), answer.Header(), answer.Body(), true)
		return caller.NewDecision(caller.Done, kept), nil
	}
	permit, _ := decision.Permit()
	if err := permit.Use(); err != nil {
		return caller.Decision{}, err
	}
	return caller.NewDecision(caller.Granted, caller.Recorded{}), nil
}

// Finish implements caller.Claims.
func (c claims) Finish(name, key string, answer caller.Recorded) {
	if !answer.Kept() {
		c.store.Finish(name, key, claim.TooLargeAnswer(answer.Status()))
		return
	}
	c.store.Finish(name, key, claim.NewAnswer(answer.Status(), answer.Header(), answer.Body()))
}

// Abandon implements caller.Claims.
func (c claims) Abandon(name, key string) { c.store.Abandon(name, key) }

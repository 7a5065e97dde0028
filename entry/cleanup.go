package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"magnoliaferry/claim"
	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

const (
	// claimRetention is how long a claim and its answer are kept after it was written.
	claimRetention = clock.Day
	// cleanUpRows is how many claims one step reads. All entry instances together make one step per second on average, so
	// the clean-up reads 200 rows per second, 10% of what the table sustains, and commits at most 2 transactions per
	// second.
	cleanUpRows   = 200
	cleanUpPeriod = clock.Second
	// cleanUpPause is the time from the end of one pass over the claims to the start of the next one.
	cleanUpPause = clock.Hour
	// cleanUpKey is the key of the row with the progress, so that a pass continues when entry instances are replaced.
	cleanUpKey = "claim-clean-up"
)

// cleanUp deletes claims after their retention time. The row with the progress only saves entry instances from reading the
// same claims; correctness does not depend on it, because each deletion is conditional on the version of the claim.
type cleanUp struct {
	instance *Instance
	random   *rand.Rand
	steps    int64 // numbers the transactions
}

// cleanUpFields is the value of the row with the progress.
type cleanUpFields struct {
	After string       `json:"after"`            // key of the last claim read; "" starts at the first one
	Pause clock.Millis `json:"pause-until-wall"` // wall-clock time in ms before which no pass starts
}

// Name implements kernel.Module.
func (c *cleanUp) Name() string { return "claim clean-up" }

// Run makes steps until the context ends.
func (c *cleanUp) Run(ctx context.Context) error {
	c.random = rand.New(rand.NewPCG(uint64(c.instance.incarnation), 0))
	period := cleanUpPeriod // mean time between two steps of all entry instances
	for {
		// One step per period on average over all entry instances, at random times so that two rarely conflict.
		members := int64(len(c.instance.node.Peers()) + 1)
		if err := c.instance.Clock.Sleep(ctx, 1+clock.Millis(c.random.Int64N(2*members*int64(period)))); err != nil {
			return err
		}
		// A failed step is repeated by the next step of any entry instance. The peer module logs an outage of the table.
		if done, err := c.step(ctx); err == nil && done {
			period = cleanUpPause / 60 // one per minute: until the next pass a step only reads the row with the progress
		} else {
			period = cleanUpPeriod
		}
	}
}

// step reads the next claims, deletes those past their retention time and stores the progress. It reports whether the pass
// has ended.
func (c *cleanUp) step(ctx context.Context) (done bool, err error) {
	ctx, cancel := c.instance.Clock.WithTimeout(ctx, claim.DefaultTimeout)
	defer cancel()
	table, now := c.instance.Platform.Table(), c.instance.WallClock()
	rows, err := table.Read(ctx, cleanUpKey)
	if err != nil || len(rows) != 1 {
		return false, err
	}
	var progress cleanUpFields
	if rows[0].Version() > 0 {
		if err := json.Unmarshal(rows[0].Value(), &progress); err != nil {
			progress = cleanUpFields{} // starting again at the first claim is always correct
		}
	}
	// Ignores a pause longer than cleanUpPause: it was written by an instance whose wall clock was ahead.
	if ahead := progress.Pause - now; ahead > 0 && ahead <= cleanUpPause {
		return true, nil
	}
	next, _, err := claim.CleanUp(ctx, table, now, claimRetention, progress.After, cleanUpRows)
	if err != nil {
		return false, err
	}
	progress = cleanUpFields{After: next}
	if next == "" {
		progress.Pause = now + cleanUpPause
	}
	value, err := json.Marshal(progress)
	if err != nil {
		return false, err
	}
	c.steps++
	operation := fmt.Sprintf("%s/%s/%d/%d", cleanUpKey, c.instance.Settings.Name, c.instance.incarnation, c.steps)
	// A conflict means that another entry instance has made the step. A commit with an unknown outcome is not resolved,
	// because at worst the same rows are read twice.
	return next == "", table.Commit(ctx, provider.NewTransaction(operation, provider.Put(cleanUpKey, value, rows[0].Version())))
}

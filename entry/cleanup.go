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
	// claimRetention is how long a claim and its answer are kept.
	claimRetention = clock.Day
	// cleanUpRows is how many claims one step reads. All entry instances together take one step a second on average, so
	// the clean-up reads 200 rows a second, 10% of what the table sustains, and commits at most 2 transactions a second.
	cleanUpRows   = 200
	cleanUpPeriod = clock.Second
	// cleanUpPause is the time from the end of one pass over the claims to the next one.
	cleanUpPause = clock.Hour
	// cleanUpKey is the row that holds the progress, so that a pass goes on when entry instances are replaced.
	cleanUpKey = "claim-clean-up"
)

// cleanUp deletes claims after their retention. Its row only keeps entry instances from reading the same claims: each
// deletion is conditional on the claim itself.
type cleanUp struct {
	instance *Instance
	random   *rand.Rand
	steps    int64
}

// cleanUpFields is the value of the row with the progress.
type cleanUpFields struct {
	After string       `json:"after"`            // key of the last claim that was read; "" before the first one
	Pause clock.Millis `json:"pause-until-wall"` // wall-clock time before which no pass begins
}

// Name implements kernel.Module.
func (c *cleanUp) Name() string { return "claim clean-up" }

// Run takes steps until the context ends.
func (c *cleanUp) Run(ctx context.Context) error {
	c.random = rand.New(rand.NewPCG(uint64(c.instance.incarnation), 0))
	pause := cleanUpPeriod
	for {
		// A mean of one step a second over all entry instances, at random times, so that they seldom meet.
		members := int64(len(c.instance.node.Peers()) + 1)
		if err := c.instance.Clock.Sleep(ctx, 1+clock.Millis(c.random.Int64N(2*members*int64(pause)))); err != nil {
			return err
		}
		// What fails is tried again by the next step of any entry instance; the peer module reports an outage.
		if done, err := c.step(ctx); err == nil && done {
			pause = cleanUpPause / 60
		} else {
			pause = cleanUpPeriod
		}
	}
}

// step reads the next claims and records the progress; done says that the pass has ended.
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
			progress = cleanUpFields{} // a pass from the beginning is always right
		}
	}
	// A pause that is longer than any that is ever written comes from a wall clock that was wrong.
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
	// A conflict says that another entry instance was faster, and a lost answer needs no settlement: the worst is a page
	// that is read twice.
	return next == "", table.Commit(ctx, provider.NewTransaction(operation, provider.Put(cleanUpKey, value, rows[0].Version())))
}

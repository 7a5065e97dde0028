package store

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var (
	eventOwned = event.New(5120, "part-owned", slog.LevelInfo, "this instance has become the owner of a part")
	eventLost  = event.New(5121, "part-lost", slog.LevelWarn, "another instance has become the owner of a part; this instance stops its work on the part")
	eventRetry = event.New(5122, "commit-retried", slog.LevelWarn,
		"a transaction failed or its outcome is unknown; it is repeated unchanged until its outcome is known")
	eventReleased = event.New(5123, "part-released", slog.LevelInfo, "this instance has released a part")
)

// Times of the attempts at one transaction.
const (
	minCommitRetry = 30 * clock.Millis(1) // pause after the first attempt; it doubles up to maxCommitRetry
	maxCommitRetry = 250 * clock.Millis(1)
	// AttemptTimeout is the timeout of the first attempt. After each timeout it doubles, up to maxAttemptTimeout: a short timeout
	// limits the wait for an answer that was lost, but no attempt would succeed while the store takes longer than the timeout.
	AttemptTimeout       = 900 * clock.Millis(1)
	maxAttemptTimeout    = 2700 * clock.Millis(1)
	attemptTimeoutFactor = 3 // next timeout as a multiple of the duration of the newest transaction
)

// Owner is the value of the owner row of a part, which is stored under OwnerKey.
type Owner struct {
	Node     string  `json:"node"`
	WriteID  string  `json:"write"` // identifies the transaction: node, incarnation and number of the write
	Released bool    `json:"released,omitempty"`
	Cores    float64 `json:"cores,omitempty"` // processor cores of the node
	// Held, in a row with Released, is the time since the claim was sent. The owner before that claim may still act until its own
	// ownership expires, and the next owner needs Held to compute when that is.
	Held clock.Millis `json:"held-ms,omitempty"`
}

// Incarnation returns the incarnation of the process that wrote the row; empty if the row does not contain one.
func (o Owner) Incarnation() string {
	parts := strings.Split(o.WriteID, "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// DecodeOwner decodes the value of an owner row.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return o, fmt.Errorf("decode owner row: %w", err)
	}
	return o, nil
}

// Ownership is the ownership of a part by this instance, from Claim until Release or ErrLost. Each transaction has the
// condition that the owner row still has the version which the previous transaction wrote, and writes the row again. It
// thereby renews the ownership and increases the fencing token, and it fails once another instance has claimed the part. One
// transaction is in flight at a time. Exported fields are set before Claim.
type Ownership struct {
	Store       Table
	Clock       *clock.Clock
	Logger      *slog.Logger
	Part        string
	Node        string
	Cores       float64 // processor cores of the node
	Incarnation string  // unique for this process
	// FirstTimeout is the timeout of the first attempt of Claim; values below AttemptTimeout mean AttemptTimeout.
	FirstTimeout clock.Millis
	// SinceBoot returns the time since the machine was booted, including time during which it was suspended.
	SinceBoot func() clock.Millis

	mu          sync.Mutex
	version     int64        // of the owner row
	claimSent   clock.Millis // when the first attempt at the claim was sent
	renewalSent clock.Millis // when the newest applied transaction was sent
	timeout     clock.Millis // of the next attempt; smaller values stand for AttemptTimeout
	writeCount  int64
	unresolved  string // write id of the transaction that was abandoned with an unknown outcome; empty if none
}

// Token returns the newest fencing token, which is the version of the owner row.
func (c *Ownership) Token() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// SinceRenewal returns the time since the newest applied transaction was sent.
func (c *Ownership) SinceRenewal() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.SinceBoot() - c.renewalSent
}

// Claim makes this instance the owner of the part if the owner row still has the version seen; 0 stands for no row. It returns
// ErrLost if the row has another version.
func (c *Ownership) Claim(ctx context.Context, seen int64) error {
	c.mu.Lock()
	c.version, c.claimSent = seen, c.SinceBoot()
	c.timeout = min(c.FirstTimeout, maxAttemptTimeout)
	c.mu.Unlock()
	if err := c.Commit(ctx, nil, nil); err != nil {
		return err
	}
	eventOwned.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int64("seen", seen), slog.Int64("token", c.Token()))
	return nil
}

// Commit applies the rows as the owner of the part. It repeats the transaction until the outcome is known or the context
// ends. ErrLost means that another instance owns the part and that nothing was applied, ErrInvalid that the store never accepts these rows.
func (c *Ownership) Commit(ctx context.Context, puts, deletes []Row) error {
	return c.commit(ctx, puts, deletes, Owner{})
}

// Release releases the part, so that another instance can claim it without waiting for the ownership to expire. Its errors are
// those of Commit.
func (c *Ownership) Release(ctx context.Context) error {
	c.mu.Lock()
	held := c.SinceBoot() - c.claimSent
	c.mu.Unlock()
	if err := c.commit(ctx, nil, nil, Owner{Released: true, Held: held}); err != nil {
		return err
	}
	eventReleased.Log(ctx, c.Logger, slog.String("part", c.Part))
	return nil
}

func (c *Ownership) commit(ctx context.Context, puts, deletes []Row, owner Owner) error {
	c.mu.Lock()
	c.writeCount++
	owner.Node, owner.Cores = c.Node, c.Cores
	owner.WriteID = fmt.Sprintf("%s/%s/%d", c.Node, c.Incarnation, c.writeCount)
	seen, unresolved := c.version, c.unresolved
	c.mu.Unlock()
	value, err := json.Marshal(owner)
	if err != nil {
		return err
	}
	row := Row{Table: StateTable, Part: c.Part, Key: OwnerKey, Value: value}
	tx := Transaction{
		Conditions: []Condition{{StateTable, c.Part, OwnerKey, seen}},
		Puts:       append([]Row{row}, puts...),
		Deletes:    deletes,
	}
	firstSent := c.SinceBoot()
	pause := minCommitRetry
	for attempt := 1; ; attempt++ {
		sent := c.SinceBoot()
		result, err := c.attempt(ctx, tx)
		switch {
		case err == nil && result.Applied:
			c.recordApplied(result.Version, sent)
			return nil
		case err == nil:
			// An earlier attempt at this transaction was applied and its answer was lost: the owner row has its write id.
			if current, ok := findOwnWrite(result.Current, owner.WriteID); ok {
				c.recordApplied(current.Version, firstSent)
				return nil
			}
			// An earlier transaction of this instance was abandoned and has been applied: repeat this one on top of it.
			if current, ok := findOwnWrite(result.Current, unresolved); ok {
				unresolved = ""
				seen, tx.Conditions[0].Version = current.Version, current.Version
				continue
			}
			eventLost.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int64("seen", seen))
			return ErrLost.New("part %q is owned by another instance", c.Part)
		case ctx.Err() != nil:
			c.markUnresolved(owner.WriteID)
			return err
		case errorx.IsOfType(err, ErrInvalid): // no attempt was applied
			return err
		}
		eventRetry.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int("attempt", attempt),
			slog.Bool("unknown", errorx.IsOfType(err, ErrUnknown)), slog.String("error", err.Error()))
		if c.Clock.Sleep(ctx, pause) != nil {
			c.markUnresolved(owner.WriteID)
			return err
		}
		pause = min(pause*2, maxCommitRetry)
	}
}

// attempt sends the transaction once and adapts the timeout of the next attempt.
func (c *Ownership) attempt(ctx context.Context, tx Transaction) (Result, error) {
	c.mu.Lock()
	timeout := max(c.timeout, AttemptTimeout)
	c.mu.Unlock()
	started := c.Clock.Now()
	attempt, cancel := c.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := c.Store.Commit(attempt, tx)
	switch {
	case err == nil:
		timeout = attemptTimeoutFactor * (c.Clock.Now() - started)
	case attempt.Err() != nil && ctx.Err() == nil:
		timeout *= 2
	}
	c.mu.Lock()
	c.timeout = min(timeout, maxAttemptTimeout)
	c.mu.Unlock()
	return result, err
}

func (c *Ownership) markUnresolved(write string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresolved = write
}

// findOwnWrite returns the owner row if it was written by the transaction with the given write id.
func findOwnWrite(rows []Row, write string) (Row, bool) {
	if write == "" {
		return Row{}, false
	}
	for _, row := range rows {
		if row.Key != OwnerKey {
			continue
		}
		if owner, err := DecodeOwner(row.Value); err == nil && owner.WriteID == write {
			return row, true
		}
	}
	return Row{}, false
}

func (c *Ownership) recordApplied(version int64, sent clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.renewalSent, c.unresolved = version, sent, ""
}

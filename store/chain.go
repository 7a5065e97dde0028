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
	eventOwned = event.New(5120, "part-owned", slog.LevelInfo, "this instance owns a part of the table")
	eventLost  = event.New(5121, "part-lost", slog.LevelWarn, "another instance owns the part; its work here stops")
	eventRetry = event.New(5122, "commit-retried", slog.LevelWarn,
		"a transaction failed or its outcome is unknown; it is repeated unchanged until the store tells")
	eventReleased = event.New(5123, "part-released", slog.LevelInfo, "this instance gave a part up")
)

// Times of the attempts of one transaction.
const (
	commitRetryFirst = 30 * clock.Millis(1) // pauses between them
	commitRetryLimit = 250 * clock.Millis(1)
	// An attempt without an answer is given up after AttemptTimeout, the next one after twice that, up to
	// attemptTimeoutLimit: answers can be lost, and the store can be so slow that short attempts never end well.
	AttemptTimeout      = 900 * clock.Millis(1)
	attemptTimeoutLimit = 2700 * clock.Millis(1)
	attemptFactor       = 3 // times the time that the newest transaction took
)

// Owner is the content of the row that names the owner of a part.
type Owner struct {
	Node     string  `json:"node"`
	WriteID  string  `json:"write"` // unique for each transaction of the chain
	Released bool    `json:"released,omitempty"`
	Cores    float64 `json:"cores,omitempty"` // processor of the node
	// Held, in a row that gives the part up, is the time since the claim was sent. The owner before that claim may still act until
	// its own authority ends.
	Held clock.Millis `json:"held-ms,omitempty"`
}

// Incarnation returns the incarnation of the process that wrote the row.
func (o Owner) Incarnation() string {
	parts := strings.Split(o.WriteID, "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// DecodeOwner reads the row that names an owner.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return o, fmt.Errorf("owner row: %w", err)
	}
	return o, nil
}

// Ownership is the sequence of transactions of one owner of a part. Each one requires the row that names the owner as the
// one before left it, and writes it again, so that it renews the ownership, raises the fencing token, and fails once
// another instance has taken the part. One transaction is in flight at a time. Exported fields are set before Claim.
type Ownership struct {
	Store       Table
	Clock       *clock.Clock
	Logger      *slog.Logger
	Part        string
	Node        string
	Cores       float64 // processor of the node
	Incarnation string  // unique for this process
	// SinceBoot is a clock that also counts the time for which the machine was suspended.
	SinceBoot func() clock.Millis

	mu      sync.Mutex
	version int64
	claimed clock.Millis // when the claim was first sent
	renewed clock.Millis
	timeout clock.Millis // of the next attempt; 0: AttemptTimeout
	writes  int64
	open    string // write that was given up without a known outcome
}

// Token returns the newest fencing token: the version of the row that names the owner.
func (c *Ownership) Token() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// SinceRenewal returns the time since the newest applied transaction was sent.
func (c *Ownership) SinceRenewal() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.SinceBoot() - c.renewed
}

// Claim takes the part if the row that names its owner still has the version that was seen; 0 for no row.
func (c *Ownership) Claim(ctx context.Context, seen int64) error {
	c.mu.Lock()
	c.version, c.claimed = seen, c.SinceBoot()
	c.mu.Unlock()
	if err := c.Commit(ctx, nil, nil); err != nil {
		return err
	}
	eventOwned.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int64("seen", seen), slog.Int64("token", c.Token()))
	return nil
}

// Commit applies the rows as the owner of the part. It repeats the transaction until the outcome is known or the context
// ends. ErrLost says that another instance owns the part, and that nothing was applied.
func (c *Ownership) Commit(ctx context.Context, puts, deletes []Row) error {
	return c.commit(ctx, puts, deletes, Owner{})
}

// Release gives the part up, so that another instance takes it without waiting.
func (c *Ownership) Release(ctx context.Context) error {
	c.mu.Lock()
	held := c.SinceBoot() - c.claimed
	c.mu.Unlock()
	if err := c.commit(ctx, nil, nil, Owner{Released: true, Held: held}); err != nil {
		return err
	}
	eventReleased.Log(ctx, c.Logger, slog.String("part", c.Part))
	return nil
}

func (c *Ownership) commit(ctx context.Context, puts, deletes []Row, owner Owner) error {
	c.mu.Lock()
	c.writes++
	owner.Node, owner.Cores = c.Node, c.Cores
	owner.WriteID = fmt.Sprintf("%s/%s/%d", c.Node, c.Incarnation, c.writes)
	seen, open := c.version, c.open
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
	first := c.SinceBoot()
	pause := commitRetryFirst
	for attempt := 1; ; attempt++ {
		sent := c.SinceBoot()
		result, err := c.attempt(ctx, tx)
		switch {
		case err == nil && result.Applied:
			c.applied(result.Version, sent)
			return nil
		case err == nil:
			// An attempt whose answer was lost may have been applied; its row carries this write.
			if current, ok := ownWrite(result.Current, owner.WriteID); ok {
				c.applied(current.Version, first)
				return nil
			}
			// So may an earlier transaction of this owner that was given up; this one comes after it.
			if current, ok := ownWrite(result.Current, open); ok {
				open = ""
				seen, tx.Conditions[0].Version = current.Version, current.Version
				continue
			}
			eventLost.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int64("seen", seen))
			return ErrLost.New("part %q is owned by another instance", c.Part)
		case ctx.Err() != nil:
			c.giveUp(owner.WriteID)
			return err
		}
		eventRetry.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int("attempt", attempt),
			slog.Bool("unknown", errorx.IsOfType(err, ErrUnknown)), slog.String("error", err.Error()))
		if c.Clock.Sleep(ctx, pause) != nil {
			c.giveUp(owner.WriteID)
			return err
		}
		pause = min(pause*2, commitRetryLimit)
	}
}

// attempt sends a transaction once.
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
		timeout = attemptFactor * (c.Clock.Now() - started)
	case attempt.Err() != nil && ctx.Err() == nil:
		timeout *= 2
	}
	c.mu.Lock()
	c.timeout = min(timeout, attemptTimeoutLimit)
	c.mu.Unlock()
	return result, err
}

func (c *Ownership) giveUp(write string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = write
}

func ownWrite(rows []Row, write string) (Row, bool) {
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

func (c *Ownership) applied(version int64, sent clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.renewed, c.open = version, sent, ""
}

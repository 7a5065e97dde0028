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

// OwnerKey is the key of the row that names the owner of a part.
const OwnerKey = "owner"

// Pauses between the attempts of one transaction.
const (
	commitRetryFirst = 30 * clock.Millis(1)
	commitRetryLimit = 250 * clock.Millis(1)
)

// Owner is the content of the row that names the owner of a part.
type Owner struct {
	Node     string          `json:"node"`
	Write    string          `json:"write"` // unique for each transaction of the chain
	Released bool            `json:"released,omitempty"`
	Load     json.RawMessage `json:"load,omitempty"` // what the owner tells the others
}

// Incarnation returns the incarnation of the process that wrote the row.
func (o Owner) Incarnation() string {
	parts := strings.Split(o.Write, "/")
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

// Chain is the sequence of transactions of one owner of a part. Each one requires the row that names the owner as the
// one before left it, and writes it again, so that it renews the ownership, raises the fencing token, and fails once
// another instance has taken the part. One transaction is in flight at a time. Exported fields are set before Claim.
type Chain struct {
	Store       Table
	Clock       *clock.Clock
	Logger      *slog.Logger
	Table       string
	Part        string
	Node        string
	Incarnation string // unique for this process
	// SinceBoot is a clock that also counts the time for which the machine was suspended.
	SinceBoot func() clock.Millis

	mu      sync.Mutex
	version int64
	renewed clock.Millis
	writes  int64
	load    json.RawMessage // newest
}

// Token returns the newest fencing token: the version of the row that names the owner.
func (c *Chain) Token() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Age returns the time since the newest applied transaction was sent.
func (c *Chain) Age() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.SinceBoot() - c.renewed
}

// Claim takes the part if the row that names its owner still has the version that was seen; 0 for no row.
func (c *Chain) Claim(ctx context.Context, seen int64) error {
	c.mu.Lock()
	c.version = seen
	c.mu.Unlock()
	if err := c.Commit(ctx, nil, nil, nil); err != nil {
		return err
	}
	eventOwned.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int64("seen", seen), slog.Int64("token", c.Token()))
	return nil
}

// Commit applies the rows and the new load as the owner of the part. It repeats the transaction until the outcome is
// known or the context ends. ErrLost says that another instance owns the part, and that nothing was applied.
func (c *Chain) Commit(ctx context.Context, puts, deletes []Row, load json.RawMessage) error {
	c.mu.Lock()
	c.load = load
	c.mu.Unlock()
	return c.commit(ctx, puts, deletes, Owner{Load: load})
}

// Release gives the part up, so that another instance takes it without waiting. The row keeps the newest load.
func (c *Chain) Release(ctx context.Context) error {
	c.mu.Lock()
	load := c.load
	c.mu.Unlock()
	if err := c.commit(ctx, nil, nil, Owner{Released: true, Load: load}); err != nil {
		return err
	}
	eventReleased.Log(ctx, c.Logger, slog.String("part", c.Part))
	return nil
}

func (c *Chain) commit(ctx context.Context, puts, deletes []Row, owner Owner) error {
	c.mu.Lock()
	c.writes++
	owner.Node = c.Node
	owner.Write = fmt.Sprintf("%s/%s/%d", c.Node, c.Incarnation, c.writes)
	seen := c.version
	c.mu.Unlock()
	value, err := json.Marshal(owner)
	if err != nil {
		return err
	}
	row := Row{Table: c.Table, Part: c.Part, Key: OwnerKey, Value: value}
	tx := Transaction{
		Conditions: []Condition{{c.Table, c.Part, OwnerKey, seen}},
		Puts:       append([]Row{row}, puts...),
		Deletes:    deletes,
	}
	first := c.SinceBoot()
	pause := commitRetryFirst
	for attempt := 1; ; attempt++ {
		sent := c.SinceBoot()
		result, err := c.Store.Commit(ctx, tx)
		switch {
		case err == nil && result.Applied:
			c.applied(result.Version, sent)
			return nil
		case err == nil:
			// An attempt whose answer was lost may have been applied; its row carries this write.
			if current, ok := ownWrite(result.Current, owner.Write); ok {
				c.applied(current.Version, first)
				return nil
			}
			eventLost.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int64("seen", seen))
			return ErrLost.New("part %q is owned by another instance", c.Part)
		case ctx.Err() != nil:
			return err
		}
		eventRetry.Log(ctx, c.Logger, slog.String("part", c.Part), slog.Int("attempt", attempt),
			slog.Bool("unknown", errorx.IsOfType(err, ErrUnknown)), slog.String("error", err.Error()))
		if c.Clock.Sleep(ctx, pause) != nil {
			return err
		}
		pause = min(pause*2, commitRetryLimit)
	}
}

func ownWrite(rows []Row, write string) (Row, bool) {
	for _, row := range rows {
		if row.Key != OwnerKey {
			continue
		}
		if owner, err := DecodeOwner(row.Value); err == nil && owner.Write == write {
			return row, true
		}
	}
	return Row{}, false
}

func (c *Chain) applied(version int64, sent clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.renewed = version, sent
}

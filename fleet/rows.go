package fleet

import (
	"encoding/json"
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// Prefixes of the keys in the table, see section 3 of docs/design.md.
const (
	instancePrefix = "instance/"
	budgetPrefix   = "budget/"
	changesPrefix  = "changes/"
	wavePrefix     = "wave/"
	leasePrefix    = "lease/"
)

const (
	// maxChanges is the number of changes that a changes row keeps at most.
	maxChanges = 64
	// maxChangeAge is the age beyond which all but the newest change are dropped from a changes row. Every entry
	// instance reads the row once a second, so it has to be short; at the target size a zone changes about once in
	// ten minutes, so that the row is nearly always short.
	maxChangeAge = 5 * clock.Minute
)

// budgetRow is the availability budget of a pool. It includes the number of members, so that the capacity rule is
// checked on this one row and needs no scan of the instances.
type budgetRow struct {
	Members     int               `json:"members"`
	Unavailable map[string]string `json:"out"` // by instance: planned, failed or joining
}

// The kinds of unavailable instances in a budget. A joining instance does not serve yet, but the pool never relied on
// it, so it uses no unit of the budget.
const (
	unavailablePlanned = "planned"
	unavailableFailed  = "failed"
	unavailableJoining = "joining"
)

// unavailableKind returns the kind of an instance in the budget of its pool, or "" when it serves.
func unavailableKind(r planner.RecordFields) string {
	switch {
	case r.Phase == planner.Serving:
		return ""
	case r.Phase == planner.Failed || r.From != "":
		return unavailableFailed
	case r.Joining:
		return unavailableJoining
	}
	return unavailablePlanned
}

// update replaces the record of an instance in the budget of a pool. A record that names another pool or none does
// not count as a member.
func (b *budgetRow) update(pool string, before, after planner.RecordFields) {
	if before.Pool == pool {
		b.Members--
		delete(b.Unavailable, before.ID)
	}
	if after.Pool != pool {
		return
	}
	b.Members++
	if kind := unavailableKind(after); kind != "" {
		if b.Unavailable == nil {
			b.Unavailable = map[string]string{}
		}
		b.Unavailable[after.ID] = kind
	}
}

func (b *budgetRow) serving() int { return b.Members - len(b.Unavailable) }

// used returns the number of budget units that planned work and failures use.
func (b *budgetRow) used() (used int) {
	for _, kind := range b.Unavailable {
		if kind != unavailableJoining {
			used++
		}
	}
	return used
}

// changesRow holds the most recent changes of the instances in one zone.
type changesRow struct {
	Sequence int64            `json:"sequence"` // number of the newest change
	Changes  []instanceChange `json:"changes"`
}

type instanceChange struct {
	At     clock.Millis         `json:"at"`
	Record planner.RecordFields `json:"record"` // an empty phase means that the row was deleted
}

func (c *changesRow) add(now clock.Millis, r planner.RecordFields) {
	c.Sequence++
	c.Changes = append(c.Changes, instanceChange{now, r})
	drop := max(len(c.Changes)-maxChanges, 0)
	for drop < len(c.Changes)-1 && now-c.Changes[drop].At > maxChangeAge {
		drop++
	}
	c.Changes = c.Changes[drop:]
}

// since returns the changes after a sequence number, or false when some of them are no longer kept.
func (c *changesRow) since(sequence int64) ([]instanceChange, bool) {
	missing := c.Sequence - sequence
	if missing < 0 || missing > int64(len(c.Changes)) {
		return nil, false
	}
	return c.Changes[int64(len(c.Changes))-missing:], true
}

// leaseRow names the process that does the control work of a pool; the holder renews the lease by writing the row
// again.
type leaseRow struct {
	Holder string `json:"holder"`
}

// decode unmarshals the value of a row; a missing row leaves the value unchanged.
func decode[T any](row provider.Row, value *T) error {
	if row.Version() == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value(), value); err != nil {
		return fmt.Errorf("row %q: %w", row.Key(), err)
	}
	return nil
}

// encode marshals the value of a row. It panics on an error, which the types of this package never cause.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("fleet: encode %T as JSON: %v", value, err))
	}
	return body
}

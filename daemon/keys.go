package daemon

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"slices"
	"sync"

	"magnoliaferry/clock"
	"magnoliaferry/platform"
	"magnoliaferry/store"
)

// confirmationShare is the part of Settings.RevocationLimit for which a confirmation permits keys to be accepted. The rest covers a clock
// of this instance that runs slower than the operators' and the time that an answer is on its way.
const confirmationShare = 0.9

// confirmationsPerLimit is how many confirmations an instance asks for within Settings.RevocationLimit. When the store is cut off, the newest
// confirmation can be two polls old, as the answer to the last one is lost; keys that hold are then accepted for the rest of the limit.
const confirmationsPerLimit = 10

// MinRevocationLimit is the shortest Settings.RevocationLimit with which keys are accepted until the store counts as unresponsive (0.7 s): of
// the limit, 0.9 hold after a confirmation, and the newest one can be 0.2 old.
const MinRevocationLimit = 1 * clock.Second

// confirmation is what an instance knows about how recent its configuration is. Keys are withdrawn by a newer configuration, also while
// an instance is cut off, suspended or slow; a key is accepted only while the newest confirmation is recent.
type confirmation struct {
	mu        sync.Mutex
	row       int64             // version of the newest row with a configuration that was read
	value     [sha256.Size]byte // hash of the row that holds the configuration in force
	isInForce bool              // the newest row holds the configuration in force
	sent      clock.Millis      // on clock.SinceBoot: when the newest call was sent whose answer confirmed this
	confirmed bool              // sent is set
	held      bool              // the last check found the confirmation recent enough
}

// putInForce records that the configuration of a row is in force.
func (c *confirmation) putInForce(row store.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = sha256.Sum256(row.Value)
	c.row, c.isInForce = max(c.row, row.Version), row.Version >= c.row
}

// ignored records that a row of the configuration was deleted, cannot be decoded, or does not hold a newer version than the one in force.
// If it is the newest row and does not repeat the one in force, the keys that are valid are not known.
func (c *confirmation) ignored(row store.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Version < c.row {
		return
	}
	c.row = row.Version
	c.isInForce = !row.Deleted && sha256.Sum256(row.Value) == c.value
}

// loaded records that the whole table was read, which must have a row with a configuration.
func (c *confirmation) loaded(rows []store.Row) {
	if slices.ContainsFunc(rows, isConfiguration) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInForce = false
}

func isConfiguration(row store.Row) bool {
	return row.Part == "" && row.Key == platform.KeyConfiguration
}

// confirm records that the rows that were read include all changes made before a call was sent, at the given time on clock.SinceBoot.
func (c *confirmation) confirm(sent clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInForce && (!c.confirmed || sent > c.sent) {
		c.sent, c.confirmed = sent, true
	}
}

// age returns the time since the newest confirmation, and false if there is none.
func (c *confirmation) age(now clock.Millis) (clock.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.sent, c.confirmed
}

// check reports whether the newest confirmation is younger than limit, and whether that has changed since the last check.
func (c *confirmation) check(now, limit clock.Millis) (holds, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now - c.sent
	holds = c.confirmed && age >= 0 && age < limit
	changed = c.held != holds
	c.held = holds
	return holds, changed
}

// keysConfirmed reports whether keys may be accepted now. It logs when that changes.
func (d *Daemon) keysConfirmed() bool {
	now := d.sinceBoot()
	holds, changed := d.confirmation.check(now, d.confirmationLimit())
	if changed {
		age, _ := d.confirmation.age(now)
		e := eventKeysUnconfirmed
		if holds {
			e = eventKeysConfirmed
		}
		e.Log(context.Background(), d.Logger, slog.Int64("confirmation-age-ms", int64(age)))
	}
	return holds
}

func (d *Daemon) confirmationLimit() clock.Millis {
	return clock.Millis(confirmationShare * float64(d.Settings.RevocationLimit))
}

// operatorFeedWait returns how long a poll of the operators' table waits for a change.
func (d *Daemon) operatorFeedWait() clock.Millis {
	if limit := d.Settings.RevocationLimit; limit > 0 {
		return min(operatorWait, limit/confirmationsPerLimit)
	}
	return operatorWait
}

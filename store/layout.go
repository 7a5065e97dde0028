package store

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"

	"magnoliaferry/batch"
)

const (
	// legacyIntakeParts is the number of intake parts of a store that earlier versions began to use.
	legacyIntakeParts = 8
	// newIntakeParts is the number of intake parts of a store that is used for the first time. The platform carries out the transactions of
	// one part one after another, 150 per second and a few per second while the store is slow; a surge brings up to 120 jobs per second.
	newIntakeParts = 64
	maxIntakeParts = 1024
)

// Layout describes how accepted jobs are spread over the parts of the store. All instances use the stored one, which never changes. The zero
// value is that of earlier versions.
type Layout struct {
	IntakeParts int `json:"intake-parts"`
}

// NewLayout returns the layout of a store that has rows already, or has none.
func NewLayout(hasRows bool) Layout {
	if hasRows {
		return Layout{legacyIntakeParts}
	}
	return Layout{newIntakeParts}
}

// IntakePart returns the part in which instances store a new job and requests to cancel it. It differs from the part of the
// pool, so that writes for callers and writes of the owner do not queue behind each other. The id of a customer's tombstone, see
// TombstoneID, is in the part of its job.
func (l Layout) IntakePart(job string) string {
	count := l.IntakeParts
	if count == 0 {
		count = legacyIntakeParts
	}
	job, _, _ = strings.Cut(job, "/")
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // hash.Hash.Write never returns an error
	return fmt.Sprintf("%s%d", intakePrefix, h.Sum32()%uint32(count))
}

// intakePrefix is the beginning of the names of intake parts.
const intakePrefix = "intake/"

// EncodeLayout returns the row with the layout.
func EncodeLayout(l Layout) (Row, error) {
	value, err := json.Marshal(l)
	return Row{Table: StateTable, Part: FleetPart, Key: LayoutKey, Value: value}, err
}

// DecodeLayout decodes the value of the row with the layout. Its errors are of type batch.ErrInvalid.
func DecodeLayout(value []byte) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(value, &l); err != nil {
		return l, batch.ErrInvalid.Wrap(err, "cannot decode the layout of the store")
	}
	if l.IntakeParts < 1 || l.IntakeParts > maxIntakeParts {
		return l, batch.ErrInvalid.New("the layout of the store has %d intake parts, 1 to %d are allowed", l.IntakeParts, maxIntakeParts)
	}
	return l, nil
}

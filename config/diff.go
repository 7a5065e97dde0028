package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Kind is the kind of a change to a section or to one of its fields.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// ChangeFields holds the values of a Change.
type ChangeFields struct {
	Kind    Kind            `json:"kind"`
	Section string          `json:"section"`         // such as "pool/citation" or "weights"
	Field   string          `json:"field,omitempty"` // such as "capacity"; "" when the whole section was added or removed
	Old     json.RawMessage `json:"old,omitempty"`   // value before; nil for none
	New     json.RawMessage `json:"new,omitempty"`   // value after; nil for none
}

// Change is one difference between two configurations.
type Change struct{ f ChangeFields }

// Kind returns the kind of the change.
func (c Change) Kind() Kind { return c.f.Kind }

// Section returns the section, such as "pool/citation".
func (c Change) Section() string { return c.f.Section }

// Field returns the name of the changed field, or "" when the whole section was added or removed.
func (c Change) Field() string { return c.f.Field }

// Old returns the JSON value before the change, or nil.
func (c Change) Old() json.RawMessage { return c.f.Old }

// New returns the JSON value after the change, or nil.
func (c Change) New() json.RawMessage { return c.f.New }

// String returns the change in readable form, for example "pool/citation capacity: 9 -> 10".
func (c Change) String() string {
	switch {
	case c.f.Field == "" && c.f.Kind == Added:
		return "+ " + c.f.Section
	case c.f.Field == "":
		return "- " + c.f.Section
	}
	return fmt.Sprintf("~ %s %s: %s -> %s", c.f.Section, c.f.Field, orNone(c.f.Old), orNone(c.f.New))
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) { return json.Marshal(c.f) }

// UnmarshalJSON implements json.Unmarshaler.
func (c *Change) UnmarshalJSON(body []byte) error { return json.Unmarshal(body, &c.f) }

func orNone(value json.RawMessage) string {
	if value == nil {
		return "(none)"
	}
	return string(value)
}

// Diff returns the changes between two configurations, sorted by section and field; from is nil for the first
// configuration.
func Diff(from, to *Configuration) []Change {
	var changes []Change
	before, after := sectionsByName(from), sectionsByName(to)
	for _, section := range union(before, after) {
		old, existed := before[section]
		updated, exists := after[section]
		switch {
		case !existed:
			changes = append(changes, Change{ChangeFields{Kind: Added, Section: section, New: updated}})
		case !exists:
			changes = append(changes, Change{ChangeFields{Kind: Removed, Section: section, Old: old}})
		case !bytes.Equal(old, updated):
			changes = append(changes, fieldChanges(section, old, updated)...)
		}
	}
	return changes
}

func fieldChanges(section string, old, updated json.RawMessage) []Change {
	var before, after map[string]json.RawMessage
	if json.Unmarshal(old, &before) != nil || json.Unmarshal(updated, &after) != nil { // the section "name" is a string, not an object
		return []Change{{ChangeFields{Kind: Changed, Section: section, Field: section, Old: old, New: updated}}}
	}
	var changes []Change
	for _, field := range union(before, after) {
		if bytes.Equal(before[field], after[field]) {
			continue
		}
		changes = append(changes, Change{ChangeFields{Kind: Changed, Section: section, Field: field,
			Old: before[field], New: after[field]}})
	}
	return changes
}

func union(a, b map[string]json.RawMessage) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]json.RawMessage{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// sectionsByName returns the JSON of each section of a configuration: "name" and "weights", and one section per zone,
// pool, service, team and job, such as "zone/a" and "pool/x".
func sectionsByName(c *Configuration) map[string]json.RawMessage {
	if c == nil {
		return nil
	}
	w := toWire(c.f)
	all := map[string]json.RawMessage{"name": marshal(w.Name), "weights": marshal(w.Weights)}
	for _, z := range w.Zones {
		all["zone/"+z.Name] = marshal(z)
	}
	for _, p := range w.Pools {
		all["pool/"+p.Name] = marshal(p)
	}
	for _, s := range w.Services {
		all["service/"+s.Name] = marshal(s)
	}
	for _, t := range w.Teams {
		all["team/"+t.Name] = marshal(t)
	}
	for _, j := range w.Jobs {
		all["job/"+j.Name] = marshal(j)
	}
	return all
}

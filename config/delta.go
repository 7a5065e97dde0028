package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("config")

// The types of errors of deltas and stored rows.
var (
	ErrDelta  = Errors.NewType("delta")  // the delta itself is faulty, or its result has another digest
	ErrBase   = Errors.NewType("base")   // the delta was made for another configuration
	ErrStored = Errors.NewType("stored") // the row config/current cannot be read

	// ErrOmitted says that the sections were left out of the row; the body must be fetched.
	ErrOmitted = Errors.NewType("omitted")
)

// DeltaFields holds the values of a Delta while it is built or decoded.
type DeltaFields struct {
	Base   string                     `json:"base"`             // digest before; "" for the first configuration
	Result string                     `json:"result"`           // digest after
	Set    map[string]json.RawMessage `json:"set,omitempty"`    // whole sections by name, added or replaced
	Remove []string                   `json:"remove,omitempty"` // names of sections, sorted
	// Omitted says that Set and Remove were left out because they are too large for a row.
	Omitted bool `json:"omitted,omitempty"`
}

// Delta is what turns one configuration into the next at the level of named sections.
type Delta struct{ f DeltaFields }

// Omitted reports whether the sections were left out, so that the delta cannot be applied.
func (d Delta) Omitted() bool { return d.f.Omitted }

// Base returns the digest of the configuration that the delta applies onto, or "" for none.
func (d Delta) Base() string { return d.f.Base }

// Result returns the digest of the configuration that the delta leads to.
func (d Delta) Result() string { return d.f.Result }

// Sections returns the names of the sections that the delta sets or removes, sorted.
func (d Delta) Sections() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(d.f.Set)), d.f.Remove...)))
}

// MarshalJSON writes the fields in kebab case.
func (d Delta) MarshalJSON() ([]byte, error) { return marshal(d.f), nil }

// UnmarshalJSON reads what MarshalJSON writes.
func (d *Delta) UnmarshalJSON(body []byte) error {
	if err := json.Unmarshal(body, &d.f); err != nil {
		return ErrDelta.Wrap(err, "delta")
	}
	return nil
}

// NewDelta returns the delta from one configuration to the other; from may be nil.
func NewDelta(from, to *Configuration) Delta {
	f := DeltaFields{Result: Digest(to), Set: map[string]json.RawMessage{}}
	if from != nil {
		f.Base = Digest(from)
	}
	before, after := sectionsByName(from), sectionsByName(to)
	for section, body := range after {
		if !bytes.Equal(before[section], body) {
			f.Set[section] = body
		}
	}
	for section := range before {
		if _, exists := after[section]; !exists {
			f.Remove = append(f.Remove, section)
		}
	}
	slices.Sort(f.Remove)
	return Delta{f}
}

// Apply returns the configuration after the delta; base may be nil for the first one. It fails with ErrBase when the
// delta was made for another configuration, and with ErrDelta when the result is not the one that the delta states.
func Apply(base *Configuration, d Delta) (*Configuration, error) {
	digest := ""
	if base != nil {
		digest = Digest(base)
	}
	if digest != d.f.Base {
		return nil, ErrBase.New("the delta is for digest %q and the configuration has %q", d.f.Base, digest)
	}
	if d.f.Omitted {
		return nil, ErrOmitted.New("the delta to %q holds no sections", d.f.Result)
	}
	var w documentWire
	if base != nil {
		w = toWire(base.f)
	}
	for section, body := range d.f.Set {
		if err := w.set(section, body); err != nil {
			return nil, ErrDelta.Wrap(err, "section %q", section)
		}
	}
	for _, section := range d.f.Remove {
		if err := w.set(section, nil); err != nil {
			return nil, ErrDelta.Wrap(err, "section %q", section)
		}
	}
	// The digest stands for the checks of Decode: the submitter's server made it from a body without faults.
	next := New(toWire(w.fields()).fields())
	if got := Digest(next); got != d.f.Result {
		return nil, ErrDelta.New("the delta states digest %q and leads to %q", d.f.Result, got)
	}
	return next, nil
}

// set replaces the section of that name, such as "pool/citation"; a nil body removes it.
func (w *documentWire) set(section string, body json.RawMessage) error {
	kind, name, _ := strings.Cut(section, "/")
	switch kind {
	case "name":
		return json.Unmarshal(body, &w.Name)
	case "weights":
		return json.Unmarshal(body, &w.Weights)
	case "zone":
		return setSection(&w.Zones, name, body, func(z zoneWire) string { return z.Name })
	case "pool":
		return setSection(&w.Pools, name, body, func(p poolWire) string { return p.Name })
	case "service":
		return setSection(&w.Services, name, body, func(s serviceWire) string { return s.Name })
	case "team":
		return setSection(&w.Teams, name, body, func(t teamWire) string { return t.Name })
	case "job":
		return setSection(&w.Jobs, name, body, func(j jobWire) string { return j.Name })
	}
	return ErrDelta.New("no such kind of section")
}

func setSection[W any](list *[]W, name string, body json.RawMessage, nameOf func(W) string) error {
	kept := slices.DeleteFunc(*list, func(w W) bool { return nameOf(w) == name })
	if body != nil {
		var w W
		if err := json.Unmarshal(body, &w); err != nil {
			return err
		}
		kept = append(kept, w)
	}
	*list = kept
	return nil
}

// The places of the configuration in the platform.
const (
	CurrentKey   = "config/current" // table row with a Stored value
	objectPrefix = "config/"
)

// ObjectName returns the name of the body with that digest in the object store.
func ObjectName(digest string) string { return objectPrefix + digest }

// StoredFields holds the values of a Stored while it is built or decoded.
type StoredFields struct {
	Version   int64  `json:"version"` // counts submissions from 1
	Digest    string `json:"digest"`
	Previous  string `json:"previous-digest"` // "" for version 1
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
	Delta     Delta  `json:"delta"` // from the previous version
}

// maxStoredDelta bounds the delta in the row config/current in bytes. Every process polls that row once a second and
// may use 3 KB/s for all control work; an ordinary delta takes about 400 B.
const maxStoredDelta = 2048

// Stored is the value of the table row config/current.
type Stored struct{ f StoredFields }

// NewStored freezes the fields; a delta that is too large for the row keeps only its two digests.
func NewStored(f StoredFields) Stored {
	if len(marshal(f.Delta)) > maxStoredDelta {
		f.Delta = Delta{DeltaFields{Base: f.Delta.Base(), Result: f.Delta.Result(), Omitted: true}}
	}
	return Stored{f}
}

// DecodeStored reads the value of the row config/current; it fails with ErrStored.
func DecodeStored(value []byte) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(value, &s.f); err != nil {
		return Stored{}, ErrStored.Wrap(err, "row %s", CurrentKey)
	}
	if s.f.Version < 1 || s.f.Digest == "" || s.f.Delta.Result() != s.f.Digest {
		return Stored{}, ErrStored.New("row %s has version %d, digest %q and a delta to %q", CurrentKey, s.f.Version,
			s.f.Digest, s.f.Delta.Result())
	}
	return s, nil
}

// Encode returns the value of the row.
func (s Stored) Encode() []byte { return marshal(s.f) }

// Version returns the number of the configuration, counted from 1.
func (s Stored) Version() int64 { return s.f.Version }

// Digest returns the digest of the canonical body.
func (s Stored) Digest() string { return s.f.Digest }

// Previous returns the digest of the version before, or "".
func (s Stored) Previous() string { return s.f.Previous }

// Operation returns the operation id of the submission.
func (s Stored) Operation() string { return s.f.Operation }

// Operator returns the identity of the operator who submitted.
func (s Stored) Operator() string { return s.f.Operator }

// Delta returns the delta from the version before.
func (s Stored) Delta() Delta { return s.f.Delta }

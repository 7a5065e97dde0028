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
	ErrDelta  = Errors.NewType("delta")  // the delta is invalid, or its result has a digest other than the stated one
	ErrBase   = Errors.NewType("base")   // the delta was computed from another configuration
	ErrStored = Errors.NewType("stored") // the value of the row config/current is invalid

	// ErrOmitted is returned for a delta whose sections were omitted; the whole body must be fetched from the object
	// store instead.
	ErrOmitted = Errors.NewType("omitted")
)

// DeltaFields holds the values of a Delta while it is built or decoded.
type DeltaFields struct {
	Base   string                     `json:"base"`             // digest of the configuration before; "" for the first one
	Result string                     `json:"result"`           // digest of the configuration after
	Set    map[string]json.RawMessage `json:"set,omitempty"`    // added and replaced sections by name
	Remove []string                   `json:"remove,omitempty"` // names of removed sections, sorted
	// Omitted is set when Set and Remove are missing because they are too large for the table row.
	Omitted bool `json:"omitted,omitempty"`
}

// Delta is the difference between two successive configurations: the named sections to set and to remove. A section is
// one value such as "weights" or "pool/citation" (see sectionsByName).
type Delta struct{ f DeltaFields }

// Omitted reports whether the sections are missing because they were too large; such a delta cannot be applied.
func (d Delta) Omitted() bool { return d.f.Omitted }

// Base returns the digest of the configuration that the delta applies to, or "" for none.
func (d Delta) Base() string { return d.f.Base }

// Result returns the digest of the configuration that results from the delta.
func (d Delta) Result() string { return d.f.Result }

// Sections returns the names of the sections that the delta sets or removes, sorted.
func (d Delta) Sections() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(d.f.Set)), d.f.Remove...)))
}

// MarshalJSON implements json.Marshaler.
func (d Delta) MarshalJSON() ([]byte, error) { return marshal(d.f), nil }

// UnmarshalJSON implements json.Unmarshaler; it fails with ErrDelta.
func (d *Delta) UnmarshalJSON(body []byte) error {
	if err := json.Unmarshal(body, &d.f); err != nil {
		return ErrDelta.Wrap(err, "delta")
	}
	return nil
}

// NewDelta returns the delta between two configurations; from is nil for the first configuration.
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

// Apply returns the configuration that results from applying the delta to base, which is nil for the first
// configuration. It fails with ErrBase when the delta was computed from another configuration, with ErrOmitted when the
// delta has no sections, and with ErrDelta when a section is invalid or the result has a digest other than the stated one.
func Apply(base *Configuration, d Delta) (*Configuration, error) {
	digest := ""
	if base != nil {
		digest = Digest(base)
	}
	if digest != d.f.Base {
		return nil, ErrBase.New("the delta applies to digest %q, but the base configuration has digest %q", d.f.Base, digest)
	}
	if d.f.Omitted {
		return nil, ErrOmitted.New("the sections of the delta to digest %q were omitted", d.f.Result)
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
	// The checks of Decode need not be repeated: the server that accepted the submission computed the digest from a
	// validated body.
	// The conversion to the wire form sorts the sections, callers and methods.
	next := New(toWire(w.fields()).fields())
	if got := Digest(next); got != d.f.Result {
		return nil, ErrDelta.New("the delta states digest %q for its result, but applying it gave digest %q", d.f.Result, got)
	}
	return next, nil
}

// set adds or replaces a section, such as "pool/citation"; a nil body removes it.
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
	return ErrDelta.New("unknown kind of section")
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

// The locations of the configuration in the platform's table and object store.
const (
	CurrentKey   = "config/current" // key of the table row with a Stored value
	objectPrefix = "config/"
)

// ObjectName returns the name of the object that holds the canonical body with this digest.
func ObjectName(digest string) string { return objectPrefix + digest }

// StoredFields holds the values from which NewStored builds a Stored.
type StoredFields struct {
	Version   int64  `json:"version"` // number of the submission, from 1
	Digest    string `json:"digest"`
	Previous  string `json:"previous-digest"` // digest of the version before; "" for version 1
	Operation string `json:"operation"`       // operation id of the submission
	Operator  string `json:"operator"`        // identity of the operator who submitted
	Delta     Delta  `json:"delta"`           // from the version before
}

// maxStoredDelta is the maximum size of the delta in the row config/current, in bytes. Every process polls that row once
// per second and may use 3 KB/s for all control traffic; a typical delta takes about 400 B.
const maxStoredDelta = 2048

// Stored is the value of the table row config/current: the metadata of the latest submitted version and the delta that
// leads to it. The body is in the object store under ObjectName.
type Stored struct{ f StoredFields }

// NewStored returns the row value with these fields; of a delta that is too large for the row it keeps only the two
// digests and sets Omitted.
func NewStored(f StoredFields) Stored {
	if len(marshal(f.Delta)) > maxStoredDelta {
		f.Delta = Delta{DeltaFields{Base: f.Delta.Base(), Result: f.Delta.Result(), Omitted: true}}
	}
	return Stored{f}
}

// DecodeStored parses the value of the row config/current; it fails with ErrStored when the value is not valid JSON, or
// its version or digests are missing or inconsistent.
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

// Encode returns the JSON value of the row.
func (s Stored) Encode() []byte { return marshal(s.f) }

// Version returns the version of the configuration, from 1.
func (s Stored) Version() int64 { return s.f.Version }

// Digest returns the digest of the canonical body.
func (s Stored) Digest() string { return s.f.Digest }

// Previous returns the digest of the version before, or "" for version 1.
func (s Stored) Previous() string { return s.f.Previous }

// Operation returns the operation id of the submission.
func (s Stored) Operation() string { return s.f.Operation }

// Operator returns the identity of the operator who submitted the version.
func (s Stored) Operator() string { return s.f.Operator }

// Delta returns the delta from the version before.
func (s Stored) Delta() Delta { return s.f.Delta }

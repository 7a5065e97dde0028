package precheck

import (
	"encoding/json"
	"fmt"

	"magnoliaferry/batch"
)

// Effect says when a change takes effect.
type Effect string

// The effects.
const (
	AtOnce          Effect = "at-once"            // one owner decides, also about accepted jobs, from when it reads the version
	OnConfiguration Effect = "configuration-time" // each instance by itself: until all have read the version, callers may get either answer
	OnRevocation    Effect = "revocation-limit"   // at the latest that long after the store has accepted the version
	NewJobs         Effect = "new-jobs"           // accepted jobs go on as before
	WithoutEffect   Effect = "none"               // instances do not read it
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	kind    Kind
	section string
	text    string
	effect  Effect
}

// Kind returns the kind of the change.
func (c Change) Kind() Kind { return c.kind }

// Section returns the entry that changes, such as "queue/reports".
func (c Change) Section() string { return c.section }

// Text returns what changes in the entry, such as "priority: 1 -> 0"; "" if nothing is to be said beyond the kind.
func (c Change) Text() string { return c.text }

// Effect returns when the change takes effect.
func (c Change) Effect() Effect { return c.effect }

// String formats the change for operators, for example "~ queue/reports priority: 1 -> 0 [at-once]".
func (c Change) String() string {
	sign := map[Kind]string{Added: "+", Removed: "-", Changed: "~"}[c.kind]
	if c.text == "" {
		return fmt.Sprintf("%s %s [%s]", sign, c.section, c.effect)
	}
	return fmt.Sprintf("%s %s %s [%s]", sign, c.section, c.text, c.effect)
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Kind    Kind   `json:"kind"`
		Section string `json:"section"`
		Text    string `json:"text,omitempty"`
		Effect  Effect `json:"effect"`
	}{c.kind, c.section, c.text, c.effect})
}

// Compare returns what a configuration changes in the one in force, in the order of the sections. Of entries with one name, the first counts.
func Compare(inForce, next *Draft) []Change {
	c := &comparison{before: inForce, after: next, changes: []Change{}}
	c.access()
	c.queues()
	c.customers()
	c.pools()
	if inForce.BodyLimit != next.BodyLimit {
		c.add(Changed, "limits", WithoutEffect, "bytes of a body: %d -> %d", inForce.BodyLimit, next.BodyLimit)
	}
	return c.changes
}

type comparison struct {
	before, after *Draft
	changes       []Change
}

func (c *comparison) add(kind Kind, section string, effect Effect, format string, arguments ...any) {
	c.changes = append(c.changes, Change{kind, section, fmt.Sprintf(format, arguments...), effect})
}

// changed adds a change of a value if it has changed.
func changed[V comparable](c *comparison, section string, effect Effect, what string, before, after V) {
	if before != after {
		c.add(Changed, section, effect, "%s: %v -> %v", what, before, after)
	}
}

// access compares whether queues that are not public need a key.
func (c *comparison) access() {
	switch before, after := len(c.before.Customers) > 0, len(c.after.Customers) > 0; {
	case after && !before:
		c.add(Changed, "access", OnConfiguration, "calls to queues that are not public need a key")
	case before && !after:
		c.add(Changed, "access", OnConfiguration, "no queue needs a key, unless the settings have a revocation-limit")
	}
}

func (c *comparison) queues() {
	before, after := byName(c.before.Queues, queueName), byName(c.after.Queues, queueName)
	// A queue that keeps its address under another name keeps its jobs.
	renamed, formerNames := map[batch.Address]*Queue{}, map[string]bool{}
	for _, q := range before.all {
		if after.named[q.Name] == nil {
			renamed[q.Address()] = q
		}
	}
	for _, q := range after.all {
		section := "queue/" + q.Name
		old := before.named[q.Name]
		if former := renamed[q.Address()]; old == nil && former != nil {
			old = former
			formerNames[former.Name] = true
			c.add(Changed, section, OnConfiguration, "name: %s -> %s; it keeps its jobs", former.Name, q.Name)
		}
		if old == nil {
			c.add(Added, section, OnConfiguration, "at %s%s, pool %s", q.Host, q.Prefix, q.Pool)
			continue
		}
		if old.Address() != q.Address() {
			c.add(Changed, section, OnConfiguration, "address: %s%s -> %s%s; calls to the old one are answered 404", old.Host, old.Prefix, q.Host, q.Prefix)
		}
		changed(c, section, NewJobs, "pool", old.Pool, q.Pool)
		changed(c, section, AtOnce, "priority", old.Priority, q.Priority)
		changed(c, section, AtOnce, "attempts", old.MaxAttempts, q.MaxAttempts)
		changed(c, section, AtOnce, "stretch", old.Stretch, q.Stretch)
		changed(c, section, AtOnce, "objective-ms", old.Objective, q.Objective)
		changed(c, section, AtOnce, "advisor", old.Advised, q.Advised)
		changed(c, section, OnConfiguration, "public", old.Public, q.Public)
		changed(c, section, WithoutEffect, "time-out-ms", old.Timeout, q.Timeout)
	}
	for _, q := range before.all {
		if after.named[q.Name] == nil && !formerNames[q.Name] {
			c.add(Removed, "queue/"+q.Name, OnConfiguration, "calls are answered 404; accepted jobs run on")
		}
	}
}

func (c *comparison) customers() {
	before, after := byName(c.before.Customers, customerName), byName(c.after.Customers, customerName)
	for _, customer := range after.all {
		section := "customer/" + customer.Name
		old := before.named[customer.Name]
		if old == nil {
			c.add(Added, section, OnConfiguration, "keys: %d added", len(keySet(customer)))
			continue
		}
		added, withdrawn := without(keySet(customer), keySet(old)), without(keySet(old), keySet(customer))
		if added > 0 {
			c.add(Changed, section, OnConfiguration, "keys: %d added", added)
		}
		if withdrawn > 0 {
			c.add(Changed, section, OnRevocation, "keys: %d withdrawn", withdrawn)
		}
		changed(c, section, AtOnce, "weight", old.Weight, customer.Weight)
		changed(c, section, AtOnce, "cap of thousandths of a core", capText(old.Cap.CPU), capText(customer.Cap.CPU))
		changed(c, section, AtOnce, "cap of MB", capText(old.Cap.MemoryMB), capText(customer.Cap.MemoryMB))
		changed(c, section, AtOnce, "cap of accelerators", capText(old.Cap.GPUs), capText(customer.Cap.GPUs))
	}
	jobs := "accepted jobs run on, and no caller sees them"
	if len(after.all) == 0 {
		jobs = "accepted jobs run on" // callers without keys see all jobs
	}
	for _, customer := range before.all {
		if after.named[customer.Name] == nil {
			c.add(Removed, "customer/"+customer.Name, OnRevocation, "keys: %d withdrawn; %s", len(keySet(customer)), jobs)
		}
	}
}

func (c *comparison) pools() {
	before, after := byName(c.before.Pools, poolName), byName(c.after.Pools, poolName)
	for _, p := range after.all {
		section := "pool/" + p.Name
		old := before.named[p.Name]
		if old == nil {
			c.add(Added, section, OnConfiguration, "")
			continue
		}
		changed(c, section, AtOnce, "standby", old.Standby, p.Standby)
	}
	for _, p := range before.all {
		if after.named[p.Name] == nil {
			c.add(Removed, "pool/"+p.Name, OnConfiguration, "its accepted jobs run on until the instances restart")
		}
	}
}

func queueName(q *Queue) string       { return q.Name }
func customerName(c *Customer) string { return c.Name }
func poolName(p *batch.Pool) string   { return p.Name }

// entries are the entries of a section without those that repeat a name.
type entries[E any] struct {
	all   []*E
	named map[string]*E
}

func byName[E any](list []E, name func(*E) string) entries[E] {
	e := entries[E]{named: map[string]*E{}}
	for i := range list {
		if entry := &list[i]; e.named[name(entry)] == nil {
			e.all, e.named[name(entry)] = append(e.all, entry), entry
		}
	}
	return e
}

func keySet(c *Customer) map[batch.KeyHash]bool {
	set := map[batch.KeyHash]bool{}
	for _, key := range c.Keys {
		if key != (batch.KeyHash{}) && c.Name != "" {
			set[key] = true
		}
	}
	return set
}

// without returns the number of keys that are in a set and not in another.
func without(set, other map[batch.KeyHash]bool) int {
	n := 0
	for key := range set {
		if !other[key] {
			n++
		}
	}
	return n
}

func capText(amount int) string {
	if amount == 0 {
		return "none"
	}
	return fmt.Sprint(amount)
}

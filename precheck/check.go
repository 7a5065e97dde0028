package precheck

import (
	"fmt"
	"strings"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/diag"
)

// A cap below these amounts has no room for one task of usual size, and was probably written in another unit.
const (
	minCapCPU      = 1000 // thousandths of a core
	minCapMemoryMB = 128
)

// Instance is what the check knows about the instances that will read the configuration.
type Instance struct {
	File               string       // of the settings
	RevocationLimit    clock.Millis // within which a withdrawn key ends everywhere; 0 if there is no limit
	MinRevocationLimit clock.Millis // below which keys are refused whenever the store is slow
	LeaseLimit         clock.Millis // longest lease of a worker
	MinLeaseLimit      clock.Millis // time until another instance renews the leases of an owner that was lost
	HasAdvisor         bool
	HasMachines        bool // sends orders for machines
}

// Report is the result of a check.
type Report struct {
	faults   diag.List
	warnings diag.List
}

// Faults returns what cannot be meant: entries and values that have no effect.
func (r Report) Faults() diag.List { return r.faults }

// Warnings returns what may be meant but is unusual.
func (r Report) Warnings() diag.List { return r.warnings }

// Check checks a draft. instance is nil if the settings of the instances are not known, and inForce if the version in force is not.
func Check(d *Draft, instance *Instance, inForce *Draft) Report {
	c := &checker{draft: d}
	c.version(inForce)
	c.names()
	c.queues()
	c.pools()
	c.keys()
	c.numbers()
	c.access(instance)
	if instance != nil {
		c.instance(instance)
	}
	return c.report
}

type checker struct {
	draft  *Draft
	report Report
}

func (c *checker) fault(code diag.Code, r Ref, format string, arguments ...any) {
	c.report.faults.Add(c.draft.diagnostic(code, r, fmt.Sprintf(format, arguments...)))
}

func (c *checker) warning(code diag.Code, r Ref, format string, arguments ...any) {
	c.report.warnings.Add(c.draft.diagnostic(code, r, fmt.Sprintf(format, arguments...)))
}

// version finds a version that instances ignore, and a file that was probably not meant as an operators' configuration.
func (c *checker) version(inForce *Draft) {
	d, place := c.draft, Ref{SectionFile, 0, FieldVersion, 0}
	if !d.has(place) {
		c.fault(CodeNoVersion, place, "the configuration has no version")
		return
	}
	if inForce != nil && d.Version <= inForce.Version && d.Digest != inForce.Digest {
		c.fault(CodeVersion, place, "version %d is not above %d, which is in force: instances ignore it and, where keys are to be confirmed, accept none",
			d.Version, inForce.Version)
	}
}

// names finds names that are missing or used twice in a section.
func (c *checker) names() {
	d := c.draft
	for _, section := range []struct {
		section Section
		kind    string
		length  int
		name    func(i int) string
	}{
		{SectionQueues, "queue", len(d.Queues), func(i int) string { return d.Queues[i].Name }},
		{SectionCustomers, "customer", len(d.Customers), func(i int) string { return d.Customers[i].Name }},
		{SectionPools, "pool", len(d.Pools), func(i int) string { return d.Pools[i].Name }},
	} {
		first := map[string]int{}
		for i := range section.length {
			name, place := section.name(i), Ref{section.section, i, FieldName, 0}
			if name == "" {
				c.fault(CodeNoName, place, "a %s has no name", section.kind)
				continue
			}
			if j, ok := first[name]; ok {
				c.fault(CodeDuplicateName, place, "the name %q is that of the %s on line %d", name, section.kind,
					d.place(Ref{section.section, j, FieldName, 0}).Line)
				continue
			}
			first[name] = i
		}
	}
}

// queues finds queues that no call reaches or whose jobs no worker runs.
func (c *checker) queues() {
	d := c.draft
	pools := map[string]bool{}
	for _, p := range d.Pools {
		pools[p.Name] = true
	}
	first := map[batch.Address]int{}
	for i := range d.Queues {
		q := &d.Queues[i]
		if j, ok := first[q.Address()]; ok {
			c.fault(CodeNeverMatches, Ref{SectionQueues, i, FieldPrefix, 0}, "queue %q never matches: queue %q on line %d has the same host and prefix",
				q.Name, d.Queues[j].Name, d.place(Ref{SectionQueues, j, FieldEntry, 0}).Line)
		} else {
			first[q.Address()] = i
		}
		if q.Host == "" {
			c.fault(CodeNeverMatches, Ref{SectionQueues, i, FieldHost, 0}, "queue %q never matches: it has no host", q.Name)
		}
		if !strings.HasPrefix(q.Prefix, "/") || strings.ContainsAny(q.Prefix, "?#") {
			c.fault(CodeNeverMatches, Ref{SectionQueues, i, FieldPrefix, 0}, "queue %q never matches: %q is not the beginning of a path", q.Name, q.Prefix)
		}
		if !pools[q.Pool] {
			c.fault(CodeUnknownPool, Ref{SectionQueues, i, FieldPool, 0}, "queue %q names the pool %q, which is not declared", q.Name, q.Pool)
		}
	}
}

// pools finds pools whose workers have nothing to run.
func (c *checker) pools() {
	used := map[string]bool{}
	for i := range c.draft.Queues {
		used[c.draft.Queues[i].Pool] = true
	}
	for i, p := range c.draft.Pools {
		if !used[p.Name] && !p.Standby {
			c.warning(CodePoolWithoutQueue, Ref{SectionPools, i, FieldEntry, 0}, "pool %q is on but no queue uses it", p.Name)
		}
	}
}

// keys finds keys that instances ignore, and customers without keys. Texts name the customer and never a key.
func (c *checker) keys() {
	owner := map[batch.KeyHash]int{}
	for i := range c.draft.Customers {
		customer := &c.draft.Customers[i]
		for k, key := range customer.Keys {
			place := Ref{SectionCustomers, i, FieldKeys, k + 1}
			other, known := owner[key]
			switch {
			case key == (batch.KeyHash{}):
				c.fault(CodeIgnoredKey, place, "an empty key of customer %q is ignored", customer.Name)
				continue
			case customer.Name == "":
				c.fault(CodeIgnoredKey, place, "a key of a customer without a name is ignored")
				continue
			case known && other == i:
				c.warning(CodeSameKeyAgain, place, "customer %q has this key twice", customer.Name)
			case known:
				c.fault(CodeKeyOfTwo, place, "customer %q has a key of customer %q; its calls are those of the last customer that has it",
					customer.Name, c.draft.Customers[other].Name)
			}
			owner[key] = i
		}
		if len(keySet(customer)) == 0 {
			c.warning(CodeNoKeys, Ref{SectionCustomers, i, FieldKeys, 0}, "customer %q has no key and cannot hand in jobs", customer.Name)
		}
	}
}

// numbers finds numbers that are out of range or contradict each other.
func (c *checker) numbers() {
	d := c.draft
	for i := range d.Queues {
		q := &d.Queues[i]
		at := func(f Field) Ref { return Ref{SectionQueues, i, f, 0} }
		c.notNegative(at(FieldPriority), "priority", float64(q.Priority))
		c.notNegative(at(FieldStretch), "stretch", q.Stretch)
		c.notNegative(at(FieldObjective), "objective", float64(q.Objective))
		c.notNegative(at(FieldTimeout), "time-out", float64(q.Timeout))
		c.atLeastOne(at(FieldMaxAttempts), "number of attempts", float64(q.MaxAttempts))
		if q.Timeout > 0 && q.Timeout < q.Objective {
			c.warning(CodeTimeout, at(FieldTimeout), "queue %q has a time-out of %d ms, below its objective of %d ms", q.Name, q.Timeout, q.Objective)
		}
	}
	for i := range d.Customers {
		customer := &d.Customers[i]
		at := func(f Field) Ref { return Ref{SectionCustomers, i, f, 0} }
		c.atLeastOne(at(FieldWeight), "weight", customer.Weight)
		c.notNegative(at(FieldCapCPU), "cap", float64(customer.Cap.CPU))
		c.notNegative(at(FieldCapMemory), "cap", float64(customer.Cap.MemoryMB))
		c.notNegative(at(FieldCapGPUs), "cap", float64(customer.Cap.GPUs))
		if amount := customer.Cap.CPU; amount > 0 && amount < minCapCPU {
			c.warning(CodeTinyCap, at(FieldCapCPU), "customer %q may use %d thousandths of a core, less than one core", customer.Name, amount)
		}
		if amount := customer.Cap.MemoryMB; amount > 0 && amount < minCapMemoryMB {
			c.warning(CodeTinyCap, at(FieldCapMemory), "customer %q may use %d MB, less than %d", customer.Name, amount, minCapMemoryMB)
		}
	}
	limit := Ref{SectionFile, 0, FieldBodyLimit, 0}
	c.notNegative(limit, "limit", float64(d.BodyLimit))
	if d.BodyLimit > d.MaxBody {
		c.warning(CodeBodyLimit, limit, "bodies of up to %d bytes are declared, but instances refuse those above %d", d.BodyLimit, d.MaxBody)
	}
}

func (c *checker) notNegative(r Ref, what string, value float64) {
	if value < 0 {
		c.fault(CodeNegative, r, "a %s of %g is below 0", what, value)
	}
}

// atLeastOne checks a number for which instances take 1 if it is 0, and which may be missing.
func (c *checker) atLeastOne(r Ref, what string, value float64) {
	c.notNegative(r, what, value)
	if value == 0 && c.draft.has(r) {
		c.warning(CodeCountsAsOne, r, "a %s of 0 counts as 1", what)
	}
}

// access finds a configuration that needs keys which no caller can have.
func (c *checker) access(instance *Instance) {
	d := c.draft
	if len(d.Customers) == 0 && (instance == nil || instance.RevocationLimit == 0) {
		return // no queue needs a key
	}
	for i := range d.Customers {
		if len(keySet(&d.Customers[i])) > 0 {
			return
		}
	}
	for i := range d.Queues {
		if !d.Queues[i].Public {
			c.fault(CodeNoCallerHasKey, Ref{SectionQueues, i, FieldEntry, 0}, "queue %q needs a key, and no customer has one", d.Queues[i].Name)
		}
	}
}

// instance finds contradictions between the configuration and the settings, and among the settings.
func (c *checker) instance(instance *Instance) {
	d := c.draft
	setting := func(code diag.Code, path, format string, arguments ...any) {
		c.report.warnings.Add(diag.New(code, instance.File, 0, path, fmt.Sprintf(format, arguments...)))
	}
	for i := range d.Queues {
		if q := &d.Queues[i]; q.Advised && !instance.HasAdvisor {
			c.fault(CodeNoAdvisor, Ref{SectionQueues, i, FieldAdvisor, 0}, "queue %q needs the advisor, and the settings name none: its jobs do not start", q.Name)
		}
	}
	for i, p := range d.Pools {
		if p.Standby && !instance.HasMachines {
			c.warning(CodeStandbyNotUsed, Ref{SectionPools, i, FieldEntry, 0}, "the machines of standby pool %q stay off: instances with these settings send no orders for machines", p.Name)
		}
	}
	if limit := instance.RevocationLimit; limit > 0 && limit < instance.MinRevocationLimit {
		setting(CodeShortRevocation, "/revocation-limit", "within %d ms an instance cannot confirm keys while the store is slow; %d ms are enough", limit, instance.MinRevocationLimit)
	}
	if instance.LeaseLimit < instance.MinLeaseLimit {
		setting(CodeShortLease, "/lease-limit", "leases of %d ms lapse before another instance replaces a lost owner, which takes up to %d ms", instance.LeaseLimit, instance.MinLeaseLimit)
	}
}

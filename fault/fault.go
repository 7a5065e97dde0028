package fault

import (
	"sync"

	"magnoliaferry/clock"
)

// Kind is a fault that can be injected at a step.
type Kind string

// The kinds of faults.
const (
	None        Kind = ""
	Down        Kind = "down"         // refused, certainly without effect
	Slow        Kind = "slow"         // delayed, then carried out
	LoseRequest Kind = "lose-request" // never arrives; the sender sees no answer
	LoseAnswer  Kind = "lose-answer"  // takes effect; the sender sees no answer
)

// Injection is what a step has to do now.
type Injection struct {
	kind  Kind
	delay clock.Millis
}

// Kind returns the kind of fault, None for normal work.
func (i Injection) Kind() Kind { return i.kind }

// Delay returns for how long a Slow step waits, in milliseconds.
func (i Injection) Delay() clock.Millis { return i.delay }

type rule struct {
	injection Injection
	remaining int // steps it still applies to; -1 for all
}

// Injector holds the faults in force; a nil driver injects nothing.
type Injector struct {
	mu    sync.Mutex
	rules map[string]*rule // by step, or "zone:<zone>" for a zone that is cut off
	steps map[string]int   // how often each step was reached
}

// Always injects kind at every visit of step until Clear; delay is used by Slow.
func (d *Injector) Always(step string, kind Kind, delay clock.Millis) { d.set(step, kind, delay, -1) }

// Next injects kind at the next count visits of step.
func (d *Injector) Next(step string, kind Kind, count int) { d.set(step, kind, 0, count) }

// Partition cuts a zone off: At answers Down for every step of that zone until Heal.
func (d *Injector) Partition(zone string) { d.set("zone:"+zone, Down, 0, -1) }

// Heal ends the partition of a zone.
func (d *Injector) Heal(zone string) { d.Clear("zone:" + zone) }

// Clear removes the fault of a step.
func (d *Injector) Clear(step string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.rules, step)
}

// ClearAll removes every fault.
func (d *Injector) ClearAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules = nil
}

// Hits returns how often a step was reached, so that a test can tell that its fault was met.
func (d *Injector) Hits(step string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps[step]
}

// At returns the fault for a visit of step by a process in zone (may be empty) and counts the visit.
func (d *Injector) At(step, zone string) Injection {
	if d == nil {
		return Injection{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.steps == nil {
		d.steps = make(map[string]int)
	}
	d.steps[step]++
	if r, cut := d.rules["zone:"+zone]; cut && zone != "" {
		return r.injection
	}
	r, ok := d.rules[step]
	if !ok {
		return Injection{}
	}
	if r.remaining > 0 {
		if r.remaining--; r.remaining == 0 {
			delete(d.rules, step)
		}
	}
	return r.injection
}

func (d *Injector) set(step string, kind Kind, delay clock.Millis, remaining int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rules == nil {
		d.rules = make(map[string]*rule)
	}
	d.rules[step] = &rule{Injection{kind, delay}, remaining}
}

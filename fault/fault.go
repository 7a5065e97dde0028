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
	Down        Kind = "down"         // refused, without effect
	Slow        Kind = "slow"         // delayed, then executed
	LoseRequest Kind = "lose-request" // the request is lost: no effect, and the sender gets no answer
	LoseAnswer  Kind = "lose-answer"  // the request takes effect, but the sender gets no answer
)

// Injection is the fault that a step must apply to one call.
type Injection struct {
	kind  Kind
	delay clock.Millis
}

// Kind returns the kind of fault; None means that the call proceeds normally.
func (i Injection) Kind() Kind { return i.kind }

// Delay returns the delay of the fault Slow in milliseconds.
func (i Injection) Delay() clock.Millis { return i.delay }

type rule struct {
	injection Injection
	remaining int // number of calls to which it still applies; -1 means all
}

// Injector injects the configured faults. At injects none on a nil Injector; the other methods need one that is not nil.
type Injector struct {
	mu    sync.Mutex
	rules map[string]*rule // by step, or "zone:<zone>" for a partitioned zone
	hits  map[string]int   // number of calls of each step
}

// Always injects kind at every call of step until Clear; delay applies only to Slow.
func (i *Injector) Always(step string, kind Kind, delay clock.Millis) { i.set(step, kind, delay, -1) }

// Next injects kind at the next count calls of step; count must be above 0.
func (i *Injector) Next(step string, kind Kind, count int) { i.set(step, kind, 0, count) }

// Partition separates a zone from the platform: At returns Down for every step of that zone until Heal.
func (i *Injector) Partition(zone string) { i.set("zone:"+zone, Down, 0, -1) }

// Heal ends the partition of a zone.
func (i *Injector) Heal(zone string) { i.Clear("zone:" + zone) }

// Clear removes the fault of a step.
func (i *Injector) Clear(step string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.rules, step)
}

// ClearAll removes every fault.
func (i *Injector) ClearAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules = nil
}

// Hits returns how often a step was called, with or without a fault.
func (i *Injector) Hits(step string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hits[step]
}

// At returns the fault for a call of step by a process in zone and counts the call. A partition of the zone takes precedence
// over a fault of the step, whose number of remaining calls it leaves unchanged. An empty zone is never partitioned.
func (i *Injector) At(step, zone string) Injection {
	if i == nil {
		return Injection{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.hits == nil {
		i.hits = make(map[string]int)
	}
	i.hits[step]++
	if r, partitioned := i.rules["zone:"+zone]; partitioned && zone != "" {
		return r.injection
	}
	r, ok := i.rules[step]
	if !ok {
		return Injection{}
	}
	if r.remaining > 0 {
		if r.remaining--; r.remaining == 0 {
			delete(i.rules, step)
		}
	}
	return r.injection
}

func (i *Injector) set(step string, kind Kind, delay clock.Millis, remaining int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rules == nil {
		i.rules = make(map[string]*rule)
	}
	i.rules[step] = &rule{Injection{kind, delay}, remaining}
}

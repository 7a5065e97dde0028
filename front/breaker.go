package front

import (
	"sync"

	"magnoliaferry/clock"
)

// Times of the breaker.
const (
	// breakerDelay is how long writes must have failed before the breaker opens. In a shorter outage callers wait, because being
	// refused and trying again takes them longer.
	breakerDelay = 700 * clock.Millis(1)
	// probePeriod is the time between two writes that an open breaker lets through.
	probePeriod = 250 * clock.Millis(1)
	// breakerMemory is how long a failure counts after it was sent. It is longer than a write takes to fail, so that the failures of probes
	// keep the breaker open during an outage.
	breakerMemory = 2 * clock.Second
)

// breaker is a circuit breaker for writes to the store, so that callers do not wait for a store that does not answer. When
// writes have failed for breakerDelay, it lets through one write per probePeriod until one succeeds. A write that it does not
// let through is never sent.
type breaker struct {
	mu           sync.Mutex
	failing      bool
	failingSince clock.Millis // when the first of the failed writes was sent
	lastFailed   clock.Millis // when the newest of the failed writes was sent
	lastOK       clock.Millis // when the newest write that succeeded was sent
	nextProbe    clock.Millis
}

// allow reports whether a write may be sent now. Each call that returns true while the breaker is open counts as a probe.
func (b *breaker) allow(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing || now-b.failingSince < breakerDelay {
		return true
	}
	if now-b.lastFailed > breakerMemory {
		b.failing = false
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now + probePeriod
	return true
}

// record records whether a write that was sent at the given time succeeded. A write that hung and failed says nothing about the store
// after a later one succeeded.
func (b *breaker) record(ok bool, sent clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failing, b.lastOK = false, max(b.lastOK, sent)
		return
	}
	if sent < b.lastOK {
		return
	}
	if !b.failing {
		b.failingSince = sent
	}
	b.failing, b.lastFailed = true, max(b.lastFailed, sent)
}

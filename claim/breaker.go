package claim

import (
	"math"

	"magnoliaferry/clock"
)

// Periods of the circuit breaker.
const (
	firstBackoff = 200 * clock.Millis(1) // until the first probe; doubles after each failure
	maxBackoff   = 5 * clock.Second
	// retrySpread is the length of the period over which the retries of refused callers are spread. It begins firstBackoff
	// after the next probe.
	retrySpread = 2 * clock.Second
)

// breaker is a circuit breaker: while open, claims are refused because the table is unavailable. After an outage it
// admits one claim, and twice as many after each successful transaction, so that the returning callers do not reach the
// table all at once.
type breaker struct {
	open      bool
	nextProbe clock.Millis // time of the next probe, while open
	backoff   clock.Millis
	limit     int // claims that may wait for the table; 0 for no limit
	refused   int // claims refused since the limit was last lifted
}

func (b *breaker) recordFailure(now clock.Millis) {
	b.backoff = min(max(2*b.backoff, firstBackoff), maxBackoff)
	b.open, b.nextProbe, b.limit = true, now+b.backoff, 1
}

// recordProbe closes the breaker after a probe was answered; the limit stays.
func (b *breaker) recordProbe() { b.open = false }

// recordSuccess doubles the limit after an answered transaction. It reports whether this lifted the limit, which
// happens when it reaches maxPending.
func (b *breaker) recordSuccess(maxPending int) (lifted bool) {
	b.open = false
	if b.limit == 0 {
		return false
	}
	if b.limit *= 2; b.limit < maxPending {
		return false
	}
	*b = breaker{}
	return true
}

// retryAfter returns the time until the next probe plus firstBackoff plus a part of retrySpread that differs for each
// refusal. The fractional parts of multiples of the golden ratio fill an interval evenly.
func (b *breaker) retryAfter(now clock.Millis) clock.Millis {
	b.refused++
	_, part := math.Modf(float64(b.refused) * math.Phi)
	return max(b.nextProbe-now, 0) + firstBackoff + clock.Millis(part*float64(retrySpread))
}

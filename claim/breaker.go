package claim

import (
	"math"

	"magnoliaferry/clock"
)

// Times of the breaker.
const (
	firstBackoff = 200 * clock.Millis(1)
	maxBackoff   = 5 * clock.Second
	// retrySpread spreads the repeats of refused callers over this time after the next probe.
	retrySpread = 2 * clock.Second
)

// breaker refuses claims while the table is away. After an outage it lets through one claim, and twice as many after
// each transaction that succeeds, so that the callers that come back do not arrive at the table together.
type breaker struct {
	open      bool
	nextProbe clock.Millis // of the next probe, while open
	backoff   clock.Millis
	limit     int // claims that may wait for the table; 0 for no limit
	refused   int // since the breaker opened
}

func (b *breaker) recordFailure(now clock.Millis) {
	b.backoff = min(max(2*b.backoff, firstBackoff), maxBackoff)
	b.open, b.nextProbe, b.limit = true, now+b.backoff, 1
}

// recordProbe says that a probe was answered.
func (b *breaker) recordProbe() { b.open = false }

// recordSuccess says that a transaction was answered; it reports whether the last limit was lifted.
func (b *breaker) recordSuccess(maxPending int) (closed bool) {
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

// retryAfter returns the time until the next probe and a part of the spread that differs from refusal to refusal; the
// multiples of the golden ratio fill an interval evenly.
func (b *breaker) retryAfter(now clock.Millis) clock.Millis {
	b.refused++
	_, part := math.Modf(float64(b.refused) * math.Phi)
	return max(b.nextProbe-now, 0) + firstBackoff + clock.Millis(part*float64(retrySpread))
}

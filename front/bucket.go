package front

import (
	"expvar"
	"sync"

	"magnoliaferry/clock"
)

// tombstonesDeferred counts the cancellations that were refused because there were too many.
var tombstonesDeferred = expvar.NewInt("cancels-deferred")

// bucketTime is the time for which a full bucket holds tokens: after an outage of the store, callers cancel many jobs at once.
const bucketTime = 10 * clock.Second

// bucket is a token bucket that bounds the writes of callers who cancel ids without a stored job. A crowd of them would take the rate of the store
// from jobs. The zero value is full.
type bucket struct {
	mu       sync.Mutex
	full     clock.Millis // time from which the bucket is full
	refused  int64        // since the last report
	reported clock.Millis // time of the last report
}

// take takes a token and returns 0, or returns the time until there is one. A rate of 0 sets no limit.
func (b *bucket) take(rate float64, now clock.Millis) clock.Millis {
	if rate <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	token := max(clock.Millis(float64(clock.Second)/rate), 1)
	full := max(b.full, now) + token
	if after := full - now - bucketTime; after > 0 {
		b.refused++
		return after
	}
	b.full = full
	return 0
}

// report returns the number of refusals since the last report, at most once in bucketTime; 0 otherwise.
func (b *bucket) report(now clock.Millis) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refused == 0 || b.reported != 0 && now-b.reported < bucketTime {
		return 0
	}
	refused := b.refused
	b.refused, b.reported = 0, now
	return refused
}

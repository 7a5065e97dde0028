package worker

import (
	"sync"
	"sync/atomic"

	"magnoliaferry/clock"
)

// The limits of a RetryBudget.
const (
	budgetSeconds   = 10 // length of the window in seconds
	budgetPercent   = 10 // retries in percent of the requests of the window
	budgetPerSecond = 3  // further retries for each second of the window
)

// RetryBudget limits the retries of one pool to 10% of the requests of the last 10 s plus 3 per second.
type RetryBudget struct {
	// Clock measures the window.
	Clock *clock.Clock

	mu      sync.Mutex   // guards advance and TakeRetry; CountRequest only takes it once a second
	second  atomic.Int64 // the second that was counted last
	buckets [budgetSeconds]struct{ requests, retries atomic.Int64 }
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest() {
	second := int64(b.Clock.Now() / clock.Second)
	if b.second.Load() != second {
		b.mu.Lock()
		b.advance(second)
		b.mu.Unlock()
	}
	b.buckets[second%budgetSeconds].requests.Add(1)
}

// TakeRetry takes one retry from the budget, or reports that none is left.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	second := int64(b.Clock.Now() / clock.Second)
	b.advance(second)
	var requests, retries int64
	for i := range b.buckets {
		requests += b.buckets[i].requests.Load()
		retries += b.buckets[i].retries.Load()
	}
	if retries >= requests*budgetPercent/100+budgetPerSecond*budgetSeconds {
		return false
	}
	b.buckets[second%budgetSeconds].retries.Add(1)
	return true
}

// advance resets the buckets of the seconds between the last counted one and this one. The caller holds mu.
func (b *RetryBudget) advance(second int64) {
	last := b.second.Load()
	if second <= last {
		return
	}
	for s := max(last+1, second-budgetSeconds+1); s <= second; s++ {
		b.buckets[s%budgetSeconds].requests.Store(0)
		b.buckets[s%budgetSeconds].retries.Store(0)
	}
	b.second.Store(second)
}

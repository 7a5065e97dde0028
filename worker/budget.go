package worker

import (
	"sync"
	"sync/atomic"

	"magnoliaferry/clock"
)

const (
	budgetSeconds   = 10
	budgetPercent   = 10
	budgetPerSecond = 3 // a second
)

// Budget bounds the retries of one pool to 10% of the requests of the last 10 s plus 3 per second.
type Budget struct {
	// Clock measures the seconds.
	Clock *clock.Clock

	mu      sync.Mutex // only for the change of the second and for retries
	second  atomic.Int64
	buckets [budgetSeconds]struct{ requests, retries atomic.Int64 }
}

// Request counts a request.
func (b *Budget) Request() {
	second := int64(b.Clock.Now() / clock.Second)
	if b.second.Load() != second {
		b.mu.Lock()
		b.advance(second)
		b.mu.Unlock()
	}
	b.buckets[second%budgetSeconds].requests.Add(1)
}

// Retry takes one retry from the budget, or reports that none is left.
func (b *Budget) Retry() bool {
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

// advance empties the buckets of the seconds that have passed.
func (b *Budget) advance(second int64) {
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

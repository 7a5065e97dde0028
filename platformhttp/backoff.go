package platformhttp

import (
	"math/rand/v2"
	"sync"

	"magnoliaferry/clock"
)

// Backoff implements exponential backoff with jitter. After more than Tolerated failures in a row it blocks calls for a pause that
// doubles with each further failure. The jitter keeps the processes of a fleet from sending all their calls at the same
// moment when the platform recovers.
type Backoff struct {
	Clock *clock.Clock
	// First is the nominal length of the first pause and Limit that of the longest, in milliseconds.
	First, Limit clock.Millis
	// Tolerated is the number of failures in a row that cause no pause.
	Tolerated int
	// Random returns a number in [0, 1); nil uses the random source of the process.
	Random func() float64

	mu       sync.Mutex
	failures int
	until    clock.Millis // end of the pause
}

// Remaining returns the rest of the current pause in milliseconds; 0 allows calls.
func (b *Backoff) Remaining() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.until-b.Clock.Now())
}

// Succeeded ends the pause and resets the count of failures.
func (b *Backoff) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.until = 0, 0
}

// Failed counts a failure and, beyond the tolerated ones, starts a pause of between half and the whole of its nominal length.
func (b *Backoff) Failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.failures <= b.Tolerated {
		return
	}
	pause := b.Limit
	if doublings := b.failures - b.Tolerated - 1; doublings < 16 {
		pause = min(b.Limit, b.First<<doublings)
	}
	random := rand.Float64
	if b.Random != nil {
		random = b.Random
	}
	b.until = b.Clock.Now() + pause/2 + clock.Millis(random()*float64(pause)/2)
}

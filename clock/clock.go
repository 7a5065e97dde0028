package clock

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Millis is a duration, or a point in time since an arbitrary start, in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
	Day    Millis = 24 * Hour
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a time.Duration, rounded down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock is the system's monotonic clock or a fake clock; use System or NewFake to get one.
type Clock struct {
	origin time.Time // of the system clock
	fake   bool

	mu     sync.Mutex
	now    Millis
	seq    int64
	timers timers
}

type timer struct {
	due   Millis
	seq   int64 // orders timers that are due at the same time by their creation
	fire  func()
	index int // in the heap; -1 after removal
}

// timers is a heap ordered by due time. Simulations hold thousands of timers, and sorting them at each step would take
// most of their run time.
type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	return t[i].due < t[j].due || (t[i].due == t[j].due && t[i].seq < t[j].seq)
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	removed := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	removed.index = -1
	return removed
}

var system = &Clock{origin: time.Now()}

// System returns the monotonic clock of the process.
func System() *Clock { return system }

// NewFake returns a fake clock that shows start; only Advance changes its time.
func NewFake(start Millis) *Clock { return &Clock{fake: true, now: start} }

// Now returns the current time in milliseconds; only differences between two values of the same clock are
// meaningful.
func (c *Clock) Now() Millis {
	if !c.fake {
		return FromDuration(time.Since(c.origin))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc calls f after d: in its own goroutine, or for a fake clock within Advance. The returned stop cancels the call
// and reports whether it did so before the call began.
func (c *Clock) AfterFunc(d Millis, f func()) (stop func() bool) {
	if !c.fake {
		return time.AfterFunc(d.Duration(), f).Stop
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	t := &timer{due: c.now + d, seq: c.seq, fire: f}
	heap.Push(&c.timers, t)
	return func() bool { return c.remove(t) }
}

// After returns a channel that receives the time once, after d.
func (c *Clock) After(d Millis) <-chan Millis {
	ch := make(chan Millis, 1)
	c.AfterFunc(d, func() { ch <- c.Now() })
	return ch
}

// Sleep waits for d and returns nil, or returns the context's error as soon as the context ends.
func (c *Clock) Sleep(ctx context.Context, d Millis) error {
	done := make(chan struct{})
	stop := c.AfterFunc(d, func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}

// WithTimeout derives a context that ends after d on this clock. On a fake clock its Err is context.Canceled, and its
// cause context.DeadlineExceeded.
func (c *Clock) WithTimeout(ctx context.Context, d Millis) (context.Context, context.CancelFunc) {
	if !c.fake {
		return context.WithTimeout(ctx, d.Duration())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { stop(); cancel(context.Canceled) }
}

// Advance moves a fake clock forward by d and runs the timers that become due, in order of their due times. It panics on
// the system clock.
func (c *Clock) Advance(d Millis) {
	if !c.fake {
		panic("clock: Advance called on the system clock")
	}
	c.mu.Lock()
	end := c.now + d
	c.mu.Unlock()
	for {
		t := c.nextDue(end)
		if t == nil {
			return
		}
		t.fire()
	}
}

// PendingTimers returns the number of pending timers of a fake clock. Tests use it to wait until a goroutine sleeps.
func (c *Clock) PendingTimers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// nextDue removes and returns the first timer due by end and sets the time to its due time. If there is none, it sets the
// time to end and returns nil.
func (c *Clock) nextDue(end Millis) *timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.timers) == 0 || c.timers[0].due > end {
		c.now = max(c.now, end)
		return nil
	}
	t := heap.Pop(&c.timers).(*timer)
	c.now = max(c.now, t.due)
	return t
}

func (c *Clock) remove(t *timer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&c.timers, t.index)
	return true
}

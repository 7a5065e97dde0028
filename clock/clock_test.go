package clock

import (
	"context"
	"errors"
	"testing"
)

// Guards against timers that fire out of order, and against a clock that does not show their due time while they run.
func TestAdvanceRunsTimersInOrder(t *testing.T) {
	c := NewFake(100)
	var got []Millis
	record := func() { got = append(got, c.Now()) }
	c.AfterFunc(30, record)
	c.AfterFunc(10, func() { record(); c.AfterFunc(5, record) })
	stop := c.AfterFunc(20, record)
	if !stop() {
		t.Errorf("stop() got false, want true")
	}
	c.Advance(40)
	want := []Millis{110, 115, 130}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("times of the timers got %v, want %v", got, want)
	}
	if got, want := c.Now(), Millis(140); got != want {
		t.Errorf("Now() got %d, want %d", got, want)
	}
}

// Guards against a Sleep that continues after its context has ended, or leaves its timer behind.
func TestSleepEndsWithContext(t *testing.T) {
	c := NewFake(0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, want := c.Sleep(ctx, Hour), context.Canceled; !errors.Is(got, want) {
		t.Errorf("Sleep got %v, want %v", got, want)
	}
	if got, want := c.PendingTimers(), 0; got != want {
		t.Errorf("PendingTimers() got %d, want %d", got, want)
	}
}

// Guards against a timeout on a fake clock that does not end its context.
func TestWithTimeout(t *testing.T) {
	c := NewFake(0)
	ctx, cancel := c.WithTimeout(context.Background(), 50)
	defer cancel()
	c.Advance(49)
	if got := ctx.Err(); got != nil {
		t.Errorf("before the deadline got %v, want nil", got)
	}
	c.Advance(1)
	if got, want := context.Cause(ctx), context.DeadlineExceeded; got != want {
		t.Errorf("after the deadline got %v, want %v", got, want)
	}
}

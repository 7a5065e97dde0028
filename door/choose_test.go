package door

import (
	"testing"

	"magnoliaferry/clock"
)

func testLimits() Limits {
	return Limits{HeaderBytes: 1000, HeaderLines: 10, HeaderTimeout: 10 * clock.Second, IdleTimeout: 120 * clock.Second,
		BusyHeaderTimeout: 3 * clock.Second, BusyIdleTimeout: 15 * clock.Second, SlowGrace: 10 * clock.Second, MinimumRate: 4096,
		WriteTimeout: 10 * clock.Second}
}

// Guards against a slow client that keeps its connection, and against one on a slow link that loses it.
func TestOverdue(t *testing.T) {
	limits, now := testLimits(), 1000*clock.Second
	for name, test := range map[string]struct {
		phase    Phase
		age      clock.Millis
		received int64
		blocked  clock.Millis // age of the write
		busy     bool
		want     Reason
	}{
		"idle":                                {phase: Idle, age: 100 * clock.Second},
		"idle for too long":                   {phase: Idle, age: 121 * clock.Second, want: reasonIdle},
		"idle for too long while busy":        {phase: Idle, age: 16 * clock.Second, busy: true, want: reasonIdle},
		"headers":                             {phase: Headers, age: 4 * clock.Second},
		"slow headers":                        {phase: Headers, age: 11 * clock.Second, received: 5000, want: reasonHeaders},
		"slow headers while busy":             {phase: Headers, age: 4 * clock.Second, busy: true, want: reasonHeaders},
		"body without a byte, in grace":       {phase: Body, age: 10 * clock.Second},
		"body a byte short, after grace":      {phase: Body, age: 72 * clock.Second, received: 250_000, want: reasonSlow},
		"body on a slow link":                 {phase: Body, age: 60 * clock.Second, received: 250_000},
		"trickled body":                       {phase: Body, age: 11 * clock.Second, received: 220, want: reasonSlow},
		"request that waits for the store":    {phase: Serving, age: 200 * clock.Second},
		"answer on its way":                   {phase: Serving, age: 11 * clock.Second, blocked: 9 * clock.Second},
		"answer that is not read":             {phase: Serving, age: 11 * clock.Second, blocked: 11 * clock.Second, want: reasonUnread},
		"answer that is not read while busy":  {phase: Serving, age: 11 * clock.Second, blocked: 9 * clock.Second, busy: true},
		"connection that has just gone quiet": {phase: Idle, busy: true},
	} {
		c := connection{phase: test.phase, since: now - test.age, received: test.received}
		if test.blocked > 0 {
			c.blocked = now - test.blocked
		}
		if got := limits.overdue(c, now, test.busy); got != test.want {
			t.Errorf("%s: got reason %d, want %d", name, got, test.want)
		}
	}
}

// Guards against a newcomer that takes the place of a request which is being served, or of a client that is quicker than others.
func TestChooser(t *testing.T) {
	limits, now := testLimits(), 1000*clock.Second
	at := func(p Phase, age clock.Millis, received int64) connection {
		return connection{phase: p, since: now - age, received: received}
	}
	unread := at(Serving, 5*clock.Second, 0)
	unread.blocked = now - 2*clock.Second
	for name, test := range map[string]struct {
		connections []connection
		want        int // -1: none
	}{
		"longest idle":                    {[]connection{at(Idle, 10, 0), at(Idle, 30, 0), at(Idle, 20, 0)}, 1},
		"slow headers before idle":        {[]connection{at(Idle, clock.Minute, 0), at(Headers, 1100, 10)}, 1},
		"slow body before idle":           {[]connection{at(Idle, clock.Minute, 0), at(Body, 1100, 100)}, 1},
		"unread answer before idle":       {[]connection{at(Idle, clock.Minute, 0), unread}, 1},
		"idle before a body that is fast": {[]connection{at(Idle, 0, 0), at(Body, 2*clock.Second, 200_000)}, 0},
		"longest body":                    {[]connection{at(Body, 600, 90_000), at(Body, 800, 90_000)}, 1},
		"longest of those that have come": {[]connection{at(Headers, 40, 0), at(Body, 50, 0)}, 1},
		"none that is served":             {[]connection{at(Serving, clock.Minute, 0)}, -1},
	} {
		choose, got := chooser{limits: &limits, now: now}, -1
		for i, c := range test.connections {
			if choose.better(c) {
				got = i
			}
		}
		if got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
}

// Guards against a body that stops a byte short of its end and counts as nearly done, however old it is.
func TestExpectedEnd(t *testing.T) {
	for name, test := range map[string]struct {
		age               clock.Millis
		received, missing int64
		want              clock.Millis
	}{
		"steady":             {1000, 100_000, 150_000, 1500},
		"a byte short":       {5000, 249_999, 1, 5000},
		"nothing has come":   {1000, 0, 1000, 1_000_000},
		"just begun":         {0, 4096, 250_000, 0},
		"almost at its end":  {100, 240_000, 10_000, 100},
		"trickles to an end": {60_000, 249_990, 10, 60_000},
	} {
		if got := expectedEnd(test.age, test.received, test.missing); got != test.want {
			t.Errorf("%s: got %d ms, want %d", name, got, test.want)
		}
	}
}

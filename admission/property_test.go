package admission

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// Fixed seed and number of checks, so that every run has the same result; flags of the command line override them.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")

// Guards against these faults, in random orders of events: dispatch of expired requests, exceeded bounds, slots that
// leak or stay idle while a request could use them, and a caller with few requests that gets no place because another
// caller fills the queue.
func TestQueueInAnyOrder(t *testing.T) { rapid.Check(t, checkQueue) }

func checkQueue(t *rapid.T) {
	const slots, length, quota = 3, 13, 2
	b := newTestQueue(slots, length, quota)
	acquire := b.Acquire
	b.Acquire = func(r Request) (string, bool) {
		if b.Clock.Now() >= r.Deadline() {
			t.Fatalf("slot for a request that expired %d ms ago", b.Clock.Now()-r.Deadline())
		}
		return acquire(r)
	}
	var tickets []*Ticket[string]
	var running []string // teams
	pick := func(t *rapid.T) (found *Ticket[string]) {
		if len(tickets) > 0 {
			found = rapid.SampledFrom(tickets).Draw(t, "ticket")
		}
		return found
	}
	drop := func(x *Ticket[string]) {
		tickets = slices.DeleteFunc(tickets, func(o *Ticket[string]) bool { return o == x })
	}
	urgencies := []config.Urgency{config.Urgent, config.Normal, config.Batch}
	deadlines := []clock.Millis{50, clock.Second, 10 * clock.Second}
	enter := func(t *rapid.T) {
		caller := rapid.SampledFrom([]string{"flood", "flood", "flood", "b", "c"}).Draw(t, "caller")
		team := map[string]string{"flood": "x", "b": "x", "c": "y"}[caller]
		r := NewRequest(caller, team, rapid.SampledFrom(urgencies).Draw(t, "urgency"),
			b.Clock.Now()+rapid.SampledFrom(deadlines).Draw(t, "deadline"))
		others := 0
		for _, x := range tickets {
			if x.request.caller == caller && x.request.class == r.class && x.state == stateQueued {
				others++
			}
		}
		x, refusal := b.Enter(r)
		if refusal == nil {
			tickets = append(tickets, x)
		} else if longest := b.classes[r.class].longest(); refusal.Code() == CodeQueueFull && longest != nil &&
			len(longest.tickets) >= others+2 {
			t.Fatalf("caller with %d requests was refused while another one has %d", others, len(longest.tickets))
		}
	}
	wait := func(t *rapid.T) {
		x := pick(t)
		if x == nil || x.waiting {
			return
		}
		now := b.Clock.Now()
		if x.decided == nil {
			if team, ok := x.acquireFast(context.Background(), now); ok {
				running = append(running, team)
				drop(x)
				return
			}
		}
		if refusal := x.joinDispatch(context.Background(), now); refusal != nil {
			drop(x)
		}
	}
	finish := func(t *rapid.T) {
		if len(running) > 0 {
			b.Release(running[0])
			running = running[1:]
			b.Wake()
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"enter": enter, "enter more": enter, "enter most": enter, "wait": wait, "wait more": wait, "wait most": wait,
		"finish": finish, "finish more": finish,
		"end": func(t *rapid.T) {
			x := pick(t)
			if x == nil || x.decided == nil || (x.state == stateQueued && b.Clock.Now() < x.expiry) {
				return
			}
			if team, refusal := x.End(context.Background()); refusal == nil {
				running = append(running, team)
			}
			drop(x)
		},
		"leave": func(t *rapid.T) {
			if x := pick(t); x != nil {
				x.Leave()
				drop(x)
			}
		},
		"time": func(t *rapid.T) {
			b.Clock.Advance(clock.Millis(rapid.IntRange(1, 700).Draw(t, "time")))
			b.Wake()
		},
		"": func(t *rapid.T) {
			granted, queued, waiters := 0, 0, 0
			for _, x := range tickets {
				switch {
				case x.state == stateGranted:
					granted++
				case x.state == stateQueued && x.waiting:
					waiters++
					if b.free > 0 && b.teams[x.request.team] < quota && b.Clock.Now() < x.expiry {
						t.Fatalf("a slot is free while %s of team %s waits", x.request.caller, x.request.team)
					}
					fallthrough
				case x.state == stateQueued:
					queued++
				}
			}
			if b.free+granted+len(running) != slots {
				t.Fatalf("slots got %d free, %d granted and %d running, want %d", b.free, granted, len(running), slots)
			}
			if b.Length() > length || int(b.queued.Load()) != queued || int(b.waiters.Load()) != waiters {
				t.Fatalf("length got %d with %d queued and %d in Wait, want at most %d, %d and %d", b.Length(),
					b.queued.Load(), b.waiters.Load(), length, queued, waiters)
			}
		},
	})
}

// newAtomicQueue returns a queue over slots that are counted by an atomic, as in production.
func newAtomicQueue(c *clock.Clock, slots, length int) (*Queue[int], *atomic.Int64) {
	free := new(atomic.Int64)
	free.Store(int64(slots))
	return &Queue[int]{Clock: c, MaxLength: length, MaxWait: clock.Day,
		Acquire: func(Request) (int, bool) {
			if free.Add(-1) >= 0 {
				return 0, true
			}
			free.Add(1)
			return 0, false
		},
		Release: func(int) { free.Add(1) },
	}, free
}

// Guards against a wake-up that is lost between Wake, Enter and Wait. Wait would never return, because nothing expires.
func TestNoWakeUpIsLost(t *testing.T) {
	// The fake clock stands still, so that only a wake-up ends a wait.
	q, free := newAtomicQueue(clock.NewFake(0), 3, 64)
	var all sync.WaitGroup
	for i := range 32 {
		all.Go(func() {
			for j := range 300 {
				ctx, cancel := context.WithCancel(context.Background())
				ticket, refusal := q.Enter(NewRequest(fmt.Sprint(i%5), "", config.Normal, clock.Hour))
				if refusal != nil {
					t.Errorf("Enter got %v, want a place", refusal)
					cancel()
					return
				}
				if j%7 == i%7 {
					go cancel() // the caller leaves at about the time of the grant
				}
				if grant, refusal := ticket.Wait(ctx); refusal == nil {
					q.Release(grant)
					q.Wake()
				} else if refusal.Code() != CodeCallerLeft {
					t.Errorf("Wait got %v, want a slot", refusal)
				}
				cancel()
			}
		})
	}
	all.Wait()
	if free.Load() != 3 || q.Length() != 0 {
		t.Errorf("at the end got %d free and length %d, want 3 and 0", free.Load(), q.Length())
	}
}

// BenchmarkFastPath measures Enter, Wait, Release and Wake while a slot is free.
func BenchmarkFastPath(b *testing.B) {
	q, _ := newAtomicQueue(clock.System(), 1000, 200)
	b.RunParallel(func(pb *testing.PB) {
		r := NewRequest("c", "t", config.Normal, q.Clock.Now()+clock.Hour)
		for pb.Next() {
			ticket, refusal := q.Enter(r)
			if refusal != nil {
				b.Fatal(refusal)
			}
			grant, refusal := ticket.Wait(context.Background())
			if refusal != nil {
				b.Fatal(refusal)
			}
			q.Release(grant)
			q.Wake()
		}
	})
}

// BenchmarkQueued measures dispatch under the lock while 100 requests wait, without and with Queue.Free set.
func BenchmarkQueued(b *testing.B) {
	b.Run("without-free", func(b *testing.B) { benchmarkQueued(b, false) })
	b.Run("with-free", func(b *testing.B) { benchmarkQueued(b, true) })
}

func benchmarkQueued(b *testing.B, withFree bool) {
	q, free := newAtomicQueue(clock.System(), 0, 200)
	if withFree {
		q.Free = func() int { return int(free.Load()) }
	}
	tickets := make([]*Ticket[int], 0, 101)
	enter := func(i int) {
		urgency := []config.Urgency{config.Urgent, config.Normal, config.Batch}[i%3]
		ticket, _ := q.Enter(NewRequest(fmt.Sprint(i%20), "", urgency, q.Clock.Now()+clock.Hour))
		if refusal := ticket.joinDispatch(context.Background(), q.Clock.Now()); refusal != nil {
			b.Fatal(refusal)
		}
		tickets = append(tickets, ticket)
	}
	for i := range 100 {
		enter(i)
	}
	for i := 0; b.Loop(); i++ {
		free.Store(1)
		q.Wake()
		at := slices.IndexFunc(tickets, func(x *Ticket[int]) bool { return x.state == stateGranted })
		granted := tickets[at].request.class
		tickets = slices.Delete(tickets, at, at+1)
		enter(3*i + granted)
	}
}

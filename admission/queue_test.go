package admission

import (
	"context"
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
)

// testQueue is a queue over a number of slots. Each team can use at most quota of them; 0 means no limit.
type testQueue struct {
	*Queue[string]
	free  int
	quota int
	teams map[string]int
}

func newTestQueue(slots, length, quota int) *testQueue {
	b := &testQueue{free: slots, quota: quota, teams: map[string]int{}}
	b.Queue = &Queue[string]{Clock: clock.NewFake(0), MaxLength: length, MaxWait: 2 * clock.Second,
		Acquire: func(r Request) (string, bool) {
			if b.free == 0 || (b.quota > 0 && b.teams[r.Team()] == b.quota) {
				return "", false
			}
			b.free--
			b.teams[r.Team()]++
			return r.Team(), true
		},
		Release: func(team string) { b.free++; b.teams[team]-- },
	}
	return b
}

// enterAndWait enters a request and starts its wait without blocking.
func (b *testQueue) enterAndWait(caller, team string, u config.Urgency, deadline clock.Millis) (*Ticket[string], *result.Refusal) {
	t, refusal := b.Enter(NewRequest(caller, team, u, deadline))
	if refusal != nil {
		return nil, refusal
	}
	return t, t.joinDispatch(context.Background(), b.Clock.Now())
}

// dispatchSlots frees slots one by one and returns the callers in the order in which their tickets were granted.
func (b *testQueue) dispatchSlots(tickets []*Ticket[string], slots int) (order []string) {
	for range slots {
		before := map[*Ticket[string]]bool{}
		for _, t := range tickets {
			before[t] = t.state == stateGranted
		}
		b.free++
		b.Wake()
		for _, t := range tickets {
			if t.state == stateGranted && !before[t] {
				order = append(order, t.request.caller)
			}
		}
	}
	return order
}

// Guards against classes that do not share slots by weight, or that leave slots idle when other classes have no requests.
func TestClassesShareByWeight(t *testing.T) {
	b := newTestQueue(0, 200, 0)
	var tickets []*Ticket[string]
	for i := range 40 {
		for _, u := range []config.Urgency{config.Urgent, config.Normal, config.Batch} {
			ticket, refusal := b.enterAndWait(string(u), "", u, clock.Minute)
			if refusal != nil {
				t.Fatalf("request %d got %v, want a place", i, refusal)
			}
			tickets = append(tickets, ticket)
		}
	}
	got := map[string]int{}
	for _, caller := range b.dispatchSlots(tickets, 26) {
		got[caller]++
	}
	if got["urgent"] != 16 || got["normal"] != 8 || got["batch"] != 2 {
		t.Errorf("dispatches by class got %v, want 16 urgent, 8 normal and 2 batch", got)
	}
	if got := len(b.dispatchSlots(tickets, 94)); got != 94 {
		t.Errorf("dispatches of the rest got %d, want 94", got)
	}
}

// Guards against a caller that gets more slots because it sends more requests.
func TestCallersTakeTurns(t *testing.T) {
	b := newTestQueue(0, 200, 0)
	var tickets []*Ticket[string]
	for _, caller := range []string{"a", "a", "a", "a", "b", "a", "c", "b"} {
		ticket, _ := b.enterAndWait(caller, "", config.Normal, clock.Minute)
		tickets = append(tickets, ticket)
	}
	got, want := fmt.Sprint(b.dispatchSlots(tickets, 8)), "[a b c a b a a a]"
	if got != want {
		t.Errorf("callers in the order of dispatch got %v, want %v", got, want)
	}
}

// Guards against a team that has reached its quota and blocks the callers behind it.
func TestQuotaDoesNotBlockOthers(t *testing.T) {
	b := newTestQueue(3, 200, 1)
	b.enterAndWait("a", "x", config.Urgent, clock.Minute)
	blocked, _ := b.enterAndWait("a", "x", config.Urgent, clock.Minute)
	other, _ := b.enterAndWait("b", "y", config.Batch, clock.Minute)
	if blocked.state != stateQueued || other.state != stateGranted {
		t.Errorf("states of the request of the team at its quota and of the other team's got %d and %d, want queued (1) and granted (2)", blocked.state, other.state)
	}
}

// Guards against a caller that fills the queue, in each class: a caller with few requests must get a place and its turn.
func TestSmallestCallerGetsIn(t *testing.T) {
	classes := []config.Urgency{config.Urgent, config.Normal, config.Batch}
	for _, flood := range classes {
		for _, small := range classes {
			b := newTestQueue(0, 26, 0) // the class weights 8, 4 and 1 guarantee 16, 8 and 2 places
			var tickets []*Ticket[string]
			for range 100 {
				if ticket, refusal := b.enterAndWait("flood", "", flood, clock.Minute); refusal == nil {
					tickets = append(tickets, ticket)
				}
			}
			ticket, refusal := b.enterAndWait("small", "", small, clock.Minute)
			if refusal != nil {
				t.Errorf("%s under a flood of %s got %v, want a place", small, flood, refusal)
				continue
			}
			displaced := 0
			for _, o := range tickets {
				if o.state == stateRefused && o.refusal.Code() == CodeDisplaced {
					displaced++
				}
			}
			if newest := tickets[len(tickets)-1]; newest.state != stateRefused {
				t.Errorf("%s under a flood of %s: newest request got state %d, want refused (3)", small, flood, newest.state)
			}
			b.dispatchSlots(append(tickets, ticket), 13) // one round: the sum of the class weights
			if displaced != 1 || b.Length() > 26 || ticket.state != stateGranted {
				t.Errorf("%s under a flood of %s: displaced %d, length %d, state %d; want 1, at most 26, granted (2)",
					small, flood, displaced, b.Length(), ticket.state)
			}
		}
	}
}

// Guards against a request that is queued although its predicted wait exceeds its deadline.
func TestEarlyRefusalByRate(t *testing.T) {
	b := newTestQueue(0, 200, 0)
	var tickets []*Ticket[string]
	for range 20 {
		ticket, _ := b.enterAndWait("a", "", config.Normal, clock.Minute)
		tickets = append(tickets, ticket)
	}
	for range minSamples {
		b.Clock.Advance(100)
		b.dispatchSlots(tickets, 1)
	}
	now := b.Clock.Now()
	if _, refusal := b.Enter(NewRequest("a", "", config.Normal, now+1500)); refusal == nil ||
		refusal.Code() != CodeWaitTooLong || refusal.RetryAfter() < minRetryAfter {
		t.Errorf("request with 16 others ahead at 100 ms each got %v, want an early refusal with a retry time", refusal)
	}
	if _, refusal := b.Enter(NewRequest("b", "", config.Normal, now+1500)); refusal != nil {
		t.Errorf("a caller whose turn is next but one got %v, want a place", refusal)
	}
}

// Guards against dispatch of expired requests, and against requests that wait longer than MaxWait.
func TestExpiredIsNeverDispatched(t *testing.T) {
	b := newTestQueue(0, 200, 0)
	soon, _ := b.enterAndWait("a", "", config.Normal, 100)
	later, _ := b.enterAndWait("b", "", config.Normal, clock.Minute)
	b.Clock.Advance(100)
	b.dispatchSlots(nil, 1)
	if soon.state != stateRefused || soon.refusal.Code() != CodeDeadlinePassed || later.state != stateGranted {
		t.Errorf("states of the expired and of the unexpired request got %d and %d, want refused (3) and granted (2)", soon.state, later.state)
	}
	last, _ := b.enterAndWait("a", "", config.Normal, clock.Minute)
	b.Clock.Advance(2 * clock.Second)
	if _, refusal := last.End(context.Background()); refusal == nil || refusal.Code() != CodeWaitExpired {
		t.Errorf("after the longest wait got %v, want expired", refusal)
	}
}

// Guards against a slot that leaks when its request leaves right after the grant: the next request must get it.
func TestLeavingPassesTheSlotOn(t *testing.T) {
	b := newTestQueue(0, 200, 0)
	first, _ := b.enterAndWait("a", "", config.Normal, clock.Minute)
	second, _ := b.enterAndWait("b", "", config.Normal, clock.Minute)
	third, _ := b.enterAndWait("c", "", config.Normal, clock.Minute)
	b.dispatchSlots(nil, 1)
	first.Leave()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, refusal := second.Wait(canceled); refusal == nil || refusal.Code() != CodeCallerLeft {
		t.Errorf("Wait with an ended context got %v, want caller left", refusal)
	}
	if third.state != stateGranted || b.Length() != 0 || b.waiters.Load() != 0 {
		t.Errorf("request after the two that left got state %d with %d in the queue, want granted (2) and 0", third.state, b.Length())
	}
}

// Guards against a new request that takes a slot between its release and the wake-up of the waiting requests.
func TestNewcomerDoesNotOvertake(t *testing.T) {
	b := newTestQueue(0, 200, 0)
	first, _ := b.enterAndWait("a", "", config.Normal, clock.Minute)
	b.free++
	newcomer, _ := b.Enter(NewRequest("b", "", config.Normal, clock.Minute))
	if _, ok := newcomer.acquireFast(context.Background(), 0); ok {
		t.Errorf("request that arrived last got a slot while another one waits, want none")
	}
	b.Wake()
	if first.state != stateGranted {
		t.Errorf("waiting request got state %d after Wake, want granted (2)", first.state)
	}
}

// Guards against limits of a new configuration that take effect only after a restart.
func TestSetLimits(t *testing.T) {
	c := clock.NewFake(0)
	q := &Queue[int]{Clock: c, MaxLength: 100, MaxWait: clock.Second, Acquire: func(Request) (int, bool) { return 0, false },
		Release: func(int) {}}
	q.SetLimits(1, 10)
	request := NewRequest("a", "", config.Normal, clock.Minute)
	first, refusal := q.Enter(request)
	if refusal != nil {
		t.Fatalf("first Enter got %v, want a place", refusal)
	}
	if _, refusal := q.Enter(request); refusal == nil || refusal.Code() != CodeQueueFull {
		t.Errorf("second Enter got %v, want %s", refusal, CodeQueueFull.Name())
	}
	if got, want := first.Expiry(), clock.Millis(10); got != want {
		t.Errorf("Expiry got %d, want %d", got, want)
	}
}

package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// stalledOwner is a world whose owner runs only now and then. Workers answer at once; the owner reads the answers when it runs, and
// its client gives those up that came too late.
type stalledOwner struct {
	*world
	stall  clock.Millis // between two moments in which the owner runs
	limit  clock.Millis // of the client, for the answer to an order
	calls  []stalledCall
	listed map[string]bool // tasks of which a worker has listed an end as done
}

type stalledCall struct {
	order    any
	sent     clock.Millis
	answered bool
	reply    Reply
	listing  Listing
}

func newStalledOwner(t *testing.T, workers int) *stalledOwner {
	return &stalledOwner{world: newWorld(t, workers, testQueue), stall: noStall, limit: AnswerLimit, listed: map[string]bool{}}
}

const (
	noStall   = 10 * clock.Millis(1)
	longStall = 1300 * clock.Millis(1)
)

func (o *stalledOwner) run(d clock.Millis) {
	for end := o.now + d; o.now < end; {
		o.now += 10
		o.advanceWorkers()
		for i := range o.calls {
			o.answer(&o.calls[i])
		}
		if o.now%o.stall == 0 {
			o.wake()
		}
		o.checkCapacity()
	}
}

// answer lets the worker answer a call.
func (o *stalledOwner) answer(c *stalledCall) {
	if c.answered {
		return
	}
	switch order := c.order.(type) {
	case Start:
		f := o.workers[order.Target.ID]
		before := o.starts[order.Task]
		c.reply, c.answered = f.take(o.world, order), !f.dark
		if o.starts[order.Task] > before && o.listed[order.Task] {
			o.t.Errorf("%d ms: start of %s on %s, want none after its worker listed it as done", o.now, order.Task, order.Target.ID)
		}
	case Stop:
		f := o.workers[order.Target.ID]
		c.reply, c.answered = f.takeStop(o.world, order), !f.dark
	case Hold:
		f := o.workers[order.Target.ID]
		if f.dark || o.now < c.sent+order.Wait && !f.hasNews(order.Ack) {
			return
		}
		c.listing, c.answered = f.hold(o.world, order), true
		for _, e := range c.listing.Ended {
			o.listed[e.Task] = o.listed[e.Task] || e.How == EndDone
		}
	}
}

// wake lets the owner read what came, plan and store.
func (o *stalledOwner) wake() {
	o.s.Tick(o.now, o.now)
	var out []stalledCall
	for _, c := range o.calls {
		limit := o.limit
		if order, ok := c.order.(Hold); ok {
			limit += order.Wait
		}
		late := o.now-c.sent > limit
		if !c.answered && !late {
			out = append(out, c)
			continue
		}
		if late {
			c.reply, c.listing = Reply{}, Listing{}
		}
		switch order := c.order.(type) {
		case Start:
			o.s.Started(order, c.reply)
		case Stop:
			o.s.Stopped(order, c.reply)
		case Hold:
			o.s.Held(order, c.listing, c.sent)
		}
	}
	o.calls = out
	o.s.Plan()
	if draft := o.s.Draft(); draft != nil {
		for _, row := range draft.Rows {
			o.states[row.ID] = row.Progress.State
		}
		o.token++
		o.s.Committed(o.token)
	}
	for _, order := range o.s.Orders() {
		o.calls = append(o.calls, stalledCall{order: order, sent: o.now})
	}
}

// Guards against a task that runs again after its worker listed it as done: the owner was short of processor time and gave answers up
// that it had not read yet, until the lease was over.
func TestStalledOwnerReadsAnswersBeforeItGivesUp(t *testing.T) {
	o := newStalledOwner(t, 4)
	const jobs = 20
	for i := range jobs {
		o.stall = noStall
		o.run(500)
		o.submit(fmt.Sprintf("j%d", i), batch.Step{Count: 3, Need: cpu(1000), Estimate: 800})
		o.run(100)
		o.stall = longStall
		o.run(8 * clock.Second)
	}
	o.run(30 * clock.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		if got := o.state(id); got != batch.Completed {
			t.Errorf("state of %s got %v, want completed", id, got)
		}
	}
}

// Guards against an owner that, short of processor time, waits for a worker that has gone for good.
func TestStalledOwnerGivesUpALostWorker(t *testing.T) {
	o := newStalledOwner(t, 2)
	o.run(1 * clock.Second)
	o.length = func(string) clock.Millis { return 20 * clock.Second }
	o.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	o.run(1 * clock.Second)
	at := o.where("j.0.0.0")
	if at == "" {
		t.Fatal("place got none, want one")
	}
	o.workers[at].dark = true
	o.stall = longStall
	o.run(MaxLease + 2*idleWait + 2*AnswerLimit + 4*longStall)
	if got := o.where("j.0.0.0"); got == "" || got == at {
		t.Errorf("place got %q, want the other worker", got)
	}
}

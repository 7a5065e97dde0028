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
	delay  clock.Millis // of answers on their way
	limit  clock.Millis // of the client, for the answer to an order
	cutOff string       // worker whose answers are lost, and to which no new connection comes about
	calls  []stalledCall
	listed map[string]bool // tasks of which a worker has listed an end as done
}

type stalledCall struct {
	order    any
	sent     clock.Millis
	answered bool
	at       clock.Millis // when it was answered
	reply    Reply
	listing  Listing
}

func newStalledOwner(t *testing.T, workers int) *stalledOwner {
	return &stalledOwner{world: newWorld(t, workers, testQueue), stall: noStall, limit: AnswerTimeout, listed: map[string]bool{}}
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
	defer func() { c.at = o.now }()
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
			o.listed[e.Task] = o.listed[e.Task] || e.Reason == EndDone
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
		here := c.answered && o.now >= c.at+o.delay && !o.isCutOff(c)
		if !here && !late {
			out = append(out, c)
			continue
		}
		if late {
			c.reply, c.listing = Reply{}, Listing{}
		}
		switch order := c.order.(type) {
		case Start:
			o.s.StartAnswered(order, c.reply)
		case Stop:
			o.s.StopAnswered(order, c.reply)
		case Hold:
			o.s.HoldAnswered(order, c.listing, c.sent)
		}
	}
	o.calls = out
	o.s.Plan()
	if draft := o.s.Transaction(); draft != nil {
		for _, row := range draft.Rows {
			o.states[row.ID] = row.Progress.State
		}
		o.token++
		o.s.Committed(o.token)
	}
	for _, order := range o.s.Orders() {
		c := stalledCall{order: order, sent: o.now}
		if hold, ok := order.(Hold); ok && o.isCutOff(c) {
			o.s.HoldAnswered(hold, Listing{Reply: Reply{Outcome: NotSent}}, o.now)
			continue
		}
		o.calls = append(o.calls, c)
	}
}

func (o *stalledOwner) isCutOff(c stalledCall) bool {
	switch order := c.order.(type) {
	case Start:
		return order.Target.ID == o.cutOff
	case Hold:
		return order.Target.ID == o.cutOff
	}
	return false
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

// Guards against a task that runs again after its worker listed it as done: the link of the owner was congested, so that answers of all
// workers came late, and those of one not at all until its lease was over.
func TestCongestedOwnerDoesNotGiveUpAWorker(t *testing.T) {
	for _, workers := range []int{2, 3, 6} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			o := newStalledOwner(t, workers)
			o.run(1 * clock.Second)
			for i := range workers {
				o.submit(fmt.Sprintf("other%d", i), batch.Step{Count: 1, Need: cpu(3000), Estimate: 800, LongRunning: true})
			}
			o.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
			o.length = func(task string) clock.Millis {
				if task == "j.0.0.0" {
					return 1000
				}
				return 0
			}
			o.run(900) // the hold that is out then is answered when the task ends
			o.delay, o.cutOff = longStall, o.where("j.0.0.0")
			if o.cutOff == "" {
				t.Fatal("place got none, want one")
			}
			o.run(MaxLease + 2*clock.Second)
			o.cutOff = ""
			o.run(8 * clock.Second)
			if got := o.state("j"); got != batch.Completed {
				t.Errorf("state got %v, want completed", got)
			}
		})
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
	o.run(MaxLease + 2*idleWait + 3*AnswerTimeout + stallPause + 4*longStall)
	if got := o.where("j.0.0.0"); got == "" || got == at {
		t.Errorf("place got %q, want the other worker", got)
	}
}

// Guards against a task that runs again, or on, although a worker that was given up comes back and lists it as done.
func TestEndOfARunThatWasGivenUpCounts(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers int // with one worker the task finds no other place
	}{{"before the task starts again", 1}, {"while the task runs again", 2}} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, test.workers, testQueue)
			w.run(100)
			w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
			w.run(500)
			first := w.where("j.0.0.0")
			if first == "" {
				t.Fatal("place got none, want one")
			}
			w.length = func(string) clock.Millis { return 30 * clock.Second }
			w.workers[first].dark = true
			w.run(9 * clock.Second)
			if got := w.s.jobs["j"].occurrences[0].steps[0].tasks[0].run; (got != nil) != (test.workers > 1) {
				t.Fatalf("run after the lease got %v, want one only where there is another worker", got)
			}
			w.workers[first].dark = false
			w.run(2 * clock.Second)
			if got := w.state("j"); got != batch.Completed {
				t.Errorf("state got %v, want completed", got)
			}
			if got := w.where("j.0.0.0"); got != "" {
				t.Errorf("place got %s, want none: the task is done", got)
			}
			if got, want := w.starts["j.0.0.0"], test.workers; got != want {
				t.Errorf("starts got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a new owner that gives a run up, because the inherited leases are over, before its worker could answer.
func TestSuccessorAsksBeforeItGivesUp(t *testing.T) {
	for _, test := range []struct {
		name  string
		entry clock.Millis // when the worker's entry is there
		fails bool         // the first connection fails
	}{{"late answer", 0, false}, {"failed connection", 0, true}, {"entry that is not back yet", 1500, false}} {
		t.Run(test.name, func(t *testing.T) {
			const dialTime, answer = 500, 700
			d := newDesk(t)
			d.s.SetInheritedLeases(d.now-10*clock.Second, nil)
			d.s.SetWorker(deskWorker("w1", 1))
			if test.entry == 0 {
				d.s.SetWorker(deskWorker("w0", 1))
			}
			d.s.AddJob(deskJob("j", 1), &batch.Progress{State: batch.Running,
				Runs: []batch.Run{{Number: 1, Worker: "w0", Incarnation: 1, Machine: "m-w0"}}}, false)
			type call struct {
				order Hold
				sent  clock.Millis
			}
			var calls []call
			for begin := d.now; d.now < begin+3*clock.Second; {
				d.after(10)
				if test.entry != 0 && d.now == begin+test.entry {
					d.s.SetWorker(deskWorker("w0", 1))
				}
				var out []call
				for _, c := range calls {
					switch {
					case c.order.Target.ID == "w1":
						d.s.HoldAnswered(c.order, d.listing(1), c.sent)
					case test.fails && c.sent < begin+100 && d.now-c.sent >= dialTime:
						d.s.HoldAnswered(c.order, Listing{Reply: Reply{Outcome: NotSent}}, c.sent)
					case d.now-c.sent >= answer:
						ended := d.listing(1)
						ended.Ended = []Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Reason: EndDone}}
						d.s.HoldAnswered(c.order, ended, c.sent)
					default:
						out = append(out, c)
					}
				}
				calls = out
				d.s.Plan()
				if d.s.Transaction() != nil {
					d.committed()
				}
				for _, order := range d.s.Orders() {
					switch o := order.(type) {
					case Hold:
						calls = append(calls, call{o, d.now})
					case Start:
						t.Fatalf("%d ms after the takeover: start of %s on %s, want none before its worker could answer", d.now-begin, o.Task, o.Target.ID)
					}
				}
			}
		})
	}
}

// Guards against leases that are not renewed while answers come late: tasks longer than a lease would start again and again.
func TestLateAnswersRenewLeases(t *testing.T) {
	for _, delay := range []clock.Millis{0, 400, 700, 1000, 1300, 1800} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			o := newStalledOwner(t, 4)
			o.run(500)
			o.length = func(string) clock.Millis { return 9 * clock.Second }
			o.submit("j", batch.Step{Count: 2, Need: cpu(1000), Estimate: 9000})
			o.run(300)
			o.delay = delay
			o.run(20 * clock.Second)
			if got := o.state("j"); got != batch.Completed {
				t.Errorf("state got %v, want completed", got)
			}
			if got := o.starts["j.0.0.0"]; got != 1 {
				t.Errorf("starts got %d, want 1", got)
			}
		})
	}
}

// lateRefusal has a start refused for its token after the soft timeout, and something happen in between; it returns the starts that follow.
func lateRefusal(t *testing.T, between func(d *desk, start Start)) []Start {
	t.Helper()
	d := newDesk(t, "w0")
	d.meet()
	d.s.AddJob(deskJob("j", 1), nil, false)
	d.s.Plan()
	d.commit()
	start := ordersOf[Start](d)[0]
	d.after(startSoftTimeout + 10)
	d.s.Plan()
	d.s.Orders()
	d.commit()
	between(d, start)
	d.after(20)
	d.s.Plan() // raises the token
	d.s.Orders()
	d.after(1 * clock.Second)
	d.s.StartAnswered(start, Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1})
	return ordersOf[Start](d)
}

// Guards against a start that goes out again after a late refusal, although its job was cancelled or its task is done.
func TestStartRefusedLateIsNotRepeatedInVain(t *testing.T) {
	for _, test := range []struct {
		name    string
		between func(d *desk, start Start)
		want    int
	}{
		{"nothing happened", func(*desk, Start) {}, 1},
		{"job cancelled", func(d *desk, _ Start) { d.s.Cancel("j") }, 0},
		{"task done by an earlier run", func(d *desk, start Start) {
			d.s.takeEnds(d.s.workers["w0"], []Ended{{Number: 1, Task: start.Task, Run: start.Run - 1, Reason: EndDone}})
		}, 0},
	} {
		if got := len(lateRefusal(t, test.between)); got != test.want {
			t.Errorf("%s: starts got %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a repeated start that waits for its answer until the client gives up.
func TestRepeatedStartIsSettledLikeTheFirst(t *testing.T) {
	d := newDesk(t, "w0")
	d.meet()
	d.s.AddJob(deskJob("j", 1), nil, false)
	d.s.Plan()
	d.commit()
	start := ordersOf[Start](d)[0]
	d.after(20)
	d.s.SetToken(d.token + 5)
	d.s.StartAnswered(start, Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1})
	if got := len(ordersOf[Start](d)); got != 1 {
		t.Fatalf("repeated starts got %d, want 1", got)
	}
	d.after(startSoftTimeout)
	d.s.Plan()
	if got, want := d.s.workers["w0"].runs["j.0.0.0"].state, uncertain; got != want {
		t.Errorf("state got %v, want %v", got, want)
	}
}

// Guards against connections that fail, which take longer than the soft timeout of a start, and make the owner count as slow.
func TestFailedConnectionsAreNoLateAnswers(t *testing.T) {
	d := newDesk(t, "w0", "w1", "w2")
	d.s.Plan()
	for _, hold := range ordersOf[Hold](d) {
		d.s.HoldAnswered(hold, d.listing(1), d.now)
	}
	d.after(holdPause)
	d.s.AddJob(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []batch.Step{{Count: 3, Need: cpu(3000), Estimate: 800}}}, nil, false)
	d.s.Plan()
	d.commit()
	starts := ordersOf[Start](d)
	if len(starts) != 3 {
		t.Fatalf("starts got %d, want 3", len(starts))
	}
	for range 50 {
		d.after(10)
		d.s.Plan()
	}
	for _, start := range starts {
		d.s.StartAnswered(start, Reply{Outcome: NotSent})
	}
	if d.s.evictFrom > d.now {
		t.Errorf("owner counts as slow until %d, want not", d.s.evictFrom)
	}
}

// Guards against an answer that was given seconds ago and makes its worker look alive now: it would get tasks.
func TestLateAnswerTellsOfThePast(t *testing.T) {
	d := newDesk(t, "w0")
	d.meet()
	hold := only[Hold](d)
	sent := d.now
	for d.now < sent+idleWait+silentAfter {
		d.after(10)
		d.s.Plan()
		d.s.Orders()
	}
	answer := Listing{Reply: Reply{Outcome: Accepted, Clock: sent + 5, Incarnation: 1}} // the worker has died since
	d.s.HoldAnswered(hold, answer, sent)
	if got := len(d.s.usable()); got != 0 {
		t.Errorf("usable workers got %d, want 0", got)
	}
}

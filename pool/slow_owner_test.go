package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// stalledOwner is a simulation in which the owner runs only at intervals. Workers answer at once; the owner reads the
// answers when it runs, and drops those that exceed the client's timeout.
type stalledOwner struct {
	*poolSim
	stall  clock.Millis // between two rounds of the owner
	delay  clock.Millis // transit time of answers
	limit  clock.Millis // client timeout for the answer to an order
	cutOff string       // worker whose answers are lost, and that accepts no new connection
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
	return &stalledOwner{poolSim: newPoolSim(t, workers, testQueue), stall: noStall, limit: AnswerTimeout, listed: map[string]bool{}}
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
			o.answerCall(&o.calls[i])
		}
		if o.now%o.stall == 0 {
			o.runOwner()
		}
		o.checkCapacity()
	}
}

// answerCall lets the worker process a call.
func (o *stalledOwner) answerCall(c *stalledCall) {
	if c.answered {
		return
	}
	defer func() { c.at = o.now }()
	switch order := c.order.(type) {
	case Start:
		f := o.workers[order.Target.ID]
		before := o.starts[order.Task]
		c.reply, c.answered = f.takeStart(o.poolSim, order), !f.unreachable
		if o.starts[order.Task] > before && o.listed[order.Task] {
			o.t.Errorf("%d ms: start of %s on %s, want none after its worker listed it as done", o.now, order.Task, order.Target.ID)
		}
	case Stop:
		f := o.workers[order.Target.ID]
		c.reply, c.answered = f.takeStop(o.poolSim, order), !f.unreachable
	case Hold:
		f := o.workers[order.Target.ID]
		if f.unreachable || o.now < c.sent+order.Wait && !f.hasUnackedEnds(order.Ack) {
			return
		}
		c.listing, c.answered = f.hold(o.poolSim, order), true
		for _, e := range c.listing.Ended {
			o.listed[e.Task] = o.listed[e.Task] || e.Reason == EndDone
		}
	}
}

// runOwner lets the owner read answers, plan and store.
func (o *stalledOwner) runOwner() {
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
	if tx := o.s.Transaction(); tx != nil {
		for _, row := range tx.Rows {
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

// Guards against a second run of a task that its worker listed as done: the owner was short of processor time and timed out
// answers that it had not read yet, until the lease had expired.
func TestStalledOwnerReadsAnswersBeforeExpiringRuns(t *testing.T) {
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

// Guards against a second run of a task that its worker listed as done: the network link of the owner was congested, so that
// the answers of all workers were late, and those of one did not arrive until its lease had expired.
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
			o.run(900) // the hold in flight after that is answered when the task ends
			o.delay, o.cutOff = longStall, o.runner("j.0.0.0")
			if o.cutOff == "" {
				t.Fatal("task is not running, want it on a worker")
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

// Guards against an owner that is short of processor time and never gives up a lost worker.
func TestStalledOwnerGivesUpALostWorker(t *testing.T) {
	o := newStalledOwner(t, 2)
	o.run(1 * clock.Second)
	o.length = func(string) clock.Millis { return 20 * clock.Second }
	o.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	o.run(1 * clock.Second)
	at := o.runner("j.0.0.0")
	if at == "" {
		t.Fatal("task is not running, want it on a worker")
	}
	o.workers[at].unreachable = true
	o.stall = longStall
	o.run(MaxLease + 2*idleHoldWait + 3*AnswerTimeout + evictionPause + 4*longStall)
	if got := o.runner("j.0.0.0"); got == "" || got == at {
		t.Errorf("task runs on %q, want the other worker", got)
	}
}

// Guards against a task that runs again, or continues, although its first worker returns after its eviction and lists the
// task as done.
func TestEndOfARunThatWasGivenUpCounts(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers int // with one worker the task cannot be placed again
	}{{"before the task starts again", 1}, {"while the task runs again", 2}} {
		t.Run(test.name, func(t *testing.T) {
			w := newPoolSim(t, test.workers, testQueue)
			w.run(100)
			w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
			w.run(500)
			first := w.runner("j.0.0.0")
			if first == "" {
				t.Fatal("task is not running, want it on a worker")
			}
			w.length = func(string) clock.Millis { return 30 * clock.Second }
			w.workers[first].unreachable = true
			w.run(9 * clock.Second)
			if got := w.s.jobs["j"].occurrences[0].steps[0].tasks[0].run; (got != nil) != (test.workers > 1) {
				t.Fatalf("run after the lease expired got %v, want one only if there is another worker", got)
			}
			w.workers[first].unreachable = false
			w.run(2 * clock.Second)
			if got := w.state("j"); got != batch.Completed {
				t.Errorf("state got %v, want completed", got)
			}
			if got := w.runner("j.0.0.0"); got != "" {
				t.Errorf("task runs on %s, want it stopped: it is done", got)
			}
			if got, want := w.starts["j.0.0.0"], test.workers; got != want {
				t.Errorf("starts got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a new owner that gives up a run, because the inherited leases have expired, before the worker could answer.
func TestSuccessorAsksWorkersBeforeExpiringRuns(t *testing.T) {
	for _, test := range []struct {
		name  string
		entry clock.Millis // when the worker's entry arrives; 0: from the start
		fails bool         // the first connection fails
	}{{"late answer", 0, false}, {"failed connection", 0, true}, {"entry that is not back yet", 1500, false}} {
		t.Run(test.name, func(t *testing.T) {
			const dialTime, answer = 500, 700
			d := newManualSim(t)
			d.s.SetInheritedLeases(d.now-10*clock.Second, nil)
			d.s.SetWorker(testWorker("w1", 1))
			if test.entry == 0 {
				d.s.SetWorker(testWorker("w0", 1))
			}
			d.s.AddJob(testJob("j", 1), &batch.Progress{State: batch.Running,
				Runs: []batch.Run{{Number: 1, Worker: "w0", Incarnation: 1, Machine: "m-w0"}}}, false)
			type call struct {
				order Hold
				sent  clock.Millis
			}
			var calls []call
			for begin := d.now; d.now < begin+3*clock.Second; {
				d.advance(10)
				if test.entry != 0 && d.now == begin+test.entry {
					d.s.SetWorker(testWorker("w0", 1))
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

// Guards against leases that are not renewed while answers are late: tasks longer than a lease would start over and over.
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

// lateRefusal lets a worker refuse a start because of its token after the soft timeout, calls between in the meantime, and
// returns the starts that follow.
func lateRefusal(t *testing.T, between func(d *manualSim, start Start)) []Start {
	t.Helper()
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	d.s.AddJob(testJob("j", 1), nil, false)
	d.s.Plan()
	d.commit()
	start := ordersOf[Start](d)[0]
	d.advance(startSoftTimeout + 10)
	d.s.Plan()
	d.s.Orders()
	d.commit()
	between(d, start)
	d.advance(20)
	d.s.Plan() // raises the token
	d.s.Orders()
	d.advance(1 * clock.Second)
	d.s.StartAnswered(start, Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1})
	return ordersOf[Start](d)
}

// Guards against repeating a start after a late refusal although its job was cancelled or its task is done.
func TestStartRefusedLateIsNotRepeatedInVain(t *testing.T) {
	for _, test := range []struct {
		name    string
		between func(d *manualSim, start Start)
		want    int
	}{
		{"nothing happened", func(*manualSim, Start) {}, 1},
		{"job cancelled", func(d *manualSim, _ Start) { d.s.Cancel("j") }, 0},
		{"task done by an earlier run", func(d *manualSim, start Start) {
			d.s.processEnds(d.s.workers["w0"], []Ended{{Number: 1, Task: start.Task, Run: start.Run - 1, Reason: EndDone}})
		}, 0},
	} {
		if got := len(lateRefusal(t, test.between)); got != test.want {
			t.Errorf("%s: starts got %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a repeated start that is not settled before the client's timeout.
func TestRepeatedStartIsSettledLikeTheFirst(t *testing.T) {
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	d.s.AddJob(testJob("j", 1), nil, false)
	d.s.Plan()
	d.commit()
	start := ordersOf[Start](d)[0]
	d.advance(20)
	d.s.SetToken(d.token + 5)
	d.s.StartAnswered(start, Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1})
	if got := len(ordersOf[Start](d)); got != 1 {
		t.Fatalf("repeated starts got %d, want 1", got)
	}
	d.advance(startSoftTimeout)
	d.s.Plan()
	if got, want := d.s.workers["w0"].runs["j.0.0.0"].state, uncertain; got != want {
		t.Errorf("state got %v, want %v", got, want)
	}
}

// Guards against counting failed connections, which take longer than the soft timeout of a start, as late answers of a slow
// owner.
func TestFailedConnectionsAreNoLateAnswers(t *testing.T) {
	d := newManualSim(t, "w0", "w1", "w2")
	d.s.Plan()
	for _, hold := range ordersOf[Hold](d) {
		d.s.HoldAnswered(hold, d.listing(1), d.now)
	}
	d.advance(holdInterval)
	d.s.AddJob(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []batch.Step{{Count: 3, Need: cpu(3000), Estimate: 800}}}, nil, false)
	d.s.Plan()
	d.commit()
	starts := ordersOf[Start](d)
	if len(starts) != 3 {
		t.Fatalf("starts got %d, want 3", len(starts))
	}
	for range 50 {
		d.advance(10)
		d.s.Plan()
	}
	for _, start := range starts {
		d.s.StartAnswered(start, Reply{Outcome: NotSent})
	}
	if d.s.evictionResumesAt > d.now {
		t.Errorf("eviction is suspended until %d, want no suspension", d.s.evictionResumesAt)
	}
}

// Guards against an answer that was sent seconds ago and makes its worker count as responsive now: it would get tasks.
func TestLateAnswerDoesNotMakeWorkerUsable(t *testing.T) {
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	hold := planSingle[Hold](d)
	sent := d.now
	for d.now < sent+idleHoldWait+unresponsiveAfter {
		d.advance(10)
		d.s.Plan()
		d.s.Orders()
	}
	answer := Listing{Reply: Reply{Outcome: Accepted, Clock: sent + 5, Incarnation: 1}} // the worker has died since
	d.s.HoldAnswered(hold, answer, sent)
	if got := len(d.s.usable()); got != 0 {
		t.Errorf("usable workers got %d, want 0", got)
	}
}

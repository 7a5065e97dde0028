package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// manualSim drives a scheduler step by step: each test determines the answers of the workers and their order.
type manualSim struct {
	t     *testing.T
	s     *Scheduler
	now   clock.Millis
	token int64
}

func newManualSim(t *testing.T, workers ...string) *manualSim {
	d := &manualSim{t: t, s: NewScheduler(testPool, 6*clock.Second, clock.Minute, nil), now: 20 * clock.Second, token: 10}
	queue := testQueue
	queue.Pool = testPool
	d.s.Configure(&batch.Configuration{Version: 1, Queues: []batch.Queue{queue}, Pools: []batch.Pool{{Name: testPool}}})
	d.s.SetToken(d.token)
	d.s.Tick(d.now, d.now)
	for _, id := range workers {
		d.s.SetWorker(testWorker(id, 1))
	}
	return d
}

func testWorker(id string, startedAt int64) batch.Worker {
	return batch.Worker{ID: id, Machine: "m-" + id, Pool: testPool, Address: id, Incarnation: startedAt,
		Capacity: batch.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"}}
}

func testJob(id string, tasks int) *batch.Job {
	return &batch.Job{ID: id, Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{{Count: tasks, Need: cpu(1000), Estimate: 800}}}
}

func (d *manualSim) advance(wait clock.Millis) {
	d.now += wait
	d.s.Tick(d.now, d.now)
}

func (d *manualSim) commit() {
	d.t.Helper()
	if d.s.Transaction() == nil && d.s.Renewal() == nil {
		d.t.Fatal("a transaction is already in flight")
	}
	d.committed()
}

func (d *manualSim) committed() {
	d.token++
	d.s.Committed(d.token)
}

// listing returns the accepted answer of the given incarnation to a hold, sent now by a worker whose clock matches the local
// one.
func (d *manualSim) listing(startedAt int64, running ...Running) Listing {
	return Listing{Reply: Reply{Outcome: Accepted, Clock: d.now, Incarnation: startedAt}, Running: running}
}

// ordersOf returns the orders of one type that are due.
func ordersOf[T any](d *manualSim) (found []T) {
	for _, order := range d.s.Orders() {
		if o, ok := order.(T); ok {
			found = append(found, o)
		}
	}
	return found
}

// planSingle plans and returns the only order of its type that is due.
func planSingle[T any](d *manualSim) T {
	d.t.Helper()
	d.s.Plan()
	return single[T](d)
}

func single[T any](d *manualSim) T {
	d.t.Helper()
	found := ordersOf[T](d)
	if len(found) != 1 {
		d.t.Fatalf("orders of kind %T got %d, want 1", *new(T), len(found))
	}
	return found[0]
}

// answerFirstHold lets the worker answer its first hold.
func (d *manualSim) answerFirstHold() {
	d.t.Helper()
	d.s.HoldAnswered(planSingle[Hold](d), d.listing(1), d.now)
	d.advance(holdInterval)
}

// Guards against a start whose lease lasts longer than the report in the same transaction says: the next owner, which reads
// the report, would give up the run while the worker still runs it.
func TestStartKeepsToTheReportedLease(t *testing.T) {
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	hold := planSingle[Hold](d)
	sent := d.now
	d.advance(hold.Wait + usualAnswerTime)
	if d.s.Renewal() == nil {
		t.Fatal("no renewal, want one that the store commits slowly")
	}
	d.s.AddJob(testJob("j", 1), nil, false)
	d.s.Plan()
	d.advance(400)
	d.s.HoldAnswered(hold, Listing{}, sent)
	d.committed()
	if d.s.Transaction() == nil {
		t.Fatal("no transaction, want one with the start")
	}
	load := d.s.Load()
	reported, ok := load.Leases["w0"]
	if !ok {
		return // the lease is not reported, so that the next owner assumes the longest one
	}
	end := d.now + reported
	d.advance(20)
	d.committed()
	for _, start := range ordersOf[Start](d) {
		if start.Deadline > end {
			t.Errorf("deadline of the start got %d, want at most %d, the end in the report", start.Deadline, end)
		}
	}
}

// Guards against a start that is repeated under a newer token and extends a lease beyond its reported end.
func TestRepeatedStartKeepsToTheReportedLease(t *testing.T) {
	d := newManualSim(t, "w0")
	answered := d.now
	d.answerFirstHold()
	d.s.AddJob(testJob("a", 1), nil, false)
	d.s.Plan()
	hold := single[Hold](d)
	held := d.now
	d.commit()
	first := single[Start](d)
	d.advance(100)
	d.s.AddJob(testJob("b", 1), nil, false)
	d.s.Plan()
	d.commit()
	second := single[Start](d) // is delayed in transit
	d.advance(100)
	d.s.StartAnswered(first, Reply{})
	urgent := planSingle[Hold](d)
	if !urgent.Urgent || urgent.Token <= second.Token {
		t.Fatalf("hold got %+v, want an urgent one under a token above %d", urgent, second.Token)
	}
	d.advance(50)
	d.s.HoldAnswered(hold, Listing{}, held)
	d.s.Renewal()
	reported, ok := d.s.Load().Leases["w0"]
	if !ok {
		t.Fatal("lease is not reported, want it reported for an unresponsive worker")
	}
	end := d.now + reported
	d.advance(20)
	d.committed()
	d.advance(20)
	d.s.StartAnswered(second, Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1}) // the urgent hold arrived first
	for _, start := range ordersOf[Start](d) {
		// The worker sent its clock with its last answer, and that clock is 2% slow.
		if got := answered + (start.Deadline-answered)*100/98; got > end {
			t.Errorf("end of the lease of the start got %d, want at most %d, the end in the report", got, end)
		}
	}
}

// Guards against lists of the same millisecond that are mistaken for newer ones: a task that just began would count as lost,
// and start again beside itself.
func TestOlderListsOfTheSameMillisecond(t *testing.T) {
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	d.s.AddJob(testJob("a", 1), nil, false)
	d.s.Plan()
	waiting := single[Hold](d)
	waitingSent := d.now
	d.commit()
	first := single[Start](d)
	d.advance(100)
	d.s.AddJob(testJob("b", 1), nil, false)
	d.s.Plan()
	d.commit()
	second := single[Start](d) // its answer is late
	d.advance(100)
	d.s.StartAnswered(first, Reply{})
	urgent := planSingle[Hold](d)
	urgentSent := d.now
	// In one millisecond the worker answers the waiting hold, begins the task, and answers the urgent hold.
	d.advance(5)
	older := d.listing(1, Running{Task: first.Task, Run: 1})
	newer := d.listing(1, Running{Task: first.Task, Run: 1}, Running{Task: second.Task, Run: 1})
	d.advance(5)
	d.s.HoldAnswered(urgent, newer, urgentSent)
	d.s.HoldAnswered(waiting, older, waitingSent)
	if got := d.s.jobs["b"].occurrences[0].steps[0].tasks[0].run; got == nil {
		t.Errorf("run of %s counts as lost, want it kept: the worker runs it", second.Task)
	}
}

// Guards against a new owner that extends a lease beyond its inherited end before its own report is stored: the next owner
// would read the old report and give up a run that the worker still has.
func TestInheritedLeaseIsKeptUntilTheReportIsStored(t *testing.T) {
	d := newManualSim(t)
	end := d.now + 500
	d.s.SetInheritedLeases(d.now+9*clock.Second, map[string]clock.Millis{"w0": end})
	d.s.SetWorker(testWorker("w0", 1))
	d.s.AddJob(testJob("j", 1), &batch.Progress{State: batch.Running,
		Runs: []batch.Run{{Number: 1, Worker: "w0", Incarnation: 1, Machine: "m-w0"}}}, false)
	for range 3 { // its first transaction is not answered during this time
		d.s.Plan()
		for _, hold := range ordersOf[Hold](d) {
			if hold.Deadline > end {
				t.Errorf("deadline of a hold got %d, want at most %d, the end in the table", hold.Deadline, end)
			}
			d.s.HoldAnswered(hold, d.listing(1, Running{Task: "j.0.0.0", Run: 1}), d.now)
		}
		d.advance(holdInterval)
	}
}

// Guards against a hold that acknowledges end numbers of the worker's previous incarnation: the new one would drop an end
// that was never processed, and its task would run again.
func TestEndsOfNewIncarnationAreNotAcknowledged(t *testing.T) {
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	hold := planSingle[Hold](d)
	ended := d.listing(1)
	ended.Ended = []Ended{{Number: 3, Task: "x.0.0.0", Run: 1, Reason: EndStopped}}
	d.s.HoldAnswered(hold, ended, d.now)
	d.commit()
	d.advance(holdInterval)
	d.s.AddJob(testJob("j", 1), nil, false)
	d.s.Plan()
	hold = single[Hold](d)
	sent := d.now
	d.commit()
	start := single[Start](d)
	// The worker has just restarted under the same ID, accepts the start, and its task is soon done.
	d.s.HoldAnswered(hold, Listing{}, sent)
	d.advance(10)
	d.s.StartAnswered(start, Reply{Outcome: Accepted, Clock: 10, Incarnation: 2})
	d.advance(holdRetryDelay)
	d.s.Orders()
	d.commit() // the next hold may wait for a newer token
	hold = planSingle[Hold](d)
	if hold.Ack >= 1 {
		t.Errorf("acknowledged end of the hold got %d, want 0: this incarnation has listed none", hold.Ack)
	}
}

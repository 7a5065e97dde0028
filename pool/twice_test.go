package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// desk drives a scheduler by hand: its workers say exactly what a test has them say, in the order that the test chooses.
type desk struct {
	t     *testing.T
	s     *Scheduler
	now   clock.Millis
	token int64
}

func newDesk(t *testing.T, workers ...string) *desk {
	d := &desk{t: t, s: NewScheduler(testPool, 6*clock.Second, clock.Minute, nil), now: 20 * clock.Second, token: 10}
	queue := testQueue
	queue.Pool = testPool
	d.s.Configure(&batch.Configuration{Version: 1, Queues: []batch.Queue{queue}, Pools: []batch.Pool{{Name: testPool}}})
	d.s.SetToken(d.token)
	d.s.Tick(d.now, d.now)
	for _, id := range workers {
		d.s.SetWorker(deskWorker(id, 1))
	}
	return d
}

func deskWorker(id string, born int64) batch.Worker {
	return batch.Worker{ID: id, Machine: "m-" + id, Pool: testPool, Address: id, Incarnation: born,
		Capacity: batch.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"}}
}

func deskJob(id string, tasks int) *batch.Job {
	return &batch.Job{ID: id, Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{{Count: tasks, Need: cpu(1000), Estimate: 800}}}
}

func (d *desk) after(wait clock.Millis) {
	d.now += wait
	d.s.Tick(d.now, d.now)
}

func (d *desk) commit() {
	d.t.Helper()
	if d.s.Transaction() == nil && d.s.Renewal() == nil {
		d.t.Fatal("a draft is out already")
	}
	d.committed()
}

func (d *desk) committed() {
	d.token++
	d.s.Committed(d.token)
}

// listing returns an accepted hold's answer of the life, given now by a worker whose clock is ours.
func (d *desk) listing(born int64, running ...Running) Listing {
	return Listing{Reply: Reply{Outcome: Accepted, Clock: d.now, Incarnation: born}, Running: running}
}

// ordersOf returns the orders of one kind that are due.
func ordersOf[T any](d *desk) (found []T) {
	for _, order := range d.s.Orders() {
		if o, ok := order.(T); ok {
			found = append(found, o)
		}
	}
	return found
}

// only plans and returns the one order of its kind that is due.
func only[T any](d *desk) T {
	d.t.Helper()
	d.s.Plan()
	return single[T](d)
}

func single[T any](d *desk) T {
	d.t.Helper()
	found := ordersOf[T](d)
	if len(found) != 1 {
		d.t.Fatalf("orders of kind %T got %d, want 1", *new(T), len(found))
	}
	return found[0]
}

// meet has a worker answer its first hold.
func (d *desk) meet() {
	d.t.Helper()
	d.s.HoldAnswered(only[Hold](d), d.listing(1), d.now)
	d.after(holdPause)
}

// Guards against a start whose lease lasts longer than the report in the same transaction tells: a successor that reads the
// report would give the run up while the worker runs it.
func TestStartKeepsToTheLeaseThatItsTransactionTells(t *testing.T) {
	d := newDesk(t, "w0")
	d.meet()
	hold := only[Hold](d)
	sent := d.now
	d.after(hold.Wait + answerTime)
	if d.s.Renewal() == nil {
		t.Fatal("no renewal, want one that the store is slow to take")
	}
	d.s.AddJob(deskJob("j", 1), nil, false)
	d.s.Plan()
	d.after(400)
	d.s.HoldAnswered(hold, Listing{}, sent)
	d.committed()
	if d.s.Transaction() == nil {
		t.Fatal("no draft, want one with the start")
	}
	load := d.s.Load()
	told, ok := load.Leases["w0"]
	if !ok {
		return // nothing is told, so that a successor assumes the longest lease
	}
	end := d.now + told
	d.after(20)
	d.committed()
	for _, start := range ordersOf[Start](d) {
		if start.Deadline > end {
			t.Errorf("deadline of the start got %d, want at most %d, the end that the report tells", start.Deadline, end)
		}
	}
}

// Guards against a start that is repeated under a newer token, and prolongs a lease of which the report tells an earlier end.
func TestRepeatedStartKeepsToTheToldLease(t *testing.T) {
	d := newDesk(t, "w0")
	answered := d.now
	d.meet()
	d.s.AddJob(deskJob("a", 1), nil, false)
	d.s.Plan()
	hold := single[Hold](d)
	held := d.now
	d.commit()
	first := single[Start](d)
	d.after(100)
	d.s.AddJob(deskJob("b", 1), nil, false)
	d.s.Plan()
	d.commit()
	second := single[Start](d) // is slow on its way
	d.after(100)
	d.s.StartAnswered(first, Reply{})
	urgent := only[Hold](d)
	if !urgent.Urgent || urgent.Token <= second.Token {
		t.Fatalf("hold got %+v, want an urgent one under a token above %d", urgent, second.Token)
	}
	d.after(50)
	d.s.HoldAnswered(hold, Listing{}, held)
	d.s.Renewal()
	told, ok := d.s.Load().Leases["w0"]
	if !ok {
		t.Fatal("lease is not told, want it told of a silent worker")
	}
	end := d.now + told
	d.after(20)
	d.committed()
	d.after(20)
	d.s.StartAnswered(second, Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1}) // the urgent hold came first
	for _, start := range ordersOf[Start](d) {
		// The worker told its clock when it answered last, and that clock is 2% slow.
		if got := answered + (start.Deadline-answered)*100/98; got > end {
			t.Errorf("end of the lease of the start got %d, want at most %d, the end that the report tells", got, end)
		}
	}
}

// Guards against lists of the same millisecond that are taken for newer ones: a task that just began would count as lost,
// and start again beside itself.
func TestOlderListsOfTheSameMillisecond(t *testing.T) {
	d := newDesk(t, "w0")
	d.meet()
	d.s.AddJob(deskJob("a", 1), nil, false)
	d.s.Plan()
	waiting := single[Hold](d)
	waitingSent := d.now
	d.commit()
	first := single[Start](d)
	d.after(100)
	d.s.AddJob(deskJob("b", 1), nil, false)
	d.s.Plan()
	d.commit()
	second := single[Start](d) // its answer comes late
	d.after(100)
	d.s.StartAnswered(first, Reply{})
	urgent := only[Hold](d)
	urgentSent := d.now
	// In one millisecond the worker answers the hold that waited, begins the task, and answers the urgent hold.
	d.after(5)
	older := d.listing(1, Running{Task: first.Task, Run: 1})
	newer := d.listing(1, Running{Task: first.Task, Run: 1}, Running{Task: second.Task, Run: 1})
	d.after(5)
	d.s.HoldAnswered(urgent, newer, urgentSent)
	d.s.HoldAnswered(waiting, older, waitingSent)
	if got := d.s.jobs["b"].occurrences[0].steps[0].tasks[0].run; got == nil {
		t.Errorf("run of %s counts as lost, want it kept: the worker runs it", second.Task)
	}
}

// Guards against an inherited end of a lease that the new owner makes untrue before its own report is stored: the owner
// after it would read the old report and give up a run that the worker still has.
func TestInheritedLeaseIsKeptUntilTheReportIsStored(t *testing.T) {
	d := newDesk(t)
	end := d.now + 500
	d.s.SetInheritedLeases(d.now+9*clock.Second, map[string]clock.Millis{"w0": end})
	d.s.SetWorker(deskWorker("w0", 1))
	d.s.AddJob(deskJob("j", 1), &batch.Progress{State: batch.Running,
		Runs: []batch.Run{{Number: 1, Worker: "w0", Incarnation: 1, Machine: "m-w0"}}}, false)
	for range 3 { // its first transaction gets no answer all the while
		d.s.Plan()
		for _, hold := range ordersOf[Hold](d) {
			if hold.Deadline > end {
				t.Errorf("deadline of a hold got %d, want at most %d, the end that the table tells", hold.Deadline, end)
			}
			d.s.HoldAnswered(hold, d.listing(1, Running{Task: "j.0.0.0", Run: 1}), d.now)
		}
		d.after(holdPause)
	}
}

// Guards against a hold with the end numbers of a worker's former life: the new life forgets an end that nobody has taken in,
// and its task would run again.
func TestEndsOfANewLifeAreNotForgotten(t *testing.T) {
	d := newDesk(t, "w0")
	d.meet()
	hold := only[Hold](d)
	ended := d.listing(1)
	ended.Ended = []Ended{{Number: 3, Task: "x.0.0.0", Run: 1, Reason: EndStopped}}
	d.s.HoldAnswered(hold, ended, d.now)
	d.commit()
	d.after(holdPause)
	d.s.AddJob(deskJob("j", 1), nil, false)
	d.s.Plan()
	hold = single[Hold](d)
	sent := d.now
	d.commit()
	start := single[Start](d)
	// The worker has just restarted under its id, takes the start, and its task is soon done.
	d.s.HoldAnswered(hold, Listing{}, sent)
	d.after(10)
	d.s.StartAnswered(start, Reply{Outcome: Accepted, Clock: 10, Incarnation: 2})
	d.after(holdRetry)
	d.s.Orders()
	d.commit() // the next hold may wait for a newer token
	hold = only[Hold](d)
	if hold.Ack >= 1 {
		t.Errorf("acknowledged end of the hold got %d, want 0: this life has told of none", hold.Ack)
	}
}

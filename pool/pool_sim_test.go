package pool

import (
	"fmt"
	"sort"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

const testPool = "p"

// fakeWorker is a worker that follows the rules of the platform for leases, fencing tokens, and ends, which it keeps until
// they are acknowledged.
type fakeWorker struct {
	entry       batch.Worker
	unreachable bool // receives no orders and sends no answers
	token       int64
	lease       clock.Millis // end on its own clock
	runs        map[string]*fakeRun
	ended       []Ended
	ends        int64
	lapsed      int64 // number of the newest end when its lease had last expired
	stopTime    clock.Millis
	entryDue    clock.Millis // when it writes its entry after a restart; 0: it has written it
	storeCut    bool         // it does not reach the store
}

// entryDelay is the time from the restart of a worker to its entry.
const entryDelay = 50 * clock.Millis(1)

type fakeRun struct {
	start       Start
	began       clock.Millis
	length      clock.Millis // 0: long-running
	stopping    clock.Millis // when the stop was ordered; 0: not ordered
	cpuPercent  int
	measurement int
}

// poolSim runs a scheduler against fake workers in steps of 10 ms.
type poolSim struct {
	t       *testing.T
	s       *Scheduler
	now     clock.Millis
	workers map[string]*fakeWorker
	length  func(task string) clock.Millis // run time of a task; 0: long-running
	// factor, if set, returns the factor for the run time of a task on a worker.
	factor func(task string, f *fakeWorker) int
	fails  func(task, worker string) bool
	stalls func(task, worker string) bool // if set, reports which tasks make no progress
	// lose, if set, reports which orders get no answer. If late is positive, a Start is carried out after that time;
	// other orders never are.
	lose func(order any) (lost bool, late clock.Millis)

	holds        []pendingHold
	delayed      []delayedOrder
	starts       map[string]int // starts that a worker carried out, by task
	defs         map[string]*batch.Job
	states       map[string]batch.State     // as last stored
	progress     map[string]*batch.Progress // as last stored
	token        int64
	load         Load // as last stored
	storeBlocked bool // the store rejects writes
	endHistory   *endHistory
	routes       routes
	advisor      *fakeAdvisor // nil: no queue is advised
	// failures counts the failed ends of each task that were acknowledged; a start beyond maxAttempts fails the test. 0: no limit.
	failures    map[string]int
	maxAttempts int
	// leaseBoundFailures is set if failed ends that were acknowledged after the lease of their worker had expired are not counted.
	leaseBoundFailures bool
	machines           map[string]string // the platform's list: the worker on each machine; nil: the platform does not answer
	listRequests       int
	// dropsOnRestart is set if orders in transit are lost when their worker restarts.
	dropsOnRestart bool
}

type pendingHold struct {
	order       Hold
	sent        clock.Millis
	due         clock.Millis
	incarnation int64 // of the worker when the order was sent
}

type delayedOrder struct {
	order       any
	at          clock.Millis
	incarnation int64 // of the worker when the order was sent
}

func newPoolSim(t *testing.T, workers int, queue batch.Queue) *poolSim {
	w := &poolSim{t: t, s: NewScheduler(testPool, 6*clock.Second, clock.Minute, nil), now: 1000, token: 10,
		workers: map[string]*fakeWorker{}, starts: map[string]int{}, failures: map[string]int{}, defs: map[string]*batch.Job{}, states: map[string]batch.State{}, progress: map[string]*batch.Progress{},
		endHistory: newEndHistory(), routes: routes{}, length: func(string) clock.Millis { return 1000 }, fails: func(string, string) bool { return false }}
	queue.Pool = testPool
	w.configure(&batch.Configuration{Version: 1, Queues: []batch.Queue{queue}, Pools: []batch.Pool{{Name: testPool}}})
	w.s.SetToken(w.token)
	w.s.Tick(w.now, w.now)
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *poolSim) configure(c *batch.Configuration) {
	w.routes.add(c)
	w.s.Configure(c)
}

func (w *poolSim) addWorker(id string) *fakeWorker { return w.addWorkerOn(id, "m-"+id) }

// addWorkerOn adds a worker that has just started on the machine.
func (w *poolSim) addWorkerOn(id, machine string) *fakeWorker {
	f := &fakeWorker{runs: map[string]*fakeRun{}, stopTime: 300, entry: batch.Worker{ID: id, Machine: machine, Pool: testPool,
		Address: id, Incarnation: int64(w.now), Capacity: batch.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"}}}
	w.workers[id] = f
	w.s.SetWorker(f.entry)
	return f
}

func (w *poolSim) submit(id string, steps ...batch.Step) {
	w.add(&batch.Job{ID: id, Queue: "q", Pool: testPool, Spec: "spec", Steps: steps, Accepted: w.now})
}

func (w *poolSim) add(job *batch.Job) {
	w.defs[job.ID], w.states[job.ID] = job, batch.Pending
	w.s.AddJob(job, nil, false)
}

// run advances the simulation.
func (w *poolSim) run(d clock.Millis) {
	for end := w.now + d; w.now < end; {
		w.now += 10
		w.s.Tick(w.now, w.now)
		w.advanceWorkers()
		w.deliver()
		if w.advisor != nil {
			w.advisor.answer(w)
		}
		w.s.Plan()
		w.dispatch()
		if !w.storeBlocked {
			tx := w.s.Transaction()
			if tx == nil && w.now%500 == 0 {
				tx = w.s.Renewal()
			}
			if tx != nil {
				for _, row := range tx.Rows {
					w.checkStored(row)
					w.states[row.ID], w.progress[row.ID] = row.Progress.State, row.Progress
				}
				w.load = w.s.Load()
				w.token++
				w.s.Committed(w.token)
				w.dispatch()
			}
		}
		w.checkCapacity()
	}
}

// checkStored fails the test if the progress of a job is larger than a row of the store.
func (w *poolSim) checkStored(row JobRow) {
	if got := row.Progress.Size(); got > batch.MaxProgressBytes {
		w.t.Fatalf("%d ms: progress of %s has %d bytes, want at most %d", w.now, row.ID, got, batch.MaxProgressBytes)
	}
}

// at returns the worker with the id of the target if it can be reached at the target's address, and nil otherwise.
func (w *poolSim) at(target Target) *fakeWorker {
	f := w.workers[target.ID]
	if f == nil || f.entry.Address != target.Address {
		return nil
	}
	return f
}

func (w *poolSim) dispatch() {
	for _, order := range w.s.Orders() {
		if hold, ok := order.(Hold); ok && w.at(hold.Target) == nil {
			w.s.HoldAnswered(hold, Listing{Reply: Reply{Outcome: NotSent}}, w.now)
			continue
		}
		lost, late := false, clock.Millis(0)
		if w.lose != nil {
			lost, late = w.lose(order)
		}
		if lost && late > 0 {
			w.delayed = append(w.delayed, delayedOrder{order, w.now + late, w.incarnationOf(order)})
		}
		switch o := order.(type) {
		case Start:
			reply := Reply{}
			if !lost {
				reply = w.workers[o.Target.ID].takeStart(w, o)
			}
			w.s.StartAnswered(o, reply)
		case Stop:
			reply := Reply{}
			if !lost {
				reply = w.workers[o.Target.ID].takeStop(w, o)
			}
			w.s.StopAnswered(o, reply)
		case Throttle:
			reply := Reply{}
			if !lost {
				reply = w.workers[o.Target.ID].takeThrottle(o)
			}
			w.s.ThrottleAnswered(o, reply)
		case Hold:
			w.holds = append(w.holds, pendingHold{o, w.now, w.now + o.Wait, w.incarnationOf(o)})
		case Advise:
			w.advisor.ask(o, w.now)
		case ListMachines:
			w.listRequests++
			w.s.MachinesListed(w.machines)
		}
	}
}

// incarnationOf returns the current incarnation of the worker that a Start or Hold is sent to, and 0 for other orders.
func (w *poolSim) incarnationOf(order any) int64 {
	switch o := order.(type) {
	case Start:
		return w.workers[o.Target.ID].entry.Incarnation
	case Hold:
		return w.workers[o.Target.ID].entry.Incarnation
	}
	return 0
}

// deliver answers holds once there is an end to report or their wait is over, and carries out late starts.
func (w *poolSim) deliver() {
	var waiting []pendingHold
	for _, h := range w.holds {
		f := w.workers[h.order.Target.ID]
		switch {
		case w.at(h.order.Target) == nil, w.dropsOnRestart && f.entry.Incarnation != h.incarnation:
			w.s.HoldAnswered(h.order, Listing{}, h.sent)
		case f.unreachable && w.now < h.due+600:
			waiting = append(waiting, h)
		case f.unreachable:
			w.s.HoldAnswered(h.order, Listing{}, h.sent)
		case w.now >= h.due || f.hasUnackedEnds(h.order.Ack):
			w.s.HoldAnswered(h.order, f.hold(w, h.order), h.sent)
		default:
			waiting = append(waiting, h)
		}
	}
	w.holds = waiting
	var later []delayedOrder
	for _, d := range w.delayed {
		if w.now < d.at {
			later = append(later, d)
			continue
		}
		if o, ok := d.order.(Start); ok && !w.workers[o.Target.ID].unreachable && !(w.dropsOnRestart && w.incarnationOf(o) != d.incarnation) {
			w.workers[o.Target.ID].takeStart(w, o)
		}
	}
	w.delayed = later
}

func (w *poolSim) advanceWorkers() {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		if f.entryDue != 0 && w.now >= f.entryDue {
			f.entryDue = 0
			w.s.SetWorker(f.entry)
		}
		if w.now > f.lease {
			w.endHistory.expire(f.incarnation())
			f.lapsed = f.ends
		}
		for _, name := range sortedNames(f.runs) {
			r := f.runs[name]
			switch {
			case w.now > f.lease:
				f.end(name, r, EndLapsed)
			case r.stopping > 0 && w.now-r.stopping >= f.stopTime:
				f.end(name, r, EndStopped)
			case w.stalls != nil && w.stalls(name, f.entry.ID):
				r.began = w.now
			case r.length > 0 && w.now-r.began >= r.length && w.fails(name, f.entry.ID):
				f.end(name, r, EndFailed)
			case r.length > 0 && w.now-r.began >= r.length:
				f.end(name, r, EndDone)
				if !w.isLongRunning(name) {
					w.endHistory.done(name, r.start.Run, f.incarnation(), f.ends, w.now)
				}
			}
		}
	}
}

func (w *poolSim) lengthOn(task string, f *fakeWorker) clock.Millis {
	length := w.length(task)
	if w.factor != nil {
		length *= clock.Millis(w.factor(task, f))
	}
	return length
}

func sortedNames(runs map[string]*fakeRun) []string {
	names := make([]string, 0, len(runs))
	for name := range runs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// checkCapacity fails the test if a worker is overcommitted, counting runs that are being stopped, or if a task has two runs
// at once whose step does not allow it.
func (w *poolSim) checkCapacity() {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		used := 0
		for _, r := range f.runs {
			job, key, _ := batch.ParseTask(r.start.Task)
			used += w.defs[job].Steps[key.Step].Reserve().CPU
		}
		if used > f.entry.Capacity.CPU {
			w.t.Fatalf("%d ms: worker %s runs %d thousandths of a core, want at most %d", w.now, id, used, f.entry.Capacity.CPU)
		}
	}
	running := map[string]string{}
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		for _, name := range sortedNames(f.runs) {
			if other, twice := running[name]; twice && !w.allowsDuplicates(name) {
				w.t.Fatalf("%d ms: task %s runs on %s and on %s", w.now, name, id, other)
			}
			running[name] = id
		}
	}
}

// allowsDuplicates reports whether the task may run twice at once.
func (w *poolSim) allowsDuplicates(task string) bool {
	job, key, _ := batch.ParseTask(task)
	return w.defs[job].Steps[key.Step].AllowDuplicates
}

// isLongRunning reports whether the task is restarted whenever it ends.
func (w *poolSim) isLongRunning(task string) bool {
	job, key, _ := batch.ParseTask(task)
	return w.defs[job].Steps[key.Step].LongRunning
}

func (f *fakeWorker) incarnation() incarnation { return incarnation{f.entry.ID, f.entry.Incarnation} }

func (f *fakeWorker) end(name string, r *fakeRun, how EndReason) {
	f.ends++
	f.ended = append(f.ended, Ended{Number: f.ends, Task: name, Run: r.start.Run, Reason: how})
	delete(f.runs, name)
}

func (f *fakeWorker) hasUnackedEnds(ack int64) bool {
	return len(f.ended) > 0 && f.ended[len(f.ended)-1].Number > ack
}

func (f *fakeWorker) reply(w *poolSim, outcome Outcome) Reply {
	return Reply{Outcome: outcome, Clock: w.now, Incarnation: f.entry.Incarnation}
}

func (f *fakeWorker) takeStart(w *poolSim, o Start) Reply {
	switch {
	case f.unreachable:
		return Reply{}
	case o.Token < f.token:
		return f.reply(w, Fenced)
	case w.now > o.Deadline:
		return f.reply(w, TooLate)
	}
	f.token = o.Token
	f.lease = max(f.lease, o.Deadline)
	if f.runs[o.Task] == nil && w.advisor != nil && !w.advisor.admits(w, o, f) {
		return f.reply(w, NoTicket)
	}
	if f.runs[o.Task] == nil {
		job, _, _ := batch.ParseTask(o.Task)
		if violation := w.routes.violation(w.defs[job], o.Task, f.entry, sortedNames(f.runs)); violation != "" {
			w.t.Fatalf("%d ms: %s", w.now, violation)
		}
		if n := w.failures[o.Task]; w.maxAttempts > 0 && n >= w.maxAttempts {
			w.t.Fatalf("%d ms: task %s starts after %d failed ends were acknowledged, want at most %d", w.now, o.Task, n, w.maxAttempts)
		}
		f.runs[o.Task] = &fakeRun{start: o, began: w.now, length: w.lengthOn(o.Task, f), cpuPercent: 100}
		w.starts[o.Task]++
		if end := w.endHistory.start(o.Task, o.Run, f.incarnation(), w.now); end != nil && !w.allowsDuplicates(o.Task) {
			w.t.Fatalf("%d ms: %v", w.now, end)
		}
	}
	return f.reply(w, Accepted)
}

func (f *fakeWorker) takeStop(w *poolSim, o Stop) Reply {
	switch {
	case f.unreachable:
		return Reply{}
	case o.Token < f.token:
		return f.reply(w, Fenced)
	}
	if r := f.runs[o.Task]; r != nil && r.stopping == 0 {
		r.stopping = w.now
	}
	return f.reply(w, Accepted)
}

func (f *fakeWorker) takeThrottle(o Throttle) Reply {
	if r := f.runs[o.Task]; r != nil && !f.unreachable {
		r.cpuPercent = o.Percent
		return Reply{Outcome: Accepted}
	}
	return Reply{}
}

func (f *fakeWorker) hold(w *poolSim, o Hold) Listing {
	if o.Token < f.token {
		return Listing{Reply: f.reply(w, Fenced)}
	}
	f.token = o.Token
	f.lease = max(f.lease, o.Deadline)
	if end := w.endHistory.acknowledge(f.incarnation(), o.Ack); end != nil && !w.allowsDuplicates(end.task) {
		w.t.Fatalf("%d ms: %v", w.now, end)
	}
	kept := f.ended[:0]
	for _, e := range f.ended {
		switch {
		case e.Number > o.Ack:
			kept = append(kept, e)
		case e.Reason == EndFailed && (e.Number > f.lapsed || !w.leaseBoundFailures):
			w.failures[e.Task]++
		}
	}
	f.ended = kept
	listing := Listing{Reply: f.reply(w, Accepted), Ended: append([]Ended(nil), f.ended...)}
	for _, name := range sortedNames(f.runs) {
		r := f.runs[name]
		percent := 100
		if r.length > 0 {
			percent = int(min((w.now-r.began)*100/r.length, 99))
		} else if w.now-r.began < 900 {
			percent = int((w.now - r.began) / 9)
		}
		listing.Running = append(listing.Running, Running{Task: name, Run: r.start.Run, Percent: percent, Measurement: r.measurement})
	}
	return listing
}

// restart gives the worker a new incarnation under the same ID, which writes its entry unless it does not reach the store.
func (f *fakeWorker) restart(w *poolSim) {
	f.runs, f.ended, f.ends, f.lapsed, f.token, f.lease = map[string]*fakeRun{}, nil, 0, 0, 0, 0
	f.entry.Incarnation = int64(w.now)
	if !f.storeCut {
		f.entryDue = w.now + entryDelay
	}
}

// state returns the state of a job as reported to callers.
func (w *poolSim) state(id string) batch.State { return w.states[id] }

func (w *poolSim) runner(task string) string {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		if f.runs[task] != nil {
			return id
		}
	}
	return ""
}

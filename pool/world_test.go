package pool

import (
	"fmt"
	"sort"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

const testPool = "p"

// fakeWorker is a worker that keeps the rules of the platform: leases, fencing tokens, ends until they are acknowledged.
type fakeWorker struct {
	entry    batch.Worker
	dark     bool // neither takes calls nor answers
	token    int64
	lease    clock.Millis // end, on its own clock
	runs     map[string]*fakeRun
	ended    []Ended
	ends     int64
	stopTime clock.Millis
}

type fakeRun struct {
	start    Start
	began    clock.Millis
	length   clock.Millis // 0: lasts
	stopping clock.Millis // when the stop was asked for; 0: not
	pace     int
	figure   int
}

// world runs a scheduler against fake workers in steps of 10 ms.
type world struct {
	t       *testing.T
	s       *Scheduler
	now     clock.Millis
	workers map[string]*fakeWorker
	length  func(task string) clock.Millis // run time of a task; 0: lasts
	fails   func(task, worker string) bool
	stalls  func(task, worker string) bool // if set, tells which tasks make no progress
	// lose, if set, tells which orders get no answer; late orders are carried out after the given time.
	lose func(order any) (lost bool, late clock.Millis)

	holds   []pendingHold
	delayed []delayedOrder
	starts  map[string]int // starts that a worker carried out, by task
	defs    map[string]*batch.Job
	states  map[string]batch.State // as stored last
	token   int64
	load    Load // as stored last
	blocked bool // the store takes nothing
	ledger  *ledger
	routes  routes
	// endsWithLife is set where an order that is on its way ends with the life of the worker that it was sent to.
	endsWithLife bool
}

type pendingHold struct {
	order Hold
	sent  clock.Millis
	due   clock.Millis
	born  int64 // of the worker when the order was sent
}

type delayedOrder struct {
	order any
	at    clock.Millis
	born  int64 // as above
}

func newWorld(t *testing.T, workers int, queue batch.Queue) *world {
	w := &world{t: t, s: NewScheduler(testPool, 6*clock.Second, clock.Minute, nil), now: 1000, token: 10,
		workers: map[string]*fakeWorker{}, starts: map[string]int{}, defs: map[string]*batch.Job{}, states: map[string]batch.State{},
		ledger: newLedger(), routes: routes{}, length: func(string) clock.Millis { return 1000 }, fails: func(string, string) bool { return false }}
	queue.Pool = testPool
	w.configure(&batch.Configuration{Version: 1, Queues: []batch.Queue{queue}, Pools: []batch.Pool{{Name: testPool}}})
	w.s.SetToken(w.token)
	w.s.Tick(w.now, w.now)
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *world) configure(c *batch.Configuration) {
	w.routes.add(c)
	w.s.Configure(c)
}

func (w *world) addWorker(id string) *fakeWorker {
	f := &fakeWorker{runs: map[string]*fakeRun{}, stopTime: 300, entry: batch.Worker{ID: id, Machine: "m-" + id, Pool: testPool,
		Address: id, Incarnation: int64(w.now), Capacity: batch.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"}}}
	w.workers[id] = f
	w.s.SetWorker(f.entry)
	return f
}

func (w *world) submit(id string, steps ...batch.Step) {
	w.add(&batch.Job{ID: id, Queue: "q", Pool: testPool, Spec: "spec", Steps: steps, Accepted: w.now})
}

func (w *world) add(job *batch.Job) {
	w.defs[job.ID], w.states[job.ID] = job, batch.Pending
	w.s.AddJob(job, nil, false)
}

// run advances the world.
func (w *world) run(d clock.Millis) {
	for end := w.now + d; w.now < end; {
		w.now += 10
		w.s.Tick(w.now, w.now)
		w.advanceWorkers()
		w.deliver()
		w.s.Plan()
		w.dispatch()
		if !w.blocked {
			draft := w.s.Transaction()
			if draft == nil && w.now%500 == 0 {
				draft = w.s.Renewal()
			}
			if draft != nil {
				for _, row := range draft.Rows {
					w.states[row.ID] = row.Progress.State
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

func (w *world) dispatch() {
	for _, order := range w.s.Orders() {
		lost, late := false, clock.Millis(0)
		if w.lose != nil {
			lost, late = w.lose(order)
		}
		if lost && late > 0 {
			w.delayed = append(w.delayed, delayedOrder{order, w.now + late, w.bornOf(order)})
		}
		switch o := order.(type) {
		case Start:
			reply := Reply{}
			if !lost {
				reply = w.workers[o.Target.ID].take(w, o)
			}
			w.s.StartAnswered(o, reply)
		case Stop:
			reply := Reply{}
			if !lost {
				reply = w.workers[o.Target.ID].takeStop(w, o)
			}
			w.s.StopAnswered(o, reply)
		case Throttle:
			w.s.ThrottleAnswered(o, w.workers[o.Target.ID].takePace(o))
		case Hold:
			w.holds = append(w.holds, pendingHold{o, w.now, w.now + o.Wait, w.bornOf(o)})
		}
	}
}

// bornOf returns the start of the present life of the worker that the order is for.
func (w *world) bornOf(order any) int64 {
	switch o := order.(type) {
	case Start:
		return w.workers[o.Target.ID].entry.Incarnation
	case Hold:
		return w.workers[o.Target.ID].entry.Incarnation
	}
	return 0
}

// deliver answers holds once an end is there or their wait is over, and carries out late orders.
func (w *world) deliver() {
	var waiting []pendingHold
	for _, h := range w.holds {
		f := w.workers[h.order.Target.ID]
		switch {
		case w.endsWithLife && f.entry.Incarnation != h.born:
			w.s.HoldAnswered(h.order, Listing{}, h.sent)
		case f.dark && w.now < h.due+600:
			waiting = append(waiting, h)
		case f.dark:
			w.s.HoldAnswered(h.order, Listing{}, h.sent)
		case w.now >= h.due || f.hasNews(h.order.Ack):
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
		if o, ok := d.order.(Start); ok && !w.workers[o.Target.ID].dark && !(w.endsWithLife && w.bornOf(o) != d.born) {
			w.workers[o.Target.ID].take(w, o)
		}
	}
	w.delayed = later
}

func (w *world) advanceWorkers() {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		if w.now > f.lease {
			w.ledger.lapse(f.life())
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
				if !w.lasts(name) {
					w.ledger.done(name, r.start.Run, f.life(), f.ends, w.now)
				}
			}
		}
	}
}

func sortedNames(runs map[string]*fakeRun) []string {
	names := make([]string, 0, len(runs))
	for name := range runs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// checkCapacity guards against more than a worker has, where what is being stopped counts, and against two runs of a task at once.
func (w *world) checkCapacity() {
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
			if other, twice := running[name]; twice {
				w.t.Fatalf("%d ms: task %s runs on %s and on %s", w.now, name, id, other)
			}
			running[name] = id
		}
	}
}

// lasts reports whether the task starts again however it ends.
func (w *world) lasts(task string) bool {
	job, key, _ := batch.ParseTask(task)
	return w.defs[job].Steps[key.Step].LongRunning
}

func (f *fakeWorker) life() life { return life{f.entry.ID, f.entry.Incarnation} }

func (f *fakeWorker) end(name string, r *fakeRun, how EndReason) {
	f.ends++
	f.ended = append(f.ended, Ended{Number: f.ends, Task: name, Run: r.start.Run, Reason: how})
	delete(f.runs, name)
}

func (f *fakeWorker) hasNews(ack int64) bool {
	return len(f.ended) > 0 && f.ended[len(f.ended)-1].Number > ack
}

func (f *fakeWorker) reply(w *world, outcome Outcome) Reply {
	return Reply{Outcome: outcome, Clock: w.now, Incarnation: f.entry.Incarnation}
}

func (f *fakeWorker) take(w *world, o Start) Reply {
	switch {
	case f.dark:
		return Reply{}
	case o.Token < f.token:
		return f.reply(w, Fenced)
	case w.now > o.Deadline:
		return f.reply(w, TooLate)
	}
	f.token = o.Token
	f.lease = max(f.lease, o.Deadline)
	if f.runs[o.Task] == nil {
		job, _, _ := batch.ParseTask(o.Task)
		if fault := w.routes.fault(w.defs[job], o.Task, f.entry, sortedNames(f.runs)); fault != "" {
			w.t.Fatalf("%d ms: %s", w.now, fault)
		}
		f.runs[o.Task] = &fakeRun{start: o, began: w.now, length: w.length(o.Task), pace: 100}
		w.starts[o.Task]++
		if end := w.ledger.start(o.Task, o.Run, f.life(), w.now); end != nil {
			w.t.Fatalf("%d ms: %v", w.now, end)
		}
	}
	return f.reply(w, Accepted)
}

func (f *fakeWorker) takeStop(w *world, o Stop) Reply {
	switch {
	case f.dark:
		return Reply{}
	case o.Token < f.token:
		return f.reply(w, Fenced)
	}
	if r := f.runs[o.Task]; r != nil && r.stopping == 0 {
		r.stopping = w.now
	}
	return f.reply(w, Accepted)
}

func (f *fakeWorker) takePace(o Throttle) Reply {
	if r := f.runs[o.Task]; r != nil && !f.dark {
		r.pace = o.Percent
		return Reply{Outcome: Accepted}
	}
	return Reply{}
}

func (f *fakeWorker) hold(w *world, o Hold) Listing {
	if o.Token < f.token {
		return Listing{Reply: f.reply(w, Fenced)}
	}
	f.token = o.Token
	f.lease = max(f.lease, o.Deadline)
	if end := w.ledger.acknowledge(f.life(), o.Ack); end != nil {
		w.t.Fatalf("%d ms: %v", w.now, end)
	}
	kept := f.ended[:0]
	for _, e := range f.ended {
		if e.Number > o.Ack {
			kept = append(kept, e)
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
		listing.Running = append(listing.Running, Running{Task: name, Run: r.start.Run, Percent: percent, Measurement: r.figure})
	}
	return listing
}

// restart gives the worker a new life under the same id.
func (f *fakeWorker) restart(w *world) {
	f.runs, f.ended, f.ends, f.token, f.lease = map[string]*fakeRun{}, nil, 0, 0, 0
	f.entry.Incarnation = int64(w.now)
}

// state returns what callers are told of a job.
func (w *world) state(id string) batch.State { return w.states[id] }

func (w *world) where(task string) string {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		if f.runs[task] != nil {
			return id
		}
	}
	return ""
}

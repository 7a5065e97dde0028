package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// oddEntry is an entry that another writer leaves among those of the workers, beside the entry of w, which runs tasks.
type oddEntry struct {
	name  string
	entry func(w, other batch.Worker) batch.Worker
}

var oddEntries = []oddEntry{
	{"of a new worker on the machine", func(w, _ batch.Worker) batch.Worker {
		return batch.Worker{ID: "agent-1", Machine: w.Machine, Pool: w.Pool, Address: "nowhere", Incarnation: w.Incarnation + 5000, Capacity: cpu(100)}
	}},
	{"of a new worker on the machine, at its worker's address", func(w, _ batch.Worker) batch.Worker {
		return batch.Worker{ID: "agent-1", Machine: w.Machine, Pool: w.Pool, Address: w.Address, Incarnation: w.Incarnation + 5000, Capacity: cpu(1 << 40)}
	}},
	{"of the worker, started later", func(w, _ batch.Worker) batch.Worker {
		w.Incarnation += 5000
		w.Labels = nil
		return w
	}},
	{"of the worker, started later at another address", func(w, _ batch.Worker) batch.Worker {
		w.Incarnation += 5000
		w.Address = "nowhere"
		return w
	}},
	{"of the worker, started later on the machine of another one", func(w, other batch.Worker) batch.Worker {
		w.Incarnation += 5000
		w.Machine = other.Machine
		return w
	}},
	{"of the worker, started earlier", func(w, _ batch.Worker) batch.Worker {
		w.Incarnation--
		w.Address = "nowhere"
		return w
	}},
	{"of the worker, without a start", func(w, _ batch.Worker) batch.Worker {
		return batch.Worker{ID: w.ID, Machine: w.Machine, Pool: w.Pool, Address: "nowhere", Capacity: cpu(1 << 40)}
	}},
	{"of the worker, at another address", func(w, _ batch.Worker) batch.Worker {
		w.Address = "nowhere"
		return w
	}},
	{"of another worker, on the machine", func(w, other batch.Worker) batch.Worker {
		other.Machine = w.Machine
		return other
	}},
	{"of another worker, on the machine, started later", func(w, other batch.Worker) batch.Worker {
		other.Machine = w.Machine
		other.Incarnation += 5000
		return other
	}},
}

// newOddEntrySim returns a simulation in which w0 runs two tasks, and w1 started later.
func newOddEntrySim(t *testing.T) *poolSim {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 3000 }
	w.submit("j", batch.Step{Count: 2, Need: cpu(1000)})
	w.run(300)
	w.addWorker("w1")
	w.run(300)
	return w
}

// checkUndisturbed checks that the two tasks that w0 runs are done there, and that both workers can be used.
func (w *poolSim) checkUndisturbed() {
	w.t.Helper()
	w.run(700) // leases are reported every 500 ms
	usable := map[string]bool{}
	for _, f := range w.s.usable() {
		usable[f.entry.ID] = true
	}
	if !usable["w0"] || !usable["w1"] || len(usable) != 2 {
		w.t.Errorf("usable workers got %v, want w0 and w1", usable)
	}
	w.run(4 * clock.Second)
	for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
		if got := w.starts[task]; got != 1 {
			w.t.Errorf("starts of %s got %d, want 1", task, got)
		}
	}
	if got := w.state("j"); got != batch.Completed {
		w.t.Errorf("state got %v, want completed", got)
	}
}

// Guards against tasks that are started again beside their first runs, and against a worker that gets no more tasks, because of an entry of
// another writer (review/11).
func TestOddEntryEndsNoRuns(t *testing.T) {
	for _, odd := range oddEntries {
		t.Run(odd.name, func(t *testing.T) {
			w := newOddEntrySim(t)
			w.s.SetWorker(odd.entry(w.workers["w0"].entry, w.workers["w1"].entry))
			w.checkUndisturbed()
		})
	}
}

// Guards against an odd entry that a new owner reads before the workers answer it.
func TestSuccessorDoubtsOddEntries(t *testing.T) {
	for _, odd := range oddEntries {
		t.Run(odd.name, func(t *testing.T) {
			w := newOddEntrySim(t)
			genuine := []batch.Worker{w.workers["w0"].entry, w.workers["w1"].entry}
			replaced := odd.entry(genuine[0], genuine[1])
			successor := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
			successor.Configure(w.s.configuration)
			w.token += 5
			successor.SetToken(w.token)
			successor.Tick(w.now, w.now)
			successor.SetInheritedLeases(w.now+10*clock.Second, nil)
			for _, entry := range genuine {
				if entry.ID != replaced.ID { // the odd entry took the place of the worker's own
					successor.SetWorker(entry)
				}
			}
			successor.SetWorker(replaced)
			successor.AddJob(w.defs["j"], w.s.progress(w.s.jobs["j"], &Transaction{}), false)
			w.s, w.holds = successor, nil
			w.run(1000)
			for _, entry := range genuine { // the workers have written theirs again
				w.s.SetWorker(entry)
			}
			w.checkUndisturbed()
		})
	}
}

// Guards against an odd entry on a withdrawn machine that keeps its operation from beginning.
func TestOddEntryKeepsNoMachineBusy(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.run(300)
	w.s.SetWorker(oddEntries[0].entry(w.workers["w0"].entry, batch.Worker{}))
	w.s.RequestEvacuation(evacuationOf("w0"))
	w.run(unresponsiveAfter)
	if got := len(w.s.CompletedEvacuations()); got != 1 {
		t.Errorf("completed evacuations got %d, want 1", got)
	}
}

// Guards against waiting for the lease of a worker that has restarted, which its entry claims and its answer shows.
func TestRestartIsFoundByTheNewIncarnation(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart func(w *poolSim)
		within  clock.Millis // from the new entry to the next start of the tasks
	}{
		{"under its id", func(w *poolSim) { w.workers["w0"].restart(w) }, 100},
		{"under its id at another address", func(w *poolSim) {
			w.workers["w0"].restart(w)
			w.workers["w0"].entry.Address = "elsewhere"
		}, 100},
		{"under another id", func(w *poolSim) {
			delete(w.workers, "w0")
			w.addWorkerOn("w0-2", "m-w0")
		}, 100},
		{"under another id, the earlier address is silent", func(w *poolSim) {
			w.workers["w0"].unreachable, w.workers["w0"].runs = true, nil
			w.addWorkerOn("w0-2", "m-w0")
		}, holdSoftTimeout + 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newOddEntrySim(t)
			test.restart(w)
			if f := w.workers["w0"]; f != nil && !f.unreachable {
				w.s.SetWorker(f.entry)
			}
			w.run(test.within)
			for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
				if got := w.starts[task]; got != 2 {
					t.Errorf("starts of %s got %d, want 2 within %d ms", task, got, test.within)
				}
			}
		})
	}
}

// Guards against tasks that are started again because a worker is silent while the entry of another one, which answers, names its machine.
func TestPlatformTellsWhetherAWorkerIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name     string
		machines map[string]string
		starts   int // of each task
	}{
		{"the list names the successor", map[string]string{"m-w0": "w0-2", "m-w1": "w1"}, 2},
		{"the list names the worker", map[string]string{"m-w0": "w0", "m-w9": "w0-2", "m-w1": "w1"}, 1},
		{"the list names the worker on another machine", map[string]string{"m-w0": "w0-2", "m-w7": "w0", "m-w1": "w1"}, 1},
		{"the list names neither", map[string]string{"m-w1": "w1"}, 1},
		{"no answer", nil, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newOddEntrySim(t)
			w.s.ListsMachines, w.machines = true, test.machines
			w.workers["w0"].unreachable = true
			w.addWorkerOn("w0-2", "m-w0")
			if test.starts > 1 {
				w.workers["w0"].runs = nil
			}
			w.run(1500)
			for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
				if got := w.starts[task]; got != test.starts {
					t.Errorf("starts of %s got %d, want %d", task, got, test.starts)
				}
			}
			if got, most := w.listRequests, int(1500/machineListPeriod)+1; got < 1 || got > most {
				t.Errorf("requests for the list got %d, want 1 to %d", got, most)
			}
		})
	}
}

// Guards against an entry that places a worker of another pool in this one, whose owner then stops the runs of that pool and acknowledges their
// ends: the worker answers as another incarnation than the entry says, or the entry says none.
func TestRunsOfAWorkerThatAnEntryMisplacesAreKept(t *testing.T) {
	for _, incarnation := range []int64{7, 0} {
		d := newManualSim(t)
		d.s.SetWorker(testWorker("w0", incarnation))
		for range 100 {
			d.s.Plan()
			for _, order := range d.s.Orders() {
				hold, ok := order.(Hold)
				if !ok || hold.Ack != 0 || hold.Deadline != 0 {
					t.Fatalf("entry of %d: order got %#v, want holds that change nothing", incarnation, order)
				}
				listing := d.listing(3, Running{Task: "x.0.0.0", Run: 1})
				listing.Ended = []Ended{{Number: 4, Task: "y.0.0.0", Run: 1, Reason: EndDone}}
				d.s.HoldAnswered(hold, listing, d.now)
			}
			d.advance(20)
			d.commit()
		}
	}
}

// Guards against a worker that gets no tasks because its entry does not name the incarnation as which it answers.
func TestEntryWithoutAnIncarnation(t *testing.T) {
	d := newManualSim(t)
	d.s.SetWorker(testWorker("w0", 0))
	d.answerFirstHold()
	d.s.AddJob(testJob("j", 1), nil, false)
	d.s.Plan()
	d.commit()
	if got := len(ordersOf[Start](d)); got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
}

// Guards against tasks on a worker that has restarted as another kind, whose entry is not renewed (review/12).
func TestEntryOfAnEarlierIncarnationDescribesNoWorker(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.run(300)
	genuine := w.workers["w0"].entry
	w.dropsOnRestart, w.workers["w0"].storeCut = true, true
	w.workers["w0"].restart(w)
	w.run(300)
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), Label: "a"})
	w.s.SetWorker(genuine)
	w.run(2 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 0 {
		t.Errorf("starts got %d, want 0: the labels of the new incarnation are not known", got)
	}
	w.s.SetWorker(w.workers["w0"].entry)
	w.run(700) // leases are reported every 500 ms
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1 once the worker has an entry", got)
	}
}

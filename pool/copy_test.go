package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// newCopySim returns a simulation with workers on two racks. The first run of the task slow takes 7 s, and all other runs take 1 s.
func newCopySim(t *testing.T, workers int, slow string) *poolSim {
	w := newPoolSim(t, 0, testQueue)
	for i := range workers {
		f := w.addWorker(fmt.Sprintf("w%d", i))
		f.entry.Labels = []string{"a", fmt.Sprintf("r%d", i%2)}
		w.s.SetWorker(f.entry)
	}
	w.length = func(task string) clock.Millis {
		if task == slow && w.starts[task] == 0 {
			return 7 * clock.Second
		}
		return 1 * clock.Second
	}
	return w
}

// copyStep is a step of eight tasks that take a quarter of a worker each.
func copyStep() batch.Step {
	return batch.Step{Count: 8, Need: cpu(1000), Estimate: 1000, AllowDuplicates: true}
}

// runUntilState advances the simulation until the job has the state, and returns the time since the call; the test fails after limit.
func (w *poolSim) runUntilState(id string, state batch.State, limit clock.Millis) clock.Millis {
	w.t.Helper()
	for began := w.now; w.now-began < limit; {
		if w.run(10); w.state(id) == state {
			return w.now - began
		}
	}
	w.t.Fatalf("state of %s got %v after %d ms, want %v", id, w.state(id), limit, state)
	return 0
}

// workersOf returns the workers that run the task.
func (w *poolSim) workersOf(task string) []*fakeWorker {
	var all []*fakeWorker
	for _, id := range sortedKeys(w.workers) {
		if f := w.workers[id]; f.runs[task] != nil {
			all = append(all, f)
		}
	}
	return all
}

// Guards against a step that waits for one slow task while workers are idle, and against a copy beside its first run. At most half of the
// room is used by other work.
func TestCopyOfSlowTask(t *testing.T) {
	for _, others := range []int{0, 8} {
		w := newCopySim(t, 6, "j.0.0.7")
		w.submit("others", batch.Step{Count: others + 1, Need: cpu(1000), Estimate: 30000, LongRunning: true})
		w.run(1500)
		w.submit("j", copyStep())
		racks := map[string]bool{}
		for w.state("j") != batch.Completed && w.now < 8*clock.Second {
			w.run(10)
			if both := w.workersOf("j.0.0.7"); len(both) == 2 {
				racks[fmt.Sprint(both[0].entry.Labels[1] != both[1].entry.Labels[1])] = true
			}
		}
		if got := w.state("j"); got != batch.Completed {
			t.Errorf("%d other tasks: state after 5.5 s got %v, want completed by the copy", others, got)
		}
		if got, want := fmt.Sprint(racks), "map[true:true]"; got != want {
			t.Errorf("%d other tasks: whether copies run on another rack got %s, want %s", others, got, want)
		}
		w.run(2 * clock.Second)
		if got := len(w.workersOf("j.0.0.7")); got != 0 {
			t.Errorf("%d other tasks: runs after the first end got %d, want 0", others, got)
		}
		for i := range 7 {
			if got := w.starts[fmt.Sprintf("j.0.0.%d", i)]; got != 1 {
				t.Errorf("%d other tasks: starts of task %d got %d, want 1", others, i, got)
			}
		}
	}
}

// Guards against a copy in a full pool: there, first runs wait for each place.
func TestNoCopyInAFullPool(t *testing.T) {
	w := newCopySim(t, 3, "j.0.0.7")
	w.submit("j", copyStep())
	w.run(300)
	for i := range 12 {
		w.submit(fmt.Sprintf("first%d", i), batch.Step{Count: 4, Need: cpu(1000), Estimate: 1000})
	}
	for range 30 {
		w.run(100)
		if got := len(w.workersOf("j.0.0.7")); got > 1 {
			t.Fatalf("%d ms: runs of the slow task got %d, want 1 while first runs wait", w.now, got)
		}
	}
}

// Guards against a copy that keeps the room of first runs that come after it.
func TestCopyYields(t *testing.T) {
	w := newCopySim(t, 4, "j.0.0.7")
	w.submit("j", copyStep())
	w.length = func(task string) clock.Millis {
		if task == "j.0.0.7" {
			return 20 * clock.Second
		}
		return 1 * clock.Second
	}
	for len(w.workersOf("j.0.0.7")) < 2 {
		if w.run(10); w.now > 10*clock.Second {
			t.Fatal("no copy after 9 s, want one")
		}
	}
	w.submit("first", batch.Step{Count: 15, Need: cpu(1000), Estimate: 1000})
	w.run(1600)
	if got := len(w.workersOf("j.0.0.7")); got != 1 {
		t.Errorf("runs of the slow task got %d, want 1: a first run waits for room", got)
	}
	if got := w.starts["first.0.0.14"]; got != 1 {
		t.Errorf("starts of the last first run got %d, want 1", got)
	}
}

// Guards against copies of tasks that are as long as the others of their step, but not as declared; the queue has no history.
func TestNoCopyForWrongEstimates(t *testing.T) {
	for _, estimate := range []clock.Millis{50, 300, 10000} {
		w := newCopySim(t, 8, "")
		for i := range 4 {
			step := copyStep()
			step.Estimate = estimate
			w.submit(fmt.Sprintf("j%d", i), step)
		}
		w.run(6 * clock.Second)
		for task, got := range w.starts {
			if got != 1 {
				t.Errorf("declared %d ms: starts of %s got %d, want 1", estimate, task, got)
			}
		}
	}
}

// startedCopy returns a simulation in which the slow task of job j has two runs.
func startedCopy(t *testing.T) *poolSim {
	w := newCopySim(t, 6, "j.0.0.7")
	w.submit("j", copyStep())
	for len(w.workersOf("j.0.0.7")) < 2 {
		if w.run(10); w.now > 10*clock.Second {
			t.Fatal("no copy after 9 s, want one")
		}
	}
	w.run(100)
	return w
}

// Guards against a new owner that does not know one of two runs: it would start a third, or leave one running after the end of the task.
func TestOwnerLostWithTwoRuns(t *testing.T) {
	for _, ended := range []bool{false, true} {
		w := startedCopy(t)
		stored := w.s.progress(w.s.jobs["j"], &Transaction{})
		if ended { // the first end is stored, and the stop is not sent
			w.storeBlocked = true
			both := w.workersOf("j.0.0.7")
			both[1].end("j.0.0.7", both[1].runs["j.0.0.7"], EndDone)
			w.lose = func(order any) (bool, clock.Millis) { _, stop := order.(Stop); return stop, 0 }
			w.run(100)
			stored, w.lose, w.storeBlocked = w.s.progress(w.s.jobs["j"], &Transaction{}), nil, false
		}
		w.replaceOwner(w.s.jobs["j"].def, stored)
		used := 0
		for _, worker := range w.s.workers {
			used += worker.used.CPU
		}
		if want := map[bool]int{false: 2000, true: 1000}[ended]; used != want {
			t.Errorf("ended %v: room of the restored runs got %d, want %d thousandths of a core", ended, used, want)
		}
		w.runUntilState("j", batch.Completed, 3*clock.Second)
		w.run(2 * clock.Second)
		if got := w.starts["j.0.0.7"]; got != 2 || len(w.workersOf("j.0.0.7")) > 0 {
			t.Errorf("ended %v: starts got %d, want 2; runs left %d, want 0", ended, got, len(w.workersOf("j.0.0.7")))
		}
	}
}

// Guards against a task that counts as done twice when both runs end before the owner reads either, and against one that is started anew
// when both fail.
func TestBothRunsEndAtOnce(t *testing.T) {
	for _, how := range []EndReason{EndDone, EndFailed} {
		w := startedCopy(t)
		for _, f := range w.workersOf("j.0.0.7") {
			f.end("j.0.0.7", f.runs["j.0.0.7"], how)
		}
		w.run(3 * clock.Second)
		want, starts := batch.Completed, 2
		if how == EndFailed { // both attempts of the queue
			starts = 3
		}
		if got := w.state("j"); got != want || w.starts["j.0.0.7"] != starts {
			t.Errorf("both %s: state got %v after %d starts, want %v after %d", how, got, w.starts["j.0.0.7"], want, starts)
		}
		if st := w.s.jobs["j"].occurrences[0].steps[0]; st.done != 8 {
			t.Errorf("both %s: done tasks got %d, want 8", how, st.done)
		}
	}
}

// Guards against a copy that goes on, or changes the state, after its job was cancelled.
func TestCancelReachesBothRuns(t *testing.T) {
	w := startedCopy(t)
	both := w.workersOf("j.0.0.7")
	w.s.Cancel("j")
	both[1].end("j.0.0.7", both[1].runs["j.0.0.7"], EndDone)
	w.run(1 * clock.Second)
	if got := w.state("j"); got != batch.Cancelled || len(w.workersOf("j.0.0.7")) > 0 {
		t.Errorf("state got %v with %d runs, want cancelled without any", got, len(w.workersOf("j.0.0.7")))
	}
	for _, worker := range w.s.workers {
		if worker.used != (batch.Resources{}) {
			t.Errorf("room in use on %s got %+v, want none", worker.entry.ID, worker.used)
		}
	}
}

// Guards against a task that has a second run although its next failure but one fails its job.
func TestNoCopyForTheLastAttempt(t *testing.T) {
	queue := testQueue
	queue.MaxAttempts = 1
	w := newCopySim(t, 6, "j.0.0.7")
	w.configure(configurationOf(2, queue))
	w.submit("j", copyStep())
	for range 80 {
		w.run(50)
		if got := len(w.workersOf("j.0.0.7")); got > 1 {
			t.Fatalf("%d ms: runs got %d, want at most 1", w.now, got)
		}
	}
}

// Guards against a customer whose copies are not counted, against a run that counts after its end, and against copies that draw machines into
// their pool.
func TestCopiesCountForTheCustomer(t *testing.T) {
	w := newCopySim(t, 6, "j.0.0.7")
	w.add(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{copyStep()}, Accepted: w.now, Customer: "c"})
	for len(w.workersOf("j.0.0.7")) < 2 {
		if w.run(10); w.now > 10*clock.Second {
			t.Fatal("no copy after 9 s, want one")
		}
	}
	if got, want := w.s.Load().Running.CPU, 1000; got != want {
		t.Errorf("processor that calls for machines got %d, want %d, without the copy", got, want)
	}
	if got, want := w.s.customerUse["c"].CPU, 2000; got != want {
		t.Errorf("processor of the customer with two runs got %d, want %d", got, want)
	}
	w.run(5 * clock.Second)
	if got := len(w.s.customerUse); got != 0 {
		t.Errorf("customers with runs got %d, want 0", got)
	}
}

// Guards against stored progress that an earlier version, which knows one run for each task, reads wrongly: it takes the number of the last
// entry of a task as that of its newest run, and counts each entry that is done.
func TestProgressOfTwoRuns(t *testing.T) {
	entries := func(w *poolSim) (numbers []int, workers, done int) {
		for _, r := range w.s.progress(w.s.jobs["j"], &Transaction{}).Runs {
			if r.Index != 7 {
				continue
			}
			numbers = append(numbers, r.Number)
			if r.Worker != "" {
				workers++
			}
			if r.Done {
				done++
			}
		}
		return numbers, workers, done
	}
	for _, test := range []struct {
		what          string
		end           int // which of the two runs ends; -1: none
		how           EndReason
		want          string
		workers, done int
	}{
		{"both run", -1, "", "[1 2]", 2, 0},
		{"the copy has failed", 1, EndFailed, "[1 2]", 1, 0},
		{"the first has failed", 0, EndFailed, "[2]", 1, 0},
		{"the copy is done", 1, EndDone, "[1]", 1, 1},
	} {
		w := startedCopy(t)
		if test.end >= 0 {
			first := w.s.jobs["j"].occurrences[0].steps[0].tasks[7].runs()[test.end]
			f := w.workers[first.worker.entry.ID]
			f.end("j.0.0.7", f.runs["j.0.0.7"], test.how)
			w.run(80)
		}
		numbers, workers, done := entries(w)
		if got := fmt.Sprint(numbers); got != test.want || workers != test.workers || done != test.done {
			t.Errorf("%s: numbers got %s with %d workers and %d done, want %s with %d and %d", test.what, got, workers, done, test.want, test.workers, test.done)
		}
	}
}

// Guards against a single task, without peers to compare it with, that is never copied, or always: it is compared with what the queue's tasks
// took against their declared times.
func TestCopyOfSingleTask(t *testing.T) {
	w := newCopySim(t, 6, "last.0.0.0")
	step := batch.Step{Count: 1, Need: cpu(1000), Estimate: 400, AllowDuplicates: true}
	for i := range 30 {
		w.submit(fmt.Sprintf("j%d", i), step)
		w.run(300)
	}
	w.run(2 * clock.Second)
	for task, got := range w.starts {
		if got != 1 {
			t.Errorf("starts of %s got %d, want 1", task, got)
		}
	}
	w.submit("last", step)
	if got, limit := w.runUntilState("last", batch.Completed, 8*clock.Second), 4*clock.Second; got > limit {
		t.Errorf("time of the slow task got %d ms, want at most %d with a copy", got, limit)
	}
}

// Guards against a pool without copies because a gang waits that is larger than the pool.
func TestImpossibleGangDoesNotPreventCopies(t *testing.T) {
	w := newCopySim(t, 6, "j.0.0.7")
	w.submit("gang", batch.Step{Count: 100, Need: cpu(4000), Gang: true, LongRunning: true})
	w.submit("j", copyStep())
	most := 0
	for range 600 {
		w.run(10)
		most = max(most, len(w.workersOf("j.0.0.7")))
	}
	if got, want := most, 2; got != want {
		t.Errorf("runs of the slow task at once got %d, want %d", got, want)
	}
}

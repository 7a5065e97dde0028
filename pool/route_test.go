package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// routes is the set of (queue, pool) pairs of all configurations so far. A job stays in the pool to which the configuration
// sent its queue when it was accepted.
type routes map[[2]string]bool

func (r routes) add(c *batch.Configuration) {
	for _, q := range c.Queues {
		r[[2]string{q.Name, q.Pool}] = true
	}
}

// violation returns why the task must not start on a worker with the given running tasks, or "" if it may.
func (r routes) violation(job *batch.Job, task string, worker batch.Worker, running []string) string {
	_, key, _ := batch.ParseTask(task)
	step := job.Steps[key.Step]
	if !r[[2]string{job.Queue, worker.Pool}] {
		return fmt.Sprintf("task %s started on %s of pool %s, to which no configuration sends queue %s", task, worker.ID, worker.Pool, job.Queue)
	}
	if step.Label != "" && !worker.HasLabel(step.Label) {
		return fmt.Sprintf("task %s started on %s with labels %v, want %s", task, worker.ID, worker.Labels, step.Label)
	}
	peers := 0
	for _, name := range running {
		id, other, _ := batch.ParseTask(name)
		if name != task && id == job.ID && other.Occurrence == key.Occurrence && other.Step == key.Step {
			peers++
		}
	}
	if step.MaxPerWorker > 0 && peers >= step.MaxPerWorker {
		return fmt.Sprintf("task %s started on %s beside %d others of its step, want at most %d in all", task, worker.ID, peers, step.MaxPerWorker)
	}
	return ""
}

// routeConfiguration returns a configuration that sends the test queue to the pool, or one without the queue if pool is
// empty.
func routeConfiguration(number int64, pool string) *batch.Configuration {
	c := &batch.Configuration{Version: number, Pools: []batch.Pool{{Name: testPool}, {Name: "elsewhere"}}}
	if pool != "" {
		c.Queues = []batch.Queue{{Name: "q", Pool: pool, MaxAttempts: 100, Stretch: 1.6, Objective: 600}}
	}
	return c
}

// rotatingConfiguration returns in turn a configuration that sends the queue to another pool, one without the queue, and one
// that sends it back.
func rotatingConfiguration(number int) *batch.Configuration {
	return routeConfiguration(int64(number+2), []string{"elsewhere", "", testPool}[number%3])
}

// stepLabels are the labels that a step may require: none, that of one half of the workers, or that of the other half.
var stepLabels = []string{"", "a", "b"}

// Guards against a start on a worker without the required label while the workers with it are full, drain, or have left, and
// against a task that does not start once a worker with the label is available.
func TestStartsKeepToLabels(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 500 }
	add := func(id string) *fakeWorker {
		f := w.addWorker(id)
		f.entry.Labels = []string{"b"}
		w.s.SetWorker(f.entry)
		return f
	}
	labelled := add("b0")
	w.submit("j", batch.Step{Count: 10, Need: cpu(1000), Label: "b"})
	w.run(300)
	if got := len(labelled.runs); got != 4 {
		t.Fatalf("tasks on the worker with the label got %d, want 4: it is full", got)
	}
	labelled.entry.Draining = true
	w.s.SetWorker(labelled.entry)
	w.run(2 * clock.Second)
	if got := len(w.starts); got != 4 {
		t.Errorf("tasks started got %d, want 4 while the worker with the label drains", got)
	}
	w.s.RemoveWorker("b0")
	w.run(clock.Second)
	add("b1")
	w.run(5 * clock.Second)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed on the new worker with the label", got)
	}
}

// Guards against more tasks of a step on one worker than the step allows, also after a change of the owner, and while the
// tasks of an unresponsive worker have to move.
func TestStepsKeepToMaxPerWorker(t *testing.T) {
	w := newPoolSim(t, 3, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 9, Need: cpu(100), LongRunning: true, MaxPerWorker: 2})
	check := func(when string, want int) {
		t.Helper()
		got := 0
		for _, f := range w.workers {
			got += len(f.runs)
		}
		if got != want {
			t.Errorf("%s: tasks running got %d, want %d", when, got, want)
		}
	}
	w.run(2 * clock.Second)
	check("three workers", 6)
	w.replaceOwner(w.s.jobs["j"].def, w.s.progress(w.s.jobs["j"], &Transaction{}))
	w.run(3 * clock.Second)
	check("another owner", 6)
	w.workers["w0"].unreachable = true
	w.run(15 * clock.Second)
	check("one worker unresponsive", 4)
	w.addWorker("w3")
	w.run(3 * clock.Second)
	check("a new worker", 6)
}

// Guards against an accepted job that makes no progress once its queue is sent to another pool or removed, also under the
// next owner, which knows only the newer configuration.
func TestJobsKeepTheirPool(t *testing.T) {
	for _, pool := range []string{"elsewhere", ""} {
		for _, takeover := range []bool{false, true} {
			w := newPoolSim(t, 2, testQueue)
			w.submit("j", batch.Step{Count: 2, Need: cpu(1000)}, batch.Step{Count: 2, Need: cpu(1000), After: []int{0}})
			w.run(500)
			w.configure(routeConfiguration(2, pool))
			if takeover {
				w.replaceOwner(w.s.jobs["j"].def, w.s.progress(w.s.jobs["j"], &Transaction{}))
			}
			w.run(5 * clock.Second)
			if got := w.state("j"); got != batch.Completed {
				t.Errorf("queue sent to %q, takeover %v: state got %v, want completed", pool, takeover, got)
			}
		}
	}
}

// Guards against a start on a worker that has left the pool: its machine now belongs to another pool, under the same ID.
func TestWorkerThatMovedGetsNoStart(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.submit("before", batch.Step{Count: 6, Need: cpu(1000)}) // four run, and two wait
	w.run(500)
	moved := w.workers["w0"]
	moved.restart(w)
	moved.entry.Pool = "elsewhere"
	w.s.RemoveWorker("w0")
	w.submit("after", batch.Step{Count: 2, Need: cpu(1000)})
	w.run(2 * clock.Second)
	w.addWorker("w1")
	w.run(15 * clock.Second)
	for _, id := range []string{"before", "after"} {
		if got := w.state(id); got != batch.Completed {
			t.Errorf("state of job %s got %v, want completed on the other worker", id, got)
		}
	}
}

// Guards against starts without the required label or beyond MaxPerWorker, under the faults of TestRandomFaults, while
// workers drain and the configuration sends the queue elsewhere, removes it and sends it back.
func TestRandomRoutes(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*randomSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed, true) })
	}
}

// Runs the checks of TestRandomRoutes under the faults of TestRandomTakeovers.
func TestRandomRouteTakeovers(t *testing.T) {
	for seed := *takeoverFirst; seed < *takeoverFirst+*takeoverSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTakeovers(t, seed, true, false) })
	}
}

// toggleDraining toggles the draining state of a random worker.
func (w *poolSim) toggleDraining(random *rand.Rand) {
	f := w.workers[fmt.Sprintf("w%d", random.IntN(4))]
	f.entry.Draining = !f.entry.Draining
}

// publish passes the entries of all workers to the scheduler.
func (w *poolSim) publish() {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.s.SetWorker(w.workers[id].entry)
	}
}

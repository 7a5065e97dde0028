package pool

import (
	"fmt"
	"math"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Guards against large jobs that delay small ones beyond their objective when a pool is too small for both.
func TestSmallJobsGoFirst(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.run(200)
	w.submit("large", batch.Step{Count: 8, Need: cpu(4000), Estimate: 1000})
	w.submit("small", batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000})
	w.run(1400)
	if got := w.state("small"); got != batch.Completed {
		t.Errorf("state of the small job got %v, want completed after the first task that was placed", got)
	}
}

// Guards against work that is thrown away in a surge: a job that had begun was overtaken by each smaller one that arrived, until it missed its
// objective.
func TestBegunJobsAreFinishedFirst(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.run(200)
	w.submit("begun", batch.Step{Count: 4, Need: cpu(2000), Estimate: 1000})
	w.run(500)
	for i := range 6 {
		w.submit(fmt.Sprintf("small%d", i), batch.Step{Count: 1, Need: cpu(2000), Estimate: 1000})
	}
	w.run(1900)
	if got := w.state("begun"); got != batch.Completed {
		t.Errorf("state of the job that had begun got %v, want completed: it could meet its objective", got)
	}
}

// Guards against long-running tasks that wait for the rest of jobs that have begun.
func TestLongRunningTasksGoBeforeBegunJobs(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(task string) clock.Millis {
		if task == "lasts.0.0.0" {
			return 0
		}
		return 1000
	}
	w.run(200)
	w.submit("begun", batch.Step{Count: 6, Need: cpu(2000), Estimate: 1000})
	w.run(500)
	w.submit("lasts", batch.Step{Count: 1, Need: cpu(2000), LongRunning: true})
	w.run(800)
	if got, want := w.runner("lasts.0.0.0"), "w0"; got != want {
		t.Errorf("long-running task runs on %q, want %q as soon as a task of the begun job has ended", got, want)
	}
}

// Guards against jobs that can no longer meet their objective and take resources from jobs that can.
func TestLateJobsGoLast(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.run(200)
	late := &batch.Job{ID: "late", Queue: "q", Pool: testPool, Spec: "spec", Accepted: w.now - 5000,
		Steps: []batch.Step{{Count: 1, Need: cpu(4000), Estimate: 1000}}}
	w.add(late)
	w.submit("j", batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000}, batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000, After: []int{0}})
	w.run(2300)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed before the late job starts", got)
	}
	w.run(1500)
	if got := w.state("late"); got != batch.Completed {
		t.Errorf("state of the late job got %v, want completed once the worker has free resources", got)
	}
}

// Guards against a pool that requests or keeps machines for work that can no longer meet its objective.
func TestLoadReportsLateWork(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 4000 }
	w.submit("j", batch.Step{Count: 3, Need: cpu(4000), Estimate: 500})
	w.run(400)
	load := w.s.Load()
	if got, want := load.Waiting.CPU, 4000; got != want {
		t.Errorf("waiting processor got %d, want %d while the objective can be met", got, want)
	}
	w.run(3300) // the actual run times make the objective 7 s
	load = w.s.Load()
	if load.Waiting.CPU != 0 {
		t.Errorf("waiting processor got %d, want 0 once the job is late", load.Waiting.CPU)
	}
	for worker, busy := range load.UsedCPU {
		if got := load.LateCPU[worker]; got != busy {
			t.Errorf("late work on %s got %d, want all of %d", worker, got, busy)
		}
	}
}

// Guards against late tasks that keep a machine which another pool needs.
func TestLateTasksLeaveWorkersToBeEvacuated(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 20000 }
	w.add(&batch.Job{ID: "late", Queue: "q", Pool: testPool, Spec: "spec", Accepted: w.now - clock.Minute,
		Steps: []batch.Step{{Count: 1, Need: cpu(4000), Estimate: 500}}})
	w.run(2 * clock.Second)
	w.s.RequestEvacuation(evacuationOf("w0"))
	w.run(1 * clock.Second)
	if got := w.s.CompletedEvacuations(); len(got) != 1 {
		t.Errorf("completed evacuations got %v, want that of the worker", got)
	}
}

// Guards against reliance on declared run times that are off by a constant factor, or at random.
func TestDeclaredTimesAreCorrected(t *testing.T) {
	var none *correction
	if got, want := none.expected(700), clock.Millis(700); got != want {
		t.Errorf("expected got %d, want the declared %d before anything is learned", got, want)
	}
	factor := &correction{}
	noise := &correction{}
	for i := range 200 {
		declared := clock.Millis(300 + 40*i%1000)
		factor.add(declared, 2*declared)
		noise.add(declared, 1000)
	}
	if got, want := factor.expected(500), 1000.0; math.Abs(float64(got)-want) > 150 {
		t.Errorf("expected got %d, want about %.0f: all run times are twice the declared ones", got, want)
	}
	for _, declared := range []clock.Millis{350, 1200} {
		if got, want := noise.expected(declared), 1000.0; math.Abs(float64(got)-want) > 150 {
			t.Errorf("expected of %d got %d, want about %.0f: run times do not depend on the declared ones", declared, got, want)
		}
	}
}

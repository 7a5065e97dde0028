package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

var testQueue = batch.Queue{Name: "q", Host: "h", Prefix: "/q/", MaxAttempts: 3, Stretch: 1.6, Objective: 600}

func cpu(thousandths int) batch.Resources { return batch.Resources{CPU: thousandths, MemoryMB: 100} }

// Guards against a step that starts before an earlier one is done, and against a job that never completes.
func TestStepsRunInOrder(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000)}, batch.Step{Count: 2, Need: cpu(1000), After: []int{0}})
	w.run(700)
	if got := w.starts["j.0.1.0"]; got != 0 {
		t.Errorf("starts of the second step got %d, want 0 before the first is done", got)
	}
	w.run(2500)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against orders that go out before the place of the task is stored: a successor would not know of the run.
func TestStartsWaitForTheStore(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.run(100)
	w.blocked = true
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(500)
	if got := w.starts["j.0.0.0"]; got != 0 {
		t.Errorf("starts got %d, want 0 while nothing is stored", got)
	}
	w.blocked = false
	w.run(100)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
}

// Guards against a second run while the first may still begin: the start got no answer and is carried out late.
func TestLateStartIsFenced(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.run(100)
	first := true
	w.lose = func(order any) (bool, clock.Millis) {
		if _, ok := order.(Start); ok && first {
			first = false
			return true, 4 * clock.Second
		}
		return false, 0
	}
	w.length = func(string) clock.Millis { return 8000 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(3 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1: the lost one is replaced once it can no longer be carried out", got)
	}
	w.run(10 * clock.Second) // the world fails the test if the late one begins beside the second
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against leases that are prolonged by holds without an answer: the runs of a worker that is gone for good would
// count as running for ever.
func TestRunsOfALostWorkerLapse(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	lost := w.where("j.0.0.0")
	w.workers[lost].dark = true
	w.s.RemoveWorker(lost)
	w.run(9 * clock.Second)
	if got := w.where("j.0.0.0"); got == lost || got == "" {
		t.Errorf("task runs on %q, want another worker than %q", got, lost)
	}
}

// Guards against a restart elsewhere while a worker that cannot be reached may still run the task.
func TestSilentWorkerKeepsItsTaskUntilTheLeaseIsOver(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	silent := w.where("j.0.0.0")
	w.workers[silent].dark = true
	w.run(4 * clock.Second) // the world fails the test if the task runs twice
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1 while the lease may last", got)
	}
	w.run(6 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 2 {
		t.Errorf("starts got %d, want 2 after the lease", got)
	}
}

// Guards against stopping a task on purpose while another one of its step is on a worker that has gone silent.
func TestNoStopWhileAPeerIsSilent(t *testing.T) {
	w := newWorld(t, 5, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000), LongRunning: true, MaxPerWorker: 1, MayMiss: 1})
	w.run(3 * clock.Second)
	silent, other := w.where("j.0.0.0"), w.where("j.0.0.1")
	w.workers[silent].dark = true
	w.run(1600)
	w.s.RequestEvacuation(other, "want-1")
	w.run(2 * clock.Second)
	if got := w.where("j.0.0.1"); got != other {
		t.Errorf("task runs on %q, want it left on %q", got, other)
	}
	w.run(8 * clock.Second)
	if got := fmt.Sprint(w.s.CompletedEvacuations()); got != "[want-1]" {
		t.Errorf("empty got %s, want [want-1] once the first task is back at work", got)
	}
}

// Guards against a worker that restarts under its id and still counts as running what it ran before.
func TestRestartedWorkerLosesItsRuns(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	w.workers["w0"].restart(w)
	w.run(2 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 2 {
		t.Errorf("starts got %d, want 2", got)
	}
}

// Guards against a job that is tried for ever, and against one that is given up too early.
func TestAttemptsAreBounded(t *testing.T) {
	w := newWorld(t, 4, testQueue)
	w.fails = func(string, string) bool { return true }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(12 * clock.Second)
	if got := w.state("j"); got != batch.Failed {
		t.Errorf("state got %v, want failed", got)
	}
	if got := w.starts["j.0.0.0"]; got != testQueue.MaxAttempts {
		t.Errorf("starts got %d, want %d", got, testQueue.MaxAttempts)
	}
}

// Guards against tasks that run on after their job was cancelled.
func TestCancelStopsRuns(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 2, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	w.s.Cancel("j")
	w.run(1 * clock.Second)
	if got := len(w.workers["w0"].runs); got != 0 {
		t.Errorf("runs got %d, want 0", got)
	}
	if got := w.state("j"); got != batch.Cancelled {
		t.Errorf("state got %v, want cancelled", got)
	}
}

// Guards against a successor that starts what its predecessor has running, or loses it.
func TestSuccessorTakesRunsOver(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	var stored *batch.Progress
	w.submit("j", batch.Step{Count: 2, Need: cpu(1000), LongRunning: true})
	for range 200 {
		w.run(10)
		stored = w.s.progress(w.s.jobs["j"], &Transaction{})
	}
	w.replaceOwner(w.s.jobs["j"].def, stored)
	w.run(3 * clock.Second)
	for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
		if got := w.starts[task]; got != 1 {
			t.Errorf("starts of %s got %d, want 1", task, got)
		}
	}
}

// replaceOwner lets another scheduler go on with what is stored of a job.
func (w *world) replaceOwner(def *batch.Job, stored *batch.Progress) {
	successor := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
	successor.Configure(w.s.configuration)
	w.token += 5
	successor.SetToken(w.token)
	successor.Tick(w.now, w.now)
	for _, f := range w.workers {
		successor.SetWorker(f.entry)
	}
	successor.SetInheritedLeases(w.now+10*clock.Second, nil)
	successor.AddJob(def, stored, false)
	w.s, w.holds = successor, nil
}

// Guards against a successor that stops a task which lasts while another one still runs but is being stopped: the former owner
// was cut off from the store and had ordered that without storing it.
func TestSuccessorWaitsForStopsOfTheFormerOwner(t *testing.T) {
	w := newWorld(t, 5, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000), LongRunning: true, MaxPerWorker: 1, MayMiss: 1})
	w.run(3 * clock.Second)
	stored := w.s.progress(w.s.jobs["j"], &Transaction{})
	first, second := w.where("j.0.0.0"), w.where("j.0.0.1")
	w.replaceOwner(w.s.jobs["j"].def, stored)
	w.s.RequestEvacuation(second, "want-1")
	w.workers[first].runs["j.0.0.0"].stopping = w.now
	away := func(task string) bool {
		worker := w.workers[w.where(task)]
		return worker == nil || w.now-worker.runs[task].began < 900 // it is at work after 900 ms
	}
	for range 300 {
		w.run(10)
		if away("j.0.0.0") && away("j.0.0.1") {
			t.Fatalf("%d ms: two tasks are away, want one at most", w.now)
		}
	}
	w.run(3 * clock.Second)
	if got := fmt.Sprint(w.s.CompletedEvacuations()); got != "[want-1]" {
		t.Errorf("empty got %s, want [want-1] once the first task is back at work", got)
	}
}

// Guards against a successor that assumes the longest lease of a worker that had been silent for long, and against a
// renewal that makes what the table says of its lease untrue.
func TestLeasesOfSilentWorkersAreTold(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	silent := w.where("j.0.0.0")
	w.workers[silent].dark = true
	w.run(3 * clock.Second)
	left, told := w.load.Leases[silent]
	if !told || left > 4*clock.Second {
		t.Errorf("lease told got %v, %d ms, want at most 4 s", told, left)
	}
	w.blocked = true
	w.workers[silent].dark = false
	before := w.workers[silent].lease
	w.run(1 * clock.Second)
	if got := w.workers[silent].lease; got != before {
		t.Errorf("lease got %d, want %d while the table still says when it ends", got, before)
	}
	w.blocked = false
	w.run(1500)
	if got := w.workers[silent].lease; got == before {
		t.Errorf("lease got %d, want a renewal once the table no longer says when it ends", got)
	}
}

// Guards against a task that stands still on a worker that otherwise looks well: its job would never end.
func TestStalledRunMoves(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	stuck := ""
	w.stalls = func(_, worker string) bool {
		if stuck == "" {
			stuck = worker
		}
		return worker == stuck
	}
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), Estimate: 1000})
	w.run(6 * clock.Second)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed on the other worker", got)
	}
}

// Guards against new tasks on a worker that drains, and against tasks that last and go down with it.
func TestDrainingWorkerIsLeft(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.length = func(task string) clock.Millis {
		if task == "lasting.0.0.0" {
			return 0
		}
		return 500
	}
	w.submit("lasting", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	draining := w.where("lasting.0.0.0")
	entry := w.workers[draining].entry
	entry.Draining = true
	w.s.SetWorker(entry)
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000)})
	for range 200 {
		w.run(10)
		for name := range w.workers[draining].runs {
			if name != "lasting.0.0.0" {
				t.Fatalf("task %s starts on a worker that drains", name)
			}
		}
	}
	if got := w.where("lasting.0.0.0"); got == draining || got == "" {
		t.Errorf("task that lasts runs on %q, want the other worker than %q", got, draining)
	}
}

// Guards against a gang of which only a part gets a place.
func TestGangStartsTogether(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.submit("big", batch.Step{Count: 9, Need: cpu(1000), Gang: true})
	w.submit("fits", batch.Step{Count: 8, Need: cpu(1000), Gang: true})
	w.run(600)
	if got := w.starts["big.0.0.0"]; got != 0 {
		t.Errorf("starts of the gang that does not fit got %d, want 0", got)
	}
	for i := range 8 {
		if got := w.starts[fmt.Sprintf("fits.0.0.%d", i)]; got != 1 {
			t.Errorf("starts of task %d got %d, want 1", i, got)
		}
	}
	w.run(2 * clock.Second)
	if got := w.state("fits"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against tasks that fill and keep a task that serves beside them over its target, and against their never
// getting their share back.
func TestFillingTasksGiveWay(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("serves", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, TargetLatency: 100})
	w.submit("fills", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, BestEffort: true})
	w.run(2 * clock.Second)
	serving, filling := w.workers["w0"].runs["serves.0.0.0"], w.workers["w0"].runs["fills.0.0.0"]
	serving.figure = 150
	w.run(4 * clock.Second)
	if filling.pace > 10 {
		t.Errorf("pace got %d, want at most 10 after 4 s over the target", filling.pace)
	}
	serving.figure = 50
	w.run(6 * clock.Second)
	if filling.pace != 100 {
		t.Errorf("pace got %d, want 100 once the target is met", filling.pace)
	}
}

// Guards against a worker that fails everything: it always has room, and would use up the attempts of every task.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	bad := ""
	w.fails = func(_, worker string) bool {
		if bad == "" {
			bad = worker
		}
		return worker == bad
	}
	w.length = func(string) clock.Millis { return 200 }
	w.submit("long", batch.Step{Count: 4, Need: cpu(1000)}) // fills one worker
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(3 * clock.Second)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against a run that counts as lost with the worker's earlier life, although its start reached the new life, and
// that is started a second time beside it.
func TestStartReachesANewLife(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.run(100)
	w.length = func(string) clock.Millis { return 3000 }
	restarted := false
	w.lose = func(order any) (bool, clock.Millis) {
		if start, ok := order.(Start); ok && !restarted {
			restarted = true
			w.workers[start.Target.ID].restart(w)
		}
		return false, 0
	}
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(6 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1: the new life runs the task", got)
	}
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against tasks that are placed on a worker which has just gone silent: each would wait for the end of its lease.
func TestSilentWorkerGetsNoMoreTasks(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.run(1 * clock.Second)
	w.workers["w0"].dark = true
	sent := 0
	w.lose = func(order any) (bool, clock.Millis) {
		if start, ok := order.(Start); ok && start.Target.ID == "w0" {
			sent++
		}
		return false, 0
	}
	for i := range 20 {
		w.submit(fmt.Sprintf("j%d", i), batch.Step{Count: 1, Need: cpu(100)})
		w.run(50)
	}
	if sent > 1 {
		t.Errorf("starts sent to the silent worker got %d, want at most 1", sent)
	}
}

// Guards against a job that runs again because a copy of it was read before it ended and comes after.
func TestEndedJobDoesNotComeBack(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(2 * clock.Second)
	w.s.AddJob(w.defs["j"], nil, false)
	w.run(2 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
}

// Guards against a successor that does not stop what its predecessor was stopping, or that counts its room as free.
func TestSuccessorStopsRunsOfEndedJobs(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(3000), LongRunning: true})
	w.run(2 * clock.Second)
	w.workers["w0"].stopTime = 600
	w.s.Cancel("j")
	stored := w.s.progress(w.s.jobs["j"], &Transaction{})
	if got := len(stored.Runs); got != 1 {
		t.Fatalf("runs stored got %d, want the one that is out", got)
	}
	successor := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
	successor.Configure(w.s.configuration)
	w.token += 5
	successor.SetToken(w.token)
	successor.Tick(w.now, w.now)
	successor.SetWorker(w.workers["w0"].entry)
	successor.SetInheritedLeases(w.now+10*clock.Second, nil)
	w.s, w.holds = successor, nil
	successor.AddJob(w.defs["j"], stored, true)
	w.submit("next", batch.Step{Count: 1, Need: cpu(3000), LongRunning: true})
	w.run(2 * clock.Second) // the world fails the test if both run at once
	if got := w.where("j.0.0.0"); got != "" {
		t.Errorf("run of the cancelled job is on %s, want it stopped", got)
	}
	if got := w.where("next.0.0.0"); got != "w0" {
		t.Errorf("next task is on %q, want w0 once there is room", got)
	}
}

// Guards against a task that lasts and is away for as long as owners follow each other: each of them assumed the longest
// lease of a worker that had crashed and was no longer listed.
func TestLeasesOfUnlistedWorkersAreTold(t *testing.T) {
	var left clock.Millis
	for _, inherited := range []clock.Millis{9 * clock.Second, 7 * clock.Second} {
		s := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
		s.Tick(1000, 1000)
		known := map[string]clock.Millis{}
		if left > 0 {
			known["gone"] = 1000 + left - 2000
		}
		s.SetInheritedLeases(1000+inherited, known)
		job := &batch.Job{ID: "j", Steps: []batch.Step{{Count: 1, Need: cpu(1000), LongRunning: true}}}
		s.AddJob(job, &batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 1, Worker: "gone", Incarnation: 1}}}, false)
		if !s.LeaseReportOutdated() {
			t.Error("leases to tell got none, want that of the worker")
		}
		left = s.Load().Leases["gone"]
		if got, want := left, inherited; got != want {
			t.Errorf("lease told got %d ms, want %d", got, want)
		}
	}
}

// Guards against waiting for the lease of a worker whose machine has a new life already, after a change of the owner.
func TestSuccessorKnowsNewLivesOfMachines(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.run(1 * clock.Second)
	w.length = func(string) clock.Millis { return 0 }
	w.s.SetInheritedLeases(w.now+9*clock.Second, nil)
	job := &batch.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []batch.Step{{Count: 1, Need: cpu(1000), LongRunning: true}}}
	w.defs["j"] = job
	w.s.AddJob(job, &batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 1, Worker: "gone", Incarnation: 1, Machine: "m-w0"}}}, false)
	w.run(500)
	if got := w.where("j.0.0.0"); got != "w0" {
		t.Errorf("task runs on %q, want w0, the new life of its machine", got)
	}
}

// Guards against a crash of the instance by a job that was cancelled before its owner had it, when the owner reports before
// it plans.
func TestLoadWithACancelledJob(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.s.AddJob(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []batch.Step{{Count: 1, Need: cpu(1000)}}}, nil, true)
	if got := w.s.Load().Waiting.CPU; got != 0 {
		t.Errorf("waiting got %d, want 0", got)
	}
}

// Guards against a task that runs again although it is done: its owner stood still until the lease was over, and gave the run
// up before it asked the worker.
func TestLateOwnerAsksBeforeItGivesUp(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.run(100)
	w.length = func(string) clock.Millis { return 3000 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	for at := w.where("j.0.0.0"); at == "" || w.s.workers[at].holding != 0; at = w.where("j.0.0.0") {
		w.run(10)
	}
	for end := w.now + 8*clock.Second; w.now < end; w.now += 10 { // the owner stands still, and no hold is out
		w.advanceWorkers()
	}
	w.run(2 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against tasks that last and have to move twice, because they went to a machine that is next in a wave of upkeep.
func TestTasksThatLastAvoidMachinesThatAreDue(t *testing.T) {
	w := newWorld(t, 6, batch.Queue{Name: "q"})
	w.length = func(string) clock.Millis { return 0 }
	w.s.SetMaintenanceDue(map[string]bool{"m-w0": true, "m-w1": true, "m-w2": true})
	w.run(100)
	w.submit("j", batch.Step{Count: 4, Need: cpu(1000), LongRunning: true, MaxPerWorker: 1, MayMiss: 1})
	w.run(2 * clock.Second)
	due := 0
	for i := range 4 {
		switch at := w.where(fmt.Sprintf("j.0.0.%d", i)); at {
		case "":
			t.Errorf("task %d runs nowhere, want it placed", i)
		case "w0", "w1", "w2":
			due++
		}
	}
	if got, want := due, 1; got != want {
		t.Errorf("tasks on machines that are due got %d, want %d: only three others are left", got, want)
	}
}

// Guards against a task that waits for the end of a long hold before it is found out that its start got lost.
func TestLostStartIsReplacedAtOnce(t *testing.T) {
	w := newWorld(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 5000 }
	w.run(100)
	w.submit("busy", batch.Step{Count: 2, Need: cpu(3000)}) // holds on both workers wait for an end
	w.run(200)
	lost := false
	w.lose = func(order any) (bool, clock.Millis) {
		if _, ok := order.(Start); ok && !lost {
			lost = true
			return true, 4 * clock.Second
		}
		return false, 0
	}
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(100)
	if got, want := w.starts["j.0.0.0"], 1; !lost || got != want {
		t.Errorf("starts 0.1 s after a lost one got %d, want %d", got, want)
	}
	w.run(10 * clock.Second) // the world fails the test if the late start begins beside the second
}

// Guards against new work that waits, after an outage of the store, until all the ends of that time are stored.
func TestStartsAreStoredBeforeEnds(t *testing.T) {
	const jobs = 100
	w := newWorld(t, 10, testQueue)
	w.run(100)
	for i := range jobs {
		w.submit(fmt.Sprintf("j%02d", i), batch.Step{Count: 1, Need: cpu(100)}, batch.Step{Count: 1, Need: cpu(100000), After: []int{0}})
	}
	w.run(500)
	w.blocked = true
	w.run(3 * clock.Second) // the first tasks end, the second ones fit nowhere
	w.submit("new", batch.Step{Count: 1, Need: cpu(100)})
	w.run(50)
	w.blocked = false
	w.run(20) // one transaction; MaxEntries leaves room for a part of the ends
	if got, want := w.starts["new.0.0.0"], 1; got != want {
		t.Errorf("starts after the first transaction got %d, want %d", got, want)
	}
}

// Guards against a worker that gets more than fits beside the runs of a job that ended under an earlier owner: the new owner does
// not know the job, and so not what its runs take until they have stopped.
func TestRunsOfUnknownJobsKeepTheirRoom(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.defs["gone"] = &batch.Job{ID: "gone", Steps: []batch.Step{{Count: 1, Need: cpu(3000)}}}
	w.workers["w0"].runs["gone.0.0.0"] = &fakeRun{start: Start{Task: "gone.0.0.0", Run: 1}, began: w.now, pace: 100}
	w.workers["w0"].lease = w.now + 6*clock.Second
	w.submit("j", batch.Step{Count: 1, Need: cpu(2000), Estimate: 1000})
	w.run(200)
	if got := w.where("j.0.0.0"); got != "" {
		t.Errorf("task runs on %s, want it to wait for the run that stops", got)
	}
	w.run(2000)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed once the run is gone", got)
	}
}

// Guards against lists that were overtaken by newer ones and make the owner forget what runs on a worker.
func TestOvertakenLists(t *testing.T) {
	w := newWorld(t, 1, testQueue)
	w.submit("j", batch.Step{Count: 1, Need: cpu(3000), Estimate: 1000})
	w.run(3000)
	worker := w.s.workers["w0"]
	born := w.workers["w0"].entry.Incarnation
	hold := Hold{Target: worker.target(), Token: worker.token}
	list := func(at clock.Millis, running ...Running) Listing {
		return Listing{Reply: Reply{Outcome: Accepted, Clock: at, Incarnation: born}, Running: running}
	}
	w.s.HoldAnswered(hold, list(w.now+20, Running{Task: "j.0.0.0", Run: 7}), w.now)
	if got, want := worker.room().CPU, 1000; got != want {
		t.Fatalf("room got %d, want %d beside a run that is to stop", got, want)
	}
	w.s.HoldAnswered(hold, list(w.now+10), w.now)
	if got, want := worker.room().CPU, 1000; got != want {
		t.Errorf("room got %d, want %d: the lists are older", got, want)
	}
	w.s.HoldAnswered(hold, list(w.now+30), w.now)
	if got, want := worker.room().CPU, 4000; got != want {
		t.Errorf("room got %d, want %d once the run is gone", got, want)
	}
}

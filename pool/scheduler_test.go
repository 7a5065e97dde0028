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
	w := newPoolSim(t, 2, testQueue)
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

// Guards against orders that are sent before the placement of the task is stored: the next owner would not know of the run.
func TestStartsWaitForTheStore(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.run(100)
	w.storeBlocked = true
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(500)
	if got := w.starts["j.0.0.0"]; got != 0 {
		t.Errorf("starts got %d, want 0 while nothing is stored", got)
	}
	w.storeBlocked = false
	w.run(100)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
}

// Guards against a second run while the first may still begin: its start got no answer and is carried out late.
func TestLateStartIsFenced(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
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
		t.Errorf("starts got %d, want 1: the lost start is replaced once it can no longer be carried out", got)
	}
	w.run(10 * clock.Second) // the simulation fails the test if the late run begins beside the second
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against leases that are extended by holds without an answer: the runs of a lost worker would count as running
// forever.
func TestRunsOfALostWorkerLapse(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	lost := w.runner("j.0.0.0")
	w.workers[lost].unreachable = true
	w.s.RemoveWorker(lost)
	w.run(9 * clock.Second)
	if got := w.runner("j.0.0.0"); got == lost || got == "" {
		t.Errorf("task runs on %q, want another worker than %q", got, lost)
	}
}

// Guards against a restart elsewhere while an unreachable worker may still run the task.
func TestUnresponsiveWorkerKeepsItsTaskUntilTheLeaseExpires(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	unresponsive := w.runner("j.0.0.0")
	w.workers[unresponsive].unreachable = true
	w.run(4 * clock.Second) // the simulation fails the test if the task runs twice
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1 while the lease may last", got)
	}
	w.run(6 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 2 {
		t.Errorf("starts got %d, want 2 after the lease", got)
	}
}

// Guards against stopping a task on purpose while another one of its step is on an unresponsive worker.
func TestNoStopWhileAPeerIsUnresponsive(t *testing.T) {
	w := newPoolSim(t, 5, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000), LongRunning: true, MaxPerWorker: 1, MayMiss: 1})
	w.run(3 * clock.Second)
	unresponsive, other := w.runner("j.0.0.0"), w.runner("j.0.0.1")
	w.workers[unresponsive].unreachable = true
	w.run(1600)
	w.s.RequestEvacuation(evacuationOf(other))
	w.run(2 * clock.Second)
	if got := w.runner("j.0.0.1"); got != other {
		t.Errorf("task runs on %q, want it to stay on %q", got, other)
	}
	w.run(8 * clock.Second)
	if got := fmt.Sprint(w.s.CompletedEvacuations()); got != "[want-1]" {
		t.Errorf("completed evacuations got %s, want [want-1] once the first task is ready again", got)
	}
}

// Guards against a worker that restarts under the same ID and still counts as running its earlier tasks.
func TestRestartedWorkerLosesItsRuns(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	w.workers["w0"].restart(w)
	w.run(2 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 2 {
		t.Errorf("starts got %d, want 2", got)
	}
}

// Guards against a job with an unlimited number of attempts, and against one that fails too early.
func TestAttemptsAreBounded(t *testing.T) {
	w := newPoolSim(t, 4, testQueue)
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

// Guards against tasks that continue after their job was cancelled.
func TestCancelStopsRuns(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
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

// Guards against a new owner that starts tasks which are already running, or loses them.
func TestSuccessorTakesRunsOver(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
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

// replaceOwner replaces the scheduler with a new one that has the stored progress of one job.
func (w *poolSim) replaceOwner(def *batch.Job, stored *batch.Progress) {
	w.succeed(w.s.configuration, nil, def, stored)
}

// succeed replaces the scheduler with a new one that knows the configuration, the reported terms and the stored progress of one job.
func (w *poolSim) succeed(c *batch.Configuration, terms map[string]batch.Terms, def *batch.Job, stored *batch.Progress) {
	successor := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
	successor.Configure(c)
	successor.SetInheritedTerms(terms)
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

// Guards against a new owner that stops a long-running task while another one of its step still runs but is being stopped:
// the previous owner had ordered that stop while it was cut off from the store.
func TestSuccessorWaitsForStopsOfTheFormerOwner(t *testing.T) {
	w := newPoolSim(t, 5, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000), LongRunning: true, MaxPerWorker: 1, MayMiss: 1})
	w.run(3 * clock.Second)
	stored := w.s.progress(w.s.jobs["j"], &Transaction{})
	first, second := w.runner("j.0.0.0"), w.runner("j.0.0.1")
	w.replaceOwner(w.s.jobs["j"].def, stored)
	w.s.RequestEvacuation(evacuationOf(second))
	w.workers[first].runs["j.0.0.0"].stopping = w.now
	away := func(task string) bool {
		worker := w.workers[w.runner(task)]
		return worker == nil || w.now-worker.runs[task].began < 900 // a task is ready after 900 ms
	}
	for range 300 {
		w.run(10)
		if away("j.0.0.0") && away("j.0.0.1") {
			t.Fatalf("%d ms: two tasks are not ready, want at most one", w.now)
		}
	}
	w.run(3 * clock.Second)
	if got := fmt.Sprint(w.s.CompletedEvacuations()); got != "[want-1]" {
		t.Errorf("completed evacuations got %s, want [want-1] once the first task is ready again", got)
	}
}

// Guards against a new owner that assumes the longest lease of a worker that had long been unresponsive, and against a
// renewal beyond the end of the lease that the table reports.
func TestLeasesOfUnresponsiveWorkersAreReported(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	unresponsive := w.runner("j.0.0.0")
	w.workers[unresponsive].unreachable = true
	w.run(3 * clock.Second)
	left, reported := w.load.Leases[unresponsive]
	if !reported || left > 4*clock.Second {
		t.Errorf("lease reported got %v, remaining time %d ms, want at most 4 s", reported, left)
	}
	w.storeBlocked = true
	w.workers[unresponsive].unreachable = false
	before := w.workers[unresponsive].lease
	w.run(1 * clock.Second)
	if got := w.workers[unresponsive].lease; got != before {
		t.Errorf("lease got %d, want %d while the table still reports when it ends", got, before)
	}
	w.storeBlocked = false
	w.run(1500)
	if got := w.workers[unresponsive].lease; got == before {
		t.Errorf("lease got %d, want a renewal once the table no longer reports when it ends", got)
	}
}

// Guards against a task that hangs on a worker that otherwise works: its job would never end.
func TestStalledRunMoves(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
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

// Guards against new tasks on a draining worker, and against long-running tasks that end together with it.
func TestTasksMoveOffDrainingWorker(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(task string) clock.Millis {
		if task == "lasting.0.0.0" {
			return 0
		}
		return 500
	}
	w.submit("lasting", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(2 * clock.Second)
	draining := w.runner("lasting.0.0.0")
	entry := w.workers[draining].entry
	entry.Draining = true
	w.s.SetWorker(entry)
	w.submit("j", batch.Step{Count: 3, Need: cpu(1000)})
	for range 200 {
		w.run(10)
		for name := range w.workers[draining].runs {
			if name != "lasting.0.0.0" {
				t.Fatalf("task %s started on a draining worker", name)
			}
		}
	}
	if got := w.runner("lasting.0.0.0"); got == draining || got == "" {
		t.Errorf("long-running task runs on %q, want another worker than %q", got, draining)
	}
}

// Guards against a gang of which only a part is placed.
func TestGangStartsTogether(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
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

// Guards against background tasks that keep a latency-sensitive task on the same worker over its target, and that never
// regain their share afterwards.
func TestBackgroundTasksAreThrottled(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("serves", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, TargetLatency: 100})
	w.submit("fills", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, BestEffort: true})
	w.run(2 * clock.Second)
	latencySensitive, background := w.workers["w0"].runs["serves.0.0.0"], w.workers["w0"].runs["fills.0.0.0"]
	latencySensitive.measurement = 150
	w.run(4 * clock.Second)
	if background.cpuPercent > 10 {
		t.Errorf("processor share in percent got %d, want at most 10 after 4 s over the target", background.cpuPercent)
	}
	latencySensitive.measurement = 50
	w.run(6 * clock.Second)
	if background.cpuPercent != 100 {
		t.Errorf("processor share in percent got %d, want 100 once the target is met", background.cpuPercent)
	}
}

// Guards against a background task that is stopped altogether, or regains a wrong share, after a throttle order without an answer.
func TestThrottleAfterALostOrder(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("serves", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, TargetLatency: 100})
	w.submit("fills", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, BestEffort: true})
	w.run(2 * clock.Second)
	lost := 0
	w.lose = func(order any) (bool, clock.Millis) {
		if _, ok := order.(Throttle); ok && lost == 0 {
			lost++
			return true, 0
		}
		return false, 0
	}
	latencySensitive, background := w.workers["w0"].runs["serves.0.0.0"], w.workers["w0"].runs["fills.0.0.0"]
	latencySensitive.measurement = 150
	for range 300 {
		if w.run(10); background.cpuPercent != 100 {
			break
		}
	}
	if got, want := background.cpuPercent, 25; lost != 1 || got != want {
		t.Errorf("processor share in percent after a lost order got %d, want %d: the lost order was for 50", got, want)
	}
}

// Guards against a background task that stays slowed down for good after its pool has got a new owner.
func TestThrottleOfAnEarlierOwnerEnds(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("fills", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true, BestEffort: true})
	w.run(2 * clock.Second)
	background := w.workers["w0"].runs["fills.0.0.0"]
	background.cpuPercent = 10 // as an earlier owner has ordered
	w.replaceOwner(w.s.jobs["fills"].def, w.s.progress(w.s.jobs["fills"], &Transaction{}))
	w.run(3 * clock.Second)
	if got, want := background.cpuPercent, 100; got != want {
		t.Errorf("processor share in percent under the new owner got %d, want %d: no task beside it serves", got, want)
	}
}

// Guards against a worker on which every run fails: it always has free resources, and would use up the attempts of every
// task.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	bad := ""
	w.fails = func(_, worker string) bool {
		if bad == "" {
			bad = worker
		}
		return worker == bad
	}
	w.length = func(string) clock.Millis { return 200 }
	w.submit("long", batch.Step{Count: 4, Need: cpu(1000)}) // occupies one worker
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(3 * clock.Second)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against tasks that wait although they fit on a worker, because the first task of their step avoids that worker.
func TestFailedTaskDoesNotHoldUpItsStep(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 400 }
	w.fails = func(task, _ string) bool { return task == "j.0.0.0" && w.starts[task] == 1 }
	w.submit("j", batch.Step{Count: 12, Need: cpu(2000)})
	for w.starts["j.0.0.0"] == 0 {
		w.run(10)
	}
	failedOn := w.runner("j.0.0.0")
	for id, f := range w.workers {
		f.unreachable = id != failedOn // the other worker gets no more tasks
	}
	w.run(1800)
	if got, least := len(w.starts), 6; got < least {
		t.Errorf("tasks started got %d, want at least %d: only the failed one avoids the worker that answers", got, least)
	}
}

// Guards against a run that counts as lost with the earlier incarnation of the worker although its start reached the new
// one, and that is started a second time beside it.
func TestStartReachesNewIncarnation(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
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
		t.Errorf("starts got %d, want 1: the new incarnation runs the task", got)
	}
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed", got)
	}
}

// Guards against tasks that are placed on a worker that has just become unresponsive: each would wait until its lease
// expires.
func TestUnresponsiveWorkerGetsNoMoreTasks(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.run(1 * clock.Second)
	w.workers["w0"].unreachable = true
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
		t.Errorf("starts sent to the unresponsive worker got %d, want at most 1", sent)
	}
}

// Guards against a job that runs again because a copy that was read before it ended arrives afterwards.
func TestEndedJobDoesNotComeBack(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	w.run(2 * clock.Second)
	w.s.AddJob(w.defs["j"], nil, false)
	w.run(2 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts got %d, want 1", got)
	}
}

// Guards against a new owner that does not complete the stops of its predecessor, or that counts the resources of those runs
// as free.
func TestSuccessorStopsRunsOfEndedJobs(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(3000), LongRunning: true})
	w.run(2 * clock.Second)
	w.workers["w0"].stopTime = 600
	w.s.Cancel("j")
	stored := w.s.progress(w.s.jobs["j"], &Transaction{})
	if got := len(stored.Runs); got != 1 {
		t.Fatalf("runs stored got %d, want 1: that of the cancelled job", got)
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
	w.run(2 * clock.Second) // the simulation fails the test if the worker is overcommitted
	if got := w.runner("j.0.0.0"); got != "" {
		t.Errorf("run of the cancelled job is on %s, want it stopped", got)
	}
	if got := w.runner("next.0.0.0"); got != "w0" {
		t.Errorf("next task is on %q, want w0 once it has free resources", got)
	}
}

// Guards against a long-running task that stays down through several changes of the owner: each owner assumed the longest
// lease of a worker that had crashed and was no longer listed.
func TestLeasesOfUnlistedWorkersAreReported(t *testing.T) {
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
			t.Error("lease report outdated got false, want true: the lease of the worker is not reported yet")
		}
		left = s.Load().Leases["gone"]
		if got, want := left, inherited; got != want {
			t.Errorf("lease reported got %d ms, want %d", got, want)
		}
	}
}

// Guards against waiting, after a change of the owner, for the lease of a worker whose machine already has a new
// incarnation.
func TestSuccessorDetectsRestartedMachines(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.run(1 * clock.Second)
	w.length = func(string) clock.Millis { return 0 }
	w.s.SetInheritedLeases(w.now+9*clock.Second, nil)
	job := &batch.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []batch.Step{{Count: 1, Need: cpu(1000), LongRunning: true}}}
	w.defs["j"] = job
	w.s.AddJob(job, &batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 1, Worker: "gone", Incarnation: 1, Machine: "m-w0"}}}, false)
	w.run(500)
	if got := w.runner("j.0.0.0"); got != "w0" {
		t.Errorf("task runs on %q, want w0, the new incarnation on its machine", got)
	}
}

// Guards against a crash of the instance caused by a job that is cancelled when its owner adds it, if the owner reports its
// load before it plans.
func TestLoadWithACancelledJob(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.s.AddJob(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Steps: []batch.Step{{Count: 1, Need: cpu(1000)}}}, nil, true)
	if got := w.s.Load().Waiting.CPU; got != 0 {
		t.Errorf("waiting processor got %d, want 0", got)
	}
}

// Guards against a second run of a task that is done: its owner stalled until the lease had expired, and then ended the run as
// lost without a hold that would have returned its end.
func TestStalledOwnerAsksWorkersBeforeExpiringRuns(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.run(100)
	w.length = func(string) clock.Millis { return 3000 }
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000)})
	for at := w.runner("j.0.0.0"); at == "" || w.s.workers[at].holdID != 0; at = w.runner("j.0.0.0") {
		w.run(10)
	}
	for end := w.now + 8*clock.Second; w.now < end; w.now += 10 { // the owner is stalled, and no hold is in flight
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

// Guards against long-running tasks that have to move twice because they were placed on a machine that is next for
// maintenance.
func TestLongRunningTasksAvoidMachinesDueForMaintenance(t *testing.T) {
	w := newPoolSim(t, 6, batch.Queue{Name: "q"})
	w.length = func(string) clock.Millis { return 0 }
	w.s.SetMaintenanceDue(map[string]bool{"m-w0": true, "m-w1": true, "m-w2": true})
	w.run(100)
	w.submit("j", batch.Step{Count: 4, Need: cpu(1000), LongRunning: true, MaxPerWorker: 1, MayMiss: 1})
	w.run(2 * clock.Second)
	due := 0
	for i := range 4 {
		switch at := w.runner(fmt.Sprintf("j.0.0.%d", i)); at {
		case "":
			t.Errorf("task %d runs nowhere, want it placed", i)
		case "w0", "w1", "w2":
			due++
		}
	}
	if got, want := due, 1; got != want {
		t.Errorf("tasks on machines due for maintenance got %d, want %d: only three others are left", got, want)
	}
}

// Guards against a lost start that is noticed only when a long hold has ended.
func TestLostStartIsReplacedAtOnce(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
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
	w.run(10 * clock.Second) // the simulation fails the test if the late run begins beside the second
}

// Guards against new work that waits, after an outage of the store, until all ends from the outage are stored.
func TestStartsAreStoredBeforeEnds(t *testing.T) {
	const jobs = 100
	w := newPoolSim(t, 10, testQueue)
	w.run(100)
	for i := range jobs {
		w.submit(fmt.Sprintf("j%02d", i), batch.Step{Count: 1, Need: cpu(100)}, batch.Step{Count: 1, Need: cpu(100000), After: []int{0}})
	}
	w.run(500)
	w.storeBlocked = true
	w.run(3 * clock.Second) // the first tasks end, the second ones fit nowhere
	w.submit("new", batch.Step{Count: 1, Need: cpu(100)})
	w.run(50)
	w.storeBlocked = false
	w.run(20) // one transaction; MaxJobRows leaves room for part of the ends
	if got, want := w.starts["new.0.0.0"], 1; got != want {
		t.Errorf("starts after the first transaction got %d, want %d", got, want)
	}
}

// Guards against an overcommitted worker: it still has runs of a job that ended under a previous owner. The new owner does
// not know the job, and thus not its resources, until the runs have stopped.
func TestRunsOfUnknownJobsKeepTheirResources(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.defs["gone"] = &batch.Job{ID: "gone", Steps: []batch.Step{{Count: 1, Need: cpu(3000)}}}
	w.workers["w0"].runs["gone.0.0.0"] = &fakeRun{start: Start{Task: "gone.0.0.0", Run: 1}, began: w.now, cpuPercent: 100}
	w.workers["w0"].lease = w.now + 6*clock.Second
	w.submit("j", batch.Step{Count: 1, Need: cpu(2000), Estimate: 1000})
	w.run(200)
	if got := w.runner("j.0.0.0"); got != "" {
		t.Errorf("task runs on %s, want it to wait until the stray run has stopped", got)
	}
	w.run(2000)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed once the run is gone", got)
	}
}

// Guards against lists that were overtaken by newer ones and remove runs that are still on the worker.
func TestOvertakenLists(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.submit("j", batch.Step{Count: 1, Need: cpu(3000), Estimate: 1000})
	w.run(3000)
	worker := w.s.workers["w0"]
	startedAt := w.workers["w0"].entry.Incarnation
	hold := Hold{Target: worker.target(), Token: worker.token}
	list := func(at clock.Millis, running ...Running) Listing {
		return Listing{Reply: Reply{Outcome: Accepted, Clock: at, Incarnation: startedAt}, Running: running}
	}
	w.s.HoldAnswered(hold, list(w.now+20, Running{Task: "j.0.0.0", Run: 7}), w.now)
	if got, want := worker.free().CPU, 1000; got != want {
		t.Fatalf("free processor got %d, want %d beside a run that is to stop", got, want)
	}
	w.s.HoldAnswered(hold, list(w.now+10), w.now)
	if got, want := worker.free().CPU, 1000; got != want {
		t.Errorf("free processor got %d, want %d: the lists are older", got, want)
	}
	w.s.HoldAnswered(hold, list(w.now+30), w.now)
	if got, want := worker.free().CPU, 4000; got != want {
		t.Errorf("free processor got %d, want %d once the run is gone", got, want)
	}
}

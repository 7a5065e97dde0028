package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// heavyTail returns run times of which one in six takes eight times as long.
func heavyTail(random *rand.Rand) func(string) clock.Millis {
	return func(string) clock.Millis {
		length := 300 + clock.Millis(random.IntN(700))
		if random.IntN(6) == 0 {
			return 8 * length
		}
		return length
	}
}

// randomCopyJob returns a job of which one of two steps allows copies, the first one if first is set.
func randomCopyJob(id string, random *rand.Rand, first bool) *batch.Job {
	return &batch.Job{ID: id, Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{
		{Count: 2 + random.IntN(5), Need: cpu(200 + random.IntN(900)), Estimate: 800, MaxPerWorker: random.IntN(4), AllowDuplicates: first},
		{Count: 2 + random.IntN(3), Need: cpu(200 + random.IntN(900)), Estimate: 800, After: []int{0}, AllowDuplicates: !first}}}
}

// Guards against an overcommitted worker, a job that never ends, and two runs of a task whose step does not allow them, beside steps that
// do, while orders are lost or carried out late, workers become unreachable and restart, and the store rejects writes.
func TestRandomCopies(t *testing.T) {
	before := copiesWon.Value()
	for seed := *firstSeed; seed < *firstSeed+*randomSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomCopies(t, seed) })
	}
	if copiesWon.Value() == before {
		t.Error("copies that ended first got 0, want some")
	}
}

func runRandomCopies(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	w := newPoolSim(t, 5, batch.Queue{Name: "q", MaxAttempts: 100, Stretch: 1.6, Objective: 600})
	w.s.Retention = clock.Hour // the final states are read at the end
	w.dropsOnRestart = true    // TestRandomFaults covers orders that reach the next incarnation, also unknown ones
	w.length = heavyTail(random)
	w.fails = func(string, string) bool { return random.IntN(20) == 0 }
	w.lose = func(order any) (bool, clock.Millis) {
		switch order.(type) {
		case Start:
			if random.IntN(8) == 0 {
				return true, clock.Millis(random.IntN(2)) * clock.Millis(2000+random.IntN(8000))
			}
		case Stop:
			return random.IntN(8) == 0, 0
		}
		return false, 0
	}
	const jobs = 30
	for i := range jobs {
		w.add(withAccepted(randomCopyJob(fmt.Sprintf("j%d", i), random, i%2 == 0), w.now))
		injectFault(w, random)
		w.publish()
		w.run(clock.Millis(random.IntN(2500)))
	}
	for _, f := range w.workers {
		f.unreachable = false
	}
	w.storeBlocked, w.lose = false, nil
	w.run(60 * clock.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		if got := w.state(id); !got.Final() {
			t.Errorf("state of %s got %v, want a final one once all faults are over", id, got)
		}
	}
	for _, worker := range w.s.workers {
		if worker.used != (batch.Resources{}) {
			t.Errorf("room in use on %s got %+v, want none", worker.entry.ID, worker.used)
		}
	}
}

func withAccepted(job *batch.Job, at clock.Millis) *batch.Job {
	job.Accepted = at
	return job
}

// Guards against the same while owners are killed, frozen, or cut off, and others take over from the stored state, in which a task may have
// two runs.
func TestRandomCopyTakeovers(t *testing.T) {
	before := copiesWon.Value()
	for seed := *takeoverFirst; seed < *takeoverFirst+*takeoverSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runCopyTakeovers(t, seed) })
	}
	if copiesWon.Value() == before {
		t.Error("copies that ended first got 0, want some")
	}
}

func runCopyTakeovers(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 8))
	s := newSim(t, random, 5, simOptions{sameID: true, incarnationInReplies: seed%2 == 0, earlyRelease: true})
	s.length = heavyTail(random)
	const jobs = 30
	for i := range jobs {
		s.submit(randomCopyJob(fmt.Sprintf("j%d", i), random, i%2 == 0))
		s.injectFault()
		s.run(s.randomMillis(0, 2500))
	}
	s.noFaults = true
	s.storeSlowUntil = 0
	s.nextLinks = map[string]link{}
	for _, o := range s.owners {
		o.links, o.storeCutUntil, o.frozenUntil = map[string]link{}, 0, min(o.frozenUntil, s.now+10)
	}
	s.run(60 * clock.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		if got := s.jobStates[id]; !got.Final() {
			t.Errorf("state of %s got %v, want a final one once all faults are over", id, got)
		}
	}
}

// Guards against a task that starts again after it has failed as often as its queue allows, or over a second after its end was acknowledged,
// and against a job that fails although none of its tasks has failed so often, while tasks have copies, starts get no answer, and workers
// become unreachable and restart.
func TestRandomCopiesThatFail(t *testing.T) {
	failedJobs, before := 0, copiesStarted.Value()
	for seed := *firstSeed; seed < *firstSeed+*randomSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { failedJobs += runCopiesThatFail(t, seed) })
	}
	if copies := copiesStarted.Value() - before; failedJobs == 0 || copies == 0 {
		t.Errorf("failed jobs and copies got %d and %d, want some", failedJobs, copies)
	}
}

func runCopiesThatFail(t *testing.T, seed uint64) (failedJobs int) {
	const maxAttempts = 3
	random := rand.New(rand.NewPCG(seed, 9))
	w := newPoolSim(t, 5, batch.Queue{Name: "q", MaxAttempts: maxAttempts, Stretch: 1.6, Objective: 600})
	w.s.Retention = clock.Hour // the final states are read at the end
	w.dropsOnRestart, w.maxAttempts, w.leaseBoundFailures = true, maxAttempts, true
	lengths := heavyTail(random)
	w.length = func(task string) clock.Millis {
		for _, end := range w.endHistory.byTask[task] {
			if end.acked && w.now-end.at > 1500 {
				t.Errorf("%d ms: a start long after the end: %v", w.now, end)
			}
		}
		return lengths(task)
	}
	failures := map[string]int{} // most of one task, by job
	ofTask := map[string]int{}
	w.fails = func(task, _ string) bool {
		if random.IntN(4) > 0 {
			return false
		}
		job, _, _ := batch.ParseTask(task)
		ofTask[task]++
		failures[job] = max(failures[job], ofTask[task])
		return true
	}
	w.lose = func(order any) (bool, clock.Millis) {
		_, isHold := order.(Hold)
		return !isHold && random.IntN(8) == 0, 0
	}
	const jobs = 30
	for i := range jobs {
		w.add(withAccepted(randomCopyJob(fmt.Sprintf("j%d", i), random, i%2 == 0), w.now))
		injectFault(w, random)
		w.publish()
		w.run(clock.Millis(random.IntN(2500)))
	}
	for _, f := range w.workers {
		f.unreachable = false
	}
	w.storeBlocked, w.lose = false, nil
	w.run(60 * clock.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		switch got := w.state(id); {
		case got == batch.Failed && failures[id] < maxAttempts:
			t.Errorf("%s is shown as failed, and its tasks have failed at most %d times, want %d", id, failures[id], maxAttempts)
		case got == batch.Failed:
			failedJobs++
		case !got.Final(): // injectFault cancels some
			t.Errorf("state of %s got %v, want a final one", id, got)
		}
	}
	return failedJobs
}

package pool

import (
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// newFaultFreeSim returns a simulation with two workers, long tasks, and no faults except those that a test injects.
func newFaultFreeSim(t *testing.T) *sim {
	s := newSim(t, rand.New(rand.NewPCG(1, 2)), 2, simOptions{noFaults: true, sameID: true, inTransitToNewIncarnation: true, earlyRelease: true})
	s.length = func(string) clock.Millis { return 30 * clock.Second }
	s.run(500)
	return s
}

func (s *sim) submitOne() {
	s.submit(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{{Count: 1, Need: cpu(1000), Estimate: 800}}})
}

// runUntil advances the simulation until the condition holds.
func (s *sim) runUntil(what string, holds func() bool) {
	s.t.Helper()
	for end := s.now + 10*clock.Second; !holds(); {
		if s.now >= end {
			s.t.Fatalf("%d ms: timed out waiting for %s", s.now, what)
		}
		s.run(1)
	}
}

// runner returns the ID of the worker that runs the task, or "".
func (s *sim) runner(task string) string {
	for _, id := range s.workerIDs {
		if s.workers[id].runs[task] != nil {
			return id
		}
	}
	return ""
}

func (s *sim) owner() *owner { return s.owners[len(s.owners)-1] }

// waitForOwner waits until the owner with the given number has loaded the stored state.
func (s *sim) waitForOwner(number int) *owner {
	s.t.Helper()
	s.runUntil("the next owner", func() bool { return len(s.owners) > number && s.owner().loaded })
	return s.owner()
}

// Guards against a lease that is considered expired too early when an owner releases the pool soon after it took it over:
// the owner before it may still have renewed leases for a while. The simulation fails the test if the task begins a second
// time.
func TestReleaseWhileTheOwnerBeforeStillActs(t *testing.T) {
	s := newFaultFreeSim(t)
	s.submitOne()
	s.runUntil("the start", func() bool { return s.runner("j.0.0.0") != "" })
	s.run(clock.Second)
	runner := s.runner("j.0.0.0")
	s.nextLinks[runner] = cut
	s.owner().storeCutUntil = s.now + 20*clock.Second
	s.waitForOwner(1)
	s.runUntil("the release", func() bool {
		s.owner().release()
		return s.released
	})
	s.waitForOwner(2)
	s.run(12 * clock.Second)
}

// Guards against an owner that extends a lease beyond its inherited end before its first transaction is applied: the next
// owner reads the same old report. The simulation fails the test if the task begins a second time.
func TestOldReportAfterTwoTakeovers(t *testing.T) {
	s := newFaultFreeSim(t)
	s.submitOne()
	s.runUntil("the start", func() bool { return s.runner("j.0.0.0") != "" })
	s.run(clock.Second)
	runner := s.runner("j.0.0.0")
	s.owner().links[runner] = cut
	s.run(2 * clock.Second)
	s.owner().dead = true
	s.runUntil("the claim", func() bool { return len(s.owners) > 1 })
	s.owner().storeCutUntil = s.now + 20*clock.Second
	s.waitForOwner(1)
	s.nextLinks[runner] = cut
	s.waitForOwner(2)
	s.run(12 * clock.Second)
}

// Guards against a start that a previous owner sends after a pause: its token is too low for every worker that the next
// owner has reached, but not for one that has restarted since. The simulation fails the test if the task runs twice.
func TestFormerOwnerGoesOnAfterAPause(t *testing.T) {
	s := newFaultFreeSim(t)
	s.submitOne()
	first := s.owner()
	s.runUntil("the stored start", func() bool { return len(s.rows["j"]) > 1 })
	first.frozenUntil = s.now + 2500 // the owner reads the answer of the store only afterwards
	target := first.scheduler.jobs["j"].occurrences[0].steps[0].tasks[0].run.worker.entry.ID
	s.waitForOwner(1).scheduler.RequestEvacuation(evacuationOf(target)) // so that the task is placed elsewhere
	s.runUntil("the second start", func() bool { return s.runner("j.0.0.0") != "" })
	s.run(first.frozenUntil - 5 - s.now)
	s.workers[target].crash()
	s.startIncarnation(target, "m-"+target, s.now)
	s.run(5 * clock.Second)
}

// Guards against a damaged row of a job's progress that ends the process, or keeps the job from its end.
func TestDamagedProgress(t *testing.T) {
	for _, damage := range []batch.Run{{Step: -1}, {Index: -1}, {Index: 7}, {Step: 7}, {Occurrence: -1}, {Occurrence: 7}} {
		damage.Number, damage.Worker = 3, "w0"
		w := newPoolSim(t, 2, testQueue)
		w.submit("j", batch.Step{Count: 2, Need: cpu(1000)})
		w.replaceOwner(w.defs["j"], &batch.Progress{State: batch.Running, Runs: []batch.Run{damage}})
		w.run(3 * clock.Second)
		if got := w.state("j"); got != batch.Completed {
			t.Errorf("entry %+v: state got %v, want completed", damage, got)
		}
	}
}

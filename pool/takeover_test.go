package pool

import (
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// newCalmSite returns a site with two workers where nothing goes wrong by itself, and whose tasks take long.
func newCalmSite(t *testing.T) *site {
	s := newSite(t, rand.New(rand.NewPCG(1, 2)), 2, sitePlan{calm: true, sameID: true, quickToNewLife: true, earlyRelease: true})
	s.length = func(string) clock.Millis { return 30 * clock.Second }
	s.run(500)
	return s
}

func (s *site) submitOne() {
	s.submit(&batch.Job{ID: "j", Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{{Count: 1, Need: cpu(1000), Estimate: 800}}})
}

// runUntil advances the site until the condition holds.
func (s *site) runUntil(what string, holds func() bool) {
	s.t.Helper()
	for end := s.now + 10*clock.Second; !holds(); {
		if s.now >= end {
			s.t.Fatalf("%d ms: waited in vain for %s", s.now, what)
		}
		s.run(1)
	}
}

// where returns the worker that runs the task.
func (s *site) where(task string) string {
	for _, id := range s.names {
		if s.hosts[id].runs[task] != nil {
			return id
		}
	}
	return ""
}

func (s *site) owner() *owner { return s.owners[len(s.owners)-1] }

// begun waits for the owner of the given number to have read what is stored.
func (s *site) begun(number int) *owner {
	s.t.Helper()
	s.runUntil("the next owner", func() bool { return len(s.owners) > number && s.owner().begun })
	return s.owner()
}

// Guards against a lease that counts as over too early when an owner releases the pool soon after it took it over: the owner
// before that one may still have renewed leases for a while. The site fails the test if the task begins a second time.
func TestReleaseWhileTheOwnerBeforeStillActs(t *testing.T) {
	s := newCalmSite(t)
	s.submitOne()
	s.runUntil("the start", func() bool { return s.where("j.0.0.0") != "" })
	s.run(clock.Second)
	where := s.where("j.0.0.0")
	s.nextLinks[where] = cut
	s.owner().storeCut = s.now + 20*clock.Second
	s.begun(1)
	s.runUntil("the release", func() bool {
		s.owner().release()
		return s.released
	})
	s.begun(2)
	s.run(12 * clock.Second)
}

// Guards against an inherited end of a lease that an owner makes untrue before its first transaction is applied: the owner
// after it reads the same old report. The site fails the test if the task begins a second time.
func TestOldReportAfterTwoTakeovers(t *testing.T) {
	s := newCalmSite(t)
	s.submitOne()
	s.runUntil("the start", func() bool { return s.where("j.0.0.0") != "" })
	s.run(clock.Second)
	where := s.where("j.0.0.0")
	s.owner().links[where] = cut
	s.run(2 * clock.Second)
	s.owner().dead = true
	s.runUntil("the claim", func() bool { return len(s.owners) > 1 })
	s.owner().storeCut = s.now + 20*clock.Second
	s.begun(1)
	s.nextLinks[where] = cut
	s.begun(2)
	s.run(12 * clock.Second)
}

// Guards against a start that a former owner sends when it goes on after a pause: its token is too low for every worker that the
// next owner has reached, but not for one that has restarted since. The site fails the test if the task runs twice.
func TestFormerOwnerGoesOnAfterAPause(t *testing.T) {
	s := newCalmSite(t)
	s.submitOne()
	first := s.owner()
	s.runUntil("the stored start", func() bool { return len(s.rows["j"]) > 1 })
	first.frozen = s.now + 2500 // the answer of the store waits for it
	target := first.scheduler.jobs["j"].occurrences[0].steps[0].tasks[0].run.worker.entry.ID
	s.begun(1).scheduler.RequestEvacuation(target, "want-1") // so that the task goes elsewhere
	s.runUntil("the second start", func() bool { return s.where("j.0.0.0") != "" })
	s.run(first.frozen - 5 - s.now)
	s.hosts[target].crash()
	s.startLife(target, "m-"+target, s.now)
	s.run(5 * clock.Second)
}

package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// CI runs the first seeds. Use -args -takeover-seeds 2000 -takeover-first 0 to search for new failures.
var (
	takeoverSeeds             = flag.Uint64("takeover-seeds", 40, "number of seeds of TestRandomTakeovers")
	takeoverFirst             = flag.Uint64("takeover-first", 0, "first seed of TestRandomTakeovers")
	sameID                    = flag.Bool("same-id", true, "workers restart under the same ID in TestRandomTakeovers")
	lateToNewIncarnation      = flag.Bool("late-to-new-life", false, "late orders are carried out by an incarnation that began after they were sent")
	inTransitToNewIncarnation = flag.Bool("quick-to-new-life", true, "orders in transit are carried out by an incarnation that began after they were sent")
	earlyRelease              = flag.Bool("early-release", true, "owners release the pool while the previous owner may still act")
	faultsPerJob              = flag.Int("takeover-troubles", 1, "faults that begin with each job of TestRandomTakeovers")
	traceLines                = flag.Int("trace-lines", 60, "maximum number of trace lines printed for a failure of TestRandomTakeovers")
)

// Guards against a task that runs twice, or again after its end was acknowledged, and against an overcommitted worker, while
// owners are killed, frozen, or cut off from the store or from workers, and others take over from the stored state.
func TestRandomTakeovers(t *testing.T) {
	for seed := *takeoverFirst; seed < *takeoverFirst+*takeoverSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTakeovers(t, seed, false, false) })
	}
}

// Guards against the same while another writer leaves odd entries among those of the workers, also in the place of their own.
func TestRandomOddEntries(t *testing.T) {
	for seed := *takeoverFirst; seed < *takeoverFirst+*takeoverSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTakeovers(t, seed, false, true) })
	}
}

// runTakeovers runs one seed. If routed is set, it adds labels and configuration changes; if odd is set, odd entries.
func runTakeovers(t *testing.T, seed uint64, routed, odd bool) {
	random := rand.New(rand.NewPCG(seed, 2))
	s := newSim(t, random, 4, simOptions{lateToNewIncarnation: *lateToNewIncarnation, inTransitToNewIncarnation: *inTransitToNewIncarnation, sameID: *sameID,
		incarnationInReplies: seed%2 == 0, earlyRelease: *earlyRelease, labels: routed})
	if odd {
		s.leaveOddEntries(rand.New(rand.NewPCG(seed, 3)))
	}
	s.length = func(string) clock.Millis {
		if random.IntN(3) == 0 {
			return s.randomMillis(10, 100)
		}
		return s.randomMillis(300, 2500)
	}
	const jobs = 30
	for i := range jobs {
		label := ""
		if routed {
			label = stepLabels[i%len(stepLabels)]
			s.configure(rotatingConfiguration(i))
		}
		s.submit(&batch.Job{ID: fmt.Sprintf("j%d", i), Queue: "q", Pool: testPool, Spec: "spec", Steps: []batch.Step{
			{Count: 1 + random.IntN(5), Need: cpu(200 + random.IntN(1500)), Estimate: 800, MaxPerWorker: random.IntN(3), Label: label},
			{Count: 1 + random.IntN(3), Need: cpu(200 + random.IntN(900)), Estimate: 800, After: []int{0}}}})
		for range *faultsPerJob {
			s.injectFault()
		}
		s.run(s.randomMillis(0, 1500))
	}
	s.noFaults = true
	s.storeSlowUntil = 0
	s.nextLinks = map[string]link{}
	for _, o := range s.owners {
		o.links, o.storeCutUntil, o.frozenUntil = map[string]link{}, 0, min(o.frozenUntil, s.now+10)
	}
	s.run(40 * clock.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		if got := s.jobStates[id]; !got.Final() {
			t.Errorf("state of %s got %v, want a final one once all faults are over", id, got)
		}
	}
}

// leaveOddEntries begins a series of odd entries, about one a second. A worker whose entry one of them replaces soon writes its own again; one
// under another id stays. The series draws from a sequence of its own.
func (s *sim) leaveOddEntries(random *rand.Rand) {
	s.after(clock.Millis(random.IntN(2000)), func() {
		if s.noFaults {
			return
		}
		s.leaveOddEntries(random)
		h, other := s.workers[s.workerIDs[random.IntN(len(s.workerIDs))]], s.workers[s.workerIDs[random.IntN(len(s.workerIDs))]]
		odd := oddEntries[random.IntN(len(oddEntries))]
		if !h.up || !other.up || h == other {
			return
		}
		entry := odd.entry(h.entry, other.entry)
		entry.Incarnation += int64(random.IntN(2)) * 20000
		s.tracef("worker %s (other worker %s ): another writer leaves an entry %s: %+v", h.entry.ID, other.entry.ID, odd.name, entry)
		s.deliverEntry(entry.ID, entry, true)
		if s.workers[entry.ID] != nil {
			s.after(clock.Millis(10+random.IntN(1500)), func() { s.publish(entry.ID) })
		}
	})
}

// injectFault begins one random fault, which ends by itself.
func (s *sim) injectFault() {
	o := s.owners[len(s.owners)-1]
	id := s.workerIDs[s.random.IntN(len(s.workerIDs))]
	switch s.random.IntN(12) {
	case 0:
		s.tracef("owner %s is killed", o.name)
		o.dead = true
	case 1:
		o.frozenUntil = s.now + s.randomMillis(500, 7000)
		s.tracef("owner %s is frozen until %d", o.name, o.frozenUntil)
	case 2, 3:
		o.storeCutUntil = s.now + s.randomMillis(300, 7000)
		s.tracef("owner %s cannot reach the store until %d", o.name, o.storeCutUntil)
	case 4:
		o.release()
	case 5, 6, 7:
		s.breakLink(o, id)
	case 8:
		s.restart(id)
	case 9:
		s.storeSlowUntil = s.now + s.randomMillis(300, 3000)
	case 10:
		if len(s.jobs) > 0 {
			s.cancel(s.jobs[s.random.IntN(len(s.jobs))].ID)
		}
	}
}

// breakLink breaks the link between a worker and the current owner, the next ones, or both.
func (s *sim) breakLink(o *owner, id string) {
	l := cut
	if s.oneIn(2) {
		l = answersLost
	}
	affected := s.random.IntN(3)
	if affected != 0 {
		o.links[id] = l
	}
	if affected != 1 {
		s.nextLinks[id] = l
	}
	s.tracef("owner %s and the next ones (%d of 0 next, 1 current, 2 both): link to worker %s is broken, kind %d", o.name, affected, id, l)
	s.after(s.randomMillis(200, 10000), func() {
		s.tracef("owner %s and the next ones: link to worker %s works again", o.name, id)
		delete(s.nextLinks, id)
		for _, o := range s.owners {
			delete(o.links, id)
		}
	})
}

// restart ends the incarnation of a worker. The next one begins soon, usually under the same ID.
func (s *sim) restart(id string) {
	h := s.workers[id]
	if !h.up {
		return
	}
	machine := h.entry.Machine
	h.crash()
	down := s.randomMillis(10, 80)
	if s.oneIn(2) {
		down = s.randomMillis(300, 6000)
	}
	next := id
	if !s.options.sameID || s.oneIn(4) {
		next = fmt.Sprintf("%s-%d", machine[2:], s.now)
	}
	s.after(down, func() {
		s.startIncarnation(next, machine, s.now)
		s.after(s.randomMillis(10, 1500), func() { s.publish(next) })
		if next != id {
			s.after(s.randomMillis(10, 3000), func() { s.publish(id) })
		}
	})
}

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// checkCap fails the test if the start of a task brings what its customer runs above the cap and one task.
func (s *sim) checkCap(h *simWorker, started string) {
	id, key, _ := batch.ParseTask(started)
	customer := s.defs[id].Customer
	if s.customerCap == nil || customer == "" {
		return
	}
	most := s.customerCap.amount.Add(s.defs[id].Steps[key.Step].Need)
	var running batch.Resources
	var words []string
	for _, name := range s.workerIDs {
		for task := range s.workers[name].runs {
			if other, key, _ := batch.ParseTask(task); s.workers[name].up && s.defs[other].Customer == customer {
				running = running.Add(s.defs[other].Steps[key.Step].Need)
				words = append(words, task)
			}
		}
	}
	if !running.Fits(most) {
		s.failf(append(words, "owner ", "crashes"), "customer %s runs %+v after the start of %s on %s, want at most %+v", customer, running, started, h.entry.ID, most)
	}
}

// Guards against a customer that passes its cap while owners of the pool are killed, frozen, or cut off from the store or from workers, and
// others take over from the stored state.
func TestRandomTakeoversWithinTheCap(t *testing.T) {
	for seed := *takeoverFirst; seed < *takeoverFirst+*takeoverSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 4))
			s := newSim(t, random, 4, simOptions{lateToNewIncarnation: *lateToNewIncarnation, inTransitToNewIncarnation: *inTransitToNewIncarnation, sameID: *sameID,
				incarnationInReplies: seed%2 == 0, earlyRelease: *earlyRelease})
			s.customerCap = &fixedCap{batch.Resources{CPU: 2000, MemoryMB: 1 << 20}} // of 16000 in the pool
			s.length = func(string) clock.Millis { return s.randomMillis(300, 2500) }
			const jobs = 40
			for i := range jobs {
				s.submit(&batch.Job{ID: fmt.Sprintf("j%d", i), Queue: "q", Pool: testPool, Spec: "spec", Customer: fmt.Sprintf("c%d", i%2), Steps: []batch.Step{
					{Count: 1 + random.IntN(5), Need: cpu(200 + random.IntN(1500)), Estimate: 800},
					{Count: 1 + random.IntN(3), Need: cpu(200 + random.IntN(900)), Estimate: 800, After: []int{0}}}})
				s.injectFault()
				s.run(s.randomMillis(0, 800))
			}
		})
	}
}

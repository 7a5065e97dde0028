package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Times of the loss of an owner after an outage.
const (
	finalOutage = 4500 * clock.Millis(1)
	lossDelay   = 700 * clock.Millis(1) // from the end of the outage to the loss
	// lossBound is the longest time from the loss until tasks of a new job run, according to the users' documentation: 3 s until the system
	// counts as undisturbed, 4 s in which it stays so, and 3 s without a run.
	lossBound = 10 * clock.Second
)

// checkOwnerLoss removes the owner of a pool for good, shortly after an outage of the store, and records a violation if a job that is
// submitted afterwards does not start in time. All other faults have ended, and the callers too.
func (s *site) checkOwnerLoss(ctx context.Context) {
	if len(s.instances) < 2 {
		return
	}
	c := clock.System()
	s.fault.Store(int64(standin.TableRejects))
	s.down.Store(true)
	_ = c.Sleep(ctx, finalOutage) // the calls below fail if the context has ended
	s.fault.Store(int64(standin.TableWorks))
	s.down.Store(false)
	_ = c.Sleep(ctx, lossDelay)
	lost, pool := s.ownerOfAnyPool()
	if lost == nil {
		s.options.recordViolation("no pool has an owner after the last fault")
		return
	}
	lost.stop(syscall.SIGKILL)
	s.instances = slices.DeleteFunc(s.instances, func(in *instance) bool { return in == lost })
	at := c.Now()
	s.options.logf("%s, the owner of %s, is removed for good", lost.name, pool)
	const id = "afterloss"
	body := standin.JobBody(standin.Work{Length: clock.Second, CPU: 250}, batch.Step{Count: 1, Need: batch.Resources{MemoryMB: taskMemory}})
	random, accepted := rand.New(rand.NewPCG(s.options.Seed, 6)), false
	for c.Now() < at+lossBound && s.begun(id) == 0 {
		if !accepted {
			status, _ := s.send(ctx, s.instances[0], http.MethodPost, "/"+pool+"/"+id, s.operator.key(random, uncappedCustomer), body)
			accepted = status == http.StatusOK
		}
		if c.Sleep(ctx, retryInterval) != nil {
			return
		}
	}
	if s.begun(id) == 0 {
		s.options.recordViolation("job %s has no task running %d ms after the owner of pool %s was removed (accepted: %v)", id, lossBound, pool, accepted)
	}
}

// ownerOfAnyPool returns an instance that owns a pool, and the name of the pool; nil if no pool has an owner.
func (s *site) ownerOfAnyPool() (*instance, string) {
	for _, row := range s.table.Rows(store.StateTable) {
		if row.Key != store.OwnerKey || !slices.Contains(pools, row.Part) {
			continue
		}
		owner, err := store.DecodeOwner(row.Value)
		if err != nil {
			s.options.recordViolation("the owner row of part %s cannot be decoded: %v", row.Part, err)
			continue
		}
		for _, in := range s.instances {
			if in.name == owner.Node && !owner.Released {
				return in, row.Part
			}
		}
	}
	return nil, ""
}

// abandonedJob records that an instance answered that a job does not exist, after its submission had an unknown outcome.
func (s *site) abandonedJob(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = append(s.abandoned, id)
}

// checkAbandonedJobs records a violation for each job that has started although an instance had answered that it does not exist.
func (s *site) checkAbandonedJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.abandoned {
		if n := s.begun(id); n > 0 {
			s.options.recordViolation("%d tasks of job %s have started, and its cancelling was answered with %d", n, id, http.StatusGone)
		}
	}
}

package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/grant"
)

// maxCappedUnits bounds what the demand of one customer lists of its waiting steps.
const maxCappedUnits = 16

// Caps decides which tasks may start within what their customers may use.
type Caps interface {
	// Allows reports whether count tasks that need the given amount each may start together while the customer's runs in this pool use
	// the given amount.
	Allows(customer string, use, need batch.Resources, count int) bool
	// Covers reports the same of tasks that have been placed already.
	Covers(customer string, use, need batch.Resources, count int) bool
}

// cappedWork is what a customer's cap holds back in one pass over the waiting jobs.
type cappedWork struct {
	strays map[string]batch.Resources // of listed runs that this owner did not order, by customer
	units  map[string][]grant.Unit    // steps that wait for nothing but their customer's amount, by customer
	// room is what the usable workers have left beside the units of a customer. Those of other customers do not count: their caps may hold
	// them back for long.
	room      map[string]batch.Resources
	free      *batch.Resources // on all usable workers; nil until it is needed
	collected bool             // the next pass, or this one, records units
	searched  bool             // this pass records units, as copies of slow tasks are looked for after it
}

// beginCapPass discards what the last pass found.
func (s *Scheduler) beginCapPass() {
	if s.Caps == nil {
		return
	}
	s.capped = cappedWork{collected: s.capped.collected, searched: s.now >= s.nextCopySearch, strays: map[string]batch.Resources{}, units: map[string][]grant.Unit{}, room: map[string]batch.Resources{}}
	for _, w := range s.workers {
		for name := range w.strays {
			id, key, ok := batch.ParseTask(name)
			if j := s.jobs[id]; ok && j != nil && j.def.Customer != "" && key.Step < len(j.def.Steps) {
				s.capped.strays[j.def.Customer] = s.capped.strays[j.def.Customer].Add(j.def.Steps[key.Step].Need)
			}
		}
	}
}

// usedBy returns what runs or may run of a customer in this pool.
func (s *Scheduler) usedBy(customer string) batch.Resources {
	return s.customerUse[customer].Add(s.capped.strays[customer])
}

// withinCap reports whether the next task of a step, or all of a gang, may start within its customer's amount. What may not, and has
// room in the pool, counts for the demand of the customer.
func (s *Scheduler) withinCap(st *step, pass *placement) bool {
	customer := st.job.def.Customer
	if s.Caps == nil || customer == "" {
		return true
	}
	count := 1
	if st.def.Gang {
		count = len(st.tasks)
	}
	if s.Caps.Allows(customer, s.usedBy(customer), st.def.Need, count) {
		return true
	}
	if (s.capped.collected || s.capped.searched) && len(s.capped.units[customer]) < maxCappedUnits {
		s.recordCapped(st, pass)
	}
	return false
}

// mayCopyWithinCap reports whether a copy of a task of the step may start within its customer's amount, of which it leaves all to first runs
// while one waits for it. Copies add no demand.
func (s *Scheduler) mayCopyWithinCap(st *step) bool {
	customer := st.job.def.Customer
	if s.Caps == nil || customer == "" {
		return true
	}
	return len(s.capped.units[customer]) == 0 && s.Caps.Allows(customer, s.usedBy(customer), st.def.Need, 1)
}

// recordCapped adds the waiting tasks of a step to the demand of its customer, as many as the pool has room for.
func (s *Scheduler) recordCapped(st *step, pass *placement) {
	var first *task
	waiting := 0
	for _, t := range st.tasks {
		switch {
		case !t.done && t.run == nil && t.retryAt <= s.now:
			if first == nil {
				first = t
			}
			waiting++
		case st.def.Gang:
			return // a gang starts as a whole
		}
	}
	customer := st.job.def.Customer
	room, known := s.capped.room[customer]
	if !known {
		room = s.capped.freeOn(pass.workers)
	}
	size, fitting := st.def.Reserve(), 0
	for fitting < waiting && size.Fits(room) {
		room = room.Sub(size)
		fitting++
	}
	if fitting == 0 || st.def.Gang && fitting < waiting {
		return
	}
	if s.choose(first, pass.workers, nil) == nil {
		s.requestMissingAdvice(st, pass.workers)
		pass.recordTooBig(size)
		return
	}
	if pass.inTime {
		pass.capped = append(pass.capped, st)
	}
	s.capped.room[customer] = room
	s.capped.units[customer] = append(s.capped.units[customer], grant.Unit{Need: st.def.Need, Tasks: fitting, Gang: st.def.Gang})
}

// freeOn returns what the workers have free in all. It is computed once in a pass.
func (c *cappedWork) freeOn(workers []*worker) batch.Resources {
	if c.free == nil {
		c.free = &batch.Resources{}
		for _, w := range workers {
			*c.free = c.free.Add(w.free())
		}
	}
	return *c.free
}

// mayStillStart reports whether a placed run may start. What its customer may use can have shrunk since it was placed.
func (s *Scheduler) mayStillStart(r *run) bool {
	st := r.task.step
	customer := st.job.def.Customer
	if s.Caps == nil || customer == "" {
		return true
	}
	count := 1
	if st.def.Gang {
		count = 0
		for _, t := range st.tasks {
			if t.run != nil {
				count++
			}
		}
	}
	use := s.usedBy(customer)
	for range count {
		use = use.Sub(st.def.Need)
	}
	return s.Caps.Covers(customer, use, st.def.Need, count)
}

// CollectDemands has the plans until the next call of CustomerDemands record what they hold back because of customers' caps, which takes a
// search for a worker for each of many steps.
func (s *Scheduler) CollectDemands() { s.capped.collected = true }

// CustomerDemands returns by customer what runs, or may run, in this pool, and what the newest plan held back because of their caps if
// CollectDemands was called before it.
func (s *Scheduler) CustomerDemands() map[string]grant.Demand {
	s.capped.collected = false
	demands := make(map[string]grant.Demand, len(s.customerUse))
	for customer := range s.customerUse {
		demands[customer] = grant.Demand{Use: s.usedBy(customer), Waiting: s.capped.units[customer]}
	}
	for customer := range s.capped.strays {
		demands[customer] = grant.Demand{Use: s.usedBy(customer), Waiting: s.capped.units[customer]}
	}
	for customer, units := range s.capped.units {
		demands[customer] = grant.Demand{Use: s.usedBy(customer), Waiting: units}
	}
	return demands
}

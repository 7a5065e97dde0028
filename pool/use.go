package pool

import "magnoliaferry/batch"

// attach reserves the resources of a run on its worker.
func (s *Scheduler) attach(r *run) {
	t, w := r.task, r.worker
	if t.run == nil {
		t.run = r
	} else {
		t.copy = r
	}
	w.runs[t.name] = r
	w.used = w.used.Add(t.step.def.Reserve())
	if customer := t.step.job.def.Customer; customer != "" {
		s.customerUse[customer] = s.customerUse[customer].Add(t.step.def.Need)
	}
	if share := t.step.job.share; share != nil {
		share.running = share.running.Add(t.step.def.Need)
	}
}

// detach releases the resources of a run that is certain not to be running. The other run of the task, if there is one, becomes its only run.
func (s *Scheduler) detach(r *run) {
	t, w := r.task, r.worker
	switch r {
	case t.run:
		t.run, t.copy = t.copy, nil
	case t.copy:
		t.copy = nil
	}
	delete(w.runs, t.name)
	w.used = w.used.Sub(t.step.def.Reserve())
	if share := t.step.job.share; share != nil {
		share.running = share.running.Sub(t.step.def.Need)
	}
	customer := t.step.job.def.Customer
	if customer == "" {
		return
	}
	if use := s.customerUse[customer].Sub(t.step.def.Need); use != (batch.Resources{}) {
		s.customerUse[customer] = use
	} else {
		delete(s.customerUse, customer)
	}
}

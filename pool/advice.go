package pool

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Limits of the requests to the advisor.
const (
	maxAdvisedWorkers = 30                    // workers in one request; the advisor takes time for each
	maxRenewedTickets = maxAdvisedWorkers / 2 // of these, workers with an older ticket, as long as others were not asked about
	adviceRetryDelay  = 250 * clock.Millis(1) // before the next request for a step after one that failed
	adviceCheckPeriod = 100 * clock.Millis(1) // before the workers are searched again when there is none to ask about
	refusalValidity   = 5 * clock.Second      // after which a refusal is checked again, if no worker is known to be allowed
)

// verdict is the newest answer of the advisor about a step on one incarnation of a worker.
type verdict struct {
	incarnation int64
	at          clock.Millis
	ticket      string // empty if the worker may not run the step
	validity    clock.Millis
}

// advised reports whether the step may run only on workers that the advisor names.
func (st *step) advised() bool { return st.job.terms.Advised || st.job.needsTickets }

// verdictOn returns the advisor's answer about the current incarnation of a worker, and false if there is none.
func (st *step) verdictOn(w *worker) (verdict, bool) {
	v, ok := st.verdicts[w.entry.ID]
	return v, ok && v.incarnation == w.incarnation
}

// isAllowed reports whether the step may run on a worker, whether or not its ticket is still valid.
func (st *step) isAllowed(w *worker) bool {
	v, ok := st.verdictOn(w)
	return ok && v.ticket != ""
}

// hasTicket reports whether the step has a ticket for a worker that stays valid for the time of a start.
func (st *step) hasTicket(w *worker, now clock.Millis) bool {
	v, ok := st.verdictOn(w)
	return ok && v.ticket != "" && now-v.at < v.validity/2
}

// ticketFor returns the newest ticket of the step for a worker, or "" if there is none.
func (st *step) ticketFor(w *worker) string {
	v, _ := st.verdictOn(w)
	return v.ticket
}

// requestMissingAdvice asks the advisor about further workers for a step whose tasks do not fit on those that it may use now.
func (s *Scheduler) requestMissingAdvice(st *step, workers []*worker) {
	if st.advised() {
		s.requestAdvice(st, workers)
	}
}

// requestAdvice asks the advisor about workers on which the step has no valid ticket, unless a request for the step is open. Successive
// requests cover all workers: the advisor's answers are kept, and those that it was not asked about have their share of each request.
func (s *Scheduler) requestAdvice(st *step, workers []*worker) {
	if st.adviceRequested || s.now < st.nextAdvice {
		return
	}
	var renewals, unknown, unknownFull, refused []*worker
	allowed := false
	for _, w := range workers {
		v, ok := st.verdictOn(w)
		allowed = allowed || ok && v.ticket != ""
		switch {
		case !st.def.Need.Fits(w.entry.Capacity) || st.def.Label != "" && !w.entry.HasLabel(st.def.Label):
		case !ok && st.def.Reserve().Fits(w.free()):
			unknown = append(unknown, w)
		case !ok:
			unknownFull = append(unknownFull, w)
		case v.ticket == "" && s.now-v.at >= refusalValidity:
			refused = append(refused, w)
		case v.ticket != "" && !st.hasTicket(w, s.now) && st.def.Reserve().Fits(w.free()):
			renewals = append(renewals, w)
		}
	}
	if allowed {
		refused = nil
	}
	oldestFirst := func(a, b *worker) int { return cmp.Compare(st.verdicts[a.entry.ID].at, st.verdicts[b.entry.ID].at) }
	slices.SortStableFunc(renewals, oldestFirst)
	slices.SortStableFunc(refused, oldestFirst)
	unknown = append(unknown, unknownFull...)
	first := min(len(renewals), max(maxRenewedTickets, maxAdvisedWorkers-len(unknown)))
	asked := slices.Concat(renewals[:first], unknown, renewals[first:], refused)
	if len(asked) == 0 {
		st.nextAdvice = s.now + adviceCheckPeriod
		return
	}
	order := Advise{Step: st.name()}
	st.asked = map[string]int64{}
	for _, w := range asked[:min(len(asked), maxAdvisedWorkers)] {
		order.Workers = append(order.Workers, w.entry.ID)
		st.asked[w.entry.ID] = w.incarnation
	}
	st.adviceRequested = true
	s.orders = append(s.orders, order)
}

// AdviseAnswered handles the answer of the advisor; ok is false if there was none.
func (s *Scheduler) AdviseAnswered(order Advise, advice Advice, ok bool) {
	st := s.stepNamed(order.Step)
	if st == nil || !st.adviceRequested {
		return
	}
	st.adviceRequested = false
	if !ok {
		st.nextAdvice = s.now + adviceRetryDelay
		return
	}
	if st.verdicts == nil {
		st.verdicts = map[string]verdict{}
	}
	for _, id := range order.Workers {
		st.verdicts[id] = verdict{incarnation: st.asked[id], at: s.now, ticket: advice.Tickets[id], validity: advice.Validity}
	}
}

// ticketRefused handles a start that a worker refused because of its ticket: the next one needs a new ticket. A start without one shows
// that the queue of the job has an advisor.
func (s *Scheduler) ticketRefused(t *task, w *worker, ticket string) {
	if ticket == "" {
		t.step.job.needsTickets = true
	}
	if v, ok := t.step.verdictOn(w); ok && s.now-v.at < v.validity {
		t.avoidWorker(w, s.now) // it may refuse the next ticket as well
	}
	delete(t.step.verdicts, w.entry.ID)
}

// name returns the name of a step, which is the prefix of the names of its tasks. A step has at least one task.
func (st *step) name() string {
	key := st.tasks[0].key
	return fmt.Sprintf("%s.%d.%d", st.job.def.ID, key.Occurrence, key.Step)
}

// stepNamed returns the step with the given name, or nil if its job is not known.
func (s *Scheduler) stepNamed(name string) *step {
	id, key, ok := batch.ParseTask(name + ".0")
	if !ok || s.jobs[id] == nil {
		return nil
	}
	o := s.jobs[id].occurrences[key.Occurrence]
	if o == nil || key.Step >= len(o.steps) {
		return nil
	}
	return o.steps[key.Step]
}

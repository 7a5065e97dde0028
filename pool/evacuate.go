package pool

import (
	"log/slog"
	"sort"

	"magnoliaferry/clock"
)

// evacuateGrace is how long after its start a task without checkpoints that can still meet its objective is left running on
// a worker that is to be evacuated.
const evacuateGrace = 2500 * clock.Millis(1)

// evacuateRemaining is the remaining run time below which a late task is left running on a worker that is to be evacuated.
const evacuateRemaining = 600 * clock.Millis(1)

// Evacuation is a request to empty a machine for an operation that ends all runs on it.
type Evacuation struct {
	ID      string // unique among requests
	Machine string
	Worker  string // id of the worker that runs on the machine, as far as the request knows
	// Accepted is set once the platform has accepted the operation: a later worker on the machine is not affected by it.
	Accepted bool
}

// RequestEvacuation requests that a machine be emptied. No worker on it gets new tasks, not even one that starts while the request
// lasts, and their runs are moved away. It replaces an earlier request for the machine.
func (s *Scheduler) RequestEvacuation(e Evacuation) {
	if s.evacuations[e.Machine] != e {
		s.evacuations[e.Machine] = e
		s.markEvacuating()
	}
}

// CancelEvacuation withdraws the request to empty a machine, if there is one.
func (s *Scheduler) CancelEvacuation(machine string) {
	if _, ok := s.evacuations[machine]; ok {
		delete(s.evacuations, machine)
		s.markEvacuating()
	}
}

func (s *Scheduler) markEvacuating() {
	for _, w := range s.workers {
		_, w.evacuating = s.evacuationOf(w)
	}
}

// evacuationOf returns the request that concerns a worker, and false if there is none.
func (s *Scheduler) evacuationOf(w *worker) (Evacuation, bool) {
	if w.entry.Machine == "" { // an entry without a machine
		for _, e := range s.evacuations {
			if e.Worker == w.entry.ID {
				return e, true
			}
		}
	}
	e, ok := s.evacuations[w.entry.Machine]
	return e, ok && (!e.Accepted || w.entry.ID == e.Worker)
}

// SetMaintenanceDue sets the machines on which operators have requested maintenance that has not begun. Long-running tasks
// are preferably placed elsewhere.
func (s *Scheduler) SetMaintenanceDue(machines map[string]bool) { s.maintenanceDue = machines }

// CompletedEvacuations returns the IDs of the evacuation requests whose worker has answered, has no runs and cannot begin any, while no
// later worker on the machine may have runs.
func (s *Scheduler) CompletedEvacuations() []string {
	if len(s.evacuations) == 0 {
		return nil
	}
	busy := map[string]bool{} // by ID of the request
	for _, w := range s.workers {
		e, ok := s.evacuationOf(w)
		if !ok || w.entry.ID == e.Worker {
			continue
		}
		requested := s.workers[e.Worker]
		// A worker that does not answer at first may not exist.
		mayHaveRuns := len(w.runs) > 0 || (w.lastAnswer != 0 || s.now-w.addressKnownAt < unresponsiveAfter) && !w.isEmpty()
		if requested != nil && w.entry.Incarnation > requested.entry.Incarnation && mayHaveRuns {
			busy[e.ID] = true
		}
	}
	var ids []string
	for _, e := range s.evacuations {
		if w := s.workers[e.Worker]; w != nil && w.isEmpty() && !busy[e.ID] {
			ids = append(ids, e.ID)
		}
	}
	sort.Strings(ids)
	return ids
}

// isEmpty reports whether this incarnation of the worker has answered and has no runs.
func (w *worker) isEmpty() bool { return w.confirmed && len(w.runs) == 0 && len(w.strays) == 0 }

// evacuate moves long-running tasks and tasks with checkpoints away from workers that drain or are to be evacuated.
func (s *Scheduler) evacuate() {
	var usable []*worker
	for _, w := range s.sortedWorkers() {
		if !w.listed || !w.confirmed || len(w.runs) == 0 || (!w.entry.Draining && !w.evacuating) {
			continue
		}
		if usable == nil {
			usable = s.usable()
		}
		for _, r := range sortedRuns(w) {
			s.evacuateRun(r, usable)
		}
	}
}

func (s *Scheduler) evacuateRun(r *run, usable []*worker) {
	t := r.task
	if r.stopping || r.state != running || t.step.job.state.Final() {
		return
	}
	switch {
	case t.step.def.LongRunning:
		if !t.step.mayStop(t, r.worker.entry.Draining, s.now) {
			return
		}
	case r.worker.entry.Draining:
		if !t.step.def.Checkpointing {
			return
		}
	case s.rank(t.step.job).class != classOnTime:
		// The machine is needed more elsewhere. A task that is nearly done may finish.
		if !t.step.def.Checkpointing && s.remainingTime(t.step, s.runTime(t.step)) < evacuateRemaining {
			return
		}
		s.stop(r, "worker is to be evacuated")
		return
	case !t.step.def.Checkpointing && s.now-r.sent < evacuateGrace:
		return
	}
	if !s.hasRoomElsewhere(t, usable, r.worker) {
		return
	}
	s.stop(r, "worker is to be evacuated")
}

// mayStop reports whether the task may be stopped on purpose: at most MayMiss tasks of its step, or one if no number is
// declared, may be unavailable at once. A worker that drains ends its tasks anyway, so that only those that are being moved
// count.
func (st *step) mayStop(t *task, draining bool, now clock.Millis) bool {
	unavailable := 0
	for _, other := range st.tasks {
		if other == t || other.isReady(now) {
			continue
		}
		if draining && (other.run == nil || !other.run.stopping) {
			continue
		}
		unavailable++
	}
	return unavailable < max(st.def.MayMiss, 1)
}

// Throttling of background tasks beside latency-sensitive ones.
const (
	throttleStep           = 15 // percentage points that a task regains at a time
	throttlePeriod         = 500 * clock.Millis(1)
	throttleRecoverPercent = 80 // percent of the target latency below which throttled tasks regain processor time
)

// throttle reduces the processor time of the background tasks on a worker while a latency-sensitive task on it misses its
// target, and restores it afterwards.
func (s *Scheduler) throttle(w *worker) {
	if s.now-w.throttledAt < throttlePeriod {
		return
	}
	worst := 0 // response time in percent of the target
	var background []*run
	for _, r := range w.runs {
		def := r.task.step.def
		switch {
		case r.state != running || r.stopping:
		case def.BestEffort:
			background = append(background, r)
		case def.TargetLatency > 0 && r.percent >= 100:
			worst = max(worst, r.measurement*100/int(def.TargetLatency))
		}
	}
	if len(background) == 0 {
		return
	}
	sort.Slice(background, func(a, b int) bool { return background[a].task.name < background[b].task.name })
	for _, r := range background {
		percent := r.throttle
		switch {
		case worst >= 100:
			percent = percent / 2
			if percent < 10 {
				percent = 0
			}
		case worst < throttleRecoverPercent:
			percent = min(percent+throttleStep, 100)
		}
		if percent == r.throttle && (!r.throttleUnknown || worst >= throttleRecoverPercent && worst < 100) {
			continue
		}
		w.throttledAt = s.now
		s.log(eventRunThrottled, slog.String("task", r.task.name), slog.String("worker", w.entry.ID),
			slog.Int("percent", percent), slog.Int("response-percent", worst))
		r.throttle, r.throttleUnknown = percent, false
		s.orders = append(s.orders, Throttle{Target: w.target(), Task: r.task.name, Run: r.number, Percent: percent, Token: w.token})
	}
}

// ThrottleAnswered handles the answer to a throttle order. After one that may not have been carried out, the share of the run is unknown,
// and throttle orders it again.
func (s *Scheduler) ThrottleAnswered(order Throttle, reply Reply) {
	w := s.workers[order.Target.ID]
	if w == nil {
		return
	}
	if reply.Outcome == Fenced {
		s.refusedByToken(w, order.Token)
	}
	if r := w.runs[order.Task]; r != nil && r.number == order.Run && reply.Outcome != Accepted {
		r.throttleUnknown = true
	}
}

package pool

import (
	"log/slog"
	"sort"

	"magnoliaferry/clock"
)

// evacuatePatience is how long a task that keeps no checkpoints may go on where a machine is wanted.
const evacuatePatience = 2500 * clock.Millis(1)

// evacuateNearly is the rest of a run time for which a late task is left alone where a machine is wanted.
const evacuateNearly = 600 * clock.Millis(1)

// RequestEvacuation tells that the machine of a worker is wanted for an order that ends everything on it: the worker gets no new
// tasks and is emptied. An empty id ends this.
func (s *Scheduler) RequestEvacuation(worker, id string) {
	if id == "" {
		delete(s.wants, worker)
	} else {
		s.wants[worker] = id
	}
	if w := s.workers[worker]; w != nil {
		w.wanted = id != ""
	}
}

// SetMaintenanceDue tells which machines operators want for upkeep and have not got yet: tasks that last rather go elsewhere.
func (s *Scheduler) SetMaintenanceDue(machines map[string]bool) { s.upkeep = machines }

// CompletedEvacuations returns the ids of the wants whose workers run nothing, and on which nothing can start any more.
func (s *Scheduler) CompletedEvacuations() []string {
	var ids []string
	for worker, id := range s.wants {
		if w := s.workers[worker]; w != nil && w.confirmed && len(w.runs) == 0 && len(w.strays) == 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// evacuate moves long-running tasks and those with checkpoints away from workers that drain or are wanted.
func (s *Scheduler) evacuate() {
	var usable []*worker
	for _, w := range s.sortedWorkers() {
		if !w.listed || !w.confirmed || len(w.runs) == 0 || (!w.entry.Draining && !w.wanted) {
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
	case s.rank(t.step.job).class != classLasting:
		// The machine is worth more elsewhere. What is nearly done may end.
		if !t.step.def.Checkpointing && s.left(t.step, s.runTime(t.step)) < evacuateNearly {
			return
		}
		s.stop(r, "machine wanted")
		return
	case !t.step.def.Checkpointing && s.now-r.sent < evacuatePatience:
		return
	}
	if s.choose(t, usable, r.worker) == nil {
		return // nowhere to go
	}
	s.stop(r, "machine wanted")
}

// mayStop reports whether the task may be stopped on purpose: at most MayMiss tasks of its step are away at once, and
// one without a declared number. A worker that leaves by itself ends its tasks anyway, so that only those that are
// being moved count.
func (st *step) mayStop(t *task, leaving bool, now clock.Millis) bool {
	away := 0
	for _, other := range st.tasks {
		if other == t || other.atWork(now) {
			continue
		}
		if leaving && (other.run == nil || !other.run.stopping) {
			continue
		}
		away++
	}
	return away < max(st.def.MayMiss, 1)
}

// Pace control of tasks that fill beside tasks that serve.
const (
	paceStep   = 15 // percent that a task gets back at a time
	pacePeriod = 500 * clock.Millis(1)
	paceGood   = 80 // percent of the target below which paced tasks get more
)

// pace slows the tasks that fill on a worker while a task that serves beside them misses its target, and lets them
// recover afterwards.
func (s *Scheduler) pace(w *worker) {
	if s.now-w.paced < pacePeriod {
		return
	}
	worst := 0 // response time in percent of the target
	var filling []*run
	for _, r := range w.runs {
		def := r.task.step.def
		switch {
		case r.state != running || r.stopping:
		case def.BestEffort:
			filling = append(filling, r)
		case def.TargetLatency > 0 && r.percent >= 100:
			worst = max(worst, r.figure*100/int(def.TargetLatency))
		}
	}
	if len(filling) == 0 {
		return
	}
	sort.Slice(filling, func(a, b int) bool { return filling[a].task.name < filling[b].task.name })
	for _, r := range filling {
		percent := r.pace
		switch {
		case worst >= 100:
			percent = percent / 2
			if percent < 10 {
				percent = 0
			}
		case worst < paceGood:
			percent = min(percent+paceStep, 100)
		}
		if percent == r.pace {
			continue
		}
		w.paced = s.now
		s.log(eventPaced, slog.String("task", r.task.name), slog.String("worker", w.entry.ID),
			slog.Int("percent", percent), slog.Int("response-percent", worst))
		r.pace = percent
		s.orders = append(s.orders, Throttle{Target: w.target(), Task: r.task.name, Run: r.number, Percent: percent, Token: w.token})
	}
}

// ThrottleAnswered takes in the answer to a pace; one that was not carried out is repeated with the next listing.
func (s *Scheduler) ThrottleAnswered(order Throttle, reply Reply) {
	w := s.workers[order.Target.ID]
	if w == nil {
		return
	}
	if reply.Outcome == Fenced {
		s.refusedByToken(w, order.Token)
	}
	if r := w.runs[order.Task]; r != nil && r.number == order.Run && reply.Outcome != Accepted {
		r.pace = -1 // unknown: any figure that the next listing gives is ordered again
	}
}

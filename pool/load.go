package pool

import (
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Load is what the owner of a pool tells the others about it.
type Load struct {
	Running       batch.Resources `json:"running"` // reserved on workers
	Waiting       batch.Resources `json:"waiting"` // of tasks whose step may run and whose job can meet its objective
	TotalCapacity batch.Resources `json:"room"`    // capacity of the usable workers
	// ArrivingCPU is the processor that the jobs of the last moments need on average, in thousandths of a core.
	ArrivingCPU int `json:"arriving"`
	Workers     int `json:"workers"` // usable ones
	// MinWorkers is how many workers the tasks that last need, as some may not share one.
	MinWorkers int `json:"least"`
	// UsedCPU tells the processor use of the usable workers in thousandths of a core, Late the part of it that is for jobs that
	// can no longer meet their objective, and Lasting which of them run tasks that last, by worker id.
	UsedCPU          map[string]int `json:"busy,omitempty"`
	LateCPU          map[string]int `json:"late,omitempty"`
	LongRunningTasks map[string]int `json:"lasting,omitempty"`
	// Leases tells, for workers that do not answer, how long their leases can last from now on, in milliseconds. They get
	// no renewal while the table says so, so that a successor need not assume the longest lease.
	Leases map[string]clock.Millis `json:"leases,omitempty"`
}

// Load returns the state of the pool, to be stored with the draft that is out.
func (s *Scheduler) Load() Load {
	load := Load{UsedCPU: map[string]int{}, LateCPU: map[string]int{}, LongRunningTasks: map[string]int{}, ArrivingCPU: s.arrivals.rate(s.now)}
	late := map[*job]bool{}
	for _, j := range s.active {
		if !j.state.Final() { // it stays in the list until the next plan
			late[j] = s.rank(j).class != classLasting
		}
	}
	for _, w := range s.usable() {
		load.Workers++
		load.UsedCPU[w.entry.ID] = w.used.CPU
		for _, r := range w.runs {
			if r.task.step.def.LongRunning {
				load.LongRunningTasks[w.entry.ID]++
			}
			if late[r.task.step.job] {
				load.LateCPU[w.entry.ID] += r.task.step.def.Reserve().CPU
			}
		}
		load.TotalCapacity = load.TotalCapacity.Add(w.entry.Capacity)
		load.Running = load.Running.Add(w.used)
	}
	for _, j := range s.active {
		load.MinWorkers = max(load.MinWorkers, j.leastWorkers())
		if j.waiting == 0 || late[j] {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if o.done || st.complete() || !o.mayRun(st) {
					continue
				}
				for _, t := range st.tasks {
					if !t.done && t.run == nil {
						load.Waiting = load.Waiting.Add(st.def.Reserve())
					}
				}
			}
		}
	}
	for id, w := range s.workers {
		told := w.leaseTold
		w.leaseTold = s.tellsLease(w)
		if w.leaseTold {
			if load.Leases == nil {
				load.Leases = map[string]clock.Millis{}
			}
			load.Leases[id] = max(w.leaseUntil-s.now, 0)
			if !told {
				s.log(eventLeaseTold, slog.String("worker", id), slog.Int64("left-ms", int64(load.Leases[id])), slog.Int("runs", len(w.runs)))
			}
		}
	}
	return load
}

// keepsLease reports whether the table says, or is about to say, when the lease of the worker ends.
func (w *worker) keepsLease() bool { return w.leaseTold || w.leaseKept }

// unheard reports whether the worker may run something and does not answer, or cannot be asked as the platform's store does
// not list it any more.
func (w *worker) unheard() bool { return len(w.runs) > 0 && (w.silent || w.entry.Address == "") }

// tellsLease reports whether the next report says when the lease of the worker ends. A slow owner does not take its workers for silent.
func (s *Scheduler) tellsLease(w *worker) bool { return w.unheard() && s.now >= s.evictFrom }

// LeaseReportOutdated reports whether the newest report says something else than what is to be said of the leases of silent
// workers.
func (s *Scheduler) LeaseReportOutdated() bool {
	for _, w := range s.workers {
		if w.leaseTold != s.tellsLease(w) {
			return true
		}
	}
	return false
}

// SetInheritedLeases tells, on our clock, until when a previous owner can have renewed leases: of the workers named, and of others.
func (s *Scheduler) SetInheritedLeases(others clock.Millis, known map[string]clock.Millis) {
	s.inherited, s.inheritedBy = others, known
}

// leastWorkers returns how many workers the long-running steps of a job need.
func (j *job) leastWorkers() int {
	least := 0
	for i := range j.def.Steps {
		if st := &j.def.Steps[i]; st.LongRunning {
			perWorker := st.Count
			if st.MaxPerWorker > 0 {
				perWorker = st.MaxPerWorker
			}
			least = max(least, (st.Count+perWorker-1)/perWorker)
		}
	}
	return least
}

package pool

import (
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Load is the report of the owner of a pool on its load. It is stored in the table for the other instances.
type Load struct {
	Running       batch.Resources `json:"running"` // reserved on workers, without copies: these use what is idle, and call for no machines
	Waiting       batch.Resources `json:"waiting"` // needed by tasks whose step may run and whose job can meet its objective
	TotalCapacity batch.Resources `json:"room"`    // capacity of the usable workers
	// ArrivingCPU is the average processor need of the jobs that arrived recently, in thousandths of a core.
	ArrivingCPU int `json:"arriving"`
	Workers     int `json:"workers"` // number of usable workers
	// MinWorkers is the number of workers that the long-running tasks need, as some must not share a worker.
	MinWorkers int `json:"least"`
	// By worker ID: UsedCPU is the reserved processor of each usable worker in thousandths of a core, LateCPU the part of it
	// for jobs that can no longer meet their objective, and LongRunningTasks the number of its long-running tasks.
	UsedCPU          map[string]int `json:"busy,omitempty"`
	LateCPU          map[string]int `json:"late,omitempty"`
	LongRunningTasks map[string]int `json:"lasting,omitempty"`
	// Leases is the remaining time of the leases of workers that do not answer, in milliseconds. These leases are not
	// renewed while the table reports them, so that the next owner need not assume the longest lease.
	Leases map[string]clock.Millis `json:"leases,omitempty"`
	// Terms are those of the queues of jobs that were stored without them, by the name of the queue. The next owner may know only a
	// configuration without the queue.
	Terms map[string]batch.Terms `json:"terms,omitempty"`
}

// Load returns the load of the pool, to be stored with the transaction in flight.
func (s *Scheduler) Load() Load {
	load := Load{UsedCPU: map[string]int{}, LateCPU: map[string]int{}, LongRunningTasks: map[string]int{}, ArrivingCPU: s.arrivals.rate(s.now)}
	late := map[*job]bool{}
	for _, j := range s.active {
		if !j.state.Final() { // it stays in the list until the next plan
			late[j] = s.rank(j).class != classOnTime
		}
	}
	for _, w := range s.usable() {
		load.Workers++
		load.UsedCPU[w.entry.ID] = w.used.CPU
		for _, r := range w.runs {
			if r.task.step.def.LongRunning {
				load.LongRunningTasks[w.entry.ID]++
			}
			if r == r.task.copy {
				load.Running = load.Running.Sub(r.task.step.def.Reserve())
			} else if late[r.task.step.job] {
				load.LateCPU[w.entry.ID] += r.task.step.def.Reserve().CPU
			}
		}
		load.TotalCapacity = load.TotalCapacity.Add(w.entry.Capacity)
		load.Running = load.Running.Add(w.used)
	}
	for _, j := range s.active {
		load.MinWorkers = max(load.MinWorkers, j.minWorkers())
		if j.def.Terms == nil && j.termsKnown {
			if load.Terms == nil {
				load.Terms = map[string]batch.Terms{}
			}
			load.Terms[j.def.Queue] = j.terms
		}
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
		reported := w.leaseInReport
		w.leaseInReport = s.shouldReportLease(w)
		if w.leaseInReport {
			if load.Leases == nil {
				load.Leases = map[string]clock.Millis{}
			}
			load.Leases[id] = max(w.leaseUntil-s.now, 0)
			if !reported {
				s.log(eventLeaseReported, slog.String("worker", id), slog.Int64("left-ms", int64(load.Leases[id])), slog.Int("runs", len(w.runs)))
			}
		}
	}
	return load
}

// leaseFixed reports whether the table says, or is about to say, when the lease of the worker ends.
func (w *worker) leaseFixed() bool { return w.leaseInReport || w.leaseReported }

// unreachable reports whether the worker may have runs and does not answer, or has no known address because the platform's
// store no longer lists it.
func (w *worker) unreachable() bool {
	return len(w.runs) > 0 && (w.unresponsive || w.entry.Address == "")
}

// shouldReportLease reports whether the next report says when the lease of the worker ends. A slow owner does not treat its
// workers as unresponsive.
func (s *Scheduler) shouldReportLease(w *worker) bool {
	return w.unreachable() && s.now >= s.evictionResumesAt
}

// LeaseReportOutdated reports whether the leases in the newest report differ from those that should be reported.
func (s *Scheduler) LeaseReportOutdated() bool {
	for _, w := range s.workers {
		if w.leaseInReport != s.shouldReportLease(w) {
			return true
		}
	}
	return false
}

// SetInheritedLeases sets until when, on the local clock, leases renewed by previous owners can last: those of the workers
// in known, and those of all others.
func (s *Scheduler) SetInheritedLeases(others clock.Millis, known map[string]clock.Millis) {
	s.inheritedLeaseEnd, s.inheritedLeaseEnds = others, known
}

// minWorkers returns how many workers the long-running steps of a job need.
func (j *job) minWorkers() int {
	workers := 0
	for i := range j.def.Steps {
		if st := &j.def.Steps[i]; st.LongRunning {
			perWorker := st.Count
			if st.MaxPerWorker > 0 {
				perWorker = st.MaxPerWorker
			}
			workers = max(workers, (st.Count+perWorker-1)/perWorker)
		}
	}
	return workers
}

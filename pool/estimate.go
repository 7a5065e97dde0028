package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// arrivalWindow is the time over which arriving work is averaged: long enough for some jobs, short against a surge.
const arrivalWindow = 800 * clock.Millis(1)

// arrivals remembers the work of the jobs that came within the window.
type arrivals struct {
	times []clock.Millis
	work  []int // thousandths of a core x milliseconds
}

func (a *arrivals) note(now clock.Millis, work int) {
	a.times, a.work = append(a.times, now), append(a.work, work)
}

// rate returns the processor that the arriving work needs, in thousandths of a core.
func (a *arrivals) rate(now clock.Millis) int {
	first := 0
	for first < len(a.times) && now-a.times[first] > arrivalWindow {
		first++
	}
	a.times, a.work = a.times[first:], a.work[first:]
	sum := 0
	for _, work := range a.work {
		sum += work
	}
	return sum / int(arrivalWindow)
}

// Bounds of the learned ratio: declared run times are far off, but not without limit.
const (
	ratioWeight = 20 * clock.Second // of run time with a ratio of 1, before anything is learned
	ratioLeast  = 30                // percent
	ratioMost   = 300
)

// ratio learns how the run times of a queue's tasks compare to the declared ones.
type ratio struct {
	declared, actual clock.Millis
}

func (r *ratio) note(declared, actual clock.Millis) {
	r.declared += declared
	r.actual += actual
}

// percent returns the actual run time in percent of the declared one.
func (r *ratio) percent() clock.Millis {
	if r == nil {
		return 100
	}
	return min(max((r.actual+ratioWeight)*100/(r.declared+ratioWeight), ratioLeast), ratioMost)
}

// learn takes in how long a run took that ended as done.
func (s *Scheduler) learn(r *run) {
	declared := r.task.step.def.Estimate
	if declared <= 0 || r.sent == 0 || r.checkpointed {
		return
	}
	queue := r.task.step.job.def.Queue
	if s.ratios[queue] == nil {
		s.ratios[queue] = &ratio{}
	}
	s.ratios[queue].note(declared, s.now-r.sent)
}

// work returns the processor time that a job needs, in thousandths of a core x milliseconds.
func (s *Scheduler) work(def *batch.Job) int {
	sum := 0
	for i := range def.Steps {
		if st := &def.Steps[i]; !st.LongRunning {
			sum += st.Count * st.Need.CPU * int(st.Estimate)
		}
	}
	return sum * int(s.ratios[def.Queue].percent()) / 100
}

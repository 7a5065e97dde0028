package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// overdueFactor is the multiple of its objective up to which a job still has a part of its value.
const overdueFactor = 3

// rank orders jobs: those that can still meet their objective come first, and those without any value left last.
type rank struct {
	job      *job
	class    int
	priority int
	begun    bool // tasks of it have run or are running, a gang of it waits for room, or it has no objective
	beyond   bool // beyond the entitlement of its customer, see customerShares
	over     bool // its customer uses more than its share
	behind   bool // too few jobs of its size meet their objective, see sizeShares
	work     int  // remaining work, see forecast
}

const (
	classOnTime  = iota // long-running jobs and jobs that can meet their objective
	classLate           // past the objective, with a part of the value left
	classOverdue        // no value left, but the job must still be completed
)

func (r rank) before(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	if r.begun != o.begun {
		return r.begun
	}
	if r.beyond != o.beyond {
		return o.beyond
	}
	if r.over != o.over {
		return o.over
	}
	if r.behind != o.behind {
		return r.behind
	}
	return r.work < o.work
}

// rankValidity is how long a rank is reused, unless a task of the job starts or ends.
const rankValidity = 100 * clock.Millis(1)

func (s *Scheduler) rank(j *job) rank {
	if j.ranked.job == nil || s.now-j.rankedAt >= rankValidity {
		j.ranked, j.rankedAt = s.computeRank(j), s.now
	}
	return j.ranked
}

func (s *Scheduler) computeRank(j *job) rank {
	r := rank{job: j, priority: j.terms.Priority}
	if !j.hasObjective() {
		r.begun = true // long-running tasks are due at once
		return r
	}
	f := s.forecast(j)
	r.work = f.work
	objective := objectiveOf(j.terms, f.criticalPath)
	switch age := s.now - j.acceptedAt; {
	case age+f.remainingTime > overdueFactor*objective:
		r.class = classOverdue
	case age+f.remainingTime > objective:
		r.class = classLate
	}
	if r.class != classOnTime {
		s.recordOutcome(j, false)
	}
	// A gang needs room for all of its tasks at once, which it rarely finds behind jobs with single tasks.
	r.begun = j.gangTried || j.begun()
	if j.share != nil {
		r.beyond, r.over = j.beyond, j.share.over
	}
	r.behind = r.class == classOnTime && s.shares[j.def.Queue].behind(j.size)
	return r
}

// begun reports whether a task of a job without occurrences has been placed before.
func (j *job) begun() bool {
	for _, st := range j.occurrences[0].steps {
		for _, t := range st.tasks {
			if t.number > 0 {
				return true
			}
		}
	}
	return false
}

// recordOutcome records once whether the job meets its objective.
func (s *Scheduler) recordOutcome(j *job, met bool) {
	if shares := s.shares[j.def.Queue]; shares != nil && !j.outcomeKnown && j.hasObjective() {
		j.outcomeKnown = true
		shares.record(j.size, met)
	}
}

// hasObjective reports whether the job has an objective for the time since its acceptance.
func (j *job) hasObjective() bool { return !j.def.LongRunning() && j.def.Occurrences == 0 }

// objectiveOf returns the time from acceptance in which a job is to be completed.
func objectiveOf(terms batch.Terms, criticalPath clock.Millis) clock.Millis {
	return clock.Millis(terms.Stretch*float64(criticalPath)) + terms.Objective
}

// forecast is the estimated run time and remaining work of a job without occurrences.
type forecast struct {
	criticalPath  clock.Millis // longest path through the steps by run time
	remainingTime clock.Millis // the part of it that is still to run
	work          int          // remaining processor time, in thousandths of a core x milliseconds
}

func (s *Scheduler) forecast(j *job) forecast {
	o := j.occurrences[0]
	ends := make([]clock.Millis, len(o.steps))
	remaining := make([]clock.Millis, len(o.steps))
	var total forecast
	for i, st := range o.steps {
		for _, earlier := range st.def.After {
			ends[i] = max(ends[i], ends[earlier])
			remaining[i] = max(remaining[i], remaining[earlier])
		}
		length := s.runTime(st)
		ends[i] += length
		if !st.complete() {
			remaining[i] += s.remainingTime(st, length)
			total.work += (len(st.tasks) - st.done) * st.def.Need.CPU * int(length)
		}
		total.criticalPath, total.remainingTime = max(total.criticalPath, ends[i]), max(total.remainingTime, remaining[i])
	}
	return total
}

// remainingTime returns how long the longest task of a step still takes, if all tasks without a run started now.
func (s *Scheduler) remainingTime(st *step, length clock.Millis) clock.Millis {
	longest := clock.Millis(0)
	for _, t := range st.tasks {
		switch {
		case t.done:
		case t.run == nil || t.run.sent == 0:
			return length
		case t.copy != nil && t.copy.sent != 0:
			longest = max(longest, min(s.remainingRun(t.run, length), s.remainingRun(t.copy, length)))
		default:
			longest = max(longest, s.remainingRun(t.run, length))
		}
	}
	return longest
}

// remainingRun returns how long a run still takes that has been sent, where length is expected for the whole.
func (s *Scheduler) remainingRun(r *run, length clock.Millis) clock.Millis {
	if r.percent >= minPercent {
		return (r.reportedAt-r.sent)*clock.Millis(100-r.percent)/clock.Millis(r.percent) - (s.now - r.reportedAt)
	}
	return length - (s.now - r.sent)
}

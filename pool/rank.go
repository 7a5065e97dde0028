package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// lateFactor is how many times the objective a job is still worth something.
const lateFactor = 3

// rank orders jobs: what can still meet its objective goes first, and what is worth nothing any more goes last.
type rank struct {
	job      *job
	class    int
	priority int
	work     int // what is left, see outlook
}

const (
	classLasting = iota // long-running jobs and those that can meet their objective
	classLate           // past the objective, still worth a part
	classOwed           // worth nothing any more, but still owed
)

func (r rank) before(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.work < o.work
}

// rankTime is for how long a rank holds, unless a task of the job starts or ends.
const rankTime = 100 * clock.Millis(1)

func (s *Scheduler) rank(j *job) rank {
	if j.ranked.job == nil || s.now-j.rankedAt >= rankTime {
		j.ranked, j.rankedAt = s.newRank(j), s.now
	}
	return j.ranked
}

func (s *Scheduler) newRank(j *job) rank {
	r := rank{job: j, priority: 1 << 20}
	queue, ok := s.configuration.Queue(j.def.Queue)
	if !ok {
		r.class = classOwed
		return r
	}
	r.priority = queue.Priority
	if !j.timed() {
		return r
	}
	o := s.outlook(j)
	r.work = o.work
	objective := objectiveOf(queue, o.chain)
	switch age := s.now - j.seen; {
	case age+o.left > lateFactor*objective:
		r.class = classOwed
	case age+o.left > objective:
		r.class = classLate
	}
	return r
}

// timed reports whether the job has an objective for the time from its acceptance.
func (j *job) timed() bool { return !j.def.LongRunning() && j.def.Occurrences == 0 }

// objectiveOf returns in which time a job of the queue is to be completed.
func objectiveOf(queue *batch.Queue, chain clock.Millis) clock.Millis {
	return clock.Millis(queue.Stretch*float64(chain)) + queue.Objective
}

// outlook tells what is left of a job without occurrences.
type outlook struct {
	chain clock.Millis // longest chain of run times over the steps
	left  clock.Millis // the part of it that is left
	work  int          // processor time that is left, in thousandths of a core x milliseconds
}

func (s *Scheduler) outlook(j *job) outlook {
	o := j.occurrences[0]
	ends := make([]clock.Millis, len(o.steps))
	lefts := make([]clock.Millis, len(o.steps))
	var all outlook
	for i, st := range o.steps {
		for _, earlier := range st.def.After {
			ends[i] = max(ends[i], ends[earlier])
			lefts[i] = max(lefts[i], lefts[earlier])
		}
		length := s.runTime(st)
		ends[i] += length
		if !st.complete() {
			lefts[i] += s.left(st, length)
			all.work += (len(st.tasks) - st.done) * st.def.Need.CPU * int(length)
		}
		all.chain, all.left = max(all.chain, ends[i]), max(all.left, lefts[i])
	}
	return all
}

// left returns how long the longest task of a step still takes, if all tasks without a place got one now.
func (s *Scheduler) left(st *step, length clock.Millis) clock.Millis {
	longest := clock.Millis(0)
	for _, t := range st.tasks {
		switch r := t.run; {
		case t.done:
		case r == nil || r.sent == 0:
			return length
		case r.percent >= leastPercent:
			longest = max(longest, (r.told-r.sent)*clock.Millis(100-r.percent)/clock.Millis(r.percent)-(s.now-r.told))
		default:
			longest = max(longest, length-(s.now-r.sent))
		}
	}
	return longest
}

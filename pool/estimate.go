package pool

import (
	"math"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Arriving work is averaged over two windows, and the higher rate counts. The long window contains some jobs at any time;
// the short one detects the onset of a surge, but needs some jobs for it. While the rate rises, the rate expected at the
// time at which machines requested now become usable counts instead.
const (
	arrivalWindow = 800 * clock.Millis(1)
	onsetWindow   = 300 * clock.Millis(1)
	onsetJobs     = 3
	// leadTime is the time from the decision to move a machine to its first task.
	leadTime = 2 * clock.Second
	// riseStdErrors is the number of standard errors by which two windows must differ for the rate to count as rising.
	riseStdErrors = 2
	// maxRise limits the expected rate to a multiple of the present one.
	maxRise = 3
)

// arrivals holds the work of the jobs that arrived within the last two windows.
type arrivals struct {
	times []clock.Millis
	work  []int // thousandths of a core x milliseconds
}

func (a *arrivals) add(now clock.Millis, work int) {
	a.times, a.work = append(a.times, now), append(a.work, work)
}

// rate returns the processor needed for the arriving work, in thousandths of a core.
func (a *arrivals) rate(now clock.Millis) int {
	first := 0
	for first < len(a.times) && now-a.times[first] > 2*arrivalWindow {
		first++
	}
	a.times, a.work = a.times[first:], a.work[first:]
	var before, recent, onset window
	for i, work := range a.work {
		switch age := now - a.times[i]; {
		case age > arrivalWindow:
			before.add(work)
		case age > onsetWindow:
			recent.add(work)
		default:
			recent.add(work)
			onset.add(work)
		}
	}
	rate := recent.work / int(arrivalWindow)
	if onset.jobs >= onsetJobs {
		rate = max(rate, onset.work/int(onsetWindow))
	}
	return max(rate, expectedRate(before, recent))
}

// window is the number of jobs that arrived within a window, and their work.
type window struct{ jobs, work int }

func (w *window) add(work int) {
	w.jobs++
	w.work += work
}

// expectedRate extrapolates a rise between two windows by the lead time; it returns 0 if there is no rise.
func expectedRate(before, recent window) int {
	rise := recent.jobs - before.jobs
	if rise <= 0 || rise*rise <= riseStdErrors*riseStdErrors*(recent.jobs+before.jobs) {
		return 0
	}
	// The rate of a window applies to its middle.
	ahead := int(leadTime + arrivalWindow/2)
	expected := recent.work + (recent.work-before.work)*ahead/int(arrivalWindow)
	return min(expected, maxRise*recent.work) / int(arrivalWindow)
}

// Parameters of the correction of declared run times. The regression is over natural logarithms of times in seconds.
const (
	// priorSteps is the weight of the declared run times, as a number of steps, against the steps that are done.
	priorSteps = 6
	// priorSlope is the part of the difference between two declared run times that is expected to be real.
	priorSlope  = 0.5
	priorStdDev = 0.5 // standard deviation assumed for the logarithms of declared run times
	// minPercent is the progress from which the run time of a run can be extrapolated.
	minPercent = 10
)

// correction estimates run times of a queue's tasks from the declared ones, which are far off: it is a linear regression of
// their logarithms over the steps that are done.
type correction struct {
	Steps float64 `json:"steps"`
	X     float64 `json:"x"`  // sum over the steps of the logarithm of the declared run time
	Y     float64 `json:"y"`  // sum of the logarithm of the actual run time
	XX    float64 `json:"xx"` // sum of the squares of the logarithms of declared run times
	XY    float64 `json:"xy"` // sum of the products of the two logarithms
}

func (c *correction) add(declared, actual clock.Millis) {
	x, y := logSeconds(declared), logSeconds(actual)
	c.Steps++
	c.X += x
	c.Y += y
	c.XX += x * x
	c.XY += x * y
}

// expected returns the expected run time of a task with the given declared run time.
func (c *correction) expected(declared clock.Millis) clock.Millis {
	if c == nil || c.Steps == 0 || declared <= 0 {
		return declared
	}
	n := c.Steps
	meanX, meanY := c.X/n, c.Y/n
	variance := c.XX/n - meanX*meanX
	covariance := c.XY/n - meanX*meanY
	slope := (n*covariance + priorSteps*priorSlope*priorStdDev*priorStdDev) / (n*variance + priorSteps*priorStdDev*priorStdDev)
	slope = min(max(slope, 0), 1)
	// Without any steps, the declared times are used unchanged.
	shift := (meanY - meanX) * n / (n + priorSteps)
	weight := n / (n + priorSteps)
	x := logSeconds(declared)
	y := x + shift - (1-slope)*(x-meanX)*weight
	return clock.Millis(math.Exp(y) * float64(clock.Second))
}

func logSeconds(t clock.Millis) float64 {
	return math.Log(float64(max(t, 1)) / float64(clock.Second))
}

// updateCorrection adds the run times of a step whose tasks are all done.
func (s *Scheduler) updateCorrection(st *step) {
	if st.def.Estimate <= 0 || st.timedTasks == 0 {
		return
	}
	queue := st.job.def.Queue
	if s.corrections[queue] == nil {
		s.corrections[queue] = &correction{}
	}
	s.corrections[queue].add(st.def.Estimate, st.totalRunTime/clock.Millis(st.timedTasks))
}

// runTime returns the expected run time of a task of the step, from the tasks that are done, else from the progress of those
// that run, else from the declared run time.
func (s *Scheduler) runTime(st *step) clock.Millis {
	if st.timedTasks > 0 {
		return st.totalRunTime / clock.Millis(st.timedTasks)
	}
	sum, n := clock.Millis(0), clock.Millis(0)
	for _, t := range st.tasks {
		if r := t.run; r != nil && r.state == running && r.percent >= minPercent && !r.resumed && r.sent != 0 && r.reportedAt > r.sent {
			sum += (r.reportedAt - r.sent) * 100 / clock.Millis(r.percent)
			n++
		}
	}
	if n > 0 {
		return sum / n
	}
	return s.corrections[st.job.def.Queue].expected(st.def.Estimate)
}

// estimatedWork returns the estimated processor time of a job that has not started, in thousandths of a core x milliseconds.
func (s *Scheduler) estimatedWork(def *batch.Job) int {
	sum := 0
	for i := range def.Steps {
		if st := &def.Steps[i]; !st.LongRunning {
			sum += st.Count * st.Need.CPU * int(s.corrections[def.Queue].expected(st.Estimate))
		}
	}
	return sum
}

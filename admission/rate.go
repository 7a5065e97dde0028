package admission

import "magnoliaferry/clock"

// Parameters of the estimated interval between dispatches.
const (
	smoothingDivisor = 8 // a new interval has a weight of 1/8, so about 16 dispatches replace the estimate
	minSamples       = 4 // dispatches since the last reset; there is no prediction with fewer
)

// intervalEstimator estimates the interval at which slots become free while requests wait, as an exponentially weighted
// moving average. It is reset when the first request starts to wait, because an earlier stall would otherwise cause
// refusals in a new burst of requests.
type intervalEstimator struct {
	last    clock.Millis // time of the last dispatch, or of the reset if there was none
	mean    float64      // milliseconds
	samples int
}

func (r *intervalEstimator) reset(now clock.Millis) { *r = intervalEstimator{last: now} }

func (r *intervalEstimator) observe(now clock.Millis) {
	r.mean = r.smoothed(now)
	r.last = now
	r.samples++
}

// interval returns the estimate in milliseconds and whether there are enough samples for it. The time since the last
// dispatch is included when it raises the estimate, so that a stall is reflected at once.
func (r *intervalEstimator) interval(now clock.Millis) (mean float64, known bool) {
	return max(r.mean, r.smoothed(now)), r.samples >= minSamples
}

func (r *intervalEstimator) smoothed(now clock.Millis) float64 {
	interval := float64(now - r.last)
	if r.samples == 0 {
		return interval
	}
	return r.mean + (interval-r.mean)/smoothingDivisor
}

package admission

import "magnoliaferry/clock"

// Values of the estimate of how fast slots come free.
const (
	smoothingDivisor = 8 // a new interval counts for one part in 8, so that about 16 dispatches replace the estimate
	minSamples       = 4 // fewer dispatches since the queue filled give no prediction
)

// intervalEstimator estimates the interval between two slots that come free while requests wait. The estimate starts again when
// the queue fills after being empty, because an old stall would otherwise refuse a new surge.
type intervalEstimator struct {
	last    clock.Millis // of the last dispatch, or when the first request began to wait
	mean    float64      // milliseconds
	samples int
}

func (r *intervalEstimator) reset(now clock.Millis) { *r = intervalEstimator{last: now} }

func (r *intervalEstimator) observe(now clock.Millis) {
	r.mean = r.smoothed(now)
	r.last = now
	r.samples++
}

// interval returns the estimate; the time since the last dispatch counts when it is longer, so that a stall shows.
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

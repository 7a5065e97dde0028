package admission

import "magnoliaferry/clock"

// Values of the estimate of how fast slots come free.
const (
	rateSmoothing  = 8 // a new interval counts for one part in 8, so that about 16 dispatches replace the estimate
	rateMinSamples = 4 // fewer dispatches since the queue filled give no prediction
)

// rate estimates the interval between two slots that come free while requests wait. The estimate starts again when
// the queue fills after being empty, because an old stall would otherwise refuse a new surge.
type rate struct {
	last    clock.Millis // of the last dispatch, or when the first request began to wait
	mean    float64      // milliseconds
	samples int
}

func (r *rate) start(now clock.Millis) { *r = rate{last: now} }

func (r *rate) observe(now clock.Millis) {
	r.mean = r.with(now)
	r.last = now
	r.samples++
}

// interval returns the estimate; the time since the last dispatch counts when it is longer, so that a stall shows.
func (r *rate) interval(now clock.Millis) (mean float64, known bool) {
	return max(r.mean, r.with(now)), r.samples >= rateMinSamples
}

func (r *rate) with(now clock.Millis) float64 {
	interval := float64(now - r.last)
	if r.samples == 0 {
		return interval
	}
	return r.mean + (interval-r.mean)/rateSmoothing
}

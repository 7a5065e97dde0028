package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"sync/atomic"

	"magnoliaferry/clock"
)

// bucketBounds are the upper bounds of the buckets in milliseconds; the last bucket has no bound.
var bucketBounds = [...]clock.Millis{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

// Histogram counts durations in buckets. It is safe for concurrent use.
type Histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Int64
	sum     atomic.Int64
}

// NewHistogram returns a histogram that expvar publishes under name. It may be called once per name; expvar panics
// when a name is published twice.
func NewHistogram(name string) *Histogram {
	h := &Histogram{}
	expvar.Publish(name, h)
	return h
}

// Observe counts one duration in milliseconds.
func (h *Histogram) Observe(d clock.Millis) {
	i := 0
	for i < len(bucketBounds) && d > bucketBounds[i] {
		i++
	}
	h.buckets[i].Add(1)
	h.sum.Add(int64(d))
}

// String returns a JSON object with the cumulative count of durations up to each bound and the sum of all durations in
// milliseconds.
func (h *Histogram) String() string {
	out := map[string]int64{}
	var total int64
	for i := range h.buckets {
		total += h.buckets[i].Load()
		name := "le-inf"
		if i < len(bucketBounds) {
			name = fmt.Sprintf("le-%d-ms", bucketBounds[i])
		}
		out[name] = total
	}
	out["sum-ms"] = h.sum.Load()
	encoded, err := json.Marshal(out)
	if err != nil {
		return "null" // not reached: a map of integers can always be encoded
	}
	return string(encoded)
}

package metrics

import (
	"encoding/json"
	"testing"

	"magnoliaferry/clock"
)

// Guards against durations counted in the wrong bucket, and against output that is not JSON with the expected names.
func TestHistogram(t *testing.T) {
	h := &Histogram{}
	for _, d := range []int{1, 3, 60000} {
		h.Observe(0)
		h.Observe(clock.Millis(d))
	}
	var got map[string]int64
	if err := json.Unmarshal([]byte(h.String()), &got); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int64{"le-1-ms": 4, "le-5-ms": 5, "le-10000-ms": 5, "le-inf": 6, "sum-ms": 60004} {
		if got[name] != want {
			t.Errorf("value %s got %d, want %d", name, got[name], want)
		}
	}
}

package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Guards against copies of slow tasks that take a customer over its cap.
func TestCopiesStayWithinTheCap(t *testing.T) {
	for _, test := range []struct {
		amount int
		copies bool
	}{{500, false}, {1000, true}} {
		w, _ := capSim(t, 8, test.amount)
		w.length = func(task string) clock.Millis {
			if _, key, _ := batch.ParseTask(task); key.Index == 7 {
				return 7000
			}
			return 1000
		}
		w.submitFor("c", "j", batch.Step{Count: 8, Need: cpu(500), Estimate: 1000, AllowDuplicates: true})
		most := w.runWithin("c", 20000)
		if most > test.amount {
			t.Errorf("customer that may use %d got %d", test.amount, most)
		}
		if got := w.starts["j.0.0.7"] > 1; got != test.copies {
			t.Errorf("customer that may use %d: the slow task got a copy: %v, want %v", test.amount, got, test.copies)
		}
	}
}

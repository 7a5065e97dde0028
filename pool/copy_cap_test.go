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

// Guards against a copy that uses the amount of a customer for which the first run of another of its tasks waits, whichever comes first.
func TestCopiesLeaveTheCapToFirstRuns(t *testing.T) {
	for _, early := range []bool{false, true} {
		w, _ := capSim(t, 8, 2500)
		w.length = func(task string) clock.Millis {
			switch job, key, _ := batch.ParseTask(task); {
			case job == "j" && key.Index == 4:
				return 30 * clock.Second
			case job == "other":
				return 4 * clock.Second
			}
			return 1 * clock.Second
		}
		w.submitFor("c", "j", batch.Step{Count: 5, Need: cpu(500), Estimate: 1000, AllowDuplicates: true})
		if early {
			w.run(600)
		} else {
			for w.starts["j.0.0.4"] < 2 && w.now < 20*clock.Second {
				w.run(10)
			}
		}
		w.submitFor("c", "other", batch.Step{Count: 1, Need: cpu(1000), Estimate: 4000})
		w.submitFor("c", "first", batch.Step{Count: 1, Need: cpu(2000), Estimate: 10000})
		w.run(8 * clock.Second)
		if got := w.starts["first.0.0.0"]; got != 1 {
			t.Errorf("waits before the copy %v: starts of the first run got %d, want 1 once the other job is done", early, got)
		}
	}
}

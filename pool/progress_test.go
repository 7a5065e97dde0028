package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Guards against a task that is longer than the others of its step, or than a report of its progress can show, and that is stopped as slow
// on every worker, so that its job never ends.
func TestLongTaskEnds(t *testing.T) {
	for _, long := range []clock.Millis{12 * clock.Second, 400 * clock.Second} {
		w := newPoolSim(t, 4, testQueue)
		w.length = func(task string) clock.Millis {
			if task == "j.0.0.3" {
				return long
			}
			return 1 * clock.Second
		}
		w.submit("j", batch.Step{Count: 4, Need: cpu(1000), Estimate: 1000})
		w.run(2*long + 40*clock.Second)
		if got, limit := w.starts["j.0.0.3"], 4; w.state("j") != batch.Completed || got > limit {
			t.Errorf("task of %d ms: state got %v after %d starts, want completed after at most %d", long, w.state("j"), got, limit)
		}
	}
}

// Guards against a slow run that is stopped although it would end before a new run, and against one that is not stopped although the moves
// of its queue help.
func TestMovePays(t *testing.T) {
	for _, test := range []struct {
		share                   float64
		elapsed, left, expected clock.Millis
		want                    bool
	}{
		{0.5, 1000, 11000, 1000, true},
		{0.05, 1000, 11000, 1000, false}, // hardly any move has helped
		{0.95, 1000, 3000, 1000, true},
		{0.5, 6000, 5000, 1000, false}, // more would be lost than gained
		{0.95, 9000, 1200, 1000, false},
	} {
		if got := movePays(test.share, test.elapsed, test.left, test.expected); got != test.want {
			t.Errorf("move of a run after %d ms with %d ms left, share %.2f: got %v, want %v", test.elapsed, test.left, test.share, got, test.want)
		}
	}
}

// Guards against a task that no longer moves off a slow worker after moves of other tasks did not help, or before any move.
func TestSlowWorkerIsLeft(t *testing.T) {
	w := newPoolSim(t, 3, testQueue)
	slow := ""
	w.submit("j", batch.Step{Count: 4, Need: cpu(1000), Estimate: 1000, MaxPerWorker: 2})
	w.run(50)
	slow = w.runner("j.0.0.3")
	w.workers[slow].runs["j.0.0.3"].length = 30 * clock.Second
	w.run(6 * clock.Second)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed after a move off %s", got, slow)
	}
}

// Guards against a run that is stopped as slow because its owner does not know since when it runs: an earlier one started it.
func TestInheritedRunIsNotSlow(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(task string) clock.Millis {
		if task == "j.0.0.0" {
			return 5500
		}
		return 1 * clock.Second
	}
	w.run(100 * clock.Second)
	w.submit("j", batch.Step{Count: 16, Need: cpu(1000), Estimate: 1000})
	w.run(300)
	w.replaceOwner(w.defs["j"], w.progress["j"])
	w.run(15 * clock.Second)
	if got := w.starts["j.0.0.0"]; got != 1 || w.state("j") != batch.Completed {
		t.Errorf("starts got %d, state %v, want 1 and completed: the run was on its way", got, w.state("j"))
	}
}

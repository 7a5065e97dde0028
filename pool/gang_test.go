package pool

import (
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// newGangSim returns a simulation with three workers, two of which run two tasks each of a gang whose work takes an hour.
func newGangSim(t *testing.T, attempts int) *poolSim {
	w := newPoolSim(t, 3, batch.Queue{Name: "q", MaxAttempts: attempts, Stretch: 2})
	w.length = func(string) clock.Millis { return clock.Hour }
	w.submit("j", batch.Step{Count: 4, Need: cpu(2000), Estimate: 800, Gang: true, Checkpointing: true})
	w.run(600)
	if got := w.gangWorkers(); len(got) != 2 {
		t.Fatalf("workers of the gang got %v, want two", got)
	}
	return w
}

// gangWorkers returns the workers that have runs.
func (w *poolSim) gangWorkers() []string {
	var ids []string
	for _, id := range sortedKeys(w.workers) {
		if len(w.workers[id].runs) > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// endAll ends the runs of a worker, each with the checkpoint.
func (w *poolSim) endAll(worker string, how EndReason, checkpoint string) {
	f := w.workers[worker]
	for _, name := range sortedNames(f.runs) {
		f.end(name, f.runs[name], how)
		f.ended[len(f.ended)-1].Checkpoint = checkpoint
	}
}

// Guards against a gang that uses up an attempt for each member that fails in the same run, also if its pool gets a new owner between the
// ends of two members.
func TestGangRunFailsOnce(t *testing.T) {
	for _, succeeds := range []bool{false, true} {
		w := newGangSim(t, 2)
		for range 2 {
			if got := w.state("j"); got != batch.Running {
				t.Fatalf("new owner %v: state got %v, want running until two runs have failed", succeeds, got)
			}
			workers := w.gangWorkers()
			w.endAll(workers[0], EndFailed, "")
			if succeeds {
				w.run(200)
				w.replaceOwner(w.s.jobs["j"].def, w.s.progress(w.s.jobs["j"], &Transaction{}))
			}
			w.endAll(workers[1], EndFailed, "")
			w.run(3 * clock.Second)
		}
		if got := w.state("j"); got != batch.Failed {
			t.Errorf("new owner %v: state after two failed runs got %v, want failed", succeeds, got)
		}
		if got := w.starts["j.0.0.0"]; got != 2 {
			t.Errorf("new owner %v: runs got %d, want 2", succeeds, got)
		}
	}
}

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

// Guards against a gang whose members resume from different checkpoints: they never work together. One worker drains, and its runs save
// more work at their stop than the others did before; the ends come in either order, and before or after a change of the owner.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	for _, stoppedFirst := range []bool{true, false} {
		for _, succeeds := range []bool{false, true} {
			w := newGangSim(t, 2)
			workers := w.gangWorkers()
			stopped := func() { w.endAll(workers[0], EndStopped, "2600") }
			broken := func() { w.endAll(workers[1], EndBroken, "2000") }
			if !stoppedFirst {
				stopped, broken = broken, stopped
			}
			stopped()
			w.run(200)
			if succeeds {
				w.replaceOwner(w.s.jobs["j"].def, w.s.progress(w.s.jobs["j"], &Transaction{}))
			}
			broken()
			w.run(3 * clock.Second)
			got := map[string]int{}
			for _, f := range w.workers {
				for _, r := range f.runs {
					got[r.start.Checkpoint]++
				}
			}
			if len(got) != 1 || got[""] > 0 {
				t.Errorf("stopped first %v, new owner %v: checkpoints of the runs got %v, want one", stoppedFirst, succeeds, got)
			}
			if !succeeds && got["2600"] != 4 {
				t.Errorf("stopped first %v: checkpoints of the runs got %v, want that of the stop", stoppedFirst, got)
			}
		}
	}
}

// Guards against a gang that loses work because a member reports an older checkpoint after a newer one of another member.
func TestGangKeepsNewestCheckpoint(t *testing.T) {
	g := gang{}
	for _, report := range []struct {
		value        string
		run, percent int
		atStop       bool
		want         string
	}{
		{"a", 1, 10, false, "a"},
		{"b", 1, 20, false, "b"},
		{"a", 1, 10, false, "b"},
		{"c", 1, 15, true, "c"}, // saved at the stop; the progress is that of an earlier report
		{"b", 1, 20, false, "c"},
		{"d", 2, 5, false, "d"},
		{"c", 1, 90, true, "d"},
	} {
		g.saveCheckpoint(report.value, report.run, report.percent, report.atStop)
		if got := g.checkpoint; got != report.want {
			t.Errorf("checkpoint after %+v got %q, want %q", report, got, report.want)
		}
	}
}

// Guards against a gang that waits for room and whose progress is stored again and again although nothing of it has changed.
func TestWaitingGangIsNotStored(t *testing.T) {
	for _, tight := range []bool{false, true} {
		w := newPoolSim(t, 2, testQueue)
		w.length = func(string) clock.Millis { return 0 }
		w.submit("full", batch.Step{Count: 1, Need: cpu(4000), LongRunning: true})
		w.run(500)
		w.submit("gang", batch.Step{Count: 4, Need: cpu(2000), Gang: true, TightlyCoupled: tight})
		stored := 0
		for range 100 {
			w.progress["gang"] = nil
			if w.run(10); w.progress["gang"] != nil {
				stored++
			}
		}
		if got, most := stored, 1; got > most {
			t.Errorf("tightly coupled %v: the progress of the waiting gang was stored %d times in 1 s, want at most %d", tight, got, most)
		}
		if got, want := w.state("gang"), batch.Pending; got != want {
			t.Errorf("tightly coupled %v: state got %v, want %v", tight, got, want)
		}
	}
}

// Guards against gangs that starve in a surge behind jobs whose tasks start one by one: one that has not found room ranks as begun.
func TestWaitingGangRanksAsBegun(t *testing.T) {
	w := newPoolSim(t, 2, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.submit("full", batch.Step{Count: 3, Need: cpu(2000), LongRunning: true})
	w.run(500)
	w.submit("gang", batch.Step{Count: 3, Need: cpu(1000), Gang: true, Estimate: 1000})
	w.run(20)
	w.submit("single", batch.Step{Count: 3, Need: cpu(2500), Estimate: 100})
	gang, single := w.s.rank(w.s.jobs["gang"]), w.s.rank(w.s.jobs["single"])
	if !gang.before(single) {
		t.Errorf("ranks got %+v and %+v, want the waiting gang first", gang, single)
	}
}

package fleet

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/jobs"
	"magnoliaferry/planner"
)

// Guards against a loop that was paused before it binds a job and then starts it although an operator has cancelled it.
func TestCancelDuringStart(t *testing.T) {
	w := newWorld(4, 1)
	w.run(clock.Minute, w.serving(12))
	l, g := w.loops[0], newGate(w, "a")
	l.Platform = g
	w.fields.Jobs = []config.JobFields{{Name: "j", Team: "t", Pool: "p0", Urgency: config.Normal, Cores: 1, MemoryMB: 1}}
	g.pass(l) // submits the job
	g.pauseAt = "commit"
	if g.pass(l) {
		t.Fatal("the pass ended, want a pause before it binds the job")
	}
	if got := read[jobs.RecordFields](w, jobPrefix)["j"].State; got != jobs.Queued {
		t.Fatalf("state got %s, want queued", got)
	}
	if refused := w.newLoop("desk", "b").CancelJobs(w.ctx, "op", "j"); len(refused) > 0 {
		t.Fatalf("cancellation got %v, want none refused", refused)
	}
	g.finish()
	w.run(20*clock.Second, func() bool { return false })
	if got := w.store.Starts("j/1"); got != 0 {
		t.Errorf("starts after the cancellation got %d, want 0", got)
	}
}

// Guards against loops of two pools that both spend the last part of a quota.
func TestQuotaOverTwoPools(t *testing.T) {
	w := newWorld(4, 2)
	w.run(clock.Minute, w.serving(12))
	w.fields.Teams = []config.TeamFields{{Name: "t", Cores: 6, MemoryMB: 1000}}
	for i := range 2 {
		w.fields.Jobs = append(w.fields.Jobs, config.JobFields{Name: fmt.Sprint("j", i), Team: "t",
			Pool: fmt.Sprint("p", i), Urgency: config.Normal, Cores: 4, MemoryMB: 1})
	}
	gates := []*gate{newGate(w, "a"), newGate(w, "b")}
	for i, l := range w.loops {
		l.Platform = gates[i]
		gates[i].pass(l) // submits a job
	}
	for i, l := range w.loops {
		gates[i].pauseAt = "commit"
		if gates[i].pass(l) {
			t.Fatalf("the pass of loop %d ended, want a pause before it binds its job", i)
		}
	}
	for _, g := range gates {
		g.finish()
	}
	w.run(30*clock.Second, func() bool { return false })
	states := map[jobs.State]int{}
	for _, r := range read[jobs.RecordFields](w, jobPrefix) {
		states[r.State]++
	}
	if states[jobs.Running] != 1 || states[jobs.Queued] != 1 {
		t.Errorf("states got %v, want one running and one queued", states)
	}
}

// Guards against a paused holder that orders a drain of an instance that has returned since.
func TestPausedHolderGivesNoOldOrder(t *testing.T) {
	w := newWorld(4, 1)
	w.run(clock.Minute, w.serving(12))
	l, g := w.loops[0], newGate(w, "a")
	l.Platform = g
	w.inFlight["w00"] = 1
	if refusal := l.Drain(w.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	g.pauseAt = "waves"
	if g.pass(l) {
		t.Fatal("the pass ended, want a pause before it looks at the instances")
	}
	w.loops = []*Loop{w.newLoop("entry-9", "b")}
	w.inFlight["w00"] = 0
	maintained := w.records()["w00"].Maintained
	w.run(5*clock.Minute, func() bool {
		r := w.records()["w00"]
		return r.Phase == planner.Serving && r.Maintained > maintained
	})
	if got := w.records()["w00"]; got.Phase != planner.Serving || got.Maintained == maintained {
		t.Fatalf("w00 got %v, want it maintained by the other loop", got)
	}
	g.finish()
	for _, violation := range w.violations {
		t.Error(violation)
	}
}

// Guards against a second start of a run-once job when two loops order its start and its worker is lost in between.
func TestRunOnceJobWithTwoOrders(t *testing.T) {
	w := newWorld(4, 1)
	w.run(clock.Minute, w.serving(12))
	l, g := w.loops[0], newGate(w, "a")
	l.Platform = g
	w.fields.Jobs = []config.JobFields{{Name: "j", Team: "t", Pool: "p0", Urgency: config.Normal, RunOnce: true, Cores: 1,
		MemoryMB: 1}}
	g.pass(l) // submits the job
	g.pauseAt = "start"
	if g.pass(l) {
		t.Fatal("the pass ended, want a pause before it starts the job")
	}
	second, g2 := w.newLoop("entry-9", "b"), newGate(w, "b")
	second.Platform, g2.pauseAt, g2.after = g2, "start", true
	for g2.pass(second) { // until it pauses after its order, before it records the answer
		w.clock.Advance(2 * clock.Second)
	}
	w.store.RemoveInstance(read[jobs.RecordFields](w, jobPrefix)["j"].Worker)
	g.finish()
	g2.finish()
	w.loops = []*Loop{w.newLoop("entry-10", "c")}
	w.run(5*clock.Minute, func() bool { return read[jobs.RecordFields](w, jobPrefix)["j"].State.Ended() })
	if got := read[jobs.RecordFields](w, jobPrefix)["j"]; got.State != jobs.Parked || w.startsOf(got) != 1 {
		t.Errorf("job got %s with %d starts (%s), want parked with one", got.State, w.startsOf(got), got.Reason)
	}
}

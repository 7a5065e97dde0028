package fleet

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/jobs"
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

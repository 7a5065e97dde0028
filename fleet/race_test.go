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

// Guards against loops that all return at the same moment after an outage, and against decisions during it.
func TestReturnAfterAnOutageIsSpread(t *testing.T) {
	w := newWorld(4, 9)
	for i, l := range w.loops {
		l.Seed = int64(i)
	}
	w.run(clock.Minute, w.serving(12))
	w.faults.Always("table.read", "down", 0)
	_, transactions := w.cost(func() { w.run(clock.Minute, func() bool { return false }) })
	if transactions != 0 {
		t.Errorf("transactions during the outage got %d, want 0", transactions)
	}
	w.faults.ClearAll()
	returns := map[clock.Millis]int{}
	for _, l := range w.loops {
		_ = l.Pass(w.ctx)
		returns[(l.resumeAt-w.clock.Now())/clock.Second]++
		if delay := l.resumeAt - w.clock.Now(); delay < 0 || delay >= spreadPeriod {
			t.Errorf("%s returns after %d ms, want less than %d", l.Holder, delay, spreadPeriod)
		}
	}
	if len(returns) < 5 {
		t.Errorf("returns by second got %v, want them spread over at least 5 of 10 seconds", returns)
	}
	if took := w.run(clock.Minute, func() bool { return len(read[leaseRow](w, leasePrefix)) == 3 && w.serving(12)() }); took > clock.Minute {
		t.Errorf("the fleet got no holder again after %d ms", took)
	}
}

// Guards against polls of routing and of the control loop that run at once and lose or repeat changes.
func TestPollsAtOnce(t *testing.T) {
	w := newWorld(4, 1)
	a := w.loops[0].Assignments
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				_ = a.Poll(w.ctx)
				_ = a.Current()
			}
		}
	}()
	w.run(clock.Minute, func() bool { return false })
	close(stop)
	<-done
	if err := a.Poll(w.ctx); err != nil {
		t.Fatalf("Poll got %v, want nil", err)
	}
	records := w.records()
	for _, got := range a.Current() {
		if r := records[got.Instance()]; got.Pool() != r.Pool || got.Phase() != r.Phase {
			t.Errorf("instance %s got %s %s, want %s %s", got.Instance(), got.Pool(), got.Phase(), r.Pool, r.Phase)
		}
	}
}

// Guards against a status that disagrees with the rows, and against operators' actions that race with a pass.
func TestStatusDuringPasses(t *testing.T) {
	w := newWorld(4, 1)
	l, done := w.loops[0], make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			_, _ = l.Status(w.ctx)
			_ = l.Wave(w.ctx, "p0", WaveStart, "op")
			_ = l.Wave(w.ctx, "p0", WaveStop, "op")
		}
	}()
	w.run(clock.Minute, func() bool { return false })
	<-done
	if refusal := l.Wave(w.ctx, "p0", WavePause, "op"); refusal == nil || refusal.Code() != WaveState ||
		refusal.Contact() != "p0@example.org" {
		t.Errorf("pause of a stopped wave got %v, want a refusal with the contact of the pool", refusal)
	}
	w.run(5*clock.Minute, w.serving(12))
	if refusal := l.Drain(w.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	status, refusal := l.Status(w.ctx)
	if refusal != nil {
		t.Fatalf("status got %v, want nil", refusal)
	}
	pool := w.records()["w00"].Pool
	for _, p := range status.Pools {
		want := 0
		if p.Pool == pool {
			want = 1
		}
		if p.Out != want || len(p.NotServing) != want || p.Serving != 4-want || p.Members != 4 {
			t.Errorf("status of %s got %d out, %d away, %d serving of %d, want %d, %d, %d of 4", p.Pool, p.Out, len(p.NotServing),
				p.Serving, p.Members, want, want, 4-want)
		}
	}
}

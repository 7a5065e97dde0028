package fleet

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/jobs"
	"magnoliaferry/planner"
)

// Guards against a loop that was paused before it binds a job and then starts the job although an operator has
// cancelled it.
func TestCancelDuringStart(t *testing.T) {
	tf := newTestFleet(4, 1)
	tf.runPasses(clock.Minute, tf.allServing(12))
	l, p := tf.loops[0], newPausablePlatform(tf, "a")
	l.Platform = p
	tf.fields.Jobs = []config.JobFields{{Name: "j", Team: "t", Pool: "p0", Urgency: config.Normal, Cores: 1, MemoryMB: 1}}
	p.pass(l) // submits the job
	p.pauseAt = "commit"
	if p.pass(l) {
		t.Fatal("the pass ended, want a pause before it binds the job")
	}
	if got := readRows[jobs.RecordFields](tf, jobPrefix)["j"].State; got != jobs.Queued {
		t.Fatalf("state got %s, want queued", got)
	}
	if refused := tf.newLoop("desk", "b").CancelJobs(tf.ctx, "op", "j"); len(refused) > 0 {
		t.Fatalf("refused cancellations got %v, want none", refused)
	}
	p.finish()
	tf.runPasses(20*clock.Second, func() bool { return false })
	if got := tf.store.Starts("j/1"); got != 0 {
		t.Errorf("starts after the cancellation got %d, want 0", got)
	}
}

// Guards against loops of two pools that both use the last part of a quota.
func TestQuotaOverTwoPools(t *testing.T) {
	tf := newTestFleet(4, 2)
	tf.runPasses(clock.Minute, tf.allServing(12))
	tf.fields.Teams = []config.TeamFields{{Name: "t", Cores: 6, MemoryMB: 1000}}
	for i := range 2 {
		tf.fields.Jobs = append(tf.fields.Jobs, config.JobFields{Name: fmt.Sprint("j", i), Team: "t",
			Pool: fmt.Sprint("p", i), Urgency: config.Normal, Cores: 4, MemoryMB: 1})
	}
	platforms := []*pausablePlatform{newPausablePlatform(tf, "a"), newPausablePlatform(tf, "b")}
	for i, l := range tf.loops {
		l.Platform = platforms[i]
		platforms[i].pass(l) // submits a job
	}
	for i, l := range tf.loops {
		platforms[i].pauseAt = "commit"
		if platforms[i].pass(l) {
			t.Fatalf("the pass of loop %d ended, want a pause before it binds its job", i)
		}
	}
	for _, p := range platforms {
		p.finish()
	}
	tf.runPasses(30*clock.Second, func() bool { return false })
	states := map[jobs.State]int{}
	for _, r := range readRows[jobs.RecordFields](tf, jobPrefix) {
		states[r.State]++
	}
	if states[jobs.Running] != 1 || states[jobs.Queued] != 1 {
		t.Errorf("states got %v, want one running and one queued", states)
	}
}

// Guards against a paused lease holder that orders a drain of an instance that has returned to service since;
// pausableMaintenance records such an order as a violation.
func TestPausedHolderSendsNoStaleOrder(t *testing.T) {
	tf := newTestFleet(4, 1)
	tf.runPasses(clock.Minute, tf.allServing(12))
	l, p := tf.loops[0], newPausablePlatform(tf, "a")
	l.Platform = p
	tf.inFlight["w00"] = 1
	if refusal := l.Drain(tf.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	p.pauseAt = "waves"
	if p.pass(l) {
		t.Fatal("the pass ended, want a pause before it reads the instances")
	}
	tf.loops = []*Loop{tf.newLoop("entry-9", "b")}
	tf.inFlight["w00"] = 0
	maintained := tf.records()["w00"].Maintained
	tf.runPasses(5*clock.Minute, func() bool {
		r := tf.records()["w00"]
		return r.Phase == planner.Serving && r.Maintained > maintained
	})
	if got := tf.records()["w00"]; got.Phase != planner.Serving || got.Maintained == maintained {
		t.Fatalf("w00 got %v, want it maintained by the other loop", got)
	}
	p.finish()
	for _, violation := range tf.violations {
		t.Error(violation)
	}
}

// Guards against a second start of a run-once job when two loops order its start and its worker is lost in between.
func TestRunOnceJobWithTwoOrders(t *testing.T) {
	tf := newTestFleet(4, 1)
	tf.runPasses(clock.Minute, tf.allServing(12))
	l, p := tf.loops[0], newPausablePlatform(tf, "a")
	l.Platform = p
	tf.fields.Jobs = []config.JobFields{{Name: "j", Team: "t", Pool: "p0", Urgency: config.Normal, RunOnce: true, Cores: 1,
		MemoryMB: 1}}
	p.pass(l) // submits the job
	p.pauseAt = "start"
	if p.pass(l) {
		t.Fatal("the pass ended, want a pause before it starts the job")
	}
	second, p2 := tf.newLoop("entry-9", "b"), newPausablePlatform(tf, "b")
	second.Platform, p2.pauseAt, p2.after = p2, "start", true
	for p2.pass(second) { // until it pauses after its order, before it records the answer
		tf.clock.Advance(2 * clock.Second)
	}
	tf.store.RemoveInstance(readRows[jobs.RecordFields](tf, jobPrefix)["j"].Worker)
	p.finish()
	p2.finish()
	tf.loops = []*Loop{tf.newLoop("entry-10", "c")}
	tf.runPasses(5*clock.Minute, func() bool { return readRows[jobs.RecordFields](tf, jobPrefix)["j"].State.Ended() })
	if got := readRows[jobs.RecordFields](tf, jobPrefix)["j"]; got.State != jobs.Parked || tf.startsOf(got) != 1 {
		t.Errorf("run-once job got %s with %d starts (%s), want parked with one start", got.State, tf.startsOf(got), got.Reason)
	}
}

// Guards against loops that all resume at the same moment after an outage, and against decisions during it.
func TestResumeAfterOutageIsSpread(t *testing.T) {
	tf := newTestFleet(4, 9)
	for i, l := range tf.loops {
		l.Seed = int64(i)
	}
	tf.runPasses(clock.Minute, tf.allServing(12))
	tf.faults.Always("table.read", "down", 0)
	_, transactions := tf.tableUse(func() { tf.runPasses(clock.Minute, func() bool { return false }) })
	if transactions != 0 {
		t.Errorf("transactions during the outage got %d, want 0", transactions)
	}
	tf.faults.ClearAll()
	resumes := map[clock.Millis]int{}
	for _, l := range tf.loops {
		_ = l.Pass(tf.ctx)
		resumes[(l.resumeAt-tf.clock.Now())/clock.Second]++
		if delay := l.resumeAt - tf.clock.Now(); delay < 0 || delay >= maxResumeDelay {
			t.Errorf("loop %s resumes after %d ms, want less than %d ms", l.Holder, delay, maxResumeDelay)
		}
	}
	if len(resumes) < 5 {
		t.Errorf("loops by the second in which they resume got %v, want them spread over at least 5 of 10 seconds", resumes)
	}
	if took := tf.runPasses(clock.Minute, func() bool {
		return len(readRows[leaseRow](tf, leasePrefix)) == 3 && tf.allServing(12)()
	}); took > clock.Minute {
		t.Errorf("after %d ms not every lease has a holder or not every instance serves", took)
	}
}

// Guards against concurrent polls of routing and of the control loop that lose or repeat changes.
func TestConcurrentPolls(t *testing.T) {
	tf := newTestFleet(4, 1)
	a := tf.loops[0].Assignments
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				_ = a.Poll(tf.ctx)
				_ = a.Current()
			}
		}
	}()
	tf.runPasses(clock.Minute, func() bool { return false })
	close(stop)
	<-done
	if err := a.Poll(tf.ctx); err != nil {
		t.Fatalf("Poll got %v, want nil", err)
	}
	records := tf.records()
	for _, got := range a.Current() {
		if r := records[got.Instance()]; got.Pool() != r.Pool || got.Phase() != r.Phase {
			t.Errorf("instance %s got %s %s, want %s %s", got.Instance(), got.Pool(), got.Phase(), r.Pool, r.Phase)
		}
	}
}

// Guards against a status that disagrees with the rows, and against operators' actions that race with a pass.
func TestStatusDuringPasses(t *testing.T) {
	tf := newTestFleet(4, 1)
	l, done := tf.loops[0], make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			_, _ = l.Status(tf.ctx)
			_ = l.Wave(tf.ctx, "p0", WaveStart, "op")
			_ = l.Wave(tf.ctx, "p0", WaveStop, "op")
		}
	}()
	tf.runPasses(clock.Minute, func() bool { return false })
	<-done
	if refusal := l.Wave(tf.ctx, "p0", WavePause, "op"); refusal == nil || refusal.Code() != WaveState ||
		refusal.Contact() != "p0@example.org" {
		t.Errorf("pause of a stopped wave got %v, want a refusal with the contact of the pool", refusal)
	}
	tf.runPasses(5*clock.Minute, tf.allServing(12))
	if refusal := l.Drain(tf.ctx, "w00", false); refusal != nil {
		t.Fatalf("drain got %v, want nil", refusal)
	}
	status, refusal := l.Status(tf.ctx)
	if refusal != nil {
		t.Fatalf("status got %v, want nil", refusal)
	}
	pool := tf.records()["w00"].Pool
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

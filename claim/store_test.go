package claim

import (
	"context"
	"errors"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// instance is one entry instance of a test; its batch writer runs only when the test calls step.
type instance struct {
	*Store
	clock *clock.Clock
}

func newInstance(p *memory.Store, holder string, incarnation int64) instance {
	return instance{&Store{Clock: p.Clock, Table: p.View("").Table(), Holder: holder, Incarnation: incarnation,
		WallClock: p.Clock.Now}, p.Clock}
}

// claim claims the key, runs the given number of steps of the batch writer, and returns the decision or refusal.
func (i instance) claim(key, fingerprint string, steps int) (Decision, *result.Refusal) {
	e, refusal := i.begin("c", key, fingerprint, i.clock.Now()+clock.Second)
	if refusal != nil {
		return Decision{}, refusal
	}
	for range steps {
		i.step(context.Background())
	}
	d, _, refusal := i.end(context.Background(), e)
	return d, refusal
}

func code(r *result.Refusal) int {
	if r == nil {
		return 0
	}
	return r.Code().Number()
}

// Guards against a repeat that runs again, or that does not get the recorded answer.
func TestRepeatGetsRecordedAnswer(t *testing.T) {
	p := memory.New(clock.NewFake(0), nil)
	a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
	d, refusal := a.claim("k", "f", 1)
	permit, ok := d.Permit()
	if !ok {
		t.Fatalf("first claim got %v, want a permit", refusal)
	}
	if err := permit.Use(); err != nil {
		t.Fatalf("Use got %v, want nil", err)
	}
	if _, refusal := b.claim("k", "f", 1); code(refusal) != CodeOutcomeUnknown.Number() {
		t.Errorf("repeat during the run got %v, want outcome unknown", refusal)
	}
	a.Finish("c", "k", NewAnswer(201, nil, []byte("made")))
	a.step(context.Background())
	d, refusal = b.claim("k", "f", 1)
	answer, ok := d.Answer()
	if !ok || answer.Status() != 201 || string(answer.Body()) != "made" {
		t.Errorf("repeat after the run got %v %v, want the answer", answer, refusal)
	}
	if _, refusal := b.claim("k", "g", 1); code(refusal) != CodeKeyReused.Number() {
		t.Errorf("other request got %v, want key reused", refusal)
	}
}

// Guards against a permit that can be used twice, after the deadline, or after the claim was abandoned.
func TestPermitWorksOnce(t *testing.T) {
	p := memory.New(clock.NewFake(0), nil)
	a := newInstance(p, "a", 1)
	take := func(key string) *Permit {
		d, refusal := a.claim(key, "", 1)
		permit, ok := d.Permit()
		if !ok {
			t.Fatalf("claim of %s got %v, want a permit", key, refusal)
		}
		return permit
	}
	used := take("used")
	first, second := used.Use(), used.Use()
	if first != nil || second == nil {
		t.Errorf("Use twice got %v and %v, want nil and an error", first, second)
	}
	a.Finish("c", "used", UnknownAnswer())
	used.Undo()
	if err := used.Use(); err == nil {
		t.Errorf("Use after Finish got nil, want an error")
	}
	left := take("left")
	a.Abandon("c", "left")
	if err := left.Use(); err == nil {
		t.Errorf("Use after Abandon got nil, want an error")
	}
	late := take("late")
	p.Clock.Advance(clock.Second)
	var refusal *result.Refusal
	if err := late.Use(); !errors.As(err, &refusal) || refusal.Code() != CodeDeadlinePassed {
		t.Errorf("Use after the deadline got %v, want the deadline passed", err)
	}
	a.step(context.Background())
	if d, refusal := a.claim("late", "", 1); d.permit == nil {
		t.Errorf("claim after the abandonment got %v, want a permit", refusal)
	}
}

// Guards against a late Use or Abandon of one attempt that abandons the claim of the next attempt with the same key.
// Found by TestKeysRunAtMostOnce with -rapid.seed=235646.
func TestLateAbandonKeepsNextClaim(t *testing.T) {
	p := memory.New(clock.NewFake(0), nil)
	a := newInstance(p, "a", 1)
	first, _ := a.claim("k", "", 1)
	first.permit.Abandon()
	p.Clock.Advance(clock.Second)
	a.step(context.Background())
	second, _ := a.claim("k", "", 1)
	if err := first.permit.Use(); err == nil {
		t.Errorf("Use of the abandoned permit got nil, want an error")
	}
	first.permit.Abandon()
	if err := second.permit.Use(); err != nil {
		t.Errorf("Use of the next permit got %v, want nil", err)
	}
}

// Guards against a repeat whose commit has an unknown outcome and whose abandonment releases the claim of the earlier
// attempt, which ran. Found by TestKeysRunAtMostOnce with -rapid.seed=17680436.
func TestRepeatWithUnknownOutcomeKeepsFirstAttempt(t *testing.T) {
	faults := &fault.Injector{}
	p := memory.New(clock.NewFake(0), faults)
	a := newInstance(p, "a", 1)
	d, _ := a.claim("k", "", 1)
	if err := d.permit.Use(); err != nil {
		t.Fatalf("Use got %v, want nil", err)
	}
	d.permit.Finish(UnknownAnswer())
	faults.Next(memory.StepCommit, fault.LoseRequest, 1)
	faults.Next(memory.StepRead, fault.Down, 1)
	if _, refusal := a.claim("k", "", 1); code(refusal) != CodeTableUnavailable.Number() {
		t.Errorf("repeat got %v, want a refusal", refusal)
	}
	for range 2 {
		p.Clock.Advance(maxBackoff)
		a.step(context.Background())
	}
	if _, refusal := a.claim("k", "", 1); code(refusal) != CodeOutcomeUnknown.Number() {
		t.Errorf("later repeat got %v, want outcome unknown", refusal)
	}
}

// Guards against a fault at one step of a claim that makes a request run twice, blocks its key for good or gives a
// wrong refusal.
func TestFaultAtEachStep(t *testing.T) {
	tests := []struct {
		name   string
		step   string
		kind   fault.Kind
		count  int
		second bool // a row exists already, so the claim reads it
		want   int  // code of the refusal, 0 for a permit
	}{
		{"commit down", memory.StepCommit, fault.Down, 1, false, 2200},
		{"commit request lost", memory.StepCommit, fault.LoseRequest, 1, false, 0},
		{"commit request lost for long", memory.StepCommit, fault.LoseRequest, 99, false, 2200},
		{"commit answer lost", memory.StepCommit, fault.LoseAnswer, 1, false, 0},
		{"read down", memory.StepRead, fault.Down, 1, true, 2200},
		{"read request lost", memory.StepRead, fault.LoseRequest, 1, true, 2200},
		{"read answer lost", memory.StepRead, fault.LoseAnswer, 1, true, 2200},
	}
	for _, test := range tests {
		faults := &fault.Injector{}
		p := memory.New(clock.NewFake(0), faults)
		a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
		if test.second {
			b.claim("k", "", 1)
			b.Abandon("c", "k")
			b.step(context.Background())
		}
		faults.Next(test.step, test.kind, test.count)
		d, refusal := a.claim("k", "", 1)
		if got := code(refusal); got != test.want || (d.permit != nil) != (test.want == 0) {
			t.Errorf("%s: claim got %v, want code %d", test.name, refusal, test.want)
		}
		if refusal != nil && refusal.RetryAfter() <= 0 {
			t.Errorf("%s: refusal has no retry time, want one", test.name)
		}
		// After the fault a refused key can be claimed again, and a held one cannot.
		faults.ClearAll()
		p.Clock.Advance(maxBackoff)
		for range 3 {
			a.step(context.Background())
		}
		want := 0
		if d.permit != nil {
			want = CodeOutcomeUnknown.Number()
		}
		if _, refusal := b.claim("k", "", 1); code(refusal) != want {
			t.Errorf("%s: later claim got %v, want code %d", test.name, refusal, want)
		}
	}
}

// Guards against a dispatch after a commit with an unknown outcome: the commit is applied, but neither its answer nor
// any read returns.
func TestCommitWithUnknownOutcomeIsAbandoned(t *testing.T) {
	faults := &fault.Injector{}
	p := memory.New(clock.NewFake(0), faults)
	a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
	faults.Next(memory.StepCommit, fault.LoseAnswer, 1)
	faults.Always(memory.StepRead, fault.LoseRequest, 0)
	if d, refusal := a.claim("k", "", 1); d.permit != nil || code(refusal) != CodeTableUnavailable.Number() {
		t.Errorf("claim got %v, want a refusal", refusal)
	}
	if _, refusal := a.claim("other", "", 0); code(refusal) != CodeTableUnavailable.Number() {
		t.Errorf("claim while the table is unavailable got %v, want an immediate refusal", refusal)
	}
	faults.ClearAll()
	if _, refusal := b.claim("k", "", 1); code(refusal) != CodeOutcomeUnknown.Number() {
		t.Errorf("claim before the abandonment got %v, want outcome unknown", refusal)
	}
	p.Clock.Advance(maxBackoff)
	a.step(context.Background())
	if d, refusal := b.claim("k", "", 1); d.permit == nil {
		t.Errorf("claim after the abandonment got %v, want a permit", refusal)
	}
}

// Guards against an answer that is lost because of a fault during the write that records it.
func TestFinishSurvivesFaults(t *testing.T) {
	for _, step := range []string{memory.StepRead, memory.StepCommit} {
		for _, kind := range []fault.Kind{fault.Down, fault.LoseRequest, fault.LoseAnswer} {
			faults := &fault.Injector{}
			p := memory.New(clock.NewFake(0), faults)
			a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
			d, _ := a.claim("k", "", 1)
			if err := d.permit.Use(); err != nil {
				t.Fatalf("Use got %v, want nil", err)
			}
			a.Finish("c", "k", NewAnswer(200, nil, make([]byte, MaxAnswer+1)))
			faults.Next(memory.StepCommit, fault.LoseAnswer, 1) // so that a read has to resolve the outcome
			faults.Next(step, kind, 2)
			for range 4 {
				a.step(context.Background())
				p.Clock.Advance(maxBackoff)
			}
			if got := faults.Hits(step); got < 2 {
				t.Errorf("%s %s: step was reached %d times, want at least 2", step, kind, got)
			}
			faults.ClearAll()
			if _, refusal := b.claim("k", "", 1); code(refusal) != CodeAnswerNotKept.Number() {
				t.Errorf("%s %s: repeat got %v, want answer not kept", step, kind, refusal)
			}
		}
	}
}

// Guards against a conflict of one claim that makes the other claims of its batch fail.
func TestConflictSplitsOneClaimOut(t *testing.T) {
	p := memory.New(clock.NewFake(0), nil)
	a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
	b.claim("taken", "", 1)
	var entries []*entry
	for _, key := range []string{"free", "taken", "free too"} {
		e, _ := a.begin("c", key, "", clock.Second)
		entries = append(entries, e)
	}
	a.step(context.Background())
	for i, want := range []int{0, CodeOutcomeUnknown.Number(), 0} {
		if d, _, refusal := a.end(context.Background(), entries[i]); code(refusal) != want || (d.permit != nil) != (want == 0) {
			t.Errorf("claim %d of the batch got %v, want code %d (0: a permit)", i, refusal, want)
		}
	}
	if _, got := p.Counts(); got != 2 {
		t.Errorf("transactions committed got %d, want 2: b's claim, and the two other claims of the batch", got)
	}
}

// Guards against a clean-up that deletes a claim within its retention, and against one that exceeds its limit of rows.
func TestCleanUpIsBounded(t *testing.T) {
	p := memory.New(clock.NewFake(0), nil)
	a := newInstance(p, "a", 1)
	for _, key := range []string{"1", "2", "3"} {
		a.claim(key, "", 1)
	}
	p.Clock.Advance(clock.Day)
	a.claim("4", "", 1)
	table := a.Table
	next, deleted, err := CleanUp(context.Background(), table, clock.Day+1, clock.Day, "", 2)
	if deleted != 2 || err != nil {
		t.Errorf("first page of the clean-up deleted %d with error %v, want 2 and nil", deleted, err)
	}
	next, deleted, err = CleanUp(context.Background(), table, clock.Day+1, clock.Day, next, 2)
	if deleted != 1 || err != nil {
		t.Errorf("second page of the clean-up deleted %d with error %v, want 1 and nil", deleted, err)
	}
	rows, _ := table.Scan(context.Background(), keyPrefix, "", 9)
	if len(rows) != 1 || rows[0].Key() != rowKey("c", "4") {
		t.Errorf("rows after the clean-up got %v (next %q), want only the new one", rows, next)
	}
}

// Guards against a circuit breaker that admits all callers at once when the table answers again.
func TestBreakerClosesGradually(t *testing.T) {
	faults := &fault.Injector{}
	p := memory.New(clock.NewFake(0), faults)
	a := newInstance(p, "a", 1)
	a.MaxPending = 8
	faults.Always(memory.StepCommit, fault.Down, 0)
	a.claim("k", "", 1)
	faults.ClearAll()
	p.Clock.Advance(maxBackoff)
	a.step(context.Background())
	for _, want := range []int{1, 2, 4} {
		got := 0
		for i := range 6 {
			if _, refusal := a.begin("c", string(rune('a'+10*want+i)), "", p.Clock.Now()+clock.Second); refusal == nil {
				got++
			}
		}
		if got != want {
			t.Errorf("claims admitted after the outage got %d, want %d", got, want)
		}
		a.step(context.Background())
	}
}

// Guards against a batch writer that is not woken by a claim or loses the answers at shutdown.
func TestRunWritesAndStops(t *testing.T) {
	p := memory.New(clock.System(), nil)
	a := newInstance(p, "a", 1)
	a.Timeout = clock.Hour // a short timeout on a busy machine looks like an outage
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- a.Run(ctx) }()
	d, err := a.Claim(ctx, "c", "k", p.Clock.Now()+clock.Hour)
	if err != nil {
		t.Fatalf("Claim got %v, want nil", err)
	}
	if err := d.permit.Use(); err != nil {
		t.Fatalf("Use got %v, want nil", err)
	}
	a.Finish("c", "k", NewAnswer(200, nil, nil))
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("Run got %v, want canceled", err)
	}
	rows, _ := p.View("").Table().Read(context.Background(), rowKey("c", "k"))
	if r, err := decodeRow(rows[0].Value()); err != nil || r.State != stateDone {
		t.Errorf("row of the finished key after Run got %s, want the state done", rows[0].Value())
	}
}

// Guards against a delayed copy of a claim that arrives after the request was refused and blocks the key.
func TestLateCopyOfRefusedClaimFails(t *testing.T) {
	faults := &fault.Injector{}
	p := memory.New(clock.NewFake(0), faults)
	a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
	var late []provider.Transaction
	a.Table = lateTable{a.Table, &late, new(bool), p.Clock}
	faults.Always(memory.StepCommit, fault.LoseRequest, 0)
	if _, refusal := a.claim("k", "", 1); code(refusal) != CodeTableUnavailable.Number() {
		t.Fatalf("claim got %v, want a refusal", refusal)
	}
	faults.ClearAll()
	p.Clock.Advance(maxBackoff)
	a.step(context.Background())
	for _, tx := range late {
		if err := b.Table.Commit(context.Background(), tx); !platformConflict(err) {
			t.Errorf("late copy got %v, want a conflict", err)
		}
	}
	if d, refusal := b.claim("k", "", 1); d.permit == nil {
		t.Errorf("claim after the refusal got %v, want a permit", refusal)
	}
}

// Guards against a shutdown that hangs because of a fault of the table, and against a key that runs again because its
// answer could not be recorded: the key must stay blocked or return the answer.
func TestFaultsAtShutdown(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Down, fault.LoseRequest, fault.LoseAnswer, "partition"} {
		for _, count := range []int{1, 99} {
			faults := &fault.Injector{}
			p := memory.New(clock.NewFake(0), faults)
			a, b := newInstance(p, "a", 1), newInstance(p, "b", 1)
			a.Table = p.View("zone").Table()
			d, _ := a.claim("k", "", 1)
			if err := d.permit.Use(); err != nil {
				t.Fatalf("Use got %v, want nil", err)
			}
			a.Finish("c", "k", NewAnswer(200, nil, nil))
			if kind == "partition" {
				faults.Partition("zone")
			} else {
				faults.Next(memory.StepCommit, kind, count)
			}
			stopping, stop := context.WithCancel(context.Background())
			stop()
			visits := faults.Hits(memory.StepCommit)
			if err := a.Run(stopping); !errors.Is(err, context.Canceled) {
				t.Errorf("%s: Run got %v, want canceled", kind, err)
			}
			if faults.Hits(memory.StepCommit) == visits {
				t.Errorf("%s: no commit of the answer was attempted", kind)
			}
			if _, refusal := a.claim("new", "", 0); refusal == nil {
				t.Errorf("%s: a claim after the shutdown was accepted, want a refusal", kind)
			}
			faults.ClearAll()
			again, refusal := b.claim("k", "", 1)
			if _, recorded := again.Answer(); again.permit != nil || (!recorded && code(refusal) != CodeOutcomeUnknown.Number()) {
				t.Errorf("%s, %d times: repeat got %v, want the answer or outcome unknown", kind, count, refusal)
			}
		}
	}
}

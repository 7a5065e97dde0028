package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

func withQueueLength(length int) func(f *config.Fields) {
	return func(f *config.Fields) { f.Pools[0].QueueLength = length }
}

func mustSubmit(t *testing.T, c *Client, body []byte, seen int64) Version {
	t.Helper()
	v, err := c.Submit(context.Background(), "fleet.json", body, seen, "")
	if err != nil {
		t.Fatalf("Submit got %v, want nil", err)
	}
	return v
}

// Guards against a submission that is reported lost when only the table's answer was lost, and against one that is
// stored twice.
func TestLostAnswerOfTheTable(t *testing.T) {
	for _, kind := range []fault.Kind{fault.LoseAnswer, fault.LoseRequest} {
		b := newTestBed(t)
		b.faults.Next(memory.StepCommit, kind, 1)
		v := mustSubmit(t, b.client("ada"), body(t, nil), 0)
		if got, want := v.Number(), int64(1); got != want {
			t.Errorf("%s: version got %d, want %d", kind, got, want)
		}
		if _, got := b.memory.Counts(); got != 1 {
			t.Errorf("%s: transactions got %d, want 1", kind, got)
		}
		if got := b.faults.Hits(memory.StepCommit); kind == fault.LoseAnswer && got != 1 {
			t.Errorf("%s: commits got %d, want 1", kind, got)
		}
	}
}

// Guards against a wrong outcome while the table is down: a first submission has certainly not run, but the outcome of a
// repeat, which is a submission with an operation id given, is unknown.
func TestTableOutage(t *testing.T) {
	b := newTestBed(t)
	b.faults.Always(memory.StepCommit, fault.Down, 0)
	_, err := b.client("ada").Submit(context.Background(), "f", body(t, nil), 0, "")
	if p := problemOf(err); p.Code() != CodeTableUnavailable.Number() || p.Outcome() != result.NotRun {
		t.Errorf("table down: got %v, want table-unavailable and not-run", err)
	}
	b.faults.Always(memory.StepRead, fault.Down, 0)
	_, err = b.client("ada").Submit(context.Background(), "f", body(t, nil), 0, "9e8a6c35-0a7b-4ed1-9bb4-1a3f0a4f0c11")
	if p := problemOf(err); p.Outcome() != result.Unknown {
		t.Errorf("repeat while the table is down: got %v, want an unknown outcome", err)
	}
}

// advancePauses advances a fake clock whenever a call sleeps between two tries. There are then two pending timers: that of the pause
// and that of the call's timeout.
func advancePauses(c *clock.Clock, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		if c.PendingTimers() == 2 {
			c.Advance(resolvePause)
		}
		runtime.Gosched()
	}
}

// Guards against a definite answer while the outcome is unknown, and against a repeat from which the operator cannot
// learn the outcome.
func TestOutcomeUnknownThenRepeat(t *testing.T) {
	b := newTestBed(t)
	table := &hookedTable{Table: b.memory.View("a").Table(), afterCommit: func() {
		b.faults.Always(memory.StepRead, fault.Down, 0)
	}}
	b.server.Store.Table = table
	b.faults.Next(memory.StepCommit, fault.LoseAnswer, 1)
	done := make(chan struct{})
	go advancePauses(b.server.Clock, done)
	store, sent := b.server.Store, body(t, nil)
	c, _ := config.Decode("f", sent)
	sub := Submission{Operation: "op-1", Operator: "ada", Configuration: c}
	_, p := store.Submit(context.Background(), sub)
	close(done)
	if p == nil || p.Outcome() != result.Unknown || p.Operation() != "op-1" {
		t.Fatalf("Submit got %v, want an unknown outcome of op-1", p)
	}
	b.faults.ClearAll()
	sub.Repeat = true
	v, p := store.Submit(context.Background(), sub)
	if p != nil || v.Number() != 1 || v.Operation() != "op-1" {
		t.Errorf("repeat got %v, %v, want version 1 by op-1", v, p)
	}
	if _, got := b.memory.Counts(); got != 1 {
		t.Errorf("transactions got %d, want 1", got)
	}
}

// hookedTable calls afterCommit after the first commit, before Commit returns.
type hookedTable struct {
	Table
	afterCommit func()
	once        sync.Once
}

func (a *hookedTable) Commit(ctx context.Context, tx provider.Transaction) error {
	err := a.Table.Commit(ctx, tx)
	a.once.Do(a.afterCommit)
	return err
}

// Guards against wrong conclusions from another operator's version after the answer to a commit was lost: that it is the
// submitted one, or that the submission was not applied.
func TestLostAnswerAndLaterVersions(t *testing.T) {
	tests := []struct {
		name        string
		kind        fault.Kind // of the first commit
		afterCommit int        // versions by another operator before the row is read again
		want        result.Outcome
		code        *result.Code
	}{
		{"not applied, another took the version", fault.LoseRequest, 1, result.NotRun, CodeVersionConflict},
		{"not applied, two others followed", fault.LoseRequest, 2, result.Unknown, CodeOutcomeUnknown},
		{"applied, another followed", fault.LoseAnswer, 1, result.Unknown, CodeOutcomeUnknown},
	}
	for _, test := range tests {
		b := newTestBed(t)
		other := b.newServer(b.server.Clock).Store
		table := &hookedTable{Table: b.memory.View("a").Table(), afterCommit: func() {
			for i := range test.afterCommit {
				v, _, _ := other.Current(context.Background())
				c, _ := config.Decode("f", body(t, withQueueLength(10+i)))
				if _, p := other.Submit(context.Background(), Submission{Operation: "other" + string(rune('a'+i)),
					Operator: "bo", Seen: v.Number(), Configuration: c}); p != nil {
					t.Errorf("%s: submission of the other operator got %v, want nil", test.name, p)
				}
			}
		}}
		b.server.Store.Table = table
		b.faults.Next(memory.StepCommit, test.kind, 1)
		c, _ := config.Decode("f", body(t, nil))
		_, p := b.server.Store.Submit(context.Background(), Submission{Operation: "mine", Operator: "ada",
			Configuration: c})
		if p == nil || p.Outcome() != test.want || p.Code() != test.code.Number() {
			t.Errorf("%s: got %v, want %s with code %d", test.name, p, test.want, test.code.Number())
		}
	}
}

// Guards against two concurrent submissions that are both accepted, and against a conflict without the differences.
func TestRacingOperators(t *testing.T) {
	b := newTestBed(t)
	mustSubmit(t, b.client("ada"), body(t, nil), 0)
	second := httptest.NewServer(b.newServer(b.server.Clock).Handler())
	defer second.Close()
	clients := []*Client{b.client("ada"), {Address: second.URL, HTTP: b.client("bo").HTTP}}
	for round := range 20 {
		seen := int64(round + 1)
		var versions [2]Version
		var errs [2]error
		var group sync.WaitGroup
		for i, c := range clients {
			sent := body(t, withQueueLength(1000+2*round+i))
			group.Go(func() { versions[i], errs[i] = c.Submit(context.Background(), "f", sent, seen, "") })
		}
		group.Wait()
		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}
		p := problemOf(errs[loser])
		if errs[winner] != nil || p.Code() != CodeVersionConflict.Number() || p.Outcome() != result.NotRun {
			t.Fatalf("round %d: got %v and %v, want one winner and one conflict", round, errs[0], errs[1])
		}
		current, ok := p.Current()
		if !ok || current.Digest() != versions[winner].Digest() || current.Number() != seen+1 {
			t.Errorf("round %d: conflict names %v, want the winner's version", round, current)
		}
		if got := p.Changes(); len(got) != 1 || got[0].Section() != "pool/crate" || got[0].Field() != "queue-length" {
			t.Errorf("round %d: conflict lists %v, want the queue length of pool crate", round, got)
		}
		if got, want := p.Fields().Figures["current-version"], seen+1; got != want {
			t.Errorf("round %d: figures got current version %d, want %d", round, got, want)
		}
	}
}

// Guards against a row whose body is missing, against a refused submission that changes the version in force, against a
// submission that fails after lost answers of the object store, and against a wrong error of a restarted process that cannot
// read the body.
func TestObjectStoreOutage(t *testing.T) {
	b := newTestBed(t)
	ada := b.client("ada")
	mustSubmit(t, ada, body(t, nil), 0)
	b.faults.Always(memory.StepObjectPut, fault.Down, 0)
	_, err := ada.Submit(context.Background(), "f", body(t, withQueueLength(7)), 1, "")
	if p := problemOf(err); p.Code() != CodeObjectsUnavailable.Number() || p.Outcome() != result.NotRun {
		t.Errorf("Submit got %v, want object-store-unavailable and not-run", err)
	}
	b.faults.ClearAll()
	if v, _, err := ada.Current(context.Background()); err != nil || v.Number() != 1 {
		t.Errorf("Current got version %d, %v, want 1", v.Number(), err)
	}
	b.faults.Next(memory.StepObjectPut, fault.LoseAnswer, 2)
	mustSubmit(t, ada, body(t, withQueueLength(7)), 1)
	b.server.Store = b.newServer(b.server.Clock).Store // a restarted process has no cached body
	b.faults.Always(memory.StepObjectGet, fault.Down, 0)
	if _, _, err := ada.Current(context.Background()); problemOf(err).Code() != CodeObjectsUnavailable.Number() {
		t.Errorf("Current got %v, want object-store-unavailable", err)
	}
}

// Guards against a roll-back that is refused or that reuses an old version number, and against a new version for an
// unchanged configuration.
func TestRollBackAndUnchanged(t *testing.T) {
	b := newTestBed(t)
	ada, first, second := b.client("ada"), body(t, nil), body(t, withQueueLength(7))
	one := mustSubmit(t, ada, first, 0)
	mustSubmit(t, ada, second, 1)
	if v := mustSubmit(t, ada, second, 2); v.Number() != 2 || !v.Unchanged() {
		t.Errorf("same body got version %d, unchanged %v, want 2 and true", v.Number(), v.Unchanged())
	}
	if v := mustSubmit(t, ada, first, 2); v.Number() != 3 || v.Digest() != one.Digest() {
		t.Errorf("older body got version %d, digest %s, want 3 and %s", v.Number(), v.Digest(), one.Digest())
	}
}

// dropFirstAnswers drops the answers of the first calls after the server has carried them out.
type dropFirstAnswers struct {
	next  http.RoundTripper
	count int
}

func (l *dropFirstAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if l.count--; l.count >= 0 && err == nil {
		response.Body.Close()
		return nil, errors.New("the connection broke")
	}
	return response, err
}

// Guards against a client that reports a failure, or submits twice, when the server's answer is lost.
func TestLostAnswerOfTheServer(t *testing.T) {
	b := newTestBed(t)
	for _, test := range []struct {
		lost int
		want string
	}{{2, ""}, {3, CodeOutcomeUnknown.Name()}} {
		lost, want := test.lost, test.want
		ada := &Client{Address: b.url, HTTP: &http.Client{Transport: &dropFirstAnswers{operatorTransport("ada"), lost}}}
		current, _, _ := b.client("ada").Current(context.Background())
		v, err := ada.Submit(context.Background(), "f", body(t, withQueueLength(lost)), current.Number(), "")
		if got := problemOf(err).Fields().Name; got != want {
			t.Errorf("%d lost answers: got %v, want %q", lost, err, want)
		}
		if want == "" && v.Number() != current.Number()+1 {
			t.Errorf("%d lost answers: got version %d, want %d", lost, v.Number(), current.Number()+1)
		}
		if want != "" { // the operator repeats under the id from the problem
			v, err = b.client("ada").Submit(context.Background(), "f", body(t, withQueueLength(lost)), current.Number(),
				problemOf(err).Operation())
			if err != nil || v.Number() != current.Number()+1 || v.Unchanged() {
				t.Errorf("repeat got version %d, %v, want %d", v.Number(), err, current.Number()+1)
			}
		}
	}
}

// Guards against an operation id that is accepted for two different bodies.
func TestOperationReused(t *testing.T) {
	b := newTestBed(t)
	id := "9e8a6c35-0a7b-4ed1-9bb4-1a3f0a4f0c11"
	ada := b.client("ada")
	if _, err := ada.Submit(context.Background(), "f", body(t, nil), 0, id); err != nil {
		t.Fatal(err)
	}
	_, err := ada.Submit(context.Background(), "f", body(t, withQueueLength(9)), 1, id)
	if got, want := problemOf(err).Code(), CodeOperationReused.Number(); got != want {
		t.Errorf("Submit got %v, want code %d", err, want)
	}
}

package front

import (
	"context"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// scriptedTable answers transactions with the given errors in turn, and applies them after that.
type scriptedTable struct {
	store.Table
	errors  []error
	applied map[string]bool
	calls   int
	// onCommit, if set, runs before each answer.
	onCommit func()
}

func (t *scriptedTable) Commit(_ context.Context, tx store.Transaction) (store.Result, error) {
	t.calls++
	if t.onCommit != nil {
		t.onCommit()
	}
	if len(t.errors) > 0 {
		err := t.errors[0]
		t.errors = t.errors[1:]
		return store.Result{}, err
	}
	key := tx.Puts[0].Key
	if len(tx.Conditions) > 0 && t.applied[key] {
		return store.Result{Current: []store.Row{{Key: key, Version: 1}}}, nil
	}
	t.applied[key] = true
	return store.Result{Applied: true, Version: int64(t.calls)}, nil
}

var testQueue = &batch.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}

func newService(table *scriptedTable) (*Service, *clock.Clock) {
	c := clock.NewFake(1000)
	table.applied = map[string]bool{}
	table.onCommit = func() {}
	s := &Service{Table: table, Jobs: store.NewJobs(c, nil), Clock: c,
		Configuration: func() *batch.Configuration { return &batch.Configuration{Queues: []batch.Queue{*testQueue}} },
		CopyAge:       func() clock.Millis { return 0 }, Wall: func() clock.Millis { return 5000 }}
	return s, c
}

func testJob(id string) *batch.Job {
	return &batch.Job{ID: id, Spec: "s", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 100}}}}
}

// submit hands a job in while the fake clock runs.
func submit(s *Service, c *clock.Clock, id string) int {
	done := make(chan int)
	go func() {
		refusal := s.Submit(context.Background(), testQueue, testJob(id), 2900)
		if refusal == nil {
			done <- CodeAccepted.Number()
			return
		}
		done <- refusal.Code().Number()
	}()
	for {
		select {
		case code := <-done:
			return code
		default:
			if c.Waiters() > 1 { // the time-out of the write, and the pause before its repetition
				c.Advance(10)
			}
		}
	}
}

// Guards against a refusal that says a job will not run although the store may have it.
func TestUnknownWriteIsNotRefused(t *testing.T) {
	lost := store.ErrUnknown.New("no answer")
	s, c := newService(&scriptedTable{errors: []error{lost, store.ErrRejected.New("busy")}})
	if got, want := submit(s, c, "a"), CodeAccepted.Number(); got != want {
		t.Errorf("result got %d, want %d: the write is repeated until its outcome is known", got, want)
	}
	errs := make([]error, 100)
	for i := range errs {
		errs[i] = lost
	}
	s, c = newService(&scriptedTable{errors: errs})
	if got, want := submit(s, c, "b"), CodeUnknown.Number(); got != want {
		t.Errorf("result got %d, want %d", got, want)
	}
}

// Guards against callers that are held while the store is down, and against refusals that go on when it is back.
func TestStoreDownIsToldAtOnce(t *testing.T) {
	down := store.ErrRejected.New("down")
	table := &scriptedTable{errors: []error{down, down, down, down, down, down}}
	s, c := newService(table)
	if got, want := submit(s, c, "a"), CodeNotStored.Number(); got != want {
		t.Errorf("result got %d, want %d", got, want)
	}
	c.Advance(gatePatience)
	submit(s, c, "b") // the probe
	calls := table.calls
	if got, want := submit(s, c, "c"), CodeNotStored.Number(); got != want || table.calls != calls {
		t.Errorf("result got %d after %d calls, want %d without a call", got, table.calls-calls, want)
	}
	c.Advance(probePeriod)
	if got, want := submit(s, c, "d"), CodeAccepted.Number(); got != want {
		t.Errorf("result got %d, want %d once the store is back", got, want)
	}
	if got, want := submit(s, c, "d"), CodeAccepted.Number(); got != want {
		t.Errorf("repeated job got %d, want %d", got, want)
	}
}

// Guards against a job that an instance does not know yet and calls unknown to the whole system.
func TestStateWithAnOldCopy(t *testing.T) {
	s, _ := newService(&scriptedTable{})
	if _, refusal := s.State(context.Background(), testQueue, "a"); refusal == nil || refusal.Code() != CodeNoJob {
		t.Errorf("refusal got %v, want %s", refusal, CodeNoJob.Name())
	}
	s.CopyAge = func() clock.Millis { return staleAfter + 1 }
	if _, refusal := s.State(context.Background(), testQueue, "a"); refusal == nil || refusal.Code() != CodeStale {
		t.Errorf("refusal got %v, want %s", refusal, CodeStale.Name())
	}
}

// Guards against a repeated request that is told that its job will not run, while the write of the first request may still
// be carried out.
func TestOpenWriteIsNotRefusedLater(t *testing.T) {
	lost, down := store.ErrUnknown.New("no answer"), store.ErrRejected.New("down")
	table := &scriptedTable{}
	for range 40 {
		table.errors = append(table.errors, lost)
	}
	s, c := newService(table)
	if got, want := submit(s, c, "a"), CodeUnknown.Number(); got != want {
		t.Errorf("result got %d, want %d", got, want)
	}
	table.errors = []error{down, down, down, down, down, down}
	s.gate.leave(true, 0)
	if got, want := submit(s, c, "a"), CodeUnknown.Number(); got != want {
		t.Errorf("result of the repeated request got %d, want %d", got, want)
	}
	c.Advance(gatePatience)
	submit(s, c, "b") // the probe
	if got, want := submit(s, c, "a"), CodeUnknown.Number(); got != want {
		t.Errorf("result behind the gate got %d, want %d", got, want)
	}
	if got, want := submit(s, c, "c"), CodeNotStored.Number(); got != want {
		t.Errorf("result of another job got %d, want %d", got, want)
	}
}

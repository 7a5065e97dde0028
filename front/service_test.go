package front

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// scriptedTable fails the first transactions with the given errors, in order, and applies later ones.
type scriptedTable struct {
	store.Table
	errors  []error
	applied map[string]bool
	calls   int
	last    store.Transaction
	// onCommit, if set, runs before each answer.
	onCommit func()
}

func (t *scriptedTable) Commit(_ context.Context, tx store.Transaction) (store.Result, error) {
	t.calls++
	t.last = tx
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

var (
	testQueue  = &batch.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}
	testAccess = &Access{queue: testQueue}
)

func newService(table *scriptedTable) (*Service, *clock.Clock) {
	c := clock.NewFake(1000)
	table.applied = map[string]bool{}
	table.onCommit = func() {}
	s := &Service{Table: table, States: store.NewStateCache(c, nil), Clock: c,
		Configuration: func() *batch.Configuration { return &batch.Configuration{Queues: []batch.Queue{*testQueue}} },
		Reachable:     func(context.Context) bool { return true }, CopyAge: func() clock.Millis { return 0 },
		WallClock: func() clock.Millis { return 5000 }}
	return s, c
}

func testJob(id string) *batch.Job {
	return &batch.Job{ID: id, Spec: "s", Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPU: 100}}}}
}

// submit submits a job, advancing the fake clock until the service returns, and returns the number of the result code. It must run
// in a synctest bubble, see advanceUntil.
func submit(s *Service, c *clock.Clock, id string) int {
	done := make(chan int, 1)
	go func() {
		refusal := s.Submit(context.Background(), testAccess, testJob(id), 2900)
		if refusal == nil {
			done <- CodeAccepted.Number()
			return
		}
		done <- refusal.Code().Number()
	}()
	return advanceUntil(c, done)
}

// advanceUntil advances the fake clock whenever all goroutines of the synctest bubble are blocked, until there is a result.
func advanceUntil[T any](c *clock.Clock, results <-chan T) T {
	for {
		synctest.Wait()
		select {
		case result := <-results:
			return result
		default:
			c.Advance(10)
		}
	}
}

// Guards against a refusal with the outcome "not run" for a job that the store may have stored.
func TestUnknownWriteIsNotRefused(t *testing.T) { synctest.Test(t, unknownWriteIsNotRefused) }

func unknownWriteIsNotRefused(t *testing.T) {
	lost := store.ErrUnknown.New("no answer")
	s, c := newService(&scriptedTable{errors: []error{lost, store.ErrRejected.New("busy")}})
	if got, want := submit(s, c, "a"), CodeAccepted.Number(); got != want {
		t.Errorf("result after a lost and a rejected answer got %d, want %d: the write is repeated until its outcome is known", got, want)
	}
	errs := make([]error, 100)
	for i := range errs {
		errs[i] = lost
	}
	s, c = newService(&scriptedTable{errors: errs})
	if got, want := submit(s, c, "b"), CodeUnknown.Number(); got != want {
		t.Errorf("result of a write that is never answered got %d, want %d", got, want)
	}
}

// Guards against sending a job to a store that has already stopped answering: the outcome would be unknown, and the caller could
// not submit the job elsewhere.
func TestNothingIsSentToUnresponsiveStore(t *testing.T) {
	synctest.Test(t, nothingIsSentToUnresponsiveStore)
}

func nothingIsSentToUnresponsiveStore(t *testing.T) {
	table := &scriptedTable{}
	s, c := newService(table)
	s.Reachable = func(context.Context) bool { return false }
	if got, want := submit(s, c, "a"), CodeNotStored.Number(); got != want || table.calls != 0 {
		t.Errorf("result while the store is unreachable got %d after %d calls, want %d without a call", got, table.calls, want)
	}
}

// Guards against callers that wait while the store is down, and against refusals after the store has recovered.
func TestJobsAreRefusedFastWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, jobsAreRefusedFastWhileStoreIsDown)
}

func jobsAreRefusedFastWhileStoreIsDown(t *testing.T) {
	down := store.ErrRejected.New("down")
	table := &scriptedTable{errors: []error{down, down, down, down, down, down}}
	s, c := newService(table)
	if got, want := submit(s, c, "a"), CodeNotStored.Number(); got != want {
		t.Errorf("result of the first job while the store is down got %d, want %d", got, want)
	}
	c.Advance(breakerDelay)
	submit(s, c, "b") // the one write that the breaker admits per probePeriod
	calls := table.calls
	if got, want := submit(s, c, "c"), CodeNotStored.Number(); got != want || table.calls != calls {
		t.Errorf("result while the breaker is open got %d after %d calls, want %d without a call", got, table.calls-calls, want)
	}
	c.Advance(probePeriod)
	if got, want := submit(s, c, "d"), CodeAccepted.Number(); got != want {
		t.Errorf("result of a new job got %d, want %d once the store has recovered", got, want)
	}
	if got, want := submit(s, c, "d"), CodeAccepted.Number(); got != want {
		t.Errorf("repeated job got %d, want %d", got, want)
	}
}

// Guards against an instance with an outdated copy that answers that a job does not exist, although another instance has accepted it.
func TestStateWithAnOldCopy(t *testing.T) {
	s, _ := newService(&scriptedTable{})
	if _, refusal := s.State(context.Background(), testAccess, "a"); refusal == nil || refusal.Code() != CodeNotFound {
		t.Errorf("state of an unknown job with a recent copy got %v, want %s", refusal, CodeNotFound.Name())
	}
	s.CopyAge = func() clock.Millis { return staleAge + 1 }
	if _, refusal := s.State(context.Background(), testAccess, "a"); refusal == nil || refusal.Code() != CodeStale {
		t.Errorf("state of an unknown job with an outdated copy got %v, want %s", refusal, CodeStale.Name())
	}
}

// Guards against an instance that was suspended and answers with the state from before, although other instances have already reported
// that the job has ended.
func TestStateAfterASuspension(t *testing.T) { synctest.Test(t, stateAfterASuspension) }

func stateAfterASuspension(t *testing.T) {
	s, c := newService(&scriptedTable{})
	row := func(state batch.State, version int64) []store.Row {
		r := store.EncodeState("p", "a", "q", "p", state)
		r.Version = version
		return []store.Row{r}
	}
	s.States.Apply(row(batch.Running, 1))
	recent := false
	s.CopyAge = func() clock.Millis {
		if recent {
			return 0
		}
		return staleAge + 1
	}
	c.AfterFunc(60, func() { s.States.Apply(row(batch.Completed, 2)); recent = true })
	getState := func() batch.State {
		states := make(chan batch.State, 1)
		go func() {
			state, refusal := s.State(context.Background(), testAccess, "a")
			if refusal != nil {
				t.Errorf("State got refusal %v, want none", refusal)
			}
			states <- state
		}()
		return advanceUntil(c, states)
	}
	if got := getState(); got != batch.Completed {
		t.Errorf("state of the job that ended during the suspension got %v, want completed", got)
	}
	// An instance that cannot reach the store answers from the outdated copy.
	s.States.Apply(row(batch.Running, 3))
	recent = false
	if got := getState(); got != batch.Running {
		t.Errorf("state from the outdated copy got %v, want running", got)
	}
}

// Guards against an instance that reports a job as cancelled because it has stored the request to cancel it, although the job ended
// with another state in the meantime: a final state that was reported must not change.
func TestCancelThatComesTooLate(t *testing.T) {
	s, _ := newService(&scriptedTable{})
	row := store.EncodeState("p", "a", "q", "p", batch.Running)
	row.Version = 1
	s.States.Apply([]store.Row{row})
	if refusal := s.Cancel(context.Background(), testAccess, "a", 2900); refusal != nil {
		t.Fatalf("cancel got %v, want it stored", refusal)
	}
	if state, refusal := s.State(context.Background(), testAccess, "a"); refusal != nil || state.Final() {
		t.Errorf("state after the request to cancel got %v, %v, want one that is not final", state, refusal)
	}
	row = store.EncodeState("p", "a", "q", "p", batch.Completed)
	row.Version = 2
	s.States.Apply([]store.Row{row})
	if state, refusal := s.State(context.Background(), testAccess, "a"); refusal != nil || state != batch.Completed {
		t.Errorf("state after the job ended got %v, %v, want completed", state, refusal)
	}
}

// Guards against writes for callers and writes of the pool's owner that wait for each other: the platform executes the transactions
// of one part sequentially, and a burst of jobs would occupy the part of the pool.
func TestJobsAreNotStoredInThePoolsPart(t *testing.T) {
	synctest.Test(t, jobsAreNotStoredInThePoolsPart)
}

func jobsAreNotStoredInThePoolsPart(t *testing.T) {
	table := &scriptedTable{}
	s, c := newService(table)
	parts := map[string]bool{}
	for i := range 100 {
		id := fmt.Sprintf("%016x", i*7919)
		if got, want := submit(s, c, id), CodeAccepted.Number(); got != want {
			t.Fatalf("result of a new job got %d, want %d", got, want)
		}
		for _, row := range table.last.Puts {
			if got, want := row.Part, table.last.Conditions[0].Part; got != want || got == testQueue.Pool {
				t.Errorf("part of %s/%s got %q, want the one of the condition, %q, and not the pool's", row.Table, row.Key, got, want)
			}
			parts[row.Part] = true
		}
	}
	if got, least := len(parts), 4; got < least {
		t.Errorf("parts of 100 jobs got %d, want at least %d", got, least)
	}
}

// Guards against a job that is stored for a pool that its queue no longer uses in the newest configuration.
func TestJobsGoToPoolOfNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scriptedTable{}
		s, _ := newService(table)
		for i, pool := range []string{"p", "elsewhere", "p"} {
			s.Configuration = func() *batch.Configuration {
				return &batch.Configuration{Version: int64(i + 1), Queues: []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: pool}}}
			}
			access, id, refusal := s.Match("h", fmt.Sprintf("/q/%016d", i), "")
			if refusal != nil {
				t.Fatalf("version %d: %v", i+1, refusal)
			}
			if refusal := s.Submit(context.Background(), access, testJob(id), 2900); refusal != nil {
				t.Fatalf("version %d: %v", i+1, refusal)
			}
			stored := table.last.Puts[1]
			if got, want := stored.Table, store.JobsTable(pool); got != want {
				t.Errorf("version %d: table got %s, want %s", i+1, got, want)
			}
			job, err := batch.DecodeJob(stored.Value)
			if err != nil {
				t.Fatal(err)
			}
			if job.Pool != pool {
				t.Errorf("version %d: pool of the job got %s, want %s", i+1, job.Pool, pool)
			}
		}
	})
}

package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/result"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// fleetOfServices are instances that share a store. Their copies of the states are up to date only after a reload.
type fleetOfServices struct {
	table     *standin.Table
	clock     *clock.Clock
	instances []*Service
}

func newFleet(n int) *fleetOfServices {
	f := &fleetOfServices{table: standin.NewTable(), clock: clock.NewFake(1000)}
	for range n {
		f.instances = append(f.instances, nil)
	}
	for i := range f.instances {
		f.restart(i)
	}
	return f
}

// restart replaces an instance by one that knows only what the store has.
func (f *fleetOfServices) restart(i int) {
	f.instances[i] = &Service{Table: f.table, States: store.NewStateCache(f.clock, nil), Clock: f.clock,
		Configuration: func() *batch.Configuration { return &batch.Configuration{Queues: []batch.Queue{*testQueue}} },
		Reachable:     func(context.Context) bool { return true }, CopyAge: func() clock.Millis { return 0 },
		WallClock: func() clock.Millis { return 5000 }}
	f.reload(i)
}

func (f *fleetOfServices) reload(i int) { f.instances[i].States.Load(f.table.Rows(store.StateTable)) }

// call makes a call and advances the clock until it returns; a nil refusal stands for success.
func (f *fleetOfServices) call(call func() *result.Refusal) *result.Refusal {
	done := make(chan *result.Refusal, 1)
	go func() { done <- call() }()
	return advanceUntil(f.clock, done)
}

func (f *fleetOfServices) submit(i int, id string) *result.Refusal {
	return f.call(func() *result.Refusal {
		return f.instances[i].Submit(context.Background(), testAccess, testJob(id), 2900)
	})
}

func (f *fleetOfServices) cancel(i int, id string) *result.Refusal {
	return f.call(func() *result.Refusal { return f.instances[i].Cancel(context.Background(), testAccess, id, 2900) })
}

func (f *fleetOfServices) state(i int, id string) (batch.State, *result.Refusal) {
	return f.instances[i].State(context.Background(), testAccess, id)
}

// runs reports whether the store has a job that the owner of the pool would run.
func (f *fleetOfServices) runs(id string) bool {
	stored, cancelled := false, false
	for _, row := range f.table.Rows(store.JobsTable(testQueue.Pool)) {
		stored = stored || row.Key == store.Key(store.KindJob, id)
		cancelled = cancelled || row.Key == store.Key(store.KindCancel, id) && !store.IsTombstoneCancel(row)
	}
	return stored && !cancelled
}

// Guards against a job that starts seconds after a caller was told that there is no such job (review case 9, UNASKED): the store had not
// answered the write of the job and carried it out after the cancelling. The cancelling may reach any instance.
func TestJobIsNotStoredAfterItsCancelling(t *testing.T) {
	for _, canceller := range []string{"the same instance", "another instance", "the restarted instance"} {
		t.Run(canceller, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2)
				f.table.Fault = func(store.Transaction) standin.TableFault { return standin.TableDelays }
				if got, want := f.submit(0, "a"), CodeUnknown; got == nil || got.Code() != want {
					t.Fatalf("result of the job got %v, want %s", got, want.Name())
				}
				f.table.Fault = nil
				at := 0
				switch canceller {
				case "another instance":
					at = 1
				case "the restarted instance":
					f.restart(0)
				}
				if got, want := f.cancel(at, "a"), CodeNoJob; got == nil || got.Code() != want {
					t.Fatalf("result of the cancelling got %v, want %s", got, want.Name())
				}
				f.table.ApplyDelayed()
				if f.runs("a") {
					t.Error("the job is stored after its cancelling was answered, want it refused by the store")
				}
				for i := range f.instances {
					// A repeat that was sent before the cancelling can arrive after it.
					if got, want := f.submit(i, "a"), CodeWithdrawn; got == nil || got.Code() != want {
						t.Errorf("instance %d: result of the repeated job got %v, want %s", i, got, want.Name())
					}
					if _, got := f.state(i, "a"); got == nil || got.Code() != CodeNoJob {
						t.Errorf("instance %d: state got %v, want %s", i, got, CodeNoJob.Name())
					}
					f.reload(i)
					if got := f.instances[i].Waiting(testAccess); got != 0 {
						t.Errorf("instance %d: waiting jobs got %d, want 0", i, got)
					}
				}
			})
		})
	}
}

// Guards against a repeated request that is answered with "not run" (429 or 503) while the store may still execute the write of the first
// request: at the same instance, at another one and after a restart, whether the store rejects the repeat, the breaker is open, or the
// store cannot be reached. A GET must not rule the job out either.
func TestRepeatIsNotRefusedWhileAWriteIsOpen(t *testing.T) {
	for _, where := range []string{"the same instance", "another instance", "the restarted instance"} {
		for _, fault := range []string{"rejected", "breaker open", "unreachable"} {
			t.Run(where+", "+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(2)
					f.table.Fault = func(store.Transaction) standin.TableFault { return standin.TableDelays }
					if got, want := f.submit(0, "a"), CodeUnknown; got == nil || got.Code() != want {
						t.Fatalf("result of the first request got %v, want %s", got, want.Name())
					}
					f.table.Fault = func(store.Transaction) standin.TableFault { return standin.TableRejects }
					at := 0
					switch where {
					case "another instance":
						at = 1
					case "the restarted instance":
						f.restart(0)
					}
					s := f.instances[at]
					s.breaker.record(true, f.clock.Now())
					switch fault {
					case "breaker open":
						s.breaker.record(false, f.clock.Now())
						f.clock.Advance(breakerDelay)
						s.breaker.record(false, f.clock.Now())
						s.breaker.allow(f.clock.Now()) // the probe
					case "unreachable":
						s.Reachable = func(context.Context) bool { return false }
					}
					got := f.submit(at, "a")
					if got == nil || got.Code().Outcome() != result.Unknown || got.Code().Status() != http.StatusGatewayTimeout || got.RetryAfter() == 0 {
						t.Errorf("result of the repeated request got %v, want one with status 504, an unknown outcome and a time for a retry", got)
					}
					if _, got := f.state(at, "a"); got == nil || got.Code().Outcome() != result.Unknown {
						t.Errorf("state got %v, want a refusal with an unknown outcome", got)
					}
					f.table.ApplyDelayed()
					if !f.runs("a") {
						t.Error("the job is not stored by the late write, want it stored: the test shows nothing otherwise")
					}
				})
			})
		}
	}
}

// Guards against a request to cancel a job that the store carries out after the job was removed, and that cancels a later job with the same
// id once the pool has a new owner.
func TestLateCancelDoesNotOutlastTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		if got := f.submit(0, "a"); got != nil {
			t.Fatalf("result of the job got %v, want it accepted", got)
		}
		f.table.Fault = func(store.Transaction) standin.TableFault { return standin.TableDelays }
		if got, want := f.cancel(0, "a"), CodeUnknown; got == nil || got.Code() != want {
			t.Fatalf("result of the cancelling got %v, want %s", got, want.Name())
		}
		f.table.Fault = nil
		part := store.Layout{}.IntakePart("a")
		remove := store.Transaction{Deletes: []store.Row{{Table: store.StateTable, Part: part, Key: store.Key(store.KindJob, "a")},
			{Table: store.JobsTable(testQueue.Pool), Part: part, Key: store.Key(store.KindJob, "a")}}}
		if _, err := f.table.Commit(context.Background(), remove); err != nil {
			t.Fatal(err)
		}
		f.table.ApplyDelayed()
		f.reload(0)
		if got := f.submit(0, "a"); got != nil {
			t.Fatalf("result of the later job got %v, want it accepted", got)
		}
		if !f.runs("a") {
			t.Error("the later job is cancelled, want it to run")
		}
	})
}

// Guards against answers that hold for one instance only: a job that is stored after it was cancelled, an accepted job that is lost or that
// an instance with a recent copy does not know, whatever the store answers and whichever instances get the requests.
func TestRandomAnswersHoldForAllInstances(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) { randomAnswersHoldForAllInstances(t, seed) })
	}
}

func randomAnswersHoldForAllInstances(t *testing.T, seed uint64) {
	const (
		instances = 3
		steps     = 40
	)
	random := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(instances)
	ids := []string{"a", "b", "c"}
	accepted, ended := map[string]bool{}, map[string]bool{} // answered with success, and cancelled or answered as not existing
	neverRuns := map[string]bool{}                          // according to the answer to the newest request to store the job
	trace := []string{}
	fail := func(format string, values ...any) {
		t.Helper()
		for _, line := range trace {
			t.Log(line)
		}
		t.Fatalf("seed %d: %s", seed, fmt.Sprintf(format, values...))
	}
	for range steps {
		i, id := random.IntN(instances), ids[random.IntN(len(ids))]
		switch op := random.IntN(10); {
		case op < 3:
			refusal := f.submit(i, id)
			trace = append(trace, fmt.Sprintf("submit %s at %d: %v", id, i, refusal))
			accepted[id] = accepted[id] || refusal == nil
			neverRuns[id] = refusal != nil && refusal.Code().Outcome() == result.NotRun
		case op < 5:
			refusal := f.cancel(i, id)
			trace = append(trace, fmt.Sprintf("cancel %s at %d: %v", id, i, refusal))
			if refusal == nil || refusal.Code() == CodeNoJob {
				if refusal != nil && accepted[id] && !ended[id] {
					fail("job %s is accepted and not cancelled, and instance %d answers %v", id, i, refusal)
				}
				ended[id] = true
			}
		case op < 6:
			f.reload(i)
			_, refusal := f.state(i, id)
			trace = append(trace, fmt.Sprintf("state of %s at %d: %v", id, i, refusal))
			if refusal != nil && accepted[id] && !ended[id] {
				fail("job %s is accepted, and instance %d with a recent copy answers %v", id, i, refusal)
			}
		case op < 7:
			f.restart(i)
			trace = append(trace, fmt.Sprintf("restart of %d", i))
		case op < 8:
			f.table.ApplyDelayed()
			trace = append(trace, "late transactions are carried out")
		default:
			fault := []standin.TableFault{standin.TableWorks, standin.TableRejects, standin.TableLosesCall, standin.TableLosesReply,
				standin.TableDelays}[random.IntN(5)]
			one := random.IntN(2) == 0 // one transaction in two has the fault
			f.table.Fault = func(store.Transaction) standin.TableFault {
				if one && random.IntN(2) == 0 {
					return standin.TableWorks
				}
				return fault
			}
			trace = append(trace, fmt.Sprintf("fault %d, for half of the transactions: %v", fault, one))
		}
	}
	f.table.ApplyDelayed()
	for _, id := range ids {
		switch runs := f.runs(id); {
		case neverRuns[id] && runs:
			fail("job %s runs, and its submission was answered with the outcome not-run", id)
		case ended[id] && runs:
			fail("job %s runs, and its cancelling was answered", id)
		case accepted[id] && !ended[id] && !runs && !cancelStored(f, id):
			fail("job %s is accepted, and is not stored", id)
		}
	}
}

// cancelStored reports whether the store has a request to cancel the job, whose caller may have got no answer.
func cancelStored(f *fleetOfServices, id string) bool {
	for _, row := range f.table.Rows(store.JobsTable(testQueue.Pool)) {
		if row.Key == store.Key(store.KindCancel, id) {
			return true
		}
	}
	return false
}

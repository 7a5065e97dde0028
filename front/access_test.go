package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/result"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// keyedSite returns a configuration with queue q for customers a and b, whose keys are "ka" and "kb", and the public queue open.
func keyedSite() *batch.Configuration {
	c := &batch.Configuration{Queues: []batch.Queue{*testQueue, {Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Public: true}}}
	c.SetCustomers([]batch.Customer{{Name: "a", Keys: []batch.KeyHash{batch.HashKey("ka")}}, {Name: "b", Keys: []batch.KeyHash{batch.HashKey("kb")}}})
	return c
}

// newKeyedFleet returns instances that serve keyedSite.
func newKeyedFleet(n int) *fleetOfServices {
	f := newFleet(n)
	site := keyedSite()
	for _, s := range f.instances {
		s.Configuration = func() *batch.Configuration { return site }
	}
	return f
}

// access returns the permission at queue q for a key, or at the public queue for an empty one.
func (f *fleetOfServices) access(t *testing.T, i int, key string) *Access {
	t.Helper()
	path := "/q/"
	if key == "" {
		path = "/open/"
	}
	access, _, refusal := f.instances[i].Match("h", path, key)
	if refusal != nil {
		t.Fatalf("access with the key of %q got %v", key, refusal)
	}
	return access
}

func code(refusal *result.Refusal) *result.Code {
	if refusal == nil {
		return nil
	}
	return refusal.Code()
}

// Guards against a call that is served without a valid key, a public queue or a site without customers that asks for one, and a valid key that
// is refused as unknown because the instance is cut off.
func TestMatchChecksKeys(t *testing.T) {
	withoutCustomers := &batch.Configuration{Queues: []batch.Queue{*testQueue}}
	yes, no := func() bool { return true }, func() bool { return false }
	for _, test := range []struct {
		name          string
		configuration *batch.Configuration
		confirmed     func() bool
		path, key     string
		want          *result.Code
		customer      string
	}{
		{"valid key", keyedSite(), nil, "/q/1", "kb", nil, "b"},
		{"valid key, confirmed", keyedSite(), yes, "/q/1", "ka", nil, "a"},
		{"valid key, not confirmed", keyedSite(), no, "/q/1", "ka", CodeKeysUnconfirmed, ""},
		{"unknown key", keyedSite(), yes, "/q/1", "kc", CodeNoKey, ""},
		{"unknown key, not confirmed", keyedSite(), no, "/q/1", "kc", CodeKeysUnconfirmed, ""},
		{"no key", keyedSite(), yes, "/q/1", "", CodeNoKey, ""},
		{"no key, not confirmed", keyedSite(), no, "/q/1", "", CodeKeysUnconfirmed, ""},
		{"no queue", keyedSite(), no, "/x/1", "kc", CodeNoQueue, ""},
		{"public queue", keyedSite(), no, "/open/1", "", nil, ""},
		{"public queue with an unknown key", keyedSite(), no, "/open/1", "kc", nil, ""},
		{"no customers", withoutCustomers, nil, "/q/1", "", nil, ""},
		{"no customers, any key", withoutCustomers, nil, "/q/1", "kc", nil, ""},
		{"the last customer was removed", withoutCustomers, yes, "/q/1", "ka", CodeNoKey, ""},
	} {
		s, _ := newService(&scriptedTable{})
		s.Configuration, s.KeysConfirmed = func() *batch.Configuration { return test.configuration }, test.confirmed
		access, rest, refusal := s.Match("h", test.path, test.key)
		if got := code(refusal); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, refusal, test.want)
			continue
		}
		if refusal == nil && (access.customer != test.customer || rest != "1") {
			t.Errorf("%s: customer and id got %q, %q, want %q, 1", test.name, access.customer, rest, test.customer)
		}
	}
}

// Guards against a key that is withdrawn, or can no longer be confirmed, between the reading of a call and its effect: the caller sends its
// body slowly, or the instance is suspended.
func TestKeyWithdrawnBeforeTheEffect(t *testing.T) {
	for _, test := range []struct {
		name      string
		keys      []batch.KeyHash // of customer a after the call was read
		confirmed bool
		want      *result.Code
	}{
		{"key in force", []batch.KeyHash{batch.HashKey("k2"), batch.HashKey("ka")}, true, nil},
		{"key withdrawn", []batch.KeyHash{batch.HashKey("k2")}, true, CodeNoKey},
		{"not confirmed", []batch.KeyHash{batch.HashKey("ka")}, false, CodeKeysUnconfirmed},
	} {
		for _, during := range []string{"the body", "the probe of the store"} {
			synctest.Test(t, func(t *testing.T) {
				f := newKeyedFleet(1)
				s := f.instances[0]
				confirmed := true
				s.KeysConfirmed = func() bool { return confirmed }
				access := f.access(t, 0, "ka")
				change := func() {
					next := &batch.Configuration{Version: 2, Queues: keyedSite().Queues}
					next.SetCustomers([]batch.Customer{{Name: "a", Keys: test.keys}})
					s.Configuration, confirmed = func() *batch.Configuration { return next }, test.confirmed
				}
				if during == "the body" {
					change()
				} else {
					s.Reachable = func(context.Context) bool { change(); return true }
				}
				refusal := f.call(func() *result.Refusal { return s.Submit(context.Background(), access, testJob("1"), 2900) })
				if got := code(refusal); got != test.want {
					t.Errorf("%s during %s: got %v, want %v", test.name, during, refusal, test.want)
				}
				if got, want := f.runs("1"), test.want == nil; got != want {
					t.Errorf("%s during %s: job stored got %v, want %v", test.name, during, got, want)
				}
			})
		}
	}
}

// Guards against a customer that sees, counts or cancels the job of another one, gets success for a job with such an id, or can distinguish
// the id from one without a job; at the accepting instance, and at one that knows of the job or not.
func TestCustomersSeeOnlyTheirJobs(t *testing.T) {
	for _, other := range []string{"kb", ""} {
		for _, where := range []string{"the accepting instance", "another instance", "another instance with an old copy"} {
			synctest.Test(t, func(t *testing.T) {
				f := newKeyedFleet(2)
				ctx := context.Background()
				owner, at := f.access(t, 0, "ka"), 0
				if refusal := f.call(func() *result.Refusal { return f.instances[0].Submit(ctx, owner, testJob("1"), 2900) }); refusal != nil {
					t.Fatalf("job of a got %v", refusal)
				}
				if where != "the accepting instance" {
					at = 1
				}
				if where == "another instance" {
					f.reload(1)
				}
				s, stranger := f.instances[at], f.access(t, at, other)
				if _, got := s.State(ctx, stranger, "1"); code(got) != CodeNotFound {
					t.Errorf("%q at %s: state got %v, want %s", other, where, got, CodeNotFound.Name())
				}
				if got := f.call(func() *result.Refusal { return s.Submit(ctx, stranger, testJob("1"), 2900) }); code(got) != CodeIDInUse {
					t.Errorf("%q at %s: job with the same id got %v, want %s", other, where, got, CodeIDInUse.Name())
				}
				for _, id := range []string{"1", "2"} { // the answers to an id of another and to one without a job are the same
					if got := f.call(func() *result.Refusal { return s.Cancel(ctx, stranger, id, 2900) }); code(got) != CodeNoJob || got.Detail() != "" {
						t.Errorf("%q at %s: cancel of %s got %v, want %s", other, where, id, got, CodeNoJob.Name())
					}
				}
				if !f.runs("1") {
					t.Errorf("%q at %s: the job was cancelled", other, where)
				}
				if got := s.Waiting(stranger); got != 0 {
					t.Errorf("%q at %s: waiting got %d, want 0", other, where, got)
				}
				f.reload(at)
				owner = f.access(t, at, "ka")
				if state, got := s.State(ctx, owner, "1"); got != nil || state != batch.Pending || s.Waiting(owner) != 1 {
					t.Errorf("%q at %s: its owner sees %v, %v and %d waiting, want it pending and counted", other, where, state, got, s.Waiting(owner))
				}
				if got := f.call(func() *result.Refusal { return s.Submit(ctx, owner, testJob("1"), 2900) }); got != nil {
					t.Errorf("%q at %s: repeat of the owner got %v, want success", other, where, got)
				}
				if got := f.call(func() *result.Refusal { return s.Cancel(ctx, owner, "1", 2900) }); got != nil || f.runs("1") {
					t.Errorf("%q at %s: cancel of the owner got %v, want the job cancelled", other, where, got)
				}
			})
		}
	}
}

// Guards against a tombstone of one customer, or of a caller at a public queue, that keeps another customer's job from being stored, and
// against one that does not rule out its own customer's late write.
func TestTombstoneBindsItsCustomerOnly(t *testing.T) {
	for _, test := range []struct {
		canceller, submitter string
		want                 *result.Code
	}{
		{"ka", "ka", CodeWithdrawn}, {"ka", "kb", nil}, {"ka", "", nil}, {"", "ka", nil}, {"", "", CodeWithdrawn},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newKeyedFleet(2)
			ctx := context.Background()
			submit := func(i int, key string) *result.Refusal {
				access := f.access(t, i, key)
				return f.call(func() *result.Refusal { return f.instances[i].Submit(ctx, access, testJob("1"), 2900) })
			}
			f.table.Fault = func(store.Transaction) standin.TableFault { return standin.TableDelays }
			if got := submit(0, test.canceller); code(got) != CodeUnknown {
				t.Fatalf("first request got %v, want %s", got, CodeUnknown.Name())
			}
			f.table.Fault = nil
			access := f.access(t, 1, test.canceller)
			if got := f.call(func() *result.Refusal { return f.instances[1].Cancel(ctx, access, "1", 2900) }); code(got) != CodeNoJob {
				t.Fatalf("cancel got %v, want %s", got, CodeNoJob.Name())
			}
			f.table.ApplyDelayed()
			if f.runs("1") {
				t.Error("the late write stored a cancelled job")
			}
			for i := range f.instances { // the second one knows the tombstone, the first one does not
				if got := submit(i, test.submitter); code(got) != test.want {
					t.Errorf("%q after the cancel of %q at %d got %v, want %v", test.submitter, test.canceller, i, got, test.want)
				}
			}
			if got, want := f.runs("1"), test.want == nil; got != want {
				t.Errorf("%q after the cancel of %q: job stored got %v, want %v", test.submitter, test.canceller, got, want)
			}
		})
	}
}

// Guards against jobs that are not found any more: those stored without a customer, and those of customers whose queue becomes public.
func TestJobsWithoutACustomer(t *testing.T) {
	s, _ := newService(&scriptedTable{})
	site := keyedSite()
	s.Configuration = func() *batch.Configuration { return site }
	for id, customer := range map[string]string{"1": "", "2": "a"} {
		rows := []store.Row{store.EncodeState(store.Layout{}.IntakePart(id), id, "q", "p", batch.Pending), store.EncodeAddress(store.Layout{}.IntakePart(id), id, testQueue.Address(), customer)}
		s.States.Apply(withVersion(rows, 1))
	}
	waiting := func(key string) int {
		access, _, refusal := s.Match("h", "/q/", key)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return s.Waiting(access)
	}
	if got, want := [2]int{waiting("ka"), waiting("kb")}, [2]int{2, 1}; got != want {
		t.Errorf("jobs that a and b see got %v, want %v", got, want)
	}
	site = keyedSite()
	site.Queues[0].Public = true
	if got, want := waiting(""), 2; got != want {
		t.Errorf("jobs at the queue that is public now got %d, want %d", got, want)
	}
	// The address arrives after the state: until then it is not known whose job it is.
	s.States.Apply(withVersion([]store.Row{store.EncodeState(store.Layout{}.IntakePart("3"), "3", "q", "p", batch.Pending)}, 1))
	site = keyedSite()
	if got, want := waiting("kb"), 1; got != want {
		t.Errorf("jobs that b sees beside one of an unknown customer got %d, want %d", got, want)
	}
}

// Guards against customers that affect each other's jobs, whatever the store answers and whichever instances get the requests: a job that is lost,
// runs after its cancelling, or is cancelled, seen or reported as stored by another customer.
func TestRandomCustomersDoNotAffectEachOther(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) { randomCustomers(t, seed) })
	}
}

// attempt names an id as one customer uses it; the key is empty at the public queue.
type attempt struct{ key, id string }

func randomCustomers(t *testing.T, seed uint64) {
	const (
		instances = 2
		steps     = 50
	)
	random := rand.New(rand.NewPCG(seed, 2))
	f := newKeyedFleet(instances)
	customers, ids := map[string]string{"ka": "a", "kb": "b", "": ""}, []string{"1", "2"}
	accepted, ended, neverRuns := map[attempt]bool{}, map[attempt]bool{}, map[attempt]bool{}
	var trace []string
	fail := func(format string, values ...any) {
		t.Helper()
		t.Fatalf("seed %d: %s after\n%s", seed, fmt.Sprintf(format, values...), strings.Join(trace, "\n"))
	}
	ctx := context.Background()
	for range steps {
		i, a := random.IntN(instances), attempt{[]string{"ka", "kb", ""}[random.IntN(3)], ids[random.IntN(len(ids))]}
		s, access := f.instances[i], f.access(t, i, a.key)
		switch op := random.IntN(9); {
		case op < 4:
			refusal := f.call(func() *result.Refusal { return s.Submit(ctx, access, testJob(a.id), 2900) })
			trace = append(trace, fmt.Sprintf("submit %v at %d: %v", a, i, refusal))
			accepted[a] = accepted[a] || refusal == nil
			neverRuns[a] = refusal != nil && refusal.Code().Outcome() == result.NotRun
		case op < 5:
			refusal := f.call(func() *result.Refusal { return s.Cancel(ctx, access, a.id, 2900) })
			trace = append(trace, fmt.Sprintf("cancel %v at %d: %v", a, i, refusal))
			if refusal == nil && !accepted[a] && !f.runsFor(customers[a.key], a.id, true) {
				fail("the cancelling of %v is answered, and there is no such job", a)
			}
			ended[a] = ended[a] || refusal == nil || refusal.Code() == CodeNoJob
		case op < 6:
			f.reload(i)
			_, refusal := s.State(ctx, access, a.id)
			trace = append(trace, fmt.Sprintf("state of %v at %d: %v", a, i, refusal))
			if refusal != nil && accepted[a] && !ended[a] {
				fail("%v is accepted, and its state got %v", a, refusal)
			}
			if refusal == nil && !f.runsFor(customers[a.key], a.id, true) {
				fail("%v has no job, and its state is answered", a)
			}
		case op < 7:
			f.table.ApplyDelayed()
			trace = append(trace, "late transactions are carried out")
		default:
			fault := []standin.TableFault{standin.TableWorks, standin.TableRejects, standin.TableLosesCall, standin.TableLosesReply, standin.TableDelays}[random.IntN(5)]
			f.table.Fault = func(store.Transaction) standin.TableFault {
				if random.IntN(2) == 0 {
					return standin.TableWorks
				}
				return fault
			}
			trace = append(trace, fmt.Sprintf("fault %d for half of the transactions", fault))
		}
	}
	f.table.ApplyDelayed()
	for key, customer := range customers {
		for _, id := range ids {
			a := attempt{key, id}
			switch stored, runs := f.runsFor(customer, id, true), f.runsFor(customer, id, false); {
			case neverRuns[a] && runs:
				fail("%v runs, and its submission was answered with the outcome not-run", a)
			case ended[a] && runs:
				fail("%v runs, and its cancelling was answered", a)
			case accepted[a] && !stored:
				fail("%v is accepted, and is not stored", a)
			}
		}
	}
}

// runsFor reports whether the store has a job with the id that belongs to the customer, and, unless it may be cancelled, that no request to cancel
// it is stored.
func (f *fleetOfServices) runsFor(customer, id string, orCancelled bool) bool {
	for _, row := range f.table.Rows(store.JobsTable(testQueue.Pool)) {
		if row.Key != store.Key(store.KindJob, id) {
			continue
		}
		job, err := batch.DecodeJob(row.Value)
		return err == nil && job.Customer == customer && (orCancelled || f.runs(id))
	}
	return false
}

// Guards against a customer whose own job counts as another's while the row with its customer has not arrived: a repeat that is refused for
// good, and a cancel that is answered as if there was no job.
func TestOwnJobBeforeItsCustomerIsKnown(t *testing.T) {
	for _, cancels := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newKeyedFleet(2)
			ctx := context.Background()
			owner := f.access(t, 0, "ka")
			if refusal := f.call(func() *result.Refusal { return f.instances[0].Submit(ctx, owner, testJob("1"), 2900) }); refusal != nil {
				t.Fatalf("job of a got %v", refusal)
			}
			s := f.instances[1]
			for _, row := range f.table.Rows(store.StateTable) {
				if kind, _ := store.SplitKey(row.Key); kind == store.KindJob {
					s.States.Apply([]store.Row{row})
				}
			}
			owner = f.access(t, 1, "ka")
			if !cancels {
				if got := f.call(func() *result.Refusal { return s.Submit(ctx, owner, testJob("1"), 2900) }); got != nil {
					t.Errorf("repeat got %v, want success", got)
				}
				return
			}
			if got := f.call(func() *result.Refusal { return s.Cancel(ctx, owner, "1", 2900) }); got != nil || f.runs("1") {
				t.Errorf("cancel got %v, want the job cancelled", got)
			}
		})
	}
}

// Guards against a repeat that is answered with success although its key was withdrawn while the body was read.
func TestKeyWithdrawnBeforeARepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeyedFleet(1)
		s := f.instances[0]
		access := f.access(t, 0, "ka")
		submit := func() *result.Refusal {
			return f.call(func() *result.Refusal { return s.Submit(context.Background(), access, testJob("1"), 2900) })
		}
		if got := submit(); got != nil {
			t.Fatalf("first request got %v, want success", got)
		}
		next := &batch.Configuration{Version: 2, Queues: keyedSite().Queues}
		next.SetCustomers([]batch.Customer{{Name: "a", Keys: []batch.KeyHash{batch.HashKey("k2")}}})
		s.Configuration = func() *batch.Configuration { return next }
		if got := submit(); code(got) != CodeNoKey {
			t.Errorf("repeat got %v, want %s", got, CodeNoKey.Name())
		}
	})
}

// Guards against a caller without a key that gets success for the id of a job in a queue which needs one, as the job has no customer.
func TestPublicQueueDoesNotShowJobsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeyedFleet(1)
		s := f.instances[0]
		part := store.Layout{}.IntakePart("1")
		rows := []store.Row{store.EncodeState(part, "1", "q", "p", batch.Pending), store.EncodeAddress(store.Layout{}.IntakePart("1"), "1", testQueue.Address(), ""),
			{Table: store.JobsTable("p"), Part: part, Key: store.Key(store.KindJob, "1")}}
		if _, err := f.table.Commit(context.Background(), store.Transaction{Puts: rows}); err != nil {
			t.Fatal(err)
		}
		f.reload(0)
		access := f.access(t, 0, "")
		if got := f.call(func() *result.Refusal { return s.Submit(context.Background(), access, testJob("1"), 2900) }); code(got) != CodeIDInUse {
			t.Errorf("request with the id got %v, want %s", got, CodeIDInUse.Name())
		}
		if got := f.call(func() *result.Refusal { return s.Cancel(context.Background(), access, "1", 2900) }); code(got) != CodeNoJob || !f.runs("1") {
			t.Errorf("cancel got %v, want %s and no effect", got, CodeNoJob.Name())
		}
	})
}

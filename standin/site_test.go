package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/platform"
	"magnoliaferry/pool"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

func serve(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against different readings of the platform's format by the simulated store and the client.
func TestRows(t *testing.T) {
	ctx := context.Background()
	table := standin.NewTable()
	client := platform.NewTable(serve(t, &standin.Rows{Table: table}))
	put := func(value string, version int64) (store.Result, error) {
		return client.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Table: "t", Part: "p", Key: "k", Version: version}},
			Puts: []store.Row{{Table: "t", Part: "p", Key: "k", Value: []byte(value)}}})
	}
	first, err := put("one", 0)
	if err != nil || !first.Applied {
		t.Fatalf("first write got %+v, %v, want it applied", first, err)
	}
	refused, err := put("two", 0)
	if err != nil || refused.Applied || len(refused.Current) != 1 || string(refused.Current[0].Value) != "one" {
		t.Errorf("second write got %+v, %v, want a refusal with the current row", refused, err)
	}
	page, err := client.Range(ctx, "t", "p", "")
	if err != nil || len(page.Rows) != 1 || page.Rows[0].Version != first.Version {
		t.Errorf("range got %+v, %v, want one row of version %d", page, err, first.Version)
	}
	parts, _, err := client.Parts(ctx, "t", "")
	if err != nil || len(parts) != 1 || parts[0] != "p" {
		t.Errorf("parts got %v, %v, want p", parts, err)
	}
	if _, err := client.Commit(ctx, store.Transaction{Deletes: []store.Row{{Table: "t", Part: "p", Key: "k"}}}); err != nil {
		t.Fatal(err)
	}
	page, err = client.Feed(ctx, "t", first.Version, 0)
	if err != nil || len(page.Rows) != 1 || !page.Rows[0].Deleted {
		t.Errorf("feed got %+v, %v, want a deleted row", page, err)
	}
	table.DropHistory()
	if _, err := client.Feed(ctx, "t", first.Version, 0); !errorx.IsOfType(err, store.ErrHistoryGone) {
		t.Errorf("feed got %v, want history-gone", err)
	}
	if _, err := client.Commit(ctx, store.Transaction{Puts: []store.Row{{Table: "t", Part: "p", Key: "k"}, {Table: "t", Part: "q", Key: "k"}}}); !errorx.IsOfType(err, store.ErrRejected) {
		t.Errorf("a write to two parts got %v, want rejected", err)
	}
	table.Fault = func(store.Transaction) standin.TableFault { return standin.TableLosesReply }
	if _, err := put("three", 0); !errorx.IsOfType(err, store.ErrUnknown) {
		t.Errorf("a lost answer got %v, want unknown", err)
	}
	if rows := table.Rows("t"); len(rows) != 1 || string(rows[0].Value) != "three" {
		t.Errorf("rows got %v, want the write whose answer was lost", rows)
	}
}

// fleetOfTwo is a fleet of two machines with one core each in pool p, and a client of its workers.
type fleetOfTwo struct {
	t        *testing.T
	fleet    *standin.Fleet
	clock    *clock.Clock
	table    *standin.Table
	client   *platform.Workers
	targets  []pool.Target
	handlers []http.Handler
}

func newFleetOfTwo(t *testing.T) *fleetOfTwo {
	c := clock.NewFake(1000)
	table := standin.NewTable()
	f := &fleetOfTwo{t: t, clock: c, table: table, client: platform.NewWorkers(),
		fleet: standin.NewFleet(table, c, func() int64 { return int64(c.Now()) })}
	f.fleet.SetStandby("spare")
	for _, id := range []string{"m1", "m2"} {
		handler := f.fleet.Add(id, "p", "z", "r", "127.0.0.1:1", batch.Resources{CPU: 1000, MemoryMB: 100}, 1000)
		f.handlers = append(f.handlers, handler)
		f.targets = append(f.targets, pool.Target{Address: serve(t, handler)})
	}
	for i, row := range table.Rows(platform.TableWorkers) {
		worker, err := platform.DecodeWorker(row.Key, row.Value)
		if err != nil || worker.Pool != "p" || worker.Capacity.CPU != 1000 {
			t.Fatalf("worker got %+v, %v, want one of pool p with one core", worker, err)
		}
		f.targets[i].ID = row.Key
	}
	return f
}

func (f *fleetOfTwo) start(worker int, task string, run int, token int64, work standin.Work) pool.Outcome {
	return f.client.Start(context.Background(), pool.Start{Target: f.targets[worker], Task: task, Run: run, Spec: work.Spec(),
		Deadline: 6000, Token: token}).Outcome
}

func (f *fleetOfTwo) hold(worker int, token, ack int64) pool.Listing {
	return f.client.Hold(context.Background(), pool.Hold{Target: f.targets[worker], Token: token, Ack: ack, Deadline: 6000})
}

// Guards against a simulated worker that accepts orders which the platform's workers refuse.
func TestFleetKeepsRules(t *testing.T) {
	f := newFleetOfTwo(t)
	work := standin.Work{Length: 500, CPU: 600}
	if got := f.start(0, "j.0.0.0", 1, 5, work); got != pool.Accepted {
		t.Fatalf("start got %v, want accepted", got)
	}
	if got := f.start(0, "j.0.0.0", 1, 5, work); got != pool.Accepted {
		t.Errorf("the same start got %v, want accepted", got)
	}
	if got := f.start(0, "j.0.0.1", 1, 4, work); got != pool.Fenced {
		t.Errorf("start with a lower token got %v, want fenced", got)
	}
	other := f.targets[0]
	other.ID = "i-gone"
	if got := f.client.Start(context.Background(), pool.Start{Target: other, Task: "j.0.0.1", Run: 1, Spec: work.Spec(), Token: 5}).Outcome; got != pool.WrongIncarnation {
		t.Errorf("start for another incarnation got %v, want wrong incarnation", got)
	}
	if got := f.client.Start(context.Background(), pool.Start{Target: f.targets[0], Task: "j.0.0.1", Run: 1, Spec: work.Spec(), Token: 5, Deadline: 1}).Outcome; got != pool.TooLate {
		t.Errorf("start after its lease got %v, want too late", got)
	}
	f.clock.Advance(500)
	f.fleet.Advance()
	listing := f.hold(0, 5, 0)
	if len(listing.Ended) != 1 || listing.Ended[0].Reason != pool.EndDone || len(listing.Running) != 0 {
		t.Errorf("answer to a hold got %+v, want one end as done and no running task", listing)
	}
	if got := f.start(0, "j.0.0.0", 1, 5, work); got != pool.Outdated {
		t.Errorf("start of the run that ended got %v, want outdated", got)
	}
	if listing := f.hold(0, 5, 1); len(listing.Ended) != 0 {
		t.Errorf("ends got %v, want none after their acknowledgement", listing.Ended)
	}
	if got := f.fleet.Violations(); len(got) != 0 {
		t.Errorf("violations got %v, want none", got)
	}
	if got, want := f.fleet.Started(), 1; got != want {
		t.Errorf("runs got %d, want %d", got, want)
	}
}

// Guards against a soak that passes whatever the scheduler does: each violation has to be recorded.
func TestFleetRecordsViolations(t *testing.T) {
	work := standin.Work{Length: 500, CPU: 600}
	for _, test := range []struct {
		name    string
		violate func(f *fleetOfTwo)
		want    string
	}{
		{"twice at once", func(f *fleetOfTwo) { f.start(0, "j.0.0.0", 1, 5, work); f.start(1, "j.0.0.0", 2, 5, work) }, "while run 1 runs on m1"},
		{"twice at once on one worker, the lower run last", func(f *fleetOfTwo) {
			f.start(0, "j.0.0.0", 2, 5, standin.Work{Length: 500, CPU: 300})
			f.start(0, "j.0.0.0", 1, 5, standin.Work{Length: 500, CPU: 300})
		}, "while run 2 runs on m1"},
		{"after its end", func(f *fleetOfTwo) {
			f.start(0, "j.0.0.0", 1, 5, work)
			f.clock.Advance(500)
			f.fleet.Advance()
			f.hold(0, 5, 1)
			f.start(1, "j.0.0.0", 2, 5, work)
		}, "after its end was acknowledged"},
		{"after its end, which is acknowledged later", func(f *fleetOfTwo) {
			f.start(0, "j.0.0.0", 1, 5, work)
			f.clock.Advance(500)
			f.start(1, "j.0.0.0", 2, 5, work)
			f.hold(0, 5, 1)
		}, "after the end of run 1"},
		{"overfull", func(f *fleetOfTwo) { f.start(0, "j.0.0.0", 1, 5, work); f.start(0, "j.0.0.1", 1, 5, work) }, "thousandths of a core"},
		{"withdrawn while tasks run", func(f *fleetOfTwo) {
			f.start(0, "j.0.0.0", 1, 5, work)
			f.withdraw(t, machines.Withdrawal{Machine: "m1", Op: machines.Move, Pool: "spare"}, 3)
		}, "is withdrawn while"},
		{"too many away", func(f *fleetOfTwo) {
			f.fleet.Wave(1, []string{"m1", "m2"}, 1, clock.Minute)
			f.withdraw(t, machines.Withdrawal{Machine: "m1", Op: machines.Upkeep, Wave: 1}, 3)
			f.withdraw(t, machines.Withdrawal{Machine: "m2", Op: machines.Upkeep, Wave: 1}, 3)
		}, "machines are away"},
	} {
		f := newFleetOfTwo(t)
		test.violate(f)
		if got := f.fleet.Violations(); len(got) != 1 || !strings.Contains(got[0], test.want) {
			t.Errorf("%s: violations got %v, want one that contains %q", test.name, got, test.want)
		}
	}
}

// Guards against checks of starts that miss runs on other machines, or count runs that have ended or were lost with their worker.
func TestFleetReportsStarts(t *testing.T) {
	f := newFleetOfTwo(t)
	var used []map[string]int
	f.fleet.OnStart = func(job string, cpu int, running map[string]int) string {
		used = append(used, running)
		if job == "k" {
			return "not allowed"
		}
		return ""
	}
	f.start(0, "j.0.0.0", 1, 5, standin.Work{Length: 500, CPU: 300})
	f.start(1, "j.0.0.1", 1, 5, standin.Work{CPU: 200})
	f.start(1, "j.0.0.1", 1, 5, standin.Work{CPU: 200}) // a repeat starts nothing
	f.start(1, "k.0.0.0", 1, 5, standin.Work{CPU: 100})
	f.clock.Advance(500)
	f.start(1, "l.0.0.0", 1, 5, standin.Work{CPU: 50})
	f.fleet.Crash("m2", 500, false)
	f.start(0, "l.0.0.1", 1, 5, standin.Work{CPU: 60})
	want := []map[string]int{{"j": 300}, {"j": 500}, {"j": 500, "k": 100}, {"j": 200, "k": 100, "l": 50}, {"l": 60}}
	if !slices.EqualFunc(used, want, maps.Equal[map[string]int, map[string]int]) {
		t.Errorf("use by job at each start got %v, want %v", used, want)
	}
	if got := f.fleet.Violations(); len(got) != 1 || !strings.Contains(got[0], "task k.0.0.0, run 1, starts on m2: not allowed") {
		t.Errorf("violations got %v, want the one that the check returned", got)
	}
}

// Guards against simulated workers that accept runs and leases which the platform's workers refuse, which would hide tasks that run
// twice, and against a false violation for a task that may run again because the lease expired before its end was acknowledged.
func TestFleetLeasesAndRuns(t *testing.T) {
	work := standin.Work{Length: 500, CPU: 300}
	const late = 4 * clock.Second // a lease until 6000 on the worker's clock has not expired then
	longRunning := standin.Work{CPU: 300}
	stop := func(f *fleetOfTwo, run int) {
		f.client.Stop(context.Background(), pool.Stop{Target: f.targets[0], Task: "j.0.0.0", Run: run, Token: 5})
	}
	startUntil := func(f *fleetOfTwo, run int, deadline clock.Millis) pool.Outcome {
		return f.client.Start(context.Background(), pool.Start{Target: f.targets[0], Task: "j.0.0.0", Run: run, Spec: longRunning.Spec(),
			Deadline: deadline, Token: 5}).Outcome
	}
	for _, test := range []struct {
		name string
		act  func(f *fleetOfTwo) pool.Outcome
		want pool.Outcome
		ends []pool.EndReason
	}{
		{"a run that was stopped before it came", func(f *fleetOfTwo) pool.Outcome {
			stop(f, 2)
			return f.start(0, "j.0.0.0", 1, 5, work)
		}, pool.Outdated, nil},
		{"a run above the stopped one", func(f *fleetOfTwo) pool.Outcome {
			stop(f, 1)
			return f.start(0, "j.0.0.0", 2, 5, work)
		}, pool.Accepted, nil},
		{"a stop of another run", func(f *fleetOfTwo) pool.Outcome {
			outcome := f.start(0, "j.0.0.0", 1, 5, longRunning)
			stop(f, 2)
			f.clock.Advance(late)
			return outcome
		}, pool.Accepted, nil},
		{"a lease beyond the longest", func(f *fleetOfTwo) pool.Outcome {
			outcome := startUntil(f, 1, clock.Minute)
			f.clock.Advance(standin.MaxLease + 10)
			return outcome
		}, pool.Accepted, []pool.EndReason{pool.EndLapsed}},
		{"a lease renewed by the same start", func(f *fleetOfTwo) pool.Outcome {
			f.start(0, "j.0.0.0", 1, 5, longRunning)
			f.clock.Advance(late)
			outcome := startUntil(f, 1, 9000)
			f.clock.Advance(late - 500)
			return outcome
		}, pool.Accepted, nil},
		{"a lease renewed by a start that is outdated", func(f *fleetOfTwo) pool.Outcome {
			f.start(0, "j.0.0.1", 1, 5, longRunning)
			stop(f, 1)
			f.clock.Advance(late)
			outcome := startUntil(f, 1, 9000)
			f.clock.Advance(late - 500)
			return outcome
		}, pool.Outdated, nil},
		{"a lease that is over is not renewed", func(f *fleetOfTwo) pool.Outcome {
			outcome := f.start(0, "j.0.0.0", 1, 5, longRunning)
			f.clock.Advance(5001)
			f.client.Hold(context.Background(), pool.Hold{Target: f.targets[0], Token: 5, Deadline: 9000})
			return outcome
		}, pool.Accepted, []pool.EndReason{pool.EndLapsed}},
		{"again after the lease of an end", func(f *fleetOfTwo) pool.Outcome {
			f.start(0, "j.0.0.0", 1, 5, work)
			f.clock.Advance(500)
			f.fleet.Advance()
			f.clock.Advance(5000)
			f.fleet.Advance()
			outcome := f.client.Start(context.Background(), pool.Start{Target: f.targets[1], Task: "j.0.0.0", Run: 2, Spec: work.Spec(),
				Deadline: 9000, Token: 5}).Outcome
			return outcome
		}, pool.Accepted, []pool.EndReason{pool.EndDone}},
	} {
		f := newFleetOfTwo(t)
		if got := test.act(f); got != test.want {
			t.Errorf("%s: outcome got %v, want %v", test.name, got, test.want)
		}
		f.fleet.Advance()
		var got []pool.EndReason
		for _, end := range f.hold(0, 9, 0).Ended {
			got = append(got, end.Reason)
		}
		if !slices.Equal(got, test.ends) {
			t.Errorf("%s: ends got %v, want %v", test.name, got, test.ends)
		}
		f.hold(0, 9, 1)
		if got := f.fleet.Violations(); len(got) != 0 {
			t.Errorf("%s: violations got %v, want none", test.name, got)
		}
	}
}

// Guards against a hold that takes effect only when it is answered, and against one that reaches the worker's next incarnation.
func TestFleetHoldsOnArrival(t *testing.T) {
	f := newFleetOfTwo(t)
	work := standin.Work{CPU: 300}
	f.start(0, "j.0.0.0", 1, 5, work)
	waiting := f.clock.PendingTimers()
	answered := make(chan pool.Listing, 1)
	go func() {
		answered <- f.client.Hold(context.Background(), pool.Hold{Target: f.targets[0], Token: 8, Ack: 3, Deadline: 6000, Wait: 2000})
	}()
	for f.clock.PendingTimers() == waiting {
		runtime.Gosched()
	}
	if got := f.start(0, "j.0.0.1", 1, 7, work); got != pool.Fenced {
		t.Errorf("start with a token below that of a waiting hold got %v, want fenced", got)
	}
	f.fleet.Crash("m1", 500, true)
	if got := (<-answered).Outcome; got != pool.Unanswered {
		t.Errorf("hold whose worker crashed got %v, want unanswered", got)
	}
	if got, want := len(f.table.Rows(platform.TableWorkers)), 2; got != want {
		t.Errorf("entries right after a crash got %d, want %d", got, want)
	}
	f.clock.Advance(500)
	if got := f.start(0, "j.0.0.1", 1, 1, standin.Work{Length: 100, CPU: 300}); got != pool.Accepted {
		t.Errorf("start on the next incarnation got %v, want accepted: it has received no token", got)
	}
	f.clock.Advance(100)
	f.fleet.Advance()
	if ends := f.hold(0, 1, 0).Ended; len(ends) != 1 || ends[0].Number != 1 {
		t.Errorf("ends of the next incarnation got %+v, want one with number 1", ends)
	}
	f.fleet.Crash("m1", clock.Minute, false)
	f.clock.Advance(5 * clock.Second)
	if got, want := len(f.table.Rows(platform.TableWorkers)), 1; got != want {
		t.Errorf("entries some time after a crash got %d, want %d", got, want)
	}
	if got := f.fleet.Violations(); len(got) != 0 {
		t.Errorf("violations got %v, want none", got)
	}
}

// abandon sends an order whose client disconnects before the answer; the test fails if the order is answered.
func (f *fleetOfTwo) abandon(worker int, path string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(encoded)).WithContext(ctx)
	request.Header.Set("Magnoliaferry-Target-Instance", f.targets[worker].ID)
	defer func() {
		if got := recover(); got != http.ErrAbortHandler {
			f.t.Errorf("%s got %v, want the connection to break", path, got)
		}
	}()
	f.handlers[worker].ServeHTTP(httptest.NewRecorder(), request)
}

// Guards against a late order that is lost, that is carried out at once, or that reaches another incarnation than it was sent to.
func TestFleetCarriesOutLateOrders(t *testing.T) {
	const after = 3 * clock.Second
	work := standin.Work{CPU: 300}
	for _, test := range []struct {
		name    string
		next    bool // late orders reach the next incarnation with the same id
		crash   bool
		started int
		fenced  bool // a start with a token below that of the late order is refused
	}{
		{"the same incarnation", false, false, 1, true},
		{"the next incarnation", false, true, 0, false},
		{"the next incarnation, with LateForNextIncarnation", true, true, 1, true},
	} {
		f := newFleetOfTwo(t)
		f.fleet.Late = func(machine, path string) (clock.Millis, bool) { return after, machine == "m1" && path == "/run-start" }
		f.fleet.LateForNextIncarnation = test.next
		f.abandon(0, "/run-start", map[string]any{"task": "j.0.0.0", "run": 1, "spec": work.Spec(), "deadlineMs": 6000, "fencingToken": 5})
		f.fleet.Late = nil
		if got := f.fleet.Started(); got != 0 {
			t.Errorf("%s: runs right after a late start got %d, want none", test.name, got)
		}
		if test.crash {
			f.fleet.Crash("m1", 500, true)
		}
		f.clock.Advance(after)
		if got := f.fleet.Started(); got != test.started {
			t.Errorf("%s: runs got %d, want %d", test.name, got, test.started)
		}
		if got := f.start(0, "j.0.0.1", 1, 4, work) == pool.Fenced; got != test.fenced {
			t.Errorf("%s: start with a token below that of the late order got fenced %t, want %t", test.name, got, test.fenced)
		}
	}
}

func (f *fleetOfTwo) withdraw(t *testing.T, withdrawal machines.Withdrawal, token int64) machines.Outcome {
	client := platform.NewMachines(serve(t, f.fleet))
	return client.Execute(context.Background(), "holder", machines.Order{Withdrawal: withdrawal, Token: token})
}

// Guards against different readings of the platform's format by the simulated machines and the client.
func TestFleetMachines(t *testing.T) {
	f := newFleetOfTwo(t)
	client := platform.NewMachines(serve(t, f.fleet))
	list, err := client.List(context.Background())
	if err != nil || len(list) != 2 || list[0].State != batch.MachineUp || list[0].Worker != f.targets[0].ID {
		t.Fatalf("list got %+v, %v, want two machines that are up", list, err)
	}
	move := machines.Withdrawal{Machine: "m1", Op: machines.Move, Pool: "spare"}
	if got := f.withdraw(t, move, 5); got != machines.Accepted {
		t.Errorf("move got %v, want accepted", got)
	}
	if got := f.withdraw(t, machines.Withdrawal{Machine: "m1", Op: machines.Move, Pool: "p"}, 4); got != machines.Fenced {
		t.Errorf("move with a lower token got %v, want fenced", got)
	}
	if got := f.withdraw(t, machines.Withdrawal{Machine: "m1", Op: machines.Move, Pool: "p"}, 5); got != machines.Busy {
		t.Errorf("move during a move got %v, want busy", got)
	}
	if listing := f.hold(0, 5, 0); listing.Outcome != pool.Unanswered {
		t.Errorf("hold on a machine that moves got %v, want no answer", listing.Outcome)
	}
	f.clock.Advance(2000)
	f.fleet.Advance()
	list, err = client.List(context.Background())
	if err != nil || list[0].Pool != "spare" || list[0].State != batch.MachineUp || list[0].Worker != "" {
		t.Errorf("list got %+v, %v, want the machine in standby", list, err)
	}
	if got := len(f.table.Rows(platform.TableWorkers)); got != 1 {
		t.Errorf("workers got %d, want 1", got)
	}
}

// Guards against proxy modes without the fault that their name states, so that the soak would not test that fault.
func TestProxy(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrived, release := make(chan string, 10), make(chan bool)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 16)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					arrived <- string(buffer[:n])
					if string(buffer[:n]) == "held" {
						<-release
					}
					if _, err := conn.Write([]byte("answer")); err != nil || string(buffer[:n]) == "mute" {
						return
					}
				}
			}()
		}
	}()
	p := &standin.Proxy{Target: listener.Addr().String()}
	address, err := p.Listen(ctx)
	if err != nil {
		t.Fatal(err)
	}
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	answered := func(conn net.Conn) string {
		buffer := make([]byte, 16)
		n, err := conn.Read(buffer)
		if err != nil && err != io.EOF {
			return "reset"
		}
		return string(buffer[:n])
	}
	open := send("open")
	if got := answered(open); got != "answer" || <-arrived != "open" {
		t.Errorf("open proxy got %q, want the answer", got)
	}
	p.SetMode(standin.ProxyDropAnswers, 0)
	mute := send("mute")
	if got := <-arrived; got != "mute" {
		t.Errorf("proxy that drops answers delivered %q, want mute", got)
	}
	if got := answered(mute); got != "" {
		t.Errorf("proxy that drops answers answered %q, want nothing", got)
	}
	p.SetMode(standin.ProxyOpen, 0)
	held := send("held")
	if got := <-arrived; got != "held" {
		t.Errorf("open proxy delivered %q, want held", got)
	}
	p.SetMode(standin.ProxyDropRequests, 0)
	release <- true
	if got := answered(held); got != "answer" {
		t.Errorf("proxy that drops requests answered %q to a request delivered before, want the answer", got)
	}
	deaf := send("deaf")
	if err := deaf.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got := answered(deaf); got != "" {
		t.Errorf("proxy that drops requests answered %q, want nothing", got)
	}
	p.SetMode(standin.ProxyDelayed, 50)
	send("late").Close()
	if got := <-arrived; got != "late" {
		t.Errorf("delivered %q, want late: a delaying proxy delivers after the client has closed, and one that drops requests delivers none", got)
	}
	p.SetMode(standin.ProxyReset, 0)
	if got := answered(open); got != "reset" {
		t.Errorf("connection after a reset got %q, want a reset", got)
	}
}

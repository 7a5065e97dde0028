package platformhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/platformhttp"
	"magnoliaferry/provider"
	"magnoliaferry/standin"
)

type fixture struct {
	faults *fault.Injector
	store  *memory.Store
	client *platformhttp.Client
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	c := clock.NewFake(1000)
	faults := &fault.Injector{}
	store := memory.New(c, faults)
	server := httptest.NewServer((&standin.Platform{Clock: c, Store: store, Faults: faults}).Handler())
	client := &platformhttp.Client{Address: server.URL, Zone: "a", Clock: c}
	t.Cleanup(func() { client.Close(); server.Close() })
	return fixture{faults, store, client}
}

// Guards against a call that loses a field on the wire: the client must return what the memory plug-in returns.
func TestClientEqualsMemory(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: "w1", Address: "127.0.0.1:1", Zone: "a",
		Rack: "r", Role: provider.RoleWorker, State: provider.Leaving, Cores: 16, MemoryMB: 9, Accelerators: 2,
		Slots: 8, Connections: 64, Incarnation: 3}))
	tx := provider.NewTransaction("op", provider.Put("x", []byte{0, 255}, 0), provider.Put("y", []byte("v"), 0),
		provider.Check("z", 0))
	task := provider.NewTaskRequest(provider.TaskFields{ID: "j/1", Job: "j", Instance: "w1", Cores: 2,
		Lease: 5000, Command: []string{"run", "it"}})
	for _, err := range []error{
		f.client.Table().Commit(ctx, tx),
		f.client.Objects().Put(ctx, "config/d", []byte("body")),
		f.client.Tasks().Start(ctx, task),
		f.client.Tasks().Throttle(ctx, "j/1", 40),
		f.client.Tasks().Checkpoint(ctx, "j/1"),
		f.client.Tasks().Stop(ctx, "j/1"),
		f.client.Maintenance().Drain(ctx, "w1"),
	} {
		if err != nil {
			t.Errorf("write got %v, want nil", err)
		}
	}
	direct := f.store.View("a")
	reads := map[string]func(provider.Platform) (any, error){
		"Read":   func(p provider.Platform) (any, error) { return p.Table().Read(ctx, "y", "x", "none") },
		"Scan":   func(p provider.Platform) (any, error) { return p.Table().Scan(ctx, "", "x", 5) },
		"Get":    func(p provider.Platform) (any, error) { return p.Objects().Get(ctx, "config/d") },
		"List":   func(p provider.Platform) (any, error) { return p.Instances().List(ctx, "a") },
		"Usage":  func(p provider.Platform) (any, error) { return p.Tasks().Usage(ctx, "w1") },
		"Status": func(p provider.Platform) (any, error) { return p.Maintenance().Status(ctx, "w1") },
	}
	for name, read := range reads {
		got, err := read(f.client)
		want, wantErr := read(direct)
		if err != nil || wantErr != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s got %v (%v), want %v (%v)", name, got, err, want, wantErr)
		}
	}
}

// Guards against a row that is served from the client's cache although it has changed, also if a table that lost rows
// assigns the same version to another value; and against values and lists
// of instances that are transferred again although they have not changed.
func TestRowsAreNotSentAgain(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	large := strings.Repeat("v", 10_000)
	write := func(store *memory.Store, operation, value string) {
		if err := store.View("").Table().Commit(ctx, provider.NewTransaction(operation,
			provider.Put("x", []byte(value), provider.AnyVersion))); err != nil {
			t.Fatal(err)
		}
	}
	write(f.store, "one", large)
	server := &standin.Platform{Clock: f.client.Clock, Store: f.store, Faults: f.faults}
	var sent atomic.Int64
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, r)
		sent.Add(int64(recorder.Body.Len()))
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer proxy.Close()
	client := &platformhttp.Client{Address: proxy.URL, Clock: f.client.Clock}
	defer client.Close()
	read := func(want string) {
		t.Helper()
		rows, err := client.Table().Read(ctx, "none", "x")
		if err != nil || string(rows[1].Value()) != want {
			t.Errorf("Read got %d rows (%v), want a value of %d bytes", len(rows), err, len(want))
		}
	}
	read(large)
	sent.Store(0)
	read(large)
	if got, want := sent.Load(), int64(200); got > want {
		t.Errorf("answer to the second read got %d bytes, want at most %d", got, want)
	}
	write(f.store, "two", "small")
	read("small")
	for n := range 3 {
		f.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: "w1", Zone: "a", Cores: n / 2}))
		sent.Store(0)
		list, err := client.Instances().List(ctx, "a")
		if err != nil || len(list) != 1 || list[0].Cores() != n/2 || (sent.Load() < 50) != (n == 1) {
			t.Errorf("list %d got %v (error %v) in an answer of %d bytes, want the full list in all but the second answer", n, list, err, sent.Load())
		}
	}
	lost := memory.New(f.client.Clock, f.faults)
	write(lost, "other", "old")
	write(lost, "other", "old")
	server = &standin.Platform{Clock: f.client.Clock, Store: lost, Faults: f.faults}
	read("old")
}

// Guards against wrong error types: a call that may have had an effect must not be reported as unavailable, nor the other way round.
func TestFailuresAreClassified(t *testing.T) {
	ctx := context.Background()
	commit := func(c *platformhttp.Client) error {
		return c.Table().Commit(ctx, provider.NewTransaction("op", provider.Put("x", nil, 0)))
	}
	read := func(c *platformhttp.Client) error { _, err := c.Table().Read(ctx, "x"); return err }
	scan := func(c *platformhttp.Client) error { _, err := c.Table().Scan(ctx, "", "", 1); return err }
	get := func(c *platformhttp.Client) error { _, err := c.Objects().Get(ctx, "none"); return err }
	put := func(c *platformhttp.Client) error { return c.Objects().Put(ctx, "n", nil) }
	tests := []struct {
		name    string
		step    string
		kind    fault.Kind
		call    func(*platformhttp.Client) error
		want    *errorx.Type
		applied bool
	}{
		{"commit down", memory.StepCommit, fault.Down, commit, provider.ErrUnavailable, false},
		{"commit request lost", memory.StepCommit, fault.LoseRequest, commit, provider.ErrUnknownOutcome, false},
		{"commit answer lost", memory.StepCommit, fault.LoseAnswer, commit, provider.ErrUnknownOutcome, true},
		{"put answer lost", memory.StepObjectPut, fault.LoseAnswer, put, provider.ErrUnknownOutcome, false},
		{"read answer lost", memory.StepRead, fault.LoseAnswer, read, provider.ErrUnavailable, false},
		{"scan request lost", memory.StepScan, fault.LoseRequest, scan, provider.ErrUnavailable, false},
		{"get without object", memory.StepList, fault.Down, get, provider.ErrNotFound, false}, // the fault does not affect Get
		{"zone cut off", "zone:a", fault.Down, commit, provider.ErrUnavailable, false},
	}
	for _, test := range tests {
		f := newFixture(t)
		f.faults.Always(test.step, test.kind, 0)
		if err := test.call(f.client); !errorx.IsOfType(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
		f.faults.ClearAll()
		rows, err := f.store.View("").Table().Read(ctx, "x")
		if err != nil || (rows[0].Version() > 0) != test.applied {
			t.Errorf("%s: rows after the call got %v (error %v), want the write applied: %v", test.name, rows, err, test.applied)
		}
	}
}

// Guards against "unknown outcome" for a call that got no connection.
func TestRefusedConnection(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := &platformhttp.Client{Address: server.URL, Clock: clock.NewFake(0)}
	err := client.Table().Commit(context.Background(), provider.NewTransaction("op", provider.Put("x", nil, 0)))
	if !errorx.IsOfType(err, provider.ErrUnavailable) {
		t.Errorf("Commit got %v, want unavailable", err)
	}
}

// Guards against timeouts that are reported alike whether or not the call was written: the first call was written, the second one
// was still waiting for the only connection.
func TestTimeouts(t *testing.T) {
	arrived := make(chan struct{})
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	defer server.Close()
	defer close(release)
	c := clock.NewFake(0)
	client := &platformhttp.Client{Address: server.URL, Clock: c, Connections: 1, Timeout: 500}
	errs := [2]chan error{make(chan error, 1), make(chan error, 1)}
	commit := func(i int) {
		errs[i] <- client.Table().Commit(context.Background(),
			provider.NewTransaction("op", provider.Put("x", nil, 0)))
	}
	go commit(0)
	<-arrived
	go commit(1)
	for c.PendingTimers() < 2 {
		runtime.Gosched()
	}
	c.Advance(500)
	if err := <-errs[0]; !errorx.IsOfType(err, provider.ErrUnknownOutcome) {
		t.Errorf("written call got %v, want unknown outcome", err)
	}
	if err := <-errs[1]; !errorx.IsOfType(err, provider.ErrUnavailable) {
		t.Errorf("waiting call got %v, want unavailable", err)
	}
}

// Guards against a client that opens one connection per concurrent call, without a limit.
func TestConnectionsAreBounded(t *testing.T) {
	var open, most atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now := open.Add(1)
		defer open.Add(-1)
		for m := most.Load(); now > m && !most.CompareAndSwap(m, now); m = most.Load() {
		}
		for range 5000 { // lets the other calls overlap if nothing limits them
			runtime.Gosched()
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	client := &platformhttp.Client{Address: server.URL, Clock: clock.NewFake(0), Connections: 2}
	defer client.Close()
	var calls sync.WaitGroup
	for range 16 {
		calls.Go(func() { _, _ = client.Instances().List(context.Background(), "") })
	}
	calls.Wait()
	if got, want := most.Load(), int64(2); got > want {
		t.Errorf("concurrent calls got %d, want at most %d", got, want)
	}
}

// Guards against an answer that exhausts memory, and against invalid answers that are taken for success.
func TestBadAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"too long":      `{"text":"` + strings.Repeat("x", 2000) + `"}`,
		"cut short":     `{"rows":[`,
		"missing row":   `{"rows":[]}`,
		"other row":     `{"rows":[{"key":"y","version":1}]}`,
		"unknown error": `{"error":"surprise"}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer))
		}))
		client := &platformhttp.Client{Address: server.URL, Clock: clock.NewFake(0), MaxAnswer: 1000}
		if _, err := client.Table().Read(context.Background(), "x"); !errorx.IsOfType(err, provider.ErrUnavailable) {
			t.Errorf("%s: Read got %v, want unavailable", name, err)
		}
		if name == "too long" {
			err := client.Table().Commit(context.Background(), provider.NewTransaction("op"))
			if !errorx.IsOfType(err, provider.ErrUnknownOutcome) {
				t.Errorf("%s: Commit got %v, want unknown outcome", name, err)
			}
		}
		client.Close()
		server.Close()
	}
}

// Guards against a burst of calls when the platform recovers, and against failures of one service that block calls to another.
func TestBackoff(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.client.Random = func() float64 { return 0.5 }
	f.faults.Always(memory.StepRead, fault.Down, 0)
	for range 10 {
		_, _ = f.client.Table().Read(ctx, "x") // the calls fail on purpose
	}
	if got, want := f.faults.Hits(memory.StepRead), 3; got != want {
		t.Errorf("reads that reached the platform during the outage got %d, want %d", got, want)
	}
	if _, err := f.client.Instances().List(ctx, ""); err != nil {
		t.Errorf("List while the table is down got %v, want nil", err)
	}
	f.faults.ClearAll()
	f.client.Clock.Advance(75)
	if _, err := f.client.Table().Read(ctx, "x"); err != nil {
		t.Errorf("Read after the pause got %v, want nil", err)
	}
	c := clock.NewFake(0)
	b := &platformhttp.Backoff{Clock: c, First: 100, Limit: 300, Random: func() float64 { return 0 }}
	for _, want := range []clock.Millis{50, 100, 150, 150} {
		if b.Failed(); b.Remaining() != want {
			t.Errorf("pause got %d, want %d", b.Remaining(), want)
		}
	}
	if b.Succeeded(); b.Remaining() != 0 {
		t.Errorf("pause after a success got %d, want 0", b.Remaining())
	}
}

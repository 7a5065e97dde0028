package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// headerIdentity takes the operator from a request header instead of a client certificate.
type headerIdentity struct{}

func (headerIdentity) Identify(r *http.Request) (string, bool) {
	name := r.Header.Get("Test-Operator")
	return name, name != ""
}

// operatorTransport adds the header with the name of the operator to each request.
type operatorTransport string

func (o operatorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Test-Operator", string(o))
	return http.DefaultTransport.RoundTrip(r)
}

// testBed is an operator API server on an in-memory platform.
type testBed struct {
	faults *fault.Injector
	memory *memory.Store
	server *Server
	url    string
}

func newTestBed(t *testing.T) *testBed {
	t.Helper()
	b := &testBed{faults: &fault.Injector{}}
	c := clock.NewFake(0)
	b.memory = memory.New(c, b.faults)
	b.server = b.newServer(c)
	web := httptest.NewServer(b.server.Handler())
	t.Cleanup(web.Close)
	b.url = web.URL
	return b
}

// newServer returns another entry instance's server on the same platform.
func (b *testBed) newServer(c *clock.Clock) *Server {
	view := b.memory.View("a")
	return &Server{Clock: c, Store: &Store{Clock: c, Table: view.Table(), Objects: view.Objects()},
		Identity: headerIdentity{}}
}

func (b *testBed) client(operator string) *Client {
	return &Client{Address: b.url, HTTP: &http.Client{Transport: operatorTransport(operator)}}
}

// body returns the encoded example configuration after change, if any, has modified it.
func body(t *testing.T, change func(f *config.Fields)) []byte {
	t.Helper()
	encoded, err := os.ReadFile("../examples/lone-star/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	c, faults := config.Decode("fleet.json", encoded)
	if faults.Len() > 0 {
		t.Fatal(faults)
	}
	f := c.Fields()
	f.Pools = append([]config.PoolFields(nil), f.Pools...)
	if change != nil {
		change(&f)
	}
	return config.Encode(config.New(f))
}

func problemOf(err error) *Problem {
	var p *Problem
	if !errors.As(err, &p) {
		return &Problem{}
	}
	return p
}

// Guards against an accepted submission that is not returned as the version in force.
func TestSubmitThenCurrent(t *testing.T) {
	b := newTestBed(t)
	ctx := context.Background()
	sent := body(t, nil)
	v, err := b.client("ada").Submit(ctx, "fleet.json", sent, 0, "")
	if err != nil || v.Number() != 1 {
		t.Fatalf("Submit got version %d, %v, want 1", v.Number(), err)
	}
	current, c, err := b.client("bo").Current(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(config.Encode(c)), string(sent); got != want {
		t.Errorf("body got %s, want %s", got, want)
	}
	if got, want := current.Operator(), "ada"; got != want {
		t.Errorf("operator got %q, want %q", got, want)
	}
	if got, want := current.Digest(), v.Digest(); got != want {
		t.Errorf("digest got %s, want %s", got, want)
	}
}

// Guards against a call without an identity that changes or reads anything.
func TestNoIdentity(t *testing.T) {
	b := newTestBed(t)
	_, err := b.client("").Submit(context.Background(), "fleet.json", body(t, nil), 0, "")
	p := problemOf(err)
	if got, want := p.Code(), CodeNoIdentity.Number(); got != want {
		t.Errorf("Submit got %v, want code %d", err, want)
	}
	if got, want := p.Outcome(), result.NotRun; got != want {
		t.Errorf("outcome got %q, want %q", got, want)
	}
	if reads, transactions := b.memory.Counts(); reads+transactions > 0 {
		t.Errorf("platform got %d reads and %d transactions, want none", reads, transactions)
	}
}

// fakeFleet records orders and fails with err.
type fakeFleet struct {
	calls []string
	err   error
}

// record records an order and returns f.err.
func (f *fakeFleet) record(order string) error { f.calls = append(f.calls, order); return f.err }

func (f *fakeFleet) Report(context.Context) (StatusFields, error) {
	return StatusFields{Version: 7, Pools: []PoolStatusFields{{Name: "deposit", Buffer: 2}}}, f.err
}
func (f *fakeFleet) DrainInstance(_ context.Context, operator, instance string, force bool) error {
	return f.record(fmt.Sprint("drain ", operator, " ", instance, " ", force))
}
func (f *fakeFleet) StartWave(_ context.Context, o, p string) error {
	return f.record("start " + o + " " + p)
}
func (f *fakeFleet) PauseWave(_ context.Context, o, p string) error {
	return f.record("pause " + o + " " + p)
}
func (f *fakeFleet) ResumeWave(_ context.Context, o, p string) error {
	return f.record("resume " + o + " " + p)
}
func (f *fakeFleet) StopWave(_ context.Context, o, p string) error {
	return f.record("stop " + o + " " + p)
}
func (f *fakeFleet) ListJobs(context.Context) ([]JobFields, error) {
	return []JobFields{{Name: "sweep", State: "queued"}}, f.err
}
func (f *fakeFleet) ShowJob(_ context.Context, name string) (JobFields, error) {
	return JobFields{Name: name, State: "parked", Reason: "outcome unknown"}, f.err
}
func (f *fakeFleet) CancelJob(_ context.Context, o, j string) error {
	return f.record("cancel " + o + " " + j)
}

// calls returns the calls, orders and reads, that need a Reporter, Drainer, Waves or Jobs.
func calls(c *Client) []func(ctx context.Context) error {
	var all []func(ctx context.Context) error
	all = append(all, func(ctx context.Context) error { _, err := c.Drain(ctx, "worker-1", true); return err })
	for _, action := range []string{"start", "pause", "resume", "stop"} {
		all = append(all, func(ctx context.Context) error { _, err := c.Wave(ctx, action, "deposit"); return err })
	}
	return append(all,
		func(ctx context.Context) error { _, err := c.CancelJob(ctx, "sweep"); return err },
		func(ctx context.Context) error { _, err := c.Status(ctx); return err },
		func(ctx context.Context) error { _, err := c.ListJobs(ctx); return err },
		func(ctx context.Context) error { _, err := c.ShowJob(ctx, "sweep"); return err })
}

// Guards against an order that reaches the wrong target or carries another operator's name, and against one that is
// accepted without an identity.
func TestOrders(t *testing.T) {
	b := newTestBed(t)
	fleet := &fakeFleet{}
	for _, call := range calls(b.client("ada")) {
		if got, want := problemOf(call(context.Background())).Code(), CodeNotAvailable.Number(); got != want {
			t.Errorf("call to a server without a fleet got code %d, want %d", got, want)
		}
	}
	b.server.Reporter, b.server.Drainer, b.server.Waves, b.server.Jobs = fleet, fleet, fleet, fleet
	for _, call := range calls(b.client("")) {
		if got, want := problemOf(call(context.Background())).Code(), CodeNoIdentity.Number(); got != want {
			t.Errorf("call without identity got code %d, want %d", got, want)
		}
	}
	for _, call := range calls(b.client("ada")) {
		if err := call(context.Background()); err != nil {
			t.Errorf("call got %v, want nil", err)
		}
	}
	want := []string{"drain ada worker-1 true", "start ada deposit", "pause ada deposit", "resume ada deposit",
		"stop ada deposit", "cancel ada sweep"}
	if !slices.Equal(fleet.calls, want) {
		t.Errorf("orders got %q, want %q", fleet.calls, want)
	}
	if job, err := b.client("ada").ShowJob(context.Background(), "x"); job.Reason != "outcome unknown" {
		t.Errorf("ShowJob got %v, %v, want the reason", job, err)
	}
}

// Guards against an order that is reported as not run although its outcome is unknown.
func TestErrorsOfOrders(t *testing.T) {
	tests := []struct {
		err  error
		code int
		want result.Outcome
	}{
		{errors.New("unexpected"), CodeOutcomeUnknown.Number(), result.Unknown},
		{provider.ErrUnknownOutcome.New("no answer"), CodeOutcomeUnknown.Number(), result.Unknown},
		{context.DeadlineExceeded, CodeOutcomeUnknown.Number(), result.Unknown},
		{provider.ErrUnavailable.New("down"), CodeTableUnavailable.Number(), result.NotRun},
		{provider.ErrNotFound.New("no such instance"), CodeNotFound.Number(), result.NotRun},
		{result.Refuse(CodeMalformed, "budget 3 of 3 is used", 0).WithContact("ops"), CodeMalformed.Number(), result.NotRun},
	}
	b := newTestBed(t)
	for _, test := range tests {
		b.server.Drainer = &fakeFleet{err: test.err}
		_, err := b.client("ada").Drain(context.Background(), "worker-1", false)
		if p := problemOf(err); p.Code() != test.code || p.Outcome() != test.want {
			t.Errorf("%v: got %v, want code %d and %s", test.err, err, test.code, test.want)
		}
	}
	_, err := b.client("ada").Drain(context.Background(), "worker-1", false)
	if p := problemOf(err).Fields(); p.Contact != "ops" || p.Detail != "budget 3 of 3 is used" || p.Text == "" {
		t.Errorf("refusal got %+v, want the contact, the rule and the figures", p)
	}
}

// Guards against refusals without a result code and against invalid calls that are accepted.
func TestRefusals(t *testing.T) {
	b := newTestBed(t)
	tests := []struct {
		method, path, body string
		status             int
		code               *result.Code
	}{
		{"POST", "configuration", "{}", 400, CodeMalformed},
		{"POST", "configuration?seen-version=-1", "{}", 400, CodeMalformed},
		{"POST", "configuration?seen-version=0&operation=x", "{}", 400, CodeMalformed},
		{"POST", "configuration?seen-version=0", "{}", 422, CodeInvalidConfiguration},
		{"POST", "check", "{}", 422, CodeInvalidConfiguration},
		{"POST", "check", strings.Repeat(" ", config.MaxBody+1), 413, CodeBodyTooLarge},
		{"POST", "diff", "[", 422, CodeInvalidConfiguration},
		{"GET", "configuration", "", 404, CodeNoConfiguration},
		{"POST", "configuration?seen-version=4", string(body(t, nil)), 409, CodeVersionConflict},
		{"DELETE", "configuration", "", 404, CodeNotFound},
		{"GET", "nothing", "", 404, CodeNotFound},
		{"POST", "waves/deposit/reverse", "", 501, CodeNotAvailable},
	}
	for _, test := range tests {
		request, _ := http.NewRequest(test.method, b.url+Prefix+test.path, strings.NewReader(test.body))
		response, err := b.client("ada").HTTP.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		var got ProblemFields
		err = json.NewDecoder(response.Body).Decode(&got)
		response.Body.Close()
		if err != nil || response.StatusCode != test.status || got.Code != test.code.Number() || got.Text == "" {
			t.Errorf("%s %s: got %d %+v, want %d and code %d", test.method, test.path, response.StatusCode, got,
				test.status, test.code.Number())
		}
	}
	_, err := b.client("ada").Check(context.Background(), "mine.json", []byte("{}"))
	if list := problemOf(err).Diagnostics(); list.Len() != 3 || list.All()[0].File() != "mine.json" {
		t.Errorf("diagnostics got %v, want the 3 missing fields of mine.json", list)
	}
	if _, transactions := b.memory.Counts(); transactions != 0 {
		t.Errorf("transactions got %d, want 0", transactions)
	}
}

// Guards against an unknown outcome for a call that certainly was not sent.
func TestUnreachable(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	c := &Client{Address: closed.URL, HTTP: &http.Client{}}
	_, err := c.Submit(context.Background(), "f", body(t, nil), 0, "")
	if p := problemOf(err); p.Code() != CodeUnreachable.Number() || p.Outcome() != result.NotRun {
		t.Errorf("Submit got %v, want server-unreachable and not-run", err)
	}
}

// Guards against a difference that is computed from the wrong version.
func TestDiffAgainstServer(t *testing.T) {
	b := newTestBed(t)
	ada := b.client("ada")
	if version, changes, err := ada.Diff(context.Background(), "f", body(t, nil)); version != 0 || len(changes) < 10 {
		t.Errorf("Diff without a configuration got %d, %d changes, %v, want 0 and every section", version, len(changes), err)
	}
	mustSubmit(t, ada, body(t, nil), 0)
	version, changes, err := ada.Diff(context.Background(), "f", body(t, withQueueLength(3)))
	if err != nil || version != 1 || len(changes) != 1 || changes[0].String() != "~ pool/crate queue-length: 200 -> 3" {
		t.Errorf("Diff got %d, %v, %v, want the queue length against version 1", version, changes, err)
	}
}

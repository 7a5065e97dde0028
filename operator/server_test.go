package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/result"
)

// headerIdentity stands in for a client certificate.
type headerIdentity struct{}

func (headerIdentity) Identify(r *http.Request) (string, bool) {
	name := r.Header.Get("Test-Operator")
	return name, name != ""
}

type asOperator string

func (o asOperator) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Test-Operator", string(o))
	return http.DefaultTransport.RoundTrip(r)
}

type bench struct {
	faults *fault.Driver
	memory *memory.Store
	server *Server
	url    string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{faults: &fault.Driver{}}
	c := clock.NewFake(0)
	b.memory = memory.New(c, b.faults)
	b.server = b.newServer(c)
	web := httptest.NewServer(b.server.Handler())
	t.Cleanup(web.Close)
	b.url = web.URL
	return b
}

// newServer returns another entry instance's server on the same platform.
func (b *bench) newServer(c *clock.Clock) *Server {
	view := b.memory.View("a")
	return &Server{Clock: c, Store: &Store{Clock: c, Table: view.Table(), Objects: view.Objects()},
		Identity: headerIdentity{}}
}

func (b *bench) client(operator string) *Client {
	return &Client{Address: b.url, HTTP: &http.Client{Transport: asOperator(operator)}}
}

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

// Guards against a submission that is accepted and not found afterwards.
func TestSubmitThenCurrent(t *testing.T) {
	b := newBench(t)
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
	b := newBench(t)
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

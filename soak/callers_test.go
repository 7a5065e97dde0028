package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

// Guards against a soak that misses an instance which contradicts another or reports an accepted job as unknown, and against one
// that records a violation for an instance which cannot have read the latest state yet.
func TestPollReportsContradictions(t *testing.T) {
	const long = 2 * propagationTime
	for _, test := range []struct {
		name          string
		status        int
		state         string
		final         string
		ago           clock.Millis // time since the acceptance and since the report of the final state
		cutOff        bool
		wantViolation bool
	}{
		{"running, as expected", 200, "running", "", long, false, false},
		{"the same final state", 200, "completed", "completed", long, false, false},
		{"another final state", 200, "cancelled", "completed", 0, false, true},
		{"back to running at once", 200, "running", "completed", 0, false, false},
		{"back to running later", 200, "running", "completed", long, false, true},
		{"back to running while cut off", 200, "running", "completed", long, true, false},
		{"unknown at once", 410, "", "", 0, false, false},
		{"unknown later", 410, "", "", long, false, true},
		{"unknown while cut off", 410, "", "", long, true, false},
		{"no such queue", 404, "", "", 0, false, true},
		{"unavailable", 503, "", "", long, false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			if test.status == http.StatusOK {
				_, _ = w.Write([]byte(`{"state":"` + test.state + `"}`)) // without this body poll records a violation
			}
		}))
		now := clock.System().Now()
		in := &instance{name: "entry-0", callers: strings.TrimPrefix(server.URL, "http://")}
		s := &site{client: server.Client(), options: Options{Log: &bytes.Buffer{}, state: &state{}}, instances: []*instance{in},
			operator: newOperator(Options{}, standin.NewTable(), nil)}
		s.reachableSince.Store(int64(now - 10*propagationTime))
		in.reachableSince.Store(int64(now - 10*propagationTime))
		if test.cutOff {
			in.reachableSince.Store(unreachable)
		}
		j := &followedJob{site: s, jobCounts: &jobCounts{}, id: "a", prefix: publicPrefix, random: rand.New(rand.NewPCG(1, 1)),
			acceptedAt: now - test.ago, final: test.final, finalAt: now - test.ago}
		j.poll(context.Background())
		server.Close()
		if got := len(s.options.state.violations) > 0; got != test.wantViolation {
			t.Errorf("%s: violations got %v, want some: %t", test.name, s.options.state.violations, test.wantViolation)
		}
	}
}

// Guards against a soak that does not notice a job which starts after its caller was told that it does not exist, and against one that
// records a violation for a job that ran before its caller gave it up.
func TestAbandonedJobsMustNotStart(t *testing.T) {
	const id = "00000000000000aa"
	for _, test := range []struct {
		name          string
		status        int // of the answer to the cancelling
		startedBefore bool
		wantViolation bool // if the job starts afterwards
	}{
		{"no such job", http.StatusGone, false, true},
		{"ended before", http.StatusGone, true, false},
		{"cancelled", http.StatusOK, false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(test.status) }))
		begun := 0
		s := &site{client: server.Client(), options: Options{Log: &bytes.Buffer{}, state: &state{}}, begun: func(string) int { return begun },
			instances: []*instance{{name: "entry-0", callers: strings.TrimPrefix(server.URL, "http://")}}, operator: newOperator(Options{}, standin.NewTable(), nil)}
		j := &followedJob{site: s, id: id, prefix: publicPrefix, random: rand.New(rand.NewPCG(1, 1))}
		if test.startedBefore {
			begun = 1
		}
		j.giveUp(context.Background())
		server.Close()
		begun = 1
		s.checkAbandonedJobs()
		if got := len(s.options.state.violations) > 0; got != test.wantViolation {
			t.Errorf("%s: violations got %v, want some: %t", test.name, s.options.state.violations, test.wantViolation)
		}
	}
}

// Guards against a soak that misses a job which is shown to another customer, or cancelled by one.
func TestPryReportsJobsOfOthers(t *testing.T) {
	for _, customer := range []string{noCustomer, "amber"} {
		for status, want := range map[int]bool{http.StatusOK: true, http.StatusGone: false, http.StatusServiceUnavailable: false} {
			keys := map[string]bool{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				keys[r.Header.Get("Authorization")] = true
				w.WriteHeader(status)
			}))
			s := &site{client: server.Client(), options: Options{Log: &bytes.Buffer{}, state: &state{}}, operator: newOperator(Options{}, standin.NewTable(), nil),
				instances: []*instance{{name: "entry-0", callers: strings.TrimPrefix(server.URL, "http://")}}}
			j := &followedJob{site: s, id: "a", prefix: "/north/", customer: customer, random: rand.New(rand.NewPCG(1, 1))}
			j.pry(context.Background())
			server.Close()
			if got := len(s.options.state.violations) > 0; got != want {
				t.Errorf("customer %q, status %d: violations got %v, want some: %t", customer, status, s.options.state.violations, want)
			}
			for _, own := range s.operator.valid(customer) {
				if keys["Bearer "+own.key] {
					t.Errorf("customer %q: the request of another customer has the own key %s", customer, own.key)
				}
			}
		}
	}
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/front"
	"magnoliaferry/platform"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// testInstance is an instance that applies rows of the operators' table and answers callers, with a fake clock and without
// connections.
type testInstance struct {
	t       *testing.T
	daemon  *Daemon
	callers http.Handler
	version int64 // of the newest row
}

// newTestInstance returns an instance that is ready except for a configuration.
func newTestInstance(t *testing.T) *testInstance {
	c := clock.NewFake(10000)
	d := &Daemon{clock: c, owners: map[*poolOwner]bool{}, claimers: map[string]bool{}, waves: map[int64]batch.Wave{}, stateCache: store.NewStateCache(c, nil)}
	d.table = &store.Monitor{Table: standin.NewTable(), Clock: c}
	d.stateFeed = d.follower(store.StateTable, statePeriod, feedWait, d.stateCache.Load, d.stateCache.Apply)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.stateFeed.Run(ctx) }()
	if err := d.stateFeed.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	d.settleLayout(ctx)
	cancel()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	service := &front.Service{Table: d.table, States: d.stateCache, Clock: c, Configuration: d.configuration.Load,
		Reachable: d.table.Reachable, CopyAge: d.stateFeed.Age, WallClock: c.Now}
	return &testInstance{t: t, daemon: d, callers: &platform.Front{Service: service}}
}

// encodeConfiguration returns the value of a row with a configuration that has the given queues, each with its name as its prefix.
func encodeConfiguration(t *testing.T, version int64, queues ...string) []byte {
	routes := []map[string]any{}
	for _, name := range queues {
		routes = append(routes, map[string]any{"name": name, "host": "h.example", "prefix": "/" + name + "/", "service": "p", "maxAttempts": 3})
	}
	value, err := json.Marshal(map[string]any{"version": version, "services": []map[string]any{{"name": "p"}}, "routes": routes})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// read passes rows with the given values of the configuration to the instance, as a feed or a reload does.
func (instance *testInstance) read(values ...[]byte) {
	var rows []store.Row
	for _, value := range values {
		instance.version++
		rows = append(rows, store.Row{Table: platform.TableOperator, Key: platform.KeyConfiguration, Value: value, Version: instance.version})
	}
	instance.rows(rows...)
}

// rows passes rows of the operators' table to the instance. The context has ended, so the instance claims no parts.
func (instance *testInstance) rows(rows ...store.Row) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var claimersDone sync.WaitGroup
	instance.daemon.operatorRows(ctx, &claimersDone, rows)
	claimersDone.Wait()
}

// checkAnswers checks the status of each kind of request to the queue. A request about a job that does not exist is answered with
// 410.
func (instance *testInstance) checkAnswers(when, queue string, known bool) {
	instance.t.Helper()
	const body = `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":10}]}`
	for _, request := range []struct {
		method, id, body string
		want             int
	}{
		{http.MethodPost, "0000000000000001", body, http.StatusOK},
		{http.MethodGet, "0000000000000002", "", http.StatusGone},
		{http.MethodDelete, "0000000000000002", "", http.StatusGone},
		{http.MethodGet, "", "", http.StatusOK},
	} {
		want := request.want
		if !known {
			want = http.StatusNotFound
		}
		if got := instance.status(request.method, "/"+queue+"/"+request.id, request.body); got != want {
			instance.t.Errorf("%s: %s %s of queue %s got %d, want %d", when, request.method, request.id, queue, got, want)
		}
	}
}

func (instance *testInstance) status(method, path, body string) int {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = "h.example"
	recorder := httptest.NewRecorder()
	instance.callers.ServeHTTP(recorder, request)
	return recorder.Code
}

func (instance *testInstance) readiness() int {
	recorder := httptest.NewRecorder()
	instance.daemon.ready(recorder, nil)
	return recorder.Code
}

// unreadable are values that hold no configuration.
var unreadable = []string{"", "{", "[]", `"x"`, `{"version":"x"}`, `{"version":9,"routes":{}}`, `{"version":9,"routes":[{"name":7}]}`}

// Guards against an instance that answers that a queue does not exist, or that it is ready, before it has read a configuration.
func TestNoAnswerBeforeAConfiguration(t *testing.T) {
	instance := newTestInstance(t)
	check := func(when string) {
		t.Helper()
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			for _, path := range []string{"/a/0000000000000001", "/a/"} {
				if got, want := instance.status(method, path, "{}"), http.StatusServiceUnavailable; got != want {
					t.Errorf("%s: %s %s got %d, want %d", when, method, path, got, want)
				}
			}
		}
		if got, want := instance.readiness(), http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: readiness got %d, want %d", when, got, want)
		}
	}
	check("at the start")
	instance.rows()
	check("an empty table")
	instance.rows(store.Row{Key: "wave/1", Value: []byte(`{"wave":1,"machines":["m"],"durationS":9,"cap":1}`), Version: 1})
	check("a table with a wave only")
	instance.rows(store.Row{Key: platform.KeyConfiguration, Deleted: true, Version: 2})
	check("the row was deleted")
	for _, value := range unreadable {
		instance.read([]byte(value))
		check("after " + value)
	}
	instance.read(encodeConfiguration(t, 1, "a"))
	instance.checkAnswers("a configuration was read", "a", true)
	if got, want := instance.readiness(), http.StatusOK; got != want {
		t.Errorf("a configuration was read: readiness got %d, want %d", got, want)
	}
}

// Guards against a version that replaces a newer one: rows out of order, a reload of the table, or a row that is written again with
// an older version.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	newer, older := encodeConfiguration(t, 3, "a"), encodeConfiguration(t, 2, "b")
	for _, test := range []struct {
		name  string
		reads [][][]byte // values of the rows of each read
	}{
		{"rows out of order", [][][]byte{{newer, older}}},
		{"an older row later", [][][]byte{{newer}, {older}}},
		{"a reload with an older row", [][][]byte{{encodeConfiguration(t, 1, "b")}, {newer}, {encodeConfiguration(t, 1, "b")}}},
		{"older rows around the newer one", [][][]byte{{older, newer, older}, {encodeConfiguration(t, 1, "b"), older}}},
		{"an older row after an unreadable one", [][][]byte{{newer}, {[]byte("{")}, {older}}},
		{"a row without a version", [][][]byte{{newer}, {[]byte(`{"routes":[]}`)}, {[]byte("{}")}, {[]byte("null")}}},
		{"the newer one twice", [][][]byte{{newer}, {newer, older}}},
	} {
		instance := newTestInstance(t)
		for _, read := range test.reads {
			instance.read(read...)
		}
		instance.checkAnswers(test.name, "a", true)
		instance.checkAnswers(test.name, "b", false)
		if got := instance.daemon.configuration.Load().Version; got != 3 {
			t.Errorf("%s: version got %d, want 3", test.name, got)
		}
	}
}

// Guards against a queue that is still served after a newer version has removed it, and one that is not served after a version has
// added it.
func TestQueuesFollowTheConfiguration(t *testing.T) {
	instance := newTestInstance(t)
	for i, queues := range [][]string{{"a"}, {"a", "b"}, {"b"}, {}, {"a"}, {"a", "b"}} {
		instance.read(encodeConfiguration(t, int64(i+1), queues...))
		for _, queue := range []string{"a", "b"} {
			instance.checkAnswers(fmt.Sprintf("version %d with %v", i+1, queues), queue, slices.Contains(queues, queue))
		}
	}
	// Two versions in one read: the last one applies.
	instance.read(encodeConfiguration(t, 7, "b"), encodeConfiguration(t, 8, "a"))
	instance.checkAnswers("two versions at once", "a", true)
	instance.checkAnswers("two versions at once", "b", false)
}

// Guards against an instance that stops serving the configuration in force because a new one cannot be decoded or the row was
// deleted.
func TestUnreadableConfigurationChangesNothing(t *testing.T) {
	instance := newTestInstance(t)
	instance.read(encodeConfiguration(t, 1, "a"))
	for _, value := range unreadable {
		instance.read([]byte(value))
		instance.checkAnswers("after "+value, "a", true)
	}
	instance.rows(store.Row{Key: platform.KeyConfiguration, Deleted: true, Version: 100})
	instance.checkAnswers("the row was deleted", "a", true)
	instance.read(encodeConfiguration(t, 2, "b"))
	instance.checkAnswers("the next one that can be read", "a", false)
	instance.checkAnswers("the next one that can be read", "b", true)
	instance.read([]byte("{"), encodeConfiguration(t, 3, "a"))
	instance.checkAnswers("beside one that cannot be read", "a", true)
}

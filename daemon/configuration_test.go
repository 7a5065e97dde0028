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

// operated is an instance that reads rows of the operators' table and answers callers, with a fake clock and without connections.
type operated struct {
	t       *testing.T
	daemon  *Daemon
	callers http.Handler
	version int64 // of the newest row
}

// newOperated returns an instance that lacks nothing but a configuration.
func newOperated(t *testing.T) *operated {
	c := clock.NewFake(10000)
	d := &Daemon{clock: c, owners: map[*poolOwner]bool{}, electors: map[string]bool{}, waves: map[int64]batch.Wave{}, board: store.NewStateCache(c, nil)}
	d.table = &store.Monitor{Table: standin.NewTable(), Clock: c}
	d.boardFeed = d.follower(store.StateTable, boardPeriod, feedWait, d.board.Load, d.board.Apply)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.boardFeed.Run(ctx) }()
	if err := d.boardFeed.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	service := &front.Service{Table: d.table, States: d.board, Clock: c, Configuration: d.configuration.Load,
		Reachable: d.table.Reachable, CopyAge: d.boardFeed.Age, Wall: c.Now}
	return &operated{t: t, daemon: d, callers: &platform.Front{Service: service}}
}

// configured returns the value of a row with a configuration that has the given queues, each under its name as the prefix.
func configured(t *testing.T, version int64, queues ...string) []byte {
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

// read hands rows with the given values of the configuration to the instance, as a feed or a reload does. Elections are not tested here:
// the context has ended.
func (o *operated) read(values ...[]byte) {
	var rows []store.Row
	for _, value := range values {
		o.version++
		rows = append(rows, store.Row{Table: platform.TableOperator, Key: platform.KeyConfiguration, Value: value, Version: o.version})
	}
	o.rows(rows...)
}

func (o *operated) rows(rows ...store.Row) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var owning sync.WaitGroup
	o.daemon.operatorRows(ctx, &owning, rows)
	owning.Wait()
}

// answers checks the status of each kind of request to the queue. A request about a job that does not exist is answered with 410.
func (o *operated) answers(when, queue string, known bool) {
	o.t.Helper()
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
		if got := o.status(request.method, "/"+queue+"/"+request.id, request.body); got != want {
			o.t.Errorf("%s: %s %s of queue %s got %d, want %d", when, request.method, request.id, queue, got, want)
		}
	}
}

func (o *operated) status(method, path, body string) int {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = "h.example"
	recorder := httptest.NewRecorder()
	o.callers.ServeHTTP(recorder, request)
	return recorder.Code
}

func (o *operated) readiness() int {
	recorder := httptest.NewRecorder()
	o.daemon.ready(recorder, nil)
	return recorder.Code
}

// unreadable are values that hold no configuration.
var unreadable = []string{"", "{", "[]", `"x"`, `{"version":"x"}`, `{"version":9,"routes":{}}`, `{"version":9,"routes":[{"name":7}]}`}

// Guards against an instance that calls a queue unknown, or says that it is ready, before it has read a configuration: it knows none.
func TestNoAnswerBeforeAConfiguration(t *testing.T) {
	o := newOperated(t)
	check := func(when string) {
		t.Helper()
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			for _, path := range []string{"/a/0000000000000001", "/a/"} {
				if got, want := o.status(method, path, "{}"), http.StatusServiceUnavailable; got != want {
					t.Errorf("%s: %s %s got %d, want %d", when, method, path, got, want)
				}
			}
		}
		if got, want := o.readiness(), http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: readiness got %d, want %d", when, got, want)
		}
	}
	check("at the start")
	o.rows()
	check("an empty table")
	o.rows(store.Row{Key: "wave/1", Value: []byte(`{"wave":1,"machines":["m"],"durationS":9,"cap":1}`), Version: 1})
	check("a table with a wave only")
	o.rows(store.Row{Key: platform.KeyConfiguration, Deleted: true, Version: 2})
	check("the row was deleted")
	for _, value := range unreadable {
		o.read([]byte(value))
		check("after " + value)
	}
	o.read(configured(t, 1, "a"))
	o.answers("a configuration was read", "a", true)
	if got, want := o.readiness(), http.StatusOK; got != want {
		t.Errorf("a configuration was read: readiness got %d, want %d", got, want)
	}
}

// Guards against a version that replaces a newer one: rows out of order, a reload of the table, or a row that is written again with
// an older version.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	newer, older := configured(t, 3, "a"), configured(t, 2, "b")
	for _, test := range []struct {
		name  string
		reads [][][]byte // one row after the other of one read after the other
	}{
		{"rows out of order", [][][]byte{{newer, older}}},
		{"an older row later", [][][]byte{{newer}, {older}}},
		{"a reload with an older row", [][][]byte{{configured(t, 1, "b")}, {newer}, {configured(t, 1, "b")}}},
		{"older rows around the newer one", [][][]byte{{older, newer, older}, {configured(t, 1, "b"), older}}},
		{"an older row after an unreadable one", [][][]byte{{newer}, {[]byte("{")}, {older}}},
		{"a row without a version", [][][]byte{{newer}, {[]byte(`{"routes":[]}`)}, {[]byte("{}")}, {[]byte("null")}}},
		{"the newer one twice", [][][]byte{{newer}, {newer, older}}},
	} {
		o := newOperated(t)
		for _, read := range test.reads {
			o.read(read...)
		}
		o.answers(test.name, "a", true)
		o.answers(test.name, "b", false)
		if got := o.daemon.configuration.Load().Version; got != 3 {
			t.Errorf("%s: version got %d, want 3", test.name, got)
		}
	}
}

// Guards against a queue that is still served once a newer version has dropped it, and one that stays unknown once it is back or new.
func TestQueuesFollowTheConfiguration(t *testing.T) {
	o := newOperated(t)
	for i, queues := range [][]string{{"a"}, {"a", "b"}, {"b"}, {}, {"a"}, {"a", "b"}} {
		o.read(configured(t, int64(i+1), queues...))
		for _, queue := range []string{"a", "b"} {
			o.answers(fmt.Sprintf("version %d with %v", i+1, queues), queue, slices.Contains(queues, queue))
		}
	}
	// One read brings both changes: the last one counts.
	o.read(configured(t, 7, "b"), configured(t, 8, "a"))
	o.answers("two versions at once", "a", true)
	o.answers("two versions at once", "b", false)
}

// Guards against a configuration that cannot be read, or whose row is gone, and that ends the service of the one in force.
func TestUnreadableConfigurationChangesNothing(t *testing.T) {
	o := newOperated(t)
	o.read(configured(t, 1, "a"))
	for _, value := range unreadable {
		o.read([]byte(value))
		o.answers("after "+value, "a", true)
	}
	o.rows(store.Row{Key: platform.KeyConfiguration, Deleted: true, Version: 100})
	o.answers("the row was deleted", "a", true)
	o.read(configured(t, 2, "b"))
	o.answers("the next one that can be read", "a", false)
	o.answers("the next one that can be read", "b", true)
	o.read([]byte("{"), configured(t, 3, "a"))
	o.answers("beside one that cannot be read", "a", true)
}

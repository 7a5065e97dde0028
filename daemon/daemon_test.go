package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/pool"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// instantWorkers are workers whose tasks are done at once; the ends are in their next listing.
type instantWorkers struct {
	mu     sync.Mutex
	tokens map[string]int64
	ended  map[string][]pool.Ended
	starts map[string]int
}

func (w *instantWorkers) reply() pool.Reply {
	return pool.Reply{Outcome: pool.Accepted, Clock: clock.System().Now() + 1, Incarnation: 5}
}

func (w *instantWorkers) fenced(target pool.Target, token int64) bool {
	if token < w.tokens[target.ID] {
		return true
	}
	w.tokens[target.ID] = token
	return false
}

func (w *instantWorkers) Start(_ context.Context, order pool.Start) pool.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(order.Target, order.Token) {
		return pool.Reply{Outcome: pool.Fenced}
	}
	w.starts[order.Task]++
	id := order.Target.ID
	w.ended[id] = append(w.ended[id], pool.Ended{Number: int64(len(w.ended[id]) + 1), Task: order.Task, Run: order.Run, Reason: pool.EndDone})
	return w.reply()
}

func (w *instantWorkers) Stop(context.Context, pool.Stop) pool.Reply { return w.reply() }

func (w *instantWorkers) Throttle(context.Context, pool.Throttle) pool.Reply { return w.reply() }

func (w *instantWorkers) Hold(ctx context.Context, order pool.Hold) pool.Listing {
	_ = clock.System().Sleep(ctx, min(order.Wait, 20)) // a real worker waits here until a run ends; the context ends with the test
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(order.Target, order.Token) {
		return pool.Listing{Reply: pool.Reply{Outcome: pool.Fenced}}
	}
	listing := pool.Listing{Reply: w.reply()}
	for _, end := range w.ended[order.Target.ID] {
		if end.Number > order.Ack {
			listing.Ended = append(listing.Ended, end)
		}
	}
	return listing
}

func newInstantWorkers() *instantWorkers {
	return &instantWorkers{tokens: map[string]int64{}, ended: map[string][]pool.Ended{}, starts: map[string]int{}}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startInstance(t *testing.T, node string, table *standin.Table, workers pool.Workers) (address string, stop func()) {
	d := &Daemon{Table: table, Workers: workers}
	d.Settings.Node, d.Settings.Zone = node, "z"
	d.Settings.LeaseLimit, d.Settings.StopGrace, d.Settings.StateRetention = 6000, 4, 120
	d.Settings.Listen.Callers, d.Settings.Listen.Ready = freeAddress(t), freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	return d.Settings.Listen.Callers, sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("instance %s returned error %v, want none", node, err)
		}
	})
}

// awaitAnswer repeats a request until the answer, its status and body, equals want.
func awaitAnswer(t *testing.T, method, address, path, body, want string) {
	t.Helper()
	for {
		request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h.example"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			if errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			continue // the instance does not listen yet
		}
		content, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && fmt.Sprint(response.StatusCode, " ", string(content)) == want {
			return
		}
		<-clock.System().After(5)
	}
}

// newTestTable returns a table with the configuration of one pool and its two workers.
func newTestTable(t *testing.T) *standin.Table {
	table := standin.NewTable()
	put := func(name, key string, content any) {
		value, err := json.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := table.Commit(context.Background(), store.Transaction{Puts: []store.Row{{Table: name, Key: key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	put("op", "config", map[string]any{"version": 1, "services": []map[string]any{{"name": "p"}}, "routes": []map[string]any{
		{"name": "q", "host": "h.example", "prefix": "/q/", "service": "p", "maxAttempts": 3, "stretch": 1.6, "targetCompletionMs": 600}}})
	for _, id := range []string{"i-1", "i-2"} {
		put("servers", id, map[string]any{"service": "p", "address": "127.0.0.1:80", "state": "ready", "born": 5, "machine": "m-" + id,
			"capacity": map[string]int{"cpu": 4000, "memMb": 4000}})
	}
	return table
}

// Guards against a job that is lost when the instance that accepted it or the owner of its pool stops, against one that only one
// instance can return, and against tasks that run twice when the owner changes.
func TestJobsOutliveInstances(t *testing.T) {
	table := newTestTable(t)
	workers := newInstantWorkers()
	const job = `{"spec":"x","steps":[{"count":3,"cpu":500,"memMb":10},{"count":2,"cpu":500,"memMb":10,"after":[0]}]}`
	const completed = `200 {"state":"completed"}`
	first, stopFirst := startInstance(t, "a", table, workers)
	defer stopFirst()
	awaitAnswer(t, http.MethodPost, first, "/q/0000000000000001", job, "200 {}")
	awaitAnswer(t, http.MethodGet, first, "/q/0000000000000001", "", completed)
	second, stopSecond := startInstance(t, "b", table, workers)
	defer stopSecond()
	awaitAnswer(t, http.MethodGet, second, "/q/0000000000000001", "", completed)
	awaitAnswer(t, http.MethodPost, first, "/q/0000000000000002", job, "200 {}")
	stopFirst()
	awaitAnswer(t, http.MethodGet, second, "/q/0000000000000002", "", completed)
	awaitAnswer(t, http.MethodPost, second, "/q/0000000000000002", job, "200 {}")
	awaitAnswer(t, http.MethodPost, second, "/q/0000000000000003", job, "200 {}")
	awaitAnswer(t, http.MethodGet, second, "/q/0000000000000003", "", completed)
	workers.mu.Lock()
	defer workers.mu.Unlock()
	if got := len(workers.starts); got != 15 {
		t.Errorf("tasks started got %d, want 15", got)
	}
	for task, got := range workers.starts {
		if got != 1 {
			t.Errorf("starts of %s got %d, want 1", task, got)
		}
	}
}

// Guards against faults in the settings that are found only when the instance runs, and against diagnostics that do not name the
// field.
func TestSettingsFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	for _, test := range []struct{ content, want string }{
		{`{"node":"n","zone":"z","listen":{"callers":"127.0.0.1:1","ready":"127.0.0.1:2"},"store":"127.0.0.1:3","lease-limit":6000,"stop-grace-s":6.5,"state-retention-s":120,"new":1}`, ""},
		{`{"node":"n","zone":"z","listen":{"callers":"x","ready":"127.0.0.1:2"},"lease-limit":-1,"stop-grace-s":6,"state-retention-s":120}`,
			"MF1061 /store MF1062 /listen/callers MF1063 /lease-limit"},
		{`{"node":7}`, "MF1060 "},
	} {
		if err := os.WriteFile(file, []byte(test.content), 0o600); err != nil {
			t.Fatal(err)
		}
		_, faults := ReadSettings(file)
		var got []string
		for _, fault := range faults.All() {
			got = append(got, fmt.Sprintf("MF%d %s", fault.Code(), fault.Path()))
		}
		want := strings.Fields(test.want)
		for _, part := range want {
			if !strings.Contains(strings.Join(got, " "), part) {
				t.Errorf("%s: faults got %q, want %q", test.content, got, test.want)
			}
		}
		if len(want) == 0 && len(got) != 0 {
			t.Errorf("%s: faults got %q, want none", test.content, got)
		}
	}
	if got := Seconds(6.5).Millis(); got != 6500 {
		t.Errorf("6.5 s got %d ms, want 6500", got)
	}
}

// Guards against a request to cancel a job that the owner of its pool misses: it was stored while the owner could not read the
// store, and the store has dropped that part of its history, so that the owner has to reload the whole table.
func TestCancelInAGapOfTheHistory(t *testing.T) {
	table := newTestTable(t)
	var down atomic.Bool
	table.Down = down.Load
	address, stop := startInstance(t, "a", table, newInstantWorkers())
	defer stop()
	const tooLarge = `{"spec":"x","steps":[{"count":1,"cpu":99000,"memMb":10}]}`
	awaitAnswer(t, http.MethodPost, address, "/q/0000000000000001", tooLarge, "200 {}")
	awaitAnswer(t, http.MethodPost, address, "/q/0000000000000002", `{"spec":"x","steps":[{"count":1,"cpu":500}]}`, "200 {}")
	awaitAnswer(t, http.MethodGet, address, "/q/0000000000000002", "", `200 {"state":"completed"}`) // the pool has an owner
	down.Store(true)
	awaitAnswer(t, http.MethodDelete, address, "/q/0000000000000001", "", "200 {}")
	table.DropHistory()
	down.Store(false)
	for !slices.ContainsFunc(table.Rows(store.StateTable), func(row store.Row) bool {
		return row.Key == store.Key(store.KindJob, "0000000000000001") && row.Value[0] == byte(batch.Cancelled)
	}) {
		<-clock.System().After(5)
	}
}

// Guards against a weak instance that claims a pool before a strong one that owns other parts already and sees later that the pool
// has no owner.
func TestStrongInstancesClaimFirst(t *testing.T) {
	const maxApart = statePeriod + watchPeriod // between two instances that see that a part has no owner
	for _, test := range []struct {
		name             string
		parts            int
		cores, strongest float64
		least, most      clock.Millis
	}{
		{"a strong one that owns nothing", 1, 0.8, 0.8, 0, 0},
		{"a weak one beside strong ones", 1, 0.192, 0.8, maxApart + claimDelay(5, 0.8, 0.8), 1500},
		{"a strong one that owns one part", 2, 0.8, 0.8, 1, maxApart},
		{"one among equal ones", 1, 0.4, 0.4, 0, 0},
		{"the only strong one that is left", 1, 0.8, 0.4, 0, 0},
	} {
		if got := claimDelay(test.parts, test.cores, test.strongest); got < test.least || got > test.most {
			t.Errorf("%s: claim delay got %d ms, want %d to %d", test.name, got, test.least, test.most)
		}
	}
}

// slowTable advances the clock by delay on each read.
type slowTable struct {
	store.Table
	clock *clock.Clock
	delay clock.Millis
}

func (t *slowTable) Range(ctx context.Context, table, part, from string) (store.Page, error) {
	t.clock.Advance(t.delay)
	return t.Table.Range(ctx, table, part, from)
}

// Guards against claims by all instances for parts whose owners renew late only because the store is slow, and against a claim
// that is based on an outdated copy of the owner's row.
func TestClaimsWaitWhileTheStoreIsSlow(t *testing.T) {
	c := clock.NewFake(10000)
	inner := standin.NewTable()
	row := store.Row{Table: store.StateTable, Part: "p", Key: store.OwnerKey, Value: []byte(`{"node":"a"}`)}
	result, err := inner.Commit(context.Background(), store.Transaction{Puts: []store.Row{row}})
	if err != nil {
		t.Fatal(err)
	}
	table := &slowTable{inner, c, 300}
	claimer := &partClaimer{daemon: &Daemon{table: &store.Monitor{Table: table, Clock: c}, clock: c}, part: "p"}
	seen := store.OwnerEntry{Version: result.Version, FirstSeen: c.Now() - 1500}
	if claimer.confirmed(context.Background(), seen) {
		t.Error("claim after 1.5 s got allowed, want deferred: a read takes 0.3 s")
	}
	c.Advance(3 * clock.Second)
	if !claimer.confirmed(context.Background(), seen) {
		t.Error("claim after 4.5 s got deferred, want allowed")
	}
	table.delay = 5
	if !claimer.confirmed(context.Background(), seen) {
		t.Error("claim with a fast store got deferred, want allowed")
	}
	seen.Version--
	if claimer.confirmed(context.Background(), seen) {
		t.Error("claim by an outdated copy of the owner's row got allowed, want none")
	}
}

// Guards against an owner that waits for a lease although the previous owner was an earlier incarnation of the same process, as
// after a restart of all instances. Guards also against orders that are sent too soon after those of another holder, including
// one that was replaced shortly before the machines were released.
func TestFirstOrderForAMachineAfterTakeover(t *testing.T) {
	const now, seen, lease = 10000, 9800, 3000
	for _, test := range []struct {
		name    string
		owner   store.Owner
		existed bool
		want    clock.Millis
	}{
		{"no earlier owner", store.Owner{}, false, now},
		{"another owner", store.Owner{Node: "b"}, true, seen + maxRenewalAge + lease + handoverMargin},
		{"another owner that released the machines after a long ownership",
			store.Owner{Node: "b", Released: true, Held: maxRenewalAge + lease + handoverMargin}, true, now},
		{"another owner that released the machines after a short ownership",
			store.Owner{Node: "b", Released: true, Held: 300}, true, seen - 300 + maxRenewalAge + lease + handoverMargin},
		{"an owner that released the machines, its row without the time of ownership", store.Owner{Node: "b", Released: true}, true,
			seen + maxRenewalAge + lease + handoverMargin},
		{"an earlier incarnation of this process that released the machines after a short ownership",
			store.Owner{Node: "a", Released: true, Held: 300}, true, seen - 300 + maxRenewalAge + lease + handoverMargin},
		{"an earlier incarnation of this process", store.Owner{Node: "a"}, true, now},
	} {
		if got := firstOrderTime(now, store.OwnerEntry{Owner: test.owner, FirstSeen: seen}, test.existed, "a", lease); got != test.want {
			t.Errorf("%s: first order got %d, want %d", test.name, got, test.want)
		}
	}
}

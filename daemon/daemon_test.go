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
	"strings"
	"sync"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/pool"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// instantWorkers are workers that end every task as done when they are asked for their lists.
type instantWorkers struct {
	mu     sync.Mutex
	tokens map[string]int64
	ended  map[string][]pool.Ended
	starts map[string]int
}

func (w *instantWorkers) reply() pool.Reply {
	return pool.Reply{Outcome: pool.Accepted, Clock: clock.System().Now() + 1, Born: 5}
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
	w.ended[id] = append(w.ended[id], pool.Ended{Number: int64(len(w.ended[id]) + 1), Task: order.Task, Run: order.Run, How: pool.EndDone})
	return w.reply()
}

func (w *instantWorkers) Stop(context.Context, pool.Stop) pool.Reply { return w.reply() }

func (w *instantWorkers) Pace(context.Context, pool.Pace) pool.Reply { return w.reply() }

func (w *instantWorkers) Hold(ctx context.Context, order pool.Hold) pool.Listing {
	_ = clock.System().Sleep(ctx, min(order.Wait, 20)) // a worker waits for an end; the context ends the test
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

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func start(t *testing.T, node string, table *standin.Table, workers pool.Workers) (address string, stop func()) {
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
			t.Errorf("%s ended with %v", node, err)
		}
	})
}

// call repeats a request until the answer is the wanted one.
func call(t *testing.T, method, address, path, body, want string) {
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
			continue // it does not listen yet
		}
		content, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && fmt.Sprint(response.StatusCode, " ", string(content)) == want {
			return
		}
		<-clock.System().After(5)
	}
}

// Guards against a job that is lost with the instance that accepted it or with the owner of its pool, against one that is
// known to one instance only, and against tasks that run twice when the owner changes.
func TestJobsOutliveInstances(t *testing.T) {
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
		put("servers", id, map[string]any{"service": "p", "address": id, "state": "ready", "born": 5, "machine": "m-" + id,
			"capacity": map[string]int{"cpu": 4000, "memMb": 4000}})
	}
	workers := &instantWorkers{tokens: map[string]int64{}, ended: map[string][]pool.Ended{}, starts: map[string]int{}}
	const job = `{"spec":"x","steps":[{"count":3,"cpu":500,"memMb":10},{"count":2,"cpu":500,"memMb":10,"after":[0]}]}`
	const completed = `200 {"state":"completed"}`
	first, stopFirst := start(t, "a", table, workers)
	defer stopFirst()
	call(t, http.MethodPost, first, "/q/0000000000000001", job, "200 {}")
	call(t, http.MethodGet, first, "/q/0000000000000001", "", completed)
	second, stopSecond := start(t, "b", table, workers)
	defer stopSecond()
	call(t, http.MethodGet, second, "/q/0000000000000001", "", completed)
	call(t, http.MethodPost, first, "/q/0000000000000002", job, "200 {}")
	stopFirst()
	call(t, http.MethodGet, second, "/q/0000000000000002", "", completed)
	call(t, http.MethodPost, second, "/q/0000000000000002", job, "200 {}")
	call(t, http.MethodPost, second, "/q/0000000000000003", job, "200 {}")
	call(t, http.MethodGet, second, "/q/0000000000000003", "", completed)
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

// Guards against settings with faults that show only when the instance runs, and against reports that do not name the
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

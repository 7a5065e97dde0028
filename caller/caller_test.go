package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"magnoliaferry/trace"
)

// A request must reach the worker unchanged, and its complete answer must reach the caller.
func TestWholeAnswer(t *testing.T) {
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Host+" "+r.Header.Get("X-Mine")+" "+string(body))
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "answer")
	}))
	got := e.do("POST", "/svc/a%2Fb?q=1", "question", "X-Mine", "v", HeaderCaller, "alice")
	if got.err != nil || got.status != 201 || got.body != "answer" {
		t.Fatalf("got %+v, want the worker's answer", got)
	}
	want := "POST /svc/a%2Fb?q=1 " + address(e.server) + " v question"
	if seen := got.header.Get("X-Seen"); seen != want {
		t.Errorf("worker saw %q, want %q", seen, want)
	}
	if got.header.Get(HeaderResult) != "2000" || got.header.Get(HeaderOutcome) != "ran" || got.header.Get(HeaderContact) == "" {
		t.Errorf("got headers %v, want result 2000, outcome and contact", got.header)
	}
}

// The trailer of an answer and the Content-Length of an answer to HEAD must reach the caller.
func TestHeadAndTrailer(t *testing.T) {
	e := newTestEntry(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "12345")
			return
		}
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "answer")
		w.Header().Set("X-Sum", "42")
	}))
	if got := e.do("HEAD", "/svc", ""); got.status != 200 || got.header.Get("Content-Length") != "12345" {
		t.Errorf("HEAD: got status %d and header %v, want 200 and Content-Length 12345", got.status, got.header)
	}
	response, err := e.server.Client().Get(e.server.URL + "/svc")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); string(body) != "answer" || err != nil || response.Trailer.Get("X-Sum") != "42" {
		t.Errorf("got %q, %v, trailer %v, want the answer with its trailer", body, err, response.Trailer)
	}
}

// Each stage of a request must record a span in the caller's trace, and the request must be logged and counted.
func TestTraceLogAndCounters(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	tracer, err := trace.New(t.Context(), trace.Options{Exporter: "file", Target: path})
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan string, 1)
	e := newTestEntry(t, newWorker(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Traceparent") }))
	e.handler.Tracer = tracer
	var log bytes.Buffer
	e.handler.Logger = slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	const id = "0af7651916cd43dd8448eb211c80319c"
	e.do("POST", "/svc", "", HeaderCaller, "alice", HeaderRequestKey, "k", "Traceparent", "00-"+id+"-b7ad6b7169203331-01")
	waitUntil(func() bool { return e.handler.inFlight.count.Load() == 0 })
	e.server.Close() // the handler has returned and its span has ended
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := tracer.Run(ctx); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	names := ""
	for d := json.NewDecoder(file); ; {
		var span struct {
			Name        string
			SpanContext struct{ TraceID, SpanID string }
		}
		if d.Decode(&span) != nil {
			break
		}
		names += span.Name + " "
		if span.SpanContext.TraceID != id {
			t.Errorf("%s: got trace %s, want the caller's", span.Name, span.SpanContext.TraceID)
		}
		if span.Name == "dispatch" && !strings.Contains(<-seen, span.SpanContext.SpanID) {
			t.Error("the worker did not receive the span id of the dispatch in Traceparent")
		}
	}
	if want := "claim queue dispatch caller "; names != want {
		t.Errorf("got spans %q, want %q", names, want)
	}
	if !strings.Contains(log.String(), `"event":2000`) {
		t.Errorf("got log %s, want event 2000", log.String())
	}
	vars := e.handler.Vars().String()
	for _, want := range []string{`"requests": 1`, `"answers": 1`, `"in-flight": 0`, `"buffered-bytes": 0`} {
		if !strings.Contains(vars, want) {
			t.Errorf("got counters %s, want %s", vars, want)
		}
	}
}

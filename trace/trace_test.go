package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Tracing that is off must cost no allocation and hand the caller's trace on unchanged.
func TestOff(t *testing.T) {
	tracer, err := New(t.Context(), Options{})
	if tracer != nil || err != nil {
		t.Fatalf("got %v, %v, want no tracer", tracer, err)
	}
	header := http.Header{"Traceparent": {parent}}
	ctx := t.Context()
	got := testing.AllocsPerRun(100, func() {
		ctx, span := tracer.StartFromHeaders(ctx, header, StageCaller)
		span.SetText("service", "svc")
		inner, dispatch := tracer.Start(ctx, StageDispatch)
		tracer.InjectHeaders(inner, header)
		dispatch.SetNumber("status", 200)
		dispatch.Fail("")
		dispatch.End()
		span.End()
	})
	if got != 0 || header.Get("Traceparent") != parent {
		t.Errorf("got %v allocations and traceparent %q, want 0 and the caller's", got, header.Get("Traceparent"))
	}
}

// Each hop must have a span of its own in the caller's trace, linked through the traceparent header.
func TestHops(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := newTracer("entry-1", sdktrace.WithSpanProcessor(recorder))
	worker := httptest.NewServer(tracer.Handler(HopWorker, http.NotFoundHandler()))
	defer worker.Close()
	ctx, span := tracer.StartFromHeaders(t.Context(), http.Header{"Traceparent": {parent}}, StageCaller)
	ctx, dispatch := tracer.Start(ctx, StageDispatch)
	request, _ := http.NewRequestWithContext(ctx, "GET", worker.URL, nil)
	tracer.InjectHeaders(ctx, request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	worker.Close() // its span has ended
	dispatch.End()
	span.End()
	before := "b7ad6b7169203331"
	spans := recorder.Ended()
	for i, want := range []Hop{StageCaller, StageDispatch, HopWorker} {
		got := spans[len(spans)-1-i]
		if got.Name() != want.Name() || got.SpanKind() != want.kind || got.Parent().SpanID().String() != before ||
			got.SpanContext().TraceID().String() != parent[3:35] {
			t.Errorf("span %d: got %s below %s, want %s below %s in the caller's trace", i, got.Name(), got.Parent().SpanID(), want.Name(), before)
		}
		before = got.SpanContext().SpanID().String()
	}
}

// The file exporter must write one JSON object a line by the time the module has stopped.
func TestFileExporter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	tracer, err := New(t.Context(), Options{Exporter: "file", Target: path, Instance: "entry-1"})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		_, span := tracer.Start(t.Context(), StageQueue)
		span.End()
	}
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
	lines := 0
	for s := bufio.NewScanner(file); s.Scan(); lines++ {
		var got struct{ Name string }
		if err := json.Unmarshal(s.Bytes(), &got); err != nil || got.Name != "queue" {
			t.Errorf("got line %q, %v, want a span of the queue", s.Text(), err)
		}
	}
	if lines != 3 {
		t.Errorf("got %d lines, want 3", lines)
	}
}

// The OTLP exporter must post the spans to the collector by the time the module has stopped.
func TestOTLPExporter(t *testing.T) {
	posted := make(chan string, 4)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		posted <- r.URL.Path + " " + r.Header.Get("Content-Type")
	}))
	defer collector.Close()
	tracer, err := New(t.Context(), Options{Exporter: "otlp", Target: collector.URL + "/v1/traces"})
	if err != nil {
		t.Fatal(err)
	}
	_, span := tracer.Start(t.Context(), StageQueue)
	span.End()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := tracer.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := <-posted, "/v1/traces application/x-protobuf"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A misspelt exporter must be an error and not a silent lack of traces.
func TestUnknownExporter(t *testing.T) {
	if _, err := New(t.Context(), Options{Exporter: "fiel"}); err == nil {
		t.Error("want an error")
	}
}

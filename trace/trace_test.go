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

const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// A nil Tracer must allocate nothing and leave the caller's traceparent unchanged.
func TestDisabledTracing(t *testing.T) {
	tracer, err := New(t.Context(), Options{})
	if tracer != nil || err != nil {
		t.Fatalf("New without an exporter got %v, %v, want nil, nil", tracer, err)
	}
	header := http.Header{"Traceparent": {traceparent}}
	ctx := t.Context()
	got := testing.AllocsPerRun(100, func() {
		ctx, span := tracer.StartFromHeaders(ctx, header, StageCaller)
		span.SetText("service", "svc")
		dispatchContext, dispatch := tracer.Start(ctx, StageDispatch)
		tracer.InjectHeaders(dispatchContext, header)
		dispatch.SetNumber("status", 200)
		dispatch.Fail("")
		dispatch.End()
		span.End()
	})
	if got != 0 || header.Get("Traceparent") != traceparent {
		t.Errorf("got %v allocations and traceparent %q, want 0 and the unchanged header", got, header.Get("Traceparent"))
	}
}

// Each stage must have its own span in the caller's trace, linked to its parent through the traceparent header.
func TestStageSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := newTracer("entry-1", sdktrace.WithSpanProcessor(recorder))
	worker := httptest.NewServer(tracer.Handler(StageWorker, http.NotFoundHandler()))
	defer worker.Close()
	ctx, span := tracer.StartFromHeaders(t.Context(), http.Header{"Traceparent": {traceparent}}, StageCaller)
	ctx, dispatch := tracer.Start(ctx, StageDispatch)
	request, _ := http.NewRequestWithContext(ctx, "GET", worker.URL, nil)
	tracer.InjectHeaders(ctx, request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	worker.Close() // waits for the request, so that the worker's span has ended
	dispatch.End()
	span.End()
	parentSpan := "b7ad6b7169203331"
	spans := recorder.Ended()
	for i, want := range []Stage{StageCaller, StageDispatch, StageWorker} {
		got := spans[len(spans)-1-i]
		if got.Name() != want.Name() || got.SpanKind() != want.kind || got.Parent().SpanID().String() != parentSpan ||
			got.SpanContext().TraceID().String() != traceparent[3:35] {
			t.Errorf("span %d: got %s with parent %s, want %s with parent %s in the caller's trace", i, got.Name(), got.Parent().SpanID(), want.Name(), parentSpan)
		}
		parentSpan = got.SpanContext().SpanID().String()
	}
}

// The file exporter must have written one JSON object per span and line when Run returns.
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
			t.Errorf("got line %q, %v, want a span named queue", s.Text(), err)
		}
	}
	if lines != 3 {
		t.Errorf("trace file got %d lines, want 3", lines)
	}
}

// The OTLP exporter must have sent the spans to the collector when Run returns.
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
		t.Errorf("collector got request %q, want %q", got, want)
	}
}

// An unknown exporter name must be an error; otherwise a misspelt name would silently disable tracing.
func TestUnknownExporter(t *testing.T) {
	if _, err := New(t.Context(), Options{Exporter: "fiel"}); err == nil {
		t.Error("New with an unknown exporter got nil, want an error")
	}
}

package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"magnoliaferry/clock"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
)

// startWorker runs a worker on loopback until the test ends.
func startWorker(t *testing.T, w *Worker) string {
	t.Helper()
	w.ID, w.Address = "w1", "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	address, err := w.Bound(ctx)
	if err != nil {
		t.Fatalf("Bound got %v, want nil", err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run got %v, want nil", err)
		}
	})
	return "http://" + address
}

// post sends a request with a key and a fixed trace context, and returns the answer and its body.
func post(t *testing.T, client *http.Client, url, key string) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("sweep"))
	if err != nil {
		t.Fatalf("NewRequest got %v, want nil", err)
	}
	request.Header.Set(HeaderRequestKey, key)
	request.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// Guards against worker modes that have no effect, which would make tests that rely on them pass without a check.
func TestWorkerModes(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder)).Tracer("test")
	w := &Worker{Clock: clock.NewFake(0), Slots: 1, Tracer: tracer}
	url := startWorker(t, w) + "/citation/sweep"
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()

	_, body, err := post(t, client, url, "k")
	var answer WorkerAnswer
	if err != nil || json.Unmarshal(body, &answer) != nil {
		t.Fatalf("request to a healthy worker got %q, %v, want a JSON answer", body, err)
	}
	sum := sha256.Sum256([]byte("sweep"))
	if want := (WorkerAnswer{"w1", "k", hex.EncodeToString(sum[:]), 5, 1}); answer != want {
		t.Errorf("answer got %v, want %v", answer, want)
	}
	for len(recorder.Ended()) == 0 { // the span ends after the answer was sent
		runtime.Gosched()
	}
	if got := recorder.Ended()[0].Parent().SpanID().String(); got != "b7ad6b7169203331" {
		t.Errorf("parent span got %s, want that of the request", got)
	}

	w.SetLeaving(true)
	w.SetMode(FailAll)
	response, _, err := post(t, client, url, "k")
	if err != nil || response.StatusCode != 500 || response.Header.Get(HeaderWorkerState) != "leaving" {
		t.Errorf("request to a leaving worker that fails everything got %v, %v, want status 500 and the state leaving", response, err)
	}
	w.SetMode(Truncate)
	if _, _, err = post(t, client, url+"?answer-bytes=100000", "k"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated got %v, want unexpected EOF", err)
	}
	if got, want := w.Runs("", "k"), 3; got != want {
		t.Errorf("runs got %d, want %d", got, want)
	}
}

// Guards against a worker that runs more requests than it has slots, and against a drain that ends while a request runs.
func TestSlotsAndDrain(t *testing.T) {
	c := clock.NewFake(0)
	store := memory.New(c, nil)
	store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: "w1"}))
	p := &Platform{Clock: c, Store: store}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	w := &Worker{Clock: c, Slots: 1, ServiceTime: 100, Platform: server.Listener.Addr().String()}
	w.SetMode(Slow)
	url := startWorker(t, w) + "/x"
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	first := make(chan error, 1)
	go func() { _, _, err := post(t, client, url, "a"); first <- err }()
	for w.InFlight(context.Background()) == 0 || c.PendingTimers() == 0 {
		runtime.Gosched()
	}
	response, _, err := post(t, client, url, "b")
	if err != nil || response.StatusCode != 503 || response.Header.Get(HeaderNotRun) != "true" || w.Runs("", "b") != 0 {
		t.Errorf("second request got %v, %v, want a refusal that is not run", response, err)
	}
	postJSON(t, server.URL+"/v1/maintenance/drain", `{"id":"w1"}`)
	if got := postJSON(t, server.URL+"/v1/maintenance/status", `{"id":"w1"}`); !strings.Contains(got, "draining") {
		t.Errorf("status with a request in flight got %s, want draining", got)
	}
	c.Advance(999)
	if got, want := c.PendingTimers(), 1; got != want {
		t.Errorf("requests that still run after 999 ms got %d, want %d", got, want)
	}
	c.Advance(1)
	if err := <-first; err != nil {
		t.Errorf("slow request got %v, want nil", err)
	}
	for w.InFlight(context.Background()) > 0 {
		runtime.Gosched()
	}
	if got := postJSON(t, server.URL+"/v1/maintenance/status", `{"id":"w1"}`); !strings.Contains(got, "drained") {
		t.Errorf("status after the request has ended got %s, want drained", got)
	}
}

// postJSON posts a JSON body, fails the test unless the status is 200, and returns the body of the answer.
func postJSON(t *testing.T, url, body string) string {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatalf("POST to %s got %v, want an answer", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	if response.StatusCode != 200 {
		t.Errorf("POST to %s got status %d, want 200: %s", url, response.StatusCode, content)
	}
	return string(content)
}

// Guards against a silent connection that still answers, and against new connections that are silent too.
func TestSilence(t *testing.T) {
	w := &Worker{Clock: clock.NewFake(0), Slots: 4}
	url := startWorker(t, w) + "/x"
	old, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	defer old.CloseIdleConnections()
	defer fresh.CloseIdleConnections()
	if _, _, err := post(t, old, url, "a"); err != nil {
		t.Fatalf("request before the silence got %v, want nil", err)
	}
	w.Silence()
	c := clock.NewFake(0)
	ctx, cancel := c.WithTimeout(context.Background(), 5000)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
	request.Header.Set(HeaderRequestKey, "b")
	done := make(chan error, 1)
	go func() { _, err := old.Do(request); done <- err }()
	if _, _, err := post(t, fresh, url, "c"); err != nil {
		t.Errorf("new connection got %v, want nil", err)
	}
	select {
	case err := <-done:
		t.Errorf("request on a silent connection ended before its deadline with %v", err)
	default:
	}
	c.Advance(5000)
	if err := <-done; !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("silent connection got %v, want the deadline", err)
	}
	if got := w.Runs("", "b"); got != 0 {
		t.Errorf("runs on the silent connection got %d, want 0", got)
	}
}

// Guards against malformed control requests that cause a panic or are not refused.
func TestBadControl(t *testing.T) {
	p := &Platform{Clock: clock.NewFake(0)}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	for path, body := range map[string]string{
		"/control/faults":    `{"step":"x","kind":"rain"}`,
		"/control/partition": `[`,
		"/v1/table/read":     `{"keys":7}`,
		"/control/instances": `{}`,
	} {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatalf("malformed POST to %s got %v, want an answer", path, err)
		}
		_ = response.Body.Close()
		if got, want := response.StatusCode, http.StatusBadRequest; got != want {
			t.Errorf("malformed POST to %s got status %d, want %d", path, got, want)
		}
	}
}

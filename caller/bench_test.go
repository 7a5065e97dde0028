package caller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"magnoliaferry/clock"
)

// plainProxy returns a minimal reverse proxy as the baseline: http.Transport and no checks.
func plainProxy(to string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", to, ""
		removeHopByHopHeaders(out.Header)
		response, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		// io.Copy would use ReadFrom of the connection, which allocates a buffer of 32 KiB and writes the header
		// separately. That would make the proxy slower and the comparison unfair.
		pooled := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(pooled)
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, response.Body, *pooled)
	})
}

// processorTime returns the processor time that this process has used, in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkRequestPath compares the handler with the plain proxy. Caller and worker run in the same process; the case
// "direct" measures their cost alone, so that it can be subtracted.
func BenchmarkRequestPath(b *testing.B) {
	payload := bytes.Repeat([]byte("x"), 1024)
	atWorker := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(payload)
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, kind := range []string{"direct", "plain", "entry"} {
			b.Run(fmt.Sprintf("%s/%s", method, kind), func(b *testing.B) {
				to := newWorker(b, atWorker)
				var url string
				switch kind {
				case "direct":
					url = "http://" + to
				case "plain":
					s := httptest.NewServer(plainProxy(to))
					defer s.Close()
					url = s.URL
				case "entry":
					e := newTestEntry(b, to)
					e.handler.Clock = clock.System()
					e.handler.Client.Clock = clock.System()
					e.handler.Router.Clock = clock.System()
					e.handler.Router.Seed = 0
					url = e.server.URL
				}
				sendRequests(b, method, url+"/svc/path", payload)
			})
		}
	}
}

// sendRequests sends b.N requests from 8 concurrent callers.
func sendRequests(b *testing.B, method, url string, payload []byte) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var left atomic.Int64
	run := func(n int) {
		left.Store(int64(n))
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for left.Add(-1) >= 0 {
					var body io.Reader
					if method == http.MethodPost {
						body = bytes.NewReader(payload)
					}
					request, _ := http.NewRequest(method, url, body)
					request.Header.Set(HeaderCaller, "alice")
					response, err := transport.RoundTrip(request)
					if err != nil {
						b.Error(err)
						return
					}
					n, _ := io.Copy(io.Discard, response.Body)
					response.Body.Close()
					if response.StatusCode != http.StatusOK || n != int64(len(payload)) {
						b.Errorf("got status %d with %d bytes, want 200 with the length of the payload", response.StatusCode, n)
						return
					}
				}
			})
		}
		callers.Wait()
	}
	run(200)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	run(b.N)
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

package caller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"magnoliaferry/worker"
)

// Whatever the workers do, a caller must get the answer to its own request, a request with the outcome not-run must not
// have run, and a non-idempotent one must not run twice (R3, R4 and R5).
func TestInvariants(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	faults := rand.New(rand.NewPCG(1, 2)) // under mu
	serve := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		fault := faults.IntN(12)
		if fault > 1 {
			runs[string(body)]++
		}
		mu.Unlock()
		id := r.Header.Get(worker.HeaderRequestID)
		switch fault {
		case 0:
			w.Header().Set(worker.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1, 2:
			hijack(w, "") // the worker is killed before (1) or during (2) the run
		case 3:
			hijack(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body))
		case 4:
			hijack(w, "HTTP/1.1 200 OK\r\nMagnoliaferry-Request-Id: other\r\nContent-Length: 5\r\n\r\nother")
		case 5: // the answer is sent twice
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", worker.HeaderRequestID, id, len(body), body)
			hijack(w, answer+answer)
		case 6:
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write(body)
		default:
			w.Header().Set(worker.HeaderRequestID, id)
			_, _ = w.Write(body)
		}
	}
	e := newTestEntry(t, newWorker(t, serve), newWorker(t, serve), newWorker(t, serve))
	outcomes := map[string]int{}
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			for i := range 80 {
				name := fmt.Sprint("request-", c, "-", i)
				method := []string{"POST", "PUT"}[i%2]
				got := e.do(method, "/svc", name, HeaderCaller, "alice", keyHeader, name)
				mu.Lock()
				n, outcome := runs[name], got.header.Get(HeaderOutcome)
				outcomes[outcome]++
				mu.Unlock()
				if got.err != nil || (got.header.Get(HeaderResult) == "2000" && got.body != name) {
					t.Errorf("%s: got %q, %v, want its own answer", name, got.body, got.err)
				}
				if (outcome == "not-run" && n != 0) || (outcome == "ran" && n == 0) || (method == "POST" && n > 1) {
					t.Errorf("%s %s: got outcome %s after %d runs", method, name, outcome, n)
				}
			}
		})
	}
	callers.Wait()
	if outcomes["ran"] == 0 || outcomes["unknown"] == 0 {
		t.Errorf("got outcomes %v, want both ran and unknown among them", outcomes)
	}
}

package caller

import (
	"io"
	"net/http"
	"testing"
)

// A request must reach the worker unchanged and the whole answer must come back.
func TestWholeAnswer(t *testing.T) {
	b := newBench(t, newWorker(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Host+" "+r.Header.Get("X-Mine")+" "+string(body))
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "answer")
	}))
	got := b.do("POST", "/svc/a%2Fb?q=1", "question", "X-Mine", "v", HeaderCaller, "alice")
	if got.err != nil || got.status != 201 || got.body != "answer" {
		t.Fatalf("got %+v, want the worker's answer", got)
	}
	want := "POST /svc/a%2Fb?q=1 " + address(b.entry) + " v question"
	if seen := got.header.Get("X-Seen"); seen != want {
		t.Errorf("worker saw %q, want %q", seen, want)
	}
	if got.header.Get(HeaderResult) != "2000" || got.header.Get(HeaderOutcome) != "ran" || got.header.Get(HeaderContact) == "" {
		t.Errorf("got headers %v, want result 2000, outcome and contact", got.header)
	}
}

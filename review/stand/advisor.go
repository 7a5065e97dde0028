package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the advisor, as a queue declares them.
const (
	adviceTime       = 20 * time.Millisecond // decideMs
	adviceWorkerTime = time.Millisecond      // perWorkerMs
	adviceValidity   = 4 * time.Second       // validityMs
	maxAdviceWorkers = 100
)

// advisor is a stand-in of the service that knows which workers a queue's policy allows.
type advisor struct {
	record  *record
	allowed func(worker string) bool

	calling sync.Mutex // it handles one call at a time

	mu      sync.Mutex
	tickets map[string]time.Time // until when a ticket is valid, by step, worker and ticket
	issued  int
	calls   int
}

func newAdvisor(r *record) *advisor { return &advisor{record: r, tickets: map[string]time.Time{}} }

// ServeHTTP implements http.Handler.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.URL.Path != "/advise" || len(body.Workers) > maxAdviceWorkers {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.calling.Lock()
	time.Sleep(adviceTime + time.Duration(len(body.Workers))*adviceWorkerTime)
	a.calling.Unlock()
	good := [][]string{}
	a.mu.Lock()
	for _, id := range body.Workers {
		if a.allowed(id) {
			a.issued++
			ticket := fmt.Sprintf("t%d", a.issued)
			a.tickets[body.Step+" "+id+" "+ticket] = time.Now().Add(adviceValidity)
			good = append(good, []string{id, ticket})
		}
	}
	a.calls++
	a.record.add("advisor: step %s, asked for %d workers, %d of them may run it", body.Step, len(body.Workers), len(good))
	a.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"good": good, "validityMs": adviceValidity.Milliseconds()})
}

// valid reports whether the ticket admits the step on the worker now.
func (a *advisor) valid(step, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+" "+worker+" "+ticket])
}

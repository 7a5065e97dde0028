package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of the advisor in milliseconds, as in the configuration.
const (
	adviceMillis          = 40
	advicePerWorkerMillis = 2
	ticketMillis          = 3000
)

// advisor allows two of three workers to run a step, by the number of the worker. It handles one call at a time for each calling machine; all
// instances of a play are on one machine.
type advisor struct {
	site *site
	mu   sync.Mutex
	seq  int
}

// allows reports whether the policy allows a step on the worker with the number.
func allows(stepName string, number int) bool { return (int(stepName[0])+number)%3 != 0 }

// ServeHTTP implements http.Handler.
func (a *advisor) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(in.Body).Decode(&request); err != nil || len(request.Workers) > 100 {
		http.Error(out, "not a request for advice", http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(in.RemoteAddr)
	a.mu.Lock()
	time.Sleep(time.Duration(adviceMillis+advicePerWorkerMillis*len(request.Workers)) * time.Millisecond)
	a.mu.Unlock()
	good := [][]string{}
	s := a.site
	s.mu.Lock()
	for _, id := range request.Workers {
		for number, w := range s.workers {
			if w.id != id || !allows(request.Step, number) {
				continue
			}
			a.seq++
			name := "t" + strconv.Itoa(a.seq)
			s.tickets[name] = ticket{step: request.Step, worker: id, born: w.born, until: s.record.now() + ticketMillis}
			good = append(good, []string{id, name})
		}
	}
	s.mu.Unlock()
	s.record.line("advisor: %s at %s asks for %d workers of %s, %d are good", host, in.RemoteAddr, len(request.Workers), request.Step, len(good))
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"good": good, "validityMs": ticketMillis}) // fails if the instance is gone
}

func (s *site) needsTicket(t taskName) bool {
	j := s.jobs[t.job]
	return j != nil && j.queue.Advised
}

func (s *site) validTicket(t taskName, w *worker, name string) bool {
	k, ok := s.tickets[name]
	return ok && k.step == t.stepName && k.worker == w.id && k.born == w.born && s.record.now() <= k.until
}

func nameOf(id string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index)
}

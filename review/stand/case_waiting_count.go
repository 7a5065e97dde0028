package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waiting-count"] = playWaitingCount }

const (
	countedAfter = 5 * time.Second         // visible_ms + 2 s
	rackDown     = 6600 * time.Millisecond // for_s of a rack that is dark in the site file
)

// playWaitingCount hands jobs in just after the workers of one of two racks have crashed, while those of the other one are full, and asks
// how many jobs wait.
func playWaitingCount(r *record, trouble bool) (string, error) {
	s, err := newSite(r, 8, route("credit", 3, false))
	if err != nil {
		return "", err
	}
	defer s.close()
	if err := s.startInstances(); err != nil {
		return "", err
	}
	// Some work before leaves the owner of the pool with open connections to the workers.
	step := map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500}
	single := map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 500}
	var before []string
	for range 6 {
		before = append(before, newID())
		if err := s.submit("credit", before[len(before)-1], "ms=500", step); err != nil {
			return "", err
		}
	}
	for _, id := range before {
		if !await(10*time.Second, func() bool { return s.doneOf(id) == 2 }) {
			return "", fmt.Errorf("job %s was not done before the disruption", id)
		}
	}
	full := newID()
	filling := map[string]any{"count": 4, "cpu": workerCPU, "memMb": 1024, "estimatedMs": 25000}
	if err := s.submit("credit", full, "ms=25000", filling); err != nil {
		return "", err
	}
	if !await(5*time.Second, func() bool { return len(s.startsOf(full)) == 4 }) {
		return "", fmt.Errorf("the job that fills one rack did not start")
	}
	busy := ""
	for _, w := range s.allWorkers() {
		if w.used() == 1 {
			busy = w.rack
		}
	}
	time.Sleep(4 * time.Second) // the instances have been in touch for stabilityWindowMs
	if trouble {
		for _, w := range s.allWorkers() {
			if w.rack == busy {
				continue
			}

			w.crash(rackDown)
		}
	}
	jobs := []string{newID(), newID(), newID(), newID(), newID(), newID()}
	accepted := map[string]time.Time{}
	failures := make(chan error, len(jobs))
	for _, id := range jobs {
		go func() { failures <- s.submit("credit", id, "ms=500", single) }()
	}
	for range jobs {
		if err := <-failures; err != nil {
			return "", err
		}
	}
	for _, id := range jobs {
		accepted[id] = time.Now()
	}
	broken := ""
	for until := time.Now().Add(9 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		asked := time.Now()
		status, content := s.call(s.instances[0], http.MethodGet, "/credit/", nil)
		var body struct {
			Waiting int `json:"waitingCount"`
		}
		if status != http.StatusOK || json.Unmarshal(content, &body) != nil {
			continue
		}
		waiting := 0
		for _, id := range jobs {
			// Jobs that begin while the count is on its way are not counted.
			if asked.Sub(accepted[id]) > countedAfter && len(s.startsOf(id)) == 0 {
				waiting++
			}
		}
		if 2*body.Waiting < waiting && broken == "" {
			broken = fmt.Sprintf("MIXED: waitingCount is %d while %d jobs that were accepted over %v before have not begun", body.Waiting, waiting, countedAfter)
			r.add("%s", broken)
		}
	}
	for _, id := range jobs {
		r.add("job %s: %d starts, state %q", id, len(s.startsOf(id)), s.state("credit", id))
	}
	return broken, nil
}

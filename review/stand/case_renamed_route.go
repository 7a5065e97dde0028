package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["renamed-route"] = playRenamedRoute }

const visibleTime = 3 * time.Second // visible_ms

// playRenamedRoute replaces the route of an accepted job by one with another name, and asks for the job at the path at which it was
// accepted.
func playRenamedRoute(r *record, trouble bool) (string, error) {
	old, other := route("credit", 3, false), route("other", 3, false)
	s, err := newSite(r, 8, old, other)
	if err != nil {
		return "", err
	}
	defer s.close()
	if err := s.startInstances(); err != nil {
		return "", err
	}
	job := newID()
	step := map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 14000}
	next := map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 14000, "after": []int{0}}
	if err := s.submit("credit", job, "ms=14000", step, next); err != nil {
		return "", err
	}
	accepted := time.Now()
	if !await(5*time.Second, func() bool { return len(s.startsOf(job)) == 2 }) {
		return "", fmt.Errorf("job %s did not start", job)
	}
	if state := s.state("credit", job); state == "" {
		return "", fmt.Errorf("the state of job %s could not be read before the disruption", job)
	}
	if trouble {
		renamed := route("credit", 3, false)
		renamed["name"] = "credit-2"
		s.configure(2, renamed, other)
	} else {
		s.configure(2, old, other)
	}
	time.Sleep(time.Until(accepted.Add(visibleTime + 2*time.Second)))
	gone, known := 0, 0
	for range 4 {
		for _, in := range s.instances {
			switch status, _ := s.call(in, http.MethodGet, "/credit/"+job, nil); status {
			case http.StatusGone:
				gone++
			case http.StatusOK:
				known++
			}
		}
		time.Sleep(2 * time.Second)
	}
	status, _ := s.call(s.instances[0], http.MethodDelete, "/credit/"+job, nil)
	time.Sleep(6 * time.Second)
	r.add("job %s: %d answers 410, %d answers 200 to GETs; then the DELETE is answered %d, and 6 s later %d of 4 tasks have started and %d are done",
		job, gone, known, status, len(s.startsOf(job)), s.doneOf(job))
	if gone > 0 {
		return fmt.Sprintf("LOST: %d of %d GETs for accepted job %s, which nobody had cancelled and which was running, were answered 410", gone, gone+known, job), nil
	}
	if known == 0 {
		return "", fmt.Errorf("no instance answered for job %s", job)
	}
	return "", nil
}

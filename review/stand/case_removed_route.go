package main

import (
	"fmt"
	"time"
)

func init() {
	cases["removed-route-advised"] = playRemovedAdvisedRoute
	cases["removed-route-failing"] = playRemovedFailingRoute
}

// playRemovedAdvisedRoute removes the route of an accepted job, whose queue has an advisor, between the job's two steps.
func playRemovedAdvisedRoute(r *record, trouble bool) (string, error) {
	s, err := newSite(r, 8, route("ledger", 3, true), route("other", 3, false))
	if err != nil {
		return "", err
	}
	defer s.close()
	s.advisor.allowed = func(string) bool { return true }
	if err := s.startInstances(); err != nil {
		return "", err
	}
	job, other := newID(), newID()
	cpu := map[string]int{job: 1000, other: 1000}
	s.needsTicket[job] = true
	err = s.submit("ledger", job, "ms=2000", map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 2000},
		map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 2000, "after": []int{0}})
	if err != nil {
		return "", err
	}
	if !await(5*time.Second, func() bool { return len(s.startsOf(job+".0.0.")) == 2 }) {
		return "", fmt.Errorf("the first step of job %s did not start", job)
	}
	if trouble {
		s.configure(2, route("other", 3, false))
	} else {
		s.configure(2, route("ledger", 3, true), route("other", 3, false))
	}
	time.Sleep(2 * time.Second)
	if err := s.submit("other", other, "ms=500", map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500}); err != nil {
		return "", err
	}
	end := time.Now()
	if !await(10*time.Second, func() bool { return s.doneOf(other) == 2 }) {
		return "", fmt.Errorf("job %s of the route that stays was not done", other)
	}
	broken := s.checkLost(job, end, cpu, func() bool { return s.doneOf(job) >= 2 && s.doneOf(job) < 4 })
	r.add("ends done of job %s: %d of 4; refused starts by reason: %v", job, s.doneOf(job), s.refusalsOf(job))
	if s.doneOf(job) < 2 {
		return "", fmt.Errorf("the first step of job %s was not done", job)
	}
	return broken, nil
}

const failingAttempts = 3

// playRemovedFailingRoute removes the route of an accepted job whose only task fails each time.
func playRemovedFailingRoute(r *record, trouble bool) (string, error) {
	s, err := newSite(r, 8, route("credit", failingAttempts, false), route("other", 3, false))
	if err != nil {
		return "", err
	}
	defer s.close()
	if err := s.startInstances(); err != nil {
		return "", err
	}
	job := newID()
	if err := s.submit("credit", job, "ms=700 fail=1", map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 700}); err != nil {
		return "", err
	}
	if !await(5*time.Second, func() bool { return len(s.startsOf(job)) == 1 }) {
		return "", fmt.Errorf("job %s did not start", job)
	}
	if trouble {
		s.configure(2, route("other", 3, false))
	} else {
		s.configure(2, route("credit", failingAttempts, false), route("other", 3, false))
	}
	time.Sleep(12 * time.Second)
	task := job + ".0.0.0"
	s.mu.Lock()
	noted := append([]taskNote(nil), s.failedAt[task]...)
	s.mu.Unlock()
	starts := s.startsOf(job)
	r.add("task %s: %d starts, %d ends failed that were taken note of, maxAttempts %d", task, len(starts), len(noted), failingAttempts)
	if len(noted) < failingAttempts {
		return "", nil
	}
	over := 0
	for _, st := range starts {
		if st.at.After(noted[failingAttempts-1].at) {
			over++
		}
	}
	if over > 0 {
		return fmt.Sprintf("BUDGET: task %s was started %d times after %d runs had ended failed and were taken note of", task, over, failingAttempts), nil
	}
	return "", nil
}

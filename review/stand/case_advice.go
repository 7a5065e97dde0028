package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["advice-crash"] = playAdviceCrash }

// Workers of the case, in the order of their ids, that the queue's policy allows.
var (
	allowedLow  = []int{4, 11}
	allowedHigh = []int{33, 34, 35, 36, 37, 38}
)

// playAdviceCrash submits a job to a queue whose policy allows eight of 40 workers. Before, two of the eight crash for good.
func playAdviceCrash(r *record, trouble bool) (string, error) {
	s, err := newSite(r, 40, route("ledger", 3, true), route("other", 3, false))
	if err != nil {
		return "", err
	}
	defer s.close()
	allowed := map[string]bool{}
	for _, i := range slices.Concat(allowedLow, allowedHigh) {
		allowed[s.workers[i].id] = true
		r.add("the policy of queue ledger allows worker %s", s.workers[i].id)
	}
	s.advisor.allowed = func(id string) bool { return allowed[id] }
	if err := s.startInstances(); err != nil {
		return "", err
	}
	first, second, other := newID(), newID(), newID()
	cpu := map[string]int{first: 1000, second: 1000, other: 1000}
	s.needsTicket[first], s.needsTicket[second] = true, true
	step := map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500}
	if err := s.submit("ledger", first, "ms=500", step); err != nil {
		return "", err
	}
	if !await(10*time.Second, func() bool { return s.doneOf(first) == 2 }) {
		return "", fmt.Errorf("the first job was not done")
	}
	if trouble {
		for _, i := range allowedLow {
			s.workers[i].crash(0) // for good
		}
	}
	time.Sleep(missedHeartbeats*heartbeat + 3*time.Second)
	if err := s.submit("ledger", second, "ms=500", step); err != nil {
		return "", err
	}
	if err := s.submit("other", other, "ms=500", step); err != nil {
		return "", err
	}
	end := time.Now()
	if !await(10*time.Second, func() bool { return s.doneOf(other) == 2 }) {
		return "", fmt.Errorf("the job of the queue without a policy was not done")
	}
	broken := s.checkLost(second, end, cpu, func() bool { return s.doneOf(second) < 2 })
	r.add("ends done of the second job: %d of 2; refused starts: %v; its state: %s", s.doneOf(second), s.refusalsOf(second), s.state("ledger", second))
	return broken, nil
}

package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["stale-upkeep"] = playStaleUpkeep }

const (
	platformDown = 4500 * time.Millisecond // of the service for machines
	workerDown   = 1 * time.Second
	lastingTasks = 3
	mayMiss      = 1
)

// playStaleUpkeep asks for the upkeep of all machines, one at a time. The service for machines answers 503 at first. Meanwhile the empty
// worker of the first machine crashes, and its successor on the machine gets tasks that last.
func playStaleUpkeep(r *record, trouble bool) (string, error) {
	s, err := newSite(r, 8, route("ledger", 3, false))
	if err != nil {
		return "", err
	}
	defer s.close()
	if err := s.startInstances(); err != nil {
		return "", err
	}
	full, lasting := newID(), newID()
	filling := map[string]any{"count": 7, "cpu": workerCPU, "memMb": 1024, "estimatedMs": 60000}
	if err := s.submit("ledger", full, "ms=60000", filling); err != nil {
		return "", err
	}
	if !await(5*time.Second, func() bool { return len(s.startsOf(full)) == 7 }) {
		return "", fmt.Errorf("the job that fills seven of eight workers did not start")
	}
	time.Sleep(4 * time.Second) // the instances have been in touch for stabilityWindowMs
	var machines []string
	for _, w := range s.allWorkers() {
		machines = append(machines, w.machine)
	}
	if trouble {
		s.platform.setDown(true)
		time.AfterFunc(platformDown, func() { s.platform.setDown(false) })
	}
	r.add("operator: wave 1 over %d machines, one at a time", len(machines))
	s.store.put(tableOperator, "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 26.0, "cap": 1})
	if trouble {
		if !await(platformDown-2*time.Second, func() bool { return s.platform.firstRefused() != "" }) {
			return "", fmt.Errorf("no upkeep was ordered while the service for machines was down")
		}
		for _, w := range s.allWorkers() {
			if w.machine == s.platform.firstRefused() {
				w.crash(workerDown)
			}
		}
	} else if !await(5*time.Second, func() bool { return len(s.platform.begun()) > 0 }) {
		return "", fmt.Errorf("no upkeep was ordered")
	}
	time.Sleep(workerDown)
	step := map[string]any{"count": lastingTasks, "cpu": 1000, "memMb": 256, "estimatedMs": 900, "longRunning": true, "mayMiss": mayMiss}
	if err := s.submit("ledger", lasting, "ms=0", step); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	ended := 0
	for _, u := range s.platform.begun() {
		tasks := slices.DeleteFunc(u.tasks, func(task string) bool { return !strings.HasPrefix(task, lasting) })
		r.add("upkeep of machine %s ended worker %s with %d tasks of job %s: %s", u.machine, u.worker, len(tasks), lasting, strings.Join(tasks, " "))
		ended = max(ended, len(tasks))
	}
	r.add("job %s: %d starts", lasting, len(s.startsOf(lasting)))
	if len(s.startsOf(lasting)) < lastingTasks || len(s.platform.begun()) == 0 {
		return "", fmt.Errorf("the tasks that last did not start, or no upkeep began")
	}
	if ended > mayMiss {
		return fmt.Sprintf("AVAIL: one upkeep ended %d tasks at work of a step with mayMiss %d", ended, mayMiss), nil
	}
	return "", nil
}

package main

import (
	"fmt"
	"time"
)

// Bounds of the rules, as the sheet of Lone Star states them.
const (
	finishTime  = 14 * time.Second // finish_s: after the end of the traffic jobs are asked for
	idleTime    = 3 * time.Second  // for which a job may have nothing running
	samplePause = 50 * time.Millisecond
	checkTime   = 8 * time.Second // for which the rule LOST is checked
)

// running returns the number of runs of a job, and the processor that all runs use by their requests.
func (s *site) running(job string, cpu map[string]int) (runs, used int) {
	for _, w := range s.allWorkers() {
		w.mu.Lock()
		for task := range w.runs {
			if jobOf(task) == job {
				runs++
			}
			used += cpu[jobOf(task)]
		}
		w.mu.Unlock()
	}
	return runs, used
}

// capacity returns the processor of the workers that are up.
func (s *site) capacity() int {
	total := 0
	for _, w := range s.allWorkers() {
		w.mu.Lock()
		if w.state == workerUp {
			total += workerCPU
		}
		w.mu.Unlock()
	}
	return total
}

// checkLost checks the rule LOST from finishTime after the end of the traffic: a job with tasks whose turn has come has something
// running within each idleTime, as long as under half of the service's capacity is in use. cpu holds what a task of each job
// requests; unfinished reports whether a task of the job has its turn.
func (s *site) checkLost(job string, trafficEnd time.Time, cpu map[string]int, unfinished func() bool) string {
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	s.record.add("%v after the end of the traffic: job %s is watched", finishTime, job)
	var idleSince time.Time
	for until := time.Now().Add(checkTime); time.Now().Before(until); time.Sleep(samplePause) {
		if !unfinished() {
			return ""
		}
		runs, used := s.running(job, cpu)
		if runs > 0 || 2*used >= s.capacity() {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > idleTime {
			return fmt.Sprintf("LOST: accepted job %s has had nothing running for over %v, %v after the end of the traffic, with %d of %d thousandths of a core in use",
				job, idleTime, time.Since(trafficEnd).Round(time.Second), used, s.capacity())
		}
	}
	return ""
}

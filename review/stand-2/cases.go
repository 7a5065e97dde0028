package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// Bounds of the rules, as on the site lsgrc-ferry.
const (
	cancelBound     = 3000 * time.Millisecond // cancel_ms
	finishBound     = 14 * time.Second        // finish_s
	stabilityWindow = 3000 * time.Millisecond // stabilityWindowMs
)

// playGangCheckpoint drains a worker on which a task of a gang with checkpoints works. Once the worker has left and all has been calm for a while, no
// run of the gang may end alone.
func playGangCheckpoint(s *site) (broken bool, err error) {
	const (
		id    = "5c0e7a21d94b36f8"
		tasks = 4
		work  = 6 * time.Second
		leave = 4 * time.Second // after the worker has reported that it drains
	)
	spec := fmt.Sprintf("%d %d 1", work.Milliseconds(), work.Milliseconds())
	st := taskStep{Count: tasks, CPU: 20000, Memory: 4000, Estimate: int(work.Milliseconds()), Checkpointing: true, Gang: true}
	if status := s.submit(s.instances[0], id, spec, st); status != http.StatusOK {
		return false, fmt.Errorf("the job was answered with %d", status)
	}
	if !await(5*time.Second, func() bool { return s.workers.begun(id) == tasks }) {
		return false, fmt.Errorf("the gang has not started")
	}
	time.Sleep(2300 * time.Millisecond)
	calm := time.Now()
	if s.trouble {
		s.workers.drain(s.workerOf(id+".0.0.2"), leave)
		calm = calm.Add(leave + stabilityWindow)
	}
	state := ""
	await(25*time.Second, func() bool {
		state = s.state(s.instances[1], id)
		return state == "completed"
	})
	s.rec.add("the job is %q", state)
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	late := 0
	for _, at := range s.workers.alone {
		if at.After(calm) {
			late++
		}
	}
	if late > 0 {
		s.rec.add("BROKEN: %d runs ended alone later than %d ms after the worker had left", late, stabilityWindow.Milliseconds())
	}
	return late > 0, nil
}

// playGangFailure hands in a gang of which two tasks run on a worker that fails all that it starts. That is one failure of the gang, which may
// fail once before its job has failed.
func playGangFailure(s *site) (broken bool, err error) {
	const (
		id    = "5c0e7a21d94b36f8"
		tasks = 4
	)
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.workers.fail(s.workers.all[0], 6500*time.Millisecond)
	}
	if status := s.submit(s.instances[0], id, "3000 3000 1", taskStep{Count: tasks, CPU: 12000, Memory: 4000, Estimate: 3000, Gang: true}); status != http.StatusOK {
		return false, fmt.Errorf("the job was answered with %d", status)
	}
	state := ""
	await(20*time.Second, func() bool {
		state = s.state(s.instances[1], id)
		return state == "completed" || state == "failed"
	})
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	s.rec.add("the job is %q; ends failed by the number of the run of the gang: %v", state, s.workers.failed)
	if state == "failed" && len(s.workers.failed) < maxAttempts {
		s.rec.add("BROKEN: the gang has failed in %d of its runs, and may fail %d times", len(s.workers.failed), maxAttempts)
		return true, nil
	}
	return false, nil
}

// workerOf returns the worker that runs a task.
func (s *site) workerOf(task string) *worker {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	for _, w := range s.workers.all {
		if w.runs[task] != nil {
			return w
		}
	}
	return nil
}

// await waits until the condition holds and returns whether it did.
func await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// playLargeJob hands in one job whose steps run several times. Small jobs that are accepted after it must run.
func playLargeJob(s *site) (broken bool, err error) {
	const (
		id       = "5c0e7a21d94b36f8"
		steps    = 5
		tasks    = 16
		many     = 8 // times that the steps run
		few      = 2
		interval = 3 * time.Second
		largeCPU = 150
		smallCPU = 2300
		small    = 5
	)
	s.workers.mu.Lock()
	s.workers.quiet = true
	s.workers.mu.Unlock()
	times := few
	if s.trouble {
		times = many
	}
	st := taskStep{Count: tasks, CPU: largeCPU, Memory: 100, Estimate: 30000, Checkpointing: true}
	if status := s.submitTimes(s.instances[0], id, "30000 30000 1", slices.Repeat([]taskStep{st}, steps), times, interval); status != http.StatusOK {
		return false, fmt.Errorf("the large job was answered with %d", status)
	}
	for range 8 {
		time.Sleep(interval)
		s.rec.add("%d tasks of the large job have begun", s.workers.begun(id))
	}
	var ids []string
	for i := range small {
		job := fmt.Sprintf("7a21d94b36f8%04x", i)
		if status := s.submit(s.instances[i%instanceCount], job, "1000 1000 1", taskStep{Count: 4, CPU: smallCPU, Memory: 500, Estimate: 1000}); status == http.StatusOK {
			ids = append(ids, job)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if len(ids) == 0 {
		return false, fmt.Errorf("no small job was accepted")
	}
	s.rec.add("end of the traffic")
	time.Sleep(finishBound)
	cpu := func(task string) int {
		if strings.HasPrefix(task, id) {
			return largeCPU
		}
		return smallCPU
	}
	stalled := map[string]bool{}
	for _, job := range ids {
		stalled[job] = true
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		used := s.workers.used(cpu)
		for _, job := range ids {
			if s.workers.begun(job) > 0 || used >= workerCount*workerCPU/2 {
				stalled[job] = false
			}
		}
	}
	s.rec.add("%d of %d thousandths of a core are in use; the store has refused %d rows", s.workers.used(cpu), workerCount*workerCPU, s.store.refusedRows())
	for _, job := range ids {
		state := s.state(s.instances[0], job)
		if stalled[job] && state != "completed" {
			s.rec.add("BROKEN: job %s was accepted, is %q, and has had nothing running for 3 s", job, state)
			broken = true
		}
	}
	return broken, nil
}

// playLateAfter410 hands in a job whose write the store does not answer and carries out late. The caller is told that the outcome is not
// known, and cancels the job. Once that is acknowledged, no task of the job may start after the bound.
func playLateAfter410(s *site) (broken bool, err error) {
	const (
		id      = "5c0e7a21d94b36f8"
		window  = 4500 * time.Millisecond
		late    = 5800 * time.Millisecond // 1 to 6 s
		handIn  = 3000 * time.Millisecond // after the begin of the window
		observe = 10 * time.Second
	)
	st := taskStep{Count: 2, CPU: 2300, Memory: 500, Estimate: 1000}
	begin := time.Now()
	if s.trouble {
		s.rec.add("the store begins to leave one write in three without an answer")
		s.store.setLate(func(keys []string) (time.Duration, bool) {
			return late, time.Since(begin) < window && slices.Contains(keys, "board job/"+id)
		})
	}
	in := s.instances[0]
	for i := range 4 {
		s.submit(s.instances[i%instanceCount], fmt.Sprintf("7a21d94b36f8%04x", i), "1000 1000 1", st)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(handIn)))
	s.submit(in, id, "1000 1000 1", st)
	status, _ := s.send(in, http.MethodDelete, id, nil)
	acknowledged := time.Now()
	if status != http.StatusGone && status/100 != 2 {
		s.rec.add("the cancelling was not acknowledged")
		return false, nil
	}
	time.Sleep(observe)
	for _, start := range s.workers.startsOf(id) {
		after := start.at.Sub(acknowledged)
		s.rec.add("task %s started %d ms after the cancelling was acknowledged with %d", start.task, after.Milliseconds(), status)
		if after > cancelBound && start.at.Sub(begin) > window+stabilityWindow {
			s.rec.add("BROKEN: that is later than %d ms, and the store has been stable for %d ms", cancelBound.Milliseconds(),
				(start.at.Sub(begin) - window).Milliseconds())
			broken = true
		}
	}
	s.state(in, id)
	return broken, nil
}

// playLostOwner removes the instance that owns the service for good, shortly after the store was down. A job that lasts and is handed in
// afterwards must run.
func playLostOwner(s *site) (broken bool, err error) {
	const (
		id     = "5c0e7a21d94b36f8"
		outage = 4500 * time.Millisecond
		calm   = 4 * time.Second // before the 3 s without a run
		noRun  = 3 * time.Second
		first  = 6 * time.Second // from the last run of a task, or from its job's acceptance
	)
	time.Sleep(3 * time.Second)
	lost := time.Now()
	if s.trouble {
		if os.Getenv("OUTAGE") != "0" {
			s.store.setDown(true)
			time.Sleep(outage)
			s.store.setDown(false)
		}
		time.Sleep(700 * time.Millisecond)
		in := s.owner()
		if in == nil {
			return false, fmt.Errorf("the service has no owner")
		}
		s.remove(in)
		lost = time.Now()
	}
	time.Sleep(time.Second)
	if !await(5*time.Second, func() bool {
		return s.submit(s.instances[0], id, "0 0 1", taskStep{Count: 4, CPU: 2700, Memory: 8800, Estimate: 700, LongRunning: true, MayMiss: 1}) == http.StatusOK
	}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	accepted := time.Now()
	await(20*time.Second, func() bool { return s.workers.begun(id) > 0 })
	s.state(s.instances[0], id)
	starts := s.workers.startsOf(id)
	bound := lost.Add(stabilityWindow + calm)
	if since := accepted.Add(first); since.After(bound) {
		bound = since
	}
	bound = bound.Add(noRun)
	if len(starts) == 0 || starts[0].at.After(bound) {
		s.rec.add("BROKEN: no task of the job ran until %d ms after its acceptance; the last 3 s and the 4 s before them were calm",
			bound.Sub(accepted).Milliseconds())
		broken = true
	}
	if len(starts) > 0 {
		s.rec.add("the first task started %d ms after the acceptance and %d ms after the loss", starts[0].at.Sub(accepted).Milliseconds(),
			starts[0].at.Sub(lost).Milliseconds())
	}
	return broken, nil
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the rules, as on the site lsgrc-ferry.
const (
	cancelBound     = 3000 * time.Millisecond // cancel_ms
	visibleBound    = 3000 * time.Millisecond // visible_ms
	finishBound     = 14 * time.Second        // finish_s
	stabilityWindow = 3000 * time.Millisecond // stabilityWindowMs
)

// playGangCheckpoint drains a worker on which a task of a gang with checkpoints works. All tasks of the next run must start from one
// checkpoint.
func playGangCheckpoint(s *site) (broken bool, err error) {
	const (
		id    = "5c0e7a21d94b36f8"
		tasks = 4
		work  = 6 * time.Second
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
	if s.trouble {
		s.workers.drain(s.workerOf(id+".0.0.2"), 8*time.Second)
	}
	await(25*time.Second, func() bool { return s.state(s.instances[1], id) == "completed" })
	values := map[int]map[string]bool{} // checkpoints by run
	for _, start := range s.workers.startsOf(id) {
		if values[start.run] == nil {
			values[start.run] = map[string]bool{}
		}
		values[start.run][start.checkpoint] = true
	}
	for number, checkpoints := range values {
		if len(checkpoints) > 1 {
			s.rec.add("BROKEN: the tasks of run %d of the gang were started with %d different checkpoints", number, len(checkpoints))
			broken = true
		}
	}
	return broken, nil
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

// playWaitingGangs hands in gangs of which one fits into the service at a time. As long as no task of a job has started, it counts as
// waiting.
func playWaitingGangs(s *site) (broken bool, err error) {
	const (
		gangs = 4
		work  = "12000 12000 1"
	)
	time.Sleep(time.Second)
	// It leaves 15 cores free on each of the eight workers.
	first := taskStep{Count: workerCount, CPU: 17000, Memory: 4000, Estimate: 12000, Gang: true}
	if status := s.submit(s.instances[0], "5c0e7a21d94b36f8", work, first); status != http.StatusOK {
		return false, fmt.Errorf("the first gang was answered with %d", status)
	}
	if !await(5*time.Second, func() bool { return s.workers.begun("5c0e7a21d94b36f8") == workerCount }) {
		return false, fmt.Errorf("the first gang has not started")
	}
	jobs := newAcceptedJobs()
	if s.trouble {
		for i := range gangs {
			id := fmt.Sprintf("7a21d94b36f8%04x", i)
			if s.submit(s.instances[i%instanceCount], id, work, taskStep{Count: 12, CPU: 14000, Memory: 4000, Estimate: 12000, Gang: true}) == http.StatusOK {
				jobs.add(id)
			}
		}
	}
	broken = s.checkWaitingCount(jobs, 8*time.Second)
	for _, id := range jobs.ids {
		s.rec.add("job %s: %d starts, state %q", id, s.workers.begun(id), s.state(s.instances[0], id))
	}
	return broken, nil
}

// playWaitingSilent hands in jobs while one worker is silent.
func playWaitingSilent(s *site) (broken bool, err error) {
	const jobCount = 12
	time.Sleep(2 * time.Second)
	if s.trouble {
		w := s.workers.all[0]
		// Holds of an idle worker come every 1.5 s. The silence begins with one, so that it is not noticed before the next one is due.
		if !await(5*time.Second, func() bool { return s.workers.heldSince(w) < 100*time.Millisecond }) {
			return false, fmt.Errorf("worker %s was not asked", w.id)
		}
		s.workers.silence(w)
		time.Sleep(500 * time.Millisecond)
	}
	jobs := newAcceptedJobs()
	var group sync.WaitGroup
	for i := range jobCount {
		id := fmt.Sprintf("7a21d94b36f8%04x", i)
		group.Go(func() {
			if s.submit(s.instances[i%instanceCount], id, "1000 1000 1", taskStep{Count: 1, CPU: 2300, Memory: 500, Estimate: 1000}) == http.StatusOK {
				jobs.add(id)
			}
		})
	}
	group.Wait()
	return s.checkWaitingCount(jobs, 9*time.Second), nil
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

// acceptedJobs are jobs with the times at which their callers were told that they are accepted.
type acceptedJobs struct {
	mu  sync.Mutex
	ids []string
	at  map[string]time.Time
}

func newAcceptedJobs() *acceptedJobs { return &acceptedJobs{at: map[string]time.Time{}} }

func (a *acceptedJobs) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids, a.at[id] = append(a.ids, id), time.Now()
}

// checkWaitingCount asks the instances in turn for the number of waiting jobs, and returns whether an answer was under half of the jobs that
// were accepted over visible_ms + 2 s before and had not begun when the answer had arrived.
func (s *site) checkWaitingCount(jobs *acceptedJobs, observe time.Duration) (broken bool) {
	for until, n := time.Now().Add(observe), 0; time.Now().Before(until); n++ {
		asked := time.Now()
		status, content := s.send(s.instances[n%instanceCount], http.MethodGet, "", nil)
		var answer struct {
			Waiting int `json:"waitingCount"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(content), &answer) != nil {
			continue
		}
		notBegun := 0
		for _, id := range jobs.ids {
			if asked.Sub(jobs.at[id]) > visibleBound+2*time.Second && s.workers.begun(id) == 0 {
				notBegun++
			}
		}
		if 2*answer.Waiting < notBegun {
			s.rec.add("BROKEN: waitingCount is %d, and %d jobs that were accepted over %d ms before have not begun", answer.Waiting, notBegun,
				(visibleBound + 2*time.Second).Milliseconds())
			broken = true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return broken
}

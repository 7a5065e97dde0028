package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

var (
	failingQueue = batch.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: testPool, MaxAttempts: 3, Stretch: 1.6, Objective: 600}
	otherQueue   = batch.Queue{Name: "other", Host: "h", Prefix: "/other/", Pool: testPool, MaxAttempts: 2, Stretch: 1.6, Objective: 600}
)

// accept adds a job of the queue. If earlier is set, it is stored as by an earlier version.
func (w *poolSim) accept(id string, queue batch.Queue, earlier bool, steps ...batch.Step) {
	job := &batch.Job{ID: id, Queue: queue.Name, Pool: testPool, Spec: "spec", Steps: steps, Accepted: w.now}
	if !earlier {
		terms := queue.Terms()
		job.Address, job.Terms = queue.Address(), &terms
	}
	w.add(job)
}

// takeOver replaces the owner by one that knows the configuration, the stored report and the stored progress of one job.
func (w *poolSim) takeOver(id string, c *batch.Configuration) {
	w.s.configuration = c
	load := w.s.Load()
	w.succeed(c, load.Terms, w.s.jobs[id].def, w.s.progress(w.s.jobs[id], &Transaction{}))
}

func configurationOf(version int64, queues ...batch.Queue) *batch.Configuration {
	return &batch.Configuration{Version: version, Queues: queues, Pools: []batch.Pool{{Name: testPool}}}
}

// Guards against a task that fails each time and is started again without end after its route was removed, and against a limit that
// changes with the name of the route: review case 4, BUDGET.
func TestAttemptsAreBoundedAfterChangesOfRoutes(t *testing.T) {
	renamed, namesake := failingQueue, otherQueue
	renamed.Name, namesake.Name = "q-2", "q"
	for _, test := range []struct {
		name    string
		queues  [][]batch.Queue // of the configurations that follow the first one
		earlier bool            // the job was stored by an earlier version
	}{
		{"unchanged", nil, false},
		{"removed", [][]batch.Queue{{otherQueue}}, false},
		{"removed, job of an earlier version", [][]batch.Queue{{otherQueue}}, true},
		{"removed with all others", [][]batch.Queue{{}}, false},
		{"renamed", [][]batch.Queue{{renamed, otherQueue}}, false},
		{"renamed, its name at another route", [][]batch.Queue{{renamed, namesake}}, false},
		{"removed and restored", [][]batch.Queue{{otherQueue}, {failingQueue, otherQueue}}, false},
		{"removed, restored and rolled back", [][]batch.Queue{{otherQueue}, {failingQueue}, {otherQueue}}, true},
	} {
		for _, takeover := range []bool{false, true} {
			w := newPoolSim(t, 3, failingQueue)
			w.configure(configurationOf(1, failingQueue, otherQueue))
			w.fails = func(string, string) bool { return true }
			w.length = func(string) clock.Millis { return 700 }
			w.accept("j", failingQueue, test.earlier, batch.Step{Count: 1, Need: cpu(1000)})
			w.run(300)
			for i, queues := range test.queues {
				w.configure(configurationOf(int64(i+2), queues...))
				w.run(200)
			}
			if takeover {
				w.takeOver("j", w.s.configuration)
			}
			w.run(12 * clock.Second)
			when := fmt.Sprintf("%s, takeover %v", test.name, takeover)
			if got, want := w.starts["j.0.0.0"], failingQueue.MaxAttempts; got != want {
				t.Errorf("%s: starts got %d, want %d", when, got, want)
			}
			if got := w.state("j"); got != batch.Failed {
				t.Errorf("%s: state got %v, want failed", when, got)
			}
		}
	}
}

// Guards against a limit of attempts that is unknown, and so never reached: an earlier version stored the job, and its queue was removed
// before this version ran.
func TestAttemptsOfUnknownQueuesAreBounded(t *testing.T) {
	w := newPoolSim(t, 3, otherQueue)
	w.configure(configurationOf(1, otherQueue))
	w.routes.add(configurationOf(0, failingQueue))
	w.fails = func(string, string) bool { return true }
	w.accept("j", failingQueue, true, batch.Step{Count: 1, Need: cpu(1000)})
	w.run(12 * clock.Second)
	if got, want := w.starts["j.0.0.0"], unknownMaxAttempts; got != want {
		t.Errorf("starts got %d, want %d", got, want)
	}
}

// Guards against another start of a task that has failed as often as its queue allows, when that becomes known only with the stored
// progress of an earlier version, or with a lower limit.
func TestExhaustedTaskIsNotStartedAgain(t *testing.T) {
	w := newPoolSim(t, 2, failingQueue)
	w.configure(configurationOf(1, failingQueue))
	w.accept("j", failingQueue, true, batch.Step{Count: 1, Need: cpu(1000)}, batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	stored := &batch.Progress{State: batch.Running, Runs: []batch.Run{{Number: 7, Failures: 7}}}
	w.replaceOwner(w.s.jobs["j"].def, stored)
	w.run(2 * clock.Second)
	if got := w.state("j"); got != batch.Failed || w.starts["j.0.0.0"] != 0 {
		t.Errorf("state of the job with 7 stored failures got %v after %d starts, want failed without one", got, w.starts["j.0.0.0"])
	}
	w.fails = func(string, string) bool { return true }
	w.accept("k", failingQueue, false, batch.Step{Count: 1, Need: cpu(1000)})
	for w.s.jobs["k"].occurrences[0].steps[0].tasks[0].failures < 2 {
		w.run(10)
	}
	lower := failingQueue
	lower.MaxAttempts = 2
	before := w.starts["k.0.0.0"]
	w.configure(configurationOf(2, lower))
	w.run(3 * clock.Second)
	if got := w.state("k"); got != batch.Failed || w.starts["k.0.0.0"] > before {
		t.Errorf("state of the job with a lower limit got %v after %d more starts, want failed without one", got, w.starts["k.0.0.0"]-before)
	}
}

// Guards against an accepted job that never runs on after the route of its queue, which has an advisor, was removed or renamed: its starts
// had no ticket: review case 1, LOST.
func TestTicketsAreKeptUpAfterChangesOfRoutes(t *testing.T) {
	advised := failingQueue
	advised.Advised = true
	renamed := advised
	renamed.Name = "q-2"
	for _, test := range []struct {
		name    string
		queues  []batch.Queue // of the second configuration
		earlier bool          // the job was stored by an earlier version
		late    bool          // only the second configuration is known to this version
	}{
		{"removed", []batch.Queue{otherQueue}, false, false},
		{"renamed", []batch.Queue{renamed}, false, false},
		{"removed, job of an earlier version", []batch.Queue{otherQueue}, true, false},
		{"removed before this version ran", []batch.Queue{otherQueue}, true, true},
	} {
		for _, takeover := range []bool{false, true} {
			w := newAdvisedSim(t, 8, func(worker string) bool { return worker == "a03" })
			if !test.late {
				w.configure(configurationOf(1, advised, otherQueue))
			}
			second := configurationOf(2, test.queues...)
			if test.late {
				w.configure(second)
			}
			w.accept("j", advised, test.earlier, batch.Step{Count: 2, Need: cpu(1000)}, batch.Step{Count: 2, Need: cpu(1000), After: []int{0}})
			w.run(500)
			w.configure(second)
			if takeover {
				w.takeOver("j", second)
			}
			w.run(10 * clock.Second)
			if got := w.state("j"); got != batch.Completed {
				t.Errorf("%s, takeover %v: state got %v, want completed", test.name, takeover, got)
			}
		}
	}
}

// Guards against a job that goes behind all others, as one without any value, because its route was removed.
func TestJobsKeepTheirPlaceAfterTheQueueIsRemoved(t *testing.T) {
	w := newPoolSim(t, 1, failingQueue)
	w.configure(configurationOf(1, failingQueue, otherQueue))
	step := batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000}
	w.accept("first", otherQueue, false, step)
	w.run(300)
	w.accept("removed", failingQueue, false, step)
	larger := step
	larger.Count = 3
	w.accept("larger", otherQueue, false, larger)
	w.configure(configurationOf(2, otherQueue))
	w.run(2100)
	if got := w.state("removed"); got != batch.Completed {
		t.Errorf("state of the smaller job got %v, want completed before the larger one", got)
	}
}

package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

type runState int

const (
	planned   runState = iota // its place is not stored yet
	starting                  // the order is out
	uncertain                 // the order got no answer
	running                   // the worker said that it runs
)

// run is one start of a task on a worker. Its resources stay reserved until it is certain that it does not run.
type run struct {
	task               *task
	worker             *worker
	number             int
	state              runState
	resumed            bool         // it resumed from a checkpoint, so that it did only a part of the work
	inTransaction      bool         // part of the transaction in flight, or stored
	token              int64        // highest fencing token of its orders
	sent               clock.Millis // when the newest start was sent
	answered           clock.Millis // when the newest start was answered or given up
	stopping           bool
	stopSent           clock.Millis
	percent            int
	reportedAt         clock.Millis // when the worker last told the percent
	measurement        int
	progressedAt       clock.Millis // when percent last changed
	throttle           int          // percent of the processor time it may use
	incarnation        int64        // life of the worker for which it was planned
	runningIncarnation int64        // life of the worker that said that it runs; 0: none yet
	listedClock        clock.Millis // newest time on the clock of that worker at which it had the run; lists from before it do not show that the run has gone
}

type task struct {
	step       *step
	key        batch.TaskKey
	name       string
	number     int // of the newest run
	failures   int
	done       bool
	run        *run
	checkpoint string
	retryAt    clock.Millis
	avoid      *worker // where the last run failed or made no progress
	avoidUntil clock.Millis
	restarts   int // ends of a long-running task in a row, without having been at work
}

// avoidWorker keeps the task from a worker for a while.
func (t *task) avoidWorker(w *worker, now clock.Millis) {
	t.avoid, t.avoidUntil = w, now+taskAvoidTime
}

// predecessorStopTime is how long a stop of an earlier owner may still be under way after the worker has seen our token. Workers end a run
// within 400 ms of a stop on the users' sites.
const predecessorStopTime = 600 * clock.Millis(1)

// isReady reports whether a long-running task does its work, as far as its worker has said lately. A run that an earlier owner
// started may be about to stop by its order.
func (t *task) isReady(now clock.Millis) bool {
	r := t.run
	return r != nil && r.state == running && !r.stopping && r.percent >= 100 && now-r.worker.lastAnswer <= maxReportAge &&
		(r.sent != 0 || r.worker.lastAnswer-r.worker.firstAnswer >= predecessorStopTime)
}

type step struct {
	job             *job
	def             *batch.Step
	tasks           []*task
	done            int
	totalRunTime    clock.Millis // run times of the tasks that were timed
	timedTasks      int
	advice          *Advice // newest tickets
	advisedAt       clock.Millis
	adviceRequested bool
}

func (st *step) complete() bool { return st.done == len(st.tasks) }

type occurrence struct {
	number int
	steps  []*step
	done   bool
}

type job struct {
	def          *batch.Job
	state        batch.State
	acceptedAt   clock.Millis // when it was accepted, on our clock
	occurrences  map[int]*occurrence
	finished     int // occurrences that are done
	dirty        bool
	hasNewStarts bool // a start waits for the next transaction
	cancelled    bool
	waiting      int // tasks without a run whose step may run
	ranked       rank
	rankedAt     clock.Millis
}

type worker struct {
	entry               batch.Worker
	listed              bool // in the platform's store
	incarnation         int64
	token               int64
	needToken           bool         // waits for a token above every one it may have seen
	confirmed           bool         // this life has answered with this token
	firstAnswer         clock.Millis // when this life first answered; 0: not yet
	listClock           clock.Millis // of the newest lists, on the worker's clock
	clock               clock.Millis
	clockAt             clock.Millis // our time when clock was received; 0 when unknown
	leaseUntil          clock.Millis // latest end of the lease on our clock
	lastEnd             int64        // newest end taken in
	ack                 int64        // newest end that is stored
	acked               int64        // newest end that this life is known to have forgotten
	runs                map[string]*run
	used                batch.Resources
	strays              map[string]batch.Resources // listed runs that nobody here ordered
	holdID              int64                      // ID of the hold whose answer is awaited; 0: none
	holdDue             clock.Millis               // when it should be answered at the latest
	urgentHoldID        int64                      // ID of the urgent hold whose answer is awaited; 0: none
	urgentHoldDue       clock.Millis
	nextUrgentHold      clock.Millis
	lastUnanswered      clock.Millis // when the newest hold that got no answer at all was sent
	lastLateAnswer      clock.Millis // when it last answered after the soft timeout
	addressKnownAt      clock.Millis // since when this owner knows its address; when it was restored without one, since then
	answersSinceRenewal bool         // it has answered a hold since its lease was last renewed
	leaseInReport       bool         // the transaction in flight says when its lease ends
	leaseReported       bool         // the table says so; no renewal may make it untrue
	unresponsive        bool         // the newest hold got no answer
	nextHold            clock.Millis
	lastAnswer          clock.Millis // when it last answered
	failures            int          // failed runs in a row
	avoidUntil          clock.Millis
	slowness            clock.Millis // average run time of its tasks in percent of the expected one; 0: none yet
	evacuating          bool         // a machine order waits for it to be empty
	throttledAt         clock.Millis
}

func (w *worker) target() Target { return Target{w.entry.ID, w.entry.Address} }

func (w *worker) free() batch.Resources {
	free := w.entry.Capacity.Sub(w.used)
	for _, stray := range w.strays {
		free = free.Sub(stray)
	}
	return free
}

// leaseEnd returns until when the lease lasts on our clock at the latest, if it ends at the deadline on the worker's
// clock, which may be slow.
func (w *worker) leaseEnd(deadline clock.Millis) clock.Millis {
	left := max(deadline-w.clock, 0)
	return w.clockAt + left + left*clockDriftPercent/100 + leaseMargin
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now clock.Millis) clock.Millis { return w.clock + now - w.clockAt }

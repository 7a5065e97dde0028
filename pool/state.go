package pool

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

type runState int

const (
	planned   runState = iota // the placement is not stored yet
	starting                  // the start was sent
	uncertain                 // the start got no answer
	running                   // the worker has confirmed that the run began
)

// run is one start of a task on a worker. Its resources stay reserved until it is certain that it is not running.
type run struct {
	task               *task
	worker             *worker
	number             int
	state              runState
	copied             bool         // started beside another run of the task
	copyDenied         bool         // it is slow, and there was no room for a copy
	resumed            bool         // from a checkpoint, so that its run time covers only part of the work
	checkpoint         string       // from which it starts; the same for all members of a gang
	inTransaction      bool         // in the transaction in flight, or stored
	token              int64        // highest fencing token of its orders
	sent               clock.Millis // when the newest start was sent
	answered           clock.Millis // when the newest start was answered or timed out
	stopping           bool
	stopSent           clock.Millis
	percent            int
	reportedAt         clock.Millis // when the worker last reported the percentage
	measurement        int
	progressedAt       clock.Millis // when percent last changed
	throttle           int          // percent of its processor time that it may use, as last ordered
	throttleUnknown    bool         // the worker may not have carried that order out, or an earlier owner ordered another percentage
	incarnation        int64        // incarnation of the worker on which it was placed
	runningIncarnation int64        // incarnation of the worker that confirmed the run; 0: none yet
	listedClock        clock.Millis // newest time on the worker's clock at which the run was present; older lists do not show that it is gone
}

type task struct {
	step       *step
	key        batch.TaskKey
	name       string
	number     int // of the newest run
	failures   int
	done       bool
	run        *run
	copy       *run   // second run of a task whose step allows it; run is then set too, and has a lower number
	checkpoint string // that of a gang is in step.gang
	retryAt    clock.Millis
	avoid      *worker // worker on which the last run failed or made no progress
	avoidUntil clock.Millis
	restarts   int          // consecutive ends of a long-running task before it was ready
	copies     int          // number of its runs that were started beside another one
	moves      int          // stops of its runs for little or no progress
	slowLength clock.Millis // shortest time that one of these would have taken; 0: not known
	slowRun    int          // number of the newest of these
	wait       placeWait
}

// runs returns the runs of the task; each may be nil.
func (t *task) runs() [2]*run { return [2]*run{t.run, t.copy} }

// attached reports whether the run still holds its resources.
func (r *run) attached() bool { return r.task.run == r || r.task.copy == r }

// avoidWorker keeps the task off the worker for taskAvoidTime.
func (t *task) avoidWorker(w *worker, now clock.Millis) {
	t.avoid, t.avoidUntil = w, now+taskAvoidTime
}

// predecessorStopTime is how long a stop ordered by the previous owner may take effect after the worker has seen this
// owner's token. At users' sites, workers end a run within 400 ms of a stop.
const predecessorStopTime = 600 * clock.Millis(1)

// isReady reports whether a long-running task is at 100 percent according to a recent report. A run that a previous owner
// started may still be stopped by an order of that owner.
func (t *task) isReady(now clock.Millis) bool {
	r := t.run
	return r != nil && r.state == running && !r.stopping && r.percent >= 100 && now-r.worker.lastAnswer <= maxReportAge &&
		(r.sent != 0 || r.worker.lastAnswer-r.worker.firstAnswer >= predecessorStopTime)
}

type step struct {
	job             *job
	def             *batch.Step
	tasks           []*task
	gang            gang
	done            int
	totalRunTime    clock.Millis // sum of the run times of timedTasks tasks
	timedTasks      int
	verdicts        map[string]verdict // of the advisor, by worker
	asked           map[string]int64   // workers in the newest request to the advisor, with their incarnations
	adviceRequested bool               // that request has no answer yet
	nextAdvice      clock.Millis       // earliest time of the next request
	wait            placeWait          // of a gang
}

func (st *step) complete() bool { return st.done == len(st.tasks) }

type occurrence struct {
	number int
	steps  []*step
	done   bool
}

type job struct {
	def          *batch.Job
	terms        batch.Terms // of its queue
	termsKnown   bool
	needsTickets bool // a worker refused a start that had no ticket
	state        batch.State
	acceptedAt   clock.Millis // when it was accepted, on the local clock
	occurrences  map[int]*occurrence
	finished     int // number of occurrences that are done
	dirty        bool
	hasNewStarts bool // a start waits for the next transaction
	cancelled    bool
	waiting      int  // number of tasks without a run whose step may run
	exhausted    bool // one of these has failed as often as the terms allow; an earlier owner may have known other terms
	gangTried    bool // a gang of it did not fit as a whole, and waits for room
	ranked       rank
	rankedAt     clock.Millis
	size         int            // see sizeShares
	outcomeKnown bool           // whether it meets its objective is recorded
	share        *customerShare // of its customer; nil if it has none, or has no objective
	beyond       bool           // beyond the entitlement of its customer
}

type worker struct {
	entry               batch.Worker
	listed              bool // in the platform's store
	incarnation         int64
	incarnationKnown    bool          // it has answered as incarnation; otherwise its entry or a stored run says so
	vouched             bool          // an entry of an incarnation that has answered has been in force
	claim               *batch.Worker // entry of a later incarnation, as which it has not answered
	claimedAt           clock.Millis  // when that entry was first seen
	contradiction       *batch.Worker // newest entry, if it contradicts the one in force
	contradictedAt      clock.Millis  // when entries began to do so
	machineDisputed     bool          // entries of this incarnation name several machines
	suspected           bool          // another entry claims its machine; it is asked whether it still runs
	outranked           bool          // it has refused the newest token of this owner
	token               int64
	needToken           bool         // no order until a token above all that the worker may have seen is available
	confirmed           bool         // this incarnation has answered under this token
	firstAnswer         clock.Millis // when this incarnation first answered; 0: not yet
	listClock           clock.Millis // time of the newest lists, on the worker's clock
	clock               clock.Millis
	clockAt             clock.Millis // local time when clock was received; 0: unknown
	leaseUntil          clock.Millis // latest end of the lease on the local clock
	lastEnd             int64        // number of the newest end that was processed
	ack                 int64        // number of the newest end that is stored
	acked               int64        // number of the newest end that this incarnation is known to have dropped
	runs                map[string]*run
	used                batch.Resources
	strays              map[string]batch.Resources // resources of listed runs that this owner did not order
	strayUse            batch.Resources            // sum of strays
	holdID              int64                      // hold whose answer is awaited; 0: none
	holdDue             clock.Millis               // when it should be answered at the latest
	urgentHoldID        int64                      // urgent hold whose answer is awaited; 0: none
	urgentHoldDue       clock.Millis
	urgentHoldAddress   string
	nextUrgentHold      clock.Millis
	lastUnanswered      clock.Millis // when the newest hold that got no answer at all was sent
	lastLateAnswer      clock.Millis // when an answer last arrived after the soft timeout
	addressKnownAt      clock.Millis // since when this owner has its address; if it was restored without one, since then
	answersSinceRenewal bool         // it has answered a hold since its lease was last renewed
	leaseInReport       bool         // the transaction in flight reports when its lease ends
	leaseReported       bool         // the table reports when its lease ends; no renewal may extend it
	unresponsive        bool         // the newest hold got no answer
	nextHold            clock.Millis
	lastAnswer          clock.Millis // when it last answered
	failures            int          // consecutive failed runs
	avoidUntil          clock.Millis
	slowness            clock.Millis // average run time of its tasks in percent of the expected one; 0: none yet
	evacuating          bool         // an operation on its machine waits until it has no runs
	throttledAt         clock.Millis
}

func (w *worker) target() Target { return Target{w.entry.ID, w.entry.Address} }

func (w *worker) free() batch.Resources { return w.entry.Capacity.Sub(w.used).Sub(w.strayUse) }

// setStrays sets the listed runs that this owner did not order, with the resources that each of them may use.
func (w *worker) setStrays(strays map[string]batch.Resources) {
	w.strays, w.strayUse = strays, batch.Resources{}
	for _, stray := range strays {
		w.strayUse = w.strayUse.Add(stray)
	}
}

// leaseEnd returns the latest time on the local clock at which a lease ends whose deadline is given on the worker's clock,
// which may be slow.
func (w *worker) leaseEnd(deadline clock.Millis) clock.Millis {
	left := max(deadline-w.clock, 0)
	return w.clockAt + left + left*clockDriftPercent/100 + leaseMargin
}

// clockNow estimates the current time on the worker's clock.
func (w *worker) clockNow(now clock.Millis) clock.Millis { return w.clock + now - w.clockAt }

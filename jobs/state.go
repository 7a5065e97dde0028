package jobs

import (
	"strconv"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued       State = "queued"
	Starting     State = "starting" // bound to a worker; the platform may have started the task
	Running      State = "running"
	Checkpointed State = "checkpointed" // queued to continue from its checkpoint
	Succeeded    State = "succeeded"
	Parked       State = "parked" // ended without success, or with an unknown outcome; not started again
	Cancelled    State = "cancelled"
)

// Ended reports whether the state is final: the job never starts again.
func (s State) Ended() bool { return s == Succeeded || s == Parked || s == Cancelled }

// Bound reports whether the job occupies a worker.
func (s State) Bound() bool { return s == Starting || s == Running }

// Failure is a failed attempt of a job.
type Failure struct {
	Worker string       `json:"worker"`
	Rack   string       `json:"rack"`
	Reason string       `json:"reason"`
	At     clock.Millis `json:"at"` // wall-clock time
}

// RecordFields is the stored record of a job. Its times are wall-clock milliseconds of the process that wrote it.
type RecordFields struct {
	ID           string         `json:"id"`
	Team         string         `json:"team"`
	Pool         string         `json:"pool"`
	Urgency      config.Urgency `json:"urgency"`
	RunOnce      bool           `json:"run-once,omitempty"`
	Cores        int            `json:"cores"` // declared, as are the next five
	MemoryMB     int            `json:"memory-mb"`
	Accelerators int            `json:"accelerators,omitempty"`
	RunTime      clock.Millis   `json:"run-time"` // expected
	Attempts     int            `json:"attempts"`
	Command      []string       `json:"command,omitempty"`
	Submitted    clock.Millis   `json:"submitted"`
	State        State          `json:"state"`
	Since        clock.Millis   `json:"since"`                // start of the state
	Token        int            `json:"token"`                // fencing token: the number of the attempt
	Tries        int            `json:"tries,omitempty"`      // start requests for the current attempt
	Worker       string         `json:"worker,omitempty"`     // the worker that runs the job or ran it last
	HeldCores    int            `json:"held-cores,omitempty"` // counted against the team's quota while the job is bound
	HeldMemoryMB int            `json:"held-memory-mb,omitempty"`
	Percent      int            `json:"percent,omitempty"`    // limit of a throttled task; 0 for no limit
	UsedCores    int            `json:"used-cores,omitempty"` // observed at the end of the last attempt; 0 for none
	UsedMemoryMB int            `json:"used-memory-mb,omitempty"`
	UsedTime     clock.Millis   `json:"used-time,omitempty"`  // run time of the last attempt, as last reported
	NotBefore    clock.Millis   `json:"not-before,omitempty"` // the next attempt starts no earlier
	Failures     []Failure      `json:"failures,omitempty"`
	Cancel       bool           `json:"cancel,omitempty"` // an operator cancelled the job; a bound one is stopped
	Reason       string         `json:"reason,omitempty"`
}

// TaskID returns the id under which the platform runs the current attempt.
func (r RecordFields) TaskID() string { return r.ID + "/" + strconv.Itoa(r.Token) }

// New returns the record of a newly submitted job; wall is the current wall-clock time.
func New(f config.JobFields, wall clock.Millis) RecordFields {
	attempts := f.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	return RecordFields{ID: f.Name, Team: f.Team, Pool: f.Pool, Urgency: f.Urgency, RunOnce: f.RunOnce, Cores: f.Cores,
		MemoryMB: f.MemoryMB, Accelerators: f.Accelerators, RunTime: f.RunTime, Attempts: attempts, Command: f.Command,
		Submitted: wall, Since: wall, State: Queued}
}

// Fields is the record of a job with the reports of the platform about its task.
type Fields struct {
	RecordFields
	Age           clock.Millis // time since this process first saw the state
	UnreportedFor clock.Millis // how long the reports of the worker have lacked the task; 0 if they contain it
	Reported      bool         // the platform reports the task of the current attempt
	Task          provider.UsageFields
}

// WorkerFields is a worker of the pool. A worker that no longer exists stays in the state while jobs are bound to it.
type WorkerFields struct {
	ID, Zone, Rack                string
	Cores, MemoryMB, Accelerators int
	Open                          bool         // takes new tasks
	Lost                          bool         // failed, or not in the list any more
	LostFor                       clock.Millis // time since this process first saw it as lost
}

// Use is what the bound jobs of a team count against its quota.
type Use struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory-mb"`
}

// PoolFields is the state of one pool, the input of Plan.
type PoolFields struct {
	Name    string
	Wall    clock.Millis   // wall-clock time
	Workers []WorkerFields // sorted by id
	Jobs    []*Fields
	Teams   map[string]config.TeamFields // the declared teams, by name; a team without an entry has no quota
	Use     map[string]Use               // of each team, over all pools
}

// StepKind is the kind of a step.
type StepKind string

// The kinds of steps.
const (
	KindStart        StepKind = "start"
	KindRepeat       StepKind = "repeat"     // sends the start of the same task to the same worker again
	KindRunning      StepKind = "running"    // the platform reports the task
	KindCheckpoint   StepKind = "checkpoint" // stops the task with a checkpoint, from which the job continues later
	KindThrottle     StepKind = "throttle"   // limits the task to a percentage of its cores
	KindLiftThrottle StepKind = "lift"       // ends the throttle of the task
	KindStop         StepKind = "stop"       // stops the task of a cancelled job
	KindFinish       StepKind = "finish"     // the job succeeded
	KindRequeue      StepKind = "requeue"    // the task ended without a result; the next attempt has the next token
	KindPark         StepKind = "park"       // the job is not started again
	KindCancelled    StepKind = "cancelled"  // the cancelled job has ended
	KindWait         StepKind = "wait"       // nothing is done; the reason names the rule and the figures
)

// Step is one change of a job or its task, or with KindWait the reason why nothing is done.
type Step struct {
	kind            StepKind
	job, worker     string
	percent         int
	cores, memoryMB int
	retryDelay      clock.Millis
	failure         *Failure
	reason          string
}

// Kind returns the kind of the step.
func (s Step) Kind() StepKind { return s.kind }

// Job returns the id of the job, or "" if the step concerns a worker.
func (s Step) Job() string { return s.job }

// Worker returns the id of the worker that the step concerns, or "" for none.
func (s Step) Worker() string { return s.worker }

// Percent returns the limit that a throttle sets, in percent of the cores of the task: 100 when the throttle ends, and 0
// for other steps.
func (s Step) Percent() int { return s.percent }

// Size returns the cores and the memory in MB with which a job starts, or 0 for steps other than a start.
func (s Step) Size() (cores, memoryMB int) { return s.cores, s.memoryMB }

// Delay returns the minimum time, in milliseconds, before the next attempt of a requeued job; 0 for other steps.
func (s Step) Delay() clock.Millis { return s.retryDelay }

// Failure returns the failed attempt that the step records, or nil.
func (s Step) Failure() *Failure { return s.failure }

// Reason returns the rule and the figures behind the step.
func (s Step) Reason() string { return s.reason }

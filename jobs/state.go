package jobs

import (
	"strconv"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
)

// State is where a job stands.
type State string

// The states of a job.
const (
	Queued       State = "queued"
	Starting     State = "starting" // bound to a worker; the platform may have started it
	Running      State = "running"
	Checkpointed State = "checkpointed" // waits to go on from its checkpoint
	Succeeded    State = "succeeded"
	Parked       State = "parked"
	Cancelled    State = "cancelled"
)

// Ended reports whether the job never starts again.
func (s State) Ended() bool { return s == Succeeded || s == Parked || s == Cancelled }

// Bound reports whether the job occupies a worker.
func (s State) Bound() bool { return s == Starting || s == Running }

// Failure is one failed attempt.
type Failure struct {
	Worker string       `json:"worker"`
	Rack   string       `json:"rack"`
	Reason string       `json:"reason"`
	At     clock.Millis `json:"at"` // wall-clock time
}

// RecordFields holds what the table keeps of a job; times are wall-clock milliseconds of the writer.
type RecordFields struct {
	ID           string         `json:"id"`
	Team         string         `json:"team"`
	Pool         string         `json:"pool"`
	Urgency      config.Urgency `json:"urgency"`
	RunOnce      bool           `json:"run-once,omitempty"`
	Cores        int            `json:"cores"` // declared, as are the next five
	MemoryMB     int            `json:"memory-mb"`
	Accelerators int            `json:"accelerators,omitempty"`
	RunTime      clock.Millis   `json:"run-time"`
	Attempts     int            `json:"attempts"`
	Command      []string       `json:"command,omitempty"`
	Submitted    clock.Millis   `json:"submitted"`
	State        State          `json:"state"`
	Since        clock.Millis   `json:"since"`
	Token        int            `json:"token"`                // fencing token: number of the attempt
	Tries        int            `json:"tries,omitempty"`      // orders to start the current attempt
	Worker       string         `json:"worker,omitempty"`     // that runs the job or ran it last
	HeldCores    int            `json:"held-cores,omitempty"` // counted against the quota of the team while bound
	HeldMemoryMB int            `json:"held-memory-mb,omitempty"`
	Percent      int            `json:"percent,omitempty"`    // throttled to; 0 for no limit
	UsedCores    int            `json:"used-cores,omitempty"` // observed at the end of the last attempt, 0 for none
	UsedMemoryMB int            `json:"used-memory-mb,omitempty"`
	UsedTime     clock.Millis   `json:"used-time,omitempty"`
	NotBefore    clock.Millis   `json:"not-before,omitempty"`
	Failures     []Failure      `json:"failures,omitempty"`
	Cancel       bool           `json:"cancel,omitempty"` // an operator wants a bound job stopped
	Reason       string         `json:"reason,omitempty"`
}

// TaskID returns the id of the platform's task for the current attempt.
func (r RecordFields) TaskID() string { return r.ID + "/" + strconv.Itoa(r.Token) }

// New returns the record of a declared job.
func New(f config.JobFields, wall clock.Millis) RecordFields {
	attempts := f.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	return RecordFields{ID: f.Name, Team: f.Team, Pool: f.Pool, Urgency: f.Urgency, RunOnce: f.RunOnce, Cores: f.Cores,
		MemoryMB: f.MemoryMB, Accelerators: f.Accelerators, RunTime: f.RunTime, Attempts: attempts, Command: f.Command,
		Submitted: wall, Since: wall, State: Queued}
}

// Fields is a job with what the platform reports about its task.
type Fields struct {
	RecordFields
	Age           clock.Millis // how long this process has seen the state
	UnreportedFor clock.Millis // how long the worker's reports have lacked the task
	Reported      bool         // the platform reports the task of the current attempt
	Task          provider.UsageFields
}

// WorkerFields is one worker of the pool. A worker that is gone stays in the state while jobs are bound to it.
type WorkerFields struct {
	ID, Zone, Rack                string
	Cores, MemoryMB, Accelerators int
	Open                          bool         // takes new tasks
	Lost                          bool         // failed or gone
	LostFor                       clock.Millis // as seen by this process
}

// Use is what the jobs of a team hold.
type Use struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory-mb"`
}

// PoolFields is the state of one pool. Workers are sorted by id.
type PoolFields struct {
	Name    string
	Wall    clock.Millis
	Workers []WorkerFields
	Jobs    []*Fields
	Teams   map[string]config.TeamFields
	Use     map[string]Use // of each team, over all pools
}

// StepKind is what a step does.
type StepKind string

// The kinds of steps.
const (
	KindStart        StepKind = "start"
	KindRepeat       StepKind = "repeat"     // starts the same task on the same worker again, whose answer was lost
	KindRunning      StepKind = "running"    // the platform reports the task
	KindCheckpoint   StepKind = "checkpoint" // frees the worker; the job goes on later
	KindThrottle     StepKind = "throttle"
	KindLiftThrottle StepKind = "lift"
	KindStop         StepKind = "stop"
	KindFinish       StepKind = "finish"
	KindRequeue      StepKind = "requeue" // the task ended without a result; the next attempt has the next token
	KindPark         StepKind = "park"
	KindCancelled    StepKind = "cancelled"
	KindWait         StepKind = "wait" // nothing is done; the reason names the rule and the figures
)

// Step is one thing to do, or the reason why nothing is done.
type Step struct {
	kind            StepKind
	job, worker     string
	percent         int
	cores, memoryMB int
	delay           clock.Millis
	failure         *Failure
	reason          string
}

// Kind returns what the step does.
func (s Step) Kind() StepKind { return s.kind }

// Job returns the id of the job, or "" where the step concerns a team or a worker.
func (s Step) Job() string { return s.job }

// Worker returns the worker that the step concerns.
func (s Step) Worker() string { return s.worker }

// Percent returns the limit that a throttle sets.
func (s Step) Percent() int { return s.percent }

// Size returns the cores and the memory in MB with which a job starts.
func (s Step) Size() (cores, memoryMB int) { return s.cores, s.memoryMB }

// Delay returns how long a requeued job waits at least, in milliseconds.
func (s Step) Delay() clock.Millis { return s.delay }

// Failure returns the failed attempt that a requeue or a park records, or nil.
func (s Step) Failure() *Failure { return s.failure }

// Reason returns the rule and the figures behind the step.
func (s Step) Reason() string { return s.reason }

package batch

import (
	"encoding/json"
)

// State is the state of a job as callers see it. It is the first byte of the stored progress.
type State byte

// The states of a job.
const (
	Pending   State = 'p' // no task has started
	Running   State = 'r'
	Completed State = 'c' // every task has succeeded
	Failed    State = 'f' // a task has failed as often as its queue allows
	Cancelled State = 'x'
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Final reports whether the state is one that never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Run is the stored state of a task for which at least one start has been ordered.
type Run struct {
	Occurrence  int    `json:"o,omitempty"`
	Step        int    `json:"s,omitempty"`
	Index       int    `json:"i,omitempty"`
	Number      int    `json:"r"`           // number of the newest run; grows with each start
	Done        bool   `json:"d,omitempty"` // the task has succeeded
	Failures    int    `json:"f,omitempty"` // number of failed runs; that of a gang is kept with its first task
	FailedRun   int    `json:"g,omitempty"` // of the first task of a gang: number of the newest run that Failures includes
	Worker      string `json:"w,omitempty"` // worker that may have the newest run; empty if there is none
	Incarnation int64  `json:"b,omitempty"` // start of that worker, Unix milliseconds
	Machine     string `json:"m,omitempty"` // machine of that worker
	Checkpoint  string `json:"c,omitempty"`
}

// Key returns the key of the task.
func (r *Run) Key() TaskKey { return TaskKey{r.Occurrence, r.Step, r.Index} }

// Progress is the stored state of a job; the job itself is stored separately.
type Progress struct {
	State State
	Runs  []Run
}

// Encode returns the stored form: the byte of the state, followed by the runs as JSON if there are any.
func (p *Progress) Encode() ([]byte, error) {
	if len(p.Runs) == 0 {
		return []byte{byte(p.State)}, nil
	}
	runs, err := json.Marshal(p.Runs)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(p.State)}, runs...), nil
}

// StateOf returns the state of a job from the stored form of its progress, or false if that does not begin with a known state.
func StateOf(value []byte) (State, bool) {
	if len(value) == 0 {
		return 0, false
	}
	switch s := State(value[0]); s {
	case Pending, Running, Completed, Failed, Cancelled:
		return s, true
	}
	return 0, false
}

// DecodeProgress decodes the stored form of a job's progress. Its errors are of type ErrInvalid.
func DecodeProgress(value []byte) (*Progress, error) {
	state, ok := StateOf(value)
	if !ok {
		return nil, ErrInvalid.New("stored progress does not begin with the byte of a known state")
	}
	p := &Progress{State: state}
	if len(value) == 1 {
		return p, nil
	}
	if err := json.Unmarshal(value[1:], &p.Runs); err != nil {
		return nil, ErrInvalid.Wrap(err, "cannot decode the runs of a stored progress")
	}
	return p, nil
}

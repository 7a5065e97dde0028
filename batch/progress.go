package batch

import (
	"encoding/json"
)

// State is the state of a job as callers see it; its letter leads the stored progress.
type State byte

// The states of a job.
const (
	Pending   State = 'p' // no task has started
	Running   State = 'r'
	Completed State = 'c' // every task ended as done
	Failed    State = 'f' // a task failed as often as its queue allows
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

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Run is what is stored of a task that has been ordered at least once.
type Run struct {
	Occurrence      int    `json:"o,omitempty"`
	Step            int    `json:"s,omitempty"`
	Index           int    `json:"i,omitempty"`
	Number          int    `json:"r"`           // of the newest run; grows with each start
	Done            bool   `json:"d,omitempty"` // the task has ended as done
	Failures        int    `json:"f,omitempty"` // runs that ended as failed
	Worker          string `json:"w,omitempty"` // that may hold the newest run; empty when no run is out
	WorkerStartedAt int64  `json:"b,omitempty"` // start of that worker, Unix milliseconds
	Machine         string `json:"m,omitempty"` // of that worker
	Checkpoint      string `json:"c,omitempty"`
}

// Key returns which task this is.
func (r *Run) Key() TaskKey { return TaskKey{r.Occurrence, r.Step, r.Index} }

// Progress is what is stored of a job besides the job itself.
type Progress struct {
	State State
	Runs  []Run
}

// Encode returns the stored form: the letter of the state, and the runs as JSON.
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

// StateOf returns the state of a stored progress.
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

// DecodeProgress reads the stored form.
func DecodeProgress(value []byte) (*Progress, error) {
	state, ok := StateOf(value)
	if !ok {
		return nil, ErrInvalid.New("stored progress begins with no known state")
	}
	p := &Progress{State: state}
	if len(value) == 1 {
		return p, nil
	}
	if err := json.Unmarshal(value[1:], &p.Runs); err != nil {
		return nil, ErrInvalid.Wrap(err, "stored progress")
	}
	return p, nil
}

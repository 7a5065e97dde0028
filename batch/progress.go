package batch

import (
	"encoding/json"
	"slices"
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
	Moves       int    `json:"v,omitempty"` // number of runs that were stopped for little or no progress
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

// MaxProgressBytes is the limit of the stored form, which is one row of the platform's store.
const MaxProgressBytes = 64 << 10

// Encode returns the stored form: the byte of the state, followed by the runs as JSON if there are any. The incarnation and the machine of a
// worker stand in its first run only; a decoder that does not restore them, as in earlier versions, learns them from that run.
func (p *Progress) Encode() ([]byte, error) {
	if len(p.Runs) == 0 {
		return []byte{byte(p.State)}, nil
	}
	runs := slices.Clone(p.Runs)
	first := map[string]*Run{} // by worker
	for i := range runs {
		r := &runs[i]
		if r.Worker == "" {
			continue
		}
		if f := first[r.Worker]; f != nil && r.Incarnation == f.Incarnation && r.Machine == f.Machine {
			r.Incarnation, r.Machine = 0, ""
		} else {
			first[r.Worker] = r
		}
	}
	encoded, err := json.Marshal(runs)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(p.State)}, encoded...), nil
}

// Bounds on the stored form of a run.
const (
	maxRunBytes    = 140 // without its texts
	maxEscapeBytes = 6   // of one byte of a text
)

// Size returns the length of the stored form in bytes. For a progress that surely fits, it is an upper bound.
func (p *Progress) Size() int {
	bound := 1
	for i := range p.Runs {
		r := &p.Runs[i]
		bound += maxRunBytes + maxEscapeBytes*(len(r.Worker)+len(r.Machine)+len(r.Checkpoint))
	}
	if bound > MaxProgressBytes {
		if value, err := p.Encode(); err == nil {
			return len(value)
		}
	}
	return bound
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
	first := map[string]*Run{} // by worker
	for i := range p.Runs {
		r := &p.Runs[i]
		if f := first[r.Worker]; f != nil && r.Incarnation == 0 && r.Machine == "" {
			r.Incarnation, r.Machine = f.Incarnation, f.Machine
		} else if r.Worker != "" {
			first[r.Worker] = r
		}
	}
	return p, nil
}

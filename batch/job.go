package batch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("batch")

// ErrInvalid is the type of errors for a job that can never be accepted; the message names the field.
var ErrInvalid = Errors.NewType("invalid")

// Limits of a job. They bound the memory that one job can take; usual jobs are far smaller.
const (
	MaxSpecBytes = 4000 // limit of the platform's interface
	MaxSteps     = 64
	// MaxTasks bounds the tasks of all steps and occurrences: their stored progress has to fit into one row of 64 KiB.
	MaxTasks = 650
	// MaxEncodedBytes bounds the stored form of a job: it is one row, of 64 KiB at most.
	MaxEncodedBytes = 64 << 10
)

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	CPU      int `json:"cpu,omitempty"`       // thousandths of a core
	MemoryMB int `json:"memory-mb,omitempty"` // megabytes
	GPUs     int `json:"gpus,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r less o; an amount may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits reports whether r is at most room in every part.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count           int          `json:"count"`
	Need            Resources    `json:"need"`                      // of each task
	Estimate        clock.Millis `json:"estimate,omitempty"`        // declared run time of one task; often inaccurate
	After           []int        `json:"after,omitempty"`           // indexes of earlier steps that must be completed first
	Checkpointing   bool         `json:"checkpointing,omitempty"`   // the tasks store checkpoints and can resume from them
	Gang            bool         `json:"gang,omitempty"`            // the tasks run only all together (gang scheduling)
	TightlyCoupled  bool         `json:"tightly-coupled,omitempty"` // slower on more than one rack
	Label           string       `json:"label,omitempty"`           // label that the worker must have
	Rack            string       `json:"rack,omitempty"`            // rack that holds the data; tasks are slower elsewhere
	MaxPerWorker    int          `json:"max-per-worker,omitempty"`  // 0: no limit
	AllowDuplicates bool         `json:"allow-duplicates,omitempty"`
	LongRunning     bool         `json:"long-running,omitempty"`   // runs until the job is cancelled
	Image           string       `json:"image,omitempty"`          // tasks of one image behave alike
	TargetLatency   clock.Millis `json:"target-latency,omitempty"` // response time that a task should not exceed; 0: none
	BestEffort      bool         `json:"fills,omitempty"`          // best effort: uses spare processor time and reserves none
	MayMiss         int          `json:"may-miss,omitempty"`       // tasks that may be stopped on purpose at once; 0 counts as 1
}

// Reserve returns the resources that one task reserves on a worker.
func (s *Step) Reserve() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Need.MemoryMB, GPUs: s.Need.GPUs}
	}
	return s.Need
}

// Job is an accepted job. It does not change after it has been stored.
type Job struct {
	ID          string       `json:"id"`
	Queue       string       `json:"queue"`
	Pool        string       `json:"pool"` // whose workers run the tasks
	Spec        string       `json:"spec"`
	Steps       []Step       `json:"steps"`
	Accepted    clock.Millis `json:"accepted"`              // Unix time at the instance that accepted it
	Occurrences int          `json:"occurrences,omitempty"` // 0: the steps run once, immediately
	FirstDue    clock.Millis `json:"first-due,omitempty"`   // Unix time of occurrence 0
	Interval    clock.Millis `json:"interval,omitempty"`    // between the due times of two occurrences
	// Address and Terms are those of the queue when it accepted the job. Jobs that earlier versions stored have neither.
	Address Address `json:"address,omitzero"`
	Terms   *Terms  `json:"terms,omitempty"`
	// Customer is the name of the customer whose key the caller had; empty for a queue without keys.
	Customer string `json:"customer,omitempty"`
}

// Runs returns how many times the steps run: once for each occurrence.
func (j *Job) Runs() int { return max(j.Occurrences, 1) }

// HasTask reports whether the key names a task of the job.
func (j *Job) HasTask(key TaskKey) bool {
	return 0 <= key.Occurrence && key.Occurrence < j.Runs() && 0 <= key.Step && key.Step < len(j.Steps) &&
		0 <= key.Index && key.Index < j.Steps[key.Step].Count
}

// Due returns the Unix time at which an occurrence may start; 0 for a job without due times.
func (j *Job) Due(occurrence int) clock.Millis {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstDue + clock.Millis(occurrence)*j.Interval
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Check returns an ErrInvalid for a job whose steps cannot be carried out.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return ErrInvalid.New("spec has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return ErrInvalid.New("job has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks {
			return ErrInvalid.New("step %d has %d tasks, 1 to %d are allowed", i, s.Count, MaxTasks)
		}
		if tasks += s.Count * j.Runs(); tasks > MaxTasks {
			return ErrInvalid.New("job has over %d tasks by step %d, over all its occurrences", MaxTasks, i)
		}
		for _, earlier := range s.After {
			if earlier < 0 || earlier >= i {
				return ErrInvalid.New("step %d waits for step %d, which is not an earlier one", i, earlier)
			}
		}
	}
	return nil
}

// Encode returns the stored form of the job. It returns an ErrInvalid if that is too large for the store.
func (j *Job) Encode() ([]byte, error) {
	value, err := json.Marshal(j)
	if err == nil && len(value) > MaxEncodedBytes {
		return nil, ErrInvalid.New("job takes %d bytes in the store, at most %d are allowed", len(value), MaxEncodedBytes)
	}
	return value, err
}

// DecodeJob decodes the stored form of a job. Its errors are of type ErrInvalid.
func DecodeJob(value []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, ErrInvalid.Wrap(err, "cannot decode a stored job")
	}
	return j, nil
}

// TaskKey identifies a task within a job.
type TaskKey struct{ Occurrence, Step, Index int }

// Name returns the name of a task of the job, which is unique over all jobs.
func (k TaskKey) Name(job string) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, k.Occurrence, k.Step, k.Index)
}

// ParseTask splits the name of a task into the id of the job and the key; ok is false for any other text.
func ParseTask(name string) (job string, key TaskKey, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskKey{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return "", TaskKey{}, false
		}
		numbers[i] = n
	}
	return parts[0], TaskKey{numbers[0], numbers[1], numbers[2]}, true
}

package batch

import "magnoliaferry/clock"

// Worker is the entry that a worker writes about itself in the platform's store. A worker that restarts writes a new entry,
// under the same id or under another one, with a later Incarnation.
type Worker struct {
	ID          string
	Machine     string
	Pool        string
	Address     string // IP address and port
	Zone        string
	Draining    bool
	Incarnation int64 // start of the worker, Unix milliseconds
	Capacity    Resources
	Labels      []string
	Remaining   clock.Millis // least time that is left to it while Draining is set; 0 if its entry has none
}

// HasLabel reports whether the worker has the label. Its rack is one of its labels.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// MachineState is the state of a machine in the platform's list.
type MachineState string

// The states of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving" // to another pool
	MachineUpkeep MachineState = "upkeep" // down for planned maintenance
	MachineDown   MachineState = "down"
)

// Machine is one row of the platform's list of machines.
type Machine struct {
	ID       string
	Pool     string
	State    MachineState
	Zone     string
	Labels   []string
	Capacity Resources
	Worker   string // id of the worker that runs on it; empty while there is none
}

// Wave is a request of the operators for the planned maintenance of a set of machines, a few machines at a time.
type Wave struct {
	Number   int64
	Machines []string
	Duration clock.Millis // in which the wave is to be completed, from its request on
	MaxDown  int          // machines that may be down for the wave at once; 0 counts as 1
}

package batch

import "magnoliaferry/clock"

// Worker is one life of a machine, as it describes itself in the platform's store.
type Worker struct {
	ID        string
	Machine   string
	Pool      string
	Address   string // IP address and port
	Zone      string
	Draining  bool
	StartedAt int64 // start of this life, Unix milliseconds
	Capacity  Resources
	Labels    []string
	Remaining clock.Millis // at least this much time is left while it drains
}

// HasLabel reports whether the worker has the label; the rack is one of them.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// MachineState is what the platform says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
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
	Worker   string // id of the worker that runs on it
}

// Wave asks for the upkeep of a set of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration clock.Millis // from the moment it was asked for
	MaxDown  int          // machines that may be down for it at once
}

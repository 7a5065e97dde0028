package pool

import (
	"context"

	"magnoliaferry/clock"
)

// Target identifies the worker that an order is sent to.
type Target struct {
	ID      string
	Address string // IP address and port
}

// Start orders a worker to run a task.
type Start struct {
	Target     Target
	Task       string // name of the task
	Run        int    // number of the run
	Spec       string
	Deadline   clock.Millis // end of the lease on the worker's clock
	Token      int64        // fencing token
	Checkpoint string       // to resume from; empty: from the beginning
	Ticket     string       // issued by the advisor; empty if the queue needs none
}

// Stop orders a worker to end a run.
type Stop struct {
	Target Target
	Task   string
	Run    int
	Token  int64
}

// Throttle limits the processor time that a run may use to a share of its reservation.
type Throttle struct {
	Target  Target
	Task    string
	Run     int
	Percent int // of its processor time that it may use, 0 to 100
	Token   int64
}

// Hold is a long poll of a worker (path /hold): it renews the lease of all runs on the worker, and asks for the lists of its
// runs and of their ends.
type Hold struct {
	Target   Target
	Token    int64
	Ack      int64        // ends up to this number are stored and can be dropped
	Deadline clock.Millis // end of the lease on the worker's clock; 0 leaves it unchanged
	Wait     clock.Millis // how long the worker may wait for a run to end before it answers
	Urgent   bool         // sent beside a regular hold, to find out whether a start was carried out
	ID       int64        // unique among the holds of a scheduler
}

// Advise asks the advisor which workers may run a step.
type Advise struct {
	Step    string // job, occurrence and step
	Workers []string
}

// ListMachines asks the platform which worker runs on each machine.
type ListMachines struct{}

// Outcome is the result of an order.
type Outcome int

// Outcomes of an order. Only Unanswered leaves open whether the worker carries the order out.
const (
	Unanswered Outcome = iota
	Accepted
	NotSent          // no connection
	Fenced           // the worker has seen a higher token
	Outdated         // a run of the task with this number or a higher one was stopped or has ended on the worker
	TooLate          // the lease has expired
	NoRoom           // the task does not fit
	NoTicket         // the ticket is missing or has expired
	Unhealthy        // the worker accepts no tasks at present
	WrongIncarnation // another incarnation has this address
	Impossible       // the worker does not understand the order
)

// Reply is the answer of a worker to an order.
type Reply struct {
	Outcome     Outcome
	Clock       clock.Millis // time on the worker's clock; 0: unknown
	Incarnation int64        // incarnation that answered: its start in Unix milliseconds; 0: unknown
}

// Running is a run that a worker lists as running.
type Running struct {
	Task        string
	Run         int
	Checkpoint  string
	Percent     int // of the work done; 100 for a long-running task that is ready
	Measurement int // response time in milliseconds of a latency-sensitive task; processor use in thousandths of other tasks
}

// EndReason says how a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed" // the lease expired
	EndBroken  EndReason = "broken" // another member of the gang ended
	EndAlone   EndReason = "alone"  // the rest of the gang did not start
	EndLost    EndReason = "lost"   // never listed by a worker: the worker is gone or its lease has expired
)

// Ended is the end of a run as listed by a worker. Numbers increase within one incarnation of the worker.
type Ended struct {
	Number     int64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Listing is the answer of a worker to a Hold.
type Listing struct {
	Reply
	Running []Running
	Ended   []Ended // those after the acknowledged ones, at most MaxEndsPerListing
}

// MaxEndsPerListing is the maximum number of ends in one listing.
const MaxEndsPerListing = 500

// Advice is the answer of the advisor: tickets for the workers that may run the step, by worker ID.
type Advice struct {
	Tickets  map[string]string
	Validity clock.Millis // how long the tickets are valid; new ones are requested after half of it
}

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, order Start) Reply
	Stop(ctx context.Context, order Stop) Reply
	Throttle(ctx context.Context, order Throttle) Reply
	Hold(ctx context.Context, order Hold) Listing
}

// Advisor returns the workers that may run a step according to the policy of its queue.
type Advisor interface {
	Advise(ctx context.Context, request Advise) (Advice, error)
}

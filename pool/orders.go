package pool

import (
	"context"

	"magnoliaferry/clock"
)

// Target names the life of a worker that an order is meant for.
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
	Deadline   clock.Millis // end of the lease, on the worker's clock
	Token      int64        // fencing token
	Checkpoint string       // to resume from; empty: from the beginning
	Ticket     string       // of the advisor; empty where the queue needs none
}

// Stop orders a worker to end a run.
type Stop struct {
	Target Target
	Task   string
	Run    int
	Token  int64
}

// Throttle orders a worker to let a task use a share of its processor time.
type Throttle struct {
	Target  Target
	Task    string
	Run     int
	Percent int
	Token   int64
}

// Hold renews the lease of everything that runs on a worker and asks for its lists.
type Hold struct {
	Target   Target
	Token    int64
	Ack      int64        // ends up to this number are stored and can be forgotten
	Deadline clock.Millis // end of the lease on the worker's clock; 0 leaves it as it is
	Wait     clock.Millis // for an end, before the answer
	Urgent   bool         // goes out beside another hold, to find out what became of a start
	ID       int64        // tells the holds of one scheduler apart
}

// Advise asks which workers may run a step.
type Advise struct {
	Step    string // job, occurrence and step
	Workers []string
}

// Outcome says what became of an order.
type Outcome int

// The outcomes. Only Unanswered leaves open whether the worker carries the order out.
const (
	Unanswered Outcome = iota
	Accepted
	NotSent          // no connection
	Fenced           // the worker has seen a higher token
	Outdated         // the run is not higher than one that was stopped or has ended there
	TooLate          // the lease is over
	NoRoom           // the task does not fit
	NoTicket         // the ticket is missing or has expired
	Unhealthy        // the worker takes nothing now
	WrongIncarnation // the address belongs to another life
	Impossible       // the worker does not understand the order
)

// Reply is the answer of a worker to an order.
type Reply struct {
	Outcome     Outcome
	Clock       clock.Millis // of the worker; 0 when unknown
	Incarnation int64        // start of the life that answered, Unix milliseconds; 0 when unknown
}

// Running is a run that a worker lists.
type Running struct {
	Task        string
	Run         int
	Checkpoint  string
	Percent     int // of the work done; 100 for a task that lasts and is at work
	Measurement int // response time in milliseconds of a task that serves; processor use in thousandths of others
}

// EndReason tells how a run ended.
type EndReason string

// The ends of a run.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed" // the lease was over
	EndBroken  EndReason = "broken" // another member of the gang ended
	EndAlone   EndReason = "alone"  // the rest of the gang did not come
	EndLost    EndReason = "lost"   // never listed by a worker: the worker or its lease is gone
)

// Ended is a run that a worker lists as ended; numbers grow within one life of the worker.
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
	Ended   []Ended // after the acknowledged ones, at most EndsPerListing
}

// EndsPerListing is the most ends that a worker lists at once.
const EndsPerListing = 500

// Advice is the answer of the advisor: tickets of the workers that may run the step, by worker id.
type Advice struct {
	Tickets  map[string]string
	Validity clock.Millis
}

// Workers carries orders to workers.
type Workers interface {
	Start(ctx context.Context, order Start) Reply
	Stop(ctx context.Context, order Stop) Reply
	Throttle(ctx context.Context, order Throttle) Reply
	Hold(ctx context.Context, order Hold) Listing
}

// Advisor asks the service that knows which workers a queue's policy allows.
type Advisor interface {
	Advise(ctx context.Context, request Advise) (Advice, error)
}

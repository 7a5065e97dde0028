package machines

import (
	"context"
	"encoding/json"

	"magnoliaferry/batch"
)

// Operation is the purpose for which a machine is withdrawn from its pool.
type Operation string

// The operations.
const (
	Upkeep Operation = "upkeep" // planned maintenance, during which the machine is down
	Move   Operation = "move"   // to another pool
)

// Withdrawal is the stored decision to withdraw a machine from its pool, for maintenance or for a move. The owner of the pool
// empties the machine and keeps it empty until the operation is accepted or the withdrawal is deleted. A machine has at most one. It is
// for one worker: if another one starts on the machine before the operation, the withdrawal gets a new ID, for which the owner of the pool
// has to confirm again that the machine is empty.
type Withdrawal struct {
	ID      string    `json:"id"` // unique for each withdrawal
	Machine string    `json:"machine"`
	Worker  string    `json:"worker"` // id of the worker on the machine, which has to be empty; "" if none runs on it
	Op      Operation `json:"op"`
	Pool    string    `json:"pool,omitempty"`    // destination of a move
	Wave    int64     `json:"wave,omitempty"`    // number of the wave that the maintenance belongs to; 0 for a move
	Ordered bool      `json:"ordered,omitempty"` // an order may have been sent to the platform, for this worker or an earlier one
	// Accepted is set once the platform has accepted the order for maintenance. Another worker on the machine then started afterwards.
	Accepted bool `json:"accepted,omitempty"`
}

// DecodeWithdrawal decodes a stored withdrawal.
func DecodeWithdrawal(value []byte) (Withdrawal, error) {
	var w Withdrawal
	err := json.Unmarshal(value, &w)
	return w, err
}

// Cordon is the stored confirmation of the owner of a pool that the worker of a withdrawn machine is empty, and stays empty as long
// as the withdrawal exists.
type Cordon struct {
	Withdrawal string `json:"want"` // id of the withdrawal
}

// DecodeCordon decodes a stored cordon.
func DecodeCordon(value []byte) (Cordon, error) {
	var c Cordon
	err := json.Unmarshal(value, &c)
	return c, err
}

// WaveState is the stored progress of a wave.
type WaveState struct {
	FirstSeen int64    `json:"asked"`               // when a coordinator first saw the wave, Unix milliseconds
	Begun     []string `json:"begun,omitempty"`     // ids of the machines whose maintenance has begun
	Completed bool     `json:"completed,omitempty"` // maintenance has begun, or was refused as invalid, on all listed machines of the wave; some may still be down
}

// Outcome is the result of an order for a machine.
type Outcome int

// The outcomes. Only Unanswered leaves open whether the platform carries out the order.
const (
	Unanswered   Outcome = iota
	Accepted             // carried out, for this order or already for an earlier one
	Busy                 // the machine is not up, or is about to go down
	InvalidOrder         // the machine does not belong to the wave or to the pools, or does not exist
	Fenced               // another owner of the machines has used a higher fencing token
	Rejected             // not carried out, for another reason; the order may be repeated
)

// Order is an order for one machine.
type Order struct {
	Withdrawal Withdrawal
	Token      int64 // fencing token
}

// Platform is the platform's interface for machines.
type Platform interface {
	// List returns all machines of the platform.
	List(ctx context.Context) ([]batch.Machine, error)
	// Execute sends an order and returns its outcome: Unanswered if the context ends before the answer arrives. The holder is the
	// name under which the instance owns the machines.
	Execute(ctx context.Context, holder string, order Order) Outcome
}

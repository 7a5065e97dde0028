package machines

import (
	"context"
	"encoding/json"

	"magnoliaferry/batch"
)

// Operation is what is done to a machine.
type Operation string

// The operations.
const (
	Upkeep Operation = "upkeep"
	Move   Operation = "move"
)

// Withdrawal is the stored decision to take a machine: the owner of its pool empties the worker and keeps it empty until the
// want is deleted.
type Withdrawal struct {
	ID      string    `json:"id"` // unique for each decision
	Machine string    `json:"machine"`
	Worker  string    `json:"worker"` // the life that has to be empty
	Op      Operation `json:"op"`
	Pool    string    `json:"pool,omitempty"` // where a move goes
	Wave    int64     `json:"wave,omitempty"`
	Ordered bool      `json:"ordered,omitempty"` // the order may have been sent
}

// DecodeWithdrawal reads a stored want.
func DecodeWithdrawal(value []byte) (Withdrawal, error) {
	var w Withdrawal
	err := json.Unmarshal(value, &w)
	return w, err
}

// Cordon is the answer of the owner of a pool to a want: the worker is empty, and stays so as long as the want exists.
type Cordon struct {
	Withdrawal string `json:"want"` // its id
}

// DecodeCordon reads a stored cordon.
func DecodeCordon(value []byte) (Cordon, error) {
	var c Cordon
	err := json.Unmarshal(value, &c)
	return c, err
}

// WaveState is what is stored of a wave.
type WaveState struct {
	Asked     int64    `json:"asked"` // Unix milliseconds when it was first seen
	Begun     []string `json:"begun,omitempty"`
	Completed bool     `json:"completed,omitempty"`
}

// Outcome says what became of an order for a machine.
type Outcome int

// The outcomes. Only Unanswered leaves open whether the platform carries the order out.
const (
	Unanswered   Outcome = iota
	Accepted             // carried out, now or before
	Busy                 // the machine is not up, or is leaving
	InvalidOrder         // the machine does not belong to the wave or to the pools, or does not exist
	Fenced               // another holder has used a higher token
	Rejected             // nothing was done
)

// Order is an order for one machine.
type Order struct {
	Withdrawal Withdrawal
	Token      int64 // fencing token
}

// Platform lists machines and orders their upkeep and moves.
type Platform interface {
	List(ctx context.Context) ([]batch.Machine, error)
	Execute(ctx context.Context, holder string, order Order) Outcome
}

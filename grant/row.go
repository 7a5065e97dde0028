package grant

import (
	"encoding/json"
	"fmt"

	"magnoliaferry/batch"
)

// Row is the stored division of one customer's cap. Instances of earlier versions do not read it.
type Row struct {
	Configuration int64            `json:"configuration"` // newest version whose cap an owner has stored
	Limit         batch.Resources  `json:"limit"`         // of all pools together; a part of 0 means no limit
	Pools         map[string]Entry `json:"pools"`
}

// Entry is the grant of one pool, which only the owner of the pool changes.
type Entry struct {
	Amount  batch.Resources `json:"amount,omitzero"`  // bounds what the customer's runs in the pool use
	Wanted  batch.Resources `json:"wanted,omitzero"`  // need of the first task or gang that lacks an amount
	Missing batch.Resources `json:"missing,omitzero"` // of all tasks that could start now and lack an amount
	Asked   int64           `json:"asked,omitempty"`  // version of the row when Wanted was first stored; breaks ties between pools that hold the same
	Token   int64           `json:"token"`            // claim of the owner that wrote the entry
}

// Encode returns the value of the row.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRow decodes the value of a row.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode the grants of a customer: %w", err)
	}
	return r, nil
}

// Granted returns the sum of the amounts of all pools.
func (r Row) Granted() batch.Resources {
	var sum batch.Resources
	for _, e := range r.Pools {
		sum = sum.Add(e.Amount)
	}
	return sum
}

// Limit returns what a customer may use whose cap may be exceeded by the given part of it.
func Limit(limit batch.Resources, overage float64) batch.Resources {
	scale := func(amount int) int { return int(float64(amount)*(1+overage) + rounding) }
	return batch.Resources{CPU: scale(limit.CPU), MemoryMB: scale(limit.MemoryMB), GPUs: scale(limit.GPUs)}
}

// rounding keeps a product such as 1500 * 1.1 from falling below the whole number that it equals.
const rounding = 1e-6

// limited returns the amount without the parts that have no limit.
func limited(amount, limit batch.Resources) batch.Resources {
	if limit.CPU == 0 {
		amount.CPU = 0
	}
	if limit.MemoryMB == 0 {
		amount.MemoryMB = 0
	}
	if limit.GPUs == 0 {
		amount.GPUs = 0
	}
	return amount
}

func lower(a, b batch.Resources) batch.Resources {
	return batch.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPUs: min(a.GPUs, b.GPUs)}
}

func higher(a, b batch.Resources) batch.Resources {
	return batch.Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

func times(a batch.Resources, n int) batch.Resources {
	return batch.Resources{CPU: a.CPU * n, MemoryMB: a.MemoryMB * n, GPUs: a.GPUs * n}
}

func divide(a batch.Resources, n int) batch.Resources {
	return batch.Resources{CPU: a.CPU / n, MemoryMB: a.MemoryMB / n, GPUs: a.GPUs / n}
}

// fitting returns how many times need fits into room, at most count.
func fitting(need, room batch.Resources, count int) int {
	part := func(need, room int) {
		if need > 0 {
			count = min(count, max(room, 0)/need)
		}
	}
	part(need.CPU, room.CPU)
	part(need.MemoryMB, room.MemoryMB)
	part(need.GPUs, room.GPUs)
	return count
}

// coarse rounds an amount up to the next of the given number of steps to the limit, at most to the limit.
func coarse(amount, limit batch.Resources, steps int) batch.Resources {
	part := func(amount, limit int) int {
		step := max(limit/steps, 1)
		return min((amount+step-1)/step*step, limit)
	}
	return batch.Resources{CPU: part(amount.CPU, limit.CPU), MemoryMB: part(amount.MemoryMB, limit.MemoryMB), GPUs: part(amount.GPUs, limit.GPUs)}
}

package machines

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Guards against an operation that ends the tasks of a worker that was not emptied for it, and against more machines down than a wave
// allows, while workers crash and are replaced under an order, orders are rejected or lose their answers, and the owner of the machines
// changes, in an order given by fixed seeds.
func TestRandomReplacements(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomReplacements(t, seed) })
	}
}

func runRandomReplacements(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	s := newTestSite(t, map[string]int{"a": 5, "b": 4, "standby": 2})
	busySince := map[string]clock.Millis{} // workers with tasks
	s.answer = func(order Order) Outcome {
		outcome := []Outcome{Accepted, Accepted, Rejected, Unanswered, Busy}[random.IntN(5)]
		if m := s.machines[order.Withdrawal.Machine]; outcome == Accepted && busySince[m.Worker] != 0 {
			t.Errorf("%d ms: %s of %s ends the tasks of %s, which was not emptied", s.now, order.Withdrawal.Op, m.ID, m.Worker)
		}
		return outcome
	}
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: append(machineNames("a", 5), machineNames("b", 4)...), Duration: 40 * clock.Second, MaxDown: 2}, nil)
	for s.now < 50*clock.Second {
		machine := sorted(s.machines)[random.IntN(len(s.machines))]
		if m := s.machines[machine]; random.IntN(6) == 0 && m.State == batch.MachineUp && m.Worker != "" {
			s.crash(machine)
			// The owner of the pool gives a new worker no tasks while it knows of a withdrawal of the machine. Here it learns of each one
			// too late.
			busySince[m.Worker], s.notEmptied[machine] = s.now, true
		}
		if random.IntN(60) == 0 {
			s.takeOver()
		}
		for id, m := range s.machines {
			if since := busySince[m.Worker]; since != 0 && s.now-since > 1500 { // its tasks have left
				delete(busySince, m.Worker)
				delete(s.notEmptied, id)
				if w := s.c.withdrawals[id]; w != nil && w.Worker == m.Worker {
					s.cordons[id] = w.ID
				}
			}
		}
		s.run(100)
	}
	s.answer = nil
	s.run(20 * clock.Second)
	if s.down > 2 {
		t.Errorf("machines down at once got %d, want at most 2", s.down)
	}
	if !s.c.waves[1].state.Completed {
		t.Errorf("wave is open with %d machines begun, want it completed", len(s.c.waves[1].begun))
	}
}

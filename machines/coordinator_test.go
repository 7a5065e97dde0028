package machines

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/pool"
)

// testSite simulates a platform that carries out the orders of a coordinator, and owners of pools that empty withdrawn workers.
type testSite struct {
	t          *testing.T
	c          *Coordinator
	now        clock.Millis
	machines   map[string]*batch.Machine
	upAt       map[string]clock.Millis // by machine: when it is up again
	restarts   int                     // of all machines; part of the ids of new workers
	orders     []Order
	cordons    map[string]string
	notEmptied map[string]bool // machines whose workers are not emptied
	down       int             // largest number of machines that were down at once
	loads      map[string]pool.Load
	mostRows   int                       // largest number of rows in one transaction
	answer     func(order Order) Outcome // nil: every order is accepted
	done       bool                      // accepted orders change nothing: the operation had been carried out before
	cutZone    string                    // availability zone whose machines do not come up again
}

// newTestSite returns a site with the given number of machines in each pool; the pool "standby" is a standby pool.
func newTestSite(t *testing.T, pools map[string]int) *testSite {
	s := &testSite{t: t, c: NewCoordinator(7, 0, nil), now: 1000, machines: map[string]*batch.Machine{}, upAt: map[string]clock.Millis{},
		cordons: map[string]string{}, notEmptied: map[string]bool{}, loads: map[string]pool.Load{}}
	configuration := &batch.Configuration{Version: 1}
	for _, name := range sorted(pools) {
		configuration.Pools = append(configuration.Pools, batch.Pool{Name: name, Standby: name == "standby"})
		load := pool.Load{UsedCPU: map[string]int{}, LongRunningTasks: map[string]int{}}
		for i := range pools[name] {
			m := &batch.Machine{ID: fmt.Sprintf("%s-%d", name, i), Pool: name, State: batch.MachineUp}
			if name != "standby" {
				m.Worker = "w-" + m.ID
				load.UsedCPU[m.Worker] = 0
				load.Workers++
				load.TotalCapacity.CPU += 1000
			}
			s.machines[m.ID] = m
		}
		s.loads[name] = load
	}
	s.c.Configure(configuration)
	return s
}

// run simulates the time d in steps of 100 ms.
func (s *testSite) run(d clock.Millis) {
	for end := s.now + d; s.now < end; s.now += 100 {
		s.c.Tick(s.now, s.now)
		s.restartMachines()
		var list []batch.Machine
		for _, id := range sorted(s.machines) {
			list = append(list, *s.machines[id])
		}
		s.c.Listed(list, s.now)
		for name, load := range s.loads {
			s.c.SetLoad(name, load)
		}
		s.c.SetCordons(s.cordons)
		s.c.Plan()
		s.executeOrders()
		if tx := s.c.Transaction(); tx != nil {
			s.storeTransaction(tx)
		}
	}
}

// restartMachines sets the machines that are due to up, with new workers outside standby.
func (s *testSite) restartMachines() {
	for id, at := range s.upAt {
		if m := s.machines[id]; s.now >= at && (m.Zone == "" || m.Zone != s.cutZone) {
			delete(s.upAt, id)
			s.restarts++
			m.State = batch.MachineUp
			if m.Worker = ""; m.Pool != "standby" {
				m.Worker = fmt.Sprintf("w-%s-%d", id, s.restarts)
			}
		}
	}
}

// executeOrders answers the orders of the coordinator. Accepted ones take a machine down for 2 s.
func (s *testSite) executeOrders() {
	for _, order := range s.c.Orders() {
		s.orders = append(s.orders, order)
		outcome := Accepted
		if s.answer != nil {
			outcome = s.answer(order)
		}
		m := s.machines[order.Withdrawal.Machine]
		if outcome == Accepted && !s.done {
			m.State, m.Worker = batch.MachineUpkeep, ""
			if order.Withdrawal.Op == Move {
				m.State, m.Pool = batch.MachineMoving, order.Withdrawal.Pool
			}
			s.upAt[m.ID] = s.now + 2000
		}
		s.c.Answered(order, outcome)
	}
	down := 0
	for _, m := range s.machines {
		if m.State == batch.MachineUpkeep {
			down++
		}
	}
	s.down = max(s.down, down)
}

// storeTransaction commits a transaction and confirms the withdrawals, as the owners of pools do, except those of notEmptied
// machines.
func (s *testSite) storeTransaction(tx *Transaction) {
	for _, machine := range tx.Dropped {
		delete(s.cordons, machine)
	}
	for _, withdrawal := range tx.Withdrawals {
		if !s.notEmptied[withdrawal.Machine] {
			s.cordons[withdrawal.Machine] = withdrawal.ID
		}
	}
	s.mostRows = max(s.mostRows, len(tx.Withdrawals)+len(tx.Dropped)+len(tx.Waves))
	s.c.Committed(tx)
}

func machineNames(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}

// Guards against a wave that is not completed within its duration, and against more machines down for it than allowed.
func TestWaveEndsInTimeWithinItsLimit(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 10, "b": 10, "standby": 4})
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: append(machineNames("a", 8), machineNames("standby", 3)...), Duration: 25 * clock.Second, MaxDown: 3}, nil)
	s.run(25 * clock.Second)
	if got := s.c.waves[1].state.Completed; !got {
		t.Errorf("wave completed got %v after the maintenance of %d machines has begun, want true", got, len(s.c.waves[1].begun))
	}
	if s.down > 3 {
		t.Errorf("machines down at once got %d, want at most 3", s.down)
	}
}

// Guards against an order for a machine on which something still runs.
func TestNoOrderBeforeTheWorkerIsEmpty(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 3})
	s.notEmptied["a-0"] = true
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: []string{"a-0"}, Duration: 10 * clock.Second, MaxDown: 1}, nil)
	s.run(5 * clock.Second)
	if got := len(s.orders); got != 0 {
		t.Errorf("orders got %d, want 0 while the worker is not empty", got)
	}
	if s.c.waves[1].state.Completed {
		t.Error("wave is completed, want it open while the worker is not empty")
	}
	s.cordons["a-0"] = s.c.withdrawals["a-0"].ID
	s.run(1 * clock.Second)
	if got := len(s.orders); got != 1 {
		t.Errorf("orders got %d, want 1", got)
	}
}

// Guards against a wave that orders another machine down while the outcome of an order is unknown: the first machine may be
// down.
func TestOrderWithoutAnswerCountsAsDown(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 4})
	s.answer = func(Order) Outcome { return Unanswered }
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: machineNames("a", 4), Duration: 8 * clock.Second, MaxDown: 1}, nil)
	s.run(5 * clock.Second)
	ordered := map[string]bool{}
	for _, order := range s.orders {
		ordered[order.Withdrawal.Machine] = true
	}
	if len(ordered) != 1 {
		t.Errorf("machines ordered got %d, want 1 while the outcome of the order is unknown", len(ordered))
	}
}

// Guards against a coordinator that sends orders while an order of its predecessor may still arrive.
func TestSuccessorWaits(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 2})
	s.c.OrdersFrom = s.now + 3000
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: []string{"a-0"}, Duration: 10 * clock.Second, MaxDown: 1}, nil)
	s.run(2900)
	if got := len(s.orders); got != 0 {
		t.Errorf("orders got %d, want 0", got)
	}
	s.run(1000)
	if got := len(s.orders); got != 1 {
		t.Errorf("orders got %d, want 1", got)
	}
}

// Guards against a pool whose tasks wait while machines are idle elsewhere, and against machines that stay in a pool that does
// not need them.
func TestMachinesMoveToBusyPoolAndBack(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 5, "b": 5, "standby": 6})
	load := s.loads["a"]
	load.ArrivingCPU, load.Waiting.CPU, load.Running.CPU = 12000, 4000, 5000
	for worker := range load.UsedCPU {
		load.UsedCPU[worker] = 1000
	}
	s.loads["a"] = load
	s.run(4 * clock.Second)
	if got := machinesOf(s, "a"); got < 11 {
		t.Errorf("machines of the busy pool got %d, want at least 11", got)
	}
	idle := pool.Load{UsedCPU: map[string]int{}, LongRunningTasks: map[string]int{}}
	for _, m := range s.machines {
		if m.Pool == "a" && m.Worker != "" {
			idle.UsedCPU[m.Worker] = 0
			idle.Workers++
			idle.TotalCapacity.CPU += 1000
		}
	}
	s.loads["a"] = idle
	s.run(shrinkAfter + 3*clock.Second)
	// An idle pool keeps basePercent of an equal share of the machines; there are two pools besides standby.
	if got, most := machinesOf(s, "a"), len(s.machines)*basePercent/100/2+1; got > most {
		t.Errorf("machines of the idle pool got %d, want at most %d", got, most)
	}
}

// machinesOf returns the number of machines of a pool.
func machinesOf(s *testSite, name string) int {
	n := 0
	for _, m := range s.machines {
		if m.Pool == name {
			n++
		}
	}
	return n
}

// Guards against a pool that gets no machines because none of its own is usable: all are withdrawn or down.
func TestPoolWithoutUsableWorkersGetsMachines(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 2, "b": 6, "standby": 4})
	s.loads["a"] = pool.Load{MinWorkers: 2, UsedCPU: map[string]int{}, LongRunningTasks: map[string]int{}}
	s.run(4 * clock.Second)
	if got := machinesOf(s, "a"); got < 4 {
		t.Errorf("machines got %d, want at least 4", got)
	}
}

// Guards against a machine that no pool can use: it was idle when it was chosen for a move, but its worker never becomes empty.
func TestMoveThatCannotEmptyItsWorkerIsDropped(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 8, "b": 8})
	for i := range 8 {
		s.notEmptied[fmt.Sprintf("b-%d", i)] = true
	}
	load := s.loads["a"]
	load.ArrivingCPU, load.Waiting.CPU = 20000, 4000
	s.loads["a"] = load
	s.run(1 * clock.Second)
	if got := len(s.c.withdrawals); got == 0 {
		t.Error("withdrawals got 0, want some")
	}
	load.ArrivingCPU, load.Waiting.CPU = 0, 0
	s.loads["a"] = load
	s.run(moveEmptyLimit + 1*clock.Second)
	if got := len(s.c.withdrawals); got != 0 {
		t.Errorf("withdrawals got %d, want 0 after moveEmptyLimit", got)
	}
}

// Guards against a pool whose crashed machines are not replaced because the platform still lists them as up.
func TestCrashedMachinesAreReplaced(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 8, "b": 8, "standby": 8})
	s.run(joinLimit)
	load := s.loads["a"]
	load.Workers, load.TotalCapacity.CPU = 1, 1000
	load.UsedCPU = map[string]int{"w-a-0": 0}
	s.loads["a"] = load
	s.run(4 * clock.Second)
	least := len(s.machines) * basePercent / 100 / 2 * lentBasePercent / 100
	if got, want := machinesOf(s, "a"), 8+least-1; got < want {
		t.Errorf("machines of the pool got %d, want at least %d: 7 of its own cannot be used", got, want)
	}
}

// Guards against machines that run only tasks of jobs which can no longer meet their objective, while jobs of another pool that
// can meet theirs wait; and against interrupting such tasks only to return the machines to standby.
func TestMachinesWithLateWorkAreLent(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 2, "b": 10, "standby": 0})
	late := s.loads["b"]
	late.LateCPU, late.Running.CPU = map[string]int{}, 10000
	for worker := range late.UsedCPU {
		late.UsedCPU[worker], late.LateCPU[worker] = 1000, 1000
	}
	s.loads["b"] = late
	s.run(shrinkAfter + 2*clock.Second)
	if got, want := machinesOf(s, "b"), 10; got != want {
		t.Errorf("machines with late work got %d, want %d while no pool needs them", got, want)
	}
	short := s.loads["a"]
	short.ArrivingCPU, short.Waiting.CPU, short.Running.CPU = 6000, 4000, 2000
	for worker := range short.UsedCPU {
		short.UsedCPU[worker] = 1000
	}
	s.loads["a"] = short
	s.run(4 * clock.Second)
	if got, want := machinesOf(s, "a"), 6; got < want {
		t.Errorf("machines of the pool with new work got %d, want at least %d", got, want)
	}
}

// Guards against a wave that cannot be completed: the long-running tasks on its machines need other workers, but the machines that
// the pool did not need until the wave have all been moved to other pools.
func TestPoolKeepsWorkersForLongRunningTasksDuringWave(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 8, "b": 4})
	lasting := s.loads["a"]
	lasting.MinWorkers = 5
	for i := range 5 {
		lasting.LongRunningTasks[fmt.Sprintf("w-a-%d", i)] = 1
	}
	s.loads["a"] = lasting
	short := s.loads["b"]
	short.ArrivingCPU, short.Waiting.CPU, short.Running.CPU = 20000, 4000, 4000
	for worker := range short.UsedCPU {
		short.UsedCPU[worker] = 1000
	}
	s.loads["b"] = short
	s.notEmptied["a-0"], s.notEmptied["a-1"] = true, true
	s.c.SetWave(batch.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, Duration: 10 * clock.Second, MaxDown: 2}, nil)
	s.run(3 * clock.Second)
	if got, want := machinesOf(s, "a"), 7; got < want {
		t.Errorf("machines of the pool got %d, want at least %d: 5 for the long-running tasks, and the two that are withdrawn", got, want)
	}
}

// Guards against machines that move only a few at a time to a pool that needs more than a hundred, and against transactions that
// the store refuses because of their size.
func TestManyMachinesMoveAtOnce(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 20, "standby": 160})
	load := s.loads["a"]
	load.ArrivingCPU, load.Waiting.CPU, load.Running.CPU = 170000, 40000, 20000
	for worker := range load.UsedCPU {
		load.UsedCPU[worker] = 1000
	}
	s.loads["a"] = load
	s.run(3 * clock.Second)
	if got, want := machinesOf(s, "a"), 180; got != want {
		t.Errorf("machines after 3 s got %d, want all %d", got, want)
	}
	if s.mostRows > maxTransactionRows+1 {
		t.Errorf("rows of one transaction got %d, want at most %d", s.mostRows, maxTransactionRows+1)
	}
}

// Guards against a wave that begins with idle machines and has too little time left for those with long-running tasks, because
// such tasks can leave their machines only one after another; and against a wave that withdraws too many of the latter at once.
func TestWaveBeginsWithMachinesOfLongRunningTasks(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 20})
	load := s.loads["a"]
	load.MinWorkers = 8
	for i := range 8 {
		machine := fmt.Sprintf("a-%d", i)
		load.LongRunningTasks["w-"+machine] = 1
		s.notEmptied[machine] = true
	}
	s.loads["a"] = load
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: machineNames("a", 16), Duration: 25 * clock.Second, MaxDown: 4}, nil)
	const leaveTime = 1600 * clock.Millis(1) // for the long-running tasks of one machine
	for s.now < 25*clock.Second && !s.c.waves[1].state.Completed {
		s.run(leaveTime)
		evacuating := 0
		for _, machine := range sorted(s.c.withdrawals) {
			if withdrawal := s.c.withdrawals[machine]; s.notEmptied[machine] && !withdrawal.Ordered {
				if evacuating++; evacuating == 1 {
					s.cordons[machine] = withdrawal.ID
				}
			}
		}
		if evacuating > maxEvacuating {
			t.Errorf("machines that long-running tasks are leaving got %d, want at most %d", evacuating, maxEvacuating)
		}
	}
	if got, most := s.now, 9*leaveTime+clock.Second; got > most {
		t.Errorf("simulated time after the wave got %d ms, want at most %d: the long-running tasks leave eight machines one after another", got, most)
	}
	if got, most := s.down, 4; got > most {
		t.Errorf("machines down at once got %d, want at most %d", got, most)
	}
}

// Guards against a wave over all machines of a pool that empties machines long before they may go down: they stand empty, and
// the long-running tasks are moved again and again to machines that are withdrawn soon afterwards.
func TestWaveDoesNotEmptyMachinesLongBeforeTheirTurn(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 15})
	load := s.loads["a"]
	load.MinWorkers = 1
	lasting := func(machine string) {
		load.LongRunningTasks[s.machines[machine].Worker]++
		s.notEmptied[machine] = true
	}
	lasting("a-0")
	lasting("a-1")
	s.loads["a"] = load
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: machineNames("a", 15), Duration: 40 * clock.Second, MaxDown: 2}, nil)
	most := 0
	for s.now < 40*clock.Second && !s.c.waves[1].state.Completed {
		s.run(200)
		empty := 0
		for _, machine := range sorted(s.c.withdrawals) {
			switch {
			case s.c.withdrawals[machine].Ordered:
			case !s.notEmptied[machine]:
				empty++
			default: // its tasks move to another machine
				delete(s.notEmptied, machine)
				delete(load.LongRunningTasks, s.machines[machine].Worker)
				s.cordons[machine] = s.c.withdrawals[machine].ID
				for _, other := range machineNames("a", 15) {
					if s.c.withdrawals[other] == nil && s.machines[other].State == batch.MachineUp && !s.notEmptied[other] {
						lasting(other)
						break
					}
				}
			}
		}
		most = max(most, empty)
	}
	if got, want := most, 2+maxEvacuating; got > want {
		t.Errorf("empty machines that wait for their order got %d, want at most %d", got, want)
	}
	if !s.c.waves[1].state.Completed {
		t.Error("wave is not completed within its duration")
	}
	if got, want := s.down, 2; got > want {
		t.Errorf("machines down at once got %d, want at most %d", got, want)
	}
}

// Guards against a pool that waits for machines in an availability zone that is cut off, while machines in other ones are
// available.
func TestMachinesThatDoNotComeAreReplaced(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 4, "b": 4, "standby": 12})
	for i := range 12 {
		zone := "z1"
		if i >= 6 {
			zone = "z2"
		}
		s.machines[fmt.Sprintf("standby-%d", i)].Zone = zone
	}
	s.cutZone = "z1"
	load := s.loads["a"]
	load.ArrivingCPU, load.Waiting.CPU, load.Running.CPU = 7000, 4000, 4000
	for worker := range load.UsedCPU {
		load.UsedCPU[worker] = 1000
	}
	s.loads["a"] = load
	s.run(arrivalLimit + 3*clock.Second)
	up := 0
	for _, m := range s.machines {
		if m.Pool == "a" && m.State == batch.MachineUp && m.Zone == "z2" {
			up++
		}
	}
	if got, want := up, 5; got < want {
		t.Errorf("machines that have arrived got %d, want at least %d", got, want)
	}
}

// Guards against a pool that gets no machines because as many moves as may be open at once are stuck in an availability zone
// that is cut off, also when they were restored by a new coordinator.
func TestStuckMovesLeaveRoomForOthers(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 4, "b": 10, "standby": maxWithdrawals + 20})
	s.c.Tick(s.now, s.now)
	for i := range maxWithdrawals {
		m := s.machines[fmt.Sprintf("standby-%d", i)]
		m.Zone, m.Pool, m.State = "z1", "b", batch.MachineMoving
		s.c.Restore(Withdrawal{ID: fmt.Sprintf("6-%d", i), Machine: m.ID, Op: Move, Pool: "b", Ordered: true})
	}
	load := s.loads["a"]
	load.ArrivingCPU, load.Waiting.CPU, load.Running.CPU = 20000, 4000, 4000
	for worker := range load.UsedCPU {
		load.UsedCPU[worker] = 1000
	}
	s.loads["a"] = load
	s.answer = func(order Order) Outcome {
		if s.machines[order.Withdrawal.Machine].Zone == "z1" {
			return Unanswered
		}
		return Accepted
	}
	s.run(arrivalLimit + 3*clock.Second)
	if got, want := machinesOf(s, "a"), 20; got < want {
		t.Errorf("machines of the busy pool got %d, want at least %d", got, want)
	}
}

// Guards against a large fleet in which a surge waits for machines although the platform accepts more orders: 200 moves at a time brought
// some 70 machines a second, while a pool needed 300 within its surge.
func TestSurgeMovesAsManyMachinesAsThePlatformAccepts(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 40, "b": 10, "standby": 440})
	s.c.OrderRate = 300
	load := s.loads["a"]
	load.ArrivingCPU, load.Waiting.CPU, load.Running.CPU = 400000, 100000, 40000
	for worker := range load.UsedCPU {
		load.UsedCPU[worker] = 1000
	}
	s.loads["a"] = load
	s.run(2500)
	if got, want := machinesOf(s, "a"), 400; got < want {
		t.Errorf("machines of the busy pool after 2.5 s got %d, want at least %d", got, want)
	}
}

// Guards against a wave that misses its time by its last machine: near the end of a wave, a machine that had just been moved was not
// withdrawn as long as more machines were down for maintenance than were left.
func TestLastMachineOfAWaveDoesNotWaitForOthers(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 10})
	last := s.machines["a-2"]
	last.State = batch.MachineMoving
	s.c.SetWave(batch.Wave{Number: 1, Machines: machineNames("a", 3), Duration: 7 * clock.Second, MaxDown: 3}, nil)
	s.run(500)
	last.State = batch.MachineUp
	s.run(300)
	if s.c.withdrawals[last.ID] == nil && !s.c.waves[1].begun[last.ID] {
		t.Error("the last machine of the wave got no withdrawal, want one while the others are down")
	}
	if got, want := s.down, 3; got > want {
		t.Errorf("machines down at once got %d, want at most %d", got, want)
	}
}

// Guards against pools that have lent machines and stay small after the surge elsewhere: its machines went to standby, from where the next
// surge had to bring them back with a second move.
func TestLentMachinesComeBackAfterASurge(t *testing.T) {
	s := newTestSite(t, map[string]int{"a": 3, "b": 24, "c": 3, "standby": 0})
	s.run(6 * clock.Second)
	base := 30 * basePercent / 100 / 3
	for _, name := range []string{"a", "b", "c"} {
		if got := machinesOf(s, name); got < base {
			t.Errorf("machines of pool %s after the surge of b got %d, want at least %d", name, got, base)
		}
	}
}

// crash replaces the worker of a machine that is up, as after a crash, by one with a new id.
func (s *testSite) crash(machine string) {
	s.restarts++
	s.machines[machine].Worker = fmt.Sprintf("w-%s-%d", machine, s.restarts)
}

// Guards against an order that is repeated after another worker has started on the machine: the platform would end its tasks, although only
// the worker before it was emptied: review case 5, AVAIL.
func TestOrderIsNotRepeatedForAnotherWorker(t *testing.T) {
	for _, op := range []Operation{Upkeep, Move} {
		for _, takeover := range []bool{false, true} {
			for _, outcome := range []Outcome{Rejected, Unanswered, Busy} {
				when := fmt.Sprintf("%s, takeover %v, outcome %d", op, takeover, outcome)
				s, machine := siteWithAnOpenOrder(t, op, outcome)
				s.crash(machine)
				s.notEmptied[machine] = true // tasks run on the new worker
				if takeover {
					s.takeOver()
				}
				before := s.ordersFor(machine)
				s.answer = nil
				s.run(3 * clock.Second)
				if got := s.ordersFor(machine) - before; got != 0 {
					t.Errorf("%s: orders got %d, want 0 while tasks run on the new worker", when, got)
				}
				withdrawal := s.c.withdrawals[machine]
				if withdrawal == nil || withdrawal.Worker != s.machines[machine].Worker || !withdrawal.Ordered {
					t.Fatalf("%s: withdrawal got %+v, want one for worker %s that counts as ordered", when, withdrawal, s.machines[machine].Worker)
				}
				s.cordons[machine] = withdrawal.ID
				s.run(1 * clock.Second)
				if got := s.ordersFor(machine) - before; got != 1 {
					t.Errorf("%s: orders got %d, want 1 once the new worker is empty", when, got)
				}
				s.run(10 * clock.Second)
				if left := s.c.withdrawals[machine]; left != nil && left.ID == withdrawal.ID {
					t.Errorf("%s: withdrawal %+v is open, want none after the operation", when, left)
				}
			}
		}
	}
}

// siteWithAnOpenOrder returns a site that has sent one order at least, which had the outcome, and the machine of that order.
func siteWithAnOpenOrder(t *testing.T, op Operation, outcome Outcome) (s *testSite, machine string) {
	t.Helper()
	s = newTestSite(t, map[string]int{"a": 20, "b": 4})
	s.answer = func(Order) Outcome { return outcome }
	s.c.Tick(s.now, s.now)
	if op == Upkeep {
		s.c.SetWave(batch.Wave{Number: 1, Machines: []string{"a-0"}, Duration: 30 * clock.Second, MaxDown: 1}, nil)
	} else {
		load := s.loads["b"]
		load.Waiting.CPU = 5000
		s.loads["b"] = load
	}
	for len(s.orders) == 0 && s.now < 20*clock.Second {
		s.run(100)
	}
	if len(s.orders) == 0 || s.orders[0].Withdrawal.Op != op {
		t.Fatalf("orders got %+v, want one of kind %s", s.orders, op)
	}
	return s, s.orders[0].Withdrawal.Machine
}

// ordersFor returns the number of orders for a machine so far.
func (s *testSite) ordersFor(machine string) int {
	n := 0
	for _, order := range s.orders {
		if order.Withdrawal.Machine == machine {
			n++
		}
	}
	return n
}

// takeOver replaces the coordinator by one that knows what is stored.
func (s *testSite) takeOver() {
	before := s.c
	s.c = NewCoordinator(before.Token+1, s.now, nil)
	s.c.Configure(before.configuration)
	s.c.Tick(s.now, s.now)
	for _, machine := range sorted(before.withdrawals) {
		s.c.Restore(before.withdrawals[machine].Withdrawal)
	}
	for _, number := range sorted(before.waves) {
		s.c.SetWave(before.waves[number].Wave, &before.waves[number].state)
	}
}

// Guards against a machine that is kept from its pool although its maintenance or its move is done: the answer to the order was lost, and
// the order is not repeated, as the worker that it was for is gone.
func TestOperationWithoutAnAnswerEnds(t *testing.T) {
	for _, op := range []Operation{Upkeep, Move} {
		for _, takeover := range []bool{false, true} {
			s, machine := siteWithAnOpenOrder(t, op, Unanswered)
			m := s.machines[machine]
			m.State, m.Worker = batch.MachineUpkeep, ""
			if op == Move {
				m.State, m.Pool = batch.MachineMoving, s.orders[0].Withdrawal.Pool
			}
			s.upAt[machine] = s.now + 2000
			s.notEmptied[machine] = true
			delete(s.cordons, machine)
			if takeover {
				s.takeOver()
			}
			id := s.c.withdrawals[machine].ID
			s.run(4 * clock.Second)
			if left := s.c.withdrawals[machine]; left != nil && left.ID == id {
				t.Errorf("%s, takeover %v: withdrawal %+v is open, want none", op, takeover, left.Withdrawal)
			}
			if op == Upkeep && !s.c.waves[1].state.Completed {
				t.Errorf("%s, takeover %v: wave is open, want it completed", op, takeover)
			}
		}
	}
}

// Guards against a machine that counts as back, or stays withdrawn, after an order that the platform accepted because the operation had
// been carried out for an earlier one.
func TestOperationThatWasDoneBefore(t *testing.T) {
	s, machine := siteWithAnOpenOrder(t, Upkeep, Unanswered)
	s.crash(machine) // in truth the maintenance, which no list has shown
	s.answer, s.done = nil, true
	s.run(5 * clock.Second)
	if left := s.c.withdrawals[machine]; left != nil {
		t.Errorf("withdrawal %+v is open, want none", left.Withdrawal)
	}
	if !s.c.waves[1].state.Completed {
		t.Error("wave is open, want it completed")
	}
}

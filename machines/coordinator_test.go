package machines

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/pool"
)

// site is a set of machines that carries orders out, and owners of pools that empty workers when they are asked to.
type site struct {
	t        *testing.T
	c        *Coordinator
	now      clock.Millis
	machines map[string]*batch.Machine
	back     map[string]clock.Millis // when a machine is up again
	life     int
	orders   []Order
	cordons  map[string]string
	held     map[string]bool // machines whose owners do not empty them
	down     int             // most machines that were down at once
	loads    map[string]pool.Load
	rows     int // most rows of one transaction
	answer   func(order Order) Outcome
	cut      string // availability zone whose machines do not come up
}

func newSite(t *testing.T, pools map[string]int) *site {
	s := &site{t: t, c: NewCoordinator(7, 0, nil), now: 1000, machines: map[string]*batch.Machine{}, back: map[string]clock.Millis{},
		cordons: map[string]string{}, held: map[string]bool{}, loads: map[string]pool.Load{}}
	configuration := &batch.Configuration{Version: 1}
	for _, name := range sorted(pools) {
		configuration.Pools = append(configuration.Pools, batch.Pool{Name: name, Standby: name == "standby"})
		load := pool.Load{Busy: map[string]int{}, Lasting: map[string]int{}}
		for i := range pools[name] {
			m := &batch.Machine{ID: fmt.Sprintf("%s-%d", name, i), Pool: name, State: batch.MachineUp}
			if name != "standby" {
				m.Worker = "w-" + m.ID
				load.Busy[m.Worker] = 0
				load.Workers++
				load.Room.CPU += 1000
			}
			s.machines[m.ID] = m
		}
		s.loads[name] = load
	}
	s.c.Configure(configuration)
	return s
}

func (s *site) run(d clock.Millis) {
	for end := s.now + d; s.now < end; s.now += 100 {
		s.c.Tick(s.now, s.now)
		s.bring()
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
		s.carry()
		if draft := s.c.Draft(); draft != nil {
			s.store(draft)
		}
	}
}

func (s *site) bring() {
	for id, at := range s.back {
		if m := s.machines[id]; s.now >= at && (m.Zone == "" || m.Zone != s.cut) {
			delete(s.back, id)
			s.life++
			m.State = batch.MachineUp
			if m.Worker = ""; m.Pool != "standby" {
				m.Worker = fmt.Sprintf("w-%s-%d", id, s.life)
			}
		}
	}
}

func (s *site) carry() {
	for _, order := range s.c.Orders() {
		s.orders = append(s.orders, order)
		outcome := Accepted
		if s.answer != nil {
			outcome = s.answer(order)
		}
		m := s.machines[order.Withdrawal.Machine]
		if outcome == Accepted {
			m.State, m.Worker = batch.MachineUpkeep, ""
			if order.Withdrawal.Op == Move {
				m.State, m.Pool = batch.MachineMoving, order.Withdrawal.Pool
			}
			s.back[m.ID] = s.now + 2000
		}
		s.c.Carried(order, outcome)
	}
	down := 0
	for _, m := range s.machines {
		if m.State == batch.MachineUpkeep {
			down++
		}
	}
	s.down = max(s.down, down)
}

// store answers the wants as owners of pools do.
func (s *site) store(draft *Draft) {
	for _, machine := range draft.Dropped {
		delete(s.cordons, machine)
	}
	for _, want := range draft.Withdrawals {
		if !s.held[want.Machine] {
			s.cordons[want.Machine] = want.ID
		}
	}
	s.rows = max(s.rows, len(draft.Withdrawals)+len(draft.Dropped)+len(draft.Waves))
	s.c.Committed(draft)
}

func names(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}

// Guards against a wave that misses its time, and against more machines down for it than allowed.
func TestWaveEndsInTimeWithinItsLimit(t *testing.T) {
	s := newSite(t, map[string]int{"a": 10, "b": 10, "standby": 4})
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: append(names("a", 8), names("standby", 3)...), Duration: 25 * clock.Second, MaxDown: 3}, nil)
	s.run(25 * clock.Second)
	if got := s.c.waves[1].state.Completed; !got {
		t.Errorf("completed got %v with %d machines begun, want true", got, len(s.c.waves[1].begun))
	}
	if s.down > 3 {
		t.Errorf("machines down at once got %d, want at most 3", s.down)
	}
}

// Guards against an order for a machine on which something still runs.
func TestNoOrderBeforeTheWorkerIsEmpty(t *testing.T) {
	s := newSite(t, map[string]int{"a": 3})
	s.held["a-0"] = true
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: []string{"a-0"}, Duration: 10 * clock.Second, MaxDown: 1}, nil)
	s.run(5 * clock.Second)
	if got := len(s.orders); got != 0 {
		t.Errorf("orders got %d, want 0 while the worker is not empty", got)
	}
	if s.c.waves[1].state.Completed {
		t.Error("wave is completed, want it running")
	}
	s.cordons["a-0"] = s.c.wants["a-0"].ID
	s.run(1 * clock.Second)
	if got := len(s.orders); got != 1 {
		t.Errorf("orders got %d, want 1", got)
	}
}

// Guards against a wave that counts a machine whose order got no answer as not begun, and takes another one down.
func TestOrderWithoutAnswerCountsAsDown(t *testing.T) {
	s := newSite(t, map[string]int{"a": 4})
	s.answer = func(Order) Outcome { return Unanswered }
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: names("a", 4), Duration: 8 * clock.Second, MaxDown: 1}, nil)
	s.run(5 * clock.Second)
	ordered := map[string]bool{}
	for _, order := range s.orders {
		ordered[order.Withdrawal.Machine] = true
	}
	if len(ordered) != 1 {
		t.Errorf("machines ordered got %d, want 1 until its answer is known", len(ordered))
	}
}

// Guards against a successor that orders on a machine within the time in which its predecessor may have.
func TestSuccessorWaits(t *testing.T) {
	s := newSite(t, map[string]int{"a": 2})
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

// Guards against a pool whose work waits while machines stand idle, and against machines that stay in a pool that does not
// need them.
func TestMachinesFollowTheWork(t *testing.T) {
	s := newSite(t, map[string]int{"a": 5, "b": 5, "standby": 6})
	load := s.loads["a"]
	load.Arriving, load.Waiting.CPU, load.Running.CPU = 12000, 4000, 5000
	for worker := range load.Busy {
		load.Busy[worker] = 1000
	}
	s.loads["a"] = load
	s.run(4 * clock.Second)
	if got := count(s, "a"); got < 11 {
		t.Errorf("machines of the busy pool got %d, want at least 11", got)
	}
	idle := pool.Load{Busy: map[string]int{}, Lasting: map[string]int{}}
	for _, m := range s.machines {
		if m.Pool == "a" && m.Worker != "" {
			idle.Busy[m.Worker] = 0
			idle.Workers++
			idle.Room.CPU += 1000
		}
	}
	s.loads["a"] = idle
	s.run(shrinkAfter + 3*clock.Second)
	if got, most := count(s, "a"), len(s.machines)*baseShare/100/2+1; got > most {
		t.Errorf("machines of the idle pool got %d, want at most %d", got, most)
	}
}

func count(s *site, name string) int {
	n := 0
	for _, m := range s.machines {
		if m.Pool == name {
			n++
		}
	}
	return n
}

// Guards against a pool that starves because all its machines are wanted or down: its owner cannot use any.
func TestPoolWithoutUsableWorkersGetsMachines(t *testing.T) {
	s := newSite(t, map[string]int{"a": 2, "b": 6, "standby": 4})
	s.loads["a"] = pool.Load{Least: 2, Busy: map[string]int{}, Lasting: map[string]int{}}
	s.run(4 * clock.Second)
	if got := count(s, "a"); got < 4 {
		t.Errorf("machines got %d, want at least 4", got)
	}
}

// Guards against a machine that is lost to every pool: it was idle when it was chosen for a move, and never becomes empty.
func TestMoveThatCannotEmptyItsWorkerIsDropped(t *testing.T) {
	s := newSite(t, map[string]int{"a": 8, "b": 8})
	for i := range 8 {
		s.held[fmt.Sprintf("b-%d", i)] = true
	}
	load := s.loads["a"]
	load.Arriving, load.Waiting.CPU = 20000, 4000
	s.loads["a"] = load
	s.run(1 * clock.Second)
	if got := len(s.c.wants); got == 0 {
		t.Error("wants got 0, want some")
	}
	load.Arriving, load.Waiting.CPU = 0, 0
	s.loads["a"] = load
	s.run(moveLimit + 1*clock.Second)
	if got := len(s.c.wants); got != 0 {
		t.Errorf("wants got %d, want 0", got)
	}
}

// Guards against a pool that counts crashed machines, which the platform still lists as up, and gets none for them.
func TestCrashedMachinesAreReplaced(t *testing.T) {
	s := newSite(t, map[string]int{"a": 8, "b": 8, "standby": 8})
	s.run(joinTime)
	load := s.loads["a"]
	load.Workers, load.Room.CPU = 1, 1000
	load.Busy = map[string]int{"w-a-0": 0}
	s.loads["a"] = load
	s.run(4 * clock.Second)
	least := len(s.machines) * baseShare / 100 / 2 * lentShare / 100
	if got, want := count(s, "a"), 8+least-1; got < want {
		t.Errorf("machines of the pool got %d, want %d: 7 of its own cannot be used", got, want)
	}
}

// Guards against machines that are kept by tasks of jobs which cannot meet their objective any more, while work waits elsewhere
// that can, and against interrupting such tasks only to save the machine.
func TestMachinesWithLateWorkAreLent(t *testing.T) {
	s := newSite(t, map[string]int{"a": 2, "b": 10, "standby": 0})
	late := s.loads["b"]
	late.Late, late.Running.CPU = map[string]int{}, 10000
	for worker := range late.Busy {
		late.Busy[worker], late.Late[worker] = 1000, 1000
	}
	s.loads["b"] = late
	s.run(shrinkAfter + 2*clock.Second)
	if got, want := count(s, "b"), 10; got != want {
		t.Errorf("machines with late work got %d, want %d while no pool needs them", got, want)
	}
	short := s.loads["a"]
	short.Arriving, short.Waiting.CPU, short.Running.CPU = 6000, 4000, 2000
	for worker := range short.Busy {
		short.Busy[worker] = 1000
	}
	s.loads["a"] = short
	s.run(4 * clock.Second)
	if got, want := count(s, "a"), 6; got < want {
		t.Errorf("machines of the pool with new work got %d, want at least %d", got, want)
	}
}

// Guards against a wave that cannot end: the tasks that last on one of its machines need another worker, and the pool has
// given away all that it could do without.
func TestTasksThatLastCanLeaveAMachineOfAWave(t *testing.T) {
	s := newSite(t, map[string]int{"a": 8, "b": 4})
	lasting := s.loads["a"]
	lasting.Least = 5
	for i := range 5 {
		lasting.Lasting[fmt.Sprintf("w-a-%d", i)] = 1
	}
	s.loads["a"] = lasting
	short := s.loads["b"]
	short.Arriving, short.Waiting.CPU, short.Running.CPU = 20000, 4000, 4000
	for worker := range short.Busy {
		short.Busy[worker] = 1000
	}
	s.loads["b"] = short
	s.held["a-0"], s.held["a-1"] = true, true
	s.c.SetWave(batch.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, Duration: 10 * clock.Second, MaxDown: 2}, nil)
	s.run(3 * clock.Second)
	if got, want := count(s, "a"), 7; got < want {
		t.Errorf("machines of the pool got %d, want at least %d: 5 for the tasks that last, beside the two that are wanted", got, want)
	}
}

// Guards against a fleet of hundreds of machines that follows the work no faster than a small one, and against transactions
// that the store refuses for their size.
func TestManyMachinesMoveAtOnce(t *testing.T) {
	s := newSite(t, map[string]int{"a": 20, "standby": 160})
	load := s.loads["a"]
	load.Arriving, load.Waiting.CPU, load.Running.CPU = 170000, 40000, 20000
	for worker := range load.Busy {
		load.Busy[worker] = 1000
	}
	s.loads["a"] = load
	s.run(3 * clock.Second)
	if got, want := count(s, "a"), 180; got != want {
		t.Errorf("machines after 3 s got %d, want all %d", got, want)
	}
	if s.rows > maxRows+1 {
		t.Errorf("rows of one transaction got %d, want at most %d", s.rows, maxRows+1)
	}
}

// Guards against a wave that begins with idle machines and has no time left for those whose tasks that last can leave only one
// after another, and against one that takes too many of these at once.
func TestWaveBeginsWithTasksThatLast(t *testing.T) {
	s := newSite(t, map[string]int{"a": 20})
	load := s.loads["a"]
	load.Least = 8
	for i := range 8 {
		machine := fmt.Sprintf("a-%d", i)
		load.Lasting["w-"+machine] = 1
		s.held[machine] = true
	}
	s.loads["a"] = load
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: names("a", 16), Duration: 25 * clock.Second, MaxDown: 4}, nil)
	const leaveTime = 1600 * clock.Millis(1) // for the tasks of one machine
	for s.now < 25*clock.Second && !s.c.waves[1].state.Completed {
		s.run(leaveTime)
		hosts := 0
		for _, machine := range sorted(s.c.wants) {
			if want := s.c.wants[machine]; s.held[machine] && !want.Ordered {
				if hosts++; hosts == 1 {
					s.cordons[machine] = want.ID
				}
			}
		}
		if hosts > hostsAhead {
			t.Errorf("machines that tasks which last are leaving got %d, want at most %d", hosts, hostsAhead)
		}
	}
	if got, most := s.now, 9*leaveTime+clock.Second; got > most {
		t.Errorf("wave ended after %d ms, want at most %d: eight machines have to be left one after another", got, most)
	}
	if got, most := s.down, 4; got > most {
		t.Errorf("machines down at once got %d, want at most %d", got, most)
	}
}

// Guards against tasks that last and are chased through a pool by a wave of all its machines, each of which then stands empty
// until its turn comes.
func TestWaveDoesNotEmptyMachinesLongBeforeTheirTurn(t *testing.T) {
	s := newSite(t, map[string]int{"a": 15})
	load := s.loads["a"]
	load.Least = 1
	lasting := func(machine string) {
		load.Lasting[s.machines[machine].Worker]++
		s.held[machine] = true
	}
	lasting("a-0")
	lasting("a-1")
	s.loads["a"] = load
	s.c.Tick(s.now, s.now)
	s.c.SetWave(batch.Wave{Number: 1, Machines: names("a", 15), Duration: 40 * clock.Second, MaxDown: 2}, nil)
	most := 0
	for s.now < 40*clock.Second && !s.c.waves[1].state.Completed {
		s.run(200)
		empty := 0
		for _, machine := range sorted(s.c.wants) {
			switch {
			case s.c.wants[machine].Ordered:
			case !s.held[machine]:
				empty++
			default: // its tasks find another place
				delete(s.held, machine)
				delete(load.Lasting, s.machines[machine].Worker)
				s.cordons[machine] = s.c.wants[machine].ID
				for _, other := range names("a", 15) {
					if s.c.wants[other] == nil && s.machines[other].State == batch.MachineUp && !s.held[other] {
						lasting(other)
						break
					}
				}
			}
		}
		most = max(most, empty)
	}
	if got, want := most, 2+hostsAhead; got > want {
		t.Errorf("machines that stand empty for the wave got %d, want at most %d", got, want)
	}
	if !s.c.waves[1].state.Completed {
		t.Error("the wave is not complete in its time")
	}
	if got, want := s.down, 2; got > want {
		t.Errorf("machines down at once got %d, want at most %d", got, want)
	}
}

// Guards against a pool that waits for machines in an availability zone that is cut off, while there are others.
func TestMachinesThatDoNotComeAreReplaced(t *testing.T) {
	s := newSite(t, map[string]int{"a": 4, "b": 4, "standby": 12})
	for i := range 12 {
		zone := "z1"
		if i >= 6 {
			zone = "z2"
		}
		s.machines[fmt.Sprintf("standby-%d", i)].Zone = zone
	}
	s.cut = "z1"
	load := s.loads["a"]
	load.Arriving, load.Waiting.CPU, load.Running.CPU = 7000, 4000, 4000
	for worker := range load.Busy {
		load.Busy[worker] = 1000
	}
	s.loads["a"] = load
	s.run(comingTime + 3*clock.Second)
	up := 0
	for _, m := range s.machines {
		if m.Pool == "a" && m.State == batch.MachineUp && m.Zone == "z2" {
			up++
		}
	}
	if got, want := up, 5; got < want {
		t.Errorf("machines that have come got %d, want at least %d", got, want)
	}
}

// Guards against a pool that gets no machines because as many as may be wanted at once are stuck in an availability zone that is
// cut off, also under a new coordinator.
func TestStuckMovesLeaveRoomForOthers(t *testing.T) {
	s := newSite(t, map[string]int{"a": 4, "b": 10, "standby": maxWants + 20})
	s.c.Tick(s.now, s.now)
	for i := range maxWants {
		m := s.machines[fmt.Sprintf("standby-%d", i)]
		m.Zone, m.Pool, m.State = "z1", "b", batch.MachineMoving
		s.c.Restore(Withdrawal{ID: fmt.Sprintf("6-%d", i), Machine: m.ID, Op: Move, Pool: "b", Ordered: true})
	}
	load := s.loads["a"]
	load.Arriving, load.Waiting.CPU, load.Running.CPU = 20000, 4000, 4000
	for worker := range load.Busy {
		load.Busy[worker] = 1000
	}
	s.loads["a"] = load
	s.answer = func(order Order) Outcome {
		if s.machines[order.Withdrawal.Machine].Zone == "z1" {
			return Unanswered
		}
		return Accepted
	}
	s.run(comingTime + 3*clock.Second)
	if got, want := count(s, "a"), 20; got < want {
		t.Errorf("machines of the busy pool got %d, want at least %d", got, want)
	}
}

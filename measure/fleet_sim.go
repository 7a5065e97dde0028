package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/fleet"
	"magnoliaferry/memory"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

const (
	fleetTick     = clock.Second
	fleetPass     = 2 // ticks between two passes of a loop, the default period of fleet.Loop
	fleetLoops    = 3
	fleetSettle   = clock.Minute // instances join before the scenario begins
	fleetRackSize = 4
	// dispatchLag is how long entry instances go on dispatching to an instance that has left the phase serving; R6
	// allows 3 s.
	dispatchLag = 2 // ticks
	// meanLoad is the part of the slots of a pool that its mean demand occupies.
	meanLoad = 0.3
)

// fleetSim drives the control loops of one fleet on the platform in memory and a fake clock, in one goroutine.
type fleetSim struct {
	clock   *clock.Clock
	faults  *fault.Injector
	store   *memory.Store
	random  *rand.Rand
	fields  config.Fields
	config  *config.Configuration // of fields; nil after a change
	loops   []*fleet.Loop
	desks   []*fleet.Loop // where operators' requests arrive; they make no passes
	ctx     context.Context
	started clock.Millis

	load       func(pool string, index int, now clock.Millis) float64 // part of the slots that the demand occupies
	demand     map[string]int
	inFlight   map[string]int
	sick       map[string]bool
	failing    map[string]bool // fails every task
	down       map[string]provider.Instance
	lost       map[string]bool // was down at some time
	records    map[string]planner.RecordFields
	versions   map[string]int64
	dispatched [][]string // serving instances of the last ticks, the newest last

	tasks    taskWorld
	firstFit bool // jobs are placed by the stand-in
	ticks    int
	fleetCounts
}

// fleetCounts holds the sums behind the figures.
type fleetCounts struct {
	moves, violations, cut int
	buffer, short          int // worker-seconds above and below what demand and capacity need
	wanted, asked          int // workers that the planner wants above what demand and capacity need, and how often it was asked
	over                   int // pool-seconds outside the budget, whatever the cause
}

// newFleetSim builds the fleet of a configuration with the given weights and lets its instances join.
func newFleetSim(body []byte, weights config.Weights, seed uint64) *fleetSim {
	c, problems := config.Decode("fleet.json", body)
	if c == nil {
		panic(fmt.Sprintf("measure: example configuration: %v", problems))
	}
	s := &fleetSim{clock: clock.NewFake(clock.Hour), faults: &fault.Injector{}, random: rand.New(rand.NewPCG(seed, 1)),
		fields: c.Fields(), ctx: context.Background(), demand: map[string]int{}, inFlight: map[string]int{},
		sick: map[string]bool{}, failing: map[string]bool{}, down: map[string]provider.Instance{}, lost: map[string]bool{},
		records: map[string]planner.RecordFields{}, versions: map[string]int64{}}
	s.load = func(string, int, clock.Millis) float64 { return meanLoad }
	s.fields.Weights = weights
	s.fields.Jobs = nil
	s.tasks = newTaskWorld(s)
	s.store = memory.New(s.clock, s.faults)
	s.store.InFlight = func(instance string) int { return s.inFlight[instance] + s.tasks.running(instance) }
	number := 0
	for _, p := range s.fields.Pools {
		for range p.Instances {
			zone := s.fields.Zones[number%len(s.fields.Zones)].Name
			s.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: fmt.Sprintf("w%02d", number), Zone: zone,
				Rack: fmt.Sprintf("%s-%d", zone, number/len(s.fields.Zones)/fleetRackSize), Role: provider.RoleWorker,
				State: provider.Live, Cores: p.Cores, MemoryMB: p.MemoryMB, Slots: p.Slots}))
			number++
		}
	}
	for i := range fleetLoops {
		s.loops = append(s.loops, s.newLoop(fmt.Sprintf("entry-%d", i), i, int64(seed)))
		s.desks = append(s.desks, s.newLoop(fmt.Sprintf("desk-%d", i), i, int64(seed)))
	}
	for s.clock.Now() < clock.Hour+fleetSettle {
		s.tick()
	}
	s.started = s.clock.Now()
	s.ticks, s.fleetCounts = 0, fleetCounts{}
	return s
}

func (s *fleetSim) newLoop(holder string, zone int, seed int64) *fleet.Loop {
	name := s.fields.Zones[zone%len(s.fields.Zones)].Name
	view := taskPlatform{s.store.View(name), s}
	return &fleet.Loop{Holder: holder, Clock: s.clock, Platform: view,
		Assignments:   &fleet.Assignments{Clock: s.clock, Platform: view, Zone: name},
		Configuration: s.configuration, Demand: func() map[string]int { return maps.Clone(s.demand) },
		Healthy: func(instance string) bool { return !s.sick[instance] }, Wall: s.clock.Now, Seed: seed + int64(zone)}
}

func (s *fleetSim) configuration() *config.Configuration {
	if s.config == nil {
		s.config = config.New(s.fields)
	}
	return s.config
}

// now returns the time since the scenario began.
func (s *fleetSim) now() clock.Millis { return s.clock.Now() - s.started }

// tick moves the fleet on by a second; loops pass in a random order.
func (s *fleetSim) tick() {
	s.requests()
	s.tasks.advance()
	if s.ticks++; s.ticks%fleetPass == 0 {
		for _, i := range s.random.Perm(len(s.loops)) {
			_ = s.loops[i].Pass(s.ctx) // an error says that the platform is down, which scenarios bring about
			s.observe()
		}
	}
	if s.ticks%10 == 0 {
		s.ask()
	}
	s.count()
	s.clock.Advance(fleetTick)
}

// requests sets the demand and the requests in flight; those on instances that receive no more decay by half a second.
func (s *fleetSim) requests() {
	serving := map[string][]string{}
	var now []string
	for _, id := range slices.Sorted(maps.Keys(s.records)) {
		if s.records[id].Phase == planner.Serving && s.down[id].ID() == "" {
			now = append(now, id)
		}
	}
	s.dispatched = append(s.dispatched, now)
	s.dispatched = s.dispatched[max(len(s.dispatched)-1-dispatchLag, 0):]
	receives := map[string]bool{}
	for _, id := range s.dispatched[0] {
		if s.down[id].ID() == "" {
			receives[id] = true
			serving[s.records[id].Pool] = append(serving[s.records[id].Pool], id)
		}
	}
	for i, p := range s.fields.Pools {
		wanted := s.load(p.Name, i, s.now()) * float64(p.Instances*p.Slots)
		s.demand[p.Name] = int(wanted * (0.9 + 0.2*s.random.Float64()))
		for k, id := range serving[p.Name] {
			n := len(serving[p.Name])
			s.inFlight[id] = min((s.demand[p.Name]+k)/n, p.Slots)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.inFlight)) {
		if receives[id] {
			continue
		}
		left := 0
		for range s.inFlight[id] {
			if s.down[id].ID() == "" && s.random.IntN(2) == 0 {
				left++
			}
		}
		s.inFlight[id] = left
	}
}

// observe reads the instance rows past all faults and judges every change since it looked last.
func (s *fleetSim) observe() {
	s.store.Faults = nil
	rows, err := s.store.View("").Table().Scan(s.ctx, "instance/", "", 1<<20)
	s.store.Faults = s.faults
	if err != nil {
		panic(fmt.Sprintf("measure: %v", err))
	}
	drained := map[string]bool{}
	for _, row := range rows {
		if s.versions[row.Key()] == row.Version() {
			continue
		}
		s.versions[row.Key()] = row.Version()
		var r planner.RecordFields
		if err := json.Unmarshal(row.Value(), &r); err != nil {
			panic(fmt.Sprintf("measure: row %q: %v", row.Key(), err))
		}
		before := s.records[r.ID]
		s.records[r.ID] = r
		if before.Phase == planner.Serving && r.Phase == planner.Draining {
			drained[r.Pool] = true
		}
		if before.Phase == planner.Draining && (r.Phase == planner.Rebooting || r.Phase == planner.Moving) {
			s.cut += s.inFlight[r.ID]
		}
		if before.Pool != "" && before.Pool != r.Pool {
			s.moves++
		}
	}
	for _, p := range s.fields.Pools {
		if out, serving := s.outOf(p.Name); drained[p.Name] && (out > p.MaxUnavailable || serving < p.Capacity) {
			s.violations++
		}
	}
}

// outOf counts the instances of a pool that use its budget and those that serve.
func (s *fleetSim) outOf(pool string) (out, serving int) {
	for _, r := range s.records {
		switch {
		case r.Pool != pool:
		case r.Phase == planner.Serving:
			serving++
		case r.Phase != planner.Failed && r.Joining && r.From == "":
		default:
			out++
		}
	}
	return out, serving
}

// count adds the state of this second to the figures.
func (s *fleetSim) count() {
	for _, p := range s.fields.Pools {
		out, serving := s.outOf(p.Name)
		needed := max(p.Capacity, (s.demand[p.Name]+p.Slots-1)/p.Slots)
		s.buffer += max(serving-needed, 0)
		s.short += max(needed-serving, 0)
		if out > p.MaxUnavailable || serving < p.Capacity {
			s.over++
		}
	}
}

// ask samples the buffer that the planner wants for its weights; while the table is down there is no answer.
func (s *fleetSim) ask() {
	status, refusal := s.desks[2].Status(s.ctx)
	if refusal != nil {
		return
	}
	s.asked++
	for _, p := range status.Pools {
		slots := 0
		if declared, ok := s.configuration().Pool(p.Pool); ok {
			slots = declared.Slots()
		}
		// Without demand a pool wants its capacity and its buffer, so that the difference is the buffer alone.
		if p.Demand <= slots*p.Capacity*7/10 {
			s.wanted += p.Wanted - p.Capacity
		}
	}
}

// rolledOut tells whether every instance that was never lost was maintained since the scenario began. Waves leave
// instances that failed to the next wave.
func (s *fleetSim) rolledOut() bool {
	for id, r := range s.records {
		if r.Phase != planner.Failed && !s.lost[id] && (r.Maintained < s.started || r.Phase != planner.Serving) {
			return false
		}
	}
	return true
}

// notReached counts the instances that the roll-out left out because they failed.
func (s *fleetSim) notReached() (count int) {
	for _, r := range s.records {
		if r.Maintained < s.started {
			count++
		}
	}
	return count
}

// lose takes instances off the platform's list; an empty zone or rack matches all.
func (s *fleetSim) lose(zone, rack string) {
	s.store.Faults = nil
	list, _ := s.store.View("").Instances().List(s.ctx, zone)
	s.store.Faults = s.faults
	for _, i := range list {
		if rack == "" || i.Rack() == rack {
			s.down[i.ID()], s.lost[i.ID()] = i, true
			s.store.RemoveInstance(i.ID())
			s.inFlight[i.ID()] = 0
			s.tasks.lose(i.ID())
		}
	}
}

// restore brings every lost instance back.
func (s *fleetSim) restore() {
	for id, i := range s.down {
		s.store.SetInstance(i)
		delete(s.down, id)
	}
}

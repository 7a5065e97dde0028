package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Times and sizes of the stand-in's workers; the platform's are about the same.
const (
	FleetTick         = 10 * clock.Millis(1)   // between two calls of Advance
	stopTime          = 200 * clock.Millis(1)  // from a stop to the end of the run
	longRunningStart  = 300 * clock.Millis(1)  // until a task that lasts is at work
	moveTime          = 1500 * clock.Millis(1) // until a machine is back in its new pool
	maintenanceTime   = 2 * clock.Second
	maxHold           = 2 * clock.Second       // longest wait of a hold
	entryRemovalDelay = 1500 * clock.Millis(1) // from the crash of a worker until its entry is removed
	maxOrderBytes     = 64 << 10
	maxListedEnds     = 500 // ends that one answer lists
)

// MaxLease is the longest lease that the stand-in's workers grant.
const MaxLease = 6 * clock.Second

// Tables and names of the platform's store that workers and operators write.
const (
	tableOperator = "op"
	tableWorkers  = "servers"
)

// Work is what a task of the stand-in does, told by the spec of its job: "LENGTH CPU", the length in milliseconds, 0 for a
// task that lasts, the processor in thousandths of a core.
type Work struct {
	Length clock.Millis
	CPU    int
}

// Spec returns the spec of a job whose tasks do the work.
func (w Work) Spec() string { return fmt.Sprintf("%d %d", w.Length, w.CPU) }

func parseWork(spec string) (Work, error) {
	var w Work
	_, err := fmt.Sscanf(spec, "%d %d", &w.Length, &w.CPU)
	return w, err
}

// Fleet stands in for the machines of the users' platform and for the workers on them. It keeps the platform's rules and
// notes each rule that a scheduler breaks: a task that runs twice at once, that runs again after its end was acknowledged, or
// that does not fit. Exported fields are set before the first request.
type Fleet struct {
	Table *Table
	Clock *clock.Clock
	// Wall is the time in Unix milliseconds.
	Wall func() int64
	// Late, if set, tells which orders to the worker of a machine get no answer and are carried out after the time.
	Late func(machine, path string) (after clock.Millis, late bool)
	// LateForNextIncarnation lets late orders also reach a later incarnation of the same id. Otherwise they end with the incarnation that they were
	// sent to.
	LateForNextIncarnation bool

	mu           sync.Mutex
	machines     []*fleetMachine
	standby      map[string]bool // pools whose machines are off
	incarnations int
	completed    map[string]bool       // tasks whose end was acknowledged as done
	latestStarts map[string]fleetStart // newest start of each task
	events       int64                 // starts and ends so far; orders them
	violations   []string
	started      int
	tokens       map[string]int64 // highest of each machine's orders
	changed      chan struct{}    // closed with each end
	waveLimits   map[int64]int    // of the machines of a wave that may be away at once
	maintained   int
}

type fleetMachine struct {
	id, pool, zone  string
	address         string
	capacity        batch.Resources
	labels          []string
	state           batch.MachineState
	incarnation     *fleetIncarnation
	backAt          clock.Millis // from a move or upkeep
	maintenanceWave int64        // wave of the upkeep under way
	maintainedWaves map[int64]bool
	clockRate       int // speed of the worker's clock, in thousandths
}

// NewFleet returns a fleet without machines that writes its workers into the table.
func NewFleet(table *Table, c *clock.Clock, wall func() int64) *Fleet {
	return &Fleet{Table: table, Clock: c, Wall: wall, standby: map[string]bool{}, completed: map[string]bool{},
		latestStarts: map[string]fleetStart{}, tokens: map[string]int64{}, waveLimits: map[int64]int{}, changed: make(chan struct{})}
}

// SetStandby tells that the machines of a pool are off.
func (f *Fleet) SetStandby(pool string) { f.mu.Lock(); defer f.mu.Unlock(); f.standby[pool] = true }

// Add adds a machine of the pool whose worker answers at the address; the result serves that worker. The clock of the worker
// runs at clockRate thousandths of ours.
func (f *Fleet) Add(id, pool, zone, rack, address string, capacity batch.Resources, clockRate int) http.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &fleetMachine{id: id, pool: pool, zone: zone, address: address, capacity: capacity, labels: []string{zone, rack},
		maintainedWaves: map[int64]bool{}, clockRate: clockRate}
	f.machines = append(f.machines, m)
	f.startIncarnation(m, "")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveWorker(m, w, r) })
}

// startIncarnation begins a incarnation of the worker on a machine, under an id of its own if it is not told. f.mu is held.
func (f *Fleet) startIncarnation(m *fleetMachine, id string) {
	m.state = batch.MachineUp
	if f.standby[m.pool] {
		m.incarnation = nil // the machine is off, and the platform lists it as up
		return
	}
	if id == "" {
		f.incarnations++
		id = fmt.Sprintf("i-%s-%d", m.id, f.incarnations)
	}
	m.incarnation = &fleetIncarnation{id: id, number: f.Wall(), start: f.Clock.Now(), runs: map[fleetRunKey]*fleetRun{}, blocked: map[string]int{}}
	f.writeEntry(m)
}

// writeEntry puts the worker's entry into the table. f.mu is held.
func (f *Fleet) writeEntry(m *fleetMachine) {
	entry := map[string]any{"service": m.pool, "address": m.address, "zone": m.zone, "state": "ready", "born": m.incarnation.number,
		"machine": m.id, "labels": m.labels, "capacity": map[string]int{"cpu": m.capacity.CPU, "memMb": m.capacity.MemoryMB}}
	f.Table.Put(tableWorkers, m.incarnation.id, encodeJSON(entry))
}

// endIncarnation ends the incarnation on a machine with all that runs there; the worker's entry stays. f.mu is held.
func (f *Fleet) endIncarnation(m *fleetMachine) {
	m.incarnation = nil
	f.notifyWaiters() // calls that wait for this incarnation get no answer
}

// Crash ends the incarnation of the worker on a machine; the next one begins after the time, under the same id if told so. The entry
// of the worker is removed some time later, unless a new incarnation has the id by then.
func (f *Fleet) Crash(machine string, down clock.Millis, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(machine)
	if m == nil || m.incarnation == nil {
		return
	}
	before, id := m.incarnation.id, ""
	if sameID {
		id = before
	}
	f.endIncarnation(m)
	m.state = batch.MachineDown
	f.Clock.AfterFunc(entryRemovalDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.incarnation == nil || m.incarnation.id != before {
			f.Table.Delete(tableWorkers, before)
		}
	})
	f.Clock.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.incarnation == nil && m.state == batch.MachineDown {
			f.startIncarnation(m, id)
		}
	})
}

// Machines returns the ids of the machines whose worker is alive.
func (f *Fleet) Machines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, m := range f.machines {
		if m.incarnation != nil {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// Wave asks for the upkeep of machines, at most limit at once, within the time.
func (f *Fleet) Wave(number int64, machines []string, limit int, within clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waveLimits[number] = limit
	f.Table.Put(tableOperator, fmt.Sprintf("wave/%d", number), encodeJSON(map[string]any{"wave": number, "machines": machines,
		"durationS": float64(within) / float64(clock.Second), "cap": limit}))
}

// Running returns how many tasks of a job run.
func (f *Fleet) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.incarnation == nil {
			continue
		}
		for key := range m.incarnation.runs {
			if of, _, ok := batch.ParseTask(key.task); ok && of == job {
				n++
			}
		}
	}
	return n
}

// Violations returns the rules that were broken, in order.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Started returns how many runs were started.
func (f *Fleet) Started() int { f.mu.Lock(); defer f.mu.Unlock(); return f.started }

// MaintainedMachines returns how many machines of waves have had their upkeep.
func (f *Fleet) MaintainedMachines() int { f.mu.Lock(); defer f.mu.Unlock(); return f.maintained }

func (f *Fleet) recordViolation(format string, values ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%d ms: ", f.Clock.Now())+fmt.Sprintf(format, values...))
}

func (f *Fleet) machine(id string) *fleetMachine {
	for _, m := range f.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// Advance ends the runs whose time has come; it is to be called every FleetTick.
func (f *Fleet) Advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for _, m := range f.machines {
		if m.backAt > 0 && now >= m.backAt {
			m.backAt, m.maintenanceWave = 0, 0
			f.startIncarnation(m, "")
		}
		if m.incarnation != nil {
			f.endRuns(m)
		}
	}
}

// notifyWaiters wakes the calls that wait for an end. f.mu is held.
func (f *Fleet) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler: the platform's interface to the machines.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /machines":
		f.listMachines(w)
	case "POST /machine-move", "POST /machine-upkeep":
		var body struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
			Wave    int64  `json:"wave"`
		}
		if !decode(w, r, maxOrderBytes, &body) {
			return
		}
		token, err := strconv.ParseInt(r.Header.Get("Magnoliaferry-Fencing-Token"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status, reason := f.withdraw(body.Machine, body.Pool, body.Wave, token)
		reply(w, status, struct {
			Reason string `json:"reason,omitempty"`
		}{reason})
	default:
		http.NotFound(w, r)
	}
}

func (f *Fleet) listMachines(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []map[string]any{}
	for _, m := range f.machines {
		worker := ""
		if m.incarnation != nil {
			worker = m.incarnation.id
		}
		list = append(list, map[string]any{"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int{"cpu": m.capacity.CPU, "memMb": m.capacity.MemoryMB}, "id": worker})
	}
	reply(w, http.StatusOK, map[string]any{"machines": list})
}

// withdraw carries out an order for a machine: a move where pool is set, else the upkeep of a wave.
func (f *Fleet) withdraw(machine, pool string, wave, token int64) (status int, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(machine)
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < f.tokens[machine]:
		return http.StatusConflict, "fence"
	case pool != "" && m.pool == pool && m.backAt == 0, pool == "" && m.maintainedWaves[wave]:
		f.tokens[machine] = token
		return http.StatusOK, ""
	case m.backAt != 0 || (m.incarnation == nil && !f.standby[m.pool]):
		return http.StatusConflict, "busy"
	}
	f.tokens[machine] = token
	if m.incarnation != nil {
		f.endRuns(m)
		for _, key := range m.incarnation.sortedRuns() {
			f.recordViolation("%s is taken while task %s runs on it", machine, key.task)
		}
		f.Table.Delete(tableWorkers, m.incarnation.id)
		f.endIncarnation(m)
	}
	if pool != "" {
		m.state, m.backAt, m.pool = batch.MachineMoving, f.Clock.Now()+moveTime, pool
		return http.StatusOK, ""
	}
	m.state, m.backAt, m.maintenanceWave = batch.MachineUpkeep, f.Clock.Now()+maintenanceTime, wave
	m.maintainedWaves[wave] = true
	away := 0
	for _, other := range f.machines {
		if other.maintenanceWave == wave {
			away++
		}
	}
	if limit, known := f.waveLimits[wave]; !known || away > limit {
		f.recordViolation("%d machines are away for wave %d, at most %d may be", away, wave, limit)
	}
	f.maintained++
	return http.StatusOK, ""
}

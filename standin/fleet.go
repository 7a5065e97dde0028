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

// Times and sizes of the simulated workers, similar to those of the users' platform.
const (
	FleetTick         = 10 * clock.Millis(1)   // interval between calls of Advance
	stopTime          = 200 * clock.Millis(1)  // from a stop order to the end of the run
	longRunningStart  = 300 * clock.Millis(1)  // until a long-running task is fully started
	moveTime          = 1500 * clock.Millis(1) // until a moved machine is up in its new pool
	maintenanceTime   = 2 * clock.Second       // until a machine is back from maintenance
	maxHold           = 2 * clock.Second       // longest time that a hold request waits for an end
	entryRemovalDelay = 1500 * clock.Millis(1) // from the crash of a worker to the removal of its entry
	maxOrderBytes     = 64 << 10               // largest body of an order
	maxListedEnds     = 500                    // largest number of ended runs in an answer
)

// MaxLease is the longest lease that the simulated workers grant.
const MaxLease = 6 * clock.Second

// Tables of the platform's store that workers and operators write.
const (
	tableOperator = "op"
	tableWorkers  = "servers"
)

// Work describes what a simulated task does. The spec of its job encodes it as "LENGTH CPU".
type Work struct {
	Length clock.Millis // running time; 0: a long-running task
	CPU    int          // thousandths of a core
}

// Spec returns the spec of a job whose tasks do this work.
func (w Work) Spec() string { return fmt.Sprintf("%d %d", w.Length, w.CPU) }

func parseWork(spec string) (Work, error) {
	var w Work
	_, err := fmt.Sscanf(spec, "%d %d", &w.Length, &w.CPU)
	return w, err
}

// Fleet simulates the machines of the users' platform and the workers on them. It enforces the platform's rules and
// records each violation by a scheduler: a task that runs twice at once, that runs again after its end was acknowledged, or
// that does not fit on its machine, and a machine that is withdrawn while tasks run on it. Exported fields are set before the
// first request.
//
// An incarnation is the time of a worker from its start to its end. A machine that crashes, moves or has maintenance gets a new
// one.
type Fleet struct {
	Table *Table
	Clock *clock.Clock
	// Wall returns the time in Unix milliseconds.
	Wall func() int64
	// Late, if set, reports whether an order to the worker of a machine is late: it gets no answer and is carried out after the
	// returned delay.
	Late func(machine, path string) (after clock.Millis, late bool)
	// LateForNextIncarnation makes late orders also reach a later incarnation of the worker with the same id. Otherwise they are
	// dropped when the incarnation that they were sent to ends.
	LateForNextIncarnation bool
	// OnStart, if set, is called when a worker has started a run. running holds the thousandths of a core that the running tasks of each job use on
	// all machines, including those of the new run, of which cpu is the part. A result that is not empty is a violation.
	OnStart func(job string, cpu int, running map[string]int) string

	mu           sync.Mutex
	machines     []*fleetMachine
	standby      map[string]bool       // pools whose machines are off
	generatedIDs int                   // number of generated worker ids
	completed    map[string]bool       // tasks with an acknowledged end for the reason done
	latestStarts map[string]fleetStart // by task
	events       int64                 // number of starts and ends so far, which orders them
	violations   []string
	started      int
	tokens       map[string]int64 // highest fencing token of the orders for each machine
	changed      chan struct{}    // closed and replaced when a run or an incarnation ends
	waveLimits   map[int64]int    // by wave, how many of its machines may be away at once
	maintained   int              // number of maintenances begun, over all waves
}

type fleetMachine struct {
	id, pool, zone  string
	address         string
	capacity        batch.Resources
	labels          []string
	state           batch.MachineState
	incarnation     *fleetIncarnation // nil: no worker runs
	backAt          clock.Millis      // end of a move or of maintenance; 0: not away
	maintenanceWave int64             // wave of the current maintenance; 0: none
	maintainedWaves map[int64]bool    // waves for which maintenance was carried out
	clockRate       int               // speed of the worker's clock in thousandths of the real one
}

// NewFleet returns a fleet without machines, which writes the entries of its workers into the table.
func NewFleet(table *Table, c *clock.Clock, wall func() int64) *Fleet {
	return &Fleet{Table: table, Clock: c, Wall: wall, standby: map[string]bool{}, completed: map[string]bool{},
		latestStarts: map[string]fleetStart{}, tokens: map[string]int64{}, waveLimits: map[int64]int{}, changed: make(chan struct{})}
}

// SetStandby makes a pool one whose machines are off, without workers. It has to be called before machines are added to the pool.
func (f *Fleet) SetStandby(pool string) { f.mu.Lock(); defer f.mu.Unlock(); f.standby[pool] = true }

// Add adds a machine to a pool and returns the handler of its worker. The worker's entry in the table names the address, at
// which the handler has to be reachable. The worker's clock runs at clockRate thousandths of the speed of the fleet's clock.
func (f *Fleet) Add(id, pool, zone, rack, address string, capacity batch.Resources, clockRate int) http.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &fleetMachine{id: id, pool: pool, zone: zone, address: address, capacity: capacity, labels: []string{zone, rack},
		maintainedWaves: map[int64]bool{}, clockRate: clockRate}
	f.machines = append(f.machines, m)
	f.startIncarnation(m, "")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveWorker(m, w, r) })
}

// startIncarnation starts a new incarnation of the worker on a machine; an empty id generates a new one. f.mu is held.
func (f *Fleet) startIncarnation(m *fleetMachine, id string) {
	m.state = batch.MachineUp
	if f.standby[m.pool] {
		m.incarnation = nil // off, although the platform lists it as up
		return
	}
	if id == "" {
		f.generatedIDs++
		id = fmt.Sprintf("i-%s-%d", m.id, f.generatedIDs)
	}
	m.incarnation = &fleetIncarnation{id: id, number: f.Wall(), start: f.Clock.Now(), runs: map[fleetRunKey]*fleetRun{}, blocked: map[string]int{}}
	f.writeEntry(m)
}

// writeEntry writes the worker's entry into the table. f.mu is held.
func (f *Fleet) writeEntry(m *fleetMachine) {
	entry := map[string]any{"service": m.pool, "address": m.address, "zone": m.zone, "state": "ready", "born": m.incarnation.number,
		"machine": m.id, "labels": m.labels, "capacity": map[string]int{"cpu": m.capacity.CPU, "memMb": m.capacity.MemoryMB}}
	f.Table.Put(tableWorkers, m.incarnation.id, encodeJSON(entry))
}

// endIncarnation ends the worker's incarnation on a machine and all its runs; the worker's entry stays. f.mu is held.
func (f *Fleet) endIncarnation(m *fleetMachine) {
	m.incarnation = nil
	f.notifyWaiters() // hold requests to this incarnation end without an answer
}

// Crash ends the incarnation of the worker on a machine. The next one starts after the downtime, with the same id if sameID is
// set. The worker's entry is removed after entryRemovalDelay, unless a new incarnation has the id by then.
func (f *Fleet) Crash(machine string, downtime clock.Millis, sameID bool) {
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
	f.Clock.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.incarnation == nil && m.state == batch.MachineDown {
			f.startIncarnation(m, id)
		}
	})
}

// Machines returns the ids of the machines whose worker runs.
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

// Wave requests a maintenance wave: maintenance of the machines, at most limit of them at once, within the given time.
func (f *Fleet) Wave(number int64, machines []string, limit int, within clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waveLimits[number] = limit
	f.Table.Put(tableOperator, fmt.Sprintf("wave/%d", number), encodeJSON(map[string]any{"wave": number, "machines": machines,
		"durationS": float64(within) / float64(clock.Second), "cap": limit}))
}

// Running returns the number of running tasks of a job.
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

// Begun returns the number of tasks of a job that have started so far.
func (f *Fleet) Begun(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.latestStarts {
		if of, _, ok := batch.ParseTask(task); ok && of == job {
			n++
		}
	}
	return n
}

// Violations returns the recorded violations of the platform's rules, in order.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Started returns the number of runs started so far.
func (f *Fleet) Started() int { f.mu.Lock(); defer f.mu.Unlock(); return f.started }

// MaintainedMachines returns the number of machines for which maintenance was begun, counted once per wave.
func (f *Fleet) MaintainedMachines() int { f.mu.Lock(); defer f.mu.Unlock(); return f.maintained }

// recordViolation adds a violation with the current time. f.mu is held.
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

// Advance ends the runs that are due and brings machines back from moves and maintenance. It has to be called every FleetTick.
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

// notifyWaiters wakes the hold requests that wait for an end. f.mu is held.
func (f *Fleet) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler; it serves the platform's interface for managing machines.
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

// withdraw carries out an order that withdraws a machine from its pool: a move if pool is set, otherwise maintenance for a wave.
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
		// The order was carried out before.
		f.tokens[machine] = token
		return http.StatusOK, ""
	case m.backAt != 0 || (m.incarnation == nil && !f.standby[m.pool]):
		// The machine moves, has maintenance or has crashed.
		return http.StatusConflict, "busy"
	}
	f.tokens[machine] = token
	if m.incarnation != nil {
		f.endRuns(m)
		for _, key := range m.incarnation.sortedRuns() {
			f.recordViolation("%s is withdrawn while task %s runs on it", machine, key.task)
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

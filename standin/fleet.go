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
	FleetTick     = 10 * clock.Millis(1)   // between two calls of Advance
	stopTime      = 200 * clock.Millis(1)  // from a stop to the end of the run
	lastingStart  = 300 * clock.Millis(1)  // until a task that lasts is at work
	moveTime      = 1500 * clock.Millis(1) // until a machine is back in its new pool
	upkeepTime    = 2 * clock.Second
	maxHold       = 2 * clock.Second // longest wait of a hold
	maxOrderBytes = 64 << 10
)

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
// that does not fit. Exported fields are set before the first call of Add.
type Fleet struct {
	Table *Table
	Clock *clock.Clock
	// Wall is the time in Unix milliseconds.
	Wall func() int64

	mu       sync.Mutex
	machines []*fleetMachine
	standby  map[string]bool // pools whose machines are off
	lives    int
	running  map[string]*fleetMachine // by task
	settled  map[string]bool          // tasks whose end was acknowledged as done
	breaches []string
	started  int
	tokens   map[string]int64 // highest of each machine's orders
	changed  chan struct{}    // closed with each end
	caps     map[int64]int    // of the machines of a wave that may be away at once
	duties   int
}

type fleetMachine struct {
	id, pool, zone string
	address        string
	capacity       batch.Resources
	labels         []string
	state          batch.MachineState
	life           *fleetLife
	backAt         clock.Millis // from a move or upkeep
	upkeepOf       int64        // wave of the upkeep under way
	done           map[int64]bool
	pace           int // speed of the worker's clock, in thousandths
}

// fleetLife is one life of a worker.
type fleetLife struct {
	id     string
	born   int64
	start  clock.Millis
	token  int64
	lease  clock.Millis // end, on the worker's clock
	runs   map[string]*fleetRun
	latest map[string]int // highest run of each task
	ended  []fleetEnd
	ends   int64
}

type fleetRun struct {
	number   int
	work     Work
	began    clock.Millis
	stopping clock.Millis // when a stop was asked for; 0: not
}

type fleetEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// NewFleet returns a fleet without machines that writes its workers into the table.
func NewFleet(table *Table, c *clock.Clock, wall func() int64) *Fleet {
	return &Fleet{Table: table, Clock: c, Wall: wall, standby: map[string]bool{}, running: map[string]*fleetMachine{},
		settled: map[string]bool{}, tokens: map[string]int64{}, caps: map[int64]int{}, changed: make(chan struct{})}
}

// Standby tells that the machines of a pool are off.
func (f *Fleet) Standby(pool string) { f.mu.Lock(); defer f.mu.Unlock(); f.standby[pool] = true }

// Add adds a machine of the pool whose worker answers at the address; the result serves that worker. The clock of the worker
// runs at pace thousandths of ours.
func (f *Fleet) Add(id, pool, zone, rack, address string, capacity batch.Resources, pace int) http.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &fleetMachine{id: id, pool: pool, zone: zone, address: address, capacity: capacity, labels: []string{zone, rack},
		done: map[int64]bool{}, pace: pace}
	f.machines = append(f.machines, m)
	f.revive(m, "")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveWorker(m, w, r) })
}

// revive begins a life of the worker on a machine, under an id of its own if it is not told. f.mu is held.
func (f *Fleet) revive(m *fleetMachine, id string) {
	m.state = batch.MachineUp
	if f.standby[m.pool] {
		m.life = nil // the machine is off, and the platform lists it as up
		return
	}
	if id == "" {
		f.lives++
		id = fmt.Sprintf("i-%s-%d", m.id, f.lives)
	}
	m.life = &fleetLife{id: id, born: f.Wall(), start: f.Clock.Now(), runs: map[string]*fleetRun{}, latest: map[string]int{}}
	f.write(m)
}

// write puts the worker's entry into the table. f.mu is held.
func (f *Fleet) write(m *fleetMachine) {
	entry := map[string]any{"service": m.pool, "address": m.address, "zone": m.zone, "state": "ready", "born": m.life.born,
		"machine": m.id, "labels": m.labels, "capacity": map[string]int{"cpu": m.capacity.CPU, "memMb": m.capacity.MemoryMB}}
	f.Table.Put(tableWorkers, m.life.id, text(entry))
}

// kill ends the life on a machine with all that runs there. f.mu is held.
func (f *Fleet) kill(m *fleetMachine) {
	if m.life == nil {
		return
	}
	for task := range m.life.runs {
		delete(f.running, task)
	}
	f.Table.Drop(tableWorkers, m.life.id)
	m.life = nil
}

// Crash ends the life of the worker on a machine; the next one begins after the time, under the same id if told so.
func (f *Fleet) Crash(machine string, down clock.Millis, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(machine)
	if m == nil || m.life == nil {
		return
	}
	id := ""
	if sameID {
		id = m.life.id
	}
	f.kill(m)
	m.state = batch.MachineDown
	f.Clock.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.life == nil && m.state == batch.MachineDown {
			f.revive(m, id)
		}
	})
}

// Machines returns the ids of the machines whose worker is alive.
func (f *Fleet) Machines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, m := range f.machines {
		if m.life != nil {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// Wave asks for the upkeep of machines, at most limit at once, within the time.
func (f *Fleet) Wave(number int64, machines []string, limit int, within clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caps[number] = limit
	f.Table.Put(tableOperator, fmt.Sprintf("wave/%d", number), text(map[string]any{"wave": number, "machines": machines,
		"durationS": float64(within) / float64(clock.Second), "cap": limit}))
}

// Running returns how many tasks of a job run.
func (f *Fleet) Running(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.running {
		if of, _, ok := batch.ParseTask(task); ok && of == job {
			n++
		}
	}
	return n
}

// Breaches returns the rules that were broken, in order.
func (f *Fleet) Breaches() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.breaches)
}

// Started returns how many runs were started.
func (f *Fleet) Started() int { f.mu.Lock(); defer f.mu.Unlock(); return f.started }

// Duties returns how many machines of waves have had their upkeep.
func (f *Fleet) Duties() int { f.mu.Lock(); defer f.mu.Unlock(); return f.duties }

func (f *Fleet) breach(format string, values ...any) {
	f.breaches = append(f.breaches, fmt.Sprintf("%d ms: ", f.Clock.Now())+fmt.Sprintf(format, values...))
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
	news := false
	for _, m := range f.machines {
		if m.backAt > 0 && now >= m.backAt {
			m.backAt, m.upkeepOf = 0, 0
			f.revive(m, "")
		}
		if m.life == nil {
			continue
		}
		for _, task := range sortedTasks(m.life.runs) {
			r := m.life.runs[task]
			how := ""
			switch {
			case m.clock(now) > m.life.lease:
				how = "lapsed"
			case r.stopping > 0 && now-r.stopping >= stopTime:
				how = "stopped"
			case r.work.Length > 0 && now-r.began >= r.work.Length:
				how = "done"
			default:
				continue
			}
			news = true
			m.life.ends++
			m.life.ended = append(m.life.ended, fleetEnd{m.life.ends, task, r.number, how})
			delete(m.life.runs, task)
			delete(f.running, task)
		}
	}
	if news {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func sortedTasks(runs map[string]*fleetRun) []string {
	tasks := make([]string, 0, len(runs))
	for task := range runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// clock returns the time on the worker's clock, which begins with its life.
func (m *fleetMachine) clock(now clock.Millis) clock.Millis {
	return 1000 + (now-m.life.start)*clock.Millis(m.pace)/1000
}

type orderFields struct {
	Task     string       `json:"task"`
	Run      int          `json:"run"`
	Spec     string       `json:"spec"`
	Deadline clock.Millis `json:"deadlineMs"`
	Token    int64        `json:"fencingToken"`
	Ack      int64        `json:"ackCursor"`
	Wait     clock.Millis `json:"waitMs"`
}

type workerFields struct {
	Clock   clock.Millis `json:"clockMs"`
	Born    int64        `json:"born"`
	Reason  string       `json:"reason,omitempty"`
	Running [][]any      `json:"running,omitzero"` // empty, but present, in an answer with lists
	Ended   [][]any      `json:"endedRuns,omitzero"`
}

func (f *Fleet) serveWorker(m *fleetMachine, w http.ResponseWriter, r *http.Request) {
	var order orderFields
	if !decode(w, r, maxOrderBytes, &order) {
		return
	}
	target := r.Header.Get("Magnoliaferry-Target-Instance")
	if r.URL.Path == "/hold" {
		f.await(m, r, &order)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	life := m.life
	if life == nil {
		panic(http.ErrAbortHandler) // the machine is off
	}
	answer := workerFields{Clock: m.clock(f.Clock.Now()), Born: life.born}
	if target != life.id {
		reply(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if order.Token < life.token {
		answer.Reason = "fence"
		reply(w, http.StatusConflict, answer)
		return
	}
	life.token = order.Token
	status := http.StatusOK
	switch r.URL.Path {
	case "/run-start":
		if answer.Reason = f.start(m, &order); answer.Reason != "" {
			status = http.StatusConflict
		}
	case "/run-stop":
		life.latest[order.Task] = max(life.latest[order.Task], order.Run)
		if run := life.runs[order.Task]; run != nil && run.number <= order.Run && run.stopping == 0 {
			run.stopping = f.Clock.Now()
		}
	case "/hold":
		f.list(m, &order, &answer)
	case "/pace": // tasks of the stand-in do not disturb each other
	default:
		status = http.StatusNotFound
	}
	reply(w, status, answer)
}

// await lets a hold wait for an end, at most as long as it says.
func (f *Fleet) await(m *fleetMachine, r *http.Request, order *orderFields) {
	timeout := f.Clock.After(min(order.Wait, maxHold))
	for {
		f.mu.Lock()
		life, changed := m.life, f.changed
		ready := life == nil || order.Token < life.token || (len(life.ended) > 0 && life.ended[len(life.ended)-1].number > order.Ack)
		f.mu.Unlock()
		if ready || order.Wait <= 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// start carries out a start and returns why not, if so. f.mu is held.
func (f *Fleet) start(m *fleetMachine, order *orderFields) string {
	life, now := m.life, f.Clock.Now()
	if run := life.runs[order.Task]; run != nil && run.number == order.Run {
		return ""
	}
	switch {
	case order.Deadline < m.clock(now):
		return "late"
	case order.Run <= life.latest[order.Task]:
		return "old"
	}
	work, err := parseWork(order.Spec)
	if err != nil {
		f.breach("task %s arrives with spec %q", order.Task, order.Spec)
		return "old"
	}
	life.lease = max(life.lease, order.Deadline)
	if other := f.running[order.Task]; other != nil {
		f.breach("task %s, run %d, starts on %s while it runs on %s", order.Task, order.Run, m.id, other.id)
	}
	if f.settled[order.Task] {
		f.breach("task %s, run %d, starts on %s after its end was acknowledged", order.Task, order.Run, m.id)
	}
	life.latest[order.Task] = order.Run
	life.runs[order.Task] = &fleetRun{number: order.Run, work: work, began: now}
	f.running[order.Task] = m
	f.started++
	used := 0
	for _, run := range life.runs {
		used += run.work.CPU
	}
	if used > m.capacity.CPU {
		f.breach("%s runs %d thousandths of a core, at most %d fit", m.id, used, m.capacity.CPU)
	}
	return ""
}

// list renews the lease, forgets acknowledged ends and fills in the lists. f.mu is held.
func (f *Fleet) list(m *fleetMachine, order *orderFields, answer *workerFields) {
	life, now := m.life, f.Clock.Now()
	answer.Running, answer.Ended = [][]any{}, [][]any{}
	life.lease = max(life.lease, order.Deadline)
	kept := life.ended[:0]
	for _, e := range life.ended {
		if e.number > order.Ack {
			kept = append(kept, e)
			answer.Ended = append(answer.Ended, []any{e.number, e.task, e.run, e.how, ""})
		} else if e.how == "done" {
			f.settled[e.task] = true
		}
	}
	life.ended = kept
	for _, task := range sortedTasks(life.runs) {
		run := life.runs[task]
		percent := clock.Millis(100)
		if run.work.Length > 0 {
			percent = min((now-run.began)*100/run.work.Length, 99)
		} else if now-run.began < lastingStart {
			percent = (now - run.began) * 100 / lastingStart
		}
		answer.Running = append(answer.Running, []any{task, run.number, "", percent, run.work.CPU})
	}
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
		status, reason := f.carry(body.Machine, body.Pool, body.Wave, token)
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
		if m.life != nil {
			worker = m.life.id
		}
		list = append(list, map[string]any{"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int{"cpu": m.capacity.CPU, "memMb": m.capacity.MemoryMB}, "id": worker})
	}
	reply(w, http.StatusOK, map[string]any{"machines": list})
}

// carry carries out an order for a machine: a move where pool is set, else the upkeep of a wave.
func (f *Fleet) carry(machine, pool string, wave, token int64) (status int, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machine(machine)
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < f.tokens[machine]:
		return http.StatusConflict, "fence"
	case pool != "" && m.pool == pool && m.backAt == 0, pool == "" && m.done[wave]:
		f.tokens[machine] = token
		return http.StatusOK, ""
	case m.backAt != 0 || (m.life == nil && !f.standby[m.pool]):
		return http.StatusConflict, "busy"
	}
	f.tokens[machine] = token
	if m.life != nil {
		for task := range m.life.runs {
			f.breach("%s is taken while task %s runs on it", machine, task)
		}
	}
	f.kill(m)
	if pool != "" {
		m.state, m.backAt, m.pool = batch.MachineMoving, f.Clock.Now()+moveTime, pool
		return http.StatusOK, ""
	}
	m.state, m.backAt, m.upkeepOf = batch.MachineUpkeep, f.Clock.Now()+upkeepTime, wave
	m.done[wave] = true
	away := 0
	for _, other := range f.machines {
		if other.upkeepOf == wave {
			away++
		}
	}
	if limit, known := f.caps[wave]; !known || away > limit {
		f.breach("%d machines are away for wave %d, at most %d may be", away, wave, limit)
	}
	f.duties++
	return http.StatusOK, ""
}

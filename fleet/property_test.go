package fleet

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/jobs"
	"magnoliaferry/memory"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed gives the same verdict every time; -rapid.seed on the command line looks for new failures.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.steps": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// machine drives a world by random operations.
type machine struct {
	*world
	gates   []*gate // of the loops in w.loops
	stuck   []bool  // which of them are paused in a pass
	desks   []*Loop // the entry instances that operators talk to; they make no passes
	zombies []*gate // paused passes of loops that were restarted
	entries []*Assignments
	polled  []clock.Millis
	down    map[string]provider.Instance
	started int
}

func newMachine() *machine {
	m := &machine{world: newWorld(4, 0), down: map[string]provider.Instance{}}
	m.fields.Teams = []config.TeamFields{{Name: "t0", Cores: 40, MemoryMB: 100000}, {Name: "t1", Cores: 24, MemoryMB: 100000}}
	m.tracked = map[string]planner.RecordFields{}
	for i, zone := range zoneNames {
		m.entries = append(m.entries, &Assignments{Clock: m.clock, Platform: m.store.View(zone), Zone: zone})
		m.polled = append(m.polled, -clock.Hour)
		m.loops = append(m.loops, nil)
		m.gates = append(m.gates, nil)
		m.stuck = append(m.stuck, false)
		m.desks = append(m.desks, m.newLoop("desk", zone))
		m.restart(i)
	}
	return m
}

func (m *machine) restart(i int) {
	if m.stuck[i] {
		m.zombies = append(m.zombies, m.gates[i])
	}
	m.started++
	l := m.newLoop(fmt.Sprintf("entry-%d-%d", i, m.started), zoneNames[i])
	m.gates[i] = newGate(m.world, zoneNames[i])
	l.Platform, l.Assignments.Platform = m.gates[i], m.gates[i]
	m.loops[i], m.stuck[i] = l, false
}

func (m *machine) pass(i int) {
	if !m.stuck[i] {
		m.stuck[i] = !m.gates[i].pass(m.loops[i])
	}
}

func (m *machine) finish(i int) {
	if m.stuck[i] {
		m.gates[i].finish()
		m.stuck[i] = false
	}
}

func (m *machine) finishAll() {
	for i := range m.gates {
		m.gates[i].pauseAt, m.gates[i].loseAt = "", ""
		m.finish(i)
	}
	for _, z := range m.zombies {
		z.finish()
	}
	m.zombies = nil
}

// submit declares another job; two of four run once.
func (m *machine) submit() {
	i := len(m.fields.Jobs)
	m.fields.Jobs = append(m.fields.Jobs, config.JobFields{Name: fmt.Sprint("j", i), Team: fmt.Sprint("t", i%2),
		Pool: fmt.Sprint("p", i%2), Urgency: []config.Urgency{config.Urgent, config.Normal, config.Batch}[i%3],
		RunOnce: i%4 < 2, Cores: 4 + i%8, MemoryMB: 1000, Attempts: 3})
}

func (m *machine) instance(i int) string { return fmt.Sprintf("w%02d", i) }

// fail takes instances off the platform's list.
func (m *machine) fail(zone, rack, id string) {
	list, _ := m.store.View("").Instances().List(m.ctx, zone)
	for _, i := range list {
		if (rack == "" || i.Rack() == rack) && (id == "" || i.ID() == id) {
			m.down[i.ID()] = i
			m.store.RemoveInstance(i.ID())
		}
	}
}

func (m *machine) recover() {
	for id, i := range m.down {
		m.store.SetInstance(i)
		delete(m.down, id)
	}
	clear(m.sick)
}

// dispatch starts a request on every instance that an entry instance believes to serve, while it heard of the fleet
// within the 3 s of R6.
func (m *machine) dispatch(entry int) {
	if m.clock.Now()-m.polled[entry] >= 3*clock.Second {
		return
	}
	for _, a := range m.entries[entry].Current() {
		if a.Phase() == planner.Serving && !a.Leaving() {
			m.inFlight[a.Instance()]++
		}
	}
}

func (m *machine) endTask(choice int, state provider.TaskState) {
	running := m.runningTasks()
	if len(running) > 0 {
		m.store.SetTaskState(running[choice%len(running)], state, "exit 1")
		m.countTasks()
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	loop, zone := rapid.IntRange(0, 2), rapid.IntRange(0, 2)
	instance, job := rapid.IntRange(0, 11), rapid.IntRange(0, 19)
	steps := rapid.SampledFrom([]string{memory.StepRead, memory.StepScan, memory.StepCommit, memory.StepList,
		memory.StepTaskStart, memory.StepTaskControl, memory.StepTaskUsage, memory.StepDrain, memory.StepReboot,
		memory.StepStatus})
	kinds := rapid.SampledFrom([]fault.Kind{fault.Down, fault.LoseRequest, fault.LoseAnswer})
	quiet := func(f func()) { // outside the platform's faults
		faults := m.store.Faults
		m.store.Faults = nil
		f()
		m.store.Faults = faults
	}
	everyPass := func(t *rapid.T) {
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			m.clock.Advance(clock.Millis(rapid.IntRange(100, 5000).Draw(t, "ms")))
			for i := range m.loops {
				m.pass(i)
			}
		}
	}
	return map[string]func(*rapid.T){
		"":      func(t *rapid.T) { m.check(); m.report(t) },
		"pass":  everyPass,
		"pass2": everyPass, // more often than the other operations
		"pass3": everyPass,
		"pass4": everyPass,
		"poll": func(t *rapid.T) {
			for i := range m.entries {
				if m.entries[i].Poll(m.ctx) == nil {
					m.polled[i] = m.clock.Now()
				}
			}
		},
		"submit":  func(t *rapid.T) { m.submit() },
		"submit2": func(t *rapid.T) { m.submit() },
		"heal2":   func(t *rapid.T) { m.faults.ClearAll() }, // an outage hides what the other operations do
		"heal3":   func(t *rapid.T) { m.faults.ClearAll() },
		"pass one": func(t *rapid.T) {
			m.pass(loop.Draw(t, "loop"))
		},
		"pause": func(t *rapid.T) {
			if i := loop.Draw(t, "loop"); !m.stuck[i] {
				m.gates[i].pauseAt, m.gates[i].after = rapid.SampledFrom(callKinds).Draw(t, "call"), rapid.Bool().Draw(t, "after")
			}
		},
		"lose": func(t *rapid.T) {
			g := m.gates[loop.Draw(t, "loop")]
			g.loseAt, g.lose = rapid.SampledFrom(callKinds).Draw(t, "call"), kinds.Draw(t, "kind")
		},
		"go on":   func(t *rapid.T) { m.finish(loop.Draw(t, "loop")) },
		"restart": func(t *rapid.T) { m.restart(loop.Draw(t, "loop")) },
		"zombie": func(t *rapid.T) {
			if len(m.zombies) > 0 {
				m.zombies[0].finish()
				m.zombies = m.zombies[1:]
			}
		},
		"wait": func(t *rapid.T) { m.clock.Advance(clock.Millis(rapid.IntRange(1, 90).Draw(t, "s")) * clock.Second) },
		"fault": func(t *rapid.T) {
			m.faults.Next(steps.Draw(t, "step"), kinds.Draw(t, "kind"), rapid.IntRange(1, 3).Draw(t, "n"))
		},
		"outage":    func(t *rapid.T) { m.faults.Always(steps.Draw(t, "step"), kinds.Draw(t, "kind"), 0) },
		"partition": func(t *rapid.T) { m.faults.Partition(zoneNames[zone.Draw(t, "zone")]) },
		"heal":      func(t *rapid.T) { m.faults.ClearAll() },
		"fail one":  func(t *rapid.T) { quiet(func() { m.fail("", "", m.instance(instance.Draw(t, "instance"))) }) },
		"fail rack": func(t *rapid.T) {
			z := zoneNames[zone.Draw(t, "zone")]
			quiet(func() { m.fail(z, fmt.Sprint(z, rapid.IntRange(0, 1).Draw(t, "rack")), "") })
		},
		"fail zone": func(t *rapid.T) { quiet(func() { m.fail(zoneNames[zone.Draw(t, "zone")], "", "") }) },
		"sick":      func(t *rapid.T) { m.sick[m.instance(instance.Draw(t, "instance"))] = true },
		"recover":   func(t *rapid.T) { m.recover() },
		"demand": func(t *rapid.T) {
			m.demand[fmt.Sprint("p", rapid.IntRange(0, 1).Draw(t, "pool"))] = rapid.IntRange(0, 60).Draw(t, "n")
		},
		"request2":   func(t *rapid.T) { m.dispatch(zone.Draw(t, "entry")) },
		"request":    func(t *rapid.T) { m.dispatch(zone.Draw(t, "entry")) },
		"answer":     func(t *rapid.T) { m.inFlight[m.instance(instance.Draw(t, "instance"))] = 0 },
		"answer all": func(t *rapid.T) { clear(m.inFlight) },
		"task end":   func(t *rapid.T) { m.endTask(job.Draw(t, "task"), provider.TaskSucceeded) },
		"task fail":  func(t *rapid.T) { m.endTask(job.Draw(t, "task"), provider.TaskFailed) },
		"drain": func(t *rapid.T) {
			_ = m.desks[zone.Draw(t, "desk")].Drain(m.ctx, m.instance(instance.Draw(t, "instance")), false)
		},
		"wave": func(t *rapid.T) {
			action := rapid.SampledFrom([]WaveAction{WaveStart, WaveStart, WavePause, WaveResume, WaveStop}).Draw(t, "action")
			_ = m.desks[zone.Draw(t, "desk")].Wave(m.ctx, fmt.Sprint("p", rapid.IntRange(0, 1).Draw(t, "pool")), action, "op")
		},
		"cancel": func(t *rapid.T) {
			id := fmt.Sprint("j", job.Draw(t, "job"))
			refused := m.desks[zone.Draw(t, "desk")].CancelJobs(m.ctx, "op", id)
			if r := read[jobs.RecordFields](m.world, jobPrefix)[id]; refused[id] == nil && r.State == jobs.Cancelled {
				if _, known := m.cancelled[id]; !known {
					m.cancelled[id] = m.startsOf(r)
				}
			}
		},
	}
}

// settle ends every fault and checks that the fleet recovers: all instances serve, all jobs end, and no pool is short.
func (m *machine) settle(t interface{ Fatalf(string, ...any) }) {
	m.faults.ClearAll()
	m.finishAll()
	m.recover()
	clear(m.inFlight)
	clear(m.demand)
	settled := func() bool {
		for _, r := range m.records() {
			if r.Phase != planner.Serving {
				return false
			}
		}
		for _, r := range read[jobs.RecordFields](m.world, jobPrefix) {
			if !r.State.Ended() {
				return false
			}
		}
		return len(m.records()) == 12 && len(read[jobs.RecordFields](m.world, jobPrefix)) == len(m.fields.Jobs)
	}
	for round := 0; round%10 != 0 || !settled(); round++ {
		if round > 1200 {
			t.Fatalf("after 40 min without faults the fleet got %v and %v, want all serving and all jobs ended", m.records(),
				read[jobs.RecordFields](m.world, jobPrefix))
		}
		for i := range m.loops {
			m.pass(i)
		}
		for range m.runningTasks() {
			m.endTask(0, provider.TaskSucceeded)
		}
		m.clock.Advance(2 * clock.Second)
		m.report(t)
	}
}

// Guards against a violation of the invariants R1, R2, R5 and R7 by any interleaving of loops, operators and faults.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		defer m.finishAll()
		for i := 0; i < 20; i++ { // the fleet settles before the faults begin
			m.pass(i % 3)
			m.clock.Advance(clock.Second)
		}
		t.Repeat(m.actions())
		m.settle(t)
	})
}

// errorf notes a violation; it may be called from the goroutine of a loop.
func (w *world) errorf(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, arguments...))
}

func (w *world) report(t interface{ Fatalf(string, ...any) }) {
	if len(w.violations) > 0 {
		t.Fatalf("%s", strings.Join(w.violations, "\n"))
	}
}

// follow holds the phases that may follow a phase, see section 9.2 of docs/design.md.
var follow = map[planner.Phase]string{"": "verifying", planner.Serving: "draining failed",
	planner.Draining: "rebooting moving serving failed", planner.Rebooting: "verifying failed",
	planner.Verifying: "serving failed", planner.Failed: "verifying", planner.Moving: "serving failed"}

// check compares the rows with the state after the last call, so that each transaction is judged by itself.
func (w *world) check() {
	if w.tracked == nil {
		return
	}
	w.countTasks()
	records := w.records()
	for _, p := range w.fields.Pools {
		drained, used, serving := "", 0, 0
		for id, r := range records {
			if r.Pool == p.Name && r.Phase == planner.Serving {
				serving++
			} else if r.Pool == p.Name && kindOf(r) != outJoining {
				used++
			}
			if r.Pool == p.Name && r.Phase == planner.Draining && w.tracked[id].Phase == planner.Serving {
				drained = id
			}
		}
		if drained != "" && (used > p.MaxUnavailable || serving < p.Capacity) {
			w.errorf("drain of %s leaves pool %s with %d out of at most %d and %d serving for capacity %d", drained, p.Name,
				used, p.MaxUnavailable, serving, p.Capacity)
		}
	}
	for id, r := range records {
		before := w.tracked[id].Phase
		if before != r.Phase && !strings.Contains(follow[before], string(r.Phase)) {
			w.errorf("instance %s went from %q to %q", id, before, r.Phase)
		}
		if before == planner.Draining && (r.Phase == planner.Rebooting || r.Phase == planner.Moving) && w.runs(id) > 0 {
			w.errorf("the drain of %s ended with %d requests and tasks", id, w.runs(id))
		}
	}
	w.tracked = records
	w.checkBudgets(violations{w})
	held := map[string]jobs.Use{}
	for _, r := range read[jobs.RecordFields](w, jobPrefix) {
		if starts := w.startsOf(r); r.RunOnce && starts > 1 {
			w.errorf("run-once job %s started %d times", r.ID, starts)
		} else if before, cancelled := w.cancelled[r.ID]; cancelled && starts > before {
			w.errorf("job %s started after its cancellation", r.ID)
		}
		if r.State.Bound() {
			held[r.Team] = jobs.Use{Cores: held[r.Team].Cores + r.HeldCores, MemoryMB: held[r.Team].MemoryMB + r.HeldMemoryMB}
		}
	}
	for team, row := range read[teamRow](w, teamPrefix) {
		if row.total() != held[team] {
			w.errorf("use of team %s got %v, want %v", team, row.total(), held[team])
		}
	}
	for _, t := range w.fields.Teams {
		if held[t.Name].Cores > t.Cores {
			w.errorf("team %s holds %d cores of at most %d", t.Name, held[t.Name].Cores, t.Cores)
		}
	}
}

type violations struct{ w *world }

func (v violations) Errorf(format string, arguments ...any) { v.w.errorf(format, arguments...) }

// startsOf returns how often any attempt of a job really started.
func (w *world) startsOf(r jobs.RecordFields) (starts int) {
	last := r.Token + 1
	for r.Token = 1; r.Token <= last; r.Token++ {
		starts += w.store.Starts(r.TaskID())
	}
	return starts
}

// usage returns the running tasks by id with their instance, without faults.
func (w *world) usage() map[string]string {
	faults := w.store.Faults
	w.store.Faults = nil
	defer func() { w.store.Faults = faults }()
	running := map[string]string{}
	for i := range 12 {
		instance := fmt.Sprintf("w%02d", i)
		reports, _ := w.store.View("").Tasks().Usage(w.ctx, instance)
		for _, u := range reports {
			if u.State() == provider.TaskRunning {
				running[u.ID()] = instance
			}
		}
	}
	return running
}

func (w *world) runningTasks() []string {
	usage := w.usage()
	ids := make([]string, 0, len(usage))
	for id := range usage {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// countTasks counts the running tasks of each instance, which a drain waits for like for requests.
func (w *world) countTasks() {
	clear(w.tasks)
	for _, instance := range w.usage() {
		w.tasks[instance]++
	}
}

func (w *world) runs(instance string) int { return w.inFlight[instance] + w.tasks[instance] }

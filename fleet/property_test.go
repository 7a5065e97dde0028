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
	// A fixed seed gives the same result every time; -rapid.seed on the command line searches for new failures.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.steps": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// stateMachine drives a testFleet by random operations. It has three loops, one for each zone, and as many entry
// instances that dispatch requests and handle operators' requests.
type stateMachine struct {
	*testFleet
	platforms        []*pausablePlatform          // of the loops in testFleet.loops
	paused           []bool                       // which of the loops are paused in a pass
	operatorLoops    []*Loop                      // of the entry instances that handle operators' requests; they make no passes
	orphaned         []*pausablePlatform          // paused passes of loops that were restarted
	entryAssignments []*Assignments               // of the entry instances that dispatch requests
	polledAt         []clock.Millis               // last successful poll of each of entryAssignments
	removed          map[string]provider.Instance // removed from the platform's list, by id
	loopsStarted     int
}

func newStateMachine() *stateMachine {
	m := &stateMachine{testFleet: newTestFleet(4, 0), removed: map[string]provider.Instance{}}
	m.fields.Teams = []config.TeamFields{{Name: "t0", Cores: 40, MemoryMB: 100000}, {Name: "t1", Cores: 24, MemoryMB: 100000}}
	m.lastRecords = map[string]planner.RecordFields{}
	for i, zone := range zoneNames {
		m.entryAssignments = append(m.entryAssignments, &Assignments{Clock: m.clock, Platform: m.store.View(zone), Zone: zone})
		m.polledAt = append(m.polledAt, -clock.Hour)
		m.loops = append(m.loops, nil)
		m.platforms = append(m.platforms, nil)
		m.paused = append(m.paused, false)
		m.operatorLoops = append(m.operatorLoops, m.newLoop("desk", zone))
		m.restart(i)
	}
	return m
}

// restart replaces a loop by one of a new process. A paused pass of the old process may still go on later.
func (m *stateMachine) restart(i int) {
	if m.paused[i] {
		m.orphaned = append(m.orphaned, m.platforms[i])
	}
	m.loopsStarted++
	l := m.newLoop(fmt.Sprintf("entry-%d-%d", i, m.loopsStarted), zoneNames[i])
	m.platforms[i] = newPausablePlatform(m.testFleet, zoneNames[i])
	l.Platform, l.Assignments.Platform = m.platforms[i], m.platforms[i]
	m.loops[i], m.paused[i] = l, false
}

// pass runs a pass of a loop until it ends or pauses, unless an earlier pass of the loop is paused.
func (m *stateMachine) pass(i int) {
	if !m.paused[i] {
		m.paused[i] = !m.platforms[i].pass(m.loops[i])
	}
}

// finish lets the paused pass of a loop, if any, go on to its end.
func (m *stateMachine) finish(i int) {
	if m.paused[i] {
		m.platforms[i].finish()
		m.paused[i] = false
	}
}

// finishAll lets every paused pass go on to its end, also those of replaced processes.
func (m *stateMachine) finishAll() {
	for i := range m.platforms {
		m.platforms[i].pauseAt, m.platforms[i].loseAt = "", ""
		m.finish(i)
	}
	for _, p := range m.orphaned {
		p.finish()
	}
	m.orphaned = nil
}

// submit declares another job; two of four are run-once jobs.
func (m *stateMachine) submit() {
	i := len(m.fields.Jobs)
	m.fields.Jobs = append(m.fields.Jobs, config.JobFields{Name: fmt.Sprint("j", i), Team: fmt.Sprint("t", i%2),
		Pool: fmt.Sprint("p", i%2), Urgency: []config.Urgency{config.Urgent, config.Normal, config.Batch}[i%3],
		RunOnce: i%4 < 2, Cores: 4 + i%8, MemoryMB: 1000, Attempts: 3})
}

func (m *stateMachine) instance(i int) string { return fmt.Sprintf("w%02d", i) }

// removeInstances removes instances from the platform's list.
func (m *stateMachine) removeInstances(zone, rack, id string) {
	list, _ := m.store.View("").Instances().List(m.ctx, zone)
	for _, i := range list {
		if (rack == "" || i.Rack() == rack) && (id == "" || i.ID() == id) {
			m.removed[i.ID()] = i
			m.store.RemoveInstance(i.ID())
		}
	}
}

// recover puts all removed instances back into the platform's list and makes all instances healthy.
func (m *stateMachine) recover() {
	for id, i := range m.removed {
		m.store.SetInstance(i)
		delete(m.removed, id)
	}
	clear(m.unhealthy)
}

// dispatch starts a request on every instance that serves according to an entry instance, if that entry instance has
// polled within the last 3 s: one that has not must stop dispatching, so that it sends nothing to a draining instance.
func (m *stateMachine) dispatch(entry int) {
	if m.clock.Now()-m.polledAt[entry] >= 3*clock.Second {
		return
	}
	for _, a := range m.entryAssignments[entry].Current() {
		if a.Phase() == planner.Serving && !a.Leaving() {
			m.inFlight[a.Instance()]++
		}
	}
}

// endTask ends one of the running tasks, if any, in the given state; choice selects it.
func (m *stateMachine) endTask(choice int, state provider.TaskState) {
	running := m.runningTasks()
	if len(running) > 0 {
		m.store.SetTaskState(running[choice%len(running)], state, "exit 1")
		m.countTasks()
	}
}

// actions returns the random operations by name; the one with the empty name runs after each of the others.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	loop, zone := rapid.IntRange(0, 2), rapid.IntRange(0, 2)
	instance, job := rapid.IntRange(0, 11), rapid.IntRange(0, 19)
	steps := rapid.SampledFrom([]string{memory.StepRead, memory.StepScan, memory.StepCommit, memory.StepList,
		memory.StepTaskStart, memory.StepTaskControl, memory.StepTaskUsage, memory.StepDrain, memory.StepReboot,
		memory.StepStatus})
	kinds := rapid.SampledFrom([]fault.Kind{fault.Down, fault.LoseRequest, fault.LoseAnswer})
	withoutFaults := func(f func()) { // runs f without faults of the platform
		faults := m.store.Faults
		m.store.Faults = nil
		f()
		m.store.Faults = faults
	}
	passAll := func(t *rapid.T) {
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			m.clock.Advance(clock.Millis(rapid.IntRange(100, 5000).Draw(t, "ms")))
			for i := range m.loops {
				m.pass(i)
			}
		}
	}
	return map[string]func(*rapid.T){
		"":      func(t *rapid.T) { m.check(); m.failOnViolations(t) },
		"pass":  passAll,
		"pass2": passAll, // more often than the other operations
		"pass3": passAll,
		"pass4": passAll,
		"poll": func(t *rapid.T) {
			for i := range m.entryAssignments {
				if m.entryAssignments[i].Poll(m.ctx) == nil {
					m.polledAt[i] = m.clock.Now()
				}
			}
		},
		"submit":  func(t *rapid.T) { m.submit() },
		"submit2": func(t *rapid.T) { m.submit() },
		"heal2":   func(t *rapid.T) { m.faults.ClearAll() }, // an outage hides the effects of the other operations
		"heal3":   func(t *rapid.T) { m.faults.ClearAll() },
		"pass one": func(t *rapid.T) {
			m.pass(loop.Draw(t, "loop"))
		},
		"pause": func(t *rapid.T) {
			if i := loop.Draw(t, "loop"); !m.paused[i] {
				m.platforms[i].pauseAt, m.platforms[i].after = rapid.SampledFrom(callKinds).Draw(t, "call"),
					rapid.Bool().Draw(t, "after")
			}
		},
		"lose": func(t *rapid.T) {
			p := m.platforms[loop.Draw(t, "loop")]
			p.loseAt, p.lose = rapid.SampledFrom(callKinds).Draw(t, "call"), kinds.Draw(t, "kind")
		},
		"go on":   func(t *rapid.T) { m.finish(loop.Draw(t, "loop")) },
		"restart": func(t *rapid.T) { m.restart(loop.Draw(t, "loop")) },
		"zombie": func(t *rapid.T) {
			if len(m.orphaned) > 0 {
				m.orphaned[0].finish()
				m.orphaned = m.orphaned[1:]
			}
		},
		"wait": func(t *rapid.T) { m.clock.Advance(clock.Millis(rapid.IntRange(1, 90).Draw(t, "s")) * clock.Second) },
		"fault": func(t *rapid.T) {
			m.faults.Next(steps.Draw(t, "step"), kinds.Draw(t, "kind"), rapid.IntRange(1, 3).Draw(t, "n"))
		},
		"outage":    func(t *rapid.T) { m.faults.Always(steps.Draw(t, "step"), kinds.Draw(t, "kind"), 0) },
		"partition": func(t *rapid.T) { m.faults.Partition(zoneNames[zone.Draw(t, "zone")]) },
		"heal":      func(t *rapid.T) { m.faults.ClearAll() },
		"fail one": func(t *rapid.T) {
			withoutFaults(func() { m.removeInstances("", "", m.instance(instance.Draw(t, "instance"))) })
		},
		"fail rack": func(t *rapid.T) {
			z := zoneNames[zone.Draw(t, "zone")]
			withoutFaults(func() { m.removeInstances(z, fmt.Sprint(z, rapid.IntRange(0, 1).Draw(t, "rack")), "") })
		},
		"fail zone": func(t *rapid.T) { withoutFaults(func() { m.removeInstances(zoneNames[zone.Draw(t, "zone")], "", "") }) },
		"sick":      func(t *rapid.T) { m.unhealthy[m.instance(instance.Draw(t, "instance"))] = true },
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
			_ = m.operatorLoops[zone.Draw(t, "operators")].Drain(m.ctx, m.instance(instance.Draw(t, "instance")), false)
		},
		"wave": func(t *rapid.T) {
			action := rapid.SampledFrom([]WaveAction{WaveStart, WaveStart, WavePause, WaveResume, WaveStop}).Draw(t, "action")
			_ = m.operatorLoops[zone.Draw(t, "operators")].Wave(m.ctx, fmt.Sprint("p", rapid.IntRange(0, 1).Draw(t, "pool")), action, "op")
		},
		"cancel": func(t *rapid.T) {
			id := fmt.Sprint("j", job.Draw(t, "job"))
			refused := m.operatorLoops[zone.Draw(t, "operators")].CancelJobs(m.ctx, "op", id)
			if r := readRows[jobs.RecordFields](m.testFleet, jobPrefix)[id]; refused[id] == nil && r.State == jobs.Cancelled {
				if _, known := m.cancelled[id]; !known {
					m.cancelled[id] = m.startsOf(r)
				}
			}
		},
	}
}

// checkRecovery ends every fault and checks that the fleet recovers: all instances are members of a pool and serve,
// and all jobs end.
func (m *stateMachine) checkRecovery(t interface{ Fatalf(string, ...any) }) {
	m.faults.ClearAll()
	m.finishAll()
	m.recover()
	clear(m.inFlight)
	clear(m.demand)
	recovered := func() bool {
		for _, r := range m.records() {
			if r.Phase != planner.Serving {
				return false
			}
		}
		for _, r := range readRows[jobs.RecordFields](m.testFleet, jobPrefix) {
			if !r.State.Ended() {
				return false
			}
		}
		return len(m.records()) == 12 && len(readRows[jobs.RecordFields](m.testFleet, jobPrefix)) == len(m.fields.Jobs)
	}
	for round := 0; round%10 != 0 || !recovered(); round++ {
		if round > 1200 {
			t.Fatalf("after 40 min without faults instances got %v and jobs %v, want all 12 serving and all jobs ended", m.records(),
				readRows[jobs.RecordFields](m.testFleet, jobPrefix))
		}
		for i := range m.loops {
			m.pass(i)
		}
		for range m.runningTasks() {
			m.endTask(0, provider.TaskSucceeded)
		}
		m.clock.Advance(2 * clock.Second)
		m.failOnViolations(t)
	}
}

// Guards against any interleaving of loops, operators and faults that violates one of these invariants: a drain leaves
// the pool within its availability budget and capacity; an instance with requests or tasks is neither rebooted nor
// moved; a run-once job starts at most once, and a job that was cancelled while it waited never starts; the jobs of a
// team stay within its quota of cores. The budget rows and the rows of the teams must also agree with the
// instances and jobs.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		defer m.finishAll()
		for i := 0; i < 20; i++ { // all instances join before the faults begin
			m.pass(i % 3)
			m.clock.Advance(clock.Second)
		}
		t.Repeat(m.actions())
		m.checkRecovery(t)
	})
}

// recordViolation records a violation; it may be called from the goroutine of a loop.
func (tf *testFleet) recordViolation(format string, arguments ...any) {
	tf.violations = append(tf.violations, fmt.Sprintf(format, arguments...))
}

// failOnViolations ends the test with the violations that were recorded so far.
func (tf *testFleet) failOnViolations(t interface{ Fatalf(string, ...any) }) {
	if len(tf.violations) > 0 {
		t.Fatalf("%s", strings.Join(tf.violations, "\n"))
	}
}

// allowedNextPhases holds the phases that may follow a phase, separated by spaces, see section 9.2 of docs/design.md.
var allowedNextPhases = map[planner.Phase]string{"": "verifying", planner.Serving: "draining failed",
	planner.Draining: "rebooting moving serving failed", planner.Rebooting: "verifying failed",
	planner.Verifying: "serving failed", planner.Failed: "verifying", planner.Moving: "serving failed"}

// check records the violations of the invariants that TestInvariantsUnderFaults lists, and of allowedNextPhases. It
// compares the rows with those after the last call, so that each transaction is checked by itself.
func (tf *testFleet) check() {
	if tf.lastRecords == nil {
		return
	}
	tf.countTasks()
	records := tf.records()
	for _, p := range tf.fields.Pools {
		drained, used, serving := "", 0, 0
		for id, r := range records {
			if r.Pool == p.Name && r.Phase == planner.Serving {
				serving++
			} else if r.Pool == p.Name && unavailableKind(r) != unavailableJoining {
				used++
			}
			if r.Pool == p.Name && r.Phase == planner.Draining && tf.lastRecords[id].Phase == planner.Serving {
				drained = id
			}
		}
		if drained != "" && (used > p.MaxUnavailable || serving < p.Capacity) {
			tf.recordViolation("drain of %s leaves pool %s with %d of at most %d out of service, %d serving, capacity %d",
				drained, p.Name, used, p.MaxUnavailable, serving, p.Capacity)
		}
	}
	for id, r := range records {
		before := tf.lastRecords[id].Phase
		if before != r.Phase && !strings.Contains(allowedNextPhases[before], string(r.Phase)) {
			tf.recordViolation("instance %s went from phase %q to %q, which allowedNextPhases does not hold", id, before, r.Phase)
		}
		if before == planner.Draining && (r.Phase == planner.Rebooting || r.Phase == planner.Moving) && tf.activeWork(id) > 0 {
			tf.recordViolation("the drain of instance %s ended while %d requests and tasks ran on it", id, tf.activeWork(id))
		}
	}
	tf.lastRecords = records
	tf.checkBudgets(violationRecorder{tf})
	held := map[string]jobs.Use{}
	for _, r := range readRows[jobs.RecordFields](tf, jobPrefix) {
		if starts := tf.startsOf(r); r.RunOnce && starts > 1 {
			tf.recordViolation("run-once job %s started %d times", r.ID, starts)
		} else if before, cancelled := tf.cancelled[r.ID]; cancelled && starts > before {
			tf.recordViolation("job %s started after its cancellation", r.ID)
		}
		if r.State.Bound() {
			held[r.Team] = jobs.Use{Cores: held[r.Team].Cores + r.HeldCores, MemoryMB: held[r.Team].MemoryMB + r.HeldMemoryMB}
		}
	}
	for team, row := range readRows[teamRow](tf, teamPrefix) {
		if row.total() != held[team] {
			tf.recordViolation("use in the row of team %s got %v, want %v, which its bound jobs hold", team, row.total(), held[team])
		}
	}
	for _, t := range tf.fields.Teams {
		if held[t.Name].Cores > t.Cores {
			tf.recordViolation("team %s holds %d cores of at most %d", t.Name, held[t.Name].Cores, t.Cores)
		}
	}
}

// violationRecorder records the errors of checkBudgets as violations.
type violationRecorder struct{ tf *testFleet }

func (v violationRecorder) Errorf(format string, arguments ...any) {
	v.tf.recordViolation(format, arguments...)
}

// startsOf returns how many times the platform started the attempts of a job, up to the one after the recorded token.
func (tf *testFleet) startsOf(r jobs.RecordFields) (starts int) {
	last := r.Token + 1
	for r.Token = 1; r.Token <= last; r.Token++ {
		starts += tf.store.Starts(r.TaskID())
	}
	return starts
}

// instanceByTask returns the running tasks by id with their instance, without faults.
func (tf *testFleet) instanceByTask() map[string]string {
	faults := tf.store.Faults
	tf.store.Faults = nil
	defer func() { tf.store.Faults = faults }()
	running := map[string]string{}
	for i := range 12 {
		instance := fmt.Sprintf("w%02d", i)
		reports, _ := tf.store.View("").Tasks().Usage(tf.ctx, instance)
		for _, u := range reports {
			if u.State() == provider.TaskRunning {
				running[u.ID()] = instance
			}
		}
	}
	return running
}

func (tf *testFleet) runningTasks() []string {
	instanceByTask := tf.instanceByTask()
	ids := make([]string, 0, len(instanceByTask))
	for id := range instanceByTask {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// countTasks counts the running tasks of each instance; a drain waits for them as it does for requests.
func (tf *testFleet) countTasks() {
	clear(tf.tasks)
	for _, instance := range tf.instanceByTask() {
		tf.tasks[instance]++
	}
}

// activeWork returns how many requests and tasks run on an instance.
func (tf *testFleet) activeWork(instance string) int {
	return tf.inFlight[instance] + tf.tasks[instance]
}

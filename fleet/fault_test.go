package fleet

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/jobs"
	"magnoliaferry/memory"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// operations are what the control loop carries out in several steps. begin orders or causes one. done, which is called
// after checkRecovery, reports whether it was carried out; for a move and a job checkRecovery is the only check.
var operations = map[string]struct {
	begin func(m *stateMachine)
	done  func(m *stateMachine) bool
}{
	"maintenance": { // drain, reboot, return
		func(m *stateMachine) { _ = m.operatorLoops[1].Drain(m.ctx, "w00", false) },
		func(m *stateMachine) bool { r := m.records()["w00"]; return r.Phase == planner.Serving },
	},
	"move": {
		func(m *stateMachine) { m.demand["p0"] = 60 },
		func(m *stateMachine) bool { clear(m.demand); return true },
	},
	"job": { // place, start
		func(m *stateMachine) { m.submit(); m.submit(); m.submit() },
		func(m *stateMachine) bool { return true },
	},
	"cancel": {
		func(m *stateMachine) {
			m.submit()
			for range 2 { // the row is written by the first pass
				m.round()
			}
			if refused := m.operatorLoops[1].CancelJobs(m.ctx, "op", "j0"); refused["j0"] == nil {
				if r := readRows[jobs.RecordFields](m.testFleet, jobPrefix)["j0"]; r.State == jobs.Cancelled {
					m.cancelled["j0"] = m.startsOf(r)
				}
			}
		},
		func(m *stateMachine) bool {
			return readRows[jobs.RecordFields](m.testFleet, jobPrefix)["j0"].State.Ended()
		},
	},
}

// faultsAtSteps begin a fault; checkRecovery ends them all.
var faultsAtSteps = map[string]func(m *stateMachine){
	"store-down": func(m *stateMachine) {
		for _, step := range []string{memory.StepRead, memory.StepScan, memory.StepCommit} {
			m.faults.Always(step, fault.Down, 0)
		}
	},
	"store-slow":         func(m *stateMachine) { m.platforms[0].pauseAt = "read" },
	"request-lost":       func(m *stateMachine) { m.faults.Always(memory.StepCommit, fault.LoseRequest, 0) },
	"store-answer-lost":  func(m *stateMachine) { m.faults.Always(memory.StepCommit, fault.LoseAnswer, 0) },
	"order-answer-lost":  func(m *stateMachine) { m.failOrders(fault.LoseAnswer) },
	"orders-refused":     func(m *stateMachine) { m.failOrders(fault.Down) },
	"holder-paused":      func(m *stateMachine) { m.pauseAll(false) },
	"paused-after-write": func(m *stateMachine) { m.pauseAll(true) },
	"zone-cut-off":       func(m *stateMachine) { m.faults.Partition(zoneNames[0]); m.faults.Partition(zoneNames[1]) },
	"entry-replaced":     func(m *stateMachine) { m.restart(0); m.restart(1) },
	"racing-operators": func(m *stateMachine) {
		for i := range 3 {
			_ = m.operatorLoops[i].Drain(m.ctx, m.instance(i), false)
			m.operatorLoops[i].CancelJobs(m.ctx, "other", "j0")
			_ = m.operatorLoops[i].Wave(m.ctx, "p0", WaveStart, "other")
		}
	},
	"batch-flood":  func(m *stateMachine) { m.submitMany(config.Batch) },
	"urgent-flood": func(m *stateMachine) { m.submitMany(config.Urgent) },
	"cancellations": func(m *stateMachine) {
		m.submitMany(config.Normal)
		m.round()
		for i := range m.fields.Jobs {
			id := m.fields.Jobs[i].Name
			m.operatorLoops[2].CancelJobs(m.ctx, "op", id)
			if r := readRows[jobs.RecordFields](m.testFleet, jobPrefix)[id]; r.State == jobs.Cancelled {
				m.cancelled[id] = m.startsOf(r)
			}
		}
	},
	"jobs-that-fail": func(m *stateMachine) {
		for range 3 {
			m.round()
			for range m.runningTasks() {
				m.endTask(0, provider.TaskFailed)
			}
		}
	},
	"rack-lost":    func(m *stateMachine) { m.removeInstances(zoneNames[0], zoneNames[0]+"0", "") },
	"workers-sick": func(m *stateMachine) { m.unhealthy["w00"], m.unhealthy["w04"] = true, true },
}

// submitMany submits more jobs of one urgency than the fleet can run at once.
func (m *stateMachine) submitMany(urgency config.Urgency) {
	for range 24 {
		m.submit()
		m.fields.Jobs[len(m.fields.Jobs)-1].Urgency = urgency
	}
}

// failOrders makes all orders to the platform fail in the given way: drains, reboots, and starts and stops of tasks.
func (m *stateMachine) failOrders(kind fault.Kind) {
	for _, step := range []string{memory.StepDrain, memory.StepReboot, memory.StepStatus, memory.StepTaskStart,
		memory.StepTaskControl} {
		m.faults.Always(step, kind, 0)
	}
}

// pauseAll pauses each loop at its next write, before or after its effect. The holder of any lease is among them.
func (m *stateMachine) pauseAll(after bool) {
	for _, p := range m.platforms {
		p.pauseAt, p.after = "commit", after
	}
}

// round lets the entry instances poll and dispatch, lets every loop make a pass, and then ends all requests.
func (m *stateMachine) round() {
	for i := range m.entryAssignments {
		if m.entryAssignments[i].Poll(m.ctx) == nil {
			m.polledAt[i] = m.clock.Now()
		}
		m.dispatch(i)
	}
	for i := range m.loops {
		m.pass(i)
	}
	m.clock.Advance(2 * clock.Second)
	clear(m.inFlight)
	m.check()
}

// Guards against a fault at any step of an operation that breaks an invariant or keeps the fleet from recovering.
// Each fault begins after every number of passes that the operation can take and lasts 12 s, which is longer than a
// lease; the invariants are checked after each write.
func TestFaultsAtEachStep(t *testing.T) {
	const passes = 8 // an operation takes at most this many passes of 2 s without faults
	for operation, o := range operations {
		for name, begin := range faultsAtSteps {
			t.Run(operation+"/"+name, func(t *testing.T) {
				t.Parallel()
				for at := range passes {
					m := newStateMachine()
					for range 20 {
						m.round()
					}
					o.begin(m)
					m.check()
					for range at {
						m.round()
					}
					begin(m)
					m.check()
					for range 6 {
						m.round()
					}
					m.checkRecovery(t)
					if !o.done(m) {
						t.Errorf("fault after %d passes: operation %s was not carried out; instances: %v", at, operation, m.records())
					}
					if len(m.violations) > 0 {
						t.Fatalf("fault after %d passes: %s", at, fmt.Sprint(m.violations))
					}
				}
			})
		}
	}
}

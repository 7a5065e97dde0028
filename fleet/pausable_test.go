package fleet

import (
	"context"
	"strings"

	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// pausablePlatform is the access of one loop to the platform. It can pause the loop at the next call of a kind,
// before or after its effect, while everything else continues, and it can lose that call or its answer.
type pausablePlatform struct {
	provider.Platform
	testFleet *testFleet
	pauseAt   string // kind of call; "" for none
	after     bool   // pause after the effect of the call
	loseAt    string // kind of call; "" for none
	lose      fault.Kind
	paused    chan struct{}
	resume    chan struct{}
	done      chan struct{}
}

func newPausablePlatform(tf *testFleet, zone string) *pausablePlatform {
	return &pausablePlatform{Platform: tf.store.View(zone), testFleet: tf, paused: make(chan struct{}),
		resume: make(chan struct{})}
}

// pass runs a pass of the loop until it ends or pauses at a call, and reports whether it ended.
func (p *pausablePlatform) pass(l *Loop) bool {
	p.paused, p.resume, p.done = make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(p.done)
		_ = l.Pass(p.testFleet.ctx)
	}()
	select {
	case <-p.done:
		return true
	case <-p.paused:
		return false
	}
}

// finish resumes a paused pass and waits until it ends.
func (p *pausablePlatform) finish() {
	close(p.resume)
	<-p.done
}

// callKinds are the kinds of calls at which random operations pause a loop, or lose the call or its answer. A repeated
// kind is chosen more often.
var callKinds = []string{"commit", "commit", "start", "start", "reboot", "drain", "read", "waves", "checkpoint"}

// intercept runs the call f of a kind and pauses the loop before or after it, or loses the call or its answer, as
// configured. step is the name of the call in the fault injector. delayed tells f that the call was paused before its
// effect. The invariants are checked after each write and each start of a task.
func (p *pausablePlatform) intercept(kind, step string, f func(delayed bool) error) error {
	pauseHere, after := p.pauseAt == kind, p.after
	if pauseHere {
		p.pauseAt = ""
		if !after {
			p.waitForResume()
		}
	}
	if p.loseAt == kind {
		p.loseAt = ""
		p.testFleet.faults.Next(step, p.lose, 1)
	}
	err := f(pauseHere && !after)
	if kind == "commit" || kind == "start" {
		p.testFleet.check()
	}
	if pauseHere && after {
		p.waitForResume()
	}
	return err
}

func (p *pausablePlatform) waitForResume() {
	close(p.paused)
	<-p.resume
}

func (p *pausablePlatform) Table() provider.Table { return pausableTable{p} }
func (p *pausablePlatform) Tasks() provider.Tasks { return pausableTasks{p, p.Platform.Tasks()} }
func (p *pausablePlatform) Maintenance() provider.Maintenance {
	return pausableMaintenance{p, p.Platform.Maintenance()}
}

type pausableTable struct{ p *pausablePlatform }

func (t pausableTable) Read(ctx context.Context, keys ...string) (rows []provider.Row, err error) {
	kind := "read"
	if len(keys) > 0 && strings.HasPrefix(keys[0], wavePrefix) {
		kind = "waves" // the last read before a loop reads the instances under maintenance
	}
	err = t.p.intercept(kind, memory.StepRead, func(bool) error {
		rows, err = t.p.Platform.Table().Read(ctx, keys...)
		return err
	})
	return rows, err
}

func (t pausableTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []provider.Row, err error) {
	err = t.p.intercept("scan", memory.StepScan, func(bool) error {
		rows, err = t.p.Platform.Table().Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

func (t pausableTable) Commit(ctx context.Context, tx provider.Transaction) error {
	kind := "commit"
	if strings.HasPrefix(tx.Writes()[0].Key(), leasePrefix) {
		kind = "lease" // written at every pass; no invariant depends on it
	}
	return t.p.intercept(kind, memory.StepCommit, func(bool) error { return t.p.Platform.Table().Commit(ctx, tx) })
}

type pausableTasks struct {
	p *pausablePlatform
	provider.Tasks
}

func (t pausableTasks) Start(ctx context.Context, r provider.TaskRequest) error {
	return t.p.intercept("start", memory.StepTaskStart, func(bool) error { return t.Tasks.Start(ctx, r) })
}

func (t pausableTasks) Checkpoint(ctx context.Context, id string) error {
	return t.p.intercept("checkpoint", memory.StepTaskControl, func(bool) error { return t.Tasks.Checkpoint(ctx, id) })
}

type pausableMaintenance struct {
	p *pausablePlatform
	provider.Maintenance
}

// Drain records an order to drain an instance that is not draining as a violation, unless the order was delayed.
func (m pausableMaintenance) Drain(ctx context.Context, instance string) error {
	return m.p.intercept("drain", memory.StepDrain, func(delayed bool) error {
		if phase := m.p.testFleet.records()[instance].Phase; phase != planner.Draining && !delayed {
			m.p.testFleet.recordViolation("the platform got an order to drain instance %s, which is %s", instance, phase)
		}
		return m.Maintenance.Drain(ctx, instance)
	})
}

// Reboot refuses to reboot an instance on which requests or tasks run, as a platform does. Only an order that was
// delayed on its way may be refused; any other one is recorded as a violation.
func (m pausableMaintenance) Reboot(ctx context.Context, instance string) error {
	return m.p.intercept("reboot", memory.StepReboot, func(delayed bool) error {
		m.p.testFleet.countTasks()
		if running := m.p.testFleet.activeWork(instance); running > 0 {
			if !delayed {
				m.p.testFleet.recordViolation("reboot of %s interrupts %d requests and tasks", instance, running)
			}
			return provider.ErrConflict.New("%s: requests or tasks still run", memory.StepReboot)
		}
		return m.Maintenance.Reboot(ctx, instance)
	})
}

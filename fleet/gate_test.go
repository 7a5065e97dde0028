package fleet

import (
	"context"
	"strings"

	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// gate is the access of one loop to the platform. It can pause the loop at the next call of a kind, before or after its
// effect, while the rest of the world goes on, and it can lose that call or its answer.
type gate struct {
	provider.Platform
	world   *world
	pauseAt string // kind of call; "" for none
	after   bool
	loseAt  string // kind of call; "" for none
	lose    fault.Kind
	paused  chan struct{}
	resume  chan struct{}
	done    chan struct{}
}

func newGate(w *world, zone string) *gate {
	return &gate{Platform: w.store.View(zone), world: w, paused: make(chan struct{}), resume: make(chan struct{})}
}

// pass runs a pass of the loop until it ends or pauses at a call, and tells whether it ended.
func (g *gate) pass(l *Loop) bool {
	g.paused, g.resume, g.done = make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(g.done)
		_ = l.Pass(g.world.ctx)
	}()
	select {
	case <-g.done:
		return true
	case <-g.paused:
		return false
	}
}

// finish lets a paused pass run to its end.
func (g *gate) finish() {
	close(g.resume)
	<-g.done
}

// The kinds of calls that change something, by which operations choose where a loop pauses or loses an answer.
var callKinds = []string{"commit", "commit", "start", "start", "reboot", "drain", "read", "waves", "checkpoint"}

// call runs one call; delayed says that it was paused before its effect.
func (g *gate) call(kind, step string, f func(delayed bool) error) error {
	here, after := g.pauseAt == kind, g.after
	if here {
		g.pauseAt = ""
		if !after {
			g.wait()
		}
	}
	if g.loseAt == kind {
		g.loseAt = ""
		g.world.faults.Next(step, g.lose, 1)
	}
	err := f(here && !after)
	if kind == "commit" || kind == "start" {
		g.world.check()
	}
	if here && after {
		g.wait()
	}
	return err
}

func (g *gate) wait() {
	close(g.paused)
	<-g.resume
}

func (g *gate) Table() provider.Table { return gatedTable{g} }
func (g *gate) Tasks() provider.Tasks { return gatedTasks{g, g.Platform.Tasks()} }
func (g *gate) Maintenance() provider.Maintenance {
	return gatedMaintenance{g, g.Platform.Maintenance()}
}

type gatedTable struct{ g *gate }

func (t gatedTable) Read(ctx context.Context, keys ...string) (rows []provider.Row, err error) {
	kind := "read"
	if len(keys) > 0 && strings.HasPrefix(keys[0], wavePrefix) {
		kind = "waves" // the last read before a loop looks at the instances that are out
	}
	err = t.g.call(kind, memory.StepRead, func(bool) error {
		rows, err = t.g.Platform.Table().Read(ctx, keys...)
		return err
	})
	return rows, err
}

func (t gatedTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []provider.Row, err error) {
	err = t.g.call("scan", memory.StepScan, func(bool) error {
		rows, err = t.g.Platform.Table().Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

func (t gatedTable) Commit(ctx context.Context, tx provider.Transaction) error {
	kind := "commit"
	if strings.HasPrefix(tx.Writes()[0].Key(), leasePrefix) {
		kind = "lease" // written at every pass, and without an invariant
	}
	return t.g.call(kind, memory.StepCommit, func(bool) error { return t.g.Platform.Table().Commit(ctx, tx) })
}

type gatedTasks struct {
	g *gate
	provider.Tasks
}

func (t gatedTasks) Start(ctx context.Context, r provider.TaskRequest) error {
	return t.g.call("start", memory.StepTaskStart, func(bool) error { return t.Tasks.Start(ctx, r) })
}

func (t gatedTasks) Checkpoint(ctx context.Context, id string) error {
	return t.g.call("checkpoint", memory.StepTaskControl, func(bool) error { return t.Tasks.Checkpoint(ctx, id) })
}

type gatedMaintenance struct {
	g *gate
	provider.Maintenance
}

func (m gatedMaintenance) Drain(ctx context.Context, instance string) error {
	return m.g.call("drain", memory.StepDrain, func(delayed bool) error {
		if phase := m.g.world.records()[instance].Phase; phase != planner.Draining && !delayed {
			m.g.world.errorf("order to drain %s, which is %s", instance, phase)
		}
		return m.Maintenance.Drain(ctx, instance)
	})
}

// Reboot plays a platform that refuses to reboot an instance on which something runs. Only an order that was delayed on
// its way may rely on that; any other one is a fault of the loop.
func (m gatedMaintenance) Reboot(ctx context.Context, instance string) error {
	return m.g.call("reboot", memory.StepReboot, func(delayed bool) error {
		m.g.world.countTasks()
		if running := m.g.world.runs(instance); running > 0 {
			if !delayed {
				m.g.world.errorf("reboot of %s interrupts %d requests and tasks", instance, running)
			}
			return provider.ErrConflict.New("%s: requests or tasks still run", memory.StepReboot)
		}
		return m.Maintenance.Reboot(ctx, instance)
	})
}

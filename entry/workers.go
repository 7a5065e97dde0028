package entry

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fleet"
	"magnoliaferry/planner"
	"magnoliaferry/routing"
)

// updatePeriod is the time between two updates of the routing from the configuration and the assignments. A worker that is
// leaving must get no new requests 3 s after the platform's list shows it, and the list is read once per second.
const updatePeriod = clock.Second / 2

// workerUpdater is a module that updates the router, the ledger and the queues from the configuration in force and the
// assignments of workers to pools.
type workerUpdater struct {
	instance *Instance

	// The values of the last update.
	configuration *config.Configuration
	assigned      []fleet.Assignment
}

// sameAssignments reports whether two results of fleet.Assignments.Current are the same slice, which is returned until the
// assignments change.
func sameAssignments(a, b []fleet.Assignment) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Name implements kernel.Module.
func (w *workerUpdater) Name() string { return "workers" }

// Run updates until the context ends.
func (w *workerUpdater) Run(ctx context.Context) error {
	for {
		w.update()
		if err := w.instance.Clock.Sleep(ctx, updatePeriod); err != nil {
			return err
		}
	}
}

// update applies the configuration and the assignments if they have changed, and wakes the queues.
func (w *workerUpdater) update() {
	i := w.instance
	c, assigned := i.configuration.Current(), i.assignments.Current()
	if c == nil || c == w.configuration && sameAssignments(assigned, w.assigned) {
		i.queues.wakeAll() // slots may have become free in the ledger, or workers have returned after an ejection
		return
	}
	w.configuration, w.assigned = c, assigned
	members, zones := map[string][]routing.WorkerState{}, map[string]string{}
	for _, a := range assigned {
		zones[a.Instance()] = a.Zone()
		p, known := c.Pool(a.Pool())
		if !known || a.Address() == "" {
			continue
		}
		resource := workerResourcePrefix + a.Instance()
		i.ledger.SetCapacity(resource, a.Zone(), p.Slots())
		leaving := a.Leaving() || a.Phase() != planner.Serving
		members[a.Pool()] = append(members[a.Pool()], routing.NewWorkerState(a.Instance(), a.Address(), a.Zone(),
			i.ledger.Account(resource), leaving))
	}
	i.workerZones.Store(&zones)
	states := make([]routing.PoolState, 0, len(c.Pools()))
	for _, p := range c.Pools() {
		states = append(states, routing.NewPoolState(p.Name(), i.Settings.Policy, p.Capacity(), members[p.Name()]...))
		if p.MaxInFlight() > 0 {
			i.ledger.SetCapacity("pool/"+p.Name(), "", p.MaxInFlight())
		}
	}
	for _, t := range c.Teams() {
		if t.MaxInFlight() > 0 {
			i.ledger.SetCapacity("team/"+t.Name(), "", t.MaxInFlight())
		}
	}
	i.router.Update(states)
	i.queues.configure(c)
	i.queues.wakeAll()
}

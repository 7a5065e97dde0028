package entry

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/planner"
	"magnoliaferry/routing"
)

// updatePeriod is how often routing takes over changes of the configuration and of the assignments. A leaving worker
// must get no new work 3 s after the platform's list shows it, and the list is read once a second.
const updatePeriod = clock.Second / 2

// workers keeps the router and the ledger in step with the configuration and the assignments.
type workers struct{ instance *Instance }

// Name implements kernel.Module.
func (w *workers) Name() string { return "workers" }

// Run updates until the context ends.
func (w *workers) Run(ctx context.Context) error {
	for {
		w.update()
		if err := w.instance.Clock.Sleep(ctx, updatePeriod); err != nil {
			return err
		}
	}
}

func (w *workers) update() {
	i := w.instance
	c := i.configuration.Current()
	if c == nil {
		return
	}
	members, zones := map[string][]routing.WorkerState{}, map[string]string{}
	for _, a := range i.assignments.Current() {
		zones[a.Instance()] = a.Zone()
		p, known := c.Pool(a.Pool())
		if !known || a.Address() == "" {
			continue
		}
		resource := workerResource + a.Instance()
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

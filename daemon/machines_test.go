package daemon

import (
	"context"
	"encoding/json"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// silentPlatform answers no order. It records the age of the renewal of the ownership when an order arrives and when the order is
// cancelled.
type silentPlatform struct {
	machines.Platform
	clock                   *clock.Clock
	ownership               *store.Ownership
	orders                  []machines.Order
	ageAtStart, ageAtCancel clock.Millis
}

func (p *silentPlatform) Execute(ctx context.Context, _ string, order machines.Order) machines.Outcome {
	p.orders = append(p.orders, order)
	p.ageAtStart = p.ownership.SinceRenewal()
	for ctx.Err() == nil && p.ownership.SinceRenewal() < ownershipTimeout {
		p.clock.Advance(1)
	}
	p.ageAtCancel = p.ownership.SinceRenewal()
	return machines.Unanswered
}

// Guards against an order for a machine that reaches the platform less than a lease before the next owner's first order, because it
// waited for processor time or a connection after the age of the renewal was checked.
func TestOrderForAMachineEndsBeforeASuccessorOrders(t *testing.T) {
	const latest = maxRenewalAge + handoverMargin // a successor's first order comes a lease later
	for _, test := range []struct {
		name      string
		age, wait clock.Millis // of the renewal when the plan is made; delay until the order is sent
		sent      bool
	}{
		{"right after the renewal", 0, 0, true},
		{"at the last moment", maxRenewalAge, 0, true},
		{"short of processor time", 100, 500, true},
		{"short of processor time for the whole margin", maxRenewalAge - 100, 100 + handoverMargin, false},
		{"short of processor time for as long as a takeover takes", 0, takeoverMinMachines, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			c := clock.NewFake(10000)
			table := standin.NewTable()
			ownership := &store.Ownership{Store: table, Clock: c, Part: store.FleetPart, Node: "a", Incarnation: "a", SinceBoot: c.Now}
			if err := ownership.Claim(ctx, 0); err != nil {
				t.Fatal(err)
			}
			platform := &silentPlatform{clock: c, ownership: ownership}
			d := &Daemon{clock: c, table: &store.Monitor{Table: table, Clock: c}, Machines: platform}
			d.Settings.Node = "a"
			d.configuration.Store(&batch.Configuration{Pools: []batch.Pool{{Name: "p"}}})
			cordon, err := json.Marshal(machines.Cordon{Withdrawal: "1"})
			if err != nil {
				t.Fatal(err)
			}
			d.fleet.Load([]store.Row{{Table: store.FleetTable, Part: "p", Key: store.Key(store.KindCordon, "m"), Value: cordon, Version: 1}})
			o := &machineOwner{daemon: d, ownership: ownership, events: newWorkQueue[func()](), rows: map[string][]byte{},
				reports: map[string]int64{}, coordinator: machines.NewCoordinator(ownership.Token(), 0, nil),
				listing: true, committing: true} // so that step only sends orders
			want := machines.Withdrawal{ID: "1", Machine: "m", Worker: "w", Op: machines.Upkeep, Wave: 1, Ordered: true}
			o.coordinator.Tick(c.Now(), c.Now())
			o.coordinator.Restore(want)
			o.coordinator.Listed([]batch.Machine{{ID: "m", Pool: "p", State: batch.MachineUp, Worker: "w"}}, c.Now())
			plan := func(wait clock.Millis) {
				reads := 0
				ownership.SinceBoot = func() clock.Millis {
					if reads++; reads == 2 { // step has read the age once; this read is that of sendOrder
						c.Advance(wait)
					}
					return c.Now()
				}
				o.step(ctx, ctx)
				<-o.events.signal // the order has ended
				for _, handle := range o.events.takeAll() {
					handle()
				}
				ownership.SinceBoot = c.Now
			}
			c.Advance(test.age)
			plan(test.wait)
			if got := len(platform.orders) == 1; got != test.sent {
				t.Errorf("order sent got %t, want %t", got, test.sent)
			}
			if test.sent && platform.ageAtCancel >= latest {
				t.Errorf("order without an answer got cancelled %d ms after the renewal, want before %d", platform.ageAtCancel, latest)
			}
			if !test.sent && len(platform.orders) > 0 {
				t.Errorf("order reached the platform %d ms after the renewal, want before %d", platform.ageAtStart, latest)
			}
			// Whatever its outcome, the order is repeated unchanged once the ownership is renewed.
			c.Advance(clock.Second)
			if err := ownership.Commit(ctx, nil, nil); err != nil {
				t.Fatal(err)
			}
			platform.orders = nil
			plan(0)
			if got, want := platform.orders, (machines.Order{Withdrawal: want, Token: o.coordinator.Token}); len(got) != 1 || got[0] != want {
				t.Errorf("orders after the renewal got %+v, want %+v", got, want)
			}
		})
	}
}

// listedPlatform answers requests for the list of machines.
type listedPlatform struct {
	machines.Platform
	list []batch.Machine
	err  error
}

func (p *listedPlatform) List(context.Context) ([]batch.Machine, error) { return p.list, p.err }

// Guards against a list of machines that could not be read and is taken for one without the worker of a pool, whose runs would be started again.
func TestUnreadableListNamesNoWorkers(t *testing.T) {
	platform := &listedPlatform{list: []batch.Machine{{ID: "m", Worker: "w"}}}
	o := &poolOwner{daemon: &Daemon{Machines: platform}}
	if got := o.listMachines(context.Background()); len(got) != 1 || got["m"] != "w" {
		t.Errorf("workers got %v, want w on m", got)
	}
	platform.err = context.DeadlineExceeded
	if got := o.listMachines(context.Background()); got != nil {
		t.Errorf("workers got %v, want nil without an answer", got)
	}
}

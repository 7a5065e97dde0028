package daemon

import (
	"context"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// silentPlatform answers no order and notes how old the renewal of the ownership is when an order reaches it and when the
// order is given up.
type silentPlatform struct {
	machines.Platform
	clock          *clock.Clock
	chain          *store.Ownership
	orders         []machines.Order
	begun, givenUp clock.Millis
}

func (p *silentPlatform) Execute(ctx context.Context, _ string, order machines.Order) machines.Outcome {
	p.orders = append(p.orders, order)
	p.begun = p.chain.SinceRenewal()
	for ctx.Err() == nil && p.chain.SinceRenewal() < actLimit {
		p.clock.Advance(1)
	}
	p.givenUp = p.chain.SinceRenewal()
	return machines.Unanswered
}

// Guards against an order for a machine that reaches the platform within the lease of the next owner's first order: it waited
// for processor time or a connection after the renewal of the ownership was checked.
func TestOrderForAMachineEndsBeforeASuccessorOrders(t *testing.T) {
	const latest = orderAge + handOverMargin // a successor's first order comes a lease later
	for _, test := range []struct {
		name      string
		age, wait clock.Millis // of the renewal at the plan; until the order is carried out
		sent      bool
	}{
		{"right after the renewal", 0, 0, true},
		{"at the last moment", orderAge, 0, true},
		{"short of processor time", 100, 500, true},
		{"short of processor time for the whole margin", orderAge - 100, 100 + handOverMargin, false},
		{"short of processor time for as long as a takeover takes", 0, takeoverMachines, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			c := clock.NewFake(10000)
			table := standin.NewTable()
			chain := &store.Ownership{Store: table, Clock: c, Part: store.FleetPart, Node: "a", Incarnation: "a", SinceBoot: c.Now}
			if err := chain.Claim(ctx, 0); err != nil {
				t.Fatal(err)
			}
			platform := &silentPlatform{clock: c, chain: chain}
			d := &Daemon{clock: c, table: &store.Monitor{Table: table, Clock: c}, Machines: platform}
			d.Settings.Node = "a"
			d.configuration.Store(&batch.Configuration{})
			o := &machineOwner{daemon: d, chain: chain, events: newMailbox[func()](), rows: map[string][]byte{},
				reports: map[string]int64{}, coordinator: machines.NewCoordinator(chain.Token(), 0, nil),
				listing: true, committing: true} // only orders go out
			want := machines.Withdrawal{ID: "1", Machine: "m", Worker: "w", Op: machines.Upkeep, Wave: 1, Ordered: true}
			o.coordinator.Tick(c.Now(), c.Now())
			o.coordinator.Restore(want)
			o.coordinator.Listed([]batch.Machine{{ID: "m", Pool: "p", State: batch.MachineUp, Worker: "w"}}, c.Now())
			plan := func(wait clock.Millis) {
				reads := 0
				chain.SinceBoot = func() clock.Millis {
					if reads++; reads == 2 { // the first one is that of the plan
						c.Advance(wait)
					}
					return c.Now()
				}
				o.step(ctx, ctx)
				<-o.events.signal // the order is over
				for _, handle := range o.events.take() {
					handle()
				}
				chain.SinceBoot = c.Now
			}
			c.Advance(test.age)
			plan(test.wait)
			if got := len(platform.orders) == 1; got != test.sent {
				t.Errorf("order sent got %t, want %t", got, test.sent)
			}
			if test.sent && platform.givenUp >= latest {
				t.Errorf("order without an answer got given up %d ms after the renewal, want before %d", platform.givenUp, latest)
			}
			if !test.sent && len(platform.orders) > 0 {
				t.Errorf("order reached the platform %d ms after the renewal, want before %d", platform.begun, latest)
			}
			// Whatever became of it, the order is repeated unchanged once the ownership is renewed.
			c.Advance(clock.Second)
			if err := chain.Commit(ctx, nil, nil); err != nil {
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

package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/platform"
	"magnoliaferry/pool"
	"magnoliaferry/store"
)

// Times of the owner of the machines.
const (
	machinesPeriod   = 100 * clock.Millis(1) // between two plans
	listActivePeriod = 400 * clock.Millis(1) // between two lists while machines are out
	listIdlePeriod   = 800 * clock.Millis(1)
	// orderAge is how old the renewal of the ownership may be when an order goes out, so that a successor knows when the
	// last one can have been.
	orderAge       = 900 * clock.Millis(1)
	handOverMargin = 100 * clock.Millis(1) // for an order on its way
	// orderTravel is how much older than orderAge the renewal may be while an order waits for processor time, a connection or
	// its answer. Bytes that were sent before the order was given up arrive in the rest of handOverMargin.
	orderTravel = handOverMargin / 2
)

// machineOwner decides on machines during one tenure.
type machineOwner struct {
	daemon      *Daemon
	chain       *store.Ownership
	coordinator *machines.Coordinator
	events      *mailbox[func()]

	committing bool
	committed  clock.Millis
	listing    bool
	listed     clock.Millis
	lost       error
	rows       map[string][]byte // as the table has them, by key
	reports    map[string]int64  // versions of the reports taken in, by pool
}

func (d *Daemon) leadMachines(ctx context.Context, chain *store.Ownership, before store.OwnerEntry, existed bool) error {
	d.ownsMachines.Store(true)
	defer d.ownsMachines.Store(false)
	if err := d.catchUpMachines(ctx); err != nil {
		return err
	}
	from := ordersFrom(d.clock.Now(), before, existed, d.Settings.Node, d.Settings.MachineLease)
	o := &machineOwner{daemon: d, chain: chain, events: newMailbox[func()](), rows: map[string][]byte{}, reports: map[string]int64{},
		coordinator: machines.NewCoordinator(chain.Token(), from, d.Logger)}
	o.coordinator.Tick(d.clock.Now(), d.wall())
	if err := o.begin(); err != nil {
		return err
	}
	eventMachineTenure.Log(ctx, d.Logger, slog.Int64("token", chain.Token()), slog.Int("rows", len(o.rows)))
	commits, stopCommits := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCommits()
	d.machineOwner.Store(o)
	defer d.machineOwner.Store(nil)
	for ctx.Err() == nil && o.lost == nil {
		for _, handle := range o.events.take() {
			handle()
		}
		o.step(ctx, commits)
		if d.clock.Sleep(ctx, planPeriod) != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-o.events.signal:
		case <-d.clock.After(machinesPeriod):
		}
	}
	d.settle(o.events, &o.committing)
	return o.lost
}

// ordersFrom returns when the first order of a tenure may go out: the platform wants two holders to be a lease apart. An
// earlier life of this process was the same holder, and orders nothing any more. A holder that gave the machines up orders
// nothing any more either, but the one before it may have done so until shortly after the claim of the last one.
func ordersFrom(now clock.Millis, before store.OwnerEntry, existed bool, node string, lease clock.Millis) clock.Millis {
	renewed := before.FirstSeen
	switch {
	case !existed:
		return now
	case before.Owner.Released:
		renewed -= before.Owner.Held
	case before.Owner.Node == node:
		return now
	}
	return max(now, renewed+orderAge+lease+handOverMargin)
}

func (d *Daemon) catchUpMachines(ctx context.Context) error {
	ctx, cancel := d.clock.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	if err := d.catchUp(ctx); err != nil {
		return err
	}
	return d.reportsFeed.CatchUp(ctx)
}

func (o *machineOwner) begin() error {
	d := o.daemon
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWant) {
		want, err := machines.DecodeWithdrawal(row.Value)
		if err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		o.rows[row.Key] = row.Value
		o.coordinator.Restore(want)
	}
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWave) {
		o.rows[row.Key] = row.Value
	}
	return nil
}

// step plans, and sends what the plan asks for. Transactions run in a context of their own.
func (o *machineOwner) step(ctx, commits context.Context) {
	d, c := o.daemon, o.coordinator
	c.Tick(d.clock.Now(), d.wall())
	c.Configure(d.configuration.Load())
	o.takeWaves()
	o.takeReports()
	o.list(ctx)
	if o.chain.SinceRenewal() <= orderAge {
		c.Plan()
		for _, order := range c.Orders() {
			go func() {
				outcome := o.carry(ctx, order)
				o.events.put(func() {
					c.Tick(d.clock.Now(), d.wall())
					c.Carried(order, outcome)
				})
			}()
		}
	}
	o.commit(commits)
}

// carry sends an order and gives it up before a successor may order: this goroutine, or the client of the platform, can wait
// so long that the check of the renewal in step no longer holds.
func (o *machineOwner) carry(ctx context.Context, order machines.Order) machines.Outcome {
	d := o.daemon
	age := o.chain.SinceRenewal()
	left := orderAge + orderTravel - age
	if left <= 0 {
		eventLateOrder.Log(ctx, d.Logger, slog.String("machine", order.Withdrawal.Machine), slog.Int64("age-ms", int64(age)))
		return machines.Rejected
	}
	ctx, cancel := d.clock.WithTimeout(ctx, left)
	defer cancel()
	return d.Machines.Execute(ctx, d.Settings.Node, order)
}

func (o *machineOwner) takeWaves() {
	d := o.daemon
	d.mu.Lock()
	waves := make([]batch.Wave, 0, len(d.waves))
	for _, wave := range d.waves {
		waves = append(waves, wave)
	}
	d.mu.Unlock()
	for _, wave := range waves {
		var state *machines.WaveState
		if value, ok := o.rows[store.Key(store.KindWave, fmt.Sprint(wave.Number))]; ok {
			state = &machines.WaveState{}
			if err := json.Unmarshal(value, state); err != nil {
				o.lost = err
				return
			}
		}
		o.coordinator.SetWave(wave, state)
	}
}

// takeReports takes in what the owners of pools tell: their load, and which wanted workers are empty.
func (o *machineOwner) takeReports() {
	d := o.daemon
	cordons := map[string]string{}
	configuration := d.configuration.Load()
	for i := range configuration.Pools {
		name := configuration.Pools[i].Name
		if row, ok := d.reports.Row(name, store.ReportKey); ok && row.Version != o.reports[name] {
			o.reports[name] = row.Version
			var load pool.Load
			if err := json.Unmarshal(row.Value, &load); err == nil { // an older instance may tell less
				o.coordinator.SetLoad(name, load)
			}
		}
		for _, row := range d.fleet.Rows(name, store.KindCordon) {
			if cordon, err := machines.DecodeCordon(row.Value); err == nil { // its writer writes it again
				_, machine := store.SplitKey(row.Key)
				cordons[machine] = cordon.Withdrawal
			}
		}
	}
	o.coordinator.SetCordons(cordons)
}

func (o *machineOwner) list(ctx context.Context) {
	d, c := o.daemon, o.coordinator
	period := listIdlePeriod
	if c.Active() {
		period = listActivePeriod
	}
	now := d.clock.Now()
	if o.listing || (o.listed != 0 && now-o.listed < period) {
		return
	}
	o.listing, o.listed = true, now
	go func() {
		list, err := d.Machines.List(ctx)
		o.events.put(func() {
			o.listing = false
			if err != nil {
				eventNoList.Log(ctx, d.Logger, slog.String("error", err.Error()))
				return
			}
			c.Tick(d.clock.Now(), d.wall())
			c.Listed(list, now)
		})
	}()
}

func (o *machineOwner) commit(ctx context.Context) {
	d := o.daemon
	now := d.clock.Now()
	if o.committing || now-o.committed < commitPeriod {
		return
	}
	draft := o.coordinator.Draft()
	if draft == nil && now-o.committed < renewPeriod && !o.coordinator.Fenced() {
		return
	}
	var puts, deletes []store.Row
	var err error
	if draft != nil {
		if puts, deletes, err = o.encode(draft); err != nil {
			o.lost = err
			return
		}
	}
	o.committing, o.committed = true, now
	go func() {
		err := o.chain.Commit(ctx, puts, deletes)
		o.events.put(func() {
			o.committing = false
			switch {
			case err == nil && draft != nil:
				for _, row := range puts {
					o.rows[row.Key] = row.Value
				}
				for _, row := range deletes {
					delete(o.rows, row.Key)
				}
				o.coordinator.Committed(draft)
			case err != nil && ctx.Err() == nil:
				o.lost = err
			}
		})
	}()
}

// encode returns the rows of a draft as far as they differ from what the table has.
func (o *machineOwner) encode(draft *machines.Draft) (puts, deletes []store.Row, err error) {
	put := func(key string, content any) error {
		value, err := json.Marshal(content)
		if err != nil || bytes.Equal(o.rows[key], value) {
			return err
		}
		puts = append(puts, store.Row{Table: store.FleetTable, Part: store.FleetPart, Key: key, Value: value})
		return nil
	}
	for _, want := range draft.Withdrawals {
		if err := put(store.Key(store.KindWant, want.Machine), want); err != nil {
			return nil, nil, err
		}
	}
	for _, machine := range draft.Dropped {
		key := store.Key(store.KindWant, machine)
		if o.rows[key] != nil {
			deletes = append(deletes, store.Row{Table: store.FleetTable, Part: store.FleetPart, Key: key})
		}
	}
	for number, state := range draft.Waves {
		key := store.Key(store.KindWave, fmt.Sprint(number))
		before := o.rows[key]
		if err := put(key, state); err != nil {
			return nil, nil, err
		}
		var stored machines.WaveState
		told := before != nil && json.Unmarshal(before, &stored) == nil && stored.Completed == state.Completed
		if !told {
			status, err := platform.EncodeWaveStatus(number, state.Completed)
			if err != nil {
				return nil, nil, err
			}
			puts = append(puts, status)
		}
	}
	return puts, deletes, nil
}

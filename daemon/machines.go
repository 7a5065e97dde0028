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
	machinesPeriod   = 100 * clock.Millis(1) // longest wait for an event between two plans, after planPeriod
	listActivePeriod = 400 * clock.Millis(1) // between two requests for the list of machines while some are being taken out of service
	listIdlePeriod   = 800 * clock.Millis(1) // the same while none is
	// maxRenewalAge is the greatest age of the last renewal of the ownership at which an order is sent. The next
	// owner computes from it until when this one can have sent orders.
	maxRenewalAge  = 900 * clock.Millis(1)
	handoverMargin = 100 * clock.Millis(1) // from maxRenewalAge until the last order has reached the platform
	// orderSendMargin is how far the age of the renewal may exceed maxRenewalAge while an order waits for processor time, a
	// connection or its answer; then the order is cancelled. Bytes sent before that arrive within the rest of handoverMargin.
	orderSendMargin = handoverMargin / 2
)

// machineOwner decides on machines while this instance owns them. Its state is used by one goroutine only; others put functions
// into events, which that goroutine runs.
type machineOwner struct {
	daemon      *Daemon
	ownership   *store.Ownership
	coordinator *machines.Coordinator
	events      *workQueue[func()]

	committing bool              // a transaction is in flight
	lastCommit clock.Millis      // when the newest transaction was sent
	listing    bool              // a request for the list of machines is in flight
	lastList   clock.Millis      // when it was requested last; 0: never
	failure    error             // ends the ownership
	rows       map[string][]byte // values of the own rows in FleetTable, by key
	reports    map[string]int64  // versions of the reports applied last, by pool
}

// runMachineOwner decides on machines until the ownership is lost or the context ends.
func (d *Daemon) runMachineOwner(ctx context.Context, ownership *store.Ownership, previous store.OwnerEntry, existed bool) error {
	d.ownsMachines.Store(true)
	defer d.ownsMachines.Store(false)
	if err := d.catchUpMachines(ctx); err != nil {
		return err
	}
	from := firstOrderTime(d.clock.Now(), previous, existed, d.Settings.Node, d.Settings.MachineLease)
	o := &machineOwner{daemon: d, ownership: ownership, events: newWorkQueue[func()](), rows: map[string][]byte{}, reports: map[string]int64{},
		coordinator: machines.NewCoordinator(ownership.Token(), from, d.Logger)}
	o.coordinator.OrderRate = d.Settings.MachineOrderRate
	o.coordinator.Tick(d.clock.Now(), d.wall())
	if err := o.restore(); err != nil {
		return err
	}
	eventMachinesOwned.Log(ctx, d.Logger, slog.Int64("token", ownership.Token()), slog.Int("rows", len(o.rows)))
	commits, stopCommits := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCommits()
	d.machineOwner.Store(o)
	defer d.machineOwner.Store(nil)
	for ctx.Err() == nil && o.failure == nil {
		for _, handle := range o.events.takeAll() {
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
	d.awaitCommit(o.events, &o.committing)
	return o.failure
}

// firstOrderTime returns when a new owner may send its first order: the platform requires that the orders of two owners are at
// least the time lease apart. An earlier incarnation of this process was the same owner and sends no more orders. An owner that
// released the machines sends no more orders either. The owner before that one, however, can have sent orders until maxRenewalAge
// after the claim of the one that released them. That claim was the time Held before the release, which this instance saw at
// FirstSeen.
func firstOrderTime(now clock.Millis, previous store.OwnerEntry, existed bool, node string, lease clock.Millis) clock.Millis {
	renewed := previous.FirstSeen
	switch {
	case !existed:
		return now
	case previous.Owner.Released:
		renewed -= previous.Owner.Held
	case previous.Owner.Node == node:
		return now
	}
	return max(now, renewed+maxRenewalAge+lease+handoverMargin)
}

func (d *Daemon) catchUpMachines(ctx context.Context) error {
	ctx, cancel := d.clock.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := d.catchUp(ctx); err != nil {
		return err
	}
	return d.reportsFeed.CatchUp(ctx)
}

// restore loads what earlier owners stored. It returns an error if a withdrawal cannot be decoded.
func (o *machineOwner) restore() error {
	d := o.daemon
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWithdrawal) {
		withdrawal, err := machines.DecodeWithdrawal(row.Value)
		if err != nil {
			return fmt.Errorf("decode the stored withdrawal of a machine in row %s: %w", row.Key, err)
		}
		o.rows[row.Key] = row.Value
		o.coordinator.Restore(withdrawal)
	}
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWave) {
		o.rows[row.Key] = row.Value
	}
	return nil
}

// step makes a plan, sends its orders and starts the transaction that is due. Transactions run in the context commits, which
// outlives ctx.
func (o *machineOwner) step(ctx, commits context.Context) {
	d, c := o.daemon, o.coordinator
	c.Tick(d.clock.Now(), d.wall())
	c.Configure(d.configuration.Load())
	o.applyWaves()
	o.applyReports()
	o.list(ctx)
	if o.ownership.SinceRenewal() <= maxRenewalAge {
		c.Plan()
		for _, order := range c.Orders() {
			go func() {
				outcome := o.sendOrder(ctx, order)
				o.events.put(func() {
					c.Tick(d.clock.Now(), d.wall())
					c.Answered(order, outcome)
				})
			}()
		}
	}
	o.commit(commits)
}

// sendOrder sends an order and cancels it before the next owner may send orders: this goroutine, or the client of the platform, can
// be delayed so long that the check of the renewal's age in step no longer holds.
func (o *machineOwner) sendOrder(ctx context.Context, order machines.Order) machines.Outcome {
	d := o.daemon
	age := o.ownership.SinceRenewal()
	remaining := maxRenewalAge + orderSendMargin - age
	if remaining <= 0 {
		eventLateOrder.Log(ctx, d.Logger, slog.String("machine", order.Withdrawal.Machine), slog.Int64("age-ms", int64(age)))
		return machines.Rejected
	}
	ctx, cancel := d.clock.WithTimeout(ctx, remaining)
	defer cancel()
	return d.Machines.Execute(ctx, d.Settings.Node, order)
}

// applyWaves passes the waves and their stored state to the coordinator.
func (o *machineOwner) applyWaves() {
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
				o.failure = err
				return
			}
		}
		o.coordinator.SetWave(wave, state)
	}
}

// applyReports passes the reports of the owners of pools to the coordinator: the load, and the cordons, each of which
// confirms that a worker has been emptied for a withdrawal.
func (o *machineOwner) applyReports() {
	d := o.daemon
	cordons := map[string]string{}
	configuration := d.configuration.Load()
	for i := range configuration.Pools {
		name := configuration.Pools[i].Name
		if row, ok := d.reports.Row(name, store.ReportKey); ok && row.Version != o.reports[name] {
			o.reports[name] = row.Version
			var load pool.Load
			// Reports of older instances may lack fields, which are then zero. One that cannot be decoded is skipped.
			if err := json.Unmarshal(row.Value, &load); err == nil {
				o.coordinator.SetLoad(name, load)
			}
		}
		for _, row := range d.fleet.Rows(name, store.KindCordon) {
			if cordon, err := machines.DecodeCordon(row.Value); err == nil { // the pool's owner rewrites one that cannot be decoded
				_, machine := store.SplitKey(row.Key)
				cordons[machine] = cordon.Withdrawal
			}
		}
	}
	o.coordinator.SetCordons(cordons)
}

// list requests the list of machines from the platform, if that is due.
func (o *machineOwner) list(ctx context.Context) {
	d, c := o.daemon, o.coordinator
	period := listIdlePeriod
	if c.Active() {
		period = listActivePeriod
	}
	now := d.clock.Now()
	if o.listing || (o.lastList != 0 && now-o.lastList < period) {
		return
	}
	o.listing, o.lastList = true, now
	go func() {
		list, err := d.Machines.List(ctx)
		o.events.put(func() {
			o.listing = false
			if err != nil {
				eventListFailed.Log(ctx, d.Logger, slog.String("error", err.Error()))
				return
			}
			c.Tick(d.clock.Now(), d.wall())
			c.Listed(list, now)
		})
	}()
}

// commit stores the transaction of the coordinator, or renews the ownership when that is due.
func (o *machineOwner) commit(ctx context.Context) {
	d := o.daemon
	now := d.clock.Now()
	if o.committing || now-o.lastCommit < commitPeriod {
		return
	}
	tx := o.coordinator.Transaction()
	if tx == nil && now-o.lastCommit < renewPeriod && !o.coordinator.Fenced() {
		return
	}
	var puts, deletes []store.Row
	var err error
	if tx != nil {
		if puts, deletes, err = o.encode(tx); err != nil {
			o.failure = err
			return
		}
	}
	o.committing, o.lastCommit = true, now
	go func() {
		err := o.ownership.Commit(ctx, puts, deletes)
		o.events.put(func() {
			o.committing = false
			switch {
			case err == nil && tx != nil:
				for _, row := range puts {
					o.rows[row.Key] = row.Value
				}
				for _, row := range deletes {
					delete(o.rows, row.Key)
				}
				o.coordinator.Committed(tx)
			case err != nil && ctx.Err() == nil:
				o.failure = err
			}
		})
	}()
}

// encode returns the rows of a transaction that differ from those in the table.
func (o *machineOwner) encode(tx *machines.Transaction) (puts, deletes []store.Row, err error) {
	put := func(key string, content any) error {
		value, err := json.Marshal(content)
		if err != nil || bytes.Equal(o.rows[key], value) {
			return err
		}
		puts = append(puts, store.Row{Table: store.FleetTable, Part: store.FleetPart, Key: key, Value: value})
		return nil
	}
	for _, withdrawal := range tx.Withdrawals {
		if err := put(store.Key(store.KindWithdrawal, withdrawal.Machine), withdrawal); err != nil {
			return nil, nil, err
		}
	}
	for _, machine := range tx.Dropped {
		key := store.Key(store.KindWithdrawal, machine)
		if o.rows[key] != nil {
			deletes = append(deletes, store.Row{Table: store.FleetTable, Part: store.FleetPart, Key: key})
		}
	}
	for number, state := range tx.Waves {
		key := store.Key(store.KindWave, fmt.Sprint(number))
		before := o.rows[key]
		if err := put(key, state); err != nil {
			return nil, nil, err
		}
		var stored machines.WaveState
		statusStored := before != nil && json.Unmarshal(before, &stored) == nil && stored.Completed == state.Completed
		if !statusStored {
			status, err := platform.EncodeWaveStatus(number, state.Completed)
			if err != nil {
				return nil, nil, err
			}
			puts = append(puts, status)
		}
	}
	return puts, deletes, nil
}

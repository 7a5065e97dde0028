package daemon

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
	"magnoliaferry/store"
)

// Times of the transactions that change the grants of a pool.
const (
	grantPeriod = 40 * clock.Millis(1) // least time between the starts of two
	// confirmAfter is the age of the configuration in force at which an owner reads the operators' table without waiting for a change.
	confirmAfter    = 1500 * clock.Millis(1)
	grantRetryDelay = 250 * clock.Millis(1) // after one that the store rejected or did not answer
)

// hasCaps reports whether a customer of the configuration has a cap.
func hasCaps(c *batch.Configuration) bool {
	if c == nil {
		return false
	}
	for _, customer := range c.Customers() {
		if customer.Cap != (batch.Resources{}) {
			return true
		}
	}
	return false
}

// followGrants creates the follower of GrantsTable, which is idle while this instance owns no part or no customer has a cap.
func (d *Daemon) followGrants() *store.Follower {
	d.grants.OnRows = func(rows []store.Row) {
		d.eachOwner(func(o *poolOwner) { o.events.put(func() { o.applyGrants(rows) }) })
	}
	f := d.follower(store.GrantsTable, fleetPeriod, feedWait, d.grants.Load, d.grants.Apply)
	f.NewestOnly = true
	f.Idle = func() bool { return d.owned.Load() == 0 || !d.capped.Load() }
	return f
}

// restoreGrants creates the ledger of the pool. What it does not know yet it learns from the copy of the table, or from a transaction
// that fails.
func (o *poolOwner) restoreGrants() {
	d := o.daemon
	o.ledger = grant.NewLedger(o.pool, o.ownership.Token(), d.Settings.CapOverage)
	o.ledger.Age = d.configurationAge
	o.scheduler.Caps = o.ledger
	o.ledger.Configure(d.configuration.Load())
	o.reloadGrants()
}

// reloadGrants passes the copy of GrantsTable to the ledger.
func (o *poolOwner) reloadGrants() {
	for _, part := range store.GrantParts() {
		o.applyGrants(o.daemon.grants.Rows(part, store.KindGrant))
	}
}

// applyGrants passes rows of GrantsTable to the ledger.
func (o *poolOwner) applyGrants(rows []store.Row) {
	for _, row := range rows {
		kind, customer := store.SplitKey(row.Key)
		if kind != store.KindGrant {
			continue
		}
		if row.Deleted {
			o.ledger.LearnDeleted(customer, row.Version)
			continue
		}
		decoded, err := grant.DecodeRow(row.Value)
		if err != nil {
			o.ledger.LearnUnreadable(customer, row.Version)
			eventUnreadableGrant.Log(context.Background(), o.daemon.Logger, slog.String("customer", customer), slog.String("error", err.Error()))
			continue
		}
		o.ledger.Learn(customer, row.Version, decoded)
	}
}

// grantsDue reports whether the grants of the pool are to be decided on after the next plan.
func (o *poolOwner) grantsDue() bool {
	return !o.granting && o.daemon.clock.Now() >= o.nextGrants && o.daemon.capped.Load()
}

// commitGrants decides on the grants of the pool and starts the transaction that changes them, if they are to change.
func (o *poolOwner) commitGrants(ctx context.Context) {
	d := o.daemon
	now := d.clock.Now()
	o.nextGrants = now + grantPeriod
	d.confirmConfiguration(ctx)
	demands := o.scheduler.CustomerDemands()
	if now >= o.nextCustomers {
		o.nextCustomers = now + customersPeriod
		o.customers.Store(newCustomerMetrics(demands, o.ledger.Granted))
	}
	writes := o.ledger.Next(now, demands)
	if len(writes) == 0 {
		return
	}
	tx, err := encodeGrants(writes)
	if err != nil {
		o.failure = err
		return
	}
	o.granting = true
	go func() {
		ctx, cancel := d.clock.WithTimeout(ctx, store.AttemptTimeout)
		defer cancel()
		result, err := d.table.Commit(ctx, tx)
		grantTime.Observe(d.clock.Now() - now)
		o.events.put(func() {
			o.granting = false
			switch {
			case err == nil && result.Applied:
				o.ledger.Answered(writes, grant.Applied, result.Version)
			case err == nil:
				o.applyGrants(result.Current)
				o.ledger.Answered(writes, grant.Rejected, 0)
			case errorx.IsOfType(err, store.ErrRejected):
				o.ledger.Answered(writes, grant.Rejected, 0)
				o.nextGrants = d.clock.Now() + grantRetryDelay
			default:
				o.ledger.Answered(writes, grant.Unknown, 0)
				o.nextGrants = d.clock.Now() + grantRetryDelay
			}
		})
	}()
}

// confirmConfiguration has the operators' table read if the configuration in force may soon be too old for starts of customers with a cap.
func (d *Daemon) confirmConfiguration(ctx context.Context) {
	if d.operatorFeed.Age() < confirmAfter || !d.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.confirming.Store(false)
		ctx, cancel := d.clock.WithTimeout(ctx, confirmAfter)
		defer cancel()
		_ = d.operatorFeed.CatchUp(ctx) // without an answer the age grows, and no such task starts
	}()
}

// encodeGrants returns the transaction that applies the writes if none of their rows has changed.
func encodeGrants(writes []grant.Write) (store.Transaction, error) {
	var tx store.Transaction
	for _, w := range writes {
		value, err := w.Row.Encode()
		if err != nil {
			return tx, err
		}
		row := store.Row{Table: store.GrantsTable, Part: store.GrantPart(w.Customer), Key: store.Key(store.KindGrant, w.Customer), Value: value}
		tx.Conditions = append(tx.Conditions, store.Condition{Table: row.Table, Part: row.Part, Key: row.Key, Version: w.Version})
		tx.Puts = append(tx.Puts, row)
	}
	return tx, nil
}

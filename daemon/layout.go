package daemon

import (
	"context"
	"log/slog"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// layoutPeriod is the time between two attempts to learn or to store the layout of the store.
const layoutPeriod = 20 * clock.Millis(1)

// settleLayout stores a layout of the store if there is none, and returns once the stored one is known or the context has ended. Instances that
// start together agree on the first one that is stored.
func (d *Daemon) settleLayout(ctx context.Context) {
	for ctx.Err() == nil {
		if _, loaded := d.stateFeed.Version(); loaded {
			if _, known := d.stateCache.Layout(); !known {
				d.proposeLayout(ctx)
			}
			if _, known := d.stateCache.Layout(); known {
				return
			}
		}
		_ = d.clock.Sleep(ctx, layoutPeriod) // fails only at the end of the context, which the loop checks
	}
}

// awaitLayout waits until the layout of the store is known, and reports whether it is; false means that the context has ended.
func (d *Daemon) awaitLayout(ctx context.Context) bool {
	for ctx.Err() == nil {
		if _, known := d.stateCache.Layout(); known {
			return true
		}
		_ = d.clock.Sleep(ctx, layoutPeriod) // fails only at the end of the context, which the loop checks
	}
	return false
}

// proposeLayout stores a layout unless there is one.
func (d *Daemon) proposeLayout(ctx context.Context) {
	row, err := store.EncodeLayout(store.NewLayout(d.stateCache.HasRows()))
	if err != nil {
		eventNoLayout.Log(ctx, d.Logger, slog.String("error", err.Error()))
		return
	}
	attempt, cancel := d.clock.WithTimeout(ctx, store.AttemptTimeout)
	defer cancel()
	outcome, err := d.table.Commit(attempt, store.Transaction{
		Conditions: []store.Condition{{Table: row.Table, Part: row.Part, Key: row.Key}}, Puts: []store.Row{row}})
	switch {
	case err != nil:
		eventNoLayout.Log(ctx, d.Logger, slog.String("error", err.Error()))
	case outcome.Applied:
		row.Version = outcome.Version
		d.stateCache.Apply([]store.Row{row})
	default:
		d.stateCache.Apply(outcome.Current)
	}
}

// configurationForCallers returns the configuration in force, or nil while callers cannot be served.
func (d *Daemon) configurationForCallers() *batch.Configuration {
	if _, ok := d.stateCache.Layout(); !ok {
		return nil
	}
	return d.configuration.Load()
}

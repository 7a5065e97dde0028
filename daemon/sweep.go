package daemon

import (
	"context"
	"log/slog"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

const (
	sweepPeriod = 2 * clock.Second // between two transactions for one intake part
	sweepRows   = 90               // of one transaction; the platform takes 100 entries
)

// sweeper deletes rows of ended jobs from the intake parts, where the owner of a pool has no row that fences it. That is
// safe for an owner that was replaced too: it deletes only what its own transactions have made superfluous.
type sweeper struct {
	daemon    *Daemon
	pool      string
	queued    map[string][]sweepRow // by part
	busy      map[string]bool
	swept     map[string]clock.Millis // when the newest transaction for a part was sent
	forgotten []string                // jobs of which only the state in the pool's part is left
}

type sweepRow struct {
	row store.Row
	// forget is the id of the job if this is the last of its rows in the intake part.
	forget string
}

func newSweeper(d *Daemon, pool string) *sweeper {
	return &sweeper{daemon: d, pool: pool, queued: map[string][]sweepRow{}, busy: map[string]bool{}, swept: map[string]clock.Millis{}}
}

// job deletes the row of a job whose final state is stored.
func (w *sweeper) job(id string) { w.add(store.JobsTable(w.pool), store.KindJob, id, "") }

// cancel deletes a request to cancel a job that has ended.
func (w *sweeper) cancel(id string) { w.add(store.JobsTable(w.pool), store.KindCancel, id, "") }

// state deletes the first state of a job, which keeps its id from being used again; take tells when this is done.
func (w *sweeper) state(id string) { w.add(store.StateTable, store.KindJob, id, id) }

func (w *sweeper) add(table, kind, id, forget string) {
	part := store.IntakePart(id)
	w.queued[part] = append(w.queued[part], sweepRow{store.Row{Table: table, Part: part, Key: store.Key(kind, id)}, forget})
}

// take returns up to n jobs whose rows in the intake parts are deleted.
func (w *sweeper) take(n int) []string {
	n = min(n, len(w.forgotten))
	ids := w.forgotten[:n]
	w.forgotten = w.forgotten[n:]
	return ids
}

// step sends the transactions that are due; done receives what is to be done with their outcomes.
func (w *sweeper) step(ctx context.Context, done func(func())) {
	now := w.daemon.clock.Now()
	for part, rows := range w.queued {
		if len(rows) == 0 || w.busy[part] || now-w.swept[part] < sweepPeriod {
			continue
		}
		w.busy[part], w.swept[part] = true, now
		rows := slices.Clone(rows[:min(len(rows), sweepRows)])
		go func() {
			attempt, cancel := w.daemon.clock.WithTimeout(ctx, store.AttemptTimeout)
			defer cancel()
			_, err := w.daemon.table.Commit(attempt, store.Transaction{Deletes: deletes(rows)})
			done(func() { w.settled(ctx, part, rows, err) })
		}()
	}
}

func deletes(rows []sweepRow) []store.Row {
	all := make([]store.Row, len(rows))
	for i, r := range rows {
		all[i] = r.row
	}
	return all
}

// settled takes in the outcome of a transaction. One that failed is repeated: deleting a row twice changes nothing.
func (w *sweeper) settled(ctx context.Context, part string, rows []sweepRow, err error) {
	w.busy[part] = false
	if err != nil {
		if ctx.Err() == nil {
			eventNotSwept.Log(ctx, w.daemon.Logger, slog.String("pool", w.pool), slog.String("part", part), slog.Int("rows", len(rows)),
				slog.String("error", err.Error()))
		}
		return
	}
	w.queued[part] = w.queued[part][len(rows):]
	for _, r := range rows {
		if r.forget != "" {
			w.forgotten = append(w.forgotten, r.forget)
		}
	}
}

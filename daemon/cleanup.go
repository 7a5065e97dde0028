package daemon

import (
	"context"
	"log/slog"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

const (
	cleanupPeriod  = 2 * clock.Second // between two transactions for one intake part
	maxCleanupRows = 90               // in one transaction; the platform accepts up to 100 entries
)

// cleaner deletes rows of ended jobs from the intake parts. These transactions are not fenced, as the owner of a pool does not
// own the intake parts. They are safe even from an owner that has been replaced: they delete only rows that its own committed
// transactions have made obsolete.
type cleaner struct {
	daemon   *Daemon
	pool     string
	queued   map[string][]cleanupRow // by part
	inFlight map[string]bool         // parts with a transaction in flight
	lastSent map[string]clock.Millis // when the newest transaction for a part was sent
	cleaned  []string                // jobs whose only remaining row is the final state, in the pool's part
}

type cleanupRow struct {
	row store.Row
	// lastOfJob is the id of the job if this is the last row of the job in the intake part; empty otherwise.
	lastOfJob string
}

func newCleaner(d *Daemon, pool string) *cleaner {
	return &cleaner{daemon: d, pool: pool, queued: map[string][]cleanupRow{}, inFlight: map[string]bool{}, lastSent: map[string]clock.Millis{}}
}

// job queues the row of a job whose final state is stored for deletion.
func (c *cleaner) job(id string) { c.add(store.JobsTable(c.pool), store.KindJob, id, "") }

// cancel queues a request to cancel a job that has ended for deletion.
func (c *cleaner) cancel(id string) { c.add(store.JobsTable(c.pool), store.KindCancel, id, "") }

// state queues the address and the first state of a job for deletion. The first state prevents the id from being used again; once it is
// deleted, takeCleaned returns the job.
func (c *cleaner) state(id string) {
	c.add(store.StateTable, store.KindAddress, id, "")
	c.add(store.StateTable, store.KindJob, id, id)
}

func (c *cleaner) add(table, kind, id, lastOfJob string) {
	layout, _ := c.daemon.stateCache.Layout()
	part := layout.IntakePart(id)
	c.queued[part] = append(c.queued[part], cleanupRow{store.Row{Table: table, Part: part, Key: store.Key(kind, id)}, lastOfJob})
}

// takeCleaned removes up to n jobs from the list of those whose rows in the intake parts are deleted, and returns them.
func (c *cleaner) takeCleaned(n int) []string {
	n = min(n, len(c.cleaned))
	ids := c.cleaned[:n]
	c.cleaned = c.cleaned[n:]
	return ids
}

// step sends the transactions that are due. It passes done a function that handles the outcome, to be run on the owner's goroutine.
func (c *cleaner) step(ctx context.Context, done func(func())) {
	now := c.daemon.clock.Now()
	for part, rows := range c.queued {
		if len(rows) == 0 || c.inFlight[part] || now-c.lastSent[part] < cleanupPeriod {
			continue
		}
		c.inFlight[part], c.lastSent[part] = true, now
		rows := slices.Clone(rows[:min(len(rows), maxCleanupRows)])
		go func() {
			attempt, cancel := c.daemon.clock.WithTimeout(ctx, store.AttemptTimeout)
			defer cancel()
			_, err := c.daemon.table.Commit(attempt, store.Transaction{Deletes: storeRows(rows)})
			done(func() { c.handleOutcome(ctx, part, rows, err) })
		}()
	}
}

func storeRows(rows []cleanupRow) []store.Row {
	all := make([]store.Row, len(rows))
	for i, r := range rows {
		all[i] = r.row
	}
	return all
}

// handleOutcome records the outcome of a transaction. The rows of one that failed stay queued; deleting a row twice changes
// nothing.
func (c *cleaner) handleOutcome(ctx context.Context, part string, rows []cleanupRow, err error) {
	c.inFlight[part] = false
	if err != nil {
		if ctx.Err() == nil {
			eventCleanupFailed.Log(ctx, c.daemon.Logger, slog.String("pool", c.pool), slog.String("part", part), slog.Int("rows", len(rows)),
				slog.String("error", err.Error()))
		}
		return
	}
	c.queued[part] = c.queued[part][len(rows):]
	for _, r := range rows {
		if r.lastOfJob != "" {
			c.cleaned = append(c.cleaned, r.lastOfJob)
		}
	}
}

package daemon

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"magnoliaferry/store"
)

// jobRows are the rows of one job in a transaction.
type jobRows struct {
	id            string
	puts, deletes []store.Row
}

// store commits rows of the pool. If the store refuses the transaction for its content, the rows of each job are committed by themselves, so
// that one job does not hold up the pool; refused are the jobs whose rows the store does not accept.
func (o *poolOwner) store(ctx context.Context, puts, deletes []store.Row) (refused []string, err error) {
	err = o.ownership.Commit(ctx, puts, deletes)
	if !errorx.IsOfType(err, store.ErrInvalid) {
		return nil, err
	}
	eventTransactionRefused.Log(ctx, o.daemon.Logger, slog.String("pool", o.pool), slog.Int("rows", len(puts)+len(deletes)), slog.String("error", err.Error()))
	jobs, others := splitByJob(puts, deletes)
	if err := o.ownership.Commit(ctx, others.puts, others.deletes); err != nil {
		return nil, err // the rows of the jobs are not the cause
	}
	for _, j := range jobs {
		switch err := o.ownership.Commit(ctx, j.puts, j.deletes); {
		case errorx.IsOfType(err, store.ErrInvalid):
			eventJobRefused.Log(ctx, o.daemon.Logger, slog.String("pool", o.pool), slog.String("job", j.id), slog.String("error", err.Error()))
			refused = append(refused, j.id)
		case err != nil:
			return nil, err
		}
	}
	return refused, nil
}

// splitByJob returns the rows of each job in the order of their first row, and all other rows.
func splitByJob(puts, deletes []store.Row) (jobs []*jobRows, others jobRows) {
	byID := map[string]*jobRows{}
	rowsOf := func(row *store.Row) *jobRows {
		id := row.Key
		if row.Table == store.StateTable {
			var kind string
			if kind, id = store.SplitKey(row.Key); kind != store.KindJob {
				return &others
			}
		} else if row.Table != store.RunsTable {
			return &others
		}
		if byID[id] == nil {
			byID[id] = &jobRows{id: id}
			jobs = append(jobs, byID[id])
		}
		return byID[id]
	}
	for i := range puts {
		j := rowsOf(&puts[i])
		j.puts = append(j.puts, puts[i])
	}
	for i := range deletes {
		j := rowsOf(&deletes[i])
		j.deletes = append(j.deletes, deletes[i])
	}
	return jobs, others
}

// refuse records jobs whose rows the store did not accept.
func (o *poolOwner) refuse(ids []string) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		delete(o.states, id) // they are stored again
		o.stored[id] = true  // an earlier row of its progress remains
	}
	o.scheduler.Refuse(ids)
}

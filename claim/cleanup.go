package claim

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

// CleanUp deletes claims that were written before now minus the retention; both times are from wall clocks. It scans at
// most limit rows after the given key and returns the key after which the next call continues, or "" at the end. After
// an error that is the given key, so that the next call repeats the scan. A row that changes meanwhile, or whose deletion
// fails, is left for the next pass, so unknown outcomes need no handling. The control loop calls it at intervals.
func CleanUp(ctx context.Context, table provider.Table, now, retention clock.Millis, after string, limit int) (
	next string, deleted int, err error) {
	rows, err := table.Scan(ctx, keyPrefix, after, limit)
	if err != nil {
		return after, 0, err
	}
	countScanned.Add(int64(len(rows)))
	defer func() { countDeleted.Add(int64(deleted)) }()
	var deletes []provider.Write
	for _, r := range rows {
		if found, err := decodeRow(r.Value()); err == nil && found.Written < now-retention {
			deletes = append(deletes, provider.Delete(r.Key(), r.Version()))
		}
	}
	if len(rows) == limit {
		next = rows[len(rows)-1].Key()
	}
	if len(deletes) == 0 {
		return next, 0, nil
	}
	switch err := table.Commit(ctx, provider.NewTransaction("claim/clean-up", deletes...)); {
	case err == nil:
		return next, len(deletes), nil
	case !platformConflict(err):
		return after, 0, err
	}
	for _, w := range deletes { // one of the rows changed; delete each row in a transaction of its own
		if table.Commit(ctx, provider.NewTransaction("claim/clean-up", w)) == nil {
			deleted++
		}
	}
	return next, deleted, nil
}

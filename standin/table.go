package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// TableFault is the fault that is injected into a transaction.
type TableFault int

// The faults of a Table.
const (
	TableWorks      TableFault = iota // no fault
	TableRejects                      // the call is rejected without effect
	TableRefuses                      // the call is rejected for its content
	TableLosesCall                    // no effect and no answer
	TableLosesReply                   // the call takes effect, but there is no answer
	TableDelays                       // as TableLosesCall, but ApplyDelayed applies the transaction later if its conditions still hold
)

// Table is an in-memory store.Table for tests, in place of the platform's store. Exported fields are set before the first
// call.
type Table struct {
	// Fault returns the fault for a transaction; nil means no faults.
	Fault func(tx store.Transaction) TableFault
	// Down, if set, reports whether reads are rejected.
	Down func() bool
	// FeedRows, if above 0, limits the rows in the answer of a feed; the rows of one transaction are never split.
	FeedRows int

	mu           sync.Mutex
	version      int64
	rows         map[[3]string]store.Row
	history      []store.Row
	historyStart int64 // changes up to this version are not in the history
	delayed      []store.Transaction
	changed      chan struct{} // closed and replaced by each applied transaction
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[[3]string]store.Row{}, changed: make(chan struct{})}
}

// Commit implements store.Table.
func (t *Table) Commit(_ context.Context, tx store.Transaction) (store.Result, error) {
	fault := TableWorks
	if t.Fault != nil {
		fault = t.Fault(tx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch fault {
	case TableRejects:
		return store.Result{}, store.ErrRejected.New("the stand-in rejects the call")
	case TableRefuses:
		return store.Result{}, store.ErrInvalid.New("the stand-in refuses the content of the call")
	case TableLosesCall:
		return store.Result{}, store.ErrUnknown.New("the stand-in drops the transaction without an answer")
	case TableDelays:
		t.delayed = append(t.delayed, tx)
		return store.Result{}, store.ErrUnknown.New("the stand-in delays the transaction and does not answer")
	}
	result := t.apply(tx)
	if fault == TableLosesReply {
		return store.Result{}, store.ErrUnknown.New("the stand-in has processed the transaction and does not answer")
	}
	return result, nil
}

// Put writes a row with an empty part, as workers and operators do. It is not subject to faults.
func (t *Table) Put(table, key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(store.Transaction{Puts: []store.Row{{Table: table, Key: key, Value: value}}})
}

// Delete deletes a row with an empty part, as written by Put.
func (t *Table) Delete(table, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(store.Transaction{Deletes: []store.Row{{Table: table, Key: key}}})
}

// ApplyDelayed applies the transactions delayed by TableDelays whose conditions still hold.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.delayed {
		t.apply(tx)
	}
	t.delayed = nil
}

// apply applies a transaction if its conditions hold. t.mu is held.
func (t *Table) apply(tx store.Transaction) store.Result {
	var current []store.Row
	holds := true
	for _, c := range tx.Conditions {
		row, ok := t.rows[[3]string{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Version == c.Version
	}
	if !holds {
		return store.Result{Current: current}
	}
	t.version++
	for _, row := range tx.Puts {
		row.Version = t.version
		t.rows[[3]string{row.Table, row.Part, row.Key}] = row
		t.history = append(t.history, row)
	}
	for _, row := range tx.Deletes {
		name := [3]string{row.Table, row.Part, row.Key}
		if _, ok := t.rows[name]; ok {
			delete(t.rows, name)
			row.Version, row.Deleted = t.version, true
			t.history = append(t.history, row)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return store.Result{Applied: true, Version: t.version}
}

// DropHistory drops the history of changes, so that feeds from earlier versions fail with store.ErrHistoryGone.
func (t *Table) DropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.historyStart = nil, t.version
}

// Rows returns the rows of a table in all parts, sorted by part and key.
func (t *Table) Rows(table string) []store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sortedRows(func(row store.Row) bool { return row.Table == table })
}

// sortedRows returns the wanted rows, sorted by part and key. t.mu is held.
func (t *Table) sortedRows(wanted func(row store.Row) bool) []store.Row {
	var rows []store.Row
	for _, row := range t.rows {
		if wanted(row) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int {
		return cmp.Or(strings.Compare(a.Part, b.Part), strings.Compare(a.Key, b.Key))
	})
	return rows
}

func (t *Table) rejected() error {
	if t.Down != nil && t.Down() {
		return store.ErrRejected.New("the stand-in rejects the call")
	}
	return nil
}

// Range implements store.Table.
func (t *Table) Range(_ context.Context, table, part, from string) (store.Page, error) {
	if err := t.rejected(); err != nil {
		return store.Page{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := t.sortedRows(func(row store.Row) bool { return row.Table == table && row.Part == part && row.Key >= from })
	return store.Page{Rows: rows, Version: t.version}, nil
}

// Parts implements store.Table.
func (t *Table) Parts(_ context.Context, table, after string) ([]string, bool, error) {
	if err := t.rejected(); err != nil {
		return nil, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, row := range t.sortedRows(func(row store.Row) bool { return row.Table == table && row.Part >= after }) {
		if !slices.Contains(names, row.Part) && (row.Part > after || after == "") {
			names = append(names, row.Part)
		}
	}
	return names, false, nil
}

// Feed implements store.Table; its wait uses the system clock.
func (t *Table) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (store.Page, error) {
	timeout := time.After(wait.Duration())
	for {
		if err := t.rejected(); err != nil {
			return store.Page{}, err
		}
		t.mu.Lock()
		if after < t.historyStart {
			t.mu.Unlock()
			return store.Page{}, store.ErrHistoryGone.New("the stand-in keeps changes after %d only", t.historyStart)
		}
		page := store.Page{Version: t.version}
		for _, row := range t.history {
			if row.Table != table || row.Version <= after {
				continue
			}
			if last := len(page.Rows) - 1; t.FeedRows > 0 && last+1 >= t.FeedRows && page.Rows[last].Version < row.Version {
				page.More, page.Version = true, page.Rows[last].Version
				break
			}
			page.Rows = append(page.Rows, row)
		}
		changed := t.changed
		t.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, store.ErrRejected.Wrap(ctx.Err(), "feed")
		}
	}
}

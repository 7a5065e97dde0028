package store

import (
	"context"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("store")

// The types of errors of a Table, and of what is built on it.
var (
	ErrRejected    = Errors.NewType("rejected")     // certainly not applied
	ErrUnknown     = Errors.NewType("unknown")      // may have been applied, or may still be applied later
	ErrHistoryGone = Errors.NewType("history-gone") // the changes since a version are no longer kept
	ErrLost        = Errors.NewType("lost")         // another instance owns the part
)

// Row is one row; its version comes from a counter that every transaction of the store raises.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64
	Deleted          bool // in a feed: the row was deleted at Version
}

// Condition requires that a row has a version; 0 requires that it does not exist.
type Condition struct {
	Table, Part, Key string
	Version          int64
}

// Transaction is applied as a whole or not at all; all of it lies in one part.
type Transaction struct {
	Conditions []Condition
	Puts       []Row
	Deletes    []Row
}

// Result is the answer to a transaction.
type Result struct {
	Applied bool
	Version int64 // of the transaction, when it was applied
	Current []Row // the rows of the conditions, when it was not
}

// Page is the answer to a read.
type Page struct {
	Rows    []Row
	More    bool  // there are more rows, after the last one or after Version
	Version int64 // newest version of the store at a read; of a feed, up to which the rows are complete
}

// Table gives access to the store; its errors are ErrRejected, ErrUnknown and ErrHistoryGone.
type Table interface {
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// Range returns the rows of one part from a key on, in ascending order.
	Range(ctx context.Context, table, part, from string) (Page, error)
	// Parts returns names of parts of a table that sort after the given one.
	Parts(ctx context.Context, table, after string) (names []string, more bool, err error)
	// Feed returns the changes after a version, and waits for one at most wait.
	Feed(ctx context.Context, table string, after int64, wait clock.Millis) (Page, error)
}

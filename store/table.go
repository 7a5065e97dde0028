package store

import (
	"context"

	"github.com/joomcode/errorx"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("store")

// The types of errors returned by a Table and by the types that use one.
var (
	ErrRejected    = Errors.NewType("rejected")        // not applied, and will not be applied later
	ErrInvalid     = ErrRejected.NewSubtype("invalid") // rejected for its content, so that a repetition would be rejected too
	ErrUnknown     = Errors.NewType("unknown")         // may have been applied, or may still be applied later
	ErrHistoryGone = Errors.NewType("history-gone")    // the store no longer keeps the changes after the given version
	ErrLost        = Errors.NewType("lost")            // another instance owns the part
)

// Limits of the platform's store.
const (
	MaxRowBytes         = batch.MaxProgressBytes // of the value of a row
	MaxTransactionBytes = 1_000_000              // of the values of a transaction, encoded as base64
)

// Row is one row, identified by its table, part and key. A part is a partition of the store's tables and the scope of a
// transaction. Version is taken from a counter that increases with every transaction of the store.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64
	Deleted          bool // in a feed: the row was deleted by the transaction whose version is Version
}

// Condition requires that a row has the given version; version 0 requires that the row does not exist.
type Condition struct {
	Table, Part, Key string
	Version          int64
}

// Transaction is applied atomically; all its rows are in one part.
type Transaction struct {
	Conditions []Condition
	Puts       []Row // Version and Deleted are not used
	Deletes    []Row // Value, Version and Deleted are not used
}

// Result is the answer to a transaction.
type Result struct {
	Applied bool
	Version int64 // version of the transaction, if it was applied
	Current []Row // current rows named by the conditions, if it was not applied
}

// Page is the answer to a Range or Feed call.
type Page struct {
	Rows    []Row
	More    bool  // range: there are more rows after the last one; feed: there are more changes after Version
	Version int64 // range: newest version of the store at the time of the read; feed: version up to which the rows are complete
}

// Table is the interface to the store; its errors are of the types ErrRejected, ErrUnknown and ErrHistoryGone.
type Table interface {
	// Commit applies a transaction if all its conditions hold; Result.Applied reports whether they did. After ErrUnknown the
	// transaction may have been applied or may still be applied later.
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// Range returns the rows of one part whose keys are at or after from (inclusive), in ascending order.
	Range(ctx context.Context, table, part, from string) (Page, error)
	// Parts returns the names of the parts of a table that sort after the given name, in ascending order; more reports that the
	// answer does not include all of them.
	Parts(ctx context.Context, table, after string) (names []string, more bool, err error)
	// Feed returns the changes after a version; if there are none, it waits up to wait for the first one. ErrHistoryGone means
	// that the table has to be read as a whole.
	Feed(ctx context.Context, table string, after int64, wait clock.Millis) (Page, error)
}

// Package grant divides the caps of customers among the pools whose workers run their tasks. Each pool has a Ledger, in the hands of the pool's
// owner, and each customer with a cap has a stored Row with an Entry for each pool. The amount of an entry bounds what the customer's runs in the pool use; the
// sum of the amounts stays within the customer's limit, which is its cap and the part by which it may be exceeded. Amounts pass from one pool to
// another through the row alone: one owner lowers its entry, then another raises its own.
//
// The package decides; its caller reads and writes the store.
package grant

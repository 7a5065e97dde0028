// Package store holds what instances agree on and keep: it follows a table of the platform's store, owns parts of it
// through conditional writes, and accepts jobs. The store itself is reached through the interface Table.
package store

// Package store builds on the platform's store, a transactional table store that all instances share. It defines the
// tables and keys of the product, keeps local copies of tables up to date, and maintains the ownership of parts of a table
// through conditional writes. The store itself is accessed through the interface Table.
package store

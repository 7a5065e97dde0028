// Package grant divides the caps of customers among the pools whose workers run their tasks. It decides; its caller reads and writes
// the store.
package grant

// Package jobs decides which jobs run on which workers: it computes steps from the state of one pool, performs no I/O
// and returns the same steps for the same state.
package jobs

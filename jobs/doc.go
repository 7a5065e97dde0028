// Package jobs decides where jobs run: it takes a frozen state of one pool and returns steps, performs no I/O and gives
// the same steps for the same state.
package jobs

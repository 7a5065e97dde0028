// Package front answers callers: it accepts jobs by storing them, tells their state from the instance's copy of the
// table, and cancels them. Any instance answers for any job.
package front

// Package batch defines jobs, their steps and tasks, the queues that accept them and what is stored of their progress.
// It decides nothing and does no I/O.
package batch

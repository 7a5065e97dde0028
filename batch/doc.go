// Package batch defines jobs with their steps and tasks, the queues that accept them, the stored form of their progress, and
// the machines and workers that run them. It makes no decisions and does no I/O.
package batch

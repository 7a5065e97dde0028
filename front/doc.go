// Package front implements the requests of callers about jobs: it stores new jobs, returns the state of a job from the
// instance's local copy of the state table, and stores requests to cancel jobs. Every instance handles requests about any job.
package front

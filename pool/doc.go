// Package pool runs the jobs of one pool on its workers: it decides which task starts where, follows the runs through
// the workers' own lists, and says what has to be stored. It does no I/O: the owner of the pool feeds it what happens
// and carries out its orders, so that tests drive it with a fake clock.
package pool

// Package pool schedules the jobs of one pool on its workers: it places tasks, tracks their runs through the lists that
// workers return, and determines what must be stored. It does no I/O: the owner of the pool passes events to it and carries
// out its orders, so that tests can drive it with a fake clock.
package pool

// Package daemon assembles one instance that runs on the users' platform. An instance answers callers and keeps copies of
// tables of the platform's store. Each pool is a part of the table that one instance owns at a time, and so are the
// withdrawals of machines; an instance claims a part that has no live owner and runs the pool, or orders machines, until it
// loses the ownership or stops.
package daemon

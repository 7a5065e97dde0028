// Package clock gives the rest of the module one type for points in time and durations, and one clock that is
// either the monotonic clock of the system or a fake that tests advance by hand.
package clock

// Package clock provides a type for points in time and durations, and a clock that is either the monotonic clock of the
// system or a fake clock that tests advance.
package clock

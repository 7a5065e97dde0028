//go:build !linux

package clock

// SinceBoot returns a clock that goes on while the machine is suspended, where the system has one.
func SinceBoot() Millis { return System().Now() }

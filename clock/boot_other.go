//go:build !linux

package clock

// SinceBoot returns the time of the clock of System. Whether that includes the time during which the machine was suspended
// depends on the operating system.
func SinceBoot() Millis { return System().Now() }

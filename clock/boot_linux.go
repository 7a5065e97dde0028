package clock

import "golang.org/x/sys/unix"

// SinceBoot returns the time since the machine booted. It includes the time during which the machine was suspended, which
// the clock of System leaves out.
func SinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return System().Now() // kernels without CLOCK_BOOTTIME do not suspend
	}
	return Millis(ts.Sec)*Second + Millis(ts.Nsec/1e6)
}

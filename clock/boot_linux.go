package clock

import "golang.org/x/sys/unix"

// SinceBoot returns a clock that goes on while the machine is suspended, which the clock of System does not.
func SinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return System().Now() // kernels without this clock do not suspend
	}
	return Millis(ts.Sec)*Second + Millis(ts.Nsec/1e6)
}

package worker

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis bounds how long sent data may stay unacknowledged. Keep-alive sends no probes meanwhile, so that a
// connection whose state was lost before a request is sent would go unnoticed until the deadline of the request.
const userTimeoutMillis = 4000

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return failure
}

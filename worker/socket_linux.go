package worker

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long sent data may stay unacknowledged, in milliseconds. TCP sends no keep-alive probes
// meanwhile, so without it the loss of the connection state before a request is sent would not be detected until the
// deadline of the request.
const userTimeoutMillis = 4000

// setUserTimeout is a net.Dialer.Control function that sets TCP_USER_TIMEOUT.
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

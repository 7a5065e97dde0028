package door

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBuffer is the size of the receive and send buffers of a connection in bytes; the kernel grows those without a size to megabytes.
const socketBuffer = 64 << 10

// boundBuffers sets the sizes of the buffers of a listening socket, which its connections inherit. It ignores failures: the door works without.
func boundBuffers(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
	})
}

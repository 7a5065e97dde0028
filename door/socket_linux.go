package door

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// socketBuffer is the size of the receive and send buffers of a connection in bytes; the kernel takes twice as much, and grows
	// buffers without a size to megabytes.
	socketBuffer = 32 << 10
	// backlog is the number of connections that wait to be accepted. They hold unread bytes, too.
	backlog = 256
	// maxOpenFiles is the largest limit of descriptors that is taken for one.
	maxOpenFiles = 1 << 20
)

// boundBuffers sets the sizes of the buffers of a listening socket, which its connections inherit. It ignores failures: the door works without.
func boundBuffers(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
	})
}

// boundBacklog bounds the backlog of a listening socket. It ignores failures, as boundBuffers does.
func boundBacklog(socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
}

// OpenFiles returns the number of descriptors that the process may have open; 0 if there is no limit or it is not known.
func OpenFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxOpenFiles {
		return 0
	}
	return int(limit.Cur)
}

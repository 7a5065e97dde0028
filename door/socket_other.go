//go:build !linux

package door

import "syscall"

// boundBuffers leaves the buffers as they are: instances run on Linux.
func boundBuffers(_, _ string, _ syscall.RawConn) error { return nil }

// boundBacklog leaves the backlog as it is.
func boundBacklog(_ syscall.RawConn) error { return nil }

// OpenFiles returns 0, as the limit is not known.
func OpenFiles() int { return 0 }

//go:build !linux

package worker

import "syscall"

// boundUnacknowledged does nothing where TCP_USER_TIMEOUT does not exist; the deadline of a request bounds the wait.
func boundUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }

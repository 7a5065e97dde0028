//go:build !linux

package worker

import "syscall"

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT, where only the deadline of a request bounds the wait.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

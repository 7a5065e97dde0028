//go:build !linux

package worker

import "syscall"

// setUserTimeout does nothing where TCP_USER_TIMEOUT does not exist; the deadline of a request bounds the wait.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

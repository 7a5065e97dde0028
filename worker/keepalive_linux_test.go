package worker

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against connections without TCP keep-alive or TCP_USER_TIMEOUT, on which the loss of connection state would not
// be detected within 4 s.
func TestKeepAlive(t *testing.T) {
	f := newFixture(t, func(p *serverConn) { p.readRequest() })
	c := &Client{Clock: f.clock}
	c.start()
	raw, err := c.Dial(t.Context(), "tcp", f.worker.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	control, err := raw.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []struct{ level, option, want int }{
		{syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 1},
		{syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 3},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 4000},
	} {
		if err := control.Control(func(fd uintptr) {
			if got, err := syscall.GetsockoptInt(int(fd), o.level, o.option); err != nil || got != o.want {
				t.Errorf("option %d got %d, %v, want %d", o.option, got, err, o.want)
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
}

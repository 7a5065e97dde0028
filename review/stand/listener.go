package main

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Opening a connection on loopback takes far less than fillTimeout unless the queue is full; fillTries bounds the attempts.
const (
	fillTimeout = 50 * time.Millisecond
	fillTries   = 8
)

// silentListener is a listener that can become silent like that of a machine without power: opening packets are dropped.
type silentListener struct {
	net.Listener
	silent atomic.Bool
	filler []net.Conn
}

func newSilentListener() (*silentListener, error) {
	listener, err := net.Listen("tcp", host()+":0")
	if err != nil {
		return nil, err
	}
	return &silentListener{Listener: listener}, nil
}

// Accept implements net.Listener; it never returns once the listener is silent.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if l.silent.Load() {
		select {} // until the process ends
	}
	return conn, err
}

// silence stops accepting and fills the queue of connections that wait to be accepted, so that the kernel drops opening packets.
func (l *silentListener) silence() {
	l.silent.Store(true)
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // if it fails, connections open and stay silent
	for range fillTries {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		if err != nil {
			return
		}
		l.filler = append(l.filler, conn)
	}
}

package standin

import (
	"context"
	"net"
	"sync"

	"magnoliaferry/clock"
)

// Path is what a Proxy does with connections.
type Path string

// The paths.
const (
	PathOpen    Path = "open"
	PathDelayed Path = "delayed" // what is sent arrives later, also after the sender has gone
	PathReset   Path = "reset"   // connections are reset
	PathSilent  Path = "silent"  // nothing arrives in either direction
	PathMute    Path = "mute"    // what is sent arrives, and no answer comes back
	PathDeaf    Path = "deaf"    // nothing that is sent arrives; answers to what arrived before come back
)

// Proxy forwards connections on loopback to a target and disturbs them. A connection on which something was held back
// delivers nothing any more.
type Proxy struct {
	Target string

	listener net.Listener
	mu       sync.Mutex
	path     Path
	delay    clock.Millis
	conns    map[net.Conn]bool
}

// proxyBuffer is how much is forwarded at once, in bytes.
const proxyBuffer = 32 << 10

// Listen begins to forward, until the context ends, and returns the address.
func (p *Proxy) Listen(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listener, p.path, p.conns = listener, PathOpen, map[net.Conn]bool{}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // ends the loop below
		p.Set(PathReset, 0)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go p.forward(ctx, conn)
		}
	}()
	return listener.Addr().String(), nil
}

// Set changes the path; the delay counts for PathDelayed only.
func (p *Proxy) Set(path Path, delay clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path, p.delay = path, delay
	if path == PathReset {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func (p *Proxy) current() (Path, clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path, p.delay
}

func (p *Proxy) note(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already needs no reset
	}
	_ = conn.Close() // as above
}

func (p *Proxy) forward(ctx context.Context, from net.Conn) {
	defer from.Close()
	if path, _ := p.current(); path == PathReset {
		reset(from)
		return
	}
	to, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Target)
	if err != nil {
		reset(from)
		return
	}
	defer to.Close()
	for _, conn := range []net.Conn{from, to} {
		p.note(conn, true)
		defer p.note(conn, false)
	}
	ended := make(chan struct{}, 2)
	go func() { p.pump(from, to, true); ended <- struct{}{} }()
	go func() { p.pump(to, from, false); ended <- struct{}{} }()
	<-ended
}

// pump copies one direction until it ends.
func (p *Proxy) pump(from, to net.Conn, request bool) {
	buffer := make([]byte, proxyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		path, delay := p.current()
		switch {
		case path == PathSilent, path == PathMute && !request, path == PathDeaf && request:
			lost = lost || n > 0
		case path == PathDelayed && n > 0:
			_ = clock.System().Sleep(context.Background(), delay) // it ends by itself
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

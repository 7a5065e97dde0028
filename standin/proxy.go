package standin

import (
	"context"
	"net"
	"sync"

	"magnoliaferry/clock"
)

// ProxyMode is what a Proxy does with connections.
type ProxyMode string

// The paths.
const (
	ProxyOpen         ProxyMode = "open"
	ProxyDelayed      ProxyMode = "delayed" // what is sent arrives later, also after the sender has gone
	ProxyReset        ProxyMode = "reset"   // connections are reset
	ProxyDropAll      ProxyMode = "silent"  // nothing arrives in either direction
	ProxyDropAnswers  ProxyMode = "mute"    // what is sent arrives, and no answer comes back
	ProxyDropRequests ProxyMode = "deaf"    // nothing that is sent arrives; answers to what arrived before come back
)

// Proxy forwards connections on loopback to a target and disturbs them. A connection on which something was held back
// delivers nothing any more.
type Proxy struct {
	Target string

	listener net.Listener
	mu       sync.Mutex
	mode     ProxyMode
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
	p.listener, p.mode, p.conns = listener, ProxyOpen, map[net.Conn]bool{}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // ends the loop below
		p.SetMode(ProxyReset, 0)
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

// SetMode changes the mode; the delay counts for PathDelayed only.
func (p *Proxy) SetMode(mode ProxyMode, delay clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	if mode == ProxyReset {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func (p *Proxy) current() (ProxyMode, clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *Proxy) trackConn(conn net.Conn, open bool) {
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
	if mode, _ := p.current(); mode == ProxyReset {
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
		p.trackConn(conn, true)
		defer p.trackConn(conn, false)
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
		mode, delay := p.current()
		switch {
		case mode == ProxyDropAll, mode == ProxyDropAnswers && !request, mode == ProxyDropRequests && request:
			lost = lost || n > 0
		case mode == ProxyDelayed && n > 0:
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

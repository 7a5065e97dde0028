package standin

import (
	"context"
	"net"
	"sync"

	"magnoliaferry/clock"
)

// ProxyMode is how a Proxy treats the data on its connections.
type ProxyMode string

// The modes of a Proxy. The values silent, mute and deaf describe the target as its clients see it.
const (
	ProxyOpen         ProxyMode = "open"
	ProxyDelayed      ProxyMode = "delayed" // requests and answers are delivered late, also after the sender has closed the connection
	ProxyReset        ProxyMode = "reset"   // open and new connections are reset
	ProxyDropAll      ProxyMode = "silent"  // data is dropped in both directions
	ProxyDropAnswers  ProxyMode = "mute"    // requests are delivered, and answers are dropped
	ProxyDropRequests ProxyMode = "deaf"    // requests are dropped; answers to requests delivered before are still delivered
)

// Proxy forwards TCP connections on loopback to a target and injects network faults. After it has dropped data in one direction
// of a connection it drops all later data in that direction too, also when the mode changes. Connections that are open when ProxyDropAll
// begins stay silent for good, idle ones too.
type Proxy struct {
	Target string // IP address and port; set before the first connection

	listener net.Listener
	mu       sync.Mutex
	mode     ProxyMode
	delay    clock.Millis
	conns    map[net.Conn]bool // open ones; true: silent for good
}

// proxyBuffer is the size of a copy buffer in bytes.
const proxyBuffer = 32 << 10

// Listen starts forwarding, until the context ends, and returns the address to connect to.
func (p *Proxy) Listen(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listener, p.mode, p.conns = listener, ProxyOpen, map[net.Conn]bool{}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // ends the accept loop below
		p.SetMode(ProxyReset, 0)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go p.forward(ctx, conn)
		}
	}()
	return listener.Addr().String(), nil
}

// SetMode changes the mode for open and new connections; the delay applies to ProxyDelayed only.
func (p *Proxy) SetMode(mode ProxyMode, delay clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	for conn := range p.conns {
		switch mode {
		case ProxyReset:
			reset(conn)
		case ProxyDropAll:
			p.conns[conn] = true
		}
	}
}

func (p *Proxy) current() (ProxyMode, clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *Proxy) isSilent(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[conn]
}

func (p *Proxy) trackConn(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = false
	} else {
		delete(p.conns, conn)
	}
}

// reset closes a connection with a TCP reset, which a linger time of 0 causes.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
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

// pump copies one direction of a connection until either end closes; request is set for the direction to the target.
func (p *Proxy) pump(from, to net.Conn, request bool) {
	buffer := make([]byte, proxyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		mode, delay := p.current()
		switch {
		case mode == ProxyDropAll, p.isSilent(from), mode == ProxyDropAnswers && !request, mode == ProxyDropRequests && request:
			lost = lost || n > 0
		case mode == ProxyDelayed && n > 0:
			_ = clock.System().Sleep(context.Background(), delay) // a background context is never cancelled
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

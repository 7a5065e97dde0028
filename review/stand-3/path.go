package main

import (
	"context"
	"net"
	"sync"
)

// path forwards connections to a target. It can make the open ones go silent for good, without a reset, while new ones work.
type path struct {
	target string

	mu    sync.Mutex
	conns map[*pair]bool
}

// pair is one forwarded connection.
type pair struct {
	from, to net.Conn
	silent   bool
}

// listen starts forwarding, until the context ends, and returns the address to connect to.
func (p *path) listen(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.conns = map[*pair]bool{}
	context.AfterFunc(ctx, func() { _ = listener.Close() }) // ends the loop below
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(ctx, from)
		}
	}()
	return listener.Addr().String(), nil
}

func (p *path) forward(ctx context.Context, from net.Conn) {
	to, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = from.Close() // the target is gone
		return
	}
	c := &pair{from: from, to: to}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.copy(c, to, from)
	p.copy(c, from, to)
}

// copy copies one direction. What arrives on a silent connection is dropped, and so is its end.
func (p *path) copy(c *pair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := c.silent
		if err != nil {
			delete(p.conns, c)
		}
		p.mu.Unlock()
		if !silent && n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_ = from.Close() // it has ended
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes the open connections go silent, and returns how many there are.
func (p *path) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = true
	}
	return len(p.conns)
}

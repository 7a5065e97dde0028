package door

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"magnoliaferry/clock"
)

const (
	checkPeriod = 1 * clock.Second  // between two checks for overdue connections
	logPeriod   = 10 * clock.Second // between two log lines of a door, at least
)

// Door guards the connections of one address. Exported fields are set before Listen.
type Door struct {
	Name      string // in logs and counters
	Clock     *clock.Clock
	Logger    *slog.Logger
	Places    int           // largest number of connections
	PerClient int           // largest number of connections of one client address; 0: no limit
	Limits    func() Limits // those in force

	mu        sync.Mutex
	conns     map[*conn]struct{}
	byAddress map[string]int
	closed    [reasonCount]atomic.Int64 // connections since the last log line
	logged    clock.Millis              // time of the last log line; only Run uses it
}

// Listen listens on an address and returns a listener whose connections the door guards.
func (d *Door) Listen(ctx context.Context, address string) (net.Listener, error) {
	d.conns, d.byAddress = map[*conn]struct{}{}, map[string]int{}
	config := net.ListenConfig{Control: boundBuffers}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if socket, ok := inner.(syscall.Conn); ok {
		raw, err := socket.SyscallConn()
		if err == nil {
			err = boundBacklog(raw)
		}
		if err != nil {
			_ = inner.Close() // the first error counts
			return nil, err
		}
	}
	return &listener{inner, d}, nil
}

type listener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.door.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit gives a connection a place, for which it closes another one if need be. It returns nil if there is no place.
func (d *Door) admit(inner net.Conn) *conn {
	address, _, err := net.SplitHostPort(inner.RemoteAddr().String())
	if err != nil {
		address = ""
	}
	c := &conn{Conn: inner, door: d, address: address}
	c.enter(Headers)
	c.startHeaders()
	var victim *conn
	d.mu.Lock()
	crowded := d.PerClient > 0 && d.byAddress[address] >= d.PerClient
	if crowded || len(d.conns) >= d.Places {
		if victim = d.victim(crowded, address); victim == nil {
			d.mu.Unlock()
			d.count(reasonRefused)
			return nil
		}
		d.forget(victim)
	}
	d.conns[c] = struct{}{}
	d.byAddress[address]++
	d.mu.Unlock()
	if victim != nil {
		d.count(reasonFull)
		_ = victim.Close() // it is lost in any case
	}
	return c
}

// victim returns the connection that is closed for a newcomer, of one client address or of all; nil if none may be. d.mu is held.
func (d *Door) victim(ofClient bool, address string) *conn {
	limits := d.Limits()
	choose := chooser{limits: &limits, now: d.Clock.Now()}
	var found *conn
	for c := range d.conns {
		if (!ofClient || c.address == address) && choose.better(c.view()) {
			found = c
		}
	}
	return found
}

func (d *Door) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(c)
}

// forget frees the place of a connection; it may have been freed before. d.mu is held.
func (d *Door) forget(c *conn) {
	if _, ok := d.conns[c]; !ok {
		return
	}
	delete(d.conns, c)
	if d.byAddress[c.address]--; d.byAddress[c.address] == 0 {
		delete(d.byAddress, c.address)
	}
}

// ConnState follows the phases of connections; it is for http.Server.ConnState.
func (d *Door) ConnState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(Serving)
	case http.StateIdle:
		c.startHeaders()
		c.enter(Idle)
	}
}

// Run closes overdue connections until the context ends.
func (d *Door) Run(ctx context.Context) {
	for d.Clock.Sleep(ctx, checkPeriod) == nil {
		d.closeOverdue()
		d.log(ctx)
	}
}

func (d *Door) closeOverdue() {
	limits, now := d.Limits(), d.Clock.Now()
	var overdue []*conn
	d.mu.Lock()
	busy := len(d.conns) > d.Places/2
	for c := range d.conns {
		if reason := limits.overdue(c.view(), now, busy); reason != reasonNone {
			d.count(reason)
			overdue = append(overdue, c)
		}
	}
	d.mu.Unlock()
	for _, c := range overdue {
		_ = c.Close() // it is lost in any case
	}
}

func (d *Door) count(reason Reason) {
	d.closed[reason].Add(1)
	counters.Add(d.Name+"-"+reasonNames[reason], 1)
}

// log logs what was closed since the last line, at most once in logPeriod.
func (d *Door) log(ctx context.Context) {
	now := d.Clock.Now()
	if d.logged != 0 && now-d.logged < logPeriod {
		return
	}
	attributes := []slog.Attr{slog.String("door", d.Name)}
	for reason := range d.closed {
		if n := d.closed[reason].Swap(0); n > 0 {
			attributes = append(attributes, slog.Int64(reasonNames[reason], n))
		}
	}
	if len(attributes) > 1 {
		d.logged = now
		eventClosed.Log(ctx, d.Logger, attributes...)
	}
}

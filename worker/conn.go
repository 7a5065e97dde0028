package worker

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"magnoliaferry/clock"
)

// The states of what is known about the bytes of an exchange.
const (
	unsent    int32 = iota // no byte was handed to the kernel
	sending                // some byte may have been handed over
	cancelled              // no byte was handed over and none will be
)

var (
	errCancelled   = errors.New("worker: the request was given up before it was sent")
	errUnsolicited = errors.New("worker: the connection carried bytes that no request asked for")
	errWrongState  = errors.New("worker: connection written without a request")
	errAbandoned   = errors.New("worker: the request was given up before its answer began")
)

// exchange is one request on one connection.
type exchange struct {
	state       atomic.Int32
	requestSent atomic.Bool  // the whole request was passed on, so that an answer is due
	answer      atomic.Int32 // awaited, begun or abandoned
	giveUp      func() bool  // see Options.GiveUp
}

// The states of the answer to an exchange.
const (
	answerPending   int32 = iota // no byte of it has arrived
	answerBegun                  // some byte has arrived
	answerAbandoned              // the request was given up before any byte arrived
)

// cancelUnsent prevents any later write and reports whether none has happened.
func (e *exchange) cancelUnsent() bool {
	return e.state.CompareAndSwap(unsent, cancelled) || e.state.Load() == cancelled
}

// conn is one connection to a worker. It wraps the network connection to see each byte and owns the http.ClientConn
// on top of it.
type conn struct {
	net.Conn
	target *Target
	http   *http.ClientConn

	exchange    atomic.Pointer[exchange] // nil while idle
	lastByteAt  atomic.Int64             // time of the last byte in either direction
	readSince   atomic.Int64             // time since which a read waits, 0 for none
	writing     atomic.Bool              // a write waits
	used        atomic.Int64             // time at which the last exchange ended
	unsolicited atomic.Bool
	silent      atomic.Bool
	retired     atomic.Bool
	closed      atomic.Bool
	armed       atomic.Bool // the timer runs
}

// Read records progress and bytes that nobody asked for.
func (c *conn) Read(b []byte) (int, error) {
	// Times are shifted by one, because a fake clock may stand at 0.
	c.readSince.Store(int64(c.target.client.Clock.Now()) + 1)
	n, err := c.Conn.Read(b)
	c.readSince.Store(0)
	if n > 0 {
		c.lastByteAt.Store(int64(c.target.client.Clock.Now()))
		e := c.exchange.Load()
		if e == nil || e.state.Load() != sending {
			c.unsolicited.Store(true)
			return 0, errUnsolicited // net/http would write the bytes to the standard log
		}
		if !e.answer.CompareAndSwap(answerPending, answerBegun) && e.answer.Load() == answerAbandoned {
			return 0, errAbandoned
		}
	}
	return n, err
}

// Write records that a request was handed over, and refuses once the request was given up.
func (c *conn) Write(b []byte) (int, error) {
	e := c.exchange.Load()
	if e == nil {
		return 0, errWrongState
	}
	if c.unsolicited.Load() && e.state.Load() == unsent {
		e.state.CompareAndSwap(unsent, cancelled)
		return 0, errUnsolicited
	}
	c.writing.Store(true) // before the state, because awaiting reads the state first
	defer c.writing.Store(false)
	first := e.state.CompareAndSwap(unsent, sending)
	if !first && e.state.Load() == cancelled {
		return 0, errCancelled
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.lastByteAt.Store(int64(c.target.client.Clock.Now()))
	} else if first && err != nil {
		e.state.Store(cancelled) // the kernel took nothing
	}
	return n, err
}

// Close closes the connection once and gives its place back.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.target.remove(c)
	return c.Conn.Close()
}

// begin makes e the exchange of the connection.
func (c *conn) begin(e *exchange) {
	c.lastByteAt.Store(int64(c.target.client.Clock.Now()))
	c.exchange.Store(e)
	c.arm()
}

// usable reports whether an idle connection can take a request.
func (c *conn) usable() bool {
	return !c.closed.Load() && !c.unsolicited.Load() && !c.retired.Load() && c.http.Err() == nil
}

// awaiting reports whether a request was sent and no byte of its answer has arrived.
func (c *conn) awaiting() bool {
	e := c.exchange.Load()
	return e != nil && e.state.Load() == sending && e.requestSent.Load() && !c.writing.Load() &&
		e.answer.Load() == answerPending && c.readSince.Load() != 0
}

// arm starts the timer of the connection unless it runs. One timer serves many requests: when it fires it looks at
// what has happened since, so that a request pays for no timer of its own.
func (c *conn) arm() {
	if c.armed.Swap(true) {
		return
	}
	c.target.client.Clock.AfterFunc(c.target.client.progressTimeout(), c.checkProgress)
}

// checkProgress closes a connection that went silent, gives up an answer that does not begin where the request may be sent
// elsewhere, probes an idle connection, and starts the timer again.
func (c *conn) checkProgress() {
	if c.closed.Load() {
		return
	}
	client := c.target.client
	limit := client.progressTimeout()
	now := client.Clock.Now()
	if e := c.exchange.Load(); e != nil {
		wait := limit
		if read := c.readSince.Load(); read != 0 && (e.requestSent.Load() || c.writing.Load()) {
			// Only the time during which this side waits counts: a caller that takes an answer slowly keeps this
			// side from reading, and that is no fault of the worker.
			since := clock.Millis(max(c.lastByteAt.Load(), read-1))
			switch {
			case now-since < limit:
				wait = limit - (now - since)
			case c.writing.Load() || e.answer.Load() == answerBegun:
				c.silent.Store(true)
				c.target.handleSilent(c)
				c.Close()
				return
			case e.giveUp != nil && e.giveUp() && e.answer.CompareAndSwap(answerPending, answerAbandoned):
				c.Close()
				return
			}
			// A worker that computes sends no byte either. TCP keep-alive finds a connection that was lost.
		}
		client.Clock.AfterFunc(wait, c.checkProgress)
		return
	}
	idle := now - clock.Millis(c.lastByteAt.Load())
	if idle < client.probeInterval() {
		client.Clock.AfterFunc(client.probeInterval()-idle, c.checkProgress)
		return
	}
	c.armed.Store(false)
	go c.target.probeIdle(c)
}

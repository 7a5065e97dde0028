package worker

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"magnoliaferry/clock"
)

// The states of sending a request.
const (
	unsent    int32 = iota // no byte was passed to the kernel yet
	sending                // a byte may have been passed to the kernel
	cancelled              // no byte was passed to the kernel and none will be
)

var (
	errCancelled   = errors.New("worker: the request was given up before it was sent")
	errUnsolicited = errors.New("worker: the connection carried bytes that no request asked for")
	errNoExchange  = errors.New("worker: connection written without a request")
	errAbandoned   = errors.New("worker: the request was given up before its answer began")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	state       atomic.Int32
	requestSent atomic.Bool  // the body was read to its end or is in memory, so the answer is awaited
	answer      atomic.Int32 // answerPending, answerBegun or answerAbandoned
	giveUp      func() bool  // see Options.GiveUp
}

// The states of the answer of an exchange.
const (
	answerPending   int32 = iota // no byte has arrived
	answerBegun                  // at least one byte has arrived
	answerAbandoned              // the request was given up before any byte arrived
)

// cancelUnsent cancels the request unless a byte of it may have been written, so that later writes fail. It reports whether
// the request is cancelled.
func (e *exchange) cancelUnsent() bool {
	return e.state.CompareAndSwap(unsent, cancelled) || e.state.Load() == cancelled
}

// conn is one connection to a worker. It wraps the network connection in order to record when bytes are read and written,
// and owns the http.ClientConn that uses it.
type conn struct {
	net.Conn
	target *Target
	http   *http.ClientConn

	exchange    atomic.Pointer[exchange] // nil while idle
	lastByteAt  atomic.Int64             // time of the last byte read or written, or of the start of the exchange
	readSince   atomic.Int64             // 1 + the time since which a Read blocks, or 0
	writing     atomic.Bool              // a Write is in progress
	lastUsed    atomic.Int64             // time of the end of the last exchange, or of opening
	unsolicited atomic.Bool              // bytes arrived that belong to no request
	silent      atomic.Bool              // closed because it carried no byte for Client.ProgressTimeout
	closed      atomic.Bool              // Close was called
	armed       atomic.Bool              // the timer is set
}

// Read records the progress of the answer and fails with errUnsolicited on bytes that belong to no request.
func (c *conn) Read(b []byte) (int, error) {
	// The time is stored plus one, because 0 means that no Read blocks and a fake clock may be at 0.
	c.readSince.Store(int64(c.target.client.Clock.Now()) + 1)
	n, err := c.Conn.Read(b)
	c.readSince.Store(0)
	if n > 0 {
		c.lastByteAt.Store(int64(c.target.client.Clock.Now()))
		e := c.exchange.Load()
		if e == nil || e.state.Load() != sending {
			c.unsolicited.Store(true)
			return 0, errUnsolicited // net/http would log the bytes to the standard logger
		}
		if !e.answer.CompareAndSwap(answerPending, answerBegun) && e.answer.Load() == answerAbandoned {
			return 0, errAbandoned
		}
	}
	return n, err
}

// Write records that sending has begun, and fails with errCancelled if the request was cancelled before that.
func (c *conn) Write(b []byte) (int, error) {
	e := c.exchange.Load()
	if e == nil {
		return 0, errNoExchange
	}
	if c.unsolicited.Load() && e.state.Load() == unsent {
		e.state.CompareAndSwap(unsent, cancelled)
		return 0, errUnsolicited
	}
	c.writing.Store(true) // set before the state, because awaiting reads them in the opposite order
	defer c.writing.Store(false)
	first := e.state.CompareAndSwap(unsent, sending)
	if !first && e.state.Load() == cancelled {
		return 0, errCancelled
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.lastByteAt.Store(int64(c.target.client.Clock.Now()))
	} else if first && err != nil {
		e.state.Store(cancelled) // the kernel accepted no byte
	}
	return n, err
}

// Close closes the connection and removes it from its Target, so that another one may be opened. Further calls do nothing.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.target.remove(c)
	return c.Conn.Close()
}

// begin sets the exchange that the connection carries and starts the timer.
func (c *conn) begin(e *exchange) {
	c.lastByteAt.Store(int64(c.target.client.Clock.Now()))
	c.exchange.Store(e)
	c.arm()
}

// usable reports whether an idle connection can carry another request.
func (c *conn) usable() bool {
	return !c.closed.Load() && !c.unsolicited.Load() && c.http.Err() == nil
}

// awaiting reports whether a request was sent completely and no byte of its answer has arrived.
func (c *conn) awaiting() bool {
	e := c.exchange.Load()
	return e != nil && e.state.Load() == sending && e.requestSent.Load() && !c.writing.Load() &&
		e.answer.Load() == answerPending && c.readSince.Load() != 0
}

// arm starts the timer of the connection unless it is set. The timer is not reset for each request, which saves its cost:
// when it fires, checkProgress examines what has happened since.
func (c *conn) arm() {
	if c.armed.Swap(true) {
		return
	}
	c.target.client.Clock.AfterFunc(c.target.client.progressTimeout(), c.checkProgress)
}

// checkProgress runs when the timer fires. It closes a silent connection, abandons an answer that has not begun if
// Options.GiveUp agrees, probes an idle connection, and sets the timer again.
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
			// Only the time during which a Read blocks counts: while a caller receives an answer slowly nothing is read
			// from the connection, which is no fault of the worker.
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
			// A worker that computes sends no byte either, so an awaited answer is no sign of a fault. TCP keep-alive
			// detects a connection whose state was lost.
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

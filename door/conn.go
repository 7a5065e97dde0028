package door

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaferry/clock"
)

const headersRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conn is a connection of a door. The fields of headers belong to the goroutine that reads.
type conn struct {
	net.Conn
	door     *Door
	address  string // of the client, without the port
	phase    atomic.Int32
	since    atomic.Int64 // see connection
	received atomic.Int64
	blocked  atomic.Int64
	closing  sync.Once

	headerBytes, headerLines, lineBytes int
	headersEnded                        bool
}

func (c *conn) view() connection {
	return connection{Phase(c.phase.Load()), clock.Millis(c.since.Load()), c.received.Load(), clock.Millis(c.blocked.Load())}
}

func (c *conn) enter(p Phase) {
	c.since.Store(int64(c.door.Clock.Now()))
	c.received.Store(0)
	c.phase.Store(int32(p))
}

// startHeaders prepares for the headers of the next request. Part of them may be in the buffer of the server already, so the first line is not taken
// for the end of the headers.
func (c *conn) startHeaders() {
	c.headerBytes, c.headerLines, c.lineBytes, c.headersEnded = 0, 0, 1, false
}

// Read implements net.Conn. It ends a connection whose headers are over the limits.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch Phase(c.phase.Load()) {
	case Idle:
		c.enter(Headers)
		fallthrough
	case Headers:
		if c.headersTooLarge(p[:n]) {
			c.door.count(reasonTooMany)
			_, _ = c.Write([]byte(headersRefusal)) // the connection ends in any case
			return 0, io.EOF
		}
	}
	c.received.Add(int64(n))
	return n, err
}

// headersTooLarge counts the bytes and lines of headers that have arrived, and reports whether they are over the limits.
func (c *conn) headersTooLarge(p []byte) bool {
	for _, b := range p {
		if c.headersEnded {
			break
		}
		c.headerBytes++
		switch {
		case b == '\n':
			c.headersEnded = c.lineBytes == 0
			c.headerLines++
			c.lineBytes = 0
		case b != '\r':
			c.lineBytes++
		}
	}
	limits := c.door.Limits()
	return c.headerBytes > limits.HeaderBytes || c.headerLines > limits.HeaderLines
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.blocked.Store(int64(max(c.door.Clock.Now(), 1)))
	defer c.blocked.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite lets the server end its side first, so that the client can read a refusal.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() { c.door.remove(c) })
	return c.Conn.Close()
}

type contextKey struct{}

// Context adds a connection to the context of its requests; it is for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// enterPhase sets the phase of the connection of a request, if it is one of a door.
func enterPhase(r *http.Request, p Phase) {
	if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
		c.enter(p)
	}
}

// Handler returns a handler whose requests may have bodies. The server reads what next has left of a body before it sends the answer; the limits for
// bodies apply to that as well.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			enterPhase(r, Body)
		}
	})
}

// linger is how long the server reads on after a refusal, so that a client that is sending can read it.
const linger = 500 * clock.Millis(1)

// Refuse prepares the refusal of a request whose body was not read: its connection is closed after the answer.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(linger.Duration())) // not supported in tests without a connection
}

// WithoutBodies returns a handler for requests without a body; a request with one is answered and its connection closed.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			Refuse(w)
		}
		next.ServeHTTP(w, r)
	})
}

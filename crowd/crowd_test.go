package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliaferry/clock"
)

const (
	bodyBytes   = 255_000               // a body of legal size
	headerBytes = 15_000                // headers of legal size
	farOver     = 16 << 20              // sent of a body over the limit
	sendTimeout = 1 * clock.Second      // after which a client that cannot send stops sending and keeps its connection
	trickle     = 50 * clock.Millis(1)  // between the bytes of a slow client
	trickled    = 30                    // bytes of a slow client
	piece       = 4_000                 // bytes of a small piece
	ahead       = 2_000_000             // bytes of requests that are sent ahead
	holdTime    = 500 * clock.Millis(1) // for which a crowd stays open before an ordinary request is sent
)

// target is where a crowd goes.
type target struct {
	name    string
	address int // index into process.targets
	path    string
}

// head returns the head of a request for a target, up to the body.
func (a target) head(method, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, a.path, hostName, more)
}

// client writes what one client of a crowd sends.
type client struct {
	target
	number int // in the crowd
	conn   net.Conn
}

// send writes until the instance has taken everything or no longer reads.
func (c *client) send(content ...[]byte) {
	for _, part := range content {
		_ = c.conn.SetWriteDeadline(time.Now().Add(sendTimeout.Duration())) // fails only if the connection is closed
		if _, err := c.conn.Write(part); err != nil {
			return
		}
	}
}

// trickle writes byte by byte.
func (c *client) trickle(content string) {
	for i := range min(len(content), trickled) {
		c.send([]byte(content[i : i+1]))
		_ = clock.System().Sleep(context.Background(), trickle) // a background context is never cancelled
	}
}

// body writes a request with a body that ends after cut bytes less than it should, in one piece, in small pieces or in chunks.
func (c *client) body(content []byte, cut int) {
	sent := content[:len(content)-cut]
	switch c.number % 3 {
	case 0:
		c.send([]byte(c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", len(content)))), sent)
	case 1:
		c.send([]byte(c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", len(content)))))
		for start := 0; start < len(sent); start += piece {
			c.send(sent[start:min(start+piece, len(sent))])
		}
	case 2:
		c.send([]byte(c.head("POST", "Transfer-Encoding: chunked\r\n")))
		for start := 0; start < len(sent); start += piece {
			chunk := sent[start:min(start+piece, len(sent))]
			c.send(fmt.Appendf(nil, "%x\r\n%s\r\n", len(chunk), chunk))
		}
		if cut == 0 {
			c.send([]byte("0\r\n\r\n"))
		}
	}
}

// fields returns a body of bodyBytes that repeats a field.
func fields(before, field, after string) []byte {
	n := (bodyBytes - len(before) - len(after)) / len(field)
	return []byte(before + strings.Repeat(field, n-1) + strings.TrimSuffix(field, ",") + after)
}

var (
	plainBody  = fields(`{"spec":"`, "x", `"}`)
	stepsBody  = fields(`{"steps":[`, `{},`, `]}`)
	afterBody  = fields(`{"steps":[{"after":[`, `0,`, `]}]}`)
	nestedBody = fields(`{"x":`, `[`, ``)
	manyHeads  = strings.Repeat("a:b\r\n", headerBytes/len("a:b\r\n"))
)

// crowds are the crowds by name, with the number of clients. Every client keeps its connection open after it has sent.
var crowds = []struct {
	name    string
	clients int
	run     func(c *client)
}{
	{"bodies", 400, func(c *client) {
		if c.number%8 == 0 {
			c.body(plainBody, 0)
		} else {
			c.body(plainBody, 1+c.number%3)
		}
	}},
	{"bodies over the limit", 100, func(c *client) {
		if c.number%2 == 0 {
			c.send([]byte(c.head("POST", "Content-Length: 1000000000\r\n")))
		} else {
			c.send([]byte(c.head("POST", "Transfer-Encoding: chunked\r\n")), fmt.Appendf(nil, "%x\r\n", farOver+1))
		}
		for range farOver / len(plainBody) {
			c.send(plainBody)
		}
	}},
	{"many short fields", 100, func(c *client) {
		switch c.number % 4 {
		case 0:
			c.body(stepsBody, 0)
		case 1:
			c.body(afterBody, 0)
		case 2:
			c.body(nestedBody, 0)
		case 3:
			c.body(stepsBody, 2)
		}
	}},
	{"many headers", 400, func(c *client) {
		c.send([]byte(strings.TrimSuffix(c.head("GET", manyHeads), "\r\n")))
	}},
	{"requests sent ahead", 200, func(c *client) {
		request := c.head("GET", "")
		if c.number%2 == 0 {
			request = c.head("POST", "Content-Length: 2\r\n") + "{}"
		}
		c.send(bytes.Repeat([]byte(request), ahead/len(request)))
	}},
	{"slow clients", 400, func(c *client) {
		switch c.number % 4 {
		case 0: // stops in the headers
			c.send([]byte(c.head("POST", "")[:20]))
		case 1:
			c.trickle(c.head("POST", strings.Repeat("x", trickled)))
		case 2:
			c.send([]byte(c.head("POST", "Content-Length: 250000\r\n")))
			c.trickle(string(plainBody))
		case 3: // reads slowly
			c.send(bytes.Repeat([]byte(c.head("GET", "")), 1000))
			for range trickled {
				_ = c.conn.SetReadDeadline(time.Now().Add(trickle.Duration())) // fails only if the connection is closed
				var one [1]byte
				_, _ = io.ReadFull(c.conn, one[:]) // an instance may refuse to answer
			}
		}
	}},
}

// Guards against crowds of clients that run an instance out of memory or descriptors, or keep it from serving others.
func TestCrowd(t *testing.T) {
	targets := []target{{"queue", 0, prefix + "ffffffffffffffff"}, {"no route", 0, "/none/x"}, {"ready", 1, "/readiness"},
		{"metrics", 2, "/debug/vars"}}
	for _, c := range crowds {
		for _, a := range targets {
			t.Run(c.name+"/"+a.name, func(t *testing.T) {
				p := start(t)
				p.run()
				p.submit()
				leave := crowd(t, p, a, c.clients, c.run)
				p.submit() // while the crowd is there
				p.checkReady()
				leave()
				p.submit()
				p.checkReady()
				p.check()
			})
		}
	}
}

// crowd lets the clients of a crowd send at once. It returns once they have sent what they could, with a function that closes their connections.
func crowd(t *testing.T, p *process, a target, clients int, run func(c *client)) (leave func()) {
	t.Helper()
	var sending sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for i := range clients {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", p.targets[a.address], callTimeout.Duration())
			if err != nil {
				return // refused
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			run(&client{a, i, conn})
		})
	}
	sending.Wait()
	_ = clock.System().Sleep(context.Background(), holdTime) // a background context is never cancelled
	return func() {
		for _, conn := range open {
			_ = conn.Close() // the instance may have closed it
		}
	}
}

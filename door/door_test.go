package door

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"magnoliaferry/clock"
)

// client is the far end of a connection of a door.
type client struct {
	net.Conn
	address string
}

func (c client) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.address), Port: 1} }

func testDoor(t *testing.T, fake *clock.Clock) *Door {
	t.Helper()
	return &Door{Name: "test", Clock: fake, Places: 2, Limits: testLimits, conns: map[*conn]struct{}{}, byAddress: map[string]int{}}
}

// enter lets a client from an address connect.
func enter(t *testing.T, d *Door, address string) (*conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	return d.admit(client{near, address}), far
}

// Guards against a full door that keeps newcomers out while connections are idle, and against one that cuts requests which are being served.
func TestFullDoor(t *testing.T) {
	fake := clock.NewFake(clock.Second)
	d := testDoor(t, fake)
	served, _ := enter(t, d, "10.0.0.1")
	d.ConnState(served, http.StateActive)
	fake.Advance(clock.Second)
	idle, far := enter(t, d, "10.0.0.1")
	d.ConnState(idle, http.StateIdle)
	newcomer, _ := enter(t, d, "10.0.0.2")
	if newcomer == nil {
		t.Fatal("the newcomer got no place, want that of the idle connection")
	}
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection got %v, want its end", err)
	}
	d.ConnState(newcomer, http.StateActive)
	if c, _ := enter(t, d, "10.0.0.3"); c != nil {
		t.Error("a door whose connections are all being served took another one")
	}
	_ = served.Close() // a pipe's Close never fails
	_ = served.Close()
	if got, want := len(d.conns), 1; got != want || d.byAddress["10.0.0.1"] != 0 {
		t.Errorf("after the end of one of two the door has %d connections, %v, want %d", got, d.byAddress, want)
	}
}

// Guards against a client address that takes the places of all others where the settings bound it.
func TestConnectionsOfOneClient(t *testing.T) {
	fake := clock.NewFake(clock.Second)
	d := testDoor(t, fake)
	d.Places, d.PerClient = 10, 1
	other, _ := enter(t, d, "10.0.0.2")
	d.ConnState(other, http.StateIdle)
	first, far := enter(t, d, "10.0.0.1")
	d.ConnState(first, http.StateIdle)
	if second, _ := enter(t, d, "10.0.0.1"); second == nil {
		t.Error("the second connection of a client got no place, want that of the first")
	}
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the first connection got %v, want its end", err)
	}
	if got, want := len(d.conns), 2; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// Guards against headers that are legal in size and take much memory as very many lines, also when they come byte by byte, and against a body
// that counts as headers.
func TestHeaders(t *testing.T) {
	const head = "POST /q/1 HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		sent string
		want bool // whether all of it is read
	}{
		"usual":                {head + "\r\n", true},
		"lines of a body":      {head + "\r\n" + strings.Repeat("\n", 500), true},
		"large body":           {head + "\r\n" + strings.Repeat("x", 5000), true},
		"many lines":           {head + strings.Repeat("a:b\r\n", 20), false},
		"long line":            {head + "a:" + strings.Repeat("x", 1000), false},
		"many lines, LF alone": {strings.ReplaceAll(head, "\r", "") + strings.Repeat("a:b\n", 20), false},
	} {
		for _, piece := range []int{1, len(test.sent)} {
			d := testDoor(t, clock.NewFake(clock.Second))
			c, far := enter(t, d, "10.0.0.1")
			answered := make(chan []byte, 1)
			go func() {
				answer, _ := io.ReadAll(far) // ends when the near end is closed
				answered <- answer
			}()
			go func() {
				for rest := test.sent; rest != ""; {
					n, err := far.Write([]byte(rest[:min(piece, len(rest))]))
					if err != nil {
						break
					}
					rest = rest[n:]
				}
			}()
			got, err := io.ReadAll(io.LimitReader(c, int64(len(test.sent))))
			_ = c.Close() // a pipe's Close never fails
			if err != nil || (len(got) == len(test.sent)) != test.want {
				t.Errorf("%s: got %d of %d bytes, error %v, want all: %t", name, len(got), len(test.sent), err, test.want)
			}
			if answer := string(<-answered); strings.HasPrefix(answer, "HTTP/1.1 431 ") == test.want {
				t.Errorf("%s: got answer %q, want a refusal: %t", name, answer, !test.want)
			}
		}
	}
}

// Guards against clients that stop half-way, or do not read, and keep their connections; and against a log line for each of them.
func TestCloseOverdue(t *testing.T) {
	fake := clock.NewFake(clock.Second)
	d := testDoor(t, fake)
	unread, _ := enter(t, d, "10.0.0.1")
	d.ConnState(unread, http.StateActive)
	outcome := make(chan error, 1)
	go func() {
		_, err := unread.Write([]byte("answer"))
		outcome <- err
	}()
	for unread.blocked.Load() == 0 {
		runtime.Gosched()
	}
	half, far := enter(t, d, "10.0.0.1")
	go func() { _, _ = far.Write([]byte("GET")) }() // the connection ends
	if _, err := io.ReadFull(half, make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	d.closeOverdue()
	if got, want := len(d.conns), 2; got != want {
		t.Errorf("at first got %d connections, want %d", got, want)
	}
	fake.Advance(testLimits().HeaderTimeout + 1)
	d.closeOverdue()
	if err := <-outcome; err == nil || len(d.conns) != 0 {
		t.Errorf("at the end the write got error %v, the door has %d connections, want an error and none", err, len(d.conns))
	}
	for reason, want := range map[Reason]int64{reasonUnread: 1, reasonHeaders: 1} {
		if got := d.closed[reason].Load(); got != want {
			t.Errorf("reason %s got count %d, want %d", reasonNames[reason], got, want)
		}
	}
	var lines bytes.Buffer
	d.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	d.log(t.Context())
	d.count(reasonIdle)
	d.log(t.Context())
	if got, want := strings.Count(lines.String(), "\n"), 1; got != want {
		t.Errorf("got %d log lines, want %d", got, want)
	}
}

// Guards against a body that a handler has refused unread, which stops short of its end and keeps its place for ever because its request counts as served.
func TestRestOfARefusedBody(t *testing.T) {
	fake := clock.NewFake(clock.Second)
	d := testDoor(t, fake)
	near, far := net.Pipe()
	c := d.admit(client{near, "10.0.0.1"})
	server := &http.Server{Handler: Handler(http.NotFoundHandler()), ConnContext: Context, ConnState: d.ConnState}
	served := make(chan error, 1)
	go func() { served <- server.Serve(&single{conn: c, end: make(chan struct{})}) }()
	if _, err := io.WriteString(far, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	for Phase(c.phase.Load()) != Body {
		runtime.Gosched()
	}
	fake.Advance(testLimits().SlowGrace + clock.Second)
	d.closeOverdue()
	if _, err := io.ReadAll(far); err != nil {
		t.Errorf("the client got %v, want the end of the connection", err)
	}
	if got := d.closed[reasonSlow].Load(); got != 1 {
		t.Errorf("slow bodies got count %d, want 1", got)
	}
	_ = server.Close() // ends the listener
	<-served
}

// single is a listener of one connection.
type single struct {
	conn net.Conn
	end  chan struct{}
	once sync.Once
}

func (l *single) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.end
	return nil, net.ErrClosed
}

func (l *single) Close() error { l.once.Do(func() { close(l.end) }); return nil }

func (l *single) Addr() net.Addr { return &net.TCPAddr{} }

package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

// Defaults of a Client.
const (
	// DefaultTimeout limits a call, including the wait for a connection.
	DefaultTimeout = 2 * clock.Second
	// DefaultConnections limits the open connections to the platform service.
	DefaultConnections = 16
	// DefaultMaxAnswer is in bytes. It is enough for a body of the object store in base64; a Scan requests pages of limited size.
	DefaultMaxAnswer = 8 << 20
)

func init() {
	provider.Plugins.Register("http", func(address, zone string) (provider.Platform, error) {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		return &Client{Address: strings.TrimSuffix(address, "/"), Zone: zone}, nil
	})
}

// Client is a client of a platform service; its exported fields are set before the first call.
type Client struct {
	// Address is the base URL, such as "http://10.0.0.9:7000".
	Address string
	// Zone is the availability zone of the calling process.
	Zone string
	// Clock measures timeouts and pauses; nil uses the system clock.
	Clock *clock.Clock
	// Timeout limits each call in milliseconds, in addition to the caller's context; 0 uses DefaultTimeout.
	Timeout clock.Millis
	// MaxAnswer limits the size of an answer in bytes; 0 uses DefaultMaxAnswer.
	MaxAnswer int64
	// Connections limits the open connections; 0 uses DefaultConnections. Further calls wait for a connection within their timeout.
	Connections int
	// Random returns the jitter of the pauses after failures, in [0, 1); nil uses the random source of the process.
	Random func() float64

	once     sync.Once
	http     *http.Client
	backoffs map[string]*Backoff // by second path segment, because the table can be down while the object store works

	cacheMu sync.Mutex
	rows    map[string]provider.Row // rows read last, by key
	lists   map[string]cachedList   // lists read last, by zone
}

// Table implements provider.Platform.
func (c *Client) Table() provider.Table { return table{c} }

// Objects implements provider.Platform.
func (c *Client) Objects() provider.ObjectStore { return objects{c} }

// Instances implements provider.Platform.
func (c *Client) Instances() provider.Instances { return instances{c} }

// Tasks implements provider.Platform.
func (c *Client) Tasks() provider.Tasks { return tasks{c} }

// Maintenance implements provider.Platform.
func (c *Client) Maintenance() provider.Maintenance { return maintenance{c} }

// Close closes idle connections; the client remains usable.
func (c *Client) Close() { c.once.Do(c.start); c.http.CloseIdleConnections() }

func (c *Client) start() {
	if c.Clock == nil {
		c.Clock = clock.System()
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxAnswer == 0 {
		c.MaxAnswer = DefaultMaxAnswer
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	c.backoffs = map[string]*Backoff{}
	for _, service := range []string{"table", "objects", "instances", "tasks", "maintenance"} {
		// Two failures in a row cause no pause, so that a read can find out at once what became of a call whose answer was lost.
		c.backoffs[service] = &Backoff{Clock: c.Clock, First: 100, Limit: 2 * clock.Second, Tolerated: 2, Random: c.Random}
	}
	dialer := &net.Dialer{Timeout: c.Timeout.Duration()}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn}, nil
			},
			MaxConnsPerHost:        c.Connections,
			MaxIdleConnsPerHost:    c.Connections,
			MaxResponseHeaderBytes: 16 << 10,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// countedConn counts the bytes passed to the connection, which shows whether any byte of a failed call may have been sent.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	written int64
}

// Write counts the bytes before it writes them: a write that fails may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount rejects further writes, closes the connection and returns the number of bytes written. The transport writes in a
// goroutine of its own, which could otherwise start to write after the call was reported as not written.
func (c *countedConn) closeAndCount() int64 {
	c.mu.Lock()
	c.closed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Conn.Close() // the call has failed already, so an error here changes nothing
	return written
}

// attempt records the connection that a call uses and the number of bytes written to it before the call.
type attempt struct {
	mu            sync.Mutex
	conn          net.Conn
	writtenBefore int64
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = info.Conn
	if conn, ok := info.Conn.(*countedConn); ok {
		a.writtenBefore = conn.count()
	}
}

// written reports whether bytes of the failed call may have been written. It closes the connection of the call, so that none
// are written later.
func (a *attempt) written() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	conn, ok := a.conn.(*countedConn)
	return !ok || conn.closeAndCount() > a.writtenBefore // a TLS connection wraps the counted one and hides the count
}

// call sends one request, unless the backoff of its service blocks it. mutates is false for reads: their failures are always
// ErrUnavailable, because it is safe to repeat them.
func (c *Client) call(ctx context.Context, path string, mutates bool, body Call) (Answer, error) {
	c.once.Do(c.start)
	backoff := c.backoffs[strings.Split(path, "/")[2]]
	if pause := backoff.Remaining(); pause > 0 {
		return Answer{}, provider.ErrUnavailable.New("%s: held back for %d ms after failures", path, pause)
	}
	answer, err := c.send(ctx, path, mutates, body)
	switch {
	case err == nil, errorx.IsOfType(err, provider.ErrConflict), errorx.IsOfType(err, provider.ErrNotFound):
		backoff.Succeeded()
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller cancelled the call, which is no failure of the platform.
	default:
		backoff.Failed()
	}
	return answer, err
}

// send sends one request and decodes its answer.
func (c *Client) send(ctx context.Context, path string, mutates bool, body Call) (Answer, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Answer{}, fmt.Errorf("encode the call of %s: %w", path, err)
	}
	ctx, cancel := c.Clock.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var try attempt
	failed := func(err error) error {
		if mutates && try.written() {
			return provider.ErrUnknownOutcome.Wrap(err, "%s: the answer was lost", path)
		}
		return provider.ErrUnavailable.Wrap(err, "%s", path)
	}
	trace := &httptrace.ClientTrace{GotConn: try.gotConn}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		c.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return Answer{}, provider.ErrUnavailable.Wrap(err, "%s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(ZoneHeader, c.Zone)
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, failed(err)
	}
	defer func() { _ = response.Body.Close() }() // an error here does not affect the answer, which has been read
	content, err := io.ReadAll(io.LimitReader(response.Body, c.MaxAnswer+1))
	if err != nil {
		return Answer{}, failed(err)
	}
	if int64(len(content)) > c.MaxAnswer {
		return Answer{}, failed(fmt.Errorf("the answer is longer than %d bytes", c.MaxAnswer))
	}
	var answer Answer
	if err := json.Unmarshal(content, &answer); err != nil {
		return Answer{}, failed(fmt.Errorf("status %d: %w", response.StatusCode, err))
	}
	if answer.Error == "" && response.StatusCode != http.StatusOK {
		return Answer{}, failed(fmt.Errorf("status %d without an error", response.StatusCode))
	}
	err = decodeError(path, answer)
	if err != nil && !mutates && errorx.IsOfType(err, provider.ErrUnknownOutcome) {
		return Answer{}, provider.ErrUnavailable.Wrap(err, "%s", path)
	}
	return answer, err
}

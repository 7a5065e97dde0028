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
	DefaultTimeout     = 2 * clock.Second
	DefaultConnections = 16
	// DefaultMaxAnswer leaves room for a body of the object store and its base64 form; a Scan asks for bounded pages.
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

// Client gives access to a platform service; its exported fields are set before the first call.
type Client struct {
	// Address is the base URL, such as "http://10.0.0.9:7000".
	Address string
	Zone    string
	// Clock measures time-outs and pauses; nil uses the system clock.
	Clock *clock.Clock
	// Timeout bounds each call in milliseconds, besides the caller's context; 0 uses DefaultTimeout.
	Timeout clock.Millis
	// MaxAnswer bounds the bytes of an answer; 0 uses DefaultMaxAnswer.
	MaxAnswer int64
	// Connections bounds the open connections; 0 uses DefaultConnections. Calls beyond it wait within their time-out.
	Connections int
	// Random jitters the pauses after failures; nil uses the source of the process.
	Random func() float64

	once     sync.Once
	http     *http.Client
	backoffs map[string]*Backoff // by the second path segment: the table can be down while the object store works

	cacheMu sync.Mutex
	rows    map[string]provider.Row // read last, by key
	lists   map[string]cachedList   // read last, by zone
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

// Close closes idle connections.
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
		// Two failures in a row cause no pause, so that a lost answer can be settled by a read at once.
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

// countedConn counts the bytes handed to the connection, so that a failed call knows whether any byte of it was.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	written int64
}

// Write counts before it writes: a write that fails may have sent a part.
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

// closeAndCount refuses further writes and closes the connection. The transport writes in a goroutine of its own, which could
// otherwise start after the call was reported as not written.
func (c *countedConn) closeAndCount() int64 {
	c.mu.Lock()
	c.closed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Conn.Close() // the connection has failed; nothing is left to report
	return written
}

// attempt remembers the connection that a call got and what had been written on it before.
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

// written reports whether bytes of the failed call may have been written.
func (a *attempt) written() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	conn, ok := a.conn.(*countedConn)
	return !ok || conn.closeAndCount() > a.writtenBefore // the connection of a TLS address is wrapped, which hides the count
}

// call sends one request. Reads carry effect false: their failures are always ErrUnavailable, because repeating them
// is harmless.
func (c *Client) call(ctx context.Context, path string, mutates bool, body Call) (Answer, error) {
	c.once.Do(c.start)
	backoff := c.backoffs[strings.Split(path, "/")[2]]
	if pause := backoff.Wait(); pause > 0 {
		return Answer{}, provider.ErrUnavailable.New("%s: held back for %d ms after failures", path, pause)
	}
	answer, err := c.send(ctx, path, mutates, body)
	switch {
	case err == nil, errorx.IsOfType(err, provider.ErrConflict), errorx.IsOfType(err, provider.ErrNotFound):
		backoff.Succeeded()
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller gave up, which says nothing about the platform.
	default:
		backoff.Failed()
	}
	return answer, err
}

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
	defer func() { _ = response.Body.Close() }() // a failure to close changes nothing in an answer already read
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

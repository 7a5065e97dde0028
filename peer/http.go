package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/net/netutil"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

const (
	// maxRequestBytes bounds a request to the peer port: the largest is a push of a delta, or a probe with 1024
	// members.
	maxRequestBytes = 128 << 10
	// maxAnswerBytes bounds an answer: the largest contains a whole body.
	maxAnswerBytes = maxBody + 64<<10
	// maxConnections bounds the connections to the peer port: twice the number that the target size of 264 needs.
	maxConnections = 2 * 2 * 264
	// maxConcurrentCalls bounds the calls that are served at once, and with them the memory for requests: 64 x 128 KB =
	// 8 MB.
	maxConcurrentCalls = 64
	// serverIdleTimeout keeps connections open between two probes of the same member: a TLS handshake with certificates
	// costs about 4 KB, and at the target size a random member is probed again after about 264 s.
	// clientIdleTimeout is shorter, so that the client closes a connection before the server does and does not send a
	// request on a connection that the server is closing.
	serverIdleTimeout = 15 * clock.Minute
	clientIdleTimeout = serverIdleTimeout - clock.Minute
)

// HTTP is the Transport over twirp; its exported fields must be set before the first call.
type HTTP struct {
	// TLS contains the client certificate and the certificate authorities of the peers; nil uses plain HTTP.
	TLS   *tls.Config
	Clock *clock.Clock

	mu    sync.Mutex
	peers map[string]*httpPeer
}

type httpPeer struct {
	client    peerpb.Peer
	transport *http.Transport
}

// Call implements Transport.
func (h *HTTP) Call(address string, fresh bool, timeout clock.Millis,
	call func(context.Context, peerpb.Peer) error, done func(error)) {
	go func() {
		p := h.peer(address, fresh)
		ctx, cancel := h.Clock.WithTimeout(context.Background(), timeout)
		defer cancel()
		done(call(ctx, p.client))
	}()
}

// Forget implements Transport.
func (h *HTTP) Forget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[address]; p != nil {
		p.transport.CloseIdleConnections()
		delete(h.peers, address)
	}
}

// peer returns the client for an address. If fresh is set, it creates a new client, so that no open connection is used.
func (h *HTTP) peer(address string, fresh bool) *httpPeer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[address]; p != nil {
		if !fresh {
			return p
		}
		p.transport.CloseIdleConnections()
	}
	dialer := &net.Dialer{Timeout: callTimeout.Duration()}
	p := &httpPeer{transport: &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: h.TLS, TLSHandshakeTimeout: callTimeout.Duration(),
		DisableCompression: true, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, IdleConnTimeout: clientIdleTimeout.Duration(),
		MaxResponseHeaderBytes: 8 << 10, WriteBufferSize: 2 << 10, ReadBufferSize: 2 << 10,
	}}
	scheme := "http://"
	if h.TLS != nil {
		scheme = "https://"
	}
	p.client = peerpb.NewPeerProtobufClient(scheme+address, boundedClient{p.transport})
	if h.peers == nil {
		h.peers = map[string]*httpPeer{}
	}
	h.peers[address] = p
	return p
}

// boundedClient sends requests with few headers and limits the size of the answers.
type boundedClient struct{ transport http.RoundTripper }

// Do implements the HTTP client interface of twirp; it follows no redirects.
func (b boundedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", "") // prevents the default User-Agent
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	response, err := b.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	_ = response.Body.Close() // the body was read
	if err != nil {
		return nil, err
	}
	if len(content) > maxAnswerBytes {
		return nil, fmt.Errorf("the answer of %s is longer than %d bytes", r.URL.Host, maxAnswerBytes)
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response, nil
}

// Server serves the peer port; its exported fields must be set before Run.
type Server struct {
	// Address is the IP address and port to listen on.
	Address string
	// TLS must require and verify client certificates; nil serves plain HTTP.
	TLS    *tls.Config
	Node   peerpb.Peer
	Clock  *clock.Clock
	Logger *slog.Logger

	mu    sync.Mutex
	ready chan struct{}
	bound string
}

// Name implements kernel.Module.
func (s *Server) Name() string { return "peer port" }

// Bound waits until Run listens and returns the IP address and port. It returns an error if ctx ends first.
func (s *Server) Bound(ctx context.Context) (string, error) {
	select {
	case <-s.readiness():
		return s.bound, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (s *Server) readiness() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready == nil {
		s.ready = make(chan struct{})
	}
	return s.ready
}

// Run serves calls until the context ends. It returns an error if it cannot listen, or if TLS does not require and
// verify client certificates.
func (s *Server) Run(ctx context.Context) error {
	if s.TLS != nil && (s.TLS.ClientAuth != tls.RequireAndVerifyClientCert || s.TLS.ClientCAs == nil) {
		return errors.New("peer: the TLS settings of the peer port must require and verify client certificates")
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address)
	if err != nil {
		return err
	}
	s.bound = listener.Addr().String()
	close(s.readiness())
	listener = netutil.LimitListener(listener, maxConnections)
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
	}
	server := &http.Server{Handler: s.Handler(), MaxHeaderBytes: 8 << 10,
		ReadTimeout: (5 * clock.Second).Duration(), WriteTimeout: (10 * clock.Second).Duration(),
		IdleTimeout: serverIdleTimeout.Duration(), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // aborts calls; their callers try other members
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Handler returns the handler of the peer port. It refuses too long requests, and calls beyond the limit of concurrent
// calls, before it reads their bodies.
func (s *Server) Handler() http.Handler {
	twirp := peerpb.NewPeerServer(s.Node)
	served := make(chan struct{}, maxConcurrentCalls)
	refuse := func(w http.ResponseWriter, r *http.Request, status int, reason string) {
		counters.Add("calls-refused", 1)
		eventCallRefused.Log(r.Context(), s.Logger, slog.String("reason", reason), slog.String("from", r.RemoteAddr))
		w.Header().Set("Connection", "close")
		http.Error(w, reason, status)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case s.TLS != nil && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0):
			refuse(w, r, http.StatusUnauthorized, "the client certificate is missing")
			return
		case !strings.HasPrefix(r.URL.Path, peerpb.PeerPathPrefix):
			refuse(w, r, http.StatusNotFound, "unknown path")
			return
		case r.Header.Get("Content-Type") != "application/protobuf":
			refuse(w, r, http.StatusUnsupportedMediaType, "only application/protobuf is accepted")
			return
		case r.ContentLength < 0 || r.ContentLength > maxRequestBytes:
			refuse(w, r, http.StatusRequestEntityTooLarge, "the request has no length or is too long")
			return
		}
		select {
		case served <- struct{}{}:
			defer func() { <-served }()
		default:
			refuse(w, r, http.StatusServiceUnavailable, "too many calls at once")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		twirp.ServeHTTP(w, r)
	})
}

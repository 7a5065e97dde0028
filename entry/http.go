package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"magnoliaferry/settings"
)

// The limits of the servers for operators, peers and metrics.
const (
	headerTimeout   = 10 * time.Second
	readTimeout     = 30 * time.Second
	writeTimeout    = time.Minute
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 5 * time.Second
	maxHeaderBytes  = 16 << 10
)

// httpServer is a module that serves the port for operators, peers or metrics.
type httpServer struct {
	name     string
	listener net.Listener
	handler  http.Handler
}

// Name implements kernel.Module.
func (s *httpServer) Name() string { return s.name }

// Run serves until the context ends, and then waits up to shutdownTimeout for the calls in flight.
func (s *httpServer) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// wrapTLS wraps a listener in TLS. The certificates are reloaded when their files change. It closes the listener if they
// cannot be loaded.
func (i *Instance) wrapTLS(l net.Listener, files settings.TLS, clientCertificate bool) (net.Listener, error) {
	source, err := i.source(files)
	if err != nil {
		l.Close()
		return nil, err
	}
	return tls.NewListener(l, source.Server(clientCertificate)), nil
}

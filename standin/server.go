package standin

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var (
	eventListening = event.New(6000, "stand-in-listening", slog.LevelInfo, "a stand-in accepts connections")
	eventFault     = event.New(6001, "stand-in-fault", slog.LevelInfo, "the faults of a stand-in were changed")
)

// shutdownTime limits how long a stopping stand-in waits for requests in flight.
const shutdownTime = 10 * clock.Second

// server runs the HTTP server of one stand-in and makes its address available once it listens.
type server struct {
	mu       sync.Mutex
	listener net.Listener
	ready    chan struct{}
}

// readiness returns the channel that is closed once the server listens.
func (s *server) readiness() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready == nil {
		s.ready = make(chan struct{})
	}
	return s.ready
}

// bound waits until the server listens and returns the address.
func (s *server) bound(ctx context.Context) (string, error) {
	select {
	case <-s.readiness():
		return s.listener.Addr().String(), nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// run serves until the context ends and then waits for the requests in flight, at most for shutdownTime. If set, wrap wraps the
// listener, and announce is called with the address before the first connection is accepted.
func (s *server) run(ctx context.Context, c *clock.Clock, logger *slog.Logger, name, address string,
	handler http.Handler, wrap func(net.Listener) net.Listener, announce func(context.Context, string)) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s.listener = listener
	if announce != nil {
		announce(ctx, listener.Addr().String())
	}
	close(s.readiness())
	eventListening.Log(ctx, logger, slog.String("stand-in", name), slog.String("address", listener.Addr().String()))
	if wrap != nil {
		listener = wrap(listener)
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: (10 * clock.Second).Duration(),
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		drain, cancel := c.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		if h.Shutdown(drain) != nil {
			_ = h.Close() // closes the connections of requests that are still open
		}
	})
	err = h.Serve(listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// decode reads a JSON body of at most limit bytes into a value. If that fails it answers 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

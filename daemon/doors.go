package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net/http"

	"magnoliaferry/clock"
	"magnoliaferry/diag"
	"magnoliaferry/door"
	"magnoliaferry/platform"
)

// DoorSettings are the limits for clients of an instance; 0 takes the default, which depends on the memory and the descriptors of the instance where
// the comment names none.
type DoorSettings struct {
	Connections   int          `json:"connections"`            // of callers at once
	PerClient     int          `json:"connections-per-client"` // of one client address; default: no limit, as all callers may come through one balancer
	BodyMemoryMB  int          `json:"body-memory-mb"`         // for the bodies of requests at once
	HeaderLines   int          `json:"header-lines"`           // of one request
	MinimumRate   int64        `json:"minimum-rate"`           // bytes of a body per second
	SlowGrace     clock.Millis `json:"slow-grace"`             // for which a body may be slower
	WriteTimeout  clock.Millis `json:"write-timeout"`          // until a client must read a part of an answer
	CancelsPerS   float64      `json:"cancels-per-s"`          // cancellations of ids without a stored job
	HeaderTimeout clock.Millis `json:"header-timeout"`         // until the headers of a request are complete
	IdleTimeout   clock.Millis `json:"idle-timeout"`           // of a connection between two requests
	HeaderBytes   int          `json:"header-bytes"`           // of one request, where the configuration does not say
}

// Defaults of DoorSettings.
const (
	defaultHeaderLines   = 128
	defaultMinimumRate   = 4 << 10 // bytes per second
	defaultSlowGrace     = 10 * clock.Second
	defaultWriteTimeout  = 10 * clock.Second
	defaultCancelsPerS   = 10
	defaultHeaderTimeout = 10 * clock.Second
	defaultIdleTimeout   = 120 * clock.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyMemory    = 64 << 20 // bytes; if the memory of the instance is not known
	defaultConnections   = 4096     // if neither memory nor descriptors are known
)

// Sizes from which the defaults are derived.
const (
	connectionBytes    = 96 << 10 // a connection with its goroutine, its buffers and what its client has sent ahead
	connectionsPart    = 4        // one part in this many of the memory is for connections
	bodiesPart         = 8        // and one in this many for bodies, as decoding and storing a body takes several times its size
	filesShare         = 200      // descriptors that the platform keeps for files
	headerMargin       = 4 << 10  // bytes of the first line of a request, above the limit of its headers
	readyPlaces        = 32       // connections to the ready path; the balancer opens one a second
	metricsPlaces      = 16
	minimumPlaces      = 64
	callersNumerator   = 3 // callers have three quarters of the sockets: the others are for the store, workers and the other doors
	callersDenominator = 4
)

// check adds a fault for each limit that is out of range.
func (s *DoorSettings) check(file string, faults *diag.List) {
	for field, value := range map[string]float64{"connections": float64(s.Connections), "connections-per-client": float64(s.PerClient),
		"body-memory-mb": float64(s.BodyMemoryMB), "header-lines": float64(s.HeaderLines), "minimum-rate": float64(s.MinimumRate),
		"slow-grace": float64(s.SlowGrace), "write-timeout": float64(s.WriteTimeout), "cancels-per-s": s.CancelsPerS,
		"header-timeout": float64(s.HeaderTimeout), "idle-timeout": float64(s.IdleTimeout), "header-bytes": float64(s.HeaderBytes)} {
		if value < 0 {
			faults.Add(diag.New(DiagRange, file, 0, "/doors/"+field, fmt.Sprintf("%g is below 0", value)))
		}
	}
}

// places returns the number of connections of callers that the instance holds at once. The process may have openFiles descriptors; 0 if not known.
func (s *Settings) places(openFiles int) int {
	places := defaultConnections
	if s.MemoryMB > 0 {
		places = (s.MemoryMB << 20) / connectionsPart / connectionBytes
	}
	if files := cmp.Or(s.MaxFiles, openFiles); files > 0 {
		places = min(places, (files-filesShare)*callersNumerator/callersDenominator-readyPlaces-metricsPlaces)
	}
	return cmp.Or(s.Doors.Connections, max(places, minimumPlaces))
}

// bodyMemory returns the memory for bodies in bytes.
func (s *Settings) bodyMemory() int64 {
	memory := int64(defaultBodyMemory)
	if s.MemoryMB > 0 {
		memory = int64(s.MemoryMB) << 20 / bodiesPart
	}
	return cmp.Or(int64(s.Doors.BodyMemoryMB)<<20, memory)
}

// doorLimits returns the limits in force: those of the settings, and where the configuration allows callers more, its own.
func (d *Daemon) doorLimits() door.Limits {
	s := &d.Settings.Doors
	limits := door.Limits{HeaderBytes: cmp.Or(s.HeaderBytes, defaultHeaderBytes) + headerMargin, HeaderLines: cmp.Or(s.HeaderLines, defaultHeaderLines),
		HeaderTimeout: cmp.Or(s.HeaderTimeout, defaultHeaderTimeout), IdleTimeout: cmp.Or(s.IdleTimeout, defaultIdleTimeout),
		SlowGrace: cmp.Or(s.SlowGrace, defaultSlowGrace), MinimumRate: cmp.Or(s.MinimumRate, defaultMinimumRate),
		WriteTimeout: cmp.Or(s.WriteTimeout, defaultWriteTimeout)}
	limits.BusyHeaderTimeout, limits.BusyIdleTimeout = limits.HeaderTimeout, limits.IdleTimeout
	c := d.configuration.Load()
	if c == nil {
		return limits
	}
	if given := c.Limits.HeaderBytes; given > 0 {
		limits.HeaderBytes = int(given) + headerMargin
	}
	if given := c.Limits.HeaderTimeout; given > 0 {
		limits.BusyHeaderTimeout, limits.HeaderTimeout = given, max(given, limits.HeaderTimeout)
	}
	if given := c.Limits.IdleTimeout; given > 0 {
		limits.BusyIdleTimeout, limits.IdleTimeout = given, max(given, limits.IdleTimeout)
	}
	return limits
}

// newDoor returns a door and a server behind it, which has no timeouts of its own.
func (d *Daemon) newDoor(name string, places int, handler http.Handler) (*door.Door, *http.Server) {
	guard := &door.Door{Name: name, Clock: d.clock, Logger: d.Logger, Places: places, PerClient: d.Settings.Doors.PerClient, Limits: d.doorLimits}
	return guard, &http.Server{Handler: handler, ConnState: guard.ConnState, ConnContext: door.Context}
}

// serve listens on an address and serves it behind a door until the server is closed.
func serve(ctx context.Context, guard *door.Door, server *http.Server, address string, failed chan<- error) error {
	listener, err := guard.Listen(ctx, address)
	if err != nil {
		return err
	}
	go guard.Run(ctx)
	go func() { failed <- server.Serve(listener) }()
	return nil
}

// callersServer returns the server for callers and its door.
func (d *Daemon) callersServer(handler *platform.Front) (*door.Door, *http.Server) {
	guard, server := d.newDoor("callers", d.Settings.places(door.OpenFiles()), door.Handler(handler))
	handler.Bodies = &door.Room{Bytes: d.Settings.bodyMemory(), Clock: d.clock, Door: guard}
	return guard, server
}

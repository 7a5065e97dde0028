package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaferry/caller"
	"magnoliaferry/certs"
	"magnoliaferry/claim"
	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/event"
	"magnoliaferry/fleet"
	"magnoliaferry/kernel"
	"magnoliaferry/operator"
	"magnoliaferry/peer"
	"magnoliaferry/provider"
	"magnoliaferry/routing"
	"magnoliaferry/settings"
	"magnoliaferry/slots"
	"magnoliaferry/trace"
	"magnoliaferry/worker"
)

var (
	eventStarted = event.New(1000, "started", slog.LevelInfo, "the entry instance starts")
	eventStopped = event.New(1001, "stopped", slog.LevelInfo, "the entry instance has stopped")
)

// workerResourcePrefix is the prefix of the names of workers' accounts in the ledger; the instance id follows.
const workerResourcePrefix = "worker/"

// Instance is one entry instance. The exported fields must be set before Run and not changed after.
type Instance struct {
	Settings settings.Settings
	Clock    *clock.Clock // nil means the system clock
	Logger   *slog.Logger // nil discards the log
	// Platform, unless nil, is used instead of the plug-in that the settings name.
	Platform provider.Platform
	// WallClock returns the time in milliseconds since 1970; nil means the system's time. Incarnation numbers and the times
	// stored with claims, jobs and maintenance come from it; no lease depends on it.
	WallClock func() clock.Millis
	// ControlPeriod is the time between two passes of the control loop; 0 means the default of fleet.Loop.
	ControlPeriod clock.Millis
	// Abort, when it is closed, aborts the instance, which cuts the requests in flight, also during a graceful stop; Run then
	// returns an *AbortError. Nil means that the instance is never aborted.
	Abort <-chan struct{}

	incarnation int64
	listeners   map[string]net.Listener
	initOnce    sync.Once
	listening   chan struct{} // closed once all ports are open and the modules are built

	tracer        *trace.Tracer
	configuration *configurations
	ledger        *slots.Ledger
	router        *routing.Router
	client        *worker.Client
	claims        *claim.Store
	handler       *caller.Handler
	assignments   *fleet.Assignments
	queues        *queues
	node          *peer.Node
	transport     *peer.HTTP
	reports       *reports
	workerZones   atomic.Pointer[map[string]string] // zone by instance id
}

// Run serves until the context ends, then announces to the balancer and the peers that the instance is leaving, finishes
// the requests in flight and returns.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.prepare(ctx); err != nil {
		return err
	}
	eventStarted.Log(ctx, i.Logger, slog.String("instance", i.Settings.Name), slog.String("zone", i.Settings.Zone),
		slog.Int64("incarnation", i.incarnation))
	modules, err := i.modules(ctx)
	if err != nil {
		i.closeListeners()
		return err
	}
	close(i.listening)
	err = i.run(ctx, modules)
	eventStopped.Log(context.WithoutCancel(ctx), i.Logger, slog.String("instance", i.Settings.Name))
	return err
}

// abortTimeout bounds the time from closing Abort to the return of Run: 2 s are for sending refusals to the callers whose
// requests were cut, and the rest is for the transaction in flight.
const abortTimeout = 4 * clock.Second

// run runs the modules until the context ends and they have stopped, or until Abort is closed.
func (i *Instance) run(ctx context.Context, modules []kernel.Module) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- (&kernel.Kernel{Modules: modules}).Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-i.Abort:
	}
	stop()
	select {
	case <-ended:
	case <-i.Clock.After(abortTimeout):
	}
	return &AbortError{modules[len(modules)-1].(*caller.Server).Cuts()}
}

// AbortError is the error of Run after Abort was closed, with the requests that were cut.
type AbortError struct{ cuts []caller.Cut }

// Cuts returns the requests in flight that were cut.
func (e *AbortError) Cuts() []caller.Cut { return e.cuts }

// Error returns the number of requests that were cut, in total and by the stage that they had reached.
func (e *AbortError) Error() string {
	stages := map[string]int{}
	for _, c := range e.cuts {
		stages[c.Stage()]++
	}
	text := fmt.Sprintf("entry instance aborted with %d requests in flight", len(e.cuts))
	for _, stage := range slices.Sorted(maps.Keys(stages)) {
		text += fmt.Sprintf(", %d in stage %s", stages[stage], stage)
	}
	return text
}

// Address waits until Run listens and returns the address of the port for "callers", "operators", "peers" or "metrics". It
// returns the error of the context if that ends first.
func (i *Instance) Address(ctx context.Context, port string) (string, error) {
	i.initOnce.Do(i.initListening)
	select {
	case <-i.listening:
		return i.listeners[port].Addr().String(), nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (i *Instance) initListening() { i.listening = make(chan struct{}) }

// prepare sets the defaults of the fields, opens the platform and listens.
func (i *Instance) prepare(ctx context.Context) error {
	i.initOnce.Do(i.initListening)
	if i.Clock == nil {
		i.Clock = clock.System()
	}
	if i.WallClock == nil {
		i.WallClock = func() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }
	}
	i.incarnation = int64(i.WallClock())
	if i.Platform == nil {
		open, known := provider.Plugins.Lookup(i.Settings.Platform.Plugin)
		if !known {
			return fmt.Errorf("platform plug-in %q does not exist", i.Settings.Platform.Plugin)
		}
		opened, err := open(i.Settings.Platform.Address, i.Settings.Zone)
		if err != nil {
			return fmt.Errorf("platform %s: %w", i.Settings.Platform.Address, err)
		}
		i.Platform = opened
	}
	return i.listen(ctx)
}

// listen opens all ports before any module starts, so that a port in use is reported immediately.
func (i *Instance) listen(ctx context.Context) error {
	i.listeners = map[string]net.Listener{}
	ports := map[string]*settings.Listener{"callers": &i.Settings.Callers, "operators": &i.Settings.Operators,
		"peers": &i.Settings.Peers, "metrics": i.Settings.Metrics}
	for name, port := range ports {
		if port == nil || port.Listen == "" {
			continue
		}
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", port.Listen)
		if err == nil && port.TLS != nil {
			l, err = i.wrapTLS(l, *port.TLS, name == "operators" || name == "peers")
		}
		if err != nil {
			i.closeListeners()
			return fmt.Errorf("cannot open the port for %s: %w", name, err)
		}
		i.listeners[name] = l
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		l.Close()
	}
}

// source loads the certificates from files.
func (i *Instance) source(files settings.TLS) (*certs.Source, error) {
	s := &certs.Source{CertificateFile: files.Certificate, KeyFile: files.Key, AuthoritiesFile: files.Authorities,
		Clock: i.Clock, Logger: i.Logger}
	return s, s.Load()
}

// modules builds the modules of the instance in the order of their start. The callers' server is the last to start and the
// first to stop.
func (i *Instance) modules(ctx context.Context) ([]kernel.Module, error) {
	var err error
	options := trace.Options{Instance: i.Settings.Name}
	if t := i.Settings.Trace; t != nil {
		options.Exporter, options.Target = t.Exporter, t.Target
	}
	if i.tracer, err = trace.New(ctx, options); err != nil {
		return nil, err
	}
	s := i.Settings
	i.configuration = &configurations{codec: &codec{}, store: &operator.Store{Clock: i.Clock, Table: i.Platform.Table(),
		Objects: i.Platform.Objects(), Accepted: i.accepted}}
	i.reports = &reports{instance: i}
	i.client = &worker.Client{Clock: i.Clock, Logger: i.Logger}
	i.ledger = &slots.Ledger{Clock: i.Clock, ID: s.Name, Incarnation: i.incarnation, Zone: s.Zone,
		OpenConnections: func(resource string) int {
			id, isWorker := strings.CutPrefix(resource, workerResourcePrefix)
			if !isWorker {
				return 0
			}
			return i.client.Connections(id)
		}}
	i.router = &routing.Router{Clock: i.Clock, Logger: i.Logger, Probe: i.client.Probe}
	i.claims = &claim.Store{Clock: i.Clock, Table: i.Platform.Table(), Holder: s.Name, Incarnation: i.incarnation,
		Interval: s.ClaimInterval, WallClock: i.WallClock, Logger: i.Logger}
	i.assignments = &fleet.Assignments{Clock: i.Clock, Platform: i.Platform, Zone: s.Zone, Logger: i.Logger,
		Zones: i.configuration.zones}
	i.queues = &queues{instance: i}
	i.handler = &caller.Handler{Clock: i.Clock, Instance: fmt.Sprintf("%s-%d", s.Name, i.incarnation), Logger: i.Logger,
		Tracer: i.tracer, Configuration: i.configuration.Current, Contact: s.Contact, Queue: i.queues.forPool,
		Quota:  func(resource string) routing.Account { return i.ledger.Account(resource) },
		Claims: claims{i.claims}, Router: i.router, Client: i.client, Ready: i.ledger.Ready}
	if err := i.buildNode(); err != nil {
		return nil, err
	}
	loop := &fleet.Loop{Holder: fmt.Sprintf("%s-%d", s.Name, i.incarnation), Clock: i.Clock, Platform: i.Platform,
		Assignments: i.assignments, Configuration: i.configuration.Current, Demand: i.reports.demand,
		ConfigurationVersion: i.configuration.Version, Healthy: i.reports.healthy, Acknowledged: i.acknowledged,
		Wall: i.WallClock, Seed: i.incarnation, Period: i.ControlPeriod, Logger: i.Logger}
	c := control{i, loop}
	operators := &operator.Server{Clock: i.Clock, Store: i.configuration.store, Identity: i.identity(), Reporter: c,
		Drainer: c, Waves: c, Jobs: c, Logger: i.Logger}
	modules := []kernel.Module{
		i.tracer,
		i.node,
		&httpServer{name: "peers", listener: i.listeners["peers"],
			handler: (&peer.Server{Node: i.node, Clock: i.Clock, Logger: i.Logger}).Handler()},
		discovery{i},
		i.assignments,
		&workerUpdater{instance: i},
		funcModule{"claims", i.claims.Run},
		&cleanUp{instance: i},
		loop,
		&httpServer{name: "operators", listener: i.listeners["operators"], handler: operators.Handler()},
	}
	if l, ok := i.listeners["metrics"]; ok {
		modules = append(modules, &httpServer{name: "metrics", listener: l, handler: i.metrics()})
	}
	return append(modules, &caller.Server{Handler: i.handler, Listener: i.listeners["callers"],
		LeaveFor: s.Leave, Grace: s.Stop - s.Leave, Abort: i.Abort}), nil
}

// buildNode builds the peer module and connects it to the ledger, the claims and the configuration.
func (i *Instance) buildNode() error {
	s := i.Settings
	i.transport = &peer.HTTP{Clock: i.Clock}
	if files := s.Peers.TLS; files != nil {
		source, err := i.source(*files)
		if err != nil {
			return err
		}
		i.transport.TLS = source.Client()
	}
	l := ledger{i.ledger, i.queues}
	i.node = &peer.Node{ID: s.Name, Address: i.listeners["peers"].Addr().String(), Zone: s.Zone,
		Incarnation: i.incarnation, Seeds: s.Peers.Seeds, Random: uint64(i.incarnation), Clock: i.Clock,
		Transport: i.transport, Codec: i.configuration.codec, Table: i.Platform.Table(), Objects: i.Platform.Objects(),
		Apply: i.configuration.apply, Rosters: rosters{i.ledger}, Ledger: l, Loans: l, ClaimRuns: i.claims.Runs,
		Status: i.reports, PollAge: i.assignments.Age, Logger: i.Logger}
	i.claims.HolderRuns = i.node.HolderRuns
	return nil
}

// accepted is called after this instance has stored a configuration version. It passes the version to the peer module, which
// puts it in force and sends it to the peers. If the delta is omitted or cannot be encoded, they fetch the whole body.
func (i *Instance) accepted(stored config.Stored, c *config.Configuration) {
	var delta []byte
	if !stored.Delta().Omitted() {
		encoded, err := json.Marshal(stored.Delta())
		if err == nil {
			delta = encoded
		}
	}
	i.node.Accepted(stored.Version(), stored.Digest(), delta, config.Encode(c))
}

// zoneOf returns the availability zone of a worker, or "" if it is unknown. It takes no lock, because the control loop calls
// it while it holds the lock of the assignments.
func (i *Instance) zoneOf(instance string) string {
	if zones := i.workerZones.Load(); zones != nil {
		return (*zones)[instance]
	}
	return ""
}

// metrics returns the handler for the counters of this instance and of the process.
func (i *Instance) metrics() http.Handler {
	vars := i.handler.Vars()
	vars.Set("workers", i.router.Vars())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\"magnoliaferry\": %s", vars)
		expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
		fmt.Fprint(w, "}\n")
	})
	return mux
}

// identity returns how operators are identified: by their certificates, or, if the settings say so, not at all on a loopback
// address. Without either it returns nil, with which operator.Server refuses every call.
func (i *Instance) identity() operator.Identity {
	if i.Settings.Operators.TLS != nil {
		return operator.Certificate{}
	}
	if i.Settings.Operators.TrustLoopback {
		return loopback{}
	}
	return nil
}

// loopback accepts every call as one of the operator "loopback".
type loopback struct{}

// Identify implements operator.Identity.
func (loopback) Identify(*http.Request) (string, bool) { return "loopback", true }

// funcModule is a module that runs a function.
type funcModule struct {
	name string
	run  func(ctx context.Context) error
}

// Name implements kernel.Module.
func (n funcModule) Name() string { return n.name }

// Run implements kernel.Module.
func (n funcModule) Run(ctx context.Context) error { return n.run(ctx) }

// Version returns the version number of the configuration in force, or 0 if there is none yet. It may be called only after
// Address has returned without an error.
func (i *Instance) Version() int64 { return i.configuration.Version() }

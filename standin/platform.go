package standin

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/platformhttp"
	"magnoliaferry/provider"
)

// maxCallBytes limits the body of a call in bytes; the largest is a configuration body in base64.
const maxCallBytes = 8 << 20

// Platform serves the protocol of platformhttp from a memory.Store; the exported fields are set before Handler or Run.
//
// Faults are injected at the steps of package memory. They can also be set by POSTs to /control/faults,
// /control/clear, /control/partition and /control/heal; /control/instances, /control/instances/remove,
// /control/tasks and /control/workers change the reported state, and GET /control/state returns the counters.
type Platform struct {
	// Address is the IP address and port to listen on; port 0 selects a free one.
	Address string
	Clock   *clock.Clock // nil uses the system clock
	// Store holds the state; nil starts with an empty one. Its Faults are replaced by the field Faults.
	Store  *memory.Store
	Faults *fault.Injector // nil uses that of the store, or a new one
	Logger *slog.Logger

	once    sync.Once
	handler http.Handler
	server  server

	mu       sync.Mutex
	workers  map[string]func(context.Context) int
	inFlight map[string]int // requests in flight by instance, as of its last poll; the store reads this under its lock and must not wait for a worker
}

// Name implements kernel.Module.
func (p *Platform) Name() string { return "stand-in platform" }

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	p.once.Do(p.build)
	return p.server.run(ctx, p.Clock, p.Logger, "platform", p.Address, p.handler, nil, nil)
}

// Bound waits until Run listens and returns the IP address and port, or the error of the context.
func (p *Platform) Bound(ctx context.Context) (string, error) { return p.server.bound(ctx) }

// Handler returns the handler, for use in another server than that of Run.
func (p *Platform) Handler() http.Handler { p.once.Do(p.build); return p.handler }

// AttachWorker makes a drain of the instance wait until inFlight returns 0.
func (p *Platform) AttachWorker(instance string, inFlight func(context.Context) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers == nil {
		p.workers = map[string]func(context.Context) int{}
	}
	p.workers[instance] = inFlight
}

// build sets the defaults of the fields and builds the handler.
func (p *Platform) build() {
	if p.Clock == nil {
		p.Clock = clock.System()
	}
	if p.Faults == nil {
		p.Faults = &fault.Injector{}
		if p.Store != nil && p.Store.Faults != nil {
			p.Faults = p.Store.Faults
		}
	}
	if p.Store == nil {
		p.Store = memory.New(p.Clock, p.Faults)
	}
	p.Store.Faults = p.Faults
	p.inFlight = map[string]int{}
	p.Store.InFlight = func(instance string) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.inFlight[instance]
	}
	mux := http.NewServeMux()
	p.addProtocol(mux)
	p.addControl(mux)
	p.handler = mux
}

// callHandler carries out one call; view is the platform as seen from the zone of the calling process.
type callHandler func(ctx context.Context, view provider.Platform, call platformhttp.Call, answer *platformhttp.Answer) error

func (p *Platform) addProtocol(mux *http.ServeMux) {
	for path, handle := range map[string]callHandler{
		platformhttp.PathRead: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			a *platformhttp.Answer) error {
			rows, err := v.Table().Read(ctx, c.Keys...)
			a.Rows = encodeRows(rows)
			for i, k := range c.Known[:min(len(c.Known), len(rows))] {
				if r := rows[i]; r.Version() > 0 && r.Version() == k.Version && r.Operation() == k.Operation {
					a.Rows[i].Value, a.Rows[i].Same = nil, true
				}
			}
			return err
		},
		platformhttp.PathScan: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			a *platformhttp.Answer) error {
			rows, err := v.Table().Scan(ctx, c.Prefix, c.After, max(0, c.Limit))
			a.Rows = encodeRows(rows)
			return err
		},
		platformhttp.PathCommit: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			writes, err := decodeWrites(c.Writes)
			if err != nil {
				return err
			}
			return v.Table().Commit(ctx, provider.NewTransaction(c.Operation, writes...))
		},
		platformhttp.PathObjectPut: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			return v.Objects().Put(ctx, c.Name, c.Body)
		},
		platformhttp.PathObjectGet: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			a *platformhttp.Answer) (err error) {
			a.Body, err = v.Objects().Get(ctx, c.Name)
			return err
		},
		platformhttp.PathList: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			a *platformhttp.Answer) error {
			list, err := v.Instances().List(ctx, c.Zone)
			if err == nil && c.Digest != "" && c.Digest == platformhttp.ListDigest(list) {
				a.Same = true
				return nil
			}
			for _, i := range list {
				a.Instances = append(a.Instances, i.Fields())
			}
			return err
		},
		platformhttp.PathTaskStart: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			if c.Task == nil {
				return provider.ErrUnavailable.New("the call names no task")
			}
			return v.Tasks().Start(ctx, provider.NewTaskRequest(*c.Task))
		},
		platformhttp.PathCheckpoint: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			return v.Tasks().Checkpoint(ctx, c.ID)
		},
		platformhttp.PathThrottle: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			return v.Tasks().Throttle(ctx, c.ID, c.Percent)
		},
		platformhttp.PathTaskStop: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			return v.Tasks().Stop(ctx, c.ID)
		},
		platformhttp.PathUsage: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			a *platformhttp.Answer) error {
			usage, err := v.Tasks().Usage(ctx, c.ID)
			for _, u := range usage {
				a.Usage = append(a.Usage, u.Fields())
			}
			return err
		},
		platformhttp.PathDrain: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			return v.Maintenance().Drain(ctx, c.ID)
		},
		platformhttp.PathReboot: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			_ *platformhttp.Answer) error {
			return v.Maintenance().Reboot(ctx, c.ID)
		},
		platformhttp.PathStatus: func(ctx context.Context, v provider.Platform, c platformhttp.Call,
			a *platformhttp.Answer) (err error) {
			p.pollWorker(ctx, c.ID)
			a.Status, err = v.Maintenance().Status(ctx, c.ID)
			return err
		},
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { p.serveCall(rw, r, handle) })
	}
}

// serveCall answers one call. A call with an unknown outcome (a lost request or answer) is not answered: the connection is
// closed, and the client has to classify the failure.
func (p *Platform) serveCall(rw http.ResponseWriter, r *http.Request, handle callHandler) {
	var call platformhttp.Call
	if !decode(rw, r, maxCallBytes, &call) {
		return
	}
	var answer platformhttp.Answer
	err := handle(r.Context(), p.Store.View(r.Header.Get(platformhttp.ZoneHeader)), call, &answer)
	switch {
	case err == nil:
		reply(rw, http.StatusOK, answer)
	case errorx.IsOfType(err, provider.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	default:
		status, failure := platformhttp.EncodeError(err)
		reply(rw, status, failure)
	}
}

// pollWorker queries the worker of an instance for its requests in flight, which determine whether a drain has ended.
func (p *Platform) pollWorker(ctx context.Context, instance string) {
	p.mu.Lock()
	query := p.workers[instance]
	p.mu.Unlock()
	if query == nil {
		return
	}
	count := query(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[instance] = count
}

func encodeRows(rows []provider.Row) []platformhttp.RowFields {
	fields := make([]platformhttp.RowFields, len(rows))
	for i, r := range rows {
		fields[i] = platformhttp.RowFields{Key: r.Key(), Value: r.Value(), Version: r.Version(),
			Operation: r.Operation()}
	}
	return fields
}

func decodeWrites(fields []platformhttp.WriteFields) ([]provider.Write, error) {
	writes := make([]provider.Write, len(fields))
	for i, f := range fields {
		switch f.Kind {
		case provider.KindPut:
			writes[i] = provider.Put(f.Key, f.Value, f.IfVersion)
		case provider.KindDelete:
			writes[i] = provider.Delete(f.Key, f.IfVersion)
		case provider.KindCheck:
			writes[i] = provider.Check(f.Key, f.IfVersion)
		default:
			return nil, provider.ErrUnavailable.New("write %d has the unknown kind %q", i, f.Kind)
		}
	}
	return writes, nil
}

package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/result"
	"magnoliaferry/routing"
	"magnoliaferry/trace"
	"magnoliaferry/worker"
)

const (
	defaultDeadline = 10 * clock.Second
	maxDeadline     = 30 * clock.Second
	// defaultBufferBytes holds 32 of the largest buffered bodies; beyond it bodies are streamed.
	defaultBufferBytes = 32 << 20
	// defaultMaxBody bounds a request body in total.
	defaultMaxBody = 64 << 20
	// defaultMaxInFlight bounds goroutines and header memory; a request in flight costs up to 64 KiB of header.
	defaultMaxInFlight = 4096
	// maxAttempts bounds the workers that one request tries.
	maxAttempts = 3
)

// HealthPath is where the balancer asks for the state of the entry instance; no service can have this name.
const HealthPath = "/.magnoliaferry/health"

// Handler serves callers.
type Handler struct {
	// Clock measures deadlines.
	Clock *clock.Clock
	// Instance is the id of the entry instance with its incarnation; request ids begin with it.
	Instance string
	// Logger receives the events; nil drops them.
	Logger *slog.Logger
	// Tracer records the hops; nil is off.
	Tracer *trace.Tracer
	// Configuration returns the configuration in force, or nil.
	Configuration func() *config.Configuration
	// Contact is the operator contact while there is no configuration.
	Contact string
	// Queue returns the admission queue of a pool, always the same one.
	Queue func(pool string) Queue
	// Quota returns the account of "pool/<name>" or "team/<name>"; nil for no limits.
	Quota func(resource string) routing.Account
	// Claims keeps non-idempotent requests with a key from running twice; nil refuses these.
	Claims Claims
	// Router chooses workers.
	Router *routing.Router
	// Client sends to workers.
	Client *worker.Client
	// Ready says whether this instance holds slots, so that the balancer sends requests where they can run; nil for
	// always.
	Ready func() bool
	// BufferBytes bounds all buffered bodies together; 0 means 32 MiB.
	BufferBytes int64
	// MaxBody bounds a request body; 0 means 64 MiB.
	MaxBody int64
	// MaxInFlight bounds the requests in flight, those in a queue included; 0 means 4096.
	MaxInFlight int

	once     sync.Once
	memory   memoryBudget
	ids      atomic.Uint64
	routes   atomic.Pointer[routes]
	counters counters
	running  running
}

// routes is what is looked up by service, made once for each configuration.
type routes struct {
	configuration *config.Configuration
	services      map[string]*route
	queues        []Queue
}

type route struct {
	service config.Service
	pool    config.Pool
	queue   Queue
	budget  *worker.Budget
}

func (h *Handler) start() {
	h.running.ended = make(chan struct{})
	h.memory.limit = h.BufferBytes
	if h.memory.limit == 0 {
		h.memory.limit = defaultBufferBytes
	}
	if h.MaxBody == 0 {
		h.MaxBody = defaultMaxBody
	}
	if h.MaxInFlight == 0 {
		h.MaxInFlight = defaultMaxInFlight
	}
}

// current returns the routes of the configuration in force, or nil without one.
func (h *Handler) current() *routes {
	c := h.Configuration()
	if c == nil {
		return nil
	}
	old := h.routes.Load()
	if old != nil && old.configuration == c {
		return old
	}
	budgets := map[string]*worker.Budget{}
	if old != nil {
		for _, r := range old.services {
			budgets[r.pool.Name()] = r.budget
		}
	}
	next := &routes{configuration: c, services: map[string]*route{}}
	for _, p := range c.Pools() {
		next.queues = append(next.queues, h.Queue(p.Name()))
	}
	for _, s := range c.Services() {
		p, ok := c.Pool(s.Pool())
		if !ok {
			continue // the validation of configurations rules it out
		}
		if budgets[p.Name()] == nil {
			budgets[p.Name()] = &worker.Budget{Clock: h.Clock}
		}
		next.services[s.Name()] = &route{service: s, pool: p, queue: h.Queue(p.Name()), budget: budgets[p.Name()]}
	}
	// When two requests meet a new configuration at once, one of two equal results stays.
	h.routes.CompareAndSwap(old, next)
	return next
}

// request is one request in flight.
type request struct {
	handler *Handler
	writer  http.ResponseWriter
	in      *http.Request
	route   *route
	demand  demand
	team    string
	id      string
	shard   uint64
	started clock.Millis
	due     clock.Millis
	claim   Claim // nil without one
	permit  *Permit
	span    trace.Span
	cancel  context.CancelCauseFunc
	stage   atomic.Pointer[string]
	body    body
}

// The stages of a request in flight, for the report of what was cut.
var (
	stageReading  = "reading"
	stageQueue    = "queue"
	stageClaim    = "claim"
	stageDispatch = "dispatch"
	stageAnswer   = "answer"
)

// errCut ends the requests that still run when the time to stop has passed.
var errCut = errors.New("caller: the entry instance stops")

// ServeHTTP answers the health question of the balancer and the requests of callers.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	h.once.Do(h.start)
	if in.URL.Path == HealthPath {
		h.serveHealth(w)
		return
	}
	h.counters.requests.Add(1)
	r := request{handler: h, writer: w, in: in, started: h.Clock.Now()}
	if refusal := r.prepare(); refusal != nil {
		r.refuse(refusal)
		return
	}
	r.serve()
}

// prepare finds service, pool, team and caller and checks the headers.
func (r *request) prepare() *result.Refusal {
	h := r.handler
	known := h.current()
	if known == nil {
		return result.Refuse(CodeNoConfiguration, "no configuration was received yet", clock.Second)
	}
	name := strings.TrimPrefix(r.in.URL.Path, "/")
	if i := strings.IndexByte(name, '/'); i >= 0 {
		name = name[:i]
	}
	found, ok := known.services[name]
	if !ok {
		return result.Refuse(CodeNoService, "no service has the name "+strconv.Quote(name), 0)
	}
	r.route = found
	var err error
	if r.demand, err = parseDemand(r.in.Header, found.service); err != nil {
		return result.Refuse(CodeBadHeader, err.Error(), 0)
	}
	if team, ok := known.configuration.TeamOf(r.demand.caller); ok {
		r.team = team.Name()
	}
	if r.in.ContentLength > h.MaxBody {
		return result.Refuse(CodeBodyTooLarge, "the body may have at most "+strconv.FormatInt(h.MaxBody, 10)+" bytes", 0)
	}
	r.due = r.started + r.demand.deadline
	r.shard = h.ids.Add(1)
	var b [64]byte
	id := append(b[:0], h.Instance...)
	r.id = string(strconv.AppendUint(append(id, '-'), r.shard, 36))
	r.setStage(&stageReading)
	return nil
}

// serve takes the request through body, queue, claim and dispatch.
func (r *request) serve() {
	h := r.handler
	idempotent := r.route.service.Idempotent(r.in.Method)
	needsClaim := !idempotent && r.demand.key != ""
	base := r.in.Context()
	if needsClaim {
		// The request outlives its caller, so that a repeat of the key gets the answer instead of "unknown".
		base = context.WithoutCancel(base)
	}
	base, span := h.Tracer.StartFromHeaders(base, r.in.Header, trace.StageCaller)
	r.span = span
	defer span.End()
	span.SetText("service", r.route.service.Name())
	span.SetText("request", r.id)
	ctx, cancel := withDeadline(base, h.Clock, r.demand.deadline)
	r.cancel = cancel
	defer cancel(context.Canceled)
	waiting := ctx
	if needsClaim {
		var gone context.CancelCauseFunc
		waiting, gone = context.WithCancelCause(ctx)
		defer gone(context.Canceled)
		stop := context.AfterFunc(r.in.Context(), func() { gone(context.Canceled) })
		defer stop()
	}
	if refusal := h.running.enter(r, h.MaxInFlight); refusal != nil {
		r.refuse(refusal)
		return
	}
	defer h.running.leave(r)
	if needsClaim && h.Claims == nil {
		r.refuse(result.Refuse(CodeClaimFailed, "this entry instance cannot store claims", clock.Second))
		return
	}
	r.body.init(&h.memory, r.in.Body, r.in.ContentLength, h.MaxBody)
	defer r.body.free()
	if r.in.ContentLength != 0 {
		stop := r.endBodyWith(ctx)
		defer stop()
		if refusal := r.body.read(); refusal != nil {
			r.refuse(refusal)
			return
		}
	}
	permit, refusal := r.admit(waiting, needsClaim)
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	if permit == nil {
		return // answered from the record
	}
	r.dispatch(ctx, permit, idempotent)
}

// withDeadline derives a context that ends after d on the clock and that can be cancelled with a cause.
func withDeadline(ctx context.Context, c *clock.Clock, d clock.Millis) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func(cause error) { stop(); cancel(cause) }
}

// endBodyWith makes reads of the caller's body end with ctx; net/http ends them only with the connection.
func (r *request) endBodyWith(ctx context.Context) (stop func() bool) {
	controller := http.NewResponseController(r.writer)
	return context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
}

// admit waits for a permit; a request with a key is claimed while it waits. Without a refusal and without a permit the
// caller has its answer already.
func (r *request) admit(ctx context.Context, needsClaim bool) (*Permit, *result.Refusal) {
	h := r.handler
	r.setStage(&stageQueue)
	queueContext, span := h.Tracer.Start(ctx, trace.StageQueue)
	defer span.End()
	ticket, refusal := r.route.queue.Enter(QueueRequest{r.demand.caller, r.team, r.demand.urgency, r.due})
	if refusal != nil {
		return nil, refusal
	}
	if needsClaim {
		granted, refusal := r.storeClaim(ctx)
		if !granted {
			ticket.Leave()
			r.wake(nil)
			return nil, refusal
		}
	}
	permit, refusal := ticket.Wait(queueContext)
	if refusal == nil && ctx.Err() != nil {
		permit.Release()
		r.wake(permit)
		refusal = r.ended(ctx)
	}
	if refusal != nil {
		span.Fail(refusal.Code().Name())
		if r.claim != nil {
			r.claim.Abandon()
		}
		return nil, refusal
	}
	return permit, nil
}

// ended says why a request that was not dispatched has ended with its context.
func (r *request) ended(ctx context.Context) *result.Refusal {
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		return result.Refuse(CodeTooLate, "the request waited until its deadline", clock.Second)
	case errCut:
		return result.Refuse(CodeStopping, "the entry instance stopped before the request was dispatched", clock.Second)
	}
	return result.Refuse(CodeGone, "the caller closed its connection", 0)
}

// storeClaim stores the claim of the request, or answers or refuses it by what an earlier run left.
func (r *request) storeClaim(ctx context.Context) (granted bool, refusal *result.Refusal) {
	h := r.handler
	r.setStage(&stageClaim)
	ctx, span := h.Tracer.Start(ctx, trace.StageClaim)
	defer span.End()
	decision, err := h.Claims.Claim(ctx, r.demand.caller, r.demand.key, r.fingerprint(), r.due)
	if err != nil {
		span.Fail("claim failed")
		refusal = refusalOf(err)
		if refusal.Code() == CodeClaimFailed && ctx.Err() != nil {
			refusal = r.ended(ctx)
		}
		return false, refusal
	}
	if decision.claim == nil {
		r.replay(decision.answer)
		return false, nil
	}
	r.claim = decision.claim
	r.setStage(&stageQueue)
	return true, nil
}

// fingerprint tells requests that use the same key by mistake apart.
func (r *request) fingerprint() string {
	if !r.body.whole {
		return ""
	}
	sum := sha256.New()
	for _, part := range []string{r.in.Method, r.in.URL.RequestURI()} {
		_, _ = io.WriteString(sum, part+"\n")
	}
	sum.Write(r.body.held.data)
	return hex.EncodeToString(sum.Sum(nil))
}

// replay answers with a recorded answer.
func (r *request) replay(a Recorded) {
	header := r.writer.Header()
	for name, values := range a.Header() {
		header[name] = values
	}
	r.mark(header, CodeRecorded)
	header["Content-Length"] = []string{strconv.Itoa(len(a.Body()))}
	r.writer.WriteHeader(a.Status())
	_, _ = r.writer.Write(a.Body())
	r.handler.counters.recorded.Add(1)
	r.span.SetNumber("result", CodeRecorded.Number())
}

// wake tells the queues that slots may be free; a freed team quota can matter to every pool.
func (r *request) wake(p *Permit) {
	if p == nil || r.team == "" || r.handler.Quota == nil {
		r.route.queue.Wake()
		return
	}
	for _, q := range r.handler.routes.Load().queues {
		q.Wake()
	}
}

// refuse answers with a numbered code, what is known of the run, a retry time and the contact of the pool.
func (r *request) refuse(refusal *result.Refusal) {
	h := r.handler
	if refusal.Contact() == "" {
		contact := h.Contact
		if r.route != nil {
			contact = r.route.pool.Contact()
		}
		refusal = refusal.WithContact(contact)
	}
	code := refusal.Code()
	h.counters.refuse(code)
	r.span.SetNumber("result", code.Number())
	r.span.Fail(code.Name())
	if code.Outcome() == result.Unknown {
		EventUnknown.Log(r.in.Context(), h.Logger, slog.String("request", r.id), slog.Int("code", code.Number()),
			slog.String("detail", refusal.Detail()))
	}
	header := r.writer.Header()
	header[HeaderResult] = []string{strconv.Itoa(code.Number())}
	header[HeaderOutcome] = []string{string(code.Outcome())}
	header[HeaderContact] = []string{refusal.Contact()}
	header["Content-Type"] = []string{"application/json"}
	if after := refusal.RetryAfter(); after > 0 {
		header["Retry-After"] = []string{strconv.FormatInt(int64((after+clock.Second-1)/clock.Second), 10)}
	}
	if r.body.partly() {
		header["Connection"] = []string{"close"} // the rest of the body would be read as the next request
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		body = []byte("{}") // only numbers and strings; cannot fail
	}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	r.writer.WriteHeader(code.Status())
	_, _ = r.writer.Write(body)
}

// mark sets the headers that every answer carries.
func (r *request) mark(header http.Header, code *result.Code) {
	header[HeaderResult] = []string{strconv.Itoa(code.Number())}
	header[HeaderOutcome] = []string{string(code.Outcome())}
	header[HeaderContact] = []string{r.route.pool.Contact()}
}

func (r *request) setStage(stage *string) { r.stage.Store(stage) }

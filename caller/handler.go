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
	// defaultBufferBytes is room for 32 of the largest buffered bodies; if it is used up, bodies are streamed.
	defaultBufferBytes = 32 << 20
	// defaultMaxBody is the largest size of a request body in bytes, buffered or streamed.
	defaultMaxBody = 64 << 20
	// defaultMaxInFlight bounds the number of goroutines and the memory for headers, which is up to 64 KiB for each
	// request in flight.
	defaultMaxInFlight = 4096
	// maxAttempts is the largest number of workers to which one request is sent.
	maxAttempts = 3
)

// HealthPath is the path of the load balancer's health check; no service can have this name.
const HealthPath = "/.magnoliaferry/health"

// Handler serves the requests of callers and the health check of the load balancer.
type Handler struct {
	// Clock measures deadlines.
	Clock *clock.Clock
	// Instance is the id of the entry instance with its incarnation. It is the prefix of request ids.
	Instance string
	// Logger receives the events; nil discards them.
	Logger *slog.Logger
	// Tracer records the spans of a request; nil records none.
	Tracer *trace.Tracer
	// Configuration returns the configuration in force, or nil if none was received yet.
	Configuration func() *config.Configuration
	// Contact is the operator contact in refusals of requests whose pool is not known, such as without a configuration.
	Contact string
	// Queue returns the admission queue of a pool; it returns the same one each time.
	Queue func(pool string) Queue
	// Quota returns the account of "pool/<name>" or "team/<name>". A nil function means no limits.
	Quota func(resource string) routing.Account
	// Claims keeps non-idempotent requests with a key from running twice. If it is nil, such requests are refused.
	Claims Claims
	// Router chooses a worker for each request.
	Router *routing.Router
	// Client sends requests to workers.
	Client *worker.Client
	// Ready reports whether this instance holds slots. While it does not, the health check fails, so that the load
	// balancer sends requests to instances that can run them. A nil function means always.
	Ready func() bool
	// BufferBytes is the largest total size of all buffered bodies; 0 means 32 MiB.
	BufferBytes int64
	// MaxBody is the largest size of a request body in bytes; 0 means 64 MiB.
	MaxBody int64
	// MaxInFlight is the largest number of requests in flight, including those in a queue; 0 means 4096.
	MaxInFlight int

	once     sync.Once
	memory   memoryBudget
	ids      atomic.Uint64
	routes   atomic.Pointer[routes]
	counters counters
	inFlight inFlight
}

// routes is an index of a configuration by service; it is built once for each configuration.
type routes struct {
	configuration *config.Configuration
	services      map[string]*route
	queues        []Queue // of all pools
}

type route struct {
	service config.Service
	pool    config.Pool
	queue   Queue
	budget  *worker.RetryBudget // for retries; shared by the services of the pool
}

func (h *Handler) start() {
	h.inFlight.ended = make(chan struct{})
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

// currentRoutes returns the routes of the configuration in force, or nil without one.
func (h *Handler) currentRoutes() *routes {
	c := h.Configuration()
	if c == nil {
		return nil
	}
	old := h.routes.Load()
	if old != nil && old.configuration == c {
		return old
	}
	budgets := map[string]*worker.RetryBudget{}
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
			continue // cannot happen in a validated configuration
		}
		if budgets[p.Name()] == nil {
			budgets[p.Name()] = &worker.RetryBudget{Clock: h.Clock}
		}
		next.services[s.Name()] = &route{service: s, pool: p, queue: h.Queue(p.Name()), budget: budgets[p.Name()]}
	}
	// If two requests build the routes of a new configuration at once, the first result is stored; they are equal.
	h.routes.CompareAndSwap(old, next)
	return next
}

// request is one request in flight.
type request struct {
	handler      *Handler
	writer       http.ResponseWriter
	in           *http.Request
	route        *route
	params       params
	team         string // "" for none
	id           string
	number       uint64 // counts the requests of the handler; modulo shards it is the index of the shard in inFlight
	started      clock.Millis
	deadlineTime clock.Millis
	claim        Claim   // nil without one
	permit       *Permit // nil before the dispatch and once released
	span         trace.Span
	cancel       context.CancelCauseFunc
	stage        atomic.Pointer[string] // one of the stage variables below
	body         body
}

// The stages of a request in flight, which Cut.Stage returns.
var (
	stageReading  = "reading"
	stageQueue    = "queue"
	stageClaim    = "claim"
	stageDispatch = "dispatch"
	stageAnswer   = "answer"
)

// errCut is the cause with which Stop cancels the requests that it cuts, see Cut.
var errCut = errors.New("caller: the entry instance stops")

// ServeHTTP answers the health checks of the load balancer and the requests of callers.
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

// prepare looks up service, pool and team, checks the headers and sets the id and the deadline of the request.
func (r *request) prepare() *result.Refusal {
	h := r.handler
	active := h.currentRoutes()
	if active == nil {
		return result.Refuse(CodeNoConfiguration, "no configuration was received yet", clock.Second)
	}
	name := strings.TrimPrefix(r.in.URL.Path, "/")
	if i := strings.IndexByte(name, '/'); i >= 0 {
		name = name[:i]
	}
	found, ok := active.services[name]
	if !ok {
		return result.Refuse(CodeNoService, "no service has the name "+strconv.Quote(name), 0)
	}
	r.route = found
	var err error
	if r.params, err = parseParams(r.in.Header, found.service); err != nil {
		return result.Refuse(CodeBadHeader, err.Error(), 0)
	}
	if team, ok := active.configuration.TeamOf(r.params.caller); ok {
		r.team = team.Name()
	}
	if r.in.ContentLength > h.MaxBody {
		return result.Refuse(CodeBodyTooLarge, "the body may have at most "+strconv.FormatInt(h.MaxBody, 10)+" bytes", 0)
	}
	r.deadlineTime = r.started + r.params.deadline
	r.number = h.ids.Add(1)
	var b [64]byte
	id := append(b[:0], h.Instance...)
	r.id = string(strconv.AppendUint(append(id, '-'), r.number, 36))
	r.setStage(&stageReading)
	return nil
}

// serve reads the body, admits and claims the request and dispatches it.
func (r *request) serve() {
	h := r.handler
	idempotent := r.route.service.Idempotent(r.in.Method)
	needsClaim := !idempotent && r.params.key != ""
	base := r.in.Context()
	if needsClaim {
		// A request that has been dispatched continues if its caller disconnects, so that a repeat with the same key gets
		// the answer instead of "unknown". Until then a disconnect cancels waitCtx, see below.
		base = context.WithoutCancel(base)
	}
	base, span := h.Tracer.StartFromHeaders(base, r.in.Header, trace.StageCaller)
	r.span = span
	defer span.End()
	span.SetText("service", r.route.service.Name())
	span.SetText("request", r.id)
	ctx, cancel := withDeadline(base, h.Clock, r.params.deadline)
	r.cancel = cancel
	defer cancel(context.Canceled)
	waitCtx := ctx
	if needsClaim {
		var cancelWait context.CancelCauseFunc
		waitCtx, cancelWait = context.WithCancelCause(ctx)
		defer cancelWait(context.Canceled)
		stop := context.AfterFunc(r.in.Context(), func() { cancelWait(context.Canceled) })
		defer stop()
	}
	if refusal := h.inFlight.add(r, h.MaxInFlight); refusal != nil {
		r.refuse(refusal)
		return
	}
	defer h.inFlight.remove(r)
	if needsClaim && h.Claims == nil {
		r.refuse(result.Refuse(CodeClaimFailed, "this entry instance cannot store claims", clock.Second))
		return
	}
	r.body.init(&h.memory, r.in.Body, r.in.ContentLength, h.MaxBody)
	defer r.body.free()
	if r.in.ContentLength != 0 {
		stop := r.abortBodyReadsAfter(ctx)
		defer stop()
		if refusal := r.body.read(); refusal != nil {
			r.refuse(refusal)
			return
		}
	}
	permit, refusal := r.admit(waitCtx, needsClaim)
	if refusal != nil {
		r.refuse(refusal)
		return
	}
	if permit == nil {
		return // answered with the recorded answer
	}
	r.dispatch(ctx, permit, idempotent)
}

// withDeadline returns a context that ends after d on the clock and that can be cancelled with a cause.
func withDeadline(ctx context.Context, c *clock.Clock, d clock.Millis) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func(cause error) { stop(); cancel(cause) }
}

// abortBodyReadsAfter makes reads of the caller's body fail once ctx has ended; net/http by itself ends them only with the
// connection.
func (r *request) abortBodyReadsAfter(ctx context.Context) (stop func() bool) {
	controller := http.NewResponseController(r.writer)
	return context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
}

// admit waits for a permit; a request with a key is claimed while it waits. If it returns neither a permit nor a refusal,
// the caller has been answered.
func (r *request) admit(ctx context.Context, needsClaim bool) (*Permit, *result.Refusal) {
	h := r.handler
	r.setStage(&stageQueue)
	queueContext, span := h.Tracer.Start(ctx, trace.StageQueue)
	defer span.End()
	ticket, refusal := r.route.queue.Enter(QueueRequest{r.params.caller, r.team, r.params.urgency, r.deadlineTime})
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
		refusal = r.contextRefusal(ctx)
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

// contextRefusal returns the refusal of a request whose context ended before the dispatch.
func (r *request) contextRefusal(ctx context.Context) *result.Refusal {
	switch context.Cause(ctx) {
	case context.DeadlineExceeded:
		return result.Refuse(CodeDeadlineWhileWaiting, "the request waited until its deadline", clock.Second)
	case errCut:
		return result.Refuse(CodeStopping, "the entry instance stopped before the request was dispatched", clock.Second)
	}
	return result.Refuse(CodeCallerGone, "the caller closed its connection", 0)
}

// storeClaim stores the claim of the request and reports whether it may be dispatched. If not, the request was answered
// with the recorded answer of an earlier run or is refused.
func (r *request) storeClaim(ctx context.Context) (granted bool, refusal *result.Refusal) {
	h := r.handler
	r.setStage(&stageClaim)
	ctx, span := h.Tracer.Start(ctx, trace.StageClaim)
	defer span.End()
	decision, err := h.Claims.Claim(ctx, r.params.caller, r.params.key, r.fingerprint(), r.deadlineTime)
	if err != nil {
		span.Fail("claim failed")
		refusal = claimRefusal(err)
		if refusal.Code() == CodeClaimFailed && ctx.Err() != nil {
			refusal = r.contextRefusal(ctx)
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

// fingerprint returns a hash that distinguishes different requests that use the same key by mistake, or "" if the body is
// not complete in memory.
func (r *request) fingerprint() string {
	if !r.body.complete {
		return ""
	}
	sum := sha256.New()
	for _, part := range []string{r.in.Method, r.in.URL.RequestURI()} {
		_, _ = io.WriteString(sum, part+"\n")
	}
	sum.Write(r.body.buffered.data)
	return hex.EncodeToString(sum.Sum(nil))
}

// replay answers the caller with a recorded answer.
func (r *request) replay(a Recorded) {
	header := r.writer.Header()
	for name, values := range a.Header() {
		header[name] = values
	}
	r.setResultHeaders(header, CodeRecorded)
	header["Content-Length"] = []string{strconv.Itoa(len(a.Body()))}
	r.writer.WriteHeader(a.Status())
	_, _ = r.writer.Write(a.Body())
	r.handler.counters.recorded.Add(1)
	r.span.SetNumber("result", CodeRecorded.Number())
}

// wake wakes the queue of the pool because a slot may be free. If a unit of a team's quota may have been released, it
// wakes all queues, because the team may have requests in each.
func (r *request) wake(p *Permit) {
	if p == nil || r.team == "" || r.handler.Quota == nil {
		r.route.queue.Wake()
		return
	}
	for _, q := range r.handler.routes.Load().queues {
		q.Wake()
	}
}

// refuse answers the caller with the number and outcome of a result code, the time after which to retry and the operator
// contact of the pool.
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
		EventOutcomeUnknown.Log(r.in.Context(), h.Logger, slog.String("request", r.id), slog.Int("code", code.Number()),
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
	if r.body.partlyRead() {
		header["Connection"] = []string{"close"} // the rest of the body would be parsed as the next request
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		body = []byte("{}") // cannot happen: a refusal has only numbers and strings
	}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	r.writer.WriteHeader(code.Status())
	_, _ = r.writer.Write(body)
}

// setResultHeaders sets the result, outcome and contact headers, which every answer has.
func (r *request) setResultHeaders(header http.Header, code *result.Code) {
	header[HeaderResult] = []string{strconv.Itoa(code.Number())}
	header[HeaderOutcome] = []string{string(code.Outcome())}
	header[HeaderContact] = []string{r.route.pool.Contact()}
}

func (r *request) setStage(stage *string) { r.stage.Store(stage) }

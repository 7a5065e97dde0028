package trace

import (
	"context"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"magnoliaferry/kernel"
)

// Exporters holds the constructors of span exporters by name, such as "file" and "otlp"; target is a path or a URL.
var Exporters kernel.Registry[func(ctx context.Context, target string) (sdktrace.SpanExporter, error)]

// Hop is one step on the path of a request; each has a span of its own.
type Hop struct {
	name string
	kind oteltrace.SpanKind
}

// Name returns the name of the spans of the hop.
func (h Hop) Name() string { return h.name }

// The hops. StageCaller covers the whole request at the entry instance and HopWorker the work at the worker.
var (
	StageCaller   = Hop{"caller", oteltrace.SpanKindServer}
	StageQueue    = Hop{"queue", oteltrace.SpanKindInternal}
	StageClaim    = Hop{"claim", oteltrace.SpanKindInternal}
	StageDispatch = Hop{"dispatch", oteltrace.SpanKindClient}
	HopWorker     = Hop{"worker", oteltrace.SpanKindServer}
)

// Options chooses the exporter of a Tracer; the zero value is off.
type Options struct {
	Exporter string // name in Exporters; empty for off
	Target   string // path of the file or URL of the collector
	Instance string // id of the process, recorded as service.instance.id
	Percent  int    // share of the traces that start here and are recorded; 0 means all
}

// Tracer starts spans; a nil Tracer is off.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   oteltrace.Tracer
}

var propagator = propagation.TraceContext{}

// New returns a tracer, or nil when the options name no exporter; an unknown exporter is an error.
func New(ctx context.Context, o Options) (*Tracer, error) {
	if o.Exporter == "" {
		return nil, nil
	}
	open, ok := Exporters.Lookup(o.Exporter)
	if !ok {
		return nil, fmt.Errorf("trace exporter %q does not exist; there are %v", o.Exporter, Exporters.Names())
	}
	exporter, err := open(ctx, o.Target)
	if err != nil {
		return nil, fmt.Errorf("trace exporter %q: %w", o.Exporter, err)
	}
	sampler := sdktrace.AlwaysSample()
	if o.Percent > 0 && o.Percent < 100 {
		sampler = sdktrace.TraceIDRatioBased(float64(o.Percent) / 100)
	}
	return newTracer(o.Instance, sdktrace.WithBatcher(exporter), sdktrace.WithSampler(sdktrace.ParentBased(sampler))), nil
}

func newTracer(instance string, options ...sdktrace.TracerProviderOption) *Tracer {
	described := resource.NewSchemaless(attribute.String("service.name", "magnoliaferry"),
		attribute.String("service.instance.id", instance))
	provider := sdktrace.NewTracerProvider(append(options, sdktrace.WithResource(described))...)
	return &Tracer{provider: provider, tracer: provider.Tracer("magnoliaferry")}
}

// Name returns the name of the module.
func (t *Tracer) Name() string { return "trace" }

// Run waits for the end of the context and then writes the spans that are still buffered.
func (t *Tracer) Run(ctx context.Context) error {
	<-ctx.Done()
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(context.WithoutCancel(ctx))
}

// OpenTelemetry returns the tracer for code that takes one of OpenTelemetry, or nil when it is off.
func (t *Tracer) OpenTelemetry() oteltrace.Tracer {
	if t == nil {
		return nil
	}
	return t.tracer
}

// Start begins the span of a hop as a child of the span in ctx.
func (t *Tracer) Start(ctx context.Context, hop Hop) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, hop.name, oteltrace.WithSpanKind(hop.kind))
	return ctx, Span{span}
}

// StartFromHeaders begins the span of a hop whose parent is named by the traceparent header.
func (t *Tracer) StartFromHeaders(ctx context.Context, header http.Header, hop Hop) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.Start(propagator.Extract(ctx, propagation.HeaderCarrier(header)), hop)
}

// InjectHeaders sets traceparent and tracestate to the span in ctx; a tracer that is off leaves the headers as they are.
func (t *Tracer) InjectHeaders(ctx context.Context, header http.Header) {
	if t != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// Handler wraps the handler of the far end of a hop, such as a stand-in worker, in a span.
func (t *Tracer) Handler(hop Hop, next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.StartFromHeaders(r.Context(), r.Header, hop)
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Span is the record of one hop; the zero value records nothing.
type Span struct{ span oteltrace.Span }

// SetText adds a text attribute.
func (s Span) SetText(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// SetNumber adds a numeric attribute.
func (s Span) SetNumber(name string, value int) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int(name, value))
	}
}

// Fail marks the hop as failed.
func (s Span) Fail(reason string) {
	if s.span != nil {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End closes the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

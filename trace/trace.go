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

// Stage is one step in the processing of a request, such as the wait in the queue; a span is recorded for each stage.
type Stage struct {
	name string
	kind oteltrace.SpanKind
}

// Name returns the name of the spans of the stage.
func (s Stage) Name() string { return s.name }

// The stages. StageCaller covers the whole request at the entry instance, StageQueue the wait for a slot, StageClaim the claim
// that prevents a second run of a request key, StageDispatch the call to the worker, and StageWorker the execution by the worker.
var (
	StageCaller   = Stage{"caller", oteltrace.SpanKindServer}
	StageQueue    = Stage{"queue", oteltrace.SpanKindInternal}
	StageClaim    = Stage{"claim", oteltrace.SpanKindInternal}
	StageDispatch = Stage{"dispatch", oteltrace.SpanKindClient}
	StageWorker   = Stage{"worker", oteltrace.SpanKindServer}
)

// Options configures a Tracer; the zero value disables tracing.
type Options struct {
	Exporter string // name in Exporters; empty disables tracing
	Target   string // path of the file or URL of the collector
	Instance string // id of the process, recorded as service.instance.id
	Percent  int    // percentage to record of the traces that start here; 0 means all
}

// Tracer starts spans; a nil Tracer records nothing.
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
		return nil, fmt.Errorf("unknown trace exporter %q; the exporters are %v", o.Exporter, Exporters.Names())
	}
	exporter, err := open(ctx, o.Target)
	if err != nil {
		return nil, fmt.Errorf("cannot open trace exporter %q: %w", o.Exporter, err)
	}
	sampler := sdktrace.AlwaysSample()
	if o.Percent > 0 && o.Percent < 100 {
		sampler = sdktrace.TraceIDRatioBased(float64(o.Percent) / 100)
	}
	return newTracer(o.Instance, sdktrace.WithBatcher(exporter), sdktrace.WithSampler(sdktrace.ParentBased(sampler))), nil
}

func newTracer(instance string, options ...sdktrace.TracerProviderOption) *Tracer {
	instanceResource := resource.NewSchemaless(attribute.String("service.name", "magnoliaferry"),
		attribute.String("service.instance.id", instance))
	provider := sdktrace.NewTracerProvider(append(options, sdktrace.WithResource(instanceResource))...)
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

// OpenTelemetry returns the underlying OpenTelemetry tracer, or nil for a nil Tracer.
func (t *Tracer) OpenTelemetry() oteltrace.Tracer {
	if t == nil {
		return nil
	}
	return t.tracer
}

// Start starts the span of a stage as a child of the span in ctx.
func (t *Tracer) Start(ctx context.Context, stage Stage) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, stage.name, oteltrace.WithSpanKind(stage.kind))
	return ctx, Span{span}
}

// StartFromHeaders starts the span of a stage as a child of the span in the traceparent header.
func (t *Tracer) StartFromHeaders(ctx context.Context, header http.Header, stage Stage) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	return t.Start(propagator.Extract(ctx, propagation.HeaderCarrier(header)), stage)
}

// InjectHeaders sets the headers traceparent and tracestate to the span in ctx; a nil Tracer leaves them unchanged.
func (t *Tracer) InjectHeaders(ctx context.Context, header http.Header) {
	if t != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// Handler returns a handler that calls next and records each request as a span of the stage. The parent of the span is
// read from the request headers.
func (t *Tracer) Handler(stage Stage, next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.StartFromHeaders(r.Context(), r.Header, stage)
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Span is the span of one stage of a request; the zero value records nothing.
type Span struct{ span oteltrace.Span }

// SetText sets a text attribute.
func (s Span) SetText(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// SetNumber sets a numeric attribute.
func (s Span) SetNumber(name string, value int) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int(name, value))
	}
}

// Fail sets the status of the span to error, with the reason as its description.
func (s Span) Fail(reason string) {
	if s.span != nil {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// Package trace sets up OpenTelemetry with W3C trace context and records a span for each stage of a request. Exporters
// are plug-ins. A nil Tracer records nothing, passes the caller's traceparent on unchanged and allocates nothing.
package trace

// Package trace sets up OpenTelemetry with W3C trace context and gives each hop of a request its span. Exporters are
// plug-ins. A Tracer that is off hands the caller's traceparent on unchanged and allocates nothing.
package trace

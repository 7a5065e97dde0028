package trace

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

func init() {
	Exporters.Register("file", openFile)
	Exporters.Register("otlp", openOTLP)
}

// fileExporter writes one JSON object per line and closes the file on Shutdown.
type fileExporter struct {
	sdktrace.SpanExporter
	file *os.File
}

func openFile(_ context.Context, path string) (sdktrace.SpanExporter, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, err
	}
	return fileExporter{exporter, file}, nil
}

// Shutdown writes the remaining spans and closes the file.
func (e fileExporter) Shutdown(ctx context.Context) error {
	if err := e.SpanExporter.Shutdown(ctx); err != nil {
		e.file.Close()
		return err
	}
	return e.file.Close()
}

func openOTLP(ctx context.Context, url string) (sdktrace.SpanExporter, error) {
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
}

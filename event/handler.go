package event

import (
	"context"
	"log/slog"
)

// Handler returns a handler for libraries that log text: each record becomes the event, with the text in the attribute
// detail. A nil logger drops the records.
func Handler(logger *slog.Logger, e *Event) slog.Handler { return handler{logger, e} }

type handler struct {
	logger *slog.Logger
	event  *Event
}

// Enabled implements slog.Handler.
func (h handler) Enabled(ctx context.Context, _ slog.Level) bool {
	return h.logger != nil && h.logger.Enabled(ctx, h.event.level)
}

// Handle implements slog.Handler.
func (h handler) Handle(ctx context.Context, r slog.Record) error {
	h.event.Log(ctx, h.logger, slog.String("detail", r.Message))
	return nil
}

// WithAttrs implements slog.Handler; libraries that log text have no attributes.
func (h handler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup implements slog.Handler.
func (h handler) WithGroup(string) slog.Handler { return h }

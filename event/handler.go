package event

import (
	"context"
	"log/slog"
)

// Handler returns a slog.Handler for libraries that log plain text: each record is logged as the event e, with its
// message in the attribute detail. With a nil logger nothing is logged.
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

// WithAttrs implements slog.Handler; it ignores the attributes, which libraries that log plain text do not set.
func (h handler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup implements slog.Handler; it ignores the group.
func (h handler) WithGroup(string) slog.Handler { return h }

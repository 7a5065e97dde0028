// Package event defines numbered log events on top of log/slog; docs/log-events.md lists them all.
package event

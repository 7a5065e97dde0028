// Package event defines numbered log events over log/slog; docs/log-events.md is their catalogue.
package event

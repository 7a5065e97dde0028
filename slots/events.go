package slots

import (
	"expvar"
	"log/slog"

	"magnoliaferry/event"
)

var (
	eventSuspended = event.New(2400, "membership-unconfirmed", slog.LevelWarn,
		"after a pause of this instance, neither the table nor an unsuspended peer confirmed its membership in the roster; no requests are dispatched")
	eventResumed = event.New(2401, "membership-confirmed", slog.LevelInfo,
		"the membership was confirmed after a pause; requests are dispatched again")
	eventLost = event.New(2402, "membership-lost", slog.LevelWarn,
		"the instance is no longer an active member in the roster of its zone")
)

// The counters under "slots" in expvar. Each counts slots since the start of the process.
var (
	metrics       = expvar.NewMap("slots")
	countLent     = counter("lent")
	countBorrowed = counter("borrowed")
)

func counter(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}

package admission

import "expvar"

// Counters under "admission" in expvar since the start of the process. Requests that get a slot without waiting are not
// counted, because a shared counter would slow them down.
var (
	metrics         = expvar.NewMap("admission")
	countQueued     = counter("queued")
	countDispatched = counter("dispatched-from-queue")
	countDisplaced  = counter("displaced")
	countExpired    = counter("expired-in-queue")
	countFull       = counter("refused-queue-full")
	countTooLong    = counter("refused-wait-too-long")
)

func counter(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}

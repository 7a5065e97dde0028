package admission

import "expvar"

// The counters under "admission" in expvar, each since the start of the process. Requests that find a free slot without
// waiting are not counted here, because a shared counter would slow them down.
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

package routing

import (
	"sync/atomic"
	"time"

	"magnoliaferry/clock"
)

// Account holds the slots that this entry instance may use on one worker.
type Account interface {
	TryAcquire(deadline clock.Millis) bool
	Release()
	Free() int
}

// Worker is one worker as this entry instance sees it; it survives swaps of the snapshot.
type Worker struct {
	id      string
	address string
	zone    string
	account Account

	leaving      atomic.Bool  // said so itself, or the list did
	ejected      atomic.Bool  // receives at most one trial request at a time
	trialAllowed atomic.Bool  // an ejected worker may get one request
	failures     atomic.Int64 // in a row
	inFlight     atomic.Int64
	latency      atomic.Int64 // smoothed, in units of latencyUnit milliseconds
	rtt          atomic.Int64 // smoothed, in nanoseconds

	// Guarded by Router.mu.
	listedLeaving bool
	backoff       clock.Millis
	stopTimer     func() bool
}

// latencyScale keeps the fraction of a millisecond that the smoothing needs.
const latencyScale = 1024

// smoothingDivisor is the share (1/8) of a new value in a smoothed one, as in the round-trip estimate of RFC 6298.
const smoothingDivisor = 8

// ID returns the instance id.
func (w *Worker) ID() string { return w.id }

// Address returns the host and port.
func (w *Worker) Address() string { return w.address }

// Zone returns the availability zone.
func (w *Worker) Zone() string { return w.zone }

// Leaving reports whether the worker receives no new work because it is leaving.
func (w *Worker) Leaving() bool { return w.leaving.Load() }

// Ejected reports whether the worker is taken out because of failures.
func (w *Worker) Ejected() bool { return w.ejected.Load() }

// Failures returns the number of failures in a row.
func (w *Worker) Failures() int { return int(w.failures.Load()) }

// InFlight returns the number of requests of this entry instance on the worker.
func (w *Worker) InFlight() int { return int(w.inFlight.Load()) }

// Held returns the number of slots that this entry instance holds on the worker, used or free.
func (w *Worker) Held() int { return w.InFlight() + max(w.account.Free(), 0) }

// Latency returns the smoothed latency of recent answers in milliseconds, 0 before the first one.
func (w *Worker) Latency() float64 { return float64(w.latency.Load()) / latencyScale }

// RTT returns the smoothed round-trip time, 0 before the first measurement.
func (w *Worker) RTT() time.Duration { return time.Duration(w.rtt.Load()) }

// ObserveRTT records one measured round trip, for example the time that a connection took to open.
func (w *Worker) ObserveRTT(rtt time.Duration) {
	old := w.rtt.Load()
	if old == 0 {
		w.rtt.Store(int64(rtt))
		return
	}
	// A lost update only delays the smoothing.
	w.rtt.Store(old + (int64(rtt)-old)/smoothingDivisor)
}

func (w *Worker) observeLatency(latency clock.Millis) {
	sample := max(int64(latency), 1) * latencyScale
	old := w.latency.Load()
	if old == 0 {
		w.latency.Store(sample)
		return
	}
	w.latency.Store(old + (sample-old)/smoothingDivisor)
}

// usable reports whether a policy may choose the worker.
func (w *Worker) usable() bool { return !w.leaving.Load() && !w.ejected.Load() }

// available reports whether a policy may choose the worker and could get a slot there. A policy that chose by load alone
// would choose the workers of other zones first, on which this instance has nothing in use and no slot either.
func (w *Worker) available() bool { return w.usable() && w.account.Free() > 0 }

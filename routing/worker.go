package routing

import (
	"sync/atomic"
	"time"

	"magnoliaferry/clock"
)

// Account counts the slots that this entry instance may use on one worker. TryAcquire takes one until the deadline, or
// returns false when none is free, which may count as a shortage of slots. Release gives a slot back, and Free returns
// the number of free ones. The methods are called concurrently.
type Account interface {
	TryAcquire(deadline clock.Millis) bool
	Release()
	Free() int
}

// Worker is the state of one worker in this entry instance. It is kept when the snapshot is replaced.
type Worker struct {
	id      string
	address string
	zone    string
	account Account

	leaving      atomic.Bool  // announced by the worker, or listed by Update
	ejected      atomic.Bool  // failed repeatedly; gets at most one trial request at a time
	trialAllowed atomic.Bool  // the ejected worker may get its trial request now
	failures     atomic.Int64 // in a row
	inFlight     atomic.Int64
	latency      atomic.Int64 // smoothed, in units of 1/latencyScale milliseconds; 0 before the first answer
	rtt          atomic.Int64 // smoothed, in nanoseconds; 0 before the first measurement

	// Guarded by Router.mu.
	listedLeaving bool         // listed as leaving by the last Update
	backoff       clock.Millis // time to the next probe or trial request
	stopTimer     func() bool  // stops the timer of the backoff; nil without one
}

// latencyScale is the number of stored units in a millisecond; smoothing needs fractions of a millisecond.
const latencyScale = 1024

// smoothingDivisor gives a new value the weight 1/8 in a smoothed one, as in the round-trip estimate of RFC 6298.
const smoothingDivisor = 8

// ID returns the instance id.
func (w *Worker) ID() string { return w.id }

// Address returns the host and port.
func (w *Worker) Address() string { return w.address }

// Zone returns the availability zone.
func (w *Worker) Zone() string { return w.zone }

// Leaving reports whether the worker receives no new work because it is leaving.
func (w *Worker) Leaving() bool { return w.leaving.Load() }

// Ejected reports whether the worker is ejected because of failures.
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

// ObserveRTT records the duration of one round trip, for example that of opening a connection.
func (w *Worker) ObserveRTT(rtt time.Duration) {
	old := w.rtt.Load()
	if old == 0 {
		w.rtt.Store(int64(rtt))
		return
	}
	// Load and Store are not atomic together; a lost update only delays the smoothing.
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

// usable reports whether the worker is neither leaving nor ejected.
func (w *Worker) usable() bool { return !w.leaving.Load() && !w.ejected.Load() }

// available reports whether the worker is usable and has a free slot for this instance. Without the check of slots, a
// policy that chooses by load would prefer workers of other zones, on which this instance has no requests but no slots
// either.
func (w *Worker) available() bool { return w.usable() && w.account.Free() > 0 }

package routing

import (
	"context"
	"log/slog"
	"sync/atomic"

	"magnoliaferry/clock"
)

// Outcome is the result of a request as far as it concerns the health of its worker.
type Outcome int

// The outcomes. Neutral is for requests that give no information about the worker, such as those whose caller left.
const (
	Neutral Outcome = iota
	Answered
	Failed
)

// Grant is a slot on a worker for one request.
type Grant struct {
	router   *Router
	worker   *Worker
	trial    bool // the request is the trial request of an ejected worker
	released atomic.Bool
}

// Worker returns the worker that runs the request.
func (g *Grant) Worker() *Worker { return g.worker }

// Release releases the slot and records the outcome and, for Answered, the latency. A second call has no effect.
func (g *Grant) Release(outcome Outcome, latency clock.Millis) {
	if g.released.Swap(true) {
		return
	}
	w := g.worker
	w.inFlight.Add(-1)
	w.account.Release()
	switch outcome {
	case Answered:
		w.observeLatency(latency)
		// While a worker is ejected, only the answer to its trial request counts; other requests started before the
		// ejection.
		if w.failures.Load() != 0 && (g.trial || !w.ejected.Load()) {
			w.failures.Store(0)
			g.router.recover(w, g.trial)
		}
	case Failed:
		if w.failures.Add(1) >= failuresToEject {
			g.router.handleFailures(w, g.trial)
		}
	case Neutral:
		if g.trial && w.ejected.Load() {
			g.router.setTrialAllowed(w, true)
		}
	}
}

// MarkLeaving stops new work for a worker that has announced in an answer that it is leaving.
func (r *Router) MarkLeaving(w *Worker) {
	if w.leaving.Swap(true) {
		return
	}
	r.logWorker(EventLeaving, w)
	r.mu.Lock()
	if p := r.snapshot.Load().poolByWorker[w]; p != nil {
		r.restoreCapacity(p)
	}
	r.mu.Unlock()
	if r.Probe != nil {
		r.Clock.AfterFunc(maxProbeDelay, func() { go r.recheckLeaving(w) })
	}
}

// recheckLeaving probes a worker that MarkLeaving marked and puts it back into use when the probe succeeds without
// reporting that the worker is leaving. This covers a worker that restarts before Update ever lists it as leaving.
// Otherwise the probe is repeated after maxProbeDelay.
func (r *Router) recheckLeaving(w *Worker) {
	leaving, err := r.Probe(context.Background(), w)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workers[w.id] != w || w.listedLeaving || !w.leaving.Load() {
		return
	}
	if err == nil && !leaving {
		w.leaving.Store(false)
		return
	}
	r.Clock.AfterFunc(maxProbeDelay, func() { go r.recheckLeaving(w) })
}

// handleFailures handles a worker with failuresToEject failures in a row. It ejects the worker, unless it is the only
// one, the pool would fall below its capacity (the number of workers that must stay in use), or most workers of the pool
// fail; in the last case all ejections of the pool end. A failed trial request doubles the backoff.
func (r *Router) handleFailures(w *Worker, trial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.snapshot.Load()
	p := s.poolByWorker[w]
	if p == nil {
		return
	}
	if w.ejected.Load() {
		if trial {
			w.backoff = min(2*w.backoff, maxProbeDelay)
			r.scheduleTrial(w)
		}
		return
	}
	present, failing, ejected := 0, 0, 0
	for _, o := range p.workers {
		if o.leaving.Load() {
			continue
		}
		present++
		if o.failures.Load() >= failuresToEject {
			failing++
		}
		if o.ejected.Load() {
			ejected++
		}
	}
	if 2*failing > present && present > 1 {
		if !p.failing.Swap(true) {
			EventPoolFailing.Log(context.Background(), r.Logger, slog.String("pool", p.name), slog.Int("workers", present))
		}
		for _, o := range p.workers {
			r.endEjection(o)
		}
		return
	}
	if present-ejected-1 < p.capacity || present == 1 {
		return
	}
	w.ejected.Store(true)
	w.backoff = minProbeDelay
	r.scheduleTrial(w)
	r.logWorker(EventEjected, w)
}

// recover handles the first answer of a worker after failures. If it answered its trial request, its ejection ends. With or
// without a trial, the failing state of the pool ends when at most half of its workers fail.
func (r *Router) recover(w *Worker, trial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if trial && w.ejected.Load() {
		r.endEjection(w)
		r.logWorker(EventReturned, w)
	}
	p := r.snapshot.Load().poolByWorker[w]
	if p == nil || !p.failing.Load() {
		return
	}
	failing := 0
	for _, o := range p.workers {
		if o.failures.Load() >= failuresToEject {
			failing++
		}
	}
	if 2*failing <= len(p.workers) {
		p.failing.Store(false)
		EventPoolRecovered.Log(context.Background(), r.Logger, slog.String("pool", p.name))
	}
}

// endEjection puts an ejected worker back into use and stops its pending probe or trial request. It needs r.mu.
func (r *Router) endEjection(w *Worker) {
	r.setTrialAllowed(w, false)
	w.ejected.Store(false)
	if w.stopTimer != nil {
		w.stopTimer()
		w.stopTimer = nil
	}
}

// scheduleTrial allows a trial request after the backoff. With a Probe, the worker must answer the probe first.
func (r *Router) scheduleTrial(w *Worker) {
	w.stopTimer = r.Clock.AfterFunc(w.backoff, func() {
		if r.Probe == nil {
			r.setTrialAllowed(w, true)
			return
		}
		go r.probeEjected(w)
	})
}

// probeEjected allows a trial request if the worker answers the probe, and otherwise doubles the backoff.
func (r *Router) probeEjected(w *Worker) {
	_, err := r.Probe(context.Background(), w)
	if err == nil {
		r.setTrialAllowed(w, true)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.ejected.Load() && r.workers[w.id] == w {
		w.backoff = min(2*w.backoff, maxProbeDelay)
		r.scheduleTrial(w)
	}
}

func (r *Router) logWorker(e interface {
	Log(context.Context, *slog.Logger, ...slog.Attr)
}, w *Worker) {
	e.Log(context.Background(), r.Logger, slog.String("worker", w.id), slog.String("zone", w.zone))
}

package routing

import (
	"encoding/json"
	"expvar"
	"sort"

	"magnoliaferry/clock"
)

// Health is the state of one worker as seen by this entry instance, for its peers and for operators.
type Health struct {
	worker   string
	pool     string
	leaving  bool
	ejected  bool
	failures int
	inFlight int
	latency  clock.Millis
	rttNanos int64
}

// Worker returns the instance id.
func (h Health) Worker() string { return h.worker }

// Pool returns the name of the pool.
func (h Health) Pool() string { return h.pool }

// Leaving reports whether the worker receives no new work because it is leaving.
func (h Health) Leaving() bool { return h.leaving }

// Ejected reports whether the worker is ejected because of failures.
func (h Health) Ejected() bool { return h.ejected }

// Failures returns the number of failures in a row.
func (h Health) Failures() int { return h.failures }

// InFlight returns the number of requests of this entry instance on the worker.
func (h Health) InFlight() int { return h.inFlight }

// Latency returns the smoothed latency of recent answers in milliseconds, rounded down.
func (h Health) Latency() clock.Millis { return h.latency }

// MarshalJSON encodes the health as an object with kebab-case names.
func (h Health) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Worker   string       `json:"worker"`
		Pool     string       `json:"pool"`
		Leaving  bool         `json:"leaving"`
		Ejected  bool         `json:"ejected"`
		Failures int          `json:"failures"`
		InFlight int          `json:"in-flight"`
		Latency  clock.Millis `json:"latency-ms"`
		RTTMicro int64        `json:"rtt-us"`
	}{h.worker, h.pool, h.leaving, h.ejected, h.failures, h.inFlight, h.latency, h.rttNanos / 1000})
}

// Health returns the health of every worker, sorted by id.
func (r *Router) Health() []Health {
	s := r.snapshot.Load()
	if s == nil {
		return nil
	}
	all := make([]Health, 0, len(s.poolByWorker))
	for w, p := range s.poolByWorker {
		all = append(all, Health{worker: w.id, pool: p.name, leaving: w.Leaving(), ejected: w.Ejected(), failures: w.Failures(),
			inFlight: w.InFlight(), latency: clock.Millis(w.Latency()), rttNanos: w.rtt.Load()})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].worker < all[j].worker })
	return all
}

// Vars returns the gauges for expvar.Publish: for each pool the numbers of serving, ejected and leaving workers.
func (r *Router) Vars() expvar.Var {
	return expvar.Func(func() any {
		type counts struct {
			Serving int `json:"serving"`
			Ejected int `json:"ejected"`
			Leaving int `json:"leaving"`
		}
		pools := map[string]*counts{}
		for _, h := range r.Health() {
			c := pools[h.pool]
			if c == nil {
				c = &counts{}
				pools[h.pool] = c
			}
			switch {
			case h.leaving:
				c.Leaving++
			case h.ejected:
				c.Ejected++
			default:
				c.Serving++
			}
		}
		return pools
	})
}

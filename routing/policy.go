package routing

import (
	"math"
	"sync/atomic"
	"time"

	"magnoliaferry/kernel"
)

// Policy chooses a worker of a pool. Pick is called by many goroutines at once and must not lock. It returns nil when no
// worker is available. The router checks that the worker still has a free slot and otherwise calls Pick again.
type Policy interface {
	Pick(p *Pool) *Worker
}

// Policies holds the constructors of the policies by name. Each pool has a policy value of its own.
var Policies kernel.Registry[func() Policy]

func init() {
	Policies.Register("round-robin", func() Policy { return &roundRobin{} })
	Policies.Register("random", func() Policy { return random{} })
	Policies.Register("two-choices", func() Policy { return twoChoices{} })
	Policies.Register("least-used", func() Policy { return &leastUsed{} })
	Policies.Register("least-used-distance", func() Policy { return &leastUsed{byDistance: true} })
	Policies.Register("weighted", func() Policy { return Weighted{Choices: weightedChoices} })
}

func newPolicy(name string) Policy {
	constructor, ok := Policies.Lookup(name)
	if !ok {
		constructor, _ = Policies.Lookup(defaultPolicy)
	}
	return constructor()
}

// roundRobin chooses the workers in turn.
type roundRobin struct{ cursor atomic.Uint64 }

func (r *roundRobin) Pick(p *Pool) *Worker {
	n := uint64(len(p.workers))
	start := r.cursor.Add(1) - 1
	for i := range n {
		if w := p.workers[(start+i)%n]; w.available() {
			return w
		}
	}
	return nil
}

// random chooses each worker with the same probability.
type random struct{}

func (random) Pick(p *Pool) *Worker { return randomAvailable(p) }

// randomAvailable draws a worker at random. If that one is not available, it returns the next available one in order.
func randomAvailable(p *Pool) *Worker {
	n := len(p.workers)
	start := p.Random(n)
	for i := range n {
		if w := p.workers[(start+i)%n]; w.available() {
			return w
		}
	}
	return nil
}

// twoChoices draws two workers at random and chooses the one with fewer requests (Mitzenmacher, 2001).
type twoChoices struct{}

func (twoChoices) Pick(p *Pool) *Worker {
	a, b := randomAvailable(p), randomAvailable(p)
	if a != nil && b.InFlight() < a.InFlight() {
		return b
	}
	return a
}

// leastUsed chooses the worker with the fewest requests; equal ones are chosen in turn. With byDistance it chooses the
// nearest of these, where distances that round to the same step are equal.
type leastUsed struct {
	byDistance bool
	cursor     atomic.Uint64
}

func (l *leastUsed) Pick(p *Pool) *Worker {
	n := uint64(len(p.workers))
	start := l.cursor.Load()
	var best *Worker
	var bestUsed int64
	var bestDistance time.Duration
	var bestIndex uint64
	// The search starts after the worker chosen last, so that equal ones are chosen in turn.
	for i := range n {
		index := (start + i) % n
		w := p.workers[index]
		if !w.available() {
			continue
		}
		used, dist := w.inFlight.Load(), time.Duration(0)
		if l.byDistance {
			dist = distance(w.RTT())
		}
		if best == nil || used < bestUsed || (used == bestUsed && dist < bestDistance) {
			best, bestUsed, bestDistance, bestIndex = w, used, dist, index
		}
	}
	l.cursor.Store(bestIndex + 1)
	return best
}

// distanceStep is the step to which distances are rounded, so that workers at similar distances count as equally near.
const distanceStep = time.Millisecond

// distance returns half the round-trip time, rounded to steps: step x round((RTT/2)/step).
func distance(rtt time.Duration) time.Duration {
	return distanceStep * time.Duration(math.Round(float64(rtt/2)/float64(distanceStep)))
}

// Weighted is the policy "weighted": it draws workers at random and chooses the one with the lowest score. Benchmarks
// omit terms of the score to measure the effect of each.
type Weighted struct {
	Choices    int  // number of workers drawn
	NoLoad     bool // omit the load
	NoLatency  bool // omit the latency
	NoFailures bool // omit the failures
}

// weightedChoices is the number of workers drawn for a request. It is small because each one costs a random number and a
// score, whatever the size of the pool.
const weightedChoices = 3

// Pick implements Policy.
func (o Weighted) Pick(p *Pool) *Worker {
	best := randomAvailable(p)
	if best == nil {
		return nil
	}
	lowest := o.score(best)
	for range min(o.Choices, len(p.workers)) - 1 {
		w := randomAvailable(p)
		if w == nil || w == best {
			continue
		}
		if s := o.score(w); s < lowest {
			best, lowest = w, s
		}
	}
	return best
}

// score estimates in milliseconds how long a new request takes on w; lower is better. It is the product of
//   - load: the requests on the worker including the new one, divided by the slots held there, so that a worker with more
//     slots gets more requests,
//   - time: the recent latency, which includes the network distance, plus 1 ms. The latency is 0 before the first answer,
//     so that a new worker is tried early,
//   - failures: one failure doubles the score, two triple it, so that a failing worker gets less work before ejection.
//
// For example, a worker with 1 of 4 slots in use, 20 ms and no failures has 2/4 x 21 = 10.5 and is preferred to one with
// 0 of 2 slots in use and 40 ms, which has 1/2 x 41 = 20.5.
func (o Weighted) score(w *Worker) float64 {
	score := 1.0
	if !o.NoLatency {
		score += w.Latency()
	}
	if !o.NoLoad {
		used := w.InFlight()
		held := used + max(w.account.Free(), 0)
		score *= float64(used+1) / float64(max(held, 1))
	}
	if !o.NoFailures {
		score *= float64(1 + w.Failures())
	}
	return score
}

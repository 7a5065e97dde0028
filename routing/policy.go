package routing

import (
	"math"
	"sync/atomic"
	"time"

	"magnoliaferry/kernel"
)

// Policy chooses a worker of a pool; Pick is called by many goroutines at once and must not lock. It returns nil when
// it finds none; the router checks that the worker still has a free slot and asks again.
type Policy interface {
	Pick(p *Pool) *Worker
}

// Policies holds the constructors of the policies by name; each pool gets an instance of its own.
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

// roundRobin takes the workers in turn.
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

// random takes any worker with the same probability.
type random struct{}

func (random) Pick(p *Pool) *Worker { return randomAvailable(p) }

// randomAvailable draws a worker; where it meets one that is out, the next ones in order take its share.
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

// twoChoices draws two workers and takes the one with fewer requests (Mitzenmacher, 2001).
type twoChoices struct{}

func (twoChoices) Pick(p *Pool) *Worker {
	a, b := randomAvailable(p), randomAvailable(p)
	if a != nil && b.InFlight() < a.InFlight() {
		return b
	}
	return a
}

// leastUsed takes the worker with the fewest requests; equal ones take turns. With byDistance the nearest of these is
// taken, where distances that round to the same step are equal.
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
	// The search begins after the worker chosen last, so that the first of equal ones is the one whose turn it is.
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

// distanceStep is how far apart two workers must be to count as near and far.
const distanceStep = time.Millisecond

// distance is half the round-trip time, rounded to steps: step x round((RTT/2)/step).
func distance(rtt time.Duration) time.Duration {
	return distanceStep * time.Duration(math.Round(float64(rtt/2)/float64(distanceStep)))
}

// Weighted is the policy "weighted": it draws some workers and takes the one with the lowest expected time to an
// answer. Measurements leave terms of the score out to see what each is worth.
type Weighted struct {
	Choices    int
	NoLoad     bool
	NoLatency  bool
	NoFailures bool
}

// weightedChoices is small because each choice costs one random number and one score, whatever the size of the pool.
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
//   - load: the requests there with this one, per slot held, so that a worker with a larger share gets more,
//   - time: recent latency, which contains the distance; a worker without answers yet has none and is tried early,
//   - failures: one failure doubles the score, two triple it, so that a failing worker loses work before ejection.
//
// For example a worker with 1 of 4 slots in use, 20 ms and no failure has 2/4 x 20 = 10 and comes before one with
// 0 of 2 slots in use and 40 ms, which has 1/2 x 40 = 20.
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

package measure

import (
	"math"
	"math/rand/v2"

	"magnoliaferry/clock"
	"magnoliaferry/routing"
)

// Sizes of both users, design section 1.2.
const (
	entryCount     = 9
	slotsPerWorker = 8
	rackSize       = 4
	callerDistance = 3 * clock.Millis(1) // one way
)

// poolSizes are 8 to 12 workers each and 50 in all.
var poolSizes = []int{10, 8, 12, 9, 11}

// deployment is one of the two set-ups.
type deployment struct {
	name           string
	zones          int
	rtt            clock.Millis // between two zones
	unequalWeights bool         // the balancer sends the first entry instance of each zone three times as much
	poolNames      []string
}

var deployments = []deployment{
	{name: "kervan", zones: 3, rtt: 2, poolNames: []string{"citation", "policy", "media", "dossier", "support"}},
	{name: "lone-star", zones: 4, rtt: 3, poolNames: []string{"deposits", "crates", "refunds", "routes", "portal"}},
}

// condition is the state of a fake worker.
type condition int

const (
	works condition = iota
	fails           // answers every request with an error after a short time
	lost            // refuses connections and breaks the open ones
)

// failTime is how long a failing worker takes; it is short, because a worker that fails fast attracts work.
const failTime = 5 * clock.Millis(1)

// fakeWorker is a machine with slots, a distribution of service times and faults.
type fakeWorker struct {
	id, zone string
	rack     int
	state    condition
	slowness float64
	running  int
	attempts map[*attempt]bool // those that run, for a loss
}

// serviceTime draws from a log-normal distribution with a mean of 200 ms and a 99th percentile near 700 ms; with 8
// slots a worker serves 40 requests a second.
func (w *fakeWorker) serviceTime(random *rand.Rand) clock.Millis {
	const mean, sigma = 200, 0.6
	mu := math.Log(mean) - sigma*sigma/2
	t := math.Exp(mu+sigma*random.NormFloat64()) * w.slowness
	// A worker with more requests than slots shares its processors between them.
	t *= max(1, float64(w.running)/slotsPerWorker)
	return max(1, clock.Millis(t))
}

// meanRate is what a worker serves in a second.
const meanRate = slotsPerWorker * 1000 / 200

// equalAccount is the baseline of equal shares without loans: the 8 slots are split over all entry instances, so one of
// 9 has none.
type equalAccount struct{ limit, used int }

// TryAcquire implements routing.Account.
func (a *equalAccount) TryAcquire(clock.Millis) bool {
	if a.used >= a.limit {
		return false
	}
	a.used++
	return true
}

// Release implements routing.Account.
func (a *equalAccount) Release() { a.used-- }

// Free implements routing.Account.
func (a *equalAccount) Free() int { return a.limit - a.used }

// unlimitedAccount is the baseline without any limit.
type unlimitedAccount struct{ used int }

// TryAcquire implements routing.Account.
func (a *unlimitedAccount) TryAcquire(clock.Millis) bool { a.used++; return true }

// Release implements routing.Account.
func (a *unlimitedAccount) Release() { a.used-- }

// Free implements routing.Account; policies that compare free slots see a worker of the size of all others.
func (a *unlimitedAccount) Free() int { return max(slotsPerWorker-a.used, 1) }

var (
	_ routing.Account = (*equalAccount)(nil)
	_ routing.Account = (*unlimitedAccount)(nil)
)

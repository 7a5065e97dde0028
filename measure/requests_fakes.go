package measure

import (
	"math"
	"math/rand/v2"

	"magnoliaferry/clock"
	"magnoliaferry/routing"
)

// Sizes that both deployments have, design section 1.2.
const (
	entryCount     = 9
	slotsPerWorker = 8
	rackSize       = 4
	callerDistance = 3 * clock.Millis(1) // one way
)

// poolSizes are the numbers of workers of the pools: 8 to 12 each and 50 in all.
var poolSizes = []int{10, 8, 12, 9, 11}

// deployment describes one of the two simulated installations, which have the zones and pools of the example fleets.
type deployment struct {
	name           string
	zones          int
	rtt            clock.Millis // round trip between two zones
	unequalWeights bool         // the balancer sends the first entry instance of each zone three times as much
	poolNames      []string
}

var deployments = []deployment{
	{name: "kervan", zones: 3, rtt: 2, poolNames: []string{"citation", "policy", "media", "dossier", "support"}},
	{name: "lone-star", zones: 4, rtt: 3, poolNames: []string{"deposits", "crates", "refunds", "routes", "portal"}},
}

// condition is whether and how a fake worker answers.
type condition int

const (
	works condition = iota
	fails           // answers every request with an error after failTime
	lost            // accepts no connections and does not answer on the open ones
)

// failTime is the service time of a failing worker. It is short, because a worker that fails fast has a low latency and
// free slots, and so attracts requests.
const failTime = 5 * clock.Millis(1)

// fakeWorker is a simulated worker with slots, a distribution of service times and faults.
type fakeWorker struct {
	id, zone string
	rack     int
	state    condition
	slowness float64
	running  int
	attempts map[*attempt]bool // attempts sent to the worker that have not ended
}

// serviceTime draws from a log-normal distribution with a mean of 200 ms and a 99th percentile near 700 ms; with 8
// slots a worker serves 40 requests a second.
func (w *fakeWorker) serviceTime(random *rand.Rand) clock.Millis {
	const mean, sigma = 200, 0.6
	mu := math.Log(mean) - sigma*sigma/2
	t := math.Exp(mu+sigma*random.NormFloat64()) * w.slowness
	// More requests than slots share the processors, so that each takes proportionally longer.
	t *= max(1, float64(w.running)/slotsPerWorker)
	return max(1, clock.Millis(t))
}

// meanRate is the number of requests that a worker serves in a second when all its slots are in use, at a mean service
// time of 200 ms.
const meanRate = slotsPerWorker * 1000 / 200

// equalAccount is the baseline of equal shares without loans. The 8 slots of a worker are divided between the 9 entry
// instances, so that one of them has none.
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

// unlimitedAccount is the baseline without a limit of slots.
type unlimitedAccount struct{ used int }

// TryAcquire implements routing.Account.
func (a *unlimitedAccount) TryAcquire(clock.Millis) bool { a.used++; return true }

// Release implements routing.Account.
func (a *unlimitedAccount) Release() { a.used-- }

// Free implements routing.Account. For the policies that compare free slots it counts from the number of slots that every
// worker has, and returns at least 1.
func (a *unlimitedAccount) Free() int { return max(slotsPerWorker-a.used, 1) }

var (
	_ routing.Account = (*equalAccount)(nil)
	_ routing.Account = (*unlimitedAccount)(nil)
)

package pool

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Parameters of the shares of customers.
const (
	// entitlementBurst is the time whose entitlement a customer may use at once, and minBurst the least number of jobs of it: those of a
	// customer with a small weight come in small crowds, too.
	entitlementBurst = 2 * clock.Second
	minBurst         = 4
	// useWindow is the time constant of the average over a customer's use.
	useWindow = 2 * clock.Second
	// useMargin is the part of the pool that any customer may use, whatever its weight: a single job can exceed the share of a small one.
	useMargin = 0.05
	// A customer is over its share from overPercent of it on, until its use is below underPercent.
	overPercent  = 125
	underPercent = 100
	// minUse is the average use below which a customer without jobs is forgotten.
	minUse = 1e-4
	// shareRefresh is the interval at which the use of the customers is averaged.
	shareRefresh   = rankValidity
	shareLogPeriod = clock.Second
	// loggedCustomers is the number of customers that are logged one by one; the others are added up.
	loggedCustomers = 5
)

// customerShares decides which jobs wait for those of other customers while a pool is asked for more than it can run. The load: customers
// whose usual loads differ by more than ten times, one of which sends a multiple of its usual for some seconds. Only jobs with an objective
// count: long-running tasks are due at once, and what they use is not there to be shared.
type customerShares struct {
	customers map[string]*customerShare
	uncharged []*job // added since jobs were last charged to their customers
	refreshed clock.Millis
	loggedAt  clock.Millis
}

// customerShare is what one customer may have and has of a pool.
type customerShare struct {
	weight   float64         // jobs a second
	tokens   float64         // jobs that may be accepted within the entitlement
	filledAt clock.Millis    // when tokens were last added
	running  batch.Resources // needs of its runs
	use      float64         // part of the pool's dominant resource, averaged over useWindow
	waiting  int             // jobs with tasks that could run
	beyond   int             // those of them that are beyond the entitlement
	over     bool            // its use is above its share
}

// burst returns the largest number of tokens.
func (c *customerShare) burst() float64 {
	return max(c.weight*float64(entitlementBurst)/float64(clock.Second), minBurst)
}

// fill adds the tokens of the time until now.
func (c *customerShare) fill(now clock.Millis) {
	if now > c.filledAt {
		c.tokens = min(c.tokens+c.weight*float64(now-c.filledAt)/float64(clock.Second), c.burst())
		c.filledAt = now
	}
}

// charge charges a job to the entitlement, and reports whether it is beyond it.
func (c *customerShare) charge(accepted clock.Millis) (beyond bool) {
	c.fill(accepted)
	if c.tokens < 1 {
		return true
	}
	c.tokens--
	return false
}

// idle reports whether the customer may be forgotten without any effect on later decisions.
func (c *customerShare) idle() bool {
	return c.waiting == 0 && c.running == (batch.Resources{}) && c.use < minUse && c.tokens >= c.burst()
}

// addToCustomer adds a job to those of its customer.
func (s *Scheduler) addToCustomer(j *job) {
	name := j.def.Customer
	if name == "" || !j.hasObjective() {
		return
	}
	all := &s.customerShares
	if all.customers == nil {
		all.customers = map[string]*customerShare{}
	}
	c := all.customers[name]
	if c == nil {
		c = &customerShare{weight: s.weightOf(name), filledAt: j.acceptedAt}
		c.tokens = c.burst()
		all.customers[name] = c
	}
	j.share = c
	all.uncharged = append(all.uncharged, j)
}

// weightOf returns the weight of a customer; 1 if it has none or is not in the configuration.
func (s *Scheduler) weightOf(name string) float64 {
	if c, ok := s.configuration.Customer(name); ok && c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// updateShares charges new jobs, averages the use of the customers once in shareRefresh, and forgets idle customers.
func (s *Scheduler) updateShares() {
	all := &s.customerShares
	if len(all.customers) == 0 {
		return
	}
	all.chargeJobs()
	elapsed := s.now - all.refreshed
	if elapsed < shareRefresh {
		return
	}
	all.refreshed = s.now
	for _, c := range all.customers {
		c.waiting, c.beyond = 0, 0
	}
	for _, j := range s.active {
		if j.share != nil && j.waiting > 0 {
			j.share.waiting++
			if j.beyond {
				j.share.beyond++
			}
		}
	}
	var capacity batch.Resources
	for _, w := range s.workers {
		if w.exists() {
			capacity = capacity.Add(w.entry.Capacity)
		}
	}
	all.average(elapsed, capacity)
	for name, c := range all.customers {
		c.weight = s.weightOf(name)
		c.fill(s.now)
		if c.idle() {
			delete(all.customers, name)
		}
	}
	s.logShares()
}

// chargeJobs charges new jobs in the order of their acceptance, as a new owner adds all stored jobs at once and in any order.
func (s *customerShares) chargeJobs() {
	if len(s.uncharged) == 0 {
		return
	}
	slices.SortStableFunc(s.uncharged, func(a, b *job) int { return cmp.Compare(a.acceptedAt, b.acceptedAt) })
	for _, j := range s.uncharged {
		if j.share.charge(j.acceptedAt) {
			j.beyond, j.ranked.job = true, nil
			jobsBeyond.Add(1)
		}
	}
	clear(s.uncharged)
	s.uncharged = s.uncharged[:0]
}

// average adds a period to the averages of use, and decides which customers are over their shares: those of what is used, by weight, among
// the customers with jobs. The bound differs by the present state, so that the order does not change with every job that ends.
func (s *customerShares) average(elapsed clock.Millis, capacity batch.Resources) {
	decay := math.Exp(-float64(elapsed) / float64(useWindow))
	use, weight := 0.0, 0.0
	for _, c := range s.customers {
		c.use = c.use*decay + dominantShare(c.running, capacity)*(1-decay)
		use += c.use
		if c.active() {
			weight += c.weight
		}
	}
	for _, c := range s.customers {
		bound := overPercent
		if c.over {
			bound = underPercent
		}
		c.over = c.active() && (c.use-useMargin)*weight*100 > use*c.weight*float64(bound)
	}
}

// active reports whether the customer has jobs that wait or run.
func (c *customerShare) active() bool { return c.waiting > 0 || c.running != (batch.Resources{}) }

// dominantShare returns the part of the processor or of the memory that is used, whichever is larger.
func dominantShare(use, capacity batch.Resources) float64 {
	return max(float64(use.CPU)/float64(max(capacity.CPU, 1)), float64(use.MemoryMB)/float64(max(capacity.MemoryMB, 1)))
}

// logShares logs what the customers use while some of their jobs wait for those of others.
func (s *Scheduler) logShares() {
	all := &s.customerShares
	behind, weight := false, 0.0
	for _, c := range all.customers {
		behind = behind || c.waiting > 0 && (c.over || c.beyond > 0)
		if c.active() {
			weight += c.weight
		}
	}
	if !behind || s.now-all.loggedAt < shareLogPeriod {
		return
	}
	all.loggedAt = s.now
	names := slices.SortedFunc(maps.Keys(all.customers), func(a, b string) int {
		return cmp.Or(cmp.Compare(all.customers[b].use, all.customers[a].use), cmp.Compare(a, b))
	})
	var top []any
	rest := customerShare{}
	for i, name := range names {
		c := all.customers[name]
		if i < loggedCustomers {
			top = append(top, c.logged(name, weight))
			continue
		}
		rest.use, rest.waiting, rest.beyond = rest.use+c.use, rest.waiting+c.waiting, rest.beyond+c.beyond
		if c.active() {
			rest.weight += c.weight
		}
	}
	s.log(eventCustomerShares, slog.Int("customers", len(names)), slog.Group("top", top...), rest.logged("rest", weight))
}

func (c *customerShare) logged(name string, weight float64) slog.Attr {
	return slog.Group(name, slog.Int("use-percent", int(100*c.use)), slog.Int("share-percent", int(100*c.weight/max(weight, c.weight, 1e-9))),
		slog.Bool("over", c.over), slog.Int("waiting", c.waiting), slog.Int("beyond", c.beyond))
}

package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"magnoliaferry/claim"
	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/routing"
	"magnoliaferry/slots"
	"magnoliaferry/worker"
)

// Settings of the simulated entry instances, design section 9.1, and times of the fakes.
const (
	longDeadline     = 10 * clock.Second // the default deadline
	shortDeadline    = 4 * clock.Second  // a service or caller may set a shorter one; half of the requests have it
	queueLength      = 200
	queueWait        = 2 * clock.Second
	progressDeadline = 5 * clock.Second
	connectTimeout   = 1 * clock.Second
	idleProbe        = 6 * clock.Second // an idle connection is probed after 5 s, and the answer is due within 1 s
	maxAttempts      = 3
	rosterPeriod     = 1 * clock.Second
	wakePeriod       = clock.Second / 2
	// loanRequestPeriod is the time between two requests for loans of an instance that is short of slots, as in the
	// package peer.
	loanRequestPeriod = 200 * clock.Millis(1)
	giveBackPeriod    = clock.Second / 2
	// tableLatency is the duration of an access to the table without faults.
	tableLatency = 5 * clock.Millis(1)
	// healthCheckPeriod is the time between two health checks of the balancer.
	healthCheckPeriod = 1 * clock.Second
	// maxRepeats is how many times a caller repeats a non-idempotent request, with the same key, if it was not run or
	// its outcome is unknown.
	maxRepeats  = 2
	repeatDelay = 1 * clock.Second
)

// variant is one row of a table: the policy of selecting a worker, and the mechanisms that are replaced or switched off.
type variant struct {
	name                string
	policy              string
	fifo                bool   // admission in the order of arrival without early refusal
	slots               string // "" for base shares and loans, "keep" without early give-back, "base", "equal", "unlimited"
	ejection            bool
	retryBudget         bool // a budget bounds the retries
	retries             bool
	classWeights        bool // the queue weighs requests by urgency
	fairness            bool // the queue shares a class evenly between callers
	earlyRefusal        bool // a request that is predicted to wait too long is refused at once
	balanceWithoutSlots bool // an instance without slots of its own passes the health check too
	noClaims            bool // non-idempotent requests are not claimed; used only by the test of the figure "run twice"
}

// defaultVariant returns the mechanisms that magnoliaferry runs with by default.
func defaultVariant() variant {
	return variant{name: "weighted", policy: "weighted", ejection: true, retryBudget: true, retries: true, classWeights: true,
		fairness: true, earlyRefusal: true}
}

// load describes a stream of requests to one pool.
type load struct {
	rate       func(now clock.Millis) float64 // as a share of what the pool can serve
	urgency    config.Urgency                 // "" for a mix
	callers    int
	name       string  // prefix of the callers
	idempotent float64 // share of the requests
	flood      bool
}

// sim is one run of a request scenario: all entry instances, workers and callers on one fake clock.
type sim struct {
	deployment deployment
	variant    variant
	clock      *clock.Clock
	random     *rand.Rand
	store      *memory.Store
	faults     *fault.Injector
	tableDelay clock.Millis // delay of the claims' accesses to the table
	cutZone    string       // zone that is cut off from the others; "" for none
	workers    [][]*fakeWorker
	byID       map[string]*fakeWorker
	entries    []*entry
	lastNumber int
	end        clock.Millis   // of the arrivals
	runsByKey  map[string]int // number of runs of each non-idempotent request
	context    context.Context

	answered, refused, unknown, errors     int
	retries, overcommitted, runTwice, sent int
	refusals                               []float64 // ms until a caller received a refusal
	latencies, queueTimes                  []float64 // ms
	distance                               float64   // sum of the one-way network times from entry instances to workers, in ms, over all attempts
}

// entry is a simulated entry instance.
type entry struct {
	sim                 *sim
	id, zone            string
	number              int
	incarnation         int64
	alive               bool
	passesHealthCheck   bool // the balancer sends requests to the instance
	weight              int  // relative number of requests that the balancer sends to the instance
	ledger              *slots.Ledger
	router              *routing.Router
	queues              []admitter
	budgets             []*worker.RetryBudget
	claims              *claim.Store
	stepScheduled       bool // the batch writer of the claims is scheduled
	sequence            int  // number of roster writes, for their transaction ids
	connectionsByWorker map[string]*connections
	liveRequests        map[int]*request
}

// connections counts the idle connections of an entry instance to a worker, and those of them that are silent: the
// worker does not answer on them, but they are not closed.
type connections struct{ idle, silent int }

func newSim(d deployment, v variant, seed uint64, end clock.Millis) *sim {
	s := &sim{deployment: d, variant: v, clock: clock.NewFake(0), random: rand.New(rand.NewPCG(seed, 1)), end: end,
		faults: &fault.Injector{}, byID: map[string]*fakeWorker{}, runsByKey: map[string]int{}, context: context.Background()}
	s.store = memory.New(s.clock, s.faults)
	s.placeWorkers()
	for i := range entryCount {
		zone := zoneName(i % d.zones)
		weight := 1
		if d.unequalWeights && i < d.zones {
			weight = 3
		}
		s.addEntry(i, zone, weight, 1, seed)
	}
	for range 3 { // each member must confirm the shares of the others
		for _, e := range s.entries {
			e.pollRoster()
		}
	}
	for _, e := range s.entries {
		e.run()
	}
	return s
}

func zoneName(i int) string { return string(rune('a' + i)) }

// placeWorkers spreads each pool over the zones and fills the racks of a zone pool by pool, so that a rack holds
// workers of few pools.
func (s *sim) placeWorkers() {
	count := map[string]int{}
	for p, size := range poolSizes {
		var pool []*fakeWorker
		for i := range size {
			zone := zoneName((i + p) % s.deployment.zones)
			w := &fakeWorker{id: fmt.Sprintf("%s-%d", s.deployment.poolNames[p], i), zone: zone, rack: count[zone] / rackSize,
				slowness: 1, attempts: map[*attempt]bool{}}
			count[zone]++
			pool = append(pool, w)
			s.byID[w.id] = w
		}
		s.workers = append(s.workers, pool)
	}
}

func (s *sim) addEntry(number int, zone string, weight int, incarnation int64, seed uint64) *entry {
	e := &entry{sim: s, id: fmt.Sprint("e", number), zone: zone, number: number, incarnation: incarnation, alive: true,
		passesHealthCheck: true, weight: weight, connectionsByWorker: map[string]*connections{}, liveRequests: map[int]*request{}}
	e.ledger = &slots.Ledger{Clock: s.clock, ID: e.id, Incarnation: incarnation, Zone: zone}
	e.router = &routing.Router{Clock: s.clock, Seed: seed*100 + uint64(number) + 1}
	e.claims = &claim.Store{Clock: s.clock, Table: delayedTable{s.store.View(zone).Table(), s}, Holder: e.id,
		Incarnation: incarnation, WallClock: s.clock.Now}
	var pools []routing.PoolState
	for p, pool := range s.workers {
		var states []routing.WorkerState
		for _, w := range pool {
			states = append(states, routing.NewWorkerState(w.id, w.id, w.zone, e.account(w), false))
		}
		capacity := len(pool) - rackSize // the pool declares that it survives the loss of a rack
		if !s.variant.ejection {
			capacity = len(pool)
		}
		pools = append(pools, routing.NewPoolState(s.deployment.poolNames[p], s.variant.policy, capacity, states...))
		e.budgets = append(e.budgets, &worker.RetryBudget{Clock: s.clock})
		e.queues = append(e.queues, e.newQueue(s.deployment.poolNames[p]))
	}
	e.router.Update(pools)
	s.entries = append(s.entries, e)
	return e
}

func (e *entry) account(w *fakeWorker) routing.Account {
	switch e.sim.variant.slots {
	case "equal":
		a := &equalAccount{limit: slotsPerWorker / entryCount}
		if (len(w.id)+int(w.id[len(w.id)-1])+e.number)%entryCount < slotsPerWorker%entryCount {
			a.limit++
		}
		return a
	case "unlimited":
		return &unlimitedAccount{}
	}
	resource := "worker/" + w.id
	e.ledger.SetCapacity(resource, w.zone, slotsPerWorker)
	return e.ledger.Account(resource)
}

// run starts the periodic work of an entry instance, each at a random offset.
func (e *entry) run() {
	s := e.sim
	every := func(period clock.Millis, work func()) {
		var next func()
		next = func() {
			if !e.alive || s.clock.Now() > s.end {
				return
			}
			work()
			s.clock.AfterFunc(period, next)
		}
		s.clock.AfterFunc(1+clock.Millis(s.random.IntN(int(period))), next)
	}
	every(rosterPeriod, e.pollRoster)
	every(wakePeriod, e.wakeAll)
	every(healthCheckPeriod, func() { e.passesHealthCheck = e.ready() })
	if s.variant.slots == "" || s.variant.slots == "keep" {
		every(loanRequestPeriod, e.requestLoans)
	}
	if s.variant.slots == "" {
		every(giveBackPeriod, e.giveBack)
	}
}

// ready returns the answer of the entry instance to the balancer's health check.
func (e *entry) ready() bool {
	limited := e.sim.variant.slots != "equal" && e.sim.variant.slots != "unlimited"
	return !limited || e.sim.variant.balanceWithoutSlots || e.ledger.Ready()
}

func (e *entry) wakeAll() {
	for _, q := range e.queues {
		q.Wake()
	}
}

// pollRoster simulates one pass of the roster loop of the package entry. While the table does not answer, the attempt to
// confirm the membership is complete nevertheless, because the peers have no newer roster.
func (e *entry) pollRoster() {
	s := e.sim
	now := s.clock.Now()
	key := "roster/" + e.zone
	t := s.store.View(e.zone).Table()
	rows, err := t.Read(s.context, key)
	if err == nil {
		roster, err := slots.DecodeRoster(rows[0].Value(), rows[0].Version())
		if err != nil {
			panic(err) // this package alone writes the row
		}
		e.ledger.SetRoster(e.zone, roster)
		next, changed := e.ledger.Propose()
		if !e.ledger.Member() {
			next, changed = roster.Join(e.id, e.incarnation)
		}
		if changed {
			e.writeRoster(next, roster.Version())
		}
	}
	e.ledger.Confirm(now, err == nil, 0)
}

func (e *entry) writeRoster(next slots.Roster, version int64) {
	e.sequence++
	operation := fmt.Sprintf("%s/%d/roster/%d", e.id, e.incarnation, e.sequence)
	// After a conflict or an outage, the next pass proposes the change again.
	_ = e.sim.store.View(e.zone).Table().Commit(e.sim.context, provider.NewTransaction(operation,
		provider.Put("roster/"+e.zone, next.Encode(), version)))
}

// requestLoans requests loans for every resource of which the instance is short of slots, from one random member of the
// zone of the resource, as the package peer does.
func (e *entry) requestLoans() {
	s := e.sim
	lenders := map[string]*entry{}
	for _, want := range e.ledger.Wants() {
		if s.separated(e.zone, want.Zone()) {
			continue
		}
		o, chosen := lenders[want.Zone()]
		if !chosen {
			o = s.lender(e, want.Zone())
			lenders[want.Zone()] = o
		}
		if o == nil {
			continue
		}
		outbound := s.oneWay(e.zone, want.Zone())
		inbound := s.roundTrip(e.zone, want.Zone()) - outbound
		s.clock.AfterFunc(outbound, func() {
			if !o.alive {
				return
			}
			loan := o.ledger.Grant(e.id, want.Resource(), want.Units())
			if loan.Units() == 0 {
				return
			}
			incarnation, number := loan.Numbers()
			s.clock.AfterFunc(inbound, func() {
				e.ledger.Accept(o.id, want.Resource(),
					slots.NewLoan(incarnation, number, loan.Units(), loan.Period()-outbound-inbound))
				e.wakeAll()
			})
		})
	}
}

// lender returns a random living entry instance of the zone other than the borrower, or nil if there is none.
func (s *sim) lender(borrower *entry, zone string) *entry {
	var members []*entry
	for _, o := range s.entries {
		if o != borrower && o.alive && o.zone == zone {
			members = append(members, o)
		}
	}
	if len(members) == 0 {
		return nil
	}
	return members[s.random.IntN(len(members))]
}

// giveBack returns borrowed slots that are no longer needed to their lenders.
func (e *entry) giveBack() {
	s := e.sim
	for _, u := range e.ledger.GiveBack() {
		for _, o := range s.entries {
			if o.id != u.Lender() || !o.alive || s.separated(e.zone, o.zone) {
				continue
			}
			s.clock.AfterFunc(s.oneWay(e.zone, o.zone), func() {
				o.ledger.TakeBack(e.id, u)
				o.wakeAll()
			})
		}
	}
}

func (s *sim) roundTrip(a, b string) clock.Millis {
	if a == b {
		return 0
	}
	return s.deployment.rtt
}

func (s *sim) oneWay(a, b string) clock.Millis { return s.roundTrip(a, b) / 2 }

func (s *sim) separated(a, b string) bool { return a != b && (s.cutZone == a || s.cutZone == b) }

// lose makes all connections to a worker silent that come from entry instances which can no longer reach it.
func (s *sim) lose(w *fakeWorker) {
	for _, e := range s.entries {
		if !s.unreachable(e, w) {
			continue
		}
		s.silence(e, w)
	}
}

// silence makes every connection of an entry instance to a worker silent. Idle ones are closed by the next probe;
// attempts in flight receive no answer.
func (s *sim) silence(e *entry, w *fakeWorker) {
	c := e.connections(w)
	c.silent = c.idle
	s.clock.AfterFunc(idleProbe, func() {
		c.idle -= min(c.idle, c.silent)
		c.silent = 0
	})
	var affected []*attempt
	for a := range w.attempts {
		if a.request.entry == e {
			affected = append(affected, a)
		}
	}
	sort.Slice(affected, func(i, j int) bool { return affected[i].request.number < affected[j].request.number })
	for _, a := range affected {
		if a.stop != nil {
			a.stop()
		}
		delete(w.attempts, a)
		if w.state == lost {
			a.leaveWorker()
		}
		a.hang()
	}
}

// kill ends an entry instance. Its callers lose their connections, its requests continue on the workers, and a member of
// its zone removes it from the roster after the lease period. After the time replaced, an entry instance with the next
// incarnation replaces it.
func (s *sim) kill(e *entry, replaced clock.Millis, seed uint64) {
	e.alive = false
	var numbers []int
	for n := range e.liveRequests {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		e.liveRequests[n].finish(outcomeUnknown)
	}
	s.clock.AfterFunc(healthCheckPeriod, func() { e.passesHealthCheck = false })
	s.clock.AfterFunc(slots.LeasePeriod, func() {
		for _, o := range s.entries {
			if o.alive && o.zone == e.zone {
				if next, ok := o.ledger.Roster(e.zone).Remove(e.id, e.incarnation); ok {
					o.writeRoster(next, o.ledger.Roster(e.zone).Version())
				}
				return
			}
		}
	})
	s.clock.AfterFunc(replaced, func() {
		n := s.addEntry(e.number, e.zone, e.weight, e.incarnation+1, seed+17)
		n.pollRoster()
		n.passesHealthCheck = n.ready()
		n.run()
	})
}

// delayedTable is the platform's table with the delay of the run, without blocking. An access that would take longer
// than its timeout ends without an answer; a shorter delay is added to the time at which the batch writer runs.
type delayedTable struct {
	provider.Table
	sim *sim
}

// Commit implements provider.Table.
func (t delayedTable) Commit(ctx context.Context, tx provider.Transaction) error {
	err := t.Table.Commit(ctx, tx)
	if err == nil && t.sim.tableDelay >= claim.DefaultTimeout {
		return provider.ErrUnknownOutcome.New("the table did not answer within the timeout")
	}
	return err
}

// Read implements provider.Table.
func (t delayedTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if t.sim.tableDelay >= claim.DefaultTimeout {
		return nil, provider.ErrUnavailable.New("the table did not answer within the timeout")
	}
	return t.Table.Read(ctx, keys...)
}

// row returns the figures of the run as a row of the report.
func (s *sim) row() Row {
	r := NewRow(s.variant.name)
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(s.sent, 1)) }
	r.Add("answered whole %", percent(s.answered))
	r.Add("refused %", percent(s.refused))
	r.Add("unknown %", percent(s.unknown))
	r.Add("worker error %", percent(s.errors))
	r.Add("p50 ms", quantile(s.latencies, 0.5))
	r.Add("p99 ms", quantile(s.latencies, 0.99))
	r.Add("queueing ms", mean(s.queueTimes))
	r.Add("refusal ms", mean(s.refusals))
	r.Add("retries per 1000", 1000*float64(s.retries)/float64(max(len(s.queueTimes), 1)))
	r.Add("distance ms", s.distance/float64(max(len(s.queueTimes), 1)))
	r.Add("overcommitted", float64(s.overcommitted))
	r.Add("run twice", float64(s.runTwice))
	return r
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

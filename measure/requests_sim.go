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

// Values that the decision code takes from its surroundings, design section 9.1, and those of the fakes.
const (
	longDeadline     = 10 * clock.Second // the default
	shortDeadline    = 4 * clock.Second  // what a service or a caller may ask for; half of the requests do
	queueLength      = 200
	queueWait        = 2 * clock.Second
	progressDeadline = 5 * clock.Second
	connectTimeout   = 1 * clock.Second
	idleProbe        = 6 * clock.Second // the probe after 5 s plus its answer due within 1 s
	maxAttempts      = 3
	rosterPeriod     = 1 * clock.Second
	wakePeriod       = clock.Second / 2
	// askPeriod is how often an instance that is short asks its peers for loans, as in the package peer.
	askPeriod  = 200 * clock.Millis(1)
	givePeriod = clock.Second / 2
	// tableTime is how long an access to the table takes when nothing is wrong.
	tableTime = 5 * clock.Millis(1)
	// balancerLag is the time between two health checks of the balancer.
	balancerLag = 1 * clock.Second
	// repeats is how often a caller repeats a non-idempotent request that was not answered, with the same key.
	repeats     = 2
	repeatAfter = 1 * clock.Second
)

// variant is one row of a table: what is replaced or switched off.
type variant struct {
	name     string
	policy   string
	fifo     bool   // admission in order of arrival without early refusal
	slots    string // "" for base shares and loans, "keep", "base", "equal", "unlimited"
	ejection bool
	budget   bool // retries are bounded
	retries  bool
	classes  bool // urgency counts
	fairness bool // callers share a class
	predicts bool // hopeless requests are refused early
	eager    bool // the balancer sends to instances without slots as well
	noClaims bool // non-idempotent requests are not claimed; only to see the check fail
}

// ours is what magnoliaferry runs with.
func ours() variant {
	return variant{name: "weighted", policy: "weighted", ejection: true, budget: true, retries: true, classes: true,
		fairness: true, predicts: true}
}

// load describes the requests for one pool.
type load struct {
	rate       func(now clock.Millis) float64 // of what the pool can serve
	urgency    config.Urgency                 // "" for a mix
	callers    int
	name       string  // prefix of the callers
	idempotent float64 // share
	flood      bool
}

// sim is one run.
type sim struct {
	user    user
	variant variant
	clock   *clock.Clock
	random  *rand.Rand
	store   *memory.Store
	faults  *fault.Injector
	slow    clock.Millis // delay of the table
	cut     string       // zone without contact to others
	workers [][]*fakeWorker
	byID    map[string]*fakeWorker
	entries []*entry
	numbers int
	end     clock.Millis
	keys    map[string]int // runs of non-idempotent requests
	context context.Context

	answered, refused, unknown, errors int
	retries, over, twice, sent         int
	refusals                           []float64 // time until a caller learned that a request was not run
	latencies, queued                  []float64
	distance                           float64
}

// entry is one entry instance.
type entry struct {
	sim         *sim
	id, zone    string
	number      int
	incarnation int64
	alive       bool
	balanced    bool
	weight      int
	ledger      *slots.Ledger
	router      *routing.Router
	queues      []admitter
	budgets     []*worker.Budget
	claims      *claim.Store
	stepping    bool
	sequence    int
	lines       map[string]*line
	live        map[int]*request
}

// line is the idle connections of an entry instance to a worker.
type line struct{ idle, silent int }

func newSim(u user, v variant, seed uint64, end clock.Millis) *sim {
	s := &sim{user: u, variant: v, clock: clock.NewFake(0), random: rand.New(rand.NewPCG(seed, 1)), end: end,
		faults: &fault.Injector{}, byID: map[string]*fakeWorker{}, keys: map[string]int{}, context: context.Background()}
	s.store = memory.New(s.clock, s.faults)
	s.placeWorkers()
	for i := range entryCount {
		zone := zoneName(i % u.zones)
		weight := 1
		if u.unequal && i < u.zones {
			weight = 3
		}
		s.addEntry(i, zone, weight, 1, seed)
	}
	for range 3 { // each member confirms the shares of the others
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
			zone := zoneName((i + p) % s.user.zones)
			w := &fakeWorker{id: fmt.Sprintf("%s-%d", s.user.poolUsed[p], i), zone: zone, rack: count[zone] / rackSize,
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
		balanced: true, weight: weight, lines: map[string]*line{}, live: map[int]*request{}}
	e.ledger = &slots.Ledger{Clock: s.clock, ID: e.id, Incarnation: incarnation, Zone: zone}
	e.router = &routing.Router{Clock: s.clock, Seed: seed*100 + uint64(number) + 1}
	e.claims = &claim.Store{Clock: s.clock, Table: table{s.store.View(zone).Table(), s}, Holder: e.id,
		Incarnation: incarnation, WallClock: s.clock.Now}
	var pools []routing.PoolState
	for p, pool := range s.workers {
		var states []routing.WorkerState
		for _, w := range pool {
			states = append(states, routing.NewWorkerState(w.id, w.id, w.zone, e.account(w), false))
		}
		capacity := len(pool) - rackSize // the pool declares to survive a rack
		if !s.variant.ejection {
			capacity = len(pool)
		}
		pools = append(pools, routing.NewPoolState(s.user.poolUsed[p], s.variant.policy, capacity, states...))
		e.budgets = append(e.budgets, &worker.Budget{Clock: s.clock})
		e.queues = append(e.queues, e.newQueue(s.user.poolUsed[p]))
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

// run starts what an entry instance does by time.
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
	every(balancerLag, func() { e.balanced = e.ready() })
	if s.variant.slots == "" || s.variant.slots == "keep" {
		every(askPeriod, e.askLoans)
	}
	if s.variant.slots == "" {
		every(givePeriod, e.giveBack)
	}
}

// ready is the answer to the balancer's health check.
func (e *entry) ready() bool {
	limited := e.sim.variant.slots != "equal" && e.sim.variant.slots != "unlimited"
	return !limited || e.sim.variant.eager || e.ledger.Ready()
}

func (e *entry) wakeAll() {
	for _, q := range e.queues {
		q.Wake()
	}
}

// pollRoster does what entry's roster loop does in a second. While the table does not answer, the peers have nothing
// newer, and the attempt is complete.
func (e *entry) pollRoster() {
	s := e.sim
	now := s.clock.Now()
	key := "roster/" + e.zone
	t := s.store.View(e.zone).Table()
	rows, err := t.Read(s.context, key)
	if err == nil {
		roster, err := slots.DecodeRoster(rows[0].Value(), rows[0].Version())
		if err != nil {
			panic(err) // only this program writes the row
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
	// A conflict or an outage leaves the change to the next second.
	_ = e.sim.store.View(e.zone).Table().Commit(e.sim.context, provider.NewTransaction(operation,
		provider.Put("roster/"+e.zone, next.Encode(), version)))
}

// askLoans asks one random member of the zone of each resource that is short, as the package peer does.
func (e *entry) askLoans() {
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
		there := s.oneWay(e.zone, want.Zone())
		back := s.roundTrip(e.zone, want.Zone()) - there
		s.clock.AfterFunc(there, func() {
			if !o.alive {
				return
			}
			loan := o.ledger.Grant(e.id, want.Resource(), want.Units())
			if loan.Units() == 0 {
				return
			}
			incarnation, number := loan.Numbers()
			s.clock.AfterFunc(back, func() {
				e.ledger.Accept(o.id, want.Resource(),
					slots.NewLoan(incarnation, number, loan.Units(), loan.Period()-there-back))
				e.wakeAll()
			})
		})
	}
}

// lender draws a living member of a zone other than the borrower.
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

// giveBack tells the lenders which slots are not needed any more.
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
	return s.user.rtt
}

func (s *sim) oneWay(a, b string) clock.Millis { return s.roundTrip(a, b) / 2 }

func (s *sim) separated(a, b string) bool { return a != b && (s.cut == a || s.cut == b) }

// lose makes the connections between a worker and the entry instances that cannot reach it any more silent.
func (s *sim) lose(w *fakeWorker) {
	for _, e := range s.entries {
		if !s.unreachable(e, w) {
			continue
		}
		s.silence(e, w)
	}
}

// silence makes every connection of an entry instance to a worker silent.
func (s *sim) silence(e *entry, w *fakeWorker) {
	l := e.line(w)
	l.silent = l.idle
	s.clock.AfterFunc(idleProbe, func() {
		l.idle -= min(l.idle, l.silent)
		l.silent = 0
	})
	var struck []*attempt
	for a := range w.attempts {
		if a.request.entry == e {
			struck = append(struck, a)
		}
	}
	sort.Slice(struck, func(i, j int) bool { return struck[i].request.number < struck[j].request.number })
	for _, a := range struck {
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

// kill ends an entry instance: its callers are cut off, its workers run on, and a member of its zone removes it once it
// was silent for the lease period. A new one with a greater incarnation takes its place.
func (s *sim) kill(e *entry, replaced clock.Millis, seed uint64) {
	e.alive = false
	var numbers []int
	for n := range e.live {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		e.live[n].finish(outcomeUnknown)
	}
	s.clock.AfterFunc(balancerLag, func() { e.balanced = false })
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
		n.balanced = n.ready()
		n.run()
	})
}

// table answers as the platform's table does, without blocking: a slow access that would pass the timeout ends without
// an answer, and a shorter delay is in the time at which the batch writer runs.
type table struct {
	provider.Table
	sim *sim
}

// Commit implements provider.Table.
func (t table) Commit(ctx context.Context, tx provider.Transaction) error {
	err := t.Table.Commit(ctx, tx)
	if err == nil && t.sim.slow >= claim.DefaultTimeout {
		return provider.ErrUnknownOutcome.New("the table is slow")
	}
	return err
}

// Read implements provider.Table.
func (t table) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if t.sim.slow >= claim.DefaultTimeout {
		return nil, provider.ErrUnavailable.New("the table is slow")
	}
	return t.Table.Read(ctx, keys...)
}

// row returns the figures of the run.
func (s *sim) row() Row {
	r := NewRow(s.variant.name)
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(s.sent, 1)) }
	r.Add("answered whole %", percent(s.answered))
	r.Add("refused %", percent(s.refused))
	r.Add("unknown %", percent(s.unknown))
	r.Add("worker error %", percent(s.errors))
	r.Add("p50 ms", quantile(s.latencies, 0.5))
	r.Add("p99 ms", quantile(s.latencies, 0.99))
	r.Add("queueing ms", mean(s.queued))
	r.Add("refusal ms", mean(s.refusals))
	r.Add("retries per 1000", 1000*float64(s.retries)/float64(max(len(s.queued), 1)))
	r.Add("distance ms", s.distance/float64(max(len(s.queued), 1)))
	r.Add("overcommitted", float64(s.over))
	r.Add("run twice", float64(s.twice))
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

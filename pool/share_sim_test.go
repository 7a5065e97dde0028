package pool

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// The load of the simulation of shares: the demand turns between the pools, and one customer sends a multiple of its usual.
const (
	shareCustomers   = 20
	shareSkew        = 1.2 // exponent of the usual loads by size of customer
	sharePools       = 4
	shareWorkers     = 40 // of each pool
	shareTurn        = 4 * clock.Second
	shareLength      = 24 * clock.Second
	shareMeanLoad    = 0.5  // of each pool
	sharePeak        = 3.85 // multiple of its mean that a pool is asked for in its turn
	shareSwing       = 0.05 // the same outside of its turn
	shareHot         = 7    // multiple of its usual that the hot customer sends
	shareHotFrom     = 9 * clock.Second
	shareHotUntil    = 15 * clock.Second
	shareInstances   = 41
	shareJoinAt      = 20 * clock.Second // when the last ten instances join
	shareOwnerLostAt = 17 * clock.Second // of each pool, one second after another
	shareOwnerless   = 1500 * clock.Millis(1)
	// shareMinWeight is the least weight in jobs a second, which is above the usual load of the smallest customers.
	shareMinWeight = 0.3
)

// shareJob is a job of the simulation and its outcome.
type shareJob struct {
	customer, pool, turn, work int
	id                         string
	usual                      bool // not one of those that make a customer hot
	due                        clock.Millis
	accepted                   clock.Millis // since the start
	met                        bool
}

// shareSim plays the load on several pools.
type shareSim struct {
	pools    []*poolSim
	random   *rand.Rand
	lengths  map[string]clock.Millis
	skews    [shareInstances]clock.Millis // of the clocks of the instances
	hot      int                          // number of the customer that sends a multiple of its usual
	multiple int
	viewAge  clock.Millis // of the instances, which refuse jobs of customers that are reported to have jobs beyond their entitlements; 0: none refuses
	reports  []shareReport
	usual    []float64 // jobs a second of each customer in all pools
	jobs     []*shareJob
	open     []*shareJob
	coming   []arrival
	back     []clock.Millis // when the pool has an owner again
	order    func(a, b rank) bool
}

// shareReport is what the owners of the pools reported at a time: the customers with jobs beyond their entitlements that wait.
type shareReport struct {
	at     clock.Millis
	beyond [sharePools][]string
}

// report records what the owners report; one that is lost reports nothing new.
func (s *shareSim) report() {
	next := shareReport{at: s.pools[0].now}
	for i, w := range s.pools {
		if s.back[i] != 0 && len(s.reports) > 0 {
			next.beyond[i] = s.reports[len(s.reports)-1].beyond[i]
			continue
		}
		for name, c := range w.s.customerShares.customers {
			if c.beyond > 0 {
				next.beyond[i] = append(next.beyond[i], name)
			}
		}
	}
	s.reports = append(s.reports, next)
}

// refuses reports whether an instance whose view has the simulated age refuses a job of the customer.
func (s *shareSim) refuses(pool int, customer string) bool {
	if s.viewAge == 0 {
		return false
	}
	for i := len(s.reports) - 1; i >= 0; i-- {
		if s.pools[0].now-s.reports[i].at >= s.viewAge {
			return slices.Contains(s.reports[i].beyond[pool], customer)
		}
	}
	return false
}

// arrival is an accepted job that the owner of its pool has not read yet.
type arrival struct {
	at   clock.Millis
	pool int
	def  *batch.Job
}

func newShareSim(t *testing.T, seed uint64, order func(a, b rank) bool, multiple int) *shareSim {
	s := &shareSim{random: rand.New(rand.NewPCG(seed, 2)), lengths: map[string]clock.Millis{}, order: order, multiple: multiple}
	const meanWork = 1.6 * 8 * 700 * 800
	perSecond := shareMeanLoad * sharePools * shareWorkers * 4000 * 1000 / meanWork
	sum := 0.0
	for i := range shareCustomers {
		sum += math.Pow(float64(i+1), -shareSkew)
	}
	customers := make([]batch.Customer, shareCustomers)
	for i := range customers {
		s.usual = append(s.usual, perSecond*math.Pow(float64(i+1), -shareSkew)/sum)
		customers[i] = batch.Customer{Name: fmt.Sprintf("c%02d", i), Weight: max(s.usual[i]*sharePeak/2, shareMinWeight)}
	}
	s.hot = s.random.IntN(8)
	for i := range s.skews {
		s.skews[i] = clock.Millis(s.random.IntN(41) - 20)
	}
	for range sharePools {
		w := newPoolSim(t, shareWorkers, testQueue)
		c := &batch.Configuration{Version: 2, Queues: []batch.Queue{testQueue}, Pools: []batch.Pool{{Name: testPool}}}
		c.Queues[0].Pool = testPool
		c.SetCustomers(customers)
		w.configure(c)
		w.s.jobOrder = order
		w.length = func(task string) clock.Millis { return s.lengths[task] }
		w.run(300)
		s.pools, s.back = append(s.pools, w), append(s.back, 0)
	}
	return s
}

// run plays the whole load.
func (s *shareSim) run() {
	next := make([]float64, shareCustomers*sharePools)
	for now := clock.Millis(0); now < shareLength; now += 10 {
		for i := range next {
			customer, pool := i/sharePools, i%sharePools
			rate := s.usual[customer] / sharePools * shareSwing
			if int(now/shareTurn)%sharePools == pool {
				rate = s.usual[customer] / sharePools * sharePeak
			}
			hot := customer == s.hot && now >= shareHotFrom && now < shareHotUntil
			if s.random.Float64() < rate/100 {
				s.accept(customer, pool, now, true)
			}
			for range s.multiple - 1 {
				if hot && s.random.Float64() < rate/100 {
					s.accept(customer, pool, now, false)
				}
			}
		}
		s.deliver()
		if now%100 == 0 {
			s.report()
		}
		for i, w := range s.pools {
			if now == shareOwnerLostAt+clock.Millis(i)*clock.Second {
				s.back[i] = w.now + shareOwnerless
			}
			s.advance(i)
		}
		w := s.pools[0]
		s.open = slices.DeleteFunc(s.open, func(j *shareJob) bool {
			j.met = w.now <= j.due && s.pools[j.pool].state(j.id) == batch.Completed
			return j.met || w.now > j.due
		})
	}
}

// advance advances a pool by one step; without an owner, only its workers go on.
func (s *shareSim) advance(i int) {
	w := s.pools[i]
	if w.now >= s.back[i] {
		if s.back[i] != 0 {
			s.back[i] = 0
			w.takeOverAll()
			w.s.jobOrder = s.order
		}
		w.run(10)
		return
	}
	w.now += 10
	w.advanceWorkers()
}

// takeOverAll lets another instance own the pool, which knows what is stored.
func (w *poolSim) takeOverAll() {
	c := w.s.configuration
	w.s, w.holds, w.delayed = NewScheduler(testPool, 6*clock.Second, clock.Minute, nil), nil, nil
	w.token++
	w.s.SetToken(w.token)
	w.s.Tick(w.now, w.now)
	w.s.Configure(c)
	w.s.SetInheritedLeases(w.now+MaxLease, nil)
	for _, id := range sortedKeys(w.workers) {
		w.s.SetWorker(w.workers[id].entry)
	}
	for _, id := range slices.Sorted(maps.Keys(w.defs)) {
		if p := w.progress[id]; p != nil && p.State.Final() {
			w.s.AddEnded(id)
			continue
		}
		w.s.AddJob(w.defs[id], w.progress[id], false)
	}
}

// accept lets an instance accept a job.
func (s *shareSim) accept(customer, pool int, now clock.Millis, usual bool) {
	w := s.pools[pool]
	j := &shareJob{accepted: now, customer: customer, pool: pool, turn: int(now / shareTurn), usual: usual, id: fmt.Sprintf("%016x", s.random.Uint64())}
	width := 1 + int(7*math.Exp(0.6*s.random.NormFloat64()-0.18))
	task := batch.Step{Count: min(width, 32), Need: cpu(min(200+int(500*math.Exp(0.45*s.random.NormFloat64())), 2000))}
	length := clock.Millis(min(800*math.Exp(0.5*s.random.NormFloat64()-0.125), 2000))
	task.Estimate = clock.Millis(float64(length) * math.Exp(0.5*s.random.NormFloat64()))
	steps := []batch.Step{task}
	if s.random.IntN(10) < 6 {
		task.After = []int{0}
		steps = append(steps, task)
	}
	for i := range steps {
		j.work += steps[i].Count * steps[i].Need.CPU * int(length)
		for index := range steps[i].Count {
			s.lengths[batch.TaskKey{Step: i, Index: index}.Name(j.id)] = length
		}
	}
	j.due = w.now + clock.Millis(testQueue.Stretch*float64(int(length)*len(steps))) + testQueue.Objective
	instances := shareInstances
	if now < shareJoinAt {
		instances -= 10
	}
	instance := s.random.IntN(instances)
	def := &batch.Job{ID: j.id, Queue: "q", Pool: testPool, Spec: "spec", Steps: steps, Accepted: w.now + s.skews[instance], Customer: fmt.Sprintf("c%02d", customer)}
	s.jobs, s.open = append(s.jobs, j), append(s.open, j)
	if s.refuses(pool, def.Customer) {
		return
	}
	s.coming = append(s.coming, arrival{w.now + 10 + clock.Millis(s.random.IntN(80)), pool, def})
}

// deliver lets the owners read accepted jobs; a pool without an owner reads them when it has one.
func (s *shareSim) deliver() {
	s.coming = slices.DeleteFunc(s.coming, func(a arrival) bool {
		w := s.pools[a.pool]
		if w.now < a.at || s.back[a.pool] != 0 {
			return false
		}
		w.add(a.def)
		return true
	})
}

// shareFigures are the results of a play.
type shareFigures struct {
	served                                               []float64 // by customer, the part of its owed jobs that met their objective
	against                                              []float64 // by customer, the work that met its objective against its fair share
	all, worstTenth, jain, jainWork, hot, others, excess float64
}

func (s *shareSim) figures() shareFigures {
	f := shareFigures{served: make([]float64, shareCustomers), against: make([]float64, shareCustomers)}
	owed, met := make([]float64, shareCustomers), make([]float64, shareCustomers)
	got := make([]float64, shareCustomers)
	demands := map[[2]int][]float64{}
	for _, j := range s.jobs {
		key := [2]int{j.pool, j.turn}
		if demands[key] == nil {
			demands[key] = make([]float64, shareCustomers)
		}
		demands[key][j.customer] += float64(j.work)
		if j.usual {
			owed[j.customer]++
		}
		if j.met {
			met[j.customer]++
			got[j.customer] += float64(j.work)
		}
	}
	weights := make([]float64, shareCustomers)
	for i := range weights {
		weights[i] = s.pools[0].s.weightOf(fmt.Sprintf("c%02d", i))
	}
	fair := make([]float64, shareCustomers)
	for _, d := range demands {
		for i, v := range fairShares(d, weights, shareWorkers*4000*float64(shareTurn)) {
			fair[i] += v
		}
	}
	ok := 0.0
	for i := range owed {
		f.served[i] = min(met[i], owed[i]) / max(owed[i], 1)
		f.against[i] = got[i] / max(fair[i], 1) / (total(got) / total(fair))
		ok += min(met[i], owed[i])
	}
	duringMet, during, excess, excessMet := 0.0, 0.0, 0.0, 0.0
	for _, j := range s.jobs {
		ok := 0.0
		if j.met {
			ok = 1
		}
		if j.customer != s.hot && j.accepted >= shareHotFrom && j.accepted < shareHotUntil {
			during, duringMet = during+1, duringMet+ok
		}
		if !j.usual {
			excess, excessMet = excess+1, excessMet+ok
		}
	}
	f.others, f.excess = duringMet/during, excessMet/max(excess, 1)
	f.jain, f.jainWork, f.all, f.hot = jain(f.served), jain(f.against), ok/total(owed), f.served[s.hot]
	worst := slices.Sorted(slices.Values(f.served))
	f.worstTenth = (worst[0] + worst[1]) / 2
	return f
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// jain returns Jain's index of fairness: 1 if all values are equal, and 1/n if all but one are 0.
func jain(values []float64) float64 {
	squares := 0.0
	for _, v := range values {
		squares += v * v
	}
	return total(values) * total(values) / (float64(len(values)) * squares)
}

// fairShares returns the max-min fair shares of a capacity by weight.
func fairShares(demands, weights []float64, capacity float64) []float64 {
	shares := make([]float64, len(demands))
	order := make([]int, len(demands))
	left := 0.0
	for i := range order {
		order[i] = i
		left += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demands[a]/weights[a], demands[b]/weights[b]) })
	for _, i := range order {
		shares[i] = min(demands[i], capacity*weights[i]/left)
		capacity -= shares[i]
		left -= weights[i]
	}
	return shares
}

// orderBefore is the order of jobs without any regard to customers.
func orderBefore(a, b rank) bool {
	a.beyond, a.over, b.beyond, b.over = false, false, false, false
	return a.before(b)
}

var (
	shareSeeds = flag.Uint64("share-seeds", 2, "number of seeds of TestHotCustomerPaysForItself")
	shareTable = flag.Bool("share-table", false, "TestHotCustomerPaysForItself plays other orders, too")
)

// playShares returns the means of the figures over the seeds.
func playShares(t *testing.T, order func(a, b rank) bool, hot int, viewAge clock.Millis) (mean shareFigures) {
	mean.served, mean.against = make([]float64, shareCustomers), make([]float64, shareCustomers)
	n := float64(*shareSeeds)
	for seed := range *shareSeeds {
		s := newShareSim(t, seed, order, hot)
		s.viewAge = viewAge
		s.run()
		f := s.figures()
		mean.all += f.all / n
		mean.worstTenth += f.worstTenth / n
		mean.jain += f.jain / n
		mean.jainWork += f.jainWork / n
		mean.hot += f.hot / n
		mean.others += f.others / n
		mean.excess += f.excess / n
		for i := range shareCustomers {
			mean.served[i] += f.served[i] / n
			mean.against[i] += f.against[i] / n
		}
	}
	return mean
}

func (f shareFigures) String() string {
	text := fmt.Sprintf("in time: all %.3f, worst tenth of customers %.3f, others while one is hot %.3f, usual jobs of the hot one %.3f, its excess %.3f; Jain's index %.3f, of work %.3f; "+
		"work in time against fair share, largest customer first", f.all, f.worstTenth, f.others, f.hot, f.excess, f.jain, f.jainWork)
	for _, against := range f.against {
		text += fmt.Sprintf(" %.2f", against)
	}
	return text
}

// Guards against a customer with seven times its usual load that takes from the others: while demand turns between the pools, their owners are
// lost one after another, and instances join.
func TestHotCustomerPaysForItself(t *testing.T) {
	before, now := playShares(t, orderBefore, shareHot, 0), playShares(t, rank.before, shareHot, 0)
	t.Logf("no regard to customers: %v", before)
	t.Logf("shares: %v", now)
	if now.others <= before.others {
		t.Errorf("share in time of the other customers' jobs got %.3f, want more than %.3f, as without shares", now.others, before.others)
	}
	if now.excess >= before.excess {
		t.Errorf("share in time of what the hot customer sends beyond its usual got %.3f, want less than %.3f, as without shares", now.excess, before.excess)
	}
	if got, want := now.hot, 0.8; got < want {
		t.Errorf("share in time of the hot customer's usual load got %.3f, want at least %.2f", got, want)
	}
	if got, want := now.worstTenth, now.all/2; got < want {
		t.Errorf("share in time of the worst-served tenth of customers got %.3f, want at least half of the share of all, %.3f", got, want)
	}
	if !*shareTable {
		return
	}
	for _, other := range []struct {
		name    string
		order   func(a, b rank) bool
		hot     int
		viewAge clock.Millis
	}{
		{"first come first served", func(a, b rank) bool { return a.job.acceptedAt < b.job.acceptedAt }, shareHot, 0},
		{"entitlement", func(a, b rank) bool { a.over, b.over = false, false; return a.before(b) }, shareHot, 0},
		{"use against share", func(a, b rank) bool { a.beyond, b.beyond = false, false; return a.before(b) }, shareHot, 0},
		{"weighted fair queueing", func(a, b rank) bool {
			use := func(r rank) float64 { return r.job.share.use / r.job.share.weight }
			if a.class == b.class && a.begun == b.begun && use(a) != use(b) {
				return use(a) < use(b)
			}
			return orderBefore(a, b)
		}, shareHot, 0},
		{"shares, begun jobs beyond the entitlement last", func(a, b rank) bool {
			if a.class == b.class && a.beyond != b.beyond {
				return b.beyond
			}
			return a.before(b)
		}, shareHot, 0},
		{"shares, no customer hot", rank.before, 1, 0},
		{"no regard to customers, none hot", orderBefore, 1, 0},
		{"shares, refused at the door, views 0.1 s old", rank.before, shareHot, 100},
		{"shares, refused at the door, views 1 s old", rank.before, shareHot, 1000},
		{"shares, refused at the door, views 3 s old", rank.before, shareHot, 3000},
		{"shares, refused at the door, views 0.1 s old, none hot", rank.before, 1, 100},
	} {
		t.Logf("%s: %v", other.name, playShares(t, other.order, other.hot, other.viewAge))
	}
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

// Times and settings of the customers and their keys.
const (
	configurationTime = 3 * clock.Second       // until a configuration applies; the users' documentation states this time
	revocationLimit   = 2500 * clock.Millis(1) // setting of the instances; shorter than the longest cut from the store
	capOverage        = 0.1                    // setting of the instances
	keyInterval       = 1500 * clock.Millis(1) // mean interval between changes of keys, apart from those at faults
	keysPerCustomer   = 2                      // that hold at a time
	renameInterval    = 5 * clock.Second       // mean interval between changes of the routes' names
	noCustomer        = ""                     // of jobs in the public queue
	uncappedCustomer  = "cedar"                // also has the jobs that last
	publicPrefix      = "/open/"               // path of the public queue
)

// customers are those of the configuration, without their keys. Their load exceeds their caps at times.
var customers = []standin.Customer{
	{Name: "amber", Weight: 10, Cap: batch.Resources{CPU: 8000}},
	{Name: "birch", Weight: 10, Cap: batch.Resources{CPU: 5000}},
	{Name: uncappedCustomer, Weight: 10},
}

// operator writes the configurations: it renames the routes and gives them their names back, and adds and withdraws keys of customers. It
// knows which keys hold.
type operator struct {
	options Options
	table   *standin.Table
	queues  []batch.Queue // with their first names

	writing sync.Mutex // held for a whole change
	random  *rand.Rand // of the changes; guarded by writing
	version int64      // guarded by writing
	renamed bool       // guarded by writing

	mu   sync.Mutex
	keys []*customerKey // of all configurations, in the order in which they were added
}

// customerKey is a key that a configuration holds or has held.
type customerKey struct {
	key, customer string
	added         clock.Millis // when the store had accepted the configuration with it; unreachable before
	withdrawn     clock.Millis // when the store had accepted the configuration without it; unreachable before
	leaving       bool         // the configuration without it may have been written
}

func newOperator(o Options, table *standin.Table, queues []batch.Queue) *operator {
	p := &operator{options: o, table: table, queues: queues, random: rand.New(rand.NewPCG(o.Seed, 8))}
	p.writing.Lock()
	defer p.writing.Unlock()
	for range keysPerCustomer {
		for i := range customers {
			p.addKey(customers[i].Name)
		}
	}
	p.write()
	return p
}

// addKey adds a key of the customer to the next configuration. p.writing is held.
func (p *operator) addKey(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = append(p.keys, &customerKey{key: fmt.Sprintf("key-%s-%d", customer, len(p.keys)), customer: customer,
		added: clock.Millis(unreachable), withdrawn: clock.Millis(unreachable)})
}

// write writes the next configuration, with all keys that are not leaving. p.writing is held.
func (p *operator) write() {
	p.version++
	queues := slices.Clone(p.queues)
	if p.renamed {
		for i := range queues {
			queues[i].Name += "-renamed"
		}
	}
	configured := slices.Clone(customers)
	for i := range configured {
		for _, k := range p.valid(configured[i].Name) {
			configured[i].Keys = append(configured[i].Keys, k.key)
		}
	}
	p.table.Configure(p.version, pools, standbyPool, queues, configured...)
	now := clock.System().Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.keys {
		if k.leaving {
			k.withdrawn = min(k.withdrawn, now)
		}
		k.added = min(k.added, now)
	}
}

// valid returns the keys of a customer that are not being withdrawn.
func (p *operator) valid(customer string) []*customerKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []*customerKey
	for _, k := range p.keys {
		if k.customer == customer && !k.leaving {
			keys = append(keys, k)
		}
	}
	return keys
}

// changeKeys gives a random customer a new key and withdraws one of its others, in one configuration.
func (p *operator) changeKeys() {
	p.writing.Lock()
	defer p.writing.Unlock()
	customer := customers[p.random.IntN(len(customers))].Name
	before := p.valid(customer)
	leaving := before[p.random.IntN(len(before))]
	p.addKey(customer)
	p.mu.Lock()
	leaving.leaving = true
	p.mu.Unlock()
	p.write()
	p.options.logf("configuration %d, without %s", p.version, leaving.key)
}

// run changes keys and renames the routes until the context ends. It draws from sequences of its own, so that a seed draws the same
// faults as without it. Callers use the same paths throughout.
func (p *operator) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.options.Seed, 7))
	var renaming sync.WaitGroup
	defer renaming.Wait()
	renaming.Go(func() {
		for clock.System().Sleep(ctx, clock.Millis(float64(renameInterval)*random.ExpFloat64())) == nil {
			p.writing.Lock()
			p.renamed = !p.renamed
			p.write()
			p.options.logf("configuration %d, routes renamed: %v", p.version, p.renamed)
			p.writing.Unlock()
		}
	})
	intervals := rand.New(rand.NewPCG(p.options.Seed, 9))
	for clock.System().Sleep(ctx, clock.Millis(float64(keyInterval)*intervals.ExpFloat64())) == nil {
		p.changeKeys()
	}
}

// key returns a random key of the customer that holds or is about to, and "" for noCustomer.
func (p *operator) key(random *rand.Rand, customer string) string {
	if customer == noCustomer {
		return ""
	}
	keys := p.valid(customer)
	return keys[random.IntN(len(keys))].key
}

// withdrawnKey returns a random one of the keys that were withdrawn last; ok is false if there is none.
func (p *operator) withdrawnKey(random *rand.Rand) (withdrawn customerKey, ok bool) {
	const last = 4
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []customerKey
	for _, k := range p.keys {
		if k.leaving {
			keys = append(keys, *k)
		}
	}
	slices.SortStableFunc(keys, func(a, b customerKey) int { return int(b.withdrawn - a.withdrawn) })
	if len(keys) == 0 {
		return customerKey{}, false
	}
	return keys[random.IntN(min(last, len(keys)))], true
}

// checkAnswer returns the violation in the status with which a call was answered, or "". The call was sent at the given time or later, with the key and
// for a queue that is public or not, to an instance that could read the store since readable.
func (p *operator) checkAnswer(public bool, key string, status int, sent, readable clock.Millis) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.keys, func(k *customerKey) bool { return k.key == key })
	known := i >= 0
	switch {
	case public && status == http.StatusUnauthorized:
		return "a call to a public queue is refused for its key"
	case public || status != http.StatusOK && status != http.StatusUnauthorized:
	case status == http.StatusOK && !known:
		return fmt.Sprintf("a call with key %q, which no configuration has held, is answered with success", key)
	case status == http.StatusOK && sent > p.keys[i].withdrawn+revocationLimit:
		return fmt.Sprintf("a call with key %s, sent %d ms after it was withdrawn, is answered with success", key, sent-p.keys[i].withdrawn)
	case status == http.StatusUnauthorized && known && !p.keys[i].leaving && sent > max(p.keys[i].added, readable)+configurationTime:
		return fmt.Sprintf("a call with key %s, sent %d ms after it was added, is refused for its key", key, sent-p.keys[i].added)
	}
	return ""
}

// checkCap returns the violation in a start of a task with the given processor use, or "". running is the use by job, including the start.
func checkCap(customerOf func(job string) string, job string, cpu int, running map[string]int) string {
	i := slices.IndexFunc(customers, func(c standin.Customer) bool { return c.Name == customerOf(job) })
	if i < 0 || customers[i].Cap.CPU == 0 {
		return ""
	}
	used := -cpu
	for other, amount := range running {
		if customerOf(other) == customers[i].Name {
			used += amount
		}
	}
	if limit := float64(customers[i].Cap.CPU) * (1 + capOverage); float64(used) > limit {
		return fmt.Sprintf("customer %s uses %d thousandths of a core without it, at most %.0f are allowed", customers[i].Name, used, limit)
	}
	return ""
}

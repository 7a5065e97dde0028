package grant

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// Limits and times of a Ledger.
const (
	// MaxRows bounds the rows of one transaction: the store accepts 100 entries, and a row is a condition and a put.
	MaxRows = 45

	// MaxAge bounds the age of the configuration with which a task may start. A configuration has to apply within 3 s; the rest is for
	// the start order to arrive.
	MaxAge = 2700 * clock.Millis(1)

	// What an entry says of its needs is rounded up to these parts of the limit, so that it need not be rewritten at each change.
	wantedSteps  = 32
	missingSteps = 8

	spareDivisor = 8                // a pool keeps up to this part of the limit beyond its need
	freeDivisor  = 4                // of what is free, a raise takes at most this part beyond the need
	surplusDelay = 1 * clock.Second // after which a larger surplus is given up, except for what was needed meanwhile
	// While pools ask for more than is left, what is wanted first is kept free for reservationTime, and then not for as long: a task that
	// does not fit beside long ones must not hold back the others.
	reservationTime = 1 * clock.Second
)

// Unit is a number of equal tasks that wait in a pool, each of which can start alone, or a gang, which starts as a whole.
type Unit struct {
	Need  batch.Resources // of one task
	Tasks int
	Gang  bool
}

// Demand is what a customer needs in one pool.
type Demand struct {
	Use     batch.Resources // of everything that runs or may run
	Waiting []Unit          // could start now if the amount allowed it; first come those to start first
}

// Write is a change of one customer's row. It must only be applied if the row still has Version; 0 means that there is no row.
type Write struct {
	Customer string
	Version  int64
	Row      Row

	urgent bool // tasks wait for it
}

// Outcome is what is known of a transaction.
type Outcome int

// Outcomes of a transaction.
const (
	Unknown  Outcome = iota // may have been applied, or may still be applied later
	Applied                 // has been applied
	Rejected                // has not been applied, and will not be
)

// Ledger holds what the owner of one pool knows of the grants, and decides on those of its pool. It is not safe for concurrent use.
type Ledger struct {
	// Age returns the time for which the configuration of this instance may have missed changes; nil: none. It is set before the first
	// call.
	Age func() clock.Millis

	pool          string
	token         int64
	overage       float64
	now           clock.Millis
	configuration *batch.Configuration
	accounts      map[string]*account // by customer
	lastPart      string              // part of the newest transaction
	superseded    bool
}

// account is what the ledger knows of one customer.
type account struct {
	row     Row
	version int64 // of row; 0: there is none
	seen    int64 // newest version that was read, also of a deletion or of a row that cannot be decoded
	// open holds the amounts of the writes without a known outcome, all of which are conditioned on version or an older one: a row with a
	// newer version settles them.
	open           []batch.Resources
	inFlight       bool
	yields         bool // starts stay within most, as another pool comes first
	most           batch.Resources
	unreadable     bool
	surplusSince   clock.Millis    // 0: no surplus
	peak           batch.Resources // largest need since then
	contendedSince clock.Millis    // since when pools ask; 0: none does
	allowed        *allowed        // nil: to be computed
}

// allowed is the part of an account that decides on starts.
type allowed struct {
	limit  batch.Resources
	amount batch.Resources
	within bool // the amounts of all pools are within the limit, and the row has a limit at least as tight
	alone  bool // no other pool has an amount
}

// NewLedger returns the ledger of a pool whose owner has claimed it with the given token. overage is the part of a cap by which a
// customer may exceed it.
func NewLedger(pool string, token int64, overage float64) *Ledger {
	return &Ledger{pool: pool, token: token, overage: overage, configuration: &batch.Configuration{}, accounts: map[string]*account{}}
}

// Configure sets the configuration in force at this instance.
func (l *Ledger) Configure(c *batch.Configuration) {
	if c.Version < l.configuration.Version {
		return
	}
	l.configuration = c
	for _, a := range l.accounts {
		a.allowed = nil
	}
}

// Superseded reports whether a row shows that the pool has a newer owner. The ledger then allows and writes nothing.
func (l *Ledger) Superseded() bool { return l.superseded }

func (l *Ledger) account(customer string) *account {
	a := l.accounts[customer]
	if a == nil {
		a = &account{}
		l.accounts[customer] = a
	}
	return a
}

// ownLimit returns the limit of a customer according to the configuration of this instance; known is false if it has no such customer.
func (l *Ledger) ownLimit(customer string) (limit batch.Resources, known bool) {
	c, ok := l.configuration.Customer(customer)
	if !ok {
		return batch.Resources{}, false
	}
	return Limit(c.Cap, l.overage), true
}

// limit returns the limit that this owner has to obey. A newer configuration than its own may have been stored with the row.
func (l *Ledger) limit(customer string, a *account) batch.Resources {
	own, known := l.ownLimit(customer)
	if a.version != 0 && (!known || a.row.Configuration >= l.configuration.Version) {
		return a.row.Limit
	}
	return own
}

// Learn takes in a row that was read from the store. Older versions than the known one are ignored.
func (l *Ledger) Learn(customer string, version int64, row Row) {
	a := l.account(customer)
	if version <= a.seen {
		return
	}
	a.row, a.version, a.seen, a.open, a.allowed, a.unreadable = row, version, version, nil, nil, false
	if row.Pools[l.pool].Token > l.token {
		l.superseded = true
	}
}

// LearnUnreadable takes in that a version of a customer's row cannot be decoded. Until a newer one can, or the row is deleted, none of the
// customer's tasks starts.
func (l *Ledger) LearnUnreadable(customer string, version int64) {
	if a := l.account(customer); version > a.seen {
		a.seen, a.unreadable = version, true
	}
}

// LearnDeleted takes in that the row of a customer was deleted, by a change of the given version or after that. It then starts anew.
func (l *Ledger) LearnDeleted(customer string, version int64) {
	a := l.account(customer)
	if version < a.seen {
		return
	}
	a.row, a.version, a.seen, a.open, a.allowed, a.unreadable = Row{}, 0, version, nil, nil, false
}

// Allows reports whether count tasks that need the given amount each may start together while the customer's runs in this pool use
// the given amount.
func (l *Ledger) Allows(customer string, use, need batch.Resources, count int) bool {
	return l.check(customer, use, need, count, true)
}

// Covers is Allows for tasks that have been placed already: another pool that comes first does not matter.
func (l *Ledger) Covers(customer string, use, need batch.Resources, count int) bool {
	return l.check(customer, use, need, count, false)
}

func (l *Ledger) check(customer string, use, need batch.Resources, count int, yields bool) bool {
	a := l.accounts[customer]
	own, known := l.ownLimit(customer)
	if a == nil {
		return own == batch.Resources{} && (known || l.recent())
	}
	if a.allowed == nil {
		a.allowed = l.compute(customer, a)
	}
	limit := a.allowed.limit
	use, need = limited(use, limit), limited(need, limit)
	total := times(need, count)
	amount := a.allowed.amount
	if yields && a.yields {
		amount = lower(amount, a.most)
	}
	switch {
	case limit == batch.Resources{}:
		return known || l.recent()
	case l.superseded || a.unreadable || !l.recent() || !use.Add(total).Fits(amount):
		return false
	case a.allowed.within:
		return true
	}
	return a.allowed.alone && use == batch.Resources{} && total.Sub(need).Fits(limit)
}

// recent reports whether tasks may start with the configuration of this instance; a newer one may have customers that it does not know.
func (l *Ledger) recent() bool { return l.Age == nil || l.Age() <= MaxAge }

func (l *Ledger) compute(customer string, a *account) *allowed {
	result := &allowed{limit: l.limit(customer, a)}
	entry := a.row.Pools[l.pool]
	if entry.Token == l.token {
		result.amount = entry.Amount
	}
	for _, amount := range a.open {
		result.amount = lower(result.amount, amount)
	}
	result.amount = limited(result.amount, result.limit)
	stored := a.version != 0 && (a.row.Configuration >= l.configuration.Version || within(a.row.Limit, result.limit))
	result.within = stored && limited(a.row.Granted(), result.limit).Fits(result.limit)
	result.alone = stored && limited(a.row.Granted().Sub(entry.Amount), result.limit) == batch.Resources{}
	return result
}

// within reports whether limit a is at least as tight as limit b in every part.
func within(a, b batch.Resources) bool {
	part := func(a, b int) bool { return b == 0 || a != 0 && a <= b }
	return part(a.CPU, b.CPU) && part(a.MemoryMB, b.MemoryMB) && part(a.GPUs, b.GPUs)
}

// Granted returns what the customer's runs may use in this pool and in all pools, both zero if the customer has no cap.
func (l *Ledger) Granted(customer string) (amount, limit batch.Resources) {
	a := l.accounts[customer]
	if a == nil {
		return batch.Resources{}, batch.Resources{}
	}
	if a.allowed == nil {
		a.allowed = l.compute(customer, a)
	}
	return a.allowed.amount, a.allowed.limit
}

// Next returns the writes of the next transaction, at most MaxRows of one part, and counts them as sent; nil if nothing is to be changed.
// demands has all customers that use or need something in the pool. Answered must be called with the outcome.
func (l *Ledger) Next(now clock.Millis, demands map[string]Demand) []Write {
	l.now = now
	if l.superseded {
		return nil
	}
	byPart := map[string][]Write{}
	consider := func(customer string, a *account, d Demand) {
		if !a.inFlight && !a.unreadable {
			if w, due := l.decide(customer, a, d); due {
				part := store.GrantPart(customer)
				byPart[part] = append(byPart[part], w)
			}
		}
	}
	for customer, d := range demands {
		if limit, _ := l.ownLimit(customer); l.accounts[customer] == nil && limit == (batch.Resources{}) {
			continue
		}
		consider(customer, l.account(customer), d)
	}
	for customer, a := range l.accounts {
		if _, ok := demands[customer]; !ok {
			consider(customer, a, Demand{})
		}
	}
	if len(byPart) == 0 {
		return nil
	}
	parts := slices.Sorted(maps.Keys(byPart))
	part := parts[0]
	for _, p := range parts {
		if p > l.lastPart {
			part = p
			break
		}
	}
	l.lastPart = part
	writes := byPart[part]
	slices.SortFunc(writes, l.order)
	writes = writes[:min(len(writes), MaxRows)]
	for _, w := range writes {
		a, entry := l.accounts[w.Customer], w.Row.Pools[l.pool]
		a.inFlight, a.allowed = true, nil
		a.open = append(a.open, entry.Amount)
	}
	return writes
}

// Answered takes in the outcome of a transaction. version is that of the transaction if it was applied.
func (l *Ledger) Answered(writes []Write, outcome Outcome, version int64) {
	for _, w := range writes {
		a := l.accounts[w.Customer]
		a.inFlight, a.allowed = false, nil
		switch outcome {
		case Applied:
			l.Learn(w.Customer, version, w.Row)
		case Rejected:
			if i := slices.Index(a.open, w.Row.Pools[l.pool].Amount); i >= 0 {
				a.open = slices.Delete(a.open, i, i+1)
			}
		}
	}
}

// order sorts writes: those for which tasks wait come first, then those of rows that have not changed for longest, so that none is left out
// for good. The owners of pools take equal ones in different orders, as they would only get in each other's way.
func (l *Ledger) order(x, y Write) int {
	if x.urgent != y.urgent {
		if x.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(l.position(x.Customer), l.position(y.Customer)), cmp.Compare(x.Customer, y.Customer))
}

func (l *Ledger) position(customer string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.pool + "/" + customer)) // hash.Hash.Write never returns an error
	return h.Sum32()
}

// decide returns the write that brings the entry of this pool to what the demand calls for, and whether one is due.
func (l *Ledger) decide(customer string, a *account, d Demand) (Write, bool) {
	limit := l.limit(customer, a)
	entry := a.row.Pools[l.pool]
	idle := len(d.Waiting) == 0 && d.Use == batch.Resources{}
	if limit == (batch.Resources{}) || idle && len(a.open) == 0 && entry.Amount == (batch.Resources{}) && entry.Asked == 0 {
		return Write{}, false
	}
	next := l.target(a, entry, limit, d)
	next.Token = l.token
	row := Row{Configuration: a.row.Configuration, Limit: a.row.Limit, Pools: maps.Clone(a.row.Pools)}
	own, known := l.ownLimit(customer)
	stamp := known && (a.version == 0 || l.configuration.Version > row.Configuration && own != row.Limit)
	if stamp {
		row.Configuration, row.Limit = l.configuration.Version, own
	}
	if next == entry && !stamp && len(a.open) == 0 {
		return Write{}, false
	}
	if row.Pools == nil {
		row.Pools = map[string]Entry{}
	}
	row.Pools[l.pool] = next
	return Write{customer, a.version, row, len(d.Waiting) > 0}, true
}

// target returns the entry that the demand calls for, without its token.
func (l *Ledger) target(a *account, entry Entry, limit batch.Resources, d Demand) Entry {
	use := limited(d.Use, limit)
	held := limited(entry.Amount, limit)
	others := limited(a.row.Granted().Sub(entry.Amount), limit)
	over := !others.Add(held).Fits(limit)
	reserving := l.reserving(a)
	reserved, lacking := l.wantedFirst(a, entry, limit)
	if !reserving {
		reserved = batch.Resources{}
	}
	// A pool with much to run would otherwise start as much as ends.
	a.yields, a.most = reserved != batch.Resources{}, limit.Sub(others).Sub(reserved)
	// What is held beyond the use counts as free here: another pool that has asked longer comes first.
	ceiling := higher(use, limit.Sub(others).Sub(reserved))
	need := use
	var missing, first batch.Resources
	taken, saving := false, false // saving: for the first unit that does not fit
	for _, unit := range d.Waiting {
		size, count := limited(unit.Need, limit), unit.Tasks
		oneTask := size
		if unit.Gang {
			size, count = times(size, unit.Tasks), 1
		}
		if !size.Sub(oneTask).Fits(limit) {
			continue // a gang that the cap never allows
		}
		if !size.Fits(limit) && use == (batch.Resources{}) && others == (batch.Resources{}) && need == use {
			need, taken = size, true
			break
		}
		n := 0
		if !saving {
			n = fitting(size, ceiling.Sub(need), count)
		}
		need = need.Add(times(size, n))
		taken = taken || n > 0
		if n == count {
			continue
		}
		missing = missing.Add(times(size, count-n))
		if first == (batch.Resources{}) {
			first = size
		}
		saving = saving || reserving && size.Fits(limit)
	}
	next := Entry{Amount: need}
	if first != (batch.Resources{}) {
		next.Wanted, next.Asked = first, entry.Asked
		if first.Fits(limit) {
			next.Wanted = coarse(first, limit, wantedSteps)
		}
		next.Missing = coarse(missing, limit, missingSteps)
		if entry.Asked == 0 || taken && !need.Fits(held) {
			next.Asked = max(a.version, 1)
		}
		return next
	}
	if over {
		return next
	}
	// What others lack and the limit leaves is theirs to take; only the rest has to be given up.
	lacking = higher(lacking.Sub(limit.Sub(others).Sub(held)), batch.Resources{})
	if lacking != (batch.Resources{}) {
		next.Amount = higher(need, held.Sub(lacking))
		return next
	}
	spare := divide(limit, spareDivisor)
	if !need.Fits(held) {
		next.Amount = higher(held, need.Add(lower(spare, divide(higher(limit.Sub(others).Sub(need), batch.Resources{}), freeDivisor))))
		a.surplusSince = 0
		if !next.Amount.Add(others).Fits(limit) {
			next.Amount = need
		}
		return next
	}
	if held.Sub(need).Fits(times(spare, 2)) {
		a.surplusSince = 0
	} else if a.surplusSince == 0 {
		a.surplusSince, a.peak = max(l.now, 1), need
	}
	next.Amount = held
	a.peak = higher(a.peak, need)
	if a.surplusSince != 0 && l.now-a.surplusSince >= surplusDelay {
		next.Amount, a.surplusSince = lower(held, a.peak.Add(spare)), 0
	}
	return next
}

// reserving reports whether what is wanted first is to be kept free now.
func (l *Ledger) reserving(a *account) bool {
	contended := false
	for _, e := range a.row.Pools {
		contended = contended || e.Asked != 0
	}
	switch {
	case !contended:
		a.contendedSince = 0
	case a.contendedSince == 0:
		a.contendedSince = max(l.now, 1)
	}
	return contended && (l.now-a.contendedSince)/reservationTime%2 == 0
}

// wantedFirst returns what another pool that comes before this one asks for first, and what all others lack. Pools come in the order of the
// part of the limit that they hold, so that none of them starves behind one that has much to run.
func (l *Ledger) wantedFirst(a *account, entry Entry, limit batch.Resources) (amount, lacking batch.Resources) {
	first := claim{held: share(entry.Amount, limit), asked: entry.Asked, pool: l.pool}
	for pool, e := range a.row.Pools {
		wanted := limited(e.Wanted, limit)
		if pool == l.pool || e.Asked == 0 {
			continue
		}
		lacking = lacking.Add(limited(e.Missing, limit))
		other := claim{share(e.Amount, limit), e.Asked, pool}
		if wanted.Fits(limit) && other.before(first) {
			first, amount = other, wanted
		}
	}
	return amount, lacking
}

// claim is the rank of a pool among those that ask for a part of a limit.
type claim struct {
	held  float64
	asked int64 // 0: the pool does not ask
	pool  string
}

func (c claim) before(o claim) bool {
	if c.held != o.held {
		return c.held < o.held
	}
	if c.asked != o.asked {
		return o.asked == 0 || c.asked != 0 && c.asked < o.asked
	}
	return c.pool < o.pool
}

// share returns the largest part that the amount is of the limit.
func share(amount, limit batch.Resources) float64 {
	part := func(amount, limit int) float64 { return float64(amount) / float64(max(limit, 1)) }
	amount = limited(amount, limit)
	return max(part(amount.CPU, limit.CPU), part(amount.MemoryMB, limit.MemoryMB), part(amount.GPUs, limit.GPUs))
}

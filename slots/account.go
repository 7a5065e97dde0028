package slots

import (
	"sync/atomic"

	"magnoliaferry/clock"
)

// slotCount holds a limit of slots (high 32 bits) and the number of slots in use (low 32 bits) in one word, so that
// both change atomically. The limit can fall below the number in use; acquire then fails until enough slots are
// released.
type slotCount struct{ word atomic.Int64 }

func pack(limit, used int) int64 { return int64(limit)<<32 | int64(used) }

func unpack(word int64) (limit, used int) { return int(word >> 32), int(word & (1<<32 - 1)) }

func (c *slotCount) load() (limit, used int) { return unpack(c.word.Load()) }

func (c *slotCount) acquire() bool {
	for {
		word := c.word.Load()
		if limit, used := unpack(word); used >= limit {
			return false
		}
		if c.word.CompareAndSwap(word, word+1) {
			return true
		}
	}
}

func (c *slotCount) release() bool {
	for {
		word := c.word.Load()
		if _, used := unpack(word); used == 0 {
			return false
		}
		if c.word.CompareAndSwap(word, word-1) {
			return true
		}
	}
}

func (c *slotCount) setLimit(limit int) {
	for {
		word := c.word.Load()
		_, used := unpack(word)
		if c.word.CompareAndSwap(word, pack(limit, used)) {
			return
		}
	}
}

// takeForLoan lowers the limit by at most want and at most half of the unused slots, and returns the difference.
func (c *slotCount) takeForLoan(want int) int {
	for {
		word := c.word.Load()
		limit, used := unpack(word)
		taken := min(want, (limit-used)/2)
		if taken <= 0 {
			return 0
		}
		if c.word.CompareAndSwap(word, pack(limit-taken, used)) {
			return taken
		}
	}
}

// withdrawUnused lowers the limit by at most want and at most the unused slots, and returns the new limit.
func (c *slotCount) withdrawUnused(want int) (limit int) {
	for {
		word := c.word.Load()
		limit, used := unpack(word)
		limit -= min(want, max(limit-used, 0))
		if c.word.CompareAndSwap(word, pack(limit, used)) {
			return limit
		}
	}
}

// borrowedLoan is a loan to this instance, usable until end.
type borrowedLoan struct {
	slotCount
	end    clock.Millis
	lender string
	terms  Loan
	unused int // number of unused slots at the last call of GiveBack
}

// lent is a loan from this instance: slots that the borrower may use until end.
type lent struct {
	units    int
	end      clock.Millis
	borrower string
	terms    Loan
}

// Account counts the units of one resource that this entry instance may use and those in use. Its methods take no lock,
// except that Release may while a loan ends.
type Account struct {
	ledger   *Ledger
	resource string

	base   slotCount
	loans  atomic.Pointer[[]*borrowedLoan] // by end, earliest first; replaced under ledger.mu
	missed atomic.Int64                    // failed acquisitions that a loan could serve, since the last Wants

	// Guarded by ledger.mu.
	zone  string
	units int
	lent  []lent
}

// Resource returns the name, for example "worker/w17".
func (a *Account) Resource() string { return a.resource }

// TryAcquire takes a slot for a request that ends by the deadline, a time of the ledger's clock at most LongestDeadline
// ahead. A borrowed slot is used only if the deadline is not after the end of its loan.
func (a *Account) TryAcquire(deadline clock.Millis) bool {
	now := a.ledger.Clock.Now()
	if !a.ledger.membershipConfirmed(now) || deadline > now+LongestDeadline {
		return false
	}
	// Borrowed slots are used first: loans expire, and the instance's own slots stay free for longer requests.
	for _, b := range a.borrowedLoans() {
		if deadline <= b.end && now < b.end && b.acquire() {
			return true
		}
	}
	if a.base.acquire() {
		return true
	}
	if deadline <= now+LoanPeriod-loanSetupTime {
		a.missed.Add(1)
	}
	return false
}

// Release gives back a slot. Call it once for each successful TryAcquire, at the latest at the deadline. It panics if
// no slot is in use.
//
// The account does not record which loan or share a request used. The slot is returned to the loan that ends first and
// counts a slot in use, or else to the share. This is safe: a request that ends after a loan was never counted against it,
// and the counts of the share and of later loans are lowered only when no earlier loan counts a slot in use. At the end
// of a loan the remaining counts therefore cover every request that still runs.
func (a *Account) Release() {
	if a.tryRelease() {
		return
	}
	// expire moves the count of an ended loan to the own share while it holds ledger.mu.
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if !a.tryRelease() {
		panic("slots: Release of " + a.resource + " without a slot in use")
	}
}

func (a *Account) tryRelease() bool {
	for _, b := range a.borrowedLoans() {
		if b.release() {
			return true
		}
	}
	return a.base.release()
}

// Free returns how many slots are available to requests with a short deadline; 0 while the membership is unconfirmed.
func (a *Account) Free() int {
	now := a.ledger.Clock.Now()
	if !a.ledger.membershipConfirmed(now) {
		return 0
	}
	free := 0
	for _, b := range a.borrowedLoans() {
		if now < b.end {
			limit, used := b.load()
			free += max(0, limit-used)
		}
	}
	limit, used := a.base.load()
	return free + max(0, limit-used)
}

// Used returns how many slots are in use.
func (a *Account) Used() int {
	_, total := a.base.load()
	for _, b := range a.borrowedLoans() {
		_, used := b.load()
		total += used
	}
	return total
}

// Connections returns how many connections the instance may have open to the worker: 8 (ConnectionsPerSlot) for each
// slot of its share or borrowed.
func (a *Account) Connections() int {
	now := a.ledger.Clock.Now()
	held, _ := a.base.load()
	for _, b := range a.borrowedLoans() {
		if now < b.end {
			limit, _ := b.load()
			held += limit
		}
	}
	return held * ConnectionsPerSlot
}

func (a *Account) borrowedLoans() []*borrowedLoan {
	if loans := a.loans.Load(); loans != nil {
		return *loans
	}
	return nil
}

// expire removes the loans in both directions that have ended. It needs ledger.mu. The next update adds the slots of
// ended loans to others to the limit of the own share again.
func (a *Account) expire(now clock.Millis) {
	var kept []*borrowedLoan
	for _, b := range a.borrowedLoans() {
		if now < b.end {
			kept = append(kept, b)
		}
	}
	if ended := a.borrowedLoans()[:len(a.borrowedLoans())-len(kept)]; len(ended) > 0 {
		a.loans.Store(&kept)
		for _, b := range ended {
			// Requests that overran their deadline stay counted, now against the own share.
			_, used := unpack(b.word.Swap(0))
			a.base.word.Add(int64(used))
		}
	}
	var out []lent
	for _, o := range a.lent {
		if now < o.end {
			out = append(out, o)
		}
	}
	a.lent = out
}

func (a *Account) lentUnits() int {
	total := 0
	for _, o := range a.lent {
		total += o.units
	}
	return total
}

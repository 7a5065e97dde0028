package slots

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"magnoliaferry/clock"
)

// Times of loans.
const (
	// LoanPeriod is the longest deadline of a request: loans of 10 s could not serve requests with the default deadline of
	// 10 s. Slots that the borrower does not use come back within a second.
	LoanPeriod = LongestDeadline
	// loanMargin is how much longer the lender keeps lent slots back. The borrower counts the period from before its
	// question, so the margin only has to cover clocks that run at different rates: 1% of the period.
	loanMargin = LoanPeriod / 100
	// loanSetupTime is the part of a loan that has passed when the borrower uses it. A request that ends later could not
	// use the loan, so it does not ask for one.
	loanSetupTime = clock.Second
)

// Ledger holds the shares and loans of one entry instance. The exported fields are set before the first call.
type Ledger struct {
	Clock       *clock.Clock
	ID          string // of the entry instance, in its roster
	Incarnation int64  // with which the instance joins first; see Rejoin
	Zone        string
	// OpenConnections returns the connections that are open to a resource, busy or idle. A smaller share is confirmed
	// only once they fit it. Optional.
	OpenConnections func(resource string) int
	Logger          *slog.Logger // nil: no log

	accounts    sync.Map // resource to *Account
	confirmedAt atomic.Int64
	started     atomic.Bool // confirmed holds a time

	mu              sync.Mutex
	allAccounts     []*Account // the same accounts
	incarnation     int64
	ownIncarnations map[int64]bool // incarnations of this process
	rosters         map[string]Roster
	departed        map[identity]*quarantine // of the own zone
	releasable      map[identity]bool        // departed members whose slots are certainly not in use
	table           answerPeriod
	unbroken        clock.Millis      // since when every attempt to confirm followed the one before within the lease period
	suspended       bool              // the last attempt after a pause did not count
	withLoans       map[*Account]bool // accounts that expire has to visit
	lastLoanNumber  int64             // granted so far
}

// quarantine is the time during which the slots of a departed member stay unused.
type quarantine struct {
	seen      clock.Millis // when this instance learned of the departure
	stoppedBy clock.Millis // by when the member had certainly stopped dispatching
	stopKnown bool         // stopped holds a time
}

// answerPeriod is the period for which the table answered without a gap.
type answerPeriod struct {
	since, last clock.Millis // beginnings of the first and of the last attempt
	answers     bool
}

// maxPollGap is the longest time between two attempts of a period without a gap: one poll a second may fail to run.
const maxPollGap = 2 * clock.Second

// Want is a resource of which the instance is short.
type Want struct {
	resource string
	zone     string
	units    int
}

// Resource returns the name of the resource.
func (w Want) Resource() string { return w.resource }

// Zone returns the zone of the resource, or "" for one of the whole fleet.
func (w Want) Zone() string { return w.zone }

// Units returns how many slots to ask for.
func (w Want) Units() int { return w.units }

// Account returns the account of a resource: "worker/<id>", "team/<name>" or "pool/<name>". It stays the same object.
func (l *Ledger) Account(resource string) *Account {
	if a, ok := l.accounts.Load(resource); ok {
		return a.(*Account)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a, known := l.accounts.LoadOrStore(resource, &Account{ledger: l, resource: resource})
	if !known {
		l.allAccounts = append(l.allAccounts, a.(*Account))
	}
	return a.(*Account)
}

// SetCapacity sets how many units of a resource exist; zone "" says that the whole fleet shares them. While the
// members of a roster know different values, their shares add up to at most the greatest of them.
func (l *Ledger) SetCapacity(resource, zone string, units int) {
	a := l.Account(resource)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.zone, a.units = zone, units
	l.update(a, l.Clock.Now())
}

// SetRoster takes a roster that was read from the table or received from a peer; an older one has no effect.
func (l *Ledger) SetRoster(zone string, roster Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	if known, ok := l.rosters[zone]; ok && known.version >= roster.version {
		return
	}
	wasActive := l.isActive()
	l.rosters[zone] = roster
	if wasActive && !l.isActive() {
		eventLost.Log(context.Background(), l.Logger, slog.Int64("incarnation", l.incarnation))
	}
	now := l.Clock.Now()
	if zone == l.Zone {
		departed := make(map[identity]*quarantine)
		for _, m := range roster.members {
			if m.fields.State == Active {
				continue
			}
			q := l.departed[m.identity()]
			if q == nil {
				q = &quarantine{seen: now}
			}
			departed[m.identity()] = q
		}
		l.departed = departed
		for m := range l.releasable {
			if _, still := departed[m]; !still {
				delete(l.releasable, m)
			}
		}
	}
	l.updateAll(now)
}

// Roster returns the newest known roster of a zone.
func (l *Ledger) Roster(zone string) Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rosters[zone]
}

// Member reports whether the instance is an active member of the newest known roster of its zone.
func (l *Ledger) Member() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	return l.isActive()
}

// Rejoin sets the incarnation with which the instance joins again after it was removed.
func (l *Ledger) Rejoin(incarnation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	l.incarnation = incarnation
	l.ownIncarnations[incarnation] = true
	l.updateAll(l.Clock.Now())
}

// Confirm says that an attempt to confirm the membership, begun at the given time, is complete: the table or a peer
// answered and SetRoster was called, or nobody answered. The flag says whether the table answered, and unbroken is the
// greatest value of Unbroken that a peer of the zone answered with, or 0. Without a call the instance dispatches nothing
// once the lease period has passed since the beginning of the last attempt.
//
// After a pause longer than the lease period the attempt counts only when the table answered, or a peer that was not
// suspended meanwhile itself. Otherwise the instance could have been removed, and its slots be in use elsewhere, while
// it and every peer that knows of it were paused.
func (l *Ledger) Confirm(started clock.Millis, table bool, unbroken clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	if table {
		if !l.table.answers || started-l.table.last > maxPollGap {
			l.table.since = started
		}
		l.table.last = max(l.table.last, started)
	}
	l.table.answers = table
	l.updateAll(l.Clock.Now())
	last := clock.Millis(l.confirmedAt.Load())
	if !l.started.Load() || started-last > LeasePeriod {
		if l.started.Load() && !table && unbroken < started-last {
			if !l.suspended {
				eventSuspended.Log(context.Background(), l.Logger, slog.Int64("pause-ms", int64(started-last)))
			}
			l.suspended = true
			return
		}
		if l.suspended {
			eventResumed.Log(context.Background(), l.Logger, slog.Int64("pause-ms", int64(started-last)))
		}
		l.unbroken, l.suspended = started, false
	}
	if !l.started.Load() || started > last {
		l.confirmedAt.Store(int64(started))
		l.started.Store(true)
	}
}

// Unbroken returns for how long the instance has confirmed its membership without a pause longer than the lease period,
// or 0 while it is suspended. It goes with the roster to a peer that asks because the table does not answer.
func (l *Ledger) Unbroken() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if !l.membershipConfirmed(now) {
		return 0
	}
	return now - l.unbroken
}

// Propose returns the roster row that follows from the newest known one and from the slots in use here: the own
// confirmation of the current generation, and the release of departed members whose slots are certainly free. It
// reports false when there is nothing to write. The row is written conditional on Roster.Version.
func (l *Ledger) Propose() (Roster, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	now := l.Clock.Now()
	l.updateAll(now)
	next, changed := l.rosters[l.Zone], false
	apply := func(r Roster, ok bool) {
		if ok {
			next, changed = r, true
		}
	}
	for m := range l.releasable {
		apply(next.Release(m.ID, m.Incarnation))
	}
	if l.usageFits() {
		apply(next.Confirm(l.ID, l.incarnation, next.Generation()))
	}
	return next, changed
}

// Ready reports whether requests should be sent to this instance: its membership is confirmed and, where its zone has
// workers, it holds a slot of one. A member that replaces a killed one holds none until the quarantine is over, and loans
// serve only the requests with short deadlines.
func (l *Ledger) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.membershipConfirmed(l.Clock.Now()) {
		return false
	}
	holds, workers := false, false
	l.eachLocalAccount(func(a *Account) {
		if a.zone == l.Zone && a.units > 0 {
			limit, _ := a.base.load()
			holds, workers = holds || limit > 0, true
		}
	})
	return holds || !workers
}

// Drained reports whether no slot of the own share is in use or lent, so that a leaving instance may exit.
func (l *Ledger) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLoans(l.Clock.Now())
	return l.shareUnused()
}

// Loan is what a lender grants. Its numbers identify it, so that a late or repeated message about one loan does not
// change another.
type Loan struct {
	incarnation int64
	number      int64
	units       int
	period      clock.Millis
}

// NewLoan returns a loan as it was received from a lender; the numbers are those of Loan.Numbers there.
func NewLoan(incarnation, number int64, units int, period clock.Millis) Loan {
	return Loan{incarnation, number, units, period}
}

// Numbers returns what identifies the loan at its lender.
func (l Loan) Numbers() (incarnation, number int64) { return l.incarnation, l.number }

// Units returns how many slots were granted; 0 says none.
func (l Loan) Units() int { return l.units }

// Period returns how long the loan lasts, in milliseconds from the question.
func (l Loan) Period() clock.Millis { return l.period }

// Unused is a loan of which the borrower gives slots back.
type Unused struct {
	lender, resource string
	loan             Loan
}

// NewUnused returns a message as it was received from a borrower; the units of the loan are what the borrower keeps.
func NewUnused(lender, resource string, loan Loan) Unused { return Unused{lender, resource, loan} }

// Lender returns the id of the member that gets its slots back.
func (u Unused) Lender() string { return u.lender }

// Resource returns the name of the resource.
func (u Unused) Resource() string { return u.resource }

// Loan returns the loan with the units that the borrower keeps.
func (u Unused) Loan() Loan { return u.loan }

// Lend gives slots that are free here to a borrower and returns how many and for how long; they come back only at the
// end. See Grant.
func (l *Ledger) Lend(borrower, resource string, want int) (granted int, period clock.Millis) {
	loan := l.Grant(borrower, resource, want)
	return loan.units, loan.period
}

// Grant gives slots that are free here to a borrower. They are subtracted before it returns.
func (l *Ledger) Grant(borrower, resource string, want int) Loan {
	a := l.Account(resource)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if borrower == l.ID || !l.membershipConfirmed(now) {
		return Loan{}
	}
	l.update(a, now)
	// Half of the free slots stay for the own requests: a lender that gave all but one was short itself soon, and
	// requests that end after a loan can use own slots only.
	granted := a.base.takeForLoan(want)
	if granted == 0 {
		return Loan{}
	}
	countLent.Add(int64(granted))
	l.lastLoanNumber++
	loan := Loan{l.incarnation, l.lastLoanNumber, granted, LoanPeriod}
	a.lent = append(a.lent, lent{granted, now + LoanPeriod + loanMargin, borrower, loan})
	l.trackLoans(a)
	return loan
}

// Borrow takes over a loan that is not given back before its end; see Accept.
func (l *Ledger) Borrow(lender, resource string, granted int, period clock.Millis) {
	l.Accept(lender, resource, Loan{units: granted, period: period})
}

// Accept takes over a loan. The period counts from now, so the caller reduces the lender's period by the time since it
// sent its question.
func (l *Ledger) Accept(lender, resource string, terms Loan) {
	if terms.units <= 0 || terms.period <= 0 || lender == l.ID {
		return
	}
	a := l.Account(resource)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	a.expire(now)
	b := &borrowedLoan{end: now + min(terms.period, LoanPeriod), lender: lender, terms: terms}
	b.setLimit(terms.units)
	countBorrowed.Add(int64(terms.units))
	loans := append(slices.Clone(a.borrowedLoans()), b)
	sort.SliceStable(loans, func(i, j int) bool { return loans[i].end < loans[j].end })
	a.loans.Store(&loans)
	l.trackLoans(a)
}

// GiveBack ends the borrowed slots that were unused at this call and at the one before, and returns what their lenders
// have to be told; call it twice a second. A message that is lost only delays the return until the end of the loan.
func (l *Ledger) GiveBack() []Unused {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Unused
	for a := range l.withLoans {
		for _, b := range a.borrowedLoans() {
			limit, used := b.load()
			free := max(limit-used, 0)
			idle := min(free, b.unused)
			b.unused = free
			if idle == 0 || b.terms.number == 0 {
				continue
			}
			kept := b.terms
			kept.units = b.withdrawUnused(idle)
			b.unused = 0
			all = append(all, Unused{b.lender, a.resource, kept})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].resource < all[j].resource ||
			(all[i].resource == all[j].resource && all[i].loan.number < all[j].loan.number)
	})
	return all
}

// TakeBack restores the slots of a loan that the borrower no longer keeps. The message names what it keeps, which only
// shrinks, so a repeated or overtaken one does no harm.
func (l *Ledger) TakeBack(borrower string, u Unused) {
	a := l.Account(u.resource)
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range a.lent {
		o := &a.lent[i]
		if o.borrower == borrower && o.terms.incarnation == u.loan.incarnation && o.terms.number == u.loan.number {
			o.units = max(0, min(o.units, u.loan.units))
		}
	}
	l.update(a, l.Clock.Now())
}

// Wants returns the resources of which requests found no slot since the last call.
func (l *Ledger) Wants() []Want {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLoans(l.Clock.Now())
	var wants []Want
	for _, a := range l.allAccounts {
		if a.missed.Load() == 0 {
			continue
		}
		if missed := int(a.missed.Swap(0)); a.units > 0 {
			wants = append(wants, Want{a.resource, a.zone, min(missed, a.units)})
		}
	}
	sort.Slice(wants, func(i, j int) bool { return wants[i].resource < wants[j].resource })
	return wants
}

// membershipConfirmed reports whether the last attempt to confirm the membership began at most a lease period ago.
func (l *Ledger) membershipConfirmed(now clock.Millis) bool {
	return l.started.Load() && now-clock.Millis(l.confirmedAt.Load()) <= LeasePeriod
}

// initialize sets what depends on the exported fields.
func (l *Ledger) initialize() {
	if l.ownIncarnations != nil {
		return
	}
	l.incarnation = l.Incarnation
	l.ownIncarnations = map[int64]bool{l.Incarnation: true}
	l.rosters = make(map[string]Roster)
	l.departed = make(map[identity]*quarantine)
	l.releasable = make(map[identity]bool)
}

func (l *Ledger) isActive() bool {
	m, ok := l.rosters[l.Zone].Member(l.ID, l.incarnation)
	return ok && m.fields.State == Active
}

// eachLocalAccount visits the accounts of which the instance can have an own share. At the target size that is one in 33.
func (l *Ledger) eachLocalAccount(visit func(*Account)) {
	for _, a := range l.allAccounts {
		if a.zone == "" || a.zone == l.Zone {
			visit(a)
		}
	}
}

func (l *Ledger) trackLoans(a *Account) {
	if l.withLoans == nil {
		l.withLoans = make(map[*Account]bool)
	}
	l.withLoans[a] = true
}

// expireLoans ends loans in both directions.
func (l *Ledger) expireLoans(now clock.Millis) {
	for a := range l.withLoans {
		l.update(a, now)
		if len(a.lent) == 0 && len(a.borrowedLoans()) == 0 {
			delete(l.withLoans, a)
		}
	}
}

func (l *Ledger) updateAll(now clock.Millis) {
	l.expireLoans(now)
	l.markReleasable(now)
	l.eachLocalAccount(func(a *Account) { l.update(a, now) })
}

// update sets what the account may use of the own share now.
func (l *Ledger) update(a *Account, now clock.Millis) {
	l.initialize()
	a.expire(now)
	a.base.setLimit(max(0, l.share(a)-a.lentUnits()))
}

// share returns the own part of a resource, including what is lent.
func (l *Ledger) share(a *Account) int {
	units := a.units
	switch a.zone {
	case l.Zone:
	case "":
		// Quotas of the whole fleet are split over the zones and then within the zone, so that the agreement on a
		// roster stays inside its zone.
		zones := l.zones()
		units = splitUnits(slices.Index(zones, l.Zone), len(zones), a.resource, units)
	default:
		return 0 // workers of other zones are used by loans only
	}
	return l.rosters[l.Zone].share(identity{l.ID, l.incarnation}, a.resource, units, l.releasable)
}

// zones returns the names of the zones that have members, and the own one.
func (l *Ledger) zones() []string {
	zones := []string{l.Zone}
	for zone, roster := range l.rosters {
		if zone != l.Zone && len(roster.members) > 0 {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// markReleasable notes the departed members whose slots are certainly free: the quarantine has passed, or the member was an
// earlier incarnation of this process and nothing of the own share is in use.
//
// A removed member that reaches neither the table nor a peer goes on, so the lease period counts only while the table
// answers here without a gap: then the member could read of its removal as well. After an outage of the table during
// which the others were paused, time alone would say nothing.
func (l *Ledger) markReleasable(now clock.Millis) {
	for m, q := range l.departed {
		if !q.stopKnown && l.table.answers && l.table.last-max(l.table.since, q.seen) >= LeasePeriod {
			q.stopKnown, q.stoppedBy = true, l.table.last
		}
		if (q.stopKnown && now-q.stoppedBy >= LongestDeadline) || (m.ID == l.ID && l.ownIncarnations[m.Incarnation] && l.shareUnused()) {
			l.releasable[m] = true
		}
	}
}

// shareUnused reports whether no slot of the own share is in use or lent.
func (l *Ledger) shareUnused() bool {
	shareUnused := true
	l.eachLocalAccount(func(a *Account) {
		_, used := a.base.load()
		shareUnused = shareUnused && used == 0 && len(a.lent) == 0
	})
	return shareUnused
}

// usageFits reports whether every slot in use or lent, and every open connection, is within the share.
func (l *Ledger) usageFits() bool {
	usageFits := true
	l.eachLocalAccount(func(a *Account) {
		_, used := a.base.load()
		usageFits = usageFits && used+a.lentUnits() <= l.share(a)
		if l.OpenConnections != nil {
			usageFits = usageFits && l.OpenConnections(a.resource) <= a.Connections()
		}
	})
	return usageFits
}

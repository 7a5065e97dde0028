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

// Periods of loans.
const (
	// LoanPeriod is the length of a loan. It equals the longest deadline of a request, because a loan of 10 s could not
	// serve requests with the default deadline of 10 s. Slots that the borrower does not use are returned within a
	// second.
	LoanPeriod = LongestDeadline
	// loanMargin is the time after LoanPeriod for which the lender still does not use lent slots. The borrower counts
	// the period from before its request, so the margin only has to cover clocks that run at different rates: 1% of the
	// period.
	loanMargin = LoanPeriod / 100
	// loanSetupTime is the assumed part of a loan that has passed before the borrower can use it. Requests
	// whose deadline is later than LoanPeriod minus this time could not use a loan, so none is requested for them.
	loanSetupTime = clock.Second
)

// Ledger records the shares and loans of one entry instance: how many units of each resource it may use. The exported
// fields are set before the first call.
type Ledger struct {
	Clock       *clock.Clock
	ID          string // of the entry instance, in its roster
	Incarnation int64  // of the first join; see Rejoin
	Zone        string
	// OpenConnections returns the number of open connections to a resource, busy or idle. A smaller share is confirmed
	// only once their number is within the limit of the share. Optional.
	OpenConnections func(resource string) int
	Logger          *slog.Logger // nil: no log

	accounts    sync.Map // resource name to *Account
	confirmedAt atomic.Int64
	started     atomic.Bool // confirmedAt is set

	mu              sync.Mutex
	allAccounts     []*Account // the values of accounts
	incarnation     int64
	ownIncarnations map[int64]bool // incarnations under which this process joined
	rosters         map[string]Roster
	departed        map[identity]*quarantine // departed members of the own zone
	releasable      map[identity]bool        // departed members whose slots are no longer in use
	tableAnswering  answerPeriod
	unbroken        clock.Millis      // since when consecutive attempts to confirm began at most the lease period apart
	suspended       bool              // the last attempt after a pause did not confirm the membership
	withLoans       map[*Account]bool // accounts with loans in either direction; visited by expireLoans
	lastLoanNumber  int64             // number of the last granted loan
}

// quarantine is the state of the waiting time after which the slots of a departed member may be used by others.
type quarantine struct {
	seen      clock.Millis // when this instance first saw the departure in a roster
	stoppedBy clock.Millis // time by which the member must have stopped dispatching
	stopKnown bool         // stoppedBy is set
}

// answerPeriod is the current period in which the table answered without a gap; see maxPollGap.
type answerPeriod struct {
	since, last clock.Millis // start times of its first and last answered attempts
	answers     bool         // whether the last attempt was answered
}

// maxPollGap is the longest time between two attempts within one answerPeriod. Polls run once a second, so one may be
// skipped.
const maxPollGap = 2 * clock.Second

// Want is a request for slots of a resource that the instance has run out of.
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

// Account returns the account of a resource: "worker/<id>", "team/<name>" or "pool/<name>". Later calls return the same
// account.
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

// SetCapacity sets how many units of a resource exist; zone "" means that the whole fleet shares them. While the
// members of a roster use different values, their shares add up to at most the greatest of them.
func (l *Ledger) SetCapacity(resource, zone string, units int) {
	a := l.Account(resource)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.zone, a.units = zone, units
	l.update(a, l.Clock.Now())
}

// SetRoster applies a roster that was read from the table or received from a peer. A roster that is not newer than the
// known one has no effect.
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

// Roster returns the newest known roster of a zone, or the empty roster.
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

// Confirm records that an attempt to confirm the membership is complete: either the table or a peer answered and
// SetRoster was called, or there was no answer. The parameter started is the start time of the attempt, tableAnswering
// reports whether the table answered, and unbroken is the greatest value of Unbroken that a peer of the zone returned, or 0.
// The instance dispatches nothing once the lease period has passed since the start of the last attempt that counted.
//
// After a pause longer than the lease period the attempt counts only if the table answered, or a peer that was not
// itself suspended during the pause. Otherwise the instance could have been removed, and its slots be in use elsewhere,
// while it and every peer that received the removal were paused.
func (l *Ledger) Confirm(started clock.Millis, tableAnswering bool, unbroken clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	if tableAnswering {
		if !l.tableAnswering.answers || started-l.tableAnswering.last > maxPollGap {
			l.tableAnswering.since = started
		}
		l.tableAnswering.last = max(l.tableAnswering.last, started)
	}
	l.tableAnswering.answers = tableAnswering
	l.updateAll(l.Clock.Now())
	last := clock.Millis(l.confirmedAt.Load())
	if !l.started.Load() || started-last > LeasePeriod {
		if l.started.Load() && !tableAnswering && unbroken < started-last {
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
// or 0 while it is suspended. It is sent with the roster to a peer that asks because the table does not answer.
func (l *Ledger) Unbroken() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if !l.membershipConfirmed(now) {
		return 0
	}
	return now - l.unbroken
}

// Propose returns the next value of the own zone's roster. It adds to the newest known roster this instance's
// confirmation of the current generation, if the slots in use fit, and releases the departed members whose slots are no
// longer in use. It reports false if there is nothing to write. The row is written conditional on Roster.Version.
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

// Ready reports whether requests should be sent to this instance: its membership is confirmed and, if its zone has
// workers, it has a slot of its own on one. Borrowed slots do not count, because they serve only requests with short
// deadlines. A member that replaces a killed one has no slot of its own until the quarantine is over.
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

// Drained reports whether no slot of the own share is in use or lent. A leaving instance may then exit.
func (l *Ledger) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLoans(l.Clock.Now())
	return l.shareUnused()
}

// Loan is a number of slots that a lender lets a borrower use for a limited time. The lender's incarnation and a number
// identify it, so that a late or repeated message about one loan does not change another.
type Loan struct {
	incarnation int64
	number      int64
	units       int
	period      clock.Millis
}

// NewLoan returns a loan that was received from a lender. The incarnation and number are those that Loan.Numbers
// returned at the lender; the period is in milliseconds.
func NewLoan(incarnation, number int64, units int, period clock.Millis) Loan {
	return Loan{incarnation, number, units, period}
}

// Numbers returns the lender's incarnation and the number of the loan, which together identify it at its lender.
func (l Loan) Numbers() (incarnation, number int64) { return l.incarnation, l.number }

// Units returns how many slots were granted; 0 means that the lender granted no loan.
func (l Loan) Units() int { return l.units }

// Period returns how long the loan lasts, in milliseconds from the borrower's request.
func (l Loan) Period() clock.Millis { return l.period }

// Unused is a message from a borrower to a lender that reduces a loan, because some of its slots are unused.
type Unused struct {
	lender, resource string
	loan             Loan
}

// NewUnused returns a message that was received from a borrower. The units of the loan are those that the borrower
// keeps.
func NewUnused(lender, resource string, loan Loan) Unused { return Unused{lender, resource, loan} }

// Lender returns the id of the member to which the slots are returned.
func (u Unused) Lender() string { return u.lender }

// Resource returns the name of the resource.
func (u Unused) Resource() string { return u.resource }

// Loan returns the loan, with the units that the borrower keeps.
func (u Unused) Loan() Loan { return u.loan }

// Lend is Grant without the numbers of the loan, so the borrower cannot give slots back before its end. The period is
// in milliseconds.
func (l *Ledger) Lend(borrower, resource string, want int) (granted int, period clock.Millis) {
	loan := l.Grant(borrower, resource, want)
	return loan.units, loan.period
}

// Grant lends up to want free slots of the own share to a borrower. They are subtracted from the share before Grant
// returns. The loan has 0 units if no slots are available or the membership is unconfirmed.
func (l *Ledger) Grant(borrower, resource string, want int) Loan {
	a := l.Account(resource)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if borrower == l.ID || !l.membershipConfirmed(now) {
		return Loan{}
	}
	l.update(a, now)
	// Half of the free slots are kept for this instance's own requests. A lender that kept only one ran out of slots
	// itself soon after, and requests that end after a loan cannot use borrowed slots.
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

// Borrow is Accept for a loan without numbers, which is not given back before its end.
func (l *Ledger) Borrow(lender, resource string, granted int, period clock.Millis) {
	l.Accept(lender, resource, Loan{units: granted, period: period})
}

// Accept adds a loan from a lender to the account of the resource. The period counts from now, so the caller subtracts
// the time since it sent the request from the lender's period. A loan without units or period has no effect.
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

// GiveBack removes the borrowed slots that were unused at this call and at the previous one, and returns the messages
// to their lenders. Call it twice a second. A lost message only delays the return until the end of the loan.
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

// TakeBack restores the slots of a loan that the borrower no longer keeps. The message contains the number of slots
// that the borrower keeps, which only decreases, so a message that is repeated or arrives out of order has no effect.
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

// Wants returns the resources for which a request found no slot since the last call, with the number of such requests
// as the units, at most the capacity.
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

// membershipConfirmed reports whether the last attempt that Confirm counted began at most a lease period ago.
func (l *Ledger) membershipConfirmed(now clock.Millis) bool {
	return l.started.Load() && now-clock.Millis(l.confirmedAt.Load()) <= LeasePeriod
}

// initialize sets the fields that depend on the exported ones, on the first call.
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

// eachLocalAccount visits the accounts of the own zone and of the whole fleet; only these can have an own share. At the
// target size of a fleet this is one account in 33.
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

// expireLoans removes ended loans in both directions and updates the limits of their accounts.
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

// update sets the limit of the own share: the share less the lent units.
func (l *Ledger) update(a *Account, now clock.Millis) {
	l.initialize()
	a.expire(now)
	a.base.setLimit(max(0, l.share(a)-a.lentUnits()))
}

// share returns this instance's share of a resource, including lent units.
func (l *Ledger) share(a *Account) int {
	units := a.units
	switch a.zone {
	case l.Zone:
	case "":
		// Quotas of the whole fleet are split among the zones and then within the zone, so that members have to agree
		// only on the roster of their own zone.
		zones := l.zones()
		units = splitUnits(slices.Index(zones, l.Zone), len(zones), a.resource, units)
	default:
		return 0 // workers of other zones are used through loans only
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

// markReleasable records the departed members whose slots are no longer in use: either the quarantine has passed, or
// the member was an earlier incarnation of this process and no slot of the own share is in use or lent.
//
// The lease period of the quarantine counts only while the table answers this instance without a gap, because then the
// removed member could read its removal as well. Elapsed time alone is not enough: during an outage of the table a
// removed member cannot read its removal and may go on dispatching while the others are paused.
func (l *Ledger) markReleasable(now clock.Millis) {
	for m, q := range l.departed {
		if !q.stopKnown && l.tableAnswering.answers && l.tableAnswering.last-max(l.tableAnswering.since, q.seen) >= LeasePeriod {
			q.stopKnown, q.stoppedBy = true, l.tableAnswering.last
		}
		if (q.stopKnown && now-q.stoppedBy >= LongestDeadline) ||
			(m.ID == l.ID && l.ownIncarnations[m.Incarnation] && l.shareUnused()) {
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

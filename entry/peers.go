package entry

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"

	"magnoliaferry/clock"
	"magnoliaferry/peer"
	"magnoliaferry/provider"
	"magnoliaferry/slots"
)

// rosters adapts the rosters of the package slots to peer.Rosters.
type rosters struct {
	ledger *slots.Ledger
}

// read decodes the value of a row; nil is the empty roster. It passes 1 as the version of the row, which has no effect here:
// the roster is only listed, or changed and encoded again.
func (rosters) read(row []byte) (slots.Roster, error) {
	if row == nil {
		return slots.Roster{}, nil
	}
	return slots.DecodeRoster(row, 1)
}

// Members implements peer.Rosters.
func (r rosters) Members(row []byte) ([]peer.RosterMember, error) {
	roster, err := r.read(row)
	if err != nil {
		return nil, err
	}
	var members []peer.RosterMember
	for _, m := range roster.Members() {
		if m.State() == slots.Active {
			members = append(members, peer.NewRosterMember(m.ID(), m.Address(), m.Incarnation()))
		}
	}
	return members, nil
}

// Join implements peer.Rosters.
func (r rosters) Join(row []byte, m peer.RosterMember) ([]byte, error) {
	roster, err := r.read(row)
	if err != nil {
		return nil, err
	}
	next, ok := roster.Join(m.ID(), m.Incarnation())
	if !ok {
		return nil, fmt.Errorf("entry instance cannot join the roster: incarnation %d of %q is not newer than those in the roster", m.Incarnation(), m.ID())
	}
	return next.WithAddress(m.ID(), m.Incarnation(), m.Address()).Encode(), nil
}

// Remove implements peer.Rosters: it removes another member with Roster.Remove, and this instance itself with Roster.Leave. If
// this instance leaves and none of its slots are in use, they are released in the same write.
func (r rosters) Remove(row []byte, id string, incarnation int64) ([]byte, error) {
	roster, err := r.read(row)
	if err != nil {
		return nil, err
	}
	if id != r.ledger.ID {
		next, _ := roster.Remove(id, incarnation)
		return next.Encode(), nil
	}
	next, _ := roster.Leave(id, incarnation)
	if r.ledger.Drained() {
		next, _ = next.Release(id, incarnation)
	}
	return next.Encode(), nil
}

// ledger adapts the ledger to peer.Ledger and peer.Loans.
type ledger struct {
	*slots.Ledger
	queues *queues
}

// SetRoster implements peer.Ledger.
func (l ledger) SetRoster(row provider.Row) {
	if roster, err := slots.DecodeRoster(row.Value(), row.Version()); err == nil { // the peer module has already decoded it
		l.Ledger.SetRoster(l.Zone, roster)
		l.queues.wakeAll()
	}
}

// Confirmed implements peer.Ledger: an attempt to confirm the membership, begun at the given time, has found no removal. table
// reports whether the table answered; unbroken is the longest time in milliseconds for which a peer of the zone has confirmed
// its own membership without a pause.
func (l ledger) Confirmed(started clock.Millis, table bool, unbroken clock.Millis) {
	l.Confirm(started, table, unbroken)
	l.queues.wakeAll() // the slots may be used again
}

// Propose implements peer.Ledger.
func (l ledger) Propose() (value []byte, version int64, ok bool) {
	next, ok := l.Ledger.Propose()
	if !ok {
		return nil, 0, false
	}
	return next.Encode(), next.Version(), true
}

// Suspend implements peer.Ledger. It does nothing, because the ledger itself detects that this instance was suspended or
// removed from the roster.
func (ledger) Suspend() {}

// Wants implements peer.Loans.
func (l ledger) Wants() []peer.Want {
	var wants []peer.Want
	for _, w := range l.Ledger.Wants() {
		wants = append(wants, peer.NewWant(w.Resource(), w.Zone(), w.Units()))
	}
	return wants
}

// Lend implements peer.Loans.
func (l ledger) Lend(borrower, resource string, want int) peer.Loan {
	granted := l.Grant(borrower, resource, want)
	incarnation, number := granted.Numbers()
	return peer.NewLoan(incarnation, number, granted.Units(), granted.Period())
}

// Borrow implements peer.Loans.
func (l ledger) Borrow(lender, resource string, loan peer.Loan) {
	incarnation, number := loan.Numbers()
	l.Accept(lender, resource, slots.NewLoan(incarnation, number, loan.Units(), loan.Period()))
	l.queues.wakeAll()
}

// GiveBack implements peer.Loans.
func (l ledger) GiveBack() []peer.Unused {
	var all []peer.Unused
	for _, u := range l.Ledger.GiveBack() {
		incarnation, number := u.Loan().Numbers()
		all = append(all, peer.NewUnused(u.Lender(), u.Resource(),
			peer.NewLoan(incarnation, number, u.Loan().Units(), 0)))
	}
	return all
}

// TakeBack implements peer.Loans.
func (l ledger) TakeBack(borrower string, u peer.Unused) {
	incarnation, number := u.Loan().Numbers()
	l.Ledger.TakeBack(borrower, slots.NewUnused(u.Lender(), u.Resource(),
		slots.NewLoan(incarnation, number, u.Loan().Units(), 0)))
	l.queues.wakeAll()
}

// reportMaxAge is how long the report of a peer is used. With 9 entry instances a peer is probed every 4.5 s on average.
const reportMaxAge = 30 * clock.Second

// reports holds the last reports of the peers about load and health.
type reports struct {
	instance *Instance

	mu   sync.Mutex
	from map[string]report // by id of the entry instance

	lastCounts atomic.Pointer[ejectionCounts]
}

// report is the last report of one peer.
type report struct {
	at        clock.Millis // time of receipt
	zone      string
	loads     map[string]int // requests in flight and queued by pool
	unhealthy []string       // ids of ejected workers
}

// Load implements peer.Status.
func (r *reports) Load() []peer.PoolLoad {
	loads, queued := map[string]int{}, r.instance.queues.lengths()
	for _, h := range r.instance.router.Health() {
		loads[h.Pool()] += h.InFlight()
	}
	list := make([]peer.PoolLoad, 0, len(loads))
	for pool, n := range loads {
		list = append(list, peer.NewPoolLoad(pool, n, queued[pool]))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Pool() < list[j].Pool() })
	return list
}

// Unhealthy implements peer.Status.
func (r *reports) Unhealthy() []string {
	var ids []string
	for _, h := range r.instance.router.Health() {
		if h.Ejected() {
			ids = append(ids, h.Worker())
		}
	}
	return ids
}

// ReceiveReport implements peer.Status.
func (r *reports) ReceiveReport(from, zone string, loads []peer.PoolLoad, unhealthy []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from == nil {
		r.from = map[string]report{}
	}
	fresh := report{at: r.instance.Clock.Now(), zone: zone, loads: map[string]int{}, unhealthy: unhealthy}
	// A probe carries only a part of a long list of pools, so the earlier loads of the other pools are kept.
	for pool, n := range r.from[from].loads {
		fresh.loads[pool] = n
	}
	for _, l := range loads {
		fresh.loads[l.Pool()] = l.InFlight() + l.Queued()
	}
	r.from[from] = fresh
}

// current returns the reports that are at most reportMaxAge old, and deletes the others.
func (r *reports) current() []report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.instance.Clock.Now()
	var list []report
	for id, f := range r.from {
		if now-f.at > reportMaxAge {
			delete(r.from, id)
			continue
		}
		list = append(list, f)
	}
	return list
}

// demand returns the number of requests in flight and queued in the whole fleet, by pool. Entry instances without a report
// are assumed to have the average number, because the balancer distributes requests evenly.
func (r *reports) demand() map[string]int {
	demand := map[string]int{}
	for _, l := range r.Load() {
		demand[l.Pool()] += l.InFlight() + l.Queued()
	}
	reported := r.current()
	for _, f := range reported {
		for pool, n := range f.loads {
			demand[pool] += n
		}
	}
	alive := 1
	for _, p := range r.instance.node.Peers() {
		if p.Alive() {
			alive++
		}
	}
	for pool := range demand {
		demand[pool] = demand[pool] * max(alive, len(reported)+1) / (len(reported) + 1)
	}
	return demand
}

// ejectionCounts holds, for each zone, the number of entry instances with a current report and, for each worker, the number
// of these that have ejected it.
type ejectionCounts struct {
	at        clock.Millis
	reporters map[string]int
	ejectedBy map[string]map[string]int // zone of the entry instance, then worker
}

// ejectionCountsMaxAge is how long the counts are reused, because a planning pass calls healthy for every worker of the
// fleet.
const ejectionCountsMaxAge = clock.Second

// ejectionCounts returns the counts from this instance and the current reports.
func (r *reports) ejectionCounts() *ejectionCounts {
	now := r.instance.Clock.Now()
	if counts := r.lastCounts.Load(); counts != nil && now-counts.at < ejectionCountsMaxAge {
		return counts
	}
	counts := &ejectionCounts{at: now, reporters: map[string]int{}, ejectedBy: map[string]map[string]int{}}
	count := func(zone string, unhealthy []string) {
		counts.reporters[zone]++
		for _, id := range unhealthy {
			if counts.ejectedBy[zone] == nil {
				counts.ejectedBy[zone] = map[string]int{}
			}
			counts.ejectedBy[zone][id]++
		}
	}
	count(r.instance.Settings.Zone, r.Unhealthy())
	for _, f := range r.current() {
		count(f.zone, f.unhealthy)
	}
	r.lastCounts.Store(counts)
	return counts
}

// healthy reports whether a worker, given by its instance id, counts as healthy: at most half of the entry instances of its
// zone with a current report have ejected it. Those of other zones rarely use it and may be unable to reach it.
func (r *reports) healthy(instance string) bool {
	counts, zone := r.ejectionCounts(), r.instance.zoneOf(instance)
	return 2*counts.ejectedBy[zone][instance] <= counts.reporters[zone]
}

// reportMargin is added to the age in a report for the time that the report may take: the time-out of a call between peers
// is 500 ms, and a report may be relayed by two others.
const reportMargin = 2 * clock.Second

// acknowledged reports whether every entry instance in the rosters has read the list of instances since the given time, the
// start of a drain; missing is otherwise a text that says why this is not known. A member that was removed may dispatch until its
// slots are released, so until then the result is false.
func (i *Instance) acknowledged(ctx context.Context, since clock.Millis) (ok bool, missing string) {
	zones := i.configuration.zones()
	keys := make([]string, len(zones))
	for n, zone := range zones {
		keys[n] = "roster/" + zone
	}
	rows, err := i.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return false, "the rosters cannot be read"
	}
	drainAge := i.Clock.Now() - since
	listAges := map[string]clock.Millis{i.Settings.Name: i.assignments.Age()} // -1 for a peer without a known age
	for _, p := range i.node.Peers() {
		if listAges[p.ID()] = -1; p.PollAge() >= 0 {
			listAges[p.ID()] = p.PollAge() + reportMargin
		}
	}
	for n, row := range rows {
		roster, err := slots.DecodeRoster(row.Value(), row.Version())
		if err != nil {
			return false, "the roster of zone " + zones[n] + " cannot be decoded"
		}
		for _, m := range roster.Members() {
			age, reported := listAges[m.ID()]
			switch {
			case m.State() == slots.Leaving:
				continue // it no longer dispatches requests
			case m.State() == slots.Removed:
				return false, fmt.Sprintf("entry instance %s of zone %s was removed and its slots are not yet released", m.ID(), zones[n])
			case !reported || age < 0:
				return false, fmt.Sprintf("entry instance %s of zone %s is not heard of", m.ID(), zones[n])
			case age > drainAge:
				return false, fmt.Sprintf("entry instance %s of zone %s knows the instances as of %d ms ago, the drain began %d ms ago",
					m.ID(), zones[n], age, drainAge)
			}
		}
	}
	return true, ""
}

package peer

import (
	"context"
	"fmt"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

const (
	// minBorrowInterval is the minimum time between two rounds of requests for loans.
	minBorrowInterval = 200 * clock.Millis(1)
	// maxLenders bounds the members that receive a request in one round.
	maxLenders = 3
	// maxWants bounds the wants of one round, and those that a lender accepts in one request.
	maxWants = 64
	// maxLoanPeriod bounds the period of a loan at the borrower.
	maxLoanPeriod = 30 * clock.Second
	// maxUnits bounds the units of one want or loan.
	maxUnits = 1 << 20
	// giveBackInterval is the time between two rounds in which unused borrowed slots are given back.
	giveBackInterval = clock.Second / 2
	// maxUnused bounds the loans in one message: with names of the maximum length they take 40 KB.
	maxUnused = 256
)

// Loans is the part of the ledger that borrows and lends slots.
type Loans interface {
	// Wants returns the resources of which this entry instance has too few units.
	Wants() []Want
	// Lend lends up to want units of the own share to the borrower. A loan of 0 units means that nothing was lent.
	Lend(borrower, resource string, want int) Loan
	// Borrow adds units that a lender granted; the period of the loan starts now.
	Borrow(lender, resource string, l Loan)
	// GiveBack removes borrowed units that are not used and returns what has to be sent to their lenders.
	GiveBack() []Unused
	// TakeBack restores units that a borrower no longer keeps. It may be called with the same message, or an earlier
	// one, again.
	TakeBack(borrower string, u Unused)
}

// Loan is what a lender grants. The lender's incarnation and a number identify it at the lender.
type Loan struct {
	incarnation, number int64
	units               int
	period              clock.Millis
}

// NewLoan returns a loan; period is in milliseconds, and 0 in the loan of an Unused.
func NewLoan(incarnation, number int64, units int, period clock.Millis) Loan {
	return Loan{incarnation, number, units, period}
}

// Numbers returns the lender's incarnation and the number of the loan, which together identify it at its lender.
func (l Loan) Numbers() (incarnation, number int64) { return l.incarnation, l.number }

// Units returns the number of slots.
func (l Loan) Units() int { return l.units }

// Period returns how long the loan lasts, in milliseconds.
func (l Loan) Period() clock.Millis { return l.period }

// Unused is a message from a borrower to a lender that reduces a loan, because some of its units are unused.
type Unused struct {
	lender, resource string
	loan             Loan
}

// NewUnused returns a message that reduces a loan. The units of l are those that the borrower keeps.
func NewUnused(lender, resource string, l Loan) Unused { return Unused{lender, resource, l} }

// Lender returns the id of the member to which the units are returned.
func (u Unused) Lender() string { return u.lender }

// Resource returns the name of the resource.
func (u Unused) Resource() string { return u.resource }

// Loan returns the loan with the units that the borrower keeps.
func (u Unused) Loan() Loan { return u.loan }

// Want is a request for units of a resource of which there are too few.
type Want struct {
	resource, zone string
	count          int
}

// NewWant returns a want. zone is the zone whose members share the resource, or empty for quotas of the whole fleet.
func NewWant(resource, zone string, count int) Want { return Want{resource, zone, count} }

// RequestLoans starts a round of requests for loans without waiting for the next tick. It does nothing within 200 ms
// after the last round.
func (n *Node) RequestLoans() { n.locked(n.borrow) }

// borrow sends requests for loans to random members of the zones concerned, at most one request to each. A request
// contains all wants that the member may lend for.
func (n *Node) borrow() {
	now := n.Clock.Now()
	if n.Loans == nil || !n.usable.Load() || now-n.lastBorrow < minBorrowInterval {
		return
	}
	wants := n.Loans.Wants()
	if len(wants) == 0 {
		return
	}
	n.lastBorrow = now
	n.random.Shuffle(len(wants), func(i, j int) { wants[i], wants[j] = wants[j], wants[i] })
	wants = wants[:min(maxWants, len(wants))]
	var lenders []*member
	var requests []*peerpb.BorrowRequest
	for _, w := range wants {
		at := -1
		for i, l := range lenders {
			if w.zone == "" || l.zone == w.zone {
				at = i
				break
			}
		}
		if at < 0 && len(lenders) < maxLenders {
			for _, m := range n.members.sample(1, func(m *member) bool {
				return m.state == peerpb.State_ALIVE && (w.zone == "" || m.zone == w.zone)
			}) {
				at = len(lenders)
				lenders = append(lenders, m)
				requests = append(requests, &peerpb.BorrowRequest{Borrower: n.ID})
			}
		}
		if at >= 0 {
			requests[at].Wants = append(requests[at].Wants, &peerpb.Want{Resource: w.resource, Count: int64(w.count)})
		}
	}
	for i, l := range lenders {
		n.borrowFrom(l.id, l.address, requests[i])
	}
}

func (n *Node) borrowFrom(lender, address string, request *peerpb.BorrowRequest) {
	sent := n.Clock.Now()
	var answer *peerpb.BorrowAnswer
	counters.Add("loans-asked", 1)
	n.Transport.Call(address, false, callTimeout, func(ctx context.Context, p peerpb.Peer) (err error) {
		answer, err = p.Borrow(ctx, request)
		return err
	}, func(err error) {
		if err != nil {
			return // a loan that the lender may have granted ends there after its period
		}
		n.locked(func() {
			remaining := map[string]int64{}
			for _, w := range request.GetWants() {
				remaining[w.GetResource()] = w.GetCount()
			}
			for _, g := range answer.GetGrants() {
				// The lender's period starts when it answers or later, the borrower's when it sent the request, so the
				// borrower stops using the units first.
				period := min(maxLoanPeriod, clock.Millis(g.GetPeriodMs())) - (n.Clock.Now() - sent)
				if g.GetCount() <= 0 || g.GetCount() > remaining[g.GetResource()] || period <= 0 {
					continue
				}
				remaining[g.GetResource()] -= g.GetCount()
				loan := NewLoan(g.GetIncarnation(), g.GetNumber(), int(g.GetCount()), period)
				n.post(func() { n.Loans.Borrow(lender, g.GetResource(), loan) })
			}
		})
	})
}

// Borrow implements peerpb.Peer.
func (n *Node) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowAnswer, error) {
	if r.GetBorrower() == "" || len(r.GetBorrower()) > maxNameBytes || len(r.GetWants()) > maxWants {
		return nil, n.refuse(ctx, fmt.Errorf("the request for a loan is malformed"))
	}
	answer := &peerpb.BorrowAnswer{}
	if n.Loans == nil || !n.Usable() {
		return answer, nil
	}
	for _, w := range r.GetWants() {
		if w.GetCount() <= 0 || w.GetCount() > maxUnits || len(w.GetResource()) > maxNameBytes {
			return nil, n.refuse(ctx, fmt.Errorf("a want is malformed"))
		}
	}
	for _, w := range r.GetWants() {
		if l := n.Loans.Lend(r.GetBorrower(), w.GetResource(), int(w.GetCount())); l.units > 0 {
			answer.Grants = append(answer.Grants, &peerpb.Grant{Resource: w.GetResource(), Count: int64(l.units),
				PeriodMs: int64(l.period), Incarnation: l.incarnation, Number: l.number})
		}
	}
	return answer, nil
}

// scheduleGiveBack starts the timer of the next round that gives units back.
func (n *Node) scheduleGiveBack() {
	n.after(giveBackInterval, func() { n.locked(func() { n.giveBack(); n.scheduleGiveBack() }) })
}

// giveBack sends the lenders the loans that are not used. No message is repeated: if one is lost, the lender gets its
// units back at the end of the loan.
func (n *Node) giveBack() {
	if n.Loans == nil {
		return
	}
	byLender := map[string][]*peerpb.Unused{}
	for _, u := range n.Loans.GiveBack() {
		byLender[u.lender] = append(byLender[u.lender], &peerpb.Unused{Resource: u.resource,
			Incarnation: u.loan.incarnation, Number: u.loan.number, Kept: int64(u.loan.units)})
	}
	for _, id := range n.members.ids((*member).live) {
		for unused := range slices.Chunk(byLender[id], maxUnused) {
			request := &peerpb.GiveBackRequest{Borrower: n.ID, Unused: unused}
			counters.Add("loans-given-back", int64(len(unused)))
			n.Transport.Call(n.members.all[id].address, false, callTimeout, func(ctx context.Context, p peerpb.Peer) error {
				_, err := p.GiveBack(ctx, request)
				return err
			}, func(error) {})
		}
	}
}

// GiveBack implements peerpb.Peer.
func (n *Node) GiveBack(ctx context.Context, r *peerpb.GiveBackRequest) (*peerpb.GiveBackAnswer, error) {
	malformed := r.GetBorrower() == "" || len(r.GetBorrower()) > maxNameBytes || len(r.GetUnused()) > maxUnused
	for _, u := range r.GetUnused() {
		malformed = malformed || u.GetResource() == "" || len(u.GetResource()) > maxNameBytes || u.GetIncarnation() <= 0 ||
			u.GetNumber() <= 0 || u.GetKept() < 0 || u.GetKept() > maxUnits
	}
	if malformed {
		return nil, n.refuse(ctx, fmt.Errorf("the return of a loan is malformed"))
	}
	if n.Loans == nil {
		return &peerpb.GiveBackAnswer{}, nil
	}
	for _, u := range r.GetUnused() {
		n.Loans.TakeBack(r.GetBorrower(), NewUnused(n.ID, u.GetResource(),
			NewLoan(u.GetIncarnation(), u.GetNumber(), int(u.GetKept()), 0)))
	}
	return &peerpb.GiveBackAnswer{}, nil
}

package peer

import (
	"context"
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

const (
	// borrowPause is the shortest time between two rounds of requests for loans.
	borrowPause = 200 * clock.Millis(1)
	// lendersAsked bounds the members that are asked in one round.
	lendersAsked = 3
	maxWants     = 64
	maxLoan      = 10 * clock.Second
)

// Loans is the borrower's and the lender's side of the ledger.
type Loans interface {
	// Wants returns what is short here.
	Wants() []Want
	// Lend takes up to want units out of the own share for the borrower and returns how many, and for how long.
	Lend(borrower, resource string, want int) (granted int, period clock.Millis)
	// Borrow adds units that a lender granted; period counts from now.
	Borrow(lender, resource string, granted int, period clock.Millis)
}

// Want is a resource that is short.
type Want struct {
	resource, zone string
	count          int
}

// NewWant returns a want; zone is that of the members that share the resource, or empty for quotas of the whole fleet.
func NewWant(resource, zone string, count int) Want { return Want{resource, zone, count} }

// Short starts a round of requests for loans before the next tick; it is limited to one in 200 ms.
func (n *Node) Short() { n.locked(n.borrow) }

// borrow asks random members of the zones concerned, each for everything that it may have.
func (n *Node) borrow() {
	now := n.Clock.Now()
	if n.Loans == nil || !n.usable.Load() || now-n.lastBorrow < borrowPause {
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
		if at < 0 && len(lenders) < lendersAsked {
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
			return // what the lender may have granted runs out there by itself
		}
		n.locked(func() {
			asked := map[string]int64{}
			for _, w := range request.GetWants() {
				asked[w.GetResource()] = w.GetCount()
			}
			for _, g := range answer.GetGrants() {
				// The lender counts from its answer at the earliest, this side from its request.
				period := min(maxLoan, clock.Millis(g.GetPeriodMs())) - (n.Clock.Now() - sent)
				if g.GetCount() <= 0 || g.GetCount() > asked[g.GetResource()] || period <= 0 {
					continue
				}
				asked[g.GetResource()] -= g.GetCount()
				n.post(func() { n.Loans.Borrow(lender, g.GetResource(), int(g.GetCount()), period) })
			}
		})
	})
}

// Borrow implements peerpb.Peer.
func (n *Node) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowAnswer, error) {
	if r.GetBorrower() == "" || len(r.GetBorrower()) > maxName || len(r.GetWants()) > maxWants {
		return nil, n.refuse(ctx, fmt.Errorf("the request for a loan is malformed"))
	}
	answer := &peerpb.BorrowAnswer{}
	if n.Loans == nil || !n.Usable() {
		return answer, nil
	}
	for _, w := range r.GetWants() {
		if w.GetCount() <= 0 || w.GetCount() > 1<<20 || len(w.GetResource()) > maxName {
			return nil, n.refuse(ctx, fmt.Errorf("a want is malformed"))
		}
	}
	for _, w := range r.GetWants() {
		if granted, period := n.Loans.Lend(r.GetBorrower(), w.GetResource(), int(w.GetCount())); granted > 0 {
			answer.Grants = append(answer.Grants,
				&peerpb.Grant{Resource: w.GetResource(), Count: int64(granted), PeriodMs: int64(period)})
		}
	}
	return answer, nil
}

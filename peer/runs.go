package peer

import (
	"context"
	"fmt"

	"magnoliaferry/peer/peerpb"
)

const (
	// maxClaimQueries bounds the claim queries that wait for an answer at once. Many repeated requests after a failure
	// would otherwise delay the probes on the same connections.
	maxClaimQueries = 8
	// maxKeyBytes bounds the caller and the key in a claim query; the callers' interface accepts at most 128 bytes.
	maxKeyBytes = 256
)

// HolderRuns asks the process that stored a claim whether its request is still running. It returns false when that
// cannot be determined: no live member with this id and incarnation is known, the member does not answer within 500 ms
// or before ctx ends, or too many queries are waiting.
func (n *Node) HolderRuns(ctx context.Context, holder string, incarnation int64, caller, key string) bool {
	address, ok := n.holderAddress(holder, incarnation)
	if !ok {
		return false
	}
	defer n.claimQueries.Add(-1)
	if n.claimQueries.Add(1) > maxClaimQueries {
		counters.Add("claims-not-asked", 1)
		return false
	}
	counters.Add("claims-asked", 1)
	answers := make(chan bool, 1)
	var answer *peerpb.RunsAnswer
	n.Transport.Call(address, false, callTimeout, func(ctx context.Context, p peerpb.Peer) (err error) {
		answer, err = p.Runs(ctx, &peerpb.RunsRequest{Incarnation: incarnation, Caller: caller, Key: key})
		return err
	}, func(err error) { answers <- err == nil && answer.GetRuns() })
	select {
	case runs := <-answers:
		return runs
	case <-ctx.Done():
		return false
	}
}

// holderAddress returns the address of a live member. Its incarnation grows when others report it as suspected or
// failed, so it may be greater than the one with which the process started. The member itself compares the latter.
func (n *Node) holderAddress(id string, incarnation int64) (address string, ok bool) {
	n.mu.Lock()
	defer n.unlock()
	if !n.running {
		return "", false
	}
	m := n.members.all[id]
	if m == nil || !m.live() || m.incarnation < incarnation {
		return "", false
	}
	return m.address, true
}

// Runs implements peerpb.Peer.
func (n *Node) Runs(ctx context.Context, r *peerpb.RunsRequest) (*peerpb.RunsAnswer, error) {
	if r.GetIncarnation() <= 0 || r.GetKey() == "" || len(r.GetKey()) > maxKeyBytes || len(r.GetCaller()) > maxKeyBytes {
		return nil, n.refuse(ctx, fmt.Errorf("the question about a claim is malformed"))
	}
	return &peerpb.RunsAnswer{Runs: n.ClaimRuns != nil && r.GetIncarnation() == n.Incarnation &&
		n.ClaimRuns(r.GetCaller(), r.GetKey())}, nil
}

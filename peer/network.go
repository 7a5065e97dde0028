package peer

import (
	"context"
	"errors"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

const (
	// OverheadRequest and OverheadAnswer are the bytes of HTTP around a message, without TLS and TCP. TestConnections
	// compares them with real calls.
	OverheadRequest = 150
	OverheadAnswer  = 130
)

var errNoAnswer = errors.New("peer: no answer")

// Network connects nodes of one process, for measurements and tests. It encodes every message, counts bytes, and
// delays, drops and blocks calls as configured. On a fake clock the seed determines all results; it must be used by one
// goroutine.
type Network struct {
	// Loss is the probability that a request or an answer is lost.
	Loss float64
	// Delay bounds the latency of a message, in milliseconds; the latency is at least 1.
	Delay clock.Millis

	clock    *clock.Clock
	random   *rand.Rand
	links    map[string]*Link   // by address
	cut      map[[2]string]bool // blocked pairs of zones or of addresses
	open     map[[2]string]int  // value of silences when the connection was opened
	silences int                // number of calls of Silence
}

// NewNetwork returns a network without nodes.
func NewNetwork(c *clock.Clock, seed uint64) *Network {
	return &Network{Delay: 5, clock: c, random: rand.New(rand.NewPCG(seed, 2)), links: map[string]*Link{},
		cut: map[[2]string]bool{}, open: map[[2]string]int{}}
}

// Link is the Transport of one node and counts its traffic.
type Link struct {
	network        *Network
	address, zone  string
	peer           peerpb.Peer
	guard          func(func()) func()
	calls          int
	sent, received int
}

// Attach adds a node; it replaces an earlier one with the same address. guard wraps the functions that run in the node,
// so that a simulated pause can delay them.
func (n *Network) Attach(address, zone string, p peerpb.Peer, guard func(func()) func()) *Link {
	l := &Link{network: n, address: address, zone: zone, peer: p, guard: guard}
	n.links[address] = l
	return l
}

// Detach removes the node with the address.
func (n *Network) Detach(address string) { delete(n.links, address) }

// Cut blocks calls between two zones or two addresses if cut is true, and unblocks them otherwise.
func (n *Network) Cut(a, b string, cut bool) {
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// Silence makes every open connection silent permanently: its calls get no answer. New connections work.
func (n *Network) Silence() { n.silences++ }

// Calls returns the number of calls that the node started.
func (l *Link) Calls() int { return l.calls }

// Sent returns the bytes that the node sent, HTTP included.
func (l *Link) Sent() int { return l.sent }

// Received returns the bytes that the node received, HTTP included.
func (l *Link) Received() int { return l.received }

// Forget implements Transport.
func (l *Link) Forget(string) {}

func (n *Network) lost() bool { return n.Loss > 0 && n.random.Float64() < n.Loss }

func (n *Network) delay() clock.Millis { return 1 + clock.Millis(n.random.Int64N(int64(n.Delay))) }

func (n *Network) isCut(a, b *Link) bool {
	return n.cut[[2]string{a.zone, b.zone}] || n.cut[[2]string{a.address, b.address}]
}

// Call implements Transport.
func (l *Link) Call(to string, fresh bool, timeout clock.Millis, call func(context.Context, peerpb.Peer) error,
	done func(error)) {
	n := l.network
	ended := false
	end := func(err error) {
		l.guard(func() {
			if !ended {
				ended = true
				done(err)
			}
		})()
	}
	l.calls++
	n.clock.AfterFunc(timeout, func() { end(errNoAnswer) })
	pair := [2]string{l.address, to}
	if opened, ok := n.open[pair]; fresh || !ok {
		n.open[pair] = n.silences
	} else if opened < n.silences {
		return
	}
	target := n.links[to]
	if n.lost() || (target != nil && n.isCut(l, target)) {
		return
	}
	n.clock.AfterFunc(n.delay(), func() {
		if target == nil || n.links[to] != target {
			end(errNoAnswer) // no node listens at the address
			return
		}
		target.guard(func() {
			err := call(context.Background(), remotePeer{l, target})
			if !n.lost() && !n.isCut(l, target) {
				n.clock.AfterFunc(n.delay(), func() { end(err) })
			}
		})()
	})
}

// remotePeer is the client of the node at the other end of a call.
type remotePeer struct{ from, to *Link }

// transfer encodes a message, counts its bytes at both ends and decodes it.
func transfer(from, to *Link, m, into proto.Message, overhead int) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	from.sent += len(encoded) + overhead
	to.received += len(encoded) + overhead
	return proto.Unmarshal(encoded, into)
}

// forward passes a request to its handler and the answer back.
func forward[Q, A proto.Message](x remotePeer, q Q, handle func(context.Context, Q) (A, error)) (A, error) {
	var none A
	request := q.ProtoReflect().New().Interface().(Q)
	if err := transfer(x.from, x.to, q, request, OverheadRequest); err != nil {
		return none, err
	}
	a, err := handle(context.Background(), request)
	if err != nil {
		return none, err
	}
	answer := a.ProtoReflect().New().Interface().(A)
	return answer, transfer(x.to, x.from, a, answer, OverheadAnswer)
}

// Probe implements peerpb.Peer.
func (x remotePeer) Probe(_ context.Context, q *peerpb.Gossip) (*peerpb.Gossip, error) {
	return forward(x, q, x.to.peer.Probe)
}

// Relay implements peerpb.Peer.
func (x remotePeer) Relay(_ context.Context, q *peerpb.RelayRequest) (*peerpb.RelayAnswer, error) {
	return forward(x, q, x.to.peer.Relay)
}

// Vouch implements peerpb.Peer.
func (x remotePeer) Vouch(_ context.Context, q *peerpb.VouchRequest) (*peerpb.VouchAnswer, error) {
	return forward(x, q, x.to.peer.Vouch)
}

// Push implements peerpb.Peer.
func (x remotePeer) Push(_ context.Context, q *peerpb.PushRequest) (*peerpb.PushAnswer, error) {
	return forward(x, q, x.to.peer.Push)
}

// Fetch implements peerpb.Peer.
func (x remotePeer) Fetch(_ context.Context, q *peerpb.FetchRequest) (*peerpb.FetchAnswer, error) {
	return forward(x, q, x.to.peer.Fetch)
}

// Confirm implements peerpb.Peer.
func (x remotePeer) Confirm(_ context.Context, q *peerpb.ConfirmRequest) (*peerpb.ConfirmAnswer, error) {
	return forward(x, q, x.to.peer.Confirm)
}

// Borrow implements peerpb.Peer.
func (x remotePeer) Borrow(_ context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowAnswer, error) {
	return forward(x, q, x.to.peer.Borrow)
}

// GiveBack implements peerpb.Peer.
func (x remotePeer) GiveBack(_ context.Context, q *peerpb.GiveBackRequest) (*peerpb.GiveBackAnswer, error) {
	return forward(x, q, x.to.peer.GiveBack)
}

// Runs implements peerpb.Peer.
func (x remotePeer) Runs(_ context.Context, q *peerpb.RunsRequest) (*peerpb.RunsAnswer, error) {
	return forward(x, q, x.to.peer.Runs)
}

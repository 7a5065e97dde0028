package peer

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"

	"github.com/twitchtv/twirp"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

// validAddress reports whether an address is an IP address and port; names are never resolved.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0
}

const (
	// seedsAsked is how many seeds a node asks at once, and firstSeedsAsked how many while it knows no live member. With
	// two, a node with nine silent seeds and one that answers took up to 9 s to learn the configuration.
	seedsAsked      = 2
	firstSeedsAsked = 8
)

const maxName = 128 // bytes of an id, a zone, a pool or a resource

func validMember(m *peerpb.Member) bool {
	return m != nil && m.GetId() != "" && len(m.GetId()) <= maxName && len(m.GetZone()) <= maxName &&
		m.GetIncarnation() > 0 && m.GetState() >= peerpb.State_ALIVE && m.GetState() <= peerpb.State_LEFT &&
		validAddress(m.GetAddress())
}

// checkGossip returns what is wrong with a message, so that nothing of it is used.
func checkGossip(g *peerpb.Gossip) error {
	if !validMember(g.GetFrom()) {
		return fmt.Errorf("the sender is missing or malformed")
	}
	if len(g.GetUpdates()) > maxMembers+updatesPerMessage || len(g.GetReports()) > maxReports ||
		len(g.GetLoads()) > maxLoads || len(g.GetUnhealthy()) > maxUnhealthy || len(g.GetDigest()) > digestPrefix {
		return fmt.Errorf("a list is too long")
	}
	for _, m := range g.GetUpdates() {
		if !validMember(m) {
			return fmt.Errorf("an update is malformed")
		}
	}
	for _, l := range g.GetLoads() {
		if len(l.GetPool()) > maxName {
			return fmt.Errorf("a pool name is too long")
		}
	}
	for _, w := range g.GetUnhealthy() {
		if len(w) > maxName {
			return fmt.Errorf("a worker id is too long")
		}
	}
	return nil
}

func (n *Node) refuse(ctx context.Context, err error) error {
	counters.Add("calls-refused", 1)
	eventBadCall.Log(ctx, n.Logger, slog.String("reason", err.Error()))
	return twirp.InvalidArgumentError("message", err.Error())
}

// message builds a probe, or the answer to one, for a member of the given id and zone.
func (n *Node) message(to, zone string) *peerpb.Gossip {
	now := n.Clock.Now()
	g := &peerpb.Gossip{From: n.members.self.wire(), Updates: n.members.updates(to),
		Version: n.versions.current.number, Digest: n.versions.prefix(), RosterEpoch: n.roster.row.Version(),
		Members: n.members.sum()}
	for _, m := range n.members.sample(maxReports, func(m *member) bool { return m.versionAt > 0 && m.id != to }) {
		r := &peerpb.Report{Id: m.id, Version: m.version, AgeMs: int64(now - m.versionAt)}
		if m.polledAt > 0 {
			r.PolledMs = int64(now-m.polledAt) + 1
		}
		g.Reports = append(g.Reports, r)
	}
	if n.PollAge != nil {
		g.PolledMs = int64(n.PollAge()) + 1
	}
	if n.Status != nil && (zone == n.Zone || len(n.members.all) < fullReports) {
		loads, unhealthy := n.Status.Load(), n.Status.Unhealthy()
		for i := range min(maxLoads, len(loads)) {
			l := loads[(int(n.ticks)*maxLoads+i)%len(loads)]
			g.Loads = append(g.Loads,
				&peerpb.Load{Pool: l.pool, InFlight: int64(l.inFlight), Queued: int64(l.queued)})
		}
		for i := range min(maxUnhealthy, len(unhealthy)) {
			g.Unhealthy = append(g.Unhealthy, unhealthy[(int(n.ticks)*maxUnhealthy+i)%len(unhealthy)])
		}
	}
	return g
}

// hear takes over everything that a checked message says.
func (n *Node) hear(g *peerpb.Gossip) {
	now := n.Clock.Now()
	from := g.GetFrom()
	if from.GetId() == n.ID {
		n.members.merge(from, now, true) // another process with this id, or an echo of this one
		return
	}
	isNew := n.members.all[from.GetId()] == nil
	n.members.merge(from, now, true)
	m := n.members.all[from.GetId()]
	if m != nil && m.incarnation == from.GetIncarnation() && m.live() {
		m.heard = now
		if g.GetVersion() >= m.version {
			m.version, m.versionAt = g.GetVersion(), now
		}
		m.polled(g.GetPolledMs(), now)
		if isNew {
			eventJoined.Log(context.Background(), n.Logger, slog.String("peer", m.id), slog.String("zone", m.zone))
		}
	}
	for _, u := range g.GetUpdates() {
		n.members.merge(u, now, false)
	}
	for _, r := range g.GetReports() {
		if m := n.members.all[r.GetId()]; m != nil {
			m.polled(r.GetPolledMs(), now)
		}
		at := now - clock.Millis(r.GetAgeMs())
		if m := n.members.all[r.GetId()]; m != nil && r.GetAgeMs() >= 0 && at > m.versionAt &&
			r.GetVersion() >= m.version {
			m.version, m.versionAt = r.GetVersion(), at
		}
	}
	own := n.versions.current
	switch {
	case g.GetVersion() > own.number:
		n.want(g.GetVersion(), from.GetAddress(), "")
	case g.GetVersion() == own.number && own.number > 0 && !bytes.Equal(g.GetDigest(), n.versions.prefix()):
		eventConflict.Log(context.Background(), n.Logger, slog.String("peer", from.GetId()),
			slog.Int64("version", own.number))
	}
	if from.GetZone() == n.Zone && g.GetRosterEpoch() > n.roster.row.Version() && n.pollFails > 0 && m != nil {
		n.confirmWith(m.address, func(clock.Millis) {})
	}
	if n.Status != nil && (len(g.GetLoads()) > 0 || len(g.GetUnhealthy()) > 0) {
		loads := make([]PoolLoad, len(g.GetLoads()))
		for i, l := range g.GetLoads() {
			loads[i] = NewPoolLoad(l.GetPool(), int(l.GetInFlight()), int(l.GetQueued()))
		}
		n.post(func() { n.Status.ReceiveReport(from.GetId(), from.GetZone(), loads, g.GetUnhealthy()) })
	}
}

// Probe implements peerpb.Peer.
func (n *Node) Probe(ctx context.Context, g *peerpb.Gossip) (*peerpb.Gossip, error) {
	if err := checkGossip(g); err != nil {
		return nil, n.refuse(ctx, err)
	}
	n.mu.Lock()
	defer n.unlock()
	if !n.running {
		return nil, errNotRunning
	}
	n.hear(g)
	answer := n.message(g.GetFrom().GetId(), g.GetFrom().GetZone())
	if g.GetSync() {
		for _, id := range n.members.ids((*member).live) {
			answer.Updates = append(answer.Updates, n.members.all[id].wire())
		}
	}
	return answer, nil
}

// probe sends one probe and tells done whether it was answered.
func (n *Node) probe(id, address, zone string, fresh, sync bool, done func(error)) {
	g := n.message(id, zone)
	g.Sync = sync
	counters.Add("probes", 1)
	var answer *peerpb.Gossip
	n.Transport.Call(address, fresh, callTimeout, func(ctx context.Context, p peerpb.Peer) (err error) {
		answer, err = p.Probe(ctx, g)
		if err == nil {
			err = checkGossip(answer)
		}
		return err
	}, func(err error) {
		n.locked(func() {
			if err == nil {
				n.hear(answer)
				n.compare(answer, sync)
			}
			done(err)
		})
	})
}

// compare asks for the whole list of a member whose list differs: each piece of news is sent a bounded number of times,
// so a few nodes miss one. A list of 264 members has about 12 KB, hence the pause.
func (n *Node) compare(g *peerpb.Gossip, synced bool) {
	now, from := n.Clock.Now(), g.GetFrom()
	if synced || g.GetMembers() == n.members.sum() || now-n.lastSync < syncPause {
		return
	}
	n.lastSync = now
	counters.Add("syncs", 1)
	n.probe(from.GetId(), from.GetAddress(), from.GetZone(), false, true, func(error) {}) // the next one differs, too
}

// probeNext probes the next member of the round; every fourth probe goes to the member of the own zone that was not
// heard from for the longest time, because the roster of the zone depends on it.
func (n *Node) probeNext() {
	var target *member
	if n.ticks%4 == 0 {
		for _, id := range n.members.ids(func(m *member) bool { return m.live() && m.zone == n.Zone }) {
			if m := n.members.all[id]; target == nil || m.heard < target.heard {
				target = m
			}
		}
	}
	if target == nil {
		target = n.members.next()
	}
	if target == nil {
		n.join()
		return
	}
	n.check(target)
}

// check probes a member. Without an answer it tries a new connection and asks others to try, before it suspects the
// member.
func (n *Node) check(m *member) {
	id, address, zone, incarnation, started := m.id, m.address, m.zone, m.incarnation, n.Clock.Now()
	n.probe(id, address, zone, false, false, func(err error) {
		if err == nil {
			return
		}
		m := n.members.all[id]
		if m == nil || m.incarnation != incarnation || m.heard > started {
			return
		}
		m.vouched = false
		n.probe(id, address, zone, true, false, func(err error) {
			if err == nil {
				counters.Add("connections-replaced", 1)
				eventSilent.Log(context.Background(), n.Logger, slog.String("peer", id))
			}
		})
		n.askRelays(m)
		// The answers of the new connection and of the relays arrive within two time-outs.
		n.after(3*callTimeout, func() { n.locked(func() { n.suspect(id, incarnation, started) }) })
	})
}

func (n *Node) askRelays(target *member) {
	request := &peerpb.RelayRequest{From: n.members.self.wire(), Target: target.wire()}
	request.Target.State = peerpb.State_ALIVE
	for _, r := range n.members.sample(relays, func(m *member) bool {
		return m.id != target.id && m.state == peerpb.State_ALIVE
	}) {
		n.Transport.Call(r.address, false, callTimeout, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Relay(ctx, request)
			return err
		}, func(error) {}) // a relay that is out of reach is one witness less
	}
}

func (n *Node) suspect(id string, incarnation int64, started clock.Millis) {
	m := n.members.all[id]
	if m == nil || m.incarnation != incarnation || m.state != peerpb.State_ALIVE || m.heard > started || m.vouched {
		return
	}
	eventSuspected.Log(context.Background(), n.Logger, slog.String("peer", id))
	n.members.set(m, peerpb.State_SUSPECT, n.Clock.Now())
}

// Relay implements peerpb.Peer.
func (n *Node) Relay(ctx context.Context, r *peerpb.RelayRequest) (*peerpb.RelayAnswer, error) {
	if !validMember(r.GetFrom()) || !validMember(r.GetTarget()) {
		return nil, n.refuse(ctx, fmt.Errorf("a member is missing or malformed"))
	}
	n.locked(func() {
		t := r.GetTarget()
		n.probe(t.GetId(), t.GetAddress(), t.GetZone(), false, false, func(err error) {
			if err != nil {
				return
			}
			n.Transport.Call(r.GetFrom().GetAddress(), false, callTimeout,
				func(ctx context.Context, p peerpb.Peer) error {
					_, err := p.Vouch(ctx, &peerpb.VouchRequest{Target: t})
					return err
				}, func(error) {}) // the asker suspects and the target refutes
		})
	})
	return &peerpb.RelayAnswer{}, nil
}

// Vouch implements peerpb.Peer.
func (n *Node) Vouch(ctx context.Context, r *peerpb.VouchRequest) (*peerpb.VouchAnswer, error) {
	if !validMember(r.GetTarget()) {
		return nil, n.refuse(ctx, fmt.Errorf("a member is missing or malformed"))
	}
	n.locked(func() {
		if m := n.members.all[r.GetTarget().GetId()]; m != nil && m.incarnation == r.GetTarget().GetIncarnation() {
			m.vouched = true
		}
	})
	return &peerpb.VouchAnswer{}, nil
}

// join asks seeds for their member list.
func (n *Node) join() {
	addresses := append([]string(nil), n.seeds...)
	n.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	count := seedsAsked
	if len(n.members.ids((*member).live)) == 0 {
		count = firstSeedsAsked
	}
	for _, address := range addresses[:min(count, len(addresses))] {
		if address != n.Address {
			n.probe("", address, "", false, true, func(error) {}) // the next tick tries other seeds
		}
	}
}

// reconnect probes one member that failed, or now and then a seed that is no member, so that a healed partition is
// noticed.
func (n *Node) reconnect() {
	if m := n.members.lost(); m != nil {
		address := m.address
		if claimed := n.members.claimed[m.id]; claimed != "" {
			address = claimed
		}
		n.probe(m.id, address, m.zone, true, true, func(error) {}) // most failed members stay failed
		return
	}
	const seedPeriod = 30 // ticks
	if n.ticks%seedPeriod != 0 || len(n.seeds) == 0 {
		return
	}
	address := n.seeds[n.random.IntN(len(n.seeds))]
	if address == n.Address || len(n.members.ids(func(m *member) bool { return m.live() && m.address == address })) > 0 {
		return
	}
	n.probe("", address, "", false, true, func(error) {}) // seeds may be gone for good
}

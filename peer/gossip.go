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

// validAddress reports whether an address is an IP address and port. Host names are refused, because they are never
// resolved.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0
}

const (
	// seedsPerJoin is the number of seeds that are probed at once, and seedsPerFirstJoin the number while no live member
	// is known. With two, a node with nine silent seeds and one that answers took up to 9 s to get the configuration.
	seedsPerJoin      = 2
	seedsPerFirstJoin = 8
)

const maxNameBytes = 128 // length of an id, a zone, a pool or a resource

func validMember(m *peerpb.Member) bool {
	return m != nil && m.GetId() != "" && len(m.GetId()) <= maxNameBytes && len(m.GetZone()) <= maxNameBytes &&
		m.GetIncarnation() > 0 && m.GetState() >= peerpb.State_ALIVE && m.GetState() <= peerpb.State_LEFT &&
		validAddress(m.GetAddress())
}

// checkGossip returns an error if any part of a message is invalid. The whole message is then ignored.
func checkGossip(g *peerpb.Gossip) error {
	if !validMember(g.GetFrom()) {
		return fmt.Errorf("the sender is missing or malformed")
	}
	if len(g.GetUpdates()) > maxMembers+updatesPerMessage || len(g.GetReports()) > maxReports ||
		len(g.GetLoads()) > maxLoads || len(g.GetUnhealthy()) > maxUnhealthy || len(g.GetDigest()) > digestPrefixBytes {
		return fmt.Errorf("a list is too long")
	}
	for _, m := range g.GetUpdates() {
		if !validMember(m) {
			return fmt.Errorf("an update is malformed")
		}
	}
	for _, l := range g.GetLoads() {
		if len(l.GetPool()) > maxNameBytes {
			return fmt.Errorf("a pool name is too long")
		}
	}
	for _, w := range g.GetUnhealthy() {
		if len(w) > maxNameBytes {
			return fmt.Errorf("a worker id is too long")
		}
	}
	return nil
}

// refuse counts and logs a call that is refused because of err, and returns the error for the caller.
func (n *Node) refuse(ctx context.Context, err error) error {
	counters.Add("calls-refused", 1)
	eventCallRefused.Log(ctx, n.Logger, slog.String("reason", err.Error()))
	return twirp.InvalidArgumentError("message", err.Error())
}

// message returns a probe, or the answer to one, for a member with the given id and zone.
func (n *Node) message(to, zone string) *peerpb.Gossip {
	now := n.Clock.Now()
	g := &peerpb.Gossip{From: n.members.self.wire(), Updates: n.members.updates(to),
		Version: n.versions.current.number, Digest: n.versions.digestPrefix(), RosterEpoch: n.roster.row.Version(),
		Members: n.members.checksum()}
	for _, m := range n.members.sample(maxReports, func(m *member) bool { return m.versionAt > 0 && m.id != to }) {
		r := &peerpb.Report{Id: m.id, Version: m.version, AgeMs: int64(now - m.versionAt)}
		if m.polledAt > 0 {
			r.PolledMs = int64(now-m.polledAt) + 1
		}
		g.Reports = append(g.Reports, r)
	}
	if n.PollAge != nil { // updatePolledAt defines the encoding of polled_ms
		g.PolledMs = int64(n.PollAge()) + 1
	}
	if n.Status != nil && (zone == n.Zone || len(n.members.all) < allZonesMemberLimit) {
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

// receive applies a message that checkGossip accepted.
func (n *Node) receive(g *peerpb.Gossip) {
	now := n.Clock.Now()
	from := g.GetFrom()
	if from.GetId() == n.ID {
		n.members.merge(from, now, true) // another process with this id, or this process itself
		return
	}
	isNew := n.members.all[from.GetId()] == nil
	n.members.merge(from, now, true)
	m := n.members.all[from.GetId()]
	if m != nil && m.incarnation == from.GetIncarnation() && m.live() {
		m.lastReceived = now
		if g.GetVersion() >= m.version {
			m.version, m.versionAt = g.GetVersion(), now
		}
		m.updatePolledAt(g.GetPolledMs(), now)
		if isNew {
			eventJoined.Log(context.Background(), n.Logger, slog.String("peer", m.id), slog.String("zone", m.zone))
		}
	}
	for _, u := range g.GetUpdates() {
		n.members.merge(u, now, false)
	}
	for _, r := range g.GetReports() {
		if m := n.members.all[r.GetId()]; m != nil {
			m.updatePolledAt(r.GetPolledMs(), now)
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
		n.requestVersion(g.GetVersion(), from.GetAddress(), "")
	case g.GetVersion() == own.number && own.number > 0 && !bytes.Equal(g.GetDigest(), n.versions.digestPrefix()):
		eventConfigurationConflict.Log(context.Background(), n.Logger, slog.String("peer", from.GetId()),
			slog.Int64("version", own.number))
	}
	// While the table cannot be read here, a member that has a newer roster row may know that this node was removed.
	if from.GetZone() == n.Zone && g.GetRosterEpoch() > n.roster.row.Version() && n.pollFailures > 0 && m != nil {
		n.confirmWithPeer(m.address, func(clock.Millis) {})
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
	n.receive(g)
	answer := n.message(g.GetFrom().GetId(), g.GetFrom().GetZone())
	if g.GetSync() {
		for _, id := range n.members.ids((*member).live) {
			answer.Updates = append(answer.Updates, n.members.all[id].wire())
		}
	}
	return answer, nil
}

// probe sends one probe and calls done with nil if it was answered, and with an error otherwise. If fresh is set, it uses
// a new connection; if sync is set, it requests the whole member list.
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
				n.receive(answer)
				n.syncIfDifferent(answer, sync)
			}
			done(err)
		})
	})
}

// syncIfDifferent requests the whole list of a member whose checksum differs from the one here. Each update is sent a
// bounded number of times, so a few nodes miss one. A list of 264 members takes about 12 KB, so the requests are
// limited to one per minSyncInterval.
func (n *Node) syncIfDifferent(g *peerpb.Gossip, synced bool) {
	now, from := n.Clock.Now(), g.GetFrom()
	if synced || g.GetMembers() == n.members.checksum() || now-n.lastSync < minSyncInterval {
		return
	}
	n.lastSync = now
	counters.Add("syncs", 1)
	n.probe(from.GetId(), from.GetAddress(), from.GetZone(), false, true, func(error) {}) // repeated at the next difference
}

// probeNext probes the next member of the round. Every fourth probe goes to the member of the own zone with the oldest
// lastReceived, because the roster of the zone depends on these members.
func (n *Node) probeNext() {
	var target *member
	if n.ticks%4 == 0 {
		for _, id := range n.members.ids(func(m *member) bool { return m.live() && m.zone == n.Zone }) {
			if m := n.members.all[id]; target == nil || m.lastReceived < target.lastReceived {
				target = m
			}
		}
	}
	if target == nil {
		target = n.members.nextToProbe()
	}
	if target == nil {
		n.probeSeeds()
		return
	}
	n.probeMember(target)
}

// probeMember probes a member. Without an answer it tries a new connection and asks relays to probe the member, before
// it suspects it.
func (n *Node) probeMember(m *member) {
	id, address, zone, incarnation, started := m.id, m.address, m.zone, m.incarnation, n.Clock.Now()
	n.probe(id, address, zone, false, false, func(err error) {
		if err == nil {
			return
		}
		m := n.members.all[id]
		if m == nil || m.incarnation != incarnation || m.lastReceived > started {
			return
		}
		m.reachedByRelay = false
		n.probe(id, address, zone, true, false, func(err error) {
			if err == nil {
				counters.Add("connections-replaced", 1)
				eventConnectionSilent.Log(context.Background(), n.Logger, slog.String("peer", id))
			}
		})
		n.askRelays(m)
		// The answers over the new connection and from the relays arrive within two timeouts.
		n.after(3*callTimeout, func() { n.locked(func() { n.suspect(id, incarnation, started) }) })
	})
}

// askRelays asks randomly chosen members to probe a member that does not answer this node.
func (n *Node) askRelays(target *member) {
	request := &peerpb.RelayRequest{From: n.members.self.wire(), Target: target.wire()}
	request.Target.State = peerpb.State_ALIVE
	for _, r := range n.members.sample(relays, func(m *member) bool {
		return m.id != target.id && m.state == peerpb.State_ALIVE
	}) {
		n.Transport.Call(r.address, false, callTimeout, func(ctx context.Context, p peerpb.Peer) error {
			_, err := p.Relay(ctx, request)
			return err
		}, func(error) {}) // an unreachable relay does not affect the others
	}
}

// suspect marks a member as suspected, unless it has answered or a relay has reached it since the probe was started.
func (n *Node) suspect(id string, incarnation int64, started clock.Millis) {
	m := n.members.all[id]
	if m == nil || m.incarnation != incarnation || m.state != peerpb.State_ALIVE || m.lastReceived > started || m.reachedByRelay {
		return
	}
	eventSuspected.Log(context.Background(), n.Logger, slog.String("peer", id))
	n.members.setState(m, peerpb.State_SUSPECT, n.Clock.Now())
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
				}, func(error) {}) // if this call is lost, the requester suspects the target, which can refute that
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
			m.reachedByRelay = true
		}
	})
	return &peerpb.VouchAnswer{}, nil
}

// probeSeeds requests the member lists of randomly chosen seeds.
func (n *Node) probeSeeds() {
	addresses := append([]string(nil), n.seeds...)
	n.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	count := seedsPerJoin
	if len(n.members.ids((*member).live)) == 0 {
		count = seedsPerFirstJoin
	}
	for _, address := range addresses[:min(count, len(addresses))] {
		if address != n.Address {
			n.probe("", address, "", false, true, func(error) {}) // the next tick tries other seeds
		}
	}
}

// reconnect probes one failed member, so that the end of a network partition is detected. If there is none, it probes a
// seed that is not a member every 30 ticks.
func (n *Node) reconnect() {
	if m := n.members.sampleFailed(); m != nil {
		address := m.address
		if reportedAddress := n.members.reportedAddress[m.id]; reportedAddress != "" {
			address = reportedAddress
		}
		n.probe(m.id, address, m.zone, true, true, func(error) {}) // most failed members do not come back
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
	n.probe("", address, "", false, true, func(error) {}) // the seed may have been shut down
}

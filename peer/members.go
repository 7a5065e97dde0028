package peer

import (
	"math/bits"
	"math/rand/v2"
	"sort"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

const (
	// maxMembers bounds the member list; the target size has 264 entry instances.
	maxMembers = 1024
	// maxRemoved bounds the number of ids whose removed incarnation is recorded. At 920 replaced processes a day in the
	// whole fleet, 4096 covers more than four days.
	maxRemoved = 4096
	// updatesPerMessage bounds the queued updates in a probe, so that they take less than about 300 bytes.
	updatesPerMessage = 4
	// suspicionPeriod is how long a suspected member has to refute the suspicion before it counts as failed.
	suspicionPeriod = 5 * clock.Second
	// reconnectPeriod is for how long a failed member is still probed, so that the end of a network partition is
	// detected.
	reconnectPeriod = 10 * clock.Minute
)

// member is the state of another entry instance as known to this node.
type member struct {
	id, address, zone string
	incarnation       int64
	state             peerpb.State
	stateSince        clock.Millis // start of the state
	lastReceived      clock.Millis // last message or answer from the member itself; -1 for none
	version           int64        // of the configuration, as last reported by the member or by others
	versionAt         clock.Millis // when the member had that version in force; 0 for no report
	polledAt          clock.Millis // when the member last began a complete read of the instance changes; 0 for unknown
	reachedByRelay    bool         // a relay reached the member since this node's last probe of it failed
}

func (m *member) wire() *peerpb.Member {
	return &peerpb.Member{Id: m.id, Address: m.address, Zone: m.zone, Incarnation: m.incarnation, State: m.state}
}

func (m *member) live() bool { return m.state == peerpb.State_ALIVE || m.state == peerpb.State_SUSPECT }

// update is a change of a member's state. It is attached to a bounded number of messages.
type update struct {
	member    *peerpb.Member
	sentCount int // number of messages that carried the update
}

// members is the member list of one node, without I/O; the node's lock guards it.
type members struct {
	self            member
	random          *rand.Rand
	all             map[string]*member
	removed         map[string]int64  // by id: the highest incarnation that failed or left
	removalOrder    []string          // ids of removed, oldest first
	queuedUpdates   []*update         // updates that still have to be sent
	probeRound      []string          // ids that are still to be probed in the current round
	reportedAddress map[string]string // by id: the address of a member that failed here and that others report as alive
}

func newMembers(self member, random *rand.Rand) *members {
	return &members{self: self, random: random, all: map[string]*member{}, removed: map[string]int64{},
		reportedAddress: map[string]string{}}
}

// merge applies one update and reports whether it changed anything. direct says that the update is the sender's
// statement about itself.
func (s *members) merge(u *peerpb.Member, now clock.Millis, direct bool) bool {
	if u.GetId() == s.self.id {
		return s.refute(u, now)
	}
	known := s.all[u.GetId()]
	departed := u.GetState() == peerpb.State_FAILED || u.GetState() == peerpb.State_LEFT
	if removed, ok := s.removed[u.GetId()]; ok && u.GetIncarnation() <= removed {
		if !departed && known != nil && !known.live() && len(s.reportedAddress) < maxMembers {
			s.reportedAddress[u.GetId()] = u.GetAddress()
		}
		return false
	}
	if known == nil {
		if departed {
			s.recordRemoval(u.GetId(), u.GetIncarnation())
			return false
		}
		if len(s.all) >= maxMembers {
			return false
		}
		known = &member{id: u.GetId(), lastReceived: -1}
		s.all[u.GetId()] = known
	} else if u.GetIncarnation() < known.incarnation ||
		(u.GetIncarnation() == known.incarnation && u.GetState() <= known.state) {
		return false
	}
	state := u.GetState()
	if state == peerpb.State_FAILED && known.live() && known.incarnation == u.GetIncarnation() {
		// The reported failure may come from the other side of a network partition: the member gets the suspicion
		// period to refute it.
		if known.state == peerpb.State_SUSPECT {
			return false
		}
		state = peerpb.State_SUSPECT
	}
	if u.GetIncarnation() > known.incarnation {
		known.lastReceived, known.version, known.versionAt, known.polledAt = -1, 0, 0, 0 // a new process
	}
	known.address, known.zone, known.incarnation = u.GetAddress(), u.GetZone(), u.GetIncarnation()
	s.setState(known, state, now)
	return true
}

// refute handles an update about this node itself. If it reports the node as suspected, as failed or as another
// process, the node raises its incarnation and so overrides the update.
func (s *members) refute(u *peerpb.Member, now clock.Millis) bool {
	same := u.GetIncarnation() == s.self.incarnation
	if u.GetIncarnation() < s.self.incarnation || s.self.state == peerpb.State_LEFT ||
		(same && u.GetState() == peerpb.State_ALIVE && u.GetAddress() == s.self.address) {
		return false
	}
	s.raiseIncarnation(u.GetIncarnation()+1, now)
	return true
}

// raiseIncarnation gives this node a higher incarnation and queues it for sending.
func (s *members) raiseIncarnation(incarnation int64, now clock.Millis) {
	s.self.incarnation = max(incarnation, s.self.incarnation+1)
	s.self.stateSince = now
	s.enqueue(s.self.wire())
}

// setState changes the state of a member and queues the change for sending.
func (s *members) setState(m *member, state peerpb.State, now clock.Millis) {
	m.state, m.stateSince, m.reachedByRelay = state, now, false
	if !m.live() {
		s.recordRemoval(m.id, m.incarnation)
	} else {
		delete(s.reportedAddress, m.id)
	}
	s.enqueue(m.wire())
}

// recordRemoval stores the highest removed incarnation of an id, so that a late message cannot add the member again.
func (s *members) recordRemoval(id string, incarnation int64) {
	if old, ok := s.removed[id]; !ok {
		s.removalOrder = append(s.removalOrder, id)
	} else {
		incarnation = max(incarnation, old)
	}
	s.removed[id] = incarnation
	if len(s.removalOrder) > maxRemoved {
		delete(s.removed, s.removalOrder[0])
		s.removalOrder = s.removalOrder[1:]
	}
}

// enqueue queues an update and drops an older one about the same member.
func (s *members) enqueue(m *peerpb.Member) {
	for i, u := range s.queuedUpdates {
		if u.member.GetId() == m.GetId() {
			s.queuedUpdates = append(s.queuedUpdates[:i], s.queuedUpdates[i+1:]...)
			break
		}
	}
	s.queuedUpdates = append(s.queuedUpdates, &update{member: m})
	if len(s.queuedUpdates) > maxMembers {
		s.queuedUpdates = s.queuedUpdates[1:]
	}
}

// updates returns the updates for one message to a member, the least sent first. Each update is sent at most log2(n) +
// 3 times in all. Nodes that miss one find the difference when they compare checksums of the member lists.
func (s *members) updates(to string) []*peerpb.Member {
	limit := bits.Len(uint(len(s.all)+1)) + 3
	sort.SliceStable(s.queuedUpdates, func(i, j int) bool { return s.queuedUpdates[i].sentCount < s.queuedUpdates[j].sentCount })
	var chosen []*peerpb.Member
	if m := s.all[to]; m != nil && m.state != peerpb.State_ALIVE {
		chosen = append(chosen, m.wire()) // so that the member can refute it
	}
	kept := s.queuedUpdates[:0]
	for _, u := range s.queuedUpdates {
		if len(chosen) < updatesPerMessage && u.member.GetId() != to {
			chosen = append(chosen, u.member)
			u.sentCount++
		}
		if u.sentCount < limit {
			kept = append(kept, u)
		}
	}
	clear(s.queuedUpdates[len(kept):])
	s.queuedUpdates = kept
	return chosen
}

// checksum returns a checksum over the ids and incarnations of the live members and of this node. Two nodes with the
// same list have the same checksum.
func (s *members) checksum() uint32 {
	checksum := uint32(hashMember(s.self.incarnation, s.self.id))
	for id, m := range s.all {
		if m.live() {
			checksum += uint32(hashMember(m.incarnation, id))
		}
	}
	return checksum
}

// expire turns suspicions that were not refuted in time into failures and returns these members. It also deletes
// members that failed reconnectPeriod ago or left a minute ago.
func (s *members) expire(now clock.Millis) (failed []*member) {
	for _, id := range s.ids(func(m *member) bool { return true }) {
		m := s.all[id]
		switch {
		case m.state == peerpb.State_SUSPECT && now-m.stateSince >= suspicionPeriod:
			s.setState(m, peerpb.State_FAILED, now)
			failed = append(failed, m)
		case m.state == peerpb.State_FAILED && now-m.stateSince >= reconnectPeriod,
			m.state == peerpb.State_LEFT && now-m.stateSince >= clock.Minute:
			delete(s.all, id)
			delete(s.reportedAddress, id)
		}
	}
	return failed
}

// nextToProbe returns the next member to probe. Each round covers every live member once, in random order.
func (s *members) nextToProbe() *member {
	for range 2 {
		for len(s.probeRound) > 0 {
			m := s.all[s.probeRound[0]]
			s.probeRound = s.probeRound[1:]
			if m != nil && m.live() {
				return m
			}
		}
		s.probeRound = s.ids((*member).live)
		s.shuffle(s.probeRound)
	}
	return nil
}

// sampleFailed returns a random failed member, or nil. It prefers those that others report as alive.
func (s *members) sampleFailed() *member {
	ids := s.ids(func(m *member) bool { return s.reportedAddress[m.id] != "" && m.state == peerpb.State_FAILED })
	if len(ids) == 0 {
		ids = s.ids(func(m *member) bool { return m.state == peerpb.State_FAILED })
	}
	if len(ids) == 0 {
		return nil
	}
	return s.all[ids[s.random.IntN(len(ids))]]
}

// sample returns up to n random live members that match the filter.
func (s *members) sample(n int, filter func(*member) bool) []*member {
	ids := s.ids(func(m *member) bool { return m.live() && filter(m) })
	s.shuffle(ids)
	chosen := make([]*member, 0, n)
	for _, id := range ids[:min(n, len(ids))] {
		chosen = append(chosen, s.all[id])
	}
	return chosen
}

// ids returns the ids of the members that match the filter. They are sorted because the iteration order of a map is not
// deterministic.
func (s *members) ids(filter func(*member) bool) []string {
	ids := make([]string, 0, len(s.all))
	for id, m := range s.all {
		if filter(m) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (s *members) shuffle(ids []string) {
	s.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// updatePolledAt applies the field polled_ms of a message: 1 more than the age in milliseconds of the member's last
// complete read of the instance changes, or 0 for unknown.
func (m *member) updatePolledAt(report int64, now clock.Millis) {
	if report > 0 {
		m.polledAt = max(m.polledAt, now-clock.Millis(report-1))
	}
}

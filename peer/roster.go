package peer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
	"magnoliaferry/provider"
)

// RosterMember is one entry of the row roster/<zone>.
type RosterMember struct {
	id, address string
	incarnation int64
}

// NewRosterMember returns an entry of a roster.
func NewRosterMember(id, address string, incarnation int64) RosterMember {
	return RosterMember{id, address, incarnation}
}

// ID returns the id of the entry instance.
func (m RosterMember) ID() string { return m.id }

// Address returns the IP address and port of the peer interface.
func (m RosterMember) Address() string { return m.address }

// Incarnation returns the incarnation with which the entry instance joined.
func (m RosterMember) Incarnation() int64 { return m.incarnation }

// Rosters computes the value of the row roster/<zone>; the package slots defines its encoding. A nil row means that
// the row does not exist.
type Rosters interface {
	// Members returns the active members of the row, without leaving and removed ones.
	Members(row []byte) ([]RosterMember, error)
	// Join returns the row with the member, which replaces an earlier incarnation of the same id.
	Join(row []byte, m RosterMember) ([]byte, error)
	// Remove returns the row in which the member is no longer active. The row may keep it until its slots are released.
	Remove(row []byte, id string, incarnation int64) ([]byte, error)
}

// Ledger divides the slots among the members of the roster.
type Ledger interface {
	// SetRoster is called with each new row of the own zone, in order.
	SetRoster(row provider.Row)
	// Confirmed is called when an attempt to confirm the membership is complete and did not find a removal. started is
	// the start time of the attempt. table reports whether the table answered; if not, unbroken is the greatest
	// Unbroken, in milliseconds, that a peer of the zone answered with, 0 without an answer.
	Confirmed(started clock.Millis, table bool, unbroken clock.Millis)
	// Unbroken returns for how long this entry instance has confirmed its membership without a pause longer than the
	// lease period, in milliseconds, or 0 while it is suspended.
	Unbroken() clock.Millis
	// Propose returns a value to write on the condition that the roster row of the own zone has the given version. ok is
	// false if there is nothing to write.
	Propose() (value []byte, version int64, ok bool)
	// Rejoin is called with the incarnation with which this entry instance joins again after a removal.
	Rejoin(incarnation int64)
	// Suspend is called when slots must not be used until the next Confirmed; requests in flight continue.
	Suspend()
}

// roster is the state of the own zone's roster; the node's lock guards it.
type roster struct {
	row                   provider.Row // the newest one read, or an older one after eventRowLost
	members               []RosterMember
	incarnation           int64 // with which this node joins
	joined                bool
	suspendUntilConfirmed bool         // set after a pause: slots are suspended until the membership is confirmed
	olderRowSince         clock.Millis // since when reads of the table return an older row; 0 if they do not
	write                 *rosterWrite // in flight or with an unknown outcome
	writes                int64        // number of writes started, part of their operation ids
	confirming            bool         // an attempt to confirm the membership with peers of the zone is in progress
	nextPeer              int          // counter that selects the peer of the next attempt
	contacts              map[string]*memberContact
}

type rosterWrite struct {
	tx        provider.Transaction
	ifVersion int64 // version of the row that the write depends on
	running   bool  // in flight
}

// memberContact records when another member of the roster last counted as alive in the member list or was last heard
// from, and the failed probes since then.
type memberContact struct {
	incarnation  int64
	lastContact  clock.Millis // time of the last contact, or the time when the member was first seen in the roster
	failedProbes int          // probes over new connections without an answer since then
}

// Usable reports whether slots may be used: this entry instance is in the roster and was not paused for longer than the
// lease period. It takes no lock, so it may be called for each request.
func (n *Node) Usable() bool {
	return n.usable.Load() && (n.Rosters == nil || n.Clock.Now()-clock.Millis(n.lastTickMs.Load()) <= LeasePeriod)
}

// onRoster handles a row of the own zone's roster; started is the time before the read. A read that began before a
// pause does not show what happened during the pause, so it is ignored.
func (n *Node) onRoster(row provider.Row, started clock.Millis) {
	r, now := &n.roster, n.Clock.Now()
	if now-started > LeasePeriod || n.members.self.state == peerpb.State_LEFT {
		return
	}
	if row.Version() < r.row.Version() {
		if r.olderRowSince == 0 {
			r.olderRowSince = now
		}
		if now-r.olderRowSince <= LeasePeriod {
			n.confirmByPeers() // a stale read does not confirm the membership
			return
		}
		eventRowLost.Log(context.Background(), n.Logger, slog.String("row", row.Key()))
	}
	r.olderRowSince = 0
	var value []byte
	if row.Version() > 0 {
		value = row.Value()
	}
	members, err := n.Rosters.Members(value)
	if err != nil {
		eventRowUnusable.Log(context.Background(), n.Logger, slog.String("row", row.Key()), slog.String("reason", err.Error()))
		return
	}
	if row.Version() != r.row.Version() {
		n.post(func() { n.Ledger.SetRoster(row) })
	}
	r.row, r.members = row, members
	if w := r.write; w != nil && !w.running && row.Version() != w.ifVersion {
		r.write = nil // applied, or another writer was first; the members show which
	}
	n.repeatWrite()
	if !n.inRoster() {
		n.onRemoved()
		n.joinRoster()
		return
	}
	n.onConfirmed(started, true, 0)
	if value, version, ok := n.Ledger.Propose(); ok && r.write == nil && version == row.Version() {
		n.writeRoster(value, nil)
	}
}

func (n *Node) inRoster() bool {
	return slices.ContainsFunc(n.roster.members, func(m RosterMember) bool {
		return m.id == n.ID && m.incarnation == n.roster.incarnation
	})
}

// onConfirmed records a completed attempt to confirm the membership in which neither the table nor a peer reported a
// removal.
func (n *Node) onConfirmed(started clock.Millis, table bool, unbroken clock.Millis) {
	r := &n.roster
	if !r.joined {
		eventRosterJoined.Log(context.Background(), n.Logger, slog.Int64("incarnation", r.incarnation))
	}
	n.usable.Store(true)
	n.post(func() { n.Ledger.Confirmed(started, table, unbroken) })
	r.joined, r.suspendUntilConfirmed = true, false
}

// onRemoved suspends the slots after a removal. The next join needs a new incarnation, because others may already use
// the slots of the removed one.
func (n *Node) onRemoved() {
	r := &n.roster
	if !r.joined {
		return
	}
	eventRosterRemoved.Log(context.Background(), n.Logger, slog.Int64("incarnation", r.incarnation))
	r.joined, r.suspendUntilConfirmed = false, false
	n.suspendSlots()
	n.members.raiseIncarnation(0, n.Clock.Now())
	r.incarnation = n.members.self.incarnation
	incarnation := r.incarnation
	n.post(func() { n.Ledger.Rejoin(incarnation) })
}

func (n *Node) suspendSlots() {
	n.usable.Store(false)
	n.post(n.Ledger.Suspend)
}

// suspendUntilConfirmed suspends the slots after a pause until an attempt to confirm the membership is complete.
func (n *Node) suspendUntilConfirmed() {
	if n.Rosters == nil || !n.roster.joined {
		return
	}
	n.roster.suspendUntilConfirmed = true
	n.suspendSlots()
}

func (n *Node) joinRoster() {
	r := &n.roster
	if r.write != nil {
		return
	}
	value, err := n.Rosters.Join(r.row.Value(), NewRosterMember(n.ID, n.Address, r.incarnation))
	n.writeRoster(value, err)
}

// writeRoster commits a new value of the row on the condition that the row has the version that the value was computed
// from. If err is not nil, the value could not be computed, and the error is logged.
func (n *Node) writeRoster(value []byte, err error) {
	r := &n.roster
	if err != nil {
		eventRowUnusable.Log(context.Background(), n.Logger, slog.String("row", rosterKeyPrefix+n.Zone),
			slog.String("reason", err.Error()))
		return
	}
	r.writes++
	operation := fmt.Sprintf("roster-%s-%d-%d", n.ID, n.members.self.incarnation, r.writes)
	r.write = &rosterWrite{ifVersion: r.row.Version(), tx: provider.NewTransaction(operation,
		provider.Put(rosterKeyPrefix+n.Zone, value, r.row.Version()))}
	n.repeatWrite()
}

// repeatWrite commits the current write unless it is in flight. A write with an unknown outcome is repeated with the
// same operation id as long as the row has the version that it depends on.
func (n *Node) repeatWrite() {
	w := n.roster.write
	if w == nil || w.running {
		return
	}
	w.running = true
	var err error
	n.Background(func() {
		ctx, cancel := n.Clock.WithTimeout(context.Background(), bodyTimeout)
		defer cancel()
		err = n.Table.Commit(ctx, w.tx)
	}, func() {
		n.locked(func() {
			w.running = false
			if !errorx.IsOfType(err, provider.ErrUnknownOutcome) && n.roster.write == w {
				n.roster.write = nil
			}
			if err == nil || errorx.IsOfType(err, provider.ErrConflict) {
				n.pollSoon()
			}
		})
	})
}

// watchRoster removes members of the zone that were silent for the lease period and left at least three probes over new
// connections without an answer. A member that
// answers other members counts as alive and is not silent.
func (n *Node) watchRoster(now clock.Millis) {
	r := &n.roster
	if !r.joined || r.suspendUntilConfirmed {
		return
	}
	inRow := map[string]bool{n.ID: true}
	for _, rm := range r.members {
		if rm.id == n.ID {
			continue
		}
		inRow[rm.id] = true
		t := r.contacts[rm.id]
		if t == nil || t.incarnation != rm.incarnation {
			t = &memberContact{incarnation: rm.incarnation, lastContact: now}
			r.contacts[rm.id] = t
		}
		m := n.members.all[rm.id]
		if m != nil && (m.state == peerpb.State_ALIVE || m.lastReceived > t.lastContact) {
			t.lastContact, t.failedProbes = now, 0
			continue
		}
		if m != nil && m.state == peerpb.State_LEFT && now-m.stateSince < LeasePeriod {
			continue // it removes itself from the roster
		}
		if now-t.lastContact >= LeasePeriod && t.failedProbes >= 3 {
			n.removeFromRoster(rm)
			continue
		}
		n.probe(rm.id, rm.address, n.Zone, true, true, func(err error) { // over a new connection, with the whole member list
			if err != nil {
				t.failedProbes++
			}
		})
	}
	for id := range r.contacts {
		if !inRow[id] {
			delete(r.contacts, id)
		}
	}
}

// removeFromRoster removes a silent member, unless a write is in progress or the row known here may be out of date.
func (n *Node) removeFromRoster(m RosterMember) {
	r := &n.roster
	if r.write != nil || n.pollFailures > 0 || r.olderRowSince != 0 {
		return
	}
	eventRosterMemberSilent.Log(context.Background(), n.Logger, slog.String("peer", m.id),
		slog.Int64("incarnation", m.incarnation))
	value, err := n.Rosters.Remove(r.row.Value(), m.id, m.incarnation)
	n.writeRoster(value, err)
}

// confirmByPeers confirms the membership with peers of the zone while the table does not answer or returns older rows:
// with all of them at once after a pause, otherwise with one a second in turn. The attempt is passed to the Ledger
// unless a peer answers that this node was removed, also when no peer answers; Ledger.Confirmed decides whether it
// counts.
func (n *Node) confirmByPeers() {
	r := &n.roster
	if n.Rosters == nil || !r.joined || r.confirming {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.members), func(m RosterMember) bool { return m.id == n.ID })
	started := n.Clock.Now()
	if len(others) == 0 {
		n.onConfirmed(started, false, 0)
		return
	}
	r.confirming = true
	if !r.suspendUntilConfirmed {
		r.nextPeer++
		others = others[r.nextPeer%len(others):][:1]
	}
	unanswered, unbroken := len(others), clock.Millis(0)
	for _, m := range others {
		n.confirmWithPeer(m.address, func(answered clock.Millis) {
			unbroken = max(unbroken, answered)
			if unanswered--; unanswered > 0 {
				return
			}
			r.confirming = false
			if r.joined && n.Clock.Now()-started <= LeasePeriod {
				n.onConfirmed(started, false, unbroken)
			}
		})
	}
}

// confirmWithPeer asks one peer whether this node is still in the roster. done is called with the time in milliseconds
// for which the peer itself has been a member without a pause, or with 0 if it did not answer or did not confirm the
// membership.
func (n *Node) confirmWithPeer(address string, done func(unbroken clock.Millis)) {
	r := &n.roster
	request := &peerpb.ConfirmRequest{Id: n.ID, Zone: n.Zone, Incarnation: r.incarnation}
	var answer *peerpb.ConfirmAnswer
	n.Transport.Call(address, r.suspendUntilConfirmed, callTimeout, func(ctx context.Context, p peerpb.Peer) (err error) {
		answer, err = p.Confirm(ctx, request)
		return err
	}, func(err error) {
		n.locked(func() {
			unbroken := clock.Millis(0)
			// An answer that this node is no member counts only if it is based on a newer row than the one known here.
			switch {
			case err != nil:
			case answer.GetMember():
				unbroken = clock.Millis(answer.GetUnbrokenMs())
			case answer.GetEpoch() > r.row.Version() && request.GetIncarnation() == r.incarnation:
				n.onRemoved()
			}
			done(unbroken)
		})
	})
}

// Confirm implements peerpb.Peer.
func (n *Node) Confirm(ctx context.Context, q *peerpb.ConfirmRequest) (*peerpb.ConfirmAnswer, error) {
	if q.GetId() == "" || len(q.GetId()) > maxNameBytes || q.GetIncarnation() <= 0 {
		return nil, n.refuse(ctx, fmt.Errorf("the member is malformed"))
	}
	if n.Ledger == nil || q.GetZone() != n.Zone {
		return &peerpb.ConfirmAnswer{}, nil
	}
	unbroken := n.Ledger.Unbroken()
	n.mu.Lock()
	defer n.unlock()
	return &peerpb.ConfirmAnswer{Epoch: n.roster.row.Version(), UnbrokenMs: int64(unbroken),
		Member: slices.ContainsFunc(n.roster.members, func(m RosterMember) bool {
			return m.id == q.GetId() && m.incarnation == q.GetIncarnation()
		})}, nil
}

// leave removes this node from the roster, notifies a few members and then calls done.
func (n *Node) leave(done func()) {
	n.mu.Lock()
	defer n.unlock()
	n.members.self.state = peerpb.State_LEFT
	for _, m := range n.members.sample(pushFanOut, func(m *member) bool { return m.state == peerpb.State_ALIVE }) {
		n.probe(m.id, m.address, m.zone, false, false, func(error) {}) // the other members learn of it from updates
	}
	if n.Rosters == nil || !n.roster.joined {
		n.post(done)
		return
	}
	n.suspendSlots()
	n.roster.joined = false
	n.leaveRoster(leaveAttempts, done)
}

// leaveRoster removes this node from the row and calls done when it is removed or no attempts are left.
func (n *Node) leaveRoster(attempts int, done func()) {
	key := rosterKeyPrefix + n.Zone
	operation := fmt.Sprintf("roster-%s-%d-leave-%d", n.ID, n.roster.incarnation, attempts)
	incarnation := n.roster.incarnation
	left := false
	n.Background(func() {
		ctx, cancel := n.Clock.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		rows, err := n.Table.Read(ctx, key)
		if err != nil {
			return
		}
		members, err := n.Rosters.Members(rows[0].Value())
		if err != nil || !slices.ContainsFunc(members, func(m RosterMember) bool {
			return m.id == n.ID && m.incarnation == incarnation
		}) {
			left = err == nil
			return
		}
		value, err := n.Rosters.Remove(rows[0].Value(), n.ID, incarnation)
		if err == nil {
			err = n.Table.Commit(ctx, provider.NewTransaction(operation, provider.Put(key, value, rows[0].Version())))
			left = err == nil
		}
	}, func() {
		n.locked(func() {
			if left || attempts <= 1 {
				n.post(done)
				return
			}
			n.leaveRoster(attempts-1, done)
		})
	})
}

package peer

import (
	"context"
	"fmt"
	"log/slog"
	"sort"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
	"magnoliaferry/provider"
)

// source is where a version was received from. It determines whether the version is pushed to other members.
type source string

const (
	fromAccepted source = "accepted-here"
	fromTable    source = "table"
	fromPush     source = "push"
	fromFetch    source = "peer"
	fromObjects  source = "object-store"
)

// Accepted puts a version in force that this entry instance has stored, and pushes it to the others. With an empty
// delta the others have to fetch the whole body. A version that is not newer than the one in force is ignored.
func (n *Node) Accepted(number int64, digest string, delta, body []byte) {
	n.mu.Lock()
	defer n.unlock()
	if !n.running || number <= n.versions.current.number {
		return // the poll has already read it, or the other members will read it from the table
	}
	d := &peerpb.Delta{Version: number, Digest: digest, Delta: delta}
	if len(delta) > maxDelta || n.versions.applyDelta(d) != nil {
		if err := n.versions.replace(number, digest, body); err != nil {
			eventConfigurationUnusable.Log(context.Background(), n.Logger, slog.String("reason", err.Error()))
			return
		}
	}
	n.onVersionInForce(fromAccepted)
}

// onVersionInForce logs the version in force, calls Apply and pushes the version to other members: over a tree of all
// members after an acceptance or a push, over a tree of the zone if it was fetched from a peer. A version that was read
// from the table is not pushed, because the others read it too.
func (n *Node) onVersionInForce(from source) {
	v := n.versions.current
	eventConfigurationInForce.Log(context.Background(), n.Logger, slog.Int64("version", v.number), slog.String("source", string(from)))
	counters.Add("versions-"+string(from), 1)
	if n.Apply != nil {
		n.post(func() { n.Apply(v) })
	}
	switch {
	case n.pendingPush != nil && n.pendingPush.GetDelta().GetVersion() <= v.number:
		n.pushVersion(n.pendingPush.GetRoot(), n.pendingPush.GetZone())
		n.pendingPush = nil
	case from == fromAccepted:
		n.pushVersion(n.ID, "")
	case from == fromFetch:
		n.pushVersion(n.ID, n.Zone)
	}
}

// requestVersion records that a newer version exists and starts to fetch it. address is a peer that has it, or empty.
func (n *Node) requestVersion(number int64, address, digest string) {
	if number > n.wantedVersion || (number == n.wantedVersion && digest != "") {
		n.wantedVersion, n.wantedFrom, n.wantedDigest = number, address, digest
	}
	n.catchUp()
}

// applyOrFetch puts the version of a delta in force. If the delta does not apply, it starts to fetch the version.
func (n *Node) applyOrFetch(d *peerpb.Delta, from source, address string) {
	if d.GetVersion() <= n.versions.current.number {
		return
	}
	if err := n.versions.applyDelta(d); err != nil {
		digest := ""
		if from == fromTable {
			digest = d.GetDigest()
		}
		n.requestVersion(d.GetVersion(), address, digest)
		return
	}
	n.onVersionInForce(from)
}

// catchUp fetches the wanted version: first from the peer that reported it, then from other peers, and last from the
// object store. After a failure the next tick, poll or probe that finds the version starts another attempt.
func (n *Node) catchUp() {
	if n.catchingUp || n.wantedVersion <= n.versions.current.number {
		return
	}
	var addresses []string
	if n.wantedFrom != "" {
		addresses = append(addresses, n.wantedFrom)
	}
	for _, m := range n.members.sample(2, func(m *member) bool { return m.version >= n.wantedVersion && m.address != n.wantedFrom }) {
		addresses = append(addresses, m.address)
	}
	for _, m := range n.members.sample(max(0, 3-len(addresses)), func(m *member) bool {
		return m.version > n.versions.current.number && m.version < n.wantedVersion
	}) {
		addresses = append(addresses, m.address)
	}
	if len(addresses) == 0 && n.wantedDigest != "" {
		// The versions of the other members are not known yet, for example after a restart.
		for _, m := range n.members.sample(1, func(*member) bool { return true }) {
			addresses = append(addresses, m.address)
		}
	}
	n.catchingUp = true
	var sources []fetchSource
	for i, address := range addresses {
		sources = append(sources, fetchSource{address, i > 0})
	}
	if len(addresses) > 0 {
		sources = append(sources, fetchSource{addresses[0], true})
	}
	n.fetch(sources)
}

// fetchSource is a peer to fetch from; fresh requests a new connection.
type fetchSource struct {
	address string
	fresh   bool
}

// fetch calls the first source, and the next one when the first fails or has not answered within callTimeout. A late
// answer is still used, because a body takes time to transfer. Waiting longer on a silent connection could use up the
// 5 s within which a version must be in force.
func (n *Node) fetch(sources []fetchSource) {
	switch {
	case n.wantedVersion <= n.versions.current.number:
		n.catchingUp = false
		return
	case len(sources) == 0:
		n.fetchObject()
		return
	}
	nextStarted := false
	next := func() {
		if !nextStarted {
			nextStarted = true
			n.fetch(sources[1:])
		}
	}
	request := &peerpb.FetchRequest{Version: n.versions.current.number}
	var answer *peerpb.FetchAnswer
	n.Transport.Call(sources[0].address, sources[0].fresh, bodyTimeout,
		func(ctx context.Context, p peerpb.Peer) (err error) {
			answer, err = p.Fetch(ctx, request)
			return err
		}, func(err error) {
			n.locked(func() {
				if err == nil {
					n.applyAnswer(answer)
				}
				next()
			})
		})
	n.after(callTimeout, func() { n.locked(next) })
}

// applyAnswer puts the deltas or the body in force that a peer sent. Each of them is checked against its digest.
func (n *Node) applyAnswer(a *peerpb.FetchAnswer) {
	before := n.versions.current.number
	var err error
	for _, d := range a.GetDeltas() {
		if d.GetVersion() <= n.versions.current.number {
			continue // another answer arrived first
		}
		if err = n.versions.applyDelta(d); err != nil {
			break
		}
	}
	if len(a.GetBody()) > 0 && a.GetVersion() > n.versions.current.number {
		err = n.versions.replace(a.GetVersion(), a.GetDigest(), a.GetBody())
	}
	if err != nil {
		eventConfigurationUnusable.Log(context.Background(), n.Logger, slog.String("reason", err.Error()))
	}
	if n.versions.current.number > before {
		n.onVersionInForce(fromFetch)
	}
}

// fetchObject fetches the wanted version from the object store if its digest is known, and ends the attempt to catch up.
func (n *Node) fetchObject() {
	number, digest := n.wantedVersion, n.wantedDigest
	end := func() {
		n.catchingUp, n.wantedVersion, n.wantedFrom, n.wantedDigest = false, n.versions.current.number, "", ""
	}
	if digest == "" {
		end()
		return
	}
	var body []byte
	var err error
	n.Background(func() {
		ctx, cancel := n.Clock.WithTimeout(context.Background(), bodyTimeout)
		defer cancel()
		body, err = n.Objects.Get(ctx, objectKeyPrefix+digest)
	}, func() {
		n.locked(func() {
			if err == nil && number > n.versions.current.number {
				if err = n.versions.replace(number, digest, body); err == nil {
					n.onVersionInForce(fromObjects)
				}
			}
			if err != nil {
				eventConfigurationUnusable.Log(context.Background(), n.Logger, slog.String("reason", err.Error()))
			}
			end()
		})
	})
}

// Fetch implements peerpb.Peer.
func (n *Node) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchAnswer, error) {
	if r.GetVersion() < 0 {
		return nil, n.refuse(ctx, fmt.Errorf("the version is negative"))
	}
	n.mu.Lock()
	defer n.unlock()
	return n.versions.answerFor(r.GetVersion()), nil
}

// tree returns the members over which a version is pushed: the root first, then the others in an order that differs
// from version to version. Members compute the same order if their member lists are the same. Members that a push
// misses because of a difference get the version through probes.
func (n *Node) tree(version int64, root, zone string) []*member {
	all := []*member{&n.members.self}
	for _, id := range n.members.ids((*member).live) {
		if m := n.members.all[id]; zone == "" || m.zone == zone {
			all = append(all, m)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if (all[i].id == root) != (all[j].id == root) {
			return all[i].id == root
		}
		return hashMember(version, all[i].id) < hashMember(version, all[j].id)
	})
	return all
}

// pushVersion sends the version in force to the children of this node in the tree, once for each version and zone.
func (n *Node) pushVersion(root, zone string) {
	number := n.versions.current.number
	if number <= n.pushedVersion[zone] {
		return
	}
	n.pushedVersion[zone] = number
	tree := n.tree(number, root, zone)
	for i, m := range tree {
		if m.id == n.ID {
			n.pushChildren(tree, i, &peerpb.PushRequest{From: n.members.self.wire(), Root: root, Zone: zone,
				Delta: n.versions.lastDelta()})
			return
		}
	}
}

// pushChildren pushes to the children of a position in the tree. The children of a child that does not answer get the
// push in its place.
func (n *Node) pushChildren(tree []*member, position int, request *peerpb.PushRequest) {
	for child := pushFanOut*position + 1; child <= pushFanOut*(position+1) && child < len(tree); child++ {
		m := tree[child]
		if m.id == n.ID {
			continue
		}
		var answer *peerpb.PushAnswer
		counters.Add("pushes", 1)
		n.Transport.Call(m.address, false, callTimeout, func(ctx context.Context, p peerpb.Peer) (err error) {
			answer, err = p.Push(ctx, request)
			return err
		}, func(err error) {
			n.locked(func() {
				if err != nil {
					n.pushChildren(tree, child, request)
				} else if answer.GetVersion() >= m.version {
					m.version, m.versionAt = answer.GetVersion(), n.Clock.Now()
				}
			})
		})
	}
}

// Push implements peerpb.Peer.
func (n *Node) Push(ctx context.Context, r *peerpb.PushRequest) (*peerpb.PushAnswer, error) {
	d := r.GetDelta()
	if !validMember(r.GetFrom()) || d.GetVersion() <= 0 || len(d.GetDelta()) > maxDelta ||
		len(d.GetDigest()) > maxNameBytes || d.GetDigest() == "" || len(r.GetRoot()) > maxNameBytes ||
		(r.GetZone() != "" && r.GetZone() != n.Zone) {
		return nil, n.refuse(ctx, fmt.Errorf("the push is malformed"))
	}
	n.mu.Lock()
	defer n.unlock()
	if !n.running {
		return nil, errNotRunning
	}
	n.members.merge(r.GetFrom(), n.Clock.Now(), true)
	own := n.versions.current.number
	switch {
	case d.GetVersion() > own:
		if n.pendingPush == nil || n.pendingPush.GetDelta().GetVersion() < d.GetVersion() {
			n.pendingPush = r
		}
		n.applyOrFetch(d, fromPush, r.GetFrom().GetAddress())
	case d.GetVersion() == own && d.GetDigest() != n.versions.current.digest:
		eventConfigurationConflict.Log(ctx, n.Logger, slog.String("peer", r.GetFrom().GetId()), slog.Int64("version", own))
	case d.GetVersion() == own:
		// The poll was first, but the members below this one in the tree may be cut off from the table.
		n.pushVersion(r.GetRoot(), r.GetZone())
	}
	return &peerpb.PushAnswer{Version: n.versions.current.number}, nil
}

// poll reads the configuration row, the roster row and Rows in one Read.
func (n *Node) poll() {
	if n.polling {
		return // no second read while one is in progress
	}
	n.polling = true
	keys := []string{currentKey}
	if n.Rosters != nil {
		keys = append(keys, rosterKeyPrefix+n.Zone)
	}
	own := len(keys)
	for key := range n.Rows {
		keys = append(keys, key)
	}
	sort.Strings(keys[own:])
	var rows []provider.Row
	var err error
	started := n.Clock.Now()
	n.Background(func() {
		ctx, cancel := n.Clock.WithTimeout(context.Background(), bodyTimeout)
		defer cancel()
		rows, err = n.Table.Read(ctx, keys...)
	}, func() {
		n.locked(func() {
			n.polling = false
			n.pollDone(err)
			if err == nil {
				n.onCurrent(rows[0])
				if n.Rosters != nil {
					n.onRoster(rows[1], started)
				}
				for _, row := range rows[own:] {
					n.post(func() { n.Rows[row.Key()](row) })
				}
			}
		})
	})
}

// pollDone logs the beginning and the end of an outage of the table. After a failed poll it asks peers to confirm the
// membership in the roster.
func (n *Node) pollDone(err error) {
	if err == nil {
		if n.pollFailures > 0 {
			eventTableBack.Log(context.Background(), n.Logger)
		}
		n.pollFailures = 0
		return
	}
	counters.Add("polls-failed", 1)
	if n.pollFailures++; n.pollFailures == 1 {
		eventTableAway.Log(context.Background(), n.Logger, slog.String("reason", err.Error()))
	}
	n.confirmByPeers()
}

// onCurrent handles the row config/current. An older version, or no row, changes nothing: the read is stale or the
// table has lost the row, and the version in force never decreases.
func (n *Node) onCurrent(row provider.Row) {
	own := n.versions.current
	var number int64
	var digest string
	var delta []byte
	if row.Version() > 0 {
		var err error
		if number, digest, delta, err = n.Codec.Current(row.Value()); err != nil {
			eventRowUnusable.Log(context.Background(), n.Logger, slog.String("row", currentKey),
				slog.String("reason", err.Error()))
			return
		}
	}
	switch {
	case number > own.number:
		n.applyOrFetch(&peerpb.Delta{Version: number, Digest: digest, Delta: delta}, fromTable, "")
	case number < own.number && n.oldVersionReported != own.number:
		n.oldVersionReported = own.number
		eventConfigurationOld.Log(context.Background(), n.Logger, slog.Int64("version", number),
			slog.Int64("in-force", own.number))
	case number == own.number && number > 0 && digest != own.digest:
		eventConfigurationConflict.Log(context.Background(), n.Logger, slog.Int64("version", number))
	}
}

// pollSoon polls again after a short random delay; it is used after a write of the roster.
func (n *Node) pollSoon() {
	n.after(50+clock.Millis(n.random.Int64N(150)), func() { n.locked(n.poll) })
}

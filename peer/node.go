package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"expvar"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/twitchtv/twirp"

	"magnoliaferry/clock"
	"magnoliaferry/event"
	"magnoliaferry/peer/peerpb"
	"magnoliaferry/provider"
)

const (
	// tick is the period of the poll of the table, of the regular probe and of the confirmation.
	tick = clock.Second
	// callTimeout bounds a call to a peer; zones are at most a few milliseconds apart, regions a few hundred.
	callTimeout = 500 * clock.Millis(1)
	// bodyTimeout bounds a call that may bring a whole body.
	bodyTimeout = 2 * clock.Second
	// LeasePeriod is how long a member may be silent or paused before its membership is in doubt.
	LeasePeriod = 5 * clock.Second
	// pushFanOut bounds to how many members a node hands a new version at once.
	pushFanOut = 3
	// relays is how many members are asked to probe a member that does not answer.
	relays = 3
	// maxReports is how many versions of other members a probe carries.
	maxReports = 3
	// syncPause is the shortest time between two requests for the member list of a node whose list differs.
	syncPause = 30 * clock.Second
	// maxLoads and maxUnhealthy bound what a probe carries within a zone; the lists rotate.
	maxLoads     = 8
	maxUnhealthy = 16
	// fullReports is how many members there may be for load and health to be told in other zones, too.
	fullReports = 33
	// leaveTime bounds a clean leave, and leaveAttempts the writes of the roster that it tries.
	leaveTime     = 2 * clock.Second
	leaveAttempts = 3

	currentKey      = "config/current"
	objectKeyPrefix = "config/"
	rosterKeyPrefix = "roster/"
)

var (
	eventJoined    = event.New(3000, "peer-joined", slog.LevelInfo, "an entry instance joined")
	eventSuspected = event.New(3001, "peer-suspected", slog.LevelInfo, "an entry instance does not answer")
	eventFailed    = event.New(3002, "peer-failed", slog.LevelWarn, "an entry instance counts as failed")
	eventSilent    = event.New(3003, "peer-connection-silent", slog.LevelWarn, "a silent connection was replaced")
	eventVersion   = event.New(3010, "configuration-in-force", slog.LevelInfo, "a configuration version is in force")
	eventOld       = event.New(3011, "configuration-old", slog.LevelWarn, "an older configuration version was ignored")
	eventConflict  = event.New(3012, "configuration-conflict", slog.LevelError,
		"two configurations have the same version")
	eventBadDelta  = event.New(3013, "configuration-unusable", slog.LevelWarn, "a delta or body was not usable")
	eventTableAway = event.New(3020, "table-away", slog.LevelWarn, "the table does not answer")
	eventTableBack = event.New(3021, "table-back", slog.LevelInfo, "the table answers again")
	eventRosterIn  = event.New(3022, "roster-joined", slog.LevelInfo, "this entry instance is in the roster")
	eventRosterOut = event.New(3023, "roster-removed", slog.LevelWarn, "this entry instance was removed from the roster")
	eventRosterCut = event.New(3024, "roster-member-silent", slog.LevelWarn, "a silent member is removed from the roster")
	eventPaused    = event.New(3025, "pause-noticed", slog.LevelWarn, "this process was paused; slots are suspended")
	eventBadRow    = event.New(3026, "row-unusable", slog.LevelError, "a row of the table could not be decoded")
	eventBadCall   = event.New(3030, "peer-call-refused", slog.LevelWarn, "a call to the peer port was refused")
	eventTableLost = event.New(3027, "row-lost", slog.LevelError, "the table shows an older row for longer than a lease")
	counters       = expvar.NewMap("peer")
	errNotRunning  = twirp.NewError(twirp.Unavailable, "the node does not run")
	errIncomplete  = errors.New("peer: the node needs ID, Address, Zone, Incarnation, Clock, Transport, Codec, Table and Objects")
)

// Node is one entry instance among its peers; the exported fields are set before Run.
type Node struct {
	// ID, Address (IP address and port) and Zone name this entry instance.
	ID, Address, Zone string
	// Incarnation tells this process from earlier ones with the same ID: the time of its start in milliseconds by the
	// wall clock serves. It grows when others call the process failed.
	Incarnation int64
	// Seeds are addresses of peers from the settings.
	Seeds []string
	// Random seeds the random choices, together with the ID.
	Random uint64

	Clock     *clock.Clock
	Transport Transport
	Codec     Codec
	// Table and Objects are those of the platform.
	Table   provider.Table
	Objects provider.ObjectStore
	// Apply is told each version that comes into force, in order, never the same or an older one.
	Apply func(Version)
	// Rows are further rows to read with each poll, with the function that is told each reading.
	Rows map[string]func(provider.Row)

	// Rosters computes the row of the roster; nil keeps out of the roster.
	Rosters Rosters
	// Ledger is told the roster and whether slots may be used; it may be nil only together with Rosters.
	Ledger Ledger
	// Loans borrows and lends slots; may be nil.
	Loans Loans
	// ClaimRuns reports whether this process holds a claim whose request still runs; may be nil.
	ClaimRuns func(caller, key string) bool
	// Status reports load and health to the peers of the zone; may be nil.
	Status Status

	// PollAge returns how old the knowledge of the instances is here, counted from the beginning of the last complete
	// reading of their changes, or -1 for none; nil reports nothing.
	PollAge func() clock.Millis

	// Background runs work on the platform outside the node's timers and then calls done; nil uses a goroutine.
	Background func(work, done func())
	Logger     *slog.Logger

	// after starts timers; tests replace it to pause a node.
	after func(clock.Millis, func())

	mu       sync.Mutex
	outbox   []func()
	draining sync.Mutex
	running  bool
	random   *rand.Rand
	members  *members
	versions versions
	seeds    []string
	ticks    int64
	lastTick clock.Millis

	polling     bool
	pollFails   int
	oldReported int64 // version in the table for which an event was logged
	catching    bool
	wanted      int64               // highest version heard of
	wantedBy    string              // address that is known to have it, or empty
	wantedSum   string              // its digest, if the table told it
	pushed      map[string]int64    // highest version handed on, by the zone that the spreading is limited to
	pending     *peerpb.PushRequest // to hand on once its version is in force here

	roster roster
	usable atomic.Bool  // slots may be used
	alive  atomic.Int64 // time of the last tick

	asks       atomic.Int32 // questions about claims that wait for an answer
	lastBorrow clock.Millis
	lastSync   clock.Millis
}

// Status tells the peers of the zone how this entry instance sees its workers, and is told how they do. Up to 32 entry
// instances report to all others; with more, reports to other zones would exceed the bytes for control.
type Status interface {
	// Load returns the requests in flight and in the queue by pool.
	Load() []PoolLoad
	// Unhealthy returns the ids of the workers that are ejected here.
	Unhealthy() []string
	// ReceiveReport is told what a peer reported.
	ReceiveReport(peer, zone string, loads []PoolLoad, unhealthy []string)
}

// PoolLoad is the load of one pool at one entry instance.
type PoolLoad struct {
	pool             string
	inFlight, queued int
}

// NewPoolLoad returns the load of a pool.
func NewPoolLoad(pool string, inFlight, queued int) PoolLoad { return PoolLoad{pool, inFlight, queued} }

// Pool returns the name of the pool.
func (l PoolLoad) Pool() string { return l.pool }

// InFlight returns the number of requests that run.
func (l PoolLoad) InFlight() int { return l.inFlight }

// Queued returns the number of requests that wait.
func (l PoolLoad) Queued() int { return l.queued }

// Peer is what is known about another entry instance.
type Peer struct {
	id, address, zone string
	incarnation       int64
	alive             bool
	version           int64
	age               clock.Millis
	polled            clock.Millis
}

// ID returns the id of the entry instance.
func (p Peer) ID() string { return p.id }

// Address returns the IP address and port.
func (p Peer) Address() string { return p.address }

// Zone returns the availability zone.
func (p Peer) Zone() string { return p.zone }

// Incarnation returns the number of the process.
func (p Peer) Incarnation() int64 { return p.incarnation }

// Alive reports whether the member is neither suspected nor failed.
func (p Peer) Alive() bool { return p.alive }

// Version returns the configuration version that the member last reported, 0 for none.
func (p Peer) Version() int64 { return p.version }

// Age returns how old the report of the version is, in milliseconds; -1 says that there is none.
func (p Peer) Age() clock.Millis { return p.age }

// PollAge returns how old the member's knowledge of the instances is at most, in milliseconds, but for the time that the
// report took; -1 says that there is no report.
func (p Peer) PollAge() clock.Millis { return p.polled }

// Lag returns by how many versions the report is behind the version in force here.
func (p Peer) Lag(inForce int64) int64 { return max(0, inForce-p.version) }

// Name implements kernel.Module.
func (n *Node) Name() string { return "peer" }

// Run takes part until the context ends, and then leaves.
func (n *Node) Run(ctx context.Context) error {
	if n.ID == "" || n.Address == "" || n.Zone == "" || n.Incarnation <= 0 || n.Clock == nil || n.Transport == nil ||
		n.Codec == nil || n.Table == nil || n.Objects == nil {
		return errIncomplete
	}
	n.start()
	<-ctx.Done()
	left := make(chan struct{})
	n.leave(func() { close(left) })
	wait, cancel := n.Clock.WithTimeout(context.WithoutCancel(ctx), leaveTime)
	defer cancel()
	select {
	case <-left:
	case <-wait.Done():
	}
	n.stop()
	return nil
}

func (n *Node) start() {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(n.ID)) // never fails
	n.random = rand.New(rand.NewPCG(n.Random, hash.Sum64()+uint64(n.Incarnation)))
	if n.after == nil {
		n.after = func(d clock.Millis, f func()) { n.Clock.AfterFunc(d, f) }
	}
	if n.Background == nil {
		n.Background = func(work, done func()) { go func() { work(); done() }() }
	}
	n.mu.Lock()
	defer n.unlock()
	n.members = newMembers(member{id: n.ID, address: n.Address, zone: n.Zone, incarnation: n.Incarnation}, n.random)
	n.versions.codec, n.pushed = n.Codec, map[string]int64{}
	n.roster.incarnation, n.roster.mates = n.Incarnation, map[string]*mate{}
	n.seeds = append(n.seeds, n.Seeds...)
	n.lastTick = n.Clock.Now()
	n.alive.Store(int64(n.lastTick))
	n.usable.Store(n.Rosters == nil)
	n.running = true
	n.join()
	n.poll()
	n.schedule()
	n.scheduleReturns()
}

func (n *Node) stop() {
	n.mu.Lock()
	defer n.unlock()
	n.running = false
}

// unlock releases the lock and then calls what was posted under it, in order and one at a time, so that callbacks
// may call the node.
func (n *Node) unlock() {
	n.mu.Unlock()
	for {
		if !n.draining.TryLock() {
			return // whoever holds it calls ours, too
		}
		n.mu.Lock()
		calls := n.outbox
		n.outbox = nil
		n.mu.Unlock()
		for _, f := range calls {
			f()
		}
		n.draining.Unlock()
		n.mu.Lock()
		more := len(n.outbox) > 0
		n.mu.Unlock()
		if !more {
			return
		}
	}
}

// post calls f after the lock is released.
func (n *Node) post(f func()) { n.outbox = append(n.outbox, f) }

// locked runs f under the lock while the node runs.
func (n *Node) locked(f func()) {
	n.mu.Lock()
	defer n.unlock()
	if n.running {
		f()
	}
}

// schedule starts the next tick, with jitter so that the nodes do not reach the table together.
func (n *Node) schedule() {
	n.after(tick*9/10+clock.Millis(n.random.Int64N(int64(tick/5))), func() { n.locked(n.onTick) })
}

func (n *Node) onTick() {
	now := n.Clock.Now()
	if pause := now - n.lastTick; pause > LeasePeriod {
		eventPaused.Log(context.Background(), n.Logger, slog.Int64("pause-ms", int64(pause)))
		n.doubt()
	}
	n.lastTick = now
	n.alive.Store(int64(now))
	n.ticks++
	for _, m := range n.members.expire(now) {
		eventFailed.Log(context.Background(), n.Logger, slog.String("peer", m.id),
			slog.Int64("incarnation", m.incarnation))
		n.Transport.Forget(m.address)
	}
	n.probeNext()
	n.reconnect()
	n.poll()
	n.watchRoster(now)
	n.catchUp()
	n.borrow()
	n.schedule()
}

// AddSeeds adds addresses of entry instances, for example from the platform's list, that are tried as seeds.
func (n *Node) AddSeeds(addresses ...string) {
	n.mu.Lock()
	defer n.unlock()
	for _, a := range addresses {
		known := a == n.Address
		for _, s := range n.seeds {
			known = known || s == a
		}
		if !known && validAddress(a) {
			n.seeds = append(n.seeds, a)
		}
	}
	if len(n.seeds) > maxMembers {
		n.seeds = n.seeds[len(n.seeds)-maxMembers:]
	}
}

// Peers returns what is known about the other entry instances, by id. Failed ones stay in the list for some minutes,
// because they may lag behind a partition.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.unlock()
	now := n.Clock.Now()
	var peers []Peer
	if !n.running {
		return nil
	}
	for _, id := range n.members.ids(func(m *member) bool { return m.state != peerpb.State_LEFT }) {
		m := n.members.all[id]
		p := Peer{id: id, address: m.address, zone: m.zone, incarnation: m.incarnation,
			alive: m.state == peerpb.State_ALIVE, version: m.version, age: -1, polled: -1}
		if m.polledAt > 0 {
			p.polled = now - m.polledAt
		}
		if m.versionAt > 0 {
			p.age = now - m.versionAt
		}
		peers = append(peers, p)
	}
	return peers
}

// CurrentIncarnation returns the current incarnation of this entry instance.
func (n *Node) CurrentIncarnation() int64 {
	n.mu.Lock()
	defer n.unlock()
	if n.members == nil {
		return n.Incarnation
	}
	return n.members.self.incarnation
}

// InForce returns the configuration version in force; Number is 0 when there is none.
func (n *Node) InForce() Version {
	n.mu.Lock()
	defer n.unlock()
	return n.versions.current
}

// hashOrder orders members for one version of the configuration.
func hashOrder(version int64, id string) uint64 {
	hash := fnv.New64a()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(version))
	_, _ = hash.Write(number[:]) // never fails
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

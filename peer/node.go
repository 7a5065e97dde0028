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
	// tick is the mean interval between two polls of the table, two regular probes and two confirmations of the
	// membership.
	tick = clock.Second
	// callTimeout bounds a call to a peer. The latency between zones is at most a few milliseconds, between regions a
	// few hundred.
	callTimeout = 500 * clock.Millis(1)
	// bodyTimeout bounds a call whose answer may contain a whole body, and a call of the table or of the object store.
	bodyTimeout = 2 * clock.Second
	// LeasePeriod is how long a member may be silent or paused before it may be removed from the roster. After a longer
	// pause it must confirm its membership before it uses slots again.
	LeasePeriod = 5 * clock.Second
	// pushFanOut is the number of members to which a node pushes a new version: its children in the tree.
	pushFanOut = 3
	// relays is the number of members that are asked to probe a member that does not answer.
	relays = 3
	// maxReports is the number of reports about versions of other members in a probe.
	maxReports = 3
	// minSyncInterval is the minimum time between two requests for a whole member list.
	minSyncInterval = 30 * clock.Second
	// maxLoads and maxUnhealthy bound the load and the unhealthy workers in a probe; longer lists are sent in turns.
	maxLoads     = 8
	maxUnhealthy = 16
	// allZonesMemberLimit is the number of known other members from which on load and health are sent only to members
	// of the own zone.
	allZonesMemberLimit = 33
	// leaveTimeout bounds a clean leave, and leaveAttempts the attempts to write the roster without this node.
	leaveTimeout  = 2 * clock.Second
	leaveAttempts = 3

	currentKey      = "config/current"
	objectKeyPrefix = "config/"
	rosterKeyPrefix = "roster/"
)

var (
	eventJoined    = event.New(3000, "peer-joined", slog.LevelInfo, "an entry instance joined")
	eventSuspected = event.New(3001, "peer-suspected", slog.LevelInfo,
		"an entry instance is suspected because it does not answer")
	eventFailed = event.New(3002, "peer-failed", slog.LevelWarn,
		"a suspected entry instance did not answer in time and counts as failed")
	eventConnectionSilent = event.New(3003, "peer-connection-silent", slog.LevelWarn,
		"a connection to an entry instance gave no answer and was replaced")
	eventConfigurationInForce = event.New(3010, "configuration-in-force", slog.LevelInfo,
		"a configuration version is in force")
	eventConfigurationOld = event.New(3011, "configuration-old", slog.LevelWarn,
		"the table returned an older configuration version, or none; it is ignored")
	eventConfigurationConflict = event.New(3012, "configuration-conflict", slog.LevelError,
		"two different configurations have the same version")
	eventConfigurationUnusable = event.New(3013, "configuration-unusable", slog.LevelWarn,
		"a configuration version could not be read, or its delta or body was rejected; see the reason")
	eventTableAway    = event.New(3020, "table-away", slog.LevelWarn, "the poll of the table failed")
	eventTableBack    = event.New(3021, "table-back", slog.LevelInfo, "the table answers again")
	eventRosterJoined = event.New(3022, "roster-joined", slog.LevelInfo,
		"this entry instance is a member of the roster of its zone")
	eventRosterRemoved = event.New(3023, "roster-removed", slog.LevelWarn,
		"this entry instance was removed from the roster of its zone; slots are suspended")
	eventRosterMemberSilent = event.New(3024, "roster-member-silent", slog.LevelWarn,
		"a member that does not answer is being removed from the roster")
	eventPauseNoticed = event.New(3025, "pause-noticed", slog.LevelWarn,
		"this process was paused for longer than the lease period; slots are suspended")
	eventRowUnusable = event.New(3026, "row-unusable", slog.LevelError,
		"a row of the table could not be decoded, or its next value could not be computed")
	eventCallRefused = event.New(3030, "peer-call-refused", slog.LevelWarn,
		"a call to the peer port was refused")
	eventRowLost = event.New(3027, "row-lost", slog.LevelError,
		"the table returned an older version of a row for longer than the lease period; it is used from now on")
	counters      = expvar.NewMap("peer")
	errNotRunning = twirp.NewError(twirp.Unavailable, "the node does not run")
	errIncomplete = errors.New(
		"peer: a required field of Node is missing: ID, Address, Zone, Incarnation, Clock, Transport, Codec, Table or Objects")
)

// Node is one entry instance among its peers. Its exported fields must be set before Run.
type Node struct {
	// ID, Address (IP address and port) and Zone identify this entry instance.
	ID, Address, Zone string
	// Incarnation distinguishes this process from earlier ones with the same ID, for example its start time in
	// milliseconds of the wall clock. The node raises its own copy when others report the process as suspected or
	// failed.
	Incarnation int64
	// Seeds are addresses of peers from the settings.
	Seeds []string
	// Random and the ID together seed the random generator.
	Random uint64

	Clock     *clock.Clock
	Transport Transport
	Codec     Codec
	// Table and Objects are the table and the object store of the platform.
	Table   provider.Table
	Objects provider.ObjectStore
	// Apply is called with each version that comes into force, in ascending order of the numbers; nil means that it is
	// not called.
	Apply func(Version)
	// Rows are the keys of further rows to read with each poll. The function is called with each row that was read.
	Rows map[string]func(provider.Row)

	// Rosters computes the value of the roster row; with nil the node does not join a roster.
	Rosters Rosters
	// Ledger is called with the roster and when slots may or may not be used; it may be nil only together with Rosters.
	Ledger Ledger
	// Loans borrows and lends slots; nil means that this entry instance has no loans.
	Loans Loans
	// ClaimRuns reports whether this process holds a claim whose request is still running; nil means that it never
	// does.
	ClaimRuns func(caller, key string) bool
	// Status provides the load and health to report to the peers; nil means that nothing is reported.
	Status Status

	// PollAge returns the age of the last complete read of the instance changes, counted from the beginning of that
	// read, in milliseconds, or -1 for none. With nil, no age is sent to the peers.
	PollAge func() clock.Millis

	// Background runs work, which calls the platform, outside the node's timers and then calls done; nil uses a
	// goroutine.
	Background func(work, done func())
	Logger     *slog.Logger

	// after starts timers; tests replace it to pause a node.
	after func(clock.Millis, func())

	mu         sync.Mutex
	callbacks  []func()
	callbackMu sync.Mutex
	running    bool
	random     *rand.Rand
	members    *members
	versions   versions
	seeds      []string
	ticks      int64
	lastTick   clock.Millis

	polling            bool
	pollFailures       int
	oldVersionReported int64 // version in force for which configuration-old was last logged
	catchingUp         bool
	wantedVersion      int64               // highest version known to exist
	wantedFrom         string              // address of a peer that has it, or empty
	wantedDigest       string              // its digest if it was read from the table, or empty
	pushedVersion      map[string]int64    // highest version that was pushed, by the zone that the push is limited to
	pendingPush        *peerpb.PushRequest // to push on once its version is in force here

	roster     roster
	usable     atomic.Bool  // slots may be used
	lastTickMs atomic.Int64 // time of the last tick

	claimQueries atomic.Int32 // claim queries that wait for an answer
	lastBorrow   clock.Millis
	lastSync     clock.Millis
}

// Status provides what this entry instance reports about its load and its workers, and receives the reports of others.
// Up to 32 entry instances report to all others. With more, they report only within their zone, because reports to
// other zones would exceed the bytes for control.
type Status interface {
	// Load returns the requests in flight and in the queue by pool.
	Load() []PoolLoad
	// Unhealthy returns the ids of the workers that are ejected here.
	Unhealthy() []string
	// ReceiveReport is called with the report of a peer.
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

// InFlight returns the number of running requests.
func (l PoolLoad) InFlight() int { return l.inFlight }

// Queued returns the number of waiting requests.
func (l PoolLoad) Queued() int { return l.queued }

// Peer is the known state of another entry instance.
type Peer struct {
	id, address, zone string
	incarnation       int64
	alive             bool
	version           int64
	age               clock.Millis
	pollAge           clock.Millis
}

// ID returns the id of the entry instance.
func (p Peer) ID() string { return p.id }

// Address returns the IP address and port.
func (p Peer) Address() string { return p.address }

// Zone returns the availability zone.
func (p Peer) Zone() string { return p.zone }

// Incarnation returns the incarnation, which distinguishes processes with the same id.
func (p Peer) Incarnation() int64 { return p.incarnation }

// Alive reports whether the member is neither suspected nor failed.
func (p Peer) Alive() bool { return p.alive }

// Version returns the configuration version that the member last reported, 0 for none.
func (p Peer) Version() int64 { return p.version }

// Age returns the age of the report of the version, in milliseconds, or -1 if there is none.
func (p Peer) Age() clock.Millis { return p.age }

// PollAge returns an upper bound, in milliseconds, of the age of the member's last complete read of the instance
// changes. It leaves out the time that the report took to arrive. It is -1 if there is no report.
func (p Peer) PollAge() clock.Millis { return p.pollAge }

// Lag returns by how many versions the reported version is behind the version in force here.
func (p Peer) Lag(inForce int64) int64 { return max(0, inForce-p.version) }

// Name implements kernel.Module.
func (n *Node) Name() string { return "peer" }

// Run takes part in the group of entry instances until the context ends. It then leaves the roster, which takes at most
// 2 s. It returns an error if a required field is missing.
func (n *Node) Run(ctx context.Context) error {
	if n.ID == "" || n.Address == "" || n.Zone == "" || n.Incarnation <= 0 || n.Clock == nil || n.Transport == nil ||
		n.Codec == nil || n.Table == nil || n.Objects == nil {
		return errIncomplete
	}
	n.start()
	<-ctx.Done()
	left := make(chan struct{})
	n.leave(func() { close(left) })
	wait, cancel := n.Clock.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
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
	n.versions.codec, n.pushedVersion = n.Codec, map[string]int64{}
	n.roster.incarnation, n.roster.contacts = n.Incarnation, map[string]*memberContact{}
	n.seeds = append(n.seeds, n.Seeds...)
	n.lastTick = n.Clock.Now()
	n.lastTickMs.Store(int64(n.lastTick))
	n.usable.Store(n.Rosters == nil)
	n.running = true
	n.probeSeeds()
	n.poll()
	n.scheduleTick()
	n.scheduleGiveBack()
}

func (n *Node) stop() {
	n.mu.Lock()
	defer n.unlock()
	n.running = false
}

// unlock releases the lock and then runs the posted callbacks, in order and one at a time, so that a callback may call
// the node.
func (n *Node) unlock() {
	n.mu.Unlock()
	for {
		if !n.callbackMu.TryLock() {
			return // the goroutine that has the lock runs these callbacks too
		}
		n.mu.Lock()
		calls := n.callbacks
		n.callbacks = nil
		n.mu.Unlock()
		for _, f := range calls {
			f()
		}
		n.callbackMu.Unlock()
		n.mu.Lock()
		more := len(n.callbacks) > 0
		n.mu.Unlock()
		if !more {
			return
		}
	}
}

// post registers f to be called after the lock is released.
func (n *Node) post(f func()) { n.callbacks = append(n.callbacks, f) }

// locked runs f under the lock, or not at all if the node is not running.
func (n *Node) locked(f func()) {
	n.mu.Lock()
	defer n.unlock()
	if n.running {
		f()
	}
}

// scheduleTick starts the timer of the next tick. Its jitter spreads the reads of the table over time.
func (n *Node) scheduleTick() {
	n.after(tick*9/10+clock.Millis(n.random.Int64N(int64(tick/5))), func() { n.locked(n.onTick) })
}

func (n *Node) onTick() {
	now := n.Clock.Now()
	if pause := now - n.lastTick; pause > LeasePeriod {
		eventPauseNoticed.Log(context.Background(), n.Logger, slog.Int64("pause-ms", int64(pause)))
		n.suspendUntilConfirmed()
	}
	n.lastTick = now
	n.lastTickMs.Store(int64(now))
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
	n.scheduleTick()
}

// AddSeeds adds addresses of entry instances to the seeds, for example from the platform's list. Invalid and known
// addresses are ignored. At most 1024 seeds are kept, the newest ones.
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

// Peers returns the other known entry instances, sorted by id, or nil if the node is not running. Failed ones stay in
// the list for 10 minutes, because they may still run behind a network partition.
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
			alive: m.state == peerpb.State_ALIVE, version: m.version, age: -1, pollAge: -1}
		if m.polledAt > 0 {
			p.pollAge = now - m.polledAt
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

// InForce returns the configuration version in force. Its number is 0 if there is none.
func (n *Node) InForce() Version {
	n.mu.Lock()
	defer n.unlock()
	return n.versions.current
}

// hashMember returns a hash of a number and a member id. It determines the order of members in the tree of a version
// and is summed up in the checksum of the member list.
func hashMember(version int64, id string) uint64 {
	hash := fnv.New64a()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(version))
	_, _ = hash.Write(number[:]) // never fails
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

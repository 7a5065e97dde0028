package store

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var eventUnreadable = event.New(5113, "row-unreadable", slog.LevelError, "a row of the state table cannot be decoded; it is ignored")

// JobEntry is what a StateCache holds for one job.
type JobEntry struct {
	Queue     string        // name of the queue that accepted the job
	Address   batch.Address // of that queue at the time; zero if an earlier version stored the job
	Customer  string        // whose job it is; empty if it has none
	Pool      string        // the pool whose workers run the job
	State     batch.State
	Cancelled bool // this instance has stored a request to cancel the job, which the owner of the pool may not have processed yet
	Tombstone bool // no job was stored: the id was cancelled before, see EncodeTombstone
	// IntakeVersion is the version of the row that the accepting instance wrote. The row stays unchanged until the job is removed.
	IntakeVersion int64
	version       int64
}

// EncodeState returns the row of a job in StateTable. Its value is the letter of the state followed by the name of the queue, a
// newline and the name of the pool.
func EncodeState(part, id, queue, pool string, state batch.State) Row {
	return Row{Table: StateTable, Part: part, Key: Key(KindJob, id), Value: append([]byte{byte(state)}, queue+"\n"+pool...)}
}

func decodeState(value []byte) (queue, pool string, state batch.State, ok bool) {
	if state, ok = batch.StateOf(value); !ok {
		return "", "", 0, false
	}
	queue, pool, ok = strings.Cut(string(value[1:]), "\n")
	return queue, pool, state, ok
}

// accepted is the decoded row of EncodeAddress.
type accepted struct {
	address  batch.Address
	customer string
}

// EncodeAddress returns the row, in the intake part, with the address of the queue that accepted a job, and the customer of the job, which may be empty. Its value is
// the host, a newline and the path prefix, and for a customer another newline and the name. It is a row of its own, as instances of
// earlier versions read the row of EncodeState. Those that do not know customers find the job by the name of its queue.
func EncodeAddress(part, id string, address batch.Address, customer string) Row {
	value := address.Host + "\n" + address.Prefix
	if customer != "" {
		value += "\n" + customer
	}
	return Row{Table: StateTable, Part: part, Key: Key(KindAddress, id), Value: []byte(value)}
}

// OwnerEntry is the owner row of a part, with the time at which the copy received its newest version.
type OwnerEntry struct {
	Owner            Owner
	Version          int64
	FirstSeen        clock.Millis
	renewalIntervals [4]clock.Millis // intervals between the arrivals of versions, newest first; 0: not observed yet
}

// RenewalInterval returns the longest of the last four intervals between renewals of the ownership that this instance has observed without
// interruption, and false if it has observed none.
func (s OwnerEntry) RenewalInterval() (longest clock.Millis, ok bool) {
	longest = slices.Max(s.renewalIntervals[:])
	return longest, longest > 0
}

// StateCache is the local copy of StateTable; every instance has one, which a Follower keeps up to date through Load and Apply.
type StateCache struct {
	Clock  *clock.Clock
	Logger *slog.Logger
	// ObservedFor returns for how long the copy has followed the table without interruption; if it is nil, there were no interruptions.
	ObservedFor func() clock.Millis

	mu        sync.RWMutex
	jobs      map[string]*JobEntry
	addresses map[string]accepted // by job; the row can arrive before or after that of the job
	owners    map[string]OwnerEntry
	layout    Layout
	hasLayout bool
}

// NewStateCache returns an empty copy.
func NewStateCache(c *clock.Clock, logger *slog.Logger) *StateCache {
	return &StateCache{Clock: c, Logger: logger, jobs: map[string]*JobEntry{}, addresses: map[string]accepted{}, owners: map[string]OwnerEntry{}}
}

// Load replaces the copy with the rows of the whole table.
func (s *StateCache) Load(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs, s.addresses = map[string]*JobEntry{}, map[string]accepted{}
	owned := map[string]bool{}
	now := s.Clock.Now()
	for _, row := range rows {
		s.apply(row, now)
		owned[row.Part] = owned[row.Part] || row.Key == OwnerKey
	}
	// What is known of the owners outlasts a reload: without the time at which an unchanged row was first seen, an owner that has stopped
	// would look alive, and without the intervals between its renewals, an owner that a slow store delays would look stopped.
	for part := range s.owners {
		if !owned[part] {
			delete(s.owners, part)
		}
	}
}

// Apply applies changes to the copy; a put that is older than the row in the copy is ignored.
func (s *StateCache) Apply(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, row := range rows {
		s.apply(row, now)
	}
}

// apply applies a row that arrived at the given time.
func (s *StateCache) apply(row Row, now clock.Millis) {
	kind, id := SplitKey(row.Key)
	switch {
	case row.Key == OwnerKey:
		s.applyOwner(row, now)
	case row.Key == LayoutKey && row.Part == FleetPart:
		s.applyLayout(row)
	case kind == KindAddress:
		s.applyAddress(id, row)
	case kind != KindJob:
		s.logUnreadable(row, batch.ErrInvalid.New("the key has an unknown kind"))
	case row.Deleted:
		delete(s.jobs, id)
	default:
		queue, pool, state, ok := decodeState(row.Value)
		if !ok {
			s.logUnreadable(row, batch.ErrInvalid.New("the value is not a valid job state"))
			return
		}
		known := s.jobs[id]
		if known == nil {
			known = &JobEntry{}
			s.jobs[id] = known
		}
		if strings.HasPrefix(row.Part, intakePrefix) {
			known.IntakeVersion, known.Tombstone = row.Version, queue == ""
		}
		// Rows can arrive out of order: the feed after a load can bring versions older than the loaded ones, and a load can return
		// the owner's row of a job before the older row in the intake part.
		if row.Version > known.version {
			known.Queue, known.Pool, known.State, known.version = queue, pool, state, row.Version
		}
	}
}

func (s *StateCache) applyAddress(id string, row Row) {
	if row.Deleted {
		delete(s.addresses, id)
		return
	}
	host, prefix, ok := strings.Cut(string(row.Value), "\n")
	if !ok {
		s.logUnreadable(row, batch.ErrInvalid.New("the value is not the address of a queue"))
		return
	}
	prefix, customer, _ := strings.Cut(prefix, "\n")
	s.addresses[id] = accepted{batch.Address{Host: host, Prefix: prefix}, customer}
}

func (s *StateCache) applyLayout(row Row) {
	if row.Deleted || s.hasLayout {
		return
	}
	layout, err := DecodeLayout(row.Value)
	if err != nil {
		s.logUnreadable(row, err)
		return
	}
	s.layout, s.hasLayout = layout, true
}

// HasRows reports whether the copy has a row other than the layout.
func (s *StateCache) HasRows() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.jobs)+len(s.addresses)+len(s.owners) > 0
}

// Layout returns the layout of the store, and false if it is not known yet.
func (s *StateCache) Layout() (Layout, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.layout, s.hasLayout
}

func (s *StateCache) applyOwner(row Row, now clock.Millis) {
	before, known := s.owners[row.Part]
	if row.Deleted || before.Version >= row.Version {
		return
	}
	owner, err := DecodeOwner(row.Value)
	if err != nil {
		s.logUnreadable(row, err)
		return
	}
	seen := OwnerEntry{Owner: owner, Version: row.Version, FirstSeen: now}
	// The intervals outlast a change of the owner, as a slow store also slows the renewals of the next one.
	seen.renewalIntervals = before.renewalIntervals
	interval := seen.FirstSeen - before.FirstSeen
	// An interval with an outage of the store, or with a pause of this instance, says nothing about the owner; nor do the versions that
	// arrive together after it.
	if known && before.Owner.Incarnation() == owner.Incarnation() && interval > 0 && (s.ObservedFor == nil || s.ObservedFor() >= interval) {
		copy(seen.renewalIntervals[1:], before.renewalIntervals[:])
		seen.renewalIntervals[0] = interval
	}
	s.owners[row.Part] = seen
}

func (s *StateCache) logUnreadable(row Row, err error) {
	eventUnreadable.Log(context.Background(), s.Logger, slog.String("part", row.Part), slog.String("key", row.Key),
		slog.Int64("version", row.Version), slog.String("error", err.Error()))
}

// Find returns the entry of a job, and false if the copy does not contain the job.
func (s *StateCache) Find(id string) (JobEntry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	known := s.jobs[id]
	if known == nil {
		return JobEntry{}, false
	}
	return s.entry(id, known), true
}

func (s *StateCache) entry(id string, known *JobEntry) JobEntry {
	entry := *known
	from := s.addresses[id]
	entry.Address, entry.Customer = from.address, from.customer
	return entry
}

// Cancel records that this instance has stored a request to cancel the job.
func (s *StateCache) Cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.jobs[id]; known != nil {
		known.Cancelled = true
	}
}

// Len returns the number of jobs in the copy.
func (s *StateCache) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.jobs)
}

// Waiting returns the number of jobs that belong to a queue and are pending, that is, no task has started, and are not cancelled.
func (s *StateCache) Waiting(belongs func(JobEntry) bool) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for id, known := range s.jobs {
		if known.State == batch.Pending && !known.Cancelled && belongs(s.entry(id, known)) {
			n++
		}
	}
	return n
}

// Ended returns the ids of the jobs of a pool that are in a final state, sorted.
func (s *StateCache) Ended(pool string) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var ids []string
	for id, known := range s.jobs {
		if known.Pool == pool && known.State.Final() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MostCores returns the largest number of processor cores among the instances that are the current or the most recent owner of
// a part; 0 if the copy contains no owner.
func (s *StateCache) MostCores() float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	most := 0.0
	for _, seen := range s.owners {
		most = max(most, seen.Owner.Cores)
	}
	return most
}

// MostLiveCores returns the largest number of processor cores among the owners of parts that have renewed their ownership within the given time; 0 if
// there is none.
func (s *StateCache) MostLiveCores(within clock.Millis) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	most := 0.0
	for _, seen := range s.owners {
		if !seen.Owner.Released && s.Clock.Now()-seen.FirstSeen <= within {
			most = max(most, seen.Owner.Cores)
		}
	}
	return most
}

// Owner returns the owner row of a part, and false if the copy contains none.
func (s *StateCache) Owner(part string) (OwnerEntry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	seen, ok := s.owners[part]
	return seen, ok
}

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

var eventUnreadable = event.New(5113, "row-unreadable", slog.LevelError, "a row of our own table cannot be decoded; it is left out")

// Known is what an instance knows of one job.
type Known struct {
	Queue     string
	Pool      string // whose workers run it
	State     batch.State
	Cancelled bool // by this instance; the owner of the pool has not taken it in yet
	version   int64
}

// EncodeState returns the row of a job in BoardTable: the letter of its state, the name of its queue, and that of its pool in
// a second line.
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

// OwnerEntry is the row that names the owner of a part, and when its newest version was first seen.
type OwnerEntry struct {
	Owner     Owner
	Version   int64
	FirstSeen clock.Millis
	pauses    [4]clock.Millis // between the newest versions, as seen here
}

// MaxRenewalInterval returns the longest of the last few pauses between two renewals.
func (s OwnerEntry) MaxRenewalInterval() clock.Millis { return slices.Max(s.pauses[:]) }

// StateCache is the copy of BoardTable that each instance keeps.
type StateCache struct {
	Clock  *clock.Clock
	Logger *slog.Logger

	mu     sync.RWMutex
	jobs   map[string]*Known
	owners map[string]OwnerEntry
}

// NewStateCache returns an empty copy.
func NewStateCache(c *clock.Clock, logger *slog.Logger) *StateCache {
	return &StateCache{Clock: c, Logger: logger, jobs: map[string]*Known{}, owners: map[string]OwnerEntry{}}
}

// Load replaces the copy by the rows of the whole table.
func (b *StateCache) Load(rows []Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	owners := b.owners
	b.jobs, b.owners = map[string]*Known{}, map[string]OwnerEntry{}
	for _, row := range rows {
		b.apply(row)
	}
	// A gap in the history must not make an owner look alive: a version keeps the time when it was first seen.
	for part, seen := range b.owners {
		if before, ok := owners[part]; ok && before.Version == seen.Version {
			b.owners[part] = before
		}
	}
}

// Apply takes changes in.
func (b *StateCache) Apply(rows []Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range rows {
		b.apply(row)
	}
}

func (b *StateCache) apply(row Row) {
	kind, id := SplitKey(row.Key)
	switch {
	case row.Key == OwnerKey:
		b.applyOwner(row)
	case kind != KindJob:
		b.unreadable(row, batch.ErrInvalid.New("unknown kind of row"))
	case row.Deleted:
		delete(b.jobs, id)
	default:
		queue, pool, state, ok := decodeState(row.Value)
		if !ok {
			b.unreadable(row, batch.ErrInvalid.New("unknown state"))
			return
		}
		known := b.jobs[id]
		if known == nil {
			known = &Known{}
			b.jobs[id] = known
		}
		// A load can be newer than the feed that follows it, and the intake's row is older than the owner's.
		if row.Version > known.version {
			known.Queue, known.Pool, known.State, known.version = queue, pool, state, row.Version
		}
	}
}

func (b *StateCache) applyOwner(row Row) {
	before, known := b.owners[row.Part]
	if row.Deleted || before.Version >= row.Version {
		return
	}
	owner, err := DecodeOwner(row.Value)
	if err != nil {
		b.unreadable(row, err)
		return
	}
	seen := OwnerEntry{Owner: owner, Version: row.Version, FirstSeen: b.Clock.Now()}
	switch {
	case !known:
	case before.Owner.Incarnation() == owner.Incarnation():
		copy(seen.pauses[1:], before.pauses[:])
		seen.pauses[0] = seen.FirstSeen - before.FirstSeen
	default: // a slow store is as slow for the next owner
		seen.pauses = before.pauses
	}
	b.owners[row.Part] = seen
}

func (b *StateCache) unreadable(row Row, err error) {
	eventUnreadable.Log(context.Background(), b.Logger, slog.String("part", row.Part), slog.String("key", row.Key),
		slog.Int64("version", row.Version), slog.String("error", err.Error()))
}

// Find returns what is known of a job.
func (b *StateCache) Find(id string) (Known, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known := b.jobs[id]
	if known == nil {
		return Known{}, false
	}
	return *known, true
}

// Cancel notes that this instance has stored a request to cancel a job.
func (b *StateCache) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.jobs[id]; known != nil {
		known.Cancelled = true
	}
}

// Len returns the number of jobs.
func (b *StateCache) Len() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.jobs)
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (b *StateCache) Waiting(queue string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, known := range b.jobs {
		if known.Queue == queue && known.State == batch.Pending && !known.Cancelled {
			n++
		}
	}
	return n
}

// Ended returns the ids of the jobs of a pool that are in a final state.
func (b *StateCache) Ended(pool string) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var ids []string
	for id, known := range b.jobs {
		if known.Pool == pool && known.State.Final() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MostCores returns the processor of the strongest instance that is known to own or to have owned a part last, in cores; 0 if
// none is known.
func (b *StateCache) MostCores() float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	most := 0.0
	for _, seen := range b.owners {
		most = max(most, seen.Owner.Cores)
	}
	return most
}

// Owner returns the owner of a part, as last seen.
func (b *StateCache) Owner(part string) (OwnerEntry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	seen, ok := b.owners[part]
	return seen, ok
}

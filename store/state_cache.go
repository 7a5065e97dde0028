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

// JobEntry is what an instance knows of one job.
type JobEntry struct {
	Queue     string
	Pool      string // whose workers run it
	State     batch.State
	Cancelled bool // by this instance; the owner of the pool has not taken it in yet
	version   int64
}

// EncodeState returns the row of a job in BoardTable: the letter of its state, the name of its queue, and that of its pool in
// a second line.
func EncodeState(part, id, queue, pool string, state batch.State) Row {
	return Row{Table: BoardTable, Part: part, Key: Key(KindJob, id), Value: append([]byte{byte(state)}, queue+"\n"+pool...)}
}

func decodeState(value []byte) (queue, pool string, state batch.State, ok bool) {
	if state, ok = batch.StateOf(value); !ok {
		return "", "", 0, false
	}
	queue, pool, ok = strings.Cut(string(value[1:]), "\n")
	return queue, pool, state, ok
}

// Seen is the row that names the owner of a part, and when its newest version was first seen.
type Seen struct {
	Owner            Owner
	Version          int64
	At               clock.Millis
	renewalIntervals [4]clock.Millis // between the newest versions, as seen here
}

// Pause returns the longest of the last few pauses between two renewals.
func (s Seen) Pause() clock.Millis { return slices.Max(s.renewalIntervals[:]) }

// Board is the copy of BoardTable that each instance keeps.
type Board struct {
	Clock  *clock.Clock
	Logger *slog.Logger

	mu     sync.RWMutex
	jobs   map[string]*JobEntry
	owners map[string]Seen
}

// NewBoard returns an empty copy.
func NewBoard(c *clock.Clock, logger *slog.Logger) *Board {
	return &Board{Clock: c, Logger: logger, jobs: map[string]*JobEntry{}, owners: map[string]Seen{}}
}

// Load replaces the copy by the rows of the whole table.
func (s *Board) Load(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := s.owners
	s.jobs, s.owners = map[string]*JobEntry{}, map[string]Seen{}
	for _, row := range rows {
		s.apply(row)
	}
	// A gap in the history must not make an owner look alive: a version keeps the time when it was first seen.
	for part, seen := range s.owners {
		if before, ok := owners[part]; ok && before.Version == seen.Version {
			s.owners[part] = before
		}
	}
}

// Apply takes changes in.
func (s *Board) Apply(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.apply(row)
	}
}

func (s *Board) apply(row Row) {
	kind, id := SplitKey(row.Key)
	switch {
	case row.Key == OwnerKey:
		s.applyOwner(row)
	case kind != KindJob:
		s.logUnreadable(row, batch.ErrInvalid.New("unknown kind of row"))
	case row.Deleted:
		delete(s.jobs, id)
	default:
		queue, pool, state, ok := decodeState(row.Value)
		if !ok {
			s.logUnreadable(row, batch.ErrInvalid.New("unknown state"))
			return
		}
		known := s.jobs[id]
		if known == nil {
			known = &JobEntry{}
			s.jobs[id] = known
		}
		// A load can be newer than the feed that follows it, and the intake's row is older than the owner's.
		if row.Version > known.version {
			known.Queue, known.Pool, known.State, known.version = queue, pool, state, row.Version
		}
	}
}

func (s *Board) applyOwner(row Row) {
	before, known := s.owners[row.Part]
	if row.Deleted || before.Version >= row.Version {
		return
	}
	owner, err := DecodeOwner(row.Value)
	if err != nil {
		s.logUnreadable(row, err)
		return
	}
	seen := Seen{Owner: owner, Version: row.Version, At: s.Clock.Now()}
	switch {
	case !known:
	case before.Owner.Incarnation() == owner.Incarnation():
		copy(seen.renewalIntervals[1:], before.renewalIntervals[:])
		seen.renewalIntervals[0] = seen.At - before.At
	default: // a slow store is as slow for the next owner
		seen.renewalIntervals = before.renewalIntervals
	}
	s.owners[row.Part] = seen
}

func (s *Board) logUnreadable(row Row, err error) {
	eventUnreadable.Log(context.Background(), s.Logger, slog.String("part", row.Part), slog.String("key", row.Key),
		slog.Int64("version", row.Version), slog.String("error", err.Error()))
}

// Find returns what is known of a job.
func (s *Board) Find(id string) (JobEntry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	known := s.jobs[id]
	if known == nil {
		return JobEntry{}, false
	}
	return *known, true
}

// Cancel notes that this instance has stored a request to cancel a job.
func (s *Board) Cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.jobs[id]; known != nil {
		known.Cancelled = true
	}
}

// Len returns the number of jobs.
func (s *Board) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.jobs)
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (s *Board) Waiting(queue string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, known := range s.jobs {
		if known.Queue == queue && known.State == batch.Pending && !known.Cancelled {
			n++
		}
	}
	return n
}

// Ended returns the ids of the jobs of a pool that are in a final state.
func (s *Board) Ended(pool string) []string {
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

// MostCores returns the processor of the strongest instance that is known to own or to have owned a part last, in cores; 0 if
// none is known.
func (s *Board) MostCores() float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	most := 0.0
	for _, seen := range s.owners {
		most = max(most, seen.Owner.Cores)
	}
	return most
}

// Owner returns the owner of a part, as last seen.
func (s *Board) Owner(part string) (Seen, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	seen, ok := s.owners[part]
	return seen, ok
}

package store

import (
	"context"
	"log/slog"
	"strings"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var eventUnreadable = event.New(5113, "row-unreadable", slog.LevelError, "a row of our own table cannot be decoded; it is left out")

// WorkTable is the table that holds jobs, their progress, owners, and orders for machines; its parts are the pools and
// FleetPart.
const WorkTable = "work"

// FleetPart is the part whose owner orders machines; operators read their status rows in the same part.
const FleetPart = ""

// The kinds of rows of the work table; the key is the kind, a slash and an id.
const (
	KindJob    = "job"    // batch.Job, written once by the instance that accepts it
	KindRun    = "run"    // batch.Progress, written by the owner of the part
	KindCancel = "cancel" // written by any instance; the job is cancelled
	KindWant   = "want"   // upkeep.Want for a machine, in FleetPart
	KindCordon = "cordon" // answer of a pool's owner to a want
	KindWave   = "wave"   // upkeep.Wave, in FleetPart
)

// Key returns the key of a row.
func Key(kind, id string) string { return kind + "/" + id }

// SplitKey returns the kind and the id of a key; the id is empty for OwnerKey.
func SplitKey(key string) (kind, id string) {
	kind, id, _ = strings.Cut(key, "/")
	return kind, id
}

// Known is what an instance knows of one job.
type Known struct {
	Job       *batch.Job // nil while only another row of the job is known
	State     batch.State
	Cancelled bool
	Progress  []byte // stored form of the progress, or nil
	Part      string
	version   int64 // of the progress
}

// Seen is the row that names the owner of a part, and when its newest version was first seen.
type Seen struct {
	Owner   Owner
	Version int64
	At      clock.Millis
}

// Jobs is the copy of the work table that each instance keeps.
type Jobs struct {
	Clock  *clock.Clock
	Logger *slog.Logger
	// OnRows receives every change, after the copy has it; reset says that the rows are the whole table.
	OnRows func(rows []Row, reset bool)

	mu     sync.RWMutex
	jobs   map[string]*Known
	rows   map[string]Row // of the other kinds, by part and key
	owners map[string]Seen
}

// NewJobs returns an empty copy.
func NewJobs(c *clock.Clock, logger *slog.Logger) *Jobs {
	return &Jobs{Clock: c, Logger: logger, jobs: map[string]*Known{}, rows: map[string]Row{}, owners: map[string]Seen{}}
}

// Load replaces the copy by the rows of the whole table.
func (j *Jobs) Load(rows []Row) {
	j.mu.Lock()
	owners := j.owners
	j.jobs, j.rows, j.owners = map[string]*Known{}, map[string]Row{}, map[string]Seen{}
	// The rows come sorted by key; the job itself goes before what belongs to it.
	for _, row := range rows {
		if kind, _ := SplitKey(row.Key); kind == KindJob {
			j.apply(row)
		}
	}
	for _, row := range rows {
		if kind, _ := SplitKey(row.Key); kind != KindJob {
			j.apply(row)
		}
	}
	// A gap in the history must not make an owner look alive: a version keeps the time when it was first seen.
	for part, seen := range j.owners {
		if before, ok := owners[part]; ok && before.Version == seen.Version {
			j.owners[part] = before
		}
	}
	j.mu.Unlock()
	if j.OnRows != nil {
		j.OnRows(rows, true)
	}
}

// Apply takes changes in.
func (j *Jobs) Apply(rows []Row) {
	j.mu.Lock()
	for _, row := range rows {
		j.apply(row)
	}
	j.mu.Unlock()
	if j.OnRows != nil {
		j.OnRows(rows, false)
	}
}

func (j *Jobs) apply(row Row) {
	kind, id := SplitKey(row.Key)
	switch kind {
	case KindJob, KindRun, KindCancel:
		j.applyJob(kind, id, row)
	case OwnerKey:
		if row.Deleted || j.owners[row.Part].Version >= row.Version {
			return
		}
		owner, err := DecodeOwner(row.Value)
		if err != nil {
			j.unreadable(row, err)
			return
		}
		j.owners[row.Part] = Seen{owner, row.Version, j.Clock.Now()}
	default:
		name := row.Part + "/" + row.Key
		if row.Deleted {
			delete(j.rows, name)
		} else if j.rows[name].Version < row.Version {
			j.rows[name] = row
		}
	}
}

func (j *Jobs) applyJob(kind, id string, row Row) {
	if row.Deleted {
		if kind == KindJob {
			delete(j.jobs, id)
		}
		return
	}
	known := j.jobs[id]
	if known == nil {
		if kind != KindJob {
			// Rows of a job are deleted together, the job first; a late row of the others must not bring it back.
			return
		}
		known = &Known{State: batch.Pending, Part: row.Part}
		j.jobs[id] = known
	}
	switch kind {
	case KindJob:
		job, err := batch.DecodeJob(row.Value)
		if err != nil {
			j.unreadable(row, err)
			return
		}
		known.Job = job
	case KindRun:
		state, ok := batch.StateOf(row.Value)
		if !ok {
			j.unreadable(row, batch.ErrInvalid.New("unknown state"))
			return
		}
		if row.Version > known.version { // a load can be newer than the feed that follows it
			known.State, known.Progress, known.version = state, row.Value, row.Version
		}
	case KindCancel:
		known.Cancelled = true
	}
}

func (j *Jobs) unreadable(row Row, err error) {
	eventUnreadable.Log(context.Background(), j.Logger, slog.String("part", row.Part), slog.String("key", row.Key),
		slog.Int64("version", row.Version), slog.String("error", err.Error()))
}

// Find returns what is known of a job.
func (j *Jobs) Find(id string) (Known, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	known := j.jobs[id]
	if known == nil || known.Job == nil {
		return Known{}, false
	}
	return *known, true
}

// Len returns the number of jobs.
func (j *Jobs) Len() int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return len(j.jobs)
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (j *Jobs) Waiting(queue string) int {
	j.mu.RLock()
	defer j.mu.RUnlock()
	n := 0
	for _, known := range j.jobs {
		if known.Job != nil && known.Job.Queue == queue && known.State == batch.Pending && !known.Cancelled {
			n++
		}
	}
	return n
}

// Part returns the jobs of a part.
func (j *Jobs) Part(part string) []Known {
	j.mu.RLock()
	defer j.mu.RUnlock()
	var all []Known
	for _, known := range j.jobs {
		if known.Part == part && known.Job != nil {
			all = append(all, *known)
		}
	}
	return all
}

// Rows returns the rows of a part that are of a kind other than jobs and owners.
func (j *Jobs) Rows(part, kind string) []Row {
	j.mu.RLock()
	defer j.mu.RUnlock()
	var all []Row
	for _, row := range j.rows {
		if k, _ := SplitKey(row.Key); k == kind && row.Part == part {
			all = append(all, row)
		}
	}
	return all
}

// Owner returns the owner of a part, as last seen.
func (j *Jobs) Owner(part string) (Seen, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	seen, ok := j.owners[part]
	return seen, ok
}

package store

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// The tables of the product. Their parts are the pools, FleetPart, and those of IntakePart.
const (
	// StateTable has what every instance follows: who owns a part, and the state of each job. The instance that accepts a job
	// writes its first state into its intake part, and the owner of the pool writes those that follow into the pool's.
	StateTable = "board"
	// RunsTable has the progress of jobs that have not ended, by their ids; it is read at the start of a tenure.
	RunsTable = "runs"
	// FleetTable has decisions about machines and the answers of the owners of pools; owners follow it.
	FleetTable = "fleet"
	// ReportsTable has what the owners of pools tell about them, under ReportKey; the owner of the machines follows it.
	ReportsTable = "reports"
)

// JobsTable returns the table of the jobs of a pool that have not ended, and of requests to cancel them; the owner of the
// pool follows it. Its parts are those of IntakePart.
func JobsTable(pool string) string { return "jobs." + pool }

// intakeParts is how many parts accepted jobs are spread over. The platform carries out the transactions of one part one
// after another, 150 a second, which a surge of one pool's jobs exceeds.
const intakeParts = 8

// IntakePart returns the part in which instances store a new job and requests to cancel it. It is not the part of a pool, so
// that callers and owners do not wait for each other.
func IntakePart(job string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // it never fails
	return fmt.Sprintf("intake/%d", h.Sum32()%intakeParts)
}

// FleetPart is the part whose owner orders machines; operators read their status rows in the same part.
const FleetPart = ""

// Keys that stand for themselves.
const (
	OwnerKey  = "owner"  // in BoardTable, names the owner of the part
	ReportKey = "report" // in ReportsTable
)

// The kinds of rows whose key is the kind, a slash and an id.
const (
	KindJob    = "job"    // in BoardTable the state of a job, in JobsTable the job itself
	KindCancel = "cancel" // in JobsTable; the job is to be cancelled
	KindWant   = "want"   // in FleetTable, FleetPart: machines.Want for a machine
	KindWave   = "wave"   // in FleetTable, FleetPart: machines.WaveState
	KindCordon = "cordon" // in FleetTable: answer of a pool's owner to a want
)

// Key returns the key of a row.
func Key(kind, id string) string { return kind + "/" + id }

// SplitKey returns the kind and the id of a key; the id is empty for keys that stand for themselves.
func SplitKey(key string) (kind, id string) {
	kind, id, _ = strings.Cut(key, "/")
	return kind, id
}

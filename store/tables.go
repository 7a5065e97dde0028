package store

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// The tables of the product. Their parts are the names of pools, FleetPart, and the parts that Layout.IntakePart returns.
const (
	// StateTable holds the owner of each part and the state of each job; every instance keeps a copy of it. The instance that
	// accepts a job writes its initial state into the intake part of the job; the owner of the pool writes later states into
	// the part of the pool.
	StateTable = "board"
	// RunsTable holds the progress of jobs that have not ended, by job id; an instance reads it when it becomes the owner of a pool.
	RunsTable = "runs"
	// FleetTable holds the decisions about machines and the answers of the pools' owners; owners keep a copy of it.
	FleetTable = "fleet"
	// ReportsTable holds the reports of the owners about their pools, under ReportKey; the owner of FleetPart keeps a copy of it.
	ReportsTable = "reports"
	// GrantsTable holds, by customer, what each pool may use of the customer's cap (package grant). Its parts are those that GrantPart
	// returns; owners of pools keep a copy of it while a customer has a cap.
	GrantsTable = "grants"
)

// JobsTable returns the name of the table with the jobs of a pool that have not ended and the requests to cancel them; the
// owner of the pool keeps a copy of it. Its parts are those that Layout.IntakePart returns.
func JobsTable(pool string) string { return "jobs." + pool }

// grantPartCount is the number of parts over which the grants are spread. The owners of all pools write to each of them.
const grantPartCount = 2

// GrantPart returns the part that holds the grants of a customer.
func GrantPart(customer string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer)) // hash.Hash.Write never returns an error
	return fmt.Sprintf("grants/%d", h.Sum32()%grantPartCount)
}

// GrantParts returns the parts that hold the grants of all customers.
func GrantParts() []string {
	var parts []string
	for i := range grantPartCount {
		parts = append(parts, fmt.Sprintf("grants/%d", i))
	}
	return parts
}

// FleetPart is the part whose owner sends the orders for machines; the status rows for operators are in the same part.
const FleetPart = ""

// Keys without an id.
const (
	LayoutKey = "layout" // in StateTable, FleetPart: the Layout
	OwnerKey  = "owner"  // in StateTable: the owner of the part, see Owner
	ReportKey = "report" // in ReportsTable: the owner's report about the pool
)

// The kinds of rows whose key consists of the kind, a slash and an id.
const (
	KindJob        = "job"    // in StateTable: the state of a job; in JobsTable: the job itself
	KindAddress    = "path"   // in StateTable, intake part: where the job was accepted, see EncodeAddress
	KindCancel     = "cancel" // in JobsTable: request to cancel the job
	KindWithdrawal = "want"   // in FleetTable, FleetPart: machines.Withdrawal for a machine
	KindWave       = "wave"   // in FleetTable, FleetPart: machines.WaveState
	KindGrant      = "grant"  // in GrantsTable: grant.Row of the customer
	KindCordon     = "cordon" // in FleetTable, part of a pool: machines.Cordon, by which the pool's owner confirms that a worker is empty
)

// Key returns the key of a row of the given kind and id.
func Key(kind, id string) string { return kind + "/" + id }

// SplitKey returns the kind and the id of a key; the id is empty for a key without one.
func SplitKey(key string) (kind, id string) {
	kind, id, _ = strings.Cut(key, "/")
	return kind, id
}

package provider

import (
	"context"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/kernel"
)

// Plugins holds the constructors of platforms by name, such as "memory" and "http"; each takes the address from the
// settings and the availability zone of the process.
var Plugins kernel.Registry[func(address, zone string) (Platform, error)]

// Platform gives access to every part of the platform.
type Platform interface {
	Table() Table
	Objects() ObjectStore
	Instances() Instances
	Tasks() Tasks
	Maintenance() Maintenance
}

// Table is a transactional table of small rows. Its methods return ErrUnavailable for a call that had no effect, and
// ErrUnknownOutcome without an answer; after that a Commit may have been applied.
type Table interface {
	// Read returns one row for each key in the same order; a missing row has Version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns, in the order of their keys, at most limit rows whose keys have the prefix and sort after the given key.
	// An empty after starts at the first key with the prefix.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none; it returns ErrConflict when the condition of a write does not hold.
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore stores objects by name; an object is written once and never changed. Get returns ErrNotFound for an
// unknown name.
type ObjectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Instances is the platform's list of instances, which may be out of date.
type Instances interface {
	// List returns the instances of a zone, or of all zones when zone is empty.
	List(ctx context.Context, zone string) ([]Instance, error)
}

// Tasks starts and controls tasks on workers. Checkpoint and Throttle of an unknown task have no effect and return nil.
type Tasks interface {
	// Start starts a task; a second Start with the same id has no effect and returns nil. It returns ErrNotFound if the
	// instance is not in the platform's list.
	Start(ctx context.Context, request TaskRequest) error
	// Checkpoint saves the state of a task and stops it.
	Checkpoint(ctx context.Context, id string) error
	// Throttle limits a task to a percentage of its processors; 100 lifts the limit.
	Throttle(ctx context.Context, id string, percent int) error
	// Stop ends a task without a checkpoint; stopping an unknown task returns nil.
	Stop(ctx context.Context, id string) error
	// Usage returns the resource usage of the tasks of an instance; the figures may be out of date.
	Usage(ctx context.Context, instance string) ([]TaskUsage, error)
}

// Maintenance drains and reboots instances. The methods return ErrNotFound for an instance that is not in the platform's list.
type Maintenance interface {
	// Drain starts a drain, which ends when the instance has no requests in flight. A repeated call during the drain has
	// no effect.
	Drain(ctx context.Context, instance string) error
	// Reboot starts a reboot. A repeated call during the reboot has no effect.
	Reboot(ctx context.Context, instance string) error
	// Status returns StatusServing for an instance without a drain or reboot.
	Status(ctx context.Context, instance string) (MaintenanceStatus, error)
}

// Errors is the namespace of the errors of a platform.
var Errors = errorx.NewNamespace("platform")

// The types of errors that all plug-ins return.
var (
	ErrConflict       = Errors.NewType("conflict")        // the condition of a write did not hold; nothing was applied
	ErrUnavailable    = Errors.NewType("unavailable")     // the call had no effect
	ErrUnknownOutcome = Errors.NewType("unknown-outcome") // the call may have taken effect
	ErrNotFound       = Errors.NewType("not-found")       // the named object or instance does not exist
)

// Row is one row of the table.
type Row struct {
	key       string
	value     []byte
	version   int64
	operation string
}

// NewRow returns a row; only plug-ins need it.
func NewRow(key string, value []byte, version int64, operation string) Row {
	return Row{key: key, value: value, version: version, operation: operation}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value, which must not be changed.
func (r Row) Value() []byte { return r.value }

// Version returns the version, which increases with each write of the key; 0 means that the row does not exist.
func (r Row) Version() int64 { return r.version }

// Operation returns the id of the transaction that last wrote the row.
func (r Row) Operation() string { return r.operation }

// WriteKind is the kind of a Write.
type WriteKind string

// The kinds of writes.
const (
	KindPut    WriteKind = "put"
	KindDelete WriteKind = "delete"
	KindCheck  WriteKind = "check"
)

// AnyVersion is a condition that every version meets, also that of a missing row.
const AnyVersion int64 = -1

// Write is one conditional write, deletion or check of a row in a transaction.
type Write struct {
	kind      WriteKind
	key       string
	value     []byte
	ifVersion int64
}

// Put writes a row if its version is ifVersion; 0 requires that the row does not exist.
func Put(key string, value []byte, ifVersion int64) Write {
	return Write{kind: KindPut, key: key, value: value, ifVersion: ifVersion}
}

// Delete removes a row if its version is ifVersion.
func Delete(key string, ifVersion int64) Write {
	return Write{kind: KindDelete, key: key, ifVersion: ifVersion}
}

// Check requires that the version of a row is ifVersion and changes nothing.
func Check(key string, ifVersion int64) Write {
	return Write{kind: KindCheck, key: key, ifVersion: ifVersion}
}

// Kind returns what the write does.
func (w Write) Kind() WriteKind { return w.kind }

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the value to write.
func (w Write) Value() []byte { return w.value }

// IfVersion returns the required version.
func (w Write) IfVersion() int64 { return w.ifVersion }

// Transaction is a set of writes that are applied together or not at all.
type Transaction struct {
	operation string
	writes    []Write
}

// NewTransaction returns a transaction; operation is a unique id that is stored in each row it writes.
func NewTransaction(operation string, writes ...Write) Transaction {
	return Transaction{operation: operation, writes: writes}
}

// Operation returns the id of the transaction.
func (t Transaction) Operation() string { return t.operation }

// Writes returns the writes in order.
func (t Transaction) Writes() []Write { return t.writes }

// InstanceState says whether an instance may receive new work.
type InstanceState string

// The states in the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving" // about to stop; receives no new work
)

// InstanceRole is the kind of process that runs on an instance.
type InstanceRole string

// The roles of instances.
const (
	RoleWorker InstanceRole = "worker"
	RoleEntry  InstanceRole = "entry"
)

// InstanceFields holds the values from which NewInstance builds an Instance.
type InstanceFields struct {
	ID           string        `json:"id"`
	Address      string        `json:"address"` // IP address and port
	Zone         string        `json:"zone"`
	Rack         string        `json:"rack"`
	Role         InstanceRole  `json:"role"`
	State        InstanceState `json:"state"`
	Cores        int           `json:"cores"`
	MemoryMB     int           `json:"memory-mb"`
	Accelerators int           `json:"accelerators"`
	Slots        int           `json:"slots"`       // requests that run at once
	Connections  int           `json:"connections"` // connections that the instance accepts
	Incarnation  int64         `json:"incarnation"` // increases when an instance is replaced under the same id
}

// Instance is one entry of the platform's list.
type Instance struct{ f InstanceFields }

// NewInstance returns an immutable instance with the given fields.
func NewInstance(f InstanceFields) Instance { return Instance{f} }

// Fields returns a copy of the fields, for codecs.
func (i Instance) Fields() InstanceFields { return i.f }

// ID returns the id of the instance.
func (i Instance) ID() string { return i.f.ID }

// Address returns the IP address and port.
func (i Instance) Address() string { return i.f.Address }

// Zone returns the availability zone.
func (i Instance) Zone() string { return i.f.Zone }

// Rack returns the rack that holds the instance.
func (i Instance) Rack() string { return i.f.Rack }

// Role returns the kind of process that runs on the instance.
func (i Instance) Role() InstanceRole { return i.f.Role }

// State returns whether the instance is live or leaving.
func (i Instance) State() InstanceState { return i.f.State }

// Cores returns the number of processor cores.
func (i Instance) Cores() int { return i.f.Cores }

// MemoryMB returns the memory in megabytes.
func (i Instance) MemoryMB() int { return i.f.MemoryMB }

// Accelerators returns the number of accelerators.
func (i Instance) Accelerators() int { return i.f.Accelerators }

// Slots returns how many requests the instance runs at once.
func (i Instance) Slots() int { return i.f.Slots }

// Connections returns how many connections the instance accepts.
func (i Instance) Connections() int { return i.f.Connections }

// Incarnation returns the number that distinguishes an instance from its predecessor with the same id.
func (i Instance) Incarnation() int64 { return i.f.Incarnation }

// TaskFields holds the values from which NewTaskRequest builds a TaskRequest.
type TaskFields struct {
	ID           string       `json:"id"` // job, attempt and fencing token; unique for each start
	Job          string       `json:"job"`
	Instance     string       `json:"instance"`
	Cores        int          `json:"cores"`
	MemoryMB     int          `json:"memory-mb"`
	Accelerators int          `json:"accelerators"`
	Lease        clock.Millis `json:"lease-ms"` // time after which a task on a lost worker has ended
	Command      []string     `json:"command"`
}

// TaskRequest asks for the start of a task on an instance.
type TaskRequest struct{ f TaskFields }

// NewTaskRequest returns an immutable request with the given fields.
func NewTaskRequest(f TaskFields) TaskRequest { return TaskRequest{f} }

// Fields returns a copy of the fields, for codecs.
func (t TaskRequest) Fields() TaskFields { return t.f }

// ID returns the id of the task.
func (t TaskRequest) ID() string { return t.f.ID }

// Instance returns the id of the instance that runs the task.
func (t TaskRequest) Instance() string { return t.f.Instance }

// TaskState is the state of a task as the platform reports it.
type TaskState string

// The states of tasks.
const (
	TaskRunning      TaskState = "running"
	TaskCheckpointed TaskState = "checkpointed"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
)

// UsageFields holds the values from which NewTaskUsage builds a TaskUsage.
type UsageFields struct {
	ID       string       `json:"id"`
	Job      string       `json:"job"`
	State    TaskState    `json:"state"`
	CoresPct int          `json:"cores-percent"` // 100 means one core
	MemoryMB int          `json:"memory-mb"`
	RunTime  clock.Millis `json:"run-time-ms"`      // since the start of the task
	Percent  int          `json:"throttle-percent"` // see Tasks.Throttle; 100 means no limit
	Reason   string       `json:"reason"`           // cause of the end, such as an exit status; may be empty
}

// TaskUsage is the reported state and resource usage of one task, which may be out of date.
type TaskUsage struct{ f UsageFields }

// NewTaskUsage returns an immutable report with the given fields.
func NewTaskUsage(f UsageFields) TaskUsage { return TaskUsage{f} }

// Fields returns a copy of the fields, for codecs.
func (u TaskUsage) Fields() UsageFields { return u.f }

// ID returns the id of the task.
func (u TaskUsage) ID() string { return u.f.ID }

// State returns the state of the task.
func (u TaskUsage) State() TaskState { return u.f.State }

// MaintenanceStatus is the state of a drain or a reboot.
type MaintenanceStatus string

// The states of maintenance.
const (
	StatusServing   MaintenanceStatus = "serving"
	StatusDraining  MaintenanceStatus = "draining"
	StatusDrained   MaintenanceStatus = "drained"
	StatusRebooting MaintenanceStatus = "rebooting"
	StatusFailed    MaintenanceStatus = "failed"
)

package operator

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// Reporter reports the state of the fleet. An error that is neither a *result.Refusal nor of type provider.ErrNotFound is
// answered with CodeTableUnavailable.
type Reporter interface {
	Report(ctx context.Context) (StatusFields, error)
}

// Drainer takes an instance out of service. With force it does not wait for requests in flight; they are interrupted.
// DrainInstance returns nil when the order is stored; the instance may still be in service then.
//
// An implementation of Drainer, Waves or Jobs states that an order had no effect by an error of type provider.ErrNotFound or
// provider.ErrUnavailable. The code of a *result.Refusal states its own outcome. After any other error the operator is told
// that the outcome is unknown.
type Drainer interface {
	DrainInstance(ctx context.Context, operator, instance string, force bool) error
}

// Waves starts and controls the maintenance wave of a pool. A wave can't be started while one runs or is paused. A paused or
// a stopped wave can be resumed; only after a stop or the end of the wave can a new one be started.
type Waves interface {
	StartWave(ctx context.Context, operator, pool string) error
	PauseWave(ctx context.Context, operator, pool string) error
	ResumeWave(ctx context.Context, operator, pool string) error
	StopWave(ctx context.Context, operator, pool string) error
}

// Jobs shows and cancels jobs.
type Jobs interface {
	ListJobs(ctx context.Context) ([]JobFields, error)
	ShowJob(ctx context.Context, name string) (JobFields, error)
	CancelJob(ctx context.Context, operator, name string) error
}

// StatusFields is the JSON form of the state of a fleet.
type StatusFields struct {
	Version int64              `json:"version"` // of the configuration in force in the process that answers
	Digest  string             `json:"digest"`
	Pools   []PoolStatusFields `json:"pools"`
	// Unavailable is the reason why Pools is empty, for example that the platform's table does not answer.
	Unavailable string              `json:"unavailable,omitempty"`
	Entries     []EntryStatusFields `json:"entry-instances"` // as known to the process that answers
}

// EntryStatusFields is the JSON form of what is known of an entry instance.
type EntryStatusFields struct {
	ID          string       `json:"id"`
	Zone        string       `json:"zone"`
	Incarnation int64        `json:"incarnation"`
	Version     int64        `json:"version"`       // of the configuration, as last reported; 0 for none
	Lag         int64        `json:"lag"`           // versions behind the process that answers
	ReportAge   clock.Millis `json:"report-age-ms"` // -1 without a report
	Alive       bool         `json:"alive"`         // neither suspected nor failed
}

// PoolStatusFields is the JSON form of the state of a pool; all counts are workers.
type PoolStatusFields struct {
	Name           string `json:"name"`
	Contact        string `json:"contact"`
	Instances      int    `json:"instances"` // declared
	Serving        int    `json:"serving"`
	Capacity       int    `json:"capacity"` // least number of serving workers for which planned work leaves room
	Planned        int    `json:"planned"`  // out of service for planned work
	Failed         int    `json:"failed"`
	MaxUnavailable int    `json:"max-unavailable"`
	Buffer         int    `json:"buffer"` // spare workers that the declared failures require
	BufferReason   string `json:"buffer-reason"`
	Wave           string `json:"wave,omitempty"`    // state of the maintenance wave
	Waits          string `json:"waits,omitempty"`   // reason why planned work has to wait
	Lends          int    `json:"lends,omitempty"`   // workers lent to other pools
	Borrows        int    `json:"borrows,omitempty"` // workers borrowed from other pools
}

// JobFields is the JSON form of the state of a job.
type JobFields struct {
	Name     string         `json:"name"`
	Team     string         `json:"team"`
	Pool     string         `json:"pool"`
	State    string         `json:"state"` // queued, starting, running, checkpointed, succeeded, parked (no success or outcome unknown; not started again) or cancelled
	Urgency  config.Urgency `json:"urgency"`
	RunOnce  bool           `json:"run-once"`
	Attempts int            `json:"attempts"` // made so far
	Instance string         `json:"instance,omitempty"`
	Waited   clock.Millis   `json:"waited-ms"` // in the state queued or checkpointed; 0 in the others
	Reason   string         `json:"reason,omitempty"`
}

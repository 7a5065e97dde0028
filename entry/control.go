package entry

import (
	"context"
	"fmt"
	"strings"

	"magnoliaferry/clock"
	"magnoliaferry/fleet"
	"magnoliaferry/jobs"
	"magnoliaferry/operator"
	"magnoliaferry/planner"
	"magnoliaferry/result"
)

const (
	// jobPage is the number of jobs per read of the table. ListJobs stops reading once it has maxJobs.
	jobPage = 500
	maxJobs = 5000
	// statusTimeout bounds the table reads of Report, so that a slow table does not prevent the status of the entry
	// instances from being shown.
	statusTimeout = 5 * clock.Second
)

// control adapts the control loop to the interfaces of the package operator.
type control struct {
	instance *Instance
	loop     *fleet.Loop
}

// asError converts a refusal to an error, so that a nil refusal becomes a nil error and not a non-nil interface.
func asError(r *result.Refusal) error {
	if r == nil {
		return nil
	}
	return r
}

// Report implements operator.Reporter. Without an answer of the table it returns only the entry instances.
func (c control) Report(ctx context.Context) (operator.StatusFields, error) {
	status := operator.StatusFields{Version: c.instance.configuration.Version(), Digest: c.instance.configuration.Digest(),
		Pools: []operator.PoolStatusFields{}, Entries: c.entries()}
	ctx, cancel := c.instance.Clock.WithTimeout(ctx, statusTimeout)
	defer cancel()
	fleetStatus, refusal := c.loop.Status(ctx)
	if refusal != nil {
		// The status of the entry instances is still useful while the table is unavailable.
		status.Unavailable = refusal.Error()
		return status, nil
	}
	configuration := c.instance.configuration.Current()
	for _, f := range fleetStatus.Pools {
		p := operator.PoolStatusFields{Name: f.Pool, Contact: f.Contact, Serving: f.Serving, Capacity: f.Capacity,
			MaxUnavailable: f.MaxUnavailable, Buffer: f.Buffer, BufferReason: f.BufferText,
			Waits: strings.Join(f.Waits, "; ")}
		if declared, ok := configuration.Pool(f.Pool); ok {
			p.Instances = declared.Instances()
		}
		for _, r := range f.NotServing {
			if r.Phase == planner.Failed {
				p.Failed++
			} else {
				p.Planned++
			}
		}
		if w := f.Wave; w != nil {
			p.Wave = fmt.Sprintf("%s, %d to go (%s)", w.State, f.ToMaintain, w.Reason)
		}
		for _, r := range f.Moves {
			if r.Home != "" {
				p.Borrows++
			}
		}
		status.Pools = append(status.Pools, p)
	}
	for _, f := range fleetStatus.Pools {
		for _, r := range f.Moves {
			for i := range status.Pools {
				if status.Pools[i].Name == r.Home {
					status.Pools[i].Lends++
				}
			}
		}
	}
	return status, nil
}

// entries returns the status of this entry instance, followed by those of its peers.
func (c control) entries() []operator.EntryStatusFields {
	i, version := c.instance, c.instance.configuration.Version()
	list := []operator.EntryStatusFields{{ID: i.Settings.Name, Zone: i.Settings.Zone, Incarnation: i.node.CurrentIncarnation(),
		Version: version, Alive: true}}
	for _, p := range i.node.Peers() {
		list = append(list, operator.EntryStatusFields{ID: p.ID(), Zone: p.Zone(), Incarnation: p.Incarnation(),
			Version: p.Version(), Lag: p.Lag(version), ReportAge: p.Age(), Alive: p.Alive()})
	}
	return list
}

// DrainInstance implements operator.Drainer.
func (c control) DrainInstance(ctx context.Context, _, instance string, force bool) error {
	return asError(c.loop.Drain(ctx, instance, force))
}

// StartWave implements operator.Waves.
func (c control) StartWave(ctx context.Context, by, pool string) error {
	return asError(c.loop.Wave(ctx, pool, fleet.WaveStart, by))
}

// PauseWave implements operator.Waves.
func (c control) PauseWave(ctx context.Context, by, pool string) error {
	return asError(c.loop.Wave(ctx, pool, fleet.WavePause, by))
}

// ResumeWave implements operator.Waves.
func (c control) ResumeWave(ctx context.Context, by, pool string) error {
	return asError(c.loop.Wave(ctx, pool, fleet.WaveResume, by))
}

// StopWave implements operator.Waves.
func (c control) StopWave(ctx context.Context, by, pool string) error {
	return asError(c.loop.Wave(ctx, pool, fleet.WaveStop, by))
}

// ListJobs implements operator.Jobs.
func (c control) ListJobs(ctx context.Context) ([]operator.JobFields, error) {
	var all []operator.JobFields
	after := ""
	for len(all) < maxJobs {
		page, refusal := c.loop.Jobs(ctx, after, jobPage)
		if refusal != nil {
			return nil, refusal
		}
		for _, r := range page {
			all = append(all, c.job(r))
			after = r.ID
		}
		if len(page) < jobPage {
			break
		}
	}
	return all, nil
}

// ShowJob implements operator.Jobs.
func (c control) ShowJob(ctx context.Context, name string) (operator.JobFields, error) {
	r, refusal := c.loop.Job(ctx, name)
	if refusal != nil {
		return operator.JobFields{}, refusal
	}
	return c.job(r), nil
}

// CancelJob implements operator.Jobs.
func (c control) CancelJob(ctx context.Context, by, name string) error {
	return asError(c.loop.CancelJobs(ctx, by, name)[name])
}

// job converts the record of a job for the operators' interface.
func (c control) job(r jobs.RecordFields) operator.JobFields {
	f := operator.JobFields{Name: r.ID, Team: r.Team, Pool: r.Pool, State: string(r.State), Urgency: r.Urgency,
		RunOnce: r.RunOnce, Attempts: r.Token, Instance: r.Worker, Reason: r.Reason}
	if r.State == jobs.Queued || r.State == jobs.Checkpointed {
		f.Waited = max(0, c.instance.WallClock()-r.Since)
	}
	return f
}

package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/provider"
)

// The operations of the platform, called steps in package fault, at which Store.Faults can inject faults.
const (
	StepRead        = "table.read"
	StepScan        = "table.scan"
	StepCommit      = "table.commit"
	StepObjectPut   = "object.put"
	StepObjectGet   = "object.get"
	StepList        = "instances.list"
	StepTaskStart   = "task.start"
	StepTaskControl = "task.control"
	StepTaskUsage   = "task.usage"
	StepDrain       = "maintenance.drain"
	StepReboot      = "maintenance.reboot"
	StepStatus      = "maintenance.status"
)

// Store holds the state of one platform; View returns a process's access to it.
type Store struct {
	Clock  *clock.Clock
	Faults *fault.Injector // may be nil
	// RebootTime is the duration of a reboot; New sets 30 s.
	RebootTime clock.Millis
	// InFlight returns the number of requests that an instance is running; a drain ends at 0. Nil means 0.
	InFlight func(instance string) int

	mu           sync.Mutex
	rows         map[string]provider.Row
	version      int64
	objects      map[string][]byte
	instances    map[string]provider.Instance
	tasks        map[string]*task
	starts       map[string]int // how often a task of each id was started, without repeated calls of Start
	maintenance  map[string]*maintenance
	reads        int64
	transactions int64
}

type task struct {
	fields  provider.TaskFields
	state   provider.TaskState
	percent int    // throttle; 100 means no limit
	reason  string // as set by SetTaskState
	started clock.Millis
}

type maintenance struct {
	status provider.MaintenanceStatus
	until  clock.Millis // end of a reboot; unused by a drain
}

// New returns an empty platform; faults may be nil.
func New(c *clock.Clock, faults *fault.Injector) *Store {
	return &Store{Clock: c, Faults: faults, RebootTime: 30 * clock.Second, rows: map[string]provider.Row{},
		objects: map[string][]byte{}, instances: map[string]provider.Instance{}, tasks: map[string]*task{},
		starts: map[string]int{}, maintenance: map[string]*maintenance{}}
}

// View returns the platform as a process in the zone accesses it; a partition of the zone makes its calls fail.
func (s *Store) View(zone string) provider.Platform { return view{s, zone} }

// SetInstance adds or replaces an instance of the list.
func (s *Store) SetInstance(i provider.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[i.ID()] = i
}

// RemoveInstance removes an instance from the list.
func (s *Store) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// SetTaskState sets the state and the reason that the platform reports for a task; an unknown id has no effect.
func (s *Store) SetTaskState(id string, state provider.TaskState, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tasks[id]; ok {
		t.state, t.reason = state, reason
	}
}

// Starts returns how often a task with that id was started; a repeated Start that had no effect is not counted. Tests of
// jobs that must run once check it.
func (s *Store) Starts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[id]
}

// Counts returns the number of rows read and of transactions committed so far.
func (s *Store) Counts() (reads, transactions int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.transactions
}

// view is the access of a process in one zone to the store. It implements provider.Platform, Table and Instances; the types
// objects, tasks and maintenanceView implement the other interfaces, some of whose methods have the same names.
type view struct {
	store *Store
	zone  string
}

func (v view) Table() provider.Table             { return v }
func (v view) Objects() provider.ObjectStore     { return objects(v) }
func (v view) Instances() provider.Instances     { return v }
func (v view) Tasks() provider.Tasks             { return tasks(v) }
func (v view) Maintenance() provider.Maintenance { return maintenanceView(v) }

// withFault runs call with the fault injected at step, if any, and returns the resulting error.
func (v view) withFault(ctx context.Context, step string, call func() error) error {
	injection := v.store.Faults.At(step, v.zone)
	switch injection.Kind() {
	case fault.Down:
		return provider.ErrUnavailable.New("%s: the platform is down", step)
	case fault.Slow:
		if err := v.store.Clock.Sleep(ctx, injection.Delay()); err != nil {
			return provider.ErrUnavailable.Wrap(err, "%s: the platform is slow", step)
		}
	case fault.LoseRequest:
		return provider.ErrUnknownOutcome.New("%s: no answer", step)
	}
	if err := ctx.Err(); err != nil {
		return provider.ErrUnavailable.Wrap(err, "%s", step)
	}
	v.store.mu.Lock()
	err := call()
	v.store.mu.Unlock()
	if injection.Kind() == fault.LoseAnswer {
		return provider.ErrUnknownOutcome.New("%s: no answer", step)
	}
	return err
}

// Read implements provider.Table.
func (v view) Read(ctx context.Context, keys ...string) (rows []provider.Row, err error) {
	err = v.withFault(ctx, StepRead, func() error {
		v.store.reads += int64(len(keys))
		for _, key := range keys {
			row, ok := v.store.rows[key]
			if !ok {
				row = provider.NewRow(key, nil, 0, "")
			}
			rows = append(rows, row)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Scan implements provider.Table.
func (v view) Scan(ctx context.Context, prefix, after string, limit int) (rows []provider.Row, err error) {
	err = v.withFault(ctx, StepScan, func() error {
		for key, row := range v.store.rows {
			if strings.HasPrefix(key, prefix) && key > after {
				rows = append(rows, row)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
		rows = rows[:min(limit, len(rows))]
		v.store.reads += int64(len(rows))
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements provider.Table.
func (v view) Commit(ctx context.Context, tx provider.Transaction) error {
	return v.withFault(ctx, StepCommit, func() error { return v.store.commit(tx) })
}

func (s *Store) commit(tx provider.Transaction) error {
	for _, w := range tx.Writes() {
		if found := s.rows[w.Key()].Version(); w.IfVersion() != provider.AnyVersion && found != w.IfVersion() {
			return provider.ErrConflict.New("row %q has version %d, not %d", w.Key(), found, w.IfVersion())
		}
	}
	s.transactions++
	s.version++
	for _, w := range tx.Writes() {
		switch w.Kind() {
		case provider.KindPut:
			value := append([]byte(nil), w.Value()...)
			s.rows[w.Key()] = provider.NewRow(w.Key(), value, s.version, tx.Operation())
		case provider.KindDelete:
			delete(s.rows, w.Key())
		}
	}
	return nil
}

// List implements provider.Instances.
func (v view) List(ctx context.Context, zone string) (list []provider.Instance, err error) {
	err = v.withFault(ctx, StepList, func() error {
		for _, i := range v.store.instances {
			if zone == "" || i.Zone() == zone {
				list = append(list, i)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
		return nil
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

type objects view

// Put implements provider.ObjectStore.
func (o objects) Put(ctx context.Context, name string, body []byte) error {
	return view(o).withFault(ctx, StepObjectPut, func() error {
		o.store.objects[name] = append([]byte(nil), body...)
		return nil
	})
}

// Get implements provider.ObjectStore.
func (o objects) Get(ctx context.Context, name string) (body []byte, err error) {
	err = view(o).withFault(ctx, StepObjectGet, func() error {
		found, ok := o.store.objects[name]
		if !ok {
			return provider.ErrNotFound.New("object %q does not exist", name)
		}
		body = append([]byte(nil), found...)
		return nil
	})
	return body, err
}

type tasks view

// Start implements provider.Tasks.
func (t tasks) Start(ctx context.Context, request provider.TaskRequest) error {
	return view(t).withFault(ctx, StepTaskStart, func() error {
		if _, known := t.store.tasks[request.ID()]; known {
			return nil
		}
		if _, listed := t.store.instances[request.Instance()]; !listed {
			return provider.ErrNotFound.New("instance %q does not exist", request.Instance())
		}
		t.store.tasks[request.ID()] = &task{fields: request.Fields(), state: provider.TaskRunning, percent: 100,
			started: t.store.Clock.Now()}
		t.store.starts[request.ID()]++
		return nil
	})
}

// Checkpoint implements provider.Tasks.
func (t tasks) Checkpoint(ctx context.Context, id string) error {
	return t.control(ctx, id, func(found *task) {
		if found.state == provider.TaskRunning {
			found.state = provider.TaskCheckpointed
		}
	})
}

// Throttle implements provider.Tasks.
func (t tasks) Throttle(ctx context.Context, id string, percent int) error {
	return t.control(ctx, id, func(found *task) { found.percent = percent })
}

// Stop implements provider.Tasks.
func (t tasks) Stop(ctx context.Context, id string) error {
	return t.control(ctx, id, func(found *task) {
		if found.state == provider.TaskRunning {
			found.state = provider.TaskStopped
		}
	})
}

func (t tasks) control(ctx context.Context, id string, change func(*task)) error {
	return view(t).withFault(ctx, StepTaskControl, func() error {
		if found, ok := t.store.tasks[id]; ok {
			change(found)
		}
		return nil
	})
}

// Usage implements provider.Tasks.
func (t tasks) Usage(ctx context.Context, instance string) (usage []provider.TaskUsage, err error) {
	err = view(t).withFault(ctx, StepTaskUsage, func() error {
		for _, found := range t.store.tasks {
			if found.fields.Instance != instance {
				continue
			}
			usage = append(usage, provider.NewTaskUsage(provider.UsageFields{
				ID: found.fields.ID, Job: found.fields.Job, State: found.state, CoresPct: 100 * found.fields.Cores,
				MemoryMB: found.fields.MemoryMB, RunTime: t.store.Clock.Now() - found.started,
				Percent: found.percent, Reason: found.reason}))
		}
		sort.Slice(usage, func(i, j int) bool { return usage[i].ID() < usage[j].ID() })
		return nil
	})
	return usage, err
}

type maintenanceView view

// Drain implements provider.Maintenance.
func (m maintenanceView) Drain(ctx context.Context, instance string) error {
	return view(m).withFault(ctx, StepDrain, func() error {
		return m.store.startMaintenance(instance, provider.StatusDraining, 0)
	})
}

// Reboot implements provider.Maintenance.
func (m maintenanceView) Reboot(ctx context.Context, instance string) error {
	return view(m).withFault(ctx, StepReboot, func() error {
		return m.store.startMaintenance(instance, provider.StatusRebooting, m.store.Clock.Now()+m.store.RebootTime)
	})
}

// Status implements provider.Maintenance.
func (m maintenanceView) Status(ctx context.Context, instance string) (status provider.MaintenanceStatus, err error) {
	err = view(m).withFault(ctx, StepStatus, func() error {
		status, err = m.store.status(instance)
		return err
	})
	return status, err
}

func (s *Store) startMaintenance(instance string, status provider.MaintenanceStatus, until clock.Millis) error {
	if _, listed := s.instances[instance]; !listed {
		return provider.ErrNotFound.New("instance %q does not exist", instance)
	}
	current := s.maintenance[instance]
	if current != nil && current.status == status {
		return nil // a repeated call does not restart the drain or reboot
	}
	s.maintenance[instance] = &maintenance{status: status, until: until}
	return nil
}

func (s *Store) status(instance string) (provider.MaintenanceStatus, error) {
	if _, listed := s.instances[instance]; !listed {
		return "", provider.ErrNotFound.New("instance %q does not exist", instance)
	}
	current := s.maintenance[instance]
	if current == nil {
		return provider.StatusServing, nil
	}
	switch {
	case current.status == provider.StatusDraining && (s.InFlight == nil || s.InFlight(instance) == 0):
		current.status = provider.StatusDrained
	case current.status == provider.StatusRebooting && s.Clock.Now() >= current.until:
		delete(s.maintenance, instance)
		return provider.StatusServing, nil
	}
	return current.status, nil
}

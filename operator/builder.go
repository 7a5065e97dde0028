package operator

import (
	"cmp"
	"io"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// GB is one gigabyte in megabytes, the unit of memory fields.
const GB = 1024

// Fleet declares a whole configuration; Print writes it. Fields that are left out take the defaults stated with them.
//
//	operator.Fleet{
//		Name: "example", Contact: "ops@example.org", Region: "north", Zones: []string{"a", "b"},
//		Worker: operator.Worker{Cores: 16, MemoryMB: 32 * operator.GB},
//		Pools:  []operator.Pool{{Name: "web", Instances: 10, Services: []operator.Service{{Name: "search"}}}},
//	}.Print(os.Stdout)
type Fleet struct {
	Name    string
	Contact string         // operator contact of pools and teams that name none
	Region  string         // region of the zones
	Zones   []string       // names of the availability zones
	Worker  Worker         // for pools that declare none
	Weights config.Weights // percent that sum to 100; default 25 each
	Pools   []Pool
	Teams   []Team
}

// Worker declares the resources and limits of one worker, and the size of its rack.
type Worker struct {
	Cores       int
	MemoryMB    int
	Slots       int // requests that it runs at once; default 8
	Connections int // default 64
	RackSize    int // workers in a rack; default 4
}

// Pool declares one pool with its services and jobs.
type Pool struct {
	Name           string
	Contact        string // default: that of the fleet
	Instances      int
	Capacity       int             // default: Instances - MaxUnavailable
	MaxUnavailable int             // default: workers lost by the failures to survive, plus one for maintenance
	Spare          bool            // lends its workers to other pools
	Worker         Worker          // default: that of the fleet
	Survive        config.Failures // failures to survive without falling below Capacity
	MaxInFlight    int             // default: no limit
	QueueLength    int             // default 200
	QueueWait      clock.Millis    // default 2 s
	// MaintenancePeriod is the time in which every instance is maintained once, in milliseconds; default 28 days.
	MaintenancePeriod clock.Millis
	Services          []Service
	Jobs              []Job
}

// Service declares one service of a pool.
type Service struct {
	Name        string
	Deadline    clock.Millis   // default 10 s, or MaxDeadline where that is less
	MaxDeadline clock.Millis   // default 30 s
	Urgency     config.Urgency // default normal
	// IdempotentMethods replaces the default of GET, HEAD, OPTIONS, PUT and DELETE unless it is nil.
	IdempotentMethods []string
}

// Team declares one team and its quotas.
type Team struct {
	Name        string
	Contact     string // default: that of the fleet
	Callers     []string
	MaxInFlight int // default: no limit
	Cores       int // quota of all running jobs together; with 0, a configuration with a job of the team is invalid
	MemoryMB    int // quota of all running jobs together; with 0, a configuration with a job of the team is invalid
}

// Job declares one job of a pool.
type Job struct {
	Name         string
	Team         string
	Urgency      config.Urgency // default normal
	RunOnce      bool
	Cores        int
	MemoryMB     int
	Accelerators int
	RunTime      clock.Millis // default one hour
	Attempts     int          // default 5, and 1 for a run-once job
	Command      []string
}

// Configuration returns the declared configuration with every default filled in. The error is a diag.List whose lines
// are those of the printed form.
func (f Fleet) Configuration() (*config.Configuration, error) {
	c, faults := config.Decode(f.Name+".json", config.Encode(config.New(f.fields())))
	return c, faults.Err()
}

// Print writes the canonical JSON form. When the declaration has faults it writes nothing; the error lists them.
func (f Fleet) Print(w io.Writer) error {
	c, err := f.Configuration()
	if err != nil {
		return err
	}
	_, err = w.Write(config.Encode(c))
	return err
}

func (f Fleet) fields() config.Fields {
	fields := config.Fields{Name: f.Name, Weights: f.Weights}
	if f.Weights == (config.Weights{}) {
		fields.Weights = config.Weights{RollOutTime: 25, Protection: 25, BufferCost: 25, Moves: 25}
	}
	for _, z := range f.Zones {
		fields.Zones = append(fields.Zones, config.ZoneFields{Name: z, Region: f.Region})
	}
	for _, p := range f.Pools {
		fields.Pools = append(fields.Pools, f.pool(p))
		for _, s := range p.Services {
			longest := cmp.Or(s.MaxDeadline, config.DefaultMaxDeadline)
			fields.Services = append(fields.Services, config.ServiceFields{Name: s.Name, Pool: p.Name,
				Deadline: cmp.Or(s.Deadline, min(config.DefaultDeadline, longest)), MaxDeadline: longest,
				Urgency: cmp.Or(s.Urgency, config.Normal), IdempotentMethods: s.IdempotentMethods})
		}
		for _, j := range p.Jobs {
			fields.Jobs = append(fields.Jobs, job(p.Name, j))
		}
	}
	for _, t := range f.Teams {
		fields.Teams = append(fields.Teams, config.TeamFields{Name: t.Name, Contact: cmp.Or(t.Contact, f.Contact),
			Callers: t.Callers, MaxInFlight: t.MaxInFlight, Cores: t.Cores, MemoryMB: t.MemoryMB})
	}
	return fields
}

func (f Fleet) pool(p Pool) config.PoolFields {
	w := p.Worker
	fields := config.PoolFields{Name: p.Name, Contact: cmp.Or(p.Contact, f.Contact), Instances: p.Instances,
		Capacity: p.Capacity, MaxUnavailable: p.MaxUnavailable, Spare: p.Spare,
		Slots:       cmp.Or(w.Slots, f.Worker.Slots, config.DefaultSlots),
		Connections: cmp.Or(w.Connections, f.Worker.Connections, config.DefaultConnections),
		Cores:       cmp.Or(w.Cores, f.Worker.Cores), MemoryMB: cmp.Or(w.MemoryMB, f.Worker.MemoryMB),
		RackSize:    cmp.Or(w.RackSize, f.Worker.RackSize, config.DefaultRackSize),
		MaxInFlight: p.MaxInFlight, QueueLength: cmp.Or(p.QueueLength, config.DefaultQueueLength),
		QueueWait:         cmp.Or(p.QueueWait, config.DefaultQueueWait),
		MaintenancePeriod: cmp.Or(p.MaintenancePeriod, config.DefaultMaintenancePeriod), Survive: p.Survive}
	if fields.MaxUnavailable == 0 {
		fields.MaxUnavailable = config.LostWorkers(fields, len(f.Zones)) + 1
	}
	if fields.Capacity == 0 {
		fields.Capacity = max(0, fields.Instances-fields.MaxUnavailable)
	}
	return fields
}

func job(pool string, j Job) config.JobFields {
	attempts := j.Attempts
	if attempts == 0 {
		attempts = config.DefaultAttempts
		if j.RunOnce {
			attempts = 1
		}
	}
	return config.JobFields{Name: j.Name, Team: j.Team, Pool: pool, Urgency: cmp.Or(j.Urgency, config.Normal),
		RunOnce: j.RunOnce, Cores: j.Cores, MemoryMB: j.MemoryMB, Accelerators: j.Accelerators,
		RunTime: cmp.Or(j.RunTime, config.DefaultRunTime), Attempts: attempts, Command: j.Command}
}

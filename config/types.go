package config

import (
	"sync"

	"magnoliaferry/clock"
)

// Urgency is the priority class of requests and jobs.
type Urgency string

// The urgency classes, from the highest priority to the lowest.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Batch  Urgency = "batch"
)

// Fields holds the values from which New builds a Configuration; the fields of a decoded Configuration are sorted by
// name.
type Fields struct {
	Name     string
	Weights  Weights
	Zones    []ZoneFields
	Pools    []PoolFields
	Services []ServiceFields
	Teams    []TeamFields
	Jobs     []JobFields
}

// Weights holds the relative importance of each planning objective, in percent; the four values sum to 100.
type Weights struct {
	RollOutTime int // short maintenance waves: more instances of a pool are out of service at once
	Protection  int // protection from failures: more of the buffer is kept above the demand
	BufferCost  int // few spare workers
	Moves       int // few moves of instances between pools
}

// ZoneFields declares one availability zone.
type ZoneFields struct {
	Name   string
	Region string
}

// Failures declares how many racks, zones and single workers may fail simultaneously without the pool falling below
// its capacity.
type Failures struct {
	Racks   int
	Zones   int
	Workers int
}

// PoolFields declares one pool of instances.
type PoolFields struct {
	Name              string
	Contact           string       // contact of the operators who are responsible for the pool
	Instances         int          // number of workers in the pool
	Capacity          int          // minimum number of serving workers at any time
	MaxUnavailable    int          // availability budget: maximum number of unavailable workers, planned and failed together
	Spare             bool         // whether the pool lends its workers to other pools
	Slots             int          // concurrent requests per worker
	Connections       int          // connections per worker
	Cores             int          // per worker
	MemoryMB          int          // per worker
	RackSize          int          // workers per rack
	MaxInFlight       int          // concurrent requests in the whole pool; 0 for no limit besides the slots
	QueueLength       int          // maximum number of requests that wait at one entry instance
	QueueWait         clock.Millis // maximum waiting time of a request
	MaintenancePeriod clock.Millis // every instance is maintained once per period
	Survive           Failures
}

// ServiceFields declares one service, which callers reach under the path /<name>/.
type ServiceFields struct {
	Name              string
	Pool              string
	Deadline          clock.Millis // for requests that set no deadline
	MaxDeadline       clock.Millis // longest deadline that a request may set
	Urgency           Urgency      // for requests that set no urgency
	IdempotentMethods []string     // nil for the default: GET, HEAD, OPTIONS, PUT and DELETE
}

// TeamFields declares one team and its quotas.
type TeamFields struct {
	Name        string
	Contact     string
	Callers     []string // names of callers that belong to the team
	MaxInFlight int      // concurrent requests across all entry instances; 0 for no limit
	Cores       int      // quota of all running jobs together; with 0, a configuration with a job of the team is invalid
	MemoryMB    int      // quota of all running jobs together; with 0, a configuration with a job of the team is invalid
}

// JobFields declares one job.
type JobFields struct {
	Name         string
	Team         string
	Pool         string
	Urgency      Urgency
	RunOnce      bool // whether the job is never started a second time
	Cores        int
	MemoryMB     int
	Accelerators int
	RunTime      clock.Millis // expected run time as declared; can differ widely from the actual one
	Attempts     int          // attempts before the job is parked: ended without success and not started again
	Command      []string
}

// Configuration is one immutable configuration of a user's fleet.
type Configuration struct {
	f        Fields
	pools    map[string]Pool
	services map[string]Service
	teams    map[string]Team
	callers  map[string]string // team name by caller name
	jobs     map[string]Job

	digestOnce sync.Once
	digest     string
}

// New returns the configuration with these fields, without validating them (see Check). The fields must not be changed
// afterwards.
func New(f Fields) *Configuration {
	c := &Configuration{f: f, pools: map[string]Pool{}, services: map[string]Service{}, teams: map[string]Team{},
		callers: map[string]string{}, jobs: map[string]Job{}}
	for _, p := range f.Pools {
		c.pools[p.Name] = Pool{p}
	}
	for _, s := range f.Services {
		c.services[s.Name] = Service{s}
	}
	for _, t := range f.Teams {
		c.teams[t.Name] = Team{t}
		for _, caller := range t.Callers {
			c.callers[caller] = t.Name
		}
	}
	for _, j := range f.Jobs {
		c.jobs[j.Name] = Job{j}
	}
	return c
}

// Fields returns the values; their slices are shared and must not be changed.
func (c *Configuration) Fields() Fields { return c.f }

// Name returns the name of the user's fleet.
func (c *Configuration) Name() string { return c.f.Name }

// Weights returns the relative importance of each planning objective, in percent.
func (c *Configuration) Weights() Weights { return c.f.Weights }

// Pools returns all pools, in the order of the fields.
func (c *Configuration) Pools() []Pool {
	return convertEach(c.f.Pools, func(f PoolFields) Pool { return Pool{f} })
}

// Services returns all services, in the order of the fields.
func (c *Configuration) Services() []Service {
	return convertEach(c.f.Services, func(f ServiceFields) Service { return Service{f} })
}

// Teams returns all teams, in the order of the fields.
func (c *Configuration) Teams() []Team {
	return convertEach(c.f.Teams, func(f TeamFields) Team { return Team{f} })
}

// Jobs returns all jobs, in the order of the fields.
func (c *Configuration) Jobs() []Job {
	return convertEach(c.f.Jobs, func(f JobFields) Job { return Job{f} })
}

// Zones returns the availability zones, in the order of the fields.
func (c *Configuration) Zones() []ZoneFields { return c.f.Zones }

// Pool returns the pool of that name.
func (c *Configuration) Pool(name string) (Pool, bool) { p, ok := c.pools[name]; return p, ok }

// Service returns the service of that name.
func (c *Configuration) Service(name string) (Service, bool) { s, ok := c.services[name]; return s, ok }

// Team returns the team of that name.
func (c *Configuration) Team(name string) (Team, bool) { t, ok := c.teams[name]; return t, ok }

// Job returns the job of that name.
func (c *Configuration) Job(name string) (Job, bool) { j, ok := c.jobs[name]; return j, ok }

// TeamOf returns the team of a caller, or false for a caller that belongs to no team.
func (c *Configuration) TeamOf(caller string) (Team, bool) { return c.Team(c.callers[caller]) }

// Pool is one pool of instances.
type Pool struct{ f PoolFields }

// Fields returns a copy of the values.
func (p Pool) Fields() PoolFields { return p.f }

// Name returns the name of the pool.
func (p Pool) Name() string { return p.f.Name }

// Contact returns the contact of the operators who are responsible for the pool.
func (p Pool) Contact() string { return p.f.Contact }

// Instances returns the number of workers in the pool.
func (p Pool) Instances() int { return p.f.Instances }

// Capacity returns the minimum number of serving workers at any time.
func (p Pool) Capacity() int { return p.f.Capacity }

// MaxUnavailable returns the maximum number of unavailable workers, planned and failed together.
func (p Pool) MaxUnavailable() int { return p.f.MaxUnavailable }

// Spare reports whether the pool lends its workers to other pools.
func (p Pool) Spare() bool { return p.f.Spare }

// Slots returns the number of concurrent requests per worker.
func (p Pool) Slots() int { return p.f.Slots }

// Connections returns the number of connections that one worker accepts.
func (p Pool) Connections() int { return p.f.Connections }

// MaxInFlight returns the limit of concurrent requests in the whole pool, or 0 for none besides the slots.
func (p Pool) MaxInFlight() int { return p.f.MaxInFlight }

// QueueLength returns the maximum number of requests that wait at one entry instance.
func (p Pool) QueueLength() int { return p.f.QueueLength }

// QueueWait returns the maximum waiting time of a request, in milliseconds.
func (p Pool) QueueWait() clock.Millis { return p.f.QueueWait }

// MaintenancePeriod returns the period in which every instance is maintained once, in milliseconds.
func (p Pool) MaintenancePeriod() clock.Millis { return p.f.MaintenancePeriod }

// Survive returns the simultaneous failures that the pool must survive without falling below its capacity.
func (p Pool) Survive() Failures { return p.f.Survive }

// Service is one service that callers send requests to.
type Service struct{ f ServiceFields }

// Fields returns a copy of the values.
func (s Service) Fields() ServiceFields { return s.f }

// Name returns the name of the service.
func (s Service) Name() string { return s.f.Name }

// Pool returns the name of the pool that runs the service.
func (s Service) Pool() string { return s.f.Pool }

// Deadline returns the deadline for requests that set none, in milliseconds.
func (s Service) Deadline() clock.Millis { return s.f.Deadline }

// MaxDeadline returns the longest deadline that a request may set, in milliseconds.
func (s Service) MaxDeadline() clock.Millis { return s.f.MaxDeadline }

// Urgency returns the urgency for requests that set none.
func (s Service) Urgency() Urgency { return s.f.Urgency }

// Idempotent reports whether requests with the HTTP method may run more than once.
func (s Service) Idempotent(method string) bool {
	methods := s.f.IdempotentMethods
	if methods == nil {
		methods = defaultIdempotentMethods
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}

var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}

// Team is one team with its quotas.
type Team struct{ f TeamFields }

// Fields returns a copy of the values.
func (t Team) Fields() TeamFields { return t.f }

// Name returns the name of the team.
func (t Team) Name() string { return t.f.Name }

// MaxInFlight returns the quota of concurrent requests across all entry instances, or 0 for no limit.
func (t Team) MaxInFlight() int { return t.f.MaxInFlight }

// Cores returns the quota of cores for all running jobs of the team together.
func (t Team) Cores() int { return t.f.Cores }

// MemoryMB returns the quota of memory for all running jobs of the team together.
func (t Team) MemoryMB() int { return t.f.MemoryMB }

// Job is one declared job.
type Job struct{ f JobFields }

// Fields returns a copy of the values.
func (j Job) Fields() JobFields { return j.f }

// Name returns the name of the job.
func (j Job) Name() string { return j.f.Name }

func convertEach[F, T any](fields []F, convert func(F) T) []T {
	converted := make([]T, len(fields))
	for i, f := range fields {
		converted[i] = convert(f)
	}
	return converted
}

package batch

import (
	"strings"

	"magnoliaferry/clock"
)

// Queue is where callers hand in jobs.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // of the request path, ends with a slash
	Pool        string // whose workers run the jobs
	Priority    int    // 0 comes first
	MaxAttempts int    // runs of one task that may end as failed
	Stretch     float64
	Objective   clock.Millis // added to Stretch times the longest chain of work
	Advised     bool         // only workers that the advisor names may run a step
}

// Pool is a set of workers as the configuration declares it.
type Pool struct {
	Name    string
	Standby bool // the machines are off and not paid for
}

// Configuration is one version of the operators' configuration; it is not changed once it is built.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
}

// Match returns the queue whose prefix is the longest one that the path begins with.
func (c *Configuration) Match(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns the queue of that name.
func (c *Configuration) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// Pool returns the pool of that name.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i], true
		}
	}
	return nil, false
}

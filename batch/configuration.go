package batch

import "magnoliaferry/clock"

// Queue accepts jobs from callers.
type Queue struct {
	Name        string
	Host        string
	Prefix      string       // of the request path; ends with a slash
	Pool        string       // whose workers run the jobs
	Priority    int          // 0 is the most urgent one
	MaxAttempts int          // the job fails once any one of its tasks has failed this often; 0 counts as 1
	Stretch     float64      // factor for the critical path (longest path through the steps by run time), see Objective
	Objective   clock.Millis // a job is to be completed within Stretch times its critical path, plus this; 0 adds nothing
	Advised     bool         // only workers that the advisor names may run a step
	Public      bool         // callers need no key, and its jobs belong to no customer
}

// Address is where callers reach a queue. A queue that is renamed keeps it.
type Address struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"` // of the request path
}

// Address returns where callers reach the queue.
func (q *Queue) Address() Address { return Address{q.Host, q.Prefix} }

// Terms are what jobs need of their queue until they end, also after the queue was removed.
type Terms struct {
	Priority    int          `json:"priority,omitempty"`
	MaxAttempts int          `json:"max-attempts,omitempty"`
	Stretch     float64      `json:"stretch,omitempty"`
	Objective   clock.Millis `json:"objective,omitempty"`
	Advised     bool         `json:"advised,omitempty"`
}

// Terms returns the terms of the queue's jobs.
func (q *Queue) Terms() Terms {
	return Terms{Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Objective: q.Objective, Advised: q.Advised}
}

// Pool is a set of workers as the configuration declares it.
type Pool struct {
	Name    string
	Standby bool // the machines are off and cost nothing until they are moved to another pool
}

// Limits are the limits of the callers' requests; 0: not given.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout clock.Millis // until the headers are complete
	IdleTimeout   clock.Millis // of a connection between two requests
}

// Configuration is one version of the operators' configuration. It must not be changed after it has been built.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits

	customers []Customer
	byName    map[string]*Customer
	byKey     map[KeyHash]*Customer
	queues    queueIndex
}

// Match returns the queue of the host with the longest prefix that the path begins with.
func (c *Configuration) Match(host, path string) (*Queue, bool) {
	q := c.queueIndex().match(host, path)
	return q, q != nil
}

// Queue returns the queue with the given name.
func (c *Configuration) Queue(name string) (*Queue, bool) {
	q, ok := c.queueIndex().byName[name]
	return q, ok
}

// QueueOf returns the queue that serves the jobs accepted by a queue of the given name and address, which an earlier version of the
// configuration may have declared: the one that has the address now, otherwise the one that has the name. The address is zero if it is not
// known.
func (c *Configuration) QueueOf(name string, address Address) (*Queue, bool) {
	if q := c.queueIndex().byAddress[address]; q != nil && address != (Address{}) {
		return q, true
	}
	return c.Queue(name)
}

// Pool returns the pool with the given name.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i], true
		}
	}
	return nil, false
}

package batch

import (
	"slices"
	"sync"
)

// queueIndex finds queues without a scan of all: the queue of each call and of each job that is counted is looked up, and a configuration can
// have over a thousand. Of queues with the same address or name, the first one counts.
type queueIndex struct {
	once      sync.Once
	byAddress map[Address]*Queue
	byName    map[string]*Queue
	lengths   []int // of the path prefixes, longest first
}

// queueIndex returns the index of the queues. It is built at the first call.
func (c *Configuration) queueIndex() *queueIndex {
	x := &c.queues
	x.once.Do(func() {
		x.byAddress, x.byName = make(map[Address]*Queue, len(c.Queues)), make(map[string]*Queue, len(c.Queues))
		for i := range c.Queues {
			q := &c.Queues[i]
			if x.byAddress[q.Address()] == nil {
				x.byAddress[q.Address()] = q
			}
			if x.byName[q.Name] == nil {
				x.byName[q.Name] = q
			}
			x.lengths = append(x.lengths, len(q.Prefix))
		}
		slices.Sort(x.lengths)
		x.lengths = slices.Compact(x.lengths)
		slices.Reverse(x.lengths)
	})
	return x
}

// match returns the queue of the host with the longest prefix that the path begins with, or nil.
func (x *queueIndex) match(host, path string) *Queue {
	for _, length := range x.lengths {
		if length > len(path) {
			continue
		}
		if q := x.byAddress[Address{host, path[:length]}]; q != nil {
			return q
		}
	}
	return nil
}

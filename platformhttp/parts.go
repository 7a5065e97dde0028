package platformhttp

import (
	"context"
	"slices"

	"magnoliaferry/provider"
)

// table implements provider.Table.
type table struct{ c *Client }

// Read implements provider.Table. The value of a row that has not changed since the last read is not transferred: a poll once a
// second would otherwise transfer each value about 86,400 times a day.
func (t table) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	cached := t.c.cached(keys)
	call := Call{Keys: keys}
	for _, r := range cached {
		call.Known = append(call.Known, KnownFields{r.Version(), r.Operation()})
	}
	answer, err := t.c.call(ctx, PathRead, false, call)
	if err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(keys) {
		return nil, provider.ErrUnavailable.New("%s: %d rows for %d keys", PathRead, len(answer.Rows), len(keys))
	}
	read := rows(answer)
	for i, r := range answer.Rows {
		if r.Key != keys[i] {
			return nil, provider.ErrUnavailable.New("%s: row %q in place of %q", PathRead, r.Key, keys[i])
		}
		if !r.Same {
			continue
		}
		if cached == nil || cached[i].Version() == 0 || cached[i].Version() != r.Version || cached[i].Operation() != r.Operation {
			return nil, provider.ErrUnavailable.New("%s: row %q is not the one that is held", PathRead, r.Key)
		}
		read[i] = cached[i]
	}
	t.c.cache(read)
	return read, nil
}

// Scan implements provider.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	answer, err := t.c.call(ctx, PathScan, false, Call{Prefix: prefix, After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	return rows(answer), nil
}

// Commit implements provider.Table.
func (t table) Commit(ctx context.Context, tx provider.Transaction) error {
	call := Call{Operation: tx.Operation()}
	for _, w := range tx.Writes() {
		call.Writes = append(call.Writes,
			WriteFields{Kind: w.Kind(), Key: w.Key(), Value: w.Value(), IfVersion: w.IfVersion()})
	}
	_, err := t.c.call(ctx, PathCommit, true, call)
	return err
}

func rows(a Answer) []provider.Row {
	list := make([]provider.Row, len(a.Rows))
	for i, f := range a.Rows {
		list[i] = f.Row()
	}
	return list
}

const (
	// maxCachedRows limits the rows that a client caches. A process polls three rows, and four for each pool that it plans:
	// with 31 pools 127 rows.
	maxCachedRows = 512
	// maxCachedValueBytes limits the value of a cached row in bytes.
	maxCachedValueBytes = 64 << 10
)

// cached returns the cached rows in the order of the keys, with zero rows for those that are not cached, or nil if none is.
func (c *Client) cached(keys []string) []provider.Row {
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	known := false
	cached := make([]provider.Row, len(keys))
	for i, key := range keys {
		cached[i] = c.rows[key]
		known = known || cached[i].Version() > 0
	}
	if !known {
		return nil
	}
	return cached
}

// cache stores rows in the cache. If it is full, an arbitrary row is evicted, because the next poll caches a polled row again. Rows
// that don't exist and large rows are not cached.
func (c *Client) cache(read []provider.Row) {
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	if c.rows == nil {
		c.rows = map[string]provider.Row{}
	}
	for _, r := range read {
		if r.Version() == 0 || len(r.Value()) > maxCachedValueBytes {
			delete(c.rows, r.Key())
			continue
		}
		if _, known := c.rows[r.Key()]; !known && len(c.rows) >= maxCachedRows {
			for key := range c.rows {
				delete(c.rows, key)
				break
			}
		}
		c.rows[r.Key()] = r
	}
}

type objects struct{ c *Client }

// Put implements provider.ObjectStore.
func (o objects) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.c.call(ctx, PathObjectPut, true, Call{Name: name, Body: body})
	return err
}

// Get implements provider.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	answer, err := o.c.call(ctx, PathObjectGet, false, Call{Name: name})
	return answer.Body, err
}

type instances struct{ c *Client }

// maxCachedLists limits the lists that a client caches: those of its own zone and of all zones, and one more.
const maxCachedLists = 3

// cachedList is the list of a zone that was read last; it must not be modified.
type cachedList struct {
	digest string
	list   []provider.Instance
}

// List implements provider.Instances. A list that has not changed is not transferred again: at the target size the list of a
// zone has about 485 workers and 100 KB, and is polled once a second.
func (i instances) List(ctx context.Context, zone string) ([]provider.Instance, error) {
	c := i.c
	c.cacheMu.Lock()
	cached := c.lists[zone]
	c.cacheMu.Unlock()
	answer, err := c.call(ctx, PathList, false, Call{Zone: zone, Digest: cached.digest})
	if err != nil {
		return nil, err
	}
	if answer.Same {
		if cached.digest == "" {
			return nil, provider.ErrUnavailable.New("%s: the list is left out although none is held", PathList)
		}
		return slices.Clone(cached.list), nil
	}
	list := make([]provider.Instance, len(answer.Instances))
	for n, f := range answer.Instances {
		list[n] = provider.NewInstance(f)
	}
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	if _, known := c.lists[zone]; c.lists == nil || (!known && len(c.lists) >= maxCachedLists) {
		c.lists = map[string]cachedList{}
	}
	c.lists[zone] = cachedList{ListDigest(list), slices.Clone(list)}
	return list, nil
}

type tasks struct{ c *Client }

// Start implements provider.Tasks.
func (t tasks) Start(ctx context.Context, request provider.TaskRequest) error {
	fields := request.Fields()
	_, err := t.c.call(ctx, PathTaskStart, true, Call{Task: &fields})
	return err
}

// Checkpoint implements provider.Tasks.
func (t tasks) Checkpoint(ctx context.Context, id string) error {
	_, err := t.c.call(ctx, PathCheckpoint, true, Call{ID: id})
	return err
}

// Throttle implements provider.Tasks.
func (t tasks) Throttle(ctx context.Context, id string, percent int) error {
	_, err := t.c.call(ctx, PathThrottle, true, Call{ID: id, Percent: percent})
	return err
}

// Stop implements provider.Tasks.
func (t tasks) Stop(ctx context.Context, id string) error {
	_, err := t.c.call(ctx, PathTaskStop, true, Call{ID: id})
	return err
}

// Usage implements provider.Tasks.
func (t tasks) Usage(ctx context.Context, instance string) ([]provider.TaskUsage, error) {
	answer, err := t.c.call(ctx, PathUsage, false, Call{ID: instance})
	if err != nil {
		return nil, err
	}
	usage := make([]provider.TaskUsage, len(answer.Usage))
	for i, f := range answer.Usage {
		usage[i] = provider.NewTaskUsage(f)
	}
	return usage, nil
}

type maintenance struct{ c *Client }

// Drain implements provider.Maintenance.
func (m maintenance) Drain(ctx context.Context, instance string) error {
	_, err := m.c.call(ctx, PathDrain, true, Call{ID: instance})
	return err
}

// Reboot implements provider.Maintenance.
func (m maintenance) Reboot(ctx context.Context, instance string) error {
	_, err := m.c.call(ctx, PathReboot, true, Call{ID: instance})
	return err
}

// Status implements provider.Maintenance.
func (m maintenance) Status(ctx context.Context, instance string) (provider.MaintenanceStatus, error) {
	answer, err := m.c.call(ctx, PathStatus, false, Call{ID: instance})
	return answer.Status, err
}

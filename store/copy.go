package store

import "sync"

// TableCache is the copy of a small table.
type TableCache struct {
	// OnRows, if set, receives every change, after the copy has it.
	OnRows func(rows []Row)

	mu   sync.RWMutex
	rows map[[2]string]Row // by part and key
}

// Load replaces the copy by the rows of the whole table. Rows that are gone are told as deleted.
func (c *TableCache) Load(rows []Row) {
	c.mu.Lock()
	before := c.rows
	c.rows = make(map[[2]string]Row, len(rows))
	changes := rows
	for _, row := range rows {
		c.rows[[2]string{row.Part, row.Key}] = row
	}
	for name, row := range before {
		if _, ok := c.rows[name]; !ok {
			row.Deleted, row.Value = true, nil
			changes = append(changes, row)
		}
	}
	c.mu.Unlock()
	if c.OnRows != nil {
		c.OnRows(changes)
	}
}

// Apply takes changes in.
func (c *TableCache) Apply(rows []Row) {
	c.mu.Lock()
	if c.rows == nil {
		c.rows = map[[2]string]Row{}
	}
	for _, row := range rows {
		name := [2]string{row.Part, row.Key}
		if row.Deleted {
			delete(c.rows, name)
		} else if c.rows[name].Version < row.Version {
			c.rows[name] = row
		}
	}
	c.mu.Unlock()
	if c.OnRows != nil {
		c.OnRows(rows)
	}
}

// Row returns one row.
func (c *TableCache) Row(part, key string) (Row, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	row, ok := c.rows[[2]string{part, key}]
	return row, ok
}

// Rows returns the rows of a part that are of a kind.
func (c *TableCache) Rows(part, kind string) []Row {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var all []Row
	for name, row := range c.rows {
		if k, _ := SplitKey(row.Key); k == kind && name[0] == part {
			all = append(all, row)
		}
	}
	return all
}

package standin

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// HeaderDeadline carries how long a caller waits for the answer of an instance, in milliseconds.
const HeaderDeadline = "Magnoliaferry-Request-Deadline"

// Customer is a customer in the operators' configuration, with keys as its callers send them.
type Customer struct {
	Name   string
	Keys   []string
	Weight float64
	Cap    batch.Resources // of which the processor counts; 0: no limit
}

// Configure writes the operators' configuration: the pools, a standby pool whose machines are off, the queues and the customers. The
// platform's format calls pools services, queues routes and customers tenants.
func (t *Table) Configure(version int64, pools []string, standby string, queues []batch.Queue, customers ...Customer) {
	services := []map[string]any{{"name": standby, "standby": true}}
	for _, pool := range pools {
		services = append(services, map[string]any{"name": pool})
	}
	routes := []map[string]any{}
	for i := range queues {
		q := &queues[i]
		routes = append(routes, map[string]any{"name": q.Name, "host": q.Host, "prefix": q.Prefix, "service": q.Pool,
			"priority": q.Priority, "maxAttempts": q.MaxAttempts, "stretch": q.Stretch, "targetCompletionMs": q.Objective, "publicAccess": q.Public})
	}
	tenants := []map[string]any{}
	for i := range customers {
		c := &customers[i]
		tenants = append(tenants, map[string]any{"name": c.Name, "apiKeys": c.Keys, "weight": c.Weight, "cap": map[string]int{"cpu": c.Cap.CPU}})
	}
	t.Put(tableOperator, "config", encodeJSON(map[string]any{"version": version, "services": services, "routes": routes, "tenants": tenants}))
}

// JobBody returns the body of a caller's request that submits a job whose tasks do the work. Of the steps it includes the count,
// the memory, the steps to wait for, and how many long-running tasks may be missing.
func JobBody(work Work, steps ...batch.Step) []byte {
	var list []map[string]any
	for i := range steps {
		s := &steps[i]
		list = append(list, map[string]any{"count": s.Count, "cpu": work.CPU, "memMb": s.Need.MemoryMB, "after": s.After,
			"estimatedMs": clock.Millis(work.Length), "longRunning": work.Length == 0, "mayMiss": s.MayMiss})
	}
	return encodeJSON(map[string]any{"spec": work.Spec(), "steps": list})
}

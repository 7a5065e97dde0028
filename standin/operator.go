package standin

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// HeaderDeadline carries how long a caller waits for the answer of an instance, in milliseconds.
const HeaderDeadline = "Magnoliaferry-Request-Deadline"

// Configure writes the operators' configuration: the pools, a standby pool whose machines are off, and the queues. The platform's
// format calls pools services and queues routes.
func (t *Table) Configure(version int64, pools []string, standby string, queues []batch.Queue) {
	services := []map[string]any{{"name": standby, "standby": true}}
	for _, pool := range pools {
		services = append(services, map[string]any{"name": pool})
	}
	routes := []map[string]any{}
	for i := range queues {
		q := &queues[i]
		routes = append(routes, map[string]any{"name": q.Name, "host": q.Host, "prefix": q.Prefix, "service": q.Pool,
			"priority": q.Priority, "maxAttempts": q.MaxAttempts, "stretch": q.Stretch, "targetCompletionMs": q.Objective})
	}
	t.Put(tableOperator, "config", encodeJSON(map[string]any{"version": version, "services": services, "routes": routes}))
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

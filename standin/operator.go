package standin

import (
	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// HeaderDeadline tells an instance, in milliseconds, how long a caller waits for the answer.
const HeaderDeadline = "Magnoliaferry-Request-Deadline"

// Configure puts the operators' configuration: the pools, of which standby is off, and the queues.
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

// JobBody returns the body with which a caller hands in a job whose tasks do the work. Of the steps it tells the count, the need,
// what they wait for, and how many tasks that last may be away.
func JobBody(work Work, steps ...batch.Step) []byte {
	var list []map[string]any
	for i := range steps {
		s := &steps[i]
		list = append(list, map[string]any{"count": s.Count, "cpu": work.CPU, "memMb": s.Need.MemoryMB, "after": s.After,
			"estimatedMs": clock.Millis(work.Length), "longRunning": work.Length == 0, "mayMiss": s.MayMiss})
	}
	return encodeJSON(map[string]any{"spec": work.Spec(), "steps": list})
}

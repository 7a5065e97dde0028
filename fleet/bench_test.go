package fleet

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// BenchmarkPass measures the cost of a pass to the process without the platform: from the known records to the steps
// of one pool of 31 and of all of them.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, pools, held int }{{50, 5, 5}, {1600, 31, 1}, {16000, 31, 1}, {16000, 31, 31}} {
		tf := newTestFleet(0, 1)
		l := tf.loops[0]
		a := l.Assignments
		a.entries, a.listed = map[string]instanceEntry{}, map[string]provider.Instance{}
		tf.fields.Pools = nil
		for p := range size.pools {
			n := size.workers / size.pools
			tf.fields.Pools = append(tf.fields.Pools, config.PoolFields{Name: fmt.Sprintf("p%02d", p), Instances: n,
				Capacity: n * 8 / 10, MaxUnavailable: max(n/10, 1), Spare: p == 0, Slots: 8, MaintenancePeriod: 28 * clock.Day,
				Survive: config.Failures{Racks: 1}})
			for k := range n {
				f := provider.InstanceFields{ID: fmt.Sprintf("i-%02d-%05d", p, k), Zone: fmt.Sprintf("zone-%02d", k%33),
					Rack: fmt.Sprint(k / 132), Role: provider.RoleWorker, State: provider.Live}
				a.listed[f.ID] = provider.NewInstance(f)
				a.entries[f.ID] = instanceEntry{record: planner.RecordFields{ID: f.ID, Pool: fmt.Sprintf("p%02d", p), Zone: f.Zone,
					Rack: f.Rack, Phase: planner.Serving, Maintained: tf.clock.Now()}}
			}
		}
		configuration := config.New(tf.fields)
		b.Run(fmt.Sprintf("workers=%d/held=%d", size.workers, size.held), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				state := l.state(configuration, a.instances(l.Healthy))
				l.trends = planner.Trends(state)
				for p := range size.held {
					planner.PlanPool(state, fmt.Sprintf("p%02d", p))
				}
			}
		})
	}
}

package planner

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// benchmarkState spreads the workers over pools, 33 zones and racks of four. Every pool has a running wave and demand.
func benchmarkState(workers, pools int) Fields {
	f := Fields{Now: clock.Hour, Wall: wallTime, Waves: map[string]WaveFields{}, Demand: map[string]int{}, Trends: map[string]Trend{}}
	var declared []config.PoolFields
	for i := range pools {
		name, size := fmt.Sprintf("pool-%02d", i), workers/pools
		declared = append(declared, config.PoolFields{Name: name, Instances: size, Capacity: size * 8 / 10,
			MaxUnavailable: max(size/10, 1), Spare: i == 0, Slots: 8, MaintenancePeriod: 28 * clock.Day,
			Survive: config.Failures{Racks: 1, Zones: 1}})
		f.Waves[name] = WaveFields{ID: "w", Pool: name, State: WaveRunning, Started: wallTime - clock.Hour, Resumed: wallTime - clock.Hour}
		f.Demand[name] = size * 5
		for k := range size {
			f.Instances = append(f.Instances, InstanceFields{RecordFields: RecordFields{ID: fmt.Sprintf("i-%02d-%05d", i, k),
				Pool: name, Zone: fmt.Sprintf("zone-%02d", k%33), Rack: fmt.Sprintf("r%03d", k/132), Phase: Serving,
				Maintained: wallTime - clock.Day}, Age: clock.Day, Listed: true, Healthy: true})
		}
	}
	f.Configuration = config.New(config.Fields{Weights: fastRollOut, Pools: declared})
	return f
}

// BenchmarkPass measures the pass of a process that plans all pools, up to the size of one region.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, pools int }{{50, 5}, {1600, 31}, {16000, 31}} {
		f := benchmarkState(size.workers, size.pools)
		New(f) // sorts the instances in place, so that the passes find them sorted as in the control loop
		b.Run(fmt.Sprint(size.workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := New(f)
				f.Trends = Trends(s)
				Plan(s)
			}
		})
	}
}

// BenchmarkPassOfOnePool measures the pass of a process that holds the lease of one pool of 31.
func BenchmarkPassOfOnePool(b *testing.B) {
	for _, workers := range []int{1600, 16000} {
		f := benchmarkState(workers, 31)
		New(f)
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := New(f)
				f.Trends = Trends(s)
				PlanPool(s, "pool-07")
			}
		})
	}
}

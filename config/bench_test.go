package config

import (
	"fmt"
	"testing"
)

// targetSizeConfiguration returns a configuration of the target fleet size: 33 zones, 31 pools, 290 teams and 290
// jobs.
func targetSizeConfiguration() *Configuration {
	f := Fields{Name: "target", Weights: Weights{25, 25, 25, 25}}
	for i := range 33 {
		f.Zones = append(f.Zones, ZoneFields{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i%11)})
	}
	for i := range 31 {
		name := fmt.Sprintf("pool-%d", i)
		f.Pools = append(f.Pools, PoolFields{Name: name, Contact: name + "@example.org", Instances: 516, Capacity: 450,
			MaxUnavailable: 30, Slots: 8, Connections: 64, Cores: 16, MemoryMB: 32 * 1024, RackSize: 4, QueueLength: 200,
			QueueWait: DefaultQueueWait, MaintenancePeriod: DefaultMaintenancePeriod, Survive: Failures{Racks: 1}})
		f.Services = append(f.Services, ServiceFields{Name: name, Pool: name, Deadline: DefaultDeadline,
			MaxDeadline: DefaultMaxDeadline, Urgency: Normal})
	}
	for i := range 290 {
		name := fmt.Sprintf("team-%d", i)
		f.Teams = append(f.Teams, TeamFields{Name: name, Contact: name + "@example.org", Callers: []string{name},
			MaxInFlight: 100, Cores: 64, MemoryMB: 128 * 1024})
		f.Jobs = append(f.Jobs, JobFields{Name: "job-" + name, Team: name, Pool: "pool-1", Urgency: Batch, Cores: 4,
			MemoryMB: 8 * 1024, RunTime: DefaultRunTime, Attempts: 5, Command: []string{"run", name}})
	}
	return New(New(f).Fields())
}

func BenchmarkDecodeTargetSize(b *testing.B) {
	body := Encode(targetSizeConfiguration())
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := Decode("x", body); faults.Len() > 0 {
			b.Fatal(faults)
		}
	}
	b.ReportMetric(float64(len(body)), "body-bytes")
}

func BenchmarkApplyTargetSize(b *testing.B) {
	from := targetSizeConfiguration()
	f := from.Fields()
	f.Pools = append([]PoolFields(nil), f.Pools...)
	f.Pools[3].QueueLength = 100
	d := NewDelta(from, New(f))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Apply(from, d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(marshal(d))), "delta-bytes")
}

package entry

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/memory"
)

// BenchmarkRestart measures the time from the start of an entry instance to its first served request, or, without the
// platform, to its first configuration in force. The workers and their pool are already in the platform's tables.
func BenchmarkRestart(b *testing.B) {
	for _, bench := range []struct {
		name        string
		peer        bool     // another entry instance of the zone runs and has the configuration in force
		failing     []string // operations of the platform that fail
		partitioned bool     // the new entry instance cannot reach the platform
	}{
		{"table and object store, alone", false, nil, false},
		{"table and object store, with a peer", true, nil, false},
		{"table, body from a peer", true, []string{memory.StepObjectGet}, false},
		{"no platform, configuration from a peer", true, nil, true},
	} {
		b.Run(bench.name, func(b *testing.B) {
			f := newFleet(b, 2)
			first := f.start("first", "a", nil)
			f.configureAndServe()
			if !bench.peer {
				first.stop()
			}
			for _, step := range bench.failing {
				f.faults.Always(step, "down", 0)
			}
			var total, longest clock.Millis
			for n := 0; b.Loop(); n++ {
				name := fmt.Sprint("e", n)
				if bench.partitioned {
					f.faults.Partition(name)
				}
				started := f.clock.Now()
				r := f.start(name, "a", func(i *Instance) { i.ControlPeriod = 0 })
				if bench.partitioned {
					f.waitUntil(func() bool { return r.Version() > 0 })
				} else {
					f.waitUntil(r.serves)
				}
				took := f.clock.Now() - started
				total, longest = total+took, max(longest, took)
				r.stop()
			}
			b.ReportMetric(float64(total)/float64(b.N), "mean-ms")
			b.ReportMetric(float64(longest), "longest-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

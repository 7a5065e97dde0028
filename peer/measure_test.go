package peer

import (
	"fmt"
	"sort"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

// BenchmarkSpreading measures, in fake time, how long it takes until a version is in force everywhere, and what each
// node sends and receives meanwhile. Versions are accepted at a rate of 27,000 a day by varying nodes; deltas have 400
// bytes and bodies 100 KB. There are at least 3 zones, with up to 8 members each. Each node polls three rows: the
// configuration, the roster, and a row of 64 changes that changes once a minute.
func BenchmarkSpreading(b *testing.B) {
	for _, pushOnly := range []bool{false, true} {
		for _, n := range []int{3, 9, 27, 81, 264} {
			b.Run(fmt.Sprintf("push-only=%v/nodes=%d", pushOnly, n), func(b *testing.B) {
				for b.Loop() {
					measure(b, n, pushOnly)
				}
			})
		}
	}
}

const (
	measuredVersions = 60
	betweenVersions  = clock.Day / 27_000
)

func measure(b *testing.B, n int, pushOnly bool) {
	w := newCluster(b, 31, max(3, (n+7)/8))
	w.codec = fakeCodec{padding: 400, bodyBytes: 100_000}
	for i := range n {
		s := w.add(i, 1_764_800_000_000)
		s.locked(func() { s.Rows = map[string]func(provider.Row){"changes/" + s.Zone: func(provider.Row) {}} })
	}
	changes := func() {
		for z := range w.zones {
			w.put("changes/"+w.zone(z), make([]byte, 64*60))
		}
	}
	changes()
	w.until(120*clock.Second, "every node lists all others", w.all(seesAlive(n-1)))
	w.until(10*clock.Second, "all in the roster", w.all(usable))
	w.until(30*clock.Second, "version 1 in force", w.all(inForce(w.submit(w.order[0]))))
	w.until(900*clock.Second, "the updates of the start are sent", w.all(func(s *simNode) bool {
		return len(s.members.queuedUpdates) == 0
	}))
	if pushOnly {
		for z := range w.zones {
			w.faults.Partition(w.zone(z))
		}
	}
	traffic := func(s *simNode) [3]int { return [3]int{s.link.Calls(), s.link.Sent() + s.link.Received(), s.table} }
	before := map[string][3]int{}
	for _, s := range w.order {
		before[s.ID] = traffic(s)
	}
	started := w.clock.Now()
	var times []int
	for i := range measuredVersions {
		if i%20 == 0 {
			changes()
		}
		accepted := w.clock.Now()
		v := w.submit(w.order[w.random.IntN(n)])
		for w.clock.Advance(1); !w.all(inForce(v))(); w.clock.Advance(1) {
		}
		times = append(times, int(w.clock.Now()-accepted))
		w.run(max(0, betweenVersions-(w.clock.Now()-accepted)))
	}
	period := float64(w.clock.Now()-started) / 1000
	var mean [3]float64
	most := 0.0
	for _, s := range w.order {
		now, old := traffic(s), before[s.ID]
		for i := range mean {
			mean[i] += float64(now[i]-old[i]) / period / float64(n)
		}
		most = max(most, float64(now[1]-old[1]+now[2]-old[2])/period)
	}
	sort.Ints(times)
	b.ReportMetric(float64(times[len(times)/2]), "ms-median")
	b.ReportMetric(float64(times[len(times)-1]), "ms-max")
	for i, name := range []string{"calls/s", "peer-B/s", "table-B/s"} {
		b.ReportMetric(mean[i], name)
	}
	b.ReportMetric(most, "most-B/s")
	b.ReportMetric(0, "ns/op")
}

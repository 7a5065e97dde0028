package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// BenchmarkPlanRackWaits measures one call of Plan for a pool of 348 workers on four racks, one of which is full, while tasks of jobs that
// all name it wait for it although the other racks have room.
func BenchmarkPlanRackWaits(b *testing.B) {
	for _, step := range []batch.Step{
		{Count: 12, Need: cpu(1000), Estimate: 1000, Rack: "r0"},
		{Count: 300, Need: cpu(1000), Estimate: 1000, Rack: "r0"},
		{Count: 12, Need: cpu(8000), Estimate: 1000, Gang: true, TightlyCoupled: true},
	} {
		b.Run(fmt.Sprintf("tasks=%d,gang=%v", step.Count, step.Gang), func(b *testing.B) { benchmarkRackWaits(b, step) })
	}
}

func benchmarkRackWaits(b *testing.B, step batch.Step) {
	s := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
	s.RemoteFactor = testRemoteFactor
	queue := testQueue
	queue.Pool = testPool
	s.Configure(&batch.Configuration{Version: 1, Queues: []batch.Queue{queue}})
	now := clock.Millis(1000)
	s.Tick(now, now)
	s.SetToken(1)
	const workers, racks, cores = 348, 4, 8
	for i := range workers {
		s.SetWorker(batch.Worker{ID: fmt.Sprintf("w%d", i), Pool: testPool, Address: "a", Incarnation: 1,
			Capacity: batch.Resources{CPU: cores * 1000, MemoryMB: 32000}, Labels: []string{"a", fmt.Sprintf("r%d", i%racks)}})
	}
	plan := func() {
		s.Plan()
		for _, order := range s.Orders() {
			switch o := order.(type) {
			case Hold:
				s.HoldAnswered(o, Listing{Reply: Reply{Outcome: Accepted, Clock: now, Incarnation: 1}}, now)
			case Start:
				s.StartAnswered(o, Reply{Outcome: Accepted, Clock: now, Incarnation: 1})
			}
		}
		if s.Transaction() != nil {
			s.Committed(2)
		}
	}
	plan()
	add := func(id string, step batch.Step) {
		s.AddJob(&batch.Job{ID: id, Queue: "q", Pool: testPool, Accepted: now, Steps: []batch.Step{step}}, nil, false)
	}
	if step.Gang { // a part of each rack is taken
		for rack := range racks {
			add(fmt.Sprint("full", rack), batch.Step{Count: workers / racks * cores * 9 / 10, Need: cpu(1000), Estimate: 1000, Rack: fmt.Sprint("r", rack)})
		}
	} else {
		for i := range 2 {
			add(fmt.Sprint("full", i), batch.Step{Count: workers / racks * cores / 2, Need: cpu(1000), Estimate: 1000, Rack: "r0"})
		}
	}
	for range 3 {
		plan()
	}
	for tasks := 0; tasks < 1200; tasks += step.Count {
		add(fmt.Sprint("wait", tasks), step)
	}
	for range 3 {
		plan()
	}
	waiting := 0
	for _, j := range s.active {
		waiting += j.waiting
	}
	b.ReportMetric(float64(waiting), "waiting")
	b.ResetTimer()
	for range b.N {
		s.Plan()
		s.orders = nil
	}
	b.ReportMetric(float64(waiting), "waiting")
}

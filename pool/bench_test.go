package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// BenchmarkPlan measures one call of Plan for a pool of 90 full workers while some 700 of the 800 jobs wait.
func BenchmarkPlan(b *testing.B) { benchmarkPlan(b, 0) }

// BenchmarkPlanCustomers measures the same with jobs of 800 customers.
func BenchmarkPlanCustomers(b *testing.B) { benchmarkPlan(b, 800) }

func benchmarkPlan(b *testing.B, customers int) {
	s := NewScheduler(testPool, 6*clock.Second, clock.Minute, nil)
	queue := testQueue
	queue.Pool = testPool
	s.Configure(&batch.Configuration{Version: 1, Queues: []batch.Queue{queue}})
	now := clock.Millis(1000)
	s.Tick(now, now)
	s.SetToken(1)
	for i := range 90 {
		s.SetWorker(batch.Worker{ID: fmt.Sprintf("w%d", i), Pool: testPool, Address: "a", Incarnation: 1, Capacity: batch.Resources{CPU: 16000, MemoryMB: 32000},
			Labels: []string{"a", "r"}})
	}
	step := func() {
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
	step()
	for i := range 800 {
		customer := ""
		if customers > 0 {
			customer = fmt.Sprint("customer", i%customers)
		}
		s.AddJob(&batch.Job{ID: fmt.Sprint(i), Queue: "q", Pool: testPool, Accepted: now, Customer: customer, Steps: []batch.Step{
			{Count: 12, Need: cpu(1000), Estimate: 100000}, {Count: 6, Need: cpu(1000), Estimate: 100000, After: []int{0}}}}, nil, false)
	}
	for range 5 {
		step()
	}
	b.ResetTimer()
	for range b.N {
		now += 10
		s.Tick(now, now)
		s.Plan()
		s.orders = nil
	}
}

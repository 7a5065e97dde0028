package daemon

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/grant"
)

// Guards against metrics that grow with the number of customers, and against a sum of the others that leaves some out.
func TestCustomerMetricsAreBounded(t *testing.T) {
	demands := map[string]grant.Demand{}
	for i := range maxCustomerMetrics + 3 {
		demands[fmt.Sprintf("c%02d", i)] = grant.Demand{Use: batch.Resources{CPU: 100 + i}, Waiting: []grant.Unit{{Tasks: 2}, {Tasks: 1}}}
	}
	m := newCustomerMetrics(demands, func(string) (batch.Resources, batch.Resources) {
		return batch.Resources{CPU: 200}, batch.Resources{CPU: 900}
	})
	if got, want := len(m.Customers), maxCustomerMetrics; got != want || m.OthersN != 3 {
		t.Fatalf("customers got %d and %d others, want %d and 3", got, m.OthersN, want)
	}
	if got, want := m.Customers[0].Name, fmt.Sprintf("c%02d", maxCustomerMetrics+2); got != want {
		t.Errorf("first customer got %s, want %s, which uses most", got, want)
	}
	if want := (customerMetric{Used: batch.Resources{CPU: 303}, Granted: batch.Resources{CPU: 600}, Limit: batch.Resources{CPU: 2700}, Held: 9}); m.Others != want {
		t.Errorf("others got %+v, want %+v", m.Others, want)
	}
}

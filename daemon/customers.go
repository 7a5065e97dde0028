package daemon

import (
	"cmp"
	"expvar"
	"slices"
	"strings"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
)

const (
	customersPeriod    = 1 * clock.Second // between two updates of the metrics of customers
	maxCustomerMetrics = 20               // customers of a pool that are published one by one
)

// customerMetrics is what expvar publishes of the customers in one pool: those that use most, and the sum of the others.
type customerMetrics struct {
	Customers []customerMetric `json:"customers"`
	Others    customerMetric   `json:"others"`
	OthersN   int              `json:"others-count"`
}

type customerMetric struct {
	Name    string          `json:"name,omitempty"`
	Used    batch.Resources `json:"used"`    // by what runs or may run in the pool
	Granted batch.Resources `json:"granted"` // in the pool
	Limit   batch.Resources `json:"limit"`   // in all pools; zero for a customer without a cap
	Held    int             `json:"held"`    // tasks that wait for nothing but an amount
}

func newCustomerMetrics(demands map[string]grant.Demand, granted func(customer string) (amount, limit batch.Resources)) *customerMetrics {
	all := make([]customerMetric, 0, len(demands))
	for name, d := range demands {
		m := customerMetric{Name: name, Used: d.Use}
		m.Granted, m.Limit = granted(name)
		for _, unit := range d.Waiting {
			m.Held += unit.Tasks
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y customerMetric) int {
		return cmp.Or(cmp.Compare(y.Used.CPU, x.Used.CPU), cmp.Compare(y.Held, x.Held), strings.Compare(x.Name, y.Name))
	})
	shown := min(len(all), maxCustomerMetrics)
	result := &customerMetrics{Customers: all[:shown], OthersN: len(all) - shown}
	for _, m := range all[shown:] {
		result.Others.Used = result.Others.Used.Add(m.Used)
		result.Others.Granted = result.Others.Granted.Add(m.Granted)
		result.Others.Limit = result.Others.Limit.Add(m.Limit)
		result.Others.Held += m.Held
	}
	return result
}

// publishCustomers adds the customers in the pools that this instance owns to expvar, by pool.
func (d *Daemon) publishCustomers() {
	expvar.Publish("customers", expvar.Func(func() any {
		byPool := map[string]*customerMetrics{}
		d.eachOwner(func(o *poolOwner) {
			if m := o.customers.Load(); m != nil {
				byPool[o.pool] = m
			}
		})
		return byPool
	}))
}

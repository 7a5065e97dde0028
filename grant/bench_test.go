package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// BenchmarkStoreCalls simulates the owners of five pools, among which demand turns every 4 s, with tasks of 1 s. It reports for all pools
// together what their grants cost at the store, and the processor time of one decision on all customers.
func BenchmarkStoreCalls(b *testing.B) {
	const pools, startsPerSecond, length = 5, 400, clock.Second
	for _, customers := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			names := make([]string, customers)
			list := make([]batch.Customer, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%04d", i)
				mean := startsPerSecond * 1000 / customers // of what it uses, as tasks run for 1 s
				list[i] = batch.Customer{Name: names[i], Cap: batch.Resources{CPU: max(mean*19/10, 2000), MemoryMB: max(mean*19/10, 2000)}}
			}
			c := &batch.Configuration{Version: 1}
			c.SetCustomers(list)
			type stored struct {
				row     Row
				version int64
			}
			type end struct{ pool, customer int }
			rows := map[string]stored{}
			var ledgers []*Ledger
			for p := range pools {
				l := NewLedger(fmt.Sprintf("pool-%d", p), int64(p+1), 0.1)
				l.Configure(c)
				ledgers = append(ledgers, l)
			}
			var calls, conflicts, bytes, waits, starts int
			var spent time.Duration
			plans := 0
			seconds := clock.Millis(0)
			for range b.N {
				version := int64(0)
				use, waiting := [pools][]int{}, [pools][]int{}
				for p := range pools {
					use[p], waiting[p] = make([]int, customers), make([]int, customers)
				}
				ends := map[clock.Millis][]end{}
				var changed []string
				task := batch.Resources{CPU: 1000, MemoryMB: 1000}
				for now := clock.Millis(10); now <= 20*clock.Second; now += 10 {
					for _, e := range ends[now] {
						use[e.pool][e.customer]--
					}
					delete(ends, now)
					surging := int(now/4000) % pools
					for p := range pools {
						rate := startsPerSecond / 20
						if p == surging {
							rate = startsPerSecond
						}
						for range 10 { // attempts in each of the 10 ms
							if random.IntN(1000) < rate {
								waiting[p][random.IntN(customers)]++
							}
						}
						for i, name := range names {
							for waiting[p][i] > 0 && ledgers[p].Allows(name, times(task, use[p][i]), task, 1) {
								waiting[p][i]--
								use[p][i]++
								starts++
								ends[now+length] = append(ends[now+length], end{p, i})
							}
							waits += waiting[p][i]
						}
					}
					if now%50 == 0 {
						for _, name := range changed {
							for _, l := range ledgers {
								l.Learn(name, rows[name].version, rows[name].row)
							}
						}
						changed = changed[:0]
					}
					for p, l := range ledgers {
						if (now/10+clock.Millis(p))%4 != 0 {
							continue
						}
						demands := map[string]Demand{}
						for i, name := range names {
							if use[p][i]+waiting[p][i] > 0 {
								d := Demand{Use: times(task, use[p][i])}
								if waiting[p][i] > 0 {
									d.Waiting = []Unit{{Need: task, Tasks: waiting[p][i]}}
								}
								demands[name] = d
							}
						}
						began := time.Now()
						writes := l.Next(now, demands)
						spent += time.Since(began)
						plans++
						if len(writes) == 0 {
							continue
						}
						calls++
						applied := true
						for _, w := range writes {
							applied = applied && rows[w.Customer].version == w.Version
						}
						version++
						for _, w := range writes {
							if applied {
								value, err := w.Row.Encode()
								if err != nil {
									b.Fatal(err)
								}
								bytes += len(value)
								rows[w.Customer] = stored{w.Row, version}
								changed = append(changed, w.Customer)
							} else if current := rows[w.Customer]; current.version != 0 {
								l.Learn(w.Customer, current.version, current.row)
							}
						}
						if applied {
							l.Answered(writes, Applied, version)
						} else {
							conflicts++
							l.Answered(writes, Rejected, 0)
						}
					}
				}
				seconds += 20
				clear(rows)
				for p := range pools {
					l := NewLedger(fmt.Sprintf("pool-%d", p), int64(p+1), 0.1)
					l.Configure(c)
					ledgers[p] = l
				}
			}
			b.ReportMetric(float64(calls)/float64(seconds), "calls/s")
			b.ReportMetric(float64(conflicts)/float64(max(calls, 1)), "conflicts/call")
			b.ReportMetric(float64(bytes)/float64(seconds), "B/s")
			b.ReportMetric(float64(spent.Microseconds())/float64(plans), "us/decision")
			b.ReportMetric(float64(starts)/float64(seconds), "starts/s")
			b.ReportMetric(float64(waits)*10/float64(max(starts, 1)), "ms-waited/start")
		})
	}
}

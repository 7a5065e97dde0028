package jobs

import (
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
)

// benchmarkPool returns a pool with two running tasks on each worker and as many queued jobs as tasks, of 290 teams.
func benchmarkPool(workers int) PoolFields {
	f := newPool(workers)
	for i := range 290 {
		team := fmt.Sprintf("team-%03d", i)
		f.Teams[team] = config.TeamFields{Name: team, Cores: 1000, MemoryMB: 4000000}
	}
	for i := range 2 * workers {
		f.Jobs = append(f.Jobs, withTask(job(fmt.Sprintf("r%06d", i), fmt.Sprintf("team-%03d", i%290), config.Batch, 5),
			f.Workers[i/2].ID, provider.TaskRunning))
		f.Jobs = append(f.Jobs, job(fmt.Sprintf("q%06d", i), fmt.Sprintf("team-%03d", i%290),
			[]config.Urgency{config.Urgent, config.Normal, config.Batch}[i%3], 4))
	}
	for _, j := range f.Jobs {
		j.Submitted, j.Task.RunTime = now, clock.Hour
	}
	return f
}

// BenchmarkPlan measures a pass over each of the pools: 5 pools for 50 workers, else 31.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, pools int }{{50, 5}, {1600, 31}, {16000, 31}} {
		var pools []PoolFields
		for range size.pools {
			pools = append(pools, benchmarkPool(size.workers/size.pools))
		}
		b.Run(fmt.Sprint(size.workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for i := range pools {
					Plan(pools[i])
				}
			}
		})
	}
}

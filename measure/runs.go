package measure

import "sync"

// parallelRuns bounds the runs at the same time; each is deterministic by itself.
const parallelRuns = 6

// meanRows returns one row for each policy, the mean over its runs; simulate is called in parallel.
func meanRows(policies []string, runs int, simulate func(policy, run int) Row) []Row {
	results := make([]Row, len(policies)*runs)
	var done sync.WaitGroup
	semaphore := make(chan struct{}, parallelRuns)
	for i := range results {
		done.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer done.Done()
			results[i] = simulate(i/runs, i%runs)
			<-semaphore
		}()
	}
	done.Wait()
	rows := make([]Row, 0, len(policies))
	for i, name := range policies {
		sum := NewRow(name)
		for _, result := range results[i*runs : (i+1)*runs] {
			for _, figure := range result.names {
				sum.Add(figure, result.figures[figure])
			}
		}
		sum.Scale(1 / float64(runs))
		rows = append(rows, sum)
	}
	return rows
}

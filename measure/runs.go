package measure

import "sync"

// parallelRuns is the largest number of runs at the same time. Runs share no state, so that their order does not change
// the figures.
const parallelRuns = 6

// meanRows calls simulate for every policy and run, in parallel, and returns one row for each policy that holds the
// means over its runs.
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

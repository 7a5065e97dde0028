package measure

import "sync"

// parallelRuns bounds the runs at the same time; each is deterministic by itself.
const parallelRuns = 6

// meanRows returns one row for each policy, the mean over its runs; once is called in parallel.
func meanRows(policies []string, runs int, once func(policy, run int) Row) []Row {
	results := make([]Row, len(policies)*runs)
	var done sync.WaitGroup
	places := make(chan struct{}, parallelRuns)
	for i := range results {
		done.Add(1)
		places <- struct{}{}
		go func() {
			defer done.Done()
			results[i] = once(i/runs, i%runs)
			<-places
		}()
	}
	done.Wait()
	rows := make([]Row, 0, len(policies))
	for i, name := range policies {
		sum := NewRow(name)
		for _, one := range results[i*runs : (i+1)*runs] {
			for _, figure := range one.names {
				sum.Add(figure, one.figures[figure])
			}
		}
		sum.Scale(1 / float64(runs))
		rows = append(rows, sum)
	}
	return rows
}

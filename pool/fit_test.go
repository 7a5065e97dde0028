package pool

import (
	"fmt"
	"strings"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Guards against a large job whose progress is refused by the store, so that its pool stands still: all tasks of the largest job run at
// once where ids are of usual length. With the longest ids that the platform allows, tasks wait until others have ended. The simulation
// fails the test if a row is too large.
func TestLargeJobFitsIntoARow(t *testing.T) {
	for _, test := range []struct {
		idLength, workers, cores int
		allAtOnce                bool
	}{{19, 50, 13, true}, {200, 50, 13, false}, {200, 300, 1, false}} {
		w := newPoolSim(t, 0, testQueue)
		w.length = func(string) clock.Millis { return 2 * clock.Second }
		for i := range test.workers {
			name := fmt.Sprintf("%03d", i)
			id := "w" + strings.Repeat("x", test.idLength-4) + name
			f := w.addWorkerOn(id, "m"+id[1:])
			f.entry.Capacity.CPU = test.cores * 1000
			w.s.SetWorker(f.entry)
		}
		w.submit("large", batch.Step{Count: batch.MaxTasks, Need: cpu(1000), Estimate: 5000, Checkpointing: true})
		most := 0
		for range 400 {
			w.run(100)
			running := 0
			for _, f := range w.workers {
				running += len(f.runs)
			}
			most = max(most, running)
			if w.state("large") == batch.Completed {
				break
			}
		}
		if got := w.state("large"); got != batch.Completed {
			t.Errorf("ids of %d bytes, %d workers: state got %v, want completed", test.idLength, test.workers, got)
		}
		if got := most == batch.MaxTasks; got != test.allAtOnce || most < 100 {
			t.Errorf("ids of %d bytes, %d workers: tasks at once got %d, want all: %v", test.idLength, test.workers, most, test.allAtOnce)
		}
	}
}

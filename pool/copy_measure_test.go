package pool

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// copyRule is a way to treat slow tasks.
type copyRule string

const (
	noCopies    copyRule = "no copies"
	plainCopies copyRule = "1.5 x median"
	ownCopies   copyRule = "copies"
)

// copyFigures are the times to completion of 100 steps, sorted, and the core-seconds of runs whose work did not count.
type copyFigures struct {
	times  []clock.Millis
	thrown float64
}

func (f copyFigures) percentile(p int) clock.Millis { return f.times[p*len(f.times)/100-1] }

// measureCopies hands in 100 jobs of eight tasks at an interval. Each run takes 1 s, 3% of them 7 s, and declared times are off by a half.
func measureCopies(t *testing.T, rule copyRule, interval clock.Millis) copyFigures {
	declared := rand.New(rand.NewPCG(11, 12))
	w := newPoolSim(t, 0, testQueue)
	w.s.Retention = clock.Hour
	for i := range 12 {
		f := w.addWorker(fmt.Sprintf("w%02d", i))
		f.entry.Labels = []string{"a", fmt.Sprintf("r%d", i%4)}
		w.s.SetWorker(f.entry)
	}
	w.length = func(task string) clock.Millis {
		h := fnv.New64a()
		fmt.Fprint(h, task, "/", w.starts[task]) // the same for each rule
		random := rand.New(rand.NewPCG(h.Sum64(), 13))
		length := clock.Millis(900 + random.IntN(200))
		if random.IntN(100) < 3 {
			return 7 * length
		}
		return length
	}
	const jobs = 100
	accepted, ended := map[string]clock.Millis{}, map[string]clock.Millis{}
	began := map[string]clock.Millis{} // by task and run
	var figures copyFigures
	total := clock.Millis(0)
	for next := w.now; len(ended) < jobs; {
		if len(accepted) < jobs && w.now >= next {
			id := fmt.Sprintf("j%d", len(accepted))
			step := copyStep()
			step.AllowDuplicates = rule != noCopies
			step.Estimate = clock.Millis(1000 * math.Exp2(declared.Float64()*2-1))
			accepted[id] = w.now
			w.submit(id, step)
			next += interval
		}
		if rule == plainCopies {
			w.s.nextCopySearch = math.MaxInt64 / 2
			w.copyByMedian()
		}
		w.run(10)
		for _, f := range w.workers {
			for name, r := range f.runs {
				total += 10
				began[fmt.Sprint(name, "/", r.start.Run)] = r.began
			}
		}
		for id := range accepted {
			if _, known := ended[id]; !known && w.state(id) == batch.Completed {
				ended[id] = w.now
				figures.times = append(figures.times, w.now-accepted[id])
			}
		}
		if w.now > 10*clock.Minute {
			t.Fatalf("%s: jobs completed in 10 min got %d, want %d", rule, len(ended), jobs)
		}
	}
	counted := clock.Millis(0)
	for task, ends := range w.endHistory.byTask {
		counted += ends[0].at - began[fmt.Sprint(task, "/", ends[0].run)]
	}
	figures.thrown = float64(total-counted) / 1000
	slices.Sort(figures.times)
	return figures
}

// copyByMedian copies each run that has lasted 1.5 times the median of the ended tasks of its step, if any worker has room.
func (w *poolSim) copyByMedian() {
	for _, j := range w.s.active {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				var times []clock.Millis
				for _, t := range st.tasks {
					if t.done {
						times = append(times, w.endHistory.byTask[t.name][0].at-j.acceptedAt)
					}
				}
				if len(times) < minPeers {
					continue
				}
				slices.Sort(times)
				for _, t := range st.tasks {
					if t.done || t.run == nil || t.copy != nil || t.run.state != running || 2*(w.now-t.run.sent) <= 3*times[len(times)/2] {
						continue
					}
					w.s.startCopy(slowRun{run: t.run}, w.s.usable())
				}
			}
		}
	}
}

// Guards against copies that do not shorten the tail of a heavy-tailed step, that delay first runs at full load, or that throw away more than
// the plain rule. The pool has 48 cores; without any run away from the usual time its load is 0.04, 0.42, 0.89 and 1.11.
func TestCopiesAgainstPlainRule(t *testing.T) {
	for _, load := range []struct {
		name     string
		interval clock.Millis
	}{{"idle", 4000}, {"half full", 393}, {"nearly full", 187}, {"over full", 150}} {
		figures := map[copyRule]copyFigures{}
		for _, rule := range []copyRule{noCopies, plainCopies, ownCopies} {
			started := copiesStarted.Value()
			f := measureCopies(t, rule, load.interval)
			figures[rule] = f
			t.Logf("%-11s | %-12s | p50 %5d | p90 %5d | p99 %5d ms | thrown away %6.1f core-seconds | %3d copies", load.name, rule, f.percentile(50),
				f.percentile(90), f.percentile(99), f.thrown, copiesStarted.Value()-started)
		}
		before, after := figures[noCopies], figures[ownCopies]
		if load.interval > 200 && after.percentile(99) >= before.percentile(99) {
			t.Errorf("%s: 99th percentile with copies got %d ms, want less than %d without", load.name, after.percentile(99), before.percentile(99))
		}
		if limit := 1.1 * before.thrown; load.interval < 160 && after.thrown > limit {
			t.Errorf("%s: thrown away with copies got %.1f core-seconds, want at most %.1f", load.name, after.thrown, limit)
		}
		if limit := before.percentile(50) * 11 / 10; after.percentile(50) > limit {
			t.Errorf("%s: median with copies got %d ms, want at most %d", load.name, after.percentile(50), limit)
		}
	}
}

package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// surge is a load in turns: for turn out of each period the queue asks five times its mean, and a twentieth in between. The sizes of jobs
// are spread as those of the users' quick jobs, and the declared run times are off by a half.
type surge struct {
	turn, period clock.Millis
	meanLoad     float64 // of the pool, averaged over a period
	length       clock.Millis
}

// surgeJob is a job of a surge and its outcome.
type surgeJob struct {
	id   string
	work int // thousandths of a core x milliseconds
	met  bool
}

// play submits the load to a pool and returns the jobs, smallest first.
func (l surge) play(w *poolSim, seed uint64) []*surgeJob {
	random := rand.New(rand.NewPCG(seed, 1))
	lengths := map[string]clock.Millis{}
	w.length = func(task string) clock.Millis { return lengths[task] }
	capacity := 0
	for _, worker := range w.workers {
		capacity += worker.entry.Capacity.CPU
	}
	const meanWork = 1.6 * 8 * 700 * 800
	perSecond := l.meanLoad * float64(capacity) * 1000 / meanWork
	var jobs []*surgeJob
	due := map[string]clock.Millis{}
	started, next := w.now, 0.0
	for w.now-started < l.length {
		rate := perSecond / 20
		if (w.now-started)%l.period < l.turn {
			rate = perSecond * 5
		}
		for next += rate / 100; next >= 1; next-- {
			j := &surgeJob{id: fmt.Sprintf("%016x", len(jobs))}
			jobs = append(jobs, j)
			width := 1 + int(7*math.Exp(0.6*random.NormFloat64()-0.18))
			task := batch.Step{Count: min(width, 32), Need: cpu(min(200+int(500*math.Exp(0.45*random.NormFloat64())), 2000))}
			length := clock.Millis(min(800*math.Exp(0.5*random.NormFloat64()-0.125), 2000))
			task.Estimate = clock.Millis(float64(length) * math.Exp(0.5*random.NormFloat64()))
			steps := []batch.Step{task}
			if random.IntN(10) < 6 {
				task.After = []int{0}
				steps = append(steps, task)
			}
			for i := range steps {
				j.work += steps[i].Count * steps[i].Need.CPU * int(length)
				for index := range steps[i].Count {
					lengths[batch.TaskKey{Step: i, Index: index}.Name(j.id)] = length
				}
			}
			due[j.id] = w.now + clock.Millis(testQueue.Stretch*float64(int(length)*len(steps))) + testQueue.Objective
			w.submit(j.id, steps...)
		}
		w.run(10)
		for _, j := range jobs {
			j.met = j.met || w.now <= due[j.id] && w.state(j.id) == batch.Completed
		}
	}
	slices.SortStableFunc(jobs, func(a, b *surgeJob) int { return a.work - b.work })
	return jobs
}

// share returns which part of the jobs has met its objective.
func share(jobs []*surgeJob) float64 {
	met := 0
	for _, j := range jobs {
		if j.met {
			met++
		}
	}
	return float64(met) / float64(max(len(jobs), 1))
}

// worth returns which part of the worth of the jobs is earned by those that have met their objective. As on the users' sites, a job is
// worth 0.3 and 0.7 times its work against the mean, and at most 4.
func worth(jobs []*surgeJob) float64 {
	mean, earned, owed := 0.0, 0.0, 0.0
	for _, j := range jobs {
		mean += float64(j.work) / float64(len(jobs))
	}
	for _, j := range jobs {
		value := min(0.3+0.7*float64(j.work)/mean, 4)
		owed += value
		if j.met {
			earned += value
		}
	}
	return earned / owed
}

// Guards against the largest jobs that hardly ever meet their objective while the smaller ones do: in surges beyond what the pool can run,
// of each size at least half as large a share is to be served as of all.
func TestSurgeServesAllSizes(t *testing.T) {
	for seed := range uint64(4) {
		w := newPoolSim(t, 20, testQueue)
		w.run(300)
		jobs := surge{turn: 4000, period: 16000, meanLoad: 0.5, length: 40 * clock.Second}.play(w, seed)
		n := len(jobs)
		all, large, middle := share(jobs), share(jobs[n*9/10:]), share(jobs[n*7/10:n*9/10])
		t.Logf("seed %d: %d jobs, in time: all %.2f, largest tenth %.2f, fifth below it %.2f; worth %.2f", seed, n, all, large, middle, worth(jobs))
		if large < all/2 || middle < all/2 {
			t.Errorf("seed %d: shares in time of the largest tenth and of the fifth below it got %.2f and %.2f, want at least half of %.2f", seed, large, middle, all)
		}
	}
}

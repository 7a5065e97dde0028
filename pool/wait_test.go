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

const testRemoteFactor = 3

// rackSim is a pool of four racks with four workers of four cores each, in which tasks away from their rack, and gangs on several racks,
// take testRemoteFactor times as long.
type rackSim struct {
	*poolSim
	remote, local int // starts of tasks that have a rack
}

func newRackSim(t *testing.T, factor float64) *rackSim {
	r := &rackSim{poolSim: newPoolSim(t, 0, testQueue)}
	r.s.RemoteFactor = factor
	for i := range 16 {
		f := r.addWorker(fmt.Sprintf("w%02d", i))
		f.entry.Labels = []string{"a", fmt.Sprintf("r%d", i/4)}
		r.s.SetWorker(f.entry)
	}
	r.factor = func(task string, f *fakeWorker) int {
		job, key, _ := batch.ParseTask(task)
		switch rack := r.defs[job].Steps[key.Step].Rack; {
		case rack == "":
			return 1
		case f.entry.HasLabel(rack):
			r.local++
			return 1
		}
		r.remote++
		return testRemoteFactor
	}
	r.run(2000) // until all workers have answered
	return r
}

// rackLoad is a load of jobs with four tasks of 0.7 s on average, a part of which name a rack: the first one more often than the others.
type rackLoad struct {
	load     float64 // of the pool, if every task ran on its rack
	withRack float64 // part of the jobs that name one
	hot      float64 // part of these that name the first one
	length   clock.Millis
}

// rackOutcome is what callers got.
type rackOutcome struct {
	near, other []clock.Millis // times to completion of the jobs with and without a rack, sorted
	remote      float64        // part of the starts with a rack that were elsewhere
}

func mean(times []clock.Millis) clock.Millis {
	sum := clock.Millis(0)
	for _, t := range times {
		sum += t
	}
	return sum / clock.Millis(max(len(times), 1))
}

func (l rackLoad) play(t *testing.T, factor float64, seed uint64) rackOutcome {
	r := newRackSim(t, factor)
	random := rand.New(rand.NewPCG(seed, 7))
	lengths := map[string]clock.Millis{}
	r.length = func(task string) clock.Millis { return lengths[task] }
	const meanWork = 4 * 1000 * 700
	perStep := l.load * 16 * 4000 * 10 / meanWork
	type open struct {
		id     string
		since  clock.Millis
		inRack bool
	}
	var jobs []open
	var outcome rackOutcome
	next, n := 0.0, 0
	for started := r.now; r.now-started < l.length || len(jobs) > 0; {
		if r.now-started > l.length+clock.Minute {
			t.Fatalf("%d jobs are not completed a minute after the load has ended, the first %s", len(jobs), jobs[0].id)
		}
		for next += perStep; r.now-started < l.length && next >= 1; next-- {
			step := batch.Step{Count: 4, Need: batch.Resources{CPU: 1000, MemoryMB: 100}}
			if random.Float64() < l.withRack {
				step.Rack = fmt.Sprintf("r%d", random.IntN(4))
				if random.Float64() < l.hot {
					step.Rack = "r0"
				}
			}
			id := fmt.Sprintf("%016x", n)
			n++
			length := clock.Millis(700 * math.Exp(0.5*random.NormFloat64()-0.125))
			step.Estimate = clock.Millis(float64(length) * math.Exp(0.5*random.NormFloat64()))
			for i := range step.Count {
				lengths[batch.TaskKey{Index: i}.Name(id)] = length
			}
			jobs = append(jobs, open{id, r.now, step.Rack != ""})
			r.submit(id, step)
		}
		r.run(10)
		jobs = slices.DeleteFunc(jobs, func(j open) bool {
			if r.state(j.id) != batch.Completed {
				return false
			}
			if j.inRack {
				outcome.near = append(outcome.near, r.now-j.since)
			} else {
				outcome.other = append(outcome.other, r.now-j.since)
			}
			return true
		})
	}
	slices.Sort(outcome.near)
	slices.Sort(outcome.other)
	outcome.remote = float64(r.remote) / float64(max(r.remote+r.local, 1))
	return outcome
}

// Guards against tasks that run away from their data although a place there is free soon, and against waits that cost more than they gain.
// Load: one rack is asked for far more often than the others, in a pool that is idle, half full and asked for more than it can run.
func TestWaitsForARack(t *testing.T) {
	for _, load := range []rackLoad{
		{load: 0.15, withRack: 0.7, hot: 0.8, length: 8000},
		{load: 0.5, withRack: 0.5, hot: 0.5, length: 8000},
		{load: 1.1, withRack: 0.5, hot: 0.3, length: 8000},
	} {
		var with, without [3]float64 // near, other, remote
		for seed := range uint64(3) {
			for factor, sums := range map[float64]*[3]float64{1: &without, testRemoteFactor: &with} {
				o := load.play(t, factor, seed)
				sums[0] += float64(mean(o.near)) / 3
				sums[1] += float64(mean(o.other)) / 3
				sums[2] += o.remote / 3
			}
		}
		t.Logf("load %.2f: with a rack %.0f ms, %.2f remote, without one %.0f ms; before %.0f ms, %.2f remote, %.0f ms",
			load.load, with[0], with[2], with[1], without[0], without[2], without[1])
		if got, most := with[0], without[0]; got > most {
			t.Errorf("load %.2f: jobs with a rack take %.0f ms, want at most %.0f ms as without waits", load.load, got, most)
		}
		if got, most := with[1], without[1]*1.05; got > most {
			t.Errorf("load %.2f: jobs without a rack take %.0f ms, want at most %.0f ms", load.load, got, most)
		}
		if got, most := with[2], without[2]; got > most {
			t.Errorf("load %.2f: part of the starts away from the data got %.2f, want at most %.2f", load.load, got, most)
		}
	}
}

// fillRack starts one job that takes up a whole rack, with tasks of the given length and an estimate that may be wrong.
func (r *rackSim) fillRack(id, rack string, estimate clock.Millis) {
	r.submit(id, batch.Step{Count: 16, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: estimate, Rack: rack})
	r.run(300)
}

// Guards against a task that waits for its rack for ever because the runs there take longer than predicted. It leaves once it has waited
// as long as the run elsewhere costs.
func TestWrongWaitForARackEnds(t *testing.T) {
	r := newRackSim(t, testRemoteFactor)
	r.length = func(task string) clock.Millis {
		if job, _, _ := batch.ParseTask(task); job == "full" {
			return 20 * clock.Second
		}
		return 500
	}
	r.fillRack("full", "r0", 600)
	submitted := r.now
	r.submit("waits", batch.Step{Count: 1, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 500, Rack: "r0"})
	for r.starts["waits.0.0.0"] == 0 && r.now-submitted < 5*clock.Second {
		r.run(10)
	}
	cost := clock.Millis((testRemoteFactor - 1) * 500)
	if got := r.now - submitted; got > cost+200 || got < 200 {
		t.Errorf("the task waited for %d ms, want some time and at most %d ms", got, cost+200)
	}
}

// Guards against a wait for a rack on which no worker of the pool is.
func TestNoWaitForAnUnknownRack(t *testing.T) {
	r := newRackSim(t, testRemoteFactor)
	r.submit("j", batch.Step{Count: 1, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 500, Rack: "elsewhere"})
	r.run(100)
	if got := r.starts["j.0.0.0"]; got != 1 {
		t.Errorf("starts of the task got %d, want 1 at once", got)
	}
}

// Guards against a task that leaves its rack although its job waits for other tasks anyway: a step beside the critical path waits longer
// than the run elsewhere costs.
func TestTaskOffTheCriticalPathWaitsLonger(t *testing.T) {
	task := batch.Step{Count: 1, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 200, Rack: "r0"}
	long := batch.Step{Count: 1, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 4000}
	for _, test := range []struct {
		name  string
		steps []batch.Step
		local bool
	}{
		{"alone", []batch.Step{task}, false},
		{"beside a long step", []batch.Step{task, long}, true},
	} {
		r := newRackSim(t, testRemoteFactor)
		r.length = func(name string) clock.Millis {
			job, key, _ := batch.ParseTask(name)
			return r.defs[job].Steps[key.Step].Estimate
		}
		r.fillRack("full", "r0", 1500)
		r.remote, r.local = 0, 0
		r.submit("j", test.steps...)
		r.run(3000)
		if got := r.local == 1; got != test.local {
			t.Errorf("%s: the task ran on its rack: %v, want %v", test.name, got, test.local)
		}
	}
}

// Guards against a tightly coupled gang that is spread over racks although it soon fits on one, and against one that waits for a rack that
// stays full.
func TestGangWaitsForOneRack(t *testing.T) {
	for _, test := range []struct {
		name    string
		blocked clock.Millis // run time of what fills half of each rack
		want    int          // racks
	}{
		{"soon free", 1200, 1},
		{"full for long", 20000, 2},
	} {
		r := newRackSim(t, testRemoteFactor)
		r.length = func(name string) clock.Millis {
			job, key, _ := batch.ParseTask(name)
			return r.defs[job].Steps[key.Step].Estimate
		}
		for i := range 4 {
			r.submit(fmt.Sprintf("full%d", i), batch.Step{Count: 8, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: test.blocked,
				Rack: fmt.Sprintf("r%d", i), MaxPerWorker: 2})
		}
		r.run(500)
		r.submit("gang", batch.Step{Count: 12, Need: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 1000, Gang: true, TightlyCoupled: true})
		racks := map[string]bool{}
		for range 300 {
			r.run(10)
			for _, f := range r.workers {
				for name := range f.runs {
					if job, _, _ := batch.ParseTask(name); job == "gang" {
						racks[f.entry.Labels[1]] = true
					}
				}
			}
		}
		if got := len(racks); got != test.want {
			t.Errorf("%s: racks of the gang got %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a job that has nothing running for seconds while most of the pool is idle, because its next task waits for a rack. Callers
// are promised that such a job runs within 3 s.
func TestIdleJobWaitsBriefly(t *testing.T) {
	gang := batch.Step{Count: 12, Need: cpu(1000), Estimate: 4000, Gang: true, TightlyCoupled: true}
	for _, test := range []struct {
		name string
		step batch.Step
		fill batch.Step // of a job for each rack that is not idle
		full int        // number of these
	}{
		{"task with data", batch.Step{Count: 1, Need: cpu(1000), Estimate: 4000, Rack: "r0"}, batch.Step{Count: 16}, 1},
		{"gang", gang, batch.Step{Count: 5, MaxPerWorker: 2}, 4},
	} {
		r := newRackSim(t, testRemoteFactor)
		r.length = func(name string) clock.Millis {
			job, key, _ := batch.ParseTask(name)
			return r.defs[job].Steps[key.Step].Estimate
		}
		for i := range test.full {
			test.fill.Need, test.fill.Estimate, test.fill.Rack = cpu(1000), 6000, fmt.Sprintf("r%d", i)
			r.submit(fmt.Sprintf("full%d", i), test.fill)
		}
		r.run(500)
		submitted := r.now
		r.submit("j", test.step)
		for r.starts["j.0.0.0"] == 0 && r.now-submitted < 10*clock.Second {
			r.run(10)
		}
		if got, limit := r.now-submitted, 2500*clock.Millis(1); got > limit {
			t.Errorf("%s: nothing of the job ran for %d ms, want at most %d", test.name, got, limit)
		}
	}
}

// Guards against tasks that do not wait for their rack because another task must avoid the only worker on which a place is free soon.
func TestAvoidedWorkerIsAwaitedByOthers(t *testing.T) {
	r := newRackSim(t, testRemoteFactor)
	r.length = func(name string) clock.Millis {
		job, key, _ := batch.ParseTask(name)
		return r.defs[job].Steps[key.Step].Estimate
	}
	r.submit("full", batch.Step{Count: 3, Need: cpu(4000), Estimate: 20000, Rack: "r0"}, batch.Step{Count: 1, Need: cpu(4000), Estimate: 1000, Rack: "r0"})
	r.run(300)
	r.remote, r.local = 0, 0
	soonFree := r.s.workers[r.runner("full.0.1.0")]
	r.submit("j", batch.Step{Count: 2, Need: cpu(1000), Estimate: 1000, Rack: "r0"})
	r.s.jobs["j"].occurrences[0].steps[0].tasks[0].avoidWorker(soonFree, r.now)
	r.run(1500)
	if r.remote != 1 || r.local != 1 {
		t.Errorf("starts elsewhere and on the rack got %d and %d, want 1 and 1", r.remote, r.local)
	}
}

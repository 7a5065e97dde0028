package pool

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// CI runs the first 40 seeds. Use -args -seeds 1500 -first 0 to search for new failures; KNOWN-RED.txt lists the known ones.
var (
	randomSeeds = flag.Uint64("seeds", 40, "number of seeds of TestRandomFaults")
	firstSeed   = flag.Uint64("first", 0, "first seed of TestRandomFaults")
)

// Guards against a task that runs twice, an overcommitted worker, and a job that never ends, while orders are lost or
// carried out late, workers become unreachable and restart, and the store rejects writes, in an order given by fixed seeds.
// The simulation checks the first two at each step.
func TestRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*randomSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomFaults(t, seed, false) })
	}
}

// runRandomFaults runs one seed. If routed is set, it adds labels, draining workers, and configuration changes.
func runRandomFaults(t *testing.T, seed uint64, routed bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newPoolSim(t, 4, batch.Queue{Name: "q", MaxAttempts: 100, Stretch: 1.6, Objective: 600})
	w.s.Retention = clock.Hour // the final states are read at the end
	w.length = func(string) clock.Millis { return 300 + clock.Millis(random.IntN(1500)) }
	w.fails = func(string, string) bool { return random.IntN(20) == 0 }
	w.lose = func(order any) (bool, clock.Millis) {
		switch order.(type) {
		case Start:
			if random.IntN(8) == 0 {
				return true, clock.Millis(random.IntN(2)) * clock.Millis(2000+random.IntN(8000))
			}
		case Stop:
			return random.IntN(8) == 0, 0
		}
		return false, 0
	}
	if routed {
		w.dropsOnRestart = true // TestRandomFaults covers orders that reach the next incarnation
		for _, id := range []string{"w2", "w3"} {
			w.workers[id].entry.Labels = []string{"b", "r1"}
		}
		w.publish()
	}
	const jobs = 30
	for i := range jobs {
		label := ""
		if routed {
			label = stepLabels[i%len(stepLabels)]
			w.toggleDraining(random)
			w.configure(rotatingConfiguration(i))
		}
		w.submit(fmt.Sprintf("j%d", i),
			batch.Step{Count: 1 + random.IntN(5), Need: cpu(200 + random.IntN(1500)), Estimate: 800, MaxPerWorker: random.IntN(3), Label: label},
			batch.Step{Count: 1 + random.IntN(3), Need: cpu(200 + random.IntN(900)), Estimate: 800, After: []int{0}})
		injectFault(w, random)
		if routed {
			w.publish()
		}
		w.run(clock.Millis(random.IntN(1500)))
	}
	for _, f := range w.workers {
		f.unreachable, f.entry.Draining = false, false
	}
	if routed {
		w.publish()
	}
	w.storeBlocked, w.lose = false, nil
	w.run(60 * clock.Second)
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		if got := w.state(id); !got.Final() {
			t.Errorf("state of %s got %v, want a final one once all faults are over", id, got)
		}
	}
}

// injectFault begins or ends one random fault.
func injectFault(w *poolSim, random *rand.Rand) {
	f := w.workers[fmt.Sprintf("w%d", random.IntN(4))]
	switch random.IntN(6) {
	case 0:
		f.unreachable = true
	case 1:
		f.unreachable = false
	case 2:
		f.restart(w)
	case 3:
		w.storeBlocked = !w.storeBlocked
	case 4:
		w.s.Cancel(fmt.Sprintf("j%d", random.IntN(30)))
	}
}

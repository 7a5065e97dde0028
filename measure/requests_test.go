package measure

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"magnoliaferry/clock"
)

// simulate runs the named scenario with the first deployment.
func simulate(name string, v variant, seed uint64) Row {
	for _, s := range requestScenarios() {
		if s.name == name {
			r := s.scenario
			r.deployment = deployments[0]
			return r.simulate(v, seed)
		}
	}
	panic("no scenario " + name)
}

// Guards against runs that depend on anything but the seed.
func TestSameSeedSameFigures(t *testing.T) {
	a, b := simulate("silent-connections", defaultVariant(), 3), simulate("silent-connections", defaultVariant(), 3)
	for _, name := range a.names {
		if a.figures[name] != b.figures[name] {
			t.Errorf("%s: got %v and %v, want equal", name, a.figures[name], b.figures[name])
		}
	}
	if c := simulate("silent-connections", defaultVariant(), 4); c.Figure("p99 ms") == a.Figure("p99 ms") && c.Figure("queueing ms") == a.Figure("queueing ms") {
		t.Error("seeds 3 and 4: got the same p99 and queueing time, want different ones")
	}
}

// Guards against the counters overcommitted and run twice staying 0 without a limit of slots and without claims, and against
// overcommitted workers and repeated runs under the default policy.
func TestFiguresDetectBrokenPolicies(t *testing.T) {
	if got := simulate("surges", variantWith("", func(v *variant) { v.slots = "unlimited" }), 1).Figure("overcommitted"); got == 0 {
		t.Error("overcommitted without a limit: got 0, want more")
	}
	if got := simulate("silent-connections", variantWith("", func(v *variant) { v.noClaims = true }), 1).Figure("run twice"); got == 0 {
		t.Error("run twice without claims: got 0, want more")
	}
	for _, name := range []string{"entry-killed", "silent-connections", "rack-lost", "zone-cut", "table-loses-answers"} {
		row := simulate(name, defaultVariant(), 1)
		if over, twice := row.Figure("overcommitted"), row.Figure("run twice"); over != 0 || twice != 0 {
			t.Errorf("%s: got %v overcommitted and %v run twice, want 0 and 0", name, over, twice)
		}
	}
}

// Guards against a report that depends on the order in which parallel runs end.
func TestSameSeedSameBytes(t *testing.T) {
	var texts [2]bytes.Buffer
	for i := range texts {
		r := Report{Group: "requests", Command: "test", Seed: 5, Runs: 2}
		r.Run("slow-worker-quiet/kervan")
		if err := r.WriteTable(&texts[i]); err != nil {
			t.Fatal(err)
		}
		if err := r.WriteJSON(&texts[i]); err != nil {
			t.Fatal(err)
		}
	}
	if texts[0].Len() == 0 || texts[0].String() != texts[1].String() {
		t.Error("two reports of the same seed are empty or differ, want the same bytes")
	}
}

// Guards against fake workers whose mean service time is not 200 ms, or that are not slower with more requests than
// slots.
func TestFakeWorker(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	average := func(w *fakeWorker) float64 {
		var sum clock.Millis
		for range 20000 {
			sum += w.serviceTime(random)
		}
		return float64(sum) / 20000
	}
	for _, c := range []struct {
		running  int
		slowness float64
		want     float64
	}{{1, 1, 200}, {8, 1, 200}, {16, 1, 400}, {1, 10, 2000}} {
		got := average(&fakeWorker{running: c.running, slowness: c.slowness})
		if got < 0.97*c.want || got > 1.03*c.want {
			t.Errorf("%d running, %v times slower: got a mean of %v ms, want %v", c.running, c.slowness, got, c.want)
		}
	}
}

package measure

import (
	"bytes"
	"encoding/json"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/examples"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// simulateFleet runs a scenario with the first example fleet.
func simulateFleet(f fleetScenario, p fleetPolicy, seed uint64) Row {
	f.example = exampleFleets[0]
	if f.setUp == nil {
		f.setUp = background
	}
	return f.simulate(p, seed)
}

// Guards against fleet runs that depend on anything but the seed, such as the iteration order of a map.
func TestFleetSameSeedSameBytes(t *testing.T) {
	var texts [2]bytes.Buffer
	for i := range texts {
		f := jobScenarios()["jobs-failing-workers"]
		f.duration = 2 * clock.Minute
		r := Report{Group: "fleet", Command: "test", Seed: 5, Runs: 1}
		r.tables = []Table{{"jobs-failing-workers", f.text, []Row{simulateFleet(f, jobPolicies()[0], 5)}}}
		if err := r.WriteTable(&texts[i]); err != nil {
			t.Fatal(err)
		}
		if err := r.WriteJSON(&texts[i]); err != nil {
			t.Fatal(err)
		}
	}
	if texts[0].Len() == 0 || texts[0].String() != texts[1].String() {
		t.Errorf("two runs of the same seed differ, want the same bytes:\n%s\n%s", &texts[0], &texts[1])
	}
}

// Guards against counters that stay 0 for a policy that breaks the rule, and against control loops that break it: first
// fit starts run-once jobs again, the control loops must not.
func TestFleetFiguresMustBeZero(t *testing.T) {
	f := jobScenarios()["jobs-failing-workers"]
	f.duration = 2 * clock.Minute
	if got := simulateFleet(f, jobPolicies()[2], 1).Figure("run-once twice"); got == 0 {
		t.Error("run-once twice with first fit: got 0, want more")
	}
	row := simulateFleet(f, jobPolicies()[0], 1)
	for _, name := range []string{"run-once twice", "budget violations", "requests cut"} {
		if got := row.Figure(name); got != 0 {
			t.Errorf("%s: got %v, want 0", name, got)
		}
	}
}

// Guards against counters that miss a drain beyond the budget or a reboot that interrupts requests. The control loops
// allow neither, so that the test writes the instance rows itself.
func TestFleetCountersSeeViolations(t *testing.T) {
	s := newFleetSim(examples.KervanEtki, weightsOf(examples.KervanEtki), 1)
	write := func(phase planner.Phase) {
		for id, r := range s.records {
			if r.Pool != "citation" {
				continue
			}
			r.Phase = phase
			body, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			put := provider.Put("instance/"+id, body, provider.AnyVersion)
			if err := s.store.View("").Table().Commit(s.ctx, provider.NewTransaction("test-"+id, put)); err != nil {
				t.Fatal(err)
			}
		}
		s.observe()
	}
	if s.updateRequests(); s.violations != 0 || s.requestsCut != 0 {
		t.Fatalf("before any change of phase: got %d violations and %d requests cut, want 0 and 0", s.violations, s.requestsCut)
	}
	if write(planner.Draining); s.violations != 1 {
		t.Errorf("budget violations after a drain of the whole pool: got %d, want 1", s.violations)
	}
	if write(planner.Rebooting); s.requestsCut != s.demand["citation"] {
		t.Errorf("requests cut: got %d, want the demand of %d", s.requestsCut, s.demand["citation"])
	}
}

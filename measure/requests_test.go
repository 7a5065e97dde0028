package measure

import "testing"

// once runs a scenario of the first user for a few seconds.
func once(name string, v variant, seed uint64) Row {
	for _, s := range requestScenarios() {
		if s.name == name {
			r := s.scenario
			r.user = users[0]
			return r.once(v, seed)
		}
	}
	panic("no scenario " + name)
}

// Guards against runs that depend on anything but the seed.
func TestSameSeedSameFigures(t *testing.T) {
	a, b := once("entry-killed", ours(), 3), once("entry-killed", ours(), 3)
	for _, name := range a.names {
		if a.figures[name] != b.figures[name] {
			t.Errorf("%s: got %v and %v, want equal", name, a.figures[name], b.figures[name])
		}
	}
	if c := once("entry-killed", ours(), 4); c.Figure("p99 ms") == a.Figure("p99 ms") && c.Figure("queueing ms") == a.Figure("queueing ms") {
		t.Error("another seed gave the same figures")
	}
}

// The figures that must be 0 have to see a policy that breaks them.
func TestBrokenPoliciesShow(t *testing.T) {
	if got := once("surges", with("", func(v *variant) { v.slots = "unlimited" }), 1).Figure("overcommitted"); got == 0 {
		t.Error("overcommitted without a limit: got 0, want more")
	}
	if got := once("silent-connections", with("", func(v *variant) { v.noClaims = true }), 1).Figure("run twice"); got == 0 {
		t.Error("run twice without claims: got 0, want more")
	}
	for _, name := range []string{"entry-killed", "silent-connections", "surges"} {
		row := once(name, ours(), 1)
		if over, twice := row.Figure("overcommitted"), row.Figure("run twice"); over != 0 || twice != 0 {
			t.Errorf("%s: got %v overcommitted and %v run twice, want 0 and 0", name, over, twice)
		}
	}
}

package planner

import (
	"fmt"
	"strings"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

const wallTime = 1000 * clock.Day

var (
	fastRollOut = config.Weights{RollOutTime: 40, Protection: 35, BufferCost: 10, Moves: 15}
	lowCost     = config.Weights{RollOutTime: 10, Protection: 15, BufferCost: 40, Moves: 35}
	poolSize    = 12
)

// newState returns pool "p" and the spare pool "s", each with 12 serving workers in three zones and racks of two.
func newState(w config.Weights, change func(*Fields)) *State {
	f := Fields{Now: clock.Hour, Wall: wallTime, Waves: map[string]WaveFields{}, Demand: map[string]int{}, Trends: map[string]Trend{}}
	var pools []config.PoolFields
	for _, name := range []string{"p", "s"} {
		pools = append(pools, config.PoolFields{Name: name, Instances: poolSize, Capacity: 8, MaxUnavailable: 4,
			Spare: name == "s", Slots: 8, MaintenancePeriod: 28 * clock.Day, Survive: config.Failures{Racks: 1}})
		for i := range poolSize {
			f.Instances = append(f.Instances, InstanceFields{RecordFields: RecordFields{ID: fmt.Sprintf("%s%02d", name, i),
				Pool: name, Zone: string(rune('a' + i/4)), Rack: fmt.Sprint(i / 2), Phase: Serving,
				Maintained: wallTime - clock.Day, Since: wallTime - clock.Day}, Age: clock.Day, Listed: true, Healthy: true})
		}
	}
	f.Configuration = config.New(config.Fields{Weights: w, Pools: pools})
	if change != nil {
		change(&f)
	}
	return New(f)
}

// withInstance changes one instance.
func withInstance(id string, change func(*InstanceFields)) func(*Fields) {
	return func(f *Fields) {
		for i := range f.Instances {
			if f.Instances[i].ID == id {
				change(&f.Instances[i])
			}
		}
	}
}

// withPhase puts an instance into a phase that began a minute ago, and then changes it.
func withPhase(id string, p Phase, change func(*InstanceFields)) func(*Fields) {
	return withInstance(id, func(m *InstanceFields) {
		m.Phase, m.Age = p, clock.Minute
		if change != nil {
			change(m)
		}
	})
}

func combine(changes ...func(*Fields)) func(*Fields) {
	return func(f *Fields) {
		for _, change := range changes {
			change(f)
		}
	}
}

// withSurvive sets the declared failures of both pools.
func withSurvive(failures config.Failures) func(*Fields) {
	return func(f *Fields) {
		fields := f.Configuration.Fields()
		fields.Pools = append([]config.PoolFields(nil), fields.Pools...)
		for i := range fields.Pools {
			fields.Pools[i].Survive = failures
		}
		f.Configuration = config.New(fields)
	}
}

// withWave gives pool "p" a wave that started an hour ago and in which no instance was maintained yet.
func withWave(s WaveState) func(*Fields) {
	return func(f *Fields) {
		f.Waves["p"] = WaveFields{ID: "w", Pool: "p", State: s, Started: wallTime - clock.Hour, Resumed: wallTime - clock.Hour}
	}
}

// withFailed makes serving instances failed and unhealthy.
func withFailed(ids ...string) func(*Fields) {
	return func(f *Fields) {
		for _, id := range ids {
			withPhase(id, Failed, func(m *InstanceFields) { m.Healthy, m.From = false, Serving })(f)
		}
	}
}

// describe lists the steps as kind:instance>target.
func describe(steps []Step) string {
	var parts []string
	for _, s := range steps {
		part := string(s.Kind())
		if s.Instance() != "" {
			part += ":" + s.Instance()
		}
		if s.Target() != "" {
			part += ">" + s.Target()
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}

// Guards against a violation of each rule on phases, budget and waves. Each case starts with 12 serving workers,
// capacity 8 and max-unavailable 4.
func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		weights config.Weights
		change  func(*Fields)
		want    string
	}{
		{"nothing to do", fastRollOut, nil, ""},
		{"weights on roll-out time fill the budget", fastRollOut, combine(withWave(WaveRunning), withSurvive(config.Failures{})),
			"drain:p00 drain:p01 drain:p02 drain:p03"},
		{"but reserve workers for the declared rack of two", fastRollOut, withWave(WaveRunning), "drain:p00 drain:p01 wait"},
		{"the reserve shrinks after a failure", fastRollOut, combine(withWave(WaveRunning), withFailed("p11")),
			"drain:p00 drain:p01 wait"},
		{"weights on buffer cost and moves drain one at a time", lowCost, withWave(WaveRunning), "drain:p00 wait"},
		{"unless the period requires more", lowCost, combine(withWave(WaveRunning), withSurvive(config.Failures{}),
			withInstance("p11", func(m *InstanceFields) {
				m.Maintained = wallTime - 28*clock.Day + 50*clock.Minute
			})), "drain:p00 drain:p01 drain:p02 wait"},
		{"a paused wave", fastRollOut, withWave(WavePaused), ""},
		{"a stopped wave", fastRollOut, withWave(WaveStopped), "wait"},
		{"failures use part of the budget", fastRollOut, combine(withWave(WaveRunning), withFailed("p04", "p05")), "drain:p00 drain:p01 wait"},
		{"failures use the whole budget", fastRollOut, combine(withWave(WaveRunning), withFailed("p04", "p05", "p06", "p07")), "wait"},
		{"capacity is the tighter limit", fastRollOut, combine(withWave(WaveRunning), withSurvive(config.Failures{}), func(f *Fields) {
			pools := f.Configuration.Fields().Pools
			pools[0].Capacity = 11
		}), "drain:p00 wait"},
		{"failures beyond the budget", fastRollOut, combine(withPhase("p00", Draining, nil), withFailed("p04", "p05", "p06", "p07")),
			"give-back:p00"},
		{"failures beyond max-unavailable only", fastRollOut, combine(withPhase("p00", Draining, nil), withFailed("p04", "p05", "p06", "p07"),
			func(f *Fields) { f.Configuration.Fields().Pools[0].Capacity = 2 }), "give-back:p00"},
		{"a reboot is not cancelled", fastRollOut, combine(withPhase("p00", Rebooting, nil), withFailed("p04", "p05", "p06", "p07")), ""},
		{"one zone at a time", fastRollOut, combine(withWave(WaveRunning), func(f *Fields) {
			for i := range 3 {
				f.Instances[i].Maintained = wallTime
			}
		}), "drain:p03"},
		{"a drain goes on", fastRollOut, withPhase("p00", Draining, nil), ""},
		{"a drain ends", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) { m.Drained = true }), "reboot:p00"},
		{"a drain ends too early", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) {
			m.Drained, m.Age = true, 3*clock.Second // entry instances may still dispatch to it, see minDrain
		}), ""},
		{"a drain that does not end", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) { m.Age = clock.Hour }),
			"wait:p00"},
		{"a forced drain", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) { m.Force, m.Accepted = true, true }),
			"reboot:p00"},
		{"a drain for a move", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) {
			m.Drained, m.Target = true, "s"
		}), "move:p00>s"},
		{"a drain for a pool that no longer exists", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) { m.Target = "x" }),
			"give-back:p00"},
		{"a reboot ends", fastRollOut, withPhase("p00", Rebooting, func(m *InstanceFields) { m.Rebooted, m.Healthy = true, false }),
			"verify:p00"},
		{"a reboot does not end", fastRollOut, withPhase("p00", Rebooting, func(m *InstanceFields) { m.Age = clock.Hour }), "fail:p00"},
		{"lost during its reboot", fastRollOut, withPhase("p00", Rebooting, func(m *InstanceFields) {
			m.Listed, m.Age = false, 3*clock.Minute
		}), "fail:p00"},
		{"unlisted for a moment during its reboot", fastRollOut, withPhase("p00", Rebooting, func(m *InstanceFields) { m.Listed = false }),
			""},
		{"healthy again", fastRollOut, withPhase("p00", Verifying, nil), "return:p00"},
		{"not healthy again", fastRollOut, withPhase("p00", Verifying, func(m *InstanceFields) {
			m.Healthy, m.Age = false, clock.Hour
		}), "fail:p00"},
		{"unlisted", fastRollOut, withInstance("p00", func(m *InstanceFields) { m.Listed = false }), "fail:p00"},
		{"leaving", fastRollOut, withInstance("p00", func(m *InstanceFields) { m.Leaving = true }), "fail:p00"},
		{"leaving because it drains", fastRollOut, withPhase("p00", Draining, func(m *InstanceFields) { m.Leaving = true }), ""},
		{"back after a failure", fastRollOut, withPhase("p00", Failed, nil), "verify:p00"},
		{"replaced", fastRollOut, combine(withFailed("p00"), func(f *Fields) {
			withInstance("p00", func(m *InstanceFields) { m.Listed = false })(f)
			spare := f.Instances[1]
			spare.ID = "p99"
			f.Instances = append(f.Instances, spare)
		}), "forget:p00"},
		{"a replacement", fastRollOut, combine(withFailed("p00"), func(f *Fields) {
			f.Instances = append(f.Instances, InstanceFields{RecordFields: RecordFields{ID: "n", Zone: "a", Rack: "9"},
				Listed: true, Healthy: true})
		}), "join:n"},
		{"unhealthy after the wave", fastRollOut, combine(withWave(WaveRunning), withPhase("p00", Failed, func(m *InstanceFields) {
			m.Wave, m.From, m.Healthy, m.Since = "w", Verifying, false, wallTime
		})), "stop-wave"},
		{"one unhealthy of six", fastRollOut, combine(withWave(WaveRunning), withPhase("p00", Failed, func(m *InstanceFields) {
			m.Wave, m.From, m.Healthy, m.Since = "w", Verifying, false, wallTime
		}), func(f *Fields) {
			for i := 1; i < 7; i++ {
				f.Instances[i].Wave, f.Instances[i].Maintained = "w", wallTime
			}
		}), "drain:p07"},
		{"wave complete", fastRollOut, combine(withWave(WaveRunning), func(f *Fields) {
			for i := range f.Instances {
				f.Instances[i].Maintained = wallTime
			}
		}), "finish-wave"},
		{"due", fastRollOut, withInstance("p11", func(m *InstanceFields) { m.Maintained = wallTime - 28*clock.Day + clock.Hour }), "start-wave"},
		{"not yet due", fastRollOut, withInstance("p11", func(m *InstanceFields) { m.Maintained = wallTime - 27*clock.Day }), ""},
	}
	for _, test := range tests {
		if got := describe(PlanPool(newState(test.weights, test.change), "p")); got != test.want {
			t.Errorf("%s: steps got %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against weights that have no effect on moves, moves during a surge shorter than the stabilization window, and
// loans that are not returned.
func TestMoves(t *testing.T) {
	demand := func(n int) func(*Fields) { return func(f *Fields) { f.Demand["p"] = n } }
	trend := func(pool string, direction int, period clock.Millis) func(*Fields) {
		return func(f *Fields) { f.Trends[pool] = Trend{direction, f.Now - period} }
	}
	loan := func(f *Fields) {
		for i := range f.Instances {
			if m := &f.Instances[i]; m.ID == "s00" || m.ID == "s01" {
				m.Pool, m.Home = "p", "s"
			}
		}
	}
	tests := []struct {
		name    string
		weights config.Weights
		change  func(*Fields)
		pool    string
		want    string
	}{
		{"no loan in a surge", fastRollOut, combine(demand(100), trend("p", 1, stabilizationWindow-1)), "s", ""},
		{"a loan after the stabilization window", fastRollOut, combine(demand(100), trend("p", 1, stabilizationWindow)), "s", "drain:s00>p"},
		{"weights on buffer cost and moves lend later", lowCost, combine(demand(80), trend("p", 1, stabilizationWindow)), "s", ""},
		{"but lend when demand exceeds the pool", lowCost, combine(demand(100), trend("p", 1, stabilizationWindow)), "s", "drain:s00>p"},
		{"weights on protection lend for the buffer", fastRollOut, combine(demand(80), trend("p", 1, stabilizationWindow)), "s", "drain:s00>p"},
		{"no loan below the lender's capacity", fastRollOut, combine(demand(100), trend("p", 1, stabilizationWindow),
			withFailed("s00", "s01", "s02", "s03")), "s", "wait"},
		{"a loan stays", fastRollOut, combine(loan, trend("p", -1, stabilizationWindow)), "p", ""},
		{"a loan returns", fastRollOut, combine(loan, withSurvive(config.Failures{Workers: 1}),
			trend("p", -1, stabilizationWindow+15*returnDelayPerPercent)), "p", "drain:s00>s"},
		{"weights on moves return later", lowCost, combine(loan, trend("p", -1, stabilizationWindow+15*returnDelayPerPercent)), "p", ""},
		{"a loan returns when its own pool is short", lowCost, combine(loan, withSurvive(config.Failures{Workers: 1}), trend("s", 1, stabilizationWindow),
			func(f *Fields) { f.Demand["s"] = 90 }), "p", "drain:s00>s"},
	}
	for _, test := range tests {
		if got := describe(PlanPool(newState(test.weights, test.change), test.pool)); got != test.want {
			t.Errorf("%s: steps got %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against a buffer that counts a rack of a failed zone twice or ignores the zones and racks of the members.
func TestBuffer(t *testing.T) {
	tests := []struct {
		survive config.Failures
		change  func(*Fields)
		want    int
	}{
		{config.Failures{Racks: 1}, nil, 2},
		{config.Failures{Zones: 1}, nil, 4},
		{config.Failures{Workers: 3}, nil, 3},
		{config.Failures{Zones: 1, Racks: 1}, nil, 6},
		{config.Failures{Zones: 3, Racks: 1}, nil, 12},
		{config.Failures{Workers: 20}, nil, 12},
		{config.Failures{Racks: 1}, withInstance("p00", func(m *InstanceFields) { m.Rack = "1" }), 3},
		{config.Failures{Racks: 1}, withFailed("p00", "p02", "p04", "p06", "p08", "p10"), 1},
		// The zones are equally large, but the rack of four in zone a only adds to the loss of another zone.
		{config.Failures{Zones: 1, Racks: 1}, func(f *Fields) {
			for i := range 4 {
				f.Instances[i].Rack = "0"
			}
		}, 8},
	}
	for i, test := range tests {
		s := newState(fastRollOut, test.change)
		s.pools["p"].pool.Survive = test.survive
		if got := s.BufferOf("p"); got.Workers() != test.want || !strings.Contains(got.Text(), fmt.Sprint(test.want)) {
			t.Errorf("case %d: buffer got %d workers (%s), want %d", i, got.Workers(), got.Text(), test.want)
		}
	}
	want := "declared failures take at most 2 of 12 workers (rack 0 in zone a holds 2); serving 12, capacity 8, spare 4: " +
		"the buffer is covered"
	if got := newState(fastRollOut, nil).BufferOf("p").Text(); got != want {
		t.Errorf("buffer text got %q, want %q", got, want)
	}
}

package measure

import (
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/examples"
	"magnoliaferry/fleet"
	"magnoliaferry/planner"
)

// exampleFleet is one of the two example fleets.
type exampleFleet struct {
	name string
	body []byte
}

var exampleFleets = []exampleFleet{{"kervan", examples.KervanEtki}, {"lone-star", examples.LoneStar}}

// weightsOf returns the planner weights that an encoded configuration declares.
func weightsOf(body []byte) config.Weights {
	c, problems := config.Decode("fleet.json", body)
	if c == nil {
		panic(problems)
	}
	return c.Weights()
}

// fleetPolicy is one row of the tables: the planner weights, how operators carry out the roll-out, and how jobs are
// placed.
type fleetPolicy struct {
	name    string
	weights config.Weights
	drive   func(s *fleetSim) // issues the operators' orders of each second
	// firstFit means that the function firstFit places the jobs, instead of the control loops.
	firstFit bool
}

// fleetScenario simulates a whole fleet with its control loops.
type fleetScenario struct {
	text           string
	example        exampleFleet
	policies       []fleetPolicy
	duration       clock.Millis
	setUp          func(s *fleetSim)
	beforeTick     func(s *fleetSim) // called before each tick; nil for none
	rollOut        bool              // the scenario rolls out maintenance and reports its duration
	urgentStarts   bool              // the longest delay until an urgent job starts is reported
	withOneAtATime bool              // the policy "one at a time" is included, which takes most of the run time
}

// Group implements Scenario.
func (f fleetScenario) Group() string { return "fleet" }

// Text implements Scenario.
func (f fleetScenario) Text() string { return f.text }

// Run implements Scenario.
func (f fleetScenario) Run(seed uint64, runs int) []Row {
	names := make([]string, len(f.policies))
	for i, p := range f.policies {
		names[i] = p.name
	}
	return meanRows(names, runs, func(i, run int) Row { return f.simulate(f.policies[i], seed+uint64(run)) })
}

// simulate returns the figures of one run. All figures but those of the roll-out, the violations and the cut requests cover the
// same duration for every policy. A roll-out that has not ended by rollOutLimit is reported with that time.
func (f fleetScenario) simulate(p fleetPolicy, seed uint64) Row {
	s := newFleetSim(f.example.body, p.weights, seed)
	s.firstFit = p.firstFit
	f.setUp(s)
	row := NewRow(p.name)
	step := func() {
		if f.beforeTick != nil {
			f.beforeTick(s)
		}
		p.drive(s)
		s.tick()
	}
	rolledOut := rollOutLimit
	for s.now() < f.duration {
		step()
		if rolledOut == rollOutLimit && s.rolledOut() {
			rolledOut = s.now()
		}
	}
	counted := s.fleetCounts
	jobFigures := s.tasks.figures(f.urgentStarts)
	for f.rollOut && rolledOut == rollOutLimit && s.now() < rollOutLimit {
		if step(); s.rolledOut() {
			rolledOut = s.now()
		}
	}
	if f.rollOut {
		took := float64(rolledOut) / float64(clock.Second)
		bound := float64(s.lowerBound()) / float64(clock.Second)
		row.Add("roll-out s", took)
		row.Add("lower bound s", bound)
		row.Add("distance %", 100*(took-bound)/bound)   // of the duration from the lower bound
		row.Add("not reached", float64(s.notReached())) // instances without maintenance since the beginning
	}
	counted.violations, counted.requestsCut = s.violations, s.requestsCut // these must be 0 over the whole run
	counted.figures(&row, f.duration)
	for _, figure := range jobFigures {
		row.Add(figure.name, figure.value)
	}
	return row
}

// rollOutLimit is the time after which a run ends although its roll-out has not.
const rollOutLimit = 40 * clock.Minute

// figures adds the figures that every scenario reports.
func (c fleetCounts) figures(row *Row, duration clock.Millis) {
	seconds := float64(duration / fleetTick)
	row.Add("buffer workers", float64(c.bufferWorkers)/seconds)
	row.Add("wanted buffer", float64(c.wantedBuffer)/float64(max(c.samples, 1)))
	row.Add("short workers", float64(c.shortWorkers)/seconds)
	row.Add("moves", float64(c.moves))
	row.Add("over budget s", float64(c.overBudget))
	row.Add("budget violations", float64(c.violations))
	row.Add("requests cut", float64(c.requestsCut))
}

// lowerBound returns the duration of the shortest roll-out that the budgets allow: nothing fails, and no part of a
// budget is kept free for failures.
func (s *fleetSim) lowerBound() (bound clock.Millis) {
	const drain = 5 * clock.Second // the planner lets an instance drain at least this long
	for _, p := range s.fields.Pools {
		budget := max(min(p.MaxUnavailable, p.Instances-p.Capacity), 1)
		bound = max(bound, clock.Millis((p.Instances+budget-1)/budget)*(drain+s.store.RebootTime))
	}
	return bound
}

// driveWaves starts the maintenance wave of every pool at the beginning, and every minute orders each pool's wave to
// resume, until the roll-out is complete.
func driveWaves(s *fleetSim) {
	if s.now()%(10*clock.Second) != 0 || s.now() > 0 && s.rolledOut() {
		return
	}
	for _, p := range s.fields.Pools {
		if s.now() == 0 {
			_ = s.operatorLoops[0].Wave(s.ctx, p.Name, fleet.WaveStart, "operator")
		} else if s.now()%clock.Minute == 0 {
			_ = s.operatorLoops[0].Wave(s.ctx, p.Name, fleet.WaveResume, "operator")
		}
	}
}

// remaining returns the serving instances of a pool that were not maintained since the scenario began, in the planner's
// order, and the number of instances that are neither serving nor failed. An empty name of a pool means all pools.
func (s *fleetSim) remaining(pool string) (remaining []string, notServing int) {
	for id, r := range s.records {
		switch {
		case pool != "" && r.Pool != pool || r.Phase == planner.Failed:
		case r.Phase != planner.Serving:
			notServing++
		case r.Maintained < s.started:
			remaining = append(remaining, id)
		}
	}
	slices.SortFunc(remaining, func(a, b string) int {
		return planner.Compare(planner.InstanceFields{RecordFields: s.records[a]}, planner.InstanceFields{RecordFields: s.records[b]})
	})
	return remaining, notServing
}

// oneAtATime drains the next instance once all instances of the fleet that have not failed are serving.
func oneAtATime(s *fleetSim) {
	if remaining, notServing := s.remaining(""); notServing == 0 && len(remaining) > 0 {
		_ = s.operatorLoops[0].Drain(s.ctx, remaining[0], false)
		s.observe()
	}
}

// quarterAtOnce drains a quarter of a pool once the previous quarter serves again, as far as the budget allows.
func quarterAtOnce(s *fleetSim) {
	for _, p := range s.fields.Pools {
		remaining, notServing := s.remaining(p.Name)
		if notServing > 0 {
			continue
		}
		for _, id := range remaining[:min((p.Instances+3)/4, len(remaining))] {
			if s.operatorLoops[0].Drain(s.ctx, id, false) != nil {
				break
			}
		}
		s.observe()
	}
}

// rollOutPolicies returns the policies of the scenarios with a roll-out.
func rollOutPolicies(withOneAtATime bool) []fleetPolicy {
	kervan, loneStar := weightsOf(examples.KervanEtki), weightsOf(examples.LoneStar)
	all := []fleetPolicy{
		{name: "ours, Kervan Etki's weights", weights: kervan, drive: driveWaves},
		{name: "ours, Lone Star's weights", weights: loneStar, drive: driveWaves},
		{name: "a quarter at once", weights: kervan, drive: quarterAtOnce},
	}
	if withOneAtATime {
		all = append(all, fleetPolicy{name: "one at a time", weights: kervan, drive: oneAtATime})
	}
	return all
}

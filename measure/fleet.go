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

// weightsOf returns the weights that a printed configuration declares.
func weightsOf(body []byte) config.Weights {
	c, problems := config.Decode("fleet.json", body)
	if c == nil {
		panic(problems)
	}
	return c.Weights()
}

// fleetPolicy is one row of the tables: how a roll-out is driven.
type fleetPolicy struct {
	name    string
	weights config.Weights
	drive   func(s *fleetSim) // orders of the operators in each second
	// firstFit places jobs by the stand-in instead of the control loops.
	firstFit bool
}

// fleetScenario is one situation of a whole fleet.
type fleetScenario struct {
	text           string
	example        exampleFleet
	policies       []fleetPolicy
	duration       clock.Millis
	setUp          func(s *fleetSim)
	beforeTick     func(s *fleetSim) // before each second
	rollOut        bool              // the roll-out is measured
	urgentStarts   bool              // starts of urgent jobs are measured
	withOneAtATime bool              // one instance at a time is measured, which takes most of the run time
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

// simulate measures one run. The figures other than the roll-out time cover the same duration for every policy; a roll-out
// that has not ended by rollOutLimit counts with that time.
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
		row.Add("distance %", 100*(took-bound)/bound)
		row.Add("not reached", float64(s.notReached()))
	}
	counted.violations, counted.requestsCut = s.violations, s.requestsCut // these must be 0 over the whole run
	counted.figures(&row, f.duration)
	for _, figure := range jobFigures {
		row.Add(figure.name, figure.value)
	}
	return row
}

// rollOutLimit is when a roll-out that has not ended is given up.
const rollOutLimit = 40 * clock.Minute

// figures adds what every scenario measures.
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

// lowerBound returns the shortest roll-out that the budgets allow when nothing fails and no room is left for failures.
func (s *fleetSim) lowerBound() (bound clock.Millis) {
	const drain = 5 * clock.Second // an instance drains at least that long, see the planner
	for _, p := range s.fields.Pools {
		budget := max(min(p.MaxUnavailable, p.Instances-p.Capacity), 1)
		bound = max(bound, clock.Millis((p.Instances+budget-1)/budget)*(drain+s.store.RebootTime))
	}
	return bound
}

// driveWaves starts the maintenance wave of every pool, and starts or resumes one that was stopped.
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

// remaining returns the serving instances that the roll-out has still to reach, in the order of pool and id.
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

// oneAtATime drains one instance of the whole fleet after the other.
func oneAtATime(s *fleetSim) {
	if remaining, notServing := s.remaining(""); notServing == 0 && len(remaining) > 0 {
		_ = s.operatorLoops[0].Drain(s.ctx, remaining[0], false)
		s.observe()
	}
}

// quarterAtOnce drains a quarter of a pool when the quarter before has returned, as far as the budget allows.
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

// rollOutPolicies are the rows of the scenarios with a roll-out.
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

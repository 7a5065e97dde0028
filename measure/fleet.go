package measure

import (
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/examples"
	"magnoliaferry/fleet"
	"magnoliaferry/planner"
)

// fleetUser is one of the two example fleets.
type fleetUser struct {
	name string
	body []byte
}

var fleetUsers = []fleetUser{{"kervan", examples.KervanEtki}, {"lone-star", examples.LoneStar}}

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
	text     string
	user     fleetUser
	policies []fleetPolicy
	duration clock.Millis
	setUp    func(s *fleetSim)
	each     func(s *fleetSim) // before each second
	rollOut  bool              // the roll-out is measured
	urgent   bool              // starts of urgent jobs are measured
	slow     bool              // one instance at a time is measured, which takes most of the run time
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
	return meanRows(names, runs, func(i, run int) Row { return f.once(f.policies[i], seed+uint64(run)) })
}

// once measures one run. The figures other than the roll-out time cover the same duration for every policy; a roll-out
// that has not ended by rollOutLimit counts with that time.
func (f fleetScenario) once(p fleetPolicy, seed uint64) Row {
	s := newFleetSim(f.user.body, p.weights, seed)
	s.firstFit = p.firstFit
	f.setUp(s)
	row := NewRow(p.name)
	step := func() {
		if f.each != nil {
			f.each(s)
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
	jobFigures := s.tasks.figures(f.urgent)
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
	counted.violations, counted.cut = s.violations, s.cut // these must be 0 over the whole run
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
	row.Add("buffer workers", float64(c.buffer)/seconds)
	row.Add("wanted buffer", float64(c.wanted)/float64(max(c.asked, 1)))
	row.Add("short workers", float64(c.short)/seconds)
	row.Add("moves", float64(c.moves))
	row.Add("over budget s", float64(c.over))
	row.Add("budget violations", float64(c.violations))
	row.Add("requests cut", float64(c.cut))
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

// wave starts the maintenance wave of every pool, and starts or resumes one that was stopped.
func wave(s *fleetSim) {
	if s.now()%(10*clock.Second) != 0 || s.now() > 0 && s.rolledOut() {
		return
	}
	for _, p := range s.fields.Pools {
		if s.now() == 0 {
			_ = s.desks[0].Wave(s.ctx, p.Name, fleet.WaveStart, "operator")
		} else if s.now()%clock.Minute == 0 {
			_ = s.desks[0].Wave(s.ctx, p.Name, fleet.WaveResume, "operator")
		}
	}
}

// due returns the serving instances that the roll-out has still to reach, in the order of pool and id.
func (s *fleetSim) due(pool string) (due []string, out int) {
	for id, r := range s.records {
		switch {
		case pool != "" && r.Pool != pool || r.Phase == planner.Failed:
		case r.Phase != planner.Serving:
			out++
		case r.Maintained < s.started:
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return planner.Compare(planner.InstanceFields{RecordFields: s.records[a]}, planner.InstanceFields{RecordFields: s.records[b]})
	})
	return due, out
}

// oneAtATime drains one instance of the whole fleet after the other.
func oneAtATime(s *fleetSim) {
	if due, out := s.due(""); out == 0 && len(due) > 0 {
		_ = s.desks[0].Drain(s.ctx, due[0], false)
		s.observe()
	}
}

// quarterAtOnce drains a quarter of a pool when the quarter before has returned, as far as the budget allows.
func quarterAtOnce(s *fleetSim) {
	for _, p := range s.fields.Pools {
		due, out := s.due(p.Name)
		if out > 0 {
			continue
		}
		for _, id := range due[:min((p.Instances+3)/4, len(due))] {
			if s.desks[0].Drain(s.ctx, id, false) != nil {
				break
			}
		}
		s.observe()
	}
}

// rollOutPolicies are the rows of the scenarios with a roll-out.
func rollOutPolicies(slow bool) []fleetPolicy {
	kervan, loneStar := weightsOf(examples.KervanEtki), weightsOf(examples.LoneStar)
	all := []fleetPolicy{
		{name: "ours, Kervan Etki's weights", weights: kervan, drive: wave},
		{name: "ours, Lone Star's weights", weights: loneStar, drive: wave},
		{name: "a quarter at once", weights: kervan, drive: quarterAtOnce},
	}
	if slow {
		all = append(all, fleetPolicy{name: "one at a time", weights: kervan, drive: oneAtATime})
	}
	return all
}

package measure

import (
	"slices"
	"sync"

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
}

// Group implements Scenario.
func (f fleetScenario) Group() string { return "fleet" }

// Text implements Scenario.
func (f fleetScenario) Text() string { return f.text }

// Run implements Scenario.
func (f fleetScenario) Run(seed uint64, runs int) []Row {
	results := make([]Row, len(f.policies)*runs)
	var done sync.WaitGroup
	places := make(chan struct{}, parallelRuns)
	for i := range results {
		done.Add(1)
		places <- struct{}{}
		go func() {
			defer done.Done()
			results[i] = f.once(f.policies[i/runs], seed+uint64(i%runs))
			<-places
		}()
	}
	done.Wait()
	rows := make([]Row, 0, len(f.policies))
	for i, p := range f.policies {
		sum := NewRow(p.name)
		for _, one := range results[i*runs : (i+1)*runs] {
			for _, name := range one.names {
				sum.Add(name, one.figures[name])
			}
		}
		sum.Scale(1 / float64(runs))
		rows = append(rows, sum)
	}
	return rows
}

// once measures one run. The figures cover the whole duration, so that policies with other roll-out times compare; a
// roll-out that has not ended counts with the duration.
func (f fleetScenario) once(p fleetPolicy, seed uint64) Row {
	s := newFleetSim(f.user.body, p.weights, seed)
	if f.setUp != nil {
		f.setUp(s)
	}
	rolledOut := f.duration
	for s.now() < f.duration {
		if f.each != nil {
			f.each(s)
		}
		p.drive(s)
		s.tick()
		if rolledOut == f.duration && s.rolledOut() {
			rolledOut = s.now()
		}
	}
	row := NewRow(p.name)
	if f.rollOut {
		took := float64(rolledOut) / float64(clock.Second)
		bound := float64(s.lowerBound()) / float64(clock.Second)
		row.Add("roll-out s", took)
		row.Add("lower bound s", bound)
		row.Add("distance %", 100*(took-bound)/bound)
	}
	s.figures(&row)
	return row
}

// figures adds what every scenario measures.
func (s *fleetSim) figures(row *Row) {
	seconds := float64(s.now() / fleetTick)
	row.Add("buffer workers", float64(s.buffer)/seconds)
	row.Add("short workers", float64(s.short)/seconds)
	row.Add("moves", float64(s.moves))
	row.Add("over budget s", float64(s.over))
	row.Add("budget violations", float64(s.violations))
	row.Add("requests cut", float64(s.cut))
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

func rollOutPolicies() []fleetPolicy {
	kervan, loneStar := weightsOf(examples.KervanEtki), weightsOf(examples.LoneStar)
	return []fleetPolicy{
		{"ours, Kervan Etki's weights", kervan, wave},
		{"ours, Lone Star's weights", loneStar, wave},
		{"one at a time", kervan, oneAtATime},
		{"a quarter at once", kervan, quarterAtOnce},
	}
}

func init() {
	for _, u := range fleetUsers {
		for name, f := range rollOutScenarios() {
			f.user, f.policies = u, rollOutPolicies()
			f.duration = 40 * clock.Minute
			f.rollOut = true
			Scenarios.Register(name+"/"+u.name, f)
		}
	}
}

// rollOutScenarios describes every roll-out over the whole fleet.
func rollOutScenarios() map[string]fleetScenario {
	return map[string]fleetScenario{
		"roll-out-quiet": {text: "A roll-out over the whole fleet while every pool requests 30% of its slots."},
	}
}

package measure

import (
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/examples"
	"magnoliaferry/fault"
	"magnoliaferry/fleet"
	"magnoliaferry/memory"
)

func init() {
	for _, e := range exampleFleets {
		for name, f := range rollOutScenarios() {
			f.example, f.policies, f.rollOut = e, rollOutPolicies(f.withOneAtATime), true
			if f.setUp == nil {
				f.setUp = background
			}
			Scenarios.Register(name+"/"+e.name, f)
		}
		for name, f := range jobScenarios() {
			f.example, f.policies = e, jobPolicies()
			Scenarios.Register(name+"/"+e.name, f)
		}
	}
}

// jobPolicies returns the policies of the scenarios without a roll-out.
func jobPolicies() []fleetPolicy {
	idle := func(*fleetSim) {}
	return []fleetPolicy{
		{name: "ours, Kervan Etki's weights", weights: weightsOf(examples.KervanEtki), drive: idle},
		{name: "ours, Lone Star's weights", weights: weightsOf(examples.LoneStar), drive: idle},
		{name: "first fit", weights: weightsOf(examples.KervanEtki), drive: firstFit, firstFit: true},
	}
}

// background submits 12 jobs of an hour and 4 run-once jobs of 30 s, so that drains meet running tasks.
func background(s *fleetSim) {
	for i := range 16 {
		f := config.JobFields{Name: fmt.Sprintf("background-%d", i), Team: "research", Pool: s.poolName(i),
			Urgency: config.Batch, Cores: 4, MemoryMB: 4096, RunTime: clock.Hour, Attempts: 5}
		if i%4 == 3 {
			f.RunOnce, f.RunTime = true, 30*clock.Second
		}
		s.tasks.submit(f)
	}
}

// poolName returns the pool of job number i; jobs are spread over the pools in turn.
func (s *fleetSim) poolName(i int) string { return s.fields.Pools[i%len(s.fields.Pools)].Name }

// surges makes the demand of each pool in turn five times its mean for one period, and a twentieth of the mean
// otherwise.
func surges(s *fleetSim, period clock.Millis) {
	s.load = func(_ string, index int, now clock.Millis) float64 {
		if int(max(now, 0)/period)%len(s.fields.Pools) == index {
			return 5 * meanLoad
		}
		return meanLoad / 20
	}
}

// failWorkers makes a random 1 in 25 workers fail every task from now on.
func (s *fleetSim) failWorkers() {
	total := 0
	for _, p := range s.fields.Pools {
		total += p.Instances
	}
	for _, i := range s.random.Perm(total)[:total/25] {
		s.failingTasks[fmt.Sprintf("w%02d", i)] = true
	}
}

// injectTableFault injects a fault into every access to the table.
func (s *fleetSim) injectTableFault(kind fault.Kind) {
	for _, step := range []string{memory.StepRead, memory.StepCommit, memory.StepScan} {
		s.faults.Always(step, kind, 0)
	}
}

// rollOutScenarios returns the scenarios of a roll-out over the whole fleet, by name. The caller sets the example fleet
// and the policies.
func rollOutScenarios() map[string]fleetScenario {
	const second, minute = clock.Second, clock.Minute
	return map[string]fleetScenario{
		"roll-out-quiet": {duration: 8 * minute, withOneAtATime: true,
			text: "A roll-out over the whole fleet while every pool requests 30% of its slots."},
		"roll-out-surges": {duration: 8 * minute,
			text: "A roll-out while each pool in turn requests five times its mean for 10 s, and a twentieth of it between.",
			setUp: func(s *fleetSim) {
				background(s)
				surges(s, 10*second)
			}},
		"roll-out-long-surges": {duration: 13 * minute,
			text: "A roll-out while each pool in turn requests five times its mean for 150 s, and a twentieth of it between.",
			setUp: func(s *fleetSim) {
				background(s)
				surges(s, 150*second)
			}},
		"roll-out-rack-lost": {duration: 8 * minute, withOneAtATime: true,
			text: "A rack of 4 workers is lost 60 s into a roll-out and is back after 5 min.",
			beforeTick: func(s *fleetSim) {
				switch s.now() {
				case minute:
					zone := s.fields.Zones[1].Name
					s.lose(zone, zone+"-0")
				case 6 * minute:
					s.restore()
				}
			}},
		"roll-out-zone-lost": {duration: 8 * minute,
			text: "A zone is lost 60 s into a roll-out, with its entry instance cut off, and is back after 5 min.",
			beforeTick: func(s *fleetSim) {
				zone := s.fields.Zones[1].Name
				switch s.now() {
				case minute:
					s.lose(zone, "")
					s.faults.Partition(zone)
				case 6 * minute:
					s.restore()
					s.faults.Heal(zone)
				}
			}},
		"roll-out-failing-workers": {duration: 8 * minute,
			text: "4% of the workers fail every task from the start of a roll-out and every request from 60 s on.",
			setUp: func(s *fleetSim) {
				background(s)
				s.failWorkers()
			},
			beforeTick: func(s *fleetSim) {
				if s.now() == minute {
					for id := range s.failingTasks {
						s.unhealthy[id] = true
					}
				}
			}},
		"roll-out-operators-race": {duration: 8 * minute,
			text: "Two operators in different zones drain random instances and pause, stop, start and resume waves for 3 min of a roll-out.",
			beforeTick: func(s *fleetSim) {
				if s.now() > 3*minute || s.now()%(2*second) != 0 {
					return
				}
				for _, d := range s.operatorLoops[:2] {
					instance := fmt.Sprintf("w%02d", s.random.IntN(len(s.records)))
					_ = d.Drain(s.ctx, instance, false)
					s.observe()
					action := []fleet.WaveAction{fleet.WavePause, fleet.WaveResume, fleet.WaveStop, fleet.WaveResume}[s.random.IntN(4)]
					_ = d.Wave(s.ctx, s.poolName(s.random.IntN(len(s.fields.Pools))), action, d.Holder)
				}
			}},
		"roll-out-table-down": {duration: 12 * minute,
			text: "The table is down for 10 min from 60 s into a roll-out.",
			beforeTick: func(s *fleetSim) {
				switch s.now() {
				case minute:
					s.injectTableFault(fault.Down)
				case 11 * minute:
					s.faults.ClearAll()
				}
			}},
	}
}

// jobScenarios returns the scenarios of jobs without a roll-out, by name. The caller sets the example fleet and the
// policies.
func jobScenarios() map[string]fleetScenario {
	const second, minute = clock.Second, clock.Minute
	return map[string]fleetScenario{
		"jobs-flood": {duration: 6 * minute, urgentStarts: true, setUp: func(*fleetSim) {},
			text: "400 batch jobs arrive within 10 s, then an urgent job every 5 s; one urgent job in four runs once.",
			beforeTick: func(s *fleetSim) {
				flood(s, 30*second, 400)
				if now := s.now(); now >= 45*second && now < 4*minute && now%(5*second) == 0 {
					i := int(now / (5 * second))
					s.tasks.submit(config.JobFields{Name: fmt.Sprintf("urgent-%d", i), Team: "ministry", Pool: s.poolName(i),
						Urgency: config.Urgent, RunOnce: i%4 == 0, Cores: 8, MemoryMB: 8192, RunTime: 30 * second, Attempts: 5})
				}
			}},
		"jobs-cancelled": {duration: 6 * minute, setUp: func(*fleetSim) {},
			text: "400 batch jobs arrive within 10 s, and 60 s later three in four are cancelled at once.",
			beforeTick: func(s *fleetSim) {
				flood(s, 30*second, 400)
				if s.now() == 95*second {
					var names []string
					for i, j := range s.tasks.order {
						if i%4 != 0 && j.ended == 0 {
							names = append(names, j.fields.Name)
						}
					}
					s.tasks.cancel(names)
				}
			}},
		"jobs-failing-workers": {duration: 6 * minute, setUp: (*fleetSim).failWorkers,
			text:       "150 batch jobs arrive within 10 s while 4% of the workers fail every task.",
			beforeTick: func(s *fleetSim) { flood(s, 30*second, 150) }},
	}
}

// flood submits count batch jobs over ten seconds. One in eleven is run-once; 11 has no factor in common with the number
// of pools, so that every pool receives some of these.
func flood(s *fleetSim, from clock.Millis, count int) {
	if now := s.now(); now >= from && now < from+10*clock.Second {
		for k := range count / 10 {
			i := int((now-from)/clock.Second)*count/10 + k
			s.tasks.submit(config.JobFields{Name: fmt.Sprintf("batch-%d", i), Team: "research", Pool: s.poolName(i),
				Urgency: config.Batch, RunOnce: i%11 == 7, Cores: 4, MemoryMB: 4096, RunTime: 40 * clock.Second, Attempts: 5})
		}
	}
}

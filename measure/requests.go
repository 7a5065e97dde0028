package measure

import (
	"maps"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/routing"
)

// drainTime is how long a run continues after the last arrival, so that every request can end. It covers the deadlines
// of a request and all its repeats.
const drainTime = 40 * clock.Second

// requestScenario simulates callers, entry instances and workers of one deployment.
type requestScenario struct {
	text       string
	duration   clock.Millis
	deployment deployment
	variants   []variant
	setUp      func(s *sim) // adds loads and faults
	flood      func(s *sim) // adds a load whose effect is measured by a run without it; nil for none
}

// Group implements Scenario.
func (r requestScenario) Group() string { return "requests" }

// Text implements Scenario.
func (r requestScenario) Text() string { return r.text }

// Run implements Scenario.
func (r requestScenario) Run(seed uint64, runs int) []Row {
	names := make([]string, len(r.variants))
	for i, v := range r.variants {
		names[i] = v.name
	}
	return meanRows(names, runs, func(i, run int) Row { return r.simulate(r.variants[i], seed+uint64(run)) })
}

func (r requestScenario) simulate(v variant, seed uint64) Row {
	run := func(flooded bool) *sim {
		s := newSim(r.deployment, v, seed, r.duration)
		r.setUp(s)
		if flooded {
			r.flood(s)
		}
		s.clock.Advance(r.duration + drainTime)
		return s
	}
	s := run(r.flood != nil)
	row := s.row()
	if r.flood != nil {
		row.Add("other work kept %", 100*float64(s.answered)/float64(max(run(false).answered, 1)))
	}
	return row
}

func init() {
	for _, d := range deployments {
		registerRequests(d, policyVariants())
	}
	uneven := deployments[0]
	uneven.name, uneven.unequalWeights = "kervan-unequal", true
	registerRequests(uneven, policyVariants(), "surges", "flood-urgent")
	ablated := deployments[0]
	ablated.name = "ablation"
	// Only the scenarios in which one of the mechanisms can make a difference.
	registerRequests(ablated, ablationVariants(), "surges", "flood-batch", "flood-urgent",
		"flood-batch-many", "flood-urgent-many", "slow-worker", "slow-worker-quiet",
		"failing-worker", "failing-worker-quiet", "rack-lost", "silent-connections", "entry-killed",
		"pool-lost")
}

// registerRequests registers the scenarios for a deployment; all of them if no names are given.
func registerRequests(d deployment, variants []variant, names ...string) {
	for _, s := range requestScenarios() {
		wanted := len(names) == 0
		for _, n := range names {
			wanted = wanted || n == s.name
		}
		if !wanted {
			continue
		}
		r := s.scenario
		r.deployment, r.variants = d, variants
		Scenarios.Register(s.name+"/"+d.name, r)
	}
}

// policyVariants returns the policies of selecting a worker, each with the default admission and slots, and the
// baselines.
func policyVariants() []variant {
	var all []variant
	for _, policy := range []string{"round-robin", "random", "two-choices", "least-used", "least-used-distance", "weighted"} {
		v := defaultVariant()
		v.name, v.policy = policy, policy
		all = append(all, v)
	}
	return append(all,
		variantWith("first come first served", func(v *variant) { v.fifo = true }),
		variantWith("base shares, no loans", func(v *variant) { v.slots = "base" }),
		variantWith("equal shares, no loans", func(v *variant) { v.slots = "equal" }),
		variantWith("no slot limit", func(v *variant) { v.slots = "unlimited" }))
}

// scoreVariants are variants of the policy "weighted" that leave one term out of its score, or compare another number of
// workers than 3.
var scoreVariants = map[string]routing.Weighted{
	"weighted, no load":     {Choices: 3, NoLoad: true},
	"weighted, no latency":  {Choices: 3, NoLatency: true},
	"weighted, no failures": {Choices: 3, NoFailures: true},
	"weighted, 2 choices":   {Choices: 2},
	"weighted, 5 choices":   {Choices: 5},
}

// ablationVariants returns the default variant and variants that each switch one mechanism off.
func ablationVariants() []variant {
	all := []variant{defaultVariant()}
	for _, name := range slices.Sorted(maps.Keys(scoreVariants)) {
		routing.Policies.Register(name, func() routing.Policy { return scoreVariants[name] })
		all = append(all, variantWith(name, func(v *variant) { v.policy = name }))
	}
	return append(all,
		variantWith("no early refusal", func(v *variant) { v.earlyRefusal = false }),
		variantWith("no class weights", func(v *variant) { v.classWeights = false }),
		variantWith("no fairness", func(v *variant) { v.fairness = false }),
		variantWith("loans kept to their end", func(v *variant) { v.slots = "keep" }),
		variantWith("no loans", func(v *variant) { v.slots = "base" }),
		variantWith("requests before slots", func(v *variant) { v.balanceWithoutSlots = true }),
		variantWith("no ejection", func(v *variant) { v.ejection = false }),
		variantWith("no retry budget", func(v *variant) { v.retryBudget = false }),
		variantWith("no retries", func(v *variant) { v.retries = false }))
}

func variantWith(name string, change func(*variant)) variant {
	v := defaultVariant()
	v.name = name
	change(&v)
	return v
}

func constant(rate float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return rate }
}

// during returns a load function that is rate from one point in time until before another, and 0 otherwise.
func during(from, to clock.Millis, rate float64) func(clock.Millis) float64 {
	return func(now clock.Millis) float64 {
		if now < from || now >= to {
			return 0
		}
		return rate
	}
}

// steady returns a setUp that sends a constant load from 20 callers to the first pool. 3 in 10 requests are not
// idempotent.
func steady(rate float64) func(s *sim) {
	return func(s *sim) { s.startLoad(0, load{rate: constant(rate), callers: 20, name: "c", idempotent: 0.7}) }
}

// steadyWithFaults returns a setUp that adds faults to a steady load.
func steadyWithFaults(rate float64, faults func(s *sim)) func(s *sim) {
	return func(s *sim) {
		steady(rate)(s)
		faults(s)
	}
}

// at calls f when the simulation reaches time t.
func (s *sim) at(t clock.Millis, f func()) { s.clock.AfterFunc(t-s.clock.Now(), f) }

type namedScenario struct {
	name     string
	scenario requestScenario
}

// requestScenarios returns every scenario without deployment and variants, which the caller sets.
func requestScenarios() []namedScenario {
	const second = clock.Second
	return []namedScenario{
		{"surges", requestScenario{duration: 20 * second,
			text: "Each of the five pools requests five times its mean of 30% for 4 s in turn, and a twentieth of it between.",
			setUp: func(s *sim) {
				for p := range s.workers {
					s.startLoad(p, load{callers: 20, name: "c", idempotent: 0.7, rate: func(now clock.Millis) float64 {
						if int(now/(4*second)) == p {
							return 5 * 0.3
						}
						return 0.3 / 20
					}})
				}
			}}},
		{"flood-batch", requestScenario{duration: 20 * second,
			text:  "At 50% load one caller sends 4 times what the pool can serve as batch work for 10 s.",
			setUp: steady(0.5),
			flood: func(s *sim) {
				s.startLoad(0, load{rate: during(5*second, 15*second, 4), callers: 1, name: "flood", urgency: config.Batch,
					idempotent: 1, flood: true})
			}}},
		{"flood-urgent", requestScenario{duration: 20 * second,
			text:  "At 50% load one caller sends 4 times what the pool can serve as urgent work for 10 s.",
			setUp: steady(0.5),
			flood: func(s *sim) {
				s.startLoad(0, load{rate: during(5*second, 15*second, 4), callers: 1, name: "flood", urgency: config.Urgent,
					idempotent: 1, flood: true})
			}}},
		{"flood-batch-many", requestScenario{duration: 20 * second,
			text:  "At 50% load 60 callers together send 4 times what the pool can serve as batch work for 10 s.",
			setUp: steady(0.5),
			flood: func(s *sim) {
				s.startLoad(0, load{rate: during(5*second, 15*second, 4), callers: 60, name: "flood", urgency: config.Batch,
					idempotent: 1, flood: true})
			}}},
		{"flood-urgent-many", requestScenario{duration: 20 * second,
			text:  "At 50% load 60 callers together send 4 times what the pool can serve as urgent work for 10 s.",
			setUp: steady(0.5),
			flood: func(s *sim) {
				s.startLoad(0, load{rate: during(5*second, 15*second, 4), callers: 60, name: "flood", urgency: config.Urgent,
					idempotent: 1, flood: true})
			}}},
		{"slow-worker", requestScenario{duration: 20 * second,
			text: "At 50% load one worker takes ten times as long from 2 s on.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(2*second, func() { s.workers[0][0].slowness = 10 })
			})}},
		{"failing-worker", requestScenario{duration: 20 * second,
			text: "At 50% load one worker answers every request with an error within 5 ms from 2 s to 12 s.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(2*second, func() { s.workers[0][0].state = fails })
				s.at(12*second, func() { s.workers[0][0].state = works })
			})}},
		{"slow-worker-quiet", requestScenario{duration: 20 * second,
			text: "At 20% load one worker takes ten times as long from 2 s on.",
			setUp: steadyWithFaults(0.2, func(s *sim) {
				s.at(2*second, func() { s.workers[0][0].slowness = 10 })
			})}},
		{"failing-worker-quiet", requestScenario{duration: 20 * second,
			text: "At 20% load one worker answers every request with an error within 5 ms from 2 s to 12 s.",
			setUp: steadyWithFaults(0.2, func(s *sim) {
				s.at(2*second, func() { s.workers[0][0].state = fails })
				s.at(12*second, func() { s.workers[0][0].state = works })
			})}},
		{"rack-lost", requestScenario{duration: 20 * second,
			text: "At 50% load a rack of 4 workers is lost at 5 s without closing its connections.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(5*second, func() { s.loseRack() })
			})}},
		{"silent-connections", requestScenario{duration: 20 * second,
			text: "At 50% load the connections of one worker after the other go silent, one worker every 1.5 s.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				for i, w := range s.workers[0] {
					s.at(2*second+clock.Millis(i)*1500, func() {
						for _, e := range s.entries {
							s.silence(e, w)
						}
					})
				}
			})}},
		{"zone-cut", requestScenario{duration: 20 * second,
			text: "At 50% load zone b is cut off from the other zones and from the platform from 5 s to 15 s; callers still reach it.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(5*second, func() {
					s.cutZone = "b"
					s.faults.Partition("b")
					for _, pool := range s.workers {
						for _, w := range pool {
							s.lose(w)
						}
					}
				})
				s.at(15*second, func() { s.cutZone = ""; s.faults.Heal("b") })
			})}},
		{"table-down", requestScenario{duration: 20 * second,
			text: "At 50% load the table is down from 5 s to 15 s; 3 in 10 requests are not idempotent.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(5*second, func() { s.injectTableFault(fault.Down) })
				s.at(15*second, func() { s.faults.ClearAll() })
			})}},
		{"table-slow", requestScenario{duration: 20 * second,
			text: "At 50% load each access to the table takes 400 ms from 5 s to 10 s and more than its timeout until 15 s.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(5*second, func() { s.tableDelay = 400 })
				s.at(10*second, func() { s.tableDelay = 2 * second })
				s.at(15*second, func() { s.tableDelay = 0 })
			})}},
		{"table-loses-answers", requestScenario{duration: 20 * second,
			text: "At 50% load the answers of the table's writes are lost from 5 s to 15 s.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(5*second, func() { s.faults.Always(memory.StepCommit, fault.LoseAnswer, 0) })
				s.at(15*second, func() { s.faults.ClearAll() })
			})}},
		{"entry-killed", requestScenario{duration: 45 * second,
			text: "At 50% load an entry instance is killed at 5 s and replaced at 8 s, and another one at 20 s and 23 s.",
			setUp: steadyWithFaults(0.5, func(s *sim) {
				s.at(5*second, func() { s.kill(s.entries[0], 3*second, 1) })
				s.at(20*second, func() { s.kill(s.entries[1], 3*second, 2) })
			})}},
		{"pool-lost", requestScenario{duration: 25 * second,
			text: "At 25% load 7 of 10 workers are lost at 5 s without closing their connections and are back at 15 s.",
			setUp: steadyWithFaults(0.25, func(s *sim) {
				for _, w := range s.workers[0][:7] {
					s.at(5*second, func() { w.state = lost; s.lose(w) })
					s.at(15*second, func() { w.state = works })
				}
			})}},
		{"pool-failing", requestScenario{duration: 20 * second,
			text: "At 30% load 7 of 10 workers answer every request with an error from 5 s to 15 s.",
			setUp: steadyWithFaults(0.3, func(s *sim) {
				for _, w := range s.workers[0][:7] {
					s.at(5*second, func() { w.state = fails })
					s.at(15*second, func() { w.state = works })
				}
			})}},
	}
}

// loseRack makes all workers lost of the rack that holds the most workers of the first pool.
func (s *sim) loseRack() {
	type rack struct {
		zone   string
		number int
	}
	count := map[rack]int{}
	best := rack{}
	for _, w := range s.workers[0] {
		r := rack{w.zone, w.rack}
		if count[r]++; count[r] > count[best] {
			best = r
		}
	}
	for _, pool := range s.workers {
		for _, w := range pool {
			if (rack{w.zone, w.rack}) == best {
				w.state = lost
				s.lose(w)
			}
		}
	}
}

// injectTableFault injects a fault into every access to the table.
func (s *sim) injectTableFault(kind fault.Kind) {
	for _, step := range []string{memory.StepRead, memory.StepCommit, memory.StepScan} {
		s.faults.Always(step, kind, 0)
	}
}

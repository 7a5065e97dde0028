package planner

import (
	"fmt"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// stabilizationWindow is how long a pool must have been short of workers, or have had too many, before an instance
// moves.
const stabilizationWindow = 60 * clock.Second

// returnDelayPerPercent is the additional time before a loan is returned, for each percent of the weight on moves. A
// surge that comes back within minutes then still finds the instance in the pool.
const returnDelayPerPercent = 6 * clock.Second

// Wanted returns how many workers a pool needs: the larger of its capacity and the workers for its demand, and the part
// of the buffer that the weights keep. It returns 0 for an unknown pool.
func (s *State) Wanted(pool string) int {
	v := s.pools[pool]
	if v == nil {
		return 0
	}
	w := s.f.Configuration.Weights()
	buffer, _ := v.worstLoss()
	return max(v.pool.Capacity, s.workersForDemand(v)) + bufferShare(w, buffer)
}

// workersForDemand returns how many workers the demand of the pool occupies. It plans with 70% of the slots of a
// worker, and with up to 95% when the weights are on the cost of buffer and on moves only.
func (s *State) workersForDemand(v *view) int {
	w := s.f.Configuration.Weights()
	perWorker := max(v.pool.Slots, 1) * (70 + (w.BufferCost+w.Moves)/4)
	return (100*s.f.Demand[v.pool.Name] + perWorker - 1) / perWorker
}

// tolerance returns by how many workers a pool may differ from its wanted size before an instance moves: a quarter of the
// weight on moves, as a percentage of the members, rounded.
func tolerance(w config.Weights, members int) int { return (members*w.Moves + 200) / 400 }

// imbalance returns the direction of the trend of a pool: 1 when it is short of workers for its demand, -1 when it has
// too many, else 0.
func (s *State) imbalance(v *view) int {
	w := s.f.Configuration.Weights()
	margin := tolerance(w, len(v.members))
	expected := v.serving + v.planned + v.joining + v.inbound // workers that are out for planned work come back soon
	for i := range v.members {
		if v.members[i].Target != "" {
			expected--
		}
	}
	wanted := max(v.pool.Capacity, s.workersForDemand(v))
	if expected < wanted+s.keptBuffer(v)-margin || expected < wanted {
		return 1
	}
	if expected > wanted+s.keptBuffer(v)+margin {
		return -1
	}
	return 0
}

// keptBuffer returns the buffer that the pool keeps when instances move: the part that the weights give, but at most
// what the declared size exceeds the capacity by. Without this limit a pool whose declared size does not include its
// buffer would borrow for ever.
func (s *State) keptBuffer(v *view) int {
	buffer, _ := v.worstLoss()
	return min(bufferShare(s.f.Configuration.Weights(), buffer), max(v.pool.Instances-v.pool.Capacity, 0))
}

// Trends returns the trend of each pool, for Fields.Trends of the next pass. Since is kept from the previous pass
// unless the direction has changed.
func Trends(s *State) map[string]Trend {
	trends := make(map[string]Trend, len(s.pools))
	for name, v := range s.pools {
		t := Trend{s.imbalance(v), s.f.Now}
		if before, known := s.f.Trends[name]; known && before.Direction == t.Direction {
			t.Since = before.Since
		}
		trends[name] = t
	}
	return trends
}

// sustained reports whether the trend of the pool has had the direction for at least the period and still has it.
func (s *State) sustained(v *view, direction int, period clock.Millis) bool {
	t, known := s.f.Trends[v.pool.Name]
	return known && t.Direction == direction && s.imbalance(v) == direction && s.f.Now-t.Since >= period
}

// planMoves drains at most one instance for each reason to move (return of a loan, loan, declared sizes) in a pass,
// because only the next pass sees the new sizes.
func (p *pass) planMoves() {
	p.returnLoan()
	if p.view.pool.Spare {
		p.lend()
	}
	p.rebalance()
}

// returnLoan returns a borrowed instance to its own pool when this pool has had too many workers for long enough, or
// when the own pool is short and this pool has more workers than its capacity and demand need.
func (p *pass) returnLoan() {
	s, v := p.state, p.view
	var loan *InstanceFields
	for i := range v.members {
		if m := &v.members[i]; m.Home != "" && m.Phase == Serving && m.Target == "" && !p.failing[m.ID] {
			loan = m
			break
		}
	}
	if loan == nil {
		return
	}
	delay := stabilizationWindow + returnDelayPerPercent*clock.Millis(s.f.Configuration.Weights().Moves)
	home := s.pools[loan.Home]
	spare := p.serving - max(v.pool.Capacity, s.workersForDemand(v))
	needed := home != nil && s.sustained(home, 1, stabilizationWindow) && spare > 0
	if !needed && !s.sustained(v, -1, delay) {
		return
	}
	if home == nil {
		return // the pool that lent it no longer exists; deficit counts the instance as an own one
	}
	reason := fmt.Sprintf("too many workers for %d s: %d serving, demand needs %d", delay/clock.Second, p.serving,
		s.workersForDemand(v))
	if needed {
		reason = fmt.Sprintf("its home pool %s is short and %d workers here are more than capacity and demand need",
			loan.Home, spare)
	}
	p.drainForMove(loan, loan.Home, false, "loan returns to pool "+loan.Home+": "+reason)
}

// lend lends an instance of a spare pool, which exists to lend instances, to the pool that has been short of workers
// longest.
func (p *pass) lend() {
	s, v := p.state, p.view
	var borrower *view
	for _, name := range s.poolNames {
		b := s.pools[name]
		if b.pool.Spare || b == v || !s.sustained(b, 1, stabilizationWindow) {
			continue
		}
		if borrower == nil || s.f.Trends[name].Since < s.f.Trends[borrower.pool.Name].Since {
			borrower = b
		}
	}
	if borrower == nil {
		return
	}
	to := borrower.pool.Name
	if needed := max(v.pool.Capacity, s.workersForDemand(v)); p.serving-1 < needed {
		p.add(KindWait, "", "a loan to pool %s waits: %d serving here, capacity and demand need %d", to, p.serving, needed)
		return
	}
	chosen := p.chooseForMove(borrower)
	if chosen == nil {
		return
	}
	p.drainForMove(chosen, to, true, fmt.Sprintf("loan to pool %s, short for %d s: %d serving, capacity %d, demand needs %d",
		to, (s.f.Now-s.f.Trends[to].Since)/clock.Second, borrower.serving, borrower.pool.Capacity,
		s.workersForDemand(borrower)))
}

// rebalance moves an instance from a pool that has more workers than it declares to a pool that has fewer.
func (p *pass) rebalance() {
	own := 0
	for i := range p.view.members {
		if m := &p.view.members[i]; m.Home == "" && m.Phase != Failed && m.Target == "" {
			own++
		}
	}
	if own <= p.view.pool.Instances {
		return
	}
	for _, name := range p.state.poolNames {
		b := p.state.pools[name]
		if b == p.view || b.deficit() <= 0 {
			continue
		}
		if m := p.chooseForMove(b); m != nil {
			p.drainForMove(m, name, false, fmt.Sprintf(
				"pool %s declares %d workers and holds %d, this pool declares %d and holds %d",
				name, b.pool.Instances, b.live, p.view.pool.Instances, own))
		}
		return
	}
}

// deficit returns how many workers of its own the pool lacks. Workers that it lent and those that are on their way to
// it count as present.
func (v *view) deficit() int { return v.pool.Instances - (v.live - v.borrowed) - v.lent - v.inboundOwn }

// chooseForMove returns an instance of this pool that may move to the other one, or nil. It prefers the zone in which
// the other pool has the fewest workers.
func (p *pass) chooseForMove(to *view) *InstanceFields {
	counts := map[string]int{}
	for i := range to.members {
		counts[to.members[i].Zone]++
	}
	var chosen *InstanceFields
	for i := range p.view.members {
		m := &p.view.members[i]
		if m.Phase != Serving || m.Home != "" || m.Target != "" || p.failing[m.ID] || p.drainChosen[m.ID] {
			continue
		}
		if chosen == nil || counts[m.Zone] < counts[chosen.Zone] {
			chosen = m
		}
	}
	return chosen
}

// drainForMove drains an instance that then moves to another pool, unless the budget forbids it.
func (p *pass) drainForMove(m *InstanceFields, to string, loan bool, reason string) {
	if p.drainChosen[m.ID] {
		return
	}
	if ok, rule := p.allow(); !ok {
		p.add(KindWait, "", "a move to pool %s waits: %s", to, rule)
		return
	}
	p.add(KindDrain, m.ID, "%s", reason)
	step := &p.steps[len(p.steps)-1]
	step.target, step.loan = to, loan
	p.countDrain(m.ID)
}

// assignInstances assigns instances without a pool to the pools that have fewer workers than they declare. Every pool
// computes the same assignment, so that the control loops of different pools do not compete for an instance.
func (p *pass) assignInstances() {
	if len(p.state.unassigned) == 0 {
		return
	}
	queues := map[string][]*InstanceFields{}
	var zones []string
	for i := range p.state.unassigned {
		m := &p.state.unassigned[i]
		if !m.Listed || m.Leaving || !m.Healthy {
			continue
		}
		if queues[m.Zone] == nil {
			zones = append(zones, m.Zone)
		}
		queues[m.Zone] = append(queues[m.Zone], m)
	}
	for _, queue := range queues {
		interleaveRacks(queue)
	}
	for _, name := range p.state.poolNames {
		v := p.state.pools[name]
		counts := map[string]int{}
		for i := range v.members {
			counts[v.members[i].Zone]++
		}
		for missing := v.deficit(); missing > 0; missing-- {
			best := ""
			for _, zone := range zones {
				if len(queues[zone]) > 0 && (best == "" || counts[zone] < counts[best]) {
					best = zone
				}
			}
			if best == "" {
				return
			}
			counts[best]++
			if v == p.view {
				p.add(KindJoin, queues[best][0].ID, "the pool declares %d workers and lacks %d", v.pool.Instances, missing)
			}
			queues[best] = queues[best][1:]
		}
	}
}

// interleaveRacks orders instances so that neighbours in the queue are in different racks, which spreads each pool over
// the racks.
func interleaveRacks(queue []*InstanceFields) {
	perRack, rankInRack := map[string]int{}, map[string]int{}
	for _, m := range queue {
		rankInRack[m.ID] = perRack[m.Rack]
		perRack[m.Rack]++
	}
	slices.SortStableFunc(queue, func(a, b *InstanceFields) int { return rankInRack[a.ID] - rankInRack[b.ID] })
}

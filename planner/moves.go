package planner

import (
	"fmt"
	"slices"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// hysteresis is how long demand stays above or below the threshold before an instance moves.
const hysteresis = 60 * clock.Second

// returnDelay is the additional time before a loan is returned for each percent that the user minds moves, so that a
// surge that comes back within minutes finds the instance still there.
const returnDelay = 6 * clock.Second

// Wanted returns how many workers a pool needs for its demand, its capacity and the buffer that the weights hold.
func (s *State) Wanted(pool string) int {
	v := s.pools[pool]
	if v == nil {
		return 0
	}
	w := s.f.Configuration.Weights()
	buffer, _ := v.worstLoss()
	return max(v.pool.Capacity, s.need(v)) + hold(w, buffer)
}

// need returns the workers that the demand occupies. Workers are planned at 70% of their slots, and up to 95% for a user
// that minds buffer and moves only.
func (s *State) need(v *view) int {
	w := s.f.Configuration.Weights()
	perWorker := max(v.pool.Slots, 1) * (70 + (w.BufferCost+w.Moves)/4)
	return (100*s.f.Demand[v.pool.Name] + perWorker - 1) / perWorker
}

// slack returns by how many workers a pool may miss its wanted size before an instance moves.
func slack(w config.Weights, members int) int { return (members*w.Moves + 200) / 400 }

// balance returns the direction of a pool: 1 when it is short of workers for its demand, -1 when it has too many.
func (s *State) balance(v *view) int {
	w := s.f.Configuration.Weights()
	margin := slack(w, len(v.members))
	have := v.serving + v.planned + v.joining + v.inbound // planned ones come back soon
	for i := range v.members {
		if v.members[i].Target != "" {
			have--
		}
	}
	wanted := max(v.pool.Capacity, s.need(v))
	if have < wanted+s.surplusHold(v)-margin || have < wanted {
		return 1
	}
	if have > wanted+s.surplusHold(v)+margin {
		return -1
	}
	return 0
}

// surplusHold is the buffer that the pool holds, but no more than its declared size leaves above its capacity: a pool
// that is declared without room for its buffer does not borrow for ever.
func (s *State) surplusHold(v *view) int {
	buffer, _ := v.worstLoss()
	return min(hold(s.f.Configuration.Weights(), buffer), max(v.pool.Instances-v.pool.Capacity, 0))
}

// Trends returns since when each pool has been short or has had too many workers; a change of direction starts over.
func Trends(s *State) map[string]Trend {
	trends := make(map[string]Trend, len(s.pools))
	for name, v := range s.pools {
		t := Trend{s.balance(v), s.f.Now}
		if before, known := s.f.Trends[name]; known && before.Direction == t.Direction {
			t.Since = before.Since
		}
		trends[name] = t
	}
	return trends
}

// held tells whether the pool has kept a direction for the given time.
func (s *State) held(v *view, direction int, period clock.Millis) bool {
	t, known := s.f.Trends[v.pool.Name]
	return known && t.Direction == direction && s.balance(v) == direction && s.f.Now-t.Since >= period
}

// moves takes at most one instance of each kind out in a pass, because the next pass sees the new sizes.
func (p *planning) moves() {
	p.returnLoan()
	if p.view.pool.Spare {
		p.lend()
	}
	p.resize()
}

// returnLoan sends a borrowed instance home when its pool has had too many workers for long enough, or when its home is
// short and the pool can do without.
func (p *planning) returnLoan() {
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
	delay := hysteresis + returnDelay*clock.Millis(s.f.Configuration.Weights().Moves)
	home := s.pools[loan.Home]
	spare := p.serving - max(v.pool.Capacity, s.need(v))
	needed := home != nil && s.held(home, 1, hysteresis) && spare > 0
	if !needed && !s.held(v, -1, delay) {
		return
	}
	if home == nil {
		return // the pool that lent it is gone; resize places the instance
	}
	reason := fmt.Sprintf("too many workers for %d s: %d serving, demand needs %d", delay/clock.Second, p.serving, s.need(v))
	if needed {
		reason = fmt.Sprintf("its home pool %s is short and %d workers here are more than capacity and demand need",
			loan.Home, spare)
	}
	p.moveOut(loan, loan.Home, false, "loan returns to pool "+loan.Home+": "+reason)
}

// lend gives an instance of a spare pool to the pool that has been short longest.
func (p *planning) lend() {
	s, v := p.state, p.view
	var borrower *view
	for _, name := range s.names {
		b := s.pools[name]
		if b.pool.Spare || b == v || !s.held(b, 1, hysteresis) {
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
	if needed := max(v.pool.Capacity, s.need(v)); p.serving-1 < needed {
		p.add(KindWait, "", "a loan to pool %s waits: %d serving here, capacity and demand need %d", to, p.serving, needed)
		return
	}
	chosen := p.spread(borrower)
	if chosen == nil {
		return
	}
	p.moveOut(chosen, to, true, fmt.Sprintf("loan to pool %s, short for %d s: %d serving, capacity %d, demand needs %d", to,
		(s.f.Now-s.f.Trends[to].Since)/clock.Second, borrower.serving, borrower.pool.Capacity, s.need(borrower)))
}

// resize moves an instance from a pool that holds more than it declares to one that holds fewer.
func (p *planning) resize() {
	own := 0
	for i := range p.view.members {
		if m := &p.view.members[i]; m.Home == "" && m.Phase != Failed && m.Target == "" {
			own++
		}
	}
	if own <= p.view.pool.Instances {
		return
	}
	for _, name := range p.state.names {
		b := p.state.pools[name]
		if b == p.view || b.deficit() <= 0 {
			continue
		}
		if m := p.spread(b); m != nil {
			p.moveOut(m, name, false, fmt.Sprintf("pool %s declares %d workers and holds %d, this pool declares %d and holds %d",
				name, b.pool.Instances, b.live, p.view.pool.Instances, own))
		}
		return
	}
}

// deficit returns how many workers of its own a pool lacks; those that it lent and those on their way count as held.
func (v *view) deficit() int { return v.pool.Instances - (v.live - v.borrowed) - v.lent - v.homing }

// spread chooses an instance of the pool that may move: from the zone in which the receiver has the fewest workers.
func (p *planning) spread(to *view) *InstanceFields {
	counts := map[string]int{}
	for i := range to.members {
		counts[to.members[i].Zone]++
	}
	var chosen *InstanceFields
	for i := range p.view.members {
		m := &p.view.members[i]
		if m.Phase != Serving || m.Home != "" || m.Target != "" || p.failing[m.ID] || p.taken[m.ID] {
			continue
		}
		if chosen == nil || counts[m.Zone] < counts[chosen.Zone] {
			chosen = m
		}
	}
	return chosen
}

func (p *planning) moveOut(m *InstanceFields, to string, loan bool, reason string) {
	if p.taken[m.ID] {
		return
	}
	if ok, rule := p.allow(); !ok {
		p.add(KindWait, "", "a move to pool %s waits: %s", to, rule)
		return
	}
	p.add(KindDrain, m.ID, "%s", reason)
	step := &p.steps[len(p.steps)-1]
	step.target, step.loan = to, loan
	p.take(m.ID)
}

// joins puts instances without a pool into the pools that hold fewer workers than they declare. Every pool computes the
// same assignment, so that loops of different pools do not compete for an instance.
func (p *planning) joins() {
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
	for _, name := range p.state.names {
		v := p.state.pools[name]
		held := map[string]int{}
		for i := range v.members {
			held[v.members[i].Zone]++
		}
		for missing := v.deficit(); missing > 0; missing-- {
			best := ""
			for _, zone := range zones {
				if len(queues[zone]) > 0 && (best == "" || held[zone] < held[best]) {
					best = zone
				}
			}
			if best == "" {
				return
			}
			held[best]++
			if v == p.view {
				p.add(KindJoin, queues[best][0].ID, "the pool declares %d workers and lacks %d", v.pool.Instances, missing)
			}
			queues[best] = queues[best][1:]
		}
	}
}

// interleaveRacks orders instances so that neighbours are in different racks, which spreads each pool over racks.
func interleaveRacks(queue []*InstanceFields) {
	seen, turn := map[string]int{}, map[string]int{}
	for _, m := range queue {
		turn[m.ID] = seen[m.Rack]
		seen[m.Rack]++
	}
	slices.SortStableFunc(queue, func(a, b *InstanceFields) int { return turn[a.ID] - turn[b.ID] })
}

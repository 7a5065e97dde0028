package planner

import (
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

const (
	// settle is how long an instance drains at least. Entry instances stop dispatching to it within 3 s (R6), so a
	// platform that reports the drain as ended earlier may still see new requests.
	settle = 5 * clock.Second
	// drainReport is when a drain that has not ended is reported: twenty times the longest deadline of a request.
	drainReport = 10 * clock.Minute
	// rebootLimit is when a reboot that has not ended counts as a failure.
	rebootLimit = 15 * clock.Minute
	// unlistedLimit is when an instance that reboots and is not in the platform's list counts as lost. A wave does not go
	// on to the next zone while an instance reboots, so waiting for rebootLimit held up a wave after the loss of a rack.
	unlistedLimit = 2 * clock.Minute
	// verifyLimit is how long an instance that came back may take to become healthy.
	verifyLimit = 2 * clock.Minute
	// probation is how long after its maintenance a failure of an instance is blamed on the wave.
	probation = 10 * clock.Minute
	// cycle is the time that one instance is out for maintenance, used to pace waves.
	cycle = 10 * clock.Minute
	// unhealthyShare stops a wave when one in this many instances that came back is unhealthy.
	unhealthyShare = 5
	// forgetAfter is how long the record of an instance that left and was not replaced is kept.
	forgetAfter = clock.Day
)

// Plan returns the steps for all pools.
func Plan(s *State) []Step {
	var steps []Step
	for _, name := range s.names {
		steps = append(steps, PlanPool(s, name)...)
	}
	return steps
}

// PlanPool returns the steps that concern the budget of one pool: its own maintenance, instances that join it and
// instances that it gives to other pools. Passes over different pools are independent of each other.
func PlanPool(s *State, pool string) []Step {
	v := s.pools[pool]
	if v == nil {
		return nil
	}
	p := &planning{state: s, view: v, now: s.f.Wall, serving: v.serving, out: v.out, planned: v.planned}
	p.failures()
	p.giveBack()
	p.advance()
	p.wave()
	p.moves()
	p.joins()
	return p.steps
}

// planning is one pass over one pool; the counts include the steps that were chosen so far.
type planning struct {
	state                 *State
	view                  *view
	now                   clock.Millis
	serving, out, planned int
	failing, givingBack   map[string]bool
	taken                 map[string]bool // drained by this pass
	steps                 []Step
}

func (p *planning) add(kind StepKind, instance, format string, arguments ...any) {
	p.steps = append(p.steps, Step{kind: kind, pool: p.view.pool.Name, instance: instance,
		reason: fmt.Sprintf(format, arguments...)})
}

// failures records what the platform's list and the health of the instances show. An instance that is out for planned
// work may be listed as leaving and is unhealthy while it reboots, which is no failure.
func (p *planning) failures() {
	for i := range p.view.members {
		m := &p.view.members[i]
		reason := ""
		switch away := m.Age; {
		case m.Phase == Failed:
			p.forget(m)
			continue
		case m.Phase == Rebooting || m.Phase == Moving:
			if !m.Listed && away > unlistedLimit {
				reason = fmt.Sprintf("not in the platform's list %d s after the reboot began", away/clock.Second)
			} else if m.RebootFailed || away > rebootLimit && !m.Rebooted {
				reason = fmt.Sprintf("the reboot has not ended after %d s", away/clock.Second)
			} else if m.Phase == Moving && m.Rebooted && !m.Healthy && away > rebootLimit {
				reason = fmt.Sprintf("not healthy %d s after the start of its move", away/clock.Second)
			}
		case !m.Listed:
			reason = "not in the platform's list"
		case m.Phase == Verifying:
			if !m.Healthy && away > verifyLimit {
				reason = fmt.Sprintf("not healthy %d s after its return", away/clock.Second)
			}
		case m.Phase == Serving && m.Leaving:
			reason = "leaving"
		case !m.Healthy:
			reason = "not healthy"
		}
		if reason == "" {
			continue
		}
		if p.failing == nil {
			p.failing = map[string]bool{}
		}
		p.failing[m.ID] = true
		if m.Phase == Serving {
			p.serving--
			p.out++
		} else if m.Joining && m.From == "" {
			p.out++
		} else {
			p.planned--
		}
		p.add(KindFail, m.ID, "%s", reason)
	}
}

func (p *planning) forget(m *InstanceFields) {
	if m.Listed {
		return
	}
	switch {
	case p.view.live >= p.view.pool.Instances:
		p.add(KindDeleteRecord, m.ID, "gone, and the pool holds its %d workers without it", p.view.pool.Instances)
	case p.now-m.Since > forgetAfter:
		p.add(KindDeleteRecord, m.ID, "gone for more than %d h", forgetAfter/clock.Hour)
	}
}

// giveBack ends drains while the pool is over its budget, which only failures can cause. The drain that began last is
// given back first, because the others have less left to do.
func (p *planning) giveBack() {
	for p.out > p.view.pool.MaxUnavailable || p.serving < p.view.pool.Capacity {
		var last *InstanceFields
		for i := range p.view.members {
			m := &p.view.members[i]
			if m.Phase == Draining && !p.failing[m.ID] && !p.givingBack[m.ID] && (last == nil || m.Since >= last.Since) {
				last = m
			}
		}
		if last == nil {
			return
		}
		if p.givingBack == nil {
			p.givingBack = map[string]bool{}
		}
		p.givingBack[last.ID] = true
		p.add(KindCancelDrain, last.ID, "failures exceed the budget: %s", p.budget())
		p.serving++
		p.out--
		p.planned--
	}
}

// budget describes the figures of the budget rule.
func (p *planning) budget() string {
	return fmt.Sprintf("%d out of at most %d, %d serving with capacity %d", p.out, p.view.pool.MaxUnavailable, p.serving,
		p.view.pool.Capacity)
}

// advance moves every instance that is out to its next phase when it can.
func (p *planning) advance() {
	for i := range p.view.members {
		m := &p.view.members[i]
		if p.failing[m.ID] || p.givingBack[m.ID] {
			continue
		}
		switch away := m.Age; m.Phase {
		case Draining:
			p.advanceDrain(m, away)
		case Rebooting:
			if m.Rebooted {
				p.add(KindVerify, m.ID, "the reboot has ended after %d s", away/clock.Second)
			}
		case Verifying:
			if m.Healthy {
				p.add(KindReturn, m.ID, "healthy")
			}
		case Moving:
			if m.Rebooted && m.Healthy {
				p.add(KindReturn, m.ID, "healthy in its new pool")
			}
		case Failed:
			if m.Listed && !m.Leaving && m.Healthy {
				p.add(KindVerify, m.ID, "back after a failure (%s)", m.Reason)
			}
		}
	}
}

func (p *planning) advanceDrain(m *InstanceFields, away clock.Millis) {
	switch {
	case m.Target != "" && p.state.pools[m.Target] == nil:
		p.add(KindCancelDrain, m.ID, "pool %s, which it was to move to, no longer exists", m.Target)
	case m.Drained && away >= settle && m.Target != "":
		p.add(KindMove, m.ID, "drained after %d s, goes to pool %s", away/clock.Second, m.Target)
		p.steps[len(p.steps)-1].target = m.Target
	case m.Drained && away >= settle:
		p.add(KindReboot, m.ID, "drained after %d s", away/clock.Second)
	case m.Force && m.Accepted && m.Target == "" && away >= settle:
		p.add(KindReboot, m.ID, "an operator forced the drain after %d s", away/clock.Second)
	case away > drainReport:
		p.add(KindWait, m.ID, "the drain has not ended after %d min; requests still run on it, and only an operator can force it",
			away/clock.Minute)
	}
}

// allow tells whether one more unit of the budget may be used, or the rule and figures that forbid it. Room is left for
// the declared failures that have not happened yet, because a failure during planned work must not break the budget.
func (p *planning) allow() (bool, string) {
	worst, lost := p.view.worstLoss()
	reserve := max(worst-(p.out-p.planned), 0)
	if p.out+1+reserve > p.view.pool.MaxUnavailable {
		return false, "max-unavailable: " + p.budget() + p.reserved(reserve, lost)
	}
	if p.serving-1-reserve < p.view.pool.Capacity {
		return false, "capacity: " + p.budget() + p.reserved(reserve, lost)
	}
	return true, ""
}

func (p *planning) reserved(reserve int, lost string) string {
	if reserve == 0 {
		return ""
	}
	return fmt.Sprintf(", and the declared failures can take %d more (%s)", reserve, lost)
}

// wave starts, continues, stops and finishes the maintenance wave of the pool.
func (p *planning) wave() {
	w, exists := p.state.f.Waves[p.view.pool.Name]
	if !exists || w.State == WaveDone {
		p.startWhenDue(w)
		return
	}
	if w.State != WaveRunning {
		if w.State == WaveStopped || p.overdue() {
			p.add(KindWait, "", "wave %s is %s: %s", w.ID, w.State, w.Reason)
		}
		return
	}
	back, unhealthy, remaining := p.judge(w)
	switch {
	case unhealthy > 0 && unhealthy*unhealthyShare >= back:
		p.add(KindStopWave, "", "%d of %d instances that came back are unhealthy, the limit is one in %d", unhealthy, back,
			unhealthyShare)
	case remaining == 0:
		p.add(KindFinishWave, "", "all %d instances are maintained", p.view.live)
	default:
		p.drainNext(w, remaining)
	}
}

// judge counts the instances that came back from the wave since it was resumed last, those of them that are unhealthy,
// and those that it has still to maintain.
func (p *planning) judge(w WaveFields) (back, unhealthy, remaining int) {
	for i := range p.view.members {
		m := &p.view.members[i]
		failed := m.Phase == Failed && m.Since >= w.Resumed &&
			(m.From == Rebooting || m.From == Verifying || m.From == Serving && m.Since-m.Maintained < probation)
		switch {
		case m.Wave == w.ID && failed:
			back++
			unhealthy++
		case m.Wave == w.ID && m.Maintained >= max(w.Started, w.Resumed):
			back++
		case m.Phase != Failed && m.Maintained < w.Started:
			remaining++
		}
	}
	return back, unhealthy, remaining
}

// drainNext takes instances out in the order of zone, rack and id, and never in two zones at once, so that a failure of
// one zone does not add to planned work in another.
func (p *planning) drainNext(w WaveFields, remaining int) {
	limit := p.parallel(remaining)
	zone := ""
	for i := range p.view.members {
		m := &p.view.members[i]
		if m.Phase == Failed || m.Maintained >= w.Started || p.failing[m.ID] {
			continue
		}
		if m.Phase == Draining && m.Age > drainReport {
			continue // reported; the zones after it need not wait for it
		}
		if zone == "" {
			zone = m.Zone
		}
		if m.Zone != zone {
			return
		}
		if m.Phase != Serving || p.givingBack[m.ID] {
			continue
		}
		if ok, rule := p.allow(); !ok {
			p.add(KindWait, "", "wave %s with %d to maintain waits: %s", w.ID, remaining, rule)
			return
		}
		if p.planned >= limit {
			p.add(KindWait, "", "wave %s with %d to maintain waits: %d are out for planned work, the weights allow %d at once",
				w.ID, remaining, p.planned, limit)
			return
		}
		p.add(KindDrain, m.ID, "maintenance in wave %s, zone %s, rack %s", w.ID, m.Zone, m.Rack)
		p.take(m.ID)
	}
}

func (p *planning) take(instance string) {
	if p.taken == nil {
		p.taken = map[string]bool{}
	}
	p.taken[instance] = true
	p.serving--
	p.out++
	p.planned++
}

// parallel returns how many instances may be out for planned work at once. A user that minds roll-out time at least as
// much as buffer and moves together fills what the declared failures leave of the budget; others get the share that the
// weights give, but at least what the rest of the period requires.
func (p *planning) parallel(remaining int) int {
	w := p.state.f.Configuration.Weights()
	worst, _ := p.view.worstLoss()
	budget := max(p.view.pool.MaxUnavailable-worst, 1)
	limit := budget
	if cost := w.BufferCost + w.Moves; cost > w.RollOutTime {
		limit = (budget*w.RollOutTime + cost - 1) / cost
	}
	if left := p.oldest() + p.view.pool.MaintenancePeriod - p.now; p.view.pool.MaintenancePeriod > 0 {
		needed := budget
		if left > 0 {
			needed = int((clock.Millis(remaining)*cycle + left - 1) / left)
		}
		limit = max(limit, needed)
	}
	return min(max(limit, 1), budget)
}

// oldest returns the earliest last maintenance of an instance that has not failed.
func (p *planning) oldest() clock.Millis {
	oldest := p.now
	for i := range p.view.members {
		if m := &p.view.members[i]; m.Phase != Failed {
			oldest = min(oldest, m.Maintained)
		}
	}
	return oldest
}

func (p *planning) overdue() bool {
	period := p.view.pool.MaintenancePeriod
	return period > 0 && p.oldest()+period < p.now
}

// startWhenDue starts a wave early enough that it ends within the period even at twice the usual cycle.
func (p *planning) startWhenDue(last WaveFields) {
	period := p.view.pool.MaintenancePeriod
	if period <= 0 || p.view.live == 0 || p.view.pool.MaxUnavailable == 0 {
		return
	}
	lead := min(2*cycle*clock.Millis((p.view.live+p.parallel(0)-1)/p.parallel(0)), period/2)
	if due := p.oldest() + period - lead; p.now >= due && p.now >= last.Started+period/2 {
		p.add(KindStartWave, "", "the oldest maintenance is %d h ago and the wave needs %d h of the period of %d h",
			(p.now-p.oldest())/clock.Hour, lead/clock.Hour, period/clock.Hour)
	}
}

// hold returns how much of the buffer a pool keeps above its demand: all of it for a user that minds the protection of
// other work at least as much as the cost of buffer, otherwise the share that the weights give.
func hold(w config.Weights, buffer int) int {
	if w.Protection >= w.BufferCost {
		return buffer
	}
	return (buffer*w.Protection + w.BufferCost/2) / w.BufferCost
}

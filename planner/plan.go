package planner

import (
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

const (
	// minDrain is how long an instance drains at least. Entry instances stop dispatching to it within 3 s (R6), so a
	// platform that reports the drain as ended earlier may still see new requests.
	minDrain = 5 * clock.Second
	// drainReportAfter is when a drain that has not ended is reported: twenty times the longest deadline of a request.
	drainReportAfter = 10 * clock.Minute
	// rebootTimeout is when a reboot that has not ended counts as a failure.
	rebootTimeout = 15 * clock.Minute
	// unlistedTimeout is when an instance that reboots and is not in the platform's list counts as lost. A wave does not go
	// on to the next zone while an instance reboots, so waiting for rebootLimit held up a wave after the loss of a rack.
	unlistedTimeout = 2 * clock.Minute
	// verifyTimeout is how long an instance that came back may take to become healthy.
	verifyTimeout = 2 * clock.Minute
	// observationPeriod is how long after its maintenance a failure of an instance is blamed on the wave.
	observationPeriod = 10 * clock.Minute
	// maintenanceDuration is the time that one instance is out for maintenance, used to pace waves.
	maintenanceDuration = 10 * clock.Minute
	// unhealthyDivisor stops a wave when one in this many instances that came back is unhealthy.
	unhealthyDivisor = 5
	// recordRetention is how long the record of an instance that left and was not replaced is kept.
	recordRetention = clock.Day
)

// Plan returns the steps for all pools.
func Plan(s *State) []Step {
	var steps []Step
	for _, name := range s.poolNames {
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
	p := &pass{state: s, view: v, now: s.f.Wall, serving: v.serving, unavailable: v.unavailable, planned: v.planned}
	p.detectFailures()
	p.cancelDrains()
	p.advance()
	p.advanceWave()
	p.planMoves()
	p.assignInstances()
	return p.steps
}

// pass is one pass over one pool; the counts include the steps that were chosen so far.
type pass struct {
	state                         *State
	view                          *view
	now                           clock.Millis
	serving, unavailable, planned int
	failing, cancelledDrains      map[string]bool
	drainChosen                   map[string]bool // drained by this pass
	steps                         []Step
}

func (p *pass) add(kind StepKind, instance, format string, arguments ...any) {
	p.steps = append(p.steps, Step{kind: kind, pool: p.view.pool.Name, instance: instance,
		reason: fmt.Sprintf(format, arguments...)})
}

// detectFailures records what the platform's list and the health of the instances show. An instance that is out for planned
// work may be listed as leaving and is unhealthy while it reboots, which is no failure.
func (p *pass) detectFailures() {
	for i := range p.view.members {
		m := &p.view.members[i]
		reason := ""
		switch elapsed := m.Age; {
		case m.Phase == Failed:
			p.deleteRecordOfGone(m)
			continue
		case m.Phase == Rebooting || m.Phase == Moving:
			if !m.Listed && elapsed > unlistedTimeout {
				reason = fmt.Sprintf("not in the platform's list %d s after the reboot began", elapsed/clock.Second)
			} else if m.RebootFailed || elapsed > rebootTimeout && !m.Rebooted {
				reason = fmt.Sprintf("the reboot has not ended after %d s", elapsed/clock.Second)
			} else if m.Phase == Moving && m.Rebooted && !m.Healthy && elapsed > rebootTimeout {
				reason = fmt.Sprintf("not healthy %d s after the start of its move", elapsed/clock.Second)
			}
		case !m.Listed:
			reason = "not in the platform's list"
		case m.Phase == Verifying:
			if !m.Healthy && elapsed > verifyTimeout {
				reason = fmt.Sprintf("not healthy %d s after its return", elapsed/clock.Second)
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
			p.unavailable++
		} else if m.Joining && m.From == "" {
			p.unavailable++
		} else {
			p.planned--
		}
		p.add(KindFail, m.ID, "%s", reason)
	}
}

func (p *pass) deleteRecordOfGone(m *InstanceFields) {
	if m.Listed {
		return
	}
	switch {
	case p.view.live >= p.view.pool.Instances:
		p.add(KindForget, m.ID, "gone, and the pool holds its %d workers without it", p.view.pool.Instances)
	case p.now-m.Since > recordRetention:
		p.add(KindForget, m.ID, "gone for more than %d h", recordRetention/clock.Hour)
	}
}

// cancelDrains ends drains while the pool is over its budget, which only failures can cause. The drain that began last is
// given back first, because the others have less left to do.
func (p *pass) cancelDrains() {
	for p.unavailable > p.view.pool.MaxUnavailable || p.serving < p.view.pool.Capacity {
		var last *InstanceFields
		for i := range p.view.members {
			m := &p.view.members[i]
			if m.Phase == Draining && !p.failing[m.ID] && !p.cancelledDrains[m.ID] && (last == nil || m.Since >= last.Since) {
				last = m
			}
		}
		if last == nil {
			return
		}
		if p.cancelledDrains == nil {
			p.cancelledDrains = map[string]bool{}
		}
		p.cancelledDrains[last.ID] = true
		p.add(KindGiveBack, last.ID, "failures exceed the budget: %s", p.budget())
		p.serving++
		p.unavailable--
		p.planned--
	}
}

// budget describes the figures of the budget rule.
func (p *pass) budget() string {
	return fmt.Sprintf("%d out of at most %d, %d serving with capacity %d", p.unavailable, p.view.pool.MaxUnavailable, p.serving,
		p.view.pool.Capacity)
}

// advance moves every instance that is out to its next phase when it can.
func (p *pass) advance() {
	for i := range p.view.members {
		m := &p.view.members[i]
		if p.failing[m.ID] || p.cancelledDrains[m.ID] {
			continue
		}
		switch elapsed := m.Age; m.Phase {
		case Draining:
			p.advanceDrain(m, elapsed)
		case Rebooting:
			if m.Rebooted {
				p.add(KindVerify, m.ID, "the reboot has ended after %d s", elapsed/clock.Second)
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

func (p *pass) advanceDrain(m *InstanceFields, elapsed clock.Millis) {
	switch {
	case m.Target != "" && p.state.pools[m.Target] == nil:
		p.add(KindGiveBack, m.ID, "pool %s, which it was to move to, no longer exists", m.Target)
	case m.Drained && elapsed >= minDrain && m.Target != "":
		p.add(KindMove, m.ID, "drained after %d s, goes to pool %s", elapsed/clock.Second, m.Target)
		p.steps[len(p.steps)-1].target = m.Target
	case m.Drained && elapsed >= minDrain:
		p.add(KindReboot, m.ID, "drained after %d s", elapsed/clock.Second)
	case m.Force && m.Accepted && m.Target == "" && elapsed >= minDrain:
		p.add(KindReboot, m.ID, "an operator forced the drain after %d s", elapsed/clock.Second)
	case elapsed > drainReportAfter:
		p.add(KindWait, m.ID, "the drain has not ended after %d min; requests still run on it, and only an operator can force it",
			elapsed/clock.Minute)
	}
}

// allow tells whether one more unit of the budget may be used, or the rule and figures that forbid it. Room is left for
// the declared failures that have not happened yet, because a failure during planned work must not break the budget.
func (p *pass) allow() (bool, string) {
	worst, lost := p.view.worstLoss()
	reserve := max(worst-(p.unavailable-p.planned), 0)
	if p.unavailable+1+reserve > p.view.pool.MaxUnavailable {
		return false, "max-unavailable: " + p.budget() + p.reserveText(reserve, lost)
	}
	if p.serving-1-reserve < p.view.pool.Capacity {
		return false, "capacity: " + p.budget() + p.reserveText(reserve, lost)
	}
	return true, ""
}

func (p *pass) reserveText(reserve int, lost string) string {
	if reserve == 0 {
		return ""
	}
	return fmt.Sprintf(", and the declared failures can take %d more (%s)", reserve, lost)
}

// advanceWave starts, continues, stops and finishes the maintenance advanceWave of the pool.
func (p *pass) advanceWave() {
	w, exists := p.state.f.Waves[p.view.pool.Name]
	if !exists || w.State == WaveDone {
		p.startWaveWhenDue(w)
		return
	}
	if w.State != WaveRunning {
		if w.State == WaveStopped || p.overdue() {
			p.add(KindWait, "", "wave %s is %s: %s", w.ID, w.State, w.Reason)
		}
		return
	}
	returned, unhealthy, remaining := p.assessWave(w)
	switch {
	case unhealthy > 0 && unhealthy*unhealthyDivisor >= returned:
		p.add(KindStopWave, "", "%d of %d instances that came back are unhealthy, the limit is one in %d", unhealthy, returned,
			unhealthyDivisor)
	case remaining == 0:
		p.add(KindFinishWave, "", "all %d instances are maintained", p.view.live)
	default:
		p.drainNext(w, remaining)
	}
}

// assessWave counts the instances that came back from the wave since it was resumed last, those of them that are unhealthy,
// and those that it has still to maintain.
func (p *pass) assessWave(w WaveFields) (returned, unhealthy, remaining int) {
	for i := range p.view.members {
		m := &p.view.members[i]
		failed := m.Phase == Failed && m.Since >= w.Resumed &&
			(m.From == Rebooting || m.From == Verifying || m.From == Serving && m.Since-m.Maintained < observationPeriod)
		switch {
		case m.Wave == w.ID && failed:
			returned++
			unhealthy++
		case m.Wave == w.ID && m.Maintained >= max(w.Started, w.Resumed):
			returned++
		case m.Phase != Failed && m.Maintained < w.Started:
			remaining++
		}
	}
	return returned, unhealthy, remaining
}

// drainNext takes instances out in the order of zone, rack and id, and never in two zones at once, so that a failure of
// one zone does not add to planned work in another.
func (p *pass) drainNext(w WaveFields, remaining int) {
	limit := p.maxParallel(remaining)
	zone := ""
	for i := range p.view.members {
		m := &p.view.members[i]
		if m.Phase == Failed || m.Maintained >= w.Started || p.failing[m.ID] {
			continue
		}
		if m.Phase == Draining && m.Age > drainReportAfter {
			continue // reported; the zones after it need not wait for it
		}
		if zone == "" {
			zone = m.Zone
		}
		if m.Zone != zone {
			return
		}
		if m.Phase != Serving || p.cancelledDrains[m.ID] {
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
		p.countDrain(m.ID)
	}
}

func (p *pass) countDrain(instance string) {
	if p.drainChosen == nil {
		p.drainChosen = map[string]bool{}
	}
	p.drainChosen[instance] = true
	p.serving--
	p.unavailable++
	p.planned++
}

// maxParallel returns how many instances may be out for planned work at once. A user that minds roll-out time at least as
// much as buffer and moves together fills what the declared failures leave of the budget; others get the share that the
// weights give, but at least what the rest of the period requires.
func (p *pass) maxParallel(remaining int) int {
	w := p.state.f.Configuration.Weights()
	worst, _ := p.view.worstLoss()
	budget := max(p.view.pool.MaxUnavailable-worst, 1)
	limit := budget
	if cost := w.BufferCost + w.Moves; cost > w.RollOutTime {
		limit = (budget*w.RollOutTime + cost - 1) / cost
	}
	if timeLeft := p.oldestMaintenance() + p.view.pool.MaintenancePeriod - p.now; p.view.pool.MaintenancePeriod > 0 {
		needed := budget
		if timeLeft > 0 {
			needed = int((clock.Millis(remaining)*maintenanceDuration + timeLeft - 1) / timeLeft)
		}
		limit = max(limit, needed)
	}
	return min(max(limit, 1), budget)
}

// oldestMaintenance returns the earliest last maintenance of an instance that has not failed.
func (p *pass) oldestMaintenance() clock.Millis {
	oldestMaintenance := p.now
	for i := range p.view.members {
		if m := &p.view.members[i]; m.Phase != Failed {
			oldestMaintenance = min(oldestMaintenance, m.Maintained)
		}
	}
	return oldestMaintenance
}

func (p *pass) overdue() bool {
	period := p.view.pool.MaintenancePeriod
	return period > 0 && p.oldestMaintenance()+period < p.now
}

// startWaveWhenDue starts a wave early enough that it ends within the period even at twice the usual cycle.
func (p *pass) startWaveWhenDue(last WaveFields) {
	period := p.view.pool.MaintenancePeriod
	if period <= 0 || p.view.live == 0 || p.view.pool.MaxUnavailable == 0 {
		return
	}
	lead := min(2*maintenanceDuration*clock.Millis((p.view.live+p.maxParallel(0)-1)/p.maxParallel(0)), period/2)
	if due := p.oldestMaintenance() + period - lead; p.now >= due && p.now >= last.Started+period/2 {
		p.add(KindStartWave, "", "the oldest maintenance is %d h ago and the wave needs %d h of the period of %d h",
			(p.now-p.oldestMaintenance())/clock.Hour, lead/clock.Hour, period/clock.Hour)
	}
}

// bufferShare returns how much of the buffer a pool keeps above its demand: all of it for a user that minds the protection of
// other work at least as much as the cost of buffer, otherwise the share that the weights give.
func bufferShare(w config.Weights, buffer int) int {
	if w.Protection >= w.BufferCost {
		return buffer
	}
	return (buffer*w.Protection + w.BufferCost/2) / w.BufferCost
}

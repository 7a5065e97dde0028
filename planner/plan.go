package planner

import (
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

const (
	// minDrain is the minimum time of a drain. Entry instances stop dispatching to a draining instance within 3 s,
	// so new requests may still arrive after the platform has reported the end of the drain. The 3 s are invariant R6.
	minDrain = 5 * clock.Second
	// drainReportAfter is the time after which an unfinished drain is reported: twenty times the longest deadline of a
	// request.
	drainReportAfter = 10 * clock.Minute
	// rebootTimeout is the time after which an unfinished reboot counts as a failure.
	rebootTimeout = 15 * clock.Minute
	// unlistedTimeout is the time after which a rebooting instance that is not in the platform's list counts as failed.
	// It is shorter than rebootTimeout because a wave does not go on to the next zone while an instance reboots: the
	// loss of a rack would hold up the wave for all of rebootTimeout.
	unlistedTimeout = 2 * clock.Minute
	// verifyTimeout is how long an instance that came back may take to become healthy.
	verifyTimeout = 2 * clock.Minute
	// observationPeriod is the time after maintenance within which a failure of the instance counts against the wave.
	observationPeriod = 10 * clock.Minute
	// maintenanceDuration is the time for which one instance is out for maintenance, as assumed by the pace of waves.
	maintenanceDuration = 10 * clock.Minute
	// unhealthyDivisor stops a wave when at least one in this many of the instances that came back is unhealthy.
	unhealthyDivisor = 5
	// recordRetention is how long the record of a failed instance that is not listed any more is kept if the pool has not
	// replaced it.
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

// PlanPool returns the steps that use the budget of one pool: its maintenance, instances that join it and instances
// that it gives to other pools. It returns nil for an unknown pool. Passes over different pools are independent of each
// other.
func PlanPool(s *State, pool string) []Step {
	v := s.pools[pool]
	if v == nil {
		return nil
	}
	p := &pass{state: s, view: v, wall: s.f.Wall, serving: v.serving, unavailable: v.unavailable, planned: v.planned}
	p.detectFailures()
	p.cancelDrains()
	p.advance()
	p.advanceWave()
	p.planMoves()
	p.assignInstances()
	return p.steps
}

// pass computes the steps of one pool; its counts include the steps that were added so far. wall is the wall-clock time,
// which is compared with the times of the records.
type pass struct {
	state                         *State
	view                          *view
	wall                          clock.Millis
	serving, unavailable, planned int
	failing, cancelledDrains      map[string]bool
	drainChosen                   map[string]bool // instances whose drain was added in this pass
	steps                         []Step
}

func (p *pass) add(kind StepKind, instance, format string, arguments ...any) {
	p.steps = append(p.steps, Step{kind: kind, pool: p.view.pool.Name, instance: instance,
		reason: fmt.Sprintf(format, arguments...)})
}

// detectFailures adds a step for each instance that the platform's list or its health shows as failed. An instance that
// is out for planned work may be listed as leaving, and is unhealthy while it reboots; neither is a failure.
func (p *pass) detectFailures() {
	for i := range p.view.members {
		m := &p.view.members[i]
		reason := ""
		switch elapsed := m.Age; {
		case m.Phase == Failed:
			p.deleteRecordOfUnlisted(m)
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
			p.unavailable++ // view.count counts it as joining only; the others below are unavailable already
		} else {
			p.planned--
		}
		p.add(KindFail, m.ID, "%s", reason)
	}
}

// deleteRecordOfUnlisted deletes the record of a failed instance that is not listed any more, once the pool has replaced
// it or recordRetention has passed since the failure.
func (p *pass) deleteRecordOfUnlisted(m *InstanceFields) {
	if m.Listed {
		return
	}
	switch {
	case p.view.live >= p.view.pool.Instances:
		p.add(KindDeleteRecord, m.ID, "gone, and the pool holds its %d workers without it", p.view.pool.Instances)
	case p.wall-m.Since > recordRetention:
		p.add(KindDeleteRecord, m.ID, "gone for more than %d h", recordRetention/clock.Hour)
	}
}

// cancelDrains ends drains early while the pool exceeds its budget, which only failures can cause. The drain that began
// last is cancelled first, because the earlier ones are closer to their end.
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
		p.add(KindCancelDrain, last.ID, "failures exceed the budget: %s", p.budget())
		p.serving++
		p.unavailable--
		p.planned--
	}
}

// budget returns the figures of the availability budget (max-unavailable and capacity) as a text.
func (p *pass) budget() string {
	return fmt.Sprintf("%d out of at most %d, %d serving with capacity %d", p.unavailable, p.view.pool.MaxUnavailable,
		p.serving, p.view.pool.Capacity)
}

// advance moves every instance that is out to its next phase when the condition of that phase is met.
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

// advanceDrain ends, continues or reports a drain that began the elapsed time ago.
func (p *pass) advanceDrain(m *InstanceFields, elapsed clock.Millis) {
	switch {
	case m.Target != "" && p.state.pools[m.Target] == nil:
		p.add(KindCancelDrain, m.ID, "pool %s, which it was to move to, no longer exists", m.Target)
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

// allow reports whether one more instance may be taken out, and otherwise returns the rule and the figures that forbid
// it. It reserves workers for the declared failures that have not happened yet, because a failure during planned work
// must not break the budget.
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

// reserveText returns a text that names the declared failures for which workers are reserved, or "" without a reserve.
func (p *pass) reserveText(reserve int, lost string) string {
	if reserve == 0 {
		return ""
	}
	return fmt.Sprintf(", and the declared failures can take %d more (%s)", reserve, lost)
}

// advanceWave starts, continues, stops or finishes the maintenance wave of the pool.
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

// assessWave counts the instances whose maintenance in the wave ended or failed since the wave was last resumed, those
// of them that failed, and the instances that still need maintenance. A failure counts if it occurred during the
// reboot, before the instance was healthy again, or within observationPeriod after its return to service.
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

// drainNext drains instances in the order of zone, rack and id. It does not drain in two zones at once, so that the
// failure of a zone does not add to planned work in another one; only drains that take longer than drainReportAfter are
// not waited for.
func (p *pass) drainNext(w WaveFields, remaining int) {
	limit := p.maxParallel(remaining)
	zone := ""
	for i := range p.view.members {
		m := &p.view.members[i]
		if m.Phase == Failed || m.Maintained >= w.Started || p.failing[m.ID] {
			continue
		}
		if m.Phase == Draining && m.Age > drainReportAfter {
			continue // already reported; the next zone does not wait for it
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

// countDrain adds a drain to the counts of the pass.
func (p *pass) countDrain(instance string) {
	if p.drainChosen == nil {
		p.drainChosen = map[string]bool{}
	}
	p.drainChosen[instance] = true
	p.serving--
	p.unavailable++
	p.planned++
}

// maxParallel returns how many instances may be out for planned work at once. When the weight on roll-out time is at
// least the sum of those on buffer cost and moves, this is all of the budget that the declared failures leave.
// Otherwise it is the share that the weights give, but at least what the rest of the maintenance period requires.
func (p *pass) maxParallel(remaining int) int {
	w := p.state.f.Configuration.Weights()
	worst, _ := p.view.worstLoss()
	budget := max(p.view.pool.MaxUnavailable-worst, 1)
	limit := budget
	if cost := w.BufferCost + w.Moves; cost > w.RollOutTime {
		limit = (budget*w.RollOutTime + cost - 1) / cost
	}
	if timeLeft := p.oldestMaintenance() + p.view.pool.MaintenancePeriod - p.wall; p.view.pool.MaintenancePeriod > 0 {
		needed := budget
		if timeLeft > 0 {
			needed = int((clock.Millis(remaining)*maintenanceDuration + timeLeft - 1) / timeLeft)
		}
		limit = max(limit, needed)
	}
	return min(max(limit, 1), budget)
}

// oldestMaintenance returns the earliest Maintained of the instances that have not failed, or the current time without
// any.
func (p *pass) oldestMaintenance() clock.Millis {
	oldestMaintenance := p.wall
	for i := range p.view.members {
		if m := &p.view.members[i]; m.Phase != Failed {
			oldestMaintenance = min(oldestMaintenance, m.Maintained)
		}
	}
	return oldestMaintenance
}

// overdue reports whether an instance was not maintained within the maintenance period.
func (p *pass) overdue() bool {
	period := p.view.pool.MaintenancePeriod
	return period > 0 && p.oldestMaintenance()+period < p.wall
}

// startWaveWhenDue starts a wave early enough that it ends within the maintenance period even if each instance takes
// twice maintenanceDuration. It starts none for a pool without members, maintenance period or budget, nor within half a
// period after the start of the last wave.
func (p *pass) startWaveWhenDue(last WaveFields) {
	period := p.view.pool.MaintenancePeriod
	if period <= 0 || p.view.live == 0 || p.view.pool.MaxUnavailable == 0 {
		return
	}
	lead := min(2*maintenanceDuration*clock.Millis((p.view.live+p.maxParallel(0)-1)/p.maxParallel(0)), period/2)
	if due := p.oldestMaintenance() + period - lead; p.wall >= due && p.wall >= last.Started+period/2 {
		p.add(KindStartWave, "", "the oldest maintenance is %d h ago and the wave needs %d h of the period of %d h",
			(p.wall-p.oldestMaintenance())/clock.Hour, lead/clock.Hour, period/clock.Hour)
	}
}

// bufferShare returns how much of the buffer a pool keeps above its demand: all of it when the weight on protection is
// at least the weight on buffer cost, otherwise the ratio of the two.
func bufferShare(w config.Weights, buffer int) int {
	if w.Protection >= w.BufferCost {
		return buffer
	}
	return (buffer*w.Protection + w.BufferCost/2) / w.BufferCost
}

package daemon

import (
	"errors"

	"magnoliaferry/clock"
)

const (
	// A weak owner whose work has taken overloadPercent of the time in each of the last overloadWindows windows of overloadWindow cannot keep
	// up with its pool. The time in which it is slower than its workers counts as work.
	overloadPercent = 60
	overloadWindow  = 500 * clock.Millis(1)
	overloadWindows = 4
	// liveOwnerAge is the age of a renewal up to which its owner counts as alive; idle owners renew every renewPeriod.
	liveOwnerAge = 1 * clock.Second
)

// errHandedOver ends the ownership of a part that a stronger instance can serve better.
var errHandedOver = errors.New("the part is released for a stronger instance")

// workMeter measures which part of the time an owner works, in windows.
type workMeter struct {
	started clock.Millis // of the window; 0: before the first
	worked  clock.Millis
	busy    int // windows in a row that were overloaded
}

// add adds work that ended at the given time.
func (m *workMeter) add(now, worked clock.Millis) {
	if m.started == 0 {
		m.started = max(now-worked, 1)
	}
	m.worked += worked
	passed := now - m.started
	if passed < overloadWindow {
		return
	}
	if m.worked*100 >= passed*overloadPercent {
		m.busy++
	} else {
		m.busy = 0
	}
	m.started, m.worked = max(now, 1), 0
}

// overloaded reports whether the owner cannot keep up.
func (m *workMeter) overloaded() bool { return m.busy >= overloadWindows }

// handsOver reports whether this instance, the owner of a part for the given time, leaves it to a stronger one: it is weak and overloaded, and a
// strong instance is known to be alive. Until the ownership is older than ownershipTimeout, the next owner would have to wait for the leases of
// the one before.
func (d *Daemon) handsOver(m *workMeter, owned clock.Millis) bool {
	if owned <= ownershipTimeout || !m.overloaded() {
		return false
	}
	strongest := d.stateCache.MostLiveCores(liveOwnerAge)
	return d.Settings.Cores() < weakShare*strongest
}

package machines

import (
	"log/slog"
	"sort"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/pool"
)

// Parameters of the balance between pools.
const (
	// waitingShare is the part, in percent, of the work that waits for which a pool gets more machines; most of it has a
	// place before they come.
	waitingShare = 50
	// baseShare is the part of the machines, in percent, that an idle pool keeps for the beginning of a surge, of an equal share
	// of all machines.
	baseShare = 80
	// lentShare is the part of that base, in percent, that it keeps when another pool is short.
	lentShare = 35
	// shrinkAfter is how long the demand of a pool must have been low before it gives machines away.
	shrinkAfter = 2 * clock.Second
	// moveLimit is how long a worker may take to become empty for a move; it was idle when it was chosen.
	moveLimit = 1500 * clock.Millis(1)
	// restTime is for how long such a worker is not chosen again.
	restTime = 5 * clock.Second
	// joinTime is how long it takes at most until the owner of a pool uses a new worker.
	joinTime = 2500 * clock.Millis(1)
	// comingTime is for how long a machine that moves counts for its new pool. Usually it takes about 2 s; a machine in an
	// availability zone that is cut off may not come for long.
	comingTime = 3 * clock.Second
	// reportPeriod is the time between two log lines about all pools.
	reportPeriod = 1 * clock.Second
	// headroom is added, in percent, to the demand of a pool.
	headroom = 15
)

// demand remembers the demand of a pool over the last shrinkAfter.
type demand struct {
	samples []demandSample
}

type demandSample struct {
	at       clock.Millis
	machines int
}

// note adds a sample and returns the highest of the last shrinkAfter.
func (d *demand) note(now clock.Millis, machines int) int {
	d.samples = append(d.samples, demandSample{now, machines})
	first := 0
	for now-d.samples[first].at > shrinkAfter {
		first++
	}
	d.samples = d.samples[first:]
	highest := 0
	for _, s := range d.samples {
		highest = max(highest, s.machines)
	}
	return highest
}

// poolPlan is what a pool has and needs, in machines.
type poolPlan struct {
	name     string
	fresh    int             // on their way
	away     int             // wanted for a wave, or down for it
	size     int             // usable or on their way
	desired  int             // for the work there is now
	kept     int             // that it does not give to standby
	least    int             // that it gets back from standby
	lendable int             // down to this size it gives idle machines to pools that need them
	donors   []batch.Machine // that run at most tasks of jobs that are late
	idle     []batch.Machine // that run nothing
}

// balance moves machines to pools whose work waits, first from standby and then from pools that do not need them, and
// gives machines that are not needed back to standby, where they cost nothing.
func (c *Coordinator) balance() {
	for _, machine := range sorted(c.wants) {
		w := c.wants[machine]
		if w.Op == Move && !w.Ordered && c.now-w.opened > moveLimit && c.cordons[machine] != w.ID {
			c.drop(w, "not empty in time")
			c.restUntil[machine] = c.now + restTime
		}
	}
	plans, spare := c.poolPlans()
	c.report(plans, len(spare))
	var needy []*poolPlan
	for _, p := range plans {
		if p.desired > p.size {
			needy = append(needy, p)
		}
	}
	sort.SliceStable(needy, func(a, b int) bool { return needy[a].desired-needy[a].size > needy[b].desired-needy[b].size })
	for _, p := range needy {
		for p.size < p.desired {
			m, ok := takeDonor(&spare, plans, p)
			if !ok {
				return // no machine can be had
			}
			c.open(Withdrawal{Machine: m.ID, Worker: m.Worker, Op: Move, Pool: p.name})
			p.size++
		}
	}
	// Pools that lost machines get them back for the beginning of their next surge.
	for _, p := range plans {
		for p.size < p.least && len(spare) > 0 {
			m := spare[0]
			spare = spare[1:]
			c.open(Withdrawal{Machine: m.ID, Worker: m.Worker, Op: Move, Pool: p.name})
			p.size++
		}
	}
	home := c.standbyPool()
	if home == "" {
		return
	}
	for _, p := range plans {
		for _, m := range p.idle {
			if p.size <= p.kept || c.wants[m.ID] != nil {
				continue
			}
			p.size--
			c.open(Withdrawal{Machine: m.ID, Worker: m.Worker, Op: Move, Pool: home})
		}
	}
}

// report logs what the pools have and need, once a second.
func (c *Coordinator) report(plans []*poolPlan, spare int) {
	if c.now-c.reported < reportPeriod {
		return
	}
	c.reported = c.now
	attributes := []slog.Attr{slog.Int("standby", spare), slog.Int("wants", len(c.wants))}
	for _, p := range plans {
		load := c.loads[p.name]
		attributes = append(attributes, slog.Group(p.name, slog.Int("machines", p.size), slog.Int("coming", p.fresh), slog.Int("away", p.away),
			slog.Int("desired", p.desired), slog.Int("kept", p.kept), slog.Int("idle", len(p.idle)), slog.Int("usable", load.Workers),
			slog.Int("running-cpu", load.Running.CPU), slog.Int("waiting-cpu", load.Waiting.CPU), slog.Int("arriving-cpu", load.Arriving)))
	}
	c.log(eventPools, attributes...)
}

func (c *Coordinator) standbyPool() string {
	for i := range c.configuration.Pools {
		if c.configuration.Pools[i].Standby {
			return c.configuration.Pools[i].Name
		}
	}
	return ""
}

// takeDonor returns a machine from standby, or else an idle one from the pool with the most to spare.
func takeDonor(spare *[]batch.Machine, plans []*poolPlan, to *poolPlan) (batch.Machine, bool) {
	if len(*spare) > 0 {
		m := (*spare)[0]
		*spare = (*spare)[1:]
		return m, true
	}
	var best *poolPlan
	for _, p := range plans {
		if p != to && p.size > p.lendable && len(p.donors) > 0 && (best == nil || p.size-p.lendable > best.size-best.lendable) {
			best = p
		}
	}
	if best == nil {
		return batch.Machine{}, false
	}
	m := best.donors[0]
	best.donors = best.donors[1:]
	best.size--
	return m, true
}

// poolPlans works out what the pools need; spare are the machines in standby.
func (c *Coordinator) poolPlans() (plans []*poolPlan, spare []batch.Machine) {
	byName := map[string]*poolPlan{}
	for i := range c.configuration.Pools {
		if p := &c.configuration.Pools[i]; !p.Standby {
			plan := &poolPlan{name: p.Name}
			byName[p.Name] = plan
			plans = append(plans, plan)
		}
	}
	if len(plans) == 0 {
		return nil, nil
	}
	stuck := map[string]int{} // machines that did not come in time, by availability zone
	for _, id := range sorted(c.listed) {
		m := c.listed[id]
		w := c.wants[id]
		switch {
		case w != nil && w.Op == Move:
			if c.isStuck(w) {
				stuck[m.Zone]++
			} else if p := byName[w.Pool]; p != nil {
				p.size++
				p.fresh++
			}
		case w != nil: // for a wave
			if p := byName[m.Pool]; p != nil {
				p.away++
			}
		case m.State != batch.MachineUp && m.State != batch.MachineMoving:
		case c.standby(m.Pool):
			if m.State == batch.MachineUp {
				spare = append(spare, m)
			}
		default:
			if p := byName[m.Pool]; p != nil {
				if c.counts(m) {
					p.size++
				}
				if m.State != batch.MachineUp || c.now < c.restUntil[id] {
					continue
				}
				switch load := c.loads[m.Pool]; {
				case isIdle(load, m.Worker):
					p.donors = append([]batch.Machine{m}, p.donors...)
					p.idle = append(p.idle, m)
				case isLate(load, m.Worker):
					p.donors = append(p.donors, m)
				}
			}
		}
	}
	sort.SliceStable(spare, func(a, b int) bool { return stuck[spare[a].Zone] < stuck[spare[b].Zone] })
	base := len(c.listed) * baseShare / 100 / len(plans)
	for _, p := range plans {
		load := c.loads[p.name]
		p.least = base * lentShare / 100
		machine := max(load.Room.CPU/max(load.Workers, 1), 1) // processor of one machine
		if load.Workers == 0 {
			// Whatever is in the pool cannot be used, for example because all of it is wanted or crashed.
			p.desired, p.kept, p.lendable = max(load.Least, 1)+p.size, p.size, p.size
			if p.fresh > 0 {
				p.desired = p.size // help is on its way
			}
			continue
		}
		late := 0
		for _, used := range load.Late {
			late += used
		}
		work := max(load.Arriving, load.Running.CPU-late) + load.Waiting.CPU*waitingShare/100
		least := load.Least // tasks that last may not share a worker
		p.desired = max((work*(100+headroom)/100+machine-1)/machine, least)
		if load.Waiting.CPU == 0 && load.Arriving < load.Room.CPU {
			p.desired = max(min(p.desired, p.size), least) // everything has a place
		}
		p.lendable = max(p.desired, least+1, p.least)
		if c.demands[p.name] == nil {
			c.demands[p.name] = &demand{}
		}
		p.kept = max(c.demands[p.name].note(c.now, p.desired), least+1, base)
	}
	return plans, spare
}

// counts reports whether a machine is of use to its pool: its owner uses the worker, or has not had the time to. The
// platform's list shows a crashed machine as up for some time.
func (c *Coordinator) counts(m batch.Machine) bool {
	if _, usable := c.loads[m.Pool].Busy[m.Worker]; usable {
		return true
	}
	return c.now-c.firstSeen[m.Worker] < joinTime
}

// isLate reports whether a worker that could be used runs only tasks of jobs that cannot meet their objective any more.
func isLate(load pool.Load, worker string) bool {
	busy, usable := load.Busy[worker]
	return usable && busy == load.Late[worker] && load.Lasting[worker] == 0
}

// isIdle reports whether nothing runs on a worker that could be used.
func isIdle(load pool.Load, worker string) bool {
	busy, usable := load.Busy[worker]
	return usable && busy == 0 && load.Lasting[worker] == 0
}

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
	// waitingPercent is the share of the waiting work, in percent, that counts towards the machines that a pool needs. Most of
	// this work gets a worker before new machines arrive.
	waitingPercent = 50
	// basePercent is what an idle pool keeps for the beginning of a surge, in percent of an equal share of all machines.
	basePercent = 80
	// lentBasePercent is what a pool keeps of that base, in percent, when another pool is short of machines.
	lentBasePercent = 35
	// shrinkAfter is how long the demand of a pool must have been low before its machines go back to standby.
	shrinkAfter = 2 * clock.Second
	// moveEmptyLimit is how long a worker may take to become empty for a move. Only workers that are idle or run only
	// tasks of late jobs are chosen.
	moveEmptyLimit = 1500 * clock.Millis(1)
	// moveRetryDelay is how long a machine is not chosen again after its worker did not become empty within moveEmptyLimit.
	moveRetryDelay = 5 * clock.Second
	// joinLimit is the longest time until the owner of a pool uses a new worker.
	joinLimit = 2500 * clock.Millis(1)
	// arrivalLimit is how long a machine that is being moved counts as part of its new pool. A move usually takes about 2 s; in
	// an availability zone that is cut off it can take much longer.
	arrivalLimit = 3 * clock.Second
	// poolLogPeriod is the time between two log lines about the pools.
	poolLogPeriod = 1 * clock.Second
	// headroomPercent is added to the machines that a pool needs for its work, in percent.
	headroomPercent = 15
)

// demandWindow holds the samples of the demand of a pool from the last shrinkAfter.
type demandWindow struct {
	samples []demandSample
}

type demandSample struct {
	at       clock.Millis
	machines int
}

// add adds a sample and returns the highest one of the last shrinkAfter.
func (d *demandWindow) add(now clock.Millis, machines int) int {
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

// poolPlan is the size and the demand of a pool during one plan, in machines.
type poolPlan struct {
	name        string
	incoming    int             // being moved to the pool
	withdrawn   int             // being emptied for a wave, or down for its maintenance
	size        int             // usable, joining or incoming
	desired     int             // needed for the present work
	returnFloor int             // idle machines above this size go back to standby: highest recent demand, or the base for a surge
	base        int             // what an idle pool keeps for the beginning of a surge
	minSize     int             // the pool is refilled from standby up to this size: lentBasePercent of the base
	lendFloor   int             // donors above this size move to pools that are short: present demand, or minSize
	donors      []batch.Machine // idle ones first, then those that run only tasks of late jobs
	idle        []batch.Machine // run nothing
}

// balance moves machines to pools that are short of them, first from standby and then from pools that do not need them.
// Machines that no pool needs go back to standby, where they cost nothing.
func (c *Coordinator) balance() {
	for _, machine := range sorted(c.withdrawals) {
		w := c.withdrawals[machine]
		if w.Op == Move && !w.Ordered && c.now-w.opened > moveEmptyLimit && c.cordons[machine] != w.ID {
			c.drop(w, "the worker did not become empty in time")
			c.noMoveUntil[machine] = c.now + moveRetryDelay
		}
	}
	plans, spare := c.poolPlans()
	c.logPools(plans, len(spare))
	var short []*poolPlan
	for _, p := range plans {
		if p.desired > p.size {
			short = append(short, p)
		}
	}
	sort.SliceStable(short, func(a, b int) bool { return short[a].desired-short[a].size > short[b].desired-short[b].size })
	for _, p := range short {
		for p.size < p.desired {
			m, ok := takeDonor(&spare, plans, p)
			if !ok {
				return // no machine is available
			}
			c.open(Withdrawal{Machine: m.ID, Worker: m.Worker, Op: Move, Pool: p.name})
			p.size++
		}
	}
	// Pools that lent machines are refilled for the beginning of their next surge.
	for _, p := range plans {
		for p.size < p.minSize && len(spare) > 0 {
			m := spare[0]
			spare = spare[1:]
			c.open(Withdrawal{Machine: m.ID, Worker: m.Worker, Op: Move, Pool: p.name})
			p.size++
		}
	}
	// After a surge, idle machines move to the pools that have lent machines, up to their base, and then to standby: the next surge may
	// begin in any pool, and two moves take twice as long as one.
	standby := c.standbyPool()
	for _, p := range plans {
		for _, m := range p.idle {
			if p.size <= p.returnFloor || c.withdrawals[m.ID] != nil {
				continue
			}
			to := standby
			if lent := furthestBelowBase(plans); lent != nil {
				to = lent.name
				lent.size++
			}
			if to == "" {
				return
			}
			p.size--
			c.open(Withdrawal{Machine: m.ID, Worker: m.Worker, Op: Move, Pool: to})
		}
	}
}

// furthestBelowBase returns the pool that lacks most of its base, or nil if none does.
func furthestBelowBase(plans []*poolPlan) *poolPlan {
	var lowest *poolPlan
	for _, p := range plans {
		if p.size < p.base && (lowest == nil || p.base-p.size > lowest.base-lowest.size) {
			lowest = p
		}
	}
	return lowest
}

// logPools logs the size and the demand of the pools, at most once in poolLogPeriod.
func (c *Coordinator) logPools(plans []*poolPlan, spare int) {
	if c.now-c.poolsLoggedAt < poolLogPeriod {
		return
	}
	c.poolsLoggedAt = c.now
	attributes := []slog.Attr{slog.Int("standby", spare), slog.Int("wants", len(c.withdrawals))}
	for _, p := range plans {
		load := c.loads[p.name]
		attributes = append(attributes, slog.Group(p.name, slog.Int("machines", p.size), slog.Int("coming", p.incoming), slog.Int("away", p.withdrawn),
			slog.Int("desired", p.desired), slog.Int("kept", p.returnFloor), slog.Int("idle", len(p.idle)), slog.Int("usable", load.Workers),
			slog.Int("running-cpu", load.Running.CPU), slog.Int("waiting-cpu", load.Waiting.CPU), slog.Int("arriving-cpu", load.ArrivingCPU)))
	}
	c.log(eventPools, attributes...)
}

// standbyPool returns the name of the first standby pool, or "" if there is none.
func (c *Coordinator) standbyPool() string {
	for i := range c.configuration.Pools {
		if c.configuration.Pools[i].Standby {
			return c.configuration.Pools[i].Name
		}
	}
	return ""
}

// takeDonor returns a machine from standby, or else a donor from the pool that is the furthest above its lendFloor.
func takeDonor(spare *[]batch.Machine, plans []*poolPlan, to *poolPlan) (batch.Machine, bool) {
	if len(*spare) > 0 {
		m := (*spare)[0]
		*spare = (*spare)[1:]
		return m, true
	}
	var best *poolPlan
	for _, p := range plans {
		if p != to && p.size > p.lendFloor && len(p.donors) > 0 && (best == nil || p.size-p.lendFloor > best.size-best.lendFloor) {
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

// poolPlans computes the plans of the pools. The machines in standby are returned as spare, those in availability zones with
// the fewest stuck moves first.
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
	stuck := map[string]int{} // moves that have taken too long, by availability zone
	for _, id := range sorted(c.listed) {
		m := c.listed[id]
		w := c.withdrawals[id]
		switch {
		case w != nil && w.Op == Move:
			if c.isStuck(w) {
				stuck[m.Zone]++
			} else if p := byName[w.Pool]; p != nil {
				p.size++
				p.incoming++
			}
		case w != nil: // withdrawn for a wave
			if p := byName[m.Pool]; p != nil {
				p.withdrawn++
			}
		case m.State != batch.MachineUp && m.State != batch.MachineMoving:
		case c.isStandby(m.Pool):
			if m.State == batch.MachineUp {
				spare = append(spare, m)
			}
		default:
			if p := byName[m.Pool]; p != nil {
				if c.isUsableOrJoining(m) {
					p.size++
				}
				if m.State != batch.MachineUp || c.now < c.noMoveUntil[id] {
					continue
				}
				switch load := c.loads[m.Pool]; {
				case isIdle(load, m.Worker):
					p.donors = append([]batch.Machine{m}, p.donors...)
					p.idle = append(p.idle, m)
				case runsOnlyLateTasks(load, m.Worker):
					p.donors = append(p.donors, m)
				}
			}
		}
	}
	sort.SliceStable(spare, func(a, b int) bool { return stuck[spare[a].Zone] < stuck[spare[b].Zone] })
	base := len(c.listed) * basePercent / 100 / len(plans)
	for _, p := range plans {
		load := c.loads[p.name]
		p.base, p.minSize = base, base*lentBasePercent/100
		machineCPU := max(load.TotalCapacity.CPU/max(load.Workers, 1), 1) // capacity of one machine, in thousandths of a core
		if load.Workers == 0 {
			// No machine of the pool can be used, for example because all are withdrawn or have crashed.
			p.desired, p.returnFloor, p.lendFloor = max(load.MinWorkers, 1)+p.size, p.size, p.size
			if p.incoming > 0 {
				p.desired = p.size // machines are being moved to the pool already
			}
			continue
		}
		late := 0
		for _, used := range load.LateCPU {
			late += used
		}
		work := max(load.ArrivingCPU, load.Running.CPU-late) + load.Waiting.CPU*waitingPercent/100
		minSize := load.MinWorkers // some long-running tasks may not share a worker
		p.desired = max((work*(100+headroomPercent)/100+machineCPU-1)/machineCPU, minSize)
		if load.Waiting.CPU == 0 && load.ArrivingCPU < load.TotalCapacity.CPU {
			p.desired = max(min(p.desired, p.size), minSize) // no task waits for a worker
		}
		p.lendFloor = max(p.desired, minSize+1, p.minSize)
		if c.demands[p.name] == nil {
			c.demands[p.name] = &demandWindow{}
		}
		p.returnFloor = max(c.demands[p.name].add(c.now, p.desired), minSize+1, base)
	}
	return plans, spare
}

// isUsableOrJoining reports whether a machine counts towards the size of its pool: the owner of the pool uses its worker, or
// the worker is younger than joinLimit. The state in the platform's list is not enough, because a crashed machine stays
// listed as up for some time.
func (c *Coordinator) isUsableOrJoining(m batch.Machine) bool {
	if _, usable := c.loads[m.Pool].UsedCPU[m.Worker]; usable {
		return true
	}
	return c.now-c.firstSeen[m.Worker] < joinLimit
}

// runsOnlyLateTasks reports whether a usable worker runs only tasks of jobs that can no longer meet their objective.
func runsOnlyLateTasks(load pool.Load, worker string) bool {
	busy, usable := load.UsedCPU[worker]
	return usable && busy == load.LateCPU[worker] && load.LongRunningTasks[worker] == 0
}

// isIdle reports whether a usable worker runs no task.
func isIdle(load pool.Load, worker string) bool {
	busy, usable := load.UsedCPU[worker]
	return usable && busy == 0 && load.LongRunningTasks[worker] == 0
}

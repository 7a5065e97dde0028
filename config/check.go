package config

import (
	"slices"
	"strconv"
	"strings"

	"magnoliaferry/clock"
	"magnoliaferry/diag"
	"magnoliaferry/strictjson"
)

// reservedNames are first path segments that entry instances use themselves, so no service can be reached there.
var reservedNames = []string{"debug", "operator"}

// LostWorkers returns how many workers the declared failures take out of the pool at once. A zone is assumed to hold an even
// part of the pool, rounded up; a rack is assumed to hold only workers of the pool.
func LostWorkers(p PoolFields, zones int) int {
	loss := p.Survive.Racks*p.RackSize + p.Survive.Workers
	if zones > 0 {
		loss += p.Survive.Zones * ((p.Instances + zones - 1) / zones)
	}
	return min(loss, p.Instances)
}

// check reports the faults that concern more than one value; f holds the sections in the order of the body.
func (d decoder) check(f Fields) {
	d.checkWeights(f.Weights)
	unique(d, "/zones/", f.Zones, func(z ZoneFields) string { return z.Name })
	pools := unique(d, "/pools/", f.Pools, func(p PoolFields) string { return p.Name })
	unique(d, "/services/", f.Services, func(s ServiceFields) string { return s.Name })
	teams := unique(d, "/teams/", f.Teams, func(t TeamFields) string { return t.Name })
	unique(d, "/jobs/", f.Jobs, func(j JobFields) string { return j.Name })
	for i, p := range f.Pools {
		d.checkPool("/pools/"+strconv.Itoa(i), p, len(f.Zones))
	}
	for i, s := range f.Services {
		d.checkService("/services/"+strconv.Itoa(i), s, pools)
	}
	d.checkTeams(f.Teams)
	for i, j := range f.Jobs {
		d.checkJob("/jobs/"+strconv.Itoa(i), j, pools, teams)
	}
}

// ok reports whether none of the values, nor anything that encloses them, has a diagnostic yet.
func (d decoder) ok(base string, names ...string) bool {
	if d.Bad(base) {
		return false
	}
	for _, name := range names {
		for path := base + "/" + name; path != base; path = path[:strings.LastIndexByte(path, '/')] {
			if d.Bad(path) {
				return false
			}
		}
	}
	return true
}

// placed is a section with its path.
type placed[F any] struct {
	path string
	f    F
}

// unique returns the sections by name and reports names that are used twice.
func unique[F any](d decoder, prefix string, fields []F, name func(F) string) map[string]placed[F] {
	known := make(map[string]placed[F], len(fields))
	for i, f := range fields {
		path := prefix + strconv.Itoa(i)
		if !d.ok(path, "name") {
			continue
		}
		if first, twice := known[name(f)]; twice {
			d.Report(CodeDuplicateName, path+"/name", "%q is already used on line %d", name(f),
				d.Line(first.path+"/name"))
			continue
		}
		known[name(f)] = placed[F]{path, f}
	}
	return known
}

func (d decoder) checkWeights(w Weights) {
	sum := w.RollOutTime + w.Protection + w.BufferCost + w.Moves
	if d.ok("/weights", "roll-out-time", "protection", "buffer-cost", "moves") && sum != 100 {
		d.Report(CodeWeights, "/weights", "the weights sum to %d instead of 100", sum)
	}
}

func (d decoder) checkContact(path, contact string) {
	if d.ok(path, "contact") && strings.TrimSpace(contact) == "" {
		d.Report(CodeContact, path+"/contact", "the contact is empty, and refusals could name nobody")
	}
}

func (d decoder) checkRange(path, name string, got, low, high clock.Millis) {
	if d.ok(path, name) && (got < low || got > high) {
		d.Report(CodeOutOfRange, path+"/"+name, "must be between %s and %s", strictjson.Duration(low),
			strictjson.Duration(high))
	}
}

func (d decoder) checkPool(path string, p PoolFields, zones int) {
	d.checkContact(path, p.Contact)
	d.checkRange(path, "queue-wait", p.QueueWait, 1, DefaultMaxDeadline)
	d.checkRange(path, "maintenance-period", p.MaintenancePeriod, clock.Hour, 400*clock.Day)
	if d.ok(path, "slots", "connections") && p.Connections < p.Slots {
		d.Report(CodeConnections, path+"/connections", "%d connections are fewer than the %d slots of a worker",
			p.Connections, p.Slots)
	}
	if d.ok(path, "memory") && p.MemoryMB < 1 {
		d.Report(CodeOutOfRange, path+"/memory", "must be at least 1MB")
	}
	if d.ok("/zones") && d.ok(path, "survive/zones") && p.Survive.Zones > 0 && p.Survive.Zones >= zones {
		d.Report(CodeFailedZones, path+"/survive/zones", "%d of %d zones cannot fail and leave a worker",
			p.Survive.Zones, zones)
	}
	if d.ok(path, "instances", "capacity") && p.Capacity > p.Instances {
		d.Report(CodeCapacity, path+"/capacity", "a capacity of %d is above the %d instances", p.Capacity, p.Instances)
	}
	if d.ok(path, "instances", "capacity", "max-unavailable") && p.Capacity+p.MaxUnavailable > p.Instances {
		d.Report(CodeBudget, path+"/max-unavailable", "capacity %d + max-unavailable %d is above the %d instances",
			p.Capacity, p.MaxUnavailable, p.Instances)
	}
	// Without the worker in maintenance, the failures that the pool declares would break the budget during any
	// planned step.
	loss := LostWorkers(p, zones)
	if d.ok(path, "instances", "max-unavailable", "rack-size", "survive/racks", "survive/zones", "survive/workers") &&
		loss+1 > p.MaxUnavailable {
		d.Report(CodeFailures, path+"/max-unavailable",
			"the declared failures take %d workers and maintenance 1, which is above max-unavailable %d",
			loss, p.MaxUnavailable)
	}
}

func (d decoder) checkService(path string, s ServiceFields, pools map[string]placed[PoolFields]) {
	if d.ok(path, "name") && slices.Contains(reservedNames, s.Name) {
		d.Report(CodeReservedName, path+"/name", "%q is a path of the entry instances themselves", s.Name)
	}
	_, hasPool := pools[s.Pool]
	d.checkReference(path, "pool", s.Pool, hasPool, CodeUnknownPool)
	d.checkRange(path, "deadline", s.Deadline, 1, DefaultMaxDeadline)
	d.checkRange(path, "max-deadline", s.MaxDeadline, 1, DefaultMaxDeadline)
	if d.ok(path, "deadline", "max-deadline") && s.Deadline > s.MaxDeadline {
		d.Report(CodeDeadline, path+"/deadline", "the deadline of %s is above the max-deadline of %s",
			strictjson.Duration(s.Deadline), strictjson.Duration(s.MaxDeadline))
	}
	for i, method := range s.IdempotentMethods {
		if slices.Contains(s.IdempotentMethods[:i], method) {
			d.Report(CodeDuplicateName, path+"/idempotent-methods/"+strconv.Itoa(i), "%q is listed twice", method)
		}
	}
}

func (d decoder) checkReference(path, field, name string, exists bool, code diag.Code) {
	if d.ok("/"+field+"s") && d.ok(path, field) && !exists {
		d.Report(code, path+"/"+field, "%s %q does not exist", field, name)
	}
}

func (d decoder) checkTeams(teams []TeamFields) {
	type place struct{ team, path string }
	first := map[string]place{}
	for i, t := range teams {
		path := "/teams/" + strconv.Itoa(i)
		d.checkContact(path, t.Contact)
		for k, caller := range t.Callers {
			at := path + "/callers/" + strconv.Itoa(k)
			if d.Bad(at) {
				continue
			}
			if other, twice := first[caller]; twice {
				d.Report(CodeCallerTwice, at, "caller %q is already in team %q on line %d", caller, other.team,
					d.Line(other.path))
				continue
			}
			first[caller] = place{t.Name, at}
		}
	}
}

func (d decoder) checkJob(path string, j JobFields, pools map[string]placed[PoolFields], teams map[string]placed[TeamFields]) {
	p, hasPool := pools[j.Pool]
	t, hasTeam := teams[j.Team]
	d.checkReference(path, "pool", j.Pool, hasPool, CodeUnknownPool)
	d.checkReference(path, "team", j.Team, hasTeam, CodeUnknownTeam)
	d.checkRange(path, "run-time", j.RunTime, 1, 400*clock.Day)
	if d.ok(path, "memory") && j.MemoryMB < 1 {
		d.Report(CodeOutOfRange, path+"/memory", "must be at least 1MB")
	}
	// A job may exceed both its worker and its quota, so whether a value is sound is asked before either is reported.
	cores, memory := d.ok(path, "cores"), d.ok(path, "memory")
	if hasPool && cores && d.ok(p.path, "cores") && j.Cores > p.f.Cores {
		d.Report(CodeJobAboveWorker, path+"/cores", "%d cores are above the %d of a worker in pool %q", j.Cores,
			p.f.Cores, j.Pool)
	}
	if hasPool && memory && d.ok(p.path, "memory") && j.MemoryMB > p.f.MemoryMB {
		d.Report(CodeJobAboveWorker, path+"/memory", "%s is above the %s of a worker in pool %q",
			strictjson.Size(j.MemoryMB), strictjson.Size(p.f.MemoryMB), j.Pool)
	}
	if hasTeam && cores && d.ok(t.path, "cores") && j.Cores > t.f.Cores {
		d.Report(CodeJobAboveQuota, path+"/cores", "%d cores are above the quota of %d of team %q", j.Cores, t.f.Cores,
			j.Team)
	}
	if hasTeam && memory && d.ok(t.path, "memory") && j.MemoryMB > t.f.MemoryMB {
		d.Report(CodeJobAboveQuota, path+"/memory", "%s is above the quota of %s of team %q",
			strictjson.Size(j.MemoryMB), strictjson.Size(t.f.MemoryMB), j.Team)
	}
	if d.ok(path, "attempts", "run-once") && j.RunOnce && j.Attempts > 1 {
		d.Report(CodeRunOnceAttempts, path+"/attempts", "a run-once job has 1 attempt and not %d", j.Attempts)
	}
}

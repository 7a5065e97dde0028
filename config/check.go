package config

import (
	"slices"
	"strconv"
	"strings"

	"magnoliaferry/clock"
	"magnoliaferry/diag"
	"magnoliaferry/strictjson"
)

// reservedNames are the first path segments that entry instances serve themselves; a service with such a name could not
// be reached.
var reservedNames = []string{"debug", "operator"}

// LostWorkers returns the number of workers that are lost when all declared failures of the pool happen at once. Workers are
// assumed to be spread evenly over the zones, rounded up, and racks to hold only workers of this pool.
func LostWorkers(p PoolFields, zones int) int {
	loss := p.Survive.Racks*p.RackSize + p.Survive.Workers
	if zones > 0 {
		loss += p.Survive.Zones * ((p.Instances + zones - 1) / zones)
	}
	return min(loss, p.Instances)
}

// check reports errors that the schema cannot detect, such as inconsistent or duplicate values; f holds the sections in
// the order of the body.
func (d checker) check(f Fields) {
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

// valid reports whether neither the values nor any value that encloses them has a diagnostic; names are relative to
// base. Without it an invalid value would be reported again by checks that use it.
func (d checker) valid(base string, names ...string) bool {
	if d.HasDiagnostic(base) {
		return false
	}
	for _, name := range names {
		for path := base + "/" + name; path != base; path = path[:strings.LastIndexByte(path, '/')] {
			if d.HasDiagnostic(path) {
				return false
			}
		}
	}
	return true
}

// locatedSection is a section with its JSON pointer.
type locatedSection[F any] struct {
	path string
	f    F
}

// unique returns the sections by name and reports duplicate names.
func unique[F any](d checker, prefix string, fields []F, name func(F) string) map[string]locatedSection[F] {
	byName := make(map[string]locatedSection[F], len(fields))
	for i, f := range fields {
		path := prefix + strconv.Itoa(i)
		if !d.valid(path, "name") {
			continue
		}
		if first, duplicate := byName[name(f)]; duplicate {
			d.Report(CodeDuplicateName, path+"/name", "%q is already used on line %d", name(f),
				d.Line(first.path+"/name"))
			continue
		}
		byName[name(f)] = locatedSection[F]{path, f}
	}
	return byName
}

func (d checker) checkWeights(w Weights) {
	sum := w.RollOutTime + w.Protection + w.BufferCost + w.Moves
	if d.valid("/weights", "roll-out-time", "protection", "buffer-cost", "moves") && sum != 100 {
		d.Report(CodeWeights, "/weights", "the weights sum to %d instead of 100", sum)
	}
}

func (d checker) checkContact(path, contact string) {
	if d.valid(path, "contact") && strings.TrimSpace(contact) == "" {
		d.Report(CodeContact, path+"/contact", "the contact is empty, and refusals could name nobody")
	}
}

func (d checker) checkRange(path, name string, value, lowest, highest clock.Millis) {
	if d.valid(path, name) && (value < lowest || value > highest) {
		d.Report(CodeOutOfRange, path+"/"+name, "must be between %s and %s", strictjson.Duration(lowest),
			strictjson.Duration(highest))
	}
}

func (d checker) checkPool(path string, p PoolFields, zones int) {
	d.checkContact(path, p.Contact)
	d.checkRange(path, "queue-wait", p.QueueWait, 1, DefaultMaxDeadline)
	d.checkRange(path, "maintenance-period", p.MaintenancePeriod, clock.Hour, 400*clock.Day)
	if d.valid(path, "slots", "connections") && p.Connections < p.Slots {
		d.Report(CodeConnections, path+"/connections", "%d connections are fewer than the %d slots of a worker",
			p.Connections, p.Slots)
	}
	if d.valid(path, "memory") && p.MemoryMB < 1 {
		d.Report(CodeOutOfRange, path+"/memory", "must be at least 1MB")
	}
	if d.valid("/zones") && d.valid(path, "survive/zones") && p.Survive.Zones > 0 && p.Survive.Zones >= zones {
		d.Report(CodeTooManyFailedZones, path+"/survive/zones", "%d of %d zones cannot fail and leave a worker",
			p.Survive.Zones, zones)
	}
	if d.valid(path, "instances", "capacity") && p.Capacity > p.Instances {
		d.Report(CodeCapacity, path+"/capacity", "a capacity of %d is above the %d instances", p.Capacity, p.Instances)
	}
	if d.valid(path, "instances", "capacity", "max-unavailable") && p.Capacity+p.MaxUnavailable > p.Instances {
		d.Report(CodeBudget, path+"/max-unavailable", "capacity %d + max-unavailable %d is above the %d instances",
			p.Capacity, p.MaxUnavailable, p.Instances)
	}
	// One worker is added for maintenance. Otherwise the declared failures would exceed the availability budget when
	// they happen during a planned step.
	loss := LostWorkers(p, zones)
	if d.valid(path, "instances", "max-unavailable", "rack-size", "survive/racks", "survive/zones", "survive/workers") &&
		loss+1 > p.MaxUnavailable {
		d.Report(CodeFailures, path+"/max-unavailable",
			"the declared failures take %d workers and maintenance 1, which is above max-unavailable %d",
			loss, p.MaxUnavailable)
	}
}

func (d checker) checkService(path string, s ServiceFields, pools map[string]locatedSection[PoolFields]) {
	if d.valid(path, "name") && slices.Contains(reservedNames, s.Name) {
		d.Report(CodeReservedName, path+"/name", "%q is a path of the entry instances themselves", s.Name)
	}
	_, hasPool := pools[s.Pool]
	d.checkReference(path, "pool", s.Pool, hasPool, CodeUnknownPool)
	d.checkRange(path, "deadline", s.Deadline, 1, DefaultMaxDeadline)
	d.checkRange(path, "max-deadline", s.MaxDeadline, 1, DefaultMaxDeadline)
	if d.valid(path, "deadline", "max-deadline") && s.Deadline > s.MaxDeadline {
		d.Report(CodeDeadline, path+"/deadline", "the deadline of %s is above the max-deadline of %s",
			strictjson.Duration(s.Deadline), strictjson.Duration(s.MaxDeadline))
	}
	for i, method := range s.IdempotentMethods {
		if slices.Contains(s.IdempotentMethods[:i], method) {
			d.Report(CodeDuplicateName, path+"/idempotent-methods/"+strconv.Itoa(i), "%q is listed twice", method)
		}
	}
}

// checkReference reports a reference to a section that does not exist; field is the kind of section, such as "pool". It
// reports nothing if the reference or the list of these sections, such as "/pools", has a diagnostic already.
func (d checker) checkReference(path, field, referenced string, exists bool, code diag.Code) {
	if d.valid("/"+field+"s") && d.valid(path, field) && !exists {
		d.Report(code, path+"/"+field, "%s %q does not exist", field, referenced)
	}
}

func (d checker) checkTeams(teams []TeamFields) {
	type membership struct{ team, path string }
	first := map[string]membership{}
	for i, t := range teams {
		path := "/teams/" + strconv.Itoa(i)
		d.checkContact(path, t.Contact)
		for k, caller := range t.Callers {
			callerPath := path + "/callers/" + strconv.Itoa(k)
			if d.HasDiagnostic(callerPath) {
				continue
			}
			if other, duplicate := first[caller]; duplicate {
				d.Report(CodeCallerInTwoTeams, callerPath, "caller %q is already in team %q on line %d", caller, other.team,
					d.Line(other.path))
				continue
			}
			first[caller] = membership{t.Name, callerPath}
		}
	}
}

func (d checker) checkJob(path string, j JobFields, pools map[string]locatedSection[PoolFields], teams map[string]locatedSection[TeamFields]) {
	p, hasPool := pools[j.Pool]
	t, hasTeam := teams[j.Team]
	d.checkReference(path, "pool", j.Pool, hasPool, CodeUnknownPool)
	d.checkReference(path, "team", j.Team, hasTeam, CodeUnknownTeam)
	d.checkRange(path, "run-time", j.RunTime, 1, 400*clock.Day)
	if d.valid(path, "memory") && j.MemoryMB < 1 {
		d.Report(CodeOutOfRange, path+"/memory", "must be at least 1MB")
	}
	// A job can exceed both the worker size and the quota. The values are checked for diagnostics before the first report,
	// which would otherwise suppress the second.
	cores, memory := d.valid(path, "cores"), d.valid(path, "memory")
	if hasPool && cores && d.valid(p.path, "cores") && j.Cores > p.f.Cores {
		d.Report(CodeJobAboveWorker, path+"/cores", "%d cores are above the %d of a worker in pool %q", j.Cores,
			p.f.Cores, j.Pool)
	}
	if hasPool && memory && d.valid(p.path, "memory") && j.MemoryMB > p.f.MemoryMB {
		d.Report(CodeJobAboveWorker, path+"/memory", "%s is above the %s of a worker in pool %q",
			strictjson.Size(j.MemoryMB), strictjson.Size(p.f.MemoryMB), j.Pool)
	}
	if hasTeam && cores && d.valid(t.path, "cores") && j.Cores > t.f.Cores {
		d.Report(CodeJobAboveQuota, path+"/cores", "%d cores are above the quota of %d of team %q", j.Cores, t.f.Cores,
			j.Team)
	}
	if hasTeam && memory && d.valid(t.path, "memory") && j.MemoryMB > t.f.MemoryMB {
		d.Report(CodeJobAboveQuota, path+"/memory", "%s is above the quota of %s of team %q",
			strictjson.Size(j.MemoryMB), strictjson.Size(t.f.MemoryMB), j.Team)
	}
	if d.valid(path, "attempts", "run-once") && j.RunOnce && j.Attempts > 1 {
		d.Report(CodeRunOnceAttempts, path+"/attempts", "a run-once job has 1 attempt and not %d", j.Attempts)
	}
}

package planner

import (
	"fmt"
	"slices"
	"strings"

	"magnoliaferry/config"
)

// Buffer is the number of spare workers that a pool needs so that its capacity stays covered when the failures that it
// declares (config.PoolFields.Survive) happen together.
type Buffer struct {
	workers int
	text    string
}

// Workers returns the largest number of workers that the declared failures can take away.
func (b Buffer) Workers() int { return b.workers }

// Text returns an explanation of the figure for operators, with the failures that it assumes.
func (b Buffer) Text() string { return b.text }

// BufferOf computes the buffer of a pool from the zones and racks of its members that have not failed. It returns the
// zero Buffer for a pool without members.
func (s *State) BufferOf(pool string) Buffer {
	v := s.pools[pool]
	if v == nil {
		return Buffer{}
	}
	workers, lost := v.worstLoss()
	spare := v.serving - v.pool.Capacity
	verdict := "is covered"
	if spare < workers {
		verdict = fmt.Sprintf("is short by %d", workers-spare)
	}
	return Buffer{workers, fmt.Sprintf("declared failures take at most %d of %d workers (%s); serving %d, capacity %d, "+
		"spare %d: the buffer %s", workers, v.live, lost, v.serving, v.pool.Capacity, spare, verdict)}
}

// failureDomain is a zone, or a rack of a zone, with the number of live members in it.
type failureDomain struct {
	zone, rack string // rack is empty for a whole zone
	size       int
}

// worstLoss returns the largest number of workers that the declared failures take together, and a text that names them.
// Racks are counted outside the failed zones only, because a failed zone includes its racks.
func (v *view) worstLoss() (int, string) {
	declared := v.pool.Survive
	var zones, racks []failureDomain
	for i := range v.members { // sorted by zone and rack
		m := &v.members[i]
		if m.Phase == Failed {
			continue
		}
		if n := len(zones); n == 0 || zones[n-1].zone != m.Zone {
			zones = append(zones, failureDomain{zone: m.Zone})
		}
		if n := len(racks); n == 0 || racks[n-1].zone != m.Zone || racks[n-1].rack != m.Rack {
			racks = append(racks, failureDomain{zone: m.Zone, rack: m.Rack})
		}
		zones[len(zones)-1].size++
		racks[len(racks)-1].size++
	}
	bySize := func(a, b failureDomain) int { return b.size - a.size }
	slices.SortStableFunc(zones, bySize)
	slices.SortStableFunc(racks, bySize)
	best, lost := -1, []failureDomain(nil)
	consider := func(failed []failureDomain) {
		all := slices.Clone(failed)
		for _, r := range racks {
			if len(all)-len(failed) == declared.Racks {
				break
			}
			if !slices.ContainsFunc(failed, func(z failureDomain) bool { return z.zone == r.zone }) {
				all = append(all, r)
			}
		}
		if total := sum(all); total > best {
			best, lost = total, all
		}
	}
	// For one failed zone, the usual declaration, every zone is tried: together with a rack, the largest zone is not
	// always the worst. For more zones only the largest ones are tried; the result can be too low by less than a rack
	// per zone.
	if declared.Zones == 1 {
		for i := range zones {
			consider(zones[i : i+1])
		}
	} else {
		consider(zones[:min(declared.Zones, len(zones))])
	}
	workers := min(declared.Workers, v.live-max(best, 0))
	return max(best, 0) + workers, explainLoss(lost, workers, declared)
}

func sum(all []failureDomain) (total int) {
	for _, d := range all {
		total += d.size
	}
	return total
}

// explainLoss lists the failed zones and racks and the workers that fail in addition. Without a loss it returns the
// declared failures.
func explainLoss(lost []failureDomain, workers int, declared config.Failures) string {
	var parts []string
	for _, d := range lost {
		if d.rack == "" {
			parts = append(parts, fmt.Sprintf("zone %s holds %d", d.zone, d.size))
		} else {
			parts = append(parts, fmt.Sprintf("rack %s in zone %s holds %d", d.rack, d.zone, d.size))
		}
	}
	if workers > 0 {
		parts = append(parts, fmt.Sprintf("and any %d more", workers))
	}
	if len(parts) == 0 {
		return fmt.Sprintf("%d racks, %d zones, %d workers declared", declared.Racks, declared.Zones, declared.Workers)
	}
	return strings.Join(parts, ", ")
}

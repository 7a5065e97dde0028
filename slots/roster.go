package slots

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"

	"magnoliaferry/clock"
)

// Times of the agreement on shares.
const (
	LeasePeriod     = 5 * clock.Second
	LongestDeadline = 30 * clock.Second
	// Quarantine is how long the slots of a departed member stay unused, if the table answers. The member dispatches
	// and lends for at most the lease period after its removal; what it dispatched ends by the longest deadline, and what
	// it lent by the end of the loan.
	Quarantine = LeasePeriod + LongestDeadline + loanMargin
)

// ConnectionsPerSlot is how many connections come with each slot held.
const ConnectionsPerSlot = 8

// State is the state of a member of a roster.
type State string

// The states. A departed member has no share, but holds the others back until its slots are released.
const (
	Active  State = "active"
	Leaving State = "leaving" // stopped dispatching by itself
	Removed State = "removed" // was silent, or was replaced by a greater incarnation
)

// Member is one incarnation of an entry instance in a roster.
type Member struct{ fields memberFields }

type memberFields struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address,omitempty"`
	State       State  `json:"state"`
	// Confirmed is the last generation for which the member said that its slots in use fit its share.
	Confirmed int64 `json:"confirmed-generation"`
}

// ID returns the id of the entry instance.
func (m Member) ID() string { return m.fields.ID }

// Incarnation returns the incarnation, which grows each time the instance joins.
func (m Member) Incarnation() int64 { return m.fields.Incarnation }

// Address returns the IP address and port for other entry instances, or "" when it was not given.
func (m Member) Address() string { return m.fields.Address }

// State returns the state.
func (m Member) State() State { return m.fields.State }

// Confirmed returns the last generation that the member confirmed.
func (m Member) Confirmed() int64 { return m.fields.Confirmed }

// identity names one incarnation of an entry instance.
type identity struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

func (m Member) identity() identity { return identity{m.fields.ID, m.fields.Incarnation} }

// generation is the list of active members between two changes of the membership.
type generation struct {
	Number  int64      `json:"generation"`
	Members []identity `json:"members"`
}

// Roster is the frozen content of a row roster/<zone>. The generation counts changes of the membership; the version
// of the row also grows with each confirmation, so it orders rosters but says nothing about shares.
type Roster struct {
	version int64
	current generation
	members []Member
	past    []generation // those that a member may still use, oldest first, without the current one
}

type rosterFields struct {
	Generation int64          `json:"generation"`
	Members    []memberFields `json:"members"`
	Past       []generation   `json:"past"`
}

// DecodeRoster reads the value of a row roster/<zone> and its version; version 0 gives the empty roster.
func DecodeRoster(value []byte, version int64) (Roster, error) {
	r := Roster{version: version}
	if version == 0 {
		return r, nil
	}
	var f rosterFields
	if err := json.Unmarshal(value, &f); err != nil {
		return Roster{}, fmt.Errorf("roster of version %d: %w", version, err)
	}
	for _, m := range f.Members {
		r.members = append(r.members, Member{m})
	}
	r.past = f.Past
	r.current = generation{f.Generation, r.activeMembers()}
	return r, nil
}

// Encode returns the value of the row, for example
//
//	{"generation":2,"members":[{"id":"e1","incarnation":7,"state":"active","confirmed-generation":2}],"past":[]}
func (r Roster) Encode() []byte {
	fields := rosterFields{Generation: r.current.Number, Members: []memberFields{}, Past: []generation{}}
	for _, m := range r.members {
		fields.Members = append(fields.Members, m.fields)
	}
	fields.Past = append(fields.Past, r.past...)
	value, err := json.Marshal(fields)
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	return value
}

// Version returns the version of the row, the roster epoch; 0 says that the row does not exist.
func (r Roster) Version() int64 { return r.version }

// Generation returns the number of changes of the membership so far.
func (r Roster) Generation() int64 { return r.current.Number }

// Members returns the members, including departed ones whose slots are not yet released, by id and incarnation.
func (r Roster) Members() []Member { return slices.Clone(r.members) }

// Member returns the given incarnation of an entry instance, departed or not.
func (r Roster) Member(id string, incarnation int64) (Member, bool) {
	for _, m := range r.members {
		if m.identity() == (identity{id, incarnation}) {
			return m, true
		}
	}
	return Member{}, false
}

// Join returns the roster with a new member. It reports false when the incarnation is not greater than every one of
// the instance in the roster. An earlier incarnation that is still active counts as removed.
func (r Roster) Join(id string, incarnation int64) (Roster, bool) {
	for _, m := range r.members {
		if m.fields.ID == id && m.fields.Incarnation >= incarnation {
			return r, false
		}
	}
	return r.change(func(next *Roster) {
		for i := range next.members {
			if m := &next.members[i].fields; m.ID == id && m.State == Active {
				m.State = Removed
			}
		}
		// A new member has nothing in use, so it fits every share.
		next.members = append(next.members, Member{memberFields{ID: id, Incarnation: incarnation, State: Active, Confirmed: r.current.Number + 1}})
	}), true
}

// WithAddress returns the roster with the address of a member, for those who have to reach it.
func (r Roster) WithAddress(id string, incarnation int64, address string) Roster {
	next := r.clone()
	for i := range next.members {
		if next.members[i].identity() == (identity{id, incarnation}) {
			next.members[i].fields.Address = address
		}
	}
	return next
}

// Confirm returns the roster in which the member says that its slots in use fit its share in the given generation.
func (r Roster) Confirm(id string, incarnation, generation int64) (Roster, bool) {
	m, ok := r.Member(id, incarnation)
	if !ok || m.fields.State != Active || m.fields.Confirmed >= generation || generation > r.current.Number {
		return r, false
	}
	next := r.clone()
	for i := range next.members {
		if next.members[i].identity() == m.identity() {
			next.members[i].fields.Confirmed = generation
		}
	}
	next.prune()
	return next, true
}

// Leave returns the roster in which the member has stopped dispatching.
func (r Roster) Leave(id string, incarnation int64) (Roster, bool) {
	return r.depart(id, incarnation, Leaving)
}

// Remove returns the roster without the share of a member that was silent for the lease period.
func (r Roster) Remove(id string, incarnation int64) (Roster, bool) {
	return r.depart(id, incarnation, Removed)
}

// Release returns the roster without a departed member, whose slots are certainly no longer in use.
func (r Roster) Release(id string, incarnation int64) (Roster, bool) {
	m, ok := r.Member(id, incarnation)
	if !ok || m.fields.State == Active {
		return r, false
	}
	next := r.clone()
	next.members = slices.DeleteFunc(next.members, func(o Member) bool { return o.identity() == m.identity() })
	next.prune()
	return next, true
}

func (r Roster) depart(id string, incarnation int64, state State) (Roster, bool) {
	m, ok := r.Member(id, incarnation)
	if !ok || m.fields.State != Active {
		return r, false
	}
	return r.change(func(next *Roster) {
		for i := range next.members {
			if next.members[i].identity() == m.identity() {
				next.members[i].fields.State = state
			}
		}
	}), true
}

// change applies a change of the membership, which begins a new generation.
func (r Roster) change(apply func(*Roster)) Roster {
	next := r.clone()
	next.past = append(next.past, r.current)
	apply(&next)
	sort.Slice(next.members, func(i, j int) bool {
		a, b := next.members[i].fields, next.members[j].fields
		return a.ID < b.ID || (a.ID == b.ID && a.Incarnation < b.Incarnation)
	})
	next.current = generation{r.current.Number + 1, next.activeMembers()}
	next.prune()
	return next
}

func (r Roster) clone() Roster {
	r.members = slices.Clone(r.members)
	r.past = slices.Clone(r.past)
	return r
}

// prune drops the generations before the oldest one that a member may still use.
func (r *Roster) prune() {
	oldest := r.oldestConfirmed(nil)
	r.past = slices.DeleteFunc(r.past, func(g generation) bool { return g.Number < oldest })
}

// oldestConfirmed returns the oldest generation that a member may still use, without the members that are released.
func (r Roster) oldestConfirmed(released map[identity]bool) int64 {
	oldest := r.current.Number
	for _, m := range r.members {
		if !released[m.identity()] {
			oldest = min(oldest, m.fields.Confirmed)
		}
	}
	return oldest
}

func (r Roster) activeMembers() []identity {
	members := []identity{}
	for _, m := range r.members {
		if m.fields.State == Active {
			members = append(members, m.identity())
		}
	}
	return members
}

// share returns what the member may use of units of a resource while other members may still use the shares of any
// generation since the oldest confirmed one. It is the smallest of its shares in these generations: let g be the oldest
// generation that any member uses. Every member takes at most its share in g, and the shares in g add up to units.
func (r Roster) share(m identity, resource string, units int, released map[identity]bool) int {
	oldest := r.oldestConfirmed(released)
	share := r.current.share(m, resource, units)
	for _, g := range r.past {
		if g.Number >= oldest {
			share = min(share, g.share(m, resource, units))
		}
	}
	return share
}

// share returns the base share of a member. Units are dealt out in turn, beginning at a member that depends on the
// resource, so that the remainder does not always go to the same one, and more units never give a member less.
func (g generation) share(m identity, resource string, units int) int {
	index := slices.Index(g.Members, m)
	if index < 0 {
		return 0
	}
	return splitUnits(index, len(g.Members), resource, units)
}

// splitUnits returns the part of the one of count that has the given index.
func splitUnits(index, count int, resource string, units int) int {
	h := fnv.New32a()
	h.Write([]byte(resource))
	first := int(h.Sum32() % uint32(count))
	share := units / count
	if (index-first+count)%count < units%count {
		share++
	}
	return share
}

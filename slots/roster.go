package slots

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"

	"magnoliaferry/clock"
)

// Periods by which members agree on their shares.
const (
	// LeasePeriod is how long a member may dispatch after the start of its last attempt to confirm its membership; see
	// Ledger.Confirm.
	LeasePeriod = 5 * clock.Second
	// LongestDeadline is the longest time from now to the deadline of a request.
	LongestDeadline = 30 * clock.Second
	// Quarantine is how long the slots of a departed member stay unused while the table answers. The member dispatches
	// and lends for at most the lease period after its removal. Its requests end by the longest deadline, and its loans
	// at the end of their period.
	Quarantine = LeasePeriod + LongestDeadline + loanMargin
)

// ConnectionsPerSlot is how many connections to a worker an instance may have open for each of its slots.
const ConnectionsPerSlot = 8

// State is the state of a member of a roster.
type State string

// The states. A departed (leaving or removed) member has no share, but the other members do not use its slots until it
// is released.
const (
	Active  State = "active"
	Leaving State = "leaving" // left by itself and stopped dispatching
	Removed State = "removed" // did not answer, or was replaced by a greater incarnation
)

// Member is one incarnation of an entry instance in a roster.
type Member struct{ fields memberFields }

type memberFields struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address,omitempty"`
	State       State  `json:"state"`
	// Confirmed is the last generation for which the member confirmed that its slots in use fit its share.
	Confirmed int64 `json:"confirmed-generation"`
}

// ID returns the id of the entry instance.
func (m Member) ID() string { return m.fields.ID }

// Incarnation returns the incarnation, which grows each time the instance joins.
func (m Member) Incarnation() int64 { return m.fields.Incarnation }

// Address returns the IP address and port for other entry instances, or "" if none was set.
func (m Member) Address() string { return m.fields.Address }

// State returns the state of the member.
func (m Member) State() State { return m.fields.State }

// Confirmed returns the last generation that the member confirmed.
func (m Member) Confirmed() int64 { return m.fields.Confirmed }

// identity identifies one incarnation of an entry instance.
type identity struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

func (m Member) identity() identity { return identity{m.fields.ID, m.fields.Incarnation} }

// generation is the numbered list of active members between two changes of the membership.
type generation struct {
	Number  int64      `json:"generation"`
	Members []identity `json:"members"`
}

// Roster is the membership list of a zone: the immutable content of a row roster/<zone>. Its generation counts changes
// of the membership. The version of the row also grows with each confirmation, so it orders rosters, but shares do not
// depend on it.
type Roster struct {
	version int64
	current generation
	members []Member
	past    []generation // earlier generations that a member may still use, oldest first
}

type rosterFields struct {
	Generation int64          `json:"generation"`
	Members    []memberFields `json:"members"`
	Past       []generation   `json:"past"`
}

// DecodeRoster decodes the value of a row roster/<zone>. Version 0 means that the row does not exist and returns the
// empty roster.
func DecodeRoster(value []byte, version int64) (Roster, error) {
	r := Roster{version: version}
	if version == 0 {
		return r, nil
	}
	var f rosterFields
	if err := json.Unmarshal(value, &f); err != nil {
		return Roster{}, fmt.Errorf("decoding roster version %d: %w", version, err)
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

// Version returns the version of the row, called the roster epoch between peers; 0 means that the row does not exist.
func (r Roster) Version() int64 { return r.version }

// Generation returns the number of membership changes so far.
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

// Join returns the roster with a new active member. It reports false if the roster has the same or a greater
// incarnation of the instance. An earlier incarnation that is still active becomes removed.
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
		// A new member has no slots in use, so it has confirmed the new generation.
		next.members = append(next.members, Member{memberFields{ID: id, Incarnation: incarnation, State: Active, Confirmed: r.current.Number + 1}})
	}), true
}

// WithAddress returns the roster with the address at which other entry instances reach the member.
func (r Roster) WithAddress(id string, incarnation int64, address string) Roster {
	next := r.clone()
	for i := range next.members {
		if next.members[i].identity() == (identity{id, incarnation}) {
			next.members[i].fields.Address = address
		}
	}
	return next
}

// Confirm returns the roster in which the member confirms that its slots in use fit its share in the given generation.
// It reports false if there is nothing to change.
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

// Leave returns the roster in which the member is leaving and has stopped dispatching. It reports false if the member
// is not active.
func (r Roster) Leave(id string, incarnation int64) (Roster, bool) {
	return r.depart(id, incarnation, Leaving)
}

// Remove returns the roster in which a member that did not answer for the lease period is removed and has no share. It
// reports false if the member is not active.
func (r Roster) Remove(id string, incarnation int64) (Roster, bool) {
	return r.depart(id, incarnation, Removed)
}

// Release returns the roster without a departed member whose slots are no longer in use. It reports false if the member
// is active or unknown.
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

// change applies a membership change and starts a new generation.
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

// prune deletes the generations before the oldest one that a member may still use.
func (r *Roster) prune() {
	oldest := r.oldestConfirmed(nil)
	r.past = slices.DeleteFunc(r.past, func(g generation) bool { return g.Number < oldest })
}

// oldestConfirmed returns the oldest generation that a member may still use, ignoring the given released members.
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

// share returns how many of the units of a resource the member may use while other members may still use their shares
// of any generation since the oldest confirmed one. It is the smallest of the member's shares in these generations.
// This is safe: let g be the oldest generation that any member uses. Every member uses at most its share in g, and the
// shares in g add up to units.
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

// share returns the share of a member in this generation alone, or 0 if it is not in the generation.
func (g generation) share(m identity, resource string, units int) int {
	index := slices.Index(g.Members, m)
	if index < 0 {
		return 0
	}
	return splitUnits(index, len(g.Members), resource, units)
}

// splitUnits divides units evenly among count parts and returns the part with the given index. The remainder is handed
// out one unit each, starting at an index that depends on the resource, so that it does not always go to the same part.
// More units never make a part smaller.
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

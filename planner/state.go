package planner

import (
	"cmp"
	"slices"
	"sort"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// Phase is the state of an instance in planned work or after a failure.
type Phase string

// The phases of an instance.
const (
	Serving   Phase = "serving"   // takes work of its pool
	Draining  Phase = "draining"  // takes no new work; ends in a reboot or, with a target, in a move
	Rebooting Phase = "rebooting" // out for the reboot of its maintenance
	Verifying Phase = "verifying" // came back or joined, and has to become healthy
	Failed    Phase = "failed"    // unhealthy, leaving, unlisted, or its reboot failed
	Moving    Phase = "moving"    // assigned to its new pool, in which it has not served yet
)

// RecordFields is the stored record of an instance. Its times are wall-clock milliseconds of the process that wrote it.
type RecordFields struct {
	ID         string       `json:"id"`
	Pool       string       `json:"pool"`
	Zone       string       `json:"zone"`
	Rack       string       `json:"rack"`
	Phase      Phase        `json:"phase"`
	Since      clock.Millis `json:"since"`             // start of the phase
	Maintained clock.Millis `json:"maintained"`        // end of the last maintenance, or the time at which it joined
	Wave       string       `json:"wave,omitempty"`    // the wave that drained it last
	Target     string       `json:"target,omitempty"`  // the pool that it moves to after the drain
	Home       string       `json:"home,omitempty"`    // the pool that lent it; empty in its own pool
	From       Phase        `json:"from,omitempty"`    // the phase in which it first failed; kept until it serves again
	Joining    bool         `json:"joining,omitempty"` // has not served in its pool yet
	Force      bool         `json:"force,omitempty"`   // an operator ordered the reboot before the end of the drain
	Reason     string       `json:"reason,omitempty"`  // of the last step; empty after a return to service
}

// InstanceFields is the record of an instance with the current reports of the platform and the entry instances.
type InstanceFields struct {
	RecordFields
	Age          clock.Millis // time since this process first saw the phase, by its own clock only; Since is by the writer's clock
	Accepted     bool         // the platform has begun the drain
	Listed       bool         // in the platform's list
	Leaving      bool         // listed as leaving
	Healthy      bool
	Drained      bool // nothing runs on it any more
	Rebooted     bool // the platform reports that its reboot has ended
	RebootFailed bool
}

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveStopped WaveState = "stopped" // by an operator, or because too many maintained instances were unhealthy
	WaveDone    WaveState = "done"
)

// WaveFields is a maintenance wave: one round of maintenance of all instances of a pool. It is complete when every
// instance was maintained since Started.
type WaveFields struct {
	ID      string       `json:"id"`
	Pool    string       `json:"pool"`
	State   WaveState    `json:"state"`
	Started clock.Millis `json:"started"`
	Resumed clock.Millis `json:"resumed"` // last start or resumption; instances that failed earlier cannot stop the wave
	By      string       `json:"by"`      // the operator who changed it last, or the process that started it
	Reason  string       `json:"reason,omitempty"`
}

// Trend is the direction in which the size of a pool deviates from its demand, and since when.
type Trend struct {
	Direction int          // 1: short of workers, -1: too many workers, 0: neither
	Since     clock.Millis // monotonic time of this process
}

// Fields holds the input of New.
type Fields struct {
	Now           clock.Millis // monotonic time of this process, compared with Trend.Since
	Wall          clock.Millis // wall-clock time, compared with the times of the records
	Configuration *config.Configuration
	Instances     []InstanceFields      // New sorts them in place
	Waves         map[string]WaveFields // by pool
	Demand        map[string]int        // running and queued requests, by pool
	Trends        map[string]Trend      // result of the previous pass, by pool
}

// State is an immutable state of the fleet, from which the steps of a pass are computed.
type State struct {
	f          Fields
	pools      map[string]*view
	poolNames  []string
	unassigned []InstanceFields // instances without a pool
}

// view is a pool with its members and the counts that the rules use.
type view struct {
	pool        config.PoolFields
	members     []InstanceFields
	serving     int
	unavailable int // failed ones and those in planned
	planned     int // out for planned work, or verifying after a failure
	failed      int
	live        int // members that have not failed
	joining     int // members that have not served in this pool yet and have not failed
	inbound     int // members of any pool that drain for a move to this one
	inboundOwn  int // the inbound ones that will belong to this pool
	borrowed    int // live members that belong to another pool
	lent        int // own instances that are members of other pools and not on their way back
}

// Compare orders instances by pool, zone, rack and id.
func Compare(a, b InstanceFields) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.ID, b.ID))
}

// New returns the State of the fields, which must not be changed afterwards. If f.Instances are not in the order of
// Compare, it sorts them in place.
func New(f Fields) *State {
	if !slices.IsSortedFunc(f.Instances, Compare) {
		slices.SortFunc(f.Instances, Compare)
	}
	s := &State{f: f, pools: map[string]*view{}}
	for _, p := range f.Configuration.Pools() {
		s.pools[p.Name()] = &view{pool: p.Fields()}
		s.poolNames = append(s.poolNames, p.Name())
	}
	for start := 0; start < len(f.Instances); {
		end := start + 1
		for end < len(f.Instances) && f.Instances[end].Pool == f.Instances[start].Pool {
			end++
		}
		members := f.Instances[start:end]
		start = end
		if members[0].Pool == "" {
			s.unassigned = members
			continue
		}
		v, declared := s.pools[members[0].Pool]
		if !declared { // the pool was removed from the configuration; its instances can only leave it
			v = &view{pool: config.PoolFields{Name: members[0].Pool, MaxUnavailable: len(members)}}
			s.pools[members[0].Pool] = v
			s.poolNames = append(s.poolNames, members[0].Pool)
		}
		v.count(members)
	}
	sort.Strings(s.poolNames)
	for _, v := range s.pools {
		s.countMoves(v)
	}
	return s
}

// countMoves adds the members of v to the counts of the pools that they move to or were lent by.
func (s *State) countMoves(v *view) {
	for i := range v.members {
		m := &v.members[i]
		if m.Phase == Failed {
			continue
		}
		if to := s.pools[m.Target]; to != nil {
			to.inbound++
			if m.Home == "" || m.Home == m.Target {
				to.inboundOwn++
			}
		}
		if home := s.pools[m.Home]; home != nil && home != v {
			v.borrowed++
			if m.Target != m.Home {
				home.lent++
			}
		}
	}
}

// count sets the members of the pool and their counts by phase.
func (v *view) count(members []InstanceFields) {
	v.members = members
	for i := range members {
		m := &members[i]
		switch {
		case m.Phase == Serving:
			v.serving++
		case m.Phase == Failed:
			v.failed++
			v.unavailable++
		case m.Joining && m.From == "":
			v.joining++
		default:
			v.planned++
			v.unavailable++
		}
	}
	v.live = len(members) - v.failed
}

// StepKind is the kind of a step.
type StepKind string

// The kinds of steps.
const (
	KindJoin         StepKind = "join"        // assigns an instance without a pool to the pool
	KindDrain        StepKind = "drain"       // for maintenance, or with a target for a move
	KindReboot       StepKind = "reboot"      // after the drain has ended or an operator forced the reboot
	KindVerify       StepKind = "verify"      // after the reboot has ended or a failed instance has come back
	KindReturn       StepKind = "return"      // the instance serves again
	KindCancelDrain  StepKind = "give-back"   // ends a drain early: the pool needs the instance, or the target pool no longer exists
	KindMove         StepKind = "move"        // changes the pool of a drained instance
	KindFail         StepKind = "fail"        // records a failure
	KindDeleteRecord StepKind = "forget"      // deletes the record of a failed instance that is not listed any more
	KindStartWave    StepKind = "start-wave"  // because maintenance comes due
	KindStopWave     StepKind = "stop-wave"   // because too many instances are unhealthy after their maintenance
	KindFinishWave   StepKind = "finish-wave" // every instance was maintained
	KindWait         StepKind = "wait"        // nothing is done; the reason names the rule and the figures
)

// Step is one change of an instance or a wave, or with KindWait the reason why nothing is done.
type Step struct {
	kind                           StepKind
	pool, instance, target, reason string
	loan                           bool
}

// Kind returns the kind of the step.
func (s Step) Kind() StepKind { return s.kind }

// Pool returns the pool whose budget the step concerns.
func (s Step) Pool() string { return s.pool }

// Instance returns the id of the instance, or "" if the step concerns the pool as a whole.
func (s Step) Instance() string { return s.instance }

// Target returns the pool that the instance moves to, or "" if it does not move.
func (s Step) Target() string { return s.target }

// Reason returns the rule and the figures behind the step.
func (s Step) Reason() string { return s.reason }

// Loan reports whether a drain with a target lends the instance: it goes to the target for a time and then returns.
func (s Step) Loan() bool { return s.loan }

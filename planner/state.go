package planner

import (
	"cmp"
	"slices"
	"sort"

	"magnoliaferry/clock"
	"magnoliaferry/config"
)

// Phase is where an instance stands in planned work or failure.
type Phase string

// The phases of an instance.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Rebooting Phase = "rebooting"
	Verifying Phase = "verifying"
	Failed    Phase = "failed"
	Moving    Phase = "moving"
)

// RecordFields holds what the table keeps of an instance; times are wall-clock milliseconds of the writer.
type RecordFields struct {
	ID         string       `json:"id"`
	Pool       string       `json:"pool"`
	Zone       string       `json:"zone"`
	Rack       string       `json:"rack"`
	Phase      Phase        `json:"phase"`
	Since      clock.Millis `json:"since"`             // start of the phase
	Maintained clock.Millis `json:"maintained"`        // end of the last maintenance, or when it joined
	Wave       string       `json:"wave,omitempty"`    // wave that took it out last
	Target     string       `json:"target,omitempty"`  // pool that a drain moves it to
	Home       string       `json:"home,omitempty"`    // pool that lent it
	From       Phase        `json:"from,omitempty"`    // phase in which it failed
	Joining    bool         `json:"joining,omitempty"` // has not yet served in its pool
	Force      bool         `json:"force,omitempty"`   // an operator ordered the reboot before the drain ends
	Reason     string       `json:"reason,omitempty"`
}

// InstanceFields is a record together with what the platform and the entry instances report about it now.
type InstanceFields struct {
	RecordFields
	Age          clock.Millis // how long this process has seen the phase; no clocks are compared
	Accepted     bool         // the platform has begun the drain
	Listed       bool         // in the platform's list
	Leaving      bool         // listed as leaving
	Healthy      bool
	Drained      bool // nothing runs on it any more
	Rebooted     bool // the platform says that its reboot has ended
	RebootFailed bool
}

// WaveState tells whether a wave goes on.
type WaveState string

// The states of a wave.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveStopped WaveState = "stopped" // by an operator, or by itself because what came back was unhealthy
	WaveDone    WaveState = "done"
)

// WaveFields is one maintenance wave through a pool; it is complete when every instance was maintained since Started.
type WaveFields struct {
	ID      string       `json:"id"`
	Pool    string       `json:"pool"`
	State   WaveState    `json:"state"`
	Started clock.Millis `json:"started"`
	Resumed clock.Millis `json:"resumed"` // only instances that came back since then are judged
	By      string       `json:"by"`
	Reason  string       `json:"reason,omitempty"`
}

// Trend says since when a pool has been short of workers (1) or has had too many (-1).
type Trend struct {
	Direction int
	Since     clock.Millis
}

// Fields holds the values of a State while it is built.
type Fields struct {
	Now           clock.Millis // monotonic time of this process, for trends
	Wall          clock.Millis // wall-clock time, compared with the times of records
	Configuration *config.Configuration
	Instances     []InstanceFields      // New sorts them by pool, zone, rack and id
	Waves         map[string]WaveFields // by pool
	Demand        map[string]int        // requests in flight and waiting, by pool
	Trends        map[string]Trend      // of the pass before, by pool
}

// State is a frozen state of the fleet.
type State struct {
	f          Fields
	pools      map[string]*view
	names      []string
	unassigned []InstanceFields
}

// view is one pool with the counts that every rule uses.
type view struct {
	pool     config.PoolFields
	members  []InstanceFields
	serving  int
	out      int // planned and failed, without those that are joining
	planned  int
	failed   int
	live     int // members that have not failed
	joining  int // members that have not yet served here
	inbound  int // draining in other pools on their way here
	homing   int // those of them that become its own
	borrowed int // live members that belong to another pool
	lent     int // own instances that are with other pools
}

// Compare orders instances by pool, zone, rack and id.
func Compare(a, b InstanceFields) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.ID, b.ID))
}

// New freezes the fields. It sorts the instances in place unless they are sorted, which costs one pass.
func New(f Fields) *State {
	if !slices.IsSortedFunc(f.Instances, Compare) {
		slices.SortFunc(f.Instances, Compare)
	}
	s := &State{f: f, pools: map[string]*view{}}
	for _, p := range f.Configuration.Pools() {
		s.pools[p.Name()] = &view{pool: p.Fields()}
		s.names = append(s.names, p.Name())
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
		if !declared { // the pool was taken out of the configuration; its instances can only leave it
			v = &view{pool: config.PoolFields{Name: members[0].Pool, MaxUnavailable: len(members)}}
			s.pools[members[0].Pool] = v
			s.names = append(s.names, members[0].Pool)
		}
		v.count(members)
	}
	sort.Strings(s.names)
	for _, v := range s.pools {
		s.countMoves(v)
	}
	return s
}

// countMoves counts the instances of one pool in the pools that they go to or were lent by.
func (s *State) countMoves(v *view) {
	for i := range v.members {
		m := &v.members[i]
		if m.Phase == Failed {
			continue
		}
		if to := s.pools[m.Target]; to != nil {
			to.inbound++
			if m.Home == "" || m.Home == m.Target {
				to.homing++
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

func (v *view) count(members []InstanceFields) {
	v.members = members
	for i := range members {
		m := &members[i]
		switch {
		case m.Phase == Serving:
			v.serving++
		case m.Phase == Failed:
			v.failed++
			v.out++
		case m.Joining && m.From == "":
			v.joining++
		default:
			v.planned++
			v.out++
		}
	}
	v.live = len(members) - v.failed
}

// StepKind is what a step does.
type StepKind string

// The kinds of steps.
const (
	KindJoin         StepKind = "join"        // put an instance without a pool into one
	KindDrain        StepKind = "drain"       // for maintenance, or with a target for a move
	KindReboot       StepKind = "reboot"      // the drain has ended, or an operator forced it
	KindVerify       StepKind = "verify"      // the reboot has ended, or a failed instance is back
	KindReturn       StepKind = "return"      // serves again
	KindCancelDrain  StepKind = "give-back"   // ends a drain early because the pool needs the instance
	KindMove         StepKind = "move"        // changes the pool of a drained instance
	KindFail         StepKind = "fail"        // records a failure
	KindDeleteRecord StepKind = "forget"      // deletes the record of an instance that was replaced
	KindStartWave    StepKind = "start-wave"  // because instances come due
	KindStopWave     StepKind = "stop-wave"   // because what came back is unhealthy
	KindFinishWave   StepKind = "finish-wave" // every instance was maintained
	KindWait         StepKind = "wait"        // nothing is done; the reason names the rule and the figures
)

// Step is one thing to do, or the reason why nothing is done.
type Step struct {
	kind                           StepKind
	pool, instance, target, reason string
	loan                           bool
}

// Kind returns what the step does.
func (s Step) Kind() StepKind { return s.kind }

// Pool returns the pool whose budget the step concerns.
func (s Step) Pool() string { return s.pool }

// Instance returns the id of the instance, or "" where the step concerns the pool.
func (s Step) Instance() string { return s.instance }

// Target returns the pool that a drain or a move leads to.
func (s Step) Target() string { return s.target }

// Reason returns the rule and the figures behind the step.
func (s Step) Reason() string { return s.reason }

// Loan tells whether a drain with a target lends the instance, so that it returns later.
func (s Step) Loan() bool { return s.loan }

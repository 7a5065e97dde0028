package fleet

import (
	"context"
	"fmt"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// testFleet is a small fleet on the in-memory platform, driven pass by pass on a fake clock.
type testFleet struct {
	clock     *clock.Clock
	faults    *fault.Injector
	store     *memory.Store
	fields    config.Fields
	demand    map[string]int
	unhealthy map[string]bool
	inFlight  map[string]int // requests, by instance
	tasks     map[string]int // running, by instance
	loops     []*Loop
	ctx       context.Context

	lastRecords map[string]planner.RecordFields // after the last checked call; nil when calls are not checked
	cancelled   map[string]int                  // by id of a job that was cancelled while it waited: its starts until then
	violations  []string
}

var zoneNames = []string{"a", "b", "c"}

// newTestFleet returns a fleet with the pools p0, p1 and the spare pool "spare", and the given number of loops. Each pool
// declares size workers, a capacity of size - 3 and a budget of 3. The workers are listed in three zones with racks of
// two, and join the pools in the first passes.
func newTestFleet(size, loops int) *testFleet {
	tf := &testFleet{clock: clock.NewFake(clock.Hour), faults: &fault.Injector{}, demand: map[string]int{},
		unhealthy: map[string]bool{}, inFlight: map[string]int{}, tasks: map[string]int{}, cancelled: map[string]int{},
		ctx: context.Background()}
	tf.store = memory.New(tf.clock, tf.faults)
	tf.store.InFlight = tf.activeWork
	tf.fields = config.Fields{Weights: config.Weights{RollOutTime: 40, Protection: 30, BufferCost: 15, Moves: 15}}
	for _, z := range zoneNames {
		tf.fields.Zones = append(tf.fields.Zones, config.ZoneFields{Name: z})
	}
	for _, name := range []string{"p0", "p1", "spare"} {
		tf.fields.Pools = append(tf.fields.Pools, config.PoolFields{Name: name, Contact: name + "@example.org",
			Instances: size, Capacity: size - 3, MaxUnavailable: 3, Spare: name == "spare", Slots: 8, Cores: 16,
			MemoryMB: 32768, MaintenancePeriod: 28 * clock.Day, Survive: config.Failures{Racks: 1}})
	}
	for i := range 3 * size {
		tf.list(i)
	}
	for i := range loops {
		tf.loops = append(tf.loops, tf.newLoop(fmt.Sprintf("entry-%d", i), zoneNames[i%3]))
	}
	return tf
}

// list puts the worker with the number into the platform's list.
func (tf *testFleet) list(i int) {
	zone := zoneNames[i%3]
	tf.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: fmt.Sprintf("w%02d", i), Zone: zone,
		Rack: fmt.Sprintf("%s%d", zone, i/6), Role: provider.RoleWorker, State: provider.Live, Cores: 16, MemoryMB: 32768}))
}

func (tf *testFleet) newLoop(holder, zone string) *Loop {
	view := tf.store.View(zone)
	return &Loop{Holder: holder, Clock: tf.clock, Platform: view,
		Assignments:   &Assignments{Clock: tf.clock, Platform: view, Zone: zone},
		Configuration: func() *config.Configuration { return config.New(tf.fields) },
		Demand:        func() map[string]int { return tf.demand },
		Healthy:       func(instance string) bool { return !tf.unhealthy[instance] },
		Wall:          tf.clock.Now, Seed: int64(len(holder))}
}

// runPasses lets every loop make a pass every two seconds until done returns true or the limit is reached, and
// returns the time it took.
func (tf *testFleet) runPasses(limit clock.Millis, done func() bool) clock.Millis {
	start := tf.clock.Now()
	for tf.clock.Now()-start < limit && !done() {
		for _, l := range tf.loops {
			_ = l.Pass(tf.ctx)
		}
		tf.clock.Advance(2 * clock.Second)
	}
	return tf.clock.Now() - start
}

// records reads the instance rows without faults.
func (tf *testFleet) records() map[string]planner.RecordFields {
	return readRows[planner.RecordFields](tf, instancePrefix)
}

// readRows returns the values of all rows under a prefix by the rest of the key, without faults.
func readRows[T any](tf *testFleet, prefix string) map[string]T {
	faults := tf.store.Faults
	tf.store.Faults = nil
	defer func() { tf.store.Faults = faults }()
	rows, err := tf.store.View("").Table().Scan(tf.ctx, prefix, "", 1<<20)
	if err != nil {
		panic(err)
	}
	values := map[string]T{}
	for _, row := range rows {
		var v T
		if err := decode(row, &v); err != nil {
			panic(err)
		}
		values[row.Key()[len(prefix):]] = v
	}
	return values
}

// allServing returns a condition: the fleet has the given number of instances, and all of them serve.
func (tf *testFleet) allServing(count int) func() bool {
	return func() bool {
		records := tf.records()
		for _, r := range records {
			if r.Phase != planner.Serving {
				return false
			}
		}
		return len(records) == count
	}
}

// checkBudgets reports every pool whose budget row disagrees with the instance rows.
func (tf *testFleet) checkBudgets(t interface{ Errorf(string, ...any) }) {
	want := map[string]*budgetRow{}
	for _, r := range tf.records() {
		if want[r.Pool] == nil {
			want[r.Pool] = &budgetRow{}
		}
		want[r.Pool].update(r.Pool, planner.RecordFields{}, r)
	}
	for pool, got := range readRows[budgetRow](tf, budgetPrefix) {
		b := want[pool]
		if b == nil {
			b = &budgetRow{}
		}
		if got.Members != b.Members || fmt.Sprint(got.Unavailable) != fmt.Sprint(b.Unavailable) &&
			len(got.Unavailable)+len(b.Unavailable) > 0 {
			t.Errorf("budget row of pool %s got %+v, want %+v by the instance rows", pool, got, *b)
		}
	}
}

// Guards against a fleet whose instances do not all come to serve, and against a wave that leaves out an instance or
// exceeds the budget.
func TestWaveMaintainsEveryInstanceWithinTheBudget(t *testing.T) {
	tf := newTestFleet(6, 2)
	if took := tf.runPasses(clock.Minute, tf.allServing(18)); took >= clock.Minute {
		t.Fatalf("instances got %v, want 18 serving within a minute", tf.records())
	}
	tf.checkBudgets(t)
	joined := tf.clock.Now()
	tf.clock.Advance(28*clock.Day - 70*clock.Minute) // a wave of six, two at once, begins an hour before the period ends
	maxOut := 0
	tf.runPasses(2*clock.Hour, func() bool {
		out, maintained := map[string]int{}, 0
		for _, r := range tf.records() {
			if r.Phase != planner.Serving {
				out[r.Pool]++
				maxOut = max(maxOut, out[r.Pool])
			}
			if r.Maintained > joined+clock.Day {
				maintained++
			}
		}
		return maintained == 18
	})
	tf.checkBudgets(t)
	for id, r := range tf.records() {
		if age := tf.clock.Now() - r.Maintained; age > 28*clock.Day {
			t.Errorf("instance %s was maintained %d h ago, want within the period", id, age/clock.Hour)
		}
	}
	if maxOut != 2 {
		t.Errorf("instances of a pool out of service at once got %d, want 2, the whole budget, because the weights favor roll-out time", maxOut)
	}
}

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

// world is a small fleet on the platform in memory, driven step by step on a fake clock.
type world struct {
	clock    *clock.Clock
	faults   *fault.Driver
	store    *memory.Store
	fields   config.Fields
	demand   map[string]int
	sick     map[string]bool
	inFlight map[string]int
	tasks    map[string]int // running, by instance
	loops    []*Loop
	ctx      context.Context

	tracked    map[string]planner.RecordFields // after the last call; nil when calls are not checked
	cancelled  map[string]int                  // starts of the jobs that were cancelled while they waited
	violations []string
}

var zoneNames = []string{"a", "b", "c"}

// newWorld makes pools p0 and p1 of workers in three zones with racks of two, a spare pool "spare", and loops.
func newWorld(size, loops int) *world {
	w := &world{clock: clock.NewFake(clock.Hour), faults: &fault.Driver{}, demand: map[string]int{},
		sick: map[string]bool{}, inFlight: map[string]int{}, tasks: map[string]int{}, cancelled: map[string]int{}, ctx: context.Background()}
	w.store = memory.New(w.clock, w.faults)
	w.store.InFlight = w.runs
	w.fields = config.Fields{Weights: config.Weights{RollOutTime: 40, Protection: 30, BufferCost: 15, Moves: 15}}
	for _, z := range zoneNames {
		w.fields.Zones = append(w.fields.Zones, config.ZoneFields{Name: z})
	}
	for _, name := range []string{"p0", "p1", "spare"} {
		w.fields.Pools = append(w.fields.Pools, config.PoolFields{Name: name, Contact: name + "@example.org",
			Instances: size, Capacity: size - 3, MaxUnavailable: 3, Spare: name == "spare", Slots: 8, Cores: 16,
			MemoryMB: 32768, MaintenancePeriod: 28 * clock.Day, Survive: config.Failures{Racks: 1}})
	}
	for i := range 3 * size {
		w.list(i)
	}
	for i := range loops {
		w.loops = append(w.loops, w.newLoop(fmt.Sprintf("entry-%d", i), zoneNames[i%3]))
	}
	return w
}

func (w *world) list(i int) {
	zone := zoneNames[i%3]
	w.store.SetInstance(provider.NewInstance(provider.InstanceFields{ID: fmt.Sprintf("w%02d", i), Zone: zone,
		Rack: fmt.Sprintf("%s%d", zone, i/6), Role: provider.RoleWorker, State: provider.Live, Cores: 16, MemoryMB: 32768}))
}

func (w *world) newLoop(holder, zone string) *Loop {
	view := w.store.View(zone)
	return &Loop{Holder: holder, Clock: w.clock, Platform: view,
		Assignments:   &Assignments{Clock: w.clock, Platform: view, Zone: zone},
		Configuration: func() *config.Configuration { return config.New(w.fields) },
		Demand:        func() map[string]int { return w.demand },
		Healthy:       func(instance string) bool { return !w.sick[instance] },
		Wall:          w.clock.Now, Seed: int64(len(holder))}
}

// run lets every loop make a pass every two seconds, until done or the time is over, and returns the time it took.
func (w *world) run(limit clock.Millis, done func() bool) clock.Millis {
	start := w.clock.Now()
	for w.clock.Now()-start < limit && !done() {
		for _, l := range w.loops {
			_ = l.Pass(w.ctx)
		}
		w.clock.Advance(2 * clock.Second)
	}
	return w.clock.Now() - start
}

// records reads the instance rows past all faults.
func (w *world) records() map[string]planner.RecordFields {
	return read[planner.RecordFields](w, instancePrefix)
}

// read returns the values of all rows under a prefix by the rest of the key, without faults.
func read[T any](w *world, prefix string) map[string]T {
	faults := w.store.Faults
	w.store.Faults = nil
	defer func() { w.store.Faults = faults }()
	rows, err := w.store.View("").Table().Scan(w.ctx, prefix, "", 1<<20)
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

// serving tells whether all instances of the fleet serve.
func (w *world) serving(count int) func() bool {
	return func() bool {
		records := w.records()
		for _, r := range records {
			if r.Phase != planner.Serving {
				return false
			}
		}
		return len(records) == count
	}
}

// checkBudgets reports every pool whose budget row disagrees with the instance rows.
func (w *world) checkBudgets(t interface{ Errorf(string, ...any) }) {
	want := map[string]*budgetRow{}
	for _, r := range w.records() {
		if want[r.Pool] == nil {
			want[r.Pool] = &budgetRow{}
		}
		want[r.Pool].replace(r.Pool, planner.RecordFields{}, r)
	}
	for pool, got := range read[budgetRow](w, budgetPrefix) {
		b := want[pool]
		if b == nil {
			b = &budgetRow{}
		}
		if got.Members != b.Members || fmt.Sprint(got.Out) != fmt.Sprint(b.Out) && len(got.Out)+len(b.Out) > 0 {
			t.Errorf("budget of %s got %+v, want %+v", pool, got, *b)
		}
	}
}

// Guards against a fleet that does not settle, and against a wave that does not reach every instance or breaks the
// budget on its way.
func TestWaveMaintainsEveryInstanceWithinTheBudget(t *testing.T) {
	w := newWorld(6, 2)
	if took := w.run(clock.Minute, w.serving(18)); took >= clock.Minute {
		t.Fatalf("instances got %v, want 18 serving within a minute", w.records())
	}
	w.checkBudgets(t)
	joined := w.clock.Now()
	w.clock.Advance(28*clock.Day - 70*clock.Minute) // a wave of six, two at once, begins an hour before the end
	most := 0
	w.run(2*clock.Hour, func() bool {
		out, maintained := map[string]int{}, 0
		for _, r := range w.records() {
			if r.Phase != planner.Serving {
				out[r.Pool]++
				most = max(most, out[r.Pool])
			}
			if r.Maintained > joined+clock.Day {
				maintained++
			}
		}
		return maintained == 18
	})
	w.checkBudgets(t)
	for id, r := range w.records() {
		if age := w.clock.Now() - r.Maintained; age > 28*clock.Day {
			t.Errorf("instance %s was maintained %d h ago, want within the period", id, age/clock.Hour)
		}
	}
	if most != 2 {
		t.Errorf("out at once got %d, want 2, the whole budget, for weights on roll-out time", most)
	}
}

package slots

import (
	"context"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
)

// A fixed seed and size make every run give the same result. Flags on the command line are parsed later and override
// them.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "150")

const (
	worker = "worker/w"
	units  = 8
)

// process is one start of an entry instance. The test does the work of the peer module.
type process struct {
	*Ledger
	incarnation           int64
	paused, dead, leaving bool
	pendingReleases       int // releases that a paused process makes when it resumes
	poll                  *poll
}

// poll is an attempt to confirm the membership that has begun and not ended.
type poll struct {
	started  clock.Millis
	roster   Roster
	table    bool
	unbroken clock.Millis
}

// request is a request that runs on the worker and uses a slot of its process.
type request struct {
	process  *process
	deadline clock.Millis
}

// fleet is a zone with three entry instances and one worker, and one instance of another zone that only borrows.
type fleet struct {
	clock       *clock.Clock
	faults      *fault.Injector
	table       provider.Table
	processes   []*process
	requests    []request
	operations  int
	incarnation int64
}

func newFleet() *fleet {
	f := &fleet{clock: clock.NewFake(0), faults: &fault.Injector{}}
	f.table = memory.New(f.clock, f.faults).View("z").Table()
	for i, zone := range []string{"z", "z", "z", "y"} {
		f.processes = append(f.processes, f.start(string(rune('a'+i)), zone))
	}
	return f
}

func (f *fleet) start(id, zone string) *process {
	f.incarnation++
	p := &process{Ledger: &Ledger{Clock: f.clock, ID: id, Incarnation: f.incarnation, Zone: zone},
		incarnation: f.incarnation}
	p.SetCapacity(worker, "z", units)
	return p
}

func (f *fleet) read() (Roster, bool) {
	rows, err := f.table.Read(context.Background(), "roster/z")
	if err != nil {
		return Roster{}, false
	}
	r, err := DecodeRoster(rows[0].Value(), rows[0].Version())
	return r, err == nil
}

func (f *fleet) write(r Roster, changed bool) {
	if changed {
		f.operations++
		// The error is ignored: the next read of the row shows whether the commit was applied.
		_ = f.table.Commit(context.Background(), provider.NewTransaction(fmt.Sprint(f.operations),
			provider.Put("roster/z", r.Encode(), r.Version())))
	}
}

// beginPoll reads the row, or the rosters of the peers that answer if the table does not.
func (f *fleet) beginPoll(p *process) {
	p.poll = &poll{started: f.clock.Now()}
	if p.poll.roster, p.poll.table = f.read(); p.poll.table {
		return
	}
	for _, o := range f.processes {
		if o == p || o.Zone != "z" || o.paused {
			continue
		}
		p.poll.unbroken = max(p.poll.unbroken, o.Unbroken())
		if r := o.Roster("z"); r.Version() > p.poll.roster.Version() {
			p.poll.roster = r
		}
	}
}

func (f *fleet) endPoll(p *process) {
	q := p.poll
	p.poll = nil
	p.SetRoster("z", q.roster)
	p.Confirm(q.started, q.table, q.unbroken)
	if p.Zone != "z" || !q.table {
		return
	}
	if !p.Member() && !p.leaving {
		if m, known := q.roster.Member(p.ID, p.incarnation); known && m.State() != Active {
			f.incarnation++
			p.incarnation = f.incarnation
			p.Rejoin(p.incarnation)
		}
		f.write(q.roster.Join(p.ID, p.incarnation))
		return
	}
	f.write(p.Propose())
}

// tick advances the time in steps of at most a second; after each, every process that is neither paused nor dead polls.
func (f *fleet) tick(d clock.Millis) {
	for ; d > 0; d -= clock.Second {
		f.advance(min(d, clock.Second))
		for _, p := range f.processes {
			if !p.paused && !p.dead {
				f.beginPoll(p)
				f.endPoll(p)
			}
		}
	}
}

// advance advances the time. Requests end at their deadline; a paused process releases their slots when it resumes.
func (f *fleet) advance(d clock.Millis) {
	f.clock.Advance(d)
	var rest []request
	for _, r := range f.requests {
		if f.clock.Now() < r.deadline {
			rest = append(rest, r)
		} else if r.process.paused {
			r.process.pendingReleases++
		} else if !r.process.dead {
			r.process.Account(worker).Release()
		}
	}
	f.requests = rest
}

func (f *fleet) resume(p *process) {
	p.paused = false
	for ; p.pendingReleases > 0; p.pendingReleases-- {
		p.Account(worker).Release()
	}
	if p.poll != nil {
		f.endPoll(p)
	}
}

// finish ends the requests that which selects, unless their process is paused or dead.
func (f *fleet) finish(which func(request) bool) {
	var rest []request
	for _, r := range f.requests {
		if !r.process.paused && !r.process.dead && which(r) {
			r.process.Account(worker).Release()
		} else {
			rest = append(rest, r)
		}
	}
	f.requests = rest
}

func (f *fleet) acquire(p *process, d clock.Millis) {
	if deadline := f.clock.Now() + d; !p.paused && !p.dead && p.Account(worker).TryAcquire(deadline) {
		f.requests = append(f.requests, request{p, deadline})
	}
}

// Guards against more requests on a worker than it has slots, under joins, leaves, removals, pauses, crashes, loans and
// a table that is unreachable or loses requests and answers; and against slots that stay unused after all faults end.
func TestSlotsInUseNeverExceedTheWorker(t *testing.T) { rapid.Check(t, checkSlots) }

func checkSlots(t *rapid.T) {
	f := newFleet()
	f.tick(5 * clock.Second)
	pick := func(t *rapid.T) *process { return rapid.SampledFrom(f.processes).Draw(t, "process") }
	with := func(act func(t *rapid.T, p *process)) func(*rapid.T) {
		return func(t *rapid.T) {
			if p := pick(t); !p.paused && !p.dead {
				act(t, p)
			}
		}
	}
	// Every process acquires all slots that it can, so that a share that is too large is found at once.
	acquireAll := func(t *rapid.T) {
		first := rapid.IntRange(0, 3).Draw(t, "first")
		d := rapid.SampledFrom([]clock.Millis{500, 8 * clock.Second, LongestDeadline, 2 * LongestDeadline}).Draw(t, "d")
		for i := range 4 * units {
			f.acquire(f.processes[(first+i/units)%4], d)
		}
	}
	tick := func(t *rapid.T) {
		f.tick(rapid.SampledFrom([]clock.Millis{50, clock.Second, 6 * clock.Second, 11 * clock.Second,
			31 * clock.Second}).Draw(t, "tick"))
	}
	t.Repeat(map[string]func(*rapid.T){
		"tick": tick, "tick again": tick,
		"sleep": func(t *rapid.T) { f.advance(clock.Millis(rapid.IntRange(1, 40000).Draw(t, "sleep"))) },
		"finish": func(t *rapid.T) {
			from, every := rapid.IntRange(0, units).Draw(t, "from"), rapid.IntRange(1, units).Draw(t, "every")
			f.finish(func(request) bool { from++; return from%every == 0 })
		},
		"poll":             with(func(t *rapid.T, p *process) { f.beginPoll(p); f.endPoll(p) }),
		"pause":            with(func(t *rapid.T, p *process) { p.paused = true }),
		"pause in a poll":  with(func(t *rapid.T, p *process) { f.beginPoll(p); p.paused = true }),
		"wake":             func(t *rapid.T) { f.resume(pick(t)) },
		"crash":            with(func(t *rapid.T, p *process) { f.crash(p) }),
		"cut the table":    func(t *rapid.T) { f.faults.Partition("z") },
		"table is back":    func(t *rapid.T) { f.faults.Heal("z") },
		"lose the answer":  func(t *rapid.T) { f.faults.Next(memory.StepCommit, fault.LoseAnswer, 1) },
		"lose the request": func(t *rapid.T) { f.faults.Next(memory.StepCommit, fault.LoseRequest, 1) },
		"leave": with(func(t *rapid.T, p *process) {
			if r, ok := f.read(); ok {
				p.leaving = true
				f.write(r.Leave(p.ID, p.incarnation))
			}
		}),
		"stay": with(func(t *rapid.T, p *process) { p.leaving = false }),
		"remove": with(func(t *rapid.T, p *process) {
			if r, ok := f.read(); ok {
				o := pick(t)
				f.write(r.Remove(o.ID, o.incarnation))
			}
		}),
		"lapse": with(func(t *rapid.T, p *process) { // the process is removed during a pause, which may begin during a poll
			f.faults.ClearAll()
			if rapid.Bool().Draw(t, "in a poll") {
				f.beginPoll(p)
			}
			p.paused = true
			if r, ok := f.read(); ok {
				f.write(r.Remove(p.ID, p.incarnation))
			}
			tick(t)
			if rapid.Bool().Draw(t, "outage") { // of the table, during which the other processes are paused
				f.faults.Partition("z")
				for _, o := range f.processes {
					o.paused = o != p
				}
				f.resume(p)
				tick(t)
				acquireAll(t)
				for _, o := range f.processes {
					f.resume(o)
				}
				f.tick(clock.Second)
			} else {
				tick(t)
				f.resume(p)
			}
		}),
		"lend": with(func(t *rapid.T, p *process) {
			o, delay := pick(t), clock.Millis(rapid.IntRange(0, 2000).Draw(t, "delay"))
			if o.paused || o.dead {
				return
			}
			f.finish(func(r request) bool { return r.process == o })
			granted, period := o.Lend(p.ID, worker, rapid.IntRange(1, units).Draw(t, "want"))
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				return
			}
			f.advance(delay)
			p.Borrow(o.ID, worker, granted, period-delay)
			acquireAll(t)
			if rapid.Bool().Draw(t, "use up") {
				f.tick(LoanPeriod + loanMargin - delay)
			}
		}),
		"": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "greedy") {
				acquireAll(t)
			}
			if got := len(f.requests); got > units {
				t.Fatalf("requests on the worker got %d, want at most %d", got, units)
			}
		},
	})
	f.faults.ClearAll()
	for _, p := range f.processes {
		p.leaving = false
		f.resume(p)
	}
	f.tick(2 * clock.Minute)
	total := 0
	for _, p := range f.processes {
		total += p.Account(worker).Free()
	}
	if total != units || len(f.requests) != 0 {
		t.Fatalf("after all faults ended got %d free slots and %d requests, want %d and 0", total, len(f.requests), units)
	}
}

// crash ends a process and starts it again with a new incarnation. The requests that it sent go on until their
// deadline.
func (f *fleet) crash(p *process) {
	p.dead = true
	for i, o := range f.processes {
		if o == p {
			f.processes[i] = f.start(p.ID, p.Zone)
		}
	}
}

// BenchmarkTryAcquire measures one TryAcquire and Release on an account that all threads share.
func BenchmarkTryAcquire(b *testing.B) {
	l := &Ledger{Clock: clock.System(), ID: "a", Incarnation: 1, Zone: "z"}
	l.SetCapacity(worker, "z", 1000)
	r, _ := Roster{}.Join("a", 1)
	r.version = 1
	l.SetRoster("z", r)
	l.Confirm(l.Clock.Now()+clock.Hour, true, 0)
	a := l.Account(worker)
	b.RunParallel(func(pb *testing.PB) {
		deadline := l.Clock.Now() + LongestDeadline
		for pb.Next() {
			if a.TryAcquire(deadline) {
				a.Release()
			}
		}
	})
}

// BenchmarkConfirm measures the work that a ledger does once a second, with 500 workers in its zone and 15,500 in
// others.
func BenchmarkConfirm(b *testing.B) {
	l := &Ledger{Clock: clock.System(), ID: "a", Incarnation: 1, Zone: "z"}
	for i := range 16000 {
		l.SetCapacity(fmt.Sprint("worker/", i), map[bool]string{true: "z", false: "y"}[i < 500], units)
	}
	for b.Loop() {
		l.Confirm(l.Clock.Now(), true, 0)
		l.Propose()
		l.Wants()
	}
}

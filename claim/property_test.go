package claim

import (
	"context"
	"flag"
	"math"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// A fixed seed and size make every run give the same result. Flags on the command line are parsed later and override
// them.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")

// lateTable is a table that records commits with an unknown outcome, so that a test can deliver them again later.
type lateTable struct {
	provider.Table
	late *[]provider.Transaction
	slow *bool // the next commit takes 150 ms, longer than the short deadline of the test
	time *clock.Clock
}

func (l lateTable) Commit(ctx context.Context, tx provider.Transaction) error {
	if *l.slow {
		*l.slow = false
		l.time.Advance(150)
	}
	err := l.Table.Commit(ctx, tx)
	if platformUnknown(err) {
		*l.late = append(*l.late, tx)
	}
	return err
}

func platformUnknown(err error) bool {
	return err != nil && !platformConflict(err) && !platformUnavailable(err)
}

// attempt is one request with a key at one store, from its claim to its end.
type attempt struct {
	store   *Store
	key     string
	entry   *entry
	permit  *Permit
	used    bool
	called  int64
	decided bool
}

// Outputs of the operations of a history.
const (
	opPermit   = "permit"
	opAnswer   = "answer"
	opUnknown  = "unknown"       // still running, or outcome unknown
	opPending  = "claim pending" // another claim of the store is undecided; gives no state of the key
	opNotRun   = "not-run"
	opFinish   = "finish"
	opAbandon  = "abandon"
	opNoReturn = "no answer" // the store crashed during the claim, so it never returned
)

// model is the sequential model of one key. A key in the state "unclear" is not held, but its row may still be in the
// state claimed.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range history {
			keys[o.Input.(string)] = append(keys[o.Input.(string)], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "free" },
	Step: func(state, _, output any) (bool, any) {
		switch output {
		case opPending:
			return true, state
		case opPermit:
			return state == "free" || state == "unclear", "held"
		case opAnswer:
			return state == "done", state
		case opUnknown:
			return state != "free", state
		case opFinish:
			return state == "held", "done"
		case opAbandon:
			return state == "held", "unclear"
		}
		if state == "free" {
			return true, "unclear"
		}
		return true, state
	},
}

// simulation is a platform with several stores and the requests that they run. Its time counts operations.
type simulation struct {
	faults    *fault.Injector
	memory    *memory.Store
	late      []provider.Transaction
	slow      bool
	stores    []*Store
	starts    int64
	attempts  []*attempt
	history   []porcupine.Operation
	time      int64
	runs      map[string]int
	finished  map[string]bool // Finish was called with the answer, and its store has not crashed since
	mayBeHeld map[string]bool // the outcome is unknown, or a store crashed while it may have held the claim
}

func (w *simulation) start(holder string) *Store {
	w.starts++
	return &Store{Clock: w.memory.Clock, Holder: holder,
		Table:       lateTable{w.memory.View("").Table(), &w.late, &w.slow, w.memory.Clock},
		Incarnation: w.starts, MaxBatch: 3, WallClock: w.memory.Clock.Now}
}

func (w *simulation) record(key, output string, called int64) {
	w.time++
	w.history = append(w.history, porcupine.Operation{Input: key, Output: output, Call: called, Return: w.time})
}

// decide records the decision of an attempt and checks a recorded answer.
func (w *simulation) decide(t *rapid.T, a *attempt, refusal *result.Refusal, d Decision) {
	a.decided = true
	output := opUnknown
	switch {
	case d.permit != nil:
		a.permit, output = d.permit, opPermit
	case d.answer != nil:
		output = opAnswer
		if got := string(d.answer.body); got != a.key || w.runs[a.key] != 1 {
			t.Fatalf("recorded answer of key %s got %q after %d runs, want the key after 1 run", a.key, got, w.runs[a.key])
		}
	case refusal.Code() == CodeStillRunning && a.store.entries[rowKey("c", a.key)].phase == phaseClaim:
		output = opPending
	case refusal.Code().Outcome() == result.NotRun:
		output = opNotRun
	}
	w.record(a.key, output, a.called)
}

func (w *simulation) begin(t *rapid.T, s *Store, key string, wait clock.Millis) *attempt {
	w.time++
	a := &attempt{store: s, key: key, called: w.time}
	var refusal *result.Refusal
	if a.entry, refusal = s.begin("c", key, "", w.memory.Clock.Now()+wait); refusal != nil {
		w.decide(t, a, refusal, Decision{})
	}
	w.attempts = append(w.attempts, a)
	return a
}

func (w *simulation) end(t *rapid.T, a *attempt, ctx context.Context) {
	if !a.decided {
		d, _, refusal := a.store.end(ctx, a.entry)
		w.decide(t, a, refusal, d)
	}
}

func (w *simulation) use(t *rapid.T, a *attempt) {
	if a.permit == nil {
		return
	}
	free := a.permit.state.Load() == permitFree
	if err := a.permit.Use(); err != nil {
		if free { // the deadline has passed, so Use abandoned the claim
			w.time++
			w.record(a.key, opAbandon, w.time)
		}
		return
	}
	a.used = true
	if w.runs[a.key]++; w.runs[a.key] > 1 {
		t.Fatalf("runs of key %s got %d, want at most 1", a.key, w.runs[a.key])
	}
}

func (w *simulation) finish(a *attempt) {
	if a.used && a.permit.state.Load() == permitUsed {
		a.store.Finish("c", a.key, NewAnswer(200, nil, []byte(a.key)))
		w.finished[a.key] = true
		w.time++
		w.record(a.key, opFinish, w.time)
	}
}

func (w *simulation) abandon(a *attempt) {
	if a.permit != nil && a.permit.state.Load() == permitFree {
		a.store.Abandon("c", a.key)
		w.time++
		w.record(a.key, opAbandon, w.time)
	}
}

// crash replaces a store by a new incarnation. Commits that it sent may still arrive.
func (w *simulation) crash(i int) {
	old := w.stores[i]
	w.stores[i] = w.start(old.Holder)
	for _, e := range old.entries {
		key := e.rowKey[len("claim/c/"):]
		w.mayBeHeld[key], w.finished[key] = true, false
	}
	for _, a := range w.attempts {
		if a.store == old && !a.decided {
			a.decided = true
			w.history = append(w.history, porcupine.Operation{Input: a.key, Output: opNoReturn, Call: a.called,
				Return: math.MaxInt64})
		}
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(a *attempt) bool { return a.store == old })
}

// Guards against a key that runs twice, a wrong answer to a repeat, and a key that stays blocked although it did not
// run, under lost requests, lost answers, delayed commits, crashes, pauses and callers that leave.
func TestKeysRunAtMostOnce(t *testing.T) { rapid.Check(t, checkClaims) }

func checkClaims(t *rapid.T) {
	faults := &fault.Injector{}
	w := &simulation{faults: faults, memory: memory.New(clock.NewFake(0), faults), runs: map[string]int{},
		finished: map[string]bool{}, mayBeHeld: map[string]bool{}}
	for _, holder := range []string{"a", "b", "c"} {
		w.stores = append(w.stores, w.start(holder))
	}
	keys := []string{"k", "l", "m", "n"}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	store := func(t *rapid.T) *Store { return rapid.SampledFrom(w.stores).Draw(t, "store") }
	with := func(act func(t *rapid.T, a *attempt)) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(w.attempts) > 0 {
				act(t, w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(t, "attempt")])
			}
		}
	}
	claim := func(t *rapid.T) {
		wait := rapid.SampledFrom([]clock.Millis{100, 30 * clock.Second}).Draw(t, "deadline")
		w.begin(t, store(t), rapid.SampledFrom(keys).Draw(t, "key"), wait)
	}
	step := func(t *rapid.T) {
		s := store(t)
		s.step(context.Background())
		for _, a := range w.attempts {
			if a.store == s && !a.decided && isClosed(a.entry.decided) {
				w.end(t, a, context.Background())
			}
		}
	}
	inject := func(t *rapid.T) {
		at := rapid.SampledFrom([]string{memory.StepRead, memory.StepCommit}).Draw(t, "step")
		kind := rapid.SampledFrom([]fault.Kind{fault.Down, fault.LoseRequest, fault.LoseAnswer}).Draw(t, "fault")
		faults.Next(at, kind, rapid.IntRange(1, 6).Draw(t, "count"))
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim": claim, "claim more": claim, "claim most": claim, "step": step, "step again": step, "step more": step,
		"inject":    inject,
		"heal":      func(t *rapid.T) { faults.ClearAll() },
		"use":       with(func(t *rapid.T, a *attempt) { w.use(t, a) }),
		"use again": with(func(t *rapid.T, a *attempt) { w.use(t, a) }),
		"finish":    with(func(t *rapid.T, a *attempt) { w.finish(a) }),
		"abandon":   with(func(t *rapid.T, a *attempt) { w.abandon(a) }),
		"give up":   with(func(t *rapid.T, a *attempt) { w.end(t, a, ended) }),
		"slow":      func(t *rapid.T) { w.slow = true },
		"lose": with(func(t *rapid.T, a *attempt) {
			if a.used && a.permit.state.Load() == permitUsed {
				a.permit.Finish(UnknownAnswer())
				w.mayBeHeld[a.key] = true
			}
		}),
		"undo":  with(func(t *rapid.T, a *attempt) { w.undo(a) }),
		"crash": func(t *rapid.T) { w.crash(rapid.IntRange(0, 2).Draw(t, "store")) },
		"replace": func(t *rapid.T) { // the old process is only paused and resumes later
			if len(w.stores) < 5 {
				w.stores = append(w.stores, w.start("a"))
			}
		},
		"short time": func(t *rapid.T) { w.memory.Clock.Advance(150) },
		"time":       func(t *rapid.T) { w.memory.Clock.Advance(6 * clock.Second) },
		"late": func(t *rapid.T) {
			if len(w.late) > 0 {
				tx := rapid.SampledFrom(w.late).Draw(t, "late")
				_ = w.memory.View("").Table().Commit(context.Background(), tx) // a conflict is possible
			}
		},
	})
	// After all faults have ended, a key that did not run can be claimed, and one that ran returns its answer.
	faults.ClearAll()
	for _, a := range w.attempts {
		w.end(t, a, ended)
		w.abandon(a)
	}
	for range 20 {
		w.memory.Clock.Advance(maxBackoff)
		for _, s := range w.stores {
			s.step(context.Background())
		}
	}
	for _, key := range keys {
		a := w.begin(t, w.stores[0], key, clock.Second)
		if a.entry != nil {
			w.stores[0].step(context.Background())
			w.end(t, a, context.Background())
		}
		got := w.history[len(w.history)-1].Output
		switch {
		case w.finished[key] && got != opAnswer:
			t.Fatalf("finished key %s got %q, want its answer", key, got)
		case w.runs[key] == 0 && !w.mayBeHeld[key] && got != opPermit:
			t.Fatalf("key %s that never ran got %q, want a permit", key, got)
		}
	}
	if !porcupine.CheckOperations(model, w.history) {
		t.Fatalf("history does not match the sequential model: %v", w.history)
	}
}

// undo reverts the Use of a permit whose request was not sent.
func (w *simulation) undo(a *attempt) {
	if a.used && a.permit.state.Load() == permitUsed {
		a.permit.Undo()
		a.used = false
		w.runs[a.key]--
	}
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"magnoliaferry/batch"
	"magnoliaferry/standin"
)

// Figures of the workers, as on the site lsgrc-ferry.
const (
	maxLease           = 10000 * time.Millisecond // holdMaxMs
	heartbeat          = 1500 * time.Millisecond
	checkpointInterval = 2000 * time.Millisecond // of work
	restoreTime        = 100 * time.Millisecond
	stopTime           = 200 * time.Millisecond // stopTimeoutMs is 400
	gangTimeout        = 3000 * time.Millisecond
	maxHold            = 2000 * time.Millisecond
	maxListedEnds      = 500
	tick               = 10 * time.Millisecond
	startupTime        = 300 * time.Millisecond  // of a task that lasts
	failTime           = 300 * time.Millisecond  // of work, until a run on a failing worker fails
	clockOffset        = 1000 * time.Millisecond // of a worker's clock at its start
)

// workers simulates the workers of one service. One lock protects them all, because the tasks of a gang depend on each other.
type workers struct {
	table *standin.Table
	rec   *record

	mu      sync.Mutex
	all     []*worker
	gangs   map[string]int // number of tasks by step, named ID.K.STEP
	starts  []start
	alone   []time.Time     // when runs ended alone
	failed  map[int]int     // number of ends failed, by the number of the run
	saving  map[string]bool // steps whose tasks checkpoint their progress
	changed chan struct{}   // closed and replaced when a run ends
	quiet   bool            // starts and ends are not recorded one by one
}

// start is a start that a worker has carried out.
type start struct {
	at         time.Time
	task       string
	run        int
	worker     string
	checkpoint string
}

type worker struct {
	fleet                      *workers
	id, machine, service, rack string
	address                    string
	cpu, memory                int
	born                       time.Time
	token                      int64
	leaseEnd                   time.Duration // on the worker's clock
	runs                       map[string]*run
	blocked                    map[string]int // by task, the highest run that was stopped or has ended
	ends                       []end
	lastEnd                    int64
	sequence                   int
	gone, draining             bool
	failing                    bool          // fails all that it starts
	remaining                  time.Duration // while it drains
}

type run struct {
	task     string
	number   int
	length   time.Duration
	from     string        // checkpoint that it was started with
	base     time.Duration // work of earlier runs, from the checkpoint
	began    time.Time
	workFrom time.Time // zero while a gang is incomplete
	stopAt   time.Time // zero: no stop was ordered
}

type end struct {
	number int64
	task   string
	run    int
	reason string
	saved  string
}

// add starts a worker.
func (f *workers) add(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.fleet, w.born, w.runs, w.blocked = f, time.Now(), map[string]*run{}, map[string]int{}
	f.all = append(f.all, w)
	w.report()
}

// run advances the workers until the process ends.
func (f *workers) run() {
	lastReport := time.Now()
	for range time.Tick(tick) {
		f.mu.Lock()
		f.advance()
		if time.Since(lastReport) >= heartbeat {
			lastReport = time.Now()
			for _, w := range f.all {
				if !w.gone {
					w.report()
				}
			}
		}
		f.mu.Unlock()
	}
}

// report writes the worker's entry. The lock is held.
func (w *worker) report() {
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{"service": w.service, "address": w.address, "zone": "austin-a", "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": w.sequence, "machine": w.machine, "labels": []string{"a", w.rack}, "born": w.born.UnixMilli(),
		"clockMs": w.clock().Milliseconds(), "capacity": map[string]int{"cpu": w.cpu, "memMb": w.memory, "gpus": 0}}
	if w.draining {
		entry["remainingMs"] = w.remaining.Milliseconds()
	}
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the entry has plain values only
	}
	w.fleet.table.Put("servers", w.id, encoded)
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + clockOffset }

// drain makes the worker report that it drains; it leaves after the given time.
func (f *workers) drain(w *worker, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.add("worker %s drains and leaves in %d ms", w.id, after.Milliseconds())
	w.draining, w.remaining = true, after
	w.report()
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rec.add("worker %s leaves", w.id)
		w.gone = true
		w.runs = map[string]*run{}
		f.table.Delete("servers", w.id)
	})
}

// fail makes the worker fail all that it starts, for the given time.
func (f *workers) fail(w *worker, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.add("worker %s fails all that it starts", w.id)
	w.failing = true
	time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rec.add("worker %s works again", w.id)
		w.failing = false
	})
}

// step returns the name of the step of a task, ID.K.STEP.
func step(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// checkpoint returns a value for an amount of work of a step. Tasks of a gang that have done the same work have the same value.
func checkpoint(task string, work time.Duration) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step(task))) // writing to a hash never fails
	return fmt.Sprintf("%08x%08x", work.Milliseconds(), h.Sum32())
}

// workOf returns the work that a checkpoint stands for, or 0.
func workOf(value string) time.Duration {
	if len(value) < 8 {
		return 0
	}
	work, err := strconv.ParseInt(value[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(work) * time.Millisecond
}

// worked returns the work that the run has done, including that of its checkpoint.
func (r *run) worked(now time.Time) time.Duration {
	if r.workFrom.IsZero() {
		return r.base
	}
	return r.base + max(now.Sub(r.workFrom), 0)
}

// saved returns the newest checkpoint of a run, or "": a new value is produced with each interval of work.
func (f *workers) saved(r *run, now time.Time) string {
	if !f.saving[step(r.task)] {
		return ""
	}
	work := r.worked(now)
	if whole := work.Truncate(checkpointInterval); whole > r.base {
		return checkpoint(r.task, whole)
	}
	if r.base > 0 {
		return checkpoint(r.task, r.base)
	}
	return ""
}

// savedAtStop returns the checkpoint of a run that is stopped: a stop produces a new value too.
func (f *workers) savedAtStop(r *run, now time.Time) string {
	if !f.saving[step(r.task)] {
		return ""
	}
	return checkpoint(r.task, r.worked(now))
}

// advance starts complete gangs and ends runs. The lock is held.
func (f *workers) advance() {
	now := time.Now()
	present := map[string]int{}
	for _, w := range f.all {
		for _, r := range w.runs {
			present[f.gangOf(r)]++
		}
	}
	for _, w := range f.all {
		for _, r := range w.runs {
			if gang := f.gangOf(r); gang != "" && r.workFrom.IsZero() && present[gang] == f.gangs[step(r.task)] {
				r.workFrom = now.Add(restoreDelay(r))
			}
		}
	}
	for _, w := range f.all {
		for _, name := range w.sorted() {
			r := w.runs[name]
			if r == nil {
				continue // ended with another one of its gang
			}
			switch {
			case w.clock() > w.leaseEnd:
				f.end(w, r, "lapsed", f.saved(r, now))
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				f.end(w, r, "stopped", f.savedAtStop(r, now))
			case w.fails(r):
				f.end(w, r, "failed", "")
			case r.workFrom.IsZero() && now.Sub(r.began) > gangTimeout:
				f.end(w, r, "alone", f.saved(r, now))
			case !r.workFrom.IsZero() && r.length > 0 && r.worked(now) >= r.length:
				f.end(w, r, "done", "")
			}
		}
	}
}

// fails reports whether the run fails now through the fault of its worker.
func (w *worker) fails(r *run) bool {
	return w.failing && !r.workFrom.IsZero() && time.Since(r.workFrom) >= failTime
}

func restoreDelay(r *run) time.Duration {
	if r.base > 0 {
		return restoreTime
	}
	return 0
}

// gangOf names the gang of a run, of which all runs have the same number and the same checkpoint; it is empty for a run of no gang. Runs that
// were started with different checkpoints cannot work together.
func (f *workers) gangOf(r *run) string {
	if f.gangs[step(r.task)] == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d/%s", step(r.task), r.number, r.from)
}

// end ends a run, and with it the others of its gang. The lock is held.
func (f *workers) end(w *worker, r *run, reason, saved string) {
	w.addEnd(r, reason, saved)
	gang := f.gangOf(r)
	for _, other := range f.all {
		for _, name := range other.sorted() {
			member := other.runs[name]
			switch {
			case gang == "" || f.gangOf(member) != gang || member.workFrom.IsZero():
			case reason == "done":
				other.addEnd(member, "done", "")
			case other.fails(member):
				other.addEnd(member, "failed", "")
			default:
				other.addEnd(member, "broken", f.saved(member, time.Now()))
			}
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (w *worker) addEnd(r *run, reason, saved string) {
	delete(w.runs, r.task)
	w.blocked[r.task] = max(w.blocked[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.number, reason, saved})
	if reason == "alone" {
		w.fleet.alone = append(w.fleet.alone, time.Now())
	}
	if reason == "failed" {
		w.fleet.failed[r.number]++
	}
	if !w.fleet.quiet {
		w.fleet.rec.add("worker %s: task %s run %d ends %s, checkpoint %q", w.id, r.task, r.number, reason, saved)
	}
}

func (w *worker) sorted() []string {
	var names []string
	for name := range w.runs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ackCursor"`
	Wait       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler; it is the interface of one worker.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	status, answer := 0, map[string]any(nil)
	if !w.gone {
		status, answer = w.execute(in, &o)
	}
	dead := w.gone
	w.fleet.mu.Unlock()
	if dead {
		<-in.Context().Done()
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer) // fails only if the client has disconnected
}

// execute carries out an order and returns the status and the body of the answer. The lock is held; a hold releases it while it waits.
func (w *worker) execute(in *http.Request, o *order) (int, map[string]any) {
	w.fleet.advance()
	answer := map[string]any{"born": w.born.UnixMilli(), "clockMs": w.clock().Milliseconds()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if in.Header.Get("Magnoliaferry-Target-Instance") != w.id {
		return http.StatusMisdirectedRequest, answer
	}
	if o.Token < w.token {
		return refuse("fence")
	}
	w.token = o.Token
	switch in.URL.Path {
	case "/run-start":
		if reason := w.start(o); reason != "" {
			return refuse(reason)
		}
	case "/run-stop":
		w.blocked[o.Task] = max(w.blocked[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
			w.fleet.rec.add("worker %s: stop of task %s run %d", w.id, o.Task, o.Run)
			r.stopAt = time.Now().Add(stopTime)
		}
	case "/hold":
		w.extendLease(o.Deadline)
		w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= o.Ack })
		w.awaitEnd(in, o)
		w.list(answer)
	case "/pace":
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

func (w *worker) extendLease(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(deadline)*time.Millisecond, w.clock()+maxLease))
}

// start carries out a start and returns the reason of a refusal, or "".
func (w *worker) start(o *order) string {
	if time.Duration(o.Deadline)*time.Millisecond < w.clock() {
		return "late"
	}
	w.extendLease(o.Deadline)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= w.blocked[o.Task] {
		return "old"
	}
	r := &run{task: o.Task, number: o.Run, length: workOfTask(o.Task, o.Spec), from: o.Checkpoint, base: workOf(o.Checkpoint), began: time.Now()}
	if w.fleet.gangOf(r) == "" {
		r.workFrom = r.began.Add(restoreDelay(r))
	}
	w.runs[o.Task] = r
	w.fleet.starts = append(w.fleet.starts, start{r.began, o.Task, o.Run, w.id, o.Checkpoint})
	if !w.fleet.quiet {
		w.fleet.rec.add("worker %s: start of task %s run %d, checkpoint %q", w.id, o.Task, o.Run, o.Checkpoint)
	}
	return ""
}

// workOfTask returns how long a task works, 0 for one that lasts. The spec is "LENGTH SHORT EVERY" in milliseconds: each task whose index is a multiple of EVERY
// works for SHORT, the others for LENGTH.
func workOfTask(task, spec string) time.Duration {
	var length, short, every int
	if _, err := fmt.Sscanf(spec, "%d %d %d", &length, &short, &every); err != nil {
		return 0
	}
	if _, key, ok := batch.ParseTask(task); ok && key.Index%every == 0 {
		length = short
	}
	return time.Duration(length) * time.Millisecond
}

// awaitEnd waits until the worker has an end that is not acknowledged, at most for the time that the order gives.
func (w *worker) awaitEnd(in *http.Request, o *order) {
	timeout := time.After(min(time.Duration(o.Wait)*time.Millisecond, maxHold))
	for o.Wait > 0 && len(w.ends) == 0 {
		changed := w.fleet.changed
		w.fleet.mu.Unlock()
		timedOut := false
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-in.Context().Done():
			timedOut = true
		}
		w.fleet.mu.Lock()
		if timedOut {
			return
		}
	}
}

// list adds the lists of runs and ends to an answer.
func (w *worker) list(answer map[string]any) {
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, name := range w.sorted() {
		r := w.runs[name]
		percent := min(int(r.worked(now)*100/max(r.length, startupTime)), 99)
		if r.length == 0 && r.worked(now) >= startupTime {
			percent = 100 // the task lasts and is at work
		}
		running = append(running, []any{r.task, r.number, w.fleet.saved(r, now), percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.reason, e.saved})
	}
	answer["running"], answer["endedRuns"], answer["clockMs"] = running, ended, w.clock().Milliseconds()
}

// begun returns the number of starts of a job that workers have carried out.
func (f *workers) begun(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, job+".") {
			n++
		}
	}
	return n
}

// startsOf returns the starts of a job that workers have carried out.
func (f *workers) startsOf(job string) []start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []start
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, s)
		}
	}
	return found
}

// used returns the processor use of all runs, in thousandths of a core, if each run uses cpu(task).
func (f *workers) used(cpu func(task string) int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, w := range f.all {
		for name := range w.runs {
			sum += cpu(name)
		}
	}
	return sum
}

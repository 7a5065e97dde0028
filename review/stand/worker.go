package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and limits of a worker, as the users' pages state them.
const (
	heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3                      // after which the entry of a silent worker is removed
	maxHold          = 6 * time.Second        // holdMaxMs: the longest lease
	maxHoldWait      = 2 * time.Second        // of a hold that waits for an end
	stopTime         = 200 * time.Millisecond // stopTimeoutMs is 400
	checkpointPeriod = 500 * time.Millisecond // checkpointIntervalS
	gangTimeout      = 3 * time.Second        // gangTimeoutMs
	upkeepTime       = 2 * time.Second        // maintenanceS
	readyTime        = 900 * time.Millisecond // from the start of a task that lasts to its work
	tick             = 10 * time.Millisecond
	maxListedEnds    = 500
)

// work is what a task does; the spec of its job holds it as "ms=1000 spread=500 fail=1".
type work struct {
	length time.Duration // of work
	spread time.Duration // the tasks of a step take up to this much longer, by their index
	fails  bool          // each run ends as failed
}

func parseWork(spec string) work {
	var w work
	for _, field := range strings.Fields(spec) {
		name, text, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(text)
		switch name {
		case "ms":
			w.length = time.Duration(n) * time.Millisecond
		case "spread":
			w.spread = time.Duration(n) * time.Millisecond
		case "fail":
			w.fails = n != 0
		}
	}
	return w
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task       string
	number     int
	began      time.Time
	length     time.Duration
	fails      bool
	checkpoint string
	stopAt     time.Time // zero: no stop was ordered
}

type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
	lapsed bool // the lease has lapsed since
}

// worker is a stand-in of a worker: one life, on one machine.
type worker struct {
	id, machine, service, zone, rack string
	site                             *site
	address                          string
	listener                         *silentListener
	born                             int64
	started                          time.Time

	mu       sync.Mutex
	state    workerState
	sequence int
	token    int64
	lease    time.Time
	runs     map[string]*taskRun
	blocked  map[string]int // by task: the highest run that was stopped or has ended
	ended    []taskEnd
	ends     int64
	changed  chan struct{}
}

type workerState int

const (
	workerUp   workerState = iota
	workerDark             // has crashed, and its address is silent
)

func newWorker(s *site, id, machine, service, zone, rack string) (*worker, error) {
	listener, err := newSilentListener()
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, machine: machine, service: service, zone: zone, rack: rack, site: s, listener: listener,
		address: listener.Addr().String(), born: time.Now().UnixMilli(), started: time.Now(), runs: map[string]*taskRun{},
		blocked: map[string]int{}, changed: make(chan struct{})}
	server := &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // until the process ends
	go w.live()
	return w, nil
}

// entry returns what the worker writes of itself into the store.
func (w *worker) entry() map[string]any {
	w.sequence++
	return map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born, "machine": w.machine, "labels": []string{"kind-a", w.rack},
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpus": 0}}
}

// live reports the worker's state and ends its runs when they are due.
func (w *worker) live() {
	var reported time.Time
	for {
		w.mu.Lock()
		if w.state == workerDark {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.endRuns(now)
		if now.Sub(reported) >= heartbeat {
			reported = now
			w.site.store.put(tableWorkers, w.id, w.entry())
		}
		w.mu.Unlock()
		time.Sleep(tick)
	}
}

// leave ends the worker for the upkeep of its machine: all that runs on it ends, and its entry is removed. It returns the tasks that
// were at work, and starts a new worker on the machine after the upkeep.
func (w *worker) leave() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = workerDark
	w.listener.silence()
	tasks := []string{}
	for task, run := range w.runs {
		if time.Since(run.began) >= readyTime {
			tasks = append(tasks, task)
		}
	}
	w.runs = map[string]*taskRun{}
	w.site.store.remove(tableWorkers, w.id)
	time.AfterFunc(upkeepTime, w.replace)
	return tasks
}

// replace starts a new worker on the machine.
func (w *worker) replace() {
	next, err := newWorker(w.site, newWorkerID(), w.machine, w.service, w.zone, w.rack)
	if err != nil {
		w.site.record.add("machine %s has no new worker: %v", w.machine, err)
		return
	}
	w.site.record.add("worker %s starts on machine %s", next.id, next.machine)
	w.site.addWorker(next)
}

// crash ends the worker: all that runs on it ends, its address becomes silent, and its entry is removed after some time. After
// the downtime a new worker starts on the machine, unless the downtime is 0.
func (w *worker) crash(downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = workerDark
	w.listener.silence()
	w.site.record.add("worker %s in rack %s crashes with %d runs; its address is silent", w.id, w.rack, len(w.runs))
	w.runs = map[string]*taskRun{}
	time.AfterFunc(missedHeartbeats*heartbeat, func() {
		w.site.record.add("the entry of worker %s is removed", w.id)
		w.site.store.remove(tableWorkers, w.id)
	})
	if downtime > 0 {
		time.AfterFunc(downtime, w.replace)
	}
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() + 1000 }

// endRuns ends the runs that are due. w.mu is held.
func (w *worker) endRuns(now time.Time) {
	lapsed := len(w.runs) > 0 && now.After(w.lease)
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.end(r, "lapsed", now)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped", now)
		case r.length > 0 && now.Sub(r.began) >= r.length && r.fails:
			w.end(r, "failed", now)
		case r.length > 0 && now.Sub(r.began) >= r.length:
			w.end(r, "done", now)
		}
	}
	if lapsed {
		for i := range w.ended {
			w.ended[i].lapsed = true
		}
	}
}

// end records the end of a run. w.mu is held.
func (w *worker) end(r *taskRun, how string, now time.Time) {
	delete(w.runs, r.task)
	w.ends++
	w.blocked[r.task] = max(w.blocked[r.task], r.number)
	e := taskEnd{number: w.ends, task: r.task, run: r.number, how: how, at: now}
	if how != "done" {
		e.saved = w.saved(r, now)
	}
	w.ended = append(w.ended, e)
	w.site.ended(w, e)
	close(w.changed)
	w.changed = make(chan struct{})
}

// saved returns the newest checkpoint of a run: a new value with each checkpointPeriod. w.mu is held.
func (w *worker) saved(r *taskRun, now time.Time) string {
	if n := int64(now.Sub(r.began) / checkpointPeriod); n > 0 && w.site.checkpointing[jobOf(r.task)] {
		return fmt.Sprintf("%08x%08x", hash(w.id+r.task), n<<8|int64(r.number))
	}
	return r.checkpoint
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

func hash(text string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(text) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

type workerOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Ack        int64  `json:"ackCursor"`
	Wait       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var order workerOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		answer(out, http.StatusBadRequest, map[string]any{"clockMs": w.clock(), "born": w.born})
		return
	}
	w.mu.Lock()
	if w.state == workerDark {
		w.mu.Unlock()
		<-r.Context().Done() // a machine without power does not answer
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Magnoliaferry-Target-Instance") != w.id {
		w.mu.Unlock()
		answer(out, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock(), "born": w.born})
		return
	}
	now := time.Now()
	w.endRuns(now)
	status, content := w.carryOut(r, &order, now)
	if w.state == workerDark { // it crashed while a hold waited
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	content["clockMs"], content["born"] = w.clock(), w.born
	w.mu.Unlock()
	answer(out, status, content)
}

// carryOut carries an order out. w.mu is held.
func (w *worker) carryOut(r *http.Request, order *workerOrder, now time.Time) (int, map[string]any) {
	if order.Token < w.token {
		w.site.record.add("worker %s refuses %s of task %s, run %d: fence", w.id, r.URL.Path, order.Task, order.Run)
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.token = order.Token
	switch r.URL.Path {
	case "/run-start":
		if reason := w.start(order, now); reason != "" {
			w.site.refused(w, order, reason)
			return http.StatusConflict, map[string]any{"reason": reason}
		}
	case "/run-stop":
		w.blocked[order.Task] = max(w.blocked[order.Task], order.Run)
		if run := w.runs[order.Task]; run != nil && run.number == order.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(stopTime)
		}
	case "/hold":
		w.extend(order.Deadline)
		w.acknowledge(order.Ack)
		w.awaitEnd(r, order)
		return http.StatusOK, w.lists()
	case "/pace":
	default:
		return http.StatusNotFound, map[string]any{}
	}
	return http.StatusOK, map[string]any{}
}

// extend extends the lease; it never shortens it. w.mu is held.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.started.Add(time.Duration(deadline-1000) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// start returns the reason of a refusal, or "". w.mu is held.
func (w *worker) start(order *workerOrder, now time.Time) string {
	if order.Deadline < w.clock() {
		return "late"
	}
	if reason := w.site.checkTicket(w, order); reason != "" {
		return reason
	}
	w.extend(order.Deadline)
	if run := w.runs[order.Task]; run != nil && run.number == order.Run {
		return ""
	}
	if order.Run <= w.blocked[order.Task] {
		return "old"
	}
	wanted := parseWork(order.Spec)
	length := wanted.length
	if index := order.Task[strings.LastIndexByte(order.Task, '.')+1:]; wanted.spread > 0 {
		length += time.Duration(hash(index)%1000) * wanted.spread / 1000
	}
	w.runs[order.Task] = &taskRun{task: order.Task, number: order.Run, began: now, length: length, fails: wanted.fails, checkpoint: order.Checkpoint}
	w.site.begun(w, order)
	return ""
}

// acknowledge forgets the ends up to a number. w.mu is held.
func (w *worker) acknowledge(cursor int64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > cursor {
			kept = append(kept, e)
			continue
		}
		w.site.noted(w, e)
	}
	w.ended = kept
}

// awaitEnd waits until there is an end to list. w.mu is held, and released while it waits.
func (w *worker) awaitEnd(r *http.Request, order *workerOrder) {
	timeout := time.After(min(time.Duration(order.Wait)*time.Millisecond, maxHoldWait))
	for order.Wait > 0 && len(w.ended) == 0 && w.state == workerUp {
		changed, done := w.changed, false
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			done = true
		}
		w.mu.Lock()
		if done {
			return
		}
	}
}

// lists returns the runs and the ends. w.mu is held.
func (w *worker) lists() map[string]any {
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := min(int(now.Sub(r.began)*100/readyTime), 100)
		if r.length > 0 {
			percent = min(int(now.Sub(r.began)*100/r.length), 99)
		}
		running = append(running, []any{r.task, r.number, w.saved(r, now), percent, 100})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"running": running, "endedRuns": ended}
}

// used returns the number of runs.
func (w *worker) used() int { w.mu.Lock(); defer w.mu.Unlock(); return len(w.runs) }

// up reports whether the worker runs.
func (w *worker) up() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.state == workerUp }

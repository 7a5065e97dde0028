package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Times of the workers in milliseconds, from the bounds of a small deployment.
const (
	tickMillis        = 5
	stopMillis        = 150 // from a stop to the end of the run; at most stopTimeoutMs
	gangTimeoutMillis = 3000
	holdMaxMillis     = 6000
	heartbeatMillis   = 1500
	checkpointMillis  = 500
	lastingMillis     = 300 // startup of a task that lasts
)

// work is what the spec of a job tells the workers to do.
type work struct {
	Millis int64 `json:"ms"`   // length of a task; 0: it lasts
	Fail   int   `json:"fail"` // number of runs of each task that fail before one succeeds
}

// run is one run of a task on a worker.
type run struct {
	task      taskName
	number    int
	began     int64 // arrival of the start
	working   int64 // when it began to work; 0: a gang waits for its members
	stopAt    int64 // 0: not stopped
	saved     string
	savedWork int64 // work that the checkpoint stands for
	work      work
}

func runKey(task string, number int) string { return fmt.Sprintf("%s#%d", task, number) }

// taskName is the name ID.K.STEP.INDEX, parsed.
type taskName struct {
	job         string
	occurrence  int
	step, index int
	name        string
	stepName    string
}

func parseTask(name string) (taskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, fmt.Errorf("task name %q", name)
	}
	t := taskName{job: parts[0], name: name, stepName: strings.Join(parts[:3], ".")}
	for i, into := range []*int{&t.occurrence, &t.step, &t.index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return t, err
		}
		*into = n
	}
	return t, nil
}

type end struct {
	number int64
	task   taskName
	run    int
	how    string
	saved  string
	lapsed bool // the lease lapsed after this end
	at     int64
}

// worker is a stand-in of one worker, over several boots under one id.
type worker struct {
	site    *site
	id      string
	machine string
	rack    string
	kind    string // label; may change with a boot
	pool    string
	address string // of the path to it
	path    path
	cpu     int

	// Of the present boot; the site's lock guards all.
	up       bool
	born     int64
	start    int64
	token    int64
	leaseEnd int64           // on the worker's clock
	runs     map[string]*run // by runKey, as a worker takes a higher run beside a lower one of the task
	blocked  map[string]int
	ends     []end
	endCount int64
	changed  chan struct{}

	sequence int
	storeCut bool // its entry in the store is not renewed
	shed     bool // it answers starts with 503 and does nothing
	dark     bool // calls do not reach it
	mute     bool // its answers are lost
	draining bool
	returns  int64 // when the machine is back from a move or upkeep; 0: it is not away
	wave     int64 // of the upkeep that is under way
	kept     map[int64]bool
	fence    int64 // highest token of an order for the machine
	holder   string
	wrote    int64 // when the entry was last written
}

// boot starts a new life of the worker. The site's lock is held.
func (w *worker) boot(kind string) {
	w.up, w.kind, w.born, w.start = true, kind, time.Now().UnixMilli(), w.site.record.now()
	w.token, w.leaseEnd, w.endCount, w.sequence = 0, 0, 0, 0
	w.runs, w.blocked, w.ends = map[string]*run{}, map[string]int{}, nil
	w.notify()
	w.wrote = -heartbeatMillis
	w.site.record.line("worker %s starts, kind %s, born %d", w.id, kind, w.born)
	w.beat()
}

// crash ends the present life. The site's lock is held.
func (w *worker) crash() {
	w.site.record.line("worker %s crashes with %d runs", w.id, len(w.runs))
	for _, r := range w.runs {
		w.site.memberEnded(r)
	}
	w.up, w.runs = false, map[string]*run{}
	w.notify()
}

func (w *worker) notify() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *worker) clock() int64 { return 1000 + w.site.record.now() - w.start }

// beat renews the entry in the store. The site's lock is held.
func (w *worker) beat() {
	now := w.site.record.now()
	if !w.up || w.storeCut || now-w.wrote < heartbeatMillis {
		return
	}
	w.wrote = now
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{"service": w.pool, "address": w.address, "zone": "z0", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"born": w.born, "machine": w.machine, "labels": []string{w.kind, w.rack}, "capacity": map[string]int{"cpu": w.cpu, "memMb": 32768, "gpus": 0},
		"clockMs": w.clock(), "sequence": w.sequence}
	encoded, _ := json.Marshal(entry) // of plain values
	w.site.table.Put("servers", w.id, encoded)
}

// tick ends what is due. The site's lock is held.
func (w *worker) tick() {
	if w.returns != 0 && w.site.record.now() >= w.returns {
		w.returns, w.wave = 0, 0
		if w.pool != standbyPool {
			w.site.lives++
			w.id = fmt.Sprintf("i-%05x", 0x90000+w.site.lives*53)
			w.boot(w.kind)
		}
	}
	if !w.up {
		return
	}
	w.beat()
	now := w.site.record.now()
	expired := w.clock() > w.leaseEnd
	if expired {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
	for _, name := range sortedKeys(w.runs) {
		r := w.runs[name]
		if r == nil {
			continue
		}
		done := now - r.working
		switch {
		case expired:
			w.finish(r, "lapsed")
		case r.stopAt != 0 && now-r.stopAt >= stopMillis:
			w.finish(r, "stopped")
		case r.working == 0 && now-r.began >= gangTimeoutMillis:
			w.finish(r, "alone")
		case r.working == 0 || r.work.Millis == 0:
		case done+r.savedWork >= r.work.Millis && w.site.fails(r):
			w.finish(r, "failed")
		case done+r.savedWork >= r.work.Millis:
			w.site.finishDone(w, r)
		}
	}
}

// finish ends a run. The site's lock is held.
func (w *worker) finish(r *run, how string) {
	key := runKey(r.task.name, r.number)
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.blocked[r.task.name] = max(w.blocked[r.task.name], r.number)
	w.endCount++
	saved := ""
	if how == "stopped" && w.site.stepOf(r.task).Checkpointing {
		saved = w.checkpoint(r)
	}
	w.ends = append(w.ends, end{number: w.endCount, task: r.task, run: r.number, how: how, saved: saved, at: w.site.record.now()})
	w.site.record.line("worker %s: %s run %d ends %s", w.id, r.task.name, r.number, how)
	w.site.noteEnd(r, how)
	w.notify()
	if how != "done" {
		w.site.memberEnded(r)
	}
}

func (w *worker) checkpoint(r *run) string {
	if r.working == 0 {
		return r.saved
	}
	return fmt.Sprintf("%s/%d", w.site.savedBy(r.task), r.savedWork+w.site.record.now()-r.working)
}

type order struct {
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
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	w.site.mu.Lock()
	if !w.up {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if w.dark {
		w.site.mu.Unlock()
		<-in.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if in.Header.Get("Magnoliaferry-Target-Instance") != w.id {
		w.site.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.tick()
	born := w.born
	if after, late := w.site.late(in.URL.Path); late {
		w.site.record.line("worker %s leaves %s %s run %d token %d unanswered for %d ms", w.id, in.URL.Path, o.Task, o.Run, o.Token, after)
		time.AfterFunc(time.Duration(after)*time.Millisecond, func() {
			w.site.mu.Lock()
			defer w.site.mu.Unlock()
			if w.up && w.born == born {
				w.tick()
				status, reason := w.carryOut(in.URL.Path, &o)
				w.site.record.line("worker %s carries out %s %s run %d late: %d %s", w.id, in.URL.Path, o.Task, o.Run, status, reason)
			}
		})
		w.site.mu.Unlock()
		<-in.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOut(in.URL.Path, &o)
	answer := map[string]any{}
	if status == http.StatusOK && in.URL.Path == "/hold" {
		w.awaitEnd(in, &o, born)
		if !w.up || w.born != born {
			w.site.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		answer["running"], answer["endedRuns"] = w.lists(&o)
	}
	if w.mute || w.dark {
		w.site.mu.Unlock()
		<-in.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer["clockMs"], answer["born"] = w.clock(), w.born
	if reason != "" {
		answer["reason"] = reason
	}
	w.site.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer) // fails if the instance is gone
}

func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMaxMillis))
}

// carryOut carries out an order. The site's lock is held.
func (w *worker) carryOut(path string, o *order) (status int, reason string) {
	if w.shed && path == "/run-start" {
		w.site.record.line("worker %s answers 503 to the start of %s run %d", w.id, o.Task, o.Run)
		return http.StatusServiceUnavailable, ""
	}
	if o.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.Token
	switch path {
	case "/run-start":
		return w.startRun(o)
	case "/run-stop":
		w.blocked[o.Task] = max(w.blocked[o.Task], o.Run)
		if r := w.runs[runKey(o.Task, o.Run)]; r != nil && r.stopAt == 0 {
			r.stopAt = w.site.record.now()
		}
	case "/hold":
		w.extend(o.Deadline)
		w.acknowledge(o.Ack)
	case "/pace":
	default:
		return http.StatusBadRequest, ""
	}
	return http.StatusOK, ""
}

func (w *worker) startRun(o *order) (status int, reason string) {
	t, err := parseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	if o.Deadline < w.clock() {
		return http.StatusConflict, "late"
	}
	if w.site.needsTicket(t) && !w.site.validTicket(t, w, o.Ticket) {
		return http.StatusConflict, "ticket"
	}
	w.extend(o.Deadline)
	if w.runs[runKey(o.Task, o.Run)] != nil {
		return http.StatusOK, ""
	}
	if o.Run <= w.blocked[o.Task] {
		return http.StatusConflict, "old"
	}
	w.site.record.line("worker %s (kind %s) starts %s run %d token %d", w.id, w.kind, o.Task, o.Run, o.Token)
	r := &run{task: t, number: o.Run, began: w.site.record.now(), saved: o.Checkpoint}
	w.site.checkStart(w, r, o)
	if err := json.Unmarshal([]byte(o.Spec), &r.work); err != nil {
		return http.StatusBadRequest, ""
	}
	if i := strings.LastIndex(o.Checkpoint, "/"); i >= 0 {
		r.savedWork, _ = strconv.ParseInt(o.Checkpoint[i+1:], 10, 64) // the stand-in wrote it
	}
	w.runs[runKey(o.Task, o.Run)] = r
	if !w.site.stepOf(t).Gang {
		r.working = r.began
	} else {
		w.site.assemble(t, o.Run)
	}
	return http.StatusOK, ""
}

func (w *worker) acknowledge(ack int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > ack {
			kept = append(kept, e)
			continue
		}
		w.site.taken(w, e)
	}
	w.ends = kept
}

// awaitEnd waits for an end above the acknowledged one. The site's lock is held on entry and exit.
func (w *worker) awaitEnd(in *http.Request, o *order, born int64) {
	timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for o.Wait > 0 && w.up && w.born == born {
		if n := len(w.ends); n > 0 && w.ends[n-1].number > o.Ack {
			return
		}
		changed := w.changed
		w.site.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-in.Context().Done():
			over = true
		}
		w.site.mu.Lock()
		if over {
			return
		}
	}
}

func (w *worker) lists(o *order) (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, e := range w.ends {
		if e.number > o.Ack && len(ended) < 500 {
			ended = append(ended, []any{e.number, e.task.name, e.run, e.how, e.saved})
		}
	}
	now := w.site.record.now()
	for _, key := range sortedKeys(w.runs) {
		r := w.runs[key]
		percent, saved := int64(0), r.saved
		if r.working != 0 {
			done := now - r.working
			if r.work.Millis == 0 {
				percent = min(100, done*100/lastingMillis)
			} else {
				percent = min(99, (done+r.savedWork)*100/r.work.Millis)
			}
			if w.site.stepOf(r.task).Checkpointing && done >= checkpointMillis {
				saved = fmt.Sprintf("%s/%d", w.site.savedBy(r.task), r.savedWork+done/checkpointMillis*checkpointMillis)
			}
		}
		running = append(running, []any{r.task.name, r.number, saved, percent, 100})
	}
	return running, ended
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

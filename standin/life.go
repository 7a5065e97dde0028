package standin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"magnoliaferry/clock"
)

// headerTarget names the id of the worker that an order is meant for.
const headerTarget = "Magnoliaferry-Target-Instance"

// fleetLife is one life of a worker.
type fleetLife struct {
	id     string
	born   int64
	start  clock.Millis
	token  int64
	lease  clock.Millis // end, on the worker's clock
	runs   map[fleetTask]*fleetRun
	barred map[string]int // highest run of each task that was stopped or has ended; it and those below do not start
	ended  []fleetEnd
	ends   int64
}

// fleetTask names a run. A worker does not keep a task from running twice.
type fleetTask struct {
	task string
	run  int
}

type fleetRun struct {
	work     Work
	began    clock.Millis
	stopping clock.Millis // when a stop was asked for; 0: not
}

type fleetEnd struct {
	number int64
	run    fleetTask
	how    string
	event  int64 // see Fleet.events
	void   bool  // the lease was over before the end was acknowledged: the task may run again
}

// startedFleetRun is a start that a worker has carried out.
type startedFleetRun struct {
	run     int
	machine string
	event   int64 // see Fleet.events
}

// sorted returns the runs by task and number.
func (l *fleetLife) sorted() []fleetTask {
	keys := make([]fleetTask, 0, len(l.runs))
	for key := range l.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b fleetTask) int { return cmp.Or(strings.Compare(a.task, b.task), a.run-b.run) })
	return keys
}

func (l *fleetLife) bar(run fleetTask) { l.barred[run.task] = max(l.barred[run.task], run.run) }

// extend takes the end of a lease, which holds for everything that runs on the worker.
func (m *fleetMachine) extend(deadline, now clock.Millis) {
	m.life.lease = max(m.life.lease, min(deadline, m.clock(now)+MaxLease))
}

// endRuns ends the runs whose time has come. f.mu is held.
func (f *Fleet) endRuns(m *fleetMachine) {
	life, now, news := m.life, f.Clock.Now(), false
	lapsed := m.clock(now) > life.lease
	for i := range life.ended {
		life.ended[i].void = life.ended[i].void || lapsed
	}
	for _, key := range life.sorted() {
		r := life.runs[key]
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case r.stopping > 0 && now-r.stopping >= stopTime:
			how = "stopped"
		case r.work.Length > 0 && now-r.began >= r.work.Length:
			how = "done"
		default:
			continue
		}
		news = true
		life.ends++
		f.events++
		life.ended = append(life.ended, fleetEnd{number: life.ends, run: key, how: how, event: f.events})
		life.bar(key)
		delete(life.runs, key)
	}
	if news {
		f.announce()
	}
}

// clock returns the time on the worker's clock, which begins with its life.
func (m *fleetMachine) clock(now clock.Millis) clock.Millis {
	return 1000 + (now-m.life.start)*clock.Millis(m.pace)/1000
}

type orderFields struct {
	Task     string       `json:"task"`
	Run      int          `json:"run"`
	Spec     string       `json:"spec"`
	Deadline clock.Millis `json:"deadlineMs"`
	Token    int64        `json:"fencingToken"`
	Ack      int64        `json:"ackCursor"`
	Wait     clock.Millis `json:"waitMs"`
}

type workerFields struct {
	Clock   clock.Millis `json:"clockMs"`
	Born    int64        `json:"born"`
	Reason  string       `json:"reason,omitempty"`
	Running [][]any      `json:"running,omitzero"` // empty, but present, in an answer with lists
	Ended   [][]any      `json:"endedRuns,omitzero"`
}

func (f *Fleet) serveWorker(m *fleetMachine, w http.ResponseWriter, r *http.Request) {
	var order orderFields
	if !decode(w, r, maxOrderBytes, &order) {
		return
	}
	if f.Late != nil {
		if after, late := f.Late(m.id, r.URL.Path); late {
			f.postpone(m, r, &order, after)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, answer := f.answer(m, r, &order)
	reply(w, status, answer)
}

// postpone carries an order out after the time, if the life that it was sent to is still there.
func (f *Fleet) postpone(m *fleetMachine, r *http.Request, order *orderFields, after clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	life, path := m.life, r.URL.Path
	if life == nil || r.Header.Get(headerTarget) != life.id {
		return
	}
	f.Clock.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.life == life || f.LateForNextLife && m.life != nil && m.life.id == life.id {
			f.take(m, path, order)
		}
	})
}

func (f *Fleet) answer(m *fleetMachine, r *http.Request, order *orderFields) (status int, answer workerFields) {
	f.mu.Lock()
	defer f.mu.Unlock()
	life := m.life
	if life == nil {
		panic(http.ErrAbortHandler) // the machine is off
	}
	if r.Header.Get(headerTarget) != life.id {
		return http.StatusMisdirectedRequest, workerFields{}
	}
	status, reason := f.take(m, r.URL.Path, order)
	if status == http.StatusOK && r.URL.Path == "/hold" {
		f.await(m, r, order)
		if m.life != life {
			panic(http.ErrAbortHandler) // its connections end with a life
		}
		f.list(m, order, &answer)
	}
	answer.Clock, answer.Born, answer.Reason = m.clock(f.Clock.Now()), life.born, reason
	return status, answer
}

// take carries out an order when it arrives. f.mu is held.
func (f *Fleet) take(m *fleetMachine, path string, order *orderFields) (status int, reason string) {
	f.endRuns(m) // a lease that is over cannot be renewed
	life, now := m.life, f.Clock.Now()
	if order.Token < life.token {
		return http.StatusConflict, "fence"
	}
	life.token = order.Token
	switch path {
	case "/run-start":
		if reason := f.start(m, order); reason != "" {
			return http.StatusConflict, reason
		}
	case "/run-stop":
		// It also keeps a start out that has not arrived yet.
		key := fleetTask{order.Task, order.Run}
		life.bar(key)
		if run := life.runs[key]; run != nil && run.stopping == 0 {
			run.stopping = now
		}
	case "/hold":
		m.extend(order.Deadline, now)
		f.acknowledge(life, order.Ack)
	case "/pace": // tasks of the stand-in do not disturb each other
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// await lets a hold wait for an end, at most as long as it says. f.mu is held, but not while it waits.
func (f *Fleet) await(m *fleetMachine, r *http.Request, order *orderFields) {
	timeout := f.Clock.After(min(order.Wait, maxHold))
	for life := m.life; order.Wait > 0 && m.life == life; {
		if n := len(life.ended); n > 0 && life.ended[n-1].number > order.Ack {
			return
		}
		changed, over := f.changed, false
		f.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		f.mu.Lock()
		if over {
			return
		}
	}
}

// start carries out a start and returns why not, if so. f.mu is held.
func (f *Fleet) start(m *fleetMachine, order *orderFields) string {
	life, now, key := m.life, f.Clock.Now(), fleetTask{order.Task, order.Run}
	if order.Deadline < m.clock(now) {
		return "late"
	}
	m.extend(order.Deadline, now) // also where the run does not begin
	if life.runs[key] != nil {
		return ""
	}
	if order.Run <= life.barred[order.Task] {
		return "old"
	}
	work, err := parseWork(order.Spec)
	if err != nil {
		f.breach("task %s arrives with spec %q", order.Task, order.Spec)
		return "old"
	}
	for _, other := range f.machines {
		if other.life == nil {
			continue
		}
		if other != m {
			f.endRuns(other)
		}
		for _, running := range other.life.sorted() {
			if running.task == order.Task {
				f.breach("task %s, run %d, starts on %s while run %d runs on %s", order.Task, order.Run, m.id, running.run, other.id)
			}
		}
	}
	if f.settled[order.Task] {
		f.breach("task %s, run %d, starts on %s after its end was acknowledged", order.Task, order.Run, m.id)
	}
	f.events++
	f.newest[order.Task] = startedFleetRun{order.Run, m.id, f.events}
	life.runs[key] = &fleetRun{work: work, began: now}
	f.started++
	used := 0
	for _, run := range life.runs {
		used += run.work.CPU
	}
	if used > m.capacity.CPU {
		f.breach("%s runs %d thousandths of a core, at most %d fit", m.id, used, m.capacity.CPU)
	}
	return ""
}

// acknowledge forgets the ends up to a number. An end as done that is acknowledged, whenever that is, must be the last of its
// task, unless the lease was over in between. f.mu is held.
func (f *Fleet) acknowledge(life *fleetLife, ack int64) {
	kept := life.ended[:0]
	for _, e := range life.ended {
		if e.number > ack {
			kept = append(kept, e)
			continue
		}
		if e.how != "done" || e.void {
			continue
		}
		f.settled[e.run.task] = true
		if later := f.newest[e.run.task]; later.event > e.event {
			f.breach("task %s, run %d, started on %s after the end of run %d, which is acknowledged now",
				e.run.task, later.run, later.machine, e.run.run)
		}
	}
	life.ended = kept
}

// list fills in what runs and the ends that are not acknowledged. f.mu is held.
func (f *Fleet) list(m *fleetMachine, order *orderFields, answer *workerFields) {
	life, now := m.life, f.Clock.Now()
	answer.Running, answer.Ended = [][]any{}, [][]any{}
	for _, e := range life.ended {
		if e.number > order.Ack && len(answer.Ended) < maxEnds {
			answer.Ended = append(answer.Ended, []any{e.number, e.run.task, e.run.run, e.how, ""})
		}
	}
	for _, key := range life.sorted() {
		run := life.runs[key]
		percent := clock.Millis(100)
		if run.work.Length > 0 {
			percent = min((now-run.began)*100/run.work.Length, 99)
		} else if now-run.began < lastingStart {
			percent = (now - run.began) * 100 / lastingStart
		}
		answer.Running = append(answer.Running, []any{key.task, key.run, "", percent, run.work.CPU})
	}
}

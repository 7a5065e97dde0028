package standin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// headerTarget carries the id of the worker that an order is addressed to.
const headerTarget = "Magnoliaferry-Target-Instance"

// fleetIncarnation is one incarnation of a worker; see Fleet.
type fleetIncarnation struct {
	id       string
	number   int64        // start in Unix milliseconds
	start    clock.Millis // start on the fleet's clock
	token    int64        // highest fencing token received
	leaseEnd clock.Millis // end of the lease, on the worker's clock
	runs     map[fleetRunKey]*fleetRun
	blocked  map[string]int // by task, the highest run that was stopped or has ended; runs up to it are not started
	ended    []fleetEnd     // not acknowledged
	endCount int64          // number of the latest end
}

// fleetRunKey identifies a run. It includes the run number because a worker accepts several runs of one task at once.
type fleetRunKey struct {
	task string
	run  int
}

type fleetRun struct {
	work            Work
	began           clock.Millis
	stopRequestedAt clock.Millis // time of the stop order; 0: none
}

type fleetEnd struct {
	number       int64
	run          fleetRunKey
	reason       string // as in the answer: done, stopped or lapsed
	event        int64  // see Fleet.events
	leaseExpired bool   // before the end was acknowledged, so the task may run again
}

// fleetStart is a start order that a worker has carried out.
type fleetStart struct {
	run     int
	machine string
	event   int64 // see Fleet.events
}

// sortedRuns returns the runs, sorted by task and run number.
func (i *fleetIncarnation) sortedRuns() []fleetRunKey {
	keys := make([]fleetRunKey, 0, len(i.runs))
	for key := range i.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b fleetRunKey) int { return cmp.Or(strings.Compare(a.task, b.task), a.run-b.run) })
	return keys
}

func (i *fleetIncarnation) blockUpTo(run fleetRunKey) {
	i.blocked[run.task] = max(i.blocked[run.task], run.run)
}

// extendLease extends the lease, which covers all runs of the worker, up to the deadline but at most to MaxLease from now. It never
// shortens it.
func (m *fleetMachine) extendLease(deadline, now clock.Millis) {
	m.incarnation.leaseEnd = max(m.incarnation.leaseEnd, min(deadline, m.clock(now)+MaxLease))
}

// endRuns ends the runs that are finished, were stopped, or have lost their lease. f.mu is held.
func (f *Fleet) endRuns(m *fleetMachine) {
	incarnation, now, anyEnded := m.incarnation, f.Clock.Now(), false
	expired := m.clock(now) > incarnation.leaseEnd
	for i := range incarnation.ended {
		incarnation.ended[i].leaseExpired = incarnation.ended[i].leaseExpired || expired
	}
	for _, key := range incarnation.sortedRuns() {
		r := incarnation.runs[key]
		reason := ""
		switch {
		case expired:
			reason = "lapsed"
		case r.stopRequestedAt > 0 && now-r.stopRequestedAt >= stopTime:
			reason = "stopped"
		case r.work.Length > 0 && now-r.began >= r.work.Length:
			reason = "done"
		default:
			continue
		}
		anyEnded = true
		incarnation.endCount++
		f.events++
		incarnation.ended = append(incarnation.ended, fleetEnd{number: incarnation.endCount, run: key, reason: reason, event: f.events})
		incarnation.blockUpTo(key)
		delete(incarnation.runs, key)
	}
	if anyEnded {
		f.notifyWaiters()
	}
}

// clock returns the time on the worker's clock, which starts at 1000 ms with each incarnation.
func (m *fleetMachine) clock(now clock.Millis) clock.Millis {
	return 1000 + (now-m.incarnation.start)*clock.Millis(m.clockRate)/1000
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
	Clock       clock.Millis `json:"clockMs"`
	Incarnation int64        `json:"born"`
	Reason      string       `json:"reason,omitempty"`
	// Running lists task, run, checkpoint, progress in percent and thousandths of a core. It is empty, but present, in the answer to a hold.
	Running [][]any `json:"running,omitzero"`
	// Ended lists number, task, run, reason and checkpoint of the ends that are not acknowledged.
	Ended [][]any `json:"endedRuns,omitzero"`
}

// serveWorker serves the interface of the worker on a machine. A late order gets no answer and is carried out by postpone.
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

// postpone carries out an order after a delay if the incarnation that it was sent to still runs, or, with
// LateForNextIncarnation, another one with the same id.
func (f *Fleet) postpone(m *fleetMachine, r *http.Request, order *orderFields, after clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation, path := m.incarnation, r.URL.Path
	if incarnation == nil || r.Header.Get(headerTarget) != incarnation.id {
		return
	}
	f.Clock.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.incarnation == incarnation || f.LateForNextIncarnation && m.incarnation != nil && m.incarnation.id == incarnation.id {
			f.execute(m, path, order)
		}
	})
}

// answer carries out an order, waits for an end if the order is a hold, and returns the status and body of the answer. It breaks the
// connection if no worker runs or its incarnation ends meanwhile.
func (f *Fleet) answer(m *fleetMachine, r *http.Request, order *orderFields) (status int, answer workerFields) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation := m.incarnation
	if incarnation == nil {
		panic(http.ErrAbortHandler) // no worker runs, so the connection breaks
	}
	if r.Header.Get(headerTarget) != incarnation.id {
		return http.StatusMisdirectedRequest, workerFields{}
	}
	status, reason := f.execute(m, r.URL.Path, order)
	if status == http.StatusOK && r.URL.Path == "/hold" {
		f.awaitEnd(m, r, order)
		if m.incarnation != incarnation {
			panic(http.ErrAbortHandler) // the end of an incarnation breaks its connections
		}
		f.list(m, order, &answer)
	}
	answer.Clock, answer.Incarnation, answer.Reason = m.clock(f.Clock.Now()), incarnation.number, reason
	return status, answer
}

// execute carries out an order on its arrival and returns the status and, for a conflict, the reason. f.mu is held.
func (f *Fleet) execute(m *fleetMachine, path string, order *orderFields) (status int, reason string) {
	f.endRuns(m) // first, because an expired lease cannot be renewed
	incarnation, now := m.incarnation, f.Clock.Now()
	if order.Token < incarnation.token {
		return http.StatusConflict, "fence"
	}
	incarnation.token = order.Token
	switch path {
	case "/run-start":
		if reason := f.start(m, order); reason != "" {
			return http.StatusConflict, reason
		}
	case "/run-stop":
		// This also rejects a start of the run that arrives after the stop.
		key := fleetRunKey{order.Task, order.Run}
		incarnation.blockUpTo(key)
		if run := incarnation.runs[key]; run != nil && run.stopRequestedAt == 0 {
			run.stopRequestedAt = now
		}
	case "/hold":
		m.extendLease(order.Deadline, now)
		f.acknowledge(incarnation, order.Ack)
	case "/pace": // no effect: simulated tasks do not compete for the processor
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// awaitEnd waits until there is an end above the acknowledged one, at most for order.Wait and maxHold. f.mu is held on entry and
// exit, and released while it waits.
func (f *Fleet) awaitEnd(m *fleetMachine, r *http.Request, order *orderFields) {
	timeout := f.Clock.After(min(order.Wait, maxHold))
	for incarnation := m.incarnation; order.Wait > 0 && m.incarnation == incarnation; {
		if n := len(incarnation.ended); n > 0 && incarnation.ended[n-1].number > order.Ack {
			return
		}
		changed, done := f.changed, false
		f.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			done = true
		}
		f.mu.Lock()
		if done {
			return
		}
	}
}

// start carries out a start order; it returns the reason of a refusal, or "". f.mu is held.
func (f *Fleet) start(m *fleetMachine, order *orderFields) string {
	incarnation, now, key := m.incarnation, f.Clock.Now(), fleetRunKey{order.Task, order.Run}
	if order.Deadline < m.clock(now) {
		return "late"
	}
	m.extendLease(order.Deadline, now) // also if the start is refused below
	if incarnation.runs[key] != nil {
		return ""
	}
	if order.Run <= incarnation.blocked[order.Task] {
		return "old"
	}
	work, err := parseWork(order.Spec)
	if err != nil {
		f.recordViolation("start of task %s has the invalid spec %q", order.Task, order.Spec)
		return "old"
	}
	f.checkStart(m, order)
	f.events++
	f.latestStarts[order.Task] = fleetStart{order.Run, m.id, f.events}
	incarnation.runs[key] = &fleetRun{work: work, began: now}
	f.started++
	used := 0
	for _, run := range incarnation.runs {
		used += run.work.CPU
	}
	if used > m.capacity.CPU {
		f.recordViolation("%s runs %d thousandths of a core, at most %d fit", m.id, used, m.capacity.CPU)
	}
	if f.OnStart != nil {
		job, _, _ := batch.ParseTask(order.Task)
		if violation := f.OnStart(job, work.CPU, f.usedByJob()); violation != "" {
			f.recordViolation("task %s, run %d, starts on %s: %s", order.Task, order.Run, m.id, violation)
		}
	}
	return ""
}

// usedByJob returns the thousandths of a core that the running tasks of each job use. f.mu is held.
func (f *Fleet) usedByJob() map[string]int {
	used := map[string]int{}
	for _, m := range f.machines {
		if m.incarnation == nil {
			continue
		}
		for key, run := range m.incarnation.runs {
			job, _, _ := batch.ParseTask(key.task)
			used[job] += run.work.CPU
		}
	}
	return used
}

// checkStart records a violation if the task already runs, or if its end was acknowledged. It ends the runs that are due. f.mu is held.
func (f *Fleet) checkStart(m *fleetMachine, order *orderFields) {
	for _, other := range f.machines {
		if other.incarnation == nil {
			continue
		}
		if other != m {
			f.endRuns(other)
		}
		for _, running := range other.incarnation.sortedRuns() {
			if running.task == order.Task {
				f.recordViolation("task %s, run %d, starts on %s while run %d runs on %s", order.Task, order.Run, m.id, running.run, other.id)
			}
		}
	}
	if f.completed[order.Task] {
		f.recordViolation("task %s, run %d, starts on %s after its end was acknowledged", order.Task, order.Run, m.id)
	}
}

// acknowledge removes the ends up to number ack. When an end with the reason done is acknowledged, its task is completed: each run of
// the task that started after the end is a violation, whether it starts before or after the acknowledgement. This does not hold if
// the lease expired before the acknowledgement, because the scheduler may then start the task again. f.mu is held.
func (f *Fleet) acknowledge(incarnation *fleetIncarnation, ack int64) {
	kept := incarnation.ended[:0]
	for _, e := range incarnation.ended {
		if e.number > ack {
			kept = append(kept, e)
			continue
		}
		if e.reason != "done" || e.leaseExpired {
			continue
		}
		f.completed[e.run.task] = true
		if later := f.latestStarts[e.run.task]; later.event > e.event {
			f.recordViolation("task %s, run %d, started on %s after the end of run %d, which is acknowledged now",
				e.run.task, later.run, later.machine, e.run.run)
		}
	}
	incarnation.ended = kept
}

// list fills in the running runs and the ends that are not acknowledged. f.mu is held.
func (f *Fleet) list(m *fleetMachine, order *orderFields, answer *workerFields) {
	incarnation, now := m.incarnation, f.Clock.Now()
	answer.Running, answer.Ended = [][]any{}, [][]any{}
	for _, e := range incarnation.ended {
		if e.number > order.Ack && len(answer.Ended) < maxListedEnds {
			answer.Ended = append(answer.Ended, []any{e.number, e.run.task, e.run.run, e.reason, ""})
		}
	}
	for _, key := range incarnation.sortedRuns() {
		run := incarnation.runs[key]
		percent := clock.Millis(100)
		if run.work.Length > 0 {
			percent = min((now-run.began)*100/run.work.Length, 99)
		} else if now-run.began < longRunningStart {
			percent = (now - run.began) * 100 / longRunningStart
		}
		answer.Running = append(answer.Running, []any{key.task, key.run, "", percent, run.work.CPU})
	}
}

package pool

import (
	"fmt"

	"magnoliaferry/clock"
)

// incarnation is one incarnation of a worker.
type incarnation struct {
	worker    string
	startedAt int64
}

// doneEnd is a run that ended as done.
type doneEnd struct {
	task        string
	run         int
	incarnation incarnation
	number      int64
	at          clock.Millis
	acked       bool   // the cursor reached it before the lease of its worker lapsed
	restart     string // a start of the task after it
}

// endHistory knows which ends were acknowledged to the workers that listed them, and which tasks started again after such an
// end: a task that must run once has run twice then, whichever of the two came first.
type endHistory struct {
	byTask map[string][]*doneEnd
	open   map[incarnation][]*doneEnd // neither acknowledged nor lapsed
}

func newEndHistory() *endHistory {
	return &endHistory{byTask: map[string][]*doneEnd{}, open: map[incarnation][]*doneEnd{}}
}

func (l *endHistory) done(task string, run int, of incarnation, number int64, at clock.Millis) {
	end := &doneEnd{task: task, run: run, incarnation: of, number: number, at: at}
	l.byTask[task] = append(l.byTask[task], end)
	l.open[of] = append(l.open[of], end)
}

// acknowledge takes in that the cursor has reached a number in a life of a worker, and returns the end that makes a start wrong.
func (l *endHistory) acknowledge(of incarnation, cursor int64) *doneEnd {
	var wrong *doneEnd
	kept := l.open[of][:0]
	for _, end := range l.open[of] {
		if end.number > cursor {
			kept = append(kept, end)
			continue
		}
		end.acked = true
		if end.restart != "" {
			wrong = end
		}
	}
	l.open[of] = kept
	return wrong
}

// expire takes in that the lease of a worker is over: what it has listed until now never counts as acknowledged.
func (l *endHistory) expire(of incarnation) { delete(l.open, of) }

// start takes in that a worker began a run, and returns the end that makes it wrong.
func (l *endHistory) start(task string, run int, of incarnation, now clock.Millis) *doneEnd {
	var wrong *doneEnd
	for _, end := range l.byTask[task] {
		if end.restart == "" {
			end.restart = fmt.Sprintf("run %d on %s at %d ms", run, of.worker, now)
		}
		if end.acked {
			wrong = end
		}
	}
	return wrong
}

func (e *doneEnd) String() string {
	return fmt.Sprintf("task %s: run %d ended as done on %s (life %d) at %d ms as number %d, which was acknowledged; then %s",
		e.task, e.run, e.incarnation.worker, e.incarnation.startedAt, e.at, e.number, e.restart)
}

package pool

import (
	"fmt"

	"magnoliaferry/clock"
)

// incarnation identifies one incarnation of a worker.
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
	acked       bool   // the end was acknowledged before the lease of its worker expired
	restart     string // describes the first start of the task after the end
}

// endHistory records which ends were acknowledged to the workers that listed them, and which tasks started again. A task
// with both has run twice, whichever came first.
type endHistory struct {
	byTask map[string][]*doneEnd
	open   map[incarnation][]*doneEnd // ends that are not acknowledged, of workers whose lease has not expired
}

func newEndHistory() *endHistory {
	return &endHistory{byTask: map[string][]*doneEnd{}, open: map[incarnation][]*doneEnd{}}
}

func (l *endHistory) done(task string, run int, of incarnation, number int64, at clock.Millis) {
	end := &doneEnd{task: task, run: run, incarnation: of, number: number, at: at}
	l.byTask[task] = append(l.byTask[task], end)
	l.open[of] = append(l.open[of], end)
}

// acknowledge records that the ends of an incarnation up to the number cursor were acknowledged. It returns an end whose
// task had already started again, or nil.
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

// expire records that the lease of a worker has expired: the ends that it has listed so far no longer count as acknowledged
// later.
func (l *endHistory) expire(of incarnation) { delete(l.open, of) }

// start records that a worker began a run. It returns an earlier end of the task that was acknowledged, or nil.
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
	return fmt.Sprintf("task %s: run %d ended as done on %s (incarnation %d) at %d ms as number %d, which was acknowledged, so the task must start only once; it also started as %s",
		e.task, e.run, e.incarnation.worker, e.incarnation.startedAt, e.at, e.number, e.restart)
}

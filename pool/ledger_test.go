package pool

import (
	"fmt"

	"magnoliaferry/clock"
)

// life is one life of a worker.
type life struct {
	worker string
	born   int64
}

// doneEnd is a run that ended as done.
type doneEnd struct {
	task   string
	run    int
	life   life
	number int64
	at     clock.Millis
	acked  bool   // the cursor reached it before the lease of its worker lapsed
	again  string // a start of the task after it
}

// ledger knows which ends were acknowledged to the workers that listed them, and which tasks started again after such an
// end: a task that must run once has run twice then, whichever of the two came first.
type ledger struct {
	byTask map[string][]*doneEnd
	open   map[life][]*doneEnd // neither acknowledged nor lapsed
}

func newLedger() *ledger {
	return &ledger{byTask: map[string][]*doneEnd{}, open: map[life][]*doneEnd{}}
}

func (l *ledger) done(task string, run int, of life, number int64, at clock.Millis) {
	end := &doneEnd{task: task, run: run, life: of, number: number, at: at}
	l.byTask[task] = append(l.byTask[task], end)
	l.open[of] = append(l.open[of], end)
}

// acknowledge takes in that the cursor has reached a number in a life of a worker, and returns the end that makes a start wrong.
func (l *ledger) acknowledge(of life, cursor int64) *doneEnd {
	var wrong *doneEnd
	kept := l.open[of][:0]
	for _, end := range l.open[of] {
		if end.number > cursor {
			kept = append(kept, end)
			continue
		}
		end.acked = true
		if end.again != "" {
			wrong = end
		}
	}
	l.open[of] = kept
	return wrong
}

// lapse takes in that the lease of a worker is over: what it has listed until now never counts as acknowledged.
func (l *ledger) lapse(of life) { delete(l.open, of) }

// start takes in that a worker began a run, and returns the end that makes it wrong.
func (l *ledger) start(task string, run int, of life, now clock.Millis) *doneEnd {
	var wrong *doneEnd
	for _, end := range l.byTask[task] {
		if end.again == "" {
			end.again = fmt.Sprintf("run %d on %s at %d ms", run, of.worker, now)
		}
		if end.acked {
			wrong = end
		}
	}
	return wrong
}

func (e *doneEnd) String() string {
	return fmt.Sprintf("task %s: run %d ended as done on %s (life %d) at %d ms as number %d, which was acknowledged; then %s",
		e.task, e.run, e.life.worker, e.life.born, e.at, e.number, e.again)
}

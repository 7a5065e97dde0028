package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// fakeAdvisor is the service that decides which workers a queue's policy allows. Its answers about a worker do not change while an
// incarnation of the worker lasts.
type fakeAdvisor struct {
	allows   func(worker string) bool
	takes    clock.Millis
	validity clock.Millis
	fails    bool // it does not answer

	jobs    func(job *batch.Job) bool // whose starts need a ticket
	asked   []Advise
	open    []pendingAdvice
	tickets map[string]clock.Millis // until when a ticket is valid, by step, worker, incarnation and number
}

type pendingAdvice struct {
	order Advise
	due   clock.Millis
}

func newFakeAdvisor(allows func(worker string) bool) *fakeAdvisor {
	return &fakeAdvisor{allows: allows, takes: 50, validity: 4000,
		jobs: func(job *batch.Job) bool { return job.Queue == "q" }, tickets: map[string]clock.Millis{}}
}

func (a *fakeAdvisor) ask(order Advise, now clock.Millis) {
	a.asked = append(a.asked, order)
	a.open = append(a.open, pendingAdvice{order, now + a.takes})
}

// answer answers the requests that are due.
func (a *fakeAdvisor) answer(w *poolSim) {
	open := a.open
	a.open = nil
	for _, p := range open {
		if w.now < p.due {
			a.open = append(a.open, p)
			continue
		}
		advice := Advice{Tickets: map[string]string{}, Validity: a.validity}
		for _, id := range p.order.Workers {
			if f := w.workers[id]; f != nil && a.allows(id) {
				ticket := fmt.Sprintf("%s %s %d %d", p.order.Step, id, f.entry.Incarnation, w.now)
				a.tickets[ticket] = w.now + a.validity
				advice.Tickets[id] = ticket
			}
		}
		w.s.AdviseAnswered(p.order, advice, !a.fails)
	}
}

// admits reports whether the worker may carry out the start.
func (a *fakeAdvisor) admits(w *poolSim, o Start, f *fakeWorker) bool {
	id, key, _ := batch.ParseTask(o.Task)
	if !a.jobs(w.defs[id]) {
		return true
	}
	prefix := fmt.Sprintf("%s.%d.%d %s %d ", id, key.Occurrence, key.Step, f.entry.ID, f.entry.Incarnation)
	return len(o.Ticket) > len(prefix) && o.Ticket[:len(prefix)] == prefix && w.now <= a.tickets[o.Ticket]
}

// newAdvisedSim returns a simulation whose queue has an advisor, with workers named a00, a01 and so on.
func newAdvisedSim(t *testing.T, workers int, allows func(worker string) bool) *poolSim {
	queue := testQueue
	queue.Advised = true
	w := newPoolSim(t, 0, queue)
	w.advisor = newFakeAdvisor(allows)
	for i := range workers {
		w.addWorker(fmt.Sprintf("a%02d", i))
	}
	return w
}

// Guards against a job that never starts because the policy of its queue allows only workers beyond those that fit into one request to
// the advisor: review case 2, LOST.
func TestAdvisorIsAskedAboutAllWorkers(t *testing.T) {
	for _, allowed := range []string{"a00", "a31", "a97", "a129"} {
		w := newAdvisedSim(t, 130, func(worker string) bool { return worker == allowed })
		w.submit("j", batch.Step{Count: 2, Need: cpu(1000)}, batch.Step{Count: 1, Need: cpu(1000), Gang: true, After: []int{0}})
		w.run(5 * clock.Second)
		if got := w.state("j"); got != batch.Completed {
			t.Errorf("only %s is allowed: state got %v, want completed after %d requests", allowed, got, len(w.advisor.asked))
		}
		for _, order := range w.advisor.asked {
			if got := len(order.Workers); got > maxAdvisedWorkers {
				t.Errorf("workers in a request got %d, want at most %d", got, maxAdvisedWorkers)
			}
		}
	}
}

// Guards against tasks that wait although allowed workers are idle, once the allowed workers that the advisor was asked about first have
// crashed, are full, or have been replaced.
func TestAllowedWorkersAreFoundAfterALoss(t *testing.T) {
	allowed := map[string]bool{"a04": true, "a11": true, "a33": true, "a38": true}
	for _, test := range []struct {
		name  string
		event func(w *poolSim)
	}{
		{"crash", func(w *poolSim) {
			for _, id := range []string{"a04", "a11"} {
				w.workers[id].unreachable = true
				w.s.RemoveWorker(id)
			}
		}},
		{"full", func(w *poolSim) {
			w.length = func(task string) clock.Millis {
				if task[:4] == "full" {
					return clock.Minute
				}
				return 500
			}
			w.submit("full", batch.Step{Count: 8, Need: cpu(1000)})
		}},
		{"replaced", func(w *poolSim) {
			for id := range allowed {
				w.workers[id].unreachable = true
				w.s.RemoveWorker(id)
			}
			allowed["b00"] = true
			w.addWorker("b00")
		}},
	} {
		w := newAdvisedSim(t, 40, func(worker string) bool { return allowed[worker] })
		w.submit("first", batch.Step{Count: 2, Need: cpu(1000)})
		w.run(3 * clock.Second)
		if got := w.state("first"); got != batch.Completed {
			t.Fatalf("%s: state of the first job got %v, want completed", test.name, got)
		}
		test.event(w)
		w.run(3 * clock.Second)
		w.submit("second", batch.Step{Count: 2, Need: cpu(1000)})
		w.run(6 * clock.Second)
		if got := w.state("second"); got != batch.Completed {
			t.Errorf("%s: state of the second job got %v, want completed", test.name, got)
		}
	}
}

// Guards against a step that renews its tickets for the workers that cannot take another of its tasks, again and again, and never asks
// about the others.
func TestRenewalsLeaveRoomForOtherWorkers(t *testing.T) {
	last := "a89"
	w := newAdvisedSim(t, 90, func(worker string) bool { return worker < "a35" || worker == last })
	w.advisor.takes, w.advisor.validity = 400, 1600
	w.length = func(string) clock.Millis { return 0 }
	w.submit("j", batch.Step{Count: 36, Need: cpu(100), LongRunning: true, MaxPerWorker: 1})
	w.run(20 * clock.Second)
	got := 0
	for _, f := range w.workers {
		got += len(f.runs)
	}
	if want := 36; got != want {
		t.Errorf("tasks running got %d, want %d: one on each allowed worker", got, want)
	}
}

// Guards against requests in quick succession to an advisor that does not answer, and against a step that waits for an answer that never
// came.
func TestAdvisorThatFails(t *testing.T) {
	w := newAdvisedSim(t, 4, func(string) bool { return true })
	w.advisor.fails = true
	w.submit("j", batch.Step{Count: 2, Need: cpu(1000)})
	w.run(3 * clock.Second)
	if got, want := len(w.advisor.asked), 12; got < 2 || got > want {
		t.Errorf("requests in 3 s got %d, want 2 to %d", got, want)
	}
	w.advisor.fails = false
	w.run(3 * clock.Second)
	if got := w.state("j"); got != batch.Completed {
		t.Errorf("state got %v, want completed once the advisor answers", got)
	}
}

// Guards against a task that is stopped to empty its worker before another worker is known to be allowed: after a change of the owner
// nothing is known of the policy.
func TestAdvisedTaskStaysWithoutAnotherAllowedWorker(t *testing.T) {
	for _, other := range []bool{false, true} {
		w := newAdvisedSim(t, 40, func(worker string) bool { return worker == "a00" || other && worker == "a39" })
		w.length = func(string) clock.Millis { return 0 }
		w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
		w.run(2 * clock.Second)
		first := w.runner("j.0.0.0")
		if first == "" {
			t.Fatalf("another worker allowed %v: the task did not start", other)
		}
		w.replaceOwner(w.s.jobs["j"].def, w.s.progress(w.s.jobs["j"], &Transaction{}))
		w.run(2 * clock.Second)
		w.s.RequestEvacuation(evacuationOf(first))
		w.run(4 * clock.Second)
		if got := w.runner("j.0.0.0"); got == "" || (got != first) != other {
			t.Errorf("another worker allowed %v: the task runs on %q, before on %q", other, got, first)
		}
	}
}

package pool

import (
	"fmt"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// evacuationOf returns a request to empty the machine of a worker, with the ID want-1.
func evacuationOf(worker string) Evacuation {
	return Evacuation{ID: "want-1", Machine: "m-" + worker, Worker: worker}
}

// Guards against tasks on a worker that starts on a machine which is being withdrawn: the operation on the machine, which was ordered for
// the empty worker before it, would end them: review case 5, AVAIL.
func TestWorkerOnAWithdrawnMachineGetsNoTasks(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		w := newPoolSim(t, 2, testQueue)
		w.length = func(string) clock.Millis { return 0 }
		w.submit("full", batch.Step{Count: 1, Need: cpu(4000), LongRunning: true})
		w.run(1 * clock.Second)
		empty := map[string]string{"w0": "w1", "w1": "w0"}[w.runner("full.0.0.0")]
		w.s.RequestEvacuation(evacuationOf(empty))
		w.run(300)
		if got := fmt.Sprint(w.s.CompletedEvacuations()); got != "[want-1]" {
			t.Fatalf("takeover %v: completed evacuations got %s, want [want-1]", takeover, got)
		}
		w.workers[empty].unreachable = true
		next := w.addWorkerOn("next", "m-"+empty)
		if got := w.s.CompletedEvacuations(); len(got) != 0 {
			t.Errorf("takeover %v: completed evacuations got %v, want none before the new worker has answered", takeover, got)
		}
		if takeover {
			w.takeOver("full", w.s.configuration)
			w.s.RequestEvacuation(evacuationOf(empty))
		}
		w.submit("j", batch.Step{Count: 3, Need: cpu(1000), LongRunning: true, MayMiss: 1})
		w.run(3 * clock.Second)
		if got := len(next.runs); got != 0 {
			t.Errorf("takeover %v: tasks on the new worker of the machine got %d, want none", takeover, got)
		}
		renewed := Evacuation{ID: "want-2", Machine: "m-" + empty, Worker: "next"}
		w.s.RequestEvacuation(renewed)
		if got := fmt.Sprint(w.s.CompletedEvacuations()); got != "[want-2]" {
			t.Errorf("takeover %v: completed evacuations got %s, want [want-2]", takeover, got)
		}
		// The operation ends the worker, and another one starts after it.
		renewed.Accepted = true
		w.s.RequestEvacuation(renewed)
		next.unreachable = true
		after := w.addWorkerOn("after", "m-"+empty)
		w.run(2 * clock.Second)
		if got, want := len(after.runs), 3; got != want {
			t.Errorf("takeover %v: tasks on the worker after the operation got %d, want %d", takeover, got, want)
		}
	}
}

// Guards against a confirmation that a machine is empty while a worker on it, which started before the request was known, has tasks.
func TestMachineWithABusyWorkerIsNotEmpty(t *testing.T) {
	w := newPoolSim(t, 1, testQueue)
	w.length = func(string) clock.Millis { return 0 }
	w.run(300)
	w.workers["w0"].unreachable = true
	w.s.RemoveWorker("w0")
	w.addWorkerOn("next", "m-w0")
	w.submit("j", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(500)
	if got := w.runner("j.0.0.0"); got != "next" {
		t.Fatalf("task runs on %q, want next", got)
	}
	w.s.RequestEvacuation(evacuationOf("w0"))
	if got := w.s.CompletedEvacuations(); len(got) != 0 {
		t.Errorf("completed evacuations got %v, want none: a task runs on the machine", got)
	}
	w.s.CancelEvacuation("m-w0")
	w.submit("k", batch.Step{Count: 1, Need: cpu(1000), LongRunning: true})
	w.run(500)
	if got := w.runner("k.0.0.0"); got != "next" {
		t.Errorf("task runs on %q after the request was withdrawn, want next", got)
	}
}

package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
)

const now = 100 * clock.Hour

// newPool returns a pool of open workers with 16 cores each, two workers in a rack.
func newPool(workers int) PoolFields {
	f := PoolFields{Name: "p", Wall: now, Teams: map[string]config.TeamFields{}, Use: map[string]Use{}}
	for i := range workers {
		f.Workers = append(f.Workers, WorkerFields{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprint(i / 2), Cores: 16,
			MemoryMB: 32000, Open: true})
	}
	return f
}

// job returns a queued job that needs 1000 MB for each core.
func job(id, team string, urgency config.Urgency, cores int) *Fields {
	return &Fields{RecordFields: RecordFields{ID: id, Team: team, Pool: "p", Urgency: urgency, Cores: cores,
		MemoryMB: 1000 * cores, Attempts: 5, State: Queued}}
}

// withTask binds a job to a worker with a task that the platform reports in the state.
func withTask(j *Fields, worker string, state provider.TaskState) *Fields {
	j.State, j.Worker, j.Token, j.HeldCores, j.Reported = Running, worker, 1, j.Cores, true
	j.Task = provider.UsageFields{State: state, CoresPct: 100 * j.Cores, MemoryMB: 900 * j.Cores, RunTime: clock.Minute,
		Reason: "exit 1"}
	return j
}

func runOnce(j *Fields) *Fields               { j.RunOnce = true; return j }
func with(j *Fields, f func(*Fields)) *Fields { f(j); return j }

// describe lists the steps that are not waits as kind:job@worker.
func describe(steps []Step) string {
	var parts []string
	for _, s := range steps {
		if s.Kind() != KindWait {
			parts = append(parts, fmt.Sprintf("%s:%s@%s", s.Kind(), s.Job(), s.Worker()))
		}
	}
	return strings.Join(parts, " ")
}

// Guards against a wrong step for a job in each state and with each report of its task, in particular a second start of
// a run-once job.
func TestStepByJobState(t *testing.T) {
	lost := func(age clock.Millis) func(*PoolFields) {
		return func(f *PoolFields) { f.Workers[0].Lost, f.Workers[0].Open, f.Workers[0].LostFor = true, false, age }
	}
	closing := func(f *PoolFields) { f.Workers[0].Open = false }
	starting := func(j *Fields) { j.State, j.Reported = Starting, false }
	failedBefore := func(count int) func(*Fields) {
		return func(j *Fields) {
			for i := range count {
				j.Failures = append(j.Failures, Failure{Worker: "w03", Rack: fmt.Sprint(i), At: now})
			}
		}
	}
	fresh := func() *Fields { return job("j", "t", config.Normal, 2) }
	tests := []struct {
		name   string
		job    *Fields
		change func(*PoolFields)
		want   string
	}{
		{"success", withTask(fresh(), "w00", provider.TaskSucceeded), nil, "finish:j@w00"},
		{"failure", withTask(fresh(), "w00", provider.TaskFailed), nil, "requeue:j@w00"},
		{"last failure", with(withTask(fresh(), "w00", provider.TaskFailed), failedBefore(4)), nil, "park:j@w00"},
		{"run-once failure", runOnce(withTask(fresh(), "w00", provider.TaskFailed)), nil, "park:j@w00"},
		{"run-once stopped", runOnce(withTask(fresh(), "w00", provider.TaskStopped)), nil, "park:j@w00"},
		{"run-once checkpointed", runOnce(withTask(fresh(), "w00", provider.TaskCheckpointed)), nil, "park:j@w00"},
		{"checkpointed", withTask(fresh(), "w00", provider.TaskCheckpointed), nil, "requeue:j@w00"},
		{"lost within the lease", withTask(fresh(), "w00", provider.TaskRunning), lost(Lease - 1), ""},
		{"lost after the lease", withTask(fresh(), "w00", provider.TaskRunning), lost(Lease), "requeue:j@w00"},
		{"run-once lost", runOnce(withTask(fresh(), "w00", provider.TaskRunning)), lost(0), "park:j@w00"},
		{"run-once lost at its start", runOnce(with(withTask(fresh(), "w00", provider.TaskRunning), starting)), lost(0), "park:j@w00"},
		{"run-once not reported", runOnce(with(withTask(fresh(), "w00", provider.TaskRunning), func(j *Fields) {
			j.Reported, j.UnreportedFor = false, unreportedTimeout
		})), nil, "park:j@w00"},
		{"not reported", with(withTask(fresh(), "w00", provider.TaskRunning), func(j *Fields) {
			j.Reported, j.UnreportedFor = false, unreportedTimeout
		}), nil, "requeue:j@w00"},
		{"start without answer", with(withTask(fresh(), "w00", provider.TaskRunning), starting), nil, "repeat:j@w00"},
		{"start reported", with(withTask(fresh(), "w00", provider.TaskRunning), func(j *Fields) { j.State = Starting }), nil,
			"running:j@w00"},
		{"drain", withTask(fresh(), "w00", provider.TaskRunning), closing, "checkpoint:j@w00"},
		{"drain waits for run-once", runOnce(withTask(fresh(), "w00", provider.TaskRunning)), closing, ""},
		{"cancel running", with(withTask(fresh(), "w00", provider.TaskRunning), func(j *Fields) { j.Cancel = true }), nil,
			"stop:j@w00"},
		{"cancel start", with(withTask(fresh(), "w00", provider.TaskRunning), func(j *Fields) {
			starting(j)
			j.Cancel = true
		}), nil, "stop:j@w00"},
		{"cancel queued", with(fresh(), func(j *Fields) { j.Cancel = true }), nil, "cancelled:j@"},
		{"too large", job("j", "t", config.Normal, 17), nil, "park:j@"},
		{"too large for an empty pool", job("j", "t", config.Normal, 17), func(f *PoolFields) { f.Workers = nil }, ""},
		{"delayed", with(fresh(), func(j *Fields) { j.NotBefore = now + 1 }), nil, ""},
		{"queued", fresh(), nil, "start:j@w00"},
		{"queued after failures", with(fresh(), func(j *Fields) {
			j.Failures = []Failure{{Worker: "w00", Rack: "0", At: now}}
		}), nil, "start:j@w02"},
	}
	for _, test := range tests {
		f := newPool(4)
		f.Jobs = []*Fields{test.job}
		if test.change != nil {
			test.change(&f)
		}
		if got := describe(Plan(f)); got != test.want {
			t.Errorf("%s: steps got %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against urgent jobs that wait behind less urgent tasks, and against preemption of tasks that must not be
// preempted.
func TestPreempt(t *testing.T) {
	fill := func(urgency config.Urgency, runOnce bool, memory int) []*Fields {
		var all []*Fields
		for w := range 2 {
			for i := range 2 {
				j := withTask(job(fmt.Sprintf("b%d%d", w, i), fmt.Sprint("t", i), urgency, 8), fmt.Sprintf("w%02d", w),
					provider.TaskRunning)
				j.RunOnce, j.Task.MemoryMB = runOnce, memory
				all = append(all, j)
			}
		}
		return all
	}
	tests := []struct {
		name  string
		tasks []*Fields
		cores int
		want  string
	}{
		{"throttle where memory suffices", fill(config.Batch, false, 7200), 6, "throttle:b00@w00 start:u@w00"},
		{"throttle run-once tasks too", fill(config.Batch, true, 7200), 6, "throttle:b00@w00 start:u@w00"},
		{"checkpoint where memory is short", fill(config.Batch, false, 14000), 6, "checkpoint:b00@w00"},
		{"not run-once tasks", fill(config.Batch, true, 14000), 6, ""},
		{"not equally urgent tasks", fill(config.Urgent, false, 7200), 6, ""},
	}
	for _, test := range tests {
		f := newPool(2)
		f.Jobs = append(test.tasks, job("u", "urgent", config.Urgent, test.cores))
		if got := describe(Plan(f)); got != test.want {
			t.Errorf("%s: steps got %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against starvation: the flood of one team, in the least or the most urgent class, must not take the whole
// pool.
func TestFloodsLeaveRoomForOtherTeams(t *testing.T) {
	for _, urgency := range []config.Urgency{config.Batch, config.Urgent} {
		f := newPool(10) // 160 cores
		for i := range 4 {
			for k := range 20 { // four teams fill the pool with 40 cores each
				f.Jobs = append(f.Jobs, withTask(job(fmt.Sprintf("n%d-%02d", i, k), fmt.Sprint("t", i), config.Normal, 2),
					fmt.Sprintf("w%02d", (20*i+k)/8), provider.TaskRunning))
			}
		}
		for k := range 1000 {
			f.Jobs = append(f.Jobs, job(fmt.Sprintf("f%04d", k), "flood", urgency, 2))
		}
		freed := map[string]int{} // cores by team, which the first two letters of a job id name; throttling a task of two cores frees one
		for _, s := range Plan(f) {
			freed[s.Job()[:2]] += map[StepKind]int{KindThrottle: 1, KindCheckpoint: 2}[s.Kind()]
		}
		for i := range 4 { // the fair share of five teams is 32 cores, of which each keeps half
			if got := 40 - freed[fmt.Sprint("n", i)]; got < 16 || urgency == config.Batch && got < 40 {
				t.Errorf("%s flood: team t%d keeps %d cores, want at least 16, or 40 against batch jobs", urgency, i, got)
			}
		}
	}
	// The other classes and teams also get their share of a free pool.
	f := newPool(4)
	for k := range 1000 {
		f.Jobs = append(f.Jobs, job(fmt.Sprintf("f%04d", k), "flood", config.Urgent, 1))
	}
	for k := range 8 {
		f.Jobs = append(f.Jobs, job(fmt.Sprint("n", k), "other", config.Normal, 1), job(fmt.Sprint("u", k), "quiet", config.Urgent, 1))
	}
	started := map[byte]int{}
	for _, s := range Plan(f) {
		if s.Kind() == KindStart {
			started[s.Job()[0]]++
		}
	}
	if started['n'] != 8 || started['u'] != 8 {
		t.Errorf("started %d normal jobs of team other and %d urgent jobs of team quiet, want 8 and 8", started['n'], started['u'])
	}
}

// Guards against a worker on which every job fails that still gets jobs, and against a job that fails on every worker and
// makes these workers count as faulty.
func TestFaultOfWorkerOrJob(t *testing.T) {
	f := newPool(8)
	for i := range 3 {
		f.Jobs = append(f.Jobs, with(job(fmt.Sprint("a", i), "t", config.Normal, 1), func(j *Fields) {
			j.Failures, j.NotBefore = []Failure{{Worker: "w00", Rack: "0", At: now}}, now+1
		}))
	}
	f.Jobs = append(f.Jobs, with(job("b", "t", config.Normal, 1), func(j *Fields) {
		j.NotBefore = now + 1
		for i := range 4 {
			j.Failures = append(j.Failures, Failure{Worker: fmt.Sprintf("w%02d", 2*i), Rack: fmt.Sprint(i), At: now})
		}
	}), job("c", "t", config.Normal, 1), with(withTask(job("d", "t", config.Normal, 1), "w00", provider.TaskFailed),
		func(j *Fields) { j.Failures = slices.Repeat([]Failure{{Worker: "w00", Rack: "0", At: now}}, 4) }))
	got := describe(Plan(f))
	// Job d failed five times, but only on the faulty worker w00, so it is requeued. Job c is not started on w00. The
	// failures of job b, which is faulty itself, do not count against w02, w04 and w06.
	if want := "requeue:d@w00 start:c@w01"; got != want {
		t.Errorf("steps got %q, want %q", got, want)
	}
}

// Guards against starts that exceed the quota of a team, alone or together with other starts of the same pass.
func TestQuota(t *testing.T) {
	f := newPool(4)
	f.Teams["t"], f.Use["t"] = config.TeamFields{Name: "t", Cores: 10, MemoryMB: 100000}, Use{Cores: 4}
	for i := range 5 {
		f.Jobs = append(f.Jobs, job(fmt.Sprint("j", i), "t", config.Urgent, 3))
	}
	steps := Plan(f)
	if got, want := describe(steps), "start:j0@w00 start:j1@w00"; got != want {
		t.Errorf("steps got %q, want %q", got, want)
	}
	last := steps[len(steps)-1]
	if got, want := last.Reason(), "quota of team t: 10 cores in use, 3 more wanted, 10 allowed"; got != want {
		t.Errorf("reason of the last step got %q, want %q", got, want)
	}
}

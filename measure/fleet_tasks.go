package measure

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

// fakeJob is a job with the cores, memory and run time that it uses, which differ from the declared ones, and its
// progress.
type fakeJob struct {
	fields            config.JobFields
	cores             int
	memoryMB          int
	workLeft          clock.Millis // remaining run time at full speed
	runTime           clock.Millis // total run time at full speed
	submitted         clock.Millis
	firstStart        clock.Millis // 0 before the first start
	ended             clock.Millis // 0 before the end
	starts            int
	cancelled         bool
	startsAfterCancel int // number of starts after the cancellation; must be 0
}

type fakeTask struct {
	id, instance string
	job          *fakeJob
	percent      int
}

// taskSim simulates the tasks that were started on the platform, with their actual sizes and run times.
type taskSim struct {
	s     *fleetSim
	jobs  map[string]*fakeJob
	order []*fakeJob // in the order of their submission
	tasks map[string]*fakeTask
}

func newTaskSim(s *fleetSim) taskSim {
	return taskSim{s: s, jobs: map[string]*fakeJob{}, tasks: map[string]*fakeTask{}}
}

// submit adds a job whose actual size and run time are between a third and three times the declared ones. With firstFit
// the job is not added to the configuration, because the control loops would place it as well.
func (t *taskSim) submit(f config.JobFields) {
	s := t.s
	actual := func(declared int) int {
		return max(int(float64(declared)*(1+2*s.random.Float64()))/(1+2*s.random.IntN(2)), 1)
	}
	p := s.fields.Pools[slices.IndexFunc(s.fields.Pools, func(p config.PoolFields) bool { return p.Name == f.Pool })]
	j := &fakeJob{fields: f, cores: min(actual(f.Cores), p.Cores), memoryMB: min(actual(f.MemoryMB), p.MemoryMB/2),
		workLeft: clock.Millis(actual(int(f.RunTime))), submitted: s.clock.Now()}
	j.runTime = j.workLeft
	t.jobs[f.Name] = j
	t.order = append(t.order, j)
	if s.firstFit {
		return
	}
	s.fields.Jobs = append(slices.Clone(s.fields.Jobs), f)
	s.config = nil
}

func (t *taskSim) running(instance string) (count int) {
	for _, task := range t.tasks {
		if task.instance == instance {
			count++
		}
	}
	return count
}

// recordStart adds a task that the platform started.
func (t *taskSim) recordStart(id, instance string) {
	name, _, _ := strings.Cut(id, "/")
	j := t.jobs[name]
	if _, known := t.tasks[id]; known || j == nil {
		return
	}
	t.tasks[id] = &fakeTask{id: id, instance: instance, job: j, percent: 100}
	if j.starts++; j.starts == 1 {
		j.firstStart = t.s.clock.Now()
	}
	if j.cancelled {
		j.startsAfterCancel++
	}
}

// advance runs every task for one tick, and ends those that are complete or run on a failing worker.
func (t *taskSim) advance() {
	for _, id := range slices.Sorted(maps.Keys(t.tasks)) {
		task := t.tasks[id]
		if t.s.failingTasks[task.instance] {
			t.s.store.SetTaskState(id, provider.TaskFailed, "exit 1")
			delete(t.tasks, id)
			continue
		}
		if task.job.workLeft -= fleetTick * clock.Millis(task.percent) / 100; task.job.workLeft <= 0 {
			t.s.store.SetTaskState(id, provider.TaskSucceeded, "")
			task.job.ended = t.s.clock.Now()
			delete(t.tasks, id)
		}
	}
}

// lose ends the tasks of an instance that was lost. A task that is started again continues where it was, as if it had
// been checkpointed then.
func (t *taskSim) lose(instance string) {
	for id, task := range t.tasks {
		if task.instance == instance {
			t.s.store.SetTaskState(id, provider.TaskStopped, "worker lost")
			delete(t.tasks, id)
		}
	}
}

type figure struct {
	name  string
	value float64
}

// figures returns the figures of the jobs. A job is late if it has not ended within two minutes and three times its
// actual run time after its submission. A run-once job whose only run failed or was lost with its worker is counted as
// lost instead, because it must not be started again. With urgent the longest delay until the start of an urgent job is added.
func (t *taskSim) figures(urgent bool) []figure {
	moved, late, lost, twice, startsAfterCancel := 0, 0, 0, 0, 0
	running := map[*fakeJob]bool{}
	for _, task := range t.tasks {
		running[task.job] = true
	}
	longest := clock.Millis(0)
	now := t.s.clock.Now()
	for _, j := range t.order {
		moved += max(j.starts-1, 0)
		startsAfterCancel += j.startsAfterCancel
		if j.fields.RunOnce {
			twice += max(j.starts-1, 0)
		}
		end := now
		if j.ended > 0 {
			end = j.ended
		}
		if j.fields.RunOnce && !j.cancelled && j.starts == 1 && j.ended == 0 && !running[j] {
			lost++
		} else if !j.cancelled && end-j.submitted > 2*clock.Minute+3*j.runTime {
			late++
		}
		if j.fields.Urgency == config.Urgent {
			firstStart := now
			if j.firstStart > 0 {
				firstStart = j.firstStart
			}
			longest = max(longest, firstStart-j.submitted)
		}
	}
	all := []figure{{"jobs moved", float64(moved)}, {"jobs late", float64(late)}, {"run-once lost", float64(lost)},
		{"run-once twice", float64(twice)}, {"cancelled started", float64(startsAfterCancel)}}
	if urgent {
		all = append(all, figure{"urgent start s", float64(longest) / float64(clock.Second)})
	}
	return all
}

// firstFit is the baseline without control loops. It starts jobs in the order of their submission on the first worker
// with enough free cores for the declared number, and starts every job again that ended without success, also run-once
// jobs.
func firstFit(s *fleetSim) {
	if s.now()%(fleetPass*fleetTick) != 0 {
		return
	}
	free, running := map[string]int{}, map[*fakeJob]bool{}
	workers := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[id]
		if r.Phase == planner.Serving && s.down[id].ID() == "" {
			workers[r.Pool] = append(workers[r.Pool], id)
		}
		free[id] = s.fields.Pools[0].Cores
	}
	for _, task := range s.tasks.tasks {
		free[task.instance] -= task.job.fields.Cores
		running[task.job] = true
	}
	for _, j := range s.tasks.order {
		if running[j] || j.ended > 0 || j.cancelled {
			continue
		}
		for _, id := range workers[j.fields.Pool] {
			if free[id] >= j.fields.Cores {
				free[id] -= j.fields.Cores
				task := provider.TaskFields{ID: fmt.Sprintf("%s/%d", j.fields.Name, j.starts+1), Job: j.fields.Name,
					Instance: id, Cores: j.fields.Cores, MemoryMB: j.fields.MemoryMB}
				_ = s.operatorLoops[0].Platform.Tasks().Start(s.ctx, provider.NewTaskRequest(task))
				break
			}
		}
	}
}

// cancel cancels jobs as an operator does, or stops their tasks where firstFit places the jobs.
func (t *taskSim) cancel(names []string) {
	s := t.s
	if s.firstFit {
		for id, task := range t.tasks {
			if slices.Contains(names, task.job.fields.Name) {
				_ = s.operatorLoops[0].Platform.Tasks().Stop(s.ctx, id)
			}
		}
	} else {
		s.operatorLoops[0].CancelJobs(s.ctx, "operator", names...)
	}
	for _, name := range names {
		t.jobs[name].cancelled = true
	}
}

// taskPlatform is the in-memory platform whose task operations also update a taskSim, and which reports the actual usage
// of tasks.
type taskPlatform struct {
	provider.Platform
	s *fleetSim
}

// Tasks implements provider.Platform.
func (p taskPlatform) Tasks() provider.Tasks { return trackedTasks{p.Platform.Tasks(), p.s} }

// trackedTasks are the tasks of a taskPlatform.
type trackedTasks struct {
	provider.Tasks
	s *fleetSim
}

// Start implements provider.Tasks.
func (r trackedTasks) Start(ctx context.Context, request provider.TaskRequest) error {
	before := r.s.store.Starts(request.ID())
	err := r.Tasks.Start(ctx, request)
	if r.s.store.Starts(request.ID()) > before {
		r.s.tasks.recordStart(request.ID(), request.Instance())
	}
	return err
}

// Checkpoint implements provider.Tasks.
func (r trackedTasks) Checkpoint(ctx context.Context, id string) error {
	err := r.Tasks.Checkpoint(ctx, id)
	if err == nil {
		delete(r.s.tasks.tasks, id)
	}
	return err
}

// Stop implements provider.Tasks.
func (r trackedTasks) Stop(ctx context.Context, id string) error {
	err := r.Tasks.Stop(ctx, id)
	if err == nil {
		delete(r.s.tasks.tasks, id)
	}
	return err
}

// Throttle implements provider.Tasks.
func (r trackedTasks) Throttle(ctx context.Context, id string, percent int) error {
	err := r.Tasks.Throttle(ctx, id, percent)
	if task := r.s.tasks.tasks[id]; err == nil && task != nil {
		task.percent = percent
	}
	return err
}

// Usage implements provider.Tasks.
func (r trackedTasks) Usage(ctx context.Context, instance string) ([]provider.TaskUsage, error) {
	if r.s.down[instance].ID() != "" {
		return nil, provider.ErrUnavailable.New("instance %q is down and reports no usage", instance)
	}
	reports, err := r.Tasks.Usage(ctx, instance)
	for i, u := range reports {
		if j := r.s.tasks.jobs[u.Fields().Job]; j != nil {
			f := u.Fields()
			f.CoresPct, f.MemoryMB = 100*j.cores, j.memoryMB
			reports[i] = provider.NewTaskUsage(f)
		}
	}
	return reports, err
}

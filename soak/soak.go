package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

// Options are the options of one soak; all exported fields but LateForNextIncarnation are required.
type Options struct {
	Binary      string       // path of the magnoliaferry executable
	Directory   string       // for settings and logs
	Seed        uint64       // determines faults and jobs; their timing varies between runs of a seed
	Instances   int          // number of processes of the product
	Machines    int          // number in all pools together
	Length      clock.Millis // time in which faults are injected and jobs are submitted
	LongestTask clock.Millis // limit for the running time of tasks in the callers' jobs
	Log         io.Writer    // receives the injected faults and the violations
	// LateForNextIncarnation makes late orders also reach a worker that has restarted with the same id (issue 9). A late order
	// is delivered after a delay of minLateDelay to maxLateDelay and gets no answer.
	LateForNextIncarnation bool

	state *state
}

// state is shared by the goroutines of a soak.
type state struct {
	mu         sync.Mutex
	started    clock.Millis
	violations []string
}

// Report is the outcome of a soak. Faults is the number of injected faults, Accepted, Refused, Completed and Cancelled are numbers of
// jobs, where Refused includes the jobs that no instance accepted within submitTimeout, Runs is the number of started runs of tasks,
// and MaintainedMachines the number of machines of the wave that had maintenance.
type Report struct {
	Faults, Accepted, Refused, Completed, Cancelled, Runs, MaintainedMachines int
	Violations                                                                []string // guarantees that were violated
}

func (o Options) logf(format string, values ...any) {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	fmt.Fprintf(o.Log, "%6d ms: %s\n", clock.System().Now()-o.state.started, fmt.Sprintf(format, values...))
}

func (o Options) recordViolation(format string, values ...any) {
	o.logf("BROKEN: "+format, values...)
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	o.state.violations = append(o.state.violations, fmt.Sprintf(format, values...))
}

// Run carries out one soak. An error means that it could not be carried out; violations are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	o.state = &state{started: clock.System().Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSite(ctx, o)
	defer func() {
		if s == nil {
			return
		}
		for _, in := range s.instances {
			in.stop(syscall.SIGKILL)
		}
	}()
	if err != nil {
		return Report{}, err
	}
	go s.advance(ctx)
	go s.operator.run(ctx)
	go s.leaveOddEntries(ctx)
	paths, err := s.submitLongRunning(ctx)
	if err != nil {
		return Report{}, err
	}
	waveEnd := clock.System().Now() + waveAt + waveDuration
	clock.System().AfterFunc(waveAt, func() { s.fleet.Wave(1, s.machines, waveLimit, waveDuration) })
	counts := &jobCounts{}
	until := clock.System().Now() + o.Length
	var calling sync.WaitGroup
	calling.Go(func() { s.runCallers(ctx, until, counts) })
	calling.Go(func() { s.runIntruders(ctx, until) })
	report := Report{Faults: s.injectFaults(ctx)}
	calling.Wait()
	for _, path := range paths {
		s.checkLongRunning(ctx, path)
	}
	for s.fleet.MaintainedMachines() < len(s.machines) && clock.System().Now() < waveEnd {
		if err := clock.System().Sleep(ctx, pollInterval); err != nil {
			return Report{}, err
		}
	}
	if got, want := s.fleet.MaintainedMachines(), len(s.machines); got != want {
		o.recordViolation("%d machines of the wave had maintenance, want %d", got, want)
	}
	s.checkOwnerLoss(ctx)
	s.checkAbandonedJobs()
	report.Accepted, report.Refused, report.Completed, report.Cancelled = counts.accepted, counts.refused, counts.completed, counts.cancelled
	report.Runs, report.MaintainedMachines = s.fleet.Started(), s.fleet.MaintainedMachines()
	report.Violations = append(s.fleet.Violations(), o.state.violations...)
	return report, nil
}

// advance calls Fleet.Advance at each tick until the context ends.
func (s *site) advance(ctx context.Context) {
	for clock.System().Sleep(ctx, standin.FleetTick) == nil {
		s.fleet.Advance()
	}
}

// Times of odd entries.
const (
	oddEntryInterval = 1500 * clock.Millis(1) // mean interval
	longestOddEntry  = 1500 * clock.Millis(1) // a worker writes its entry again within a heartbeat
)

// leaveOddEntries leaves odd entries among those of the workers until the context ends. It draws from a sequence of its own, so that a seed draws
// the same faults.
func (s *site) leaveOddEntries(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 1000))
	for clock.System().Sleep(ctx, clock.Millis(float64(oddEntryInterval)*random.ExpFloat64())) == nil {
		what, end := s.fleet.LeaveOddEntry(random)
		if what != "" {
			s.options.logf("odd entry %s", what)
			clock.System().AfterFunc(clock.Millis(random.Int64N(int64(longestOddEntry))), end)
		}
	}
}

const longRunningTasks = 2 // per job

// submitLongRunning submits a long-running job for each pool and returns their paths.
func (s *site) submitLongRunning(ctx context.Context) ([]string, error) {
	var paths []string
	random := rand.New(rand.NewPCG(s.options.Seed, 6))
	for i, pool := range pools {
		path := fmt.Sprintf("/%s/lasting%d", pool, i)
		body := standin.JobBody(standin.Work{CPU: 500}, batch.Step{Count: longRunningTasks, Need: batch.Resources{MemoryMB: taskMemory}, MayMiss: 1})
		c := clock.System()
		for until := c.Now() + submitTimeout; ; {
			status, content := s.send(ctx, s.instances[0], http.MethodPost, path, s.operator.key(random, uncappedCustomer), body)
			if status == http.StatusOK {
				break
			}
			if c.Now() > until {
				return nil, fmt.Errorf("the first instance did not accept a long-running job before the submit timeout: status %d (0 for no answer): %s", status, content)
			}
			if err := c.Sleep(ctx, retryInterval); err != nil {
				return nil, err
			}
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// checkLongRunning waits until all tasks of a long-running job run, and records a violation after completionTimeout.
func (s *site) checkLongRunning(ctx context.Context, path string) {
	id := path[len(path)-len("lasting0"):] // the path ends in the job's id, such as lasting0
	c := clock.System()
	for until := c.Now() + completionTimeout; c.Now() < until; {
		if s.fleet.Running(id) == longRunningTasks {
			return
		}
		if c.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
	s.options.recordViolation("%d tasks of the long-running job %s run, want %d", s.fleet.Running(id), path, longRunningTasks)
}

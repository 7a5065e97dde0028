package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

// Options are the options of one soak; all but LateForNextIncarnation are needed.
type Options struct {
	Binary      string       // of magnoliaferry
	Directory   string       // for settings and logs
	Seed        uint64       // of the plan; times vary between two runs of a seed
	Instances   int          // of the product
	Machines    int          // of all pools together
	Length      clock.Millis // for which faults come
	LongestTask clock.Millis // of the jobs that callers hand in
	Log         io.Writer    // for what is done and what is broken
	// LateForNextIncarnation lets late orders reach a worker that has restarted under its id meanwhile (issue 9).
	LateForNextIncarnation bool

	state *state
}

// state is what the goroutines of a soak share.
type state struct {
	mu         sync.Mutex
	started    clock.Millis
	violations []string
}

// Report is the outcome of a soak.
type Report struct {
	Faults, Accepted, Refused, Completed, Cancelled, Runs, MaintainedMachines int
	Violations                                                                []string // promises that were broken
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

// Run carries out one soak. Its error says that it could not be carried out; broken promises are in the report.
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
		o.recordViolation("%d machines of the wave have had their upkeep, want %d", got, want)
	}
	report.Accepted, report.Refused, report.Completed, report.Cancelled = counts.accepted, counts.refused, counts.completed, counts.cancelled
	report.Runs, report.MaintainedMachines = s.fleet.Started(), s.fleet.MaintainedMachines()
	report.Violations = append(s.fleet.Violations(), o.state.violations...)
	return report, nil
}

// advance lets the runs of the workers end.
func (s *site) advance(ctx context.Context) {
	for clock.System().Sleep(ctx, standin.FleetTick) == nil {
		s.fleet.Advance()
	}
}

const longRunningTasks = 2

// submitLongRunning hands in a job that lasts for each pool and returns their paths.
func (s *site) submitLongRunning(ctx context.Context) ([]string, error) {
	var paths []string
	for i, pool := range pools {
		path := fmt.Sprintf("/%s/lasting%d", pool, i)
		body := standin.JobBody(standin.Work{CPU: 500}, batch.Step{Count: longRunningTasks, Need: batch.Resources{MemoryMB: taskMemory}, MayMiss: 1})
		c := clock.System()
		for until := c.Now() + submitTimeout; ; {
			status, content := s.send(ctx, s.instances[0], http.MethodPost, path, body)
			if status == http.StatusOK {
				break
			}
			if c.Now() > until {
				return nil, fmt.Errorf("the site does not accept jobs: %d %s", status, content)
			}
			if err := c.Sleep(ctx, retryInterval); err != nil {
				return nil, err
			}
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// checkLongRunning waits until all tasks of a job that lasts are at work.
func (s *site) checkLongRunning(ctx context.Context, path string) {
	id := path[len(path)-len("lasting0"):]
	c := clock.System()
	for until := c.Now() + completionTimeout; c.Now() < until; {
		if s.fleet.Running(id) == longRunningTasks {
			return
		}
		if c.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
	s.options.recordViolation("%d tasks of %s run, want %d", s.fleet.Running(id), path, longRunningTasks)
}

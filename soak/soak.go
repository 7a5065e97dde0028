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

// Options are the options of one soak; all but LateForNextLife are needed.
type Options struct {
	Binary      string       // of magnoliaferry
	Directory   string       // for settings and logs
	Seed        uint64       // of the plan; times vary between two runs of a seed
	Instances   int          // of the product
	Machines    int          // of all pools together
	Length      clock.Millis // for which faults come
	LongestTask clock.Millis // of the jobs that callers hand in
	Log         io.Writer    // for what is done and what is broken
	// LateForNextLife lets late orders reach a worker that has restarted under its id meanwhile (issue 9).
	LateForNextLife bool

	state *state
}

// state is what the goroutines of a soak share.
type state struct {
	mu       sync.Mutex
	begun    clock.Millis
	breaches []string
}

// Report is the outcome of a soak.
type Report struct {
	Faults, Accepted, Refused, Completed, Cancelled, Runs, Duties int
	Breaches                                                      []string // promises that were broken
}

func (o Options) note(format string, values ...any) {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	fmt.Fprintf(o.Log, "%6d ms: %s\n", clock.System().Now()-o.state.begun, fmt.Sprintf(format, values...))
}

func (o Options) breach(format string, values ...any) {
	o.note("BROKEN: "+format, values...)
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	o.state.breaches = append(o.state.breaches, fmt.Sprintf(format, values...))
}

// Run carries out one soak. Its error says that it could not be carried out; broken promises are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	o.state = &state{begun: clock.System().Now()}
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
	lasting, err := s.beginLasting(ctx)
	if err != nil {
		return Report{}, err
	}
	waveEnd := clock.System().Now() + waveAt + waveWithin
	clock.System().AfterFunc(waveAt, func() { s.fleet.Wave(1, s.machines, waveCap, waveWithin) })
	l := &ledger{}
	until := clock.System().Now() + o.Length
	var calling sync.WaitGroup
	calling.Go(func() { s.callers(ctx, until, l) })
	report := Report{Faults: s.disturb(ctx)}
	calling.Wait()
	for _, path := range lasting {
		s.checkLasting(ctx, path)
	}
	for s.fleet.Duties() < len(s.machines) && clock.System().Now() < waveEnd {
		if err := clock.System().Sleep(ctx, pollGap); err != nil {
			return Report{}, err
		}
	}
	if got, want := s.fleet.Duties(), len(s.machines); got != want {
		o.breach("%d machines of the wave have had their upkeep, want %d", got, want)
	}
	report.Accepted, report.Refused, report.Completed, report.Cancelled = l.accepted, l.refused, l.completed, l.cancelled
	report.Runs, report.Duties = s.fleet.Started(), s.fleet.Duties()
	report.Breaches = append(s.fleet.Breaches(), o.state.breaches...)
	return report, nil
}

// advance lets the runs of the workers end.
func (s *site) advance(ctx context.Context) {
	for clock.System().Sleep(ctx, standin.FleetTick) == nil {
		s.fleet.Advance()
	}
}

const lastingTasks = 2

// beginLasting hands in a job that lasts for each pool and returns their paths.
func (s *site) beginLasting(ctx context.Context) ([]string, error) {
	var paths []string
	for i, pool := range pools {
		path := fmt.Sprintf("/%s/lasting%d", pool, i)
		body := standin.JobBody(standin.Work{CPU: 500}, batch.Step{Count: lastingTasks, Need: batch.Resources{MemoryMB: taskMemory}, MayMiss: 1})
		c := clock.System()
		for until := c.Now() + submitFor; ; {
			status, content := s.ask(ctx, s.instances[0], http.MethodPost, path, body)
			if status == http.StatusOK {
				break
			}
			if c.Now() > until {
				return nil, fmt.Errorf("the site does not accept jobs: %d %s", status, content)
			}
			if err := c.Sleep(ctx, retryGap); err != nil {
				return nil, err
			}
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// checkLasting waits until all tasks of a job that lasts are at work.
func (s *site) checkLasting(ctx context.Context, path string) {
	id := path[len(path)-len("lasting0"):]
	c := clock.System()
	for until := c.Now() + settleTime; c.Now() < until; {
		if s.fleet.Running(id) == lastingTasks {
			return
		}
		if c.Sleep(ctx, pollGap) != nil {
			return
		}
	}
	s.options.breach("%d tasks of %s run, want %d", s.fleet.Running(id), path, lastingTasks)
}

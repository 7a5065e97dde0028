package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Times and limits of the injected faults and of the maintenance wave.
const (
	faultInterval       = 1000 * clock.Millis(1) // mean interval between faults
	shortFault          = 500 * clock.Millis(1)  // shortest duration of a fault
	longFault           = 4 * clock.Second       // longest duration of a fault
	longestDelay        = 5 * clock.Second       // longest delay of data through a proxy; the platform's documentation states seconds
	minLateDelay        = 2 * clock.Second       // limits of the delay of late orders, which get no answer
	maxLateDelay        = 12 * clock.Second
	longestTx           = 1500 * clock.Millis(1) // longest duration of a transaction during store-slow
	writeTimeout        = clock.Second           // longest wait for a conditional write; an owner renews its ownership every half second
	longestRollGap      = 1500 * clock.Millis(1) // longest interval between the signals to consecutive instances
	maxConcurrentFaults = 3                      // kinds of faults that are active at once
	waveAt              = 4 * clock.Second       // from the start to the request of the maintenance wave
	waveDuration        = 40 * clock.Second      // within which all machines have to have their maintenance
	waveLimit           = 2                      // machines away at once
)

// fault is one kind of fault: begin starts it and returns a description for the log and a function that ends it.
type fault struct {
	name  string
	begin func(s *site, random *rand.Rand) (what string, end func())
}

// faults lists all kinds; their order determines which one a seed draws.
// The name rack-dark stands for the loss of all workers of one rack: they crash, or their proxies drop requests, answers or both.
var faults = []fault{
	{"kill", func(s *site, random *rand.Rand) (string, func()) {
		in, when := s.actOnInstance(random, func(in *instance) { in.signal(syscall.SIGKILL) })
		in.stop(syscall.SIGKILL)
		return in.name + when, func() { s.restart(in) }
	}},
	{"kill-all", func(s *site, _ *rand.Rand) (string, func()) {
		for _, in := range s.instances {
			in.signal(syscall.SIGKILL)
		}
		for _, in := range s.instances {
			in.stop(syscall.SIGKILL)
		}
		return "all", func() {
			for _, in := range s.instances {
				s.restart(in)
			}
		}
	}},
	{"terminate", func(s *site, random *rand.Rand) (string, func()) {
		in, when := s.actOnInstance(random, func(in *instance) { in.signal(syscall.SIGTERM) })
		s.awaitTermination(in)
		return in.name + when, func() { s.restart(in) }
	}},
	{"roll", func(s *site, random *rand.Rand) (string, func()) {
		gap, killAfter := clock.Millis(random.IntN(int(longestRollGap))), random.IntN(2*len(s.instances))
		rolled := make(chan struct{})
		go func() { s.rollingRestart(gap, killAfter); close(rolled) }()
		return fmt.Sprintf("gap %d ms, kill after the signal to number %d", gap, killAfter), func() { <-rolled }
	}},
	{"freeze", func(s *site, random *rand.Rand) (string, func()) {
		in, when := s.actOnInstance(random, func(in *instance) { in.signal(syscall.SIGSTOP) })
		return in.name + when, func() { in.signal(syscall.SIGCONT) }
	}},
	{"store-path", func(s *site, random *rand.Rand) (string, func()) {
		mode, delay := drawProxyMode(random)
		in, when := s.actOnInstance(random, func(in *instance) {
			in.reachableSince.Store(unreachable)
			in.store.SetMode(mode, delay)
		})
		return fmt.Sprintf("%s%s %s", in.name, when, mode), func() {
			in.store.SetMode(standin.ProxyOpen, 0)
			in.reachableSince.Store(int64(clock.System().Now()))
		}
	}},
	{"machines-path", func(s *site, random *rand.Rand) (string, func()) {
		in := s.instances[random.IntN(len(s.instances))]
		mode, delay := drawProxyMode(random)
		in.machines.SetMode(mode, delay)
		return fmt.Sprintf("%s %s", in.name, mode), func() { in.machines.SetMode(standin.ProxyOpen, 0) }
	}},
	{"store-outage", func(s *site, random *rand.Rand) (string, func()) {
		kind := []standin.TableFault{standin.TableRejects, standin.TableLosesCall, standin.TableLosesReply, standin.TableDelays}[random.IntN(4)]
		s.reachableSince.Store(unreachable)
		s.down.Store(random.IntN(2) == 0)
		s.fault.Store(int64(kind))
		return fmt.Sprintf("transaction fault %d, reads rejected: %v", kind, s.down.Load()), func() {
			s.fault.Store(int64(standin.TableWorks))
			s.down.Store(false)
			s.reachableSince.Store(int64(clock.System().Now()))
			s.table.ApplyDelayed()
		}
	}},
	{"store-slow", func(s *site, random *rand.Rand) (string, func()) {
		slow := clock.Millis(random.IntN(int(longestTx)))
		s.slow.Store(int64(slow))
		return fmt.Sprintf("%d ms", slow), func() { s.slow.Store(0) }
	}},
	{"history-gone", func(s *site, _ *rand.Rand) (string, func()) {
		s.table.DropHistory()
		return "", func() {}
	}},
	{"worker-path", func(s *site, random *rand.Rand) (string, func()) {
		what, ends := "", []func(){}
		for range 1 + random.IntN(3) {
			machine := s.machines[random.IntN(len(s.machines))]
			proxy := s.workers[machine]
			mode, delay := drawProxyMode(random)
			proxy.SetMode(mode, delay)
			what += fmt.Sprintf("%s %s ", machine, mode)
			ends = append(ends, func() { proxy.SetMode(standin.ProxyOpen, 0) })
		}
		return what, func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"worker-crash", func(s *site, random *rand.Rand) (string, func()) {
		machine, sameID := s.machines[random.IntN(len(s.machines))], random.IntN(2) == 0
		s.crash(machine, shortFault+clock.Millis(random.IntN(3000)), sameID)
		return fmt.Sprintf("%s, same id %v", machine, sameID), func() {}
	}},
	{"rack-dark", func(s *site, random *rand.Rand) (string, func()) {
		rack, crash, sameID := random.IntN(racks), random.IntN(2) == 0, random.IntN(2) == 0
		mode := []standin.ProxyMode{standin.ProxyDropAll, standin.ProxyDropAnswers, standin.ProxyDropRequests}[random.IntN(3)]
		what := fmt.Sprintf("r%d %s", rack, mode)
		if crash {
			what = fmt.Sprintf("r%d crashes, same id %v", rack, sameID)
		}
		for i := rack; i < len(s.machines); i += racks {
			if crash {
				s.crash(s.machines[i], shortFault+clock.Millis(random.IntN(3000)), sameID)
			} else {
				s.workers[s.machines[i]].SetMode(mode, 0)
			}
		}
		return what, func() {
			for i := rack; i < len(s.machines); i += racks {
				s.workers[s.machines[i]].SetMode(standin.ProxyOpen, 0)
			}
		}
	}},
	{"late-orders", func(s *site, random *rand.Rand) (string, func()) {
		oneIn := []int64{3, 10, 50}[random.IntN(3)]
		s.late.Store(oneIn)
		return fmt.Sprintf("one order in %d", oneIn), func() { s.late.Store(0) }
	}},
}

// drawProxyMode draws a mode other than open and a delay.
func drawProxyMode(random *rand.Rand) (standin.ProxyMode, clock.Millis) {
	modes := []standin.ProxyMode{standin.ProxyDelayed, standin.ProxyReset, standin.ProxyDropAll, standin.ProxyDropAnswers, standin.ProxyDropRequests}
	return modes[random.IntN(len(modes))], clock.Millis(50 + random.IntN(int(longestDelay)))
}

// actOnInstance calls act for an instance. With equal probability that is a random one at once, or the next one that has a
// conditional write applied, between that write and its answer. If there is no such write within writeTimeout it is the random one.
func (s *site) actOnInstance(random *rand.Rand, act func(in *instance)) (in *instance, when string) {
	chosen := s.instances[random.IntN(len(s.instances))]
	if random.IntN(2) == 0 {
		act(chosen)
		return chosen, ""
	}
	done, cancel := s.onNextWrite(act)
	select {
	case in = <-done:
	case <-clock.System().After(writeTimeout):
		if cancel() {
			act(chosen)
			return chosen, " (without a conditional write in time)"
		}
		in = <-done
	}
	return in, " (after a conditional write)"
}

// onNextWrite calls act for the next instance that has a conditional write applied and sends the instance on done. cancel prevents
// that and reports false if it came too late.
func (s *site) onNextWrite(act func(in *instance)) (done <-chan *instance, cancel func() bool) {
	acted := make(chan *instance, 1)
	writeHook := func(in *instance) { act(in); acted <- in }
	s.writeHook.Store(&writeHook)
	return acted, func() bool { return s.writeHook.CompareAndSwap(&writeHook, nil) }
}

// afterWrite is called after each applied transaction of an instance. Only transactions of owners have a condition on an existing owner row.
func (s *site) afterWrite(in *instance, tx store.Transaction) {
	if !slices.ContainsFunc(tx.Conditions, func(c store.Condition) bool { return c.Key == store.OwnerKey && c.Version > 0 }) {
		return
	}
	if writeHook := s.writeHook.Swap(nil); writeHook != nil {
		(*writeHook)(in)
	}
}

// drawLateDelay draws whether an order to a worker is late, and its delay.
func (s *site) drawLateDelay(string, string) (clock.Millis, bool) {
	oneIn := s.late.Load()
	if oneIn == 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return minLateDelay + clock.Millis(s.random.IntN(int(maxLateDelay-minLateDelay))), s.random.Int64N(oneIn) == 0
}

// crash ends the incarnation of a worker and resets its connections, which loses the orders on their way to it.
func (s *site) crash(machine string, downtime clock.Millis, sameID bool) {
	s.workers[machine].SetMode(standin.ProxyReset, 0)
	s.fleet.Crash(machine, downtime, sameID)
	s.workers[machine].SetMode(standin.ProxyOpen, 0)
}

// rollingRestart terminates and restarts all instances in turn, with a gap between the signals, and does not wait for one to end
// before it signals the next. While the instance with the index killAfter terminates, the one after it is killed and restarted; if
// there is none after it, none is killed.
func (s *site) rollingRestart(gap clock.Millis, killAfter int) {
	var ending sync.WaitGroup
	defer ending.Wait()
	for i, in := range s.instances {
		in.signal(syscall.SIGTERM)
		ending.Go(func() {
			s.awaitTermination(in)
			s.restart(in)
		})
		if i == killAfter && i+1 < len(s.instances) {
			next := s.instances[i+1]
			next.stop(syscall.SIGKILL)
			s.restart(next)
		}
		_ = clock.System().Sleep(context.Background(), gap) // a background context is never cancelled
	}
}

// awaitTermination waits for the end of an instance after SIGTERM.
func (s *site) awaitTermination(in *instance) {
	if !in.wait() {
		s.options.recordViolation("%s did not end within %d s after SIGTERM", in.name, stopGrace)
	}
}

func (s *site) restart(in *instance) {
	if err := in.start(s.options); err != nil {
		s.options.recordViolation("%s could not be started: %v", in.name, err)
	}
}

// injectFaults injects faults drawn from the seed for Options.Length, at most maxConcurrentFaults at once. It returns their number
// after all of them have ended.
func (s *site) injectFaults(ctx context.Context) int {
	random := rand.New(rand.NewPCG(s.options.Seed, 2))
	c := clock.System()
	until := c.Now() + s.options.Length
	n := 0
	active := map[string]bool{} // kinds of the active faults
	ended := make(chan string, len(faults))
	waitOne := func() { delete(active, <-ended) }
	for c.Now() < until && c.Sleep(ctx, clock.Millis(float64(faultInterval)*random.ExpFloat64())) == nil {
		for len(active) >= maxConcurrentFaults || len(ended) > 0 {
			waitOne()
		}
		f := &faults[random.IntN(len(faults))]
		// A second fault of a kind would be ended by the first one, and only one fault at a time may signal processes.
		if active[f.name] || signalsProcess(f.name) && slices.ContainsFunc(slices.Collect(maps.Keys(active)), signalsProcess) {
			continue
		}
		what, end := f.begin(s, random)
		if slices.Contains(configuredAt, f.name) {
			s.operator.changeKeys() // while the fault lasts, instances miss it
		}
		duration := shortFault + clock.Millis(random.IntN(int(longFault-shortFault)))
		s.options.logf("%s %s, for %d ms", f.name, what, duration)
		n++
		active[f.name] = true
		c.AfterFunc(duration, func() { end(); ended <- f.name })
	}
	for len(active) > 0 {
		waitOne()
	}
	return n
}

// configuredAt lists the faults at whose begin keys are added and withdrawn: those that make instances learn of a configuration late.
var configuredAt = []string{"kill", "kill-all", "terminate", "roll", "freeze", "store-path", "store-outage"}

func signalsProcess(name string) bool {
	return slices.Contains([]string{"kill", "kill-all", "terminate", "roll", "freeze"}, name)
}

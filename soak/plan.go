package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

// Times of the plan.
const (
	faultGap     = 1500 * clock.Millis(1) // mean time between two faults
	shortFault   = 500 * clock.Millis(1)
	longFault    = 4 * clock.Second
	longestDelay = 5 * clock.Second // of what arrives late; the platform names seconds
	waveAt       = 4 * clock.Second
	waveWithin   = 40 * clock.Second
	waveCap      = 2
)

// fault is one kind of fault: begin starts it, and the result ends it.
type fault struct {
	name  string
	begin func(s *site, random *rand.Rand) (what string, end func())
}

// faults are all kinds, in the order in which the plan draws them.
var faults = []fault{
	{"kill", func(s *site, random *rand.Rand) (string, func()) {
		in := s.instances[random.IntN(len(s.instances))]
		in.stop(syscall.SIGKILL)
		return in.name, func() { s.restart(in) }
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
		in := s.instances[random.IntN(len(s.instances))]
		if !in.stop(syscall.SIGTERM) {
			s.options.breach("%s does not end within %d s of SIGTERM", in.name, stopGrace)
		}
		return in.name, func() { s.restart(in) }
	}},
	{"freeze", func(s *site, random *rand.Rand) (string, func()) {
		in := s.instances[random.IntN(len(s.instances))]
		in.signal(syscall.SIGSTOP)
		return in.name, func() { in.signal(syscall.SIGCONT) }
	}},
	{"store-path", func(s *site, random *rand.Rand) (string, func()) {
		in := s.instances[random.IntN(len(s.instances))]
		in.reached.Store(untouched)
		path := cut(in.store, random)
		return fmt.Sprintf("%s %s", in.name, path), func() {
			in.store.Set(standin.PathOpen, 0)
			in.reached.Store(int64(clock.System().Now()))
		}
	}},
	{"machines-path", func(s *site, random *rand.Rand) (string, func()) {
		in := s.instances[random.IntN(len(s.instances))]
		path := cut(in.machines, random)
		return fmt.Sprintf("%s %s", in.name, path), func() { in.machines.Set(standin.PathOpen, 0) }
	}},
	{"store-outage", func(s *site, random *rand.Rand) (string, func()) {
		kind := []standin.TableFault{standin.TableRejects, standin.TableLosesCall, standin.TableLosesReply, standin.TableDelays}[random.IntN(4)]
		s.reached.Store(untouched)
		s.down.Store(random.IntN(2) == 0)
		s.fault.Store(int64(kind))
		return fmt.Sprintf("kind %d, reads rejected %v", kind, s.down.Load()), func() {
			s.fault.Store(int64(standin.TableWorks))
			s.down.Store(false)
			s.reached.Store(int64(clock.System().Now()))
			s.table.Settle()
		}
	}},
	{"history-gone", func(s *site, _ *rand.Rand) (string, func()) {
		s.table.Forget()
		return "", func() {}
	}},
	{"worker-path", func(s *site, random *rand.Rand) (string, func()) {
		what, ends := "", []func(){}
		for range 1 + random.IntN(3) {
			machine := s.machines[random.IntN(len(s.machines))]
			proxy := s.workers[machine]
			what += fmt.Sprintf("%s %s ", machine, cut(proxy, random))
			ends = append(ends, func() { proxy.Set(standin.PathOpen, 0) })
		}
		return what, func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"worker-crash", func(s *site, random *rand.Rand) (string, func()) {
		machine, sameID := s.machines[random.IntN(len(s.machines))], random.IntN(2) == 0
		// What is on its way to a life that ends is lost with its connections.
		s.workers[machine].Set(standin.PathReset, 0)
		s.fleet.Crash(machine, shortFault+clock.Millis(random.IntN(3000)), sameID)
		s.workers[machine].Set(standin.PathOpen, 0)
		return fmt.Sprintf("%s, same id %v", machine, sameID), func() {}
	}},
}

// cut draws what becomes of the connections through a proxy.
func cut(proxy *standin.Proxy, random *rand.Rand) standin.Path {
	path := []standin.Path{standin.PathDelayed, standin.PathReset, standin.PathSilent, standin.PathMute}[random.IntN(4)]
	proxy.Set(path, clock.Millis(50+random.IntN(int(longestDelay))))
	return path
}

func (s *site) restart(in *instance) {
	if err := in.start(s.options); err != nil {
		s.options.breach("%s does not start: %v", in.name, err)
	}
}

// disturb carries out the plan of the seed, one fault at a time or two that overlap, until the time is over; all faults have
// ended then. It returns how many there were.
func (s *site) disturb(ctx context.Context) int {
	random := rand.New(rand.NewPCG(s.options.Seed, 2))
	c := clock.System()
	until := c.Now() + s.options.Length
	n := 0
	busy := map[string]bool{} // kinds that have not ended
	ended := make(chan string, len(faults))
	waitOne := func() { delete(busy, <-ended) }
	for c.Now() < until && c.Sleep(ctx, clock.Millis(float64(faultGap)*random.ExpFloat64())) == nil {
		for len(busy) >= 2 {
			waitOne()
		}
		f := &faults[random.IntN(len(faults))]
		// A second fault of a kind would end with the first, and a process has one signal at a time.
		if busy[f.name] || (len(busy) > 0 && onProcess(f.name) && (busy["kill"] || busy["kill-all"] || busy["terminate"] || busy["freeze"])) {
			continue
		}
		what, end := f.begin(s, random)
		last := shortFault + clock.Millis(random.IntN(int(longFault-shortFault)))
		s.options.note("%s %s, for %d ms", f.name, what, last)
		n++
		busy[f.name] = true
		c.AfterFunc(last, func() { end(); ended <- f.name })
	}
	for len(busy) > 0 {
		waitOne()
	}
	return n
}

func onProcess(name string) bool {
	return name == "kill" || name == "kill-all" || name == "terminate" || name == "freeze"
}

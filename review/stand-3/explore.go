package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"magnoliaferry/standin"
)

func init() { plays["explore"] = playExplore }

func playExplore(ctx context.Context, s *site, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kind := os.Getenv("KIND")
	random := rand.New(rand.NewPCG(seed, 5))
	q := &queue{Name: "r-puxa400", Prefix: "/puxa400/", Service: "huvo11a", MaxAttempts: 3}
	adv := &queue{Name: "r-adv", Prefix: "/adv/", Service: "huvo11a", MaxAttempts: 3, Advised: true}
	if err := s.addWorkers(ctx, q.Service, 8000, "a", "a", "a", "b", "a", "b", "a", "a", "a", "b", "a", "a"); err != nil {
		return err
	}
	other := &queue{Name: "r-other", Prefix: "/other/", Service: "kafi81c", Priority: 1, MaxAttempts: 2}
	queues := []*queue{q, adv}
	if os.Getenv("MOVES") != "" {
		s.spare = true
		queues = append(queues, other)
		if err := s.addWorkers(ctx, other.Service, 8000, "a", "a", "a", "a", "a", "a"); err != nil {
			return err
		}
		if err := s.addWorkers(ctx, standbyPool, 8000, "a", "b", "a", "a"); err != nil {
			return err
		}
	}
	s.configure(queues...)
	if err := s.addInstances(ctx, 3+len(queues)-2); err != nil {
		return err
	}
	if err := s.awaitReady(q.Service, 20*time.Second); err != nil {
		return err
	}
	stopAt := s.record.now() + 45000
	if s.spare {
		var due []string
		for i, w := range s.workers {
			if i%2 == 0 {
				due = append(due, w.machine)
			}
		}
		s.startWave(1, 2, due...)
		defer s.checkWave(1, due)
	}
	var jobs []*job
	var mu sync.Mutex
	var wait sync.WaitGroup
	n := 0
	if trouble {
		wait.Go(func() { disturb(ctx, s, kind, rand.New(rand.NewPCG(seed, 6)), q.Service, stopAt) })
	}
	for s.record.now() < stopAt && ctx.Err() == nil {
		n++
		j := &job{ID: newID(n), queue: q}
		if random.IntN(5) == 0 {
			j.queue = adv
		}
		if s.spare && (n/25)%2 == 0 {
			j.queue = other
		}
		fail := 0
		if random.IntN(4) == 0 {
			fail = 1 + random.IntN(3)
		}
		j.Spec = spec(200+random.Int64N(1800), fail)
		steps := 1 + random.IntN(3)
		for i := range steps {
			st := step{Count: 1 + random.IntN(4), CPU: 500 + random.IntN(2500), Memory: 256, Estimated: 800}
			if i > 0 {
				st.After = []int{i - 1}
			}
			kind := random.IntN(8)
			if j.queue != q && kind == 3 {
				kind = 7
			}
			switch kind {
			case 0, 1, 2:
				st.Gang, st.Count, st.CPU = true, 2+random.IntN(4), 1000+random.IntN(2000)
			case 3:
				st.Label = "b"
			case 4:
				st.MaxPerServer = 1
			case 5:
				st.AllowDuplicates = true
			}
			st.Checkpointing = random.IntN(2) == 0
			j.Steps = append(j.Steps, st)
		}
		if random.IntN(12) == 0 {
			j.Spec, j.Steps = spec(0, 0), []step{{Count: 2 + random.IntN(3), CPU: 1000, Memory: 256, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}
		} else if random.IntN(5) == 0 {
			j.MaxRuns, j.StartAt, j.Interval = 2+random.IntN(2), time.Now().UnixMilli()+500, 1500
		}
		cancel := random.IntN(10) == 0 || j.Steps[0].LongRunning
		cancelAfter := time.Duration(random.IntN(2500)) * time.Millisecond
		if j.Steps[0].LongRunning {
			cancelAfter *= 6
		}
		first := random.IntN(3)
		wait.Go(func() {
			if !s.submit(j, first) {
				return
			}
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			if cancel {
				pause(ctx, cancelAfter)
				s.cancel(j, first+1)
			}
		})
		pause(ctx, time.Duration(150+random.IntN(250))*time.Millisecond)
	}
	wait.Wait()
	s.record.line("traffic and disturbances have ended, %d jobs", len(jobs))
	end := s.record.now() + 25000
	for s.record.now() < end && ctx.Err() == nil {
		pause(ctx, time.Second)
		open := 0
		for _, j := range jobs {
			if _, state := s.state(j, 0); state == "pending" || state == "running" {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	for i, j := range jobs {
		status, state := s.state(j, i)
		var w work
		_, _ = fmt.Sscanf(j.Spec, `{"ms":%d,"fail":%d}`, &w.Millis, &w.Fail)
		switch {
		case j.cancelledAt != 0:
		case state == "completed":
			for st := range j.Steps {
				for k := range j.runs() {
					for x := range j.Steps[st].Count {
						if !j.done[nameOf(j.ID, k, st, x)] {
							s.record.breach("MIXED", "%s is shown as completed, and %s has not ended done", j.ID, nameOf(j.ID, k, st, x))
						}
					}
				}
			}
		case state == "failed" && w.Fail >= j.queue.MaxAttempts:
		default:
			s.record.breach("LOST", "%s is shown as %d %q, fail %d", j.ID, status, state, w.Fail)
		}
	}
	return nil
}

// checkWave checks that a wave that is said to be completed is.
func (s *site) checkWave(wave int64, due []string) {
	said := ""
	for _, row := range s.table.Rows("status") {
		if row.Key == fmt.Sprintf("wave/%d", wave) {
			said = string(row.Value)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := 0
	for _, w := range s.workers {
		if w.kept[wave] {
			begun++
		}
	}
	s.record.line("wave %d: %s, %d of %d have begun", wave, said, begun, len(due))
	if strings.Contains(said, "completed") && begun < len(due) {
		s.record.breach("MIXED", "wave %d is said to be completed, and %d of %d machines have begun", wave, begun, len(due))
	}
}

// disturb brings about disturbances one after another until the time.
func disturb(ctx context.Context, s *site, kind string, random *rand.Rand, pool string, until int64) {
	pause(ctx, 2*time.Second)
	for s.record.now() < until-8000 && ctx.Err() == nil {
		k := kind
		if s.spare && random.IntN(2) == 0 {
			pool = ""
		}
		if k == "" || k == "mix" {
			k = []string{"kill", "stop", "cut", "late", "crash", "term", "mute", "wcut", "wmute", "wcut2", "shed", "silent"}[random.IntN(12)]
		}
		in := s.owner(pool)
		if in == nil {
			in = s.instances[0]
		}
		switch k {
		case "kill", "term":
			sig := syscall.SIGKILL
			if k == "term" {
				sig = syscall.SIGTERM
			}
			s.signal(in, sig)
			<-in.ended
			pause(ctx, time.Duration(200+random.IntN(1500))*time.Millisecond)
			_ = s.start(in)
		case "stop":
			s.signal(in, syscall.SIGSTOP)
			pause(ctx, time.Duration(1000+random.IntN(3500))*time.Millisecond)
			s.signal(in, syscall.SIGCONT)
		case "cut":
			s.record.line("%s is cut off from the store", in.name)
			in.store.SetMode(standin.ProxyDropAll, 0)
			pause(ctx, time.Duration(2000+random.IntN(3500))*time.Millisecond)
			in.store.SetMode(standin.ProxyReset, 0)
			in.store.SetMode(standin.ProxyOpen, 0)
		case "mute":
			s.record.line("%s gets no answers of the store", in.name)
			in.store.SetMode(standin.ProxyDropAnswers, 0)
			pause(ctx, time.Duration(1000+random.IntN(3500))*time.Millisecond)
			in.store.SetMode(standin.ProxyReset, 0)
			in.store.SetMode(standin.ProxyOpen, 0)
		case "silent":
			s.silenceAll()
		case "late":
			s.mu.Lock()
			s.lateShare = 0.2
			s.mu.Unlock()
			pause(ctx, 5500*time.Millisecond)
			s.mu.Lock()
			s.lateShare = 0
			s.mu.Unlock()
		case "wcut", "wmute", "wcut2", "shed":
			some := []*worker{s.workers[random.IntN(len(s.workers))]}
			if k != "wcut" {
				some = append(some, s.workers[random.IntN(len(s.workers))])
			}
			set := func(on bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, w := range some {
					s.record.line("worker %s: %s %t", w.id, k, on)
					switch k {
					case "wmute":
						w.mute = on
					case "shed":
						w.shed = on
					default:
						w.dark = on
					}
				}
			}
			set(true)
			pause(ctx, time.Duration(1500+random.IntN(7500))*time.Millisecond)
			set(false)
		case "crash":
			w := s.workers[random.IntN(len(s.workers))]
			s.mu.Lock()
			w.crash()
			s.mu.Unlock()
			pause(ctx, time.Duration(100+random.IntN(2500))*time.Millisecond)
			s.mu.Lock()
			w.boot(w.kind)
			s.mu.Unlock()
		}
		pause(ctx, time.Duration(500+random.IntN(2500))*time.Millisecond)
	}
}

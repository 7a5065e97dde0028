package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/result"
)

// Guards against a key that runs twice or never, because of a race between callers, batch writers and other stores
// while answers of the table are lost.
func TestConcurrentStoresRunEachKeyOnce(t *testing.T) {
	const keys = 200
	faults := &fault.Injector{}
	p := memory.New(clock.System(), faults)
	ctx, cancel := context.WithCancel(context.Background())
	var runs [keys]atomic.Int32
	var writers, callers sync.WaitGroup
	for _, holder := range []string{"a", "b", "c"} {
		s := newInstance(p, holder, 1)
		s.Interval, s.Timeout = 1, clock.Hour // a short timeout could expire on a busy machine and count as an outage
		writers.Go(func() { _ = s.Run(ctx) })
		for range 4 {
			callers.Go(func() {
				for i := range keys {
					if i%20 == 0 {
						faults.Next(memory.StepCommit, fault.LoseAnswer, 1)
					}
					d, err := s.Claim(ctx, "c", fmt.Sprint(i), p.Clock.Now()+clock.Hour)
					if err != nil {
						continue
					}
					if permit, ok := d.Permit(); ok && permit.Use() == nil {
						runs[i].Add(1)
						permit.Finish(NewAnswer(200, nil, nil))
					}
				}
			})
		}
	}
	callers.Wait()
	cancel()
	writers.Wait()
	for i := range runs {
		if got := runs[i].Load(); got != 1 {
			t.Errorf("runs of key %d got %d, want 1", i, got)
		}
	}
}

// BenchmarkClaim measures the time from the claim of a new key to the permit to dispatch it, in one claim store that
// also records answers of 512 bytes.
func BenchmarkClaim(b *testing.B) {
	for _, test := range []struct {
		name  string
		kind  fault.Kind
		delay clock.Millis
	}{
		{"healthy", fault.None, 0}, {"slow-20ms", fault.Slow, 20}, {"slow-200ms", fault.Slow, 200},
		{"answers-lost", fault.LoseAnswer, 0}, {"down", fault.Down, 0},
	} {
		for _, load := range []struct {
			callers int
			pause   clock.Millis // of each caller between two requests
		}{{1, 200}, {80, 0}} {
			b.Run(fmt.Sprintf("%s/callers-%d", test.name, load.callers), func(b *testing.B) {
				benchmarkClaim(b, test.kind, test.delay, load.callers, load.pause)
			})
		}
	}
}

func benchmarkClaim(b *testing.B, kind fault.Kind, delay clock.Millis, callers int, pause clock.Millis) {
	faults := &fault.Injector{}
	p := memory.New(clock.System(), faults)
	s := newInstance(p, "a", 1)
	ctx, cancel := context.WithCancel(context.Background())
	var writer, all sync.WaitGroup
	writer.Go(func() { _ = s.Run(ctx) })
	if kind != fault.None {
		faults.Always(memory.StepCommit, kind, delay)
		if kind == fault.Slow || kind == fault.Down {
			faults.Always(memory.StepRead, kind, delay)
		}
	}
	var next, refused atomic.Int64
	waits := make([]clock.Millis, b.N)
	b.ResetTimer()
	for range callers {
		all.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := p.Clock.Now()
				d, err := s.Claim(ctx, "c", fmt.Sprint(i), start+30*clock.Second)
				waits[i-1] = p.Clock.Now() - start
				var refusal *result.Refusal
				if errors.As(err, &refusal) {
					refused.Add(1)
				} else if permit, ok := d.Permit(); ok && permit.Use() == nil {
					permit.Finish(NewAnswer(200, nil, make([]byte, 512)))
				}
				if pause > 0 {
					_ = p.Clock.Sleep(ctx, pause)
				}
			}
		})
	}
	all.Wait()
	b.StopTimer()
	cancel()
	writer.Wait()
	_, transactions := p.Counts()
	slices.Sort(waits)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(transactions)/float64(b.N), "tx/claim")
	b.ReportMetric(float64(transactions)/b.Elapsed().Seconds(), "tx/s")
	b.ReportMetric(float64(waits[len(waits)/2]), "ms-p50")
	b.ReportMetric(float64(waits[len(waits)*99/100]), "ms-p99")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
}

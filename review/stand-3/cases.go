package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// Bounds of a small deployment in milliseconds.
const (
	stabilityMillis   = 3000
	configApplyMillis = 2000
	finishMillis      = 14000
	idleMillis        = 3000 // for which a job may have nothing running
)

func init() {
	plays["odd-entry"] = playOddEntry
	plays["reborn-label"] = playRebornLabel
	plays["silent-channels"] = playSilentChannels
	plays["silent-advisor"] = playSilentAdvisor
}

// onlyOneB are the kinds of twelve workers, of which one has the label that the jobs of a play require.
var onlyOneB = []string{"a", "a", "a", "b", "a", "a", "a", "a", "a", "a", "a", "a"}

// spec returns the spec of a job with tasks of the given length.
func spec(millis int64, fail int) string {
	encoded, _ := json.Marshal(work{Millis: millis, Fail: fail}) // of plain values
	return string(encoded)
}

// newID returns the id of the job with the number: 16 hexadecimal digits.
func newID(n int) string { return fmt.Sprintf("%08x%08x", 0x5c0e7a21+n*7919, n) }

// pause waits, and returns early at the end of the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// startSite starts one pool with workers of the given kinds, and two instances.
func startSite(ctx context.Context, s *site, q *queue, instances int, kinds ...string) error {
	if err := s.addWorkers(ctx, q.Service, 16000, kinds...); err != nil {
		return err
	}
	s.configure(q)
	if err := s.addInstances(ctx, instances); err != nil {
		return err
	}
	if err := s.awaitReady(q.Service, 20*time.Second); err != nil {
		return err
	}
	pause(ctx, 2*time.Second) // the owner gets to know the workers
	return ctx.Err()
}

// playRebornLabel has one of twelve workers crash and start again as another kind under its id, while it does not reach the store.
func playRebornLabel(ctx context.Context, s *site, trouble bool) error {
	q := &queue{Name: "r-puxa400", Prefix: "/puxa400/", Service: "huvo11a", MaxAttempts: 3}
	if err := startSite(ctx, s, q, 3, onlyOneB...); err != nil {
		return err
	}
	w := s.workers[3]
	n := 0
	submit := func() error {
		n++
		j := &job{ID: newID(n), queue: q, Spec: spec(300, 0), Steps: []step{{Count: 1, CPU: 1000, Memory: 256, Estimated: 300, Label: "b"}}}
		if !s.submit(j, n) {
			return fmt.Errorf("job %s was not accepted", j.ID)
		}
		return nil
	}
	if err := submit(); err != nil {
		return err
	}
	pause(ctx, time.Second)
	cutAt := s.record.now()
	if trouble {
		s.mu.Lock()
		s.record.line("worker %s is cut off from the store for 5 s, not from the instances, and crashes", w.id)
		w.storeCut = true
		w.crash()
		s.mu.Unlock()
		pause(ctx, 300*time.Millisecond)
		s.mu.Lock()
		w.boot("a")
		s.mu.Unlock()
	}
	for s.record.now()-cutAt < 4000 { // the entry is removed after three intervals of silence
		if err := submit(); err != nil {
			return err
		}
		pause(ctx, 300*time.Millisecond)
	}
	s.mu.Lock()
	if w.storeCut {
		s.table.Delete("servers", w.id)
		s.record.line("the entry of %s is removed after three intervals of silence", w.id)
	}
	s.mu.Unlock()
	pause(ctx, time.Second)
	s.mu.Lock()
	w.storeCut = false
	s.mu.Unlock()
	pause(ctx, 2*time.Second)
	return nil
}

// playSilentChannels has all open connections between the instances and the store go silent, while new ones work. A route is added once the
// instances count as in touch again.
func playSilentChannels(ctx context.Context, s *site, trouble bool) error {
	const (
		jobs       = 80 // handed in at once, as a surge begins
		checkTime  = 4 * time.Second
		checkPause = 100 * time.Millisecond
	)
	q := &queue{Name: "r-puxa400", Prefix: "/puxa400/", Service: "huvo11a", MaxAttempts: 3}
	if err := startSite(ctx, s, q, 4, onlyOneB...); err != nil {
		return err
	}
	var wait sync.WaitGroup
	for n := range jobs {
		j := &job{ID: newID(n), queue: q, Spec: spec(500, 0), Steps: []step{{Count: 1, CPU: 1000, Memory: 256, Estimated: 500}}}
		wait.Go(func() { s.submit(j, n) })
	}
	wait.Wait()
	pause(ctx, 3*time.Second)
	if trouble {
		for _, in := range s.instances {
			s.record.line("%d open connections of %s to the store go silent", in.open.silence(), in.name)
		}
	}
	silentAt := s.record.now()
	pause(ctx, (stabilityMillis+50)*time.Millisecond)
	added := &queue{Name: "r-bobo563", Prefix: "/bobo563/", Service: "huvo11a", MaxAttempts: 3}
	s.configure(q, added)
	ackAt := s.record.now()
	pause(ctx, configApplyMillis*time.Millisecond)
	for end := time.Now().Add(checkTime); time.Now().Before(end); pause(ctx, checkPause) {
		for _, in := range s.instances {
			sentAt := s.record.now()
			if status, _ := s.call(in, "GET", added.Prefix, nil); status == 404 && sentAt > ackAt+configApplyMillis {
				s.record.breach("CONFIG", "%s refuses a request with 404 that was sent %d ms after the ack of the version with its route, %d ms after the connections went silent", in.name, sentAt-ackAt, sentAt-silentAt)
			}
		}
	}
	return ctx.Err()
}

// playSilentAdvisor has all open connections of the instances go silent, while new ones work, and hands in a job for which the advisor is asked.
func playSilentAdvisor(ctx context.Context, s *site, trouble bool) error {
	const warm = 16 // jobs before the silence
	q := &queue{Name: "r-puxa400", Prefix: "/puxa400/", Service: "huvo11a", MaxAttempts: 3, Advised: true}
	if err := startSite(ctx, s, q, 4, onlyOneB...); err != nil {
		return err
	}
	newJob := func(n int) *job {
		return &job{ID: newID(n), queue: q, Spec: spec(500, 0), Steps: []step{{Count: 2, CPU: 2000, Memory: 256, Estimated: 500}}}
	}
	var wait sync.WaitGroup
	for n := range warm {
		wait.Go(func() { s.submit(newJob(n), n) })
	}
	wait.Wait()
	pause(ctx, 5*time.Second)
	if trouble {
		s.silenceAll()
	}
	silentAt := s.record.now()
	pause(ctx, (stabilityMillis+50)*time.Millisecond)
	j := newJob(warm)
	for !s.submit(j, warm) {
		if s.record.now()-silentAt > 20000 {
			return fmt.Errorf("the job was not accepted")
		}
	}
	accepted := s.record.now()
	for s.record.now()-accepted < finishMillis+idleMillis && ctx.Err() == nil {
		s.mu.Lock()
		begun := j.begun
		s.mu.Unlock()
		if begun {
			s.record.line("job %s has begun %d ms after its acceptance", j.ID, s.record.now()-accepted)
			break
		}
		pause(ctx, 50*time.Millisecond)
	}
	s.mu.Lock()
	begun := j.begun
	s.mu.Unlock()
	if !begun {
		_, state := s.state(j, warm)
		s.record.breach("LOST", "%s is shown as %q and has had nothing running for %d ms after the end of the traffic, while all workers are idle; the connections went silent %d ms ago",
			j.ID, state, s.record.now()-accepted, s.record.now()-silentAt)
	}
	for s.record.now()-accepted < 35000 && ctx.Err() == nil {
		if _, state := s.state(j, warm); state == "completed" {
			break
		}
		pause(ctx, time.Second)
	}
	s.record.line("job %s was followed for %d ms", j.ID, s.record.now()-accepted)
	return ctx.Err()
}

// playOddEntry has another writer leave one entry with fields missing among those of the workers. It names the machine of a worker.
func playOddEntry(ctx context.Context, s *site, trouble bool) error {
	q := &queue{Name: "r-puxa400", Prefix: "/puxa400/", Service: "huvo11a", MaxAttempts: 3}
	if err := startSite(ctx, s, q, 3, onlyOneB...); err != nil {
		return err
	}
	var jobs []*job
	for n := range 6 {
		j := &job{ID: newID(n), queue: q, Spec: spec(4000, 0), Steps: []step{{Count: 4, CPU: 4000, Memory: 256, Estimated: 4000}}}
		if !s.submit(j, n) {
			return fmt.Errorf("job %s was not accepted", j.ID)
		}
		jobs = append(jobs, j)
	}
	pause(ctx, time.Second)
	if trouble {
		s.mu.Lock()
		busiest := s.workers[0]
		for _, w := range s.workers {
			if len(w.runs) > len(busiest.runs) {
				busiest = w
			}
		}
		// The fields zone, version, slots, coldRemainingMs, labels, clockMs and sequence are missing.
		entry, _ := json.Marshal(map[string]any{"service": q.Service, "address": "127.0.0.1:9", "state": "ready", "machine": busiest.machine,
			"born": time.Now().UnixMilli(), "capacity": map[string]int{"cpu": 100, "memMb": 64, "gpus": 0}}) // of plain values
		s.record.line("another writer puts servers/agent-1: %s; worker %s on that machine has %d runs", entry, busiest.id, len(busiest.runs))
		s.table.Put("servers", "agent-1", entry)
		s.mu.Unlock()
	}
	pause(ctx, 12*time.Second)
	for n, j := range jobs {
		s.state(j, n)
	}
	return ctx.Err()
}

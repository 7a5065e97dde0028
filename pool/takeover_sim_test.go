package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// Intervals and timeouts of an owner and of its calls, as in the packages daemon and platform.
const (
	modelPlanPeriod       = 10 * clock.Millis(1)
	modelIdlePeriod       = 50 * clock.Millis(1)
	modelCommitPeriod     = 20 * clock.Millis(1)
	modelReportPeriod     = 100 * clock.Millis(1)
	modelRenewPeriod      = 500 * clock.Millis(1)
	modelOwnershipTimeout = 3 * clock.Second
	modelLeaseSlack       = 300 * clock.Millis(1)
	modelLeaseDriftDiv    = 30
	modelTakeoverMin      = 1 * clock.Second
	modelStartTimeout     = AnswerTimeout
	modelOrderTimeout     = 700 * clock.Millis(1)
	modelHoldSlack        = AnswerTimeout // beyond the time that the worker waits for an end
	modelCommitRetry      = 930 * clock.Millis(1)
	modelHoldLimit        = 2 * clock.Second
)

// longestLease is the longest lease that simulated workers grant; instances ask for at most MaxLease.
const longestLease = 8 * clock.Second

// sim simulates a pool with workers, a store, and the instances that own the pool one after another, in steps of 1 ms.
type sim struct {
	t         *testing.T
	random    *rand.Rand
	options   simOptions
	now       clock.Millis
	calls     callQueue
	workers   map[string]*simWorker
	workerIDs []string                // of all workers, in the order in which they were added
	listed    map[string]batch.Worker // worker entries in the store

	rows           map[string][]byte // progress of jobs, as stored
	jobStates      map[string]batch.State
	report         []byte
	version        int64  // of the row that names the owner; the newest token
	holder         *owner // owner that the row names
	rowChanged     clock.Millis
	released       bool
	ownedFor       clock.Millis // how long the owner that released the pool had owned it
	storeSlowUntil clock.Millis // until when the store is slow
	noClaimBefore  clock.Millis // no instance claims the pool before

	jobs       []*batch.Job
	defs       map[string]*batch.Job
	cancelled  map[string]bool
	owners     []*owner // all so far, the current one last
	nextLinks  map[string]link
	endHistory *endHistory
	length     func(task string) clock.Millis
	noFaults   bool
	routes     routes
	// configuration is the one in force.
	configuration *batch.Configuration
	customerCap   *fixedCap // of each customer; nil: none
	trace         []string
}

// simOptions selects the faults of a simulation.
type simOptions struct {
	noFaults                  bool // only those that a test injects
	lateToNewIncarnation      bool // delayed orders are carried out even if the worker has restarted meanwhile
	inTransitToNewIncarnation bool // orders in transit are carried out even if the worker restarts meanwhile
	sameID                    bool // workers restart under the same ID
	incarnationInReplies      bool // answers to starts contain the incarnation, as lists always do
	labels                    bool // machines with an odd number have the label b instead of a
	earlyRelease              bool // an owner may release the pool while the one before it can still act
}

type link int

const (
	open        link = iota
	cut              // nothing arrives
	answersLost      // orders are carried out, but their answers are lost
)

type queuedCall struct {
	at     clock.Millis
	number int
	do     func()
}

// callQueue holds scheduled calls, ordered by time and, within a millisecond, by insertion.
type callQueue struct {
	calls  []queuedCall
	number int
}

func (q *callQueue) Len() int { return len(q.calls) }
func (q *callQueue) Less(a, b int) bool {
	if q.calls[a].at != q.calls[b].at {
		return q.calls[a].at < q.calls[b].at
	}
	return q.calls[a].number < q.calls[b].number
}
func (q *callQueue) Swap(a, b int) { q.calls[a], q.calls[b] = q.calls[b], q.calls[a] }
func (q *callQueue) Push(c any)    { q.calls = append(q.calls, c.(queuedCall)) }
func (q *callQueue) Pop() any {
	last := q.calls[len(q.calls)-1]
	q.calls = q.calls[:len(q.calls)-1]
	return last
}

func newSim(t *testing.T, random *rand.Rand, workers int, options simOptions) *sim {
	s := &sim{t: t, random: random, options: options, now: 20 * clock.Second, workers: map[string]*simWorker{}, listed: map[string]batch.Worker{},
		rows: map[string][]byte{}, jobStates: map[string]batch.State{}, version: 10, defs: map[string]*batch.Job{}, cancelled: map[string]bool{},
		nextLinks: map[string]link{}, endHistory: newEndHistory(), routes: routes{}, length: func(string) clock.Millis { return 500 }}
	s.noFaults = options.noFaults
	s.configure(routeConfiguration(1, testPool))
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		s.startIncarnation(id, "m-"+id, s.now-clock.Millis(random.IntN(15000)))
		s.listed[id] = s.workers[id].entry
	}
	s.claim(false)
	return s
}

func (s *sim) tracef(format string, values ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%d ", s.now)+fmt.Sprintf(format, values...))
}

// failf fails the test with a message and the trace lines that contain any of the words.
func (s *sim) failf(words []string, format string, values ...any) {
	s.t.Helper()
	var lines []string
	for _, line := range s.trace {
		for _, word := range words {
			if strings.Contains(line, word) {
				lines = append(lines, line)
				break
			}
		}
	}
	s.t.Fatalf("%d ms: %s\n%s", s.now, fmt.Sprintf(format, values...), strings.Join(lines[max(0, len(lines)-*traceLines):], "\n"))
}

func (s *sim) after(wait clock.Millis, do func()) {
	s.calls.number++
	heap.Push(&s.calls, queuedCall{s.now + wait, s.calls.number, do})
}

// run advances the simulation.
func (s *sim) run(d clock.Millis) {
	for end := s.now + d; s.now < end; {
		s.now++
		for len(s.calls.calls) > 0 && s.calls.calls[0].at <= s.now {
			heap.Pop(&s.calls).(queuedCall).do()
		}
		for _, name := range s.workerIDs {
			s.workers[name].advance()
		}
		for _, o := range s.owners {
			o.advance()
		}
		s.takeOver()
	}
}

// takeOver lets another instance claim the pool once the row of its owner has not changed for the takeover time.
func (s *sim) takeOver() {
	silent := s.now - s.rowChanged
	if s.now < s.noClaimBefore || !s.released && silent <= modelTakeoverMin {
		return
	}
	if s.released && silent < 20 {
		return
	}
	s.claim(true)
}

func (s *sim) claim(existed bool) {
	before, released := s.rowChanged+s.randomMillis(0, 60), s.released
	ownedFor := s.ownedFor
	before = min(before, s.now)
	s.version += 1 + int64(s.random.IntN(3))
	o := &owner{sim: s, name: fmt.Sprintf("o%d", len(s.owners)), version: s.version, claimed: s.now, renewed: s.now, links: map[string]link{}}
	for id, l := range s.nextLinks {
		o.links[id] = l
	}
	if !s.noFaults && s.oneIn(5) {
		o.storeCutUntil = s.now + s.randomMillis(300, 5000)
	}
	if !s.noFaults && s.oneIn(4) {
		o.links[s.workerIDs[s.random.IntN(len(s.workerIDs))]] = cut
	}
	s.holder, s.rowChanged, s.released = o, s.now, false
	s.noClaimBefore = s.now + s.randomMillis(50, 600) // no takeover just after a claim
	s.owners = append(s.owners, o)
	s.tracef("owner %s claims under %d, existed %v released %v", o.name, o.version, existed, released)
	s.after(s.randomMillis(20, 200), func() {
		if !o.dead {
			o.load(existed, before, released, ownedFor)
		}
	})
}

func (s *sim) randomMillis(low, high int) clock.Millis {
	return clock.Millis(low + s.random.IntN(high-low+1))
}

func (s *sim) oneIn(part int) bool { return s.random.IntN(part) == 0 }

func (s *sim) submit(job *batch.Job) {
	job.Accepted = s.now
	s.jobs = append(s.jobs, job)
	s.defs[job.ID] = job
	s.jobStates[job.ID] = batch.Pending
	for _, o := range s.owners {
		o.enqueue(s.randomMillis(2, 60), func() {
			if !o.scheduler.HasJob(job.ID) {
				o.scheduler.AddJob(job, nil, false)
			}
		})
	}
}

func (s *sim) configure(c *batch.Configuration) {
	s.configuration = c
	s.routes.add(c)
	for _, o := range s.owners {
		o.enqueue(s.randomMillis(2, 60), func() { o.scheduler.Configure(c) })
	}
}

func (s *sim) cancel(id string) {
	s.cancelled[id] = true
	for _, o := range s.owners {
		o.enqueue(s.randomMillis(2, 60), func() { o.scheduler.Cancel(id) })
	}
}

// publish delivers the current entry of a worker, or its removal, to the instances.
func (s *sim) publish(id string) {
	h := s.workers[id]
	entry, there := batch.Worker{}, false
	if h != nil && h.up {
		entry, there = h.entry, true
	}
	s.deliverEntry(id, entry, there)
}

// deliverEntry writes or removes an entry, and delivers it to the instances.
func (s *sim) deliverEntry(id string, entry batch.Worker, there bool) {
	if there {
		s.listed[id] = entry
	} else {
		delete(s.listed, id)
	}
	for _, o := range s.owners {
		o.enqueue(s.randomMillis(2, 100), func() {
			if there {
				o.scheduler.SetWorker(entry)
			} else {
				o.scheduler.RemoveWorker(id)
			}
		})
	}
}

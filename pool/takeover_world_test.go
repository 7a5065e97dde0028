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

// Times of an owner and of its calls, as the packages daemon and platform have them.
const (
	modelPlanPeriod    = 10 * clock.Millis(1)
	modelIdlePeriod    = 50 * clock.Millis(1)
	modelCommitPeriod  = 20 * clock.Millis(1)
	modelReportPeriod  = 100 * clock.Millis(1)
	modelRenewPeriod   = 500 * clock.Millis(1)
	modelActLimit      = 3 * clock.Second
	modelLeaseSlack    = 300 * clock.Millis(1)
	modelLeaseDriftDiv = 30
	modelTakeover      = 1 * clock.Second
	modelStartTimeout  = AnswerTimeout
	modelOrderTimeout  = 700 * clock.Millis(1)
	modelHoldSlack     = AnswerTimeout // beyond the time that the worker waits for an end
	modelCommitRetry   = 930 * clock.Millis(1)
	modelHoldLimit     = 2 * clock.Second
)

// longestLease is the longest lease that workers of a site grant; instances ask for at most MaxLease.
const longestLease = 8 * clock.Second

// site is a pool with workers, a store, and the instances that own the pool one after another. It runs in steps of 1 ms.
type site struct {
	t      *testing.T
	random *rand.Rand
	plan   sitePlan
	now    clock.Millis
	calls  callQueue
	hosts  map[string]*host
	names  []string                // of all hosts, in the order in which they came
	listed map[string]batch.Worker // what the store says of the workers

	rows     map[string][]byte // progress of jobs, as stored
	board    map[string]batch.State
	report   []byte
	version  int64  // of the row that names the owner; the newest token
	holder   *owner // that the row names
	changed  clock.Millis
	released bool
	held     clock.Millis // how long the owner that released the pool had it
	slow     clock.Millis // until when the store is slow
	cautious clock.Millis // no instance claims before

	jobs      []*batch.Job
	defs      map[string]*batch.Job
	cancelled map[string]bool
	owners    []*owner // all that were, the present one last
	nextLinks map[string]link
	ledger    *ledger
	length    func(task string) clock.Millis
	calm      bool
	routes    routes
	// configuration is the one in force.
	configuration *batch.Configuration
	trace         []string
}

// sitePlan tells which troubles a site has.
type sitePlan struct {
	calm           bool // none but those that a test makes
	lateToNewLife  bool // late orders are carried out by a worker that has restarted under their id meanwhile
	quickToNewLife bool // so are those that are on their way when it restarts
	sameID         bool // workers restart under their id
	bornInReplies  bool // answers to starts tell the life, as lists always do
	labels         bool // the machines with an odd number have the label b instead of a
	earlyRelease   bool // an owner may release the pool while the one before it still acts
}

type link int

const (
	open link = iota
	cut       // nothing arrives
	mute      // orders are carried out, answers get lost
)

type queuedCall struct {
	at     clock.Millis
	number int
	do     func()
}

// callQueue holds what happens later, in the order of time and, within a millisecond, in that in which it was put.
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

func newSite(t *testing.T, random *rand.Rand, hosts int, plan sitePlan) *site {
	s := &site{t: t, random: random, plan: plan, now: 20 * clock.Second, hosts: map[string]*host{}, listed: map[string]batch.Worker{},
		rows: map[string][]byte{}, board: map[string]batch.State{}, version: 10, defs: map[string]*batch.Job{}, cancelled: map[string]bool{},
		nextLinks: map[string]link{}, ledger: newLedger(), routes: routes{}, length: func(string) clock.Millis { return 500 }}
	s.calm = plan.calm
	s.configure(version(1, testPool))
	for i := range hosts {
		id := fmt.Sprintf("w%d", i)
		s.startLife(id, "m-"+id, s.now-clock.Millis(random.IntN(15000)))
		s.listed[id] = s.hosts[id].entry
	}
	s.claim(false)
	return s
}

func (s *site) note(format string, values ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%d ", s.now)+fmt.Sprintf(format, values...))
}

// fail ends the test with a broken rule and what was noted of the words given.
func (s *site) fail(words []string, format string, values ...any) {
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

func (s *site) after(wait clock.Millis, do func()) {
	s.calls.number++
	heap.Push(&s.calls, queuedCall{s.now + wait, s.calls.number, do})
}

// run advances the site.
func (s *site) run(d clock.Millis) {
	for end := s.now + d; s.now < end; {
		s.now++
		for len(s.calls.calls) > 0 && s.calls.calls[0].at <= s.now {
			heap.Pop(&s.calls).(queuedCall).do()
		}
		for _, name := range s.names {
			s.hosts[name].advance()
		}
		for _, o := range s.owners {
			o.advance()
		}
		s.elect()
	}
}

// elect has another instance take the pool once the row of its owner stays unchanged.
func (s *site) elect() {
	silent := s.now - s.changed
	if s.now < s.cautious || !s.released && silent <= modelTakeover {
		return
	}
	if s.released && silent < 20 {
		return
	}
	s.claim(true)
}

func (s *site) claim(existed bool) {
	before, released := s.changed+s.span(0, 60), s.released
	held := s.held
	before = min(before, s.now)
	s.version += 1 + int64(s.random.IntN(3))
	o := &owner{site: s, name: fmt.Sprintf("o%d", len(s.owners)), version: s.version, claimed: s.now, renewed: s.now, links: map[string]link{}}
	for id, l := range s.nextLinks {
		o.links[id] = l
	}
	if !s.calm && s.chance(5) {
		o.storeCut = s.now + s.span(300, 5000)
	}
	if !s.calm && s.chance(4) {
		o.links[s.names[s.random.IntN(len(s.names))]] = cut
	}
	s.holder, s.changed, s.released = o, s.now, false
	s.cautious = s.now + s.span(50, 600) // no takeover in the moment after a claim
	s.owners = append(s.owners, o)
	s.note("owner %s claims under %d, existed %v released %v", o.name, o.version, existed, released)
	s.after(s.span(20, 200), func() {
		if !o.dead {
			o.begin(existed, before, released, held)
		}
	})
}

func (s *site) span(least, most int) clock.Millis {
	return clock.Millis(least + s.random.IntN(most-least+1))
}

func (s *site) chance(part int) bool { return s.random.IntN(part) == 0 }

func (s *site) submit(job *batch.Job) {
	job.Accepted = s.now
	s.jobs = append(s.jobs, job)
	s.defs[job.ID] = job
	s.board[job.ID] = batch.Pending
	for _, o := range s.owners {
		o.put(s.span(2, 60), func() {
			if !o.scheduler.HasJob(job.ID) {
				o.scheduler.AddJob(job, nil, false)
			}
		})
	}
}

func (s *site) configure(c *batch.Configuration) {
	s.configuration = c
	s.routes.add(c)
	for _, o := range s.owners {
		o.put(s.span(2, 60), func() { o.scheduler.Configure(c) })
	}
}

func (s *site) cancel(id string) {
	s.cancelled[id] = true
	for _, o := range s.owners {
		o.put(s.span(2, 60), func() { o.scheduler.Cancel(id) })
	}
}

// publish makes what a worker says of itself, or that it is gone, visible to the instances.
func (s *site) publish(id string) {
	h := s.hosts[id]
	entry, there := batch.Worker{}, false
	if h != nil && h.up {
		entry, there = h.entry, true
	}
	if there {
		s.listed[id] = entry
	} else {
		delete(s.listed, id)
	}
	for _, o := range s.owners {
		o.put(s.span(2, 100), func() {
			if there {
				o.scheduler.SetWorker(entry)
			} else {
				o.scheduler.RemoveWorker(id)
			}
		})
	}
}

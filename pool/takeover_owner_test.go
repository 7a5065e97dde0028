package pool

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// owner is an instance during its tenure.
type owner struct {
	site      *site
	name      string
	scheduler *Scheduler
	links     map[string]link
	version   int64 // of the row, as its newest transaction left it
	claimed   clock.Millis
	renewed   clock.Millis

	begun      bool
	dead       bool // its process is gone, or it knows that it lost the pool
	frozen     clock.Millis
	storeCut   clock.Millis // until when the store cannot be reached
	inbox      []func()
	nextStep   clock.Millis
	committing bool
	committed  clock.Millis
	reported   clock.Millis
	pending    []any
}

// put hands an event to the owner later.
func (o *owner) put(wait clock.Millis, handle func()) {
	if o.dead {
		return
	}
	o.site.after(wait, func() { o.inbox = append(o.inbox, handle) })
}

func (o *owner) begin(existed bool, before clock.Millis, released bool, held clock.Millis) {
	site := o.site
	lease := MaxLease
	o.scheduler = NewScheduler(testPool, lease, clock.Hour, nil)
	s := o.scheduler
	s.SetToken(o.version)
	s.Tick(site.now, site.now)
	s.Configure(site.configuration)
	if existed {
		var report Load
		if len(site.report) > 0 {
			if err := json.Unmarshal(site.report, &report); err != nil {
				site.t.Fatal(err)
			}
		}
		others := before + lease + lease/modelLeaseDriftDiv + modelLeaseSlack
		if released {
			others += max(modelActLimit-held, 0)
		} else {
			others += modelActLimit
		}
		known := map[string]clock.Millis{}
		for worker, left := range report.Leases {
			known[worker] = before + left
			site.note("owner %s inherits the lease of %s until %d", o.name, worker, before+left)
		}
		s.SetInheritedLeases(others, known)
	}
	for _, id := range sortedKeys(site.listed) {
		s.SetWorker(site.listed[id])
	}
	for _, id := range sortedKeys(site.board) {
		if site.board[id].Final() && site.rows[id] == nil {
			s.AddEnded(id)
		}
	}
	for _, job := range site.jobs {
		var progress *batch.Progress
		if row := site.rows[job.ID]; row != nil {
			var err error
			if progress, err = batch.DecodeProgress(row); err != nil {
				site.t.Fatal(err)
			}
		}
		if progress == nil && s.HasJob(job.ID) {
			continue
		}
		s.AddJob(job, progress, site.cancelled[job.ID])
	}
	o.begun = true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// advance does one round of the owner's loop when it is due.
func (o *owner) advance() {
	now := o.site.now
	if !o.begun || o.dead || now < o.frozen || now < o.nextStep && (len(o.inbox) == 0 || now < o.nextStep-modelIdlePeriod) {
		return
	}
	o.nextStep = now + modelPlanPeriod + modelIdlePeriod
	inbox := o.inbox
	o.inbox = nil
	for _, handle := range inbox {
		handle()
	}
	if o.dead {
		return
	}
	s := o.scheduler
	s.Tick(now, now)
	if now-o.renewed > modelActLimit {
		o.pending = append(o.pending, s.Orders()...)
	} else {
		s.Plan()
		for _, order := range append(o.pending, s.Orders()...) {
			o.send(order)
		}
		o.pending = nil
	}
	o.commit(s.Fenced())
}

// transaction is what a commit writes.
type transaction struct {
	owner   *owner
	seen    int64
	puts    map[string][]byte
	states  map[string]batch.State
	drops   []string
	report  []byte
	sent    clock.Millis
	applied int64 // version that it left; 0: not applied
	over    bool  // the owner knows the outcome
}

func (o *owner) commit(force bool) {
	now, s := o.site.now, o.scheduler
	if o.committing || now-o.committed < modelCommitPeriod {
		return
	}
	draft := s.Transaction()
	if draft == nil && (force || now-o.committed >= modelRenewPeriod || s.LeaseReportOutdated()) {
		draft = s.Renewal()
	}
	if draft == nil {
		return
	}
	tx := &transaction{owner: o, seen: o.version, puts: map[string][]byte{}, states: map[string]batch.State{}, sent: now}
	for _, row := range draft.Rows {
		tx.states[row.ID] = row.Progress.State
		if row.Finished {
			tx.drops = append(tx.drops, row.ID)
			continue
		}
		value, err := row.Progress.Encode()
		if err != nil {
			o.site.t.Fatal(err)
		}
		tx.puts[row.ID] = value
	}
	if now-o.reported >= modelReportPeriod || s.LeaseReportOutdated() {
		load := s.Load()
		value, err := json.Marshal(load)
		if err != nil {
			o.site.t.Fatal(err)
		}
		tx.report, o.reported = value, now
		if len(load.Leases) > 0 {
			o.site.note("owner %s tells leases %v", o.name, load.Leases)
		}
	}
	o.committing, o.committed = true, now
	o.attempt(tx)
}

// attempt sends a transaction once; without an answer it is repeated.
func (o *owner) attempt(tx *transaction) {
	s := o.site
	if o.dead || tx.over {
		return
	}
	s.after(modelCommitRetry+s.span(0, 250), func() { o.attempt(tx) })
	if s.now < o.storeCut {
		if s.chance(4) { // what was on its way may arrive seconds later
			s.after(s.span(200, 4000), func() { s.apply(tx) })
		}
		return
	}
	wait := s.span(2, 15)
	if s.now < s.slow {
		wait = s.span(50, 700)
	}
	lost := !s.calm && s.chance(60)
	s.after(wait, func() {
		fine := s.apply(tx)
		if lost || s.now < o.storeCut {
			return
		}
		o.put(s.span(1, 3), func() { o.settled(tx, fine) })
	})
}

// apply carries a transaction out if the row still is as it requires, and reports whether it has been applied.
func (s *site) apply(tx *transaction) bool {
	if tx.applied != 0 {
		return s.holder == tx.owner
	}
	if s.holder != tx.owner || s.version != tx.seen {
		return false
	}
	s.version += 1 + int64(s.random.IntN(3))
	s.changed, tx.applied = s.now, s.version
	for id, row := range tx.puts {
		s.rows[id] = row
	}
	for _, id := range tx.drops {
		delete(s.rows, id)
	}
	for id, state := range tx.states {
		s.board[id] = state
	}
	if tx.report != nil {
		s.report = tx.report
	}
	return true
}

// settled takes in the answer of the store.
func (o *owner) settled(tx *transaction, fine bool) {
	if tx.over {
		return
	}
	tx.over = true
	if !fine {
		o.site.note("owner %s has lost the pool", o.name)
		o.dead = true
		return
	}
	o.committing = false
	o.version, o.renewed = tx.applied, tx.sent
	o.scheduler.Committed(tx.applied)
}

// release ends the tenure so that another instance can take over at once.
func (o *owner) release() {
	if o.dead || !o.begun || o.committing || o.site.now < max(o.storeCut, o.frozen) {
		return
	}
	if !o.site.plan.earlyRelease && o.site.now-o.claimed < modelActLimit {
		return
	}
	o.dead = true
	if s := o.site; s.holder == o && s.version == o.version {
		s.version++
		s.changed, s.released, s.held = s.now, true, s.now-o.claimed
		s.note("owner %s releases the pool", o.name)
	}
}

// targetOf returns whom an order is for and how long its answer is waited for.
func targetOf(order any) (id string, timeout clock.Millis) {
	switch order := order.(type) {
	case Start:
		return order.Target.ID, modelStartTimeout
	case Stop:
		return order.Target.ID, modelOrderTimeout
	case Throttle:
		return order.Target.ID, modelOrderTimeout
	case Hold:
		return order.Target.ID, order.Wait + modelHoldSlack
	}
	panic(fmt.Sprintf("order of kind %T", order))
}

// send carries an order to its worker, and the answer back if there is one.
func (o *owner) send(order any) {
	s := o.site
	id, timeout := targetOf(order)
	sent, answered := s.now, false
	finish := func(wait clock.Millis, answer Listing) {
		s.after(wait, func() {
			if answered || o.dead {
				return
			}
			answered = true
			o.inbox = append(o.inbox, func() {
				o.scheduler.Tick(s.now, s.now)
				o.hear(order, answer, sent)
			})
		})
	}
	depart := func() {
		finish(timeout, Listing{})
		out, back := s.latency(), s.latency()
		born := int64(0)
		if h := s.hosts[id]; h != nil {
			born = h.entry.Incarnation
		}
		carry := func(late bool, respond func(Listing), broken func()) {
			h := s.hosts[id]
			switch {
			case h == nil || !h.up:
				if !late && s.chance(2) {
					finish(back, Listing{Reply: Reply{Outcome: NotSent}}) // the connection is refused
				}
				broken()
				return
			case late && h.entry.Incarnation != born && !s.plan.lateToNewLife, !late && h.entry.Incarnation != born && !s.plan.quickToNewLife:
				broken()
				return
			}
			h.take(o, order, respond, broken)
		}
		l := o.links[id]
		nobody := func(Listing) {}
		switch {
		case !s.calm && s.chance(40):
			s.note("order of %s without an answer, carried out late: %s", o.name, describe(order))
			s.after(s.span(2000, 12000), func() { carry(true, nobody, func() {}) })
		case l == cut || !s.calm && s.chance(80):
		default:
			lost := l == mute || !s.calm && s.chance(60)
			respond := func(answer Listing) {
				if lost || o.links[id] != open {
					return
				}
				finish(back, answer)
			}
			s.after(out, func() {
				carry(false, respond, func() {
					if h := s.hosts[id]; (h == nil || !h.up) && s.chance(2) {
						finish(back, Listing{}) // a reset; otherwise nothing is heard until the time is up
					}
				})
			})
		}
	}
	// What was decided before a freeze may go out after it.
	s.after(0, func() {
		switch {
		case o.dead:
		case s.now < o.frozen:
			s.after(o.frozen-s.now, depart)
		default:
			depart()
		}
	})
}

func describe(order any) string {
	switch o := order.(type) {
	case Start:
		return fmt.Sprintf("start %s run %d on %s until %d token %d", o.Task, o.Run, o.Target.ID, o.Deadline, o.Token)
	case Stop:
		return fmt.Sprintf("stop %s run %d on %s token %d", o.Task, o.Run, o.Target.ID, o.Token)
	case Hold:
		return fmt.Sprintf("hold on %s until %d ack %d token %d wait %d urgent %v", o.Target.ID, o.Deadline, o.Ack, o.Token, o.Wait, o.Urgent)
	}
	return fmt.Sprintf("%+v", order)
}

func (s *site) latency() clock.Millis {
	if !s.calm && s.chance(30) {
		return s.span(5, 150)
	}
	return s.span(1, 4)
}

// hear gives an answer to the scheduler.
func (o *owner) hear(order any, answer Listing, sent clock.Millis) {
	switch order := order.(type) {
	case Start:
		o.site.note("%s hears outcome %d of start %s run %d on %s", o.name, answer.Outcome, order.Task, order.Run, order.Target.ID)
		o.scheduler.StartAnswered(order, answer.Reply)
	case Stop:
		o.scheduler.StopAnswered(order, answer.Reply)
	case Throttle:
		o.scheduler.ThrottleAnswered(order, answer.Reply)
	case Hold:
		o.site.note("%s hears outcome %d of hold on %s sent %d, born %d clock %d, running %s, ended %s", o.name, answer.Outcome, order.Target.ID, sent,
			answer.Incarnation, answer.Clock, runningText(answer.Running), endedText(answer.Ended))
		o.scheduler.HoldAnswered(order, answer, sent)
	}
}

func runningText(running []Running) string {
	var text []string
	for _, r := range running {
		text = append(text, fmt.Sprintf("%s/%d", r.Task, r.Run))
	}
	return strings.Join(text, " ")
}

func endedText(ended []Ended) string {
	var text []string
	for _, e := range ended {
		text = append(text, fmt.Sprintf("%d:%s/%d:%s", e.Number, e.Task, e.Run, e.Reason))
	}
	return strings.Join(text, " ")
}

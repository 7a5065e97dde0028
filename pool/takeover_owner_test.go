package pool

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// owner is an instance that owns the pool, from its claim until it loses or releases the pool.
type owner struct {
	sim       *sim
	name      string
	scheduler *Scheduler
	links     map[string]link
	version   int64 // of the ownership row after its newest transaction
	claimed   clock.Millis
	renewed   clock.Millis

	loaded        bool
	dead          bool // its process was killed, or it has noticed that it lost the pool
	frozenUntil   clock.Millis
	storeCutUntil clock.Millis // until when it cannot reach the store
	inbox         []func()
	nextStep      clock.Millis
	committing    bool
	committed     clock.Millis
	reported      clock.Millis
	pending       []any
}

// enqueue schedules an event for the owner.
func (o *owner) enqueue(wait clock.Millis, handle func()) {
	if o.dead {
		return
	}
	o.sim.after(wait, func() { o.inbox = append(o.inbox, handle) })
}

func (o *owner) load(existed bool, before clock.Millis, released bool, held clock.Millis) {
	sim := o.sim
	lease := MaxLease
	o.scheduler = NewScheduler(testPool, lease, clock.Hour, nil)
	s := o.scheduler
	s.ListsMachines = true
	if sim.customerCap != nil {
		s.Caps = sim.customerCap
	}
	s.SetToken(o.version)
	s.Tick(sim.now, sim.now)
	s.Configure(sim.configuration)
	if existed {
		var report Load
		if len(sim.report) > 0 {
			if err := json.Unmarshal(sim.report, &report); err != nil {
				sim.t.Fatal(err)
			}
		}
		others := before + lease + lease/modelLeaseDriftDiv + modelLeaseSlack
		if released {
			others += max(modelOwnershipTimeout-held, 0)
		} else {
			others += modelOwnershipTimeout
		}
		known := map[string]clock.Millis{}
		for worker, left := range report.Leases {
			known[worker] = before + left
			sim.tracef("owner %s inherits the lease of %s until %d", o.name, worker, before+left)
		}
		s.SetInheritedLeases(others, known)
	}
	for _, id := range sortedKeys(sim.listed) {
		s.SetWorker(sim.listed[id])
	}
	for _, id := range sortedKeys(sim.jobStates) {
		if sim.jobStates[id].Final() && sim.rows[id] == nil {
			s.AddEnded(id)
		}
	}
	for _, job := range sim.jobs {
		var progress *batch.Progress
		if row := sim.rows[job.ID]; row != nil {
			var err error
			if progress, err = batch.DecodeProgress(row); err != nil {
				sim.t.Fatal(err)
			}
		}
		if progress == nil && s.HasJob(job.ID) {
			continue
		}
		s.AddJob(job, progress, sim.cancelled[job.ID])
	}
	o.loaded = true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// advance runs one iteration of the owner's loop if it is due.
func (o *owner) advance() {
	now := o.sim.now
	if !o.loaded || o.dead || now < o.frozenUntil || now < o.nextStep && (len(o.inbox) == 0 || now < o.nextStep-modelIdlePeriod) {
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
	if now-o.renewed > modelOwnershipTimeout {
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

// transaction is a set of writes to the store.
type transaction struct {
	owner    *owner
	seen     int64 // version of the ownership row that apply requires
	puts     map[string][]byte
	states   map[string]batch.State
	drops    []string
	report   []byte
	sent     clock.Millis
	applied  int64 // version of the row afterwards; 0: not applied
	answered bool  // the owner has received the outcome
}

func (o *owner) commit(force bool) {
	now, s := o.sim.now, o.scheduler
	if o.committing || now-o.committed < modelCommitPeriod {
		return
	}
	toStore := s.Transaction()
	if toStore == nil && (force || now-o.committed >= modelRenewPeriod || s.LeaseReportOutdated()) {
		toStore = s.Renewal()
	}
	if toStore == nil {
		return
	}
	tx := &transaction{owner: o, seen: o.version, puts: map[string][]byte{}, states: map[string]batch.State{}, sent: now}
	for _, row := range toStore.Rows {
		tx.states[row.ID] = row.Progress.State
		if row.Finished {
			tx.drops = append(tx.drops, row.ID)
			continue
		}
		value, err := row.Progress.Encode()
		if err != nil {
			o.sim.t.Fatal(err)
		}
		tx.puts[row.ID] = value
	}
	if now-o.reported >= modelReportPeriod || s.LeaseReportOutdated() {
		load := s.Load()
		value, err := json.Marshal(load)
		if err != nil {
			o.sim.t.Fatal(err)
		}
		tx.report, o.reported = value, now
		if len(load.Leases) > 0 {
			o.sim.tracef("owner %s reports leases %v", o.name, load.Leases)
		}
	}
	o.committing, o.committed = true, now
	o.attempt(tx)
}

// attempt sends a transaction, and repeats it as long as there is no answer.
func (o *owner) attempt(tx *transaction) {
	s := o.sim
	if o.dead || tx.answered {
		return
	}
	s.after(modelCommitRetry+s.randomMillis(0, 250), func() { o.attempt(tx) })
	if s.now < o.storeCutUntil {
		if s.oneIn(4) { // a request in flight may arrive seconds later
			s.after(s.randomMillis(200, 4000), func() { s.apply(tx) })
		}
		return
	}
	wait := s.randomMillis(2, 15)
	if s.now < s.storeSlowUntil {
		wait = s.randomMillis(50, 700)
	}
	lost := !s.noFaults && s.oneIn(60)
	s.after(wait, func() {
		accepted := s.apply(tx)
		if lost || s.now < o.storeCutUntil {
			return
		}
		o.enqueue(s.randomMillis(1, 3), func() { o.commitAnswered(tx, accepted) })
	})
}

// apply executes a transaction if the row meets its precondition, and reports whether it has been applied.
func (s *sim) apply(tx *transaction) bool {
	if tx.applied != 0 {
		return s.holder == tx.owner
	}
	if s.holder != tx.owner || s.version != tx.seen {
		return false
	}
	s.version += 1 + int64(s.random.IntN(3))
	s.rowChanged, tx.applied = s.now, s.version
	for id, row := range tx.puts {
		s.rows[id] = row
	}
	for _, id := range tx.drops {
		delete(s.rows, id)
	}
	for id, state := range tx.states {
		s.jobStates[id] = state
	}
	if tx.report != nil {
		s.report = tx.report
	}
	return true
}

// commitAnswered handles the answer of the store.
func (o *owner) commitAnswered(tx *transaction, accepted bool) {
	if tx.answered {
		return
	}
	tx.answered = true
	if !accepted {
		o.sim.tracef("owner %s has lost the pool", o.name)
		o.dead = true
		return
	}
	o.committing = false
	o.version, o.renewed = tx.applied, tx.sent
	o.scheduler.Committed(tx.applied)
}

// release gives up the ownership so that another instance can take over at once.
func (o *owner) release() {
	if o.dead || !o.loaded || o.committing || o.sim.now < max(o.storeCutUntil, o.frozenUntil) {
		return
	}
	if !o.sim.options.earlyRelease && o.sim.now-o.claimed < modelOwnershipTimeout {
		return
	}
	o.dead = true
	if s := o.sim; s.holder == o && s.version == o.version {
		s.version++
		s.rowChanged, s.released, s.ownedFor = s.now, true, s.now-o.claimed
		s.tracef("owner %s releases the pool", o.name)
	}
}

// targetOf returns the worker that an order is sent to, and the timeout for its answer.
func targetOf(order any) (target Target, timeout clock.Millis) {
	switch order := order.(type) {
	case Start:
		return order.Target, modelStartTimeout
	case Stop:
		return order.Target, modelOrderTimeout
	case Throttle:
		return order.Target, modelOrderTimeout
	case Hold:
		return order.Target, order.Wait + modelHoldSlack
	}
	panic(fmt.Sprintf("order of kind %T", order))
}

// send delivers an order to its worker. The answer, if there is one, is put into the inbox later.
func (o *owner) send(order any) {
	s := o.sim
	if _, ok := order.(ListMachines); ok {
		o.listMachines()
		return
	}
	target, timeout := targetOf(order)
	id := target.ID
	sent, answered := s.now, false
	finish := func(wait clock.Millis, answer Listing) {
		s.after(wait, func() {
			if answered || o.dead {
				return
			}
			answered = true
			o.inbox = append(o.inbox, func() {
				o.scheduler.Tick(s.now, s.now)
				o.deliverAnswer(order, answer, sent)
			})
		})
	}
	transmit := func() {
		finish(timeout, Listing{})
		out, back := s.latency(), s.latency()
		startedAt := int64(0)
		if h := s.workers[id]; h != nil {
			startedAt = h.entry.Incarnation
		}
		arrive := func(late bool, respond func(Listing), broken func()) {
			h := s.workers[id]
			switch {
			case h == nil || !h.up || h.entry.Address != target.Address:
				if !late && s.oneIn(2) {
					finish(back, Listing{Reply: Reply{Outcome: NotSent}}) // the connection is refused
				}
				broken()
				return
			case late && h.entry.Incarnation != startedAt && !s.options.lateToNewIncarnation, !late && h.entry.Incarnation != startedAt && !s.options.inTransitToNewIncarnation:
				broken()
				return
			}
			h.take(o, order, respond, broken)
		}
		l := o.links[id]
		ignore := func(Listing) {}
		switch {
		case !s.noFaults && s.oneIn(40):
			s.tracef("order of %s without an answer, carried out late: %s", o.name, describe(order))
			s.after(s.randomMillis(2000, 12000), func() { arrive(true, ignore, func() {}) })
		case l == cut || !s.noFaults && s.oneIn(80):
		default:
			lost := l == answersLost || !s.noFaults && s.oneIn(60)
			respond := func(answer Listing) {
				if lost || o.links[id] != open {
					return
				}
				finish(back, answer)
			}
			s.after(out, func() {
				arrive(false, respond, func() {
					if h := s.workers[id]; (h == nil || !h.up || h.entry.Address != target.Address) && s.oneIn(2) {
						finish(back, Listing{}) // the connection is reset; otherwise the order times out
					}
				})
			})
		}
	}
	// An order decided before a freeze may be sent after it.
	s.after(0, func() {
		switch {
		case o.dead:
		case s.now < o.frozenUntil:
			s.after(o.frozenUntil-s.now, transmit)
		default:
			transmit()
		}
	})
}

// listMachines answers a request for the platform's list of machines.
func (o *owner) listMachines() {
	s := o.sim
	workers := map[string]string{}
	for _, id := range s.workerIDs {
		if h := s.workers[id]; h.up {
			workers[h.entry.Machine] = id
		}
	}
	if !s.noFaults && s.oneIn(10) {
		workers = nil
	}
	s.after(s.latency(), func() {
		o.inbox = append(o.inbox, func() {
			o.scheduler.Tick(s.now, s.now)
			o.scheduler.MachinesListed(workers)
		})
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

func (s *sim) latency() clock.Millis {
	if !s.noFaults && s.oneIn(30) {
		return s.randomMillis(5, 150)
	}
	return s.randomMillis(1, 4)
}

// deliverAnswer passes an answer to the scheduler.
func (o *owner) deliverAnswer(order any, answer Listing, sent clock.Millis) {
	switch order := order.(type) {
	case Start:
		o.sim.tracef("%s receives outcome %d of start %s run %d on %s", o.name, answer.Outcome, order.Task, order.Run, order.Target.ID)
		o.scheduler.StartAnswered(order, answer.Reply)
	case Stop:
		o.scheduler.StopAnswered(order, answer.Reply)
	case Throttle:
		o.scheduler.ThrottleAnswered(order, answer.Reply)
	case Hold:
		o.sim.tracef("%s receives outcome %d of hold on %s sent %d, incarnation %d clock %d, running %s, ended %s", o.name, answer.Outcome, order.Target.ID, sent,
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

package pool

import (
	"log/slog"
	"slices"
	"sort"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
)

// contradictionTime is how long an entry that contradicts the one in force is ignored. A worker writes its own entry every 1.5 s.
const contradictionTime = 5 * clock.Second

// machineListPeriod is the shortest time between two requests for the platform's list of machines, which is long.
const machineListPeriod = 400 * clock.Millis(1)

// Anything may be written among the entries of the workers, so an entry alone ends, moves and repeats no run. What is believed of a worker:
//
//   - Its incarnation is the one that it answers as. An entry of another incarnation is a claim: the worker is asked, and the entry takes
//     effect once it answers as that incarnation.
//   - Its machine, address, labels and capacity are those of an entry of that incarnation, and last as long as it does. Without an entry the
//     worker gets no tasks; one that contradicts an earlier one has an effect only if it stays.
//   - An incarnation has ended once a later one has answered under the same id, or under another id on the same machine. The latter needs
//     that the earlier worker does not answer, and that the platform's own list names the later one.

// SetWorker adds or updates a worker from its entry in the platform's store.
func (s *Scheduler) SetWorker(entry batch.Worker) {
	w := s.workers[entry.ID]
	if w == nil {
		w = &worker{runs: map[string]*run{}, strays: map[string]batch.Resources{}, token: s.token, incarnation: entry.Incarnation}
		_, w.leaseReported = s.inheritedLeaseEnds[entry.ID]
		s.workers[entry.ID] = w
	}
	if w.entry.Address == "" {
		w.addressKnownAt = s.now
	}
	doubtful := w.incarnationKnown && entry.Incarnation != w.incarnation && (entry.Incarnation != 0 || w.entry.Incarnation != 0)
	if !w.listed || !doubtful && w.entry.Draining != entry.Draining {
		s.log(eventWorker, slog.String("worker", entry.ID), slog.String("machine", entry.Machine),
			slog.Bool("draining", entry.Draining), slog.Int64("born", entry.Incarnation))
	}
	w.listed = true
	if doubtful {
		s.doubt(w, entry)
		return
	}
	s.adopt(w, entry)
}

// adopt puts an entry in force, unless it contradicts the one in force.
func (s *Scheduler) adopt(w *worker, entry batch.Worker) {
	if w.isDescribed() && contradicts(&w.entry, &entry) {
		if w.contradiction == nil {
			w.contradictedAt = s.now
			s.log(eventEntryContradicted, slog.String("worker", entry.ID), slog.String("machine", entry.Machine), slog.String("address", entry.Address))
		}
		w.contradiction = &entry
		w.machineDisputed = w.machineDisputed || w.entry.Machine != entry.Machine
		return
	}
	s.replaceEntry(w, entry)
}

// contradicts reports whether two entries differ in what does not change during an incarnation.
func contradicts(before, entry *batch.Worker) bool {
	return before.Incarnation == entry.Incarnation && before.Address != "" && (before.Machine != entry.Machine || before.Address != entry.Address ||
		before.Capacity != entry.Capacity || !slices.Equal(before.Labels, entry.Labels))
}

// settleContradictions puts entries in force that have contradicted the ones in force for contradictionTime: a live worker would have written
// its own again.
func (s *Scheduler) settleContradictions() {
	for _, w := range s.sortedWorkers() {
		if w.contradiction == nil || s.now-w.contradictedAt < contradictionTime {
			continue
		}
		entry := *w.contradiction
		if !w.unresponsive {
			entry.Address = w.entry.Address // it answers there
		}
		s.replaceEntry(w, entry)
	}
}

func (s *Scheduler) replaceEntry(w *worker, entry batch.Worker) {
	before := w.entry
	if before.Incarnation != entry.Incarnation {
		w.machineDisputed = false
	}
	if !w.incarnationKnown && len(w.runs) == 0 {
		w.incarnation = entry.Incarnation
	}
	w.entry, w.contradiction = entry, nil
	w.vouched = w.vouched || w.isDescribed()
	_, w.evacuating = s.evacuationOf(w)
	if before.Machine != entry.Machine || before.Incarnation != entry.Incarnation {
		s.askPredecessors(w)
	}
	if before.Address != "" && before.Address != entry.Address {
		w.holdID, w.urgentHoldID, w.nextHold = 0, 0, s.now // those in flight went elsewhere
	}
}

// doubt handles an entry of another incarnation than the worker answers as. That of an earlier one is out of date or false; for a later one
// the worker is asked.
func (s *Scheduler) doubt(w *worker, entry batch.Worker) {
	if entry.Incarnation < w.incarnation {
		return
	}
	if w.claim == nil || w.claim.Incarnation != entry.Incarnation {
		w.claimedAt = s.now
		s.log(eventRestartClaimed, slog.String("worker", entry.ID), slog.Int64("born", entry.Incarnation), slog.Int64("answers-as", w.incarnation),
			slog.String("address", entry.Address))
	}
	w.claim = &entry
}

// refuteClaim drops a claim that the worker has restarted, as its earlier incarnation has answered an order sent after the claim.
func (s *Scheduler) refuteClaim(w *worker) {
	s.log(eventRestartRefuted, slog.String("worker", w.entry.ID), slog.Int64("born", w.claim.Incarnation), slog.Int64("answers-as", w.incarnation))
	w.claim = nil
}

// askPredecessors asks the other workers that their entries place on the machine of a worker whether they still run.
func (s *Scheduler) askPredecessors(successor *worker) {
	if successor.entry.Machine == "" {
		return
	}
	for _, w := range s.workers {
		if w != successor && w.entry.Machine == successor.entry.Machine && len(w.runs) > 0 && w.entry.Incarnation < successor.entry.Incarnation {
			w.suspected = true
		}
	}
}

// exists reports whether the worker is listed and has answered.
func (w *worker) exists() bool { return w.listed && w.lastAnswer != 0 }

// isDescribed reports whether the entry of the worker is of the incarnation that has answered, or of a worker whose entries name none.
func (w *worker) isDescribed() bool {
	return w.incarnationKnown && (w.entry.Incarnation == w.incarnation || w.entry.Incarnation == 0)
}

// mayBeOthers reports whether a run that the worker lists may belong to another pool: the job is unknown here, and only an entry without an
// incarnation places the worker in this pool.
func (s *Scheduler) mayBeOthers(w *worker, task string) bool {
	id, _, ok := batch.ParseTask(task)
	return w.incarnationKnown && w.entry.Incarnation == 0 && !(ok && s.HasJob(id))
}

// loseReplaced ends the runs of workers that have no known address or do not answer, and whose machine has a later worker that answers. The
// platform confirms that it runs on the machine, if it can be asked.
func (s *Scheduler) loseReplaced() {
	for w, successor := range s.replaced() {
		if !s.ListsMachines {
			s.loseTo(w, successor)
			continue
		}
		if !s.listingMachines && s.now >= s.nextMachineList {
			s.listingMachines = true
			s.orders = append(s.orders, ListMachines{})
		}
	}
}

// MachinesListed handles the answer to ListMachines: the ids of the workers by machine, or nil without an answer.
func (s *Scheduler) MachinesListed(workers map[string]string) {
	s.listingMachines, s.nextMachineList = false, s.now+machineListPeriod
	machines := make(map[string]string, len(workers))
	for machine, id := range workers {
		machines[id] = machine
	}
	for w, successor := range s.replaced() {
		switch machine, exists := machines[w.entry.ID]; {
		case exists && machine == w.entry.Machine:
			successor.machineDisputed = true
		case exists:
			w.machineDisputed = true
		case workers[w.entry.Machine] == successor.entry.ID:
			s.loseTo(w, successor)
		}
	}
}

// replaced returns the workers that appear to be replaced, with the later workers on their machines.
func (s *Scheduler) replaced() map[*worker]*worker {
	var newest map[string]*worker // by machine
	var replaced map[*worker]*worker
	for _, w := range s.sortedWorkers() {
		if w.entry.Machine == "" || w.machineDisputed || !w.unreachable() {
			continue
		}
		if newest == nil {
			newest = s.newestOnMachines()
		}
		successor := newest[w.entry.Machine]
		if successor == nil || successor == w || w.incarnationKnown && w.incarnation >= successor.incarnation || !w.hasRunBefore(successor.incarnation) {
			continue
		}
		if replaced == nil {
			replaced = map[*worker]*worker{}
		}
		replaced[w] = successor
	}
	return replaced
}

// hasRunBefore reports whether the worker has a run that was placed on an incarnation before the given one.
func (w *worker) hasRunBefore(incarnation int64) bool {
	for _, r := range w.runs {
		if r.incarnation < incarnation {
			return true
		}
	}
	return false
}

// loseTo ends the runs of a worker that a later one has replaced.
func (s *Scheduler) loseTo(w, successor *worker) {
	s.log(eventRestarted, slog.String("worker", w.entry.ID), slog.String("successor", successor.entry.ID), slog.Int("runs", len(w.runs)))
	for _, r := range sortedRuns(w) {
		if r.incarnation < successor.incarnation {
			s.finish(r, EndLost, "")
		}
	}
}

// newestOnMachines returns the worker of the latest incarnation on each machine, of those that have answered as their entry says.
func (s *Scheduler) newestOnMachines() map[string]*worker {
	newest := map[string]*worker{}
	for _, w := range s.workers {
		if !w.listed || w.machineDisputed || !w.isDescribed() {
			continue
		}
		if other := newest[w.entry.Machine]; other == nil || other.incarnation < w.incarnation {
			newest[w.entry.Machine] = w
		}
	}
	return newest
}

// RemoveWorker marks a worker as no longer listed in the platform's store. Its runs stay reserved until its lease has
// expired.
func (s *Scheduler) RemoveWorker(id string) {
	if w := s.workers[id]; w != nil && w.listed {
		w.listed, w.claim, w.contradiction = false, nil, nil
		s.log(eventWorker, slog.String("worker", id), slog.Bool("left", true), slog.Int("runs", len(w.runs)))
	}
}

// Workers returns the IDs of the workers that the platform's store lists.
func (s *Scheduler) Workers() []string {
	var ids []string
	for id, w := range s.workers {
		if w.listed {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// answeredAs records the incarnation that an answer of the worker contains, and reports whether the rest of the answer is about the one that
// was known before.
func (s *Scheduler) answeredAs(w *worker, incarnation int64) bool {
	switch {
	case incarnation == 0:
	case !w.incarnationKnown || incarnation == w.incarnation:
		w.incarnation, w.incarnationKnown = incarnation, true
		w.vouched = w.vouched || w.isDescribed()
	case incarnation < w.incarnation:
		return false // a delayed answer of an earlier incarnation
	default:
		s.workerRestarted(w, incarnation)
		return false
	}
	return true
}

// workerRestarted begins the incarnation as which the worker has answered.
func (s *Scheduler) workerRestarted(w *worker, incarnation int64) {
	if len(w.runs) > 0 || w.incarnation != 0 {
		s.log(eventRestarted, slog.String("worker", w.entry.ID), slog.Int64("born", incarnation), slog.Int64("before", w.incarnation),
			slog.Int("runs", len(w.runs)))
	}
	for _, r := range sortedRuns(w) {
		if r.runningIncarnation != 0 && r.runningIncarnation < incarnation || r.state == planned && !r.inTransaction {
			s.finish(r, EndLost, "")
			continue
		}
		// The start may still be on its way, or may have reached the new incarnation, which has the same ID. The run is kept
		// until that incarnation has answered under a higher token.
		if r.state != planned && r.runningIncarnation != incarnation {
			r.state, r.answered = uncertain, s.now
		}
	}
	w.incarnation, w.incarnationKnown = incarnation, true
	w.lastEnd, w.ack, w.acked, w.clockAt, w.confirmed, w.firstAnswer, w.listClock = 0, 0, 0, 0, false, 0, 0
	w.setStrays(map[string]batch.Resources{})
	if w.claim != nil && w.claim.Incarnation <= incarnation {
		claim := *w.claim
		w.claim = nil
		if claim.Incarnation == incarnation {
			s.replaceEntry(w, claim)
		}
	}
	w.vouched = w.vouched || w.isDescribed()
	// The new incarnation has seen no token. It refuses a delayed order to the old one only after it has seen a token above
	// that of the order.
	w.needToken = true
	w.nextHold = s.now
}

// isImpostor reports whether the worker answers as another incarnation than the only entry that named it to this owner, and has no runs of
// this pool: it may belong to another pool, whose owner would be disturbed by further holds.
func (w *worker) isImpostor() bool {
	return w.incarnationKnown && !w.vouched && len(w.runs) == 0
}

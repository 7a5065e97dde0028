package pool

import (
	"expvar"
	"log/slog"
	"slices"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/metrics"
)

const (
	// minTimeLeft is the remaining time assumed for a run that should have ended already.
	minTimeLeft = 100 * clock.Millis(1)
	// never is the remaining time of a long-running task.
	never = clock.Day
	// maxIdleWait is how long a job with nothing running waits for a rack. Callers rely on a job not being idle for 3 s while the pool has
	// room for it.
	maxIdleWait = 2 * clock.Second
)

var (
	rackWaits    = expvar.NewInt("rack-waits")          // tasks and gangs that began to wait for a rack
	remoteRuns   = expvar.NewInt("rack-runs-remote")    // tasks placed away from their data, and gangs on several racks
	rackWaitTime = metrics.NewHistogram("rack-wait-ms") // of tasks and gangs that were placed after a wait
)

// placeWait is the wait of a task, or of a gang, for a place on a rack while it could run elsewhere.
type placeWait struct {
	began clock.Millis // 0: it does not wait
}

// end ends the wait when the task or the gang is placed.
func (w *placeWait) end(now clock.Millis, remote bool) {
	if w.began != 0 {
		rackWaitTime.Observe(now - w.began)
	}
	if remote {
		remoteRuns.Add(1)
	}
	w.began = 0
}

// waitsForRack reports whether a task that would be placed away from the rack of its data waits for a place there instead.
func (s *Scheduler) waitsForRack(t *task, chosen *worker, pass *placement) bool {
	st := t.step
	if s.RemoteFactor <= 1 || st.def.Rack == "" || st.def.LongRunning || chosen.entry.HasLabel(st.def.Rack) {
		return false
	}
	budget := s.waitBudget(st, &t.wait)
	if budget <= 0 {
		return false
	}
	wait, ok := pass.rackForecast(s, st.def.Rack).book(s, t, budget)
	return ok && s.continueWait(&t.wait, t.name, st, wait)
}

// gangWaits reports whether a tightly coupled gang that fits only on several racks waits until it fits on one.
func (s *Scheduler) gangWaits(st *step, pass *placement) bool {
	if s.RemoteFactor <= 1 || st.def.LongRunning || !fitsNow(st, pass.workers) {
		return false
	}
	budget := s.waitBudget(st, &st.wait)
	if budget < 0 {
		return false
	}
	wait, ok := pass.gangRoom(s, st, budget)
	return ok && s.continueWait(&st.wait, st.name(), st, wait)
}

// fitsNow reports whether all tasks of a gang fit on the workers.
func fitsNow(st *step, workers []*worker) bool {
	tasks := 0
	for _, w := range workers {
		if tasks += st.countIn(w.free()); tasks >= len(st.tasks) {
			return true
		}
	}
	return false
}

func (s *Scheduler) continueWait(w *placeWait, name string, st *step, expected clock.Millis) bool {
	if w.began == 0 {
		w.began = s.now
		rackWaits.Add(1)
		s.log(eventRackWait, slog.String("for", name), slog.String("rack", st.def.Rack), slog.Int64("expected-ms", int64(expected)))
	}
	return true
}

// waitBudget returns how much longer the next task of a step may wait for its rack: what running elsewhere costs and what its job can
// spare, less what it has waited. A job with nothing running waits for at most maxIdleWait.
func (s *Scheduler) waitBudget(st *step, w *placeWait) clock.Millis {
	length := s.runTime(st)
	cost := clock.Millis((s.RemoteFactor - 1) * float64(length))
	budget := cost
	if j := st.job; j.hasObjective() {
		slack, after := s.slack(st, length)
		budget += slack
		// Of two ends that are both too late, the earlier one counts.
		left := j.acceptedAt + objectiveOf(j.terms, s.forecast(j).criticalPath) - s.now - after
		if left >= length+cost {
			budget = min(budget, left-length)
		}
	}
	if budget > maxIdleWait && !st.job.running() {
		budget = maxIdleWait
	}
	if w.began != 0 {
		budget -= s.now - w.began
	}
	return budget
}

// slack returns by how much a step with tasks of the given run time may end later without delaying its job, and the time that the steps
// after it take.
func (s *Scheduler) slack(st *step, length clock.Millis) (slack, after clock.Millis) {
	steps := st.job.occurrences[0].steps
	tails := make([]clock.Millis, len(steps)) // longest path behind each step
	own, longest := clock.Millis(0), clock.Millis(0)
	for i := len(steps) - 1; i >= 0; i-- {
		other := steps[i]
		if other.complete() {
			continue
		}
		runTime := s.runTime(other)
		for _, earlier := range other.def.After {
			tails[earlier] = max(tails[earlier], tails[i]+runTime)
		}
		path := tails[i] + s.remainingTime(other, runTime)
		if other == st {
			own, after = tails[i]+length, tails[i]
		}
		longest = max(longest, path)
	}
	return max(longest-own, 0), after
}

// rackForecast predicts when the workers of a rack have room. Tasks that wait book their places, so that each sees those before it.
type rackForecast struct {
	workers  []*workerForecast
	failed   []failedBooking
	earliest map[booking][]clock.Millis // no worker has room before, by place in workers: bookings only take room
}

// booking is what a task takes of a worker.
type booking struct {
	need   batch.Resources
	length clock.Millis
}

// failedBooking is a need for which no place is free within a time.
type failedBooking struct {
	need   batch.Resources
	within clock.Millis
}

type workerForecast struct {
	worker  *worker
	changes []roomChange // by time
}

// roomChange changes the room of a worker after a time.
type roomChange struct {
	in     clock.Millis
	amount batch.Resources // negative parts are taken
}

// rackForecast returns the forecast of a rack for this pass.
func (p *placement) rackForecast(s *Scheduler, rack string) *rackForecast {
	if f := p.forecasts[rack]; f != nil {
		return f
	}
	var workers []*worker
	for _, w := range p.workers {
		if w.entry.HasLabel(rack) {
			workers = append(workers, w)
		}
	}
	if p.forecasts == nil {
		p.forecasts = map[string]*rackForecast{}
	}
	p.forecasts[rack] = newRackForecast(s, workers)
	return p.forecasts[rack]
}

func newRackForecast(s *Scheduler, workers []*worker) *rackForecast {
	f := &rackForecast{}
	for _, w := range workers {
		forecast := &workerForecast{worker: w}
		for _, r := range w.runs {
			if left := s.timeLeft(r); left < never {
				forecast.changes = append(forecast.changes, roomChange{left, r.task.step.def.Reserve()})
			}
		}
		forecast.sort()
		f.workers = append(f.workers, forecast)
	}
	return f
}

func (w *workerForecast) sort() {
	slices.SortFunc(w.changes, func(a, b roomChange) int { return int(a.in - b.in) })
}

// timeLeft returns the expected remaining time of a run.
func (s *Scheduler) timeLeft(r *run) clock.Millis {
	st := r.task.step
	if st.def.LongRunning {
		return never
	}
	length := s.runTime(st)
	switch {
	case r.sent == 0:
		return length
	case r.percent >= minPercent && r.reportedAt > r.sent:
		return max((r.reportedAt-r.sent)*clock.Millis(100-r.percent)/clock.Millis(r.percent)-(s.now-r.reportedAt), minTimeLeft)
	}
	return max(length-(s.now-r.sent), minTimeLeft)
}

// book returns the expected wait for a place for the task, and books the place. It returns false if there is none within the time.
func (f *rackForecast) book(s *Scheduler, t *task, within clock.Millis) (clock.Millis, bool) {
	def := t.step.def
	need := def.Reserve()
	for _, failed := range f.failed {
		if failed.need.Fits(need) && within <= failed.within {
			return 0, false
		}
	}
	length := s.runTime(t.step)
	earliest := f.earliestFor(booking{need, length})
	var best *workerForecast
	wait := clock.Millis(0)
	for best == nil {
		first, excluded := -1, false
		for i, w := range f.workers {
			switch {
			case earliest[i] > within || first >= 0 && earliest[i] >= earliest[first]:
			case !s.mayBook(t, w.worker):
				excluded = true
			default:
				first = i
			}
		}
		if first < 0 {
			if !excluded {
				f.failed = append(f.failed, failedBooking{need, within})
			}
			return 0, false
		}
		switch in, ok := f.workers[first].room(need, length, within); {
		case !ok:
			earliest[first] = within + 1
		case in > earliest[first]:
			earliest[first] = in
		default:
			best, wait = f.workers[first], in
		}
	}
	best.changes = append(best.changes, roomChange{wait, batch.Resources{}.Sub(need)}, roomChange{wait + length, need})
	best.sort()
	return wait, true
}

// earliestFor returns the times before which no worker has room for a booking.
func (f *rackForecast) earliestFor(b booking) []clock.Millis {
	if f.earliest[b] == nil {
		if f.earliest == nil {
			f.earliest = map[booking][]clock.Millis{}
		}
		f.earliest[b] = make([]clock.Millis, len(f.workers))
	}
	return f.earliest[b]
}

// mayBook reports whether a task may be placed on a worker once that has room.
func (s *Scheduler) mayBook(t *task, w *worker) bool {
	def := t.step.def
	return (def.Label == "" || w.entry.HasLabel(def.Label)) && (w != t.avoid || s.now >= t.avoidUntil) &&
		(!t.step.advised() || t.step.hasTicket(w, s.now))
}

// room returns the time after which the need is free on the worker for the given length, and false if it is not within the given time.
func (w *workerForecast) room(need batch.Resources, length, within clock.Millis) (clock.Millis, bool) {
	free := w.worker.free()
	start, found := clock.Millis(0), need.Fits(free)
	for i := 0; i < len(w.changes); {
		in := w.changes[i].in
		if found && in >= start+length {
			break
		}
		for ; i < len(w.changes) && w.changes[i].in == in; i++ {
			free = free.Add(w.changes[i].amount)
		}
		switch fits := need.Fits(free); {
		case !fits:
			found = false
		case !found:
			start, found = in, true
		}
		if found && start > within {
			break
		}
	}
	return start, found && start <= within
}

// gangNeed is what decides when a gang fits on a rack.
type gangNeed struct {
	task                batch.Resources
	tasks, maxPerWorker int
	label               string
}

// roomTime is the time after which there is room, or until which there is none.
type roomTime struct {
	in    clock.Millis
	found bool
}

// gangRoom returns the time after which the gang fits on one rack, and false if that is not within the given time. Gangs of one kind are
// compared with the racks once in a pass.
func (p *placement) gangRoom(s *Scheduler, st *step, within clock.Millis) (clock.Millis, bool) {
	need := gangNeed{st.def.Reserve(), len(st.tasks), st.def.MaxPerWorker, st.def.Label}
	if known, ok := p.gangRooms[need]; ok && (known.found || within <= known.in) {
		return known.in, known.found && known.in <= within
	}
	if p.gangForecasts == nil {
		for _, rack := range p.racks() {
			p.gangForecasts = append(p.gangForecasts, newRackForecast(s, rack))
		}
	}
	earliest := roomTime{in: within}
	for _, f := range p.gangForecasts {
		if in, ok := f.room(st, earliest.in); ok {
			earliest = roomTime{in, true}
		}
	}
	if p.gangRooms == nil {
		p.gangRooms = map[gangNeed]roomTime{}
	}
	p.gangRooms[need] = earliest
	return earliest.in, earliest.found
}

// room returns the time after which all tasks of a gang fit on the rack, and false if that is not within the given time.
func (f *rackForecast) room(st *step, within clock.Millis) (clock.Millis, bool) {
	type change struct {
		roomChange
		worker int
	}
	free, counts, tasks := make([]batch.Resources, len(f.workers)), make([]int, len(f.workers)), 0
	var changes []change
	for i, w := range f.workers {
		if st.def.Label != "" && !w.worker.entry.HasLabel(st.def.Label) {
			continue
		}
		free[i] = w.worker.free()
		counts[i] = st.countIn(free[i])
		tasks += counts[i]
		for _, c := range w.changes {
			if c.in <= within {
				changes = append(changes, change{c, i})
			}
		}
	}
	if tasks >= len(st.tasks) {
		return 0, true
	}
	slices.SortFunc(changes, func(a, b change) int { return int(a.in - b.in) })
	for _, c := range changes {
		free[c.worker] = free[c.worker].Add(c.amount)
		tasks -= counts[c.worker]
		counts[c.worker] = st.countIn(free[c.worker])
		if tasks += counts[c.worker]; tasks >= len(st.tasks) {
			return c.in, true
		}
	}
	return 0, false
}

// countIn returns how many tasks of the step fit into the free resources of a worker, at most all.
func (st *step) countIn(free batch.Resources) int {
	most := len(st.tasks)
	if st.def.MaxPerWorker > 0 {
		most = min(most, st.def.MaxPerWorker)
	}
	need, n := st.def.Reserve(), 0
	for n < most && need.Fits(free) {
		free = free.Sub(need)
		n++
	}
	return n
}

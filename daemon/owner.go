package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/grant"
	"magnoliaferry/machines"
	"magnoliaferry/pool"
	"magnoliaferry/store"
)

// Times of the owner of a pool.
const (
	planPeriod        = 10 * clock.Millis(1)  // between two plans, so that one plan covers several events
	idlePeriod        = 50 * clock.Millis(1)  // between two plans without events
	commitPeriod      = 20 * clock.Millis(1)  // between two transactions
	reportPeriod      = 100 * clock.Millis(1) // between two stored reports on the pool
	renewPeriod       = 500 * clock.Millis(1) // between two renewals of the ownership when there is nothing to store
	catchUpTimeout    = 5 * clock.Second
	leaseSlack        = 300 * clock.Millis(1) // for lease renewals in transit to workers
	leaseDriftDivisor = 30                    // a lease lasts up to one part in 30 longer if the worker's clock is slow
	// Upper bounds on the rows of two kinds in one transaction, so that the transaction stays within the store's limit.
	maxCordons      = 12
	maxStateDeletes = 6
)

// poolOwner runs the jobs of one pool while this instance owns it. Its state is used by one goroutine only; others put functions
// into events, which that goroutine runs.
type poolOwner struct {
	daemon    *Daemon
	pool      string
	ownership *store.Ownership
	scheduler *pool.Scheduler
	events    *workQueue[func()]

	committing  bool         // a transaction is in flight
	lastCommit  clock.Millis // when the newest transaction was sent
	lastReport  clock.Millis // when the newest report was sent
	failure     error        // ends the ownership
	work        workMeter
	deferred    []any                          // orders that wait until the ownership is renewed
	unrenewed   bool                           // the last renewal is older than ownershipTimeout
	withdrawals map[string]machines.Withdrawal // withdrawals of machines that have a worker, by machine
	cordoned    map[string]string              // ids of the withdrawals for which a cordon is stored, by machine

	states  map[string]batch.State // of jobs, as StateTable has them
	stored  map[string]bool        // jobs that have a row in RunsTable
	cancels map[string]bool        // jobs that have a request to cancel them in the pool's table
	damaged map[string]bool        // jobs whose progress cannot be decoded
	cleaner *cleaner

	ledger     *grant.Ledger // of what customers may use in the pool
	granting   bool          // a transaction on it is in flight
	nextGrants clock.Millis  // earliest time of the next one

	customers     atomic.Pointer[customerMetrics] // for expvar; nil until the first
	nextCustomers clock.Millis                    // when it is renewed
}

// poolOwnerFunc returns the function that runs the pool as its owner.
func (d *Daemon) poolOwnerFunc(name string) ownerFunc {
	return func(ctx context.Context, ownership *store.Ownership, previous store.OwnerEntry, existed bool) error {
		o := &poolOwner{daemon: d, pool: name, ownership: ownership, events: newWorkQueue[func()](),
			withdrawals: map[string]machines.Withdrawal{}, cordoned: map[string]string{}, states: map[string]batch.State{},
			stored: map[string]bool{}, cancels: map[string]bool{}, damaged: map[string]bool{}, cleaner: newCleaner(d, name)}
		jobs := &store.Follower{Store: d.table, Clock: d.clock, Logger: d.Logger, Table: store.JobsTable(name),
			Period: fixedPeriod(jobsPeriod), Wait: feedWait}
		loaded := make(chan []store.Row, 1)
		first := true
		jobs.OnLoad = func(rows []store.Row) {
			if first {
				first = false
				loaded <- rows
				return
			}
			o.events.put(func() { o.applyJobRows(rows) }) // reloaded, as the feed had missed changes
		}
		jobs.OnRows = func(rows []store.Row) { o.events.put(func() { o.applyJobRows(rows) }) }
		follow, stopFollowing := context.WithCancel(ctx)
		var following sync.WaitGroup
		defer following.Wait()
		defer stopFollowing()
		following.Go(func() { _ = jobs.Run(follow) }) // returns only when its context ends
		if err := o.restore(ctx, loaded, previous, existed); err != nil {
			return err
		}
		d.addOwner(o)
		defer d.removeOwner(o)
		return o.run(ctx)
	}
}

// restore reads what earlier owners stored and builds the scheduler from it. They can change none of it any more, as the part has a
// new owner; only new jobs and requests to cancel jobs can be added.
func (o *poolOwner) restore(ctx context.Context, loaded <-chan []store.Row, previous store.OwnerEntry, existed bool) error {
	d := o.daemon
	ctx, cancel := d.clock.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := d.catchUp(ctx); err != nil {
		return err
	}
	// The store can truncate a page of a feed because of its size in bytes without a mark that rows are missing. The row of the
	// claim has a higher version than all rows before it, so a copy that includes it is complete.
	if err := d.stateFeed.WaitFor(ctx, o.ownership.Token()); err != nil {
		return err
	}
	progress, err := o.readProgress(ctx)
	if err != nil {
		return err
	}
	report, err := o.readReport(ctx)
	if err != nil {
		return err
	}
	var jobs []store.Row
	select {
	case jobs = <-loaded:
	case <-ctx.Done():
		return ctx.Err()
	}
	lease := min(pool.MaxLease, d.Settings.LeaseLimit)
	o.scheduler = pool.NewScheduler(o.pool, lease, d.Settings.StateRetention.Millis(), d.Logger)
	o.scheduler.RemoteFactor, o.scheduler.ListsMachines = d.Settings.RemoteFactor, d.Machines != nil
	s := o.scheduler
	s.SetToken(o.ownership.Token())
	s.Tick(d.clock.Now(), d.wall())
	s.Configure(d.configuration.Load())
	s.SetInheritedTerms(report.Terms)
	if existed {
		o.restoreLeases(previous, report, lease)
	}
	for _, w := range d.workers.all(o.pool) {
		s.SetWorker(w)
	}
	for _, id := range d.stateCache.Ended(o.pool) {
		if progress[id] == nil { // otherwise the job still has runs on workers
			s.AddEnded(id)
		}
	}
	o.restoreGrants()
	o.addJobs(jobs, progress)
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWithdrawal) {
		o.applyWithdrawal(row)
	}
	for _, row := range d.fleet.Rows(o.pool, store.KindCordon) {
		_, machine := store.SplitKey(row.Key)
		if cordon, err := machines.DecodeCordon(row.Value); err == nil { // one that cannot be decoded is rewritten
			o.cordoned[machine] = cordon.Withdrawal
		}
	}
	s.SetMaintenanceDue(d.dueMachines())
	eventPoolOwned.Log(context.Background(), d.Logger, slog.String("pool", o.pool), slog.Int64("token", o.ownership.Token()),
		slog.Int("jobs", len(jobs)), slog.Int("with-runs", len(progress)), slog.Int("workers", len(s.Workers())),
		slog.Int64("copy-version", d.stateVersion()), slog.String("before", previous.Owner.Node), slog.Bool("released", previous.Owner.Released),
		slog.Int64("unchanged-ms", int64(d.clock.Now()-previous.FirstSeen)), slog.Int("reported-leases", len(report.Leases)))
	return nil
}

// stateVersion returns the version up to which the copy of StateTable is complete.
func (d *Daemon) stateVersion() int64 {
	version, _ := d.stateFeed.Version() // 0 before the first load
	return version
}

// readProgress reads the progress of the jobs of the pool. A job whose row cannot be decoded is marked as damaged and not
// scheduled.
func (o *poolOwner) readProgress(ctx context.Context) (map[string]*batch.Progress, error) {
	all := map[string]*batch.Progress{}
	from := ""
	for {
		page, err := o.daemon.table.Range(ctx, store.RunsTable, o.pool, from)
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			progress, err := batch.DecodeProgress(row.Value)
			if err != nil {
				eventUnreadableProgress.Log(ctx, o.daemon.Logger, slog.String("job", row.Key), slog.String("error", err.Error()))
				o.damaged[row.Key] = true
			}
			all[row.Key] = progress
			from = row.Key + "\x00"
		}
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
	}
}

// readReport reads the previous owner's last report on the pool.
func (o *poolOwner) readReport(ctx context.Context) (pool.Load, error) {
	var report pool.Load
	page, err := o.daemon.table.Range(ctx, store.ReportsTable, o.pool, store.ReportKey)
	if err != nil || len(page.Rows) == 0 {
		return report, err
	}
	if err := json.Unmarshal(page.Rows[0].Value, &report); err != nil { // the scheduler assumes the longest leases then
		eventUnreadableLoad.Log(ctx, o.daemon.Logger, slog.String("pool", o.pool), slog.String("error", err.Error()))
	}
	return report, nil
}

// restoreLeases sets until when leases that previous owners renewed can last. The last owner can have renewed leases
// until ownershipTimeout after its last renewal, or until it released the pool; the owner before it until ownershipTimeout after
// the last owner's claim at the latest.
func (o *poolOwner) restoreLeases(previous store.OwnerEntry, report pool.Load, lease clock.Millis) {
	unreported := previous.FirstSeen + lease + lease/leaseDriftDivisor + leaseSlack
	if previous.Owner.Released {
		unreported += max(ownershipTimeout-previous.Owner.Held, 0)
	} else {
		unreported += ownershipTimeout
	}
	reported := map[string]clock.Millis{}
	for worker, left := range report.Leases {
		reported[worker] = previous.FirstSeen + left
	}
	o.scheduler.SetInheritedLeases(unreported, reported)
}

// addJobs passes the jobs that have not ended to the scheduler, with their stored progress. The cleaner gets the rows of the
// others.
func (o *poolOwner) addJobs(rows []store.Row, progress map[string]*batch.Progress) {
	for _, row := range rows {
		if kind, id := store.SplitKey(row.Key); kind == store.KindCancel {
			o.cancels[id] = true
		}
	}
	known := map[string]bool{}
	for _, row := range rows {
		kind, id := store.SplitKey(row.Key)
		if kind != store.KindJob || o.damaged[id] {
			continue
		}
		if progress[id] == nil && o.scheduler.HasJob(id) {
			o.cleaner.job(id) // the job has ended
			continue
		}
		known[id] = true
		o.stored[id] = progress[id] != nil
		o.states[id] = batch.Pending
		if cached, ok := o.daemon.stateCache.Find(id); ok {
			o.states[id] = cached.State
		}
		o.addJob(row, progress[id], o.cancels[id])
	}
	for id := range o.cancels {
		if !known[id] {
			delete(o.cancels, id)
			o.cleaner.cancel(id)
		}
	}
}

func (o *poolOwner) addJob(row store.Row, progress *batch.Progress, cancelled bool) {
	job, err := batch.DecodeJob(row.Value)
	if err != nil {
		eventUnreadableJob.Log(context.Background(), o.daemon.Logger, slog.String("row", row.Key), slog.String("error", err.Error()))
		return
	}
	o.scheduler.AddJob(job, progress, cancelled)
}

// applyJobRows passes new jobs and requests to cancel jobs to the scheduler. After a reload of the table the rows are sorted by key
// and a request can precede its job, so all jobs are added first.
func (o *poolOwner) applyJobRows(rows []store.Row) {
	for _, row := range rows {
		kind, id := store.SplitKey(row.Key)
		if !row.Deleted && kind == store.KindJob && !o.scheduler.HasJob(id) && !o.damaged[id] {
			o.states[id] = batch.Pending
			o.addJob(row, nil, false)
		}
	}
	for _, row := range rows {
		kind, id := store.SplitKey(row.Key)
		switch {
		case row.Deleted || kind != store.KindCancel || o.cancels[id]:
		case store.IsTombstoneCancel(row):
			o.scheduler.AddEnded(id) // the tombstone is kept as long as the state of an ended job
			o.cleaner.cancel(id)
		case o.scheduler.Active(id):
			o.cancels[id] = true
			o.scheduler.Cancel(id)
		case o.scheduler.HasJob(id):
			o.cleaner.cancel(id)
		}
	}
}

// applyWithdrawal passes the withdrawal of a machine to the scheduler. It has an effect only if a worker on the machine is in this pool.
func (o *poolOwner) applyWithdrawal(row store.Row) {
	_, machine := store.SplitKey(row.Key)
	delete(o.withdrawals, machine)
	if row.Deleted {
		o.scheduler.CancelEvacuation(machine)
		return
	}
	withdrawal, err := machines.DecodeWithdrawal(row.Value)
	if err != nil {
		eventUnreadableWithdrawal.Log(context.Background(), o.daemon.Logger, slog.String("machine", machine), slog.String("error", err.Error()))
		o.scheduler.CancelEvacuation(machine)
		return
	}
	if withdrawal.Worker == "" || withdrawal.Op == machines.Move && withdrawal.Pool == o.pool {
		o.scheduler.CancelEvacuation(machine) // the machine is off, or a worker on it in this pool has arrived
		return
	}
	o.withdrawals[machine] = withdrawal
	o.scheduler.RequestEvacuation(pool.Evacuation{ID: withdrawal.ID, Machine: machine, Worker: withdrawal.Worker, Accepted: withdrawal.Accepted})
}

// cordons returns the changes to the stored cordons. A cordon says that the worker of a withdrawn machine has been emptied and gets
// no new tasks.
func (o *poolOwner) cordons() (puts, deletes []store.Row, err error) {
	empty := map[string]bool{}
	for _, id := range o.scheduler.CompletedEvacuations() {
		empty[id] = true
	}
	current := map[string]bool{}
	for machine, withdrawal := range o.withdrawals {
		if !empty[withdrawal.ID] {
			continue
		}
		current[machine] = true
		if o.cordoned[machine] == withdrawal.ID || len(puts) >= maxCordons {
			continue
		}
		value, err := json.Marshal(machines.Cordon{Withdrawal: withdrawal.ID})
		if err != nil {
			return nil, nil, err
		}
		puts = append(puts, store.Row{Table: store.FleetTable, Part: o.pool, Key: store.Key(store.KindCordon, machine), Value: value})
		o.cordoned[machine] = withdrawal.ID
	}
	for machine := range o.cordoned {
		if !current[machine] && len(puts)+len(deletes) < maxCordons {
			delete(o.cordoned, machine)
			deletes = append(deletes, store.Row{Table: store.FleetTable, Part: o.pool, Key: store.Key(store.KindCordon, machine)})
		}
	}
	return puts, deletes, nil
}

// run plans and commits until the ownership is lost or the context ends.
func (o *poolOwner) run(ctx context.Context) error {
	d := o.daemon
	// The context of transactions outlives ctx, so that the outcome of the one in flight when the ownership ends is known.
	commits, stopCommits := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCommits()
	owned := d.clock.Now()
	for ctx.Err() == nil && o.failure == nil {
		started := d.clock.Now()
		for _, handle := range o.events.takeAll() {
			handle()
		}
		o.step(ctx, commits)
		if o.failure != nil {
			return o.failure
		}
		if d.clock.Sleep(ctx, planPeriod) != nil {
			break
		}
		now := d.clock.Now()
		worked := max(now-started-planPeriod, 0) // a late timer shows a busy processor, too
		if o.scheduler.Slow() {
			worked = now - started
		}
		o.work.add(now, worked)
		if d.handsOver(&o.work, now-owned) {
			eventHandedOver.Log(ctx, d.Logger, slog.String("pool", o.pool), slog.Int64("owned-ms", int64(now-owned)))
			o.failure = errHandedOver
			break
		}
		select {
		case <-ctx.Done():
		case <-o.events.signal:
		case <-d.clock.After(idlePeriod):
		}
	}
	d.awaitCommit(o.events, &o.committing)
	return o.failure
}

// step makes a plan, sends its orders and starts the transactions that are due. Transactions run in the context commits, which
// outlives ctx.
func (o *poolOwner) step(ctx, commits context.Context) {
	d := o.daemon
	o.scheduler.Tick(d.clock.Now(), d.wall())
	if age := o.ownership.SinceRenewal(); age > ownershipTimeout {
		if !o.unrenewed {
			o.unrenewed = true
			eventNotRenewed.Log(ctx, d.Logger, slog.String("pool", o.pool), slog.Int64("age-ms", int64(age)))
		}
		o.deferred = append(o.deferred, o.scheduler.Orders()...)
	} else {
		if o.unrenewed {
			o.unrenewed = false
			eventRenewed.Log(ctx, d.Logger, slog.String("pool", o.pool), slog.Int64("age-ms", int64(age)))
		}
		due := o.grantsDue()
		if due {
			o.scheduler.CollectDemands()
		}
		o.scheduler.Plan()
		for _, order := range append(o.deferred, o.scheduler.Orders()...) {
			o.sendOrder(ctx, order)
		}
		o.deferred = nil
		if due {
			o.commitGrants(ctx)
		}
	}
	if o.scheduler.Fenced() {
		// A worker has seen a higher token, so there is a newer owner. The store rejects a transaction if that is so.
		o.commit(commits, true)
		return
	}
	o.commit(commits, false)
	o.cleaner.step(commits, o.events.put)
}

// commit stores the scheduler's transaction, or renews the ownership when that is due or force is set.
func (o *poolOwner) commit(ctx context.Context, force bool) {
	d := o.daemon
	now := d.clock.Now()
	if o.committing || now-o.lastCommit < commitPeriod {
		return
	}
	cordons, uncordons, err := o.cordons()
	if err != nil {
		o.failure = err
		return
	}
	tx := o.scheduler.Transaction()
	due := force || now-o.lastCommit >= renewPeriod || len(cordons)+len(uncordons)+len(o.cleaner.cleaned) > 0 || o.scheduler.LeaseReportOutdated()
	if tx == nil && due {
		tx = o.scheduler.Renewal()
	}
	if tx == nil {
		return
	}
	puts, deletes, ended, err := o.encode(tx)
	if err != nil {
		o.failure = err
		return
	}
	puts, deletes = append(puts, cordons...), append(deletes, uncordons...)
	if now-o.lastReport >= reportPeriod || o.scheduler.LeaseReportOutdated() {
		report, err := json.Marshal(o.scheduler.Load())
		if err != nil {
			o.failure = err
			return
		}
		puts = append(puts, store.Row{Table: store.ReportsTable, Part: o.pool, Key: store.ReportKey, Value: report})
		o.lastReport = now
	}
	o.committing, o.lastCommit = true, now
	go func() {
		refused, err := o.store(ctx, puts, deletes)
		commitTime.Observe(d.clock.Now() - now)
		o.events.put(func() {
			o.committing = false
			if err != nil {
				if ctx.Err() == nil {
					o.failure = err
				}
				return
			}
			o.refuse(refused)
			o.scheduler.Committed(o.ownership.Token())
			for _, id := range ended {
				if slices.Contains(refused, id) {
					continue
				}
				o.cleaner.job(id)
				if o.cancels[id] {
					delete(o.cancels, id)
					o.cleaner.cancel(id)
				}
			}
		})
	}()
}

// encode returns the rows of a transaction, and the jobs of which only the state is kept from now on. It records the rows as stored
// already, which is safe because the ownership ends if the transaction fails.
func (o *poolOwner) encode(tx *pool.Transaction) (puts, deletes []store.Row, ended []string, err error) {
	deleteRow := func(table, key string) {
		deletes = append(deletes, store.Row{Table: table, Part: o.pool, Key: key})
	}
	for _, row := range tx.Rows {
		if state := row.Progress.State; o.states[row.ID] != state {
			puts = append(puts, store.EncodeState(o.pool, row.ID, row.Queue, o.pool, state))
			o.states[row.ID] = state
		}
		if !row.Finished {
			value, err := row.Progress.Encode()
			if err != nil {
				return nil, nil, nil, err
			}
			puts = append(puts, store.Row{Table: store.RunsTable, Part: o.pool, Key: row.ID, Value: value})
			o.stored[row.ID] = true
			continue
		}
		ended = append(ended, row.ID)
		if o.stored[row.ID] {
			deleteRow(store.RunsTable, row.ID)
		}
		delete(o.states, row.ID)
		delete(o.stored, row.ID)
	}
	for _, id := range tx.Expired {
		o.cleaner.state(id)
	}
	// The final state is deleted after the first one, which would otherwise show the job as pending.
	for _, id := range o.cleaner.takeCleaned(maxStateDeletes) {
		deleteRow(store.StateTable, store.Key(store.KindJob, id))
		o.scheduler.RemoveEnded(id)
	}
	return puts, deletes, ended, nil
}

// sendOrder sends one order and passes the answer to the scheduler.
func (o *poolOwner) sendOrder(ctx context.Context, order any) {
	d := o.daemon
	sent := d.clock.Now()
	go func() {
		switch order := order.(type) {
		case pool.Start:
			reply := d.Workers.Start(ctx, order)
			startTime.Observe(d.clock.Now() - sent)
			o.handleReply(func() { o.scheduler.StartAnswered(order, reply) })
		case pool.Stop:
			reply := d.Workers.Stop(ctx, order)
			o.handleReply(func() { o.scheduler.StopAnswered(order, reply) })
		case pool.Throttle:
			reply := d.Workers.Throttle(ctx, order)
			o.handleReply(func() { o.scheduler.ThrottleAnswered(order, reply) })
		case pool.Hold:
			listing := d.Workers.Hold(ctx, order)
			o.handleReply(func() { o.scheduler.HoldAnswered(order, listing, sent) })
		case pool.Advise:
			advice, err := d.Advisor.Advise(ctx, order)
			if err != nil {
				eventNoAdvice.Log(ctx, d.Logger, slog.String("step", order.Step), slog.String("error", err.Error()))
			}
			o.handleReply(func() { o.scheduler.AdviseAnswered(order, advice, err == nil) })
		case pool.ListMachines:
			workers := o.listMachines(ctx)
			o.handleReply(func() { o.scheduler.MachinesListed(workers) })
		}
	}()
}

// listMachines returns the ids of the workers by machine as the platform lists them, or nil without an answer.
func (o *poolOwner) listMachines(ctx context.Context) map[string]string {
	list, err := o.daemon.Machines.List(ctx)
	if err != nil {
		eventListFailed.Log(ctx, o.daemon.Logger, slog.String("error", err.Error()))
		return nil
	}
	workers := make(map[string]string, len(list))
	for i := range list {
		workers[list[i].ID] = list[i].Worker
	}
	return workers
}

// handleReply runs handle on the owner's goroutine, after it has updated the scheduler's time.
func (o *poolOwner) handleReply(handle func()) {
	o.events.put(func() {
		o.scheduler.Tick(o.daemon.clock.Now(), o.daemon.wall())
		handle()
	})
}

// configure puts a configuration in force.
func (o *poolOwner) configure(c *batch.Configuration) {
	o.scheduler.Configure(c)
	o.ledger.Configure(c)
}

// refresh passes the current configuration, workers and withdrawals of machines to the scheduler.
func (o *poolOwner) refresh() {
	d := o.daemon
	o.configure(d.configuration.Load())
	o.reloadGrants()
	listed := map[string]bool{}
	for _, w := range d.workers.all(o.pool) {
		listed[w.ID] = true
		o.scheduler.SetWorker(w)
	}
	for _, id := range o.scheduler.Workers() {
		if !listed[id] {
			o.scheduler.RemoveWorker(id)
		}
	}
	open := map[string]bool{} // machines with a withdrawal
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWithdrawal) {
		_, machine := store.SplitKey(row.Key)
		open[machine] = true
		o.applyWithdrawal(row)
	}
	for machine := range o.withdrawals {
		if !open[machine] {
			o.applyWithdrawal(store.Row{Key: store.Key(store.KindWithdrawal, machine), Deleted: true})
		}
	}
	o.scheduler.SetMaintenanceDue(d.dueMachines())
}

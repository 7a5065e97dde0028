package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/machines"
	"magnoliaferry/pool"
	"magnoliaferry/store"
)

// Times of an owner.
const (
	planPeriod    = 10 * clock.Millis(1)  // between two plans, so that one plan sees several events
	idlePeriod    = 50 * clock.Millis(1)  // between two plans without events
	commitPeriod  = 20 * clock.Millis(1)  // between two transactions
	reportPeriod  = 100 * clock.Millis(1) // between two reports about the pool
	renewPeriod   = 500 * clock.Millis(1) // of the ownership when nothing is to be stored
	catchUpLimit  = 5 * clock.Second
	leaseSlack    = 300 * clock.Millis(1) // for orders on their way
	leaseDriftDiv = 30                    // leases on slow clocks last up to a thirtieth longer
	// Rows of these kinds in one transaction, so that all fit.
	maxCordons   = 12
	maxForgotten = 6
)

// poolOwner runs the jobs of one pool during one tenure.
type poolOwner struct {
	daemon    *Daemon
	pool      string
	chain     *store.Ownership
	scheduler *pool.Scheduler
	events    *mailbox[func()]

	committing bool
	committed  clock.Millis // when the newest transaction was sent
	reported   clock.Millis // when the newest report was sent
	lost       error
	pending    []any // orders that wait for authority
	doubtful   bool
	wants      map[string]machines.Withdrawal // by machine
	told       map[string]string              // ids of wants that the table says are empty, by machine

	states  map[string]batch.State // of jobs, as BoardTable has them
	stored  map[string]bool        // jobs that have a row in RunsTable
	cancels map[string]bool        // jobs that have a request to cancel them in the pool's table
	damaged map[string]bool        // jobs whose progress cannot be decoded
	sweeper *sweeper
}

func (d *Daemon) leadPool(name string) tenure {
	return func(ctx context.Context, chain *store.Ownership, before store.OwnerEntry, existed bool) error {
		o := &poolOwner{daemon: d, pool: name, chain: chain, events: newMailbox[func()](),
			wants: map[string]machines.Withdrawal{}, told: map[string]string{}, states: map[string]batch.State{},
			stored: map[string]bool{}, cancels: map[string]bool{}, damaged: map[string]bool{}, sweeper: newSweeper(d, name)}
		jobs := &store.Follower{Store: d.table, Clock: d.clock, Logger: d.Logger, Table: store.JobsTable(name),
			Period: always(jobsPeriod), Wait: feedWait}
		loaded := make(chan []store.Row, 1)
		first := true
		jobs.OnLoad = func(rows []store.Row) {
			if first {
				first = false
				loaded <- rows
				return
			}
			o.events.put(func() { o.jobRows(rows) }) // after a gap in the history
		}
		jobs.OnRows = func(rows []store.Row) { o.events.put(func() { o.jobRows(rows) }) }
		follow, stopFollowing := context.WithCancel(ctx)
		var following sync.WaitGroup
		defer following.Wait()
		defer stopFollowing()
		following.Go(func() { _ = jobs.Run(follow) }) // it ends only with its context
		if err := o.begin(ctx, loaded, before, existed); err != nil {
			return err
		}
		d.addOwner(o)
		defer d.removeOwner(o)
		return o.run(ctx)
	}
}

// begin reads what earlier owners stored and builds the scheduler from it. Nothing of it can change any more, as the part
// has a new owner; only jobs and requests to cancel them can come.
func (o *poolOwner) begin(ctx context.Context, loaded <-chan []store.Row, before store.OwnerEntry, existed bool) error {
	d := o.daemon
	ctx, cancel := d.clock.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	if err := d.catchUp(ctx); err != nil {
		return err
	}
	// A page of a feed that is cut short by its size in bytes looks complete; the row of the claim comes after all earlier ones.
	if err := d.boardFeed.WaitFor(ctx, o.chain.Token()); err != nil {
		return err
	}
	progress, err := o.readRuns(ctx)
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
	s := o.scheduler
	s.SetToken(o.chain.Token())
	s.Tick(d.clock.Now(), d.wall())
	s.Configure(d.configuration.Load())
	if existed {
		o.inherit(before, report, lease)
	}
	for _, w := range d.workers.all(o.pool) {
		s.SetWorker(w)
	}
	for _, id := range d.board.Ended(o.pool) {
		if progress[id] == nil { // otherwise runs of it are still out
			s.AddEnded(id)
		}
	}
	o.addJobs(jobs, progress)
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWant) {
		o.want(row)
	}
	for _, row := range d.fleet.Rows(o.pool, store.KindCordon) {
		_, machine := store.SplitKey(row.Key)
		if cordon, err := machines.DecodeCordon(row.Value); err == nil { // one that cannot be read is written again
			o.told[machine] = cordon.Withdrawal
		}
	}
	s.SetMaintenanceDue(d.dueMachines())
	eventTenure.Log(context.Background(), d.Logger, slog.String("pool", o.pool), slog.Int64("token", o.chain.Token()),
		slog.Int("jobs", len(jobs)), slog.Int("with-runs", len(progress)), slog.Int("workers", len(s.Workers())),
		slog.Int64("copy-version", d.copyVersion()), slog.String("before", before.Owner.Node), slog.Bool("released", before.Owner.Released),
		slog.Int64("unchanged-ms", int64(d.clock.Now()-before.FirstSeen)), slog.Int("reported-leases", len(report.Leases)))
	return nil
}

// copyVersion returns the version up to which the copy of the board is complete.
func (d *Daemon) copyVersion() int64 {
	version, _ := d.boardFeed.Version() // 0 before the first load
	return version
}

// readRuns reads the progress of the jobs of the pool. A job whose row cannot be decoded is left as it is.
func (o *poolOwner) readRuns(ctx context.Context) (map[string]*batch.Progress, error) {
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

// readReport reads what the previous owner told about the pool.
func (o *poolOwner) readReport(ctx context.Context) (pool.Load, error) {
	var report pool.Load
	page, err := o.daemon.table.Range(ctx, store.ReportsTable, o.pool, store.ReportKey)
	if err != nil || len(page.Rows) == 0 {
		return report, err
	}
	if err := json.Unmarshal(page.Rows[0].Value, &report); err != nil { // leases count as the longest then
		eventUnreadableLoad.Log(ctx, o.daemon.Logger, slog.String("pool", o.pool), slog.String("error", err.Error()))
	}
	return report, nil
}

// inherit bounds the leases that previous owners can have renewed: the last one until its authority ended, or until it gave the
// pool up, and the one before it until its authority ended, which is at most actLimit after the claim of the last one.
func (o *poolOwner) inherit(before store.OwnerEntry, report pool.Load, lease clock.Millis) {
	others := before.FirstSeen + lease + lease/leaseDriftDiv + leaseSlack
	if before.Owner.Released {
		others += max(actLimit-before.Owner.Held, 0)
	} else {
		others += actLimit
	}
	known := map[string]clock.Millis{}
	for worker, left := range report.Leases {
		known[worker] = before.FirstSeen + left
	}
	o.scheduler.SetInheritedLeases(others, known)
}

// addJobs takes in the jobs that have not ended, with what is stored of their progress.
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
			o.sweeper.job(id) // it has ended
			continue
		}
		known[id] = true
		o.stored[id] = progress[id] != nil
		o.states[id] = batch.Pending
		if board, ok := o.daemon.board.Find(id); ok {
			o.states[id] = board.State
		}
		o.addJob(row, progress[id], o.cancels[id])
	}
	for id := range o.cancels {
		if !known[id] {
			delete(o.cancels, id)
			o.sweeper.cancel(id)
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

// jobRows takes in new jobs and requests to cancel them. After a gap in the history the rows come sorted by key, so that the
// jobs go first here.
func (o *poolOwner) jobRows(rows []store.Row) {
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
		case o.scheduler.Active(id):
			o.cancels[id] = true
			o.scheduler.Cancel(id)
		case o.scheduler.HasJob(id):
			o.sweeper.cancel(id)
		}
	}
}

// want takes in a decision about a machine; it is for this pool if the worker is one of its own.
func (o *poolOwner) want(row store.Row) {
	_, machine := store.SplitKey(row.Key)
	if before, ok := o.wants[machine]; ok {
		o.scheduler.RequestEvacuation(before.Worker, "")
		delete(o.wants, machine)
	}
	if row.Deleted {
		return
	}
	want, err := machines.DecodeWithdrawal(row.Value)
	if err != nil {
		eventUnreadableWant.Log(context.Background(), o.daemon.Logger, slog.String("machine", machine), slog.String("error", err.Error()))
		return
	}
	if want.Worker == "" {
		return // a machine that is off
	}
	o.wants[machine] = want
	o.scheduler.RequestEvacuation(want.Worker, want.ID)
}

// cordons returns the rows that tell which wanted workers are empty, as far as the table does not say it yet.
func (o *poolOwner) cordons() (puts, deletes []store.Row, err error) {
	empty := map[string]bool{}
	for _, id := range o.scheduler.CompletedEvacuations() {
		empty[id] = true
	}
	current := map[string]bool{}
	for machine, want := range o.wants {
		if !empty[want.ID] {
			continue
		}
		current[machine] = true
		if o.told[machine] == want.ID || len(puts) >= maxCordons {
			continue
		}
		value, err := json.Marshal(machines.Cordon{Withdrawal: want.ID})
		if err != nil {
			return nil, nil, err
		}
		puts = append(puts, store.Row{Table: store.FleetTable, Part: o.pool, Key: store.Key(store.KindCordon, machine), Value: value})
		o.told[machine] = want.ID
	}
	for machine := range o.told {
		if !current[machine] && len(puts)+len(deletes) < maxCordons {
			delete(o.told, machine)
			deletes = append(deletes, store.Row{Table: store.FleetTable, Part: o.pool, Key: store.Key(store.KindCordon, machine)})
		}
	}
	return puts, deletes, nil
}

func (o *poolOwner) run(ctx context.Context) error {
	d := o.daemon
	// The transaction in flight at the end of the tenure is waited for, so that its rows need not be guessed.
	commits, stopCommits := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCommits()
	for ctx.Err() == nil && o.lost == nil {
		for _, handle := range o.events.take() {
			handle()
		}
		o.step(ctx, commits)
		if o.lost != nil {
			return o.lost
		}
		if d.clock.Sleep(ctx, planPeriod) != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-o.events.signal:
		case <-d.clock.After(idlePeriod):
		}
	}
	d.settle(o.events, &o.committing)
	return o.lost
}

// step plans, and sends what the plan asks for. Transactions run in a context of their own.
func (o *poolOwner) step(ctx, commits context.Context) {
	d := o.daemon
	o.scheduler.Tick(d.clock.Now(), d.wall())
	if age := o.chain.SinceRenewal(); age > actLimit {
		if !o.doubtful {
			o.doubtful = true
			eventNoWord.Log(ctx, d.Logger, slog.String("pool", o.pool), slog.Int64("age-ms", int64(age)))
		}
		o.pending = append(o.pending, o.scheduler.Orders()...)
	} else {
		if o.doubtful {
			o.doubtful = false
			eventWordBack.Log(ctx, d.Logger, slog.String("pool", o.pool), slog.Int64("age-ms", int64(age)))
		}
		o.scheduler.Plan()
		for _, order := range append(o.pending, o.scheduler.Orders()...) {
			o.carryOut(ctx, order)
		}
		o.pending = nil
	}
	if o.scheduler.Fenced() {
		// Another owner exists; a transaction finds out for certain.
		o.commit(commits, true)
		return
	}
	o.commit(commits, false)
	o.sweeper.step(commits, o.events.put)
}

// commit stores what the scheduler asks for, or renews the ownership when it is due.
func (o *poolOwner) commit(ctx context.Context, force bool) {
	d := o.daemon
	now := d.clock.Now()
	if o.committing || now-o.committed < commitPeriod {
		return
	}
	cordons, lifted, err := o.cordons()
	if err != nil {
		o.lost = err
		return
	}
	draft := o.scheduler.Transaction()
	due := force || now-o.committed >= renewPeriod || len(cordons)+len(lifted)+len(o.sweeper.forgotten) > 0 || o.scheduler.LeaseReportOutdated()
	if draft == nil && due {
		draft = o.scheduler.Renewal()
	}
	if draft == nil {
		return
	}
	puts, deletes, over, err := o.encode(draft)
	if err != nil {
		o.lost = err
		return
	}
	puts, deletes = append(puts, cordons...), append(deletes, lifted...)
	if now-o.reported >= reportPeriod || o.scheduler.LeaseReportOutdated() {
		report, err := json.Marshal(o.scheduler.Load())
		if err != nil {
			o.lost = err
			return
		}
		puts = append(puts, store.Row{Table: store.ReportsTable, Part: o.pool, Key: store.ReportKey, Value: report})
		o.reported = now
	}
	o.committing, o.committed = true, now
	go func() {
		err := o.chain.Commit(ctx, puts, deletes)
		commitTime.Observe(d.clock.Now() - now)
		o.events.put(func() {
			o.committing = false
			if err != nil {
				if ctx.Err() == nil {
					o.lost = err
				}
				return
			}
			o.scheduler.Committed(o.chain.Token())
			for _, id := range over {
				o.sweeper.job(id)
				if o.cancels[id] {
					delete(o.cancels, id)
					o.sweeper.cancel(id)
				}
			}
		})
	}()
}

// encode returns the rows of a draft, and the jobs of which it keeps only the state. They count as stored from then on: if the
// transaction fails, the tenure ends.
func (o *poolOwner) encode(draft *pool.Transaction) (puts, deletes []store.Row, over []string, err error) {
	drop := func(table, key string) {
		deletes = append(deletes, store.Row{Table: table, Part: o.pool, Key: key})
	}
	for _, row := range draft.Rows {
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
		over = append(over, row.ID)
		if o.stored[row.ID] {
			drop(store.RunsTable, row.ID)
		}
		delete(o.states, row.ID)
		delete(o.stored, row.ID)
	}
	for _, id := range draft.Expired {
		o.sweeper.state(id)
	}
	// The final state goes last: without it the first one would show the job as pending.
	for _, id := range o.sweeper.take(maxForgotten) {
		drop(store.StateTable, store.Key(store.KindJob, id))
		o.scheduler.RemoveEnded(id)
	}
	return puts, deletes, over, nil
}

// carryOut sends one order and hands the answer to the scheduler.
func (o *poolOwner) carryOut(ctx context.Context, order any) {
	d := o.daemon
	sent := d.clock.Now()
	go func() {
		switch order := order.(type) {
		case pool.Start:
			reply := d.Workers.Start(ctx, order)
			startTime.Observe(d.clock.Now() - sent)
			o.answer(func() { o.scheduler.StartAnswered(order, reply) })
		case pool.Stop:
			reply := d.Workers.Stop(ctx, order)
			o.answer(func() { o.scheduler.StopAnswered(order, reply) })
		case pool.Throttle:
			reply := d.Workers.Throttle(ctx, order)
			o.answer(func() { o.scheduler.ThrottleAnswered(order, reply) })
		case pool.Hold:
			listing := d.Workers.Hold(ctx, order)
			o.answer(func() { o.scheduler.HoldAnswered(order, listing, sent) })
		case pool.Advise:
			advice, err := d.Advisor.Advise(ctx, order)
			if err != nil {
				eventNoAdvice.Log(ctx, d.Logger, slog.String("step", order.Step), slog.String("error", err.Error()))
			}
			o.answer(func() { o.scheduler.AdviseAnswered(order, advice, err == nil) })
		}
	}()
}

func (o *poolOwner) answer(handle func()) {
	o.events.put(func() {
		o.scheduler.Tick(o.daemon.clock.Now(), o.daemon.wall())
		handle()
	})
}

// refresh takes in the copies of workers, wants and the configuration as they are now.
func (o *poolOwner) refresh() {
	d := o.daemon
	o.scheduler.Configure(d.configuration.Load())
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
	for _, row := range d.fleet.Rows(store.FleetPart, store.KindWant) {
		o.want(row)
	}
	o.scheduler.SetMaintenanceDue(d.dueMachines())
}

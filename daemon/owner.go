package daemon

import (
	"context"
	"encoding/json"
	"log/slog"

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
	renewPeriod   = 500 * clock.Millis(1) // of the ownership when nothing is to be stored
	catchUpLimit  = 5 * clock.Second
	leaseSlack    = 300 * clock.Millis(1) // for orders on their way
	leaseDriftDiv = 30                    // leases on slow clocks last up to a thirtieth longer
)

// poolOwner runs the jobs of one pool during one tenure.
type poolOwner struct {
	daemon    *Daemon
	pool      string
	chain     *store.Chain
	scheduler *pool.Scheduler
	events    *mailbox[func()]

	committing bool
	committed  clock.Millis // when the newest transaction was sent
	lost       error
	pending    []any // orders that wait for authority
	doubtful   bool
	wants      map[string]machines.Want // by machine
	told       map[string]string        // ids of wants that the table says are empty, by machine
}

func (d *Daemon) leadPool(name string) tenure {
	return func(ctx context.Context, chain *store.Chain, before store.Seen, existed bool) error {
		if err := d.catchUp(ctx, chain); err != nil {
			return err
		}
		o := &poolOwner{daemon: d, pool: name, chain: chain, events: newMailbox[func()](),
			wants: map[string]machines.Want{}, told: map[string]string{}}
		o.begin(before, existed)
		d.addOwner(o)
		defer d.removeOwner(o)
		return o.run(ctx)
	}
}

// begin builds the scheduler from the copy of the table.
func (o *poolOwner) begin(before store.Seen, existed bool) {
	d := o.daemon
	lease := min(pool.MaxLease, d.Settings.LeaseLimit)
	o.scheduler = pool.NewScheduler(o.pool, lease, d.Settings.StateRetention.Millis(), d.Logger)
	s := o.scheduler
	s.SetToken(o.chain.Token())
	s.Tick(d.clock.Now(), d.wall())
	s.Configure(d.configuration.Load())
	o.inherit(before, existed, lease)
	for _, w := range d.workers.all(o.pool) {
		s.SetWorker(w)
	}
	jobs := d.jobs.Part(o.pool)
	for _, known := range jobs {
		o.addJob(known)
	}
	for _, row := range d.jobs.Rows(store.FleetPart, store.KindWant) {
		o.want(row)
	}
	for _, row := range d.jobs.Rows(o.pool, store.KindCordon) {
		_, machine := store.SplitKey(row.Key)
		if cordon, err := machines.DecodeCordon(row.Value); err == nil { // one that cannot be read is written again
			o.told[machine] = cordon.Want
		}
	}
	eventTenure.Log(context.Background(), d.Logger, slog.String("pool", o.pool), slog.Int64("token", o.chain.Token()),
		slog.Int("jobs", len(jobs)), slog.Int("workers", len(s.Workers())))
}

// inherit bounds the leases that the previous owner can have renewed: until its authority ended, or until it gave the
// pool up.
func (o *poolOwner) inherit(before store.Seen, existed bool, lease clock.Millis) {
	if !existed {
		return
	}
	others := before.At + lease + lease/leaseDriftDiv + leaseSlack
	if !before.Owner.Released {
		others += actLimit
	}
	var load pool.Load
	if len(before.Owner.Load) > 0 {
		if err := json.Unmarshal(before.Owner.Load, &load); err != nil {
			eventUnreadableLoad.Log(context.Background(), o.daemon.Logger, slog.String("pool", o.pool), slog.String("error", err.Error()))
		}
	}
	known := map[string]clock.Millis{}
	for worker, left := range load.Leases {
		known[worker] = before.At + left
	}
	o.scheduler.Inherit(others, known)
}

func (o *poolOwner) addJob(known store.Known) {
	var progress *batch.Progress
	if known.Progress != nil {
		var err error
		if progress, err = batch.DecodeProgress(known.Progress); err != nil {
			eventUnreadableProgress.Log(context.Background(), o.daemon.Logger, slog.String("job", known.Job.ID),
				slog.String("error", err.Error()))
			return
		}
	}
	o.scheduler.AddJob(known.Job, progress, known.Cancelled)
}

// rows takes in changes of the work table.
func (o *poolOwner) rows(rows []store.Row) {
	for _, row := range rows {
		kind, id := store.SplitKey(row.Key)
		switch {
		case kind == store.KindWant && row.Part == store.FleetPart:
			o.want(row)
		case row.Part != o.pool || row.Deleted:
		case kind == store.KindJob, kind == store.KindCancel:
			known, ok := o.daemon.jobs.Find(id)
			if !ok {
				continue
			}
			o.addJob(known)
			if known.Cancelled {
				o.scheduler.Cancel(id)
			}
		}
	}
}

// want takes in a decision about a machine; it is for this pool if the worker is one of its own.
func (o *poolOwner) want(row store.Row) {
	_, machine := store.SplitKey(row.Key)
	if before, ok := o.wants[machine]; ok {
		o.scheduler.Want(before.Worker, "")
		delete(o.wants, machine)
	}
	if row.Deleted {
		return
	}
	want, err := machines.DecodeWant(row.Value)
	if err != nil {
		eventUnreadableWant.Log(context.Background(), o.daemon.Logger, slog.String("machine", machine), slog.String("error", err.Error()))
		return
	}
	if want.Worker == "" {
		return // a machine that is off
	}
	o.wants[machine] = want
	o.scheduler.Want(want.Worker, want.ID)
}

// cordons returns the rows that tell which wanted workers are empty, as far as the table does not say it yet.
func (o *poolOwner) cordons() (puts, deletes []store.Row, err error) {
	empty := map[string]bool{}
	for _, id := range o.scheduler.Empty() {
		empty[id] = true
	}
	current := map[string]bool{}
	for machine, want := range o.wants {
		if !empty[want.ID] {
			continue
		}
		current[machine] = true
		if o.told[machine] == want.ID {
			continue
		}
		value, err := json.Marshal(machines.Cordon{Want: want.ID})
		if err != nil {
			return nil, nil, err
		}
		puts = append(puts, store.Row{Table: store.WorkTable, Part: o.pool, Key: store.Key(store.KindCordon, machine), Value: value})
		o.told[machine] = want.ID
	}
	for machine := range o.told {
		if !current[machine] {
			delete(o.told, machine)
			deletes = append(deletes, store.Row{Table: store.WorkTable, Part: o.pool, Key: store.Key(store.KindCordon, machine)})
		}
	}
	return puts, deletes, nil
}

func (o *poolOwner) run(ctx context.Context) error {
	d := o.daemon
	for ctx.Err() == nil && o.lost == nil {
		for _, handle := range o.events.take() {
			handle()
		}
		o.step(ctx)
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

// step plans, and sends what the plan asks for.
func (o *poolOwner) step(ctx context.Context) {
	d := o.daemon
	o.scheduler.Tick(d.clock.Now(), d.wall())
	if age := o.chain.Age(); age > actLimit {
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
		o.commit(ctx, true)
		return
	}
	o.commit(ctx, false)
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
	draft := o.scheduler.Draft()
	if draft == nil && len(cordons)+len(lifted) > 0 {
		draft = o.scheduler.Renewal()
	}
	if draft == nil && (force || now-o.committed >= renewPeriod) {
		draft = o.scheduler.Renewal()
	}
	if draft == nil {
		return
	}
	puts, deletes, err := o.encode(draft)
	if err != nil {
		o.lost = err
		return
	}
	puts, deletes = append(puts, cordons...), append(deletes, lifted...)
	load, err := json.Marshal(o.scheduler.Load())
	if err != nil {
		o.lost = err
		return
	}
	o.committing, o.committed = true, now
	go func() {
		err := o.chain.Commit(ctx, puts, deletes, load)
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
		})
	}()
}

func (o *poolOwner) encode(draft *pool.Draft) (puts, deletes []store.Row, err error) {
	for _, row := range draft.Rows {
		value, err := row.Progress.Encode()
		if err != nil {
			return nil, nil, err
		}
		puts = append(puts, store.Row{Table: store.WorkTable, Part: o.pool, Key: store.Key(store.KindRun, row.ID), Value: value})
	}
	for _, id := range draft.Deletes {
		for _, kind := range []string{store.KindJob, store.KindRun, store.KindCancel} {
			deletes = append(deletes, store.Row{Table: store.WorkTable, Part: o.pool, Key: store.Key(kind, id)})
		}
	}
	return puts, deletes, nil
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
			o.answer(func() { o.scheduler.Started(order, reply) })
		case pool.Stop:
			reply := d.Workers.Stop(ctx, order)
			o.answer(func() { o.scheduler.Stopped(order, reply) })
		case pool.Pace:
			reply := d.Workers.Pace(ctx, order)
			o.answer(func() { o.scheduler.Paced(order, reply) })
		case pool.Hold:
			listing := d.Workers.Hold(ctx, order)
			o.answer(func() { o.scheduler.Held(order, listing, sent) })
		case pool.Advise:
			advice, err := d.Advisor.Advise(ctx, order)
			if err != nil {
				eventNoAdvice.Log(ctx, d.Logger, slog.String("step", order.Step), slog.String("error", err.Error()))
			}
			o.answer(func() { o.scheduler.Advised(order, advice, err == nil) })
		}
	}()
}

func (o *poolOwner) answer(handle func()) {
	o.events.put(func() {
		o.scheduler.Tick(o.daemon.clock.Now(), o.daemon.wall())
		handle()
	})
}

// refresh takes in the copies of jobs, workers and configuration as they are now.
func (o *poolOwner) refresh() {
	d := o.daemon
	o.scheduler.Configure(d.configuration.Load())
	for _, w := range d.workers.all(o.pool) {
		o.scheduler.SetWorker(w)
	}
	for _, known := range d.jobs.Part(o.pool) {
		o.addJob(known)
		if known.Cancelled {
			o.scheduler.Cancel(known.Job.ID)
		}
	}
	for _, row := range d.jobs.Rows(store.FleetPart, store.KindWant) {
		o.want(row)
	}
}

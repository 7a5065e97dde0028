package front

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/event"
	"magnoliaferry/result"
	"magnoliaferry/store"
)

// Times of requests.
const (
	// DefaultDeadline is the time that a caller waits if its request does not specify a deadline.
	DefaultDeadline = 3 * clock.Second
	// maxRejectedAttempts is how often a write is sent if the store rejects each attempt. Since the job is then known not to be
	// stored, the caller is refused without further waiting.
	maxRejectedAttempts = 3
	// maxStoreWait bounds the time that a caller waits for the store, so that it learns early that the outcome is unknown.
	maxStoreWait = 1200 * clock.Millis(1)
	// retryPause is the pause after the first attempt at a write; it doubles up to maxRetryPause.
	retryPause    = 30 * clock.Millis(1)
	maxRetryPause = 300 * clock.Millis(1)
	// retryAfter is the time after which a refused caller should try again: outages of the store last seconds.
	retryAfter = 1 * clock.Second
	// staleAge is the age of the local copy above which a job that is missing from it may nevertheless exist.
	staleAge = 2500 * clock.Millis(1)
	// maxCopyWait bounds the time that a caller waits for a recent copy; the store answers a feed within 60 ms.
	maxCopyWait    = 300 * clock.Millis(1)
	copyPollPeriod = 20 * clock.Millis(1)
)

// Service handles requests about jobs. Exported fields are set before the first request.
type Service struct {
	Table  store.Table
	States *store.StateCache
	Clock  *clock.Clock
	Logger *slog.Logger
	// Configuration returns the configuration in force, or nil.
	Configuration func() *batch.Configuration
	// Reachable reports whether the store answers now.
	Reachable func(ctx context.Context) bool
	// CopyAge returns the time for which the local copy of the job states may have missed changes.
	CopyAge func() clock.Millis
	// KeysConfirmed reports whether the configuration is known to have been the newest one recently enough to accept its keys; nil if
	// keys may be accepted without. If it is set, callers need a key even if the configuration has no customers.
	KeysConfirmed func() bool
	// WallClock returns the milliseconds since 1970.
	WallClock func() clock.Millis
	// TombstoneRate is the number of ids without a stored job that callers may cancel in a second, because each costs a write; 0: no limit.
	TombstoneRate float64

	breaker    breaker
	tombstones bucket
}

// Submit stores a job in the queue, and waits for the store at most wait and at most maxStoreWait. It sets the fields of the job
// that come from the queue, its customer, and Accepted. It returns nil if the job is stored now or was stored before. Of the refusals that the
// store causes, only CodeWithdrawn and CodeIDInUse say that the job will not run: another instance, or this one before a restart, may have sent
// a write that is carried out later.
func (s *Service) Submit(ctx context.Context, access *Access, job *batch.Job, wait clock.Millis) *result.Refusal {
	// The key may have been withdrawn while the request was read.
	if refusal := s.recheck(ctx, access, job.ID); refusal != nil {
		return refusal
	}
	if err := job.Check(); err != nil {
		return s.refuse(ctx, CodeInvalid, job.ID, err, 0)
	}
	if known, ok := s.find(access, job.ID); ok {
		return s.answerRepeat(ctx, known, job.ID, "copy")
	}
	if s.isKnownForeign(access, job.ID) {
		return s.refuse(ctx, CodeIDInUse, job.ID, nil, 0)
	}
	queue := access.queue
	terms := queue.Terms()
	job.Queue, job.Address, job.Terms, job.Customer = queue.Name, queue.Address(), &terms, access.customer
	job.Pool, job.Accepted = queue.Pool, s.WallClock()
	value, err := job.Encode()
	if err != nil {
		return s.refuse(ctx, CodeInvalid, job.ID, err, 0)
	}
	// Nothing is sent to a store that does not answer, as the write would hang until the caller's time has elapsed.
	if !s.breaker.allow(s.Clock.Now()) || !s.Reachable(ctx) {
		return s.refuse(ctx, CodeNotStored, job.ID, store.ErrRejected.New("the store does not answer; nothing was sent to it"), retryAfter)
	}
	part := s.intakePart(job.ID)
	row := store.EncodeState(part, job.ID, queue.Name, job.Pool, batch.Pending)
	address := store.EncodeAddress(part, job.ID, queue.Address(), access.customer)
	tx := store.Transaction{Conditions: unusedID(access, part, job.ID),
		Puts: []store.Row{row, {Table: store.JobsTable(job.Pool), Part: part, Key: store.Key(store.KindJob, job.ID), Value: value}, address}}
	if refusal := s.recheck(ctx, access, job.ID); refusal != nil {
		return refusal
	}
	started := s.Clock.Now()
	outcome, err := s.write(ctx, tx, wait)
	acceptTime.Observe(s.Clock.Now() - started)
	switch {
	case err == nil && outcome.Applied:
		row.Version = outcome.Version
		s.States.Apply([]store.Row{row, address})
		s.log(ctx, eventAccepted, job.ID, slog.String("queue", queue.Name), slog.String("pool", job.Pool), slog.String("customer", job.Customer),
			slog.Int("steps", len(job.Steps)), slog.Int64("version", outcome.Version))
		return nil
	case err == nil:
		s.States.Apply(outcome.Current)
		if s.isForeign(access, job.ID) {
			return s.refuse(ctx, CodeIDInUse, job.ID, nil, 0)
		}
		known, ok := s.find(access, job.ID)
		if !ok && access.scoped {
			return s.refuse(ctx, CodeUnknown, job.ID, batch.ErrInvalid.New("the stored state of the job cannot be read"), retryAfter)
		}
		return s.answerRepeat(ctx, known, job.ID, "store") // a row that cannot be decoded is that of a job
	case errorx.IsOfType(err, store.ErrRejected):
		return s.refuse(ctx, CodeNotStored, job.ID, err, retryAfter)
	}
	return s.refuse(ctx, CodeUnknown, job.ID, err, retryPause)
}

// intakePart returns the part of the store for a job. Daemons accept no requests before the layout is known.
func (s *Service) intakePart(id string) string {
	layout, _ := s.States.Layout()
	return layout.IntakePart(id)
}

// answerRepeat answers a request to store a job whose id is in use.
func (s *Service) answerRepeat(ctx context.Context, known store.JobEntry, id, source string) *result.Refusal {
	if known.Tombstone {
		return s.refuse(ctx, CodeWithdrawn, id, nil, 0)
	}
	s.log(ctx, eventRepeated, id, slog.String("known", source))
	return nil
}

// write executes a transaction. Once the outcome of an attempt is unknown, it repeats the transaction until the store answers
// or the caller's time has elapsed. Repeating is safe: a transaction with a condition is applied once, and one without a
// condition writes the same row again.
func (s *Service) write(ctx context.Context, tx store.Transaction, wait clock.Millis) (store.Result, error) {
	ctx, cancel := s.Clock.WithTimeout(ctx, min(wait, maxStoreWait))
	defer cancel()
	var unknown error
	pause := retryPause
	for attempt := 1; ; attempt++ {
		sent := s.Clock.Now()
		outcome, err := s.attempt(ctx, tx)
		s.breaker.record(err == nil, sent)
		if err == nil {
			return outcome, nil
		}
		if !errorx.IsOfType(err, store.ErrRejected) {
			unknown = err
		}
		if unknown == nil && attempt >= maxRejectedAttempts {
			return store.Result{}, err
		}
		if s.Clock.Sleep(ctx, pause) != nil {
			if unknown != nil {
				return store.Result{}, unknown
			}
			return store.Result{}, err
		}
		pause = min(pause*2, maxRetryPause)
	}
}

// attempt sends a transaction once.
func (s *Service) attempt(ctx context.Context, tx store.Transaction) (store.Result, error) {
	ctx, cancel := s.Clock.WithTimeout(ctx, store.AttemptTimeout)
	defer cancel()
	return s.Table.Commit(ctx, tx)
}

// State returns the state of a job that belongs to the queue and that the caller may see. The refusal is CodeNoJob, CodeNotFound if a write
// that is under way may still store the job, or CodeStale if the local copy is too old to say whether it is stored. If the copy is too old and
// the job has not ended in it, State waits at most maxCopyWait for a recent one, and may then return an outdated state.
func (s *Service) State(ctx context.Context, access *Access, id string) (batch.State, *result.Refusal) {
	known, ok := s.find(access, id)
	if ok && !known.State.Final() && s.CopyAge() > staleAge {
		s.awaitRecentCopy(ctx)
		known, ok = s.find(access, id)
		if refusal := s.recheck(ctx, access, id); refusal != nil {
			return 0, refusal
		}
	}
	switch {
	case !ok && s.CopyAge() > staleAge:
		return 0, s.refuse(ctx, CodeStale, id, nil, retryAfter)
	case !ok:
		return 0, s.refuse(ctx, CodeNotFound, id, nil, 0)
	case known.Tombstone || !s.belongs(known, access.queue):
		return 0, s.refuse(ctx, CodeNoJob, id, nil, 0)
	}
	return known.State, nil
}

// awaitRecentCopy waits until the local copy is recent, at most maxCopyWait: an instance that was suspended has missed changes, and
// its copy catches up shortly after. An instance that cannot reach the store answers from the outdated copy.
func (s *Service) awaitRecentCopy(ctx context.Context) {
	for until := s.Clock.Now() + maxCopyWait; s.CopyAge() > staleAge && s.Clock.Now() < until; {
		if s.Clock.Sleep(ctx, copyPollPeriod) != nil {
			return // the caller has disconnected
		}
	}
}

// Cancel stores a request to cancel a job, and waits at most wait. It returns nil once the request is stored; the owner of the pool
// cancels the job later. It also returns nil if a cancellation is known already, and CodeNoJob if the job has ended or if there is none. The
// answer CodeNoJob holds for all instances: a write of such a job that is still under way can no longer be carried out.
func (s *Service) Cancel(ctx context.Context, access *Access, id string, wait clock.Millis) *result.Refusal {
	known, ok := s.find(access, id)
	if !ok {
		var refusal *result.Refusal
		if known, refusal = s.storeTombstone(ctx, access, id, wait); refusal != nil {
			return refusal
		}
	}
	switch {
	case known.Tombstone, !s.belongs(known, access.queue):
		return s.refuse(ctx, CodeNoJob, id, nil, 0)
	case known.Cancelled:
		return nil
	case known.State.Final():
		return s.refuse(ctx, CodeNoJob, id, batch.ErrInvalid.New("the job is %s", known.State), 0)
	}
	row := store.EncodeCancel(s.intakePart(id), known.Pool, id, false)
	tx := store.Transaction{Puts: []store.Row{row}}
	if known.IntakeVersion != 0 {
		// A request that the store carries out late must not outlast the job and cancel a later one with the same id.
		tx.Conditions = []store.Condition{{Table: store.StateTable, Part: row.Part, Key: store.Key(store.KindJob, id), Version: known.IntakeVersion}}
	}
	if refusal := s.recheck(ctx, access, id); refusal != nil {
		return refusal
	}
	outcome, err := s.write(ctx, tx, wait)
	switch {
	case err != nil:
		return s.refuse(ctx, CodeUnknown, id, err, retryPause)
	case !outcome.Applied:
		return s.refuse(ctx, CodeNoJob, id, batch.ErrInvalid.New("the job has ended and been removed"), 0)
	}
	s.States.Cancel(id)
	s.log(ctx, eventCancelled, id, slog.Int64("version", outcome.Version))
	return nil
}

// storeTombstone stores a tombstone for an id that the caller sees no job with, and returns the entry that the store has then. This is the
// entry of a job if another instance has stored it meanwhile. The id of a job that the caller may not see gets a tombstone like an id without
// a job, which does not affect that job.
func (s *Service) storeTombstone(ctx context.Context, access *Access, id string, wait clock.Millis) (store.JobEntry, *result.Refusal) {
	if after := s.tombstones.take(s.TombstoneRate, s.Clock.Now()); after > 0 {
		tombstonesDeferred.Add(1)
		if n := s.tombstones.report(s.Clock.Now()); n > 0 {
			eventDeferred.Log(ctx, s.Logger, slog.Int64("count", n))
		}
		return store.JobEntry{}, result.Refuse(CodeDeferred, "", after)
	}
	pool, tombstoneID := access.queue.Pool, access.tombstone(id)
	part := s.intakePart(id)
	tombstone := store.EncodeTombstone(part, tombstoneID, pool)
	cancel := store.EncodeCancel(part, pool, tombstoneID, true) // from this row the owner of the pool learns of the tombstone
	const attempts = 2                                          // the first one can show that the id has another customer's job
	for attempt := range attempts {
		conditions := unusedID(access, tombstone.Part, id)
		if s.isKnownForeign(access, id) || attempt > 0 && s.isForeign(access, id) {
			conditions = conditions[len(conditions)-1:]
		}
		if refusal := s.recheck(ctx, access, id); refusal != nil {
			return store.JobEntry{}, refusal
		}
		outcome, err := s.write(ctx, store.Transaction{Conditions: conditions, Puts: []store.Row{tombstone, cancel}}, wait)
		switch {
		case errorx.IsOfType(err, store.ErrRejected):
			return store.JobEntry{}, s.refuse(ctx, CodeStale, id, err, retryAfter)
		case err != nil:
			return store.JobEntry{}, s.refuse(ctx, CodeUnknown, id, err, retryPause)
		case outcome.Applied:
			tombstone.Version = outcome.Version
			s.States.Apply([]store.Row{tombstone})
			s.log(ctx, eventTombstone, id, slog.Int64("version", outcome.Version))
		default:
			s.States.Apply(outcome.Current)
		}
		if known, ok := s.find(access, id); ok {
			return known, nil
		}
	}
	return store.JobEntry{}, s.refuse(ctx, CodeStale, id, batch.ErrInvalid.New("the stored state of the job cannot be read"), retryAfter)
}

// Waiting returns the number of jobs of the queue that the caller may see and that are pending, that is, no task has started, and are not
// cancelled.
func (s *Service) Waiting(access *Access) int {
	return s.States.Waiting(func(known store.JobEntry) bool { return s.sees(access, known) && s.belongs(known, access.queue) })
}

// belongs reports whether callers reach the job through the queue. The configuration may have renamed, moved or removed the queue that
// accepted it.
func (s *Service) belongs(known store.JobEntry, queue *batch.Queue) bool {
	serving, ok := s.Configuration().QueueOf(known.Queue, known.Address)
	if ok {
		return serving.Address() == queue.Address()
	}
	// An earlier version did not store the address. A queue that is gone under its name may have been renamed.
	return known.Address == batch.Address{} && known.Pool == queue.Pool
}

func (s *Service) refuse(ctx context.Context, code *result.Code, id string, err error, after clock.Millis) *result.Refusal {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	s.logRefusal(ctx, code, id, detail)
	return result.Refuse(code, detail, after)
}

func (s *Service) logRefusal(ctx context.Context, code *result.Code, id, detail string) {
	eventRefused.Log(ctx, s.Logger, slog.String("job", id), slog.Int("result", code.Number()),
		slog.Int64("copy-age-ms", int64(s.CopyAge())), slog.String("detail", detail))
}

func (s *Service) log(ctx context.Context, e *event.Event, id string, attributes ...slog.Attr) {
	e.Log(ctx, s.Logger, append(attributes, slog.String("job", id), slog.Int64("copy-age-ms", int64(s.CopyAge())))...)
}

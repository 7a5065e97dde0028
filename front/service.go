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
	// DefaultDeadline is how long a caller waits that does not say so.
	DefaultDeadline = 3 * clock.Second
	// rejectedAttempts bounds the repeats of a write that the store certainly did not take: the caller is told at once.
	rejectedAttempts = 3
	// storeWait bounds how long a caller waits for the store: it is better told early that the outcome is unknown.
	storeWait  = 1200 * clock.Millis(1)
	retryPause = 30 * clock.Millis(1)
	retryLimit = 300 * clock.Millis(1)
	// retryAfter is when a caller may come back: outages of the store last seconds.
	retryAfter = 1 * clock.Second
	// staleAfter is the age of the copy above which a job that is not in it may exist all the same.
	staleAfter = 2500 * clock.Millis(1)
	// copyWait bounds how long a caller waits for a recent copy; the store answers a feed within 60 ms.
	copyWait  = 300 * clock.Millis(1)
	copyPause = 20 * clock.Millis(1)
)

// Service answers requests about jobs. Exported fields are set before the first request.
type Service struct {
	Table  store.Table
	States *store.StateCache
	Clock  *clock.Clock
	Logger *slog.Logger
	// Configuration returns the configuration in force, or nil.
	Configuration func() *batch.Configuration
	// Reachable reports whether the store answers now.
	Reachable func(ctx context.Context) bool
	// CopyAge returns for how long the copy of the jobs may have missed changes.
	CopyAge func() clock.Millis
	// Wall returns the Unix time.
	Wall func() clock.Millis

	gate gate
	open openWrites
}

// Match returns the queue of a request and the rest of its path, or a refusal.
func (s *Service) Match(host, path string) (*batch.Queue, string, *result.Refusal) {
	configuration := s.Configuration()
	if configuration == nil {
		return nil, "", result.Refuse(CodeNotReady, "no configuration was read yet", retryAfter)
	}
	queue, ok := configuration.Match(host, path)
	if !ok {
		return nil, "", result.Refuse(CodeNoQueue, host+path, 0)
	}
	return queue, path[len(queue.Prefix):], nil
}

// Submit stores a job of the queue. It returns nil when the job is stored, also when it was before.
func (s *Service) Submit(ctx context.Context, queue *batch.Queue, job *batch.Job, wait clock.Millis) *result.Refusal {
	if err := job.Check(); err != nil {
		return s.refuse(ctx, CodeInvalid, job.ID, err, 0)
	}
	if _, known := s.States.Find(job.ID); known {
		s.log(ctx, eventRepeated, job.ID, slog.String("known", "copy"))
		return nil
	}
	job.Queue, job.Pool, job.Accepted = queue.Name, queue.Pool, s.Wall()
	value, err := job.Encode()
	if err != nil {
		return s.refuse(ctx, CodeInvalid, job.ID, err, 0)
	}
	// A write that hangs leaves the caller with an unknown outcome; without one the caller can try elsewhere.
	if !s.gate.enter(s.Clock.Now()) || !s.Reachable(ctx) {
		if s.open.has(job.ID) {
			return s.refuse(ctx, CodeUnknown, job.ID, store.ErrUnknown.New("an earlier write of this job may still be carried out"), retryAfter)
		}
		return s.refuse(ctx, CodeNotStored, job.ID, store.ErrRejected.New("the store does not answer; nothing was sent to it"), retryAfter)
	}
	part := store.IntakePart(job.ID)
	row := store.EncodeState(part, job.ID, queue.Name, job.Pool, batch.Pending)
	tx := store.Transaction{Conditions: []store.Condition{{Table: row.Table, Part: row.Part, Key: row.Key}},
		Puts: []store.Row{row, {Table: store.JobsTable(job.Pool), Part: part, Key: store.Key(store.KindJob, job.ID), Value: value}}}
	started := s.Clock.Now()
	outcome, err := s.write(ctx, tx, wait)
	acceptTime.Observe(s.Clock.Now() - started)
	switch {
	case err == nil && outcome.Applied:
		row.Version = outcome.Version
		s.States.Apply([]store.Row{row})
		s.log(ctx, eventAccepted, job.ID, slog.String("queue", queue.Name), slog.String("pool", job.Pool),
			slog.Int("steps", len(job.Steps)), slog.Int64("version", outcome.Version))
		return nil
	case err == nil:
		s.log(ctx, eventRepeated, job.ID, slog.String("known", "store"))
		return nil
	case errorx.IsOfType(err, store.ErrRejected) && !s.open.has(job.ID):
		return s.refuse(ctx, CodeNotStored, job.ID, err, retryAfter)
	}
	s.open.add(job.ID)
	return s.refuse(ctx, CodeUnknown, job.ID, err, retryPause)
}

// write carries out a transaction. Once an attempt's outcome is unknown, it repeats the transaction until the store
// tells or the caller's time is over: the condition makes a second one harmless.
func (s *Service) write(ctx context.Context, tx store.Transaction, wait clock.Millis) (store.Result, error) {
	ctx, cancel := s.Clock.WithTimeout(ctx, min(wait, storeWait))
	defer cancel()
	var unknown error
	pause := retryPause
	for attempt := 1; ; attempt++ {
		sent := s.Clock.Now()
		outcome, err := s.attempt(ctx, tx)
		s.gate.leave(err == nil, sent)
		if err == nil {
			return outcome, nil
		}
		if !errorx.IsOfType(err, store.ErrRejected) {
			unknown = err
		}
		if unknown == nil && attempt >= rejectedAttempts {
			return store.Result{}, err
		}
		if s.Clock.Sleep(ctx, pause) != nil {
			if unknown != nil {
				return store.Result{}, unknown
			}
			return store.Result{}, err
		}
		pause = min(pause*2, retryLimit)
	}
}

// attempt sends a transaction once.
func (s *Service) attempt(ctx context.Context, tx store.Transaction) (store.Result, error) {
	ctx, cancel := s.Clock.WithTimeout(ctx, store.AttemptTimeout)
	defer cancel()
	return s.Table.Commit(ctx, tx)
}

// State returns the state of a job.
func (s *Service) State(ctx context.Context, queue *batch.Queue, id string) (batch.State, *result.Refusal) {
	known, ok := s.States.Find(id)
	if ok && !known.State.Final() && s.CopyAge() > staleAfter {
		s.awaitCopy(ctx)
		known, ok = s.States.Find(id)
	}
	switch {
	case !ok && s.CopyAge() > staleAfter:
		return 0, s.refuse(ctx, CodeStale, id, nil, retryAfter)
	case !ok || known.Queue != queue.Name:
		return 0, s.refuse(ctx, CodeNoJob, id, nil, 0)
	}
	return known.State, nil
}

// awaitCopy waits for a while until the copy is recent: an instance that was suspended has missed changes, and its copy
// catches up within moments. One that is cut off from the store tells what it knows.
func (s *Service) awaitCopy(ctx context.Context) {
	for until := s.Clock.Now() + copyWait; s.CopyAge() > staleAfter && s.Clock.Now() < until; {
		if s.Clock.Sleep(ctx, copyPause) != nil {
			return // the caller has gone
		}
	}
}

// Cancel ends a job; it returns nil once this is stored.
func (s *Service) Cancel(ctx context.Context, queue *batch.Queue, id string, wait clock.Millis) *result.Refusal {
	known, ok := s.States.Find(id)
	if !ok {
		var refusal *result.Refusal
		if known, refusal = s.lookUp(ctx, id, wait); refusal != nil {
			return refusal
		}
	}
	if known.Queue != queue.Name {
		return s.refuse(ctx, CodeNoJob, id, nil, 0)
	}
	if known.Cancelled {
		return nil
	}
	if known.State.Final() {
		return s.refuse(ctx, CodeNoJob, id, batch.ErrInvalid.New("the job is %s", known.State), 0)
	}
	row := store.Row{Table: store.JobsTable(known.Pool), Part: store.IntakePart(id), Key: store.Key(store.KindCancel, id), Value: []byte("{}")}
	outcome, err := s.write(ctx, store.Transaction{Puts: []store.Row{row}}, wait)
	if err != nil {
		return s.refuse(ctx, CodeUnknown, id, err, retryPause)
	}
	s.States.Cancel(id)
	s.log(ctx, eventCancelled, id, slog.Int64("version", outcome.Version))
	return nil
}

// lookUp reads a job from the store that the copy does not have: another instance may have accepted it just now.
func (s *Service) lookUp(ctx context.Context, id string, wait clock.Millis) (store.Known, *result.Refusal) {
	ctx, cancel := s.Clock.WithTimeout(ctx, wait)
	defer cancel()
	key := store.Key(store.KindJob, id)
	page, err := s.Table.Range(ctx, store.StateTable, store.IntakePart(id), key)
	if err != nil {
		return store.Known{}, s.refuse(ctx, CodeStale, id, err, retryAfter)
	}
	if len(page.Rows) == 0 || page.Rows[0].Key != key {
		return store.Known{}, s.refuse(ctx, CodeNoJob, id, nil, 0)
	}
	s.States.Apply(page.Rows[:1])
	known, ok := s.States.Find(id)
	if !ok {
		return store.Known{}, s.refuse(ctx, CodeNoJob, id, nil, 0)
	}
	return known, nil
}

// Waiting returns the number of jobs of the queue of which no task has started.
func (s *Service) Waiting(queue *batch.Queue) int { return s.States.Waiting(queue.Name) }

func (s *Service) refuse(ctx context.Context, code *result.Code, id string, err error, after clock.Millis) *result.Refusal {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	eventRefused.Log(ctx, s.Logger, slog.String("job", id), slog.Int("result", code.Number()),
		slog.Int64("copy-age-ms", int64(s.CopyAge())), slog.String("detail", detail))
	return result.Refuse(code, detail, after)
}

func (s *Service) log(ctx context.Context, e *event.Event, id string, attributes ...slog.Attr) {
	e.Log(ctx, s.Logger, append(attributes, slog.String("job", id), slog.Int64("copy-age-ms", int64(s.CopyAge())))...)
}

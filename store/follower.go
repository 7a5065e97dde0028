package store

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var (
	eventFeedLost = event.New(5110, "table-feed-lost", slog.LevelWarn,
		"the feed of a table fails; the local copy of the table is not updated until the feed answers again")
	eventFeedBack = event.New(5111, "table-feed-back", slog.LevelInfo, "the feed of a table answers again; the local copy of the table is updated again")
	eventLoaded   = event.New(5112, "table-loaded", slog.LevelInfo,
		"a whole table was read: at the start, after a large answer, or because the store no longer keeps the changes since the last poll")
)

// Times and limits of a Follower.
const (
	minFeedRetry = 50 * clock.Millis(1) // pause after the first failed call; it doubles up to maxFeedRetry
	maxFeedRetry = 400 * clock.Millis(1)
	// maxLoadAttempts is how often a load sends each of its reads before it fails.
	maxLoadAttempts = 6
	// maxLoadReads is how many parts a load reads at once. Work that depends on the load, such as the jobs of a pool without an
	// owner, then waits for one answer of a slow store rather than for ten. It is half of the connections that an instance has
	// to the store.
	maxLoadReads = 10
	// largeAnswerBytes is the size of an answer, in bytes, from which on a follower with NewestOnly reads the table instead of the
	// feed. The feed contains all versions of a row that were written while an answer was in transit; over a slow link the
	// follower would fall further and further behind.
	largeAnswerBytes = 128 << 10
	idlePause        = 20 * clock.Millis(1) // between two calls of Follower.Idle while it returns true
	// maxAnswerDelay is how late an answer may be before the follower counts as interrupted: this instance was suspended, or the store hung.
	maxAnswerDelay = 1 * clock.Second
)

// Follower keeps a local copy of a table up to date: it reads the whole table once and then polls the table's feed of changes.
// The copy itself is maintained by OnLoad and OnRows. Exported fields are set before Run.
type Follower struct {
	Store  Table
	Clock  *clock.Clock
	Logger *slog.Logger
	Table  string
	// Period returns the least time between the starts of two polls. It limits the rate of calls under a steady stream of changes.
	Period func() clock.Millis
	// Wait is how long a poll waits at the store for a change.
	Wait clock.Millis
	// NewestOnly allows the follower to skip versions of a row for which there is a newer version.
	NewestOnly bool
	// Idle, if set, reports that the copy is not needed; the follower then makes no calls, and the copy becomes outdated.
	Idle func() bool
	// OnLoad receives all rows of the table, at the start and when the store no longer keeps the changes after the copy's
	// version. OnRows receives changes in the order of the feed.
	OnLoad func(rows []Row)
	OnRows func(rows []Row)
	// OnCurrent, if set, is called after the copy was updated by an answer that certainly includes all changes made before its call was
	// sent. It receives that time on SinceBoot, which must be set then. With OnCurrent, polls do not wait for changes while this time is long ago.
	OnCurrent func(sent clock.Millis)
	// SinceBoot returns the time since the machine was booted, including time during which it was suspended.
	SinceBoot func() clock.Millis

	mu            sync.Mutex
	version       int64
	loaded        bool
	asOf          clock.Millis       // the copy includes all changes made before this time, at which a call was sent
	healthySince  clock.Millis       // start of the period without an interruption; 0 while calls fail or the follower is idle
	lastAnswer    clock.Millis       // when the newest answer arrived
	advanced      chan struct{}      // closed when the copy has been updated; nil if nobody waits
	skipWait      bool               // the next call does not wait for a change
	interrupt     context.CancelFunc // cancels the call in flight, or the pause after it
	waiting       bool               // that call may wait for a change
	newestVersion int64              // version of the newest row received
	reload        bool               // the next call reads the whole table, as newer versions may exist after a large answer
	current       clock.Millis       // the newest time that OnCurrent received
}

// Name implements kernel.Module.
func (f *Follower) Name() string { return "follow " + f.Table }

// Version returns the version up to which the copy is complete; ok is false before the first load.
func (f *Follower) Version() (version int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.loaded
}

// Age returns the time for which the copy may have missed changes; clock.Day before the first load.
func (f *Follower) Age() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return clock.Day
	}
	return f.Clock.Now() - f.asOf
}

// HealthyFor returns the time for which the copy has been kept up to date without an interruption, that is, without a failed call and
// without an answer that was late by more than maxAnswerDelay; 0 while calls fail and while the follower is idle.
func (f *Follower) HealthyFor() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healthySince == 0 {
		return 0
	}
	return f.Clock.Now() - f.healthySince
}

// WaitFor waits until the copy includes the version. It returns the error of the context if that ends first.
func (f *Follower) WaitFor(ctx context.Context, version int64) error {
	return f.wait(ctx, func() bool { return f.version >= version })
}

// CatchUp waits until the copy includes all changes made before CatchUp was called. It returns the error of the context if that
// ends first. It interrupts a poll that waits for a change, but no other call: callers that catch up again and again would otherwise keep a
// slow read of the whole table from ever ending.
func (f *Follower) CatchUp(ctx context.Context) error {
	now := f.Clock.Now()
	f.hurry(false)
	return f.wait(ctx, func() bool { return f.asOf >= now })
}

// Hurry makes the next poll not wait for a change. It interrupts a poll that waits for one; with OnCurrent also any other call in flight,
// which may be one that gets no answer, and the pause after a failed one.
func (f *Follower) Hurry() { f.hurry(true) }

func (f *Follower) hurry(interruptAny bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skipWait = true
	if f.interrupt != nil && (f.waiting || interruptAny) {
		f.interrupt()
	}
}

func (f *Follower) wait(ctx context.Context, done func() bool) error {
	for {
		f.mu.Lock()
		if f.loaded && done() {
			f.mu.Unlock()
			return nil
		}
		if f.advanced == nil {
			f.advanced = make(chan struct{})
		}
		advanced := f.advanced
		f.mu.Unlock()
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := minFeedRetry
	failing := false
	for ctx.Err() == nil {
		if f.Idle != nil && f.Idle() {
			f.markUnhealthy()                 // without calls, an outage of the store is not detected
			_ = f.Clock.Sleep(ctx, idlePause) // fails only at the end of the context, which the loop checks
			continue
		}
		attempt, end := context.WithCancel(ctx)
		wait := f.beginCall(end)
		started := f.Clock.Now()
		more, err := f.poll(attempt, wait)
		if err == nil {
			if failing {
				failing = false
				eventFeedBack.Log(ctx, f.Logger, slog.String("table", f.Table))
			}
			pause = minFeedRetry
			if rest := f.Period() - (f.Clock.Now() - started); rest > 0 && !more {
				_ = f.Clock.Sleep(attempt, rest) // fails only when CatchUp or the end of the context interrupts it
			}
			end()
			continue
		}
		if interrupted := attempt.Err() != nil && ctx.Err() == nil; interrupted || ctx.Err() != nil {
			end()
			continue
		}
		f.markUnhealthy()
		if !failing {
			failing = true
			eventFeedLost.Log(ctx, f.Logger, slog.String("table", f.Table), slog.String("error", err.Error()))
		}
		if f.OnCurrent == nil {
			end()
			attempt = ctx
		}
		_ = f.Clock.Sleep(attempt, pause) // fails only when Hurry or the end of the context interrupts it
		end()
		pause = min(pause*2, maxFeedRetry)
	}
	return nil
}

// beginCall returns how long the next call may wait for a change. A call that may wait can be interrupted through end.
func (f *Follower) beginCall(end context.CancelFunc) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.OnCurrent != nil && (f.skipWait || f.SinceBoot()-f.current > f.Period()+f.Wait+maxAnswerDelay) {
		f.skipWait, f.interrupt, f.waiting = false, end, false
		return 0
	}
	if f.skipWait {
		f.skipWait, f.interrupt = false, nil
		return 0
	}
	f.interrupt, f.waiting = end, true
	return f.Wait
}

// poll makes one call, or reads the whole table if necessary; more reports that the store already has further changes which
// the answer does not include.
func (f *Follower) poll(ctx context.Context, wait clock.Millis) (more bool, err error) {
	sent, sentSinceBoot := f.Clock.Now(), f.sinceBoot()
	version, loaded := f.Version()
	if !loaded || f.reload {
		return f.reload, f.load(ctx)
	}
	page, err := f.Store.Feed(ctx, f.Table, version, wait)
	if errorx.IsOfType(err, ErrHistoryGone) {
		return false, f.load(ctx)
	}
	if err != nil {
		return false, err
	}
	f.recordAnswer()
	large := false
	if len(page.Rows) > 0 {
		f.OnRows(page.Rows)
		large = f.checkAnswerSize(page.Rows)
	}
	// The store can delay the answer while it waits for a change, so an answer with rows proves only that the copy includes the
	// changes made before the call was sent. If the answer left out changes, it does not prove that either, and asOf stays as it is.
	if page.More {
		sent = f.copyTime()
	}
	f.advance(page.Version, sent)
	// The store can leave out changes of a large answer without a mark.
	if !page.More && !large && page.Version >= version {
		f.recordCurrent(sentSinceBoot)
	}
	return page.More, nil
}

func (f *Follower) sinceBoot() clock.Millis {
	if f.SinceBoot == nil {
		return 0
	}
	return f.SinceBoot()
}

// recordCurrent records that the copy includes all changes made before the given time on SinceBoot.
func (f *Follower) recordCurrent(sent clock.Millis) {
	if f.OnCurrent == nil {
		return
	}
	f.mu.Lock()
	f.current = sent
	f.mu.Unlock()
	f.OnCurrent(sent)
}

// checkAnswerSize decides whether the next call reads the whole table, which it does after a large answer with new rows. It reports whether
// the answer was large.
func (f *Follower) checkAnswerSize(rows []Row) (large bool) {
	size, newestVersion := 0, f.newestVersion
	for _, row := range rows {
		size += len(row.Value)
		newestVersion = max(newestVersion, row.Version)
	}
	large = size >= largeAnswerBytes
	f.reload = f.NewestOnly && large && newestVersion > f.newestVersion
	f.newestVersion = newestVersion
	return large
}

func (f *Follower) copyTime() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

func (f *Follower) load(ctx context.Context) error {
	sent, sentSinceBoot := f.Clock.Now(), f.sinceBoot()
	before, _ := f.Version()
	rows, version, err := f.Read(ctx)
	if err != nil {
		return err
	}
	f.recordAnswer()
	f.OnLoad(rows)
	f.checkAnswerSize(rows)
	eventLoaded.Log(ctx, f.Logger, slog.String("table", f.Table), slog.Int("rows", len(rows)),
		slog.Int64("version", version))
	f.advance(version, sent)
	if version >= before {
		f.recordCurrent(sentSinceBoot)
	}
	return nil
}

// Read returns all rows of the table and the version from which a feed can continue. This is the version at the first read:
// rows that are written during the later reads may be in a part that was empty when the parts were listed.
func (f *Follower) Read(ctx context.Context) (rows []Row, version int64, err error) {
	if rows, version, err = f.loadPart(ctx, ""); err != nil {
		return nil, 0, err
	}
	var parts []string
	after := ""
	for more := true; more; {
		var names []string
		err = f.retryRejected(ctx, func() (err error) {
			names, more, err = f.Store.Parts(ctx, f.Table, after)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		for _, part := range names {
			after = part
			if part != "" {
				parts = append(parts, part)
			}
		}
	}
	byPart := make([][]Row, len(parts))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxLoadReads)
	for i, part := range parts {
		group.Go(func() (err error) {
			byPart[i], _, err = f.loadPart(groupCtx, part)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	rows = append(rows, slices.Concat(byPart...)...)
	return rows, version, nil
}

// retryRejected repeats a read of a load when the store rejects it. Instances that start at the same time send more reads than
// the store accepts per second; if a load started over after each rejected read, it would add to the overload and might never
// finish.
func (f *Follower) retryRejected(ctx context.Context, read func() error) error {
	pause := minFeedRetry
	for attempt := 1; ; attempt++ {
		err := read()
		if !errorx.IsOfType(err, ErrRejected) || attempt == maxLoadAttempts {
			return err
		}
		if stopped := f.Clock.Sleep(ctx, pause/2+clock.Millis(rand.Int64N(int64(pause)))); stopped != nil {
			return stopped
		}
		pause = min(pause*2, maxFeedRetry)
	}
}

// loadPart returns the rows of a part and the version of the store at the first page of the read.
func (f *Follower) loadPart(ctx context.Context, part string) (rows []Row, version int64, err error) {
	from := ""
	for {
		var page Page
		err := f.retryRejected(ctx, func() (err error) {
			page, err = f.Store.Range(ctx, f.Table, part, from)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// recordAnswer records the arrival of an answer, and an interruption if it was late.
func (f *Follower) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.healthySince == 0 || now-f.lastAnswer > f.Period()+f.Wait+maxAnswerDelay {
		f.healthySince = max(now, 1)
	}
	f.lastAnswer = now
}

func (f *Follower) markUnhealthy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthySince = 0
}

// advance records that the copy includes the version and all changes made before sent, and wakes the callers of wait.
func (f *Follower) advance(version int64, sent clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version, f.loaded, f.asOf = version, true, sent
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

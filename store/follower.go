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
		"the feed of a table fails; what is known of it grows old")
	eventFeedBack = event.New(5111, "table-feed-back", slog.LevelInfo, "the feed of a table answers again")
	eventLoaded   = event.New(5112, "table-loaded", slog.LevelInfo,
		"a table was read as a whole, at the start or because its history is no longer kept")
)

// Pauses of a follower.
const (
	minFeedRetry = 50 * clock.Millis(1)
	maxFeedRetry = 400 * clock.Millis(1)
	// maxLoadAttempts is how often a load sends one of its reads.
	maxLoadAttempts = 6
	// maxLoadReads is how many parts a load reads at once: what waits for it, such as a pool without an owner, waits for one answer
	// of a slow store and not for ten. Half of the connections that an instance has to the store.
	maxLoadReads = 6
	// largeAnswerBytes is the size of an answer, in bytes, after which a follower that wants only the newest rows reads the table: a feed
	// brings all versions of a row that came while the answer was on its way, and over a slow link it would fall further and
	// further behind.
	largeAnswerBytes = 128 << 10
	idlePause        = 20 * clock.Millis(1)
)

// Follower keeps a copy of a table up to date; its exported fields are set before Run.
type Follower struct {
	Store  Table
	Clock  *clock.Clock
	Logger *slog.Logger
	Table  string
	// Period returns the least time between two polls, which bounds the calls under a steady stream of changes.
	Period func() clock.Millis
	// Wait is how long a poll waits for a change.
	Wait clock.Millis
	// NewestOnly tells that earlier versions of a row are of no use once there is a newer one.
	NewestOnly bool
	// Idle, if set, reports that nobody needs the copy, which then grows old.
	Idle func() bool
	// OnLoad receives all rows at the start and after a gap in the history; OnRows receives changes in order.
	OnLoad func(rows []Row)
	OnRows func(rows []Row)

	mu            sync.Mutex
	version       int64
	loaded        bool
	asOf          clock.Millis // when the newest answered call was sent
	healthySince  clock.Millis // since when calls are answered without a gap
	advanced      chan struct{}
	skipWait      bool               // the next call is not to wait for a change, nor to be waited for
	interrupt     context.CancelFunc // ends the call that is out, or the pause
	newestVersion int64              // version of the newest row
	reload        bool               // newer versions may have come while a large answer was on its way
}

// Name implements kernel.Module.
func (f *Follower) Name() string { return "follow " + f.Table }

// Version returns the version up to which the copy is complete; ok is false before the first load.
func (f *Follower) Version() (version int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.loaded
}

// Age returns for how long the copy may have missed changes.
func (f *Follower) Age() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return clock.Day
	}
	return f.Clock.Now() - f.asOf
}

// Healthy returns for how long the copy has been kept up to date without a failed call; 0 while calls fail, and while nobody needs
// the copy.
func (f *Follower) Healthy() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healthySince == 0 {
		return 0
	}
	return f.Clock.Now() - f.healthySince
}

// WaitFor returns once the copy includes the version.
func (f *Follower) WaitFor(ctx context.Context, version int64) error {
	return f.wait(ctx, func() bool { return f.version >= version })
}

// CatchUp returns once the copy is at least as new as the moment of the call. It ends a call that waits for a change.
func (f *Follower) CatchUp(ctx context.Context) error {
	f.mu.Lock()
	now := f.Clock.Now()
	f.skipWait = true
	if f.interrupt != nil {
		f.interrupt()
	}
	f.mu.Unlock()
	return f.wait(ctx, func() bool { return f.asOf >= now })
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
			f.markUnhealthy()                 // without calls, an outage of the store goes unnoticed
			_ = f.Clock.Sleep(ctx, idlePause) // ends early only with the context, which the loop checks
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
				_ = f.Clock.Sleep(attempt, rest) // ends early only when CatchUp or the end of the context asks for it
			}
			end()
			continue
		}
		interrupted := attempt.Err() != nil && ctx.Err() == nil
		end()
		if interrupted {
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.markUnhealthy()
		if !failing {
			failing = true
			eventFeedLost.Log(ctx, f.Logger, slog.String("table", f.Table), slog.String("error", err.Error()))
		}
		_ = f.Clock.Sleep(ctx, pause) // as above
		pause = min(pause*2, maxFeedRetry)
	}
	return nil
}

// beginCall returns how long the next call may wait for a change; end interrupts it.
func (f *Follower) beginCall(end context.CancelFunc) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.skipWait {
		f.skipWait, f.interrupt = false, nil
		return 0
	}
	f.interrupt = end
	return f.Wait
}

// poll makes one call; more reports that the answer left out changes which there are already.
func (f *Follower) poll(ctx context.Context, wait clock.Millis) (more bool, err error) {
	sent := f.Clock.Now()
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
	if len(page.Rows) > 0 {
		f.OnRows(page.Rows)
		f.checkAnswerSize(page.Rows)
	}
	// An answer can have waited; the copy is as new as the moment of the answer only when it brought no rows, so the
	// time of the call is the safe one.
	if page.More {
		sent = f.copyTime()
	}
	f.advance(page.Version, sent)
	return page.More, nil
}

// checkAnswerSize decides whether the next call reads the table: after a large answer that brought something new.
func (f *Follower) checkAnswerSize(rows []Row) {
	size, newestVersion := 0, f.newestVersion
	for _, row := range rows {
		size += len(row.Value)
		newestVersion = max(newestVersion, row.Version)
	}
	f.reload = f.NewestOnly && size >= largeAnswerBytes && newestVersion > f.newestVersion
	f.newestVersion = newestVersion
}

func (f *Follower) copyTime() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

func (f *Follower) load(ctx context.Context) error {
	sent := f.Clock.Now()
	rows, version, err := f.Read(ctx)
	if err != nil {
		return err
	}
	f.OnLoad(rows)
	f.checkAnswerSize(rows)
	eventLoaded.Log(ctx, f.Logger, slog.String("table", f.Table), slog.Int("rows", len(rows)),
		slog.Int64("version", version))
	f.advance(version, sent)
	return nil
}

// Read returns all rows of the table, and the version from which a feed goes on: that of the first read, because rows that
// come while the others are read may be in a part that was empty when the parts were listed.
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

// retryRejected sends a read of a load again when the store rejects it. Instances that start at the same time ask for more than the
// store takes in a second, and a load that began anew after each rejected read would add to that without an end.
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

// loadPart returns the rows of a part and the version of the store before it was read.
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

func (f *Follower) markUnhealthy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthySince = 0
}

func (f *Follower) advance(version int64, sent clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version, f.loaded, f.asOf = version, true, sent
	if f.healthySince == 0 {
		f.healthySince = max(f.Clock.Now(), 1)
	}
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

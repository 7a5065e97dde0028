package store

import (
	"context"
	"log/slog"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var (
	eventFollowLost = event.New(5110, "table-feed-lost", slog.LevelWarn,
		"the feed of a table fails; what is known of it grows old")
	eventFollowBack = event.New(5111, "table-feed-back", slog.LevelInfo, "the feed of a table answers again")
	eventReloaded   = event.New(5112, "table-loaded", slog.LevelInfo,
		"a table was read as a whole, at the start or because its history is no longer kept")
)

// Pauses of a follower.
const (
	feedRetryFirst = 50 * clock.Millis(1)
	feedRetryLimit = 400 * clock.Millis(1)
)

// Follower keeps a copy of a table up to date; its exported fields are set before Run.
type Follower struct {
	Store  Table
	Clock  *clock.Clock
	Logger *slog.Logger
	Table  string
	// Period is the least time between two polls, which bounds the calls under a steady stream of changes.
	Period clock.Millis
	// Wait is how long a poll waits for a change.
	Wait clock.Millis
	// OnLoad receives all rows at the start and after a gap in the history; OnRows receives changes in order.
	OnLoad func(rows []Row)
	OnRows func(rows []Row)

	mu       sync.Mutex
	version  int64
	loaded   bool
	asked    clock.Millis // when the newest answered call was sent
	healthy  clock.Millis // since when calls are answered without a gap
	advanced chan struct{}
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
	return f.Clock.Now() - f.asked
}

// Healthy returns for how long the copy has been kept up to date without a failed call; 0 while calls fail.
func (f *Follower) Healthy() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.healthy == 0 {
		return 0
	}
	return f.Clock.Now() - f.healthy
}

// WaitFor returns once the copy includes the version.
func (f *Follower) WaitFor(ctx context.Context, version int64) error {
	for {
		f.mu.Lock()
		if f.loaded && f.version >= version {
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
	pause := feedRetryFirst
	failing := false
	for ctx.Err() == nil {
		started := f.Clock.Now()
		err := f.step(ctx)
		if err == nil {
			if failing {
				failing = false
				eventFollowBack.Log(ctx, f.Logger, slog.String("table", f.Table))
			}
			pause = feedRetryFirst
			if rest := f.Period - (f.Clock.Now() - started); rest > 0 {
				_ = f.Clock.Sleep(ctx, rest) // ends early only with the context, which the loop checks
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.mu.Lock()
		f.healthy = 0
		f.mu.Unlock()
		if !failing {
			failing = true
			eventFollowLost.Log(ctx, f.Logger, slog.String("table", f.Table), slog.String("error", err.Error()))
		}
		_ = f.Clock.Sleep(ctx, pause) // as above
		pause = min(pause*2, feedRetryLimit)
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	sent := f.Clock.Now()
	version, loaded := f.Version()
	if !loaded {
		return f.load(ctx)
	}
	page, err := f.Store.Feed(ctx, f.Table, version, f.Wait)
	if errorx.IsOfType(err, ErrHistoryGone) {
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	if len(page.Rows) > 0 {
		f.OnRows(page.Rows)
	}
	// An answer can have waited; the copy is as new as the moment of the answer only when it brought no rows, so the
	// time of the call is the safe one.
	f.advance(page.Version, sent)
	return nil
}

func (f *Follower) load(ctx context.Context) error {
	sent := f.Clock.Now()
	var rows []Row
	var version int64 // of the first read; later reads are newer, and the feed repeats what changed between
	var after string
	for more := true; more; {
		names, moreNames, err := f.Store.Parts(ctx, f.Table, after)
		if err != nil {
			return err
		}
		for _, part := range names {
			after = part
			from := ""
			for {
				page, err := f.Store.Range(ctx, f.Table, part, from)
				if err != nil {
					return err
				}
				if version == 0 {
					version = page.Version
				}
				rows = append(rows, page.Rows...)
				if !page.More || len(page.Rows) == 0 {
					break
				}
				from = page.Rows[len(page.Rows)-1].Key + "\x00"
			}
		}
		more = moreNames
	}
	if version == 0 { // no parts yet: a read of an empty part tells the version
		page, err := f.Store.Range(ctx, f.Table, "", "")
		if err != nil {
			return err
		}
		version, rows = page.Version, page.Rows
	}
	f.OnLoad(rows)
	eventReloaded.Log(ctx, f.Logger, slog.String("table", f.Table), slog.Int("rows", len(rows)),
		slog.Int64("version", version))
	f.advance(version, sent)
	return nil
}

func (f *Follower) advance(version int64, sent clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version, f.loaded, f.asked = version, true, sent
	if f.healthy == 0 {
		f.healthy = max(f.Clock.Now(), 1)
	}
	if f.advanced != nil {
		close(f.advanced)
		f.advanced = nil
	}
}

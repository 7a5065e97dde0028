package event

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
)

// Event is a numbered kind of log record; each package declares its events with New.
type Event struct {
	number int
	name   string
	level  slog.Level
	text   string
	count  atomic.Int64
}

var eventDropped = New(1090, "log-lines-dropped", slog.LevelWarn,
	"log lines dropped because the log output was not read fast enough")

func init() {
	expvar.Publish("events", expvar.Func(func() any {
		counts := map[string]int64{}
		for _, e := range All() {
			if n := e.count.Load(); n > 0 {
				counts[e.name] = n
			}
		}
		return counts
	}))
}

var (
	registryMu sync.Mutex
	registry   = map[int]*Event{}
)

// New declares an event and registers it for All; it panics when the number is already in use.
func New(number int, name string, level slog.Level, text string) *Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, exists := registry[number]; exists {
		panic(fmt.Sprintf("event: number %d is declared twice", number))
	}
	e := &Event{number: number, name: name, level: level, text: text}
	registry[number] = e
	return e
}

// All returns all declared events, sorted by number.
func All() []*Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	all := make([]*Event, 0, len(registry))
	for _, e := range registry {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
	return all
}

// Number returns the event's number.
func (e *Event) Number() int { return e.number }

// Name returns the event's name in kebab case.
func (e *Event) Name() string { return e.name }

// Level returns the level at which the event is logged.
func (e *Event) Level() slog.Level { return e.level }

// Text returns the message of the event.
func (e *Event) Text() string { return e.text }

// Log counts the event for the expvar "events" and logs it with its number, its name and the given attributes. With a
// nil logger, or below the logger's level, it is only counted.
func (e *Event) Log(ctx context.Context, logger *slog.Logger, attributes ...slog.Attr) {
	e.count.Add(1)
	if logger == nil || !logger.Enabled(ctx, e.level) {
		return
	}
	all := make([]slog.Attr, 0, len(attributes)+2)
	all = append(all, slog.Int("event", e.number), slog.String("name", e.name))
	logger.LogAttrs(ctx, e.level, e.text, append(all, attributes...)...)
}

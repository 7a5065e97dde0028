package daemon

import (
	"context"
	"log/slog"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/platform"
	"magnoliaferry/store"
)

// missingEntryGrace is how long after an outage of the store a worker without an entry is still kept: entries expire during an
// outage, and live workers have written theirs again within two seconds of its end.
const missingEntryGrace = 2200 * clock.Millis(1)

// workerList is the copy of the workers' entries.
type workerList struct {
	logger *slog.Logger
	clock  *clock.Clock
	decode func(id string, value []byte) (batch.Worker, error)
	// changed is called for each change. With gone set, w is the last entry of a worker that was removed or moved to another pool.
	changed func(w batch.Worker, gone bool)
	// healthy returns for how long reads of the entries have succeeded without a failure.
	healthy func() clock.Millis

	mu           sync.Mutex
	workers      map[string]batch.Worker
	unreadable   map[string]bool // workers whose newest entry cannot be decoded
	entryExpired map[string]bool // workers whose entry was deleted during an outage or within missingEntryGrace after it
}

func newWorkerList(c *clock.Clock, logger *slog.Logger, changed func(w batch.Worker, gone bool)) *workerList {
	return &workerList{logger: logger, clock: c, decode: platform.DecodeWorker, changed: changed,
		workers: map[string]batch.Worker{}, unreadable: map[string]bool{}, entryExpired: map[string]bool{}}
}

// load replaces the copy by the rows of the whole table.
func (l *workerList) load(rows []store.Row) {
	l.mu.Lock()
	present := map[string]bool{}
	for _, row := range rows {
		present[row.Key] = present[row.Key] || row.Part == ""
	}
	var gone []string
	for id := range l.workers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	l.mu.Unlock()
	for _, id := range gone {
		l.missing(id)
	}
	l.apply(rows)
}

// apply applies changed rows.
func (l *workerList) apply(rows []store.Row) {
	for _, row := range rows {
		if row.Part != "" {
			continue // of another writer: workers write into the empty part
		}
		if row.Deleted {
			l.missing(row.Key)
			continue
		}
		w, err := l.decode(row.Key, row.Value)
		if err != nil {
			l.mu.Lock()
			known := l.unreadable[row.Key]
			l.unreadable[row.Key] = true
			l.mu.Unlock()
			if !known {
				eventUnreadableEntry.Log(context.Background(), l.logger, slog.String("worker", row.Key),
					slog.Int64("version", row.Version), slog.String("error", err.Error()))
			}
			l.remove(row.Key)
			continue
		}
		l.mu.Lock()
		before, known := l.workers[w.ID]
		l.workers[w.ID] = w
		delete(l.unreadable, w.ID)
		delete(l.entryExpired, w.ID)
		l.mu.Unlock()
		if known && before.Pool != w.Pool {
			l.changed(before, true)
		}
		l.changed(w, false)
	}
}

// missing handles a worker whose entry was deleted. It removes the worker, but not before the reads of entries have succeeded for
// missingEntryGrace; until then the worker may write its entry again.
func (l *workerList) missing(id string) {
	left := missingEntryGrace - l.healthy()
	if left <= 0 {
		l.remove(id)
		return
	}
	l.mu.Lock()
	_, known := l.workers[id]
	if known && !l.entryExpired[id] {
		l.entryExpired[id] = true
		l.clock.AfterFunc(left, func() { l.expire(id) })
	}
	l.mu.Unlock()
}

// expire removes a worker that still has no entry.
func (l *workerList) expire(id string) {
	l.mu.Lock()
	entryExpired := l.entryExpired[id]
	l.mu.Unlock()
	if entryExpired {
		l.remove(id)
	}
}

func (l *workerList) remove(id string) {
	l.mu.Lock()
	w, known := l.workers[id]
	delete(l.workers, id)
	delete(l.entryExpired, id)
	l.mu.Unlock()
	if known {
		l.changed(w, true)
	}
}

// all returns the workers of a pool.
func (l *workerList) all(pool string) []batch.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []batch.Worker
	for _, w := range l.workers {
		if w.Pool == pool {
			all = append(all, w)
		}
	}
	return all
}

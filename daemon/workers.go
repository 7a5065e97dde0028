package daemon

import (
	"context"
	"log/slog"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/store"
)

// workerList is the copy of what workers say of themselves.
type workerList struct {
	logger *slog.Logger
	decode func(id string, value []byte) (batch.Worker, error)
	// changed is called with each change; a worker that left has only its id and gone set.
	changed func(w batch.Worker, gone bool)

	mu      sync.Mutex
	workers map[string]batch.Worker
	faulty  map[string]bool
}

func (l *workerList) load(rows []store.Row) {
	l.mu.Lock()
	present := map[string]bool{}
	for _, row := range rows {
		present[row.Key] = true
	}
	var gone []string
	for id := range l.workers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	l.mu.Unlock()
	for _, id := range gone {
		l.remove(id)
	}
	l.apply(rows)
}

func (l *workerList) apply(rows []store.Row) {
	for _, row := range rows {
		if row.Deleted {
			l.remove(row.Key)
			continue
		}
		w, err := l.decode(row.Key, row.Value)
		if err != nil {
			l.mu.Lock()
			known := l.faulty[row.Key]
			l.faulty[row.Key] = true
			l.mu.Unlock()
			if !known {
				eventEntryUnreadable.Log(context.Background(), l.logger, slog.String("worker", row.Key),
					slog.Int64("version", row.Version), slog.String("error", err.Error()))
			}
			l.remove(row.Key)
			continue
		}
		l.mu.Lock()
		l.workers[w.ID] = w
		delete(l.faulty, w.ID)
		l.mu.Unlock()
		l.changed(w, false)
	}
}

func (l *workerList) remove(id string) {
	l.mu.Lock()
	w, known := l.workers[id]
	delete(l.workers, id)
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

package standin

import (
	"context"
	"sync"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// SlowTable is a Table in place of a slow store, which carries out the transactions of each part one after another and rejects them while more
// than a second of them waits in the part. Exported fields are set before the first call.
type SlowTable struct {
	*Table
	Clock       *clock.Clock
	Read        clock.Millis // duration of a read of rows
	Transaction clock.Millis // duration of a transaction

	mu   sync.Mutex
	busy map[string]clock.Millis // until when, by part
}

// Commit implements store.Table. A transaction whose caller does not await the answer is carried out all the same.
func (t *SlowTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	part := tx.Puts[0].Part
	t.mu.Lock()
	now := t.Clock.Now()
	if t.busy[part] > now+clock.Second {
		t.mu.Unlock()
		return store.Result{}, store.ErrRejected.New("too many transactions wait")
	}
	if t.busy == nil {
		t.busy = map[string]clock.Millis{}
	}
	t.busy[part] = max(t.busy[part], now) + t.Transaction
	wait := t.busy[part] - now
	t.mu.Unlock()
	done := make(chan struct{})
	var result store.Result
	var err error
	t.Clock.AfterFunc(wait, func() {
		result, err = t.Table.Commit(context.WithoutCancel(ctx), tx)
		close(done)
	})
	select {
	case <-done:
		return result, err
	case <-ctx.Done():
		return store.Result{}, store.ErrUnknown.New("no answer in time")
	}
}

// Range implements store.Table.
func (t *SlowTable) Range(ctx context.Context, table, part, from string) (store.Page, error) {
	if t.Clock.Sleep(ctx, t.Read) != nil {
		return store.Page{}, store.ErrUnknown.New("no answer in time")
	}
	return t.Table.Range(ctx, table, part, from)
}

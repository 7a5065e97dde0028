package daemon

import "sync"

// workQueue is an unbounded queue with one reader; writers never block. Its length stays bounded in practice, as the writers are
// the orders in flight and the feeds, and both wait for the reader.
type workQueue[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{} // receives a value when items were added, or by wake
}

func newWorkQueue[T any]() *workQueue[T] { return &workQueue[T]{signal: make(chan struct{}, 1)} }

func (q *workQueue[T]) put(item T) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	q.wake()
}

// wake signals the reader without adding an item.
func (q *workQueue[T]) wake() {
	select {
	case q.signal <- struct{}{}:
	default: // a signal is already pending
	}
}

// takeAll removes and returns all items, oldest first.
func (q *workQueue[T]) takeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

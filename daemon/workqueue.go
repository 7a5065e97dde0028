package daemon

import "sync"

// workQueue hands items to one reader; writers never block. What is written is bounded by the orders in flight and the
// feeds, which both wait for the reader.
type workQueue[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newWorkQueue[T any]() *workQueue[T] { return &workQueue[T]{signal: make(chan struct{}, 1)} }

func (q *workQueue[T]) put(item T) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	q.wake()
}

// wake lets the reader look around without an item.
func (q *workQueue[T]) wake() {
	select {
	case q.signal <- struct{}{}:
	default: // the reader has a signal already
	}
}

func (q *workQueue[T]) takeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

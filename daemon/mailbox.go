package daemon

import "sync"

// mailbox hands items to one reader; writers never block. What is written is bounded by the orders in flight and the
// feeds, which both wait for the reader.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{signal: make(chan struct{}, 1)} }

func (m *mailbox[T]) put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	m.wake()
}

// wake lets the reader look around without an item.
func (m *mailbox[T]) wake() {
	select {
	case m.signal <- struct{}{}:
	default: // the reader has a signal already
	}
}

func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

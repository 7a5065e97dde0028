package caller

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxBufferedBytes is the size of the largest body that is held in memory; larger ones are streamed.
	maxBufferedBytes = 1 << 20
	// initialBufferBytes is the first size of the buffer for a body of unknown length.
	initialBufferBytes = 4 << 10
	// maxPooledBytes is the size of the largest buffer that is pooled, so that a few large bodies do not occupy memory
	// permanently.
	maxPooledBytes = 64 << 10
	// copyBufferBytes is the size of the buffer through which an answer is streamed.
	copyBufferBytes = 32 << 10
)

// memoryBudget bounds the total size of all buffered bodies, in bytes.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

func (m *memoryBudget) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memoryBudget) release(n int64) { m.used.Add(-n) }

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// buffer holds one body, or the beginning of one that is too large.
type buffer struct {
	budget   *memoryBudget
	noReuse  bool    // not from the pool, because the transport may still read the memory after the exchange
	reserved int64   // bytes taken from the budget
	pooled   *[]byte // the pool's entry that data began with; nil without one
	data     []byte
}

// fill reads a body of the given length (-1 if unknown) and reports whether it is complete in the buffer. It is not if the
// body is larger than maxBufferedBytes or the budget is used up; the rest can then still be read from src.
func (b *buffer) fill(src io.Reader, length int64) (complete bool, err error) {
	if length == 0 {
		return true, nil
	}
	size := int64(initialBufferBytes)
	if length > 0 {
		if length > maxBufferedBytes {
			return false, nil
		}
		size = length + 1 // room for the read that returns io.EOF
	}
	if !b.budget.reserve(size) {
		return false, nil
	}
	b.reserved = size
	if !b.noReuse {
		b.pooled = buffers.Get().(*[]byte)
		b.data = (*b.pooled)[:0]
	}
	if int64(cap(b.data)) < size {
		b.data = make([]byte, 0, size)
	}
	for {
		if int64(len(b.data)) >= b.reserved {
			more := min(b.reserved, maxBufferedBytes-b.reserved)
			if more <= 0 || !b.budget.reserve(more) {
				return false, nil
			}
			b.reserved += more
		}
		if len(b.data) == cap(b.data) {
			b.data = append(make([]byte, 0, b.reserved), b.data...)
		}
		n, err := src.Read(b.data[len(b.data):min(int64(cap(b.data)), b.reserved)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// free returns the memory to the pool and the budget; data must not be used afterwards.
func (b *buffer) free() {
	if b.pooled != nil {
		if cap(b.data) <= maxPooledBytes {
			*b.pooled = b.data[:0]
		}
		buffers.Put(b.pooled)
	}
	if b.reserved > 0 {
		b.budget.release(b.reserved)
	}
	*b = buffer{budget: b.budget, noReuse: b.noReuse}
}

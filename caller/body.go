package caller

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"magnoliaferry/clock"
	"magnoliaferry/result"
)

// body is a request body. It is either complete in memory, or its beginning is in memory and the rest is still to be read
// from the caller's connection.
type body struct {
	buffered buffer
	source   io.ReadCloser
	length   int64 // in bytes; -1 if unknown
	limit    int64 // largest length in bytes
	complete bool  // all of the body is in memory
	consumed bool  // a streamed body was read from, so that no second attempt can send it
	failed   bool  // reading from the caller failed
}

var errTooLarge = errors.New("caller: the request body is too large")

func (b *body) init(memory *memoryBudget, source io.ReadCloser, length, limit int64) {
	b.buffered = buffer{budget: memory, noReuse: true}
	b.source = source
	b.length = length
	b.limit = limit
	b.complete = length == 0
}

// read reads the body into memory as far as it fits. It refuses a body that ends early or is too large.
func (b *body) read() *result.Refusal {
	complete, err := b.buffered.fill(b.source, b.length)
	if err != nil {
		b.failed = true
		return result.Refuse(CodeBodyIncomplete, err.Error(), clock.Second)
	}
	if b.complete = complete; complete {
		if int64(len(b.buffered.data)) > b.limit {
			return result.Refuse(CodeBodyTooLarge, "the body may have at most "+strconv.FormatInt(b.limit, 10)+" bytes", 0)
		}
		b.length = int64(len(b.buffered.data))
	}
	return nil
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.complete || !b.consumed }

// partlyRead reports whether the rest of the body may still be in the connection. If nothing was read, net/http discards
// a small body by itself.
func (b *body) partlyRead() bool { return b.failed || (b.source != nil && !b.complete) }

// reader returns the body for one attempt, or nil if the body is empty.
func (b *body) reader() io.ReadCloser {
	if b.complete {
		if len(b.buffered.data) == 0 {
			return nil
		}
		return io.NopCloser(bytes.NewReader(b.buffered.data))
	}
	return &stream{body: b, head: bytes.NewReader(b.buffered.data), remaining: b.limit}
}

func (b *body) free() { b.buffered.free() }

// stream reads the buffered beginning of a body and then the rest, up to the limit.
type stream struct {
	body      *body
	head      *bytes.Reader
	remaining int64 // bytes up to the limit
}

// Read returns errTooLarge once the body exceeds the limit.
func (s *stream) Read(p []byte) (int, error) {
	s.body.consumed = true
	if s.head.Len() > 0 {
		n, err := s.head.Read(p)
		s.remaining -= int64(n)
		return n, err
	}
	n, err := s.body.source.Read(p)
	if s.remaining -= int64(n); s.remaining < 0 {
		return n, errTooLarge
	}
	return n, err
}

// Close does not close the caller's body, which belongs to the HTTP server.
func (s *stream) Close() error { return nil }

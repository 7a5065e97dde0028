package caller

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"magnoliaferry/clock"
	"magnoliaferry/result"
)

// body is a request body: in memory as a whole, or its beginning in memory and the rest still to be read.
type body struct {
	buffered buffer
	source   io.ReadCloser
	length   int64
	limit    int64
	complete bool
	consumed bool // a streamed body was read from, so that no second attempt can send it
	failed   bool
}

var errTooLarge = errors.New("caller: the request body is too large")

func (b *body) init(memory *memoryBudget, source io.ReadCloser, length, limit int64) {
	b.buffered = buffer{budget: memory, noReuse: true}
	b.source = source
	b.length = length
	b.limit = limit
	b.complete = length == 0
}

// read takes the body into memory as far as it fits.
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

// replayable reports whether the body can be sent once more.
func (b *body) replayable() bool { return b.complete || !b.consumed }

// partlyRead reports whether the body was read in part. Where nothing was read the server skips a small body by itself.
func (b *body) partlyRead() bool { return b.failed || (b.source != nil && !b.complete) }

// reader returns the body for one attempt; nil for none.
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

// stream reads what was buffered and then the rest, up to the limit.
type stream struct {
	body      *body
	head      *bytes.Reader
	remaining int64
}

// Read fails once the body exceeds the limit.
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

// Close leaves the caller's body open, which belongs to the server.
func (s *stream) Close() error { return nil }

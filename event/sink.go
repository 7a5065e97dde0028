package event

import (
	"fmt"
	"io"
	"sync"
)

// maxBufferedBytes bounds the lines that wait for the writer: some seconds of logging under load.
const maxBufferedBytes = 1 << 20

// Sink is a writer for logs that never blocks: lines wait in a bounded buffer for a goroutine that writes them, and are
// dropped, and counted, while the buffer is full.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; it takes whole lines.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
	} else {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	s.signal()
	return len(line), nil
}

func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default: // the writer has a signal already
	}
}

// Close writes what waits and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		lines, dropped, closed := s.buffer, s.dropped, s.closed
		s.buffer, s.dropped = nil, 0
		s.mu.Unlock()
		if dropped > 0 {
			lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines were dropped because nothing read them","event":%d,"name":%q,"lines":%d}`+"\n",
				eventDropped.number, eventDropped.name, dropped)
		}
		if len(lines) > 0 {
			_, _ = s.out.Write(lines) // there is nowhere else to report a log that cannot be written
		}
		if closed {
			return
		}
	}
}

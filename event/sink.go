package event

import (
	"fmt"
	"io"
	"sync"
)

// maxBufferedBytes is the maximum size of the buffered lines: several seconds of logging under load.
const maxBufferedBytes = 1 << 20

// Sink is a non-blocking writer for logs, so that a process keeps running when its log is not read. Lines are buffered
// and written by a goroutine; while the buffer is full, lines are dropped and counted, and the count is logged later.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int           // number of lines dropped since the last write
	wake    chan struct{} // starts the next write or, after Close, the last one
	done    chan struct{} // closed when run has returned
	closed  bool
}

// NewSink returns a Sink that writes to out. The caller must Close it.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; each call must pass one whole line. It never fails.
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
	default: // a signal is pending already
	}
}

// Close writes the buffered lines and stops the sink; later lines are dropped. It blocks while out blocks.
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
			lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped because the log output was not read fast enough","event":%d,"name":%q,"lines":%d}`+"\n",
				eventDropped.number, eventDropped.name, dropped)
		}
		if len(lines) > 0 {
			_, _ = s.out.Write(lines) // an error of the log output cannot be logged
		}
		if closed {
			return
		}
	}
}

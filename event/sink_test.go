package event

import (
	"strings"
	"sync"
	"testing"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	entered chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a process that blocks because its log output is not read, and against dropped lines that are not
// counted.
func TestSinkNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	s := NewSink(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	if _, err := s.Write(line); err != nil {
		t.Fatal(err)
	}
	<-out.entered
	for range 2 * maxBufferedBytes / len(line) {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	s.Close()
	if got := strings.Count(out.text.String(), "x\n"); got != maxBufferedBytes/len(line)+1 {
		t.Errorf("lines got %d, want %d", got, maxBufferedBytes/len(line)+1)
	}
	if got := out.text.String(); !strings.Contains(got, `"name":"log-lines-dropped","lines":1024`) {
		t.Errorf("end of the log got %q, want an event with the number of dropped lines", got[len(got)-200:])
	}
}

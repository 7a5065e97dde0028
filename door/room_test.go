package door

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
)

// request returns a POST with a body of the declared length; -1: chunked.
func request(t *testing.T, body io.Reader, length int64) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://h/q/1", body)
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = length
	return r
}

// stalled is a body that sends some bytes and then blocks until it is closed.
type stalled struct {
	first    io.Reader
	reached  chan struct{} // closed once the bytes are read
	closed   chan struct{}
	finished bool
}

func newStalled(bytes int) *stalled {
	return &stalled{first: strings.NewReader(strings.Repeat("x", bytes)), reached: make(chan struct{}), closed: make(chan struct{})}
}

func (s *stalled) Read(p []byte) (int, error) {
	if n, err := s.first.Read(p); err == nil {
		return n, nil
	}
	if !s.finished {
		s.finished = true
		close(s.reached)
	}
	<-s.closed
	return 0, io.ErrUnexpectedEOF
}

func (s *stalled) Close() error { close(s.closed); return nil }

// stall lets a body that stalls arrive; the returned channel receives its error.
func stall(t *testing.T, m *Room, sent int, length int64) (*stalled, chan error) {
	t.Helper()
	s, outcome := newStalled(sent), make(chan error, 1)
	r := request(t, s, length)
	go func() {
		_, _, err := m.Receive(r, 1<<20)
		outcome <- err
	}()
	<-s.reached
	return s, outcome
}

// Guards against bodies that stop short of their end and keep the memory from one that arrives at once, and against memory that is counted twice
// or never returned.
func TestStalledBodyLosesItsMemory(t *testing.T) {
	fake := clock.NewFake(0)
	m := &Room{Bytes: 20_000, Clock: fake}
	first, firstOutcome := stall(t, m, 8999, 9000)
	fake.Advance(minStay / 2)
	second, secondOutcome := stall(t, m, 8999, 9000)
	whole := func() (func(), error) {
		_, release, err := m.Receive(request(t, strings.NewReader(strings.Repeat("x", 10_000)), 10_000), 1<<20)
		return release, err
	}
	if _, err := whole(); !errorx.IsOfType(err, ErrNoMemory) {
		t.Errorf("newcomer among young bodies got error %v, want ErrNoMemory", err)
	}
	fake.Advance(minStay / 2)
	release, err := whole()
	if err != nil {
		t.Fatalf("newcomer got error %v, want the memory of a stalled body", err)
	}
	release()
	_ = first.Close() // never fails
	_ = second.Close()
	if got := <-firstOutcome; !errorx.IsOfType(got, ErrNoMemory) {
		t.Errorf("the older stalled body got %v, want ErrNoMemory", got)
	}
	if got := <-secondOutcome; !errorx.IsOfType(got, ErrCut) {
		t.Errorf("the younger stalled body got %v, want ErrCut", got)
	}
	if m.held != 0 || len(m.arriving) != 0 {
		t.Errorf("at the end %d bytes are held for %d bodies, want none", m.held, len(m.arriving))
	}
}

// Guards against a body that grows while it is the slowest itself and takes the memory of quicker ones.
func TestSlowestBodyTakesNoMemory(t *testing.T) {
	fake := clock.NewFake(0)
	m := &Room{Bytes: 10_000, Clock: fake}
	slow := &arrival{total: 1 << 20}
	m.begin(slow)
	if err := m.reserve(slow, 5000); err != nil {
		t.Fatal(err)
	}
	fake.Advance(minStay)
	quick := &arrival{total: 5000}
	m.begin(quick)
	if err := m.reserve(quick, 5000); err != nil {
		t.Fatal(err)
	}
	fake.Advance(minStay)
	m.progress(quick, 4000)
	if err := m.reserve(slow, 1000); !errorx.IsOfType(err, ErrNoMemory) || quick.lost {
		t.Errorf("the slowest body got error %v, the quick one lost its memory: %t; want ErrNoMemory and false", err, quick.lost)
	}
}

// Guards against a body over the limit that is cut off there and decoded, or that is read although its length is declared.
func TestBodyOverTheLimit(t *testing.T) {
	const limit = 10_000
	content := strings.Repeat("x", limit+1)
	for name, test := range map[string]struct {
		length int64
		bytes  int
		ok     bool
	}{
		"whole":                 {limit, limit, true},
		"declared over":         {limit + 1, limit + 1, false},
		"chunked":               {-1, limit, true},
		"chunked over":          {-1, limit + 1, false},
		"empty":                 {0, 0, true},
		"chunked without bytes": {-1, 0, true},
	} {
		for _, m := range []*Room{nil, {Bytes: 1 << 20, Clock: clock.NewFake(0)}} {
			body := strings.NewReader(content[:test.bytes])
			got, release, err := m.Receive(request(t, body, test.length), limit)
			if test.ok {
				if err != nil || len(got) != test.bytes {
					t.Errorf("%s: got %d bytes, error %v, want %d bytes", name, len(got), err, test.bytes)
					continue
				}
				release()
			} else if !errorx.IsOfType(err, ErrTooLarge) || test.length > limit && body.Len() != test.bytes {
				t.Errorf("%s: got error %v, %d bytes left, want ErrTooLarge and a declared body unread", name, err, body.Len())
			}
		}
	}
}

package door

import (
	"io"
	"net/http"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("door")

// The errors of bodies. No part of a request runs if its body has one.
var (
	ErrTooLarge = Errors.NewType("too-large") // over the limit for one body
	ErrNoMemory = Errors.NewType("no-memory") // there is no memory for the body now
	ErrCut      = Errors.NewType("cut")       // the connection ended, or was closed, before the end of the body
)

// firstBuffer is the size of the first buffer of a body in bytes; most bodies fit into it.
const firstBuffer = 4 << 10

// Room is the memory for the bodies of requests. A nil Room has no bound. Exported fields are set before the first request.
type Room struct {
	Bytes int64 // of all bodies at once
	Clock *clock.Clock
	Door  *Door // counts the bodies that lose their memory

	mu       sync.Mutex
	held     int64
	arriving map[*arrival]struct{}
}

// arrival is a body that arrives. Room.mu guards it.
type arrival struct {
	started         clock.Millis
	received, total int64 // total is the limit if the client does not declare it
	held            int64
	lost            bool
	conn            io.Closer // nil without a door
}

// Receive reads the body of a request, which may have at most limit bytes. The memory is held until release is called. Errors are ErrTooLarge, ErrNoMemory
// and ErrCut; there is nothing to release then.
func (m *Room) Receive(r *http.Request, limit int64) (content []byte, release func(), err error) {
	if r.ContentLength > limit {
		return nil, nil, ErrTooLarge.New("the body has %d bytes, at most %d are accepted", r.ContentLength, limit)
	}
	a := &arrival{total: limit}
	if r.ContentLength >= 0 {
		a.total = r.ContentLength
	}
	if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
		a.conn = c
	}
	enterPhase(r, Body)
	defer enterPhase(r, Serving)
	m.begin(a)
	content, err = m.read(a, r, limit)
	m.end(a)
	if err != nil {
		m.release(a)
		return nil, nil, err
	}
	return content, func() { m.release(a) }, nil
}

func (m *Room) read(a *arrival, r *http.Request, limit int64) ([]byte, error) {
	var content []byte
	for r.ContentLength < 0 || int64(len(content)) < r.ContentLength {
		if len(content) == cap(content) {
			size := min(max(2*int64(cap(content)), firstBuffer), a.total+1) // one more than the limit shows that a body without a length is over it
			if err := m.reserve(a, size-int64(cap(content))); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := r.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case m.progress(a, n):
			return nil, ErrNoMemory.New("the memory of the body was needed for others, which are expected to end earlier")
		case int64(len(content)) > limit:
			return nil, ErrTooLarge.New("the body has more than %d bytes", limit)
		case err == io.EOF:
			return content, nil
		case err != nil:
			return nil, ErrCut.Wrap(err, "the body ends after %d bytes", len(content))
		}
	}
	return content, nil
}

func (m *Room) begin(a *arrival) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.arriving == nil {
		m.arriving = map[*arrival]struct{}{}
	}
	a.started = m.Clock.Now()
	m.arriving[a] = struct{}{}
}

// end makes a body keep its memory until it is released.
func (m *Room) end(a *arrival) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.arriving, a)
}

func (m *Room) release(a *arrival) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= a.held
	a.held = 0
}

// progress records that n more bytes of a body have arrived, and reports whether the body has lost its memory.
func (m *Room) progress(a *arrival, n int) (lost bool) {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a.received += int64(n)
	return a.lost
}

// reserve holds more memory for a body, which others that are expected to end later may lose. It returns ErrNoMemory if there is none.
func (m *Room) reserve(a *arrival, bytes int64) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	var lost []io.Closer
	for m.held+bytes > m.Bytes && !a.lost {
		victim := m.last(a)
		if victim == nil {
			break
		}
		m.held -= victim.held
		victim.held, victim.lost = 0, true
		delete(m.arriving, victim)
		if victim.conn != nil {
			lost = append(lost, victim.conn)
		}
	}
	ok := m.held+bytes <= m.Bytes && !a.lost
	if ok {
		m.held += bytes
		a.held += bytes
	}
	m.mu.Unlock()
	for _, c := range lost {
		m.count()
		_ = c.Close() // it is lost in any case
	}
	if !ok {
		m.count()
		return ErrNoMemory.New("the bodies of other requests take the memory for bodies")
	}
	return nil
}

func (m *Room) count() {
	if m.Door != nil {
		m.Door.count(reasonNoMemory)
	}
}

// last returns the arriving body that is expected to end last, or nil if this is the one that asks or if all are younger than minStay. m.mu is held.
func (m *Room) last(asking *arrival) *arrival {
	now := m.Clock.Now()
	var found *arrival
	latest := clock.Millis(0)
	for a := range m.arriving {
		age := now - a.started
		if expected := expectedEnd(age, a.received, a.total-a.received); age >= minStay && a.held > 0 && expected > latest {
			found, latest = a, expected
		}
	}
	if found == asking {
		return nil
	}
	return found
}

package door

import "magnoliaferry/clock"

// Phase is what a connection is doing.
type Phase int32

// The phases. A new connection is in Headers.
const (
	Idle    Phase = iota // between two requests
	Headers              // of a request arrive
	Body                 // of a request arrives
	Serving              // a whole request is handled, or its answer is written
)

// Times of the decisions about connections and bodies.
const (
	// minStay is the age from which a body can lose its memory to a newcomer. Most bodies have arrived whole by then.
	minStay = 500 * clock.Millis(1)
	// slowAge is the age from which an incomplete request or a blocked answer is closed before an idle connection.
	slowAge = 1 * clock.Second
)

// Limits are the limits for the connections of a door.
type Limits struct {
	HeaderBytes   int          // of one request, with its first line
	HeaderLines   int          // of one request
	HeaderTimeout clock.Millis // until the headers of a request are complete; for the first request, from the start of the connection
	IdleTimeout   clock.Millis // between two requests
	// BusyHeaderTimeout and BusyIdleTimeout apply while more than half of the places are taken.
	BusyHeaderTimeout clock.Millis
	BusyIdleTimeout   clock.Millis
	SlowGrace         clock.Millis // for which a body may be slower than MinimumRate
	MinimumRate       int64        // bytes of a body per second, in the mean after SlowGrace
	WriteTimeout      clock.Millis // until the client has read enough for one write
}

// connection is what the decisions know of a connection.
type connection struct {
	phase    Phase
	since    clock.Millis // start of the phase
	received int64        // bytes in the phase
	blocked  clock.Millis // start of the write that is under way; 0: none
}

// Reason is why a connection was closed.
type Reason int

// The reasons.
const (
	reasonNone     Reason = iota
	reasonFull            // its place was needed
	reasonIdle            // no request for too long
	reasonHeaders         // its headers took too long
	reasonSlow            // its body was slower than the minimum rate
	reasonUnread          // its answers were not read
	reasonRefused         // there was no place for it
	reasonTooMany         // its headers had too many bytes or lines
	reasonNoMemory        // the memory of its body was needed
	reasonCount
)

var reasonNames = [reasonCount]string{reasonFull: "full", reasonIdle: "idle", reasonHeaders: "headers-slow", reasonSlow: "body-slow",
	reasonUnread: "answers-unread", reasonRefused: "refused", reasonTooMany: "headers-too-large", reasonNoMemory: "no-memory"}

// overdue returns why a connection has to be closed, or reasonNone. It answers clients that send slowly or stop half-way: a client that keeps to
// the limits is never overdue, whatever the load.
func (l *Limits) overdue(c connection, now clock.Millis, busy bool) Reason {
	headers, idle := l.HeaderTimeout, l.IdleTimeout
	if busy {
		headers, idle = l.BusyHeaderTimeout, l.BusyIdleTimeout
	}
	age := now - c.since
	switch {
	case c.blocked != 0 && now-c.blocked > l.WriteTimeout:
		return reasonUnread
	case c.phase == Idle && age > idle:
		return reasonIdle
	case c.phase == Headers && age > headers:
		return reasonHeaders
	case c.phase == Body && c.received < int64(age-l.SlowGrace)*l.MinimumRate/int64(clock.Second):
		return reasonSlow
	}
	return reasonNone
}

// preference returns how soon a connection is closed when a newcomer needs its place: 0 first; ok is false if it keeps its place. It answers crowds
// that open more connections than there are places. A newcomer that sends its request at once is served before as many others have come as there are places.
func (l *Limits) preference(c connection, now clock.Millis) (class int, ok bool) {
	age := now - c.since
	switch {
	case c.blocked != 0 && now-c.blocked >= slowAge:
		return 0, true
	case c.phase == Serving:
		return 0, false
	case c.phase == Idle:
		return 1, true
	case age >= slowAge && (c.phase == Headers || c.received < int64(age)*l.MinimumRate/int64(clock.Second)):
		return 0, true
	}
	return 2, true
}

// chooser finds the connection that is closed for a newcomer: of those with the lowest preference, the one whose phase has lasted longest.
type chooser struct {
	limits *Limits
	now    clock.Millis
	found  bool
	class  int
	since  clock.Millis
}

// better reports whether c is closed before all connections that the chooser has seen so far.
func (h *chooser) better(c connection) bool {
	class, ok := h.limits.preference(c, h.now)
	if !ok || h.found && (class > h.class || class == h.class && c.since >= h.since) {
		return false
	}
	h.found, h.class, h.since = true, class, c.since
	return true
}

// expectedEnd returns how much longer a body is expected to take: at least as long as it has taken, which also holds for a client that stops short of
// the end of its body, and otherwise what is missing at the mean rate so far.
func expectedEnd(age clock.Millis, received, missing int64) clock.Millis {
	return max(age, clock.Millis(missing*int64(age)/max(received, 1)))
}

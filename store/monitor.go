package store

import (
	"context"
	"log/slog"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/event"
)

var eventAnswersAgain = event.New(5130, "store-answers-again", slog.LevelInfo,
	"the store answers after a silence; calls that still wait from before are given up and repeated")

// Times of a Monitor.
const (
	// silenceTime is how long no call may have been answered before the store counts as silent; the feeds alone bring
	// an answer every few hundred milliseconds.
	silenceTime  = 700 * clock.Millis(1)
	probePeriod  = 150 * clock.Millis(1)
	probeTimeout = 400 * clock.Millis(1) // a probe takes some milliseconds, and up to 0.3 s while the store is slow
	// recentTime is the age up to which an answer shows that the table can be reached.
	recentTime = 150 * clock.Millis(1)
	// hangTime is how much older than the first answer a call must be to count as hanging.
	hangTime = 300 * clock.Millis(1)
)

// Monitor passes calls on to a table and notices when the table answers again after a silence, in which answers are lost
// and connections hang. Calls from before would wait for their timeouts, of up to some seconds, while the table could serve
// them: they are given up at once, and their callers repeat them. Exported fields are set before the first call.
type Monitor struct {
	Table  Table
	Clock  *clock.Clock
	Logger *slog.Logger

	mu       sync.Mutex
	answered clock.Millis // when the newest answer came
	calls    map[*monitoredCall]bool
	probe    chan struct{} // closed at the end of the probe that is out; nil without one
}

type monitoredCall struct {
	sent   clock.Millis
	cancel context.CancelFunc
}

// Name implements kernel.Module.
func (m *Monitor) Name() string { return "store monitor" }

// Run probes the table while it is silent, until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	for m.Clock.Sleep(ctx, probePeriod) == nil {
		if m.SinceLastAnswer() >= silenceTime {
			m.ask(ctx)
		}
	}
	return nil
}

// Reachable reports whether the table answers now. It asks the table if there was no answer lately; several callers share one
// question.
func (m *Monitor) Reachable(ctx context.Context) bool {
	if m.SinceLastAnswer() <= recentTime {
		return true
	}
	m.mu.Lock()
	probe := m.probe
	if probe == nil {
		probe = make(chan struct{})
		m.probe = probe
		go func() {
			m.ask(context.WithoutCancel(ctx)) // others may wait for it too
			m.mu.Lock()
			m.probe = nil
			m.mu.Unlock()
			close(probe)
		}()
	}
	m.mu.Unlock()
	select {
	case <-probe:
	case <-ctx.Done():
	}
	return m.SinceLastAnswer() <= recentTime
}

// ask sends a small call, of which only counts whether it is answered; Range notes that.
func (m *Monitor) ask(ctx context.Context) {
	ctx, cancel := m.Clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = m.Range(ctx, StateTable, FleetPart, OwnerKey)
}

// SinceLastAnswer returns the time since the newest answer.
func (m *Monitor) SinceLastAnswer() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now() - m.answered
}

// do makes a call with a context that ends early if the call turns out to hang.
func (m *Monitor) do(ctx context.Context, call func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &monitoredCall{sent: m.Clock.Now(), cancel: cancel}
	m.mu.Lock()
	if m.calls == nil {
		m.calls = map[*monitoredCall]bool{}
	}
	m.calls[c] = true
	m.mu.Unlock()
	err := call(ctx)
	m.mu.Lock()
	delete(m.calls, c)
	m.mu.Unlock()
	if err == nil || errorx.IsOfType(err, ErrHistoryGone) {
		m.note(c.sent)
	}
}

// note takes in that a call that was sent at the given time has been answered.
func (m *Monitor) note(sent clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	silence := now - m.answered
	m.answered = now
	if silence < silenceTime {
		return
	}
	hanging := 0
	for c := range m.calls {
		if c.sent < sent-hangTime {
			c.cancel()
			hanging++
		}
	}
	if hanging > 0 {
		eventAnswersAgain.Log(context.Background(), m.Logger, slog.Int64("silent-ms", int64(silence)), slog.Int("hanging", hanging))
	}
}

// Commit implements Table.
func (m *Monitor) Commit(ctx context.Context, tx Transaction) (result Result, err error) {
	m.do(ctx, func(ctx context.Context) error {
		result, err = m.Table.Commit(ctx, tx)
		return err
	})
	return result, err
}

// Range implements Table.
func (m *Monitor) Range(ctx context.Context, table, part, from string) (page Page, err error) {
	m.do(ctx, func(ctx context.Context) error {
		page, err = m.Table.Range(ctx, table, part, from)
		return err
	})
	return page, err
}

// Parts implements Table.
func (m *Monitor) Parts(ctx context.Context, table, after string) (names []string, more bool, err error) {
	m.do(ctx, func(ctx context.Context) error {
		names, more, err = m.Table.Parts(ctx, table, after)
		return err
	})
	return names, more, err
}

// Feed implements Table.
func (m *Monitor) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (page Page, err error) {
	m.do(ctx, func(ctx context.Context) error {
		page, err = m.Table.Feed(ctx, table, after, wait)
		return err
	})
	return page, err
}

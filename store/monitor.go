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
	"the store answers again after an outage; calls sent during the outage are cancelled, and their callers repeat them")

// Times of a Monitor.
const (
	// outageThreshold is the time without an answer to any call after which the store is considered unresponsive; the feeds alone
	// receive an answer every few hundred milliseconds.
	outageThreshold = 700 * clock.Millis(1)
	probePeriod     = 150 * clock.Millis(1) // between checks whether a probe is needed
	probeTimeout    = 400 * clock.Millis(1) // a probe takes a few milliseconds, and up to 0.3 s while the store is slow
	// recentAnswerAge is the age up to which an answer counts as proof that the store is reachable.
	recentAnswerAge = 150 * clock.Millis(1)
	// hangingCallMargin is how much earlier than the first answered call another call must have been sent to count as hanging.
	hangingCallMargin = 300 * clock.Millis(1)
)

// Monitor forwards calls to a table and detects when the table answers again after an outage, during which answers are lost
// and connections hang. Calls that were sent during the outage would wait for their timeouts, up to some seconds, although
// the table could serve them again; Monitor cancels them, and their callers repeat them. Exported fields are set before the
// first call.
type Monitor struct {
	Table  Table
	Clock  *clock.Clock
	Logger *slog.Logger
	// OnRecovery, if set, is called when the table answers again after an outage.
	OnRecovery func()

	mu         sync.Mutex
	lastAnswer clock.Millis            // when the newest answer arrived
	calls      map[*monitoredCall]bool // in flight
	probe      chan struct{}           // closed at the end of the probe of Reachable that is in flight; nil if there is none
}

type monitoredCall struct {
	sent   clock.Millis
	cancel context.CancelFunc
}

// Name implements kernel.Module.
func (m *Monitor) Name() string { return "store monitor" }

// Run probes the table while it is unresponsive, until the context ends. The first answered probe ends the hanging calls.
func (m *Monitor) Run(ctx context.Context) error {
	for m.Clock.Sleep(ctx, probePeriod) == nil {
		if m.SinceLastAnswer() >= outageThreshold {
			m.sendProbe(ctx)
		}
	}
	return nil
}

// Reachable reports whether the table answers now. It sends a probe if there was no recent answer; concurrent callers share one
// probe.
func (m *Monitor) Reachable(ctx context.Context) bool {
	if m.SinceLastAnswer() <= recentAnswerAge {
		return true
	}
	m.mu.Lock()
	probe := m.probe
	if probe == nil {
		probe = make(chan struct{})
		m.probe = probe
		go func() {
			m.sendProbe(context.WithoutCancel(ctx)) // other callers may wait for the same probe
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
	return m.SinceLastAnswer() <= recentAnswerAge
}

// sendProbe sends a small read whose content is ignored; Range records whether it is answered.
func (m *Monitor) sendProbe(ctx context.Context) {
	ctx, cancel := m.Clock.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = m.Range(ctx, StateTable, FleetPart, OwnerKey)
}

// SinceLastAnswer returns the time since the newest answer of the table; before the first one, the time of the clock.
func (m *Monitor) SinceLastAnswer() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now() - m.lastAnswer
}

// trackCall makes a call with a context that is cancelled if the call is found to hang.
func (m *Monitor) trackCall(ctx context.Context, call func(ctx context.Context) error) {
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
		if recovered := m.recordAnswer(c.sent); recovered && m.OnRecovery != nil {
			m.OnRecovery()
		}
	}
}

// recordAnswer records that a call sent at the given time has been answered. After an outage, it cancels the hanging calls and returns true.
func (m *Monitor) recordAnswer(sent clock.Millis) (recovered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	silence := now - m.lastAnswer
	m.lastAnswer = now
	if silence < outageThreshold {
		return false
	}
	hanging := 0
	for c := range m.calls {
		if c.sent < sent-hangingCallMargin {
			c.cancel()
			hanging++
		}
	}
	if hanging > 0 {
		eventAnswersAgain.Log(context.Background(), m.Logger, slog.Int64("silent-ms", int64(silence)), slog.Int("hanging", hanging))
	}
	return true
}

// Commit implements Table.
func (m *Monitor) Commit(ctx context.Context, tx Transaction) (result Result, err error) {
	m.trackCall(ctx, func(ctx context.Context) error {
		result, err = m.Table.Commit(ctx, tx)
		return err
	})
	return result, err
}

// Range implements Table.
func (m *Monitor) Range(ctx context.Context, table, part, from string) (page Page, err error) {
	m.trackCall(ctx, func(ctx context.Context) error {
		page, err = m.Table.Range(ctx, table, part, from)
		return err
	})
	return page, err
}

// Parts implements Table.
func (m *Monitor) Parts(ctx context.Context, table, after string) (names []string, more bool, err error) {
	m.trackCall(ctx, func(ctx context.Context) error {
		names, more, err = m.Table.Parts(ctx, table, after)
		return err
	})
	return names, more, err
}

// Feed implements Table.
func (m *Monitor) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (page Page, err error) {
	m.trackCall(ctx, func(ctx context.Context) error {
		page, err = m.Table.Feed(ctx, table, after, wait)
		return err
	})
	return page, err
}

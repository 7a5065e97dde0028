package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against an idle copy that is reported as healthy: an instance that becomes the owner of a pool right after an outage of the
// store would conclude from entries that expired during the outage that the workers have left.
func TestIdleCopyIsNotHealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		var idle, down atomic.Bool
		table.Down = down.Load
		c := clock.NewFake(1000)
		rows := make(chan clock.Millis, 1)
		f := &store.Follower{Store: table, Clock: c, Table: "t", Period: func() clock.Millis { return 50 }, Wait: 10,
			Idle: idle.Load, OnLoad: func([]store.Row) {}}
		f.OnRows = func([]store.Row) { rows <- f.HealthyFor() }
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		if err := f.CatchUp(ctx); err != nil {
			t.Error(err)
		}
		advance := func(d clock.Millis) {
			for range d / 10 {
				c.Advance(10)
				<-clock.System().After(10) // the stand-in's feed waits on the system clock, not on the fake one
				synctest.Wait()
			}
		}
		idle.Store(true)
		advance(1 * clock.Second)
		if got := f.HealthyFor(); got != 0 {
			t.Errorf("healthy of an idle copy got %d ms, want 0", got)
		}
		down.Store(true)
		table.Put("t", "k", nil)
		advance(4 * clock.Second)
		down.Store(false)
		idle.Store(false)
		advance(100)
		if got := <-rows; got != 0 {
			t.Errorf("healthy at the first changes after the idle time got %d ms, want 0", got)
		}
		if got, most := f.HealthyFor(), clock.Millis(100); got == 0 || got > most {
			t.Errorf("healthy got %d ms, want more than 0 and at most %d: the store was unavailable until then", got, most)
		}
		advance(1 * clock.Second)
		if got, least := f.HealthyFor(), 1*clock.Second; got < least {
			t.Errorf("healthy got %d ms, want at least %d: no call has failed since then", got, least)
		}
		cancel()
		<-ended
	})
}

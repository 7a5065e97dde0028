package store

import (
	"context"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
)

// unresponsiveTable does not answer while silent is set: calls block until their contexts end.
type unresponsiveTable struct {
	Table
	silent bool
	ranges int
}

func (t *unresponsiveTable) Commit(ctx context.Context, _ Transaction) (Result, error) {
	if t.silent {
		<-ctx.Done()
		return Result{}, ErrUnknown.New("no answer")
	}
	return Result{Applied: true, Version: 1}, nil
}

func (t *unresponsiveTable) Range(ctx context.Context, _, _, _ string) (Page, error) {
	t.ranges++
	if t.silent {
		<-ctx.Done()
		return Page{}, ErrRejected.New("no answer")
	}
	return Page{}, nil
}

// Guards against an owner that still waits for the timeout of a transaction from an outage of the store seconds after the store
// has recovered.
func TestHangingCallsEndWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		table := &unresponsiveTable{silent: true}
		c := clock.NewFake(10000)
		m := &Monitor{Table: table, Clock: c}
		stopped := make(chan error, 1)
		go func() { stopped <- m.Run(ctx) }()
		failed := make(chan error, 1)
		go func() {
			_, err := m.Commit(ctx, Transaction{})
			failed <- err
		}()
		advance := func(d clock.Millis) {
			for ; d > 0; d -= 10 {
				synctest.Wait()
				c.Advance(10)
			}
			synctest.Wait()
		}
		advance(4 * clock.Second)
		select {
		case err := <-failed:
			t.Fatalf("transaction ended with %v while the store is unresponsive, want it to wait", err)
		default:
		}
		table.silent = false
		advance(probePeriod + probeTimeout)
		select {
		case err := <-failed:
			if err == nil {
				t.Error("transaction got success, want an unknown outcome")
			}
		default:
			t.Errorf("transaction still hangs %d ms after the store has recovered", probePeriod+probeTimeout)
		}
		cancel()
		<-stopped
	})
}

// Guards against slow calls that are cancelled although the store answers other calls.
func TestSlowCallsAreNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &unresponsiveTable{silent: true}
		c := clock.NewFake(10000)
		m := &Monitor{Table: table, Clock: c}
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := m.Commit(ctx, Transaction{})
			failed <- err
		}()
		synctest.Wait()
		table.silent = false
		for range 20 { // other calls are answered in the meantime
			if _, err := m.Range(ctx, "t", "p", ""); err != nil {
				t.Fatal(err)
			}
			c.Advance(outageThreshold / 2)
		}
		synctest.Wait()
		select {
		case err := <-failed:
			t.Errorf("transaction got %v, want it to wait", err)
		default:
		}
		cancel()
		<-failed
	})
}

// Guards against calls to a table that has just stopped answering, and against one probe for each of many callers.
func TestReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &unresponsiveTable{}
		c := clock.NewFake(10000)
		m := &Monitor{Table: table, Clock: c}
		if !m.Reachable(context.Background()) {
			t.Error("reachable got false for a table that answers, want true")
		}
		asked := table.ranges
		if !m.Reachable(context.Background()) || table.ranges != asked {
			t.Errorf("probes got %d, want none right after an answer", table.ranges-asked)
		}
		table.silent = true
		c.Advance(recentAnswerAge + 1)
		answers := make(chan bool, 5)
		for range 5 {
			go func() { answers <- m.Reachable(context.Background()) }()
		}
		synctest.Wait()
		c.Advance(probeTimeout)
		synctest.Wait()
		for range 5 {
			if <-answers {
				t.Error("reachable got true for an unresponsive table, want false")
			}
		}
		if got, want := table.ranges-asked, 1; got != want {
			t.Errorf("probes got %d, want %d for all callers", got, want)
		}
	})
}

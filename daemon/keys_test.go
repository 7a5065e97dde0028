package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/platform"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

const (
	testRevocationLimit = 5 * clock.Second
	testReadTimeout     = 900 * clock.Millis(1) // the timeout of a read, besides its wait for a change
)

// feedFault is what happens to the calls of one instance to the store.
type feedFault string

const (
	feedWorks       feedFault = ""
	feedTurnedAway  feedFault = "turned away"
	feedSilent      feedFault = "cut off"
	feedLosesAnswer feedFault = "answers lost"
	feedLate        feedFault = "answers late" // the store reads its rows when the call arrives, and the answer takes feedDelay
	feedDelay                 = 800 * clock.Millis(1)
)

// recovery is within which keys are accepted again after an outage: a probe of the monitor finds out within 550 ms that the store answers.
const recovery = 600 * clock.Millis(1)

// faultyTable is the path of one instance to the store.
type faultyTable struct {
	store.Table
	clock *clock.Clock
	mu    sync.Mutex
	fault feedFault
}

func (f *faultyTable) set(fault feedFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// read makes a read with the fault that is in force when it begins. A path that was cut meanwhile delivers no answer.
func (f *faultyTable) read(ctx context.Context, timeout clock.Millis, read func(ctx context.Context) error) error {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	ctx, cancel := f.clock.WithTimeout(ctx, timeout)
	defer cancel()
	hang := func() error { // until the caller ends the call, also when the path works again
		<-ctx.Done()
		return store.ErrRejected.New("no answer")
	}
	switch fault {
	case feedTurnedAway:
		return store.ErrRejected.New("503")
	case feedSilent:
		return hang()
	case feedLosesAnswer:
		_ = read(ctx)
		return hang()
	case feedLate:
		err := read(ctx)
		if f.clock.Sleep(ctx, feedDelay) != nil {
			return store.ErrRejected.New("the answer is too late")
		}
		return err
	}
	err := read(ctx)
	f.mu.Lock()
	cut := f.fault == feedSilent || f.fault == feedLosesAnswer
	f.mu.Unlock()
	if cut {
		return hang()
	}
	return err
}

func (f *faultyTable) Range(ctx context.Context, table, part, from string) (page store.Page, err error) {
	err = f.read(ctx, testReadTimeout, func(ctx context.Context) (err error) {
		page, err = f.Table.Range(ctx, table, part, from)
		return err
	})
	return page, err
}

func (f *faultyTable) Parts(ctx context.Context, table, after string) (names []string, more bool, err error) {
	err = f.read(ctx, testReadTimeout, func(ctx context.Context) (err error) {
		names, more, err = f.Table.Parts(ctx, table, after)
		return err
	})
	return names, more, err
}

func (f *faultyTable) Feed(ctx context.Context, table string, after int64, wait clock.Millis) (page store.Page, err error) {
	err = f.read(ctx, testReadTimeout+wait, func(ctx context.Context) (err error) {
		page, err = f.Table.Feed(ctx, table, after, wait)
		return err
	})
	return page, err
}

// keyedInstance is an instance of a site with keys, on a fake clock and with its own path to the store.
type keyedInstance struct {
	clock     *clock.Clock
	suspended clock.Millis // time that the clock has left out
	path      *faultyTable
	daemon    *Daemon
	callers   http.Handler
	stop      func()
}

func startKeyedInstance(c *clock.Clock, table *standin.Table) *keyedInstance {
	i := &keyedInstance{clock: c, path: &faultyTable{Table: table, clock: c}}
	d := &Daemon{clock: c, owners: map[*poolOwner]bool{}, claimers: map[string]bool{}, waves: map[int64]batch.Wave{}}
	i.daemon = d
	d.bootClock = func() clock.Millis { return c.Now() + i.suspended }
	d.Settings.RevocationLimit = testRevocationLimit
	d.table = &store.Monitor{Table: i.path, Clock: c}
	d.followStates(feedWait)
	ctx, cancel := context.WithCancel(context.Background())
	ended, end := context.WithCancel(context.Background())
	end() // the instance claims no parts
	var claimersDone, running sync.WaitGroup
	feed := d.followOperators(func(rows []store.Row) { d.operatorRows(ended, &claimersDone, rows) })
	for _, run := range []func(context.Context) error{d.table.Run, d.stateFeed.Run, feed.Run} {
		running.Go(func() { _ = run(ctx) })
	}
	running.Go(func() { d.settleLayout(ctx) })
	i.callers = &platform.Front{Service: d.service()}
	i.stop = func() { cancel(); running.Wait() }
	return i
}

// advance lets the time pass.
func (i *keyedInstance) advance(d clock.Millis) {
	for range d / 10 {
		i.clock.Advance(10)
		<-clock.System().After(10) // the stand-in's feed waits on the system clock, not on the fake one
		synctest.Wait()
	}
}

// status returns the status of a count of jobs at the queue with keys, or at the public one for an empty key.
func (i *keyedInstance) status(key string) int {
	request := httptest.NewRequest(http.MethodGet, "/open/", nil)
	if key != "" {
		request = httptest.NewRequest(http.MethodGet, "/keyed/", nil)
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Host = "h.example"
	recorder := httptest.NewRecorder()
	i.callers.ServeHTTP(recorder, request)
	return recorder.Code
}

func (i *keyedInstance) readiness() int {
	recorder := httptest.NewRecorder()
	i.daemon.ready(recorder, nil)
	return recorder.Code
}

// putKeys writes a configuration with the keys of one customer.
func putKeys(t *testing.T, table *standin.Table, version int64, keys ...string) {
	t.Helper()
	route := func(name string, public bool) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "prefix": "/" + name + "/", "service": "p", "publicAccess": public}
	}
	value, err := json.Marshal(map[string]any{"version": version, "services": []map[string]any{{"name": "p"}},
		"routes": []any{route("keyed", false), route("open", true)}, "tenants": []any{map[string]any{"name": "a", "apiKeys": keys}}})
	if err != nil {
		t.Fatal(err)
	}
	table.Put(platform.TableOperator, platform.KeyConfiguration, value)
}

// startKeyedSite returns a store with the keys k1 and k2, and an instance that has read them.
func startKeyedSite(t *testing.T) (*standin.Table, *keyedInstance) {
	table := standin.NewTable()
	putKeys(t, table, 1, "k1", "k2")
	i := startKeyedInstance(clock.NewFake(10000), table)
	i.advance(3 * clock.Second)
	if got, want := i.status("k1"), http.StatusOK; got != want {
		t.Fatalf("key before the fault got %d, want %d", got, want)
	}
	return table, i
}

// Guards against a withdrawn key that is accepted for longer than the limit, whatever keeps the instance from learning of it; against public
// queues that are refused with it; and against an instance that is not back soon after the fault.
func TestWithdrawnKeyEndsInTime(t *testing.T) {
	const step = 50 * clock.Millis(1)
	for _, test := range []struct {
		name  string
		fault feedFault
		after func(table *standin.Table) // done right after the key was withdrawn
		row   string                     // of the withdrawal, if it is not a newer configuration
		reads bool                       // the instance reads the withdrawal
		isNew bool                       // the instance has just read the configuration for the first time
	}{
		{name: "no fault", reads: true},
		{name: string(feedTurnedAway), fault: feedTurnedAway},
		{name: string(feedSilent), fault: feedSilent},
		{name: string(feedLosesAnswer), fault: feedLosesAnswer},
		{name: string(feedLate), fault: feedLate, reads: true},
		{name: "cut off right after the first read", fault: feedSilent, isNew: true},
		{name: "history forgotten", after: (*standin.Table).DropHistory, reads: true},
		{name: "history forgotten while cut off", fault: feedSilent, after: (*standin.Table).DropHistory},
		{name: "configuration deleted while cut off", fault: feedSilent, after: func(table *standin.Table) {
			table.Delete(platform.TableOperator, platform.KeyConfiguration)
		}},
		{name: "the withdrawal cannot be decoded", row: "{"},
		{name: "the withdrawal has an older version", row: `{"version":0,"routes":[],"services":[],"tenants":[]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, i := startKeyedSite(t)
				if test.isNew {
					i.stop()
					i = startKeyedInstance(i.clock, table)
					synctest.Wait()
				}
				defer func() { i.stop() }()
				i.path.set(test.fault)
				if !test.isNew {
					i.advance(200)
				}
				if test.row != "" {
					table.Put(platform.TableOperator, platform.KeyConfiguration, []byte(test.row))
				} else {
					putKeys(t, table, 2, "k2", "k3")
				}
				if test.after != nil {
					test.after(table)
				}
				for passed := clock.Millis(0); passed < 3*testRevocationLimit; passed += step {
					withdrawn, kept := i.status("k1"), i.status("k2")
					switch {
					case passed > testRevocationLimit && withdrawn == http.StatusOK:
						t.Fatalf("the withdrawn key is accepted %d ms after its withdrawal", passed)
					case test.reads && passed > 3*clock.Second && (withdrawn != http.StatusUnauthorized || kept != http.StatusOK || i.status("k3") != http.StatusOK):
						t.Fatalf("%d ms after the change the withdrawn, the kept and the added key got %d, %d, %d", passed, withdrawn, kept, i.status("k3"))
					case !test.reads && passed < testRevocationLimit*3/5 && kept != http.StatusOK:
						t.Fatalf("a key that holds got %d after %d ms of the fault", kept, passed)
					case kept == http.StatusServiceUnavailable && i.readiness() == http.StatusOK:
						t.Fatalf("%d ms after the change the instance is ready and refuses a key that holds", passed)
					}
					if got := i.status(""); got != http.StatusOK {
						t.Fatalf("public queue got %d after %d ms", got, passed)
					}
					i.advance(step)
				}
				putKeys(t, table, 3, "k2", "k3")
				i.path.set(feedWorks)
				i.advance(recovery)
				if got, want := [3]int{i.status("k1"), i.status("k2"), i.status("k3")}, [3]int{401, 200, 200}; got != want {
					t.Errorf("withdrawn, kept and added key right after the fault got %v, want %v", got, want)
				}
				i.advance(2*clock.Second - recovery) // readiness also needs the copy of the states, and a poll of it that began during the fault may have to end
				if got, want := i.readiness(), http.StatusOK; got != want {
					t.Errorf("readiness after the fault got %d, want %d", got, want)
				}
			})
		})
	}
}

// Guards against an answer that counts from its arrival: it was on its way when the key was withdrawn, and is the last one that arrives.
func TestLateAnswerCountsFromItsCall(t *testing.T) {
	const step = 50 * clock.Millis(1)
	for phase := clock.Millis(0); phase < 1500; phase += step { // of the polls when the key is withdrawn
		synctest.Test(t, func(t *testing.T) {
			table, i := startKeyedSite(t)
			defer i.stop()
			i.path.set(feedLate)
			i.advance(1*clock.Second + phase)
			i.path.set(feedSilent) // for later calls; the answer that is on its way arrives
			putKeys(t, table, 2, "k2")
			for passed := clock.Millis(0); passed < 2*testRevocationLimit; passed += step {
				if got := i.status("k1"); got == http.StatusOK && passed > testRevocationLimit {
					t.Fatalf("phase %d: the withdrawn key is accepted %d ms after its withdrawal", phase, passed)
				}
				i.advance(step)
			}
		})
	}
}

// Guards against an instance that refuses a key that holds because the store was away shortly.
func TestShortOutageRefusesNoKey(t *testing.T) {
	const step = 20 * clock.Millis(1)
	for _, fault := range []feedFault{feedTurnedAway, feedSilent, feedLosesAnswer, feedLate} {
		for begin := clock.Millis(0); begin < 600; begin += 100 { // at any time within a poll
			synctest.Test(t, func(t *testing.T) {
				_, i := startKeyedSite(t)
				defer i.stop()
				i.advance(begin)
				i.path.set(fault)
				for passed := clock.Millis(0); passed < 5*clock.Second; passed += step {
					if passed == testRevocationLimit*3/5 {
						i.path.set(feedWorks)
					}
					if got := i.status("k1"); got != http.StatusOK {
						t.Fatalf("%s, begun %d ms later: key that holds got %d after %d ms", fault, begin, got, passed)
					}
					i.advance(step)
				}
			})
		}
	}
}

// Guards against an instance that refuses keys long after an outage, because a call that was sent during it gets no answer, or because it
// pauses; whenever the outage ends.
func TestKeysAreBackAfterAnOutage(t *testing.T) {
	for _, fault := range []feedFault{feedTurnedAway, feedSilent, feedLosesAnswer} {
		for phase := clock.Millis(0); phase < 2*clock.Second; phase += 100 {
			synctest.Test(t, func(t *testing.T) {
				_, i := startKeyedSite(t)
				defer i.stop()
				i.path.set(fault)
				i.advance(testRevocationLimit + phase)
				if got, want := i.status("k1"), http.StatusServiceUnavailable; got != want {
					t.Fatalf("%s for %d ms: key got %d, want %d", fault, testRevocationLimit+phase, got, want)
				}
				i.path.set(feedWorks)
				i.advance(recovery)
				if got, want := i.status("k1"), http.StatusOK; got != want {
					t.Errorf("%s for %d ms: key %d ms after it got %d, want %d", fault, testRevocationLimit+phase, recovery, got, want)
				}
			})
		}
	}
}

// Guards against an instance that was frozen or suspended and, woken, serves the request that waits in its socket with a key that was
// withdrawn meanwhile, or stays without a confirmation until its next poll has waited for a change.
func TestKeyAfterAFreeze(t *testing.T) {
	for _, suspended := range []bool{false, true} { // whether the monotonic clock stood still
		for _, fault := range []feedFault{feedWorks, feedLate} {
			synctest.Test(t, func(t *testing.T) {
				table, i := startKeyedSite(t)
				defer i.stop()
				i.path.set(fault)
				i.advance(1 * clock.Second) // a call with the fault is in flight
				putKeys(t, table, 2, "k2")
				i.path.set(feedWorks) // for the calls after waking
				if suspended {
					i.suspended += 2 * testRevocationLimit
				} else {
					i.clock.Advance(2 * testRevocationLimit)
				}
				if got, want := i.status("k1"), http.StatusOK; got == want {
					t.Errorf("suspended %v, %s: the withdrawn key got %d at waking", suspended, fault, got)
				}
				for range 30 {
					if got := i.status("k1"); got == http.StatusOK {
						t.Fatalf("suspended %v, %s: the withdrawn key is accepted after waking", suspended, fault)
					}
					i.advance(20)
				}
				if got, want := [2]int{i.status("k1"), i.status("k2")}, [2]int{401, 200}; got != want {
					t.Errorf("suspended %v, %s: withdrawn and kept key 600 ms after waking got %v, want %v", suspended, fault, got, want)
				}
			})
		}
	}
}

// Guards against an instance that accepts keys before it has read anything, as after it was killed between the reading and the applying of a
// newer configuration, and against one that has read a configuration which it has not applied.
func TestRestartKnowsNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, i := startKeyedSite(t)
		putKeys(t, table, 2, "k2")
		i.stop()
		next := startKeyedInstance(i.clock, table)
		defer next.stop()
		next.path.set(feedTurnedAway)
		next.advance(2 * clock.Second)
		if got, want := [2]int{next.status("k1"), next.readiness()}, [2]int{503, 503}; got != want {
			t.Errorf("key and readiness before the first read got %v, want %v", got, want)
		}
		next.path.set(feedWorks)
		next.advance(1 * clock.Second)
		if got, want := [2]int{next.status("k1"), next.status("k2")}, [2]int{401, 200}; got != want {
			t.Errorf("withdrawn and kept key after the first read got %v, want %v", got, want)
		}
	})
}

// Guards against a confirmation by something else than the newest row: an older row after a newer one, one that cannot be decoded, a
// version that was written again with other keys, a table without a configuration.
func TestConfirmationNeedsTheNewestRow(t *testing.T) {
	row := func(version int64, value string) store.Row {
		return store.Row{Key: platform.KeyConfiguration, Version: version, Value: []byte(value)}
	}
	for _, test := range []struct {
		name  string
		event func(c *confirmation)
		want  bool
	}{
		{"nothing new", func(*confirmation) {}, true},
		{"the same row again", func(c *confirmation) { c.ignored(row(5, "x")) }, true},
		{"the same value again", func(c *confirmation) { c.ignored(row(6, "x")) }, true},
		{"an older row", func(c *confirmation) { c.ignored(row(4, "w")) }, true},
		{"a newer row that does not apply", func(c *confirmation) { c.ignored(row(6, "y")) }, false},
		{"a newer row that does not apply, and then one that does", func(c *confirmation) { c.ignored(row(6, "y")); c.putInForce(row(7, "z")) }, true},
		{"a row in force older than one that does not apply", func(c *confirmation) { c.ignored(row(7, "y")); c.putInForce(row(6, "z")) }, false},
		{"deleted", func(c *confirmation) { r := row(6, "x"); r.Deleted = true; c.ignored(r) }, false},
		{"a load without it", func(c *confirmation) { c.loaded(nil) }, false},
		{"a load without it and a load with it", func(c *confirmation) { c.loaded(nil); c.ignored(row(5, "x")); c.loaded([]store.Row{row(5, "x")}) }, true},
	} {
		c := &confirmation{}
		c.putInForce(row(5, "x"))
		c.confirm(1000)
		test.event(c)
		c.confirm(2000)
		c.confirm(1500) // an answer that comes late
		age, _ := c.age(3000)
		if got := age == 1000; got != test.want {
			t.Errorf("%s: age got %d, want the newest call to confirm: %v", test.name, age, test.want)
		}
	}
	if holds, _ := (&confirmation{}).check(0, testRevocationLimit); holds {
		t.Error("keys are confirmed without a confirmation")
	}
}

// Guards against a shortest revocation limit with which instances refuse keys before the store counts as unresponsive, after 0.7 s.
func TestMinRevocationLimit(t *testing.T) {
	const unresponsive = 700 * clock.Millis(1)
	d := &Daemon{Settings: Settings{RevocationLimit: MinRevocationLimit}}
	if got, want := d.confirmationLimit(), 2*d.operatorFeedWait()+unresponsive; got < want {
		t.Errorf("confirmations hold for %d ms, want at least %d ms", got, want)
	}
}

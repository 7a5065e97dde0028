package store_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// pagesTable is an empty table whose feed answers with the pages, one a call, each after 100 ms, and then does not answer.
type pagesTable struct {
	store.Table
	clock   *clock.Clock
	pages   []store.Page
	version int64
}

func (p *pagesTable) Range(context.Context, string, string, string) (store.Page, error) {
	return store.Page{Version: p.version}, nil
}

func (p *pagesTable) Parts(context.Context, string, string) ([]string, bool, error) {
	return nil, false, nil
}

func (p *pagesTable) Feed(ctx context.Context, _ string, _ int64, _ clock.Millis) (store.Page, error) {
	if len(p.pages) == 0 {
		<-ctx.Done()
		return store.Page{}, store.ErrRejected.New("no answer")
	}
	page := p.pages[0]
	p.pages, p.version = p.pages[1:], page.Version
	return page, p.clock.Sleep(ctx, 100)
}

// Guards against a copy that counts as current though the answer left out changes, may have done so, or is older than the copy; against a time
// other than that at which the call was sent; and against one that counts before the rows are applied.
func TestFollowerIsCurrentAfterCompleteAnswers(t *testing.T) {
	row := func(size int, version int64) []store.Row {
		return []store.Row{{Table: "t", Key: "k", Value: make([]byte, size), Version: version}}
	}
	for _, test := range []struct {
		name string
		page store.Page
		want []clock.Millis // times that OnCurrent receives, after the load at 1000
	}{
		{"no changes", store.Page{Version: 10}, []clock.Millis{1000}},
		{"a change", store.Page{Version: 12, Rows: row(10, 12)}, []clock.Millis{1000}},
		{"changes left out", store.Page{Version: 12, Rows: row(10, 12), More: true}, nil},
		{"a large answer, after which the table is read again", store.Page{Version: 12, Rows: row(200<<10, 12)}, []clock.Millis{1100}},
		{"an older state of the store", store.Page{Version: 9}, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := clock.NewFake(1000)
			var got []clock.Millis
			applied := 0
			f := &store.Follower{Store: &pagesTable{clock: c, pages: []store.Page{test.page}, version: 10}, Clock: c, Table: "t", Wait: 500,
				Period: func() clock.Millis { return 0 }, NewestOnly: true, SinceBoot: c.Now, OnLoad: func([]store.Row) {}}
			f.OnRows = func(rows []store.Row) { applied += len(rows) }
			f.OnCurrent = func(sent clock.Millis) {
				got = append(got, sent)
				if len(got) > 1 && applied != len(test.page.Rows) {
					t.Errorf("%s: current before the rows are applied", test.name)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- f.Run(ctx) }()
			for range 20 {
				synctest.Wait()
				c.Advance(10)
			}
			synctest.Wait()
			if want := append([]clock.Millis{1000}, test.want...); !slices.Equal(got, want) {
				t.Errorf("%s: times at which the copy is current got %v, want %v", test.name, got, want)
			}
			cancel()
			<-ended
		})
	}
}

// slowTable answers each poll after a delay.
type slowTable struct {
	pagesTable
	delay clock.Millis
}

func (s *slowTable) Feed(ctx context.Context, _ string, _ int64, _ clock.Millis) (store.Page, error) {
	if s.clock.Sleep(ctx, s.delay) != nil {
		return store.Page{}, store.ErrRejected.New("no answer")
	}
	return store.Page{Version: s.version}, nil
}

// Guards against callers of CatchUp who interrupt again and again the call that a slow store is about to answer, so that the copy is never
// current.
func TestCatchUpDoesNotInterruptACallThatDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay, patience = 2 * clock.Second, 1500 * clock.Millis(1)
		c := clock.NewFake(1000)
		table := &slowTable{pagesTable{clock: c, version: 10}, delay}
		var current clock.Millis
		f := &store.Follower{Store: table, Clock: c, Table: "t", Wait: 500, Period: func() clock.Millis { return 0 }, NewestOnly: true,
			SinceBoot: c.Now, OnLoad: func([]store.Row) {}, OnRows: func([]store.Row) {}, OnCurrent: func(sent clock.Millis) { current = sent }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{}, 2)
		go func() { _ = f.Run(ctx); done <- struct{}{} }()
		go func() {
			for ctx.Err() == nil {
				if f.Age() < patience {
					_ = c.Sleep(ctx, 50) // fails only at the end, which the loop checks
					continue
				}
				attempt, end := c.WithTimeout(ctx, patience)
				_ = f.CatchUp(attempt)
				end()
			}
			done <- struct{}{}
		}()
		for range 1000 {
			synctest.Wait()
			c.Advance(10)
		}
		synctest.Wait()
		if got, most := c.Now()-current, 2*delay+delay/2; got > most {
			t.Errorf("age of the copy got %d, want at most %d", got, most)
		}
		cancel()
		<-done
		<-done
	})
}

package store_test

import (
	"context"
	"slices"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/standin"
	"magnoliaferry/store"
)

// Guards against an instance on a slow link that reads every version of a large configuration while newer ones are written, and
// falls further and further behind. Answers below largeAnswerBytes, as with small rows, are still read from the feed.
func TestNewestOnlySkipsVersions(t *testing.T) {
	for _, test := range []struct {
		name string
		size int
		want []int // versions that the follower receives
	}{{"small rows", 1 << 10, []int{1, 2, 3, 4, 5}}, {"large rows", 200 << 10, []int{1, 5}}} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		table := standin.NewTable()
		put := func(version int) {
			value := make([]byte, test.size)
			value[0] = byte(version)
			if _, err := table.Commit(ctx, store.Transaction{Puts: []store.Row{{Table: "t", Key: "config", Value: value}}}); err != nil {
				t.Fatal(err)
			}
		}
		loaded, newest := make(chan bool, 1), make(chan bool)
		var got []int
		collect := func(rows []store.Row) {
			for _, row := range rows {
				if len(row.Value) == 0 {
					continue
				}
				version := int(row.Value[0])
				if slices.Contains(got, version) {
					continue
				}
				got = append(got, version)
				switch version {
				case 1: // newer versions are written while this one is in transit
					for next := 2; next <= 5; next++ {
						put(next)
					}
				case 5:
					close(newest)
				}
			}
		}
		f := &store.Follower{Store: table, Clock: clock.System(), Table: "t", Wait: 20, Period: func() clock.Millis { return 0 }, NewestOnly: true,
			OnLoad: func(rows []store.Row) {
				collect(rows)
				select {
				case loaded <- true:
				default:
				}
			}, OnRows: collect}
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		<-loaded
		put(1)
		<-newest
		cancel()
		<-ended
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: versions got %v, want %v", test.name, got, test.want)
		}
	}
}

package front

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"magnoliaferry/clock"
)

// Guards against a crowd that cancels ids without a stored job and takes the rate of the store from jobs, and against a Retry-After that is too short.
func TestCrowdOfCancels(t *testing.T) {
	const rate, burst = 4, 4 * int(bucketTime/clock.Second)
	table := &scriptedTable{}
	s, fake := newService(table)
	s.TombstoneRate = rate
	var lines bytes.Buffer
	s.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	cancel := func(i int) (code int, after clock.Millis) {
		refusal := s.Cancel(context.Background(), testAccess, fmt.Sprintf("absent%d", i), 2900)
		return refusal.Code().Number(), refusal.RetryAfter()
	}
	for i := range 3 * burst {
		code, after := cancel(i)
		want := CodeNoJob
		if i >= burst {
			want = CodeDeferred
		}
		if code != want.Number() || (i >= burst) != (after == clock.Second/rate) {
			t.Fatalf("cancel %d got code %d, Retry-After %d ms, want %d", i, code, after, want.Number())
		}
	}
	if got, want := strings.Count(lines.String(), "cancels-deferred"), 1; got != want {
		t.Errorf("got %d log lines about refused cancels, want %d", got, want)
	}
	if got, want := table.calls, burst; got != want {
		t.Errorf("the store got %d writes, want %d", got, want)
	}
	if refusal := s.Submit(context.Background(), testAccess, testJob("job"), 2900); refusal != nil {
		t.Errorf("a job got %v, want it stored", refusal)
	}
	if code, _ := cancel(0); code != CodeNoJob.Number() {
		t.Errorf("the repeat of a stored cancel got code %d, want %d without a write", code, CodeNoJob.Number())
	}
	fake.Advance(clock.Second / rate)
	if code, _ := cancel(1000); code != CodeNoJob.Number() {
		t.Errorf("after Retry-After got code %d, want %d", code, CodeNoJob.Number())
	}
}

package batch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
)

// Guards against accepting jobs that can never be completed, or whose progress does not fit into a row of the store.
func TestCheck(t *testing.T) {
	step := func(count int, after ...int) Step { return Step{Count: count, After: after} }
	for _, test := range []struct {
		name string
		job  Job
		want string // part of the error; empty: none
	}{
		{"good", Job{Steps: []Step{step(4), step(2, 0)}}, ""},
		{"no steps", Job{}, "0 steps"},
		{"no tasks", Job{Steps: []Step{step(0)}}, "0 tasks"},
		{"waits for itself", Job{Steps: []Step{step(1, 0)}}, "not an earlier one"},
		{"long spec", Job{Spec: strings.Repeat("x", MaxSpecBytes+1), Steps: []Step{step(1)}}, "4001 bytes"},
		{"too many tasks", Job{Steps: []Step{step(MaxTasks), step(1)}}, "over 650 tasks"},
		{"too many occurrences", Job{Occurrences: 100, Steps: []Step{step(9)}}, "over 650 tasks"},
	} {
		err := test.job.Check()
		if got := fmt.Sprint(err); (test.want == "") != (err == nil) || (err != nil && !strings.Contains(got, test.want)) {
			t.Errorf("%s: got %v, want %q", test.name, err, test.want)
		}
	}
}

// Guards against a largest job whose progress does not fit into a row of the store.
func TestLargestProgressFitsIntoARow(t *testing.T) {
	p := &Progress{State: Running}
	for i := range MaxTasks {
		p.Runs = append(p.Runs, Run{Step: 63, Index: i, Number: 9, Failures: 3, Worker: "i-0123456789", Incarnation: 1775038581058,
			Machine: "m-0123456789"})
	}
	value, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, most := len(value), 65536; got > most {
		t.Errorf("bytes of the stored progress got %d, want at most %d", got, most)
	}
	decoded, err := DecodeProgress(value)
	if err != nil || len(decoded.Runs) != MaxTasks || decoded.State != Running {
		t.Errorf("decoded progress got %d runs, error %v, want %d runs", len(decoded.Runs), err, MaxTasks)
	}
}

// Guards against task names that are parsed wrongly, and against other texts that are accepted as task names.
func TestParseTask(t *testing.T) {
	job, key, ok := ParseTask(TaskKey{Occurrence: 1, Step: 2, Index: 17}.Name("5c0e"))
	if job != "5c0e" || key != (TaskKey{1, 2, 17}) || !ok {
		t.Errorf("ParseTask got %q, %v, %v, want 5c0e, {1 2 17}, true", job, key, ok)
	}
	for _, bad := range []string{"", "a.b.c.d", "a.1.2", "a.1.2.-3", "a.1.2.3.4"} {
		if _, _, ok := ParseTask(bad); ok {
			t.Errorf("ParseTask accepted %q, want it refused", bad)
		}
	}
}

// Guards against a job whose stored form no row can hold: writing it would be repeated, with its memory held, until its caller's time is over.
func TestJobTooLargeForARow(t *testing.T) {
	for _, test := range []struct {
		bytes int
		want  bool
	}{{1000, true}, {MaxEncodedBytes, false}} {
		job := Job{ID: "j", Steps: []Step{{Count: 1, Label: strings.Repeat("x", test.bytes)}}}
		if _, err := job.Encode(); (err == nil) != test.want || err != nil && !errorx.IsOfType(err, ErrInvalid) {
			t.Errorf("label of %d bytes got error %v, want success %t", test.bytes, err, test.want)
		}
	}
}

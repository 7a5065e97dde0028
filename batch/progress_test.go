package batch

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// Guards against a stored progress that an earlier version reads wrongly: it decodes the runs as they are, and must find the task, the
// number and the worker in each, and all that is known of a worker in its first one. Also guards against a progress that changes when it is
// stored and read.
func TestProgressForEarlierVersions(t *testing.T) {
	p := &Progress{State: Running, Runs: []Run{
		{Index: 0, Number: 1, Worker: "w1", Incarnation: 10, Machine: "m1", Checkpoint: "a"},
		{Index: 1, Number: 2, Worker: "w2", Incarnation: 20, Machine: "m2"},
		{Index: 2, Number: 3, Done: true},
		{Index: 3, Number: 4, Worker: "w1", Incarnation: 10, Machine: "m1"},
		{Index: 4, Number: 5, Worker: "w1", Incarnation: 30, Machine: "m1"},
		{Index: 5, Number: 6, Failures: 1, FailedRun: 5},
	}}
	value, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeProgress(value); err != nil || !reflect.DeepEqual(got, p) {
		t.Errorf("decoded progress got %+v, %v, want %+v", got, err, p)
	}
	var earlier []Run
	if err := json.Unmarshal(value[1:], &earlier); err != nil {
		t.Fatal(err)
	}
	for i, r := range earlier {
		want := p.Runs[i]
		if i == 3 {
			want.Incarnation, want.Machine = 0, ""
		}
		if r != want {
			t.Errorf("run %d as an earlier version reads it got %+v, want %+v", i, r, want)
		}
	}
}

// Guards against the largest job that is accepted not fitting into a row while all its tasks run, with ids of 19 characters and checkpoints
// of 16, and against a size that is below that of the stored form.
func TestLargestProgress(t *testing.T) {
	p := &Progress{State: Running}
	for i := range MaxTasks {
		worker := fmt.Sprintf("worker-%012d", i%100)
		p.Runs = append(p.Runs, Run{Occurrence: i / 80, Step: i % 80 / 16, Index: i % 16, Number: 1, Worker: worker, Incarnation: 1796000000000,
			Machine: worker, Checkpoint: "00000bb87a21d94b"})
		value, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got := p.Size(); got < len(value) {
			t.Fatalf("size of %d runs got %d bytes, want at least %d", i+1, got, len(value))
		}
	}
	if got := p.Size(); got > MaxProgressBytes {
		t.Errorf("size got %d bytes, want at most %d", got, MaxProgressBytes)
	}
}

package front

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// queueAt returns a queue of pool p with the given name and path prefix.
func queueAt(name, prefix string) batch.Queue {
	return batch.Queue{Name: name, Host: "h", Prefix: prefix, Pool: "p"}
}

// withVersion returns copies of the rows with the version, as the store returns them.
func withVersion(rows []store.Row, version int64) []store.Row {
	stored := slices.Clone(rows)
	for i := range stored {
		stored[i].Version = version
	}
	return stored
}

// Guards against an accepted job that is answered 410, cannot be cancelled and is not counted after its route was renamed, at the instance
// that accepted it and at one that has read only its rows: review case 3, LOST.
func TestJobsAreFoundAfterChangesOfRoutes(t *testing.T) {
	synctest.Test(t, jobsAreFoundAfterChangesOfRoutes)
}

func jobsAreFoundAfterChangesOfRoutes(t *testing.T) {
	accepting := queueAt("q", "/q/")
	for _, test := range []struct {
		name   string
		queues []batch.Queue
		path   string // of the route at which callers ask for the job
		want   bool   // whether the job is found there
	}{
		{"unchanged", []batch.Queue{accepting, queueAt("other", "/other/")}, "/q/", true},
		{"renamed", []batch.Queue{queueAt("q-2", "/q/"), queueAt("other", "/other/")}, "/q/", true},
		{"renamed, another route", []batch.Queue{queueAt("q-2", "/q/"), queueAt("other", "/other/")}, "/other/", false},
		{"renamed, its name at another path", []batch.Queue{queueAt("q-2", "/q/"), queueAt("q", "/new/")}, "/q/", true},
		{"renamed, the route that has its name", []batch.Queue{queueAt("q-2", "/q/"), queueAt("q", "/new/")}, "/new/", false},
		{"two names exchanged", []batch.Queue{queueAt("other", "/q/"), queueAt("q", "/other/")}, "/q/", true},
		{"another path under its name", []batch.Queue{queueAt("q", "/new/")}, "/new/", true},
		{"removed, another route", []batch.Queue{queueAt("other", "/other/")}, "/other/", false},
		{"restored", []batch.Queue{accepting}, "/q/", true},
	} {
		table := &scriptedTable{}
		first, c := newService(table)
		if got, want := submit(first, c, "a"), CodeAccepted.Number(); got != want {
			t.Fatalf("%s: result of the job got %d, want %d", test.name, got, want)
		}
		second, _ := newService(&scriptedTable{})
		second.States.Apply(withVersion(table.last.Puts, 1))
		for instance, s := range map[string]*Service{"the accepting instance": first, "another instance": second} {
			s.Configuration = func() *batch.Configuration { return &batch.Configuration{Version: 2, Queues: test.queues} }
			checkJob(t, test.name+", "+instance, s, c, test.path, test.want)
		}
	}
}

// checkJob checks whether job "a" is counted, found and cancelled at the route with the path.
func checkJob(t *testing.T, when string, s *Service, c *clock.Clock, path string, want bool) {
	t.Helper()
	ctx := context.Background()
	access, id, refusal := s.Match("h", path+"a", "")
	if refusal != nil || id != "a" {
		t.Fatalf("%s: route of %sa got %v, %q", when, path, refusal, id)
	}
	if got := s.Waiting(access); got == 1 != want {
		t.Errorf("%s: waiting jobs at %s got %d, want the job counted: %v", when, path, got, want)
	}
	if _, refusal := s.State(ctx, access, "a"); refusal == nil != want {
		t.Errorf("%s: state at %s got refusal %v, want the job found: %v", when, path, refusal, want)
	}
	if refusal := s.Cancel(ctx, access, "a", 2900); refusal == nil != want {
		t.Errorf("%s: cancel at %s got refusal %v, want the job found: %v", when, path, refusal, want)
	}
}

// Guards against a job that an earlier version stored without the address of its queue, and that is answered 410 after a rename.
func TestJobsOfEarlierVersionsAreFoundAfterARename(t *testing.T) {
	for _, test := range []struct {
		name   string
		queues []batch.Queue
		path   string
		want   bool
	}{
		{"unchanged", []batch.Queue{queueAt("q", "/q/"), queueAt("other", "/other/")}, "/q/", true},
		{"unchanged, another route", []batch.Queue{queueAt("q", "/q/"), queueAt("other", "/other/")}, "/other/", false},
		{"renamed", []batch.Queue{queueAt("q-2", "/q/")}, "/q/", true},
		{"renamed, a route of another pool", []batch.Queue{{Name: "other", Host: "h", Prefix: "/other/", Pool: "elsewhere"}}, "/other/", false},
	} {
		s, c := newService(&scriptedTable{})
		row := store.EncodeState(store.Layout{}.IntakePart("a"), "a", "q", "p", batch.Pending)
		s.States.Apply(withVersion([]store.Row{row}, 1))
		s.Configuration = func() *batch.Configuration { return &batch.Configuration{Version: 2, Queues: test.queues} }
		checkJob(t, test.name, s, c, test.path, test.want)
	}
}

// Guards against a job of a customer that instances of earlier versions do not find while both versions run: they read the customer as a part of
// the path prefix.
func TestEarlierVersionsFindJobsOfCustomers(t *testing.T) {
	s, _ := newService(&scriptedTable{})
	row := store.EncodeState(store.Layout{}.IntakePart("a"), "a", "q", "p", batch.Pending)
	misread := batch.Address{Host: "h", Prefix: "/q/\ncustomer"}
	s.States.Apply(withVersion([]store.Row{row}, 1))
	if known, ok := s.States.Find("a"); !ok || !s.belongs(store.JobEntry{Queue: known.Queue, Pool: known.Pool, Address: misread}, testQueue) {
		t.Errorf("job with the address %q does not belong to its queue", misread)
	}
}

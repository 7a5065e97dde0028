package soak

import (
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/store"
)

// Guards against a fault that hits another instance than the one whose write was applied, so that the soak would miss faults between
// a write and its answer. Only writes of owners count: they alone have conditions on existing rows.
func TestActOnNextWrite(t *testing.T) {
	other, writer := &instance{name: "entry-0"}, &instance{name: "entry-1"}
	accept := store.Transaction{Conditions: []store.Condition{{Table: "t", Key: "new"}}}
	renew := store.Transaction{Conditions: []store.Condition{{Table: "t", Key: "owner", Version: 7}}}
	s := &site{}
	var acted []string
	act := func(in *instance) { acted = append(acted, in.name) }
	done, cancel := s.onNextWrite(act)
	s.afterWrite(other, accept)
	s.afterWrite(writer, renew)
	s.afterWrite(writer, renew)
	if want := []string{"entry-1"}; !slices.Equal(acted, want) {
		t.Errorf("instances acted on got %v, want %v", acted, want)
	}
	if cancel() {
		t.Error("cancel after the action got true, want false")
	}
	if got := (<-done).name; got != "entry-1" {
		t.Errorf("instance sent on done got %s, want entry-1", got)
	}
	_, cancel = s.onNextWrite(act)
	if !cancel() {
		t.Error("cancel before a write got false, want true")
	}
	s.afterWrite(writer, renew)
	if got, want := len(acted), 1; got != want {
		t.Errorf("instances acted on got %d, want %d", got, want)
	}
}

// Guards against late orders while the fault that delays orders is not active, and against delays outside the range that the platform documents.
func TestDrawLateDelay(t *testing.T) {
	s := &site{random: rand.New(rand.NewPCG(1, 4))}
	count := func() (late int) {
		for range 1000 {
			if after, ok := s.drawLateDelay("m00", "/hold"); ok {
				late++
				if after < 2*clock.Second || after > 12*clock.Second {
					t.Errorf("late order after %d ms, want 2 to 12 s", after)
				}
			}
		}
		return late
	}
	if got := count(); got != 0 {
		t.Errorf("late orders got %d, want none without the fault", got)
	}
	s.late.Store(10)
	if got := count(); got < 50 || got > 150 {
		t.Errorf("late orders got %d of 1000, want about one in ten", got)
	}
}

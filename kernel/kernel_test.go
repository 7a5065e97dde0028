package kernel

import (
	"context"
	"errors"
	"strings"
	"testing"
)

type module struct {
	name string
	run  func(ctx context.Context) error
}

func (m module) Name() string                  { return m.name }
func (m module) Run(ctx context.Context) error { return m.run(ctx) }

// Guards against stopping a module while one that uses it still runs.
func TestModulesStopInReverseOrder(t *testing.T) {
	order := make(chan string, 3)
	wait := func(name string) Module {
		return module{name, func(ctx context.Context) error { <-ctx.Done(); order <- name; return ctx.Err() }}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	k := Kernel{Modules: []Module{wait("a"), wait("b"), wait("c")}}
	if err := k.Run(ctx); err != nil {
		t.Errorf("Run got %v, want nil", err)
	}
	if got, want := <-order+<-order+<-order, "cba"; got != want {
		t.Errorf("stop order got %s, want %s", got, want)
	}
}

// Guards against a process that continues after one of its modules has failed.
func TestFailureStopsTheOthers(t *testing.T) {
	k := Kernel{Modules: []Module{
		module{"waits", func(ctx context.Context) error { <-ctx.Done(); return nil }},
		module{"fails", func(context.Context) error { return errors.New("port is taken") }},
	}}
	err := k.Run(context.Background())
	if err == nil || !strings.Contains(err.Error(), "module fails: port is taken") {
		t.Errorf("Run got %v, want the error of the module named fails", err)
	}
}

// Guards against a plug-in that silently replaces another of the same name.
func TestRegisterTwicePanics(t *testing.T) {
	var r Registry[int]
	r.Register("one", 1)
	defer func() {
		if recover() == nil {
			t.Errorf("second Register got no panic, want one")
		}
	}()
	r.Register("one", 2)
}

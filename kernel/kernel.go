package kernel

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
)

// Registry holds plug-ins of one kind by name; plug-ins register themselves from an init function. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Registry[T any] struct {
	mu      sync.RWMutex
	plugins map[string]T
}

// Register adds a plug-in and panics when the name is taken, because two plug-ins with one name are a programming
// error.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plugins == nil {
		r.plugins = make(map[string]T)
	}
	if _, taken := r.plugins[name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", name))
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in of that name and whether it exists.
func (r *Registry[T]) Lookup(name string) (T, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	return plugin, ok
}

// Names returns the names of all plug-ins in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Module is a part of a process, such as a server; it runs until its context ends.
type Module interface {
	Name() string
	Run(ctx context.Context) error
}

// Kernel runs the modules of a process.
type Kernel struct {
	// Modules are started in this order, each without waiting until the one before it is ready, and stop in reverse order,
	// so that a module can use those before it until it has stopped.
	Modules []Module
}

// Run starts all modules and returns when all have stopped. When the context ends or any module returns, it stops the
// others one by one in reverse order. It returns the errors of the modules, joined; context.Canceled does not count.
func (k *Kernel) Run(ctx context.Context) error {
	type exit struct {
		index int
		err   error
	}
	exits := make(chan exit, len(k.Modules))
	cancels := make([]context.CancelFunc, len(k.Modules))
	stopped := make([]chan struct{}, len(k.Modules))
	for i, m := range k.Modules {
		moduleContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
		cancels[i] = cancel
		stopped[i] = make(chan struct{})
		go func() {
			err := m.Run(moduleContext)
			if err != nil && !errors.Is(err, context.Canceled) {
				err = fmt.Errorf("module %s: %w", m.Name(), err)
			} else {
				err = nil
			}
			close(stopped[i])
			exits <- exit{i, err}
		}()
	}
	var errs []error
	remaining := len(k.Modules)
	select {
	case <-ctx.Done():
	case e := <-exits:
		remaining--
		errs = append(errs, e.err)
	}
	for i := len(k.Modules) - 1; i >= 0; i-- {
		cancels[i]()
		<-stopped[i]
	}
	for ; remaining > 0; remaining-- {
		errs = append(errs, (<-exits).err)
	}
	return errors.Join(errs...)
}

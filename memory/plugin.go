package memory

import (
	"sync"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

var (
	sharedMu sync.Mutex
	shared   = map[string]*Store{}
)

// Shared returns the platform with that name, and creates it at the first call. Entry instances in one process thus use
// the same platform.
func Shared(name string) *Store {
	sharedMu.Lock()
	defer sharedMu.Unlock()
	s, ok := shared[name]
	if !ok {
		s = New(clock.System(), nil)
		shared[name] = s
	}
	return s
}

func init() {
	provider.Plugins.Register("memory", func(address, zone string) (provider.Platform, error) {
		return Shared(address).View(zone), nil
	})
}

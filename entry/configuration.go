package entry

import (
	"context"
	"sync/atomic"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/operator"
)

const configurationPoll = clock.Second

// configurations holds the configuration in force and polls the table for a newer one.
type configurations struct {
	clock   *clock.Clock
	store   *operator.Store
	current atomic.Pointer[inForce]
}

type inForce struct {
	version       int64
	digest        string
	configuration *config.Configuration
}

// Name implements kernel.Module.
func (c *configurations) Name() string { return "configuration" }

// Current returns the configuration in force, or nil while none is known.
func (c *configurations) Current() *config.Configuration {
	if f := c.current.Load(); f != nil {
		return f.configuration
	}
	return nil
}

// Version returns the number of the version in force, or 0.
func (c *configurations) Version() int64 {
	if f := c.current.Load(); f != nil {
		return f.version
	}
	return 0
}

// Digest returns the digest of the configuration in force, or "".
func (c *configurations) Digest() string {
	if f := c.current.Load(); f != nil {
		return f.digest
	}
	return ""
}

func (c *configurations) zones() []string {
	var names []string
	if known := c.Current(); known != nil {
		for _, z := range known.Zones() {
			names = append(names, z.Name)
		}
	}
	return names
}

// Run polls until the context ends.
func (c *configurations) Run(ctx context.Context) error {
	for {
		version, configuration, problem := c.store.Current(ctx)
		known := c.current.Load()
		if problem == nil && (known == nil || version.Number() > known.version) {
			c.current.Store(&inForce{version.Number(), version.Digest(), configuration})
		}
		if err := c.clock.Sleep(ctx, configurationPoll); err != nil {
			return err
		}
	}
}

package entry

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

// discoveryPeriod is the time between two reads of the platform's list of instances. An entry instance that knows one peer
// learns of the others within seconds; the list is needed at the start and after all instances of a zone were replaced.
const discoveryPeriod = 10 * clock.Second

// discovery passes the addresses of the entry instances in the platform's list to the peer module.
type discovery struct{ instance *Instance }

// Name implements kernel.Module.
func (d discovery) Name() string { return "discovery" }

// Run reads the list periodically until the context ends.
func (d discovery) Run(ctx context.Context) error {
	for {
		list, err := d.instance.Platform.Instances().List(ctx, "")
		if err == nil { // the control loop logs an outage of the platform
			d.instance.node.AddSeeds(entryAddresses(list)...)
		}
		if err := d.instance.Clock.Sleep(ctx, discoveryPeriod); err != nil {
			return err
		}
	}
}

// entryAddresses returns the addresses of the live entry instances.
func entryAddresses(list []provider.Instance) []string {
	var addresses []string
	for _, i := range list {
		if i.Role() == provider.RoleEntry && i.State() == provider.Live {
			addresses = append(addresses, i.Address())
		}
	}
	return addresses
}

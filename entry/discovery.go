package entry

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
)

// discoveryPeriod is how often the platform's list is searched for entry instances. Members find each other within
// seconds once they know one; the list matters at the start and when a whole zone was replaced.
const discoveryPeriod = 10 * clock.Second

// discovery tells the peer module the entry instances of the platform's list.
type discovery struct{ instance *Instance }

// Name implements kernel.Module.
func (d discovery) Name() string { return "discovery" }

// Run searches until the context ends.
func (d discovery) Run(ctx context.Context) error {
	for {
		list, err := d.instance.Platform.Instances().List(ctx, "")
		if err == nil { // the control loop reports an outage of the platform
			d.instance.node.AddSeeds(entryAddresses(list)...)
		}
		if err := d.instance.Clock.Sleep(ctx, discoveryPeriod); err != nil {
			return err
		}
	}
}

func entryAddresses(list []provider.Instance) []string {
	var addresses []string
	for _, i := range list {
		if i.Role() == provider.RoleEntry && i.State() == provider.Live {
			addresses = append(addresses, i.Address())
		}
	}
	return addresses
}

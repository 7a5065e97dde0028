package command

import (
	"context"
	"fmt"
	"net"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/clock"
	"magnoliaferry/overview"
	"magnoliaferry/platform"
)

// InspectOptions are the options of inspect, which shows what the instances on the users' platform have stored.
type InspectOptions struct {
	Store string // address and port of the platform's store
	Job   string // one job instead of the fleet
}

func init() {
	Register("inspect", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o InspectOptions
		c := app.Command("inspect", "Show what the instances on the platform have stored: owners, pools, machines, waves, or one job.")
		c.Flag("store", "Address and port of the platform's store.").Envar("MAGNOLIAFERRY_STORE").StringVar(&o.Store)
		c.Arg("job", "Id of a job; without it the whole fleet is shown.").StringVar(&o.Job)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run prints the fleet or the job. It reads from the store only, and needs no running instance.
func (o InspectOptions) Run(ctx context.Context, env *Environment) error {
	if _, _, err := net.SplitHostPort(o.Store); err != nil {
		return usageError{fmt.Errorf("the store %q is not an address and a port; use --store or MAGNOLIAFERRY_STORE: %w", o.Store, err)}
	}
	reader := &overview.Reader{Table: platform.NewTable(o.Store), Clock: clock.System()}
	if o.Job != "" {
		job, err := reader.Job(ctx, o.Job)
		if err != nil {
			return err
		}
		return env.Print(job, job.Text())
	}
	fleet, err := reader.Fleet(ctx)
	if err != nil {
		return fmt.Errorf("the store at %s: %w", o.Store, err)
	}
	return env.Print(fleet, fleet.Text())
}

package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/operator"
)

// StatusOptions are the options of status, which shows the pools, their buffers of spare workers and the entry instances.
type StatusOptions struct {
	Connection
}

func init() {
	Register("status", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o StatusOptions
		c := app.Command("status", "Show the pools, what is out of service, what the buffer is for, and the entry instances.")
		o.flags(c)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run prints the status.
func (o StatusOptions) Run(ctx context.Context, env *Environment) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return env.Print(status, statusText(status))
}

func statusText(s operator.StatusFields) string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration version %d, digest %s\n", s.Version, s.Digest)
	if s.Unavailable != "" {
		fmt.Fprintf(&b, "pools are not shown: %s\n", s.Unavailable)
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tSERVING\tCAPACITY\tPLANNED\tFAILED\tMAX-UNAVAILABLE\tBUFFER\tWAVE\tCONTACT")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d/%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", p.Name, p.Serving, p.Instances, p.Capacity, p.Planned,
			p.Failed, p.MaxUnavailable, p.Buffer, p.Wave, p.Contact)
	}
	w.Flush() // a strings.Builder does not fail
	fmt.Fprintln(w, "ENTRY INSTANCE\tZONE\tINCARNATION\tVERSION\tLAG\tREPORT AGE\tSTATE")
	for _, e := range s.Entries {
		state, age := "alive", fmt.Sprintf("%d ms", e.ReportAge)
		if !e.Alive {
			state = "not alive"
		}
		if e.ReportAge < 0 {
			age = "none"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", e.ID, e.Zone, e.Incarnation, e.Version, e.Lag, age, state)
	}
	w.Flush()
	for _, p := range s.Pools {
		if p.BufferReason != "" {
			fmt.Fprintf(&b, "%s: buffer: %s\n", p.Name, p.BufferReason)
		}
		if p.Waits != "" {
			fmt.Fprintf(&b, "%s: waits: %s\n", p.Name, p.Waits)
		}
	}
	return b.String()
}

package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/operator"
)

// JobsOptions are the options of jobs, which lists, shows or cancels jobs.
type JobsOptions struct {
	Connection
	Action string // list, show or cancel
	Job    string // for show and cancel
}

func init() {
	Register("jobs", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o JobsOptions
		c := app.Command("jobs", "List, show or cancel jobs.")
		o.flags(c)
		addSubcommand := func(action, help string) *kingpin.CmdClause {
			return c.Command(action, help).Action(func(*kingpin.ParseContext) error {
				o.Action = action
				return nil
			})
		}
		addSubcommand("list", "List every job.")
		addSubcommand("show", "Show one job.").Arg("job", "Name of the job.").Required().StringVar(&o.Job)
		addSubcommand("cancel", "Cancel a job; one that was not started never starts.").Arg("job", "Name of the job.").
			Required().StringVar(&o.Job)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run carries out the action.
func (o JobsOptions) Run(ctx context.Context, env *Environment) error {
	if o.Action == "cancel" {
		return order(o.Connection, env, func(c *operator.Client) (operator.OrderFields, error) {
			return c.CancelJob(ctx, o.Job)
		})
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	if o.Action == "show" {
		job, err := client.ShowJob(ctx, o.Job)
		if err != nil {
			return err
		}
		return env.Print(job, jobsText([]operator.JobFields{job}))
	}
	list, err := client.ListJobs(ctx)
	if err != nil {
		return err
	}
	return env.Print(list, jobsText(list))
}

func jobsText(list []operator.JobFields) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tTEAM\tPOOL\tSTATE\tURGENCY\tATTEMPTS\tINSTANCE\tREASON")
	for _, j := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", j.Name, j.Team, j.Pool, j.State, j.Urgency, j.Attempts,
			j.Instance, j.Reason)
	}
	w.Flush() // a strings.Builder does not fail
	return b.String()
}

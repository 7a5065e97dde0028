package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/operator"
)

// WaveOptions are the options of wave, which controls the maintenance wave of a pool.
type WaveOptions struct {
	Connection
	Action string // start, pause, resume or stop
	Pool   string
}

func init() {
	Register("wave", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o WaveOptions
		c := app.Command("wave", "Control the maintenance wave of a pool.")
		o.flags(c)
		subcommands := []struct{ action, help string }{
			{"start", "Start a wave over every instance of the pool."},
			{"pause", "Start maintenance of no further instance; maintenance in progress finishes."},
			{"resume", "Continue a wave that was paused or that stopped by itself."},
			{"stop", "End the wave; maintenance in progress finishes."},
		}
		for _, s := range subcommands {
			action := c.Command(s.action, s.help)
			action.Arg("pool", "Name of the pool.").Required().StringVar(&o.Pool)
			action.Action(func(*kingpin.ParseContext) error {
				o.Action = s.action
				return nil
			})
		}
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run sends the order and prints the answer.
func (o WaveOptions) Run(ctx context.Context, env *Environment) error {
	return order(o.Connection, env, func(c *operator.Client) (operator.OrderFields, error) {
		return c.Wave(ctx, o.Action, o.Pool)
	})
}

package command

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/operator"
)

// DrainOptions are the options of drain, which takes an instance out of service.
type DrainOptions struct {
	Connection
	Instance string
	Force    bool // do not wait for requests in flight; they are interrupted
}

func init() {
	Register("drain", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o DrainOptions
		c := app.Command("drain", "Take an instance out of service within the budget of its pool.")
		o.flags(c)
		c.Flag("force", "Do not wait for requests in flight; they are interrupted.").BoolVar(&o.Force)
		c.Arg("instance", "Id of the instance.").Required().StringVar(&o.Instance)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run sends the order and prints the answer.
func (o DrainOptions) Run(ctx context.Context, env *Environment) error {
	return order(o.Connection, env, func(c *operator.Client) (operator.OrderFields, error) {
		return c.Drain(ctx, o.Instance, o.Force)
	})
}

// order sends one order to the server and prints the answer.
func order(c Connection, env *Environment, send func(*operator.Client) (operator.OrderFields, error)) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	accepted, err := send(client)
	if err != nil {
		return err
	}
	return env.Print(accepted, fmt.Sprintf("%s %s: accepted\n", accepted.Order, accepted.Target))
}

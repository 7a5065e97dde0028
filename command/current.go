package command

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
	"magnoliaferry/operator"
)

// CurrentOptions are the options of current, which shows the configuration in force.
type CurrentOptions struct {
	Connection
	Body bool // print the configuration itself
}

func init() {
	Register("current", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o CurrentOptions
		c := app.Command("current", "Show the version in force.")
		o.flags(c)
		c.Flag("body", "Print the configuration itself, so that it can be kept for a roll-back.").BoolVar(&o.Body)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run prints the version in force.
func (o CurrentOptions) Run(ctx context.Context, env *Environment) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	v, c, err := client.Current(ctx)
	if err != nil {
		return err
	}
	body := config.Encode(c)
	text := fmt.Sprintf("version %d by %s; digest %s\n", v.Number(), v.Operator(), v.Digest())
	if o.Body {
		text = string(body)
	}
	return env.Print(operator.CurrentFields{VersionFields: v.Fields(), Body: json.RawMessage(body)}, text)
}

package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
)

// SubmitOptions are the options of submit, which stores a file as the next version.
type SubmitOptions struct {
	Connection
	File      string
	Seen      int64  // version that the operator saw; 0 for the first submission
	Operation string // id of an earlier submission whose outcome is unknown
}

func init() {
	Register("submit", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o SubmitOptions
		c := app.Command("submit", "Submit a configuration as the version after the one that you saw.")
		o.flags(c)
		c.Flag("seen-version", "Version in force that the file was made for; 0 for the first one.").Required().
			Int64Var(&o.Seen)
		c.Flag("operation", "Repeat an earlier submission whose outcome is unknown.").StringVar(&o.Operation)
		c.Arg("file", "Configuration (JSON).").Required().StringVar(&o.File)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run checks the file and submits it; the error is a diag.List or an operator.Problem.
func (o SubmitOptions) Run(ctx context.Context, env *Environment) error {
	body, err := readFile(o.File)
	if err != nil {
		return err
	}
	if _, faults := config.Decode(o.File, body); faults.Len() > 0 {
		return faults
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	v, err := client.Submit(ctx, o.File, body, o.Seen, o.Operation)
	if err != nil {
		return err
	}
	text := "version " + strconv.FormatInt(v.Number(), 10) + " is in force"
	if v.Unchanged() {
		text += " already and has the same content"
	}
	return env.Print(v.Fields(), fmt.Sprintf("%s; digest %s\n", text, v.Digest()))
}

package command

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
)

// CheckOptions are the options of check, which reports every fault of a configuration file.
type CheckOptions struct {
	File string
}

func init() {
	Register("check", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o CheckOptions
		c := app.Command("check", "Check a configuration file and report every fault with its line and path.")
		c.Arg("file", "Configuration (JSON).").Required().StringVar(&o.File)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run checks the file; the error is a diag.List when the file has faults.
func (o CheckOptions) Run(_ context.Context, env *Environment) error {
	c, err := decodeFile(o.File)
	if err != nil {
		return err
	}
	answer := struct {
		File   string `json:"file"`
		Digest string `json:"digest"`
	}{o.File, config.Digest(c)}
	return env.Print(answer, fmt.Sprintf("%s has no faults; digest %s\n", o.File, answer.Digest))
}

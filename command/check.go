package command

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
	"magnoliaferry/daemon"
)

// CheckOptions are the options of check, which reports every fault of a configuration file or of the settings of run.
type CheckOptions struct {
	File     string
	Settings bool // the file holds the settings of an instance on the platform
}

func init() {
	Register("check", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o CheckOptions
		c := app.Command("check", "Check a configuration file and report every fault with its line and path.")
		c.Flag("settings", "The file holds the settings of run.").BoolVar(&o.Settings)
		c.Arg("file", "Configuration or settings (JSON).").Required().StringVar(&o.File)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run checks the file; the error is a diag.List when the file has faults.
func (o CheckOptions) Run(_ context.Context, env *Environment) error {
	if o.Settings {
		settings, faults := daemon.ReadSettings(o.File)
		if err := faults.Err(); err != nil {
			return err
		}
		return env.Print(settings, fmt.Sprintf("%s has no faults; instance %s in zone %s\n", o.File, settings.Node, settings.Zone))
	}
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

package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// CompletionOptions are the options of completion, which prints a script for a shell.
type CompletionOptions struct {
	Shell string // bash or zsh
}

var completionTemplates = map[string]string{"bash": kingpin.BashCompletionTemplate, "zsh": kingpin.ZshCompletionTemplate}

func init() {
	Register("completion", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o CompletionOptions
		c := app.Command("completion", "Print the completion script of a shell; source it to use it.")
		c.Arg("shell", "bash or zsh.").Required().EnumVar(&o.Shell, "bash", "zsh")
		return c, func(_ context.Context, env *Environment) error { return o.Run(env) }
	})
}

// Run prints the script.
func (o CompletionOptions) Run(env *Environment) error {
	var none RunFunc
	app := application(env, &none)
	context, err := app.ParseContext(nil)
	if err != nil {
		return err
	}
	return app.UsageForContextWithTemplate(context, 2, completionTemplates[o.Shell])
}

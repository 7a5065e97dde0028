package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
	"magnoliaferry/operator"
)

// DiffOptions are the options of diff, which lists what a file changes.
type DiffOptions struct {
	Connection
	Files    []string // the new file, or the old and the new one; a single file is compared with the configuration in force
	ExitCode bool     // a difference is reported by the exit code
}

func init() {
	Register("diff", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o DiffOptions
		c := app.Command("diff", "List what a file changes: FILE against the server, or OLD NEW.")
		o.flags(c)
		c.Flag("exit-code", "Exit with 7 when there is a difference.").BoolVar(&o.ExitCode)
		c.Arg("files", "Configuration (JSON), or the old and the new one.").Required().StringsVar(&o.Files)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run prints the differences.
func (o DiffOptions) Run(ctx context.Context, env *Environment) error {
	var answer operator.DiffFields
	var err error
	switch len(o.Files) {
	case 1:
		answer.Version, answer.Changes, err = o.remote(ctx)
	case 2:
		answer.Changes, err = o.local()
	default:
		return usageError{errors.New("diff takes one or two files")}
	}
	if err != nil {
		return err
	}
	if err := env.Print(answer, diffText(answer)); err != nil {
		return err
	}
	if o.ExitCode && len(answer.Changes) > 0 {
		return errDifferent
	}
	return nil
}

func diffText(d operator.DiffFields) string {
	var b strings.Builder
	if d.Version > 0 {
		fmt.Fprintf(&b, "against version %d:\n", d.Version)
	}
	for _, c := range d.Changes {
		fmt.Fprintf(&b, "%s\n", c)
	}
	if len(d.Changes) == 0 {
		b.WriteString("no difference\n")
	}
	return b.String()
}

func (o DiffOptions) remote(ctx context.Context) (int64, []config.Change, error) {
	body, err := readFile(o.Files[0])
	if err != nil {
		return 0, nil, err
	}
	client, err := o.client()
	if err != nil {
		return 0, nil, err
	}
	return client.Diff(ctx, o.Files[0], body)
}

func (o DiffOptions) local() ([]config.Change, error) {
	before, err := decodeFile(o.Files[0])
	if err != nil {
		return nil, err
	}
	after, err := decodeFile(o.Files[1])
	if err != nil {
		return nil, err
	}
	changes := config.Diff(before, after)
	if changes == nil {
		changes = []config.Change{}
	}
	return changes, nil
}

package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
	"magnoliaferry/daemon"
	"magnoliaferry/diag"
	"magnoliaferry/platform"
	"magnoliaferry/precheck"
)

// CheckOptions are the options of check, which reports every fault of a configuration file or of the settings of run.
type CheckOptions struct {
	File         string
	Settings     bool   // the file holds the settings of an instance on the platform
	Operators    bool   // the file holds the configuration of run that operators write into the platform's store
	Against      string // the operators' configuration in force; "" if it is not known
	WithSettings string // the settings of the instances that will read the operators' configuration; "" if they are not known
}

func init() {
	Register("check", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var o CheckOptions
		c := app.Command("check", "Check a configuration file and report every fault with its line and path.")
		c.Flag("settings", "The file holds the settings of run.").BoolVar(&o.Settings)
		c.Flag("operators", "The file holds the operators' configuration of run.").BoolVar(&o.Operators)
		c.Flag("against", "With --operators: list what differs from the configuration in force, in this file.").StringVar(&o.Against)
		c.Flag("with-settings", "With --operators: settings of run of the instances that will read the configuration.").StringVar(&o.WithSettings)
		c.Arg("file", "Configuration or settings (JSON).").Required().StringVar(&o.File)
		return c, func(ctx context.Context, env *Environment) error { return o.Run(ctx, env) }
	})
}

// Run checks the file; the error is a diag.List when the file has faults.
func (o CheckOptions) Run(_ context.Context, env *Environment) error {
	switch {
	case o.Operators && o.Settings:
		return usageError{errors.New("--operators and --settings exclude each other")}
	case o.Operators:
		return o.operators(env)
	case o.Against != "" || o.WithSettings != "":
		return usageError{errors.New("--against and --with-settings need --operators")}
	}
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

// operators checks an operators' configuration. Faults of the settings, and of the types in either configuration, are returned as a diag.List
// without a further check.
func (o CheckOptions) operators(env *Environment) error {
	draft, err := readDraft(o.File)
	if err != nil {
		return err
	}
	var instance *precheck.Instance
	if o.WithSettings != "" {
		settings, faults := daemon.ReadSettings(o.WithSettings)
		if err := faults.Err(); err != nil {
			return err
		}
		instance = &precheck.Instance{File: o.WithSettings, RevocationLimit: settings.RevocationLimit, MinRevocationLimit: daemon.MinRevocationLimit,
			LeaseLimit: settings.LeaseLimit, MinLeaseLimit: daemon.MinLeaseLimit, HasAdvisor: settings.Advisor != "", HasMachines: settings.Machines != ""}
	}
	answer := checkFields{File: o.File, Version: draft.Version}
	var inForce *precheck.Draft
	if o.Against != "" {
		if inForce, err = readDraft(o.Against); err != nil {
			return err
		}
		answer.Against, answer.Changes = &inForce.Version, precheck.Compare(inForce, draft)
	}
	report := precheck.Check(draft, instance, inForce)
	answer.Diagnostics = append([]diag.Diagnostic{}, report.Faults().All()...) // an empty list rather than null
	answer.Warnings = append([]diag.Diagnostic{}, report.Warnings().All()...)
	if !env.JSON {
		for _, d := range answer.Diagnostics {
			fmt.Fprintln(env.Err, d)
		}
		for _, d := range answer.Warnings {
			fmt.Fprintln(env.Err, "warning:", d)
		}
	}
	if err := env.Print(answer, answer.text()); err != nil {
		return err
	}
	if len(answer.Diagnostics) > 0 {
		return errFaulty
	}
	return nil
}

func readDraft(name string) (*precheck.Draft, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{err}
	}
	draft, faults := platform.ReadDraft(name, body)
	return draft, faults.Err()
}

// checkFields is the result of the check of an operators' configuration.
type checkFields struct {
	File        string            `json:"file"`
	Version     int64             `json:"version"`
	Against     *int64            `json:"against,omitempty"` // version in force
	Diagnostics []diag.Diagnostic `json:"diagnostics"`
	Warnings    []diag.Diagnostic `json:"warnings"`
	Changes     []precheck.Change `json:"changes,omitempty"`
}

func (f checkFields) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s version %d; faults: %d, warnings: %d\n", f.File, f.Version, len(f.Diagnostics), len(f.Warnings))
	if f.Against == nil {
		return b.String()
	}
	fmt.Fprintf(&b, "against version %d:\n", *f.Against)
	for _, c := range f.Changes {
		fmt.Fprintf(&b, "%s\n", c)
	}
	if len(f.Changes) == 0 {
		b.WriteString("no difference\n")
	}
	return b.String()
}

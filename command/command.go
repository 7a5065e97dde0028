package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/diag"
	"magnoliaferry/entry"
	"magnoliaferry/kernel"
	"magnoliaferry/operator"
	"magnoliaferry/result"
)

// The exit codes; docs/exit-codes.md explains each.
const (
	ExitOK          = 0
	ExitFaults      = 1 // the input has faults
	ExitUsage       = 2 // wrong arguments, or a file that cannot be read
	ExitConflict    = 3 // another operator's version is in force
	ExitRefused     = 4 // refused for another reason, without effect
	ExitUnavailable = 5 // no connection, or the platform does not answer; without effect
	ExitUnknown     = 6 // may have taken effect
	ExitDifferent   = 7 // diff --exit-code found a difference
	ExitAborted     = 8 // serve was aborted by a second signal
	ExitFailed      = 9 // anything else
)

// Environment is what a command gets from the process that runs it.
type Environment struct {
	Out     io.Writer
	Err     io.Writer
	JSON    bool            // results and errors go to Out as JSON
	Version string          // printed by --version; default from the build
	Abort   <-chan struct{} // closed to abort what still runs; nil for never
}

// Setup adds a command to the application. It returns the command and the function that carries it out.
type Setup func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc)

// RunFunc carries out a command.
type RunFunc func(ctx context.Context, env *Environment) error

var setups kernel.Registry[Setup]

// Register adds a command under its name. Each command calls it from an init function in its own file.
func Register(name string, setup Setup) { setups.Register(name, setup) }

// terminated is the panic value that carries the exit status from kingpin's Terminate function to Run. Without it kingpin
// would exit the process.
type terminated int

// Run parses the arguments, carries out the command and returns the exit code.
func Run(ctx context.Context, arguments []string, env Environment) (code int) {
	var chosen RunFunc
	app := application(&env, &chosen)
	defer func() {
		switch status := recover().(type) {
		case nil:
		case terminated:
			code = int(status)
			if !requestsBuiltInOutput(arguments) {
				code = ExitUsage // kingpin prints the usage with status 0 when the command is missing
			}
		default:
			panic(status)
		}
	}()
	if _, err := app.Parse(arguments); err != nil {
		fmt.Fprintf(env.Err, "magnoliaferry: %v; try --help\n", err)
		return ExitUsage
	}
	return env.reportError(chosen(ctx, &env))
}

func application(env *Environment, chosen *RunFunc) *kingpin.Application {
	app := kingpin.New("magnoliaferry", "Fleet capacity and maintenance manager. Exit codes: docs/exit-codes.md.")
	app.UsageWriter(env.Out).ErrorWriter(env.Err).Terminate(func(status int) { panic(terminated(status)) })
	if env.Version == "" {
		env.Version = buildVersion()
	}
	app.Version(env.Version)
	app.Flag("json", "Write results and errors as JSON to standard output.").BoolVar(&env.JSON)
	for _, name := range setups.Names() {
		setup, _ := setups.Lookup(name)
		addCommand(app, setup, chosen)
	}
	return app
}

func addCommand(app *kingpin.Application, setup Setup, chosen *RunFunc) {
	command, run := setup(app)
	command.Action(func(*kingpin.ParseContext) error {
		*chosen = run
		return nil
	})
}

// requestsBuiltInOutput reports whether the arguments ask for output that kingpin prints: help, version or completion.
func requestsBuiltInOutput(arguments []string) bool {
	return slices.ContainsFunc(arguments, func(a string) bool {
		return a == "help" || a == "--version" || strings.HasPrefix(a, "--help") ||
			strings.HasPrefix(a, "--completion-")
	})
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}

// Print writes a result: the value as JSON, or the text.
func (e *Environment) Print(value any, text string) error {
	if !e.JSON {
		_, err := io.WriteString(e.Out, text)
		return err
	}
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Out, "%s\n", encoded)
	return err
}

// usageError is an error in the arguments that kingpin does not detect, such as a file that cannot be read.
type usageError struct{ error }

// errDifferent makes diff --exit-code exit with ExitDifferent.
var errDifferent = errors.New("the configurations differ")

// errFaulty makes check exit with ExitFaults after it has printed the faults.
var errFaulty = errors.New("the configuration has faults")

// reportError writes an error and returns its exit code; nil gives ExitOK.
func (e *Environment) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, errDifferent) {
		return ExitDifferent // the difference is printed already
	}
	if errors.Is(err, errFaulty) {
		return ExitFaults
	}
	var faults diag.List
	var problem *operator.Problem
	switch {
	case errors.As(err, &faults):
		e.writeError(struct {
			Diagnostics []diag.Diagnostic `json:"diagnostics"`
		}{faults.All()}, faults.Error()+"\n")
		return ExitFaults
	case errors.As(err, &problem):
		e.writeError(problem, problemText(problem))
		return problemExit(problem)
	}
	e.writeError(struct {
		Error string `json:"error"`
	}{err.Error()}, "magnoliaferry: "+err.Error()+"\n")
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var aborted *entry.AbortError
	if errors.As(err, &aborted) {
		return ExitAborted
	}
	return ExitFailed
}

// writeError writes an error, as JSON to Out or as text to Err. A failed write cannot be reported anywhere.
func (e *Environment) writeError(value any, text string) {
	if e.JSON {
		_ = e.Print(value, "")
		return
	}
	fmt.Fprint(e.Err, text)
}

func problemText(p *operator.Problem) string {
	var b strings.Builder
	fmt.Fprintf(&b, "magnoliaferry: %v\n", p)
	if current, ok := p.Current(); ok {
		fmt.Fprintf(&b, "in force: version %d by %s\n", current.Number(), current.Operator())
	}
	if len(p.Changes()) > 0 {
		b.WriteString("your body differs from it by:\n")
	}
	for _, c := range p.Changes() {
		fmt.Fprintf(&b, "  %s\n", c)
	}
	for _, d := range p.Diagnostics().All() {
		fmt.Fprintf(&b, "%s\n", d)
	}
	if p.Operation() != "" && p.Outcome() == result.Unknown {
		fmt.Fprintf(&b, "to learn the outcome, repeat with --operation %s\n", p.Operation())
	}
	return b.String()
}

func problemExit(p *operator.Problem) int {
	switch {
	case p.Outcome() == result.Unknown:
		return ExitUnknown
	case p.Code() == operator.CodeInvalidConfiguration.Number():
		return ExitFaults
	case p.Code() == operator.CodeVersionConflict.Number():
		return ExitConflict
	case p.Code() == operator.CodeTableUnavailable.Number(), p.Code() == operator.CodeObjectsUnavailable.Number(),
		p.Code() == operator.CodeUnreachable.Number():
		return ExitUnavailable
	}
	return ExitRefused
}

package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/daemon"
	"magnoliaferry/event"
	"magnoliaferry/platform"
)

// memoryLimitPercent is the share of the instance's memory, in percent, that is the Go runtime's soft memory limit. The
// garbage collector runs more often as the process approaches it.
const memoryLimitPercent = 70

// RunOptions are the options of run, which runs one instance on the users' platform.
type RunOptions struct {
	Settings daemon.Settings
	File     string // settings file, read again upon SIGHUP
}

func init() {
	Register("run", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var file string
		c := app.Command("run", "Run an instance on the platform until SIGTERM; it then exits without interrupting a request.")
		c.Flag("settings", "Settings of the process (JSON).").Envar("MAGNOLIAFERRY_SETTINGS").Required().StringVar(&file)
		return c, func(ctx context.Context, env *Environment) error {
			settings, faults := daemon.ReadSettings(file)
			if err := faults.Err(); err != nil {
				return err
			}
			return RunOptions{Settings: settings, File: file}.Run(ctx, env)
		}
	})
}

// Run serves until the context is done and the requests that callers wait for have ended.
func (o RunOptions) Run(ctx context.Context, env *Environment) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // by default it ends the process
	defer func() {
		signal.Stop(hangups)
		close(hangups)
	}()
	if o.Settings.MemoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(o.Settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	sink := event.NewSink(os.Stdout)
	defer sink.Close()
	d := &daemon.Daemon{
		Settings: o.Settings,
		Logger:   slog.New(slog.NewJSONHandler(sink, nil)),
		Table:    platform.NewTable(o.Settings.Store),
		Workers:  platform.NewWorkers(),
		Advisor:  platform.NewAdvisor(o.Settings.Advisor),
	}
	if o.Settings.Machines != "" {
		d.Machines = platform.NewMachines(o.Settings.Machines)
	}
	go func() {
		for range hangups {
			d.Reread(o.File)
		}
	}()
	return d.Run(ctx)
}

package command

import (
	"context"
	"log"
	"log/slog"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/entry"
	"magnoliaferry/event"
	_ "magnoliaferry/memory"       // registers the platform plug-in "memory"
	_ "magnoliaferry/platformhttp" // registers the platform plug-in "http"
	"magnoliaferry/provider"
	"magnoliaferry/settings"
)

var eventLibrary = event.New(1150, "library-message", slog.LevelWarn, "a library wrote to the standard log")

// ServeOptions are the options of serve, which runs one entry instance.
type ServeOptions struct {
	Settings settings.Settings
	Platform provider.Platform // used instead of the plug-in that the settings name when it is set
}

func init() {
	Register("serve", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var file string
		c := app.Command("serve", "Run an entry instance until SIGTERM; it then finishes the requests in flight and exits. A second signal aborts it.")
		c.Flag("settings", "Settings of the process (JSON).").Required().StringVar(&file)
		return c, func(ctx context.Context, env *Environment) error {
			read, faults := settings.Read(file)
			if err := faults.Err(); err != nil {
				return err
			}
			return ServeOptions{Settings: read}.Run(ctx, env)
		}
	})
}

// Run serves until the context is done and the requests in flight have finished, or until env.Abort is closed.
func (o ServeOptions) Run(ctx context.Context, env *Environment) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Settings.LogLevel)); err != nil {
		return usageError{err}
	}
	logger := slog.New(slog.NewJSONHandler(env.Err, &slog.HandlerOptions{Level: level}))
	// The HTTP client cannot be given a logger: it writes, for example, unsolicited answers to the standard log.
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(event.Handler(logger, eventLibrary), eventLibrary.Level()).Writer())
	instance := &entry.Instance{Settings: o.Settings, Platform: o.Platform, Logger: logger, Abort: env.Abort}
	return instance.Run(ctx)
}

package command

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/clock"
	"magnoliaferry/kernel"
	"magnoliaferry/memory"
	"magnoliaferry/provider"
	"magnoliaferry/standin"
	"magnoliaferry/trace"
)

// StandinPlatformOptions are the options of standin platform, which simulates the platform for trials.
type StandinPlatformOptions struct {
	Listen    string // IP address and port
	Instances string // file with the instances of the platform's list (JSON)
}

// StandinWorkerOptions are the options of standin worker, which simulates a backend server for trials.
type StandinWorkerOptions struct {
	ID          string
	Listen      string // IP address and port
	Slots       int
	ServiceTime clock.Millis
	TraceFile   string // spans as JSON lines; "" for none
}

func init() {
	Register("standin", func(app *kingpin.Application) (*kingpin.CmdClause, RunFunc) {
		var p StandinPlatformOptions
		var w StandinWorkerOptions
		var run RunFunc
		c := app.Command("standin", "Run a stand-in of the platform or of a worker, for trials.")
		choose := func(chosen RunFunc) kingpin.Action {
			return func(*kingpin.ParseContext) error { run = chosen; return nil }
		}
		platform := c.Command("platform", "Run a stand-in platform: table, object store, instances, tasks, maintenance.")
		platform.Flag("listen", "IP address and port.").Default("127.0.0.1:7000").StringVar(&p.Listen)
		platform.Flag("instances", "File with the list of instances (JSON).").StringVar(&p.Instances)
		platform.Action(choose(p.run))
		worker := c.Command("worker", "Run a stand-in worker.")
		worker.Flag("id", "Id of the instance.").Required().StringVar(&w.ID)
		worker.Flag("listen", "IP address and port.").Default("127.0.0.1:0").StringVar(&w.Listen)
		worker.Flag("slots", "Requests that the worker runs at once.").Default("8").IntVar(&w.Slots)
		worker.Flag("service-time-ms", "How long a request runs, in milliseconds.").Default("20").
			Int64Var((*int64)(&w.ServiceTime))
		worker.Flag("trace-file", "File for the spans.").StringVar(&w.TraceFile)
		worker.Action(choose(w.run))
		return c, func(ctx context.Context, env *Environment) error { return run(ctx, env) }
	})
}

// Run serves until the context ends.
func (o StandinPlatformOptions) Run(ctx context.Context, env *Environment) error {
	return o.run(ctx, env)
}

// run has a pointer receiver, because the command binds it before the flags are parsed.
func (o *StandinPlatformOptions) run(ctx context.Context, env *Environment) error {
	store := memory.New(clock.System(), nil)
	if o.Instances != "" {
		body, err := readFile(o.Instances)
		if err != nil {
			return err
		}
		var list []provider.InstanceFields
		if err := json.Unmarshal(body, &list); err != nil {
			return usageError{err}
		}
		for _, f := range list {
			store.SetInstance(provider.NewInstance(f))
		}
	}
	logger := slog.New(slog.NewJSONHandler(env.Err, nil))
	return (&standin.Platform{Address: o.Listen, Store: store, Logger: logger}).Run(ctx)
}

// Run serves until the context ends.
func (o StandinWorkerOptions) Run(ctx context.Context, env *Environment) error {
	return o.run(ctx, env)
}

func (o *StandinWorkerOptions) run(ctx context.Context, env *Environment) error {
	options := trace.Options{Instance: o.ID, Target: o.TraceFile}
	if o.TraceFile != "" {
		options.Exporter = "file"
	}
	tracer, err := trace.New(ctx, options)
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(env.Err, nil))
	worker := &standin.Worker{ID: o.ID, Address: o.Listen, Slots: o.Slots, ServiceTime: o.ServiceTime,
		Tracer: tracer.OpenTelemetry(), Logger: logger}
	return (&kernel.Kernel{Modules: []kernel.Module{tracer, worker}}).Run(ctx)
}

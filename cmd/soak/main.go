// Command soak runs the fault-injection test of package soak for a range of seeds. It exits with status 1 if the product
// violated a guarantee or the test could not be carried out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/clock"
	"magnoliaferry/soak"
)

var errViolations = errors.New("the product violated guarantees; see the violations printed above")

func main() {
	app := kingpin.New("soak", "Runs instances as processes, injects faults and checks what callers and workers see.")
	first := app.Flag("first", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	instances := app.Flag("instances", "Instances of the product.").Default("5").Int()
	machines := app.Flag("machines", "Machines of the platform.").Default("15").Int()
	length := app.Flag("length-s", "Duration of fault injection, in seconds.").Default("30").Int64()
	longest := app.Flag("longest-task-ms", "Longest task, in milliseconds.").Default("1500").Int64()
	out := app.Flag("out", "Directory for settings and logs.").Default("target/soak").String()
	nextIncarnation := app.Flag("late-for-next-life", "Late orders also reach a worker that has restarted with the same id.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*first, *seeds, soak.Options{Instances: *instances, Machines: *machines,
		Length: clock.Millis(*length) * clock.Second, LongestTask: clock.Millis(*longest), LateForNextIncarnation: *nextIncarnation}, *out); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(first, seeds uint64, options soak.Options, out string) error {
	if err := os.MkdirAll(out, 0o700); err != nil {
		return err
	}
	binary := filepath.Join(out, "magnoliaferry")
	if output, err := exec.Command("go", "build", "-o", binary, "./cmd/magnoliaferry").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, output)
	}
	// A signal ends the soak, which then kills the instances.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violated := false
	for seed := first; seed < first+seeds; seed++ {
		directory := filepath.Join(out, fmt.Sprintf("seed-%d", seed))
		if err := os.RemoveAll(directory); err != nil {
			return err
		}
		if err := os.MkdirAll(directory, 0o700); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(directory, "soak.log"))
		if err != nil {
			return err
		}
		o := options
		o.Binary, o.Directory, o.Seed, o.Log = binary, directory, seed, log
		report, err := soak.Run(ctx, o)
		if closed := log.Close(); err == nil {
			err = closed
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d faults; %d jobs accepted, %d refused, %d completed, %d cancelled; %d runs; %d machines of the wave; %d promises broken\n",
			seed, report.Faults, report.Accepted, report.Refused, report.Completed, report.Cancelled, report.Runs, report.MaintainedMachines, len(report.Violations))
		for _, violation := range report.Violations {
			fmt.Println("  " + violation)
		}
		violated = violated || len(report.Violations) > 0
	}
	if violated {
		return errViolations
	}
	return nil
}

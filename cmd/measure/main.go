// Command measure runs the measurement scenarios and writes their tables.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/measure"
)

func main() {
	// The runs allocate much and keep little, so that rare garbage collections save time at little cost of memory.
	debug.SetGCPercent(800)
	app := kingpin.New("measure", "Measures admission, routing and planning by simulation on a fake clock, by seed.")
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	runs := app.Flag("runs", "Runs for each row; run i uses seed+i.").Default("5").Int()
	group := app.Flag("group", "Report to run; all when empty.").String()
	filter := app.Flag("only", "Run only scenarios whose names contain this.").String()
	out := app.Flag("out", "Directory for the Markdown, JSON and SVG files; only a table is printed when empty.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	command := strings.TrimSpace("go run ./cmd/measure " + strings.Join(os.Args[1:], " "))
	if err := run(command, *seed, *runs, *group, *filter, *out); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(command string, seed uint64, runs int, group, filter, out string) error {
	for _, name := range measure.Groups() {
		if group != "" && group != name {
			continue
		}
		report := measure.Report{Group: name, Command: command, Seed: seed, Runs: runs}
		report.Run(filter)
		if report.Len() == 0 {
			continue
		}
		if err := report.WriteTable(os.Stdout); err != nil {
			return err
		}
		if out == "" {
			continue
		}
		if err := report.WriteFiles(out, measure.Charts(name)...); err != nil {
			return err
		}
	}
	return nil
}

// Command magnoliaferry is the command line of the fleet manager; see magnoliaferry --help.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"magnoliaferry/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], command.Environment{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

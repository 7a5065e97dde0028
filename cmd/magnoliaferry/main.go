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
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, stop := context.WithCancel(context.Background())
	abort := make(chan struct{})
	// The first signal ends the command after the requests in flight, the second one aborts it.
	go func() {
		<-signals
		stop()
		<-signals
		close(abort)
		signal.Stop(signals) // a third signal ends the process at once, without a message
	}()
	os.Exit(command.Run(ctx, os.Args[1:], command.Environment{Out: os.Stdout, Err: os.Stderr, Abort: abort}))
}

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// The exit codes of a play.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playTime bounds a play.
const playTime = 110 * time.Second

// plays are the plays by name. Each returns an error if it could not run; broken rules are in the record. trouble is false for the play
// without the disruption.
var plays = map[string]func(ctx context.Context, s *site, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		names := make([]string, 0, len(plays))
		for name := range plays {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: stand-3 PLAY BINARY RECORD; plays: %v\n", names)
		return exitNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := newSite(r, folder, os.Args[2])
	defer s.stopAll()
	if err := s.run(ctx); err == nil {
		err = plays[os.Args[1]](ctx, s, os.Getenv("TROUBLE") != "0")
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			r.line("the play could not run: %v", err)
			fmt.Println("could not run:", err)
			return exitNotRun
		}
	}
	for _, b := range r.breaches() {
		fmt.Println("broken:", b)
	}
	if len(r.breaches()) > 0 {
		r.line("result: a rule was broken")
		return exitBroken
	}
	r.line("result: the rules held")
	fmt.Println("held")
	return exitHeld
}

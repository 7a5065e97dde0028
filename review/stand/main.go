package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playFunc plays a case, with the disruption if trouble is set. It returns what broke the rule, or "". An error means that the
// case could not be played.
type playFunc func(r *record, trouble bool) (broken string, err error)

var cases = map[string]playFunc{}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the record")
	flag.Parse()
	os.Exit(play(*name, *folder))
}

func play(name, folder string) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %v", name, trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		killAll()
		os.Exit(exitFailed)
	}()
	broken, err := f(r, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		r.add("the rule was broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

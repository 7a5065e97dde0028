package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// playTime bounds a play.
const playTime = 110 * time.Second

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(s *site) (broken bool, err error){
	"gang-checkpoint": playGangCheckpoint,
	"large-job":       playLargeJob,
	"late-after-410":  playLateAfter410,
	"gang-failure":    playGangFailure,
	"lost-owner":      playLostOwner,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", name, trouble)
	s, err := newSite(rec, trouble)
	code := exitCannotRun
	if err == nil {
		code, err = s.playCase(name)
	}
	if s != nil {
		s.stop()
	}
	if err != nil {
		rec.add("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	rec.add("exit %d", code)
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}

// playCase plays a case until its end, a signal, or playTime.
func (s *site) playCase(name string) (int, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](s)
		ended <- outcome{broken, err}
	}()
	select {
	case o := <-ended:
		switch {
		case o.err != nil:
			return exitCannotRun, o.err
		case o.broken:
			return exitBroken, nil
		}
		return exitHeld, nil
	case received := <-signals:
		return exitCannotRun, fmt.Errorf("ended by %v", received)
	case <-time.After(playTime):
		return exitCannotRun, fmt.Errorf("not ended after %v", playTime)
	}
}

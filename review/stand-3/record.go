package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one play: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// now returns the milliseconds since the start of the play.
func (r *record) now() int64 { return time.Since(r.started).Milliseconds() }

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7d ms  %s\n", r.now(), fmt.Sprintf(format, values...))
}

// breach records that a rule was broken.
func (r *record) breach(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add appends a line with the time since the start of the case in milliseconds.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%6d ", time.Since(r.started).Milliseconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
}

func (r *record) close() { _ = r.file.Close() } // nothing is left to do if it fails

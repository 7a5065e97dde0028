package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of one play: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begin: time.Now()}, nil
}

// add writes a line with the milliseconds since the start of the play.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%6d ms  ", time.Since(r.begin).Milliseconds())
	fmt.Fprintf(r.out, format+"\n", values...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

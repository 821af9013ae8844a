package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var startedAt = time.Now()

// steadyMs is the time of the platform's steady clock.
func steadyMs() int64 { return time.Since(startedAt).Milliseconds() }

// record is the case's record: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	lines int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f}, nil
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines++
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// say adds a line to the record and prints it.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf("%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() { _ = r.file.Close() }

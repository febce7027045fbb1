package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
	runs    map[string]int
}

func newRecord(out io.Writer) *record {
	return &record{out: out, started: time.Now(), runs: map[string]int{}}
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	if _, err := io.WriteString(r.out, line); err != nil {
		panic(err)
	}
}

// ran records that a target began to work on a request.
func (r *record) ran(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.write("%s: runs at %s", id, target)
}

// runsOf returns how often a request has run.
func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

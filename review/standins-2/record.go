package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) say(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// sayRuns writes what the servers ran. An outcome is that of the stand-in itself.
func (r *record) sayRuns(w *emulator.World) {
	for _, run := range w.Journal.Runs() {
		r.say("run %s of %s: %s %s at %s, status %d, %s", run.ID, run.Attempt, run.Method, run.Path, run.Service, run.Status, run.Outcome)
	}
}

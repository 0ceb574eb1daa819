// Package filewatch reloads files, such as token files and certificates, when they are
// replaced. It polls their modification times and sizes, since kernel notifications are
// not available on every file system from which secrets are mounted.
package filewatch

import (
	"context"
	"os"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
)

// DefaultInterval is the default polling interval.
const DefaultInterval = 2 * time.Second

// Files holds the names of at most three files that are loaded together. Empty names are
// ignored.
type Files [3]string

// State holds the modification times and sizes of the files. If two states differ, at
// least one of the files was replaced.
type State [3]struct {
	modified time.Time
	size     int64 // bytes
}

// State returns the current state of the files. A file whose state cannot be read counts
// as absent.
func (f Files) State() State {
	var s State
	for i, name := range f {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil {
			s[i].modified, s[i].size = info.ModTime(), info.Size()
		}
	}
	return s
}

// Watch holds the files to poll and the functions to call.
type Watch struct {
	Files    Files
	Interval time.Duration // not above 0 = DefaultInterval
	Clock    clock.Clock   // nil = real time
	// LoadedState returns the state of the files whose content is in use. The state has to be
	// taken before the files are read: a file that is replaced during the reading is
	// then detected at the next poll.
	LoadedState func() State
	// Reload reads the files and puts their content to use.
	Reload func() error
	// OnReload is called after each Reload with its error, nil if the files could be used.
	OnReload func(err error)
}

// Run polls the files until ctx ends and reloads them whenever one was replaced. If the
// files are gone, it reloads nothing, and the content in use stays in use.
func (w Watch) Run(ctx context.Context) {
	if w.Files == (Files{}) {
		<-ctx.Done()
		return
	}
	defaults.Positive(&w.Interval, DefaultInterval)
	if w.Clock == nil {
		w.Clock = quartz.NewReal()
	}
	ticker := w.Clock.NewTicker(w.Interval)
	defer ticker.Stop()
	var failed State
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			failed = w.poll(failed)
		}
	}
}

// poll reloads the files if one was replaced. It returns the state of the last files that
// could not be used, so that each invalid set is reported only once. Files that belong
// together may not match for a moment while they are replaced one after the other; the
// next poll detects the change of the second file and succeeds.
func (w Watch) poll(failed State) State {
	now := w.Files.State()
	if now == w.LoadedState() || now == failed {
		return failed
	}
	err := w.Reload()
	w.OnReload(err)
	if err != nil {
		return now
	}
	return State{}
}

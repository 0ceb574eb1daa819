// Package filewatch has files read again when they were replaced: token files,
// certificates. It looks at their times and sizes at a fixed period, since
// notifications of the kernel are not to be had on every file system that
// secrets are mounted from.
package filewatch

import (
	"context"
	"os"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
)

// DefaultEvery is how often files are looked at if nothing else is said.
const DefaultEvery = 2 * time.Second

// Files are the names of at most three files that are read together. An empty
// name stands for no file.
type Files [3]string

// State tells whether any of the files was replaced: compare two with ==.
type State [3]struct {
	modified time.Time
	size     int64 // bytes
}

// State looks at the files. One that cannot be looked at counts as absent.
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

// Watch says what to look at and what to do about it.
type Watch struct {
	Files Files
	Every time.Duration // not above 0 = DefaultEvery
	Clock clock.Clock   // nil = real time
	// Used returns the state of the files whose content is in use, taken
	// before they were read: a file that is replaced meanwhile is then seen
	// at the next look.
	Used func() State
	// Reload reads the files and takes their content into use.
	Reload func() error
	// Done is told of each Reload; err is why the files could not be used.
	Done func(err error)
}

// Run reloads the files whenever one was replaced, until ctx ends. While none of
// them is there, nothing is read, and what is in use stays so.
func (w Watch) Run(ctx context.Context) {
	if w.Files == (Files{}) {
		<-ctx.Done()
		return
	}
	defaults.Positive(&w.Every, DefaultEvery)
	if w.Clock == nil {
		w.Clock = quartz.NewReal()
	}
	ticker := w.Clock.NewTicker(w.Every)
	defer ticker.Stop()
	var failed State
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			failed = w.look(failed)
		}
	}
}

// look reloads replaced files; it returns the state of files that could not be
// used, so that one bad set is told of once. While files that belong together
// are replaced one after the other they may not match for a moment; the next
// look sees the second file change and succeeds.
func (w Watch) look(failed State) State {
	now := w.Files.State()
	if now == w.Used() || now == failed {
		return failed
	}
	err := w.Reload()
	w.Done(err)
	if err != nil {
		return now
	}
	return State{}
}
